"""Runs each request at most once in this process and caches the outcomes.

A duplicate that arrives while the request runs awaits the same outcome; a
later one gets the cached outcome.  Each run is a task of its own and goes on
when its caller disconnects, since a resend may ask for its outcome.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Hashable
import heapq
from typing import NamedTuple

from loguru import logger

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.protocol import caller

MAX_RECORDS = 100_000

Result = (
    caller.Answer | caller.Refusal | caller.Failure | caller.RecordedOutcome
)


class UnrecordedResult(NamedTuple):
    """An outcome that is not cached, because the request did not run here.

    Attributes:
      result: The outcome.
    """

    result: Result


RunFunction = Callable[[], Awaitable[Result | UnrecordedResult]]


class _Record(NamedTuple):
    """A request that is running or has run.

    Attributes:
      digest: Hash of the request's kind and body.
      task: The run; its result is the outcome.
    """

    digest: str
    task: asyncio.Task[Result]


class Deduplicator:
    """Runs each request at most once, by key, and caches its outcome.

    Args:
      clock: The source of time.
      invariants: Where the at-most-once invariant is checked.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        invariants: invariants_module.InvariantChecker,
    ):
        self._clock = clock
        self._invariants = invariants
        self._records: dict[Hashable, _Record] = {}
        self._expirations: list[tuple[float, int, Hashable]] = []
        self._sequence = 0
        # Counted separately from the records, to check them.
        self._run_counts: dict[Hashable, int] = {}
        self.running = 0

    def has(self, key: Hashable) -> bool:
        """Returns whether a request is running or has run."""
        self._drop_expired()
        return key in self._records

    async def run(
        self,
        key: Hashable,
        *,
        digest: str,
        run: RunFunction,
        wait_s: float,
        retention_s: float,
    ) -> Result:
        """Runs a request unless it was run before, and returns its outcome.

        An outcome that says that the request did not run is not cached: the
        request may be sent again.

        Args:
          key: Identifies the request.
          digest: Hash of the request's kind and body.
          run: Runs the request.
          wait_s: Seconds to wait for the outcome.
          retention_s: Seconds for which to keep the outcome.

        Returns:
          The outcome, a failure if there was none within `wait_s`, or a
          refusal if the key was used for another request or the cache is
          full.
        """
        self._drop_expired()
        record = self._records.get(key)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                return caller.Refusal(
                    (_describe_full_cache(),), retry_after_s=1.0
                )
            record = self._start(key, digest, run, retention_s)
        elif record.digest != digest:
            return caller.Refusal((describe_reused_key(),))
        return await self._wait(record, wait_s)

    def _start(
        self, key: Hashable, digest: str, run: RunFunction, retention_s: float
    ) -> _Record:
        """Starts a request and records it."""
        runs = self._run_counts.get(key, 0) + 1
        self._run_counts[key] = runs
        self._invariants.check(
            invariants_module.Invariant.AT_MOST_ONCE,
            runs == 1,
            f"{key} was run {runs} times",
        )
        task = asyncio.create_task(self._run(key, run))
        record = _Record(digest, task)
        self._records[key] = record
        self._sequence += 1
        expires_s = self._clock.monotonic() + retention_s
        heapq.heappush(self._expirations, (expires_s, self._sequence, key))
        return record

    async def _run(self, key: Hashable, run: RunFunction) -> Result:
        """Runs a request; an exception becomes a failure outcome."""
        self.running += 1
        try:
            result = await run()
        except Exception as error:  # The request may have run.
            logger.exception("deduplication: A run raised an exception.")
            return caller.Failure(
                errors.Problem(
                    errors.ProblemKind.BACKEND_FAILED,
                    "request",
                    f"The run failed with {type(error).__name__}.",
                    "Check whether it took effect before sending a new one.",
                )
            )
        finally:
            self.running -= 1
        if isinstance(result, caller.Refusal | UnrecordedResult):
            del self._records[key]
            del self._run_counts[key]
        return result.result if isinstance(result, UnrecordedResult) else result

    async def _wait(self, record: _Record, wait_s: float) -> Result:
        """Waits for the outcome of a run; a time-out does not stop the run."""
        timer = asyncio.create_task(self._clock.sleep(wait_s))
        try:
            await asyncio.wait(
                (record.task, timer), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
        if record.task.done():
            return record.task.result()
        return caller.Failure(
            errors.Problem(
                errors.ProblemKind.DEADLINE_EXCEEDED,
                "request",
                "The request is still running.",
                "Resend it with the same ticket or key to get its outcome.",
            )
        )

    def _drop_expired(self) -> None:
        """Drops expired records of requests that are no longer running."""
        now = self._clock.monotonic()
        while self._expirations and self._expirations[0][0] <= now:
            _, _, key = heapq.heappop(self._expirations)
            record = self._records.get(key)
            if record is not None and record.task.done():
                del self._records[key]
                del self._run_counts[key]


def _describe_full_cache() -> errors.Problem:
    """Returns the problem of a host whose outcome cache is full."""
    return errors.Problem(
        errors.ProblemKind.OVERLOADED,
        "request",
        "The host holds the outcomes of too many requests.",
        "Retry after the given time, or use another address.",
    )


def describe_reused_key() -> errors.Problem:
    """Returns the problem of a key or ticket of another request."""
    return errors.Problem(
        errors.ProblemKind.TICKET_USED,
        "request",
        "Its ticket or key was already used for another request.",
        "Use a new ticket or key for each request.",
    )
