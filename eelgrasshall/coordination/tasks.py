"""Background tasks of one part, ended together and reported when they fail."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


class Tasks:
    """Holds the tasks of one part.

    Args:
      part: Name of the part, the prefix of its log lines.
    """

    def __init__(self, *, part: str):
        self._part = part
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs work as a task that `stop` ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def cancel(self) -> list[asyncio.Task[Any]]:
        """Cancels every task and returns them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks

    async def stop(self) -> None:
        """Cancels every task and waits for their ends."""
        await asyncio.gather(*self.cancel(), return_exceptions=True)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        """Forgets a task and reports what went wrong in it."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                f"{self._part}: A task failed."
            )
