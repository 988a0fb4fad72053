"""Tests of the rate limit for cold servers, with many hosts sending at once."""

import random

from hypothesis import given
from hypothesis import strategies

from eelgrasshall.gateway import cold_start


@given(
    hosts=strategies.integers(min_value=1, max_value=100),
    rate=strategies.floats(min_value=0.0, max_value=50.0),
    slack=strategies.floats(min_value=0.0, max_value=10.0),
    seed=strategies.integers(min_value=0, max_value=100),
)
def test_hosts_together_keep_the_bound_in_every_second(
    hosts, rate, slack, seed
):
    bound = cold_start.ColdStartBound(1.5, slack)
    names = [f"h{i}" for i in range(hosts)]
    limiters = []
    for own in names:
        limiter = cold_start.ColdStartLimiter()
        limiter.mark_cold_until(1e9)
        limiter.set_rate_limit(
            cold_start.compute_host_rate(
                rate=rate, bound=bound, server_id="s1", own=own, hosts=names
            )
        )
        limiters.append(limiter)
    rng = random.Random(seed)
    sent = []
    now = 0.0
    for _ in range(600):
        now += rng.expovariate(200.0)
        limiter = rng.choice(limiters)
        if limiter.may_send(now):
            limiter.record_send(now)
            sent.append(now)
    for end in sent:
        arrived = sum(1 for at in sent if end - 1.0 < at <= end)
        assert arrived <= rate * 1.5 + slack


def test_low_rate_is_shared_among_some_of_the_hosts():
    bound = cold_start.ColdStartBound(1.5, 5.0)
    names = [f"h{i}" for i in range(74)]
    rates = [
        cold_start.compute_host_rate(
            rate=0.5, bound=bound, server_id="s1", own=own, hosts=names
        )
        for own in names
    ]
    assert sum(rates) == 4


def test_warm_server_is_not_limited():
    limiter = cold_start.ColdStartLimiter()
    assert all(limiter.may_send(0.0) for _ in range(100))
    limiter.mark_cold_until(5.0)
    assert not limiter.may_send(1.0) and limiter.may_send(5.0)
