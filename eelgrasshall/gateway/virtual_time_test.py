"""Tests of the event loop in virtual time."""

import asyncio
import random

import pytest

from eelgrasshall.gateway import virtual_time


@pytest.fixture
def loop():
    """An event loop in virtual time."""
    loop = virtual_time.VirtualTimeLoop()
    yield loop
    loop.close()


@pytest.mark.parametrize("seed", range(20))
def test_timers_for_the_same_time_run_in_the_order_they_were_made(loop, seed):
    # Their order depended on the other timers, of which asyncio makes others
    # with each release: a simulation took another course with 3.12.
    draw = random.Random(seed)
    called = []
    made = []
    for number in range(60):
        when = draw.choice((1.0, 2.0, 3.0))
        timer = loop.call_at(when, called.append, (when, number))
        if draw.random() < 0.3:
            timer.cancel()
        else:
            made.append((when, number))
    loop.call_at(4.0, loop.stop)
    loop.run_forever()
    assert called == sorted(made)
    assert loop.time() == 4.0


def test_timers_keep_their_order_beside_the_sleep_of_a_task(loop):
    called = []

    async def run() -> None:
        for number in range(5):
            loop.call_later(1.0, called.append, number)
            if number % 2:
                loop.call_later(0.5, called.append, "early")
        await asyncio.sleep(1.0)
        called.append("task")

    loop.run_until_complete(run())
    assert called == ["early", "early", 0, 1, 2, 3, 4, "task"]
