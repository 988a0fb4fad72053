"""Tests of admission control with and without workspaces.

Without them it must be as before: the order that was in use then is kept here
to compare with.
"""

import random

from hypothesis import given
from hypothesis import strategies

from eelgrasshall.gateway import admission
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import load_model
from eelgrasshall.gateway import virtual_time

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


def _make_entry(
    number: int, workspace: str, *, arrived_s: float = 0.0
) -> admission.QueueEntry:
    return admission.make_queue_entry(
        number=number,
        route=fakes.make_route(objective_s=0.5),
        arrived_s=arrived_s,
        timeout_s=2.0,
        longest_timeout_s=2.0,
        expected_duration_s=0.1,
        workspace=workspace,
        cost_s=1.0,
    )


def _start_all(limiter: admission.ConcurrencyLimiter) -> list[str]:
    """Returns the workspaces of the waiting requests as they start."""
    started = []
    while limiter.has_waiting:
        limiter.running -= 1
        started.append(limiter.start_next(0.02).workspace)
    return started


def test_requests_that_ran_at_once_count_for_their_workspace():
    # A workspace that fills all places of an idle host and goes on to send
    # would get the next ones too, as its requests are the newest.
    limiter = admission.ConcurrencyLimiter(average_duration_s=0.1)
    limiter.limit = 4
    for number in range(4):
        limiter.submit(_make_entry(number, "hot"))
    limiter.submit(_make_entry(10, "quiet", arrived_s=0.001))
    for number in range(4):
        limiter.submit(_make_entry(20 + number, "hot", arrived_s=0.01))
    assert _start_all(limiter) == ["quiet"] + ["hot"] * 4


def test_requests_started_from_the_queue_count_for_their_workspace():
    # The newest requests, all of one workspace, went before all others.
    limiter = admission.ConcurrencyLimiter(average_duration_s=0.1)
    limiter.limit = 2
    for number, name in enumerate(("a", "b")):
        limiter.submit(_make_entry(number, name))
    for number in range(3):
        limiter.submit(_make_entry(10 + number, "a", arrived_s=0.001))
    for number in range(3):
        limiter.submit(_make_entry(20 + number, "b", arrived_s=0.01))
    started = _start_all(limiter)
    assert sorted(started[:2]) == sorted(started[2:4]) == ["a", "b"]


def test_urgent_request_is_not_late_before_it_has_waited():
    # Overloaded servers take longer than the objective of short requests,
    # which went last therefore.
    entry = admission.make_queue_entry(
        number=1,
        route=fakes.make_route(objective_s=0.1),
        arrived_s=5.0,
        timeout_s=2.0,
        longest_timeout_s=2.0,
        expected_duration_s=0.3,
        workspace="a",
        cost_s=1.0,
    )
    assert entry.latest_start_s == entry.queue_deadline_s > 5.0


def test_entry_states_the_work_of_a_request_and_its_workspace():
    loop = virtual_time.VirtualTimeLoop()
    workspace = load_model.make_workspace("a", priority=3)
    shards = ("p0", "p1", "p2")
    route = fakes.make_route(path_prefix="/find/", shards=shards)
    simulation = load_model.Simulation(
        loop=loop,
        seed=1,
        kinds=[load_model.Kind(route, 1.0, 0.02, 2.0, 1.0)],
        shards=shards,
        hosts=1,
        workspace_loads=[load_model.WorkspaceLoad(workspace, 1.0)],
    )
    [handler] = simulation.handlers
    request = fakes.make_request("/find/x", received_s=0.0)
    search = handler._make_queue_entry(request, route, 2.0, workspace)
    single = handler._make_queue_entry(
        request, route._replace(shards=()), 2.0, None
    )
    handler.close()
    loop.close()
    # Three shards cause three times the work.
    assert search.cost_s == 3 * single.cost_s > 0.0
    assert (search.workspace, search.workspace_priority) == ("a", 3)
    # Without a key on a keyless route, where workspaces are configured.
    assert (single.workspace, single.workspace_priority) == ("", 0)
