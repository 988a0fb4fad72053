"""Deletes expired objects whose creators are gone.

A host deletes the objects that it created when they expire, but hosts may be
replaced at any time.  Each host therefore scans all objects slowly, one page
at a time, and deletes those that expired so long ago that their creator is no
longer going to.  Deletions are conditional on the version read, so hosts that
find the same object do not interfere with each other.
"""

import asyncio
import random as random_module
from typing import Any
from typing import Protocol

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.protocol import platform

PAGE_INTERVAL_S = 60.0
PAGE_LIMIT = 100
# Keeps deletions far below the rate limits of the store.
MAX_DELETIONS_PER_PAGE = 5
# Time after expiry that is left to the creator, clock skew included.
DELETION_GRACE_S = 600.0


class Store(Protocol):
    """The part of the platform's object API that the sweeper needs."""

    async def list(
        self, kind: str, after: str = "", limit: int = 100
    ) -> platform.ListResult:
        """Reads one page of objects."""

    async def delete(
        self, kind: str, name: str, if_version: int | None = None
    ) -> platform.DeleteResult:
        """Deletes an object if its version is `if_version`."""


class ExpirySweeper:
    """Deletes expired objects of one kind.

    Args:
      clock: The source of time.
      random: Jitter, so that hosts do not scan in step.
      store: The platform's object API.
      kind: The kind of objects; each value holds `expires_at` in seconds
        since the Unix epoch.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        store: Store,
        kind: str,
    ):
        self._clock = clock
        self._random = random
        self._store = store
        self._kind = kind
        self._after = ""
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts scanning."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stops scanning."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Sweeps one page after another, indefinitely."""
        while True:
            await self._clock.sleep(
                PAGE_INTERVAL_S * self._random.uniform(0.5, 1.5)
            )
            await self._sweep_page()

    async def _sweep_page(self) -> None:
        """Deletes objects of the next page that expired long ago."""
        page = await self._store.list(self._kind, self._after, PAGE_LIMIT)
        if isinstance(page, errors.Problem):
            return
        self._after = page.next_name or ""
        cutoff_s = self._clock.wall() - DELETION_GRACE_S
        expired = [
            stored
            for stored in page.objects
            if _has_expired(stored.value, cutoff_s)
        ]
        for stored in expired[:MAX_DELETIONS_PER_PAGE]:
            await self._store.delete(self._kind, stored.name, stored.version)


def _has_expired(value: Any, cutoff_s: float) -> bool:
    """Returns whether a value expired before a time; False if malformed."""
    if not isinstance(value, dict):
        return False
    expires_at = value.get("expires_at")
    return isinstance(expires_at, int) and expires_at < cutoff_s
