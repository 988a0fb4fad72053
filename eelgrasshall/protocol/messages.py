"""Messages of a query inside the system, whatever carries them.

A caller's request becomes one `SubRequest` for each service that its kind
touches.  The owner of the service runs it against a backend server and gives
one `SubResult`.  Both are immutable and travel between processes through the
codec of `peers`.
"""

import enum
from typing import NamedTuple

from eelgrasshall import errors

# The size of the key space that the services of a kind divide among them.
KEY_SPACE = 65536


class Snapshot(NamedTuple):
    """One state of the whole index.

    Attributes:
      epoch: Version of the shard map, raised by each repartitioning.
      version: Version of the index contents.
    """

    epoch: int
    version: int

    def to_text(self) -> str:
        """Returns the form used in headers, `epoch.version`."""
        return f"{self.epoch}.{self.version}"


def parse_snapshot(text: str) -> Snapshot | None:
    """Reads `epoch.version`; gives None for anything else."""
    epoch, dot, version = text.partition(".")
    if not (dot and epoch.isdigit() and version.isdigit()):
        return None
    return Snapshot(int(epoch), int(version))


class KeyRange(NamedTuple):
    """Keys from `low` up to but without `high`, within `KEY_SPACE`."""

    low: int
    high: int


class SubOutcome(enum.Enum):
    """How a sub-request ended; the value is the name on the wire.

    SERVED: `part` holds the records.
    NOT_RUN: No backend server ran it, and it may be sent again.
    FAILED: It may have run; nothing is known of its effect.
    SNAPSHOT_GONE: No usable backend server has the pinned snapshot; not run.
    """

    SERVED = "served"
    NOT_RUN = "not_run"
    FAILED = "failed"
    SNAPSHOT_GONE = "snapshot_gone"


class SubRequest(NamedTuple):
    """One service's share of a query.

    Attributes:
      sub_id: Names this sub-request; unique over all hosts and time.
      query_id: The caller's query.
      kind: The kind of request.
      service: The service to ask.
      body: The caller's query as JSON bytes.
      snapshot: The pinned snapshot, or None to take the server's newest.
      budget_s: Seconds left until the query's deadline, at sending.
      age_s: Seconds since the query was admitted, at sending; older queries
        go first in a queue.
      repeatable: Whether it may be hedged and retried.
      fingerprint: Hash of kind and body, for poison requests.
      direct: Whether the sender is not the owner and bypasses the queue.
    """

    sub_id: str
    query_id: str
    kind: str
    service: str
    body: bytes
    snapshot: Snapshot | None
    budget_s: float
    age_s: float
    repeatable: bool
    fingerprint: str
    direct: bool = False


class SubResult(NamedTuple):
    """What became of one sub-request.

    Attributes:
      sub_id: The sub-request that this answers.
      service: Its service.
      outcome: How it ended.
      part: The records as JSON bytes; empty unless served.
      snapshot: The snapshot that the part comes from; None unless served.
      key_range: The keys that the part covers; None unless served.
      server: Name of the backend server that served it, or an empty string.
      server_warm: Whether that server was warm, so that others may send to it
        when the owner cannot be reached.
      available: The snapshots that the service's usable servers can all or
        partly serve, newest first, as last seen.
      queue_wait_s: Seconds that the sub-request waited at the owner.
      attempts: Attempts sent to backend servers, hedges included.
      hedges: Hedges among the attempts.
      problem: Why it was not served; None if it was.
    """

    sub_id: str
    service: str
    outcome: SubOutcome
    part: bytes = b""
    snapshot: Snapshot | None = None
    key_range: KeyRange | None = None
    server: str = ""
    server_warm: bool = False
    available: tuple[Snapshot, ...] = ()
    queue_wait_s: float = 0.0
    attempts: int = 0
    hedges: int = 0
    problem: errors.Problem | None = None


class GossipFact(NamedTuple):
    """One fact that hosts tell each other, newest sequence wins.

    Attributes:
      topic: The subsystem that understands it, such as `member` or `cold`.
      key: What it is about, unique within the topic.
      sequence: Rises with each new statement about the key.
      body: JSON bytes that the topic defines.
    """

    topic: str
    key: str
    sequence: int
    body: bytes


class Gossip(NamedTuple):
    """A heartbeat, or the reply to one.

    Attributes:
      sender: Name of the sending host.
      incarnation: The sender's incarnation, rises with each start.
      configuration_version: The version that the sender has in force.
      facts: Facts that the sender thinks the receiver lacks.
      probe: Host that the receiver should probe on the sender's behalf, or
        an empty string.
      reachable: In a reply to a probe request, whether the probed host
        answered.
    """

    sender: str
    incarnation: int
    configuration_version: int
    facts: tuple[GossipFact, ...] = ()
    probe: str = ""
    reachable: bool = False
