"""Headers between the system and the backend servers.

A pure codec: an `Attempt` becomes request headers, and status, headers and
body of a response become a `BackendResponse`.  What does not follow
docs/PROTOCOLS.md is given as None, so that a broken response is never taken
for an answer.
"""

from collections.abc import Mapping
import json
from typing import NamedTuple

from eelgrasshall.protocol import messages

ATTEMPT = "X-Attempt"
QUERY_ID = "X-Query-Id"
DEADLINE_MS = "X-Deadline-Ms"
KIND = "X-Kind"
SNAPSHOT = "X-Snapshot"
RUN_ONCE = "X-Run-Once"
INCARNATION = "X-Incarnation"
SNAPSHOTS = "X-Snapshots"
KEY_RANGE = "X-Key-Range"
NOT_RUN = "X-Not-Run"
DRAINING = "X-Draining"

SERVED = 200
SNAPSHOT_GONE = 409
CANCELLED = 499
SHED = 503
DEADLINE_PASSED = 504


class Attempt(NamedTuple):
    """One try to run a sub-request on one backend server.

    Attributes:
      attempt_id: Names the attempt; unique over all hosts and time.
      query_id: The caller's query.
      kind: The kind of request.
      body: The caller's query as JSON bytes.
      snapshot: The pinned snapshot, or None for the newest.
      budget_s: Seconds left until the deadline, at sending.
      run_once: Whether the request may not be repeated.
    """

    attempt_id: str
    query_id: str
    kind: str
    body: bytes
    snapshot: messages.Snapshot | None
    budget_s: float
    run_once: bool


class BackendResponse(NamedTuple):
    """What a backend server said of one attempt.

    Attributes:
      status: HTTP status.
      attempt_id: The echoed attempt.
      incarnation: Changes with each start of the backend server.
      available: Snapshots that it can serve, newest first.
      not_run: Whether it says that it did not run the attempt.
      draining: Whether it says that it is leaving.
      part: The records as JSON bytes; empty unless served.
      snapshot: The snapshot of the part; None unless served.
      key_range: The keys of the part; None unless served.
    """

    status: int
    attempt_id: str
    incarnation: str
    available: tuple[messages.Snapshot, ...] = ()
    not_run: bool = False
    draining: bool = False
    part: bytes = b""
    snapshot: messages.Snapshot | None = None
    key_range: messages.KeyRange | None = None

    @property
    def served(self) -> bool:
        """Returns whether it carries a part."""
        return self.status == SERVED


class Health(NamedTuple):
    """What a health endpoint claims; it lags and may be wrong.

    Attributes:
      ready: Whether the backend server says that it takes work.
      draining: Whether it says that it is leaving.
      snapshots: Snapshots that it says it can serve, newest first.
      incarnation: Changes with each start of the backend server.
    """

    ready: bool
    draining: bool
    snapshots: tuple[messages.Snapshot, ...]
    incarnation: str


def format_headers(attempt: Attempt) -> dict[str, str]:
    """Returns the request headers of an attempt."""
    headers = {
        ATTEMPT: attempt.attempt_id,
        QUERY_ID: attempt.query_id,
        DEADLINE_MS: str(max(1, int(attempt.budget_s * 1000))),
        KIND: attempt.kind,
        "Content-Type": "application/json",
    }
    if attempt.snapshot is not None:
        headers[SNAPSHOT] = attempt.snapshot.to_text()
    if attempt.run_once:
        headers[RUN_ONCE] = "1"
    return headers


def parse_response(
    status: int, headers: Mapping[str, str], body: bytes
) -> BackendResponse | None:
    """Reads a response; gives None where it breaks the protocol.

    Args:
      status: HTTP status.
      headers: Response headers, looked up without regard to case.
      body: The whole response body.

    Returns:
      The response, or None if a required header is missing or malformed.
    """
    attempt_id = headers.get(ATTEMPT, "")
    incarnation = headers.get(INCARNATION, "")
    available = _parse_snapshots(headers.get(SNAPSHOTS, "").split(","))
    if not attempt_id or not incarnation or available is None:
        return None
    response = BackendResponse(
        status=status,
        attempt_id=attempt_id,
        incarnation=incarnation,
        available=available,
        not_run=headers.get(NOT_RUN) == "1",
        draining=headers.get(DRAINING) == "1",
    )
    if status != SERVED:
        return response
    snapshot = messages.parse_snapshot(headers.get(SNAPSHOT, ""))
    key_range = _parse_key_range(headers.get(KEY_RANGE, ""))
    if snapshot is None or key_range is None:
        return None
    return response._replace(part=body, snapshot=snapshot, key_range=key_range)


def parse_health(body: bytes) -> Health | None:
    """Reads a health answer; gives None where it breaks the protocol."""
    try:
        document = json.loads(body)
        snapshots = _parse_snapshots(document["snapshots"])
        ready, draining = document["ready"], document["draining"]
        incarnation = document["incarnation"]
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    if snapshots is None or not isinstance(incarnation, str):
        return None
    return Health(ready is True, draining is True, snapshots, incarnation)


def _parse_snapshots(
    texts: list[str],
) -> tuple[messages.Snapshot, ...] | None:
    """Reads snapshots and sorts them newest first; None if one is broken."""
    found = []
    for text in texts:
        if not text.strip():
            continue
        snapshot = messages.parse_snapshot(text.strip())
        if snapshot is None:
            return None
        found.append(snapshot)
    return tuple(sorted(found, reverse=True))


def _parse_key_range(text: str) -> messages.KeyRange | None:
    """Reads `low-high`; gives None for anything else."""
    low, dash, high = text.partition("-")
    if not (dash and low.isdigit() and high.isdigit()):
        return None
    key_range = messages.KeyRange(int(low), int(high))
    if not 0 <= key_range.low <= key_range.high <= messages.KEY_SPACE:
        return None
    return key_range
