"""Tests of waiting for a turn."""

import asyncio

from eelgrasshall.gateway import admission
from eelgrasshall.gateway import turns


def _make() -> turns.Turns:
    gate = admission.Gate(typical_s=0.01)
    gate.limit = 1
    return turns.Turns(gate=gate, loop=asyncio.get_running_loop())


def _make_ticket(number: int, *, waits_s: float = 1.0) -> admission.Ticket:
    now = asyncio.get_running_loop().time()
    return admission.Ticket(number, 1, now, now + waits_s, now + waits_s)


def _end(made: turns.Turns) -> None:
    now = asyncio.get_running_loop().time()
    made.leave(started_s=now, objective_s=1.0)


async def test_a_request_waits_until_another_has_ended():
    made = _make()
    assert await made.enter(_make_ticket(1))
    second = asyncio.create_task(made.enter(_make_ticket(2)))
    await asyncio.sleep(0.01)
    assert not second.done()
    _end(made)
    assert await second
    assert made.gate.running == 1


async def test_a_request_whose_turn_does_not_come_is_refused():
    made = _make()
    assert await made.enter(_make_ticket(1))
    assert not await made.enter(_make_ticket(2, waits_s=0.02))
    assert not made.gate.waiting


async def test_one_whose_turn_is_too_far_off_is_refused_at_once():
    made = _make()
    made.gate.typical_s = 10.0
    assert await made.enter(_make_ticket(1))
    waiting = [
        asyncio.create_task(made.enter(_make_ticket(number, waits_s=5.0)))
        for number in (2, 3)
    ]
    done, pending = await asyncio.wait(waiting, timeout=0.1)
    assert [task.result() for task in done] == [False] and len(pending) == 1
    pending.pop().cancel()


async def test_a_caller_that_leaves_frees_its_place():
    made = _make()
    assert await made.enter(_make_ticket(1))
    gone = asyncio.create_task(made.enter(_make_ticket(2)))
    await asyncio.sleep(0.01)
    gone.cancel()
    await asyncio.gather(gone, return_exceptions=True)
    assert not made.gate.waiting
    granted = asyncio.create_task(made.enter(_make_ticket(3)))
    await asyncio.sleep(0.01)
    _end(made)
    granted.cancel()
    await asyncio.gather(granted, return_exceptions=True)
    assert made.gate.running == 0
