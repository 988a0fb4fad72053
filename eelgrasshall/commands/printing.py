"""`eelgrasshall print`: prints the configuration that a program declares."""

from cleo import helpers

from eelgrasshall.commands import base
from eelgrasshall.commands import declaration_loader
from eelgrasshall.commands import exit_codes
from eelgrasshall.commands import registry
from eelgrasshall.state import configuration

DECLARATION = helpers.argument(
    "declaration",
    "A declaring program (.py), a printed configuration, or - for standard "
    "input.",
)


@registry.register
class PrintCommand(base.Command):
    """Prints a declaration as JSON."""

    name = "print"
    description = "Print the configuration that a program declares."
    help = """\
Runs a declaring program, checks the declaration and prints it as JSON. The
output is deterministic, so that it can be kept under version control and
compared.

  eelgrasshall print examples/tandil.py > tandil.json
"""
    arguments = [DECLARATION]

    def handle(self) -> int:
        """Runs the command."""
        declared, problems = declaration_loader.load_declaration(
            self.argument("declaration")
        )
        if declared is None:
            return self.fail(problems)
        text = configuration.format_configuration(declared).decode()
        self.print_text(text.removesuffix("\n"))
        return int(exit_codes.ExitCode.DONE)
