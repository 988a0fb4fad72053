"""Scatter and gather of one query.

Each service gets a sub-request in a task of its own.  Parts are kept apart by
the snapshot that they come from and only parts of one snapshot make an answer.
When a service no longer has the snapshot, or parts differ, the query is
planned again at the newest snapshot that most services can serve, a bounded
number of times; parts that already come from it are kept.
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

# Times that a query may move to another snapshot.
MAX_REPLANS = 3
# Waits before a sub-request that was not run is sent again.
RESEND_WAITS_S = (0.03, 0.06, 0.12)

Dispatch = Callable[[messages.SubRequest], Awaitable[messages.SubResult]]

RAN_NOWHERE = frozenset(
    {messages.SubOutcome.NOT_RUN, messages.SubOutcome.SNAPSHOT_GONE}
)
# Reasons for not running a sub-request that are likely to pass.
_PASSING = frozenset(
    {
        errors.ProblemKind.PEER_UNREACHABLE,
        errors.ProblemKind.NO_BACKEND_SERVER,
    }
)


class Gathered(NamedTuple):
    """What a query gathered.

    Attributes:
      snapshot: The snapshot of the parts; None if there are none.
      parts: The parts, all of that snapshot, in the kind's order.
      coverage: What they cover.
      may_have_run: Whether any backend server may have run any of it.
      timed_out: Whether the time was up before every service had answered.
      queue_waits_s: Waits at the owners in seconds, as far as known.
    """

    snapshot: messages.Snapshot | None
    parts: tuple[caller.Part, ...]
    coverage: caller.Coverage
    may_have_run: bool
    timed_out: bool
    queue_waits_s: tuple[float, ...]


class Gather:
    """One query under way.

    Args:
      plan: The query's plan.
      clock: The source of time.
      invariants: Checks of the promises.
      dispatch: Runs one sub-request.
      snapshots: What the services can serve.
      make_sub_id: Gives a fresh name for a sub-request.
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
        self._arrivals: asyncio.Queue[_Arrival | None] = asyncio.Queue()
        self._running: dict[str, _Running] = {}
        self._asked: set[tuple[str, messages.Snapshot | None]] = set()
        self._parts: dict[messages.Snapshot, dict[str, messages.SubResult]] = {}
        self._problems: dict[str, errors.Problem] = {}
        self._target: messages.Snapshot | None = None
        self._replans_left = MAX_REPLANS
        self._resends: collections.Counter[str] = collections.Counter()
        self._lost: set[str] = set()
        self._outcomes_open = 0
        self._may_have_run = False
        self._queue_waits_s: list[float] = []

    async def run(self) -> Gathered:
        """Asks every service and returns what came by the answer time."""
        timer = asyncio.create_task(self._wait_for_answer_time())
        try:
            self._target = self._choose_pin()
            for service in self._plan.kind.services:
                self._ask(service)
            timed_out = await self._collect()
        finally:
            timer.cancel()
            for running in self._running.values():
                running.task.cancel()
        return self._conclude(timed_out)

    def _choose_pin(self) -> messages.Snapshot | None:
        """Returns the snapshot to pin at first.

        What may run once only is sent unpinned, since a refusal over the
        snapshot would only cost it time.
        """
        if not self._plan.kind.repeatable:
            return None
        return self._snapshots.choose(self._plan.kind.services)

    async def _wait_for_answer_time(self) -> None:
        """Ends the collecting when the time is up."""
        await self._clock.sleep(self._plan.answer_at - self._clock.monotonic())
        self._arrivals.put_nowait(None)

    async def _collect(self) -> bool:
        """Takes results until nothing is under way; True if time ran out."""
        while self._running:
            arrival = await self._arrivals.get()
            if arrival is None:
                return True
            self._take(arrival)
            if not self._can_reach_floor():
                self._explain_given_up()
                return False
            if not self._running:
                self._try_newer_snapshot()
        return False

    def _can_reach_floor(self) -> bool:
        """Returns whether the answer may still cover what its kind asks for.

        What the others serve is of no use to a query that cannot, so they are
        let go and its caller is told at once.  How many keys a lost service
        holds is not known; one is the least.
        """
        reachable = messages.KEY_SPACE - len(self._lost)
        floor = self._plan.kind.coverage_floor * messages.KEY_SPACE
        return reachable >= floor

    def _explain_given_up(self) -> None:
        """Notes why the services still under way give nothing."""
        for service in self._running:
            self._problems[service] = errors.Problem(
                errors.ProblemKind.COVERAGE_TOO_LOW,
                service,
                "It was given up, since others had failed already.",
                "See the problems of the other services.",
            )

    def _ask(self, service: str) -> None:
        """Starts the sub-request to a service, once for each snapshot."""
        if (service, self._target) in self._asked:
            return
        self._asked.add((service, self._target))
        self._start(service, self._target, 0.0)

    def _start(
        self,
        service: str,
        snapshot: messages.Snapshot | None,
        wait_s: float,
    ) -> None:
        """Starts a task that sends a sub-request after a wait."""
        sub_id = self._make_sub_id()
        task = asyncio.create_task(
            self._send(sub_id, service, snapshot, wait_s)
        )
        self._running[service] = _Running(sub_id, snapshot, task)
        self._lost.discard(service)

    async def _send(
        self,
        sub_id: str,
        service: str,
        snapshot: messages.Snapshot | None,
        wait_s: float,
    ) -> None:
        """Runs one sub-request, straight down."""
        if wait_s > 0:
            await self._clock.sleep(wait_s)
        request = plan_module.make_sub_request(
            self._plan,
            sub_id=sub_id,
            service=service,
            snapshot=snapshot,
            now=self._clock.monotonic(),
        )
        self._outcomes_open += 1
        result = await self._dispatch(request)
        self._arrivals.put_nowait(_Arrival(request, result))

    def _ask_again(
        self, request: messages.SubRequest, result: messages.SubResult
    ) -> bool:
        """Sends what was not run once more, if that is likely to help.

        A service whose owner has just gone or whose servers are all away for
        the moment is worth a few tries; an overloaded one is not.

        Returns:
          Whether it is sent again.
        """
        if result.outcome is not messages.SubOutcome.NOT_RUN:
            return False
        if result.problem is None or result.problem.kind not in _PASSING:
            return False
        resends = self._resends[request.service]
        if resends == len(RESEND_WAITS_S):
            return False
        wait_s = RESEND_WAITS_S[resends]
        if self._clock.monotonic() + wait_s >= self._plan.results_at:
            return False
        self._resends[request.service] += 1
        self._start(request.service, request.snapshot, wait_s)
        return True

    def _take(self, arrival: "_Arrival") -> None:
        """Takes one result and asks again where the snapshot has moved."""
        request, result = arrival
        running = self._running.get(request.service)
        if running is None or running.sub_id != request.sub_id:
            # It was given up before its task could be cancelled.
            return
        del self._running[request.service]
        self._account(request, result)
        if result.outcome is messages.SubOutcome.SERVED:
            self._keep(result)
            if self._target is None:
                self._target = result.snapshot
            moved = result.snapshot != self._target
        else:
            self._problems[result.service] = _explain(result)
            if self._ask_again(request, result):
                return
            moved = result.outcome is messages.SubOutcome.SNAPSHOT_GONE
            if not moved:
                self._lost.add(result.service)
        if moved:
            self._move(self._snapshots.choose(self._plan.kind.services))

    def _account(
        self, request: messages.SubRequest, result: messages.SubResult
    ) -> None:
        """Checks whose result it is and notes what it tells."""
        self._invariants.check(
            invariants_module.Invariant.RIGHT_CALLER,
            (result.sub_id, result.service)
            == (request.sub_id, request.service),
            f"{request.sub_id} got the result of {result.sub_id}",
        )
        if result.outcome in RAN_NOWHERE:
            self._outcomes_open -= 1
        else:
            self._may_have_run = True
        self._queue_waits_s.append(result.queue_wait_s)
        self._snapshots.observe(result.service, result.available)

    def _keep(self, result: messages.SubResult) -> None:
        """Keeps a part beside the others of its snapshot."""
        parts = self._parts.setdefault(result.snapshot, {})
        parts[result.service] = result
        self._problems.pop(result.service, None)

    def _move(self, target: messages.Snapshot | None) -> None:
        """Asks whatever the answer at a snapshot still lacks."""
        if not self._plan.kind.repeatable:
            return
        if target is not None and target != self._target:
            if self._replans_left == 0:
                return
            self._replans_left -= 1
            self._target = target
        held = self._parts.get(self._target, {})
        for service in self._plan.kind.services:
            if service in held or self._may_still_serve(service):
                continue
            self._give_up(service)
            self._ask(service)

    def _may_still_serve(self, service: str) -> bool:
        """Returns whether the sub-request under way may give the snapshot."""
        running = self._running.get(service)
        if running is None:
            return False
        if running.snapshot is not None:
            return running.snapshot == self._target
        # An unpinned one gives the service's newest snapshot.
        known = self._snapshots.find(service)
        return not known or known[0] == self._target

    def _give_up(self, service: str) -> None:
        """Cancels the sub-request under way to a service."""
        running = self._running.pop(service, None)
        if running is not None:
            running.task.cancel()

    def _try_newer_snapshot(self) -> None:
        """Moves on for services that have only newer snapshots left.

        Comes when nothing is under way and the answer lacks a service that
        has lost the snapshot: the others are asked again at the newer one.
        """
        held = self._parts.get(self._target, {})
        newer = [
            snapshot
            for service in self._plan.kind.services
            if service not in held
            for snapshot in self._snapshots.find(service)[:1]
            if self._target is None or snapshot > self._target
        ]
        if newer:
            self._move(max(newer))

    def _conclude(self, timed_out: bool) -> Gathered:
        """Makes up the answer from the snapshot that covers most."""
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
        held = self._parts.get(snapshot, {})
        self._check_promises(snapshot, held, total)
        return Gathered(
            snapshot=snapshot,
            parts=tuple(
                caller.Part(service, held[service].part)
                for service in total.covered
            ),
            coverage=total,
            may_have_run=self._may_have_run or self._outcomes_open > 0,
            timed_out=timed_out,
            queue_waits_s=tuple(self._queue_waits_s),
        )

    def _assess(self, snapshot: messages.Snapshot | None) -> caller.Coverage:
        """Returns what the parts of a snapshot cover."""
        held = self._parts.get(snapshot, {})
        return coverage.assess_coverage(
            self._plan.kind.services, held, self._problems
        )

    def _check_promises(self, snapshot, held, total: caller.Coverage) -> None:
        """Checks that the parts are of one snapshot and truly counted."""
        merged = [held[service] for service in total.covered]
        self._invariants.check(
            invariants_module.Invariant.ONE_SNAPSHOT,
            all(part.snapshot == snapshot for part in merged),
            self._plan.query_id,
        )
        self._invariants.check(
            invariants_module.Invariant.TRUE_COVERAGE,
            not total.complete or _fill_key_space(merged),
            self._plan.query_id,
        )


class _Running(NamedTuple):
    """A sub-request under way, with its task."""

    sub_id: str
    snapshot: messages.Snapshot | None
    task: asyncio.Task[None]


class _Arrival(NamedTuple):
    """A result, with the sub-request that it came for."""

    request: messages.SubRequest
    result: messages.SubResult


def _fill_key_space(parts: list[messages.SubResult]) -> bool:
    """Returns whether the keys of parts follow each other from end to end."""
    ranges = sorted(part.key_range for part in parts)
    ends = [0, *(each.high for each in ranges)]
    starts = [*(each.low for each in ranges), messages.KEY_SPACE]
    return ends == starts


def _explain(result: messages.SubResult) -> errors.Problem:
    """Returns why a service gave no part."""
    if result.problem is not None:
        return result.problem
    return errors.Problem(
        errors.ProblemKind.BACKEND_FAILED,
        result.service,
        "It failed without a reason.",
        "Ask again.",
    )
