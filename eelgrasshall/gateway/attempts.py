"""Attempts: single sendings of a request to one backend server."""

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Protocol

from eelgrasshall.gateway import messages

if TYPE_CHECKING:
    from eelgrasshall.gateway import connections
    from eelgrasshall.gateway import upstream


class Owner(Protocol):
    """Who asked for an attempt."""

    def settle(
        self,
        attempt: "Attempt",
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Takes the outcome of an attempt."""


class Attempt:
    """One sending of a request to one backend server.

    Args:
      owner: Who waits for the outcome.
      part: What the owner knows the attempt by.
      request_id: The id that the response must echo; None for a health check,
        which has none.
      encode: Gives the bytes for a number of seconds left.
      deadline_s: Monotonic time until which the backend server may work.
      expected_s: Usual latency of such requests, seconds.
      fresh: Whether only a connection opened for it may carry it.
      find_fingerprint: Returns what stays the same when the caller sends the
        request again; None for a health check.
    """

    __slots__ = (
        "backend",
        "connection",
        "deadline_s",
        "done",
        "encode",
        "expected_s",
        "find_fingerprint",
        "fresh",
        "owner",
        "part",
        "request_id",
        "sent",
        "started_s",
    )

    def __init__(
        self,
        *,
        owner: Owner | None,
        part: object,
        request_id: bytes | None,
        encode: Callable[[float, str], bytes],
        deadline_s: float,
        expected_s: float,
        fresh: bool,
        find_fingerprint: Callable[[], str] | None = None,
    ):
        self.find_fingerprint = find_fingerprint
        self.owner = owner
        self.part = part
        self.request_id = request_id
        self.encode = encode
        self.deadline_s = deadline_s
        self.expected_s = expected_s
        self.fresh = fresh
        self.backend: upstream.Backend | None = None
        self.connection: connections.Connection | None = None
        self.started_s = 0.0
        self.sent = False
        self.done = False
