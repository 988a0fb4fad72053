"""Entry point of the command-line tool."""

import importlib
import importlib.metadata
import os
import random

from cleo import application as cleo_application

from eelgrasshall import clock
from eelgrasshall.commands import base
from eelgrasshall.commands import registry

# Modules are imported in this order; importing one registers its commands.
_MODULES = (
    "printing",
    "checking",
    "difference",
    "applying",
    "status",
    "zone",
    "dump",
    "addresses",
    "query",
)


def make_application(context: base.Context) -> cleo_application.Application:
    """Returns the command-line application with all commands.

    Args:
      context: Dependencies of the commands.
    """
    for module in _MODULES:
        importlib.import_module(f"eelgrasshall.commands.{module}")
    application = cleo_application.Application("eelgrasshall", _read_version())
    for command in registry.make_commands(context):
        application.add(command)
    return application


def main() -> None:
    """Runs the command line and exits with the command's exit code."""
    context = base.Context(
        clock=clock.Clock(),
        random=random.SystemRandom(),
        environment=os.environ,
    )
    make_application(context).run()


def _read_version() -> str:
    """Returns the version of the installed package."""
    try:
        return importlib.metadata.version("eelgrasshall")
    except importlib.metadata.PackageNotFoundError:
        return "not installed"


if __name__ == "__main__":
    main()
