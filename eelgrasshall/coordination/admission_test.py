"""Tests of admission: fairness, early refusal, goodput under overload."""

import collections
import heapq
import itertools
import random
from typing import NamedTuple

import pytest

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.coordination import admission
from eelgrasshall.state import configuration as configuration_module

KIND = configuration_module.Kind(
    "wide", ("s",), deadline_ms=500, max_concurrent=10
)


@pytest.fixture
def clock() -> clock_module.ManualClock:
    return clock_module.ManualClock()


@pytest.fixture
def control(clock) -> admission.Admission:
    return admission.Admission(
        clock=clock,
        random=random.Random(1),
        host_limit=20,
        initial_limit=KIND.max_concurrent,
    )


def fill(control, kind, caller, count) -> list[admission.Permit]:
    """Asks a number of times and returns the permits that were given."""
    decisions = [control.admit(kind, caller, 0.5) for _ in range(count)]
    return [d for d in decisions if isinstance(d, admission.Permit)]


def test_limit_of_the_kind_holds_and_a_release_frees_a_place(control):
    permits = [p for name in "abc" for p in fill(control, KIND, name, 4)]
    assert len(permits) == KIND.max_concurrent
    control.release(permits[-1], queue_waits_s=(0.0,), deadline_s=0.5)
    assert len(fill(control, KIND, "c", 2)) == 1


def test_refusal_names_a_time_to_come_back(control):
    fill(control, KIND, "a", 10)
    decision = control.admit(KIND, "a", 0.5)
    assert decision.problem.kind is errors.ProblemKind.OVERLOADED
    assert decision.retry_after_s >= admission.MIN_RETRY_AFTER_S


def test_caller_above_its_share_leaves_room_for_others(control):
    fill(control, KIND, "meek", 1)
    greedy = fill(control, KIND, "greedy", 20)
    assert len(greedy) < KIND.max_concurrent - 1
    assert len(fill(control, KIND, "meek", 1)) == 1


def test_callers_come_to_equal_shares(control, clock):
    held = collections.deque(
        ("greedy", p) for p in fill(control, KIND, "greedy", 20)
    )
    for _ in range(100):
        caller, permit = held.popleft()
        control.release(permit, queue_waits_s=(0.0,), deadline_s=0.5)
        clock.jump(0.01)
        for name in ("greedy", "greedy", "greedy", "meek"):
            held.extend((name, p) for p in fill(control, KIND, name, 1))
    counts = collections.Counter(name for name, _ in held)
    assert abs(counts["greedy"] - counts["meek"]) <= 2


def test_kinds_share_a_full_host_by_weight(control, clock):
    heavy = KIND._replace(name="heavy", max_concurrent=100, weight=3)
    light = KIND._replace(name="light", max_concurrent=100, weight=1)
    held = collections.deque((light, p) for p in fill(control, light, "a", 100))
    for _ in range(200):
        kind, permit = held.popleft()
        control.release(permit, queue_waits_s=(0.0,), deadline_s=0.5)
        clock.jump(0.01)
        for each in (light, light, heavy):
            held.extend((each, p) for p in fill(control, each, "a", 1))
    counts = collections.Counter(kind.name for kind, _ in held)
    assert counts["heavy"] >= 2 * counts["light"]


def test_deadline_that_cannot_be_met_is_refused_at_once(control, clock):
    permits = fill(control, KIND, "a", 2)
    control.release(permits[0], queue_waits_s=(2.0,), deadline_s=0.5)
    control.release(permits[1], queue_waits_s=(2.0,), deadline_s=0.5)
    probe = fill(control, KIND, "a", 1)
    assert len(probe) == 1
    decision = control.admit(KIND, "a", 0.1)
    assert decision.problem.kind is errors.ProblemKind.DEADLINE_TOO_SHORT
    clock.jump(10 * admission.ESTIMATE_HALF_LIFE_S)
    assert isinstance(control.admit(KIND, "a", 0.1), admission.Permit)


def test_one_service_that_is_down_does_not_close_the_kind(control, clock):
    for _ in range(100):
        (permit,) = fill(control, KIND, "a", 1)
        clock.jump(0.5)
        control.release(
            permit, queue_waits_s=(0.5, 0.0, 0.0, 0.0), deadline_s=0.5
        )
    assert len(fill(control, KIND, "a", 10)) == 10


def test_callers_are_forgotten_and_bounded(control, clock):
    for number in range(admission.MAX_CALLERS + 10):
        control.admit(KIND, f"c{number}", 0.5)
    assert control.dump()["wide"]["callers"] <= admission.MAX_CALLERS + 1
    clock.jump(2 * admission.ACTIVE_S)
    control.admit(KIND, "last", 0.5)
    assert control.dump()["wide"]["callers"] <= KIND.max_concurrent + 1


class Load(NamedTuple):
    """What a run of the model is given.

    Attributes:
      factor: Arrivals as a share of what the services can serve.
      hosts: Entry hosts, each with its own admission.
      services: Services that each query touches.
      kind: The kind of request.
      cold_until_s: Time until which each service has one slot only.
      counted_from_s: Time from which answers count.
      counted_until_s: Time at which the run ends.
    """

    factor: float
    hosts: int = 9
    services: int = 3
    kind: configuration_module.Kind = KIND._replace(max_concurrent=256)
    cold_until_s: float = 0.0
    counted_from_s: float = 3.0
    counted_until_s: float = 10.0


SLOTS = 6
SERVICE_S = 0.011


def measure_goodput(load: Load) -> float:
    """Returns the queries answered in time a second, in a queueing model.

    Each service has `SLOTS` slots behind one first-in first-out queue, as at
    its owner, which drops what is past its deadline when its turn comes.
    """
    draw = random.Random(7)
    clock = clock_module.ManualClock(start=0.0)
    controls = [
        admission.Admission(
            clock=clock, random=random.Random(n), host_limit=10**6
        )
        for n in range(load.hosts)
    ]
    deadline_s = load.kind.deadline_ms / 1000
    rate = load.factor * SLOTS / SERVICE_S
    queues = [collections.deque() for _ in range(load.services)]
    busy = [0] * load.services
    order = itertools.count()
    events = [(draw.expovariate(rate), next(order), "arrive", None)]
    good = 0

    def serve(service: int) -> None:
        is_cold = clock.monotonic() < load.cold_until_s
        slots = 1 if is_cold else SLOTS
        while busy[service] < slots and queues[service]:
            query, queued_at = queues[service].popleft()
            waited_s = clock.monotonic() - queued_at
            query["waits"].append(waited_s)
            if waited_s >= deadline_s:
                finish_part(query, served=False)
                continue
            busy[service] += 1
            done_at = clock.monotonic() + draw.expovariate(1 / SERVICE_S)
            event = (done_at, next(order), "done", (query, service))
            heapq.heappush(events, event)

    def finish_part(query, *, served: bool) -> None:
        nonlocal good
        query["left"] -= 1
        query["served"] &= served
        if query["left"]:
            return
        controls[query["host"]].release(
            query["permit"], queue_waits_s=query["waits"], deadline_s=deadline_s
        )
        now = clock.monotonic()
        in_time = now - query["at"] <= deadline_s
        good += query["served"] and in_time and now > load.counted_from_s

    while events and events[0][0] < load.counted_until_s:
        at, _, what, which = heapq.heappop(events)
        clock.jump(at - clock.monotonic())
        if what == "done":
            query, service = which
            busy[service] -= 1
            finish_part(query, served=True)
            serve(service)
            continue
        next_at = at + draw.expovariate(rate)
        heapq.heappush(events, (next_at, next(order), "arrive", None))
        host = draw.randrange(load.hosts)
        permit = controls[host].admit(load.kind, "c", deadline_s)
        if not isinstance(permit, admission.Permit):
            continue
        query = {"host": host, "permit": permit, "at": at, "waits": []}
        query |= {"left": load.services, "served": True}
        for service in range(load.services):
            queues[service].append((query, at))
            serve(service)
    return good / (load.counted_until_s - load.counted_from_s)


def test_goodput_at_twice_the_load_stays_near_its_peak():
    goodput = {
        factor: measure_goodput(Load(factor)) for factor in (0.7, 0.9, 1.0, 2.0)
    }
    assert goodput[2.0] >= 0.9 * max(goodput.values())


def test_fleet_that_starts_cold_answers_what_it_can_and_recovers():
    cold = Load(0.9, services=10, cold_until_s=4.0, counted_from_s=1.0)
    kind = cold.kind._replace(deadline_ms=1000)
    cold = cold._replace(kind=kind, counted_until_s=4.0)
    warm = cold._replace(counted_from_s=5.0, counted_until_s=8.0)
    one_slot_per_s = 1 / SERVICE_S
    assert measure_goodput(cold) >= 0.5 * one_slot_per_s
    assert measure_goodput(warm) >= 0.9 * 0.9 * SLOTS / SERVICE_S
