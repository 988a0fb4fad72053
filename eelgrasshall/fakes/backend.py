"""A stand-in for a backend server, with the faults that real ones have.

It speaks the backend protocol of docs/PROTOCOLS.md: slots, a connection cap,
snapshots and key ranges, draining, cold start, cancellation and deadlines.
Its faults are plain attributes and methods.  One process serves many backend
servers, each on its own port: `python -m eelgrasshall.fakes.backend SPEC.json`.
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
    """How long requests run: lognormal with a share of stragglers.

    Attributes:
      median_s: Median in seconds.
      sigma: Standard deviation of the logarithm.
      straggler_share: Share of requests that take longer.
      straggler_factor: How many times as long they take.
    """

    median_s: float = 0.008
    sigma: float = 0.8
    straggler_share: float = 0.01
    straggler_factor: float = 8.0

    def mean_s(self) -> float:
        """Returns the mean running time in seconds."""
        mean_s = self.median_s * math.exp(self.sigma**2 / 2)
        return mean_s * (1 + self.straggler_share * (self.straggler_factor - 1))

    def draw(self, source: random.Random) -> float:
        """Draws the running time of one request in seconds."""
        seconds = source.lognormvariate(math.log(self.median_s), self.sigma)
        if source.random() < self.straggler_share:
            seconds *= self.straggler_factor
        return seconds


class Run(NamedTuple):
    """One attempt that the server started to run.

    Attributes:
      server: The backend server.
      attempt: Value of `X-Attempt`.
      query_id: Value of `X-Query-Id`.
      run_once: Whether the request may not be repeated.
      body: The query.
    """

    server: str
    attempt: str
    query_id: str
    run_once: bool
    body: str


class BackendFake:
    """One backend server.

    Args:
      name: Its name.
      service: The service that it is a replica of.
      zone: Its availability zone.
      key_ranges: Its keys for each epoch of the shard map.
      snapshots: What it holds, newest first.
      slots: Requests that it runs at once.
      connections: Connections that it accepts.
      open_s: Extra seconds that the first request of a connection takes.
      service_time: How long requests run.
      random_source: Where draws come from.
      cold: Whether it starts cold.
      cold_capacity: Requests that it bears at once when it has just started.
      warm_step: Successes after which a cold server bears one more.
      cold_factor: How many times as long a request takes when cold.
      restart_s: Seconds that it stays away after it fell over.
      health_lag_s: Age of what the health endpoint tells.
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
        whole = messages.KeyRange(0, messages.KEY_SPACE)
        self.name = name
        self.service = service
        self.zone = zone
        self.key_ranges = key_ranges or {1: whole}
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
        # Faults that last until they are set back.
        self.draining = False
        self.slow_factor = 1.0
        self.misleading_health = False
        self.crossed_echoes = 0
        # What is seen from outside.
        self.port = 0
        self.incarnation = 1
        self.cold = cold
        self.counts: collections.Counter[str] = collections.Counter()
        self.busy_s = 0.0
        self.runs: list[Run] = []
        self.keep_all_runs = False
        self.in_flight = 0
        self._successes = 0
        self._random = random_source or random.Random(0)
        self._cancels: dict[str, asyncio.Future[str]] = {}
        self._opened: set[int] = set()
        self._silent: set[int] = set()
        self._health: tuple[float, dict[str, Any]] = (-1e9, {})
        self._placeholder: socket.socket | None = None
        self._listener: asyncio.AbstractServer | None = None
        self._web: web.Server | None = None
        self._restart: asyncio.Task[None] | None = None
        self._stopped = asyncio.Event()

    async def start(self, port: int = 0) -> None:
        """Opens the listener on a port of the loopback, 0 for a free one."""
        # A bound socket that does not listen keeps the port while the server
        # is down: connections are refused and nobody else gets the port.
        self._placeholder = _bind(port)
        self.port = self._placeholder.getsockname()[1]
        await self._listen()

    async def stop(self) -> None:
        """Closes the listener and every connection."""
        self._stopped.set()
        if self._restart is not None:
            self._restart.cancel()
        await self._close()
        if self._placeholder is not None:
            self._placeholder.close()

    async def crash(self, down_s: float | None = None) -> None:
        """Drops every connection and refuses new ones for some seconds."""
        if self._listener is None:
            return
        self.counts["crashes"] += 1
        await self._close()
        pause_s = self.restart_s if down_s is None else down_s
        self._restart = asyncio.create_task(self._come_back(pause_s))

    def turn_cold(self) -> None:
        """Becomes cold without a restart and without a sign."""
        self.cold = True
        self._successes = 0

    def silence_connections(self) -> None:
        """Stops answering on every connection that is open now."""
        if self._web is not None:
            self._silent |= {id(each) for each in self._web.connections}

    def publish(
        self,
        snapshot: messages.Snapshot,
        key_range: messages.KeyRange | None = None,
        keep: int = 2,
    ) -> None:
        """Adds the newest snapshot and keeps a number of them.

        Args:
          snapshot: The new snapshot.
          key_range: Its keys, if the epoch is new.
          keep: Snapshots held afterwards.
        """
        if key_range is not None:
            self.key_ranges[snapshot.epoch] = key_range
        self.snapshots = (snapshot, *self.snapshots)[:keep]

    def drop(self, snapshot: messages.Snapshot) -> None:
        """Forgets a snapshot."""
        self.snapshots = tuple(s for s in self.snapshots if s != snapshot)

    @property
    def listening(self) -> bool:
        """Whether the server accepts connections now."""
        return self._listener is not None

    def bears(self) -> int:
        """Returns how many requests it runs at once without falling over."""
        if not self.cold:
            return self.slots
        grown = self.cold_capacity + self._successes // self.warm_step
        return min(self.slots, grown)

    async def _listen(self) -> None:
        """Opens the listening socket beside the bound one."""
        self._web = web.Server(
            self._handle, access_log=None, keepalive_timeout=3600
        )
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._accept, sock=_bind(self.port), backlog=512
        )

    async def _close(self) -> None:
        """Closes the listener and aborts every connection."""
        listener, server = self._listener, self._web
        self._listener = None
        if listener is None or server is None:
            return
        listener.close()
        for connection in server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        for future in self._cancels.values():
            if not future.done():
                future.set_result("crash")
        self._opened.clear()
        self._silent.clear()

    async def _come_back(self, pause_s: float) -> None:
        """Starts again, cold and with a new incarnation."""
        await asyncio.sleep(pause_s)
        self.incarnation += 1
        self.turn_cold()
        await self._listen()

    def _accept(self) -> asyncio.BaseProtocol:
        """Takes a connection or, above the cap, refuses it."""
        if len(self._web.connections) >= self.connections:
            self.counts["refused_connections"] += 1
            return _Refusal()
        return self._web()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        """Answers one request of any path."""
        connection = id(request.protocol)
        if connection in self._silent:
            await self._stopped.wait()
        if request.path == "/search":
            return await self._search(request, connection)
        if request.path == "/cancel":
            self._cancel(request.headers.get("X-Attempt", ""))
            return web.Response(status=204)
        if request.path == "/health":
            return web.json_response(self._read_health())
        return web.Response(status=404)

    def _cancel(self, attempt: str) -> None:
        """Stops an attempt, if it runs."""
        future = self._cancels.get(attempt)
        self.counts["cancels"] += 1
        if future is not None and not future.done():
            future.set_result("cancel")

    async def _search(
        self, request: web.BaseRequest, connection: int
    ) -> web.Response:
        """Runs one sub-request, or says why not."""
        body = await request.read()
        if connection not in self._opened:
            self._opened.add(connection)
            if self.open_s:
                await asyncio.sleep(self.open_s)
        self.counts["requests"] += 1
        pinned = request.headers.get("X-Snapshot", "")
        snapshot = messages.parse_snapshot(pinned) if pinned else None
        if snapshot is None and self.snapshots:
            snapshot = self.snapshots[0]
        if self.draining:
            self.counts["while_draining"] += 1
            return self._answer(request, 503, not_run=True)
        if snapshot not in self.snapshots:
            self.counts["snapshot_gone"] += 1
            return self._answer(request, 409, not_run=True)
        if self.in_flight >= self.bears():
            if self.cold:
                self.counts["falls"] += 1
                await self.crash()
            self.counts["sheds"] += 1
            return self._answer(request, 503, not_run=True)
        return await self._run(request, body, snapshot)

    async def _run(
        self,
        request: web.BaseRequest,
        body: bytes,
        snapshot: messages.Snapshot,
    ) -> web.Response:
        """Occupies a slot for the running time of the request."""
        attempt = request.headers.get("X-Attempt", "")
        self._record(request, attempt, body)
        deadline_s = float(request.headers.get("X-Deadline-Ms", "1e9")) / 1000
        seconds = self.service_time.draw(self._random) * self.slow_factor
        if self.cold:
            seconds *= self.cold_factor
        poisoned = self.poison and self.poison.encode() in body
        if poisoned:
            seconds = POISON_DELAY_S
        loop = asyncio.get_running_loop()
        stopped: asyncio.Future[str] = loop.create_future()
        self._cancels[attempt] = stopped
        self.in_flight += 1
        began = loop.time()
        incarnation = self.incarnation
        try:
            await asyncio.wait([stopped], timeout=min(seconds, deadline_s))
        finally:
            self.in_flight -= 1
            self.busy_s += loop.time() - began
            self._cancels.pop(attempt, None)
        if poisoned:
            self.counts["poisoned"] += 1
            await self.crash()
            return self._answer(request, 500)
        if stopped.done():
            self.counts["cancelled"] += 1
            return self._answer(request, 499)
        if seconds > deadline_s:
            self.counts["deadlines"] += 1
            return self._answer(request, 504)
        if incarnation == self.incarnation:
            self._count_success()
        return self._answer(request, 200, body=body, snapshot=snapshot)

    def _record(
        self, request: web.BaseRequest, attempt: str, body: bytes
    ) -> None:
        """Counts an attempt that starts to run, and keeps it if asked to."""
        run_once = request.headers.get("X-Run-Once") == "1"
        self.counts["runs"] += 1
        if run_once or self.keep_all_runs:
            query_id = request.headers.get("X-Query-Id", "")
            text = body.decode("utf-8", "replace")
            self.runs.append(Run(self.name, attempt, query_id, run_once, text))

    def _count_success(self) -> None:
        """Warms up by one success."""
        self.counts["served"] += 1
        if self.cold:
            self._successes += 1
            grown = self.cold_capacity + self._successes // self.warm_step
            self.cold = grown < self.slots

    def _answer(
        self,
        request: web.BaseRequest,
        status: int,
        *,
        not_run: bool = False,
        body: bytes = b"",
        snapshot: messages.Snapshot | None = None,
    ) -> web.Response:
        """Builds the response with the headers that each one carries."""
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
            keys = self.key_ranges[snapshot.epoch]
            headers["X-Snapshot"] = snapshot.to_text()
            headers["X-Key-Range"] = f"{keys.low}-{keys.high}"
            found = records.compute_records(keys, snapshot, body)
            payload = json.dumps(found).encode()
        return web.Response(
            status=status,
            headers=headers,
            body=payload,
            content_type="application/json",
        )

    def _read_health(self) -> dict[str, Any]:
        """Returns what the health endpoint tells, old or wrong."""
        now = asyncio.get_running_loop().time()
        seen_at, told = self._health
        if not told or now - seen_at >= self.health_lag_s:
            wrong = self.misleading_health
            told = {
                "ready": wrong or not self.draining,
                "draining": self.draining and not wrong,
                "load": 0.0 if wrong else self.in_flight / self.slots,
                "snapshots": [s.to_text() for s in self.snapshots],
                "incarnation": str(self.incarnation),
            }
            self._health = (now, told)
        return told


class _Refusal(asyncio.Protocol):
    """Closes a connection at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.abort()


def _bind(port: int) -> socket.socket:
    """Binds a TCP socket of the loopback without listening."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(("127.0.0.1", port))
    bound.setblocking(False)
    return bound


def main() -> None:
    """Runs the backend servers of the SPEC.json named on the command line."""
    # The fleet builds servers of this module, so it is imported late.
    from eelgrasshall.fakes import fleet
    from eelgrasshall.fakes import process

    process.run(fleet.serve)


if __name__ == "__main__":
    main()
