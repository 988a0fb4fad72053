"""Tests of heartbeats, over loopback datagrams and as bytes."""

import asyncio
import random

from hypothesis import given
from hypothesis import strategies

from eelgrasshall.gateway import peers
from eelgrasshall.gateway import standins


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
        standins.make_host(f"h{i}", zone="abc"[i % 3], port=port + 10 * i)
        for i in range(count)
    ]


async def test_hosts_meet_through_heartbeats_alone():
    first, second = _make_hosts(2, port=18100)
    one, _ = _make(first)
    two, taken = _make(second)
    await one.start()
    await two.start()
    two.announce(peers.State.READY)
    one.announce(peers.State.READY)
    one.add_host(second)
    await asyncio.sleep(0.1)
    assert [host for host, _ in two.list_alive(peers.State.READY)] == [first]
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
    one.announce(peers.State.READY)
    one.announce(peers.State.LEAVING)
    await asyncio.sleep(0.05)
    assert two.list_alive() and not two.list_candidates()
    assert all(load.host != first for load in two.list_loads())
    one.stop()
    two.stop()


async def test_a_large_fleet_hears_every_host_through_others(monkeypatch):
    monkeypatch.setattr(peers, "SPREAD_PERIOD_S", 0.02)
    monkeypatch.setattr(peers, "DIRECT_PERIOD_S", 0.02)
    hosts = _make_hosts(24, port=18400)
    made = [_make(host)[0] for host in hosts]
    for each in made:
        await each.start()
        for host in hosts:
            each.add_host(host)
        each.announce(peers.State.READY)
    await asyncio.sleep(0.5)
    for each in made:
        assert len(each.list_alive(peers.State.READY)) == len(hosts) - 1
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
    one.announce(peers.State.READY)
    old = sent[-1]
    one.announce(peers.State.LEAVING)
    two.datagram_received(sent[-1], ("", 0))
    two.datagram_received(old, ("", 0))
    assert two.list_alive()[0][1].state is peers.State.LEAVING


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
        before.announce(peers.State.LEAVING)
    two.datagram_received(sent[-1], ("", 0))
    after.announce(peers.State.READY)
    two.datagram_received(sent[-1], ("", 0))
    assert two.list_alive()[0][1].state is peers.State.READY


@given(data=strategies.binary(max_size=200))
def test_bytes_that_are_no_heartbeat_change_nothing(data):
    async def receive():
        made, taken = _make(standins.make_host())
        made.datagram_received(data, ("", 0))
        assert made.known == 1 and not taken

    asyncio.run(receive())
