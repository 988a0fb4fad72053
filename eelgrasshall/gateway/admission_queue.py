"""Queue in which requests wait until admission control lets them run.

Holds the futures and timers of waiting requests; all decisions are taken in
`admission`.
"""

import asyncio

from eelgrasshall.gateway import admission


class AdmissionQueue:
    """Queues the requests for one set of services until they may run.

    Args:
      limiter: Decides which requests run.
      loop: The event loop.
    """

    def __init__(
        self,
        *,
        limiter: admission.ConcurrencyLimiter,
        loop: asyncio.AbstractEventLoop,
    ):
        self.limiter = limiter
        self._loop = loop
        self._waiting: dict[admission.QueueEntry, asyncio.Future[bool]] = {}

    async def wait_for_admission(self, entry: admission.QueueEntry) -> bool:
        """Waits until a request may run; returns False if it is rejected."""
        if self.limiter.submit(entry) is admission.Decision.RUN:
            return True
        future = self._waiting[entry] = self._loop.create_future()
        self._reject(self.limiter.remove_predicted_timeouts(self._loop.time()))
        timer = self._loop.call_at(entry.queue_deadline_s, self._expire, entry)
        try:
            return await future
        except asyncio.CancelledError:
            if self._waiting.pop(entry, None) is not None:
                self.limiter.withdraw(entry)
            elif future.done() and not future.cancelled() and future.result():
                self.release_unused()
            raise
        finally:
            timer.cancel()

    def finish(self, *, started_s: float, objective_s: float) -> bool:
        """Records the end of a request and starts waiting ones.

        Args:
          started_s: Monotonic time at which the request started.
          objective_s: Time within which it should have ended, seconds.

        Returns:
          Whether the limiter has changed the concurrency.
        """
        now = self._loop.time()
        took_s = now - started_s
        in_time = took_s <= objective_s
        changed = self.limiter.finish(now, took_s=took_s, in_time=in_time)
        self._start_waiting()
        return changed

    def release_unused(self) -> None:
        """Frees the place of a request that was admitted and does not start.

        Its duration is not recorded, as it has not run.
        """
        self.limiter.running -= 1
        self._start_waiting()

    def _start_waiting(self) -> None:
        """Starts waiting requests as far as the limit permits."""
        while True:
            entry = self.limiter.start_next(self._loop.time())
            if entry is None:
                return
            if not self._resolve(entry, True):
                self.limiter.running -= 1

    def _expire(self, entry: admission.QueueEntry) -> None:
        """Rejects a request that has reached its queue deadline."""
        if entry in self._waiting:
            self.limiter.withdraw(entry)
            self._resolve(entry, False)

    def _reject(self, entries: list[admission.QueueEntry]) -> None:
        """Rejects requests that the limiter has removed from its queue."""
        for entry in entries:
            self._resolve(entry, False)

    def _resolve(self, entry: admission.QueueEntry, admitted: bool) -> bool:
        """Passes the decision to the task that waits for it.

        Returns:
          False if that task has been cancelled.
        """
        future = self._waiting.pop(entry)
        if future.done():
            return False
        future.set_result(admitted)
        return True
