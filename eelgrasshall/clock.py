"""Clocks, real and for tests.

Every time read and every sleep goes through a `Clock` that the application
passes in, so that tests can substitute a clock that they advance themselves.
"""

import asyncio
import time


class Clock:
    """The system clock."""

    def monotonic(self) -> float:
        """Returns seconds on a clock that never goes backwards."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Suspends the current task for a number of seconds."""
        await asyncio.sleep(seconds)


class ManualClock(Clock):
    """A clock for tests; its time changes only by `advance` and `jump`."""

    def __init__(self, *, start: float = 1000.0):
        self._now = start
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic(self) -> float:
        """Returns the clock's time in seconds."""
        return self._now

    def wall(self) -> float:
        """Returns the clock's time in seconds."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Waits until `advance` reaches the wake-up time."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._now + seconds, future))
        await future

    def jump(self, seconds: float) -> None:
        """Adds to the time without waking sleepers, like a process pause."""
        self._now += seconds

    async def advance(self, seconds: float) -> None:
        """Advances the time and wakes the sleepers in order of wake-up time."""
        end = self._now + seconds
        while True:
            await _run_ready_tasks()
            pending = [s for s in self._sleepers if not s[1].done()]
            self._sleepers = pending
            due = min(pending, key=lambda s: s[0], default=None)
            if due is None or due[0] > end:
                break
            self._now = max(self._now, due[0])
            due[1].set_result(None)
        self._now = end
        await _run_ready_tasks()


async def _run_ready_tasks() -> None:
    """Yields to the event loop often enough for ready tasks to run."""
    for _ in range(20):
        await asyncio.sleep(0)
