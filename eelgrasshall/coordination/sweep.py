"""Deletes claims whose creators are gone.

A host deletes its own claims when they expire, but hosts are replaced at any
time.  Each host therefore walks slowly over all claims, one page at a time,
and deletes those that have been expired for so long that their creator cannot
be about to.  Deletions are conditional on the version seen, so that hosts that
find the same claim do no harm to each other.
"""

import asyncio
import random as random_module
from typing import Any
from typing import Protocol

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.protocol import platform

PAGE_PERIOD_S = 60.0
PAGE_LIMIT = 100
# Deletions for each page, so that they stay far below the store's rates.
MAX_DELETIONS = 5
# Time that the creator has, clock differences included.
GRACE_S = 600.0


class Store(Protocol):
    """What the sweep needs of the platform's object API."""

    async def list(
        self, kind: str, after: str = "", limit: int = 100
    ) -> platform.ListResult:
        """Reads one page of objects."""

    async def delete(
        self, kind: str, name: str, if_version: int | None = None
    ) -> platform.DeleteResult:
        """Deletes an object if it has the version."""


class Sweeper:
    """Walks over the objects of one kind.

    Args:
      clock: The source of time.
      random: Spreads the walks of different hosts.
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
        """Starts walking."""
        self._task = asyncio.create_task(self._walk())

    def stop(self) -> None:
        """Stops walking."""
        if self._task is not None:
            self._task.cancel()

    async def _walk(self) -> None:
        """Looks at one page after another, for ever."""
        while True:
            await self._clock.sleep(
                PAGE_PERIOD_S * self._random.uniform(0.5, 1.5)
            )
            await self._sweep_page()

    async def _sweep_page(self) -> None:
        """Deletes what has long expired on the next page."""
        page = await self._store.list(self._kind, self._after, PAGE_LIMIT)
        if isinstance(page, errors.Problem):
            return
        self._after = page.next_name or ""
        latest = self._clock.wall() - GRACE_S
        expired = [
            stored
            for stored in page.objects
            if _has_expired(stored.value, latest)
        ]
        for stored in expired[:MAX_DELETIONS]:
            await self._store.delete(self._kind, stored.name, stored.version)


def _has_expired(value: Any, latest: float) -> bool:
    """Returns whether a value expired before a time; not if that is unclear."""
    if not isinstance(value, dict):
        return False
    expires_at = value.get("expires_at")
    return isinstance(expires_at, int) and expires_at < latest
