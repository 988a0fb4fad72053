"""`eelgrasshall print`: prints what a declaring program declares."""

from cleo import helpers

from eelgrasshall.commands import base
from eelgrasshall.commands import exits
from eelgrasshall.commands import program
from eelgrasshall.commands import registry
from eelgrasshall.state import configuration

DECLARATION = helpers.argument(
    "declaration",
    "A declaring program (.py), a printed configuration, or - for standard "
    "input.",
)


@registry.register
class PrintCommand(base.Command):
    """Prints a declaration as the configuration's JSON."""

    name = "print"
    description = "Print the configuration that a program declares."
    help = """\
Runs a declaring program, checks the declaration and prints it as JSON. The
same declaration gives the same bytes, so that the output can be kept under
version control and compared.

  eelgrasshall print examples/tandil.py > tandil.json
"""
    arguments = [DECLARATION]

    def handle(self) -> int:
        """Runs the command."""
        declared, problems = program.load(self.argument("declaration"))
        if declared is None:
            return self.fail(problems)
        text = configuration.format_configuration(declared).decode()
        self.print_text(text.removesuffix("\n"))
        return int(exits.ExitCode.DONE)
