"""Tests of request handlers under requests that crash backend servers.

Request handlers run unchanged in virtual time, with simulated servers that
crash; the hosts exchange the datagrams of the real program.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random as random_module
from typing import NamedTuple

import pytest

from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import crash_gossip
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import metrics
from eelgrasshall.gateway import model
from eelgrasshall.gateway import quarantine
from eelgrasshall.gateway import request_handler
from eelgrasshall.gateway import simulated_server
from eelgrasshall.gateway import virtual_time

# The bound on harmful requests: tries that reach a server, sent later than
# this after the third crash.
_CONTACT_S = 4.0
_CRASHES_ALLOWED = 3
_TRIES_ALLOWED = 3
_CRASH_DELAY_S = 0.002
_DOWN_TIME_S = 2.0
_HEARTBEAT_PERIOD_S = 0.25
_SWEEP_INTERVAL_S = 0.1
_SERVICE_TIME_S = 0.02
_HARMFUL_TARGET = "/find/harmful"


class _Log(fakes.Log):
    """A log that records its events, without those of single requests."""

    def allow_request_line(self, *, failed: bool) -> bool:
        """Returns whether a request may be logged: never."""
        del failed
        return False


class _Arrival(NamedTuple):
    """A try that reached a server, and the time."""

    at_s: float
    request_id: str
    server_id: str


class _Server(simulated_server.Server):
    """A simulated server that harmful requests crash; it is back later."""

    def __init__(self, *, is_harmful: Callable[[str], bool], **kwargs):
        super().__init__(**kwargs)
        self.arrivals: list[_Arrival] = []
        self.crashes_s: list[float] = []
        self._is_harmful = is_harmful
        self._down = False
        self._transports: list[simulated_server.ServerTransport] = []

    async def accept(
        self, protocol: asyncio.Protocol
    ) -> simulated_server.ServerTransport:
        """Opens a connection.

        Raises:
          ConnectionRefusedError: The server is down.
        """
        if self._down:
            await asyncio.sleep(2 * simulated_server.SERVER_DELAY_S)
            raise ConnectionRefusedError
        transport = await super().accept(protocol)
        self._transports.append(transport)
        return transport

    def receive(
        self, transport: simulated_server.ServerTransport, data: bytes
    ) -> None:
        """Runs a request, answers a health check, or crashes."""
        if transport.closed or self._down:
            return
        head = data.decode("latin-1").split("\r\n")
        target = head[0].split()[1]
        if target == "/health":
            transport.deliver(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        fields = dict(
            line.lower().split(": ", 1) for line in head if ": " in line
        )
        request_id = fields[fakes.NAMES.request_id.decode()]
        if target.startswith(_HARMFUL_TARGET):
            arrival = _Arrival(self.loop.time(), request_id, self.server.id)
            self.arrivals.append(arrival)
            if self._is_harmful(self.server.id):
                self.loop.call_later(_CRASH_DELAY_S, self.crash)
                return
        super().receive(transport, data)

    def crash(self) -> None:
        """Resets all connections and refuses new ones for a while."""
        if self._down:
            return
        self._down = True
        self.crashes_s.append(self.loop.time())
        self._queue.clear()
        self._running = 0
        transports, self._transports = self._transports, []
        for transport in transports:
            if not transport.closed:
                transport.closed = True
                self.loop.call_later(
                    simulated_server.SERVER_DELAY_S,
                    transport.protocol.connection_lost,
                    ConnectionResetError(),
                )
        self.loop.call_later(_DOWN_TIME_S, self._restart)

    def is_reached_by(self, request_id: str) -> bool:
        """Returns whether a try of the harmful request has arrived."""
        return any(each.request_id == request_id for each in self.arrivals)

    def _restart(self) -> None:
        self._down = False

    def _finish(self, work) -> None:
        if not work.transport.closed:
            super()._finish(work)


class _Fleet:
    """Hosts that exchange crash reports, and the servers of some services."""

    def __init__(
        self,
        *,
        loop: virtual_time.VirtualTimeLoop,
        route: model.Route,
        services: Sequence[str],
        hosts: int,
        replicas: int = 3,
        seed: int = 1,
        is_harmful: Callable[[str], bool] = lambda server_id: True,
    ):
        self.loop = loop
        self.random = random_module.Random(seed)
        self.log = _Log()
        self.servers: list[_Server] = []
        self.sent: list[tuple[str, float]] = []
        self.statuses: list[int] = []
        # Pairs of hosts of which the second does not hear the first.
        self.cut: set[tuple[int, int]] = set()
        # Hosts that neither send nor receive.
        self.frozen: set[int] = set()
        self._route = route
        self._services = services
        for service in services:
            for number in range(replicas):
                registration = fakes.make_server(
                    f"{service}-{number}",
                    service=service,
                    zone="abc"[number % 3],
                    port=1000 + len(self.servers),
                )
                server = _Server(
                    loop=loop,
                    server=registration,
                    random=self.random,
                    service_times_s={b"/find": _SERVICE_TIME_S},
                    is_harmful=is_harmful,
                )
                self.servers.append(server)
                loop.add_endpoint(registration.address, server)
        self.handlers: list[request_handler.RequestHandler] = []
        self._names = tuple(f"h{i}" for i in range(hosts))

    @property
    def crashes_s(self) -> list[float]:
        """The times of all crashes, in their order."""
        return sorted(
            at_s for server in self.servers for at_s in server.crashes_s
        )

    def run(self, play: Callable[["_Fleet"], object]) -> None:
        """Runs a coroutine function on the fleet."""
        self.loop.run_until_complete(self._run(play))

    async def _run(self, play) -> None:
        self.handlers = [self._make_handler(name) for name in self._names]
        task = self.loop.create_task(self._serve())
        try:
            await play(self)
        finally:
            task.cancel()
            for handler in self.handlers:
                handler.registry.close()

    def _make_handler(self, name: str) -> request_handler.RequestHandler:
        handler = request_handler.RequestHandler(
            own=fakes.make_host(name),
            names=fakes.NAMES,
            extra_attempt_bound=hedging.ExtraAttemptBound(0.2, 258.0, 10.0),
            cold_start_bound=cold_start.ColdStartBound(1.5, 5.0),
            random=random_module.Random(self.random.random()),
            log=self.log,
            metrics=metrics.Metrics(),
        )
        handler.set_hosts(len(self._names), self._names)
        handler.set_extra_share(1.0 / len(self._names))
        handler.apply_configuration(
            fakes.make_configuration(
                routes=(self._route,), services=tuple(self._services)
            )
        )
        for server in self.servers:
            handler.registry.set_server(server.server.id, server.server, 1)
        return handler

    async def _serve(self) -> None:
        """Does what hosts do from time to time."""
        steps = round(_HEARTBEAT_PERIOD_S / 0.05)
        count = 0
        while True:
            await asyncio.sleep(0.05)
            now = self.loop.time()
            count += 1
            for number, handler in enumerate(self.handlers):
                handler.registry.sweep(now)
                if (count + number) % steps == 0 and (
                    number not in self.frozen
                ):
                    self._exchange(number, now)

    def _exchange(self, sender: int, now: float) -> None:
        entries = self.handlers[sender].quarantine.list_gossip(
            now, crash_gossip.MAX_ENTRIES
        )
        if not entries:
            return
        datagram = crash_gossip.encode(entries, now)
        for number, handler in enumerate(self.handlers):
            if (
                number != sender
                and number not in self.frozen
                and (sender, number) not in self.cut
            ):
                handler.add_crash_gossip(crash_gossip.decode(datagram, now))

    def restart(self, host: int) -> None:
        """Restarts a host, which knows nothing then."""
        self.handlers[host].registry.close()
        self.handlers[host] = self._make_handler(self._names[host])

    async def send(
        self, host: int, request_id: str, target: str, budget_s: float = 2.0
    ) -> listener.Response:
        """Sends a request to a host and returns the response."""
        request = messages.Request(
            method=b"GET",
            target=target.encode(),
            headers=[
                (b"Host", self._route.host.encode()),
                (b"X-Id", request_id.encode()),
                (b"X-Budget", b"%d" % round(budget_s * 1000)),
            ],
            body=b"",
            received_s=self.loop.time(),
        )
        return await self.handlers[host].handle(request)

    async def send_harmful(
        self,
        *,
        tries: int,
        interval_s: float = 1.3,
        target: str = _HARMFUL_TARGET,
        hosts: Sequence[int] = (),
    ) -> None:
        """Sends the harmful request again and again, to one host after another.

        The caller sends the next try only after the last one's answer.

        Args:
          tries: Number of tries.
          interval_s: Time between an answer and the next try, seconds.
          target: The request.
          hosts: The hosts to send to in turn; all of them if empty.
        """
        hosts = hosts or range(len(self.handlers))
        for number in range(tries):
            request_id = f"try{len(self.sent)}"
            self.sent.append((request_id, self.loop.time()))
            response = await self.send(
                hosts[number % len(hosts)], request_id, target
            )
            self.statuses.append(response.status)
            await asyncio.sleep(interval_s)

    def list_late_tries(self) -> list[str]:
        """Returns the tries that were harmful and reached a server too late."""
        crashes_s = self.crashes_s
        assert len(crashes_s) >= _CRASHES_ALLOWED
        known_s = crashes_s[_CRASHES_ALLOWED - 1] + _CONTACT_S
        return [
            request_id
            for request_id, at_s in self.sent
            if at_s > known_s and self.is_reached_by(request_id)
        ]

    def is_reached_by(self, request_id: str) -> bool:
        """Returns whether a try of the harmful request reached a server."""
        return any(each.is_reached_by(request_id) for each in self.servers)


@pytest.mark.parametrize("hosts", [1, 2, 4])
def test_request_that_crashes_the_servers_of_one_service_is_stopped(hosts):
    # A route over two services: one of them crashes, the other answers.
    services = ("old", "new")
    route = fakes.make_route()._replace(
        split=tuple(model.WeightedService(name, 1.0) for name in services)
    )
    fleet = _Fleet(
        loop=virtual_time.VirtualTimeLoop(),
        route=route,
        services=services,
        hosts=hosts,
        is_harmful=lambda server_id: server_id.startswith("new"),
    )
    fleet.run(lambda each: each.send_harmful(tries=30))
    late = fleet.list_late_tries()
    assert len(late) <= _TRIES_ALLOWED, late


@pytest.mark.parametrize("hosts", [1, 3])
def test_request_that_crashes_one_server_of_a_service_is_stopped(hosts):
    # One server has another version; the others answer the same request.
    fleet = _make_fleet(
        hosts=hosts,
        is_harmful=lambda server_id: server_id == "orders-0",
        max_attempts=1,
    )
    fleet.run(lambda each: each.send_harmful(tries=60))
    late = fleet.list_late_tries()
    assert len(late) <= _TRIES_ALLOWED, late


def _make_fleet(
    *,
    hosts: int = 1,
    replicas: int = 3,
    is_harmful: Callable[[str], bool] = lambda server_id: True,
    **changes: object,
) -> _Fleet:
    """Returns a fleet whose route goes to a single service."""
    return _Fleet(
        loop=virtual_time.VirtualTimeLoop(),
        route=fakes.make_route(**changes),
        services=("orders",),
        hosts=hosts,
        replicas=replicas,
        is_harmful=is_harmful,
    )


async def _send_during_verdict(
    fleet: _Fleet, *, target: str, verdict_s: float
) -> listener.Response:
    """Sends a request that is found out a while after its arrival."""
    task = fleet.loop.create_task(fleet.send(0, "a1", target))
    await asyncio.sleep(verdict_s)
    fingerprint = messages.compute_fingerprint(
        fakes.make_request(_HARMFUL_TARGET)
    )
    fleet.handlers[0].add_crash_gossip(
        [quarantine.Verdict(fingerprint, fleet.loop.time() + 60.0)]
    )
    return await task


@pytest.mark.parametrize("idempotent", [True, False])
def test_request_that_is_found_out_while_it_waits_to_be_sent_is_refused(
    idempotent,
):
    # It waits for a connection, which takes longer to open than the verdict
    # takes to arrive; nothing but the question before the send stops it.
    fleet = _make_fleet(idempotent=idempotent)

    async def play(fleet: _Fleet) -> None:
        response = await _send_during_verdict(
            fleet, target=_HARMFUL_TARGET, verdict_s=0.003
        )
        assert response.status == 503
        retry_after = dict(response.headers)[fakes.NAMES.retry_after]
        assert float(retry_after) > 50.0

    fleet.run(play)
    assert not fleet.is_reached_by("a1")


def test_request_that_waits_for_a_busy_connection_is_refused_when_found_out():
    # The only connections are in use by other requests.
    fleet = _make_fleet(replicas=1)

    async def play(fleet: _Fleet) -> None:
        (backend,) = fleet.handlers[0].find_candidates("orders")
        backend.connection_limit = 1
        busy = fleet.loop.create_task(fleet.send(0, "b1", "/find/other"))
        await asyncio.sleep(0.01)
        response = await _send_during_verdict(
            fleet, target=_HARMFUL_TARGET, verdict_s=0.002
        )
        assert response.status == 503
        assert (await busy).status == 200

    fleet.run(play)
    assert not fleet.is_reached_by("a1")


def test_verdict_stops_no_other_request():
    fleet = _make_fleet()

    async def play(fleet: _Fleet) -> None:
        response = await _send_during_verdict(
            fleet, target="/find/other", verdict_s=0.003
        )
        assert response.status == 200

    fleet.run(play)


def test_request_is_sent_again_after_its_quarantine():
    fleet = _make_fleet(is_harmful=lambda server_id: False)

    async def play(fleet: _Fleet) -> None:
        await _send_during_verdict(
            fleet, target=_HARMFUL_TARGET, verdict_s=0.003
        )
        await asyncio.sleep(61.0)
        response = await fleet.send(0, "a2", _HARMFUL_TARGET)
        assert response.status == 200

    fleet.run(play)
    assert not fleet.is_reached_by("a1")
    assert fleet.is_reached_by("a2")


class _Callers:
    """Callers of innocent requests, who send again what fails.

    Args:
      fleet: The fleet that they call.
      rate_per_s: New requests per second, at random.
      targets: Number of different requests; a small one makes callers send
        the same request at the same time.
    """

    max_tries = 4
    retry_delay_s = 0.3

    def __init__(self, *, fleet: _Fleet, rate_per_s: float, targets: int):
        self.targets = [f"/find/innocent{i}" for i in range(targets)]
        self.statuses: list[int] = []
        self._fleet = fleet
        self._rate_per_s = rate_per_s
        self._tasks: set[asyncio.Task] = set()
        self._count = 0

    async def run(self, duration_s: float) -> None:
        """Sends requests for a time."""
        loop = self._fleet.loop
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            await asyncio.sleep(
                self._fleet.random.expovariate(self._rate_per_s)
            )
            task = loop.create_task(self._call())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    def list_convicted(self) -> list[str]:
        """Returns the innocent requests that a host has quarantined."""
        by_fingerprint = {
            messages.compute_fingerprint(
                fakes.make_request(each, received_s=0.0)
            ): each
            for each in self.targets
        }
        lines = self._fleet.log.list_events("quarantined")
        names = {line["fingerprint"] for line in lines}
        return sorted(
            by_fingerprint[name] for name in names & {*by_fingerprint}
        )

    async def _call(self) -> None:
        target = self._fleet.random.choice(self.targets)
        for _ in range(self.max_tries):
            self._count += 1
            host = self._fleet.random.randrange(len(self._fleet.handlers))
            response = await self._fleet.send(host, f"i{self._count}", target)
            if response.status == 200:
                break
            await asyncio.sleep(self.retry_delay_s)
        self.statuses.append(response.status)


class _Replay(NamedTuple):
    """What became of a harmful search beside innocent ones."""

    convicted: list[str]
    late: list[str]
    crashes: int
    reached: int


def _replay_mass_crashes(
    *,
    seed: int,
    rate_per_s: float = 60.0,
    targets: int = 2000,
    hosts: int = 3,
    tries: int = 12,
    interval_s: float = 1.3,
    moments: int = 1,
) -> _Replay:
    """Replays a search that crashes all servers of ten shards.

    Its caller sends it again and again beside other searches.  Others like it
    follow.
    """
    shards = tuple(f"shard{i}" for i in range(10))
    fleet = _Fleet(
        loop=virtual_time.VirtualTimeLoop(),
        route=fakes.make_route(shards=shards),
        services=shards,
        hosts=hosts,
        seed=seed,
    )
    callers = _Callers(fleet=fleet, rate_per_s=rate_per_s, targets=targets)

    async def play(fleet: _Fleet) -> None:
        task = fleet.loop.create_task(
            callers.run((4.0 + tries * interval_s) * moments)
        )
        for moment in range(moments):
            await asyncio.sleep(4.0)
            await fleet.send_harmful(
                tries=tries,
                interval_s=interval_s,
                target=f"{_HARMFUL_TARGET}{moment}",
            )
        await task

    fleet.run(play)
    return _Replay(
        callers.list_convicted(),
        fleet.list_late_tries(),
        len(fleet.crashes_s),
        sum(fleet.is_reached_by(request_id) for request_id, _ in fleet.sent),
    )


@pytest.mark.parametrize(
    "seed, changes",
    [
        (1, {}),
        (3, {"rate_per_s": 150.0}),
        (5, {}),
        (4, {"targets": 40}),
        (2, {"targets": 5}),
        (6, {"targets": 40, "moments": 3, "tries": 4}),
    ],
)
def test_searches_that_run_beside_a_harmful_one_are_not_quarantined(
    seed, changes
):
    # It crashes all replicas within one try.  The retries of the other
    # searches go to the same servers, so that they see several crashes too.
    replay = _replay_mass_crashes(seed=seed, **changes)
    assert not replay.convicted
    assert len(replay.late) <= _TRIES_ALLOWED
    # It is found out as early as with nobody beside it, or in its next try.
    assert replay.reached <= 2 * changes.get("moments", 1)


def _list_cut(
    hosts: int, hears: Callable[[int, int], bool]
) -> set[tuple[int, int]]:
    """Returns the pairs of hosts of which the second cannot hear the first."""
    return {
        (sender, receiver)
        for sender in range(hosts)
        for receiver in range(hosts)
        if not hears(sender, receiver)
    }


@pytest.mark.parametrize(
    "hears",
    [
        # A chain: hosts hear their neighbours.
        lambda sender, receiver: abs(sender - receiver) == 1,
        # A ring in which each host hears one other.
        lambda sender, receiver: receiver == (sender + 1) % 8,
        # All hear one host, which is the only one that hears the others.
        lambda sender, receiver: 7 in (sender, receiver),
    ],
    ids=["chain", "ring", "star"],
)
def test_hosts_that_hear_each_other_in_part_stop_a_harmful_request(hears):
    # Hosts pass on what others have told them.  No host that takes tries would
    # see enough crashes by itself within the bound.
    fleet = _make_fleet(hosts=8, max_attempts=1)
    fleet.cut = _list_cut(8, hears)
    fleet.run(lambda each: each.send_harmful(tries=24, hosts=range(7)))
    late = fleet.list_late_tries()
    assert len(late) <= _TRIES_ALLOWED, late


@pytest.mark.parametrize("restarted", [(1,), (0, 1), (0, 1, 2)])
def test_hosts_that_restart_learn_of_reports_and_verdicts(restarted):
    # One after the other, each after a try: those that go on tell them.
    fleet = _make_fleet(hosts=4, max_attempts=1)

    async def play(fleet: _Fleet) -> None:
        task = fleet.loop.create_task(fleet.send_harmful(tries=18))
        await asyncio.sleep(0.7)
        for _ in range(5):
            for host in restarted:
                fleet.restart(host)
                await asyncio.sleep(1.3)
        await task

    fleet.run(play)
    late = fleet.list_late_tries()
    assert len(late) <= _TRIES_ALLOWED, late


def test_host_that_was_frozen_while_reports_were_sent_learns_of_them():
    # All new entries have been sent by the time that it wakes up.
    fleet = _make_fleet(hosts=3, max_attempts=1)

    async def play(fleet: _Fleet) -> None:
        fleet.frozen = {2}
        await fleet.send_harmful(tries=6, hosts=(0, 1))
        fleet.frozen = set()
        await asyncio.sleep(_CONTACT_S)
        await fleet.send_harmful(tries=4, hosts=(2,))

    fleet.run(play)
    assert not fleet.list_late_tries()


def test_frozen_host_tells_of_its_crashes_when_it_wakes_up():
    fleet = _make_fleet(hosts=3, max_attempts=1)

    async def play(fleet: _Fleet) -> None:
        await fleet.send_harmful(tries=2, hosts=(2,), interval_s=0.1)
        fleet.frozen = {2}
        await asyncio.sleep(30.0)
        fleet.frozen = set()
        await asyncio.sleep(_CONTACT_S)
        await fleet.send_harmful(tries=8, hosts=(0, 1))

    fleet.run(play)
    assert len(fleet.crashes_s) == _CRASHES_ALLOWED


@pytest.mark.parametrize("targets", [1, 3])
def test_popular_request_beside_a_harmful_one_is_not_quarantined(targets):
    # Many callers send it at the same time, so that one of its tries runs at
    # each server that crashes; the others are answered.
    fleet = _make_fleet(hosts=3, replicas=6)
    callers = _Callers(fleet=fleet, rate_per_s=80.0, targets=targets)

    async def play(fleet: _Fleet) -> None:
        task = fleet.loop.create_task(callers.run(6.0))
        await asyncio.sleep(1.0)
        await fleet.send_harmful(tries=12, interval_s=0.3)
        await task

    fleet.run(play)
    assert not callers.list_convicted()
    assert not fleet.list_late_tries()
    assert fleet.statuses[-1] == 503
