"""`eelgrasshall check`: checks a declaration without a daemon."""

from eelgrasshall.commands import base
from eelgrasshall.commands import declaration_loader
from eelgrasshall.commands import exit_codes
from eelgrasshall.commands import printing
from eelgrasshall.commands import registry


@registry.register
class CheckCommand(base.Command):
    """Checks a declaration and prints every problem found."""

    name = "check"
    description = "Check a declaration without a daemon."
    help = """\
Checks a declaring program or a printed configuration and prints every problem
found, with its location and remedy. Exits with 2 if there is one.

  eelgrasshall check examples/tandil.py
"""
    arguments = [printing.DECLARATION]

    def handle(self) -> int:
        """Runs the command."""
        declared, problems = declaration_loader.load_declaration(
            self.argument("declaration")
        )
        if declared is None:
            return self.fail(problems)
        sizes = {
            "zones": len(declared.zones),
            "services": len(declared.services),
            "servers": sum(len(s.servers) for s in declared.services),
            "kinds": len(declared.kinds),
        }
        line = (
            f"Valid: {sizes['zones']} zones, {sizes['services']} services, "
            f"{sizes['servers']} backend servers, {sizes['kinds']} kinds."
        )
        self.print_result({"valid": True, **sizes}, [line])
        return int(exit_codes.ExitCode.DONE)
