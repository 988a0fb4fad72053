"""Attempts in flight at backend servers.

An attempt outlives the request that asked for it: whoever loses interest
leaves it to be cancelled, and the slot stays taken until the backend server
has really let go.  Otherwise the next attempt would find the slot still busy.
"""

import asyncio
from collections.abc import Coroutine
from typing import NamedTuple

from eelgrasshall import clock as clocks
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import histogram as histograms
from eelgrasshall.coordination import observer as observers
from eelgrasshall.coordination import queue as queues
from eelgrasshall.protocol import backend
from eelgrasshall.protocol import messages
from eelgrasshall.transport import backends

# A response may pause for this multiple of the service's 99th percentile.
SILENCE_FACTOR = 4.0
SILENCE_SHORTEST_S = 0.3
SILENCE_LONGEST_S = 1.0
# A cancelled attempt answers within this time, or its connection is silent.
CANCEL_WAIT_S = 0.25


class Reply(NamedTuple):
    """How an attempt ended.

    Attributes:
      lease: The slot that it held.
      outcome: The response, or why there is none.
      warm: Whether the backend server is warm after it.
    """

    lease: queues.Lease
    outcome: backend.BackendResponse | backends.BackendFailure
    warm: bool


class Run(NamedTuple):
    """An attempt in flight.

    Attributes:
      lease: The slot that it holds.
      sent_s: When it was sent.
      deadline_s: When its query ends.
      task: Gives the reply.
    """

    lease: queues.Lease
    sent_s: float
    deadline_s: float
    task: asyncio.Task[Reply]


class AttemptRunner:
    """Runs the attempts of one service and settles the abandoned ones.

    Args:
      clock: Source of time.
      invariants: Where delivery to the right request is checked.
      transport: Connections to the backend servers.
      queue: Where slots are given back.
      observer: Told of each outcome.
      usual: Latencies of the service's warm servers.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        invariants: invariants_module.InvariantChecker,
        transport: backends.BackendTransport,
        queue: queues.SlotQueue,
        observer: observers.Observer,
        usual: histograms.Histogram,
    ):
        self._clock = clock
        self._invariants = invariants
        self._transport = transport
        self._queue = queue
        self._observer = observer
        self._usual = usual
        self._tasks: set[asyncio.Task] = set()

    def start(
        self,
        lease: queues.Lease,
        request: messages.SubRequest,
        deadline_s: float,
    ) -> Run:
        """Sends an attempt on a slot; the slot is given back by itself."""
        now = self._clock.monotonic()
        attempt = backend.Attempt(
            attempt_id=lease.attempt_id,
            query_id=request.query_id,
            kind=request.kind,
            body=request.body,
            snapshot=request.snapshot,
            budget_s=max(0.001, deadline_s - now),
            run_once=not request.repeatable,
        )
        if not lease.cold:
            self._transport.prepare(lease.record.name)
        task = self._spawn(self._run(lease, attempt, deadline_s))
        return Run(lease, now, deadline_s, task)

    def abandon(self, run: Run) -> None:
        """Cancels an attempt that nobody waits for any more."""
        if not run.task.done():
            self._spawn(self._cancel(run))

    def is_busy(self) -> bool:
        """Returns whether anything is in flight or being settled."""
        return bool(self._tasks)

    async def close(self) -> None:
        """Drops everything in flight."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(
        self,
        lease: queues.Lease,
        attempt: backend.Attempt,
        deadline_s: float,
    ) -> Reply:
        """Runs one attempt to its end."""
        sent_s = self._clock.monotonic()
        try:
            outcome = await self._transport.send(
                lease.record.name,
                attempt,
                silence_s=self._find_silence(lease),
                fresh=lease.alone or attempt.run_once,
            )
        except BaseException:
            self._queue.release(lease)
            raise
        latency_s = self._clock.monotonic() - sent_s
        if isinstance(outcome, backends.BackendFailure):
            self._observer.note_failure(lease, outcome, latency_s)
            self._settle(lease, outcome, deadline_s)
        else:
            self._observer.note_response(lease, outcome, latency_s)
            self._queue.release(lease)
            self._invariants.check(
                invariants_module.Invariant.RIGHT_CALLER,
                outcome.attempt_id == attempt.attempt_id,
                attempt.attempt_id,
            )
        return Reply(lease, outcome, not lease.record.cold)

    def _settle(
        self,
        lease: queues.Lease,
        failure: backends.BackendFailure,
        deadline_s: float,
    ) -> None:
        """Gives a slot back once the attempt surely runs no more."""
        if failure.not_run:
            self._queue.release(lease)
            return
        self._spawn(self._release_when_gone(lease, deadline_s))

    async def _release_when_gone(
        self, lease: queues.Lease, deadline_s: float
    ) -> None:
        """Cancels an attempt whose connection is gone, then frees its slot."""
        try:
            result = await self._transport.cancel(
                lease.record.name, lease.attempt_id
            )
            if result is backends.CancelResult.UNKNOWN:
                # The backend server drops it at its deadline.
                left_s = deadline_s - self._clock.monotonic()
                await self._clock.sleep(left_s + backends.RESPONSE_GRACE_S)
        finally:
            self._queue.release(lease)

    async def _cancel(self, run: Run) -> None:
        """Cancels an attempt and sees that its connection still works."""
        result = await self._transport.cancel(
            run.lease.record.name, run.lease.attempt_id
        )
        if result is not backends.CancelResult.CONFIRMED:
            return
        timer = self._spawn(self._clock.sleep(CANCEL_WAIT_S))
        await asyncio.wait(
            {run.task, timer}, return_when=asyncio.FIRST_COMPLETED
        )
        timer.cancel()
        if not run.task.done():
            self._transport.drop_silent(run.lease.record.name, run.sent_s)
            run.task.cancel()

    def _find_silence(self, lease: queues.Lease) -> float:
        """Returns how long a response may make no progress, in seconds."""
        usual_s = self._usual.percentile(0.99)
        if usual_s == 0.0 or lease.cold:
            return SILENCE_LONGEST_S
        silence_s = max(SILENCE_FACTOR * usual_s, SILENCE_SHORTEST_S)
        return min(silence_s, SILENCE_LONGEST_S)

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a task that this object keeps until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
