"""Runs a host's background tasks; one that ends by an error begins again."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import traceback
from typing import Any

from eelgrasshall.gateway import events

# Delay before a background task begins again that ended by an error.
TASK_RESTART_DELAY_S = 1.0


class Supervisor:
    """Starts background tasks and keeps them running.

    Args:
      loop: The event loop.
      log: The structured log.
      count: Increments a named counter.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        log: events.EventLog,
        count: Callable[[str], None],
    ):
        self._loop = loop
        self._log = log
        self._count = count
        self._tasks: list[asyncio.Task] = []

    def start(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Starts a background task, by a name for the log."""
        self._tasks.append(self._loop.create_task(self._supervise(name, run)))

    def stop(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()

    def log_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Logs an error that ended a callback or a task of the event loop."""
        del loop
        self._count("unexpected_errors")
        error = context.get("exception")
        self._log.record(
            "unexpected_error",
            reason=f"{context.get('message')}: {error!r}",
            trace="".join(
                traceback.format_tb(error.__traceback__) if error else ()
            ),
        )

    async def _supervise(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Runs a task until it ends without an error."""
        while True:
            try:
                return await run()
            except Exception as error:
                self._count("task_errors")
                self._log.record(
                    "task_failed",
                    task=name,
                    reason=repr(error),
                    trace="".join(traceback.format_tb(error.__traceback__)),
                )
            await asyncio.sleep(TASK_RESTART_DELAY_S)
