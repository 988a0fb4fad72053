"""Tests of the query coordinator with fake backend servers."""

import asyncio
import json
import random
from typing import NamedTuple

import pytest

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import admission
from eelgrasshall.coordination import claims
from eelgrasshall.coordination import claims_test
from eelgrasshall.coordination import query
from eelgrasshall.coordination import scatter_gather
from eelgrasshall.coordination import tickets
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configuration_module
from eelgrasshall.state import members
from eelgrasshall.state import snapshots
from eelgrasshall.state import ticket as ticket_module

SNAPSHOT = messages.Snapshot(1, 7)
SERVICES = ("s0", "s1", "s2", "s3")
KEYS_PER_SERVICE = messages.KEY_SPACE // 4


def make_configuration() -> configuration_module.Configuration:
    server = configuration_module.BackendServer("b", "z", "127.0.0.1", 1, 1, 1)
    services = tuple(
        configuration_module.Service(name, (server._replace(name=f"{name}-b"),))
        for name in SERVICES
    )
    kinds = (
        configuration_module.Kind("wide", SERVICES, coverage_floor=0.5),
        configuration_module.Kind("whole", SERVICES, coverage_floor=1.0),
        configuration_module.Kind("reserve", ("s0",), repeatable=False),
    )
    zones = (configuration_module.Zone("z", "r"),)
    return configuration_module.Configuration(1, "c", zones, services, kinds)


class FakeBackends:
    """Answers sub-requests in place of the owners."""

    def __init__(self, clock):
        self.clock = clock
        self.requests = []
        self.cancelled = []
        self.delays = {}
        self.outcomes = {}

    async def dispatch(self, request):
        self.requests.append(request)
        try:
            await self.clock.sleep(self.delays.get(request.service, 0.0))
        except asyncio.CancelledError:
            self.cancelled.append(request.service)
            raise
        outcome = self.outcomes.get(request.service, messages.SubOutcome.SERVED)
        if outcome is not messages.SubOutcome.SERVED:
            problem = errors.Problem(
                errors.ProblemKind.BACKEND_FAILED, request.service, "No.", "Go."
            )
            return messages.SubResult(
                request.sub_id, request.service, outcome, problem=problem
            )
        low = SERVICES.index(request.service) * KEYS_PER_SERVICE
        return messages.SubResult(
            request.sub_id,
            request.service,
            outcome,
            part=b'[{"from": "%b"}]' % request.service.encode(),
            snapshot=SNAPSHOT,
            key_range=messages.KeyRange(low, low + KEYS_PER_SERVICE),
            available=(SNAPSHOT,),
        )


MEMBERS = tuple(
    members.Member(name, "z", "r", "127.0.0.1", port, "127.0.0.1", 1, 4)
    for port, name in enumerate(("h0", "h1"), start=8001)
)


class Bench(NamedTuple):
    clock: clock_module.ManualClock
    backends: FakeBackends
    invariants: invariants_module.InvariantChecker
    coordinator: query.QueryCoordinator


@pytest.fixture
def bench() -> Bench:
    clock = clock_module.ManualClock()
    invariants = invariants_module.InvariantChecker(raising=True)
    backends = FakeBackends(clock)
    configuration = make_configuration()

    async def fail_relay(host, incarnation, data, timeout_s):
        raise AssertionError("Unexpected relay to another host.")

    coordinator = query.QueryCoordinator(
        name="h0",
        zone="z",
        clock=clock,
        random=random.Random(1),
        invariants=invariants,
        dispatch=backends.dispatch,
        get_configuration=lambda: configuration,
        get_members=lambda: MEMBERS,
        admission=admission.AdmissionController(
            clock=clock, random=random.Random(2)
        ),
        snapshots=snapshots.SnapshotTable(clock=clock),
        ticket_runner=tickets.TicketRunner(
            name="h0",
            incarnation=1,
            clock=clock,
            random=random.Random(3),
            invariants=invariants,
            relay_to_host=fail_relay,
        ),
        idempotent_runner=claims_test.make_runner(
            clock, claims_test.FakeStore()
        ),
    )
    return Bench(clock, backends, invariants, coordinator)


def make_request(kind="wide", **fields) -> caller.QueryRequest:
    return caller.QueryRequest("id-1", kind, b'{"q":1}', **fields)


async def test_complete_answer(bench):
    outcome = await bench.coordinator.run(make_request())
    document = json.loads(outcome.body)
    assert outcome.status == 200
    assert document["request_id"] == "id-1"
    assert document["complete"] is True
    assert document["snapshot"] == "1.7"
    assert [each["service"] for each in document["data"]] == list(SERVICES)


async def test_partial_answer_comes_before_the_deadline(bench):
    bench.backends.delays["s2"] = 60.0
    task = asyncio.create_task(
        bench.coordinator.run(make_request(deadline_ms=200))
    )
    await bench.clock.advance(0.195)
    assert task.done()
    document = json.loads(task.result().body)
    assert task.result().status == 200
    assert document["complete"] is False
    assert document["coverage"]["key_share"] == 0.75
    assert document["coverage"]["missing"][0]["service"] == "s2"
    assert bench.backends.cancelled == ["s2"]
    assert bench.coordinator.in_flight == 0


async def test_no_data_is_returned_below_the_coverage_floor(bench):
    bench.backends.outcomes["s1"] = messages.SubOutcome.FAILED
    # Fails only after the other services have answered.
    bench.backends.delays["s1"] = 0.01
    task = asyncio.create_task(bench.coordinator.run(make_request("whole")))
    await bench.clock.advance(0.01)
    outcome = task.result()
    document = json.loads(outcome.body)
    assert outcome.status == 502
    assert "Retry-After" in dict(outcome.headers)
    assert document["outcome"] == "unknown"
    assert document["coverage"]["key_share"] == 0.75
    assert "data" not in document


async def test_query_that_cannot_reach_its_floor_fails_at_once_with_reasons(
    bench,
):
    bench.backends.outcomes["s1"] = messages.SubOutcome.FAILED
    bench.backends.delays = {"s2": 60.0, "s3": 60.0}
    task = asyncio.create_task(bench.coordinator.run(make_request("whole")))
    await bench.clock.advance(0)
    document = json.loads(task.result().body)
    missing = document["coverage"]["missing"]
    kinds = {each["service"]: each["kind"] for each in missing}
    assert kinds["s1"] == "backend_failed"
    assert kinds["s2"] == "coverage_too_low"
    assert sorted(bench.backends.cancelled) == ["s2", "s3"]


async def test_query_that_no_service_ran_is_refused(bench):
    for name in SERVICES:
        bench.backends.outcomes[name] = messages.SubOutcome.NOT_RUN
    outcome = await bench.coordinator.run(make_request())
    assert outcome.status == 503
    assert outcome.outcome_type is caller.OutcomeType.NOT_RUN
    assert dict(outcome.headers)["Retry-After"] == "1"


async def test_query_that_one_service_may_have_run_is_not_refused(bench):
    for name in SERVICES:
        bench.backends.outcomes[name] = messages.SubOutcome.NOT_RUN
    bench.backends.outcomes["s3"] = messages.SubOutcome.FAILED
    outcome = await bench.coordinator.run(make_request())
    assert outcome.outcome_type is caller.OutcomeType.UNKNOWN


async def test_disconnected_caller_cancels_its_sub_requests(bench):
    for name in SERVICES:
        bench.backends.delays[name] = 60.0
    task = asyncio.create_task(bench.coordinator.run(make_request()))
    await bench.clock.advance(0.01)
    task.cancel()
    await bench.clock.advance(0.01)
    assert sorted(bench.backends.cancelled) == list(SERVICES)
    assert bench.coordinator.in_flight == 0


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (make_request("nothing"), 422),
        (make_request()._replace(body=b"x" * 70_000), 413),
        (make_request("reserve"), 428),
    ],
)
async def test_invalid_request_causes_no_backend_requests(
    bench, request_, status
):
    outcome = await bench.coordinator.run(request_)
    assert outcome.status == status
    assert outcome.outcome_type is caller.OutcomeType.NOT_RUN
    assert not bench.backends.requests


async def test_resends_with_one_ticket_run_the_request_once(bench):
    addresses = json.loads((await bench.coordinator.list_addresses("z")).body)
    request = make_request("reserve", ticket=addresses["ticket_prefix"] + "1")
    outcomes = [await bench.coordinator.run(request) for _ in range(3)]
    assert {outcome.status for outcome in outcomes} == {200}
    assert len(bench.backends.requests) == 1
    assert bench.backends.requests[0].snapshot is None
    assert not bench.backends.requests[0].repeatable


async def test_resends_with_one_idempotency_key_run_the_request_once(bench):
    request = make_request("reserve", idempotency_key="crate-7")
    outcomes = [await bench.coordinator.run(request) for _ in range(3)]
    assert {outcome.status for outcome in outcomes} == {200}
    assert len(bench.backends.requests) == 1


async def test_run_once_request_stays_in_flight_after_its_caller_disconnects(
    bench,
):
    bench.backends.delays["s0"] = 0.5
    request = make_request("reserve", idempotency_key="crate-7")
    task = asyncio.create_task(bench.coordinator.run(request))
    await bench.clock.advance(0.1)
    task.cancel()
    await bench.clock.advance(0.1)
    assert bench.coordinator.in_flight == 1
    await bench.clock.advance(0.5)
    assert bench.coordinator.in_flight == 0
    assert not bench.backends.cancelled


async def test_timed_out_request_that_may_have_run_is_unknown(bench):
    bench.backends.delays["s0"] = 60.0
    request = make_request("reserve", idempotency_key="crate-7")
    task = asyncio.create_task(bench.coordinator.run(request))
    await bench.clock.advance(1.0)
    assert task.result().status == 504
    assert task.result().outcome_type is caller.OutcomeType.UNKNOWN


async def test_leaving_host_serves_until_cached_addresses_expire(bench):
    bench.coordinator.begin_leaving()
    document = json.loads((await bench.coordinator.list_addresses("z")).body)
    assert [each["name"] for each in document["addresses"]] == ["h1"]
    ticket = ticket_module.parse_ticket(document["ticket_prefix"] + "1")
    assert (ticket.home, ticket.incarnation) == ("h1", 4)
    assert (await bench.coordinator.run(make_request())).status == 200
    await bench.clock.advance(document["ttl_s"])
    outcome = await bench.coordinator.run(make_request())
    refusal = json.loads(outcome.body)
    assert outcome.status == 503
    assert refusal["problems"][0]["kind"] == "leaving"
    assert [each["name"] for each in refusal["addresses"]] == ["h1"]
    assert refusal["retry_after_ms"] > 0


async def test_leaving_host_still_returns_recorded_outcomes(bench):
    document = json.loads((await bench.coordinator.list_addresses("z")).body)
    request = make_request("reserve", ticket=document["ticket_prefix"] + "1")
    first = await bench.coordinator.run(request)
    bench.coordinator.begin_leaving()
    await bench.clock.advance(document["ttl_s"])
    assert await bench.coordinator.run(request) == first


async def test_dispatch_error_still_gives_one_outcome(bench):
    async def fail_dispatch(request):
        raise RuntimeError("a fault")

    bench.coordinator._dispatch = fail_dispatch
    task = asyncio.create_task(bench.coordinator.run(make_request()))
    await bench.clock.advance(1.0)
    assert task.result().outcome_type is caller.OutcomeType.UNKNOWN


async def test_refusal_after_an_attempt_violates_an_invariant(
    bench, monkeypatch
):
    for name in SERVICES:
        bench.backends.outcomes[name] = messages.SubOutcome.FAILED
    run = scatter_gather.ScatterGather.run

    async def deny_run(self):
        return (await run(self))._replace(may_have_run=False)

    monkeypatch.setattr(scatter_gather.ScatterGather, "run", deny_run)
    await bench.coordinator.run(make_request())
    assert bench.invariants.breaches[
        invariants_module.Invariant.NOT_RUN_IS_TRUE
    ]


@pytest.mark.parametrize(
    "invariant",
    [
        invariants_module.Invariant.AT_MOST_ONCE,
        invariants_module.Invariant.ONE_OUTCOME,
    ],
)
async def test_second_run_of_a_claim_violates_an_invariant(
    bench, monkeypatch, invariant
):
    bench.invariants._raising = False

    async def run_twice(self, claim, run):
        await run()
        return await run()

    monkeypatch.setattr(claims.IdempotentRunner, "run_if_claimed", run_twice)
    await bench.coordinator.run(
        make_request("reserve", idempotency_key="crate-7")
    )
    assert bench.invariants.breaches[invariant]


async def test_snapshots_of_undeclared_services_are_dropped(bench):
    bench.coordinator._snapshots.observe("gone", (SNAPSHOT,))
    await bench.coordinator.run(make_request())
    assert sorted(bench.coordinator.dump()["snapshots"]) == list(SERVICES)
