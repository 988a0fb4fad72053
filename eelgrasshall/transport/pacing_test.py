"""Tests the rate limiting and backoff of a fleet of simulated hosts."""

import random

from eelgrasshall import clock as clock_module
from eelgrasshall.transport import pacing

_HOSTS = 400
_CALLS_PER_S = 5.0


async def test_waiting_watches_reduce_the_call_rate():
    clock = clock_module.ManualClock()
    bucket = pacing.TokenBucket(clock=clock, calls_per_s=_CALLS_PER_S)
    waits = [bucket.reserve() for _ in range(20)]
    assert [w for w in waits[:5]] == [0.0] * 5
    assert waits[19] == (20 - 5) / _CALLS_PER_S
    clock.jump(100.0)
    bucket.set_waiting_watches(2)
    waits = [bucket.reserve() for _ in range(20)]
    assert waits[19] == (20 - 5) / (_CALLS_PER_S - 2)


async def test_fleet_stays_within_the_rate_limit_after_an_outage():
    clock = clock_module.ManualClock()
    backoffs = [
        pacing.Backoff(clock=clock, random=random.Random(number))
        for number in range(_HOSTS)
    ]
    buckets = [
        pacing.TokenBucket(clock=clock, calls_per_s=_CALLS_PER_S)
        for _ in range(_HOSTS)
    ]
    outage_ends_at = clock.monotonic() + 30.0
    next_call_at = [0.0] * _HOSTS
    calls_by_second = {}
    resumed_per_step = []
    # Every host calls as often as it may, as the hosts of a starting fleet do.
    while clock.monotonic() < outage_ends_at + 10.0:
        now = clock.monotonic()
        resumed = 0
        for number in range(_HOSTS):
            if (
                next_call_at[number] > now
                or backoffs[number].remaining_s() > 0.0
            ):
                continue
            second = int(now)
            calls_by_second[second] = calls_by_second.get(second, 0) + 1
            if now < outage_ends_at:
                backoffs[number].record_failure()
            elif backoffs[number].record_success():
                buckets[number].discard_tokens()
                resumed += 1
            next_call_at[number] = now + buckets[number].reserve()
        resumed_per_step.append(resumed)
        clock.jump(0.05)
    calls_after_start = [n for s, n in calls_by_second.items() if s > 1010]
    assert max(calls_after_start) <= 2000
    assert sum(resumed_per_step) == _HOSTS and max(resumed_per_step) <= 60
