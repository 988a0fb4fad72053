"""Tests of scatter-gather while snapshots and the shard map change."""

import asyncio
import itertools
import json

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import plan
from eelgrasshall.coordination import scatter_gather
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configuration_module
from eelgrasshall.state import snapshots

SERVICES = ("s0", "s1", "s2", "s3")
KIND = configuration_module.Kind("wide", SERVICES, deadline_ms=1000)
MAX_HELD_SNAPSHOTS = 3


def make_snapshot(epoch: int, version: int) -> messages.Snapshot:
    return messages.Snapshot(epoch, version)


def divide_key_space(epoch: int) -> dict[str, messages.KeyRange]:
    """Divides the key space differently in each epoch."""
    cuts = [0]
    for index in range(1, len(SERVICES)):
        step = messages.KEY_SPACE // len(SERVICES)
        cuts.append(index * step + (epoch * 977) % step)
    cuts.append(messages.KEY_SPACE)
    pairs = itertools.pairwise(cuts)
    return {
        name: messages.KeyRange(low, high)
        for name, (low, high) in zip(SERVICES, pairs, strict=True)
    }


class FakeServices:
    """The snapshots of each service; sub-requests wait until answered."""

    def __init__(self):
        first = make_snapshot(1, 1)
        self.held = {name: [first] for name in SERVICES}
        self.waiting = []
        self.sent = []
        self.wrong_ranges = {}

    async def dispatch(self, request):
        future = asyncio.get_running_loop().create_future()
        self.waiting.append((request, future))
        self.sent.append(request)
        return await future

    def answer(self, position: int, *, fails: bool = False) -> None:
        """Answers one waiting sub-request from its service's current state."""
        request, future = self.waiting.pop(position % len(self.waiting))
        if not future.done():
            future.set_result(self._make_result(request, fails))

    def _make_result(self, request, fails):
        held = self.held[request.service]
        result = messages.SubResult(
            request.sub_id,
            request.service,
            messages.SubOutcome.FAILED,
            available=tuple(held),
        )
        if fails:
            return result
        chosen = request.snapshot or held[0]
        if chosen not in held:
            return result._replace(outcome=messages.SubOutcome.SNAPSHOT_GONE)
        correct_range = divide_key_space(chosen.epoch)[request.service]
        return result._replace(
            outcome=messages.SubOutcome.SERVED,
            snapshot=chosen,
            part=json.dumps([request.service, chosen.to_text()]).encode(),
            key_range=self.wrong_ranges.get(request.service, correct_range),
        )

    def publish(self, name: str, snapshot: messages.Snapshot) -> None:
        """Adds a newer snapshot to a service, which drops its oldest."""
        if snapshot > self.held[name][0]:
            self.held[name] = [snapshot, *self.held[name]][:MAX_HELD_SNAPSHOTS]


class Bench:
    """One query over fake services."""

    def __init__(self, kind=KIND):
        self.clock = clock_module.ManualClock()
        self.services = FakeServices()
        self.table = snapshots.SnapshotTable(clock=self.clock)
        self.kind = kind
        self.sub_numbers = itertools.count()

    def start(self) -> asyncio.Task:
        request = caller.QueryRequest("id", self.kind.name, b"{}")
        query_plan = plan.make_plan(
            request=request,
            query_id="q",
            kind=self.kind,
            now=self.clock.monotonic(),
        )
        run = scatter_gather.ScatterGather(
            plan=query_plan,
            clock=self.clock,
            invariants=invariants_module.InvariantChecker(raising=True),
            dispatch=self.services.dispatch,
            snapshots=self.table,
            make_sub_id=lambda: f"sub-{next(self.sub_numbers)}",
        ).run()
        return asyncio.create_task(run)

    async def settle(self, task) -> scatter_gather.GatherResult:
        """Answers the waiting sub-requests in order until the query ends."""
        await self.clock.advance(0)
        while not task.done():
            assert self.services.waiting
            self.services.answer(0)
            await self.clock.advance(0)
        return task.result()


def check_gathered(gathered: scatter_gather.GatherResult, wrong_ranges) -> None:
    """Recomputes the snapshot and coverage of a result from its records."""
    texts = [json.loads(part.records) for part in gathered.parts]
    assert [service for service, _ in texts] == list(gathered.coverage.covered)
    assert len({text for _, text in texts}) <= 1
    keys = set()
    count = 0
    for service, text in texts:
        epoch = messages.parse_snapshot(text).epoch
        low, high = wrong_ranges.get(service, divide_key_space(epoch)[service])
        keys.update(range(low, high))
        count += high - low
    assert len(keys) == count
    assert gathered.coverage.key_share == count / messages.KEY_SPACE
    missing = {each.service for each in gathered.coverage.missing}
    assert missing | set(gathered.coverage.covered) == set(SERVICES)
    assert gathered.coverage.complete == (
        count == messages.KEY_SPACE and not missing
    )


async def test_unpinned_parts_of_two_snapshots_are_replanned():
    bench = Bench()
    for name in SERVICES[:2]:
        bench.services.publish(name, make_snapshot(1, 2))
    gathered = await bench.settle(bench.start())
    assert gathered.snapshot == make_snapshot(1, 1)
    assert gathered.coverage.complete


async def test_lost_pinned_snapshot_is_replanned_at_a_newer_one():
    bench = Bench()
    for name in SERVICES:
        bench.table.observe(name, (make_snapshot(1, 1),))
        bench.services.held[name] = [make_snapshot(2, 5)]
    gathered = await bench.settle(bench.start())
    assert gathered.snapshot == make_snapshot(2, 5)
    assert gathered.coverage.complete


async def test_service_that_lost_the_snapshot_moves_the_others():
    bench = Bench()
    for name in SERVICES:
        bench.table.observe(name, (make_snapshot(1, 1),))
        bench.services.held[name] = [make_snapshot(1, 2), make_snapshot(1, 1)]
    bench.services.held["s3"] = [make_snapshot(1, 2)]
    gathered = await bench.settle(bench.start())
    assert gathered.snapshot == make_snapshot(1, 2)
    assert gathered.coverage.complete


async def test_services_with_unknown_snapshots_are_requested_too():
    bench = Bench()
    task = bench.start()
    await bench.clock.advance(0)
    for _ in range(3):
        bench.services.answer(0)
    await bench.clock.advance(0)
    for name in SERVICES:
        bench.services.held[name] = [make_snapshot(1, 2)]
    gathered = await bench.settle(task)
    assert gathered.snapshot == make_snapshot(1, 2)
    assert gathered.coverage.complete


async def test_kept_parts_are_not_requested_again():
    bench = Bench()
    for name in SERVICES[:3]:
        bench.services.publish(name, make_snapshot(1, 2))
    bench.services.held["s3"] = [make_snapshot(1, 1)]
    await bench.settle(bench.start())
    requested = [request.service for request in bench.services.sent]
    assert requested.count("s3") == 1


async def test_replans_are_bounded():
    bench = Bench()
    task = bench.start()
    await bench.clock.advance(0)
    limit = len(SERVICES) * (scatter_gather.MAX_REPLANS + 2)
    for version in range(2, limit + 3):
        if task.done():
            break
        bench.services.answer(0)
        for name in SERVICES:
            bench.services.held[name] = [make_snapshot(1, version)]
        await bench.clock.advance(0)
    assert task.done()
    assert len(bench.services.sent) <= limit
    check_gathered(task.result(), {})


async def test_overlap_is_not_complete():
    bench = Bench()
    first = divide_key_space(1)
    low, high = first["s1"]
    bench.services.wrong_ranges = {"s1": messages.KeyRange(low - 1, high)}
    gathered = await bench.settle(bench.start())
    assert not gathered.coverage.complete
    check_gathered(gathered, bench.services.wrong_ranges)


async def test_gap_is_not_complete():
    bench = Bench()
    low, high = divide_key_space(1)["s1"]
    bench.services.wrong_ranges = {"s1": messages.KeyRange(low, high - 1)}
    gathered = await bench.settle(bench.start())
    assert not gathered.coverage.missing
    assert not gathered.coverage.complete


async def test_run_once_request_is_sent_once():
    kind = KIND._replace(services=("s0",), repeatable=False)
    bench = Bench(kind)
    bench.table.observe("s0", (make_snapshot(1, 9),))
    bench.services.held["s0"] = [make_snapshot(1, 1)]
    gathered = await bench.settle(bench.start())
    assert len(bench.services.sent) == 1
    assert gathered.snapshot == make_snapshot(1, 1)


def make_problem(kind: errors.ProblemKind) -> errors.Problem:
    return errors.Problem(kind, "s0", "Not now.", "Later.")


async def run_with_refusals(
    bench, kind, refusals
) -> scatter_gather.GatherResult:
    """Runs a query that one service refuses a number of times."""
    task = bench.start()
    await bench.clock.advance(0)
    while not task.done():
        request, future = bench.services.waiting.pop(0)
        result = bench.services._make_result(request, False)
        if request.service == "s0" and refusals:
            refusals -= 1
            result = messages.SubResult(
                request.sub_id,
                "s0",
                messages.SubOutcome.NOT_RUN,
                problem=make_problem(kind),
            )
        future.set_result(result)
        await bench.clock.advance(0.0 if bench.services.waiting else 0.2)
    return task.result()


@pytest.mark.parametrize("refusals", [1, len(scatter_gather.RESEND_DELAYS_S)])
async def test_request_to_service_briefly_without_owner_is_resent(refusals):
    kind = errors.ProblemKind.PEER_UNREACHABLE
    gathered = await run_with_refusals(Bench(), kind, refusals)
    assert gathered.coverage.complete
    assert not gathered.timed_out


async def test_resends_are_bounded():
    bench = Bench()
    kind = errors.ProblemKind.NO_BACKEND_SERVER
    gathered = await run_with_refusals(bench, kind, 100)
    requested = [request.service for request in bench.services.sent]
    assert requested.count("s0") == 1 + len(scatter_gather.RESEND_DELAYS_S)
    assert gathered.coverage.missing[0].problem == make_problem(kind)


async def test_request_to_overloaded_service_is_not_resent():
    bench = Bench()
    await run_with_refusals(bench, errors.ProblemKind.OVERLOADED, 1)
    assert len(bench.services.sent) == len(SERVICES)


async def test_sub_request_waiting_for_its_resend_has_not_run():
    kind = KIND._replace(services=("s0",), deadline_ms=100)
    bench = Bench(kind)
    task = bench.start()
    await bench.clock.advance(0)
    for _ in range(2):
        request, future = bench.services.waiting.pop(0)
        problem = make_problem(errors.ProblemKind.PEER_UNREACHABLE)
        outcome = messages.SubOutcome.NOT_RUN
        future.set_result(
            messages.SubResult(request.sub_id, "s0", outcome, problem=problem)
        )
        await bench.clock.advance(0.035)
    await bench.clock.advance(0.1)
    assert not task.result().may_have_run


async def test_result_of_another_request_violates_an_invariant():
    bench = Bench()
    task = bench.start()
    await bench.clock.advance(0)
    _, other = bench.services.waiting[0]
    request, _ = bench.services.waiting[1]
    other.set_result(bench.services._make_result(request, False))
    await bench.clock.advance(0)
    assert isinstance(task.exception(), invariants_module.BreachError)


class ScatterGatherMachine(stateful.RuleBasedStateMachine):
    """Runs a query while services publish, drop and repartition."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.bench = Bench()
        self.newest = make_snapshot(1, 1)
        self.changed = False
        self.failed = False
        self.task = None

    @stateful.initialize(known=strategies.booleans())
    def start(self, known):
        if known:
            for name in SERVICES:
                self.bench.table.observe(name, (make_snapshot(1, 1),))
        self.run(self._start())

    async def _start(self):
        self.task = self.bench.start()
        await self.bench.clock.advance(0)

    @stateful.rule(repartitions=strategies.booleans())
    def create_snapshot(self, repartitions):
        epoch, version = self.newest
        self.newest = make_snapshot(epoch + repartitions, version + 1)

    @stateful.rule(name=strategies.sampled_from(SERVICES))
    def publish(self, name):
        self.changed |= self.newest > self.bench.services.held[name][0]
        self.bench.services.publish(name, self.newest)

    @stateful.rule(name=strategies.sampled_from(SERVICES))
    def drop_old_snapshots(self, name):
        held = self.bench.services.held
        self.changed |= len(held[name]) > 1
        held[name] = held[name][:1]

    @stateful.rule(
        name=strategies.sampled_from(SERVICES),
        low=strategies.integers(0, messages.KEY_SPACE - 1),
    )
    def report_wrong_range(self, name, low):
        wrong = messages.KeyRange(low, messages.KEY_SPACE)
        self.changed = True
        self.bench.services.wrong_ranges = {name: wrong}

    @stateful.precondition(lambda self: self.bench.services.waiting)
    @stateful.rule(position=strategies.integers(0, 20))
    def answer(self, position):
        self.bench.services.answer(position)
        self.run(self.bench.clock.advance(0))

    @stateful.precondition(lambda self: self.bench.services.waiting)
    @stateful.rule(position=strategies.integers(0, 20))
    def fail(self, position):
        self.failed = True
        self.bench.services.answer(position, fails=True)
        self.run(self.bench.clock.advance(0))

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.5, 2.0]))
    def wait(self, seconds):
        self.failed = True
        self.run(self.bench.clock.advance(seconds))

    @stateful.invariant()
    def check_request_limit(self):
        limit = len(SERVICES) * (scatter_gather.MAX_REPLANS + 2)
        assert len(self.bench.services.sent) <= limit

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def teardown(self):
        try:
            if self.task is None:
                return
            gathered = self.run(self.bench.settle(self.task))
            # A wrong range may be corrected between two parts, so results are
            # checked only if there was no wrong range.
            if not self.bench.services.wrong_ranges:
                check_gathered(gathered, {})
            if not self.changed and not self.failed:
                assert gathered.coverage.complete
        finally:
            self.loop.close()


ScatterGatherMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=25
)
TestScatterGatherMachine = ScatterGatherMachine.TestCase


async def test_query_that_cannot_reach_its_floor_ends_at_once():
    bench = Bench(KIND._replace(coverage_floor=1.0))
    task = bench.start()
    await bench.clock.advance(0)
    bench.services.answer(0)
    await bench.clock.advance(0)
    assert not task.done()
    bench.services.answer(0, fails=True)
    await bench.clock.advance(0)
    gathered = task.result()
    assert not gathered.timed_out
    assert gathered.coverage.covered == ("s0",)
    assert all(future.cancelled() for _, future in bench.services.waiting)


async def test_query_without_a_floor_waits_for_the_other_services():
    bench = Bench()
    task = bench.start()
    await bench.clock.advance(0)
    bench.services.answer(0, fails=True)
    gathered = await bench.settle(task)
    assert gathered.coverage.covered == ("s1", "s2", "s3")
