"""Tests of the path of a query, with the sub-requests faked."""

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
from eelgrasshall.coordination import gather
from eelgrasshall.coordination import query
from eelgrasshall.coordination import tickets
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configuration_module
from eelgrasshall.state import members
from eelgrasshall.state import snapshots
from eelgrasshall.state import ticket as ticket_module

SEVEN = messages.Snapshot(1, 7)
NAMES = ("s0", "s1", "s2", "s3")
QUARTER = messages.KEY_SPACE // 4


def make_configuration() -> configuration_module.Configuration:
    server = configuration_module.BackendServer("b", "z", "127.0.0.1", 1, 1, 1)
    services = tuple(
        configuration_module.Service(name, (server._replace(name=f"{name}-b"),))
        for name in NAMES
    )
    kinds = (
        configuration_module.Kind("wide", NAMES, coverage_floor=0.5),
        configuration_module.Kind("whole", NAMES, coverage_floor=1.0),
        configuration_module.Kind("reserve", ("s0",), repeatable=False),
    )
    zones = (configuration_module.Zone("z", "r"),)
    return configuration_module.Configuration(1, "c", zones, services, kinds)


class Backends:
    """Answers sub-requests as the owners would."""

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
        low = NAMES.index(request.service) * QUARTER
        return messages.SubResult(
            request.sub_id,
            request.service,
            outcome,
            part=b'[{"from": "%b"}]' % request.service.encode(),
            snapshot=SEVEN,
            key_range=messages.KeyRange(low, low + QUARTER),
            available=(SEVEN,),
        )


MEMBERS = tuple(
    members.Member(name, "z", "r", "127.0.0.1", port, "127.0.0.1", 1, 4)
    for port, name in enumerate(("h0", "h1"), start=8001)
)


class Parts(NamedTuple):
    clock: clock_module.ManualClock
    backends: Backends
    invariants: invariants_module.InvariantChecker
    coordinator: query.QueryCoordinator


@pytest.fixture
def parts() -> Parts:
    clock = clock_module.ManualClock()
    invariants = invariants_module.InvariantChecker(raising=True)
    backends = Backends(clock)
    configuration = make_configuration()

    async def run_at_home(host, incarnation, data, timeout_s):
        raise AssertionError("Nothing is relayed here.")

    coordinator = query.QueryCoordinator(
        name="h0",
        zone="z",
        clock=clock,
        random=random.Random(1),
        invariants=invariants,
        dispatch=backends.dispatch,
        get_configuration=lambda: configuration,
        get_members=lambda: MEMBERS,
        admission=admission.Admission(clock=clock, random=random.Random(2)),
        snapshots=snapshots.SnapshotTable(clock=clock),
        tickets=tickets.TicketBook(
            name="h0",
            incarnation=1,
            clock=clock,
            random=random.Random(3),
            invariants=invariants,
            run_at_home=run_at_home,
        ),
        claims=claims_test.make_book(clock, claims_test.MemoryStore()),
    )
    return Parts(clock, backends, invariants, coordinator)


def ask(kind="wide", **fields) -> caller.QueryRequest:
    return caller.QueryRequest("id-1", kind, b'{"q":1}', **fields)


async def test_complete_answer(parts):
    outcome = await parts.coordinator.run(ask())
    document = json.loads(outcome.body)
    assert outcome.status == 200
    assert document["request_id"] == "id-1"
    assert document["complete"] is True
    assert document["snapshot"] == "1.7"
    assert [each["service"] for each in document["data"]] == list(NAMES)


async def test_partial_answer_comes_before_the_deadline(parts):
    parts.backends.delays["s2"] = 60.0
    task = asyncio.create_task(parts.coordinator.run(ask(deadline_ms=200)))
    await parts.clock.advance(0.195)
    assert task.done()
    document = json.loads(task.result().body)
    assert task.result().status == 200
    assert document["complete"] is False
    assert document["coverage"]["key_share"] == 0.75
    assert document["coverage"]["missing"][0]["service"] == "s2"
    assert parts.backends.cancelled == ["s2"]
    assert parts.coordinator.in_flight == 0


async def test_below_the_floor_no_data_is_given(parts):
    parts.backends.outcomes["s1"] = messages.SubOutcome.FAILED
    # The failure comes last, when the other services have answered.
    parts.backends.delays["s1"] = 0.01
    task = asyncio.create_task(parts.coordinator.run(ask("whole")))
    await parts.clock.advance(0.01)
    outcome = task.result()
    document = json.loads(outcome.body)
    assert outcome.status == 502
    assert "Retry-After" in dict(outcome.headers)
    assert document["outcome"] == "unknown"
    assert document["coverage"]["key_share"] == 0.75
    assert "data" not in document


async def test_hopeless_query_is_answered_at_once_with_the_reasons(parts):
    parts.backends.outcomes["s1"] = messages.SubOutcome.FAILED
    parts.backends.delays = {"s2": 60.0, "s3": 60.0}
    task = asyncio.create_task(parts.coordinator.run(ask("whole")))
    await parts.clock.advance(0)
    document = json.loads(task.result().body)
    missing = document["coverage"]["missing"]
    kinds = {each["service"]: each["kind"] for each in missing}
    assert kinds["s1"] == "backend_failed"
    assert kinds["s2"] == "coverage_too_low"
    assert sorted(parts.backends.cancelled) == ["s2", "s3"]


async def test_refusal_when_no_service_ran_it(parts):
    for name in NAMES:
        parts.backends.outcomes[name] = messages.SubOutcome.NOT_RUN
    outcome = await parts.coordinator.run(ask())
    assert outcome.status == 503
    assert outcome.verdict is caller.Verdict.NOT_RUN
    assert dict(outcome.headers)["Retry-After"] == "1"


async def test_no_refusal_when_one_service_may_have_run_it(parts):
    for name in NAMES:
        parts.backends.outcomes[name] = messages.SubOutcome.NOT_RUN
    parts.backends.outcomes["s3"] = messages.SubOutcome.FAILED
    outcome = await parts.coordinator.run(ask())
    assert outcome.verdict is caller.Verdict.UNKNOWN


async def test_caller_gone_cancels_sub_requests(parts):
    for name in NAMES:
        parts.backends.delays[name] = 60.0
    task = asyncio.create_task(parts.coordinator.run(ask()))
    await parts.clock.advance(0.01)
    task.cancel()
    await parts.clock.advance(0.01)
    assert sorted(parts.backends.cancelled) == list(NAMES)
    assert parts.coordinator.in_flight == 0


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (ask("nothing"), 422),
        (ask()._replace(body=b"x" * 70_000), 413),
        (ask("reserve"), 428),
    ],
)
async def test_refused_input_costs_no_backend_work(parts, request_, status):
    outcome = await parts.coordinator.run(request_)
    assert outcome.status == status
    assert outcome.verdict is caller.Verdict.NOT_RUN
    assert not parts.backends.requests


async def test_run_once_request_is_run_once_for_its_ticket(parts):
    addresses = json.loads((await parts.coordinator.addresses("z")).body)
    request = ask("reserve", ticket=addresses["ticket_prefix"] + "1")
    outcomes = [await parts.coordinator.run(request) for _ in range(3)]
    assert {outcome.status for outcome in outcomes} == {200}
    assert len(parts.backends.requests) == 1
    assert parts.backends.requests[0].snapshot is None
    assert not parts.backends.requests[0].repeatable


async def test_run_once_request_is_run_once_for_its_key(parts):
    request = ask("reserve", idempotency_key="crate-7")
    outcomes = [await parts.coordinator.run(request) for _ in range(3)]
    assert {outcome.status for outcome in outcomes} == {200}
    assert len(parts.backends.requests) == 1


async def test_run_once_request_counts_in_flight_without_its_caller(parts):
    parts.backends.delays["s0"] = 0.5
    request = ask("reserve", idempotency_key="crate-7")
    task = asyncio.create_task(parts.coordinator.run(request))
    await parts.clock.advance(0.1)
    task.cancel()
    await parts.clock.advance(0.1)
    assert parts.coordinator.in_flight == 1
    await parts.clock.advance(0.5)
    assert parts.coordinator.in_flight == 0
    assert not parts.backends.cancelled


async def test_request_that_timed_out_and_may_have_run_is_unknown(parts):
    parts.backends.delays["s0"] = 60.0
    request = ask("reserve", idempotency_key="crate-7")
    task = asyncio.create_task(parts.coordinator.run(request))
    await parts.clock.advance(1.0)
    assert task.result().status == 504
    assert task.result().verdict is caller.Verdict.UNKNOWN


async def test_leaving_host_serves_until_its_addresses_are_out_of_use(parts):
    parts.coordinator.begin_leaving()
    document = json.loads((await parts.coordinator.addresses("z")).body)
    assert [each["name"] for each in document["addresses"]] == ["h1"]
    home = ticket_module.parse_ticket(document["ticket_prefix"] + "1")
    assert (home.home, home.incarnation) == ("h1", 4)
    assert (await parts.coordinator.run(ask())).status == 200
    await parts.clock.advance(document["ttl_s"])
    outcome = await parts.coordinator.run(ask())
    refusal = json.loads(outcome.body)
    assert outcome.status == 503
    assert refusal["problems"][0]["kind"] == "leaving"
    assert [each["name"] for each in refusal["addresses"]] == ["h1"]
    assert refusal["retry_after_ms"] > 0


async def test_leaving_host_still_gives_outcomes_that_it_has(parts):
    document = json.loads((await parts.coordinator.addresses("z")).body)
    request = ask("reserve", ticket=document["ticket_prefix"] + "1")
    first = await parts.coordinator.run(request)
    parts.coordinator.begin_leaving()
    await parts.clock.advance(document["ttl_s"])
    assert await parts.coordinator.run(request) == first


async def test_dispatch_that_fails_still_gives_one_outcome(parts):
    async def fail(request):
        raise RuntimeError("a fault")

    parts.coordinator._dispatch = fail
    task = asyncio.create_task(parts.coordinator.run(ask()))
    await parts.clock.advance(1.0)
    assert task.result().verdict is caller.Verdict.UNKNOWN


async def test_refusal_after_an_attempt_is_a_breach(parts, monkeypatch):
    for name in NAMES:
        parts.backends.outcomes[name] = messages.SubOutcome.FAILED
    run = gather.Gather.run

    async def forget(self):
        return (await run(self))._replace(may_have_run=False)

    monkeypatch.setattr(gather.Gather, "run", forget)
    await parts.coordinator.run(ask())
    assert parts.invariants.breaches[
        invariants_module.Invariant.NOT_RUN_IS_TRUE
    ]


@pytest.mark.parametrize(
    "promise",
    [
        invariants_module.Invariant.AT_MOST_ONCE,
        invariants_module.Invariant.ONE_OUTCOME,
    ],
)
async def test_second_run_of_a_claim_is_a_breach(parts, monkeypatch, promise):
    parts.invariants._raising = False

    async def hold_twice(self, claim, run):
        await run()
        return await run()

    monkeypatch.setattr(claims.ClaimBook, "hold", hold_twice)
    await parts.coordinator.run(ask("reserve", idempotency_key="crate-7"))
    assert parts.invariants.breaches[promise]


async def test_services_no_longer_declared_are_forgotten(parts):
    parts.coordinator._snapshots.observe("gone", (SEVEN,))
    await parts.coordinator.run(ask())
    assert sorted(parts.coordinator.dump()["snapshots"]) == list(NAMES)
