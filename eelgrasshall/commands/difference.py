"""`eelgrasshall diff`: compares a declaration with what is in force."""

from eelgrasshall import declare
from eelgrasshall.commands import base
from eelgrasshall.commands import changes
from eelgrasshall.commands import exits
from eelgrasshall.commands import printing
from eelgrasshall.commands import program
from eelgrasshall.commands import registry
from eelgrasshall.commands import rollout


@registry.register
class DiffCommand(base.Command):
    """Shows what applying a declaration would change."""

    name = "diff"
    description = "Show what applying a declaration would change."
    help = """\
Compares a declaration with the configuration in force: + is new, - goes, ~
changes. Zones that are out stay out when a declaration is applied, so that is
no difference. Exits with 0 if nothing would change and with 9 otherwise.

  eelgrasshall diff examples/tandil.py --daemon http://127.0.0.1:7300
"""
    arguments = [printing.DECLARATION]
    options = [base.JSON_OPTION, base.DAEMON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        declared, problems = program.load(self.argument("declaration"))
        if declared is None:
            return self.fail(problems)
        current = self.run_async(rollout.read_current(self.list_daemons()))
        if isinstance(current, list):
            return self.fail(current)
        target = declare.keep_zones(declared, current)
        differences = changes.compare(current, target)
        document = {
            "version": current.version,
            "changes": [each.to_plain() for each in differences],
        }
        lines = [each.describe() for each in differences]
        self.print_result(
            document, lines or [f"No difference to version {current.version}."]
        )
        code = exits.ExitCode.DIFFERENT if differences else exits.ExitCode.DONE
        return int(code)
