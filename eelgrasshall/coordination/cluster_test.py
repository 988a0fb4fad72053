"""Tests of several hosts over real peer streams, without a platform."""

import asyncio
import random

import capnp

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.coordination import facts as facts_module
from eelgrasshall.coordination import membership as membership_module
from eelgrasshall.coordination import peer_streams
from eelgrasshall.coordination import seeds as seeds_module
from eelgrasshall.state import members
from eelgrasshall.transport import peers


class _UnavailablePlatform:
    async def hosts(self):
        return errors.Problem(
            errors.ProblemKind.STORE_UNAVAILABLE, "platform", "Out.", "Wait."
        )


class _Host:
    def __init__(self, name, port, seeds):
        clock = clock_module.Clock()
        self.member = members.Member(
            name, "a", "r", "127.0.0.1", 1, "127.0.0.1", port, 7
        )
        self.streams = peer_streams.PeerStreams(name=name)
        self.facts = facts_module.FactTable(clock=clock)
        self.membership = membership_module.Membership(
            self_member=self.member,
            clock=clock,
            random=random.Random(name),
            facts=self.facts,
            streams=self.streams,
            platform=_UnavailablePlatform(),
            seeds=seeds,
        )
        self.listener = peers.PeerListener(handler=self.membership)

    async def start(self):
        await self.listener.start(peers.Address("127.0.0.1", self.port))
        self.membership.start()

    @property
    def port(self):
        return self.member.peer_port

    async def stop(self):
        await self.membership.stop()
        self.streams.close_all()
        await self.listener.stop()


async def _wait_until(condition):
    async with asyncio.timeout(20):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def test_hosts_join_through_a_seed_and_a_fact_reaches_all(first_port):
    async with capnp.kj_loop():
        seeds = (seeds_module.Seed("127.0.0.1", first_port),)
        hosts = [_Host(f"h{i}", first_port + i, seeds) for i in range(3)]
        for host in hosts:
            await host.start()
        await _wait_until(
            lambda: all(len(h.membership.members()) == 3 for h in hosts)
        )
        hosts[0].facts.publish("cold", "s1", b"1", 60.0)
        await _wait_until(
            lambda: all(h.facts.find("cold", "s1") for h in hosts)
        )
        for host in hosts:
            await host.stop()
