"""Detection of pauses of this process.

A process that was suspended, by the machine or by a debugger, resumes with
stale state.  A gap in its own monotonic clock above a limit means that other
hosts may have acted in the meantime, so whatever this process holds for a
limited time must be treated as expired.  `check` is cheap, so it may also be
called right before an action that must not follow an undetected pause.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from eelgrasshall import clock as clock_module

CHECK_INTERVAL_S = 0.1


class PauseDetector:
    """Invokes callbacks when the clock shows that the process was paused.

    Args:
      clock: Source of time.
      limit_s: Longest gap that does not count as a pause, in seconds.
    """

    def __init__(self, *, clock: clock_module.Clock, limit_s: float):
        self._clock = clock
        self._limit_s = limit_s
        self._checked_at = clock.monotonic()
        self._callbacks: list[Callable[[float], None]] = []
        self._task: asyncio.Task[None] | None = None
        self.pauses = 0

    def subscribe(self, callback: Callable[[float], None]) -> None:
        """Registers a callback that receives the length of each pause."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Starts the periodic check."""
        self._checked_at = self._clock.monotonic()
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stops the periodic check."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def check(self) -> bool:
        """Invokes the callbacks on a pause; returns whether there was one."""
        now = self._clock.monotonic()
        gap_s = now - self._checked_at
        self._checked_at = now
        if gap_s <= self._limit_s:
            return False
        self.pauses += 1
        logger.warning(f"pause: This process was paused for {gap_s:.2f} s.")
        for callback in self._callbacks:
            callback(gap_s)
        return True

    async def _run(self) -> None:
        """Checks for a pause periodically."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            self.check()
