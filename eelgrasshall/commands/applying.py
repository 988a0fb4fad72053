"""`eelgrasshall apply`: brings a declaration into force."""

from eelgrasshall import declare
from eelgrasshall.commands import change_command
from eelgrasshall.commands import declaration_loader
from eelgrasshall.commands import printing
from eelgrasshall.commands import registry
from eelgrasshall.commands import rollout


@registry.register
class ApplyCommand(change_command.ChangeCommand):
    """Submits a declaration as the next version of the configuration."""

    name = "apply"
    description = "Bring a declaration into force."
    help = """\
Submits a declaration as the next version of the configuration. The version is
accepted once it is written to the platform's store, and only if no other change
was accepted first. With --wait the command returns when the version is in force
on every live host, and until then prints the hosts on which it is not. Zones
that are out of service stay out of service.

  eelgrasshall apply examples/tandil.py --wait
  eelgrasshall apply tandil.json --daemon http://127.0.0.1:7300 --json
"""
    arguments = [printing.DECLARATION]

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
        for zone in target.zones:
            if not zone.in_service:
                self.print_note(f"Zone {zone.name} stays out of service.")
        return self.apply_change(current, target)
