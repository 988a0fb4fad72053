"""Internal messages between entry hosts, independent of the transport.

A caller's request is split into one `SubRequest` for each service of its kind.
The owner of the service runs it on a backend server and returns one
`SubResult`.  Both are immutable; module `peers` encodes them for the wire.
"""

import enum
from typing import NamedTuple

from eelgrasshall import errors

# Size of the key space, which is partitioned among the services of a kind.
KEY_SPACE = 65536


class Snapshot(NamedTuple):
    """Version of the whole index.

    Attributes:
      epoch: Version of the shard map; incremented by each repartitioning.
      version: Version of the index contents.
    """

    epoch: int
    version: int

    def to_text(self) -> str:
        """Returns the header form, `epoch.version`."""
        return f"{self.epoch}.{self.version}"


def parse_snapshot(text: str) -> Snapshot | None:
    """Parses `epoch.version`; returns None if malformed."""
    epoch, separator, version = text.partition(".")
    if not (separator and epoch.isdigit() and version.isdigit()):
        return None
    return Snapshot(int(epoch), int(version))


class KeyRange(NamedTuple):
    """Keys from `low` inclusive to `high` exclusive, within `KEY_SPACE`."""

    low: int
    high: int


class SubOutcome(enum.Enum):
    """Outcome of a sub-request; the value is the name on the wire.

    SERVED: It succeeded; `part` contains the records.
    NOT_RUN: No backend server ran it; it may be sent again.
    FAILED: It may have run; its effect is unknown.
    SNAPSHOT_GONE: It was not run, because no usable backend server has the
      pinned snapshot.
    """

    SERVED = "served"
    NOT_RUN = "not_run"
    FAILED = "failed"
    SNAPSHOT_GONE = "snapshot_gone"


class SubRequest(NamedTuple):
    """The request to one service on behalf of a query.

    Attributes:
      sub_id: Identifier of the sub-request; globally unique, never reused.
      query_id: Identifier of the caller's query.
      kind: Name of the kind of request.
      service: Name of the service.
      body: The caller's query as JSON bytes.
      snapshot: The pinned snapshot, or None for the server's newest.
      budget_s: Seconds remaining until the query's deadline when sent.
      age_s: Seconds since the query was admitted when sent; queues serve the
        oldest query first.
      repeatable: Whether it may be hedged and retried.
      fingerprint: Hash of kind and body, which identifies poison requests.
      direct: Whether a host that does not own the service sends it to a
        backend server, bypassing the owner's queue.
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
    """The result of one sub-request.

    Attributes:
      sub_id: Identifier of the sub-request.
      service: Name of its service.
      outcome: Outcome of the sub-request.
      part: The records as JSON bytes; empty unless served.
      snapshot: The snapshot of the records; None unless served.
      key_range: The key range of the records; None unless served.
      server: Name of the backend server that served it, or an empty string.
      server_warm: Whether that server was warm, so that other hosts may send
        to it directly while the owner is unreachable.
      available: Snapshots that at least one usable server of the service can
        serve, newest first, as last observed.
      queue_wait_s: Seconds that the sub-request waited in the owner's queue.
      attempts: Number of attempts sent to backend servers, including hedges.
      hedges: Number of hedges among the attempts.
      problem: Reason why it was not served; None if it was.
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
    """A fact that hosts gossip; the highest sequence number wins.

    Attributes:
      topic: Subsystem that the fact belongs to, such as `member` or `cold`.
      key: Subject of the fact, unique within the topic.
      sequence: Number that increases with each new fact about the key.
      body: JSON bytes in the format of the topic.
    """

    topic: str
    key: str
    sequence: int
    body: bytes


class Gossip(NamedTuple):
    """A heartbeat, or the reply to one.

    Attributes:
      sender: Name of the sending host.
      incarnation: Incarnation of the sender; increases with each start.
      configuration_version: Version of the configuration in force at the
        sender.
      facts: Facts that the receiver may lack.
      probe: Name of the host that the receiver should probe on behalf of the
        sender, or an empty string.
      reachable: In a reply to a probe request, whether the probed host
        responded.
    """

    sender: str
    incarnation: int
    configuration_version: int
    facts: tuple[GossipFact, ...] = ()
    probe: str = ""
    reachable: bool = False
