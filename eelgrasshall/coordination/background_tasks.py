"""Background tasks that are cancelled together and log their failures."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


class BackgroundTasks:
    """The background tasks of one component.

    Args:
      component: Name of the component, used as prefix of its log lines.
    """

    def __init__(self, *, component: str):
        self._component = component
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine as a task that `stop` cancels."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)
        return task

    def cancel(self) -> list[asyncio.Task[Any]]:
        """Cancels every task and returns the cancelled tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks

    async def stop(self) -> None:
        """Cancels every task and waits until all have ended."""
        await asyncio.gather(*self.cancel(), return_exceptions=True)

    def _handle_done(self, task: asyncio.Task[Any]) -> None:
        """Removes a finished task and logs its exception, if any."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                f"{self._component}: Background task failed."
            )
