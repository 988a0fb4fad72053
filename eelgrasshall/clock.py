"""The one source of time.

Every clock read and every sleep goes through a `Clock` that the application
passes in, so that tests replace it with one that they move by hand.
"""

import asyncio
import time


class Clock:
    """The clock of the machine."""

    def monotonic(self) -> float:
        """Returns seconds on a clock that never steps back."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Waits for a number of seconds."""
        await asyncio.sleep(seconds)


class ManualClock(Clock):
    """A clock that stands still until `advance` moves it, for tests."""

    def __init__(self, *, start: float = 1000.0):
        self._now = start
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic(self) -> float:
        """Returns the current reading in seconds."""
        return self._now

    def wall(self) -> float:
        """Returns the current reading in seconds."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Waits until `advance` has passed the wake-up time."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._now + seconds, future))
        await future

    def move(self, seconds: float) -> None:
        """Moves the reading without waking a sleeper, as a pause does."""
        self._now += seconds

    async def advance(self, seconds: float) -> None:
        """Moves the clock and wakes each sleeper at its own time, in order."""
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
    """Lets every task that can run do so, a bounded number of rounds."""
    for _ in range(20):
        await asyncio.sleep(0)
