"""Tests of the budget of extra attempts and of latency quantiles.

The budget is tested against a simulation of several hosts that want two extra
attempts for every request.
"""

import random

from hypothesis import given
from hypothesis import strategies

from eelgrasshall.gateway import hedging

_WINDOW_S = 10.0


def _simulate(*, hosts: int, rate: float, duration_s: float, bound, seed: int):
    """Returns the times of requests and of extra attempts of all hosts."""
    rng = random.Random(seed)
    budgets = [
        hedging.ExtraAttemptBudget(bound=bound, hosts=hosts)
        for _ in range(hosts)
    ]
    requests, extras, now = [], [], 0.0
    while now < duration_s:
        now += rng.expovariate(rate)
        budget = rng.choice(budgets)
        requests.append(now)
        budget.deposit()
        for _ in range(2):
            if budget.try_withdraw():
                extras.append(now)
    return requests, extras


@given(
    hosts=strategies.integers(min_value=1, max_value=20),
    rate=strategies.floats(min_value=1.0, max_value=80.0),
    seed=strategies.integers(min_value=0, max_value=1000),
)
def test_hosts_together_keep_the_bound_in_every_window(hosts, rate, seed):
    bound = hedging.ExtraAttemptBound(ratio=0.2, fixed=54.0)
    requests, extras = _simulate(
        hosts=hosts, rate=rate, duration_s=30.0, bound=bound, seed=seed
    )
    for end in extras:
        start = end - _WINDOW_S
        sent = sum(1 for at in extras if start < at <= end)
        requested = sum(1 for at in requests if start < at <= end)
        assert sent <= bound.ratio * requested + bound.fixed


def test_hedges_leave_a_reserve_for_retries():
    bound = hedging.ExtraAttemptBound(ratio=0.0, fixed=100.0)
    budget = hedging.ExtraAttemptBudget(bound=bound, hosts=1)
    while budget.try_withdraw(reserve=0.2):
        pass
    assert budget.try_withdraw()


def test_new_host_may_hedge_at_once():
    bound = hedging.ExtraAttemptBound(ratio=0.2, fixed=188.0)
    budget = hedging.ExtraAttemptBudget(bound=bound, hosts=6)
    assert budget.try_withdraw(reserve=0.2)


def test_budget_without_fixed_part_is_used_up():
    budget = hedging.ExtraAttemptBudget(
        bound=hedging.ExtraAttemptBound(0.2, 0.0), hosts=1
    )
    assert budget.compute_used_share() == 1.0
    assert not budget.try_withdraw()


def test_quantiles_follow_the_latest_latencies():
    latencies = hedging.LatencyWindow(initial_latency_s=0.5)
    assert latencies.quantile(0.9) == 0.5
    for number in range(hedging.WINDOW_SIZE):
        latencies.record(number / 1000)
    assert 0.3 < latencies.quantile(0.9) < 0.4
    for _ in range(hedging.WINDOW_SIZE):
        latencies.record(2.0)
    assert latencies.quantile(0.1) == 2.0


def test_host_that_becomes_active_may_hedge_at_once():
    bound = hedging.ExtraAttemptBound(ratio=0.2, fixed=222.0)
    budget = hedging.ExtraAttemptBudget(bound=bound, hosts=91)
    budget.set_hosts(6)
    assert budget.try_withdraw(reserve=0.2)


def test_change_of_host_count_does_not_raise_the_total_budget():
    bound = hedging.ExtraAttemptBound(ratio=0.2, fixed=54.0)
    budgets = [
        hedging.ExtraAttemptBudget(bound=bound, hosts=6) for _ in range(6)
    ]
    for hosts in (3, 6, 91, 6, 1, 6):
        for budget in budgets:
            budget.set_hosts(hosts)
    withdrawn = 0
    for budget in budgets:
        while budget.try_withdraw():
            withdrawn += 1
    assert withdrawn <= bound.fixed


def test_reloading_the_bound_does_not_refill_the_budget():
    bound = hedging.ExtraAttemptBound(ratio=0.2, fixed=54.0)
    budget = hedging.ExtraAttemptBudget(bound=bound, hosts=1)
    withdrawn = 0
    for _ in range(5):
        while budget.try_withdraw():
            withdrawn += 1
        budget.set_bound(bound)
    assert withdrawn <= bound.fixed
    budget.set_bound(bound._replace(fixed=20.0))
    assert not budget.try_withdraw()
