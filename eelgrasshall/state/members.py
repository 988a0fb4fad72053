"""Entry hosts as members of the fleet, and their encoding as gossip facts.

Each fact about a member carries a sequence number, and the fact with the
highest number wins.  Multiples of `SEQUENCE_STEP` are reserved for facts that a
host publishes about itself; other hosts use the numbers in between to declare
it suspect or dead.  A host that learns that it was declared suspect or dead
refutes this with its own next number, which is higher.
"""

import enum
import json
from typing import NamedTuple

from eelgrasshall.protocol import messages

TOPIC = "member"
SEQUENCE_STEP = 4


class MemberStatus(enum.Enum):
    """Status of an entry host; the value is the name on the wire.

    JOINING: Started, but without a configuration; accepts no work.
    ALIVE: Responds to probes.
    SUSPECT: Failed to respond, and is declared dead unless it refutes this
      before the suspicion time-out.
    LEAVING: Announced that it is shutting down; accepts no new work.
    DEAD: Removed from the view until it publishes a newer fact about itself.
    """

    JOINING = "joining"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Member(NamedTuple):
    """An entry host.

    Attributes:
      name: Name, unique in the fleet.
      zone: Name of its availability zone.
      region: Name of the region of the zone.
      caller_host: IP address for callers.
      caller_port: TCP port for callers.
      peer_host: IP address for peers.
      peer_port: TCP port for peers.
      incarnation: Number that changes with each start of the process.
      status: Current status as known to this host.
    """

    name: str
    zone: str
    region: str
    caller_host: str
    caller_port: int
    peer_host: str
    peer_port: int
    incarnation: int
    status: MemberStatus = MemberStatus.ALIVE

    def is_usable(self) -> bool:
        """Returns whether messages should be sent to it."""
        return self.status is not MemberStatus.DEAD

    def accepts_work(self) -> bool:
        """Returns whether it may be given new work."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)


def encode_member(member: Member) -> bytes:
    """Returns the body of a gossip fact about a member."""
    fields = [*member[1:-1], member.status.value]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_member(fact: messages.GossipFact) -> Member | None:
    """Decodes a gossip fact about a member; returns None if malformed."""
    try:
        fields = json.loads(fact.body)
        *rest, status = fields
        return Member(fact.key, *rest, status=MemberStatus(status))
    except (ValueError, TypeError):
        return None


def compute_first_sequence(incarnation: int) -> int:
    """Returns the sequence number of a new process's first own fact."""
    return incarnation * SEQUENCE_STEP


def compute_next_own_sequence(known: int) -> int:
    """Returns the host's own next sequence number above `known`."""
    return (known // SEQUENCE_STEP + 1) * SEQUENCE_STEP


def compute_suspicion_sequence(known: int) -> int:
    """Returns the number of a suspicion that overrides the own fact `known`."""
    return known // SEQUENCE_STEP * SEQUENCE_STEP + 1


def compute_death_sequence(known: int) -> int:
    """Returns the number of a death that overrides `known` or its suspicion."""
    return known // SEQUENCE_STEP * SEQUENCE_STEP + 2
