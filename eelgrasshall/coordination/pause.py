"""Finds pauses of this process.

A process that was stopped for a while, by the machine or by a debugger, still
believes what it believed before.  A gap in its own clock longer than the
limit means that others may have moved on, so whatever it holds by time must
be treated as lapsed.  `check` is cheap and may be called just before an
action that must not follow a pause.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from eelgrasshall import clock as clock_module

TICK_S = 0.1


class PauseDetector:
    """Calls back when the own clock shows a gap.

    Args:
      clock: The clock.
      limit_s: The longest gap that is harmless, in seconds.
    """

    def __init__(self, *, clock: clock_module.Clock, limit_s: float):
        self._clock = clock
        self._limit_s = limit_s
        self._ticked_at = clock.monotonic()
        self._callbacks: list[Callable[[float], None]] = []
        self._task: asyncio.Task[None] | None = None
        self.pauses = 0

    def subscribe(self, callback: Callable[[float], None]) -> None:
        """Registers a callback that gets the length of a pause in seconds."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Starts watching the clock."""
        self._ticked_at = self._clock.monotonic()
        self._task = asyncio.create_task(self._tick())

    def stop(self) -> None:
        """Stops watching the clock."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def check(self) -> bool:
        """Returns whether a pause has just been found, and calls back."""
        now = self._clock.monotonic()
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap <= self._limit_s:
            return False
        self.pauses += 1
        logger.warning(f"pause: This process stood still for {gap:.2f} s.")
        for callback in self._callbacks:
            callback(gap)
        return True

    async def _tick(self) -> None:
        """Reads the clock again and again."""
        while True:
            await self._clock.sleep(TICK_S)
            self.check()
