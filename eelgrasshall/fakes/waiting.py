"""Waiting for a condition in tests that go over real sockets."""

import asyncio
from collections.abc import Callable

STEP_S = 0.002
MOST_STEPS = 5000


async def wait_until(holds: Callable[[], object]) -> None:
    """Waits until a condition holds.

    Args:
      holds: Called again and again until it gives something true.

    Raises:
      TimeoutError: It did not hold within ten seconds.
    """
    for _ in range(MOST_STEPS):
        if holds():
            return
        await asyncio.sleep(STEP_S)
    raise TimeoutError("The condition never held.")
