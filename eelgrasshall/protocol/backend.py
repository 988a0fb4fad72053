"""Codec of the HTTP protocol between entry hosts and backend servers.

Encodes an `Attempt` as request headers, and decodes the status, headers and
body of a response into a `BackendResponse`.  Responses that violate
docs/PROTOCOLS.md decode to None, so that a malformed response is never taken
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
    """One attempt to run a sub-request on a backend server.

    Attributes:
      attempt_id: Identifier of the attempt; globally unique, never reused.
      query_id: Identifier of the caller's query.
      kind: The kind of request.
      body: The caller's query as JSON bytes.
      snapshot: The pinned snapshot, or None for the newest.
      budget_s: Seconds remaining until the deadline when sent.
      run_once: Whether the request must not run more than once.
    """

    attempt_id: str
    query_id: str
    kind: str
    body: bytes
    snapshot: messages.Snapshot | None
    budget_s: float
    run_once: bool


class BackendResponse(NamedTuple):
    """A backend server's response to one attempt.

    Attributes:
      status: HTTP status code.
      attempt_id: The attempt id that the server echoed.
      incarnation: Value that changes with each start of the backend server.
      available: Snapshots that the server can serve, newest first.
      not_run: Whether the server reports that it did not run the attempt.
      draining: Whether the server reports that it is draining.
      part: The records as JSON bytes; empty unless served.
      snapshot: The snapshot of the records; None unless served.
      key_range: The key range of the records; None unless served.
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
        """Whether the response contains records."""
        return self.status == SERVED


class Health(NamedTuple):
    """The reply of a health endpoint, which may be out of date or wrong.

    Attributes:
      ready: Whether the backend server reports that it accepts work.
      draining: Whether it reports that it is draining.
      snapshots: Snapshots that it reports it can serve, newest first.
      incarnation: Value that changes with each start of the backend server.
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
    """Decodes a response.

    Args:
      status: HTTP status code.
      headers: Response headers, with case-insensitive lookup.
      body: The complete response body.

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
    """Decodes a health reply; returns None if it violates the protocol."""
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
    """Parses snapshots, newest first; returns None if one is malformed."""
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
    """Parses `low-high`; returns None if malformed or out of range."""
    low, separator, high = text.partition("-")
    if not (separator and low.isdigit() and high.isdigit()):
        return None
    key_range = messages.KeyRange(int(low), int(high))
    if not 0 <= key_range.low <= key_range.high <= messages.KEY_SPACE:
        return None
    return key_range
