"""Attempts: a caller's request as sent to one backend server."""

from collections.abc import Callable
import math
from typing import TYPE_CHECKING
from typing import Protocol

from eelgrasshall.gateway import messages
from eelgrasshall.gateway import zone_traffic

if TYPE_CHECKING:
    from eelgrasshall.gateway import connections
    from eelgrasshall.gateway import upstream


class Owner(Protocol):
    """The object that requested an attempt."""

    def handle_outcome(
        self,
        attempt: "Attempt",
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Receives the outcome of an attempt; called at most once."""


class Attempt:
    """One request sent, or to be sent, to one backend server.

    Args:
      owner: Receives the outcome; None once it is no longer needed.
      tag: Opaque value by which the owner recognizes the attempt.
      request_id: The id that the response must echo; None for a health check,
        which has none.
      encode: Returns the request as bytes, given the seconds remaining until
        the deadline and the server's id.
      deadline_s: Monotonic time until which the backend server may work.
      expected_latency_s: Usual latency of such requests, seconds.
      due_s: Monotonic time by which a response counts as in time; infinity if
        any time before the deadline does.
      needs_new_connection: Whether the request may only be sent on a newly
        opened connection.
      compute_fingerprint: Returns a hash of the request that is the same when
        the caller retries it; None for a health check.
      route_name: The route of the request; empty for a health check.
      is_extra: Whether it is a hedge or a retry.
      expects_body: Whether a response may have a body.
    """

    __slots__ = (
        "backend",
        "compute_fingerprint",
        "connection",
        "deadline_s",
        "done",
        "due_s",
        "encode",
        "expected_latency_s",
        "expects_body",
        "is_extra",
        "needs_new_connection",
        "owner",
        "request_id",
        "route_name",
        "sent",
        "sent_s",
        "started_s",
        "tag",
    )

    def __init__(
        self,
        *,
        owner: Owner | None,
        tag: object,
        request_id: bytes | None,
        encode: Callable[[float, str], bytes],
        deadline_s: float,
        expected_latency_s: float,
        needs_new_connection: bool,
        due_s: float = math.inf,
        compute_fingerprint: Callable[[], str] | None = None,
        route_name: str = "",
        is_extra: bool = False,
        expects_body: bool = True,
    ):
        self.route_name = route_name
        self.is_extra = is_extra
        self.expects_body = expects_body
        self.compute_fingerprint = compute_fingerprint
        self.owner = owner
        self.tag = tag
        self.request_id = request_id
        self.encode = encode
        self.deadline_s = deadline_s
        self.due_s = due_s
        self.expected_latency_s = expected_latency_s
        self.needs_new_connection = needs_new_connection
        self.backend: upstream.Backend | None = None
        self.connection: connections.Connection | None = None
        self.started_s = 0.0
        self.sent = False
        self.sent_s = 0.0
        self.done = False

    @property
    def cause(self) -> zone_traffic.Cause:
        """Why its bytes are sent."""
        if self.is_health_check:
            return zone_traffic.Cause.HEALTH_CHECKS
        if self.is_extra:
            return zone_traffic.Cause.EXTRA_ATTEMPTS
        return zone_traffic.Cause.ATTEMPTS

    @property
    def is_health_check(self) -> bool:
        """Whether this host made it, and no caller."""
        return self.request_id is None
