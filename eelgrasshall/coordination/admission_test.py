"""Tests of admission: fair sharing, early rejection, goodput in overload."""

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
def controller(clock) -> admission.AdmissionController:
    return admission.AdmissionController(
        clock=clock,
        random=random.Random(1),
        host_limit=20,
        initial_limit=KIND.max_concurrent,
    )


def admit_many(controller, kind, caller, count) -> list[admission.Permit]:
    """Requests admission `count` times and returns the permits."""
    decisions = [controller.admit(kind, caller, 0.5) for _ in range(count)]
    return [d for d in decisions if isinstance(d, admission.Permit)]


def test_kind_limit_is_enforced_and_release_frees_a_permit(controller):
    permits = [
        p for name in "abc" for p in admit_many(controller, KIND, name, 4)
    ]
    assert len(permits) == KIND.max_concurrent
    controller.release(permits[-1], queue_waits_s=(0.0,), deadline_s=0.5)
    assert len(admit_many(controller, KIND, "c", 2)) == 1


def test_rejection_has_retry_after(controller):
    admit_many(controller, KIND, "a", 10)
    decision = controller.admit(KIND, "a", 0.5)
    assert decision.problem.kind is errors.ProblemKind.OVERLOADED
    assert decision.retry_after_s >= admission.MIN_RETRY_AFTER_S


def test_caller_is_limited_to_its_fair_share(controller):
    admit_many(controller, KIND, "meek", 1)
    greedy = admit_many(controller, KIND, "greedy", 20)
    assert len(greedy) < KIND.max_concurrent - 1
    assert len(admit_many(controller, KIND, "meek", 1)) == 1


def test_callers_converge_to_equal_shares(controller, clock):
    held = collections.deque(
        ("greedy", p) for p in admit_many(controller, KIND, "greedy", 20)
    )
    for _ in range(100):
        caller, permit = held.popleft()
        controller.release(permit, queue_waits_s=(0.0,), deadline_s=0.5)
        clock.jump(0.01)
        for name in ("greedy", "greedy", "greedy", "meek"):
            held.extend(
                (name, p) for p in admit_many(controller, KIND, name, 1)
            )
    counts = collections.Counter(name for name, _ in held)
    assert abs(counts["greedy"] - counts["meek"]) <= 2


def test_kinds_share_contended_host_by_weight(controller, clock):
    heavy = KIND._replace(name="heavy", max_concurrent=100, weight=3)
    light = KIND._replace(name="light", max_concurrent=100, weight=1)
    held = collections.deque(
        (light, p) for p in admit_many(controller, light, "a", 100)
    )
    for _ in range(200):
        kind, permit = held.popleft()
        controller.release(permit, queue_waits_s=(0.0,), deadline_s=0.5)
        clock.jump(0.01)
        for each in (light, light, heavy):
            held.extend((each, p) for p in admit_many(controller, each, "a", 1))
    counts = collections.Counter(kind.name for kind, _ in held)
    assert counts["heavy"] >= 2 * counts["light"]


def test_unreachable_deadline_is_rejected_until_estimate_decays(
    controller, clock
):
    permits = admit_many(controller, KIND, "a", 2)
    controller.release(permits[0], queue_waits_s=(2.0,), deadline_s=0.5)
    controller.release(permits[1], queue_waits_s=(2.0,), deadline_s=0.5)
    probe = admit_many(controller, KIND, "a", 1)
    assert len(probe) == 1
    decision = controller.admit(KIND, "a", 0.1)
    assert decision.problem.kind is errors.ProblemKind.DEADLINE_TOO_SHORT
    clock.jump(10 * admission.ESTIMATE_HALF_LIFE_S)
    assert isinstance(controller.admit(KIND, "a", 0.1), admission.Permit)


def test_one_unavailable_service_does_not_throttle_the_kind(controller, clock):
    for _ in range(100):
        (permit,) = admit_many(controller, KIND, "a", 1)
        clock.jump(0.5)
        controller.release(
            permit, queue_waits_s=(0.5, 0.0, 0.0, 0.0), deadline_s=0.5
        )
    assert len(admit_many(controller, KIND, "a", 10)) == 10


def test_tracked_callers_are_bounded_and_expire(controller, clock):
    for number in range(admission.MAX_CALLERS + 10):
        controller.admit(KIND, f"c{number}", 0.5)
    assert controller.dump()["wide"]["callers"] <= admission.MAX_CALLERS + 1
    clock.jump(2 * admission.ACTIVITY_WINDOW_S)
    controller.admit(KIND, "last", 0.5)
    assert controller.dump()["wide"]["callers"] <= KIND.max_concurrent + 1


class Scenario(NamedTuple):
    """Parameters of one simulation run.

    Attributes:
      load_factor: Arrival rate as a share of the services' capacity.
      hosts: Number of entry hosts, each with its own admission controller.
      services: Number of services that each query is sent to.
      kind: The kind of request.
      cold_until_s: Time until which each service has only one slot.
      counted_from_s: Time from which answers are counted.
      counted_until_s: Time at which the run ends.
    """

    load_factor: float
    hosts: int = 9
    services: int = 3
    kind: configuration_module.Kind = KIND._replace(max_concurrent=256)
    cold_until_s: float = 0.0
    counted_from_s: float = 3.0
    counted_until_s: float = 10.0


SLOTS = 6
MEAN_SERVICE_TIME_S = 0.011


def measure_goodput(scenario: Scenario) -> float:
    """Simulates a fleet and returns the queries answered in time per second.

    Each service has `SLOTS` slots behind one FIFO queue, as at its owner,
    which drops requests whose deadline has passed when they are dequeued.
    """
    rng = random.Random(7)
    clock = clock_module.ManualClock(start=0.0)
    controllers = [
        admission.AdmissionController(
            clock=clock, random=random.Random(n), host_limit=10**6
        )
        for n in range(scenario.hosts)
    ]
    deadline_s = scenario.kind.deadline_ms / 1000
    rate = scenario.load_factor * SLOTS / MEAN_SERVICE_TIME_S
    queues = [collections.deque() for _ in range(scenario.services)]
    busy = [0] * scenario.services
    order = itertools.count()
    events = [(rng.expovariate(rate), next(order), "arrive", None)]
    answered = 0

    def serve(service: int) -> None:
        is_cold = clock.monotonic() < scenario.cold_until_s
        slots = 1 if is_cold else SLOTS
        while busy[service] < slots and queues[service]:
            query, queued_at = queues[service].popleft()
            wait_s = clock.monotonic() - queued_at
            query["waits"].append(wait_s)
            if wait_s >= deadline_s:
                complete_part(query, served=False)
                continue
            busy[service] += 1
            done_at = clock.monotonic() + rng.expovariate(
                1 / MEAN_SERVICE_TIME_S
            )
            event = (done_at, next(order), "done", (query, service))
            heapq.heappush(events, event)

    def complete_part(query, *, served: bool) -> None:
        nonlocal answered
        query["left"] -= 1
        query["served"] &= served
        if query["left"]:
            return
        controllers[query["host"]].release(
            query["permit"], queue_waits_s=query["waits"], deadline_s=deadline_s
        )
        now = clock.monotonic()
        in_time = now - query["at"] <= deadline_s
        answered += (
            query["served"] and in_time and now > scenario.counted_from_s
        )

    while events and events[0][0] < scenario.counted_until_s:
        at, _, event_kind, payload = heapq.heappop(events)
        clock.jump(at - clock.monotonic())
        if event_kind == "done":
            query, service = payload
            busy[service] -= 1
            complete_part(query, served=True)
            serve(service)
            continue
        next_at = at + rng.expovariate(rate)
        heapq.heappush(events, (next_at, next(order), "arrive", None))
        host = rng.randrange(scenario.hosts)
        permit = controllers[host].admit(scenario.kind, "c", deadline_s)
        if not isinstance(permit, admission.Permit):
            continue
        query = {"host": host, "permit": permit, "at": at, "waits": []}
        query |= {"left": scenario.services, "served": True}
        for service in range(scenario.services):
            queues[service].append((query, at))
            serve(service)
    return answered / (scenario.counted_until_s - scenario.counted_from_s)


def test_goodput_at_double_load_stays_near_its_peak():
    goodput = {
        factor: measure_goodput(Scenario(factor))
        for factor in (0.7, 0.9, 1.0, 2.0)
    }
    assert goodput[2.0] >= 0.9 * max(goodput.values())


def test_cold_fleet_serves_at_reduced_capacity_and_recovers():
    cold = Scenario(0.9, services=10, cold_until_s=4.0, counted_from_s=1.0)
    kind = cold.kind._replace(deadline_ms=1000)
    cold = cold._replace(kind=kind, counted_until_s=4.0)
    warm = cold._replace(counted_from_s=5.0, counted_until_s=8.0)
    one_slot_per_s = 1 / MEAN_SERVICE_TIME_S
    assert measure_goodput(cold) >= 0.5 * one_slot_per_s
    assert measure_goodput(warm) >= 0.9 * 0.9 * SLOTS / MEAN_SERVICE_TIME_S
