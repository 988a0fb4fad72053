"""The registry of commands, filled by decorator.

Each command stands in a module of its own that registers it; `main` imports
the modules and makes one of each.
"""

from typing import TypeVar

from eelgrasshall.commands import base

_CommandType = TypeVar("_CommandType", bound=type[base.Command])

_commands: list[type[base.Command]] = []


def register(command: _CommandType) -> _CommandType:
    """Registers a command class; used as a decorator."""
    _commands.append(command)
    return command


def make_commands(context: base.Context) -> list[base.Command]:
    """Makes one of each registered command.

    Args:
      context: What they get from outside.
    """
    return [each(context=context) for each in _commands]
