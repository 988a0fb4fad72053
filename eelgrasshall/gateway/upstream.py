"""Connections to one backend server, and what this host has seen of it.

A backend server accepts few connections and opening one takes as long as some
requests, so connections are kept.  One connection carries one request at a
time.  Bytes that no request waits for close it, since they may belong to an
earlier request.  An attempt that nobody waits for any longer runs to its end,
because cutting it would cost a new connection, unless its caller has left.
"""

import asyncio
import collections
from collections.abc import Callable
import math
from typing import NamedTuple
from typing import Protocol

from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import connections
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model

# Several round trips to another zone; a longer wait means no host is there.
CONNECT_TIMEOUT_S = 0.4
# Weight of the newest observation in the moving averages.
LATENCY_WEIGHT = 0.1
ERROR_WEIGHT = 0.25
# Time in which a remembered error loses most of its weight.
ERROR_FADE_S = 2.0
# A cold backend server is taken to be this much slower until it has answered.
COLD_SLOWNESS = 1.6
# Latencies within this factor of the expected one say nothing of a stall.
MAX_RATIO = 20.0
# Attempts that wait for a connection to one backend server.
MAX_WAITING = 64


class Observer(Protocol):
    """Who wants to know what happens at a backend server."""

    def notice_connection_lost(
        self, backend: "Backend", attempt: attempts.Attempt
    ) -> None:
        """Notes a connection that ended while a request ran on it."""

    def notice_unreachable(self, backend: "Backend") -> None:
        """Notes that no connection could be opened."""

    def notice_misdirected(self, backend: "Backend") -> None:
        """Notes that another backend server answers at the address."""


class Environment(NamedTuple):
    """What all backend servers of a host share.

    Attributes:
      loop: The event loop.
      names: The header names.
      observer: Who is told of what happens.
      count: Adds one to a named counter.
    """

    loop: asyncio.AbstractEventLoop
    names: model.HeaderNames
    observer: Observer
    count: Callable[[str], None]


class Backend:
    """One backend server: its connections and what was seen of it.

    Args:
      server: What it says of itself.
      service: What holds for its service.
      environment: What all backend servers share.
      max_open: Most connections that this host may hold to it.
    """

    def __init__(
        self,
        *,
        server: model.Server,
        service: model.Service,
        environment: Environment,
        max_open: int,
    ):
        self.server = server
        self.service = service
        self.environment = environment
        self.max_open = max_open
        self.cold = cold_start.ColdStartLimiter()
        self.slowness = COLD_SLOWNESS if server.cold_s > 0 else 1.0
        self.unreachable = False
        self.gone = False
        self.pending: dict[attempts.Attempt, None] = {}
        self._error_rate = 0.0
        self._error_time_s = 0.0
        self._shed_rate = 0.0
        self._shed_time_s = 0.0
        self._idle: list[connections.Connection] = []
        self._open: set[connections.Connection] = set()
        self._opening = 0
        self._waiting: collections.deque[attempts.Attempt] = collections.deque()
        self._tasks: set[asyncio.Task] = set()

    def may_start(self, now: float) -> bool:
        """Returns whether an attempt may be sent here now."""
        return not self.unreachable and self.cold.may_send(now)

    def start(self, attempt: attempts.Attempt) -> None:
        """Sends an attempt as soon as a connection is free."""
        now = self.environment.loop.time()
        self.cold.record_send(now)
        attempt.backend = self
        attempt.started_s = now
        self.pending[attempt] = None
        if not attempt.fresh:
            while self._idle:
                connection = self._idle.pop()
                if (
                    not connection.broken
                    and now - connection.idle_since_s < connection.idle_limit_s
                ):
                    self._send(connection, attempt)
                    return
                self.drop(connection)
        if len(self._waiting) >= MAX_WAITING:
            self._settle(
                attempt, messages.Failure(messages.FailureKind.UNREACHED)
            )
            return
        self._waiting.append(attempt)
        if attempt.fresh and self._idle and self._is_full():
            self.drop(self._idle.pop(0))
        if not self._is_full():
            self._open_one()

    def abandon(self, attempt: attempts.Attempt, *, cut: bool) -> None:
        """Lets go of an attempt whose outcome nobody needs.

        Args:
          attempt: The attempt.
          cut: Whether to end the work at the backend server at once.
        """
        attempt.owner = None
        if attempt.done:
            return
        if not attempt.sent:
            self._settle(
                attempt, messages.Failure(messages.FailureKind.UNREACHED)
            )
        elif cut:
            self._settle(attempt, None)
            attempt.connection.attempt = None
            self.drop(attempt.connection)

    def error_rate(self, now: float) -> float:
        """Returns the recent share of failures, fading with time."""
        if self._error_rate < 0.01:
            return 0.0
        age_s = now - self._error_time_s
        return self._error_rate * math.exp(-age_s / ERROR_FADE_S)

    def shed_rate(self, now: float) -> float:
        """Returns the recent share of refusals, fading with time."""
        if self._shed_rate < 0.01:
            return 0.0
        age_s = now - self._shed_time_s
        return self._shed_rate * math.exp(-age_s / ERROR_FADE_S)

    def oldest_start_s(self) -> float:
        """Returns when the oldest attempt in flight started, or infinity."""
        for attempt in self.pending:
            return attempt.started_s
        return math.inf

    def finish(
        self,
        connection: connections.Connection,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Takes the outcome of an attempt from its connection."""
        environment = self.environment
        now = environment.loop.time()
        if isinstance(outcome, messages.Reply):
            self._learn(attempt, outcome, now)
        else:
            self._note_error(now)
            if outcome.kind is messages.FailureKind.LOST:
                environment.observer.notice_connection_lost(self, attempt)
        connection.idle_since_s = now
        if connection.broken:
            self.drop(connection)
        else:
            self._reuse(connection)
        self._settle(attempt, outcome)

    def drop(self, connection: connections.Connection) -> None:
        """Closes a connection."""
        connection.close()
        self.forget(connection)

    def forget(self, connection: connections.Connection) -> None:
        """Stops counting a connection that is closed."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting and not self.gone and not self._is_full():
            self._open_one()

    def sweep(self, now: float) -> None:
        """Ends attempts past their deadline and idle connections too old."""
        for attempt in list(self.pending):
            if attempt.deadline_s > now:
                continue
            failure = messages.Failure(
                messages.FailureKind.TIMED_OUT
                if attempt.sent
                else messages.FailureKind.UNREACHED
            )
            if attempt.sent:
                self._note_error(now)
                attempt.connection.attempt = None
                self.drop(attempt.connection)
            self._settle(attempt, failure)
        for connection in list(self._idle):
            if now - connection.idle_since_s >= connection.idle_limit_s:
                self.drop(connection)

    def close(self) -> None:
        """Closes idle connections; those in use close when they are done."""
        self.gone = True
        for connection in list(self._idle):
            self.drop(connection)

    @property
    def open_connections(self) -> int:
        """Connections that are open or being opened."""
        return len(self._open) + self._opening

    def _is_full(self) -> bool:
        """Returns whether no further connection may be opened."""
        return self.open_connections >= self.max_open

    def _learn(
        self, attempt: attempts.Attempt, reply: messages.Reply, now: float
    ) -> None:
        """Updates latency and errors from a response."""
        if reply.status == 421:
            self.environment.observer.notice_misdirected(self)
            return
        if reply.succeeded:
            ratio = (now - attempt.started_s) / max(attempt.expected_s, 0.001)
            ratio = min(ratio, MAX_RATIO)
            self.slowness += (ratio - self.slowness) * LATENCY_WEIGHT
            self._error_rate = self.error_rate(now) * (1 - ERROR_WEIGHT)
            self._error_time_s = now
            self._shed_rate = self.shed_rate(now) * (1 - ERROR_WEIGHT)
            self._shed_time_s = now
        elif reply.not_run:
            rate = self.shed_rate(now)
            self._shed_rate = rate + (1 - rate) * ERROR_WEIGHT
            self._shed_time_s = now
        elif reply.status >= 500:
            self._note_error(now)

    def _note_error(self, now: float) -> None:
        """Raises the share of failures."""
        rate = self.error_rate(now)
        self._error_rate = rate + (1 - rate) * ERROR_WEIGHT
        self._error_time_s = now

    def _send(
        self, connection: connections.Connection, attempt: attempts.Attempt
    ) -> None:
        """Sends an attempt on a free connection."""
        left_s = attempt.deadline_s - self.environment.loop.time()
        if left_s <= 0.001:
            self._idle.append(connection)
            self._settle(
                attempt, messages.Failure(messages.FailureKind.UNREACHED)
            )
            return
        connection.send(attempt, attempt.encode(left_s, self.server.id))
        self.environment.count("attempts_sent")

    def _reuse(self, connection: connections.Connection) -> None:
        """Gives a free connection to who waits, or keeps it."""
        while self._waiting:
            if self._waiting[0].done:
                self._waiting.popleft()
                continue
            if self._waiting[0].fresh:
                break
            self._send(connection, self._waiting.popleft())
            return
        if self.gone or len(self._open) > self.max_open:
            self.drop(connection)
            return
        self._idle.append(connection)

    def _open_one(self) -> None:
        """Begins to open a connection."""
        self._opening += 1
        task = self.environment.loop.create_task(self._connect())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self) -> None:
        """Opens a connection for whoever waits longest."""
        host, port = self.server.address
        self.environment.count("connections_opened")
        try:
            _, connection = await asyncio.wait_for(
                self.environment.loop.create_connection(
                    lambda: connections.Connection(backend=self), host, port
                ),
                CONNECT_TIMEOUT_S,
            )
        except (OSError, TimeoutError):
            self._opening -= 1
            self._fail_waiting()
            return
        self._opening -= 1
        self.unreachable = False
        self.adopt(connection)

    def adopt(self, connection: connections.Connection) -> None:
        """Takes a connection in that was just opened."""
        self._open.add(connection)
        while self._waiting:
            attempt = self._waiting.popleft()
            if not attempt.done:
                self._send(connection, attempt)
                return
        connection.idle_since_s = self.environment.loop.time()
        self._reuse(connection)

    def _fail_waiting(self) -> None:
        """Fails whoever waits for a connection that cannot be opened."""
        self.unreachable = True
        self._note_error(self.environment.loop.time())
        self.environment.observer.notice_unreachable(self)
        waiting = list(self._waiting)
        self._waiting.clear()
        for attempt in waiting:
            self._settle(
                attempt, messages.Failure(messages.FailureKind.UNREACHED)
            )

    def _settle(
        self,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure | None,
    ) -> None:
        """Tells the owner of an attempt its outcome, once."""
        if attempt.done:
            return
        attempt.done = True
        self.pending.pop(attempt, None)
        if attempt.owner is not None and outcome is not None:
            attempt.owner.settle(attempt, outcome)
