"""Tests of the admission queue."""

import asyncio

from eelgrasshall.gateway import admission
from eelgrasshall.gateway import admission_queue


def _make_queue() -> admission_queue.AdmissionQueue:
    limiter = admission.ConcurrencyLimiter(average_duration_s=0.01)
    limiter.limit = 1
    return admission_queue.AdmissionQueue(
        limiter=limiter, loop=asyncio.get_running_loop()
    )


def _make_entry(
    number: int, *, queue_time_s: float = 1.0
) -> admission.QueueEntry:
    now = asyncio.get_running_loop().time()
    return admission.QueueEntry(
        number, 1, now, now + queue_time_s, now + queue_time_s
    )


def _finish(queue: admission_queue.AdmissionQueue) -> None:
    now = asyncio.get_running_loop().time()
    queue.finish(started_s=now, objective_s=1.0)


async def test_request_waits_until_another_has_ended():
    queue = _make_queue()
    assert await queue.wait_for_admission(_make_entry(1))
    second = asyncio.create_task(queue.wait_for_admission(_make_entry(2)))
    await asyncio.sleep(0.01)
    assert not second.done()
    _finish(queue)
    assert await second
    assert queue.limiter.running == 1


async def test_request_is_rejected_at_its_queue_deadline():
    queue = _make_queue()
    assert await queue.wait_for_admission(_make_entry(1))
    assert not await queue.wait_for_admission(_make_entry(2, queue_time_s=0.02))
    assert not queue.limiter.waiting


async def test_request_with_predicted_timeout_is_rejected_at_once():
    queue = _make_queue()
    queue.limiter.average_duration_s = 10.0
    assert await queue.wait_for_admission(_make_entry(1))
    waiting = [
        asyncio.create_task(
            queue.wait_for_admission(_make_entry(number, queue_time_s=5.0))
        )
        for number in (2, 3)
    ]
    done, pending = await asyncio.wait(waiting, timeout=0.1)
    assert [task.result() for task in done] == [False] and len(pending) == 1
    pending.pop().cancel()


async def test_cancelled_request_frees_its_place():
    queue = _make_queue()
    assert await queue.wait_for_admission(_make_entry(1))
    cancelled = asyncio.create_task(queue.wait_for_admission(_make_entry(2)))
    await asyncio.sleep(0.01)
    cancelled.cancel()
    await asyncio.gather(cancelled, return_exceptions=True)
    assert not queue.limiter.waiting
    admitted = asyncio.create_task(queue.wait_for_admission(_make_entry(3)))
    await asyncio.sleep(0.01)
    _finish(queue)
    admitted.cancel()
    await asyncio.gather(admitted, return_exceptions=True)
    assert queue.limiter.running == 0


async def test_place_given_to_a_cancelled_request_is_freed():
    # The place of a request whose caller left in the same moment was never
    # given back, so that the host could run one request less from then on.
    queue = _make_queue()
    assert await queue.wait_for_admission(_make_entry(1))
    second = asyncio.create_task(queue.wait_for_admission(_make_entry(2)))
    await asyncio.sleep(0.01)
    second.cancel()
    _finish(queue)
    await asyncio.wait((second,))
    assert queue.limiter.running == 0
