"""Tests of the load on cold servers, replayed over many hosts at once."""

import random

from hypothesis import given
from hypothesis import strategies

from eelgrasshall.gateway import cold


@given(
    hosts=strategies.integers(min_value=1, max_value=100),
    rate=strategies.floats(min_value=0.0, max_value=50.0),
    slack=strategies.floats(min_value=0.0, max_value=10.0),
    seed=strategies.integers(min_value=0, max_value=100),
)
def test_all_hosts_together_keep_the_bound_in_every_second(
    hosts, rate, slack, seed
):
    bound = cold.ColdBound(1.5, slack)
    names = [f"h{i}" for i in range(hosts)]
    gates = []
    for own in names:
        gate = cold.ColdGate()
        gate.close_until(1e9)
        gate.set_share(
            cold.share_rate(
                rate=rate, bound=bound, server_id="s1", own=own, hosts=names
            )
        )
        gates.append(gate)
    chance = random.Random(seed)
    sent = []
    now = 0.0
    for _ in range(600):
        now += chance.expovariate(200.0)
        gate = chance.choice(gates)
        if gate.admits(now):
            gate.note_send(now)
            sent.append(now)
    for end in sent:
        arrived = sum(1 for at in sent if end - 1.0 < at <= end)
        assert arrived <= rate * 1.5 + slack


def test_some_host_may_send_to_a_server_that_bears_little():
    bound = cold.ColdBound(1.5, 5.0)
    names = [f"h{i}" for i in range(74)]
    shares = [
        cold.share_rate(
            rate=0.5, bound=bound, server_id="s1", own=own, hosts=names
        )
        for own in names
    ]
    assert sum(shares) == 4


def test_a_warm_server_is_not_limited():
    gate = cold.ColdGate()
    assert all(gate.admits(0.0) for _ in range(100))
    gate.close_until(5.0)
    assert not gate.admits(1.0) and gate.admits(5.0)
