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
    backends,
    *,
    count: int = 300,
    budget_used: float = 0.0,
    now=None,
    spare_s: float | None = None,
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
            spare_s=spare_s,
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


def _answer(backend, took_s: float, *, count: int = 1):
    """Makes a server answer attempts as if each had taken a time."""
    for number in range(count):
        attempt, _ = backend.send(f"t{number}")
        attempt.expected_latency_s = _EXPECTED_LATENCY_S
        attempt.started_s -= took_s
        attempt.sent_s -= took_s
        backend.feed(fakes.encode_reply(f"t{number}", b""))


async def test_time_to_spare_is_spent_on_staying_in_the_zone():
    backends = _make_backends("a", "b", "c")
    _answer(backends[0], 1.4 * _EXPECTED_LATENCY_S, count=30)
    _answer(backends[1], 0.3 * _EXPECTED_LATENCY_S, count=30)
    assert _count_choices(backends)["s0"] == 0
    assert _count_choices(backends, spare_s=0.5)["s0"] == 300


async def test_preference_of_the_zone_ends_with_the_time_to_spare():
    backends = _make_backends("a", "b", "c")
    _answer(backends[0], 1.4 * _EXPECTED_LATENCY_S, count=30)
    _answer(backends[1], 0.3 * _EXPECTED_LATENCY_S, count=30)
    assert _count_choices(backends, spare_s=0.15)["s1"] == 300
    assert _count_choices(backends, spare_s=-1.0)["s1"] == 300


async def test_slow_server_of_the_zone_is_left_however_long_callers_wait():
    backends = _make_backends("a", "b", "c")
    _answer(backends[0], 10 * _EXPECTED_LATENCY_S, count=12)
    assert _count_choices(backends, spare_s=60.0)["s0"] == 0


async def test_paused_server_of_the_zone_is_left_and_taken_up_again():
    backends = _make_backends("a", "b", "c")
    backends[0].send("a1")
    now = asyncio.get_running_loop().time()
    paused = _count_choices(backends, now=now + 0.15, spare_s=0.5)
    assert paused["s0"] == 0
    backends[0].feed(fakes.encode_reply("a1", b""))
    _answer(backends[0], 3 * _EXPECTED_LATENCY_S, count=2)
    assert _count_choices(backends, spare_s=0.5)["s0"] == 300


async def test_server_that_was_slow_is_tried_again_without_other_signs():
    backends = _make_backends("a", "b", "c")
    _answer(backends[0], 10 * _EXPECTED_LATENCY_S, count=30)
    now = asyncio.get_running_loop().time()
    assert _count_choices(backends, now=now, spare_s=0.5)["s0"] == 0
    later = _count_choices(backends, now=now + 10.0, spare_s=0.5)
    assert later["s0"] == 300


async def test_long_request_in_flight_does_not_look_like_a_pause():
    backends = _make_backends("a", "b")
    attempt, _ = backends[0].send("a1")
    attempt.expected_latency_s = 5 * _EXPECTED_LATENCY_S
    now = asyncio.get_running_loop().time() + 0.15
    assert _count_choices(backends, now=now)["s0"] == 0
    assert _count_choices(backends, now=now, spare_s=0.5)["s0"] == 300


async def test_attempts_beyond_what_the_zone_can_bear_go_elsewhere():
    backends = _make_backends("a", "b", "c")
    for number in range(8):
        attempt = fakes.make_attempt(fakes.OutcomeRecorder(), f"a{number}")
        backends[0].backend.submit(attempt)
    assert _count_choices(backends, spare_s=0.5)["s0"] == 0
