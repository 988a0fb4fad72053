"""Connections to the backend servers.

A backend server accepts few connections, opening one costs up to as much as
the request itself, and a connection can go silent for good while new ones
work.  So each backend server has one pool: it never holds more than its limit,
reuses the connection that worked last, and when one goes silent it drops every
idle one that has not worked since.  Failures come back as values that say
whether the request can have run.
"""

import asyncio
from collections.abc import Coroutine
import enum
from typing import NamedTuple

import aiohttp
from loguru import logger

from eelgrasshall import clock as clocks
from eelgrasshall import invariants as invariants_module
from eelgrasshall.protocol import backend
from eelgrasshall.transport import connection as connections

# Servers and middleboxes drop connections that stay idle for longer.
IDLE_LIMIT_S = 4.0
CONTROL_TIMEOUT_S = 0.25
# Connections that opening ahead of need leaves for other purposes.
KEPT_FREE = 3
# A backend server answers at the deadline; hear it out before giving up.
RESPONSE_GRACE_S = 0.1


class FailureKind(enum.Enum):
    """Why an attempt has no response.

    REFUSED: No connection could be opened; it did not run.
    NO_CONNECTION: The pool is at its limit; it did not run.
    LOST: The connection broke after sending; it may have run.
    SILENT: No progress for too long; it may have run.
    TIMED_OUT: The deadline passed; it may have run.
    CROSSED: The response belongs to another attempt; it may have run.
    """

    REFUSED = "refused"
    NO_CONNECTION = "no_connection"
    LOST = "lost"
    SILENT = "silent"
    TIMED_OUT = "timed_out"
    CROSSED = "crossed"


_NOT_RUN = frozenset({FailureKind.REFUSED, FailureKind.NO_CONNECTION})


class BackendFailure(NamedTuple):
    """An attempt without a usable response.

    Attributes:
      kind: Why.
      detail: What the library said.
    """

    kind: FailureKind
    detail: str

    @property
    def not_run(self) -> bool:
        """Returns whether the attempt certainly did not run."""
        return self.kind in _NOT_RUN


class BackendTarget(NamedTuple):
    """A backend server as the pool needs it.

    Attributes:
      name: Its name.
      host: IP address.
      port: TCP port.
      connections: Connections that this host may hold to it.
    """

    name: str
    host: str
    port: int
    connections: int


class CancelResult(enum.Enum):
    """What became of a cancellation.

    CONFIRMED: The backend server let the attempt go.
    GONE: Nothing listens there, so nothing runs there.
    UNKNOWN: No reply.
    """

    CONFIRMED = "confirmed"
    GONE = "gone"
    UNKNOWN = "unknown"


class _Pool:
    """The connections to one backend server."""

    def __init__(self, target: BackendTarget):
        self.target = target
        self.open: set[connections.Connection] = set()
        self.idle: list[connections.Connection] = []
        self.lost = 0
        self.preparing = False


class BackendTransport:
    """Pools of connections, one for each backend server.

    Args:
      clock: Source of time.
      invariants: Where the connection limit and the echo are checked.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        invariants: invariants_module.InvariantChecker,
    ):
        self._clock = clock
        self._invariants = invariants
        self._pools: dict[str, _Pool] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def set_servers(self, targets: tuple[BackendTarget, ...]) -> None:
        """Replaces the known backend servers and their limits.

        Idle connections above a lowered limit, and those to servers that are
        no longer known or have moved, are closed; those in use finish first.
        """
        known = {target.name: target for target in targets}
        for name, pool in list(self._pools.items()):
            target = known.get(name)
            same_address = target is not None and (
                (target.host, target.port)
                == (pool.target.host, pool.target.port)
            )
            if not same_address:
                self._drop_idle(pool)
                del self._pools[name]
                continue
            pool.target = target
            while pool.idle and len(pool.open) > target.connections:
                self._close(pool, pool.idle.pop(0))
        for name, target in known.items():
            if name not in self._pools:
                self._pools[name] = _Pool(target)

    async def send(
        self,
        server: str,
        attempt: backend.Attempt,
        *,
        silence_s: float,
        fresh: bool,
    ) -> backend.BackendResponse | BackendFailure:
        """Runs one attempt on a backend server.

        Args:
          server: Name of the backend server.
          attempt: The attempt.
          silence_s: Longest time without progress of the response.
          fresh: Whether to open a connection for it, because one that was
            closed a moment ago must not be mistaken for a death.

        Returns:
          The response to this very attempt, or why there is none.
        """
        pool = self._pools.get(server)
        if pool is not None and fresh:
            await self._make_room(pool)
        link = None if pool is None else self._take(pool, fresh)
        if pool is None or link is None:
            return BackendFailure(FailureKind.NO_CONNECTION, "limit reached")
        sent_s = self._clock.monotonic()
        try:
            status, headers, body = await link.request(
                "POST",
                "/search",
                headers=backend.format_headers(attempt),
                body=attempt.body,
                total_s=attempt.budget_s + RESPONSE_GRACE_S,
                silence_s=silence_s,
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            failure = _describe_failure(error)
            self._close(pool, link)
            if failure.kind is FailureKind.SILENT:
                self.drop_silent(server, sent_s)
            return failure
        except asyncio.CancelledError:
            self._close(pool, link)
            raise
        response = backend.parse_response(status, headers, body)
        if response is None or response.attempt_id != attempt.attempt_id:
            self._close(pool, link)
            return BackendFailure(FailureKind.CROSSED, "wrong echo")
        self._put_back(pool, link)
        return response

    def prepare(self, server: str) -> None:
        """Opens a connection ahead of need if every other one is in use.

        The one that is about to be used counts as in use.  A few connections
        are left for other purposes.
        """
        pool = self._pools.get(server)
        if pool is None or pool.preparing or len(pool.idle) > 1:
            return
        if len(pool.open) + KEPT_FREE >= pool.target.connections:
            return
        pool.preparing = True
        self._spawn(self._prepare(pool))

    async def cancel(self, server: str, attempt_id: str) -> CancelResult:
        """Asks a backend server to let an attempt go."""
        headers = {backend.ATTEMPT: attempt_id}
        outcome = await self._control(server, "POST", "/cancel", headers)
        if isinstance(outcome, BackendFailure):
            refused = outcome.kind is FailureKind.REFUSED
            return CancelResult.GONE if refused else CancelResult.UNKNOWN
        status, _ = outcome
        return CancelResult.CONFIRMED if status == 204 else CancelResult.UNKNOWN

    async def read_health(
        self, server: str
    ) -> backend.Health | BackendFailure | None:
        """Asks the health endpoint; None if its answer is malformed."""
        outcome = await self._control(server, "GET", "/health", {})
        if isinstance(outcome, BackendFailure):
            return outcome
        status, body = outcome
        return backend.parse_health(body) if status == 200 else None

    def count_lost(self, server: str) -> int:
        """Returns how many idle connections the other end closed lately.

        A backend server that closes connections which were in use moments ago
        has probably restarted.  Each one is counted in one call only.
        """
        pool = self._pools.get(server)
        if pool is None:
            return 0
        self._drop_closed(pool)
        lost, pool.lost = pool.lost, 0
        return lost

    def drop_silent(self, server: str, sent_s: float) -> None:
        """Closes idle connections that have not worked since a send.

        Args:
          server: Name of the backend server.
          sent_s: When the request was sent whose connection went silent.
        """
        pool = self._pools.get(server)
        if pool is None:
            return
        suspects = [c for c in pool.idle if c.progress_s <= sent_s]
        for link in suspects:
            pool.idle.remove(link)
            self._close(pool, link)
        logger.warning(
            f"backends: A connection to {server} went silent; "
            f"dropped it and {len(suspects)} idle ones."
        )

    def count_open(self, server: str) -> int:
        """Returns the number of open connections to a backend server."""
        pool = self._pools.get(server)
        return 0 if pool is None else len(pool.open)

    async def close(self) -> None:
        """Closes every connection."""
        for pool in self._pools.values():
            for link in list(pool.open):
                self._close(pool, link)
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _prepare(self, pool: _Pool) -> None:
        """Opens a connection by asking the health endpoint on it."""
        try:
            await self._control(
                pool.target.name, "GET", "/health", {}, fresh=True
            )
        finally:
            pool.preparing = False

    async def _control(
        self,
        server: str,
        method: str,
        path: str,
        headers: dict[str, str],
        *,
        fresh: bool = False,
    ) -> tuple[int, bytes] | BackendFailure:
        """Sends a short request about the server or one of its attempts."""
        pool = self._pools.get(server)
        link = None if pool is None else self._take(pool, fresh)
        if pool is None or link is None:
            return BackendFailure(FailureKind.NO_CONNECTION, "limit reached")
        sent_s = self._clock.monotonic()
        try:
            status, _, body = await link.request(
                method,
                path,
                headers=headers,
                total_s=CONTROL_TIMEOUT_S * 2,
                silence_s=CONTROL_TIMEOUT_S,
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            failure = _describe_failure(error)
            self._close(pool, link)
            if failure.kind is FailureKind.SILENT:
                self.drop_silent(server, sent_s)
            return failure
        except asyncio.CancelledError:
            self._close(pool, link)
            raise
        self._put_back(pool, link)
        return status, body

    async def _make_room(self, pool: _Pool) -> None:
        """Closes idle connections until another one may be opened.

        A connection counts until it is closed, so the closing is awaited.
        """
        while pool.idle and len(pool.open) >= pool.target.connections:
            await asyncio.shield(self._close(pool, pool.idle.pop(0)))

    def _take(self, pool: _Pool, fresh: bool) -> connections.Connection | None:
        """Takes the idle connection used last, or opens one."""
        self._drop_closed(pool)
        if pool.idle and not fresh:
            return pool.idle.pop()
        if pool.idle and len(pool.open) >= pool.target.connections:
            self._close(pool, pool.idle.pop(0))
        if len(pool.open) >= pool.target.connections:
            return None
        link = connections.Connection(
            host=pool.target.host,
            port=pool.target.port,
            now=self._clock.monotonic(),
        )
        pool.open.add(link)
        self._invariants.check(
            invariants_module.Invariant.CONNECTION_LIMIT,
            len(pool.open) <= pool.target.connections,
            pool.target.name,
        )
        return link

    def _drop_closed(self, pool: _Pool) -> None:
        """Forgets connections that the other end closed, or soon will."""
        oldest_s = self._clock.monotonic() - IDLE_LIMIT_S
        stale = [c for c in pool.idle if c.progress_s < oldest_s]
        closed = [c for c in pool.idle if not c.is_open()]
        for link in {*stale, *closed}:
            pool.idle.remove(link)
            self._close(pool, link)
        pool.lost += len(set(closed) - set(stale))

    def _put_back(self, pool: _Pool, link: connections.Connection) -> None:
        """Keeps a connection whose response is complete."""
        link.progress_s = self._clock.monotonic()
        current = self._pools.get(pool.target.name) is pool
        if (
            not (link.reusable and current)
            or len(pool.open) > pool.target.connections
        ):
            self._close(pool, link)
            return
        pool.idle.append(link)

    def _drop_idle(self, pool: _Pool) -> None:
        """Closes all idle connections of a pool."""
        while pool.idle:
            self._close(pool, pool.idle.pop())

    def _close(
        self, pool: _Pool, link: connections.Connection
    ) -> asyncio.Task[None]:
        """Closes a connection; it counts as open until that is done."""
        return self._spawn(self._finish_closing(pool, link))

    async def _finish_closing(
        self, pool: _Pool, link: connections.Connection
    ) -> None:
        """Closes a connection and then stops counting it."""
        await link.close()
        pool.open.discard(link)

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Starts a task that this object keeps until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _describe_failure(error: Exception) -> BackendFailure:
    """Says from the library's exception whether the request can have run."""
    detail = f"{type(error).__name__}: {error}"
    if isinstance(
        error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
    ):
        return BackendFailure(FailureKind.REFUSED, detail)
    if isinstance(error, aiohttp.SocketTimeoutError):
        return BackendFailure(FailureKind.SILENT, detail)
    if isinstance(error, TimeoutError):
        return BackendFailure(FailureKind.TIMED_OUT, detail)
    return BackendFailure(FailureKind.LOST, detail)
