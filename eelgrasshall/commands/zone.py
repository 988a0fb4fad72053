"""`eelgrasshall zone out` and `zone in`: takes zones out and brings them back.

Both change nothing but the zone in the configuration in force, so that they
work without the declaring program at hand.
"""

from cleo import helpers

from eelgrasshall import declare
from eelgrasshall import errors
from eelgrasshall.commands import change
from eelgrasshall.commands import registry
from eelgrasshall.commands import rollout

_ZONE = helpers.argument("zone", "Name of the availability zone.")


class _ZoneCommand(change.ChangeCommand):
    """Puts one zone in or out of service."""

    arguments = [_ZONE]
    in_service: bool

    def handle(self) -> int:
        """Runs the command."""
        current = self.run_async(rollout.read_current(self.list_daemons()))
        if isinstance(current, list):
            return self.fail(current)
        target = declare.put_zone(
            current, self.argument("zone"), in_service=self.in_service
        )
        if isinstance(target, errors.Problem):
            return self.fail([target])
        return self.change(current, target)


@registry.register
class ZoneOutCommand(_ZoneCommand):
    """Takes a zone out of service."""

    name = "zone out"
    description = "Take an availability zone out of service."
    help = """\
Takes an availability zone out of service: its backend servers receive no new
work, its entry hosts own no services and are left out of address answers.
Requests in flight are finished. The last zone in service cannot be taken out.

  eelgrasshall zone out azul-c --wait
"""
    in_service = False


@registry.register
class ZoneInCommand(_ZoneCommand):
    """Brings a zone back into service."""

    name = "zone in"
    description = "Bring an availability zone back into service."
    help = """\
Brings an availability zone back into service. Its backend servers count as
cold and receive more work only as they prove to bear it.

  eelgrasshall zone in azul-c --wait
"""
    in_service = True
