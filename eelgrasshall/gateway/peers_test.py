"""Tests of heartbeats, over loopback datagrams and as encoded bytes."""

import asyncio
import heapq
import json
import random

from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import active_hosts
from eelgrasshall.gateway import crash_gossip
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import heartbeats
from eelgrasshall.gateway import peers


def _make_protocol(host, *, incarnation: int = 1):
    """Returns a host's protocol and the list of gossip that it received."""
    received = []
    protocol = peers.HeartbeatProtocol(
        own=host,
        incarnation=incarnation,
        loop=asyncio.get_running_loop(),
        random=random.Random(1),
        reaches_store=lambda: True,
        get_attempt_rate=lambda: 12.0,
        reaches_servers=lambda: True,
        get_gossip=lambda: [1, 2, 3, 4],
        on_gossip=lambda name, gossip: received.append((name, gossip)),
        on_hosts_changed=lambda: None,
        on_links_lost=lambda: None,
    )
    return protocol, received


def _make_hosts(count: int, *, port: int):
    return [
        fakes.make_host(f"h{i}", zone="abc"[i % 3], port=port + 3 * i)
        for i in range(count)
    ]


async def test_hosts_discover_each_other_through_heartbeats(first_port):
    first, second = _make_hosts(2, port=first_port)
    one, _ = _make_protocol(first)
    two, received = _make_protocol(second)
    await one.start()
    await two.start()
    two.announce(heartbeats.State.READY)
    one.announce(heartbeats.State.READY)
    one.add_host(second)
    await asyncio.sleep(0.1)
    assert [host for host, _ in two.list_alive(heartbeats.State.READY)] == [
        first
    ]
    assert received[0] == ("h0", [1, 2, 3, 4])
    heartbeat = two.list_alive()[0][1]
    assert heartbeat.reaches_store and heartbeat.attempts_per_s == 12
    one.stop()
    two.stop()


async def test_a_host_without_recent_heartbeats_is_not_alive(
    monkeypatch, first_port
):
    monkeypatch.setattr(peers, "DIRECT_TIMEOUT_S", 0.05)
    first, second = _make_hosts(2, port=first_port)
    one, _ = _make_protocol(first)
    two, _ = _make_protocol(second)
    await one.start()
    await two.start()
    one.add_host(second)
    await asyncio.sleep(0.02)
    one.stop()
    assert two.list_alive()
    await asyncio.sleep(0.06)
    assert not two.list_alive()
    two.stop()


async def test_a_leaving_host_is_neither_candidate_nor_load(first_port):
    first, second = _make_hosts(2, port=first_port)
    one, _ = _make_protocol(first)
    two, _ = _make_protocol(second)
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


async def test_a_large_fleet_learns_of_every_host_through_relays(
    monkeypatch, first_port
):
    monkeypatch.setattr(peers, "MIN_RELAY_PERIOD_S", 0.02)
    monkeypatch.setattr(peers, "RELAY_PERIOD_PER_HOST_S", 0.0)
    monkeypatch.setattr(peers, "DIRECT_PERIOD_S", 0.02)
    hosts = _make_hosts(24, port=first_port)
    protocols = [_make_protocol(host)[0] for host in hosts]
    for each in protocols:
        await each.start()
        for host in hosts:
            each.add_host(host)
        each.announce(heartbeats.State.READY)
    await asyncio.sleep(0.5)
    for each in protocols:
        assert len(each.list_alive(heartbeats.State.READY)) == len(hosts) - 1
        each.stop()


async def test_an_older_heartbeat_does_not_replace_a_newer_one(first_port):
    first, second = _make_hosts(2, port=first_port)
    one, _ = _make_protocol(first)
    two, _ = _make_protocol(second)
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


async def test_first_heartbeat_after_a_restart_replaces_older_ones(first_port):
    first, second = _make_hosts(2, port=first_port)
    sent = []

    class Transport:
        def sendto(self, data, address):
            sent.append(data)

    before, _ = _make_protocol(first, incarnation=1)
    after, _ = _make_protocol(first, incarnation=2)
    two, _ = _make_protocol(second)
    for each in (before, after):
        each.connection_made(Transport())
        each.add_host(second)
    for _ in range(5):
        before.announce(heartbeats.State.LEAVING)
    two.datagram_received(sent[-1], ("", 0))
    after.announce(heartbeats.State.READY)
    two.datagram_received(sent[-1], ("", 0))
    assert two.list_alive()[0][1].state is heartbeats.State.READY


class FakeLoop:
    """An event loop whose time advances on demand."""

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

    def advance(self, span_s: float) -> None:
        end_s = self.now + span_s
        while self._due and self._due[0][0] <= end_s:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = end_s


class FakeNetwork:
    """Delivers datagrams between hosts in one process, and drops some."""

    def __init__(self, *, loop: FakeLoop, loss: float = 0.0):
        self.loop = loop
        self.bytes = 0
        self.bytes_between_zones = 0
        self.protocols = {}
        self._loss = loss
        self._random = random.Random(2)

    def add(self, host, *, incarnation: int = 1):
        protocol = peers.HeartbeatProtocol(
            own=host,
            incarnation=incarnation,
            loop=self.loop,
            random=random.Random(host.name),
            reaches_store=lambda: True,
            get_attempt_rate=lambda: 12.0,
            reaches_servers=lambda: True,
            get_gossip=lambda: [[1, 2, 3, 4], []],
            on_gossip=lambda name, gossip: None,
            on_hosts_changed=lambda: None,
            on_links_lost=lambda: None,
        )
        self.protocols[tuple(host.peer_address)] = protocol
        protocol.connection_made(_Sender(network=self, zone=host.zone))
        return protocol

    def deliver(self, data: bytes, address: tuple, zone: str) -> None:
        self.bytes += len(data)
        if address in self.protocols:
            receiver = self.protocols[address]._own
            self.bytes_between_zones += len(data) * (receiver.zone != zone)
        if address in self.protocols and self._random.random() >= self._loss:
            self.protocols[address].datagram_received(data, address)


class _Sender:
    """The transport of a host on the network."""

    def __init__(self, *, network: FakeNetwork, zone: str):
        self._network = network
        self._zone = zone

    def sendto(self, data: bytes, address: tuple) -> None:
        self._network.deliver(data, address, self._zone)


def _start_fleet(count: int, *, loss: float = 0.0):
    """Returns a network and the protocols of hosts that know each other."""
    loop = FakeLoop()
    network = FakeNetwork(loop=loop, loss=loss)
    hosts = _make_hosts(count, port=1000)
    protocols = [network.add(host) for host in hosts]
    for each in protocols:
        for host in hosts:
            each.add_host(host)
    rng = random.Random(7)
    for each in protocols:
        each.state = heartbeats.State.READY
        loop.call_later(rng.random() / 2, each._tick)
    return network, protocols


def _count_missing(protocols) -> int:
    """Returns how many times a host does not list another one as ready."""
    return sum(
        len(protocols) - 1 - len(each.list_alive(heartbeats.State.READY))
        for each in protocols
    )


def test_hosts_of_a_fleet_of_400_see_each_other_alive_throughout():
    network, protocols = _start_fleet(400, loss=0.02)
    network.loop.advance(4.5)
    network.bytes = 0
    for _ in range(2):
        network.loop.advance(1.0)
        # A host that one host in a thousand takes for dead keeps its callers.
        assert _count_missing(protocols) <= 400 * 399 / 1000
    # The target for control traffic is 5 KB/s for each host.
    assert network.bytes / 400 / 2.0 < 5000


@pytest.mark.parametrize("count", [60, 130])
def test_hosts_see_each_other_with_little_traffic_between_zones(count):
    # Traffic between zones is priced: a quarter of the heartbeats, rather than
    # the half that random targets would make, suffices.
    network, protocols = _start_fleet(count, loss=0.02)
    network.loop.advance(8.0)
    network.bytes = network.bytes_between_zones = 0
    for _ in range(8):
        network.loop.advance(0.5)
        assert _count_missing(protocols) <= count * (count - 1) / 1000
    assert network.bytes_between_zones < network.bytes / 4


@pytest.mark.parametrize("count", [40, 100])
def test_a_dead_host_of_a_large_fleet_is_detected_everywhere_in_time(count):
    network, protocols = _start_fleet(count)
    network.loop.advance(4.0)
    dead = protocols.pop()
    del network.protocols[tuple(dead._own.peer_address)]
    dead._tick = lambda: None
    # The directory may list a dead host for 7 s at most.
    network.loop.advance(6.0)
    for each in protocols:
        assert dead._own.name not in [h.name for h, _ in each.list_alive()]


def test_hosts_with_different_rosters_still_see_each_other():
    network, protocols = _start_fleet(60)
    for each in protocols[:30]:
        each.remove_host("h59")
    del network.protocols[tuple(protocols.pop()._own.peer_address)]
    network.loop.advance(12.0)
    assert _count_missing(protocols) <= 30


@pytest.mark.parametrize("count", [2, 40])
def test_a_host_restarted_with_its_clock_set_back_is_seen_at_once(count):
    network, protocols = _start_fleet(count)
    network.loop.advance(20.0)
    own = protocols[0]._own
    protocols[0]._tick = lambda: None
    restarted = network.add(own, incarnation=0)
    for each in protocols[1:]:
        restarted.add_host(each._own)
    restarted.announce(heartbeats.State.READY)
    restarted._tick()
    network.loop.advance(3.0)
    protocols[0] = restarted
    assert _count_missing(protocols) == 0
    network.loop.advance(protocols[1].failure_timeout_s + 1.0)
    assert _count_missing(protocols) == 0


def test_table_entry_preserves_the_heartbeat():
    for rate in (0, 1, 2, 90, 5000, heartbeats.MAX_RATE):
        sent = heartbeats.Heartbeat(7, heartbeats.State.LEAVING, True, rate)
        decoded = heartbeats.decode_entry(*heartbeats.encode_entry(sent))
        assert decoded[:3] == sent[:3]
        assert min(rate, 32768) / 1.2 <= decoded.attempts_per_s <= rate * 1.2


def test_heartbeat_of_a_host_without_links_survives_both_encodings():
    for reaches_store in (False, True):
        sent = heartbeats.Heartbeat(
            7, heartbeats.State.READY, reaches_store, 0, False
        )
        header = heartbeats.Header(fakes.make_host(), 1, sent, [], 0, False)
        decoded = heartbeats.decode_header(heartbeats.encode_header(header))
        assert decoded.heartbeat == sent
        assert heartbeats.decode_entry(*heartbeats.encode_entry(sent)) == sent


def test_hosts_of_earlier_versions_read_the_header_of_a_host_without_links():
    sent = heartbeats.Heartbeat(7, heartbeats.State.READY, True, 30, False)
    header = heartbeats.Header(fakes.make_host(), 1, sent, [], 0, False)
    fields = json.loads(heartbeats.encode_header(header))
    # They expect four values, of which the last is taken to be 0 at least.
    beat, state, reaches_store, rate = fields[8]
    assert (beat, state, reaches_store) == sent[:3]
    assert max(rate, 0) == 0


async def test_a_host_without_links_is_active_only_if_all_have_lost_them(
    first_port,
):
    first, second = _make_hosts(2, port=first_port)
    linked = {first.name: False, second.name: True}
    protocols = []
    for host in (first, second):
        protocol, _ = _make_protocol(host)
        protocol._reaches_servers = lambda name=host.name: linked[name]
        protocols.append(protocol)
        await protocol.start()
    protocols[1].add_host(first)
    for protocol in protocols:
        protocol.announce(heartbeats.State.READY)
    await asyncio.sleep(0.1)
    for protocol in protocols:
        chosen = active_hosts.choose_active_hosts(protocol.list_loads())
        assert chosen == [second]
    linked[second.name] = False
    for protocol in protocols:
        protocol.announce(heartbeats.State.READY)
    await asyncio.sleep(0.1)
    for protocol in protocols:
        chosen = active_hosts.choose_active_hosts(protocol.list_loads())
        assert sorted(chosen) == sorted([first, second])
        protocol.stop()


def test_out_of_range_rate_is_clamped():
    host = fakes.make_host()
    for rate, expected in ((-5, 0), (10**9, heartbeats.MAX_RATE)):
        sent = heartbeats.Heartbeat(1, heartbeats.State.READY, True, rate)
        header = heartbeats.Header(host, 1, sent, [], 0, False)
        decoded = heartbeats.decode_header(heartbeats.encode_header(header))
        assert decoded.heartbeat.attempts_per_s == expected
        heartbeats.encode_entry(decoded.heartbeat)


@given(data=strategies.binary(max_size=200))
def test_malformed_datagrams_change_nothing(data):
    async def receive():
        protocol, received = _make_protocol(fakes.make_host())
        protocol.datagram_received(data, ("", 0))
        assert protocol.host_count == 1 and not received

    asyncio.run(receive())


_MALFORMED = [
    None,
    "",
    {},
    [],
    [[[]]],
    float("nan"),
    float("inf"),
    -1,
    0,
    1e300,
    "9" * 400,
]


@pytest.mark.parametrize("index", range(12))
async def test_malformed_field_of_a_header_does_no_lasting_harm(
    index, first_port
):
    # A host whose cores were not a number made every answer of the directory
    # fail from then on.
    first, second = _make_hosts(2, port=first_port)
    protocol, _ = _make_protocol(first)
    header = heartbeats.Header(
        host=second,
        incarnation=1,
        heartbeat=heartbeats.Heartbeat(1, heartbeats.State.READY, True, 5),
        gossip=[],
        digest=7,
        named=False,
    )
    fields = json.loads(heartbeats.encode_header(header))
    for value in _MALFORMED:
        malformed = [*fields[:index], value, *fields[index + 1 :]]
        protocol.datagram_received(json.dumps(malformed).encode(), ())
        for host in active_hosts.choose_active_hosts(protocol.list_loads()):
            assert active_hosts.estimate_capacity(host) >= 0
        protocol.list_candidates()
        protocol.count_missing()
        for host in protocol.list_hosts():
            protocol.remove_host(host.name)
    protocol.datagram_received(b"[" * 100_000, ())
    assert not protocol.list_alive()


async def test_crash_datagrams_reach_other_hosts_with_the_heartbeats(
    first_port,
):
    first, second = _make_hosts(2, port=first_port)
    received = []
    datagram = crash_gossip.PREFIX + b"[]"
    protocols = [
        peers.HeartbeatProtocol(
            own=host,
            incarnation=1,
            loop=asyncio.get_running_loop(),
            random=random.Random(1),
            reaches_store=lambda: True,
            get_attempt_rate=lambda: 0.0,
            reaches_servers=lambda: True,
            get_gossip=lambda: [[], []],
            on_gossip=lambda name, gossip: None,
            channels=[
                peers.Channel(
                    crash_gossip.PREFIX, lambda: datagram, received.append
                )
            ],
            on_hosts_changed=lambda: None,
            on_links_lost=lambda: None,
        )
        for host in (first, second)
    ]
    for protocol in protocols:
        await protocol.start()
    protocols[0].add_host(second)
    await asyncio.sleep(0.4)
    for protocol in protocols:
        protocol.stop()
    assert received and set(received) == {datagram}


async def test_channel_reaches_its_receivers_in_a_large_fleet(first_port):
    # Counts of a rollout would take a second and more by random hosts alone.
    sent = []

    class Transport:
        def sendto(self, data, address):
            if data == b"counts\n":
                sent.append(address)

    hosts = _make_hosts(40, port=first_port)
    receivers = hosts[:6]
    protocol, _ = _make_protocol(hosts[0])
    protocol._channels = [
        peers.Channel(
            b"counts\n",
            lambda: b"counts\n",
            lambda data: None,
            list_receivers=lambda: receivers,
        )
    ]
    protocol.connection_made(Transport())
    for host in hosts:
        protocol.add_host(host)
    protocol._tick()
    protocol._timer.cancel()
    expected = {tuple(host.peer_address) for host in receivers[1:]}
    assert expected <= set(sent)
    assert len(sent) == len(set(sent)) <= len(expected) + 2
