"""`eelgrasshall diff`: compares a declaration with the one in force."""

from eelgrasshall import declare
from eelgrasshall.commands import base
from eelgrasshall.commands import configuration_diff
from eelgrasshall.commands import declaration_loader
from eelgrasshall.commands import exit_codes
from eelgrasshall.commands import printing
from eelgrasshall.commands import registry
from eelgrasshall.commands import rollout


@registry.register
class DiffCommand(base.Command):
    """Shows what applying a declaration would change."""

    name = "diff"
    description = "Show what applying a declaration would change."
    help = """\
Compares a declaration with the configuration in force. Each line is marked +
for added, - for removed or ~ for changed. Zones that are out of service stay so
when a declaration is applied, so this does not count as a difference. Exits
with 0 if nothing would change and with 9 otherwise.

  eelgrasshall diff examples/tandil.py --daemon http://127.0.0.1:7300
"""
    arguments = [printing.DECLARATION]
    options = [base.JSON_OPTION, base.DAEMON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        declared, problems = declaration_loader.load_declaration(
            self.argument("declaration")
        )
        if declared is None:
            return self.fail(problems)
        current = self.run_async(rollout.fetch_current(self.list_admin_urls()))
        if isinstance(current, list):
            return self.fail(current)
        target = declare.keep_zones(declared, current)
        differences = configuration_diff.compare(current, target)
        document = {
            "version": current.version,
            "changes": [each.to_plain() for each in differences],
        }
        lines = [each.describe() for each in differences]
        self.print_result(
            document,
            lines or [f"No difference from version {current.version}."],
        )
        code = (
            exit_codes.ExitCode.DIFFERENT
            if differences
            else exit_codes.ExitCode.DONE
        )
        return int(code)
