"""Attempts in flight at backend servers.

An attempt may outlive its sub-request: an abandoned attempt is cancelled in the
background, and its slot stays taken until the backend server has stopped
running it.  Otherwise the next attempt would find the slot still in use.
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

# An attempt is given up if its response makes no progress for this multiple of
# the service's 99th-percentile latency, within the limits below.
PROGRESS_TIMEOUT_FACTOR = 4.0
MIN_PROGRESS_TIMEOUT_S = 0.3
MAX_PROGRESS_TIMEOUT_S = 1.0
# If a cancelled attempt does not end within this time, its connection is taken
# to be dead.
CANCEL_TIMEOUT_S = 0.25


class AttemptResult(NamedTuple):
    """How an attempt ended.

    Attributes:
      lease: The slot that it held.
      outcome: The response, or the reason why there is none.
      warm: Whether the backend server is warm now.
    """

    lease: queues.Lease
    outcome: backend.BackendResponse | backends.BackendFailure
    warm: bool


class RunningAttempt(NamedTuple):
    """An attempt in flight.

    Attributes:
      lease: The slot that it holds.
      sent_s: When it was sent, on the monotonic clock.
      deadline_s: Deadline of its query, on the monotonic clock.
      task: Returns the result.
    """

    lease: queues.Lease
    sent_s: float
    deadline_s: float
    task: asyncio.Task[AttemptResult]


class AttemptRunner:
    """Runs the attempts of one service and cancels the abandoned ones.

    Args:
      clock: Source of time.
      invariants: Where delivery to the right request is checked.
      transport: Connections to the backend servers.
      queue: Queue to which slots are released.
      observer: Notified of each outcome.
      warm_latencies: Latencies of the service's warm servers.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        invariants: invariants_module.InvariantChecker,
        transport: backends.BackendTransport,
        queue: queues.SlotQueue,
        observer: observers.Observer,
        warm_latencies: histograms.Histogram,
    ):
        self._clock = clock
        self._invariants = invariants
        self._transport = transport
        self._queue = queue
        self._observer = observer
        self._warm_latencies = warm_latencies
        self._tasks: set[asyncio.Task] = set()

    def start(
        self,
        lease: queues.Lease,
        request: messages.SubRequest,
        deadline_s: float,
    ) -> RunningAttempt:
        """Sends an attempt on a slot, which is released once it has ended."""
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
            self._transport.preconnect(lease.record.name)
        task = self._spawn(self._run(lease, attempt, deadline_s))
        return RunningAttempt(lease, now, deadline_s, task)

    def abandon(self, running: RunningAttempt) -> None:
        """Cancels an attempt whose result is no longer needed."""
        if not running.task.done():
            self._spawn(self._cancel_abandoned(running))

    def is_busy(self) -> bool:
        """Returns whether an attempt is in flight or being cancelled."""
        return bool(self._tasks)

    async def close(self) -> None:
        """Cancels all tasks, attempts in flight included."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(
        self,
        lease: queues.Lease,
        attempt: backend.Attempt,
        deadline_s: float,
    ) -> AttemptResult:
        """Sends one attempt and waits for its outcome."""
        sent_s = self._clock.monotonic()
        try:
            outcome = await self._transport.send(
                lease.record.name,
                attempt,
                progress_timeout_s=self._compute_progress_timeout(lease),
                needs_new_connection=lease.isolated or attempt.run_once,
            )
        except BaseException:
            self._queue.release(lease)
            raise
        latency_s = self._clock.monotonic() - sent_s
        if isinstance(outcome, backends.BackendFailure):
            self._observer.record_failure(lease, outcome, latency_s)
            self._release_after_failure(lease, outcome, deadline_s)
        else:
            self._observer.record_response(lease, outcome, latency_s)
            self._queue.release(lease)
            self._invariants.check(
                invariants_module.Invariant.RIGHT_CALLER,
                outcome.attempt_id == attempt.attempt_id,
                attempt.attempt_id,
            )
        return AttemptResult(lease, outcome, not lease.record.cold)

    def _release_after_failure(
        self,
        lease: queues.Lease,
        failure: backends.BackendFailure,
        deadline_s: float,
    ) -> None:
        """Releases a slot once its failed attempt has certainly ended."""
        if failure.not_run:
            self._queue.release(lease)
            return
        self._spawn(self._cancel_and_release(lease, deadline_s))

    async def _cancel_and_release(
        self, lease: queues.Lease, deadline_s: float
    ) -> None:
        """Cancels an attempt without a response, then releases its slot."""
        try:
            result = await self._transport.cancel(
                lease.record.name, lease.attempt_id
            )
            if result is backends.CancelResult.UNKNOWN:
                # The backend server ends it at its deadline.
                remaining_s = deadline_s - self._clock.monotonic()
                await self._clock.sleep(remaining_s + backends.RESPONSE_GRACE_S)
        finally:
            self._queue.release(lease)

    async def _cancel_abandoned(self, running: RunningAttempt) -> None:
        """Cancels an attempt; if it does not end, drops its connection."""
        result = await self._transport.cancel(
            running.lease.record.name, running.lease.attempt_id
        )
        if result is not backends.CancelResult.CONFIRMED:
            return
        timer = self._spawn(self._clock.sleep(CANCEL_TIMEOUT_S))
        await asyncio.wait(
            {running.task, timer}, return_when=asyncio.FIRST_COMPLETED
        )
        timer.cancel()
        if not running.task.done():
            self._transport.close_stale_connections(
                running.lease.record.name, running.sent_s
            )
            running.task.cancel()

    def _compute_progress_timeout(self, lease: queues.Lease) -> float:
        """Returns for how many seconds a response may make no progress."""
        p99_s = self._warm_latencies.percentile(0.99)
        if p99_s == 0.0 or lease.cold:
            return MAX_PROGRESS_TIMEOUT_S
        timeout_s = max(PROGRESS_TIMEOUT_FACTOR * p99_s, MIN_PROGRESS_TIMEOUT_S)
        return min(timeout_s, MAX_PROGRESS_TIMEOUT_S)

    def _spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Starts a task and keeps a reference to it until it is done."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
