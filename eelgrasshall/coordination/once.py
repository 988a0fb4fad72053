"""Runs requests at most once in this process and remembers the outcomes.

A resend that comes while the request runs awaits the same outcome, one that
comes later gets it from memory.  The run is a task of its own: a caller that
goes away does not stop it, since a resend may ask for its outcome.
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

Result = caller.Answer | caller.Refusal | caller.Failure | caller.Recorded


class Elsewhere(NamedTuple):
    """An outcome of a run that was not here; it is not remembered.

    Attributes:
      result: The outcome.
    """

    result: Result


Run = Callable[[], Awaitable[Result | Elsewhere]]


class _Record(NamedTuple):
    """A request that runs or has run.

    Attributes:
      digest: Hash of its kind and body.
      task: The run; its result is the outcome.
    """

    digest: str
    task: asyncio.Task[Result]


class OnceBook:
    """The requests that this process has run at most once.

    Args:
      clock: The source of time.
      invariants: Checks of the promises.
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
        self._forget_at: list[tuple[float, int, Hashable]] = []
        self._sequence = 0
        # Counted apart from the records, as a check on them.
        self._runs: dict[Hashable, int] = {}
        self.running = 0

    def has(self, key: Hashable) -> bool:
        """Returns whether a request runs or has run."""
        self._forget_old()
        return key in self._records

    async def run(
        self,
        key: Hashable,
        *,
        digest: str,
        run: Run,
        wait_s: float,
        keep_s: float,
    ) -> Result:
        """Runs a request unless it was run before, and gives its outcome.

        An outcome that says not run is not remembered: the request may be
        sent again.

        Args:
          key: Names the request.
          digest: Hash of its kind and body.
          run: Runs it.
          wait_s: Seconds to wait for the outcome.
          keep_s: Seconds for which to remember the outcome.

        Returns:
          The outcome, or a failure if it did not come in time.
        """
        self._forget_old()
        record = self._records.get(key)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                return caller.Refusal((_full(),), retry_after_s=1.0)
            record = self._start(key, digest, run, keep_s)
        elif record.digest != digest:
            return caller.Refusal((describe_reuse(),))
        return await self._wait(record, wait_s)

    def _start(
        self, key: Hashable, digest: str, run: Run, keep_s: float
    ) -> _Record:
        """Starts the run of a request."""
        runs = self._runs.get(key, 0) + 1
        self._runs[key] = runs
        self._invariants.check(
            invariants_module.Invariant.AT_MOST_ONCE,
            runs == 1,
            f"{key} is run {runs} times",
        )
        task = asyncio.create_task(self._run(key, run))
        record = _Record(digest, task)
        self._records[key] = record
        self._sequence += 1
        forget_at = self._clock.monotonic() + keep_s
        heapq.heappush(self._forget_at, (forget_at, self._sequence, key))
        return record

    async def _run(self, key: Hashable, run: Run) -> Result:
        """Runs a request; whatever goes wrong, it has an outcome."""
        self.running += 1
        try:
            result = await run()
        except Exception as error:  # The outcome must say that it may have run.
            logger.exception("once: A run ended with an error.")
            return caller.Failure(
                errors.Problem(
                    errors.ProblemKind.BACKEND_FAILED,
                    "request",
                    f"It ended with {type(error).__name__}.",
                    "Look up its effect before sending a new request.",
                )
            )
        finally:
            self.running -= 1
        if isinstance(result, caller.Refusal | Elsewhere):
            del self._records[key]
            del self._runs[key]
        return result.result if isinstance(result, Elsewhere) else result

    async def _wait(self, record: _Record, wait_s: float) -> Result:
        """Waits for the outcome of a run without stopping it."""
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
                "It still runs.",
                "Send it again with the same ticket or key for its outcome.",
            )
        )

    def _forget_old(self) -> None:
        """Drops the records whose time is up and that do not run."""
        now = self._clock.monotonic()
        while self._forget_at and self._forget_at[0][0] <= now:
            _, _, key = heapq.heappop(self._forget_at)
            record = self._records.get(key)
            if record is not None and record.task.done():
                del self._records[key]
                del self._runs[key]


def _full() -> errors.Problem:
    """Returns the problem of a host that cannot remember more."""
    return errors.Problem(
        errors.ProblemKind.OVERLOADED,
        "request",
        "The host remembers too many requests.",
        "Come back after the time given, or use another address.",
    )


def describe_reuse() -> errors.Problem:
    """Returns the problem of a ticket or key under which another ran."""
    return errors.Problem(
        errors.ProblemKind.TICKET_USED,
        "request",
        "Its ticket or key was used for another request.",
        "Use a new ticket or key for each request.",
    )
