"""Tests of the choice of backend servers."""

import asyncio
import collections
import random

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import load_balancing

_EXPECTED_LATENCY_S = 0.04


def _make_backends(*zones: str):
    return [
        fakes.ConnectedBackend(server=fakes.make_server(f"s{i}", zone=zone))
        for i, zone in enumerate(zones)
    ]


def _count_choices(
    backends, *, count: int = 300, budget_used: float = 0.0, now=None
):
    """Returns how often each server is chosen."""
    rng = random.Random(3)
    now = asyncio.get_running_loop().time() if now is None else now
    chosen = collections.Counter()
    for _ in range(count):
        backend = load_balancing.choose_backend(
            [each.backend for each in backends],
            expected_latency_s=_EXPECTED_LATENCY_S,
            zone="a",
            now=now,
            budget_used=budget_used,
            random=rng,
        )
        chosen[backend.server.id] += 1
    return chosen


async def test_no_candidates_returns_none():
    assert (
        load_balancing.choose_backend(
            [],
            expected_latency_s=_EXPECTED_LATENCY_S,
            zone="a",
            now=0.0,
            budget_used=0.0,
            random=random.Random(1),
        )
        is None
    )


async def test_equal_servers_get_similar_shares():
    chosen = _count_choices(_make_backends("a", "a", "a"))
    assert min(chosen.values()) > 60


async def test_slow_server_is_avoided():
    backends = _make_backends("a", "a", "a")
    backends[0].backend.latency_ratio = 4.0
    assert _count_choices(backends)["s0"] == 0


async def test_server_is_avoided_while_its_attempt_is_overdue():
    backends = _make_backends("a", "a")
    backends[0].send("a1")
    now = asyncio.get_running_loop().time() + 0.15
    assert _count_choices(backends, now=now)["s0"] == 0
    backends[0].feed(fakes.encode_reply("a1", b""))
    backends[0].backend.latency_ratio = 1.0
    assert _count_choices(backends, now=now)["s0"] > 50


async def test_attempts_in_flight_count_as_load():
    backends = _make_backends("a", "a")
    for number in range(3):
        attempt = fakes.make_attempt(fakes.OutcomeRecorder(), f"a{number}")
        backends[0].backend.submit(attempt)
    assert _count_choices(backends)["s0"] == 0


async def test_own_zone_is_preferred_only_between_equals():
    backends = _make_backends("a", "b")
    backends[1].backend.latency_ratio = 0.5
    assert _count_choices(backends)["s1"] == 300


async def test_failing_server_is_avoided_and_tried_again_later():
    backends = _make_backends("a", "a")
    for number in range(4):
        backends[0].send(f"a{number}")
        backends[0].feed(
            b"HTTP/1.1 500 X\r\nX-Id: a%d\r\nContent-Length: 0\r\n\r\n" % number
        )
    assert _count_choices(backends)["s0"] == 0
    later = asyncio.get_running_loop().time() + 30
    assert _count_choices(backends, now=later)["s0"] > 50


async def test_refusing_server_is_avoided_as_the_budget_is_used_up():
    backends = _make_backends("a", "a")
    backends[0].send("a0")
    backends[0].feed(
        b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )
    backends[1].backend.latency_ratio = 1.9
    assert (
        _count_choices(backends, budget_used=0.0)["s0"]
        > _count_choices(backends, budget_used=1.0)["s0"]
    )
    assert _count_choices(backends, budget_used=1.0)["s0"] == 0
