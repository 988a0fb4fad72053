"""Tests of heartbeats, over loopback datagrams and as bytes."""

import asyncio
import heapq
import random

from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import heartbeats
from eelgrasshall.gateway import peers


def _make(host, *, incarnation: int = 1):
    """Returns a host's heartbeats and the news that it takes."""
    taken = []
    made = peers.Peers(
        own=host,
        incarnation=incarnation,
        loop=asyncio.get_running_loop(),
        random=random.Random(1),
        reaches_store=lambda: True,
        read_rate=lambda: 12.0,
        read_news=lambda: [1, 2, 3, 4],
        take_news=lambda name, news: taken.append((name, news)),
        note_hosts=lambda: None,
    )
    return made, taken


def _make_hosts(count: int, *, port: int):
    return [
        fakes.make_host(f"h{i}", zone="abc"[i % 3], port=port + 10 * i)
        for i in range(count)
    ]


async def test_hosts_meet_through_heartbeats_alone():
    first, second = _make_hosts(2, port=18100)
    one, _ = _make(first)
    two, taken = _make(second)
    await one.start()
    await two.start()
    two.announce(heartbeats.State.READY)
    one.announce(heartbeats.State.READY)
    one.add_host(second)
    await asyncio.sleep(0.1)
    assert [host for host, _ in two.list_alive(heartbeats.State.READY)] == [
        first
    ]
    assert taken[0] == ("h0", [1, 2, 3, 4])
    heartbeat = two.list_alive()[0][1]
    assert heartbeat.reaches_store and heartbeat.attempts_per_s == 12
    one.stop()
    two.stop()


async def test_a_host_that_is_silent_is_not_alive(monkeypatch):
    monkeypatch.setattr(peers, "DIRECT_SILENCE_S", 0.05)
    first, second = _make_hosts(2, port=18200)
    one, _ = _make(first)
    two, _ = _make(second)
    await one.start()
    await two.start()
    one.add_host(second)
    await asyncio.sleep(0.02)
    one.stop()
    assert two.list_alive()
    await asyncio.sleep(0.06)
    assert not two.list_alive()
    two.stop()


async def test_a_leaving_host_is_not_among_those_that_serve():
    first, second = _make_hosts(2, port=18300)
    one, _ = _make(first)
    two, _ = _make(second)
    await one.start()
    await two.start()
    one.add_host(second)
    one.announce(heartbeats.State.READY)
    one.announce(heartbeats.State.LEAVING)
    await asyncio.sleep(0.05)
    assert two.list_alive() and not two.list_candidates()
    assert all(load.host != first for load in two.list_loads())
    one.stop()
    two.stop()


async def test_a_large_fleet_hears_every_host_through_others(monkeypatch):
    monkeypatch.setattr(peers, "SHORTEST_SPREAD_PERIOD_S", 0.02)
    monkeypatch.setattr(peers, "SPREAD_PERIOD_PER_HOST_S", 0.0)
    monkeypatch.setattr(peers, "DIRECT_PERIOD_S", 0.02)
    hosts = _make_hosts(24, port=18400)
    made = [_make(host)[0] for host in hosts]
    for each in made:
        await each.start()
        for host in hosts:
            each.add_host(host)
        each.announce(heartbeats.State.READY)
    await asyncio.sleep(0.5)
    for each in made:
        assert len(each.list_alive(heartbeats.State.READY)) == len(hosts) - 1
        each.stop()


async def test_an_older_heartbeat_does_not_undo_a_newer_one():
    first, second = _make_hosts(2, port=18700)
    one, _ = _make(first)
    two, _ = _make(second)
    sent = []

    class Transport:
        def sendto(self, data, address):
            sent.append(data)

    one.connection_made(Transport())
    one.add_host(second)
    one.announce(heartbeats.State.READY)
    old = sent[-1]
    one.announce(heartbeats.State.LEAVING)
    two.datagram_received(sent[-1], ("", 0))
    two.datagram_received(old, ("", 0))
    assert two.list_alive()[0][1].state is heartbeats.State.LEAVING


async def test_a_restarted_host_counts_from_its_first_heartbeat():
    first, second = _make_hosts(2, port=18800)
    sent = []

    class Transport:
        def sendto(self, data, address):
            sent.append(data)

    before, _ = _make(first, incarnation=1)
    after, _ = _make(first, incarnation=2)
    two, _ = _make(second)
    for each in (before, after):
        each.connection_made(Transport())
        each.add_host(second)
    for _ in range(5):
        before.announce(heartbeats.State.LEAVING)
    two.datagram_received(sent[-1], ("", 0))
    after.announce(heartbeats.State.READY)
    two.datagram_received(sent[-1], ("", 0))
    assert two.list_alive()[0][1].state is heartbeats.State.READY


class Clock:
    """Stands in for an event loop whose time passes on demand."""

    def __init__(self):
        self.now = 0.0
        self._due = []
        self._count = 0

    def time(self) -> float:
        return self.now

    def call_later(self, delay_s, callback):
        self._count += 1
        entry = (self.now + delay_s, self._count, callback)
        heapq.heappush(self._due, entry)
        return self

    def cancel(self):
        pass

    def pass_time(self, span_s: float) -> None:
        end_s = self.now + span_s
        while self._due and self._due[0][0] <= end_s:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = end_s


class Network:
    """Carries datagrams between hosts in one process, losing some."""

    def __init__(self, *, clock: Clock, loss: float = 0.0):
        self.clock = clock
        self.bytes = 0
        self.members = {}
        self._loss = loss
        self._random = random.Random(2)

    def add(self, host, *, incarnation: int = 1):
        made = peers.Peers(
            own=host,
            incarnation=incarnation,
            loop=self.clock,
            random=random.Random(host.name),
            reaches_store=lambda: True,
            read_rate=lambda: 12.0,
            read_news=lambda: [[1, 2, 3, 4], []],
            take_news=lambda name, news: None,
            note_hosts=lambda: None,
        )
        self.members[tuple(host.peer_address)] = made
        made.connection_made(self)
        return made

    def sendto(self, data: bytes, address: tuple) -> None:
        self.bytes += len(data)
        if address in self.members and self._random.random() >= self._loss:
            self.members[address].datagram_received(data, address)


def _start_fleet(count: int, *, loss: float = 0.0):
    """Returns a fleet whose hosts all know each other, and its network."""
    clock = Clock()
    network = Network(clock=clock, loss=loss)
    hosts = _make_hosts(count, port=1000)
    made = [network.add(host) for host in hosts]
    for each in made:
        for host in hosts:
            each.add_host(host)
    chance = random.Random(7)
    for each in made:
        each.state = heartbeats.State.READY
        clock.call_later(chance.random() / 2, each._tick)
    return network, made


def _find_unseen(made) -> int:
    """Returns how often a host does not count another one as ready."""
    return sum(
        len(made) - 1 - len(each.list_alive(heartbeats.State.READY))
        for each in made
    )


def test_hosts_of_a_fleet_of_400_count_each_other_as_alive_all_the_time():
    network, made = _start_fleet(400, loss=0.02)
    network.clock.pass_time(4.5)
    network.bytes = 0
    for _ in range(2):
        network.clock.pass_time(1.0)
        # A host that one in a thousand takes for dead keeps its callers.
        assert _find_unseen(made) <= 400 * 399 / 1000
    # The target allows 5 KB/s of control traffic for each host.
    assert network.bytes / 400 / 2.0 < 5000


@pytest.mark.parametrize("count", [40, 100])
def test_a_dead_host_of_a_large_fleet_is_noticed_everywhere_in_time(count):
    network, made = _start_fleet(count)
    network.clock.pass_time(4.0)
    dead = made.pop()
    del network.members[tuple(dead._own.peer_address)]
    dead._tick = lambda: None
    # The directory may name a dead host for 7 s at most.
    network.clock.pass_time(6.0)
    for each in made:
        assert dead._own.name not in [h.name for h, _ in each.list_alive()]


def test_hosts_that_know_different_hosts_still_hear_each_other():
    network, made = _start_fleet(60)
    for each in made[:30]:
        each.remove_host("h59")
    del network.members[tuple(made.pop()._own.peer_address)]
    network.clock.pass_time(12.0)
    assert _find_unseen(made) <= 30


@pytest.mark.parametrize("count", [2, 40])
def test_a_host_that_restarts_with_its_clock_set_back_counts_at_once(count):
    network, made = _start_fleet(count)
    network.clock.pass_time(20.0)
    own = made[0]._own
    made[0]._tick = lambda: None
    again = network.add(own, incarnation=0)
    for each in made[1:]:
        again.add_host(each._own)
    again.announce(heartbeats.State.READY)
    again._tick()
    network.clock.pass_time(3.0)
    made[0] = again
    assert _find_unseen(made) == 0
    network.clock.pass_time(made[1].silence_s + 1.0)
    assert _find_unseen(made) == 0


def test_an_entry_of_a_table_says_what_a_host_said():
    for rate in (0, 1, 2, 90, 5000, heartbeats.MAX_RATE):
        said = heartbeats.Heartbeat(7, heartbeats.State.LEAVING, True, rate)
        read = heartbeats.parse_entry(*heartbeats.encode_entry(said))
        assert read[:3] == said[:3]
        assert min(rate, 32768) / 1.2 <= read.attempts_per_s <= rate * 1.2


def test_a_rate_that_cannot_be_is_brought_into_range():
    host = fakes.make_host()
    for rate, expected in ((-5, 0), (10**9, heartbeats.MAX_RATE)):
        said = heartbeats.Heartbeat(1, heartbeats.State.READY, True, rate)
        message = heartbeats.Message(host, 1, said, [], 0, False)
        read = heartbeats.parse_head(heartbeats.encode_head(message))
        assert read.heartbeat.attempts_per_s == expected
        heartbeats.encode_entry(read.heartbeat)


@given(data=strategies.binary(max_size=200))
def test_bytes_that_are_no_heartbeat_change_nothing(data):
    async def receive():
        made, taken = _make(fakes.make_host())
        made.datagram_received(data, ("", 0))
        assert made.known == 1 and not taken

    asyncio.run(receive())
