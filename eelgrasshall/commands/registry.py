"""Registry of the command classes.

Each command is defined in a module that registers it with the `register`
decorator; `main` imports the modules and creates the commands.
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
    """Returns one instance of each registered command.

    Args:
      context: Dependencies of the commands.
    """
    return [each(context=context) for each in _commands]
