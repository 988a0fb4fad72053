"""Members: what is known of each entry host, and its form on the wire.

A statement about a member carries a sequence, and the statement with the
highest sequence counts.  Only the host itself makes statements whose sequence
is a multiple of `SEQUENCE_STEP`; suspicion and death, which others state,
take the numbers between.  A host that hears itself called suspect or dead
answers with its next own number and so always has the last word.
"""

import enum
import json
from typing import NamedTuple

from eelgrasshall.protocol import messages

TOPIC = "member"
SEQUENCE_STEP = 4


class MemberStatus(enum.Enum):
    """What a host is held to be; the value is the name on the wire.

    JOINING: It has started and has no configuration yet; it takes no work.
    ALIVE: It answers.
    SUSPECT: It did not answer, and may refute this for a while.
    LEAVING: It has said that it is about to go; it takes no new work.
    DEAD: It is out of the view until it speaks for itself again.
    """

    JOINING = "joining"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Member(NamedTuple):
    """An entry host.

    Attributes:
      name: Its name, unique in the fleet.
      zone: Its availability zone.
      region: The region of the zone.
      caller_host: IP address for callers.
      caller_port: TCP port for callers.
      peer_host: IP address for peers.
      peer_port: TCP port for peers.
      incarnation: Changes with each start of the host's process.
      status: What it is held to be.
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
        """Returns whether messages to it are worth sending."""
        return self.status is not MemberStatus.DEAD

    def takes_work(self) -> bool:
        """Returns whether it may be given new work."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)


def encode_member(member: Member) -> bytes:
    """Returns the body of a statement about a member."""
    fields = [*member[1:-1], member.status.value]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_member(fact: messages.GossipFact) -> Member | None:
    """Reads a statement about a member; gives None for anything else."""
    try:
        fields = json.loads(fact.body)
        *rest, status = fields
        return Member(fact.key, *rest, status=MemberStatus(status))
    except (ValueError, TypeError):
        return None


def first_sequence(incarnation: int) -> int:
    """Returns the sequence of the first statement of a new process."""
    return incarnation * SEQUENCE_STEP


def next_own_sequence(known: int) -> int:
    """Returns the host's own next sequence above any known one."""
    return (known // SEQUENCE_STEP + 1) * SEQUENCE_STEP


def suspicion_sequence(known: int) -> int:
    """Returns the sequence that states suspicion of the statement `known`."""
    return known // SEQUENCE_STEP * SEQUENCE_STEP + 1


def death_sequence(known: int) -> int:
    """Returns the sequence that states death after the statement `known`."""
    return known // SEQUENCE_STEP * SEQUENCE_STEP + 2
