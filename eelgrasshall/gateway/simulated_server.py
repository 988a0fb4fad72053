"""Simulated backend servers in virtual time, for tests of decisions under load.

A server has slots, a bounded queue, regular pauses, spans in which it is
slower, spans in which it turns all requests away and spans in which it states
how many requests it takes.  Its responses are those that a
gateway expects.
"""

import asyncio
import collections
from collections.abc import Sequence
import math
import random as random_module
from typing import NamedTuple

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import model
from eelgrasshall.gateway import virtual_time

# One-way delay between hosts and backend servers, seconds, and what another
# availability zone adds to it.
SERVER_DELAY_S = 0.0005
CROSS_ZONE_DELAY_S = 0.0009
# Standard deviation of the logarithm of service times.
SERVICE_TIME_SPREAD = 0.34


class Span(NamedTuple):
    """A span of time in which something is multiplied.

    Attributes:
      start_s: Start of the span, seconds.
      end_s: End of the span, seconds.
      factor: Factor of the service time, or of the request rate.
    """

    start_s: float
    end_s: float
    factor: float


def find_factor(spans: Sequence[Span], now: float) -> float:
    """Returns the product of the factors of all spans that contain a time."""
    return math.prod(
        span.factor for span in spans if span.start_s <= now < span.end_s
    )


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
        # Whatever represents the host that opened the connection.
        self.host: object = protocol.backend.environment.observer
        self._delay_s = SERVER_DELAY_S
        if server.is_remote_to(self.host):
            self._delay_s += server.cross_zone_delay_s

    def write(self, data: bytes) -> None:
        """Delivers a request to the server after the network delay."""
        loop = self.server.loop
        loop.call_later(self._delay_s, self.server.receive, self, data)

    def deliver(self, data: bytes) -> None:
        """Delivers a response after the network delay."""
        self.server.loop.call_later(self._delay_s, self._deliver_now, data)

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
      cross_zone_delay_s: One-way delay that hosts of other zones have in
        addition, seconds.
    """

    def __init__(
        self,
        *,
        loop: virtual_time.VirtualTimeLoop,
        server: model.Server,
        random: random_module.Random,
        service_times_s: dict[bytes, float],
        speed: float = 1.0,
        queue_limit: int = 18,
        pause_s: float = 0.25,
        pause_interval_s: float = 6.0,
        slowdowns: Sequence[Span] = (),
        handshake_s: float = 0.006,
        cross_zone_delay_s: float = 0.0,
    ):
        self.loop = loop
        self.cross_zone_delay_s = cross_zone_delay_s
        self.server = server
        self._handshake_s = handshake_s
        self.slowdowns = list(slowdowns)
        # Spans in which all requests are turned away; the factor is not used.
        self.shedding: list[Span] = []
        self.turned_away_count = 0
        # Spans in which it states the factor as the most requests per second.
        self.limits: list[Span] = []
        # When requests arrived, seconds, and the hosts that sent them.
        self.arrival_log: list[tuple[float, object]] = []
        # When each host got the first response that stated a limit, seconds.
        self.told_s: dict[object, float] = {}
        self._random = random
        self._service_times_s = service_times_s
        self._speed = speed
        self._queue_limit = queue_limit
        self._pause_s = pause_s
        self._pause_interval_s = pause_interval_s
        self._pause_phase_s = random.uniform(0.0, pause_interval_s)
        self._queue: collections.deque[_Work] = collections.deque()
        self._running = 0

    @property
    def load(self) -> int:
        """Requests that run or wait for a slot."""
        return self._running + len(self._queue)

    def is_remote_to(self, host: object) -> bool:
        """Returns whether a host is in another availability zone."""
        return getattr(host, "zone", self.server.zone) != self.server.zone

    async def accept(self, protocol: asyncio.Protocol) -> ServerTransport:
        """Opens a connection."""
        await asyncio.sleep(self._handshake_s + 2 * SERVER_DELAY_S)
        return ServerTransport(server=self, protocol=protocol)

    def receive(self, transport: ServerTransport, data: bytes) -> None:
        """Runs a request, queues it, or refuses it if the queue is full."""
        now = self.loop.time()
        self.arrival_log.append((now, transport.host))
        if data.startswith(b"GET /health"):
            transport.deliver(
                fakes.encode_reply("", b"", rate_limit=self._find_limit(now))
            )
            return
        work = self._parse(transport, data)
        for span in self.shedding:
            if span.start_s <= now < span.end_s:
                self.turned_away_count += 1
                self._refuse(work, retry_after_s=span.end_s - now)
                return
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
        factor = self._speed * find_factor(self.slowdowns, now)
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
        now = self.loop.time()
        rate = self._find_limit(now)
        if rate is not None:
            self.told_s.setdefault(work.transport.host, now + SERVER_DELAY_S)
        reply = fakes.encode_reply(
            work.request_id.decode(), body, rate_limit=rate
        )
        work.transport.deliver(reply)
        while self._queue and self._running < self.server.slots:
            waiting = self._queue.popleft()
            if waiting.transport.closed:
                continue
            if waiting.expires_s <= self.loop.time():
                self._refuse(waiting)
                continue
            self._run(waiting)

    def _find_limit(self, now: float) -> float | None:
        """Returns the most requests per second that it states, if any."""
        rates = [
            span.factor
            for span in self.limits
            if span.start_s <= now < span.end_s
        ]
        return min(rates, default=None)

    def _refuse(
        self, work: _Work, *, retry_after_s: float | None = None
    ) -> None:
        pause = b""
        if retry_after_s is not None:
            pause = b"Retry-After: %.3f\r\n" % retry_after_s
        work.transport.deliver(
            b"HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\n%s"
            b"Content-Length: 0\r\n\r\n" % (work.request_id, pause)
        )
