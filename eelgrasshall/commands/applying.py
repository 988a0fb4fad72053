"""`eelgrasshall apply`: puts a declaration in force."""

from eelgrasshall import declare
from eelgrasshall.commands import change
from eelgrasshall.commands import printing
from eelgrasshall.commands import program
from eelgrasshall.commands import registry
from eelgrasshall.commands import rollout


@registry.register
class ApplyCommand(change.ChangeCommand):
    """Makes a declaration the next version of the configuration."""

    name = "apply"
    description = "Put a declaration in force."
    help = """\
Makes a declaration the next version of the configuration. It is accepted once
the platform's store holds it, and only if no other change came first. With
--wait the command ends when every live host has it in force, and meanwhile
names the hosts that have not. Zones that are out stay out.

  eelgrasshall apply examples/tandil.py --wait
  eelgrasshall apply tandil.json --daemon http://127.0.0.1:7300 --json
"""
    arguments = [printing.DECLARATION]

    def handle(self) -> int:
        """Runs the command."""
        declared, problems = program.load(self.argument("declaration"))
        if declared is None:
            return self.fail(problems)
        current = self.run_async(rollout.read_current(self.list_daemons()))
        if isinstance(current, list):
            return self.fail(current)
        target = declare.keep_zones(declared, current)
        for zone in target.zones:
            if not zone.in_service:
                self.print_note(f"The zone {zone.name} is out and stays out.")
        return self.change(current, target)
