"""Connection pools for the backend servers.

A backend server accepts few connections, opening one can cost as much as the
request itself, and a connection can hang for good while new ones still work.
Each backend server therefore has a pool, which never exceeds its connection
limit and reuses the most recently used connection.  When a connection makes no
progress, the pool also closes all idle ones that have completed no response
since.  Failures are returned as values that tell whether the attempt may have
run.
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

# Backend servers and middleboxes drop connections that are idle for longer.
IDLE_TIMEOUT_S = 4.0
# Progress time-out of control requests; their total time-out is twice this.
CONTROL_TIMEOUT_S = 0.25
# Connections of each pool that preconnecting leaves for other uses.
RESERVED_CONNECTIONS = 3
# A backend server may respond as late as the deadline; waits for that response.
RESPONSE_GRACE_S = 0.1


class FailureKind(enum.Enum):
    """Why an attempt has no usable response.

    CONNECT_FAILED: Opening a connection failed; the attempt did not run.
    NO_CONNECTION: The pool is at its limit; the attempt did not run.
    CONNECTION_LOST: The connection broke; the attempt may have run.
    NO_PROGRESS: The progress time-out expired; the attempt may have run.
    TIMED_OUT: The deadline passed; the attempt may have run.
    WRONG_RESPONSE: The response is malformed or belongs to another attempt;
      the attempt may have run.
    """

    CONNECT_FAILED = "refused"
    NO_CONNECTION = "no_connection"
    CONNECTION_LOST = "lost"
    NO_PROGRESS = "silent"
    TIMED_OUT = "timed_out"
    WRONG_RESPONSE = "crossed"


_NOT_RUN_KINDS = frozenset(
    {FailureKind.CONNECT_FAILED, FailureKind.NO_CONNECTION}
)


class BackendFailure(NamedTuple):
    """The failure of an attempt.

    Attributes:
      kind: Why there is no usable response.
      detail: Cause for logs, such as the exception of the HTTP library.
    """

    kind: FailureKind
    detail: str

    @property
    def not_run(self) -> bool:
        """Returns whether the attempt is certain not to have run."""
        return self.kind in _NOT_RUN_KINDS


class BackendTarget(NamedTuple):
    """Address and connection limit of a backend server.

    Attributes:
      name: Name of the backend server.
      host: IP address.
      port: TCP port.
      connection_limit: Most connections that this host may open to it.
    """

    name: str
    host: str
    port: int
    connection_limit: int


class CancelResult(enum.Enum):
    """The outcome of a cancellation.

    CONFIRMED: The backend server has cancelled the attempt.
    UNREACHABLE: No connection could be opened, so the server is taken to be
      down and the attempt to have ended with it.
    UNKNOWN: There was no usable reply.
    """

    CONFIRMED = "confirmed"
    UNREACHABLE = "gone"
    UNKNOWN = "unknown"


class _Pool:
    """The connections to one backend server.

    Attributes:
      target: Its address and connection limit.
      open: All connections, also those that are being closed.
      idle: Those without a request, least recently used first.
      closed_count: Idle ones that the server closed since the last count.
      preconnecting: Whether a connection is being opened in advance.
    """

    def __init__(self, target: BackendTarget):
        self.target = target
        self.open: set[connections.Connection] = set()
        self.idle: list[connections.Connection] = []
        self.closed_count = 0
        self.preconnecting = False


class BackendTransport:
    """Sends requests to backend servers, with a connection pool for each.

    Args:
      clock: Source of monotonic time.
      invariants: Checks the connection limit.
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
        """Replaces the known backend servers and their connection limits.

        Closes idle connections that exceed a lowered limit or lead to a
        backend server that was removed or has a new address.  Connections in
        use are closed once their response is complete.
        """
        known = {target.name: target for target in targets}
        for name, pool in list(self._pools.items()):
            target = known.get(name)
            same_address = target is not None and (
                (target.host, target.port)
                == (pool.target.host, pool.target.port)
            )
            if not same_address:
                self._close_idle(pool)
                del self._pools[name]
                continue
            pool.target = target
            while pool.idle and len(pool.open) > target.connection_limit:
                self._close(pool, pool.idle.pop(0))
        for name, target in known.items():
            if name not in self._pools:
                self._pools[name] = _Pool(target)

    async def send(
        self,
        server: str,
        attempt: backend.Attempt,
        *,
        progress_timeout_s: float,
        needs_new_connection: bool,
    ) -> backend.BackendResponse | BackendFailure:
        """Runs an attempt on a backend server.

        Args:
          server: Name of the backend server.
          attempt: The attempt.
          progress_timeout_s: Longest time without receiving data, in seconds.
          needs_new_connection: Whether to open a connection for the attempt.
            An idle one may just have been closed by the server, which would
            look as if the server had crashed while running the attempt.

        Returns:
          The response that echoes this attempt's id, or a failure.
        """
        pool = self._pools.get(server)
        if pool is not None and needs_new_connection:
            await self._make_room(pool)
        connection = (
            None if pool is None else self._acquire(pool, needs_new_connection)
        )
        if pool is None or connection is None:
            return BackendFailure(
                FailureKind.NO_CONNECTION, "connection limit reached"
            )
        sent_s = self._clock.monotonic()
        try:
            status, headers, body = await connection.request(
                "POST",
                "/search",
                headers=backend.format_headers(attempt),
                body=attempt.body,
                total_s=attempt.budget_s + RESPONSE_GRACE_S,
                progress_timeout_s=progress_timeout_s,
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            failure = _classify_failure(error)
            self._close(pool, connection)
            if failure.kind is FailureKind.NO_PROGRESS:
                self.close_stale_connections(server, sent_s)
            return failure
        except asyncio.CancelledError:
            self._close(pool, connection)
            raise
        response = backend.parse_response(status, headers, body)
        if response is None or response.attempt_id != attempt.attempt_id:
            self._close(pool, connection)
            return BackendFailure(
                FailureKind.WRONG_RESPONSE,
                "malformed response or wrong attempt id",
            )
        self._release(pool, connection)
        return response

    def preconnect(self, server: str) -> None:
        """Opens a connection in advance if at most one is idle.

        A single idle connection does not suffice, as the request that is about
        to be sent takes it.  Does nothing if this would leave fewer than
        `RESERVED_CONNECTIONS` within the connection limit.
        """
        pool = self._pools.get(server)
        if pool is None or pool.preconnecting or len(pool.idle) > 1:
            return
        if (
            len(pool.open) + RESERVED_CONNECTIONS
            >= pool.target.connection_limit
        ):
            return
        pool.preconnecting = True
        self._spawn(self._preconnect(pool))

    async def cancel(self, server: str, attempt_id: str) -> CancelResult:
        """Asks a backend server to cancel an attempt."""
        headers = {backend.ATTEMPT: attempt_id}
        outcome = await self._send_control_request(
            server, "POST", "/cancel", headers
        )
        if isinstance(outcome, BackendFailure):
            unreachable = outcome.kind is FailureKind.CONNECT_FAILED
            return (
                CancelResult.UNREACHABLE
                if unreachable
                else CancelResult.UNKNOWN
            )
        status, _ = outcome
        return CancelResult.CONFIRMED if status == 204 else CancelResult.UNKNOWN

    async def read_health(
        self, server: str
    ) -> backend.Health | BackendFailure | None:
        """Queries the health endpoint.

        Returns:
          The health, a failure, or None if the response is malformed.
        """
        outcome = await self._send_control_request(server, "GET", "/health", {})
        if isinstance(outcome, BackendFailure):
            return outcome
        status, body = outcome
        return backend.parse_health(body) if status == 200 else None

    def take_closed_count(self, server: str) -> int:
        """Returns and resets the count of idle connections the server closed.

        A backend server that closes recently used connections has probably
        restarted.
        """
        pool = self._pools.get(server)
        if pool is None:
            return 0
        self._close_unusable(pool)
        closed, pool.closed_count = pool.closed_count, 0
        return closed

    def close_stale_connections(self, server: str, sent_s: float) -> None:
        """Closes idle connections without a response since a given time.

        Args:
          server: Name of the backend server.
          sent_s: Monotonic time at which the request was sent that made no
            progress.
        """
        pool = self._pools.get(server)
        if pool is None:
            return
        stale = [c for c in pool.idle if c.last_used_s <= sent_s]
        for connection in stale:
            pool.idle.remove(connection)
            self._close(pool, connection)
        logger.warning(
            f"backends: A request to {server} made no progress; "
            f"closed its connection and {len(stale)} idle ones."
        )

    def count_open(self, server: str) -> int:
        """Returns the number of open connections to a backend server."""
        pool = self._pools.get(server)
        return 0 if pool is None else len(pool.open)

    async def close(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            for connection in list(pool.open):
                self._close(pool, connection)
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _preconnect(self, pool: _Pool) -> None:
        """Opens a connection by requesting the health endpoint on it."""
        try:
            await self._send_control_request(
                pool.target.name,
                "GET",
                "/health",
                {},
                needs_new_connection=True,
            )
        finally:
            pool.preconnecting = False

    async def _send_control_request(
        self,
        server: str,
        method: str,
        path: str,
        headers: dict[str, str],
        *,
        needs_new_connection: bool = False,
    ) -> tuple[int, bytes] | BackendFailure:
        """Sends a health or cancellation request."""
        pool = self._pools.get(server)
        connection = (
            None if pool is None else self._acquire(pool, needs_new_connection)
        )
        if pool is None or connection is None:
            return BackendFailure(
                FailureKind.NO_CONNECTION, "connection limit reached"
            )
        sent_s = self._clock.monotonic()
        try:
            status, _, body = await connection.request(
                method,
                path,
                headers=headers,
                total_s=CONTROL_TIMEOUT_S * 2,
                progress_timeout_s=CONTROL_TIMEOUT_S,
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            failure = _classify_failure(error)
            self._close(pool, connection)
            if failure.kind is FailureKind.NO_PROGRESS:
                self.close_stale_connections(server, sent_s)
            return failure
        except asyncio.CancelledError:
            self._close(pool, connection)
            raise
        self._release(pool, connection)
        return status, body

    async def _make_room(self, pool: _Pool) -> None:
        """Closes idle connections until another one may be opened.

        Waits for each to close, as it counts towards the limit until then.
        """
        while pool.idle and len(pool.open) >= pool.target.connection_limit:
            await asyncio.shield(self._close(pool, pool.idle.pop(0)))

    def _acquire(
        self, pool: _Pool, needs_new_connection: bool
    ) -> connections.Connection | None:
        """Returns the most recently used idle connection or a new one.

        Returns None if the pool is at its limit.
        """
        self._close_unusable(pool)
        if pool.idle and not needs_new_connection:
            return pool.idle.pop()
        if pool.idle and len(pool.open) >= pool.target.connection_limit:
            self._close(pool, pool.idle.pop(0))
        if len(pool.open) >= pool.target.connection_limit:
            return None
        connection = connections.Connection(
            host=pool.target.host,
            port=pool.target.port,
            now=self._clock.monotonic(),
        )
        pool.open.add(connection)
        self._invariants.check(
            invariants_module.Invariant.CONNECTION_LIMIT,
            len(pool.open) <= pool.target.connection_limit,
            pool.target.name,
        )
        return connection

    def _close_unusable(self, pool: _Pool) -> None:
        """Closes idle connections that the server has closed or soon may."""
        oldest_s = self._clock.monotonic() - IDLE_TIMEOUT_S
        expired = [c for c in pool.idle if c.last_used_s < oldest_s]
        closed = [c for c in pool.idle if not c.is_open()]
        for connection in {*expired, *closed}:
            pool.idle.remove(connection)
            self._close(pool, connection)
        pool.closed_count += len(set(closed) - set(expired))

    def _release(self, pool: _Pool, connection: connections.Connection) -> None:
        """Returns a connection to the pool, or closes it if not kept."""
        connection.last_used_s = self._clock.monotonic()
        current = self._pools.get(pool.target.name) is pool
        if (
            not (connection.reusable and current)
            or len(pool.open) > pool.target.connection_limit
        ):
            self._close(pool, connection)
            return
        pool.idle.append(connection)

    def _close_idle(self, pool: _Pool) -> None:
        """Closes all idle connections."""
        while pool.idle:
            self._close(pool, pool.idle.pop())

    def _close(
        self, pool: _Pool, connection: connections.Connection
    ) -> asyncio.Task[None]:
        """Starts closing a connection, which stays in `open` until done."""
        return self._spawn(self._finish_closing(pool, connection))

    async def _finish_closing(
        self, pool: _Pool, connection: connections.Connection
    ) -> None:
        """Closes a connection, then removes it from `open`."""
        await connection.close()
        pool.open.discard(connection)

    def _spawn(
        self, coroutine: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        """Starts a task and keeps a reference to it until it is done."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _classify_failure(error: Exception) -> BackendFailure:
    """Maps an exception of the HTTP library to a failure."""
    detail = f"{type(error).__name__}: {error}"
    if isinstance(
        error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
    ):
        return BackendFailure(FailureKind.CONNECT_FAILED, detail)
    if isinstance(error, aiohttp.SocketTimeoutError):
        return BackendFailure(FailureKind.NO_PROGRESS, detail)
    if isinstance(error, TimeoutError):
        return BackendFailure(FailureKind.TIMED_OUT, detail)
    return BackendFailure(FailureKind.CONNECTION_LOST, detail)
