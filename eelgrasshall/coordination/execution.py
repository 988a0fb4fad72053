"""One sub-request at the owner, from the queue to its result.

Straight down: wait for a slot, send, hedge if it takes long, try again if
that is allowed, give the result.  Whatever is still in flight at the end is
cancelled at the backend servers.
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


class Tools(NamedTuple):
    """What the executions of one service share.

    Attributes:
      clock: Source of time.
      invariants: Where single runs and true refusals are checked.
      directory: Records of the backend servers.
      quarantine: Poison requests.
      queue: The service's queue.
      runner: The service's attempts.
      hedger: The service's hedges.
      retries: The service's retry budget.
    """

    clock: clocks.Clock
    invariants: invariants_module.InvariantChecker
    directory: directories.Directory
    quarantine: quarantines.Quarantine
    queue: queues.SlotQueue
    runner: attempts.AttemptRunner
    hedger: hedges.Hedger
    retries: budgets.Budget


class Execution:
    """The course of one sub-request.

    Args:
      request: The sub-request.
      tools: What the service's executions share.
    """

    def __init__(self, *, request: messages.SubRequest, tools: Tools):
        self._request = request
        self._tools = tools
        self._clock = tools.clock
        now = self._clock.monotonic()
        self._admitted_s = now - request.age_s
        self._deadline_s = now + request.budget_s
        self._runs: list[attempts.Run] = []
        self._hedge_tasks: list[asyncio.Task] = []
        self._sent_hedges: set[asyncio.Task | None] = set()
        self._snapshot_gone = False
        self._numbers = itertools.count()
        self._waited_s = 0.0
        self._may_have_run = False
        self._excluded: set[str] = set()
        self._avoided: set[str] = set()

    async def run(self) -> messages.SubResult:
        """Runs the sub-request to its one result."""
        self._tools.hedger.budget.earn()
        self._tools.retries.earn()
        try:
            return await self._run()
        finally:
            for task in self._hedge_tasks:
                task.cancel()
            for run in self._runs:
                self._tools.runner.abandon(run)

    async def _run(self) -> messages.SubResult:
        """Tries until there is a result."""
        while True:
            result = await self._try()
            if result is not None:
                return result
            result = self._find_end()
            if result is not None:
                return result

    async def _try(self) -> messages.SubResult | None:
        """Tries once, hedges included; gives None if it may be tried again."""
        quarantine = self._tools.quarantine
        fingerprint = self._request.fingerprint
        verdict = quarantine.judge(fingerprint)
        if verdict is quarantines.Verdict.FREE:
            return await self._try_beside_others()
        if verdict is quarantines.Verdict.REFUSED:
            return self._give_up(quarantine.explain(fingerprint))
        async with quarantine.turn(fingerprint):
            if quarantine.judge(fingerprint) is quarantines.Verdict.ALONE:
                return await self._try_alone()
        return None

    async def _try_beside_others(self) -> messages.SubResult | None:
        """Sends an attempt in the ordinary way and hedges it."""
        lease = await self._acquire(self._ask())
        if isinstance(lease, errors.Problem):
            return self._give_up(lease)
        run = self._send(lease)
        pending: set[asyncio.Task] = {run.task}
        hedge_s = self._find_hedge_time()
        while pending:
            wake_s = min(hedge_s, self._deadline_s)
            done = await self._wait(pending, wake_s)
            pending -= done
            for task in done:
                reply = task.result()
                result = None if reply is None else self._judge(reply)
                if result is not None:
                    return result
            if self._is_suspect():
                pending -= self._stop_waiting_hedges()
            now = self._clock.monotonic()
            if now >= self._deadline_s:
                self._may_have_run = True
                return self._give_up(self._explain_deadline())
            if now >= hedge_s and pending:
                if self._may_hedge() and self._tools.hedger.take():
                    pending.add(self._start_hedge())
                hedge_s = self._find_hedge_time()
        return None

    async def _try_alone(self) -> messages.SubResult | None:
        """Sends a suspect while nothing else is in flight beside it."""
        ask = self._ask()._replace(alone=True)
        lease = await self._acquire(ask)
        if isinstance(lease, errors.Problem):
            return self._give_up(lease)
        run = self._send(lease)
        await self._wait({run.task}, self._deadline_s)
        if not run.task.done():
            self._may_have_run = True
            return self._give_up(self._explain_deadline())
        return self._judge(run.task.result())

    def _start_hedge(self) -> asyncio.Task[attempts.Reply | None]:
        """Starts a hedge beside the attempts in flight."""
        task = asyncio.get_running_loop().create_task(self._hedge())
        self._hedge_tasks.append(task)
        return task

    async def _hedge(self) -> attempts.Reply | None:
        """Sends a hedge on another replica; None if there is no slot."""
        busy = frozenset(run.lease.record.name for run in self._runs)
        ask = self._ask()
        ask = ask._replace(hedge=True, excluded=ask.excluded | busy)
        lease = None
        try:
            lease = await self._tools.queue.acquire(ask)
        finally:
            if not isinstance(lease, queues.Lease):
                self._tools.hedger.budget.give_back()
        if not isinstance(lease, queues.Lease):
            return None
        self._sent_hedges.add(asyncio.current_task())
        run = self._send(lease)
        return await asyncio.shield(run.task)

    def _stop_waiting_hedges(self) -> set[asyncio.Task]:
        """Stops hedges that have no slot yet; gives their tasks."""
        stopped = {t for t in self._hedge_tasks if t not in self._sent_hedges}
        for task in stopped:
            task.cancel()
        return stopped

    def _may_hedge(self) -> bool:
        """Returns whether nothing speaks against a hedge of this request.

        A hedge that still waits for its slot is as good as a further one.
        """
        if len(self._sent_hedges) < len(self._hedge_tasks):
            return False
        return not self._is_suspect()

    def _is_suspect(self) -> bool:
        """Returns whether a backend server may have died of the request."""
        verdict = self._tools.quarantine.judge(self._request.fingerprint)
        return verdict is not quarantines.Verdict.FREE

    def _find_hedge_time(self) -> float:
        """Returns when to hedge the attempt just sent; infinite if never."""
        delay_s = self._tools.hedger.find_delay(
            repeatable=self._request.repeatable, started=len(self._hedge_tasks)
        )
        if delay_s is None:
            return float("inf")
        return self._clock.monotonic() + delay_s

    async def _acquire(
        self, ask: selection.SlotRequest
    ) -> queues.Lease | errors.Problem:
        """Waits for a slot and notes how long that took."""
        start_s = self._clock.monotonic()
        lease = await self._tools.queue.acquire(ask)
        self._waited_s += self._clock.monotonic() - start_s
        return lease

    def _ask(self) -> selection.SlotRequest:
        """Returns what an ordinary attempt asks of the queue."""
        request = self._request
        return selection.SlotRequest(
            attempt_id=f"{request.sub_id}.{next(self._numbers)}",
            fingerprint=request.fingerprint,
            admitted_s=self._admitted_s,
            deadline_s=self._deadline_s,
            snapshot=request.snapshot,
            repeatable=request.repeatable,
            excluded=frozenset(self._excluded),
            avoided=frozenset(self._avoided),
        )

    def _send(self, lease: queues.Lease) -> attempts.Run:
        """Sends an attempt on a slot."""
        self._tools.invariants.check(
            invariants_module.Invariant.AT_MOST_ONCE,
            self._request.repeatable
            or not (self._may_have_run or self._is_in_flight()),
            self._request.sub_id,
        )
        run = self._tools.runner.start(lease, self._request, self._deadline_s)
        self._runs.append(run)
        return run

    def _is_in_flight(self) -> bool:
        """Returns whether an attempt has not ended yet."""
        return any(not run.task.done() for run in self._runs)

    async def _wait(
        self, pending: set[asyncio.Task], until_s: float
    ) -> set[asyncio.Task]:
        """Waits for the first attempt to end, or for a moment to come."""
        left_s = until_s - self._clock.monotonic()
        loop = asyncio.get_running_loop()
        timer = loop.create_task(self._clock.sleep(left_s))
        try:
            done, _ = await asyncio.wait(
                {*pending, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
        return done - {timer}

    def _judge(self, reply: attempts.Reply) -> messages.SubResult | None:
        """Turns a reply into a result if it is decisive."""
        server = reply.lease.record.name
        outcome = reply.outcome
        if isinstance(outcome, backends.BackendFailure):
            self._may_have_run |= not outcome.not_run
            self._avoided.add(server)
            return None
        if outcome.served:
            # The server survived it, whether it ran alone or not.
            self._tools.quarantine.clear(self._request.fingerprint)
            return self._give_part(reply, outcome)
        if outcome.status == backend.SNAPSHOT_GONE:
            self._excluded.add(server)
            self._snapshot_gone = True
            return None
        self._may_have_run |= not outcome.not_run
        self._avoided.add(server)
        return None

    def _give_part(
        self, reply: attempts.Reply, response: backend.BackendResponse
    ) -> messages.SubResult:
        """Returns the result that carries a part."""
        return self._result(messages.SubOutcome.SERVED)._replace(
            part=response.part,
            snapshot=response.snapshot,
            key_range=response.key_range,
            server=reply.lease.record.name,
            server_warm=reply.warm,
        )

    def _find_end(self) -> messages.SubResult | None:
        """Returns the result if it must not be tried again."""
        fingerprint = self._request.fingerprint
        quarantine = self._tools.quarantine
        if quarantine.judge(fingerprint) is quarantines.Verdict.REFUSED:
            return self._give_up(quarantine.explain(fingerprint))
        if self._snapshot_gone:
            # Trying the next replica costs nothing: each one is asked once.
            self._snapshot_gone = False
            return None
        objection = retry.find_objection(
            service=self._request.service,
            repeatable=self._request.repeatable,
            may_have_run=self._may_have_run,
            attempts=len(self._runs),
            left_s=self._deadline_s - self._clock.monotonic(),
            budget=self._tools.retries,
        )
        return None if objection is None else self._give_up(objection)

    def _give_up(self, problem: errors.Problem) -> messages.SubResult:
        """Returns the result of a sub-request that was not served."""
        self._tools.invariants.check(
            invariants_module.Invariant.NOT_RUN_IS_TRUE,
            self._may_have_run or all(map(_surely_not_run, self._runs)),
            self._request.sub_id,
        )
        if self._may_have_run:
            outcome = messages.SubOutcome.FAILED
        elif problem.kind is errors.ProblemKind.SNAPSHOT_UNAVAILABLE:
            outcome = messages.SubOutcome.SNAPSHOT_GONE
        else:
            outcome = messages.SubOutcome.NOT_RUN
        return self._result(outcome)._replace(problem=problem)

    def _explain_deadline(self) -> errors.Problem:
        """Returns the problem of a deadline that passed."""
        return errors.Problem(
            errors.ProblemKind.DEADLINE_EXCEEDED,
            f"services.{self._request.service}",
            "The deadline passed while it ran.",
            "Ask again with a longer deadline.",
        )

    def _result(self, outcome: messages.SubOutcome) -> messages.SubResult:
        """Returns a result with everything but the part."""
        return messages.SubResult(
            sub_id=self._request.sub_id,
            service=self._request.service,
            outcome=outcome,
            available=self._tools.directory.snapshots_of(self._request.service),
            queue_wait_s=self._waited_s,
            attempts=len(self._runs),
            hedges=len(self._sent_hedges),
        )


def _surely_not_run(run: attempts.Run) -> bool:
    """Returns whether an attempt has ended without having run."""
    if not run.task.done():
        return False
    outcome = run.task.result().outcome
    if isinstance(outcome, backends.BackendFailure):
        return outcome.not_run
    return outcome.not_run or outcome.status == backend.SNAPSHOT_GONE
