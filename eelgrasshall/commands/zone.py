"""`eelgrasshall zone out` and `zone in`: take zones out of service and back.

Both commands change only the zone in the configuration in force, so that they
work without the declaring program.
"""

from cleo import helpers

from eelgrasshall import declare
from eelgrasshall import errors
from eelgrasshall.commands import change_command
from eelgrasshall.commands import registry
from eelgrasshall.commands import rollout

_ZONE = helpers.argument("zone", "Name of the availability zone.")


class _ZoneCommand(change_command.ChangeCommand):
    """Base class of the commands that put a zone in or out of service."""

    arguments = [_ZONE]
    in_service: bool

    def handle(self) -> int:
        """Runs the command."""
        current = self.run_async(rollout.fetch_current(self.list_admin_urls()))
        if isinstance(current, list):
            return self.fail(current)
        target = declare.put_zone(
            current, self.argument("zone"), in_service=self.in_service
        )
        if isinstance(target, errors.Problem):
            return self.fail([target])
        return self.apply_change(current, target)


@registry.register
class ZoneOutCommand(_ZoneCommand):
    """Takes a zone out of service."""

    name = "zone out"
    description = "Take an availability zone out of service."
    help = """\
Takes an availability zone out of service: its backend servers receive no new
requests, and its entry hosts own no services and are omitted from address
lists. Requests in flight are completed. The last zone in service cannot be
taken out.

  eelgrasshall zone out azul-c --wait
"""
    in_service = False


@registry.register
class ZoneInCommand(_ZoneCommand):
    """Brings a zone back into service."""

    name = "zone in"
    description = "Bring an availability zone back into service."
    help = """\
Brings an availability zone back into service. Its backend servers are treated
as cold, and their load rises as they complete requests successfully.

  eelgrasshall zone in azul-c --wait
"""
    in_service = True
