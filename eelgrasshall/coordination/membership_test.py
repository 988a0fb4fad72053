"""Tests of several members over an in-memory network with faults."""

import asyncio
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.coordination import facts as facts_module
from eelgrasshall.coordination import membership
from eelgrasshall.protocol import messages
from eelgrasshall.protocol import platform as protocol
from eelgrasshall.state import members
from eelgrasshall.transport import peers

_TIMEOUT_S = 0.4
_UNAVAILABLE = errors.Problem(
    errors.ProblemKind.STORE_UNAVAILABLE, "platform", "Out.", "Wait."
)


class _HostClock(clock_module.Clock):
    """The clock of a host whose process can be suspended and resumed."""

    def __init__(self, shared):
        self.shared = shared
        self.running = asyncio.Event()
        self.running.set()

    def monotonic(self):
        return self.shared.monotonic()

    def wall(self):
        return self.shared.wall()

    async def sleep(self, seconds):
        await self.shared.sleep(seconds)
        await self.running.wait()


class _Host:
    def __init__(self, network, number, incarnation, name, zone, joining):
        self.network = network
        self.number = number
        self.clock = _HostClock(network.clock)
        own = members.Member(name, zone, "r", "h", 1, "h", number, incarnation)
        self.facts = facts_module.FactTable(clock=self.clock)
        self.membership = membership.Membership(
            self_member=own,
            clock=self.clock,
            random=random.Random(f"{number}.{incarnation}"),
            facts=self.facts,
            streams=self,
            platform=network,
        )
        self.membership.start(joining=joining)

    def get(self, member):
        return _Stream(self.network, self.number, member.peer_port)

    def view(self):
        return {m.name: m.status for m in self.membership.members()}

    async def stop(self):
        await self.membership.stop()


class _Stream:
    def __init__(self, network, sender, receiver):
        self.network, self.sender, self.receiver = network, sender, receiver

    async def gossip(self, message):
        if self.network.is_slow:
            asyncio.create_task(self._deliver_late(message))
            await self._time_out()
        await self._pass_link(self.sender, self.receiver)
        host = self.network.up.get(self.receiver)
        if host is None:
            raise peers.PeerNotReachedError("refused")
        if not host.clock.running.is_set():
            await self._time_out()
        reply = await host.membership.answer_gossip(message)
        await self._pass_link(self.receiver, self.sender)
        return reply

    async def _deliver_late(self, message):
        await self.network.clock.sleep(_TIMEOUT_S - 0.1)
        await self.network.up[self.receiver].membership.answer_gossip(message)

    async def _pass_link(self, sender, receiver):
        if (sender, receiver) in self.network.broken_links:
            await self._time_out()

    async def _time_out(self):
        await self.network.clock.sleep(_TIMEOUT_S)
        raise peers.PeerError("silent")


class Network:
    """Hosts, the links between them, and a host list that keeps all hosts."""

    def __init__(self):
        self.clock = clock_module.ManualClock()
        self.up = {}
        self.broken_links = set()
        self.entries = {}
        self.is_list_unavailable = False
        self.is_slow = False
        self.starts = 0

    async def hosts(self):
        return (
            _UNAVAILABLE
            if self.is_list_unavailable
            else tuple(self.entries.values())
        )

    def start(self, number, name="", zone="a", joining=False):
        self.starts += 1
        name = name or f"h{number}"
        self.entries[number] = protocol.HostEntry(
            name, zone, "r", "h", 1, number, False
        )
        self.up[number] = _Host(self, number, self.starts, name, zone, joining)
        return self.up[number]

    async def kill(self, number):
        await self.up.pop(number).stop()

    async def stop(self):
        for number in list(self.up):
            await self.kill(number)

    def views(self):
        return {n: host.view() for n, host in self.up.items()}


async def _make_network(count):
    network = Network()
    for number in range(count):
        network.start(number)
    await network.clock.advance(4)
    full = {f"h{n}": members.MemberStatus.ALIVE for n in range(count)}
    assert network.views() == dict.fromkeys(range(count), full)
    return network


@pytest.mark.parametrize("count", [3, 9, 20])
async def test_dead_host_leaves_every_view_within_3_s(count):
    network = await _make_network(count)
    await network.kill(1)
    await network.clock.advance(3)
    assert not any("h1" in view for view in network.views().values())
    await network.stop()


async def test_silent_host_leaves_every_view_within_3_s():
    network = await _make_network(9)
    network.up[1].clock.running.clear()
    await network.clock.advance(3)
    others = [v for n, v in network.views().items() if n != 1]
    assert not any("h1" in view for view in others)
    network.up[1].clock.running.set()
    await network.clock.advance(3)
    assert all(len(view) == 9 for view in network.views().values())
    await network.stop()


async def test_short_pause_removes_no_host():
    network = await _make_network(5)
    network.up[1].clock.running.clear()
    await network.clock.advance(0.7)
    network.up[1].clock.running.set()
    for _ in range(20):
        await network.clock.advance(0.2)
        assert all(len(view) == 5 for view in network.views().values())
    await network.stop()


async def test_reply_to_host_considered_dead_carries_that_statement():
    network = await _make_network(3)
    await network.kill(1)
    await network.clock.advance(60)
    heartbeat = messages.Gossip("h1", 99, 0)
    reply = await network.up[0].membership.answer_gossip(heartbeat)
    statements = {f.key: f.body for f in reply.facts}
    assert b"dead" in statements["h1"]
    await network.stop()


async def test_restarted_host_rejoins_while_host_list_is_unavailable():
    network = await _make_network(5)
    network.is_list_unavailable = True
    await network.kill(1)
    network.start(1)
    await network.clock.advance(2)
    assert all(len(view) == 5 for view in network.views().values())
    await network.stop()


async def test_host_is_removed_once_another_host_has_its_address():
    network = await _make_network(3)
    await network.kill(1)
    network.start(1, "new")
    await network.clock.advance(4)
    for view in network.views().values():
        assert set(view) == {"h0", "h2", "new"}
    await network.stop()


async def test_broken_links_make_no_host_suspect():
    network = await _make_network(5)
    network.broken_links |= {(0, 1), (3, 2), (2, 3)}
    for _ in range(40):
        await network.clock.advance(0.25)
        for view in network.views().values():
            assert set(view.values()) == {members.MemberStatus.ALIVE}
            assert len(view) == 5
    await network.stop()


async def test_leaving_host_is_known_to_all_at_once_and_then_removed():
    network = await _make_network(20)
    host = network.up[4]
    work = asyncio.create_task(host.membership.announce_leaving())
    await network.clock.advance(0.05)
    assert work.done()
    for view in network.views().values():
        assert view["h4"] is members.MemberStatus.LEAVING
    await network.kill(4)
    await network.clock.advance(3)
    assert not any("h4" in view for view in network.views().values())
    await network.stop()


async def test_joining_host_takes_no_work_until_it_is_ready():
    network = await _make_network(5)
    host = network.start(5, joining=True)
    await network.clock.advance(3)
    for view in network.views().values():
        assert view["h5"] is members.MemberStatus.JOINING
    assert not host.membership.own.accepts_work()
    host.membership.announce_ready()
    await network.clock.advance(1)
    for view in network.views().values():
        assert view["h5"] is members.MemberStatus.ALIVE
    await host.membership.announce_leaving()
    host.membership.announce_ready()
    assert host.membership.own.status is members.MemberStatus.LEAVING
    await network.stop()


async def test_fact_reaches_a_large_fleet_within_a_second():
    network = await _make_network(40)
    network.up[0].facts.publish("cold", "server", b"1", 60.0)
    for wait_s, min_hosts in ((0.2, 30), (0.8, 40)):
        await network.clock.advance(wait_s)
        facts = [h.facts.find("cold", "server") for h in network.up.values()]
        assert sum(fact is not None for fact in facts) >= min_hosts
    await network.stop()


async def test_host_partitioned_for_hours_rejoins_and_gets_missed_facts():
    network = await _make_network(5)
    links = {(0, n) for n in range(1, 5)} | {(n, 0) for n in range(1, 5)}
    network.broken_links |= links
    network.is_list_unavailable = True
    await network.clock.advance(20)
    assert set(network.up[0].view()) == {"h0"}
    network.clock.jump(3 * 3600.0)
    network.up[2].facts.publish("quarantine", "body", b"1", 600.0)
    await network.clock.advance(10)
    network.broken_links.clear()
    await network.clock.advance(5)
    assert all(len(view) == 5 for view in network.views().values())
    assert network.up[0].facts.find("quarantine", "body")
    await network.stop()


async def test_traffic_of_a_host_does_not_grow_with_the_fleet():
    sent = {}
    for count in (5, 40):
        network = await _make_network(count)
        await network.clock.advance(20)
        counts = network.up[0].membership.counts
        before = counts.copy()
        await network.clock.advance(20)
        sent[count] = counts - before
        await network.stop()
    for counter in ("messages_sent", "bytes_sent", "bytes_received"):
        assert sent[40][counter] <= 1.3 * sent[5][counter]


async def test_slow_fleet_declares_no_host_dead():
    network = await _make_network(9)
    network.is_slow = True
    for _ in range(100):
        await network.clock.advance(0.2)
        assert all(len(view) == 9 for view in network.views().values())
    network.is_slow = False
    await network.clock.advance(5)
    for view in network.views().values():
        assert set(view.values()) == {members.MemberStatus.ALIVE}
    await network.stop()


async def test_burst_of_updates_does_not_multiply_messages():
    network = await _make_network(9)
    await network.clock.advance(10)
    host = network.up[0]
    before = host.membership.counts["messages_sent"]
    for number in range(200):
        host.facts.publish("cold", f"s{number}", b"1", 60.0)
        await network.clock.advance(0.05)
    sent = host.membership.counts["messages_sent"] - before
    # Ten seconds of heartbeats, of pushes and of the replies to both.
    assert sent <= 2 * 10 * (4 + 8)
    await network.stop()


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Starts, stops, suspends and disconnects hosts in any order."""

    hosts = st.integers(0, 4)

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.network = self.run(_make_network(5))
        self.leaving = set()

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 3.0, 6.0]))
    def advance(self, seconds):
        self.run(self.network.clock.advance(seconds))

    @stateful.rule(from_host=hosts, to_host=hosts, both=st.booleans())
    def break_link(self, from_host, to_host, both):
        self.network.broken_links |= {(from_host, to_host)}
        if both:
            self.network.broken_links |= {(to_host, from_host)}

    @stateful.rule(side=st.sets(hosts, min_size=1, max_size=2))
    def partition(self, side):
        rest = set(range(5)) - side
        self.network.broken_links |= {(a, b) for a in side for b in rest}
        self.network.broken_links |= {(b, a) for a in side for b in rest}

    @stateful.rule()
    def heal(self):
        self.network.broken_links.clear()

    @stateful.rule(number=hosts, is_running=st.booleans())
    def pause(self, number, is_running):
        if number not in self.network.up:
            return
        running = self.network.up[number].clock.running
        (running.set if is_running else running.clear)()

    @stateful.rule(number=hosts)
    def kill(self, number):
        if number in self.network.up and len(self.network.up) > 2:
            self.run(self.network.kill(number))
            self.leaving.discard(number)

    @stateful.rule(number=hosts)
    def start(self, number):
        if number not in self.network.up:
            self.run(self._start(number))

    @stateful.rule(number=hosts)
    def leave(self, number):
        if number in self.network.up:
            host = self.network.up[number]
            self.run(self._start_task(host.membership.announce_leaving()))
            self.leaving.add(number)

    @stateful.rule(is_unavailable=st.booleans())
    def switch_host_list(self, is_unavailable):
        self.network.is_list_unavailable = is_unavailable

    async def _start(self, number):
        self.network.start(number)

    async def _start_task(self, coroutine):
        self.task = asyncio.create_task(coroutine)

    @stateful.invariant()
    def every_host_is_in_its_own_view(self):
        for number, view in self.network.views().items():
            assert f"h{number}" in view

    def teardown(self):
        self.network.broken_links.clear()
        self.network.is_list_unavailable = False
        for host in self.network.up.values():
            host.clock.running.set()
        self.run(self.network.clock.advance(16))
        expected = {
            f"h{number}": (
                members.MemberStatus.LEAVING
                if number in self.leaving
                else members.MemberStatus.ALIVE
            )
            for number in self.network.up
        }
        for view in self.network.views().values():
            assert view == expected
        self.run(self.network.stop())
        self.loop.close()


TestMembership = MembershipMachine.TestCase
# Failing runs are not shrunk, which would take minutes.
TestMembership.settings = hypothesis.settings(
    max_examples=20,
    stateful_step_count=15,
    phases=[hypothesis.Phase.generate],
)
