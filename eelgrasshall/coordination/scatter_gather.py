"""Scatter-gather of one query.

Each service receives a sub-request in a task of its own.  Parts are grouped by
the snapshot that they come from, and only parts of one snapshot form an
answer.  If a service no longer has the snapshot, or if parts come from
different snapshots, the query is replanned at the newest snapshot that most
services can serve, a limited number of times.  Parts that already come from
that snapshot are kept.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import coverage
from eelgrasshall.coordination import plan as plan_module
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import messages
from eelgrasshall.state import snapshots as snapshots_module

# How often a query may move to another snapshot.
MAX_REPLANS = 3
# Delays before each resend of a sub-request that was not run.
RESEND_DELAYS_S = (0.03, 0.06, 0.12)

Dispatch = Callable[[messages.SubRequest], Awaitable[messages.SubResult]]

# Outcomes that prove that no backend server has run the sub-request.
NOT_RUN_OUTCOMES = frozenset(
    {messages.SubOutcome.NOT_RUN, messages.SubOutcome.SNAPSHOT_GONE}
)
# Problems of sub-requests that were not run that are likely to be transient.
_TRANSIENT_PROBLEMS = frozenset(
    {
        errors.ProblemKind.PEER_UNREACHABLE,
        errors.ProblemKind.NO_BACKEND_SERVER,
    }
)


class GatherResult(NamedTuple):
    """The combined result of a query's sub-requests.

    Attributes:
      snapshot: The snapshot of the parts; None if there are none.
      parts: The parts, all of that snapshot, in the order of the kind.
      coverage: The coverage of the parts.
      may_have_run: Whether any backend server may have run a sub-request.
      timed_out: Whether time ran out before every service had answered.
      queue_waits_s: Queue waits at the owners in seconds, as far as known.
    """

    snapshot: messages.Snapshot | None
    parts: tuple[caller.Part, ...]
    coverage: caller.Coverage
    may_have_run: bool
    timed_out: bool
    queue_waits_s: tuple[float, ...]


class ScatterGather:
    """Runs the sub-requests of one query.

    Args:
      plan: The query's plan.
      clock: The clock.
      invariants: Checks the runtime invariants.
      dispatch: Runs one sub-request.
      snapshots: The snapshots that each service can serve.
      make_sub_id: Returns a new unique sub-request id.
    """

    def __init__(
        self,
        *,
        plan: plan_module.Plan,
        clock: clock_module.Clock,
        invariants: invariants_module.InvariantChecker,
        dispatch: Dispatch,
        snapshots: snapshots_module.SnapshotTable,
        make_sub_id: Callable[[], str],
    ):
        self._plan = plan
        self._clock = clock
        self._invariants = invariants
        self._dispatch = dispatch
        self._snapshots = snapshots
        self._make_sub_id = make_sub_id
        # None marks the end of the time for the query.
        self._completions: asyncio.Queue[_Completion | None] = asyncio.Queue()
        self._pending: dict[str, _Pending] = {}
        self._requested: set[tuple[str, messages.Snapshot | None]] = set()
        self._parts: dict[messages.Snapshot, dict[str, messages.SubResult]] = {}
        self._problems: dict[str, errors.Problem] = {}
        self._target: messages.Snapshot | None = None
        self._replans_left = MAX_REPLANS
        self._resends: collections.Counter[str] = collections.Counter()
        self._failed_services: set[str] = set()
        # Dispatched sub-requests that may have run, or may still run.
        self._possible_run_count = 0
        self._may_have_run = False
        self._queue_waits_s: list[float] = []

    async def run(self) -> GatherResult:
        """Queries every service and returns the parts received in time."""
        timer = asyncio.create_task(self._wait_for_answer_time())
        try:
            self._target = self._choose_initial_snapshot()
            for service in self._plan.kind.services:
                self._request_part(service)
            timed_out = await self._collect_results()
        finally:
            timer.cancel()
            for pending in self._pending.values():
                pending.task.cancel()
        return self._make_result(timed_out)

    def _choose_initial_snapshot(self) -> messages.Snapshot | None:
        """Returns the snapshot to pin at first, or None for no pin.

        A run-once request is sent unpinned, because a refusal due to the
        snapshot would only delay it.
        """
        if not self._plan.kind.repeatable:
            return None
        return self._snapshots.choose(self._plan.kind.services)

    async def _wait_for_answer_time(self) -> None:
        """Ends the collection of results when the time is up."""
        await self._clock.sleep(
            self._plan.answer_deadline_s - self._clock.monotonic()
        )
        self._completions.put_nowait(None)

    async def _collect_results(self) -> bool:
        """Processes results until none is pending.

        Returns:
          Whether the time ran out.
        """
        while self._pending:
            completion = await self._completions.get()
            if completion is None:
                return True
            self._handle_completion(completion)
            if not self._can_reach_floor():
                self._record_abandoned()
                return False
            if not self._pending:
                self._try_newer_snapshot()
        return False

    def _can_reach_floor(self) -> bool:
        """Returns whether the kind's minimum coverage can still be reached.

        If it cannot, the results of the other services are of no use, so they
        are cancelled and the caller is answered at once.  The number of keys
        of a failed service is not known; the smallest number, one, is assumed.
        """
        reachable = messages.KEY_SPACE - len(self._failed_services)
        floor = self._plan.kind.coverage_floor * messages.KEY_SPACE
        return reachable >= floor

    def _record_abandoned(self) -> None:
        """Records why the pending services return no part."""
        for service in self._pending:
            self._problems[service] = errors.Problem(
                errors.ProblemKind.COVERAGE_TOO_LOW,
                service,
                "The sub-request was cancelled because other services had "
                "already failed.",
                "See the problems of the other services.",
            )

    def _request_part(self, service: str) -> None:
        """Starts the sub-request to a service, once for each snapshot."""
        if (service, self._target) in self._requested:
            return
        self._requested.add((service, self._target))
        self._start(service, self._target, 0.0)

    def _start(
        self,
        service: str,
        snapshot: messages.Snapshot | None,
        delay_s: float,
    ) -> None:
        """Starts a task that sends a sub-request after a delay."""
        sub_id = self._make_sub_id()
        task = asyncio.create_task(
            self._send(sub_id, service, snapshot, delay_s)
        )
        self._pending[service] = _Pending(sub_id, snapshot, task)
        self._failed_services.discard(service)

    async def _send(
        self,
        sub_id: str,
        service: str,
        snapshot: messages.Snapshot | None,
        delay_s: float,
    ) -> None:
        """Dispatches one sub-request and queues its result."""
        if delay_s > 0:
            await self._clock.sleep(delay_s)
        request = plan_module.make_sub_request(
            self._plan,
            sub_id=sub_id,
            service=service,
            snapshot=snapshot,
            now=self._clock.monotonic(),
        )
        self._possible_run_count += 1
        result = await self._dispatch(request)
        self._completions.put_nowait(_Completion(request, result))

    def _resend(
        self, request: messages.SubRequest, result: messages.SubResult
    ) -> bool:
        """Resends a sub-request that was not run, if that is likely to help.

        A few resends help if the owner of the service has just left or if none
        of its servers is available for the moment.  They do not help an
        overloaded service.

        Returns:
          Whether the sub-request is resent.
        """
        if result.outcome is not messages.SubOutcome.NOT_RUN:
            return False
        if (
            result.problem is None
            or result.problem.kind not in _TRANSIENT_PROBLEMS
        ):
            return False
        resends = self._resends[request.service]
        if resends == len(RESEND_DELAYS_S):
            return False
        delay_s = RESEND_DELAYS_S[resends]
        if self._clock.monotonic() + delay_s >= self._plan.results_deadline_s:
            return False
        self._resends[request.service] += 1
        self._start(request.service, request.snapshot, delay_s)
        return True

    def _handle_completion(self, completion: "_Completion") -> None:
        """Processes one result and replans if the snapshot has changed."""
        request, result = completion
        pending = self._pending.get(request.service)
        if pending is None or pending.sub_id != request.sub_id:
            # The result was queued before its task could be cancelled.
            return
        del self._pending[request.service]
        self._record_result(request, result)
        if result.outcome is messages.SubOutcome.SERVED:
            self._store_part(result)
            if self._target is None:
                self._target = result.snapshot
            must_replan = result.snapshot != self._target
        else:
            self._problems[result.service] = _get_problem(result)
            if self._resend(request, result):
                return
            must_replan = result.outcome is messages.SubOutcome.SNAPSHOT_GONE
            if not must_replan:
                self._failed_services.add(result.service)
        if must_replan:
            self._replan(self._snapshots.choose(self._plan.kind.services))

    def _record_result(
        self, request: messages.SubRequest, result: messages.SubResult
    ) -> None:
        """Checks that a result matches its sub-request and records its data."""
        self._invariants.check(
            invariants_module.Invariant.RIGHT_CALLER,
            (result.sub_id, result.service)
            == (request.sub_id, request.service),
            f"{request.sub_id} got the result of {result.sub_id}",
        )
        if result.outcome in NOT_RUN_OUTCOMES:
            self._possible_run_count -= 1
        else:
            self._may_have_run = True
        self._queue_waits_s.append(result.queue_wait_s)
        self._snapshots.observe(result.service, result.available)

    def _store_part(self, result: messages.SubResult) -> None:
        """Stores a part with the other parts of its snapshot."""
        parts = self._parts.setdefault(result.snapshot, {})
        parts[result.service] = result
        self._problems.pop(result.service, None)

    def _replan(self, target: messages.Snapshot | None) -> None:
        """Requests the parts that are missing at a snapshot.

        Args:
          target: The snapshot to move to; None keeps the current one.
        """
        if not self._plan.kind.repeatable:
            return
        if target is not None and target != self._target:
            if self._replans_left == 0:
                return
            self._replans_left -= 1
            self._target = target
        parts = self._parts.get(self._target, {})
        for service in self._plan.kind.services:
            if service in parts or self._may_return_target(service):
                continue
            self._cancel_pending(service)
            self._request_part(service)

    def _may_return_target(self, service: str) -> bool:
        """Returns whether the pending sub-request may return the target."""
        pending = self._pending.get(service)
        if pending is None:
            return False
        if pending.snapshot is not None:
            return pending.snapshot == self._target
        # An unpinned sub-request returns the service's newest snapshot.
        known = self._snapshots.find(service)
        return not known or known[0] == self._target

    def _cancel_pending(self, service: str) -> None:
        """Cancels the pending sub-request to a service, if any."""
        pending = self._pending.pop(service, None)
        if pending is not None:
            pending.task.cancel()

    def _try_newer_snapshot(self) -> None:
        """Replans if missing services can serve only newer snapshots.

        Called when nothing is pending.  If a service without a part has lost
        the target snapshot, the other services are asked again at the newer
        one.
        """
        parts = self._parts.get(self._target, {})
        newer = [
            snapshot
            for service in self._plan.kind.services
            if service not in parts
            for snapshot in self._snapshots.find(service)[:1]
            if self._target is None or snapshot > self._target
        ]
        if newer:
            self._replan(max(newer))

    def _make_result(self, timed_out: bool) -> GatherResult:
        """Returns the parts of the snapshot with the largest coverage."""
        assessed = [
            (self._assess(snapshot), snapshot) for snapshot in self._parts
        ]
        best = max(
            assessed,
            key=lambda each: (each[0].key_share, each[1]),
            default=None,
        )
        if best is None:
            total, snapshot = self._assess(None), None
        else:
            total, snapshot = best
        parts = self._parts.get(snapshot, {})
        self._check_invariants(snapshot, parts, total)
        return GatherResult(
            snapshot=snapshot,
            parts=tuple(
                caller.Part(service, parts[service].part)
                for service in total.covered
            ),
            coverage=total,
            may_have_run=self._may_have_run or self._possible_run_count > 0,
            timed_out=timed_out,
            queue_waits_s=tuple(self._queue_waits_s),
        )

    def _assess(self, snapshot: messages.Snapshot | None) -> caller.Coverage:
        """Returns the coverage of the parts of a snapshot."""
        parts = self._parts.get(snapshot, {})
        return coverage.assess_coverage(
            self._plan.kind.services, parts, self._problems
        )

    def _check_invariants(
        self, snapshot, parts, total: caller.Coverage
    ) -> None:
        """Checks that the parts share a snapshot and the coverage is true."""
        merged = [parts[service] for service in total.covered]
        self._invariants.check(
            invariants_module.Invariant.ONE_SNAPSHOT,
            all(part.snapshot == snapshot for part in merged),
            self._plan.query_id,
        )
        self._invariants.check(
            invariants_module.Invariant.TRUE_COVERAGE,
            not total.complete or _cover_key_space(merged),
            self._plan.query_id,
        )


class _Pending(NamedTuple):
    """A sub-request without a result yet, with its task."""

    sub_id: str
    snapshot: messages.Snapshot | None
    task: asyncio.Task[None]


class _Completion(NamedTuple):
    """A sub-request with its result."""

    request: messages.SubRequest
    result: messages.SubResult


def _cover_key_space(parts: list[messages.SubResult]) -> bool:
    """Returns whether the parts' key ranges tile the key space exactly."""
    ranges = sorted(part.key_range for part in parts)
    ends = [0, *(each.high for each in ranges)]
    starts = [*(each.low for each in ranges), messages.KEY_SPACE]
    return ends == starts


def _get_problem(result: messages.SubResult) -> errors.Problem:
    """Returns why a service returned no part."""
    if result.problem is not None:
        return result.problem
    return errors.Problem(
        errors.ProblemKind.BACKEND_FAILED,
        result.service,
        "The service failed without giving a reason.",
        "Send the request again.",
    )
