"""Tests of placement, each with the load pattern that it answers."""

import asyncio
import collections
import random

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import placement

_EXPECTED_S = 0.04


def _make(*zones: str):
    return [
        fakes.ConnectedBackend(server=fakes.make_server(f"s{i}", zone=zone))
        for i, zone in enumerate(zones)
    ]


def _deal(links, *, count: int = 300, scarcity: float = 0.0, now=None):
    """Returns how often each server is chosen."""
    chance = random.Random(3)
    now = asyncio.get_running_loop().time() if now is None else now
    chosen = collections.Counter()
    for _ in range(count):
        backend = placement.choose(
            [link.backend for link in links],
            expected_s=_EXPECTED_S,
            zone="a",
            now=now,
            scarcity=scarcity,
            random=chance,
        )
        chosen[backend.server.id] += 1
    return chosen


async def test_no_candidate_means_none():
    assert (
        placement.choose(
            [],
            expected_s=_EXPECTED_S,
            zone="a",
            now=0.0,
            scarcity=0.0,
            random=random.Random(1),
        )
        is None
    )


async def test_equal_servers_are_chosen_by_chance():
    chosen = _deal(_make("a", "a", "a"))
    assert min(chosen.values()) > 60


async def test_a_server_that_is_slow_gets_little():
    links = _make("a", "a", "a")
    links[0].backend.latency_ratio = 4.0
    assert _deal(links)["s0"] == 0


async def test_a_paused_server_is_left_out_while_its_attempt_is_overdue():
    links = _make("a", "a")
    links[0].send("a1")
    now = asyncio.get_running_loop().time() + 0.15
    assert _deal(links, now=now)["s0"] == 0
    links[0].feed(fakes.encode_reply("a1", b""))
    links[0].backend.latency_ratio = 1.0
    assert _deal(links, now=now)["s0"] > 50


async def test_work_in_flight_sends_the_next_attempt_elsewhere():
    links = _make("a", "a")
    for number in range(3):
        attempt = fakes.make_attempt(fakes.OutcomeRecorder(), f"a{number}")
        links[0].backend.submit(attempt)
    assert _deal(links)["s0"] == 0


async def test_the_own_zone_is_preferred_only_between_equals():
    links = _make("a", "b")
    links[1].backend.latency_ratio = 0.5
    assert _deal(links)["s1"] == 300


async def test_a_server_that_fails_is_left_out_and_tried_again_later():
    links = _make("a", "a")
    for number in range(4):
        links[0].send(f"a{number}")
        links[0].feed(
            b"HTTP/1.1 500 X\r\nX-Id: a%d\r\nContent-Length: 0\r\n\r\n" % number
        )
    assert _deal(links)["s0"] == 0
    later = asyncio.get_running_loop().time() + 30
    assert _deal(links, now=later)["s0"] > 50


async def test_a_server_that_sheds_is_used_as_the_allowance_permits():
    links = _make("a", "a")
    links[0].send("a0")
    links[0].feed(
        b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )
    links[1].backend.latency_ratio = 1.9
    assert _deal(links, scarcity=0.0)["s0"] > _deal(links, scarcity=1.0)["s0"]
    assert _deal(links, scarcity=1.0)["s0"] == 0
