"""A fleet of pacers on one clock, counted as the platform counts."""

import random

from eelgrasshall import clock as clock_module
from eelgrasshall.transport import pacing

_HOSTS = 400
_CALLS_PER_S = 5.0


async def test_calls_and_waiting_watches_stay_below_the_rate():
    clock = clock_module.ManualClock()
    allowance = pacing.Allowance(clock=clock, calls_per_s=_CALLS_PER_S)
    waits = [allowance.take() for _ in range(20)]
    assert [w for w in waits[:5]] == [0.0] * 5
    assert waits[19] == (20 - 5) / _CALLS_PER_S
    clock.jump(100.0)
    allowance.hold(2)
    waits = [allowance.take() for _ in range(20)]
    assert waits[19] == (20 - 5) / (_CALLS_PER_S - 2)


async def test_fleet_that_comes_back_stays_within_the_platforms_rates():
    clock = clock_module.ManualClock()
    holds = [
        pacing.Hold(clock=clock, random=random.Random(number))
        for number in range(_HOSTS)
    ]
    allowances = [
        pacing.Allowance(clock=clock, calls_per_s=_CALLS_PER_S)
        for _ in range(_HOSTS)
    ]
    outage_ends_at = clock.monotonic() + 30.0
    due = [0.0] * _HOSTS
    calls_by_second = {}
    returns_at_once = []
    # Every host wants to call all the time, as a starting fleet does.
    while clock.monotonic() < outage_ends_at + 10.0:
        now = clock.monotonic()
        returned = 0
        for number in range(_HOSTS):
            if due[number] > now or holds[number].remaining_s() > 0.0:
                continue
            second = int(now)
            calls_by_second[second] = calls_by_second.get(second, 0) + 1
            if now < outage_ends_at:
                holds[number].note_failure()
            elif holds[number].note_success():
                allowances[number].empty()
                returned += 1
            due[number] = now + allowances[number].take()
        returns_at_once.append(returned)
        clock.jump(0.05)
    settled = [n for s, n in calls_by_second.items() if s > 1010]
    assert max(settled) <= 2000
    assert sum(returns_at_once) == _HOSTS and max(returns_at_once) <= 60
