"""A fake backend server with fault injection.

Implements the backend protocol of docs/PROTOCOLS.md: slots, a connection
limit, snapshots and key ranges, draining, cold start, cancellation and
deadlines.  Attributes and methods inject faults.  One process runs many
backend servers, each on its own port:
`python -m eelgrasshall.fakes.backend SPEC.json`.
"""

import asyncio
import collections
import json
import math
import random
import socket
from typing import Any
from typing import NamedTuple

from aiohttp import web

from eelgrasshall.fakes import records
from eelgrasshall.protocol import messages

POISON_DELAY_S = 0.002


class ServiceTime(NamedTuple):
    """Lognormal distribution of run times with a share of stragglers.

    Attributes:
      median_s: Median in seconds.
      sigma: Standard deviation of the logarithm.
      straggler_share: Fraction of requests that are stragglers.
      straggler_factor: Factor by which the run time of a straggler grows.
    """

    median_s: float = 0.008
    sigma: float = 0.8
    straggler_share: float = 0.01
    straggler_factor: float = 8.0

    def compute_mean_s(self) -> float:
        """Returns the mean run time in seconds, stragglers included."""
        mean_s = self.median_s * math.exp(self.sigma**2 / 2)
        return mean_s * (1 + self.straggler_share * (self.straggler_factor - 1))

    def draw(self, source: random.Random) -> float:
        """Draws the run time of one request in seconds."""
        duration_s = source.lognormvariate(math.log(self.median_s), self.sigma)
        if source.random() < self.straggler_share:
            duration_s *= self.straggler_factor
        return duration_s


class StartedAttempt(NamedTuple):
    """One attempt that a server started to run.

    Attributes:
      server: Name of the backend server.
      attempt: Value of `X-Attempt`.
      query_id: Value of `X-Query-Id`.
      run_once: Whether the request must run at most once.
      body: The request body as text.
    """

    server: str
    attempt: str
    query_id: str
    run_once: bool
    body: str


class FakeBackendServer:
    """A fake backend server.

    Args:
      name: Name of the server.
      service: Service that it is a replica of.
      zone: Availability zone.
      key_ranges: Key range in each epoch of the shard map.
      snapshots: Snapshots that it holds, newest first.
      slots: Maximum number of concurrent requests.
      connections: Maximum number of open connections.
      open_s: Extra seconds that the first request of a connection takes.
      service_time: Distribution of run times.
      random_source: Random number generator.
      cold: Whether the server starts cold.
      cold_capacity: Concurrent requests that a cold server can run right
        after its start.
      warm_step: Number of successes after which a cold server can run one
        more concurrent request.
      cold_factor: Factor by which run times grow while the server is cold.
      restart_s: Seconds from a crash until the server listens again.
      health_lag_s: Maximum age in seconds of the cached health report.
      poison: Text in a body that crashes the server; empty for none.
    """

    def __init__(
        self,
        *,
        name: str = "server",
        service: str = "service",
        zone: str = "zone",
        key_ranges: dict[int, messages.KeyRange] | None = None,
        snapshots: tuple[messages.Snapshot, ...] = (messages.Snapshot(1, 1),),
        slots: int = 6,
        connections: int = 45,
        open_s: float = 0.0,
        service_time: ServiceTime = ServiceTime(),  # noqa: B008
        random_source: random.Random | None = None,
        cold: bool = False,
        cold_capacity: int = 2,
        warm_step: int = 4,
        cold_factor: float = 2.0,
        restart_s: float = 1.0,
        health_lag_s: float = 1.0,
        poison: str = "",
    ):
        all_keys = messages.KeyRange(0, messages.KEY_SPACE)
        self.name = name
        self.service = service
        self.zone = zone
        self.key_ranges = key_ranges or {1: all_keys}
        self.snapshots = snapshots
        self.slots = slots
        self.connections = connections
        self.open_s = open_s
        self.service_time = service_time
        self.cold_capacity = cold_capacity
        self.warm_step = warm_step
        self.cold_factor = cold_factor
        self.restart_s = restart_s
        self.health_lag_s = health_lag_s
        self.poison = poison
        # Injected faults; each lasts until the attribute is reset.
        self.draining = False
        self.slow_factor = 1.0
        self.misleading_health = False
        self.crossed_echoes = 0
        # State that tests and control messages read.
        self.port = 0
        self.incarnation = 1
        self.cold = cold
        self.counts: collections.Counter[str] = collections.Counter()
        self.busy_s = 0.0
        self.runs: list[StartedAttempt] = []
        self.keep_all_runs = False
        self.in_flight = 0
        self._successes = 0
        self._random = random_source or random.Random(0)
        self._stop_futures: dict[str, asyncio.Future[str]] = {}
        self._used_connections: set[int] = set()
        self._silenced_connections: set[int] = set()
        self._health_report: tuple[float, dict[str, Any]] = (-1e9, {})
        self._reserved_socket: socket.socket | None = None
        self._listener: asyncio.AbstractServer | None = None
        self._web_server: web.Server | None = None
        self._restart_task: asyncio.Task[None] | None = None
        self._stopped = asyncio.Event()

    async def start(self, port: int = 0) -> None:
        """Starts listening on a loopback port; 0 selects a free port."""
        # A bound socket that does not listen reserves the port while the
        # server is down: connections are refused and no other process can
        # bind the port.
        self._reserved_socket = _bind(port)
        self.port = self._reserved_socket.getsockname()[1]
        await self._listen()

    async def stop(self) -> None:
        """Closes the listener and every connection."""
        self._stopped.set()
        if self._restart_task is not None:
            self._restart_task.cancel()
        await self._close()
        if self._reserved_socket is not None:
            self._reserved_socket.close()

    async def crash(self, down_s: float | None = None) -> None:
        """Aborts every connection and stops listening until a restart.

        Args:
          down_s: Seconds until the restart; `restart_s` if None.
        """
        if self._listener is None:
            return
        self.counts["crashes"] += 1
        await self._close()
        delay_s = self.restart_s if down_s is None else down_s
        self._restart_task = asyncio.create_task(self._restart_after(delay_s))

    def turn_cold(self) -> None:
        """Makes the server cold without a restart or a new incarnation."""
        self.cold = True
        self._successes = 0

    def silence_connections(self) -> None:
        """Stops responding on all connections that are open now."""
        if self._web_server is not None:
            self._silenced_connections |= {
                id(each) for each in self._web_server.connections
            }

    def publish(
        self,
        snapshot: messages.Snapshot,
        key_range: messages.KeyRange | None = None,
        keep: int = 2,
    ) -> None:
        """Publishes a new snapshot and drops the oldest snapshots.

        Args:
          snapshot: The new snapshot.
          key_range: Key range of its epoch, if the epoch is new.
          keep: Number of snapshots to retain.
        """
        if key_range is not None:
            self.key_ranges[snapshot.epoch] = key_range
        self.snapshots = (snapshot, *self.snapshots)[:keep]

    def drop(self, snapshot: messages.Snapshot) -> None:
        """Drops a snapshot."""
        self.snapshots = tuple(s for s in self.snapshots if s != snapshot)

    @property
    def listening(self) -> bool:
        """Whether the server accepts connections."""
        return self._listener is not None

    def bears(self) -> int:
        """Returns how many concurrent requests the server can run now.

        A cold server crashes above this number; a warm one sheds requests.
        """
        if not self.cold:
            return self.slots
        limit = self.cold_capacity + self._successes // self.warm_step
        return min(self.slots, limit)

    async def _listen(self) -> None:
        """Opens the listening socket on the reserved port."""
        self._web_server = web.Server(
            self._handle, access_log=None, keepalive_timeout=3600
        )
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._accept, sock=_bind(self.port), backlog=512
        )

    async def _close(self) -> None:
        """Closes the listener and aborts all connections."""
        listener, server = self._listener, self._web_server
        self._listener = None
        if listener is None or server is None:
            return
        listener.close()
        for connection in server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        for stop_future in self._stop_futures.values():
            if not stop_future.done():
                stop_future.set_result("crash")
        self._used_connections.clear()
        self._silenced_connections.clear()

    async def _restart_after(self, delay_s: float) -> None:
        """Restarts after a delay, cold and with a new incarnation."""
        await asyncio.sleep(delay_s)
        self.incarnation += 1
        self.turn_cold()
        await self._listen()

    def _accept(self) -> asyncio.BaseProtocol:
        """Accepts a connection, or rejects it above the connection limit."""
        if len(self._web_server.connections) >= self.connections:
            self.counts["refused_connections"] += 1
            return _ConnectionRejecter()
        return self._web_server()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        """Handles one request of any path."""
        connection = id(request.protocol)
        if connection in self._silenced_connections:
            await self._stopped.wait()
        if request.path == "/search":
            return await self._search(request, connection)
        if request.path == "/cancel":
            self._cancel(request.headers.get("X-Attempt", ""))
            return web.Response(status=204)
        if request.path == "/health":
            return web.json_response(self._get_health_report())
        return web.Response(status=404)

    def _cancel(self, attempt: str) -> None:
        """Cancels an attempt if it is running."""
        stop_future = self._stop_futures.get(attempt)
        self.counts["cancels"] += 1
        if stop_future is not None and not stop_future.done():
            stop_future.set_result("cancel")

    async def _search(
        self, request: web.BaseRequest, connection: int
    ) -> web.Response:
        """Runs one sub-request or rejects it."""
        body = await request.read()
        if connection not in self._used_connections:
            self._used_connections.add(connection)
            if self.open_s:
                await asyncio.sleep(self.open_s)
        self.counts["requests"] += 1
        pinned = request.headers.get("X-Snapshot", "")
        snapshot = messages.parse_snapshot(pinned) if pinned else None
        if snapshot is None and self.snapshots:
            snapshot = self.snapshots[0]
        if self.draining:
            self.counts["while_draining"] += 1
            return self._build_response(request, 503, not_run=True)
        if snapshot not in self.snapshots:
            self.counts["snapshot_gone"] += 1
            return self._build_response(request, 409, not_run=True)
        if self.in_flight >= self.bears():
            if self.cold:
                self.counts["falls"] += 1
                await self.crash()
            self.counts["sheds"] += 1
            return self._build_response(request, 503, not_run=True)
        return await self._run(request, body, snapshot)

    async def _run(
        self,
        request: web.BaseRequest,
        body: bytes,
        snapshot: messages.Snapshot,
    ) -> web.Response:
        """Occupies a slot for the run time of the request."""
        attempt = request.headers.get("X-Attempt", "")
        self._record_attempt(request, attempt, body)
        deadline_s = float(request.headers.get("X-Deadline-Ms", "1e9")) / 1000
        duration_s = self.service_time.draw(self._random) * self.slow_factor
        if self.cold:
            duration_s *= self.cold_factor
        is_poisoned = self.poison and self.poison.encode() in body
        if is_poisoned:
            duration_s = POISON_DELAY_S
        loop = asyncio.get_running_loop()
        stop_future: asyncio.Future[str] = loop.create_future()
        self._stop_futures[attempt] = stop_future
        self.in_flight += 1
        started_s = loop.time()
        incarnation = self.incarnation
        try:
            await asyncio.wait(
                [stop_future], timeout=min(duration_s, deadline_s)
            )
        finally:
            self.in_flight -= 1
            self.busy_s += loop.time() - started_s
            self._stop_futures.pop(attempt, None)
        if is_poisoned:
            self.counts["poisoned"] += 1
            await self.crash()
            return self._build_response(request, 500)
        if stop_future.done():
            self.counts["cancelled"] += 1
            return self._build_response(request, 499)
        if duration_s > deadline_s:
            self.counts["deadlines"] += 1
            return self._build_response(request, 504)
        if incarnation == self.incarnation:
            self._record_success()
        return self._build_response(request, 200, body=body, snapshot=snapshot)

    def _record_attempt(
        self, request: web.BaseRequest, attempt: str, body: bytes
    ) -> None:
        """Counts an attempt and stores it if it runs once or all are kept."""
        run_once = request.headers.get("X-Run-Once") == "1"
        self.counts["runs"] += 1
        if run_once or self.keep_all_runs:
            query_id = request.headers.get("X-Query-Id", "")
            text = body.decode("utf-8", "replace")
            self.runs.append(
                StartedAttempt(self.name, attempt, query_id, run_once, text)
            )

    def _record_success(self) -> None:
        """Counts a success and advances the warm-up of a cold server."""
        self.counts["served"] += 1
        if self.cold:
            self._successes += 1
            limit = self.cold_capacity + self._successes // self.warm_step
            self.cold = limit < self.slots

    def _build_response(
        self,
        request: web.BaseRequest,
        status: int,
        *,
        not_run: bool = False,
        body: bytes = b"",
        snapshot: messages.Snapshot | None = None,
    ) -> web.Response:
        """Builds a response with the headers of the backend protocol."""
        attempt = request.headers.get("X-Attempt", "")
        if self.crossed_echoes > 0:
            self.crossed_echoes -= 1
            attempt = f"other-{attempt}"
        headers = {
            "X-Attempt": attempt,
            "X-Incarnation": str(self.incarnation),
            "X-Snapshots": ",".join(s.to_text() for s in self.snapshots),
        }
        if not_run:
            headers["X-Not-Run"] = "1"
        if self.draining:
            headers["X-Draining"] = "1"
        payload = b""
        if snapshot is not None:
            key_range = self.key_ranges[snapshot.epoch]
            headers["X-Snapshot"] = snapshot.to_text()
            headers["X-Key-Range"] = f"{key_range.low}-{key_range.high}"
            rows = records.compute_records(key_range, snapshot, body)
            payload = json.dumps(rows).encode()
        return web.Response(
            status=status,
            headers=headers,
            body=payload,
            content_type="application/json",
        )

    def _get_health_report(self) -> dict[str, Any]:
        """Returns the cached health report, which may be stale or wrong."""
        now = asyncio.get_running_loop().time()
        updated_s, report = self._health_report
        if not report or now - updated_s >= self.health_lag_s:
            misleading = self.misleading_health
            report = {
                "ready": misleading or not self.draining,
                "draining": self.draining and not misleading,
                "load": 0.0 if misleading else self.in_flight / self.slots,
                "snapshots": [s.to_text() for s in self.snapshots],
                "incarnation": str(self.incarnation),
            }
            self._health_report = (now, report)
        return report


class _ConnectionRejecter(asyncio.Protocol):
    """Aborts a connection as soon as it is accepted."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.abort()


def _bind(port: int) -> socket.socket:
    """Binds a loopback TCP socket without listening."""
    bound_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound_socket.bind(("127.0.0.1", port))
    bound_socket.setblocking(False)
    return bound_socket


def main() -> None:
    """Runs the backend servers of the SPEC.json named on the command line."""
    # Imported here because `fleet` imports this module.
    from eelgrasshall.fakes import fleet
    from eelgrasshall.fakes import process

    process.run(fleet.serve)


if __name__ == "__main__":
    main()
