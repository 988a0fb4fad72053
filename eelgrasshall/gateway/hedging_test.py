"""Tests of the allowance of extra attempts and of latencies.

The load that the allowance answers is replayed: requests at several hosts,
each of which wants an extra attempt for every request, with hosts restarted.
"""

import random

from hypothesis import given
from hypothesis import strategies

from eelgrasshall.gateway import hedging

_WINDOW_S = 10.0


def _replay(*, hosts: int, rate: float, length_s: float, bound, seed: int):
    """Returns the times of requests and of extra attempts of all hosts."""
    chance = random.Random(seed)
    allowances = [
        hedging.ExtraAllowance(bound=bound, hosts=hosts) for _ in range(hosts)
    ]
    requests, extras, now = [], [], 0.0
    while now < length_s:
        now += chance.expovariate(rate)
        allowance = chance.choice(allowances)
        requests.append(now)
        allowance.earn()
        for _ in range(2):
            if allowance.take():
                extras.append(now)
    return requests, extras


@given(
    hosts=strategies.integers(min_value=1, max_value=20),
    rate=strategies.floats(min_value=1.0, max_value=80.0),
    seed=strategies.integers(min_value=0, max_value=1000),
)
def test_every_window_keeps_the_bound_of_all_hosts(hosts, rate, seed):
    bound = hedging.ExtraBound(ratio=0.2, fixed=54.0)
    requests, extras = _replay(
        hosts=hosts, rate=rate, length_s=30.0, bound=bound, seed=seed
    )
    for end in extras:
        start = end - _WINDOW_S
        sent = sum(1 for at in extras if start < at <= end)
        asked = sum(1 for at in requests if start < at <= end)
        assert sent <= bound.ratio * asked + bound.fixed


def test_hedges_leave_a_reserve_to_repeats():
    bound = hedging.ExtraBound(ratio=0.0, fixed=100.0)
    allowance = hedging.ExtraAllowance(bound=bound, hosts=1)
    while allowance.take(reserve=0.2):
        pass
    assert allowance.take()


def test_hedges_are_allowed_from_the_start_of_a_host():
    bound = hedging.ExtraBound(ratio=0.2, fixed=188.0)
    allowance = hedging.ExtraAllowance(bound=bound, hosts=6)
    assert allowance.take(reserve=0.2)


def test_no_fixed_part_means_scarce():
    allowance = hedging.ExtraAllowance(
        bound=hedging.ExtraBound(0.2, 0.0), hosts=1
    )
    assert allowance.scarcity() == 1.0
    assert not allowance.take()


def test_quantiles_follow_the_last_latencies():
    latencies = hedging.Latencies(initial_s=0.5)
    assert latencies.quantile(0.9) == 0.5
    for number in range(hedging.WINDOW):
        latencies.record(number / 1000)
    assert 0.3 < latencies.quantile(0.9) < 0.4
    for _ in range(hedging.WINDOW):
        latencies.record(2.0)
    assert latencies.quantile(0.1) == 2.0


def test_a_host_that_starts_to_work_hedges_at_once():
    bound = hedging.ExtraBound(ratio=0.2, fixed=222.0)
    allowance = hedging.ExtraAllowance(bound=bound, hosts=91)
    allowance.set_hosts(6)
    assert allowance.take(reserve=0.2)


def test_the_hosts_together_hold_no_more_when_their_number_changes():
    bound = hedging.ExtraBound(ratio=0.2, fixed=54.0)
    allowances = [
        hedging.ExtraAllowance(bound=bound, hosts=6) for _ in range(6)
    ]
    for hosts in (3, 6, 91, 6, 1, 6):
        for allowance in allowances:
            allowance.set_hosts(hosts)
    taken = 0
    for allowance in allowances:
        while allowance.take():
            taken += 1
    assert taken <= bound.fixed


def test_settings_that_are_read_again_give_nothing_that_was_used_back():
    bound = hedging.ExtraBound(ratio=0.2, fixed=54.0)
    allowance = hedging.ExtraAllowance(bound=bound, hosts=1)
    taken = 0
    for _ in range(5):
        while allowance.take():
            taken += 1
        allowance.set_bound(bound)
    assert taken <= bound.fixed
    allowance.set_bound(bound._replace(fixed=20.0))
    assert not allowance.take()
