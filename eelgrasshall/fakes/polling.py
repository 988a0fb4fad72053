"""Polling of conditions in tests that use real sockets."""

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.002
MAX_POLLS = 5000


async def wait_until(condition: Callable[[], object]) -> None:
    """Polls a condition until it is true.

    Args:
      condition: Polled until it returns a true value.

    Raises:
      TimeoutError: The condition was not true within about 10 s.
    """
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError("condition was not met within 10 s")
