"""Execution of one sub-request at the owner, from the queue to the result.

An execution waits for a slot, sends an attempt, hedges it if it is slow, and
retries if that is allowed.  Attempts still in flight when the result is known
are cancelled at the backend servers.
"""

import asyncio
import itertools
from typing import NamedTuple

from eelgrasshall import clock as clocks
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import attempts
from eelgrasshall.coordination import budget as budgets
from eelgrasshall.coordination import hedge as hedges
from eelgrasshall.coordination import quarantine as quarantines
from eelgrasshall.coordination import queue as queues
from eelgrasshall.coordination import retry
from eelgrasshall.coordination import selection
from eelgrasshall.protocol import backend
from eelgrasshall.protocol import messages
from eelgrasshall.state import directory as directories
from eelgrasshall.transport import backends


class ServiceContext(NamedTuple):
    """What the executions of one service share.

    Attributes:
      clock: Source of time.
      invariants: Where the at-most-once and not-run invariants are checked.
      directory: Records of the backend servers.
      quarantine: Suspect and quarantined requests.
      queue: The service's queue.
      runner: Runs the service's attempts.
      hedger: Decides on the service's hedges.
      retry_budget: The service's retry budget.
    """

    clock: clocks.Clock
    invariants: invariants_module.InvariantChecker
    directory: directories.Directory
    quarantine: quarantines.Quarantine
    queue: queues.SlotQueue
    runner: attempts.AttemptRunner
    hedger: hedges.Hedger
    retry_budget: budgets.ExtraAttemptBudget


class Execution:
    """Executes one sub-request.

    Args:
      request: The sub-request.
      context: What the service's executions share.
    """

    def __init__(
        self, *, request: messages.SubRequest, context: ServiceContext
    ):
        self._request = request
        self._context = context
        self._clock = context.clock
        now = self._clock.monotonic()
        self._admitted_s = now - request.age_s
        self._deadline_s = now + request.budget_s
        self._attempts: list[attempts.RunningAttempt] = []
        self._hedge_tasks: list[asyncio.Task] = []
        self._sent_hedges: set[asyncio.Task | None] = set()
        self._snapshot_gone = False
        self._attempt_numbers = itertools.count()
        self._queue_wait_s = 0.0
        self._may_have_run = False
        self._excluded: set[str] = set()
        self._avoided: set[str] = set()

    async def run(self) -> messages.SubResult:
        """Executes the sub-request and returns its only result."""
        self._context.hedger.budget.deposit()
        self._context.retry_budget.deposit()
        try:
            return await self._run()
        finally:
            for task in self._hedge_tasks:
                task.cancel()
            for attempt in self._attempts:
                self._context.runner.abandon(attempt)

    async def _run(self) -> messages.SubResult:
        """Tries until there is a result or no retry is allowed."""
        while True:
            result = await self._try()
            if result is not None:
                return result
            result = self._find_final_result()
            if result is not None:
                return result

    async def _try(self) -> messages.SubResult | None:
        """Tries once, with hedges; returns None if there is no result yet."""
        quarantine = self._context.quarantine
        fingerprint = self._request.fingerprint
        decision = quarantine.check(fingerprint)
        if decision is quarantines.Decision.FREE:
            return await self._try_hedged()
        if decision is quarantines.Decision.REFUSED:
            return self._make_unserved_result(
                quarantine.describe_rejection(fingerprint)
            )
        async with quarantine.get_isolation_lock(fingerprint):
            if quarantine.check(fingerprint) is quarantines.Decision.ALONE:
                return await self._try_isolated()
        return None

    async def _try_hedged(self) -> messages.SubResult | None:
        """Sends an attempt and hedges it if it is slow."""
        lease = await self._acquire(self._make_slot_request())
        if isinstance(lease, errors.Problem):
            return self._make_unserved_result(lease)
        attempt = self._send(lease)
        pending: set[asyncio.Task] = {attempt.task}
        hedge_s = self._compute_hedge_time()
        while pending:
            wake_s = min(hedge_s, self._deadline_s)
            done = await self._wait(pending, wake_s)
            pending -= done
            for task in done:
                attempt_result = task.result()
                result = (
                    None
                    if attempt_result is None
                    else self._handle_attempt_result(attempt_result)
                )
                if result is not None:
                    return result
            if self._is_suspect():
                pending -= self._cancel_queued_hedges()
            now = self._clock.monotonic()
            if now >= self._deadline_s:
                self._may_have_run = True
                return self._make_unserved_result(
                    self._describe_expired_deadline()
                )
            if now >= hedge_s and pending:
                if self._may_hedge() and self._context.hedger.try_withdraw():
                    pending.add(self._start_hedge())
                hedge_s = self._compute_hedge_time()
        return None

    async def _try_isolated(self) -> messages.SubResult | None:
        """Sends a suspect request to a server with nothing else in flight."""
        slot_request = self._make_slot_request()._replace(isolated=True)
        lease = await self._acquire(slot_request)
        if isinstance(lease, errors.Problem):
            return self._make_unserved_result(lease)
        attempt = self._send(lease)
        await self._wait({attempt.task}, self._deadline_s)
        if not attempt.task.done():
            self._may_have_run = True
            return self._make_unserved_result(self._describe_expired_deadline())
        return self._handle_attempt_result(attempt.task.result())

    def _start_hedge(self) -> asyncio.Task[attempts.AttemptResult | None]:
        """Starts a hedge of the attempts in flight."""
        task = asyncio.get_running_loop().create_task(self._hedge())
        self._hedge_tasks.append(task)
        return task

    async def _hedge(self) -> attempts.AttemptResult | None:
        """Sends a hedge to another replica; returns None if it gets no slot."""
        busy = frozenset(
            attempt.lease.record.name for attempt in self._attempts
        )
        slot_request = self._make_slot_request()
        slot_request = slot_request._replace(
            hedge=True, excluded=slot_request.excluded | busy
        )
        lease = None
        try:
            lease = await self._context.queue.acquire(slot_request)
        finally:
            if not isinstance(lease, queues.Lease):
                self._context.hedger.budget.refund()
        if not isinstance(lease, queues.Lease):
            return None
        self._sent_hedges.add(asyncio.current_task())
        attempt = self._send(lease)
        return await asyncio.shield(attempt.task)

    def _cancel_queued_hedges(self) -> set[asyncio.Task]:
        """Cancels hedges without a slot and returns their tasks."""
        stopped = {t for t in self._hedge_tasks if t not in self._sent_hedges}
        for task in stopped:
            task.cancel()
        return stopped

    def _may_hedge(self) -> bool:
        """Returns whether another hedge may be started.

        While a hedge still waits for its slot, another one would not help.
        """
        if len(self._sent_hedges) < len(self._hedge_tasks):
            return False
        return not self._is_suspect()

    def _is_suspect(self) -> bool:
        """Returns whether the request may have crashed a backend server."""
        decision = self._context.quarantine.check(self._request.fingerprint)
        return decision is not quarantines.Decision.FREE

    def _compute_hedge_time(self) -> float:
        """Returns when to send the next hedge; infinity if never."""
        delay_s = self._context.hedger.compute_delay_s(
            repeatable=self._request.repeatable,
            hedge_count=len(self._hedge_tasks),
        )
        if delay_s is None:
            return float("inf")
        return self._clock.monotonic() + delay_s

    async def _acquire(
        self, slot_request: selection.SlotRequest
    ) -> queues.Lease | errors.Problem:
        """Waits for a slot and adds the wait to the queue wait."""
        start_s = self._clock.monotonic()
        lease = await self._context.queue.acquire(slot_request)
        self._queue_wait_s += self._clock.monotonic() - start_s
        return lease

    def _make_slot_request(self) -> selection.SlotRequest:
        """Returns the slot request of an attempt that is no hedge."""
        request = self._request
        return selection.SlotRequest(
            attempt_id=f"{request.sub_id}.{next(self._attempt_numbers)}",
            fingerprint=request.fingerprint,
            admitted_s=self._admitted_s,
            deadline_s=self._deadline_s,
            snapshot=request.snapshot,
            repeatable=request.repeatable,
            excluded=frozenset(self._excluded),
            avoided=frozenset(self._avoided),
        )

    def _send(self, lease: queues.Lease) -> attempts.RunningAttempt:
        """Sends an attempt on a slot."""
        self._context.invariants.check(
            invariants_module.Invariant.AT_MOST_ONCE,
            self._request.repeatable
            or not (self._may_have_run or self._has_attempt_in_flight()),
            self._request.sub_id,
        )
        attempt = self._context.runner.start(
            lease, self._request, self._deadline_s
        )
        self._attempts.append(attempt)
        return attempt

    def _has_attempt_in_flight(self) -> bool:
        """Returns whether any attempt is still in flight."""
        return any(not attempt.task.done() for attempt in self._attempts)

    async def _wait(
        self, pending: set[asyncio.Task], until_s: float
    ) -> set[asyncio.Task]:
        """Waits until an attempt ends or the clock reads `until_s`."""
        remaining_s = until_s - self._clock.monotonic()
        loop = asyncio.get_running_loop()
        timer = loop.create_task(self._clock.sleep(remaining_s))
        try:
            done, _ = await asyncio.wait(
                {*pending, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
        return done - {timer}

    def _handle_attempt_result(
        self, attempt_result: attempts.AttemptResult
    ) -> messages.SubResult | None:
        """Returns the result if an attempt decides it, else None."""
        server = attempt_result.lease.record.name
        outcome = attempt_result.outcome
        if isinstance(outcome, backends.BackendFailure):
            self._may_have_run |= not outcome.not_run
            self._avoided.add(server)
            return None
        if outcome.served:
            # The server did not crash, so the request is no suspect.
            self._context.quarantine.clear_suspect(self._request.fingerprint)
            return self._make_served_result(attempt_result, outcome)
        if outcome.status == backend.SNAPSHOT_GONE:
            self._excluded.add(server)
            self._snapshot_gone = True
            return None
        self._may_have_run |= not outcome.not_run
        self._avoided.add(server)
        return None

    def _make_served_result(
        self,
        attempt_result: attempts.AttemptResult,
        response: backend.BackendResponse,
    ) -> messages.SubResult:
        """Returns the result of a served sub-request."""
        return self._make_result(messages.SubOutcome.SERVED)._replace(
            part=response.part,
            snapshot=response.snapshot,
            key_range=response.key_range,
            server=attempt_result.lease.record.name,
            server_warm=attempt_result.warm,
        )

    def _find_final_result(self) -> messages.SubResult | None:
        """Returns the result if no retry is allowed, else None."""
        fingerprint = self._request.fingerprint
        quarantine = self._context.quarantine
        if quarantine.check(fingerprint) is quarantines.Decision.REFUSED:
            return self._make_unserved_result(
                quarantine.describe_rejection(fingerprint)
            )
        if self._snapshot_gone:
            # Not counted as a retry: each replica is asked at most once.
            self._snapshot_gone = False
            return None
        retry_problem = retry.find_retry_problem(
            service=self._request.service,
            repeatable=self._request.repeatable,
            may_have_run=self._may_have_run,
            attempts=len(self._attempts),
            remaining_s=self._deadline_s - self._clock.monotonic(),
            budget=self._context.retry_budget,
        )
        return (
            None
            if retry_problem is None
            else self._make_unserved_result(retry_problem)
        )

    def _make_unserved_result(
        self, problem: errors.Problem
    ) -> messages.SubResult:
        """Returns the result of a sub-request that was not served."""
        self._context.invariants.check(
            invariants_module.Invariant.NOT_RUN_IS_TRUE,
            self._may_have_run
            or all(map(_is_certainly_not_run, self._attempts)),
            self._request.sub_id,
        )
        if self._may_have_run:
            outcome = messages.SubOutcome.FAILED
        elif problem.kind is errors.ProblemKind.SNAPSHOT_UNAVAILABLE:
            outcome = messages.SubOutcome.SNAPSHOT_GONE
        else:
            outcome = messages.SubOutcome.NOT_RUN
        return self._make_result(outcome)._replace(problem=problem)

    def _describe_expired_deadline(self) -> errors.Problem:
        """Returns the problem of a deadline that passed during an attempt."""
        return errors.Problem(
            errors.ProblemKind.DEADLINE_EXCEEDED,
            f"services.{self._request.service}",
            "The deadline passed while the request was running.",
            "Retry with a longer deadline.",
        )

    def _make_result(self, outcome: messages.SubOutcome) -> messages.SubResult:
        """Returns a result without a part."""
        return messages.SubResult(
            sub_id=self._request.sub_id,
            service=self._request.service,
            outcome=outcome,
            available=self._context.directory.list_snapshots(
                self._request.service
            ),
            queue_wait_s=self._queue_wait_s,
            attempts=len(self._attempts),
            hedges=len(self._sent_hedges),
        )


def _is_certainly_not_run(attempt: attempts.RunningAttempt) -> bool:
    """Returns whether an attempt has ended and certainly did not run."""
    if not attempt.task.done():
        return False
    outcome = attempt.task.result().outcome
    if isinstance(outcome, backends.BackendFailure):
        return outcome.not_run
    return outcome.not_run or outcome.status == backend.SNAPSHOT_GONE
