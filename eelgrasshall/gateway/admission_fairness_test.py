"""Tests that admission with workspaces leaves other deployments as they were.

The order that was in use before workspaces is kept here to compare with.
"""

import random

from hypothesis import given
from hypothesis import strategies

from eelgrasshall.gateway import admission
from eelgrasshall.gateway import fakes

_INTERVAL = 2


def _sort_as_before(waiting, now, *, ignore_priority):
    """The order of waiting requests before there were workspaces."""
    return sorted(
        waiting,
        key=lambda entry: (
            now > entry.latest_start_s,
            0 if ignore_priority else entry.priority,
            -entry.arrived_s,
        ),
    )


class _LimiterAsBefore:
    """The queue of `admission.ConcurrencyLimiter` before workspaces."""

    def __init__(self, limit: int, interval_s: float):
        self.limit = limit
        self.interval_s = interval_s
        self.running = 0
        self.waiting = []
        self.start_count = 0

    def submit(self, entry):
        if self.running < self.limit and not self.waiting:
            self.running += 1
            return admission.Decision.RUN
        self.waiting.append(entry)
        return admission.Decision.WAIT

    def remove_predicted_timeouts(self, now):
        queue = _sort_as_before(self.waiting, now, ignore_priority=False)
        late = [
            entry
            for position, entry in enumerate(queue)
            if now + position * self.interval_s > entry.queue_deadline_s
        ]
        for entry in late:
            self.waiting.remove(entry)
        return late

    def start_next(self, now):
        if self.running >= self.limit or not self.waiting:
            return None
        queue = _sort_as_before(
            self.waiting,
            now,
            ignore_priority=self.start_count % _INTERVAL == 0,
        )
        self.start_count += 1
        self.running += 1
        self.waiting.remove(queue[0])
        return queue[0]


@given(
    seed=strategies.integers(0, 2**32 - 1),
    limit=strategies.integers(2, 5),
    steps=strategies.integers(1, 120),
)
def test_without_workspaces_order_and_refusals_are_as_before(
    seed, limit, steps
):
    rng = random.Random(seed)
    limiter = admission.ConcurrencyLimiter(average_duration_s=0.1)
    limiter.limit = limit
    before = _LimiterAsBefore(limit, 0.1 / limit)
    now = 0.0
    for number in range(steps):
        now += rng.uniform(0.0, 0.02)
        if rng.random() < 0.7:
            route = fakes.make_route(objective_s=rng.uniform(0.05, 0.5))
            expected_duration_s = rng.uniform(0.0, 0.5)
            entry = admission.make_queue_entry(
                number=number,
                route=route._replace(priority=rng.randrange(3)),
                arrived_s=now,
                timeout_s=rng.choice((1.0, 2.0)),
                longest_timeout_s=2.0,
                expected_duration_s=expected_duration_s,
                cost_s=rng.uniform(0.0, 1.0),
            )
            assert entry.latest_start_s == (
                now + route.objective_s - expected_duration_s
            )
            assert limiter.submit(entry) is before.submit(entry)
            assert limiter.remove_predicted_timeouts(
                now
            ) == before.remove_predicted_timeouts(now)
        elif limiter.running:
            limiter.running -= 1
            before.running -= 1
            assert limiter.start_next(now) == before.start_next(now)
        assert limiter.waiting == before.waiting
        assert limiter.running == before.running
