"""Tests of links to backend servers that are lost, in virtual time."""

import asyncio
import random

import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import links as links_module
from eelgrasshall.gateway import virtual_time

_ZONES = ("a", "b", "c")
# Time after which a connection that hangs is given up, seconds.
_HANG_S = 0.4


class _Server:
    """A server that accepts, refuses or swallows connections."""

    def __init__(self, number: int, network: "_Network"):
        self.server = fakes.make_server(f"s{number}", zone=_ZONES[number % 3])
        self.unreachable = False
        self.down = False
        self.asked = 0
        self._network = network

    async def check_connection(self) -> bool:
        self.asked += 1
        await asyncio.sleep(0.003)
        if self._network.cut and self._network.hangs:
            await asyncio.sleep(_HANG_S)
        reached = not (self.down or self._network.cut)
        self.unreachable = not reached
        return reached


class _Network:
    """A host's links to a number of servers, and what it notices of them."""

    def __init__(self, loop, *, servers: int, hangs: bool = False):
        self.loop = loop
        self.hangs = hangs
        self.cut = False
        self.servers = [_Server(number, self) for number in range(servers)]
        self.checked = 0
        self.changes: list[tuple[float, bool]] = []
        self.log = fakes.Log()
        self.links = links_module.Links(
            loop=loop,
            random=random.Random(5),
            list_servers=lambda: self.servers,
            on_checked=self._count_check,
            on_changed=self._note_change,
            log=self.log,
        )

    def _count_check(self) -> None:
        self.checked += 1

    def _note_change(self) -> None:
        self.changes.append((self.loop.time(), self.links.lost))

    def count_asked(self) -> int:
        return sum(each.asked for each in self.servers)


def _run(loop, network, steps) -> None:
    loop.run_until_complete(steps)
    network.links.close()
    loop.run_until_complete(asyncio.sleep(0))


@pytest.fixture(name="loop")
def _make_loop():
    loop = virtual_time.VirtualTimeLoop()
    yield loop
    loop.run_until_complete(asyncio.sleep(0.01))
    loop.close()


def test_one_server_that_is_down_costs_a_few_connections(loop):
    network = _Network(loop, servers=30)
    network.servers[0].down = network.servers[0].unreachable = True

    async def run():
        network.links.note_unreachable(loop.time())
        await asyncio.sleep(1.0)

    _run(loop, network, run())
    assert network.checked == 1
    assert not network.links.lost
    assert network.count_asked() <= links_module.FIRST_SAMPLE


@pytest.mark.parametrize("hangs", [False, True])
def test_lost_links_are_noticed_within_a_second_and_return(loop, hangs):
    network = _Network(loop, servers=30, hangs=hangs)

    async def run():
        network.cut = True
        network.links.note_unreachable(loop.time())
        await asyncio.sleep(5.0)
        network.cut = False
        await asyncio.sleep(3.0)

    _run(loop, network, run())
    (lost_s, lost), (back_s, still_lost) = network.changes
    assert lost and not still_lost
    assert lost_s <= 0.5
    assert 5.0 < back_s <= 6.5
    assert not network.checked


@pytest.mark.parametrize("seed", range(20))
def test_half_of_the_servers_down_is_not_a_loss_of_links(loop, seed):
    network = _Network(loop, servers=30)
    network.links._random.seed(seed)
    for each in network.servers[::2]:
        each.down = True

    async def run():
        network.links.note_unreachable(loop.time())
        await asyncio.sleep(1.0)

    _run(loop, network, run())
    assert not network.changes


def test_links_that_come_and_go_count_as_lost_until_they_stay(loop):
    network = _Network(loop, servers=30)

    async def run():
        network.cut = True
        network.links.note_unreachable(loop.time())
        for _ in range(10):
            await asyncio.sleep(0.3)
            network.cut = not network.cut
        network.cut = False
        await asyncio.sleep(2.0)

    _run(loop, network, run())
    assert [lost for _, lost in network.changes] == [True, False]


def test_many_servers_that_fail_together_are_checked_once(loop):
    network = _Network(loop, servers=30)

    async def run():
        for each in network.servers[:20]:
            each.down = each.unreachable = True
            network.links.note_unreachable(loop.time())
        await asyncio.sleep(1.0)

    _run(loop, network, run())
    assert network.checked == 1
    assert not network.changes


def test_failures_count_from_the_first_since_a_connection_was_opened(loop):
    network = _Network(loop, servers=30)

    async def run():
        network.links.note_unreachable(loop.time())
        await asyncio.sleep(1.0)
        network.links.note_connected()
        assert network.links.failing_since_s is None
        network.cut = True
        network.links.note_unreachable(loop.time())
        await asyncio.sleep(1.0)
        network.links.note_connected()

    _run(loop, network, run())
    assert network.links.failing_since_s == 1.0


def test_host_without_traffic_checks_its_links_when_others_lose_theirs(loop):
    network = _Network(loop, servers=30)

    async def run():
        network.links.check_if_unproven()
        await asyncio.sleep(0.1)
        assert network.checked == 1
        network.links.note_connected()
        network.links.check_if_unproven()
        await asyncio.sleep(0.1)
        assert network.checked == 1
        await asyncio.sleep(links_module.CHECK_INTERVAL_S)
        network.cut = True
        network.links.check_if_unproven()
        await asyncio.sleep(1.0)

    _run(loop, network, run())
    assert network.links.lost


def test_a_host_without_other_servers_trusts_its_links(loop):
    network = _Network(loop, servers=0)

    async def run():
        network.links.note_unreachable(loop.time())
        await asyncio.sleep(0.1)

    _run(loop, network, run())
    assert network.checked == 1


def test_sample_prefers_reachable_servers_of_all_zones():
    network = _Network(None, servers=12)
    for each in network.servers[:6]:
        each.unreachable = True
    sample = links_module.choose_sample(network.servers, 6, random.Random(1))
    assert {each.server.zone for each in sample[:3]} == set(_ZONES)
    assert not any(each.unreachable for each in sample)
