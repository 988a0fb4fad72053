"""Simulated load in virtual time, for tests of the gateway's decisions.

Request handlers of a few entry hosts run unchanged on an event loop whose clock
jumps from timer to timer.  Backend servers with slots, queues, pauses and
degraded speed answer them over transports without sockets.  Callers arrive at
random from a seeded generator, retry once and take the time that they are told.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
import heapq
import math
import random as random_module
import selectors
from typing import NamedTuple

from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import metrics
from eelgrasshall.gateway import model
from eelgrasshall.gateway import request_handler

# One-way delay between hosts and backend servers, and between callers and
# hosts, in seconds.
SERVER_DELAY_S = 0.0005
CALLER_DELAY_S = 0.001
# Interval at which a host ends attempts past their deadline.
SWEEP_INTERVAL_S = 0.1
# Share of its worth that a late answer keeps.
LATE_SHARE = 0.1
# Standard deviation of the logarithm of service times.
SERVICE_TIME_SPREAD = 0.34


class Kind(NamedTuple):
    """One kind of request that callers send.

    Attributes:
      route: The route of these requests.
      rate_per_s: Requests per second.
      service_time_s: Mean time that a server needs for one, seconds.
      timeout_s: Time for which the caller waits, seconds.
      worth: Credit of an answer in time with all shards.
    """

    route: model.Route
    rate_per_s: float
    service_time_s: float
    timeout_s: float
    worth: float


class Slowdown(NamedTuple):
    """A span of time in which a server takes longer for each request.

    Attributes:
      start_s: Start of the span, seconds.
      end_s: End of the span, seconds.
      factor: Factor of the service time.
    """

    start_s: float
    end_s: float
    factor: float


class Burst(NamedTuple):
    """A span of time in which callers send more requests.

    Attributes:
      start_s: Start of the span, seconds.
      end_s: End of the span, seconds.
      factor: Factor of the request rate.
    """

    start_s: float
    end_s: float
    factor: float


class Result(NamedTuple):
    """What became of one request of a caller.

    Attributes:
      kind: The name of its route.
      arrived_s: Time at which the caller first sent it, seconds.
      took_s: Seconds from then until its last answer.
      status: Status of the last answer; 0 if there was none in time.
      tries: How often the caller sent it.
      credit: Credit for the answer, of the worth of its kind.
      worth: The worth of its kind.
      in_time: Whether it was answered within its objective.
    """

    kind: str
    arrived_s: float
    took_s: float
    status: int
    tries: int
    credit: float
    worth: float
    in_time: bool


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when all is idle."""

    def __init__(self):
        self._now_s = 0.0
        self.servers: dict[tuple[str, int], Server] = {}
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def advance(self, duration_s: float) -> None:
        """Advances the clock."""
        self._now_s += duration_s

    async def create_connection(
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        host: str | None = None,
        port: int | None = None,
        **kwargs: object,
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connects a protocol to a simulated server."""
        server = self.servers[(host, port)]
        await asyncio.sleep(server.handshake_s + 2 * SERVER_DELAY_S)
        protocol = protocol_factory()
        transport = ServerTransport(server=server, protocol=protocol)
        protocol.connection_made(transport)
        return transport, protocol


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances the clock of its loop instead of waiting."""

    def __init__(self, loop: VirtualTimeLoop):
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list:
        """Returns no events; advances the clock by the time-out."""
        if timeout is None:
            raise RuntimeError("the simulation waits for nothing")
        if timeout > 0:
            self._loop.advance(timeout)
        return []


class ServerTransport(asyncio.Transport):
    """A connection to a simulated server.

    Args:
      server: The server.
      protocol: Receives the server's responses.
    """

    def __init__(self, *, server: "Server", protocol: asyncio.Protocol):
        super().__init__()
        self.server = server
        self.protocol = protocol
        self.closed = False

    def write(self, data: bytes) -> None:
        """Delivers a request to the server after the network delay."""
        loop = self.server.loop
        loop.call_later(SERVER_DELAY_S, self.server.receive, self, data)

    def deliver(self, data: bytes) -> None:
        """Delivers a response after the network delay."""
        self.server.loop.call_later(SERVER_DELAY_S, self._deliver_now, data)

    def _deliver_now(self, data: bytes) -> None:
        if not self.closed:
            self.protocol.data_received(data)

    def abort(self) -> None:
        """Closes the connection; the server drops what it has not begun."""
        self.closed = True

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True

    def get_write_buffer_size(self) -> int:
        """Returns 0, as everything is sent at once."""
        return 0

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Returns the default, as there is no socket."""
        return default


class _Work(NamedTuple):
    """A request at a server."""

    transport: ServerTransport
    request_id: bytes
    expires_s: float
    service_time_s: float


class Server:
    """A backend server with a number of slots and a bounded queue.

    Args:
      loop: The event loop.
      server: Its registration.
      random: The random number generator.
      service_times_s: Mean service time by route path, seconds.
      speed: Factor of its service times.
      queue_limit: Most requests that wait for a slot.
      pause_s: Duration of each pause, seconds.
      pause_interval_s: Time between the starts of two pauses, seconds.
      slowdowns: Spans in which it is slower.
      handshake_s: Time to accept a connection, seconds.
    """

    def __init__(
        self,
        *,
        loop: VirtualTimeLoop,
        server: model.Server,
        random: random_module.Random,
        service_times_s: dict[bytes, float],
        speed: float = 1.0,
        queue_limit: int = 18,
        pause_s: float = 0.25,
        pause_interval_s: float = 6.0,
        slowdowns: Sequence[Slowdown] = (),
        handshake_s: float = 0.006,
    ):
        self.loop = loop
        self.server = server
        self.handshake_s = handshake_s
        self.slowdowns = list(slowdowns)
        self._random = random
        self._service_times_s = service_times_s
        self._speed = speed
        self._queue_limit = queue_limit
        self._pause_s = pause_s
        self._pause_interval_s = pause_interval_s
        self._pause_phase_s = random.uniform(0.0, pause_interval_s)
        self._queue: collections.deque[_Work] = collections.deque()
        self._running = 0

    def receive(self, transport: ServerTransport, data: bytes) -> None:
        """Runs a request, queues it, or refuses it if the queue is full."""
        work = self._parse(transport, data)
        if self._running < self.server.slots:
            self._run(work)
        elif len(self._queue) < self._queue_limit:
            self._queue.append(work)
        else:
            self._refuse(work)

    def _parse(self, transport: ServerTransport, data: bytes) -> _Work:
        head = data.split(b"\r\n")
        target = head[0].split()[1]
        fields = dict(
            line.lower().split(b": ", 1) for line in head[1:] if b": " in line
        )
        budget_s = int(fields[fakes.NAMES.time_budget]) / 1000.0
        mean_s = self._service_times_s[b"/" + target.split(b"/")[1]]
        spread = SERVICE_TIME_SPREAD
        service_time_s = mean_s * math.exp(
            self._random.gauss(-spread * spread / 2, spread)
        )
        return _Work(
            transport,
            fields[fakes.NAMES.request_id],
            self.loop.time() + budget_s,
            service_time_s,
        )

    def _run(self, work: _Work) -> None:
        self._running += 1
        now = self.loop.time()
        factor = self._speed
        for slowdown in self.slowdowns:
            if slowdown.start_s <= now < slowdown.end_s:
                factor *= slowdown.factor
        end_s = self._add_pauses(now, work.service_time_s * factor)
        self.loop.call_at(end_s, self._finish, work)

    def _add_pauses(self, start_s: float, duration_s: float) -> float:
        """Returns when work ends that is suspended during pauses."""
        end_s = start_s + duration_s
        if not self._pause_s:
            return end_s
        index = math.floor(
            (start_s - self._pause_phase_s) / self._pause_interval_s
        )
        while True:
            pause_start_s = self._pause_phase_s + index * self._pause_interval_s
            if pause_start_s >= end_s:
                return end_s
            overlap_s = (
                pause_start_s + self._pause_s - max(start_s, pause_start_s)
            )
            end_s += max(overlap_s, 0.0)
            index += 1

    def _finish(self, work: _Work) -> None:
        self._running -= 1
        body = self._random.randbytes(16)
        reply = fakes.encode_reply(work.request_id.decode(), body)
        work.transport.deliver(reply)
        while self._queue and self._running < self.server.slots:
            waiting = self._queue.popleft()
            if waiting.transport.closed:
                continue
            if waiting.expires_s <= self.loop.time():
                self._refuse(waiting)
                continue
            self._run(waiting)

    def _refuse(self, work: _Work) -> None:
        work.transport.deliver(
            b"HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\n"
            b"Content-Length: 0\r\n\r\n" % work.request_id
        )


class _NoLog:
    """A log that drops all lines."""

    def record(self, event: str, **fields: object) -> None:
        """Drops an event."""

    def allow_request_line(self, *, failed: bool) -> bool:
        """Returns whether a request may be logged: never."""
        del failed
        return False


class Simulation:
    """Callers, entry hosts and backend servers under one load.

    Args:
      loop: The event loop.
      seed: Seed of all random draws.
      kinds: The kinds of request; all search the same shards.
      shards: Number of shards.
      replicas: Backend servers per shard.
      slots: Slots per backend server.
      hosts: Number of active entry hosts.
      speeds: Factors of the service times, by replica.
      bursts: Spans with more requests.
    """

    def __init__(
        self,
        *,
        loop: VirtualTimeLoop,
        seed: int,
        kinds: Sequence[Kind],
        shards: Sequence[str],
        replicas: int = 3,
        slots: int = 3,
        hosts: int = 3,
        speeds: Sequence[float] = (0.8, 1.0, 1.3),
        bursts: Sequence[Burst] = (),
    ):
        self.loop = loop
        self.random = random_module.Random(seed)
        self.results: list[Result] = []
        self.servers: dict[str, Server] = {}
        self._kinds = kinds
        self._bursts = bursts
        self._count = 0
        self._tasks: set[asyncio.Task] = set()
        times_s = {
            kind.route.path_prefix.rstrip("/").encode(): kind.service_time_s
            for kind in kinds
        }
        port = 1000
        for shard in shards:
            for number in range(replicas):
                port += 1
                registration = fakes.make_server(
                    f"{shard}-{number}",
                    service=shard,
                    zone="abc"[number % 3],
                    port=port,
                    slots=slots,
                )
                server = Server(
                    loop=loop,
                    server=registration,
                    random=self.random,
                    service_times_s=times_s,
                    speed=speeds[number % len(speeds)],
                )
                self.servers[registration.id] = server
                loop.servers[registration.address] = server
        self._configuration = model.Configuration(
            version=1,
            routes=tuple(kind.route for kind in kinds),
            services={
                name: fakes.make_service(name, max_connections=125)
                for name in shards
            },
            limits=model.CallerLimits(),
        )
        self.handlers = loop.run_until_complete(self._make_handlers(hosts))

    async def _make_handlers(
        self, hosts: int
    ) -> list[request_handler.RequestHandler]:
        return [self._make_handler(number, hosts) for number in range(hosts)]

    def _make_handler(
        self, number: int, hosts: int
    ) -> request_handler.RequestHandler:
        names = tuple(f"h{i}" for i in range(hosts))
        handler = request_handler.RequestHandler(
            own=fakes.make_host(names[number], zone="abc"[number % 3]),
            names=fakes.NAMES,
            extra_attempt_bound=hedging.ExtraAttemptBound(0.2, 430.0),
            cold_start_bound=cold_start.ColdStartBound(1.5, 5.0),
            random=random_module.Random(self.random.random()),
            log=_NoLog(),
            metrics=metrics.Metrics(),
        )
        handler.set_hosts(hosts + 1, names)
        handler.set_active_host_count(hosts)
        handler.apply_configuration(self._configuration)
        for server in self.servers.values():
            handler.registry.set_server(server.server.id, server.server, 1)
        return handler

    def remove_server(self, server_id: str) -> None:
        """Deregisters a server at all hosts; what it runs is finished."""
        for handler in self.handlers:
            handler.registry.set_server(server_id, None, 2)

    def run(self, duration_s: float) -> None:
        """Sends requests for a time and waits until all are done."""
        self.loop.run_until_complete(self._run(duration_s))

    async def _run(self, duration_s: float) -> None:
        sweeper = self.loop.create_task(self._sweep())
        arrivals = []
        for kind in self._kinds:
            now = 0.0
            while now < duration_s:
                now += self.random.expovariate(
                    kind.rate_per_s * self._get_burst(now)
                )
                heapq.heappush(arrivals, (now, len(arrivals), kind))
        while arrivals:
            arrived_s, _, kind = heapq.heappop(arrivals)
            await asyncio.sleep(arrived_s - self.loop.time())
            task = self.loop.create_task(self._call(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)
        sweeper.cancel()
        for handler in self.handlers:
            handler.registry.close()

    def _get_burst(self, now: float) -> float:
        for burst in self._bursts:
            if burst.start_s <= now < burst.end_s:
                return burst.factor
        return 1.0

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for handler in self.handlers:
                handler.registry.sweep(self.loop.time())

    async def _call(self, kind: Kind) -> None:
        """Sends one request, and once more after a refusal or failure."""
        arrived_s = self.loop.time()
        deadline_s = arrived_s + kind.timeout_s
        refused_s = None
        for tries in (1, 2):
            tried_s = self.loop.time()
            response = await self._try(kind, deadline_s)
            if response.status == 200 or tries == 2:
                break
            headers = dict(response.headers)
            wait_s = float(headers.get(fakes.NAMES.retry_after, b"0.05"))
            remaining_s = deadline_s - self.loop.time()
            if response.status == 503 and (
                self.loop.time() - arrived_s < kind.route.objective_s / 4
            ):
                refused_s = self.loop.time()
            wait_s = min(wait_s, remaining_s / 3)
            if remaining_s - wait_s < 0.02:
                break
            await asyncio.sleep(wait_s)
        now = self.loop.time()
        in_time = response.status == 200 and (
            now - arrived_s <= kind.route.objective_s
        )
        credit = 0.0
        if response.status == 200:
            missing = int(dict(response.headers)[fakes.NAMES.parts_missing])
            total = len(kind.route.shards)
            credit = 1.0 if in_time else LATE_SHARE
            if (
                not in_time
                and refused_s is not None
                and now - tried_s <= kind.route.objective_s
            ):
                credit = (1.0 + LATE_SHARE) / 2
            credit *= kind.worth * ((total - missing) / total) ** 2
        self.results.append(
            Result(
                kind.route.name,
                arrived_s,
                now - arrived_s,
                response.status,
                tries,
                credit,
                kind.worth,
                in_time,
            )
        )

    async def _try(self, kind: Kind, deadline_s: float) -> listener.Response:
        self._count += 1
        await asyncio.sleep(CALLER_DELAY_S)
        remaining_s = deadline_s - self.loop.time()
        request = messages.Request(
            method=b"GET",
            target=kind.route.path_prefix.encode() + b"x",
            headers=[
                (b"Host", kind.route.host.encode()),
                (b"X-Id", b"r%d" % self._count),
                (b"X-Budget", b"%d" % int(remaining_s * 1000)),
            ],
            body=b"",
            received_s=self.loop.time(),
        )
        handler = self.random.choice(self.handlers)
        response = await handler.handle(request)
        await asyncio.sleep(CALLER_DELAY_S)
        return response


class Summary(NamedTuple):
    """What callers got in a span of time.

    Attributes:
      requests: Number of requests.
      credit: Credit earned, as a share of the worth asked for.
      in_time: Share of the requests answered within their objective.
      served: Share of the requests answered at all.
    """

    requests: int
    credit: float
    in_time: float
    served: float


def summarize(
    results: Sequence[Result], start_s: float, end_s: float
) -> Summary:
    """Returns what callers got whose requests arrived in a span of time."""
    chosen = [r for r in results if start_s <= r.arrived_s < end_s]
    count = max(len(chosen), 1)
    worth = sum(r.worth for r in chosen) or 1.0
    return Summary(
        len(chosen),
        sum(r.credit for r in chosen) / worth,
        sum(r.in_time for r in chosen) / count,
        sum(r.status == 200 for r in chosen) / count,
    )
