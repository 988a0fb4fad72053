"""Connection pool, queue and statistics of one backend server.

A backend server accepts few connections and opening one takes as long as some
requests, so connections are kept open and reused.  Each carries one request
at a time.  A connection that receives bytes while no request is in flight is
closed, since they may belong to an earlier request.  An attempt whose outcome
is no longer needed runs to its end, because aborting it would cost a new
connection, unless its caller has left.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import math
from typing import NamedTuple
from typing import Protocol

from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import connections
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import pauses
from eelgrasshall.gateway import rate_limits
from eelgrasshall.gateway import send_queue
from eelgrasshall.gateway import zone_traffic

# Several round trips to another zone; after that the server is unreachable.
CONNECT_TIMEOUT_S = 0.4
# A connection that takes so much longer to fail shows that this process was
# suspended meanwhile.
SUSPENDED_S = 3 * CONNECT_TIMEOUT_S
# Weights of the newest observation in the moving averages.
LATENCY_WEIGHT = 0.1
ERROR_WEIGHT = 0.25
# Time constant with which the error and refusal rates decay.
ERROR_DECAY_S = 2.0
# Latency ratio assumed for a cold backend server until it has answered.
COLD_LATENCY_RATIO = 1.6
# Upper bound on the latency ratio of one attempt; a higher one means a stall.
MAX_LATENCY_RATIO = 20.0
# Upper bound on the ratio of one attempt in the usual ratio: a pause of the
# server, which a hedge covers, does not make it a slow one.
MAX_USUAL_RATIO = 4.0
# Time constant with which responses take the place of older ones in the usual
# ratio where they are rare: with many hosts, each gets few from a server.
USUAL_RATIO_WINDOW_S = 1.0
# Time constant with which the usual ratio returns to 1 without responses, so
# that a server that was slow is tried again.
USUAL_RATIO_DECAY_S = 10.0
# An attempt with no more time than this cannot be answered and is not sent.
MIN_REMAINING_S = 0.001
# How long before a silent loss the server may have been down already.
SILENT_LOOKBACK_S = 5.0
# Delay before a connection is opened to find out whether a server is down: a
# process that ends closes its connections before its listening socket.
VERIFICATION_DELAY_S = 0.02
# Number of verifications after a loss, each after twice the delay of the one
# before: a process that ends slowly still accepts connections for a while.
MAX_VERIFICATIONS = 4


class Observer(Protocol):
    """Receives events of backend servers."""

    def on_unanswered(
        self, backend: "Backend", attempt: attempts.Attempt, began_s: float
    ) -> None:
        """Handles the end of an attempt that was sent and not answered.

        Args:
          backend: The server.
          attempt: The attempt.
          began_s: Monotonic time before which the server was certainly up.
        """

    def is_blocked(self, attempt: attempts.Attempt) -> bool:
        """Returns whether an attempt must not be sent any more."""

    def on_alive(self, backend: "Backend", sent_s: float) -> None:
        """Handles an answer to what was sent after an unanswered attempt."""

    def on_connected(self, backend: "Backend") -> None:
        """Handles a connection that was opened."""

    def on_unreachable(self, backend: "Backend") -> None:
        """Handles a failure to open a connection."""

    def on_ended(self, backend: "Backend") -> None:
        """Handles the end of a server's process, as its entry tells."""

    def on_misdirected(self, backend: "Backend") -> None:
        """Handles an answer of another backend server at the address."""

    def on_leaving(self, backend: "Backend") -> None:
        """Handles an answer of a server that is about to stop."""

    def on_paused(self, backend: "Backend", pause_s: float) -> None:
        """Handles a server's wish for no request for some seconds."""

    def on_rejected(
        self, backend: "Backend", rejection: connections.Rejection
    ) -> None:
        """Handles bytes of a server that do not count as a response."""

    def on_rate_stated(
        self, backend: "Backend", rate: float | None, sent_s: float
    ) -> None:
        """Handles the rate that a response states as the server's most.

        Args:
          backend: The server.
          rate: Requests per second from all hosts; None if it states none.
          sent_s: When the request was sent.
        """


class Environment(NamedTuple):
    """Objects that all backend servers of a host share.

    Attributes:
      loop: The event loop.
      names: The header names.
      observer: Receives events.
      count: Increments a named counter.
      receive_buffer: Counts the bytes of the responses that arrive.
      traffic: Counts the bytes between zones; None if they are not counted.
    """

    loop: asyncio.AbstractEventLoop
    names: model.HeaderNames
    observer: Observer
    count: Callable[[str], None]
    receive_buffer: connections.ReceiveBuffer
    traffic: zone_traffic.ZoneTraffic | None = None


OutcomeHandler = Callable[
    ["Backend", attempts.Attempt, messages.Reply | messages.Failure | None],
    None,
]


class Backend:
    """One backend server: its connections, attempts and statistics.

    Args:
      server: The server's own description.
      service: The settings of its service.
      environment: The objects shared by all backend servers.
      connection_limit: Most connections that this host may hold to it.
    """

    def __init__(
        self,
        *,
        server: model.Server,
        service: model.Service,
        environment: Environment,
        connection_limit: int,
    ):
        self.server = server
        self.service = service
        self.environment = environment
        self.connection_limit = connection_limit
        # Called with each caller's attempt that was sent and has ended, and its
        # outcome; None if the attempt was aborted.
        self.on_outcome: OutcomeHandler | None = None
        self.cold_start = cold_start.ColdStartLimiter()
        # Monotonic time until which the server is cold, and slower for that,
        # whether or not its service limits the requests meanwhile.
        self.cold_until_s = -math.inf
        self.latency_ratio = (
            COLD_LATENCY_RATIO if server.cold_remaining_s > 0 else 1.0
        )
        # The same as the latency ratio, without the time in the queue here.
        self.service_time_ratio = self.latency_ratio
        self._usual_ratio = self.latency_ratio
        self._usual_ratio_time_s = environment.loop.time()
        self.unreachable = False
        # Whether it stays unreachable until its health check succeeds.
        self.probed = False
        # When it became unreachable last.
        self.unreachable_since_s = -math.inf
        self.closed = False
        self._paused_until_s = 0.0
        # This host's limit on requests to the server, if it has stated one, and
        # whether it has stated one lately.
        self.limiter: rate_limits.RateLimiter | None = None
        self.states_rate = False
        # When the server was last known to be up, and when an attempt last
        # ended without an answer.
        self._alive_s = -math.inf
        self._unanswered_s = math.inf
        # Used as an ordered set: the oldest attempt is first.
        self.pending: dict[attempts.Attempt, None] = {}
        self._error_rate = 0.0
        self._error_time_s = 0.0
        self._refusal_rate = 0.0
        self._refusal_time_s = 0.0
        self._idle: list[connections.Connection] = []
        self._open: set[connections.Connection] = set()
        self._connecting = 0
        self._queue: send_queue.SendQueue[attempts.Attempt] = (
            send_queue.SendQueue()
        )
        self._tasks: set[asyncio.Task] = set()
        self._verification: asyncio.TimerHandle | None = None
        # Verifications since an attempt last ended without an answer.
        self._verification_count = MAX_VERIFICATIONS

    def can_accept(self, now: float) -> bool:
        """Returns whether an attempt may be sent to this server now."""
        return (
            not self.unreachable
            and self.get_pause_s(now) <= 0.0
            and self.cold_start.may_send(now)
            and (
                self.limiter is None
                or self.limiter.may_send(now, waiting=len(self._queue))
            )
        )

    def can_accept_hedge(self, now: float) -> bool:
        """Returns whether a hedge may be sent to this server now."""
        return self.can_accept(now) and (
            self.limiter is None
            or self.limiter.may_send(
                now,
                waiting=len(self._queue),
                reserve=rate_limits.HEDGE_RESERVE,
            )
        )

    def may_check(self, now: float) -> bool:
        """Returns whether a health check may be sent now."""
        return self.limiter is None or self.limiter.may_check(now)

    def count_usable_slots(self, duration_s: float) -> float:
        """Returns how many requests of a duration the server runs at a time."""
        slots = self.server.slots
        if self.limiter is None:
            return slots
        return min(slots, self.limiter.rate * duration_s)

    def get_wait_s(self, now: float) -> float:
        """Returns for how long the server takes no request of this host.

        That is due to a pause or to the rate that it states; infinity if this
        host may send it nothing.
        """
        pause_s = self.get_pause_s(now)
        if self.limiter is None:
            return pause_s
        wait_s = self.limiter.compute_wait_s(now, waiting=len(self._queue))
        return max(pause_s, wait_s)

    def set_limiter(self, limiter: rate_limits.RateLimiter | None) -> None:
        """Sets the limit on requests; attempts beyond it are placed anew."""
        self.limiter = limiter
        waiting = len(self._queue)
        if limiter is not None and waiting:
            now = self.environment.loop.time()
            if not limiter.may_send(now, waiting=waiting - 1):
                self._fail_queued()

    def release_queued(self) -> None:
        """Lets attempts that wait here be placed anew."""
        self._fail_queued()

    def get_pause_s(self, now: float) -> float:
        """Returns for how long the server wants no request; 0 if it does."""
        return max(self._paused_until_s - now, 0.0)

    def submit(self, attempt: attempts.Attempt) -> None:
        """Sends an attempt, or queues it until a connection is available.

        It fails at once if the queue is full.
        """
        now = self.environment.loop.time()
        self.cold_start.record_send(now)
        attempt.backend = self
        attempt.started_s = now
        self.pending[attempt] = None
        if not attempt.needs_new_connection:
            while self._idle:
                connection = self._idle.pop()
                if (
                    not connection.must_close
                    and now - connection.idle_since_s
                    < connection.idle_timeout_s
                ):
                    self._send(connection, attempt)
                    return
                self.close_connection(connection)
        if not self._queue.append(attempt):
            self._report_outcome(
                attempt, messages.Failure(messages.FailureKind.NOT_SENT)
            )
            return
        if (
            attempt.needs_new_connection
            and self._idle
            and self._is_at_connection_limit()
        ):
            self.close_connection(self._idle.pop(0))
        if not self._is_at_connection_limit():
            self._open_connection()

    def abandon(self, attempt: attempts.Attempt, *, abort: bool) -> None:
        """Detaches an attempt from its owner.

        An attempt that is still queued is removed; one that was sent runs to
        its end unless it is aborted.

        Args:
          attempt: The attempt.
          abort: Whether to close the connection, which ends the work at the
            backend server.
        """
        attempt.owner = None
        if attempt.done:
            return
        if not attempt.sent:
            self._report_outcome(
                attempt, messages.Failure(messages.FailureKind.NOT_SENT)
            )
        elif abort:
            self._record_unanswered(attempt, silent=True)
            self._report_outcome(attempt, None)
            attempt.connection.attempt = None
            self.close_connection(attempt.connection)

    def get_error_rate(self, now: float) -> float:
        """Returns the moving average of failures, decayed with time."""
        if self._error_rate < 0.01:
            return 0.0
        age_s = now - self._error_time_s
        return self._error_rate * math.exp(-age_s / ERROR_DECAY_S)

    def get_refusal_rate(self, now: float) -> float:
        """Returns the moving average of refusals, decayed with time.

        A refusal is a response which states that the server did not run the
        request.
        """
        if self._refusal_rate < 0.01:
            return 0.0
        age_s = now - self._refusal_time_s
        return self._refusal_rate * math.exp(-age_s / ERROR_DECAY_S)

    def get_oldest_start_s(self) -> float:
        """Returns the start of the oldest pending attempt, or infinity."""
        for attempt in self.pending:
            return attempt.started_s
        return math.inf

    def get_oldest(self) -> attempts.Attempt | None:
        """Returns the oldest pending attempt, if any."""
        return next(iter(self.pending), None)

    def get_usual_ratio(self, now: float) -> float:
        """Returns the latency ratio without the effect of short pauses.

        It returns to 1 with the time since the last response.
        """
        age_s = now - self._usual_ratio_time_s
        decay = math.exp(-age_s / USUAL_RATIO_DECAY_S)
        return 1.0 + (self._usual_ratio - 1.0) * decay

    def complete_attempt(
        self,
        connection: connections.Connection,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Handles the outcome of an attempt and releases its connection."""
        environment = self.environment
        now = environment.loop.time()
        if isinstance(outcome, messages.Reply):
            self._record_response(attempt, outcome, now)
        else:
            self._record_error(now)
            if outcome.kind is messages.FailureKind.CONNECTION_LOST:
                environment.count("connections_lost")
                self._record_unanswered(attempt, silent=outcome.silent)
                self._schedule_verification()
        connection.idle_since_s = now
        if connection.must_close:
            self.close_connection(connection)
        else:
            self._release_connection(connection)
        self._report_outcome(attempt, outcome)

    def is_sender_of(self, reply: messages.Reply) -> bool:
        """Returns whether a response to a health check may be this server's.

        One that names no server passes: requests name the server that may run
        them.
        """
        name = self.environment.names.server_id
        ids = [value for key, value in reply.headers if key.lower() == name]
        return ids in ([], [self.server.id.encode()])

    def record_bytes(self, attempt: attempts.Attempt, size: int) -> None:
        """Counts bytes of an attempt that were sent or received."""
        traffic = self.environment.traffic
        if traffic is not None:
            traffic.record(attempt.cause, self.server.zone, size)

    def close_connection(self, connection: connections.Connection) -> None:
        """Closes a connection and removes it from the pool."""
        connection.close()
        self.remove_connection(connection)

    def remove_connection(self, connection: connections.Connection) -> None:
        """Removes a closed connection; opens another if attempts wait."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        # Perhaps it was accepted for a process that has ended since.
        self._schedule_verification()
        if (
            self._queue
            and not self.closed
            and not self._is_at_connection_limit()
        ):
            self._open_connection()

    def sweep(self, now: float) -> None:
        """Ends attempts past their deadline; closes expired connections."""
        for attempt in list(self.pending):
            if attempt.deadline_s > now:
                continue
            failure = messages.Failure(
                messages.FailureKind.TIMED_OUT
                if attempt.sent
                else messages.FailureKind.NOT_SENT
            )
            if attempt.sent:
                self._record_error(now)
                self._record_unanswered(attempt, silent=True)
                attempt.connection.attempt = None
                self.close_connection(attempt.connection)
                self._schedule_verification()
            self._report_outcome(attempt, failure)
        for connection in list(self._idle):
            if now - connection.idle_since_s >= connection.idle_timeout_s:
                self.close_connection(connection)

    def close(self) -> None:
        """Closes idle connections; those in use close after their response.

        Attempts that wait for a connection fail, so that they are placed anew.
        """
        self.closed = True
        if self._verification is not None:
            self._verification.cancel()
        for connection in list(self._idle):
            self.close_connection(connection)
        self._fail_queued()

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open) + self._connecting

    def _is_at_connection_limit(self) -> bool:
        """Returns whether no further connection may be opened."""
        return self.open_connections >= self.connection_limit

    def _record_response(
        self, attempt: attempts.Attempt, reply: messages.Reply, now: float
    ) -> None:
        """Updates what is known of the server after a response."""
        if reply.status == 421:
            self.environment.observer.on_misdirected(self)
            return
        if attempt.is_health_check and not self.is_sender_of(reply):
            # Another server has the address; it speaks for itself only.
            return
        self._alive_s = now
        if attempt.sent_s > self._unanswered_s:
            self._unanswered_s = math.inf
            self.environment.observer.on_alive(self, attempt.sent_s)
        if reply.status == 503 and reply.retry_after is not None:
            self._pause(reply.retry_after, now)
        if reply.rate_limits or self.states_rate:
            self._record_rate(reply.rate_limits, attempt.sent_s)
        if reply.leaving:
            self.environment.observer.on_leaving(self)
        if reply.succeeded:
            expected_s = max(attempt.expected_latency_s, 0.001)
            ratio = (now - attempt.started_s) / expected_s
            self._record_usual_ratio(min(ratio, MAX_USUAL_RATIO), now)
            ratio = min(ratio, MAX_LATENCY_RATIO)
            self.latency_ratio += (ratio - self.latency_ratio) * LATENCY_WEIGHT
            ratio = (now - attempt.sent_s) / expected_s
            ratio = min(ratio, MAX_LATENCY_RATIO)
            self.service_time_ratio += (
                ratio - self.service_time_ratio
            ) * LATENCY_WEIGHT
            self._error_rate = self.get_error_rate(now) * (1 - ERROR_WEIGHT)
            self._error_time_s = now
            self._refusal_rate = self.get_refusal_rate(now) * (1 - ERROR_WEIGHT)
            self._refusal_time_s = now
        elif reply.not_run:
            rate = self.get_refusal_rate(now)
            self._refusal_rate = rate + (1 - rate) * ERROR_WEIGHT
            self._refusal_time_s = now
        elif reply.status >= 500:
            self._record_error(now)

    def _record_usual_ratio(self, ratio: float, now: float) -> None:
        """Adds the latency ratio of a response to the usual ratio."""
        age_s = now - self._usual_ratio_time_s
        weight = 1.0 - math.exp(-age_s / USUAL_RATIO_WINDOW_S)
        usual = self.get_usual_ratio(now)
        usual += (ratio - usual) * max(weight, LATENCY_WEIGHT)
        self._usual_ratio, self._usual_ratio_time_s = usual, now

    def _pause(self, retry_after: bytes, now: float) -> None:
        """Sends nothing for as long as the server asks."""
        pause_s = pauses.parse_pause_s(retry_after)
        if pause_s is None:
            self.environment.count("malformed_pauses")
            return
        if now + pause_s <= self._paused_until_s or not pause_s:
            return
        self._paused_until_s = now + pause_s
        self.environment.observer.on_paused(self, pause_s)
        self._fail_queued()

    def _record_rate(self, values: Sequence[bytes], sent_s: float) -> None:
        """Reports the rate that a response states, or that it states none."""
        rate = rate_limits.parse_rate(values)
        if values and rate is None:
            self.environment.count("malformed_limits")
            return
        if rate is not None:
            self.environment.count("limited_responses")
        self.environment.observer.on_rate_stated(self, rate, sent_s)

    def _record_unanswered(
        self, attempt: attempts.Attempt, *, silent: bool
    ) -> None:
        """Reports an attempt that ended without an answer.

        Args:
          attempt: The attempt.
          silent: Whether the server has not closed the connection.  It may have
            been down before the attempt was sent then.
        """
        self._unanswered_s = self.environment.loop.time()
        self._verification_count = 0
        began_s = attempt.sent_s
        if silent:
            oldest_s = began_s - SILENT_LOOKBACK_S
            began_s = min(began_s, max(self._alive_s, oldest_s))
        self.environment.observer.on_unanswered(self, attempt, began_s)

    def _schedule_verification(self) -> None:
        """Opens a connection soon to find out whether the server is down.

        Does nothing if the server has answered since the last loss.
        """
        if (
            self._verification is None
            and not self.closed
            and not self.unreachable
            and self._unanswered_s < math.inf
            and self._verification_count < MAX_VERIFICATIONS
        ):
            self._verification = self.environment.loop.call_later(
                VERIFICATION_DELAY_S * 2**self._verification_count,
                self._verify,
            )
            self._verification_count += 1

    def _verify(self) -> None:
        """Opens a connection, or tries again later if none may be opened.

        One that is being opened may have been accepted before the loss.
        """
        self._verification = None
        if self._connecting or self._is_at_connection_limit():
            self._schedule_verification()
        else:
            self._open_connection()

    def _record_error(self, now: float) -> None:
        """Adds a failure to the error rate."""
        rate = self.get_error_rate(now)
        self._error_rate = rate + (1 - rate) * ERROR_WEIGHT
        self._error_time_s = now

    def _send(
        self, connection: connections.Connection, attempt: attempts.Attempt
    ) -> None:
        """Sends an attempt on a free connection, unless it is too late."""
        now = self.environment.loop.time()
        remaining_s = attempt.deadline_s - now
        if not self._may_send(attempt, now):
            self._idle.append(connection)
            self._report_outcome(
                attempt, messages.Failure(messages.FailureKind.NOT_SENT)
            )
            return
        attempt.sent_s = now
        if self.limiter is not None:
            self.limiter.record_send(now)
        connection.send(attempt, attempt.encode(remaining_s, self.server.id))
        self.environment.count("attempts_sent")

    def _may_send(self, attempt: attempts.Attempt, now: float) -> bool:
        """Returns whether an attempt has time left and nothing forbids it."""
        if (
            attempt.deadline_s - now <= MIN_REMAINING_S
            or self.environment.observer.is_blocked(attempt)
        ):
            return False
        if self.limiter is None:
            return True
        if attempt.is_health_check:
            return self.limiter.may_check(now)
        return self.limiter.may_send(now)

    def _send_next(
        self, connection: connections.Connection, *, new_connection: bool
    ) -> bool:
        """Sends the next queued attempt; returns False if none can be sent."""
        now = self.environment.loop.time()
        while True:
            attempt = self._queue.take_next(
                now, self.service_time_ratio, new_connection=new_connection
            )
            if attempt is None:
                return False
            if self._may_send(attempt, now):
                self._send(connection, attempt)
                return True
            self._report_outcome(
                attempt, messages.Failure(messages.FailureKind.NOT_SENT)
            )

    def _release_connection(self, connection: connections.Connection) -> None:
        """Sends the next queued attempt on a connection, or keeps it idle.

        It is closed if this host holds more connections than it may.
        """
        if self._send_next(connection, new_connection=False):
            return
        if self.closed or len(self._open) > self.connection_limit:
            self.close_connection(connection)
            return
        self._idle.append(connection)

    def _open_connection(self) -> None:
        """Starts a task that opens a connection."""
        self._connecting += 1
        task = self.environment.loop.create_task(self._add_new_connection())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _add_new_connection(self) -> None:
        """Opens a connection and adds it to the pool."""
        try:
            connection = await self._connect()
        finally:
            self._connecting -= 1
        if connection is not None:
            if not self.probed:
                self.unreachable = False
            self.add_connection(connection)

    async def check_connection(self) -> bool:
        """Opens a connection; returns whether that succeeded.

        It is closed again unless an attempt waits for it.  For a short time
        this host may hold one connection more than its limit.
        """
        if self._is_at_connection_limit() and self._idle:
            self.close_connection(self._idle.pop(0))
        self._connecting += 1
        try:
            connection = await self._connect()
        finally:
            self._connecting -= 1
        if connection is None:
            return False
        if self._queue:
            self.add_connection(connection)
        else:
            connection.close()
        return True

    def trust_again(self) -> None:
        """Forgets that the server could not be reached."""
        self.unreachable = False
        self._error_rate = 0.0

    async def _connect(self) -> connections.Connection | None:
        """Opens a connection.

        Fails all queued attempts if the server cannot be reached.

        Returns:
          The connection; None if the server cannot be reached.
        """
        loop = self.environment.loop
        while True:
            started_s = loop.time()
            self.environment.count("connections_opened")
            try:
                _, connection = await asyncio.wait_for(
                    loop.create_connection(
                        lambda: connections.Connection(backend=self),
                        *self.server.address,
                    ),
                    CONNECT_TIMEOUT_S,
                )
            except (OSError, TimeoutError):
                if loop.time() - started_s > SUSPENDED_S:
                    # This process stood still and could not read the answer.
                    continue
                self._mark_unreachable()
                return None
            self._alive_s = loop.time()
            self.environment.observer.on_connected(self)
            return connection

    def add_connection(self, connection: connections.Connection) -> None:
        """Adds a newly opened connection and sends the next attempt on it."""
        self._open.add(connection)
        if self._send_next(connection, new_connection=True):
            return
        connection.idle_since_s = self.environment.loop.time()
        self._release_connection(connection)

    def _mark_unreachable(self) -> None:
        """Marks the server as unreachable and fails all queued attempts."""
        now = self.environment.loop.time()
        if not self.unreachable:
            self.unreachable = True
            self.unreachable_since_s = now
        self._record_error(now)
        self.environment.observer.on_unreachable(self)
        self._fail_queued()

    def _fail_queued(self) -> None:
        """Fails all queued attempts; none of them was sent."""
        for attempt in self._queue.take_all():
            self._report_outcome(
                attempt, messages.Failure(messages.FailureKind.NOT_SENT)
            )

    def _report_outcome(
        self,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure | None,
    ) -> None:
        """Marks an attempt as done and reports its outcome to its owner.

        Does nothing for an attempt that is already done.
        """
        if attempt.done:
            return
        attempt.done = True
        self.pending.pop(attempt, None)
        if (
            self.on_outcome is not None
            and attempt.sent
            and not attempt.is_health_check
        ):
            self.on_outcome(self, attempt, outcome)
        if attempt.owner is not None and outcome is not None:
            attempt.owner.handle_outcome(attempt, outcome)
