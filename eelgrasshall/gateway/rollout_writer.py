"""Writes the status of rollouts to the store.

One host writes at a time: the first by rank of those that reach the store, as
far as each of them hears the others.  Two that do not hear each other may both
write; the store refuses the write that is based on an older revision.  What
became of a write is read back, so that a lost answer is no different.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from eelgrasshall.gateway import election
from eelgrasshall.gateway import events
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import rollouts
from eelgrasshall.gateway import shares
from eelgrasshall.gateway import watcher

# Interval between looks at what is to be written.
POLL_INTERVAL_S = 0.1
# Delay after a write that failed, doubled with each failure up to the maximum.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8

_COLLECTION = object_cache.Collection.ROLLOUTS


class Store(Protocol):
    """The calls to the platform's store that the writer needs."""

    async def write_rollout_status(
        self, rollout: model.Rollout, revision: int
    ) -> bool | None:
        """Writes a state; returns None if it is not known whether it did."""

    async def read_all(
        self, collection: object_cache.Collection
    ) -> object_cache.Listing | watcher.Unavailable:
        """Reads a whole collection."""


class Fleet(NamedTuple):
    """What this host knows of the hosts.

    Attributes:
      own: This host.
      candidates: The other hosts that may write.
      heard: Names of the other hosts that are heard.
      is_minority: Whether these and this one are less than half of the known
        hosts.
    """

    own: election.Candidate
    candidates: tuple[election.Candidate, ...]
    heard: tuple[str, ...]
    is_minority: bool


def choose_writer(service: str, fleet: Fleet) -> str | None:
    """Returns the host that writes the status of a service's order.

    Args:
      service: The service.
      fleet: What is known of the hosts.

    Returns:
      The name of the host; None if none reaches the store.
    """
    names = [
        each.name
        for each in (fleet.own, *fleet.candidates)
        if each.reaches_store
    ]
    return min(
        names, key=lambda name: shares.hash_pair(name, service), default=None
    )


class RolloutWriter:
    """Writes the states that are due while this host is the writer.

    Args:
      orders: The orders of this host.
      store: The platform's store.
      cache: The cache, to which what is read back is applied.
      get_fleet: Returns what is known of the hosts.
      loop: The event loop.
      log: The log for writes.
      count: Increments a named counter.
    """

    def __init__(
        self,
        *,
        orders: rollouts.Rollouts,
        store: Store,
        cache: object_cache.ObjectCache,
        get_fleet: Callable[[], Fleet],
        loop: asyncio.AbstractEventLoop,
        log: events.EventLog,
        count: Callable[[str], None],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self._orders = orders
        self._store = store
        self._cache = cache
        self._get_fleet = get_fleet
        self._loop = loop
        self._log = log
        self._count = count
        self._sleep = sleep
        self._backoff_s = MIN_BACKOFF_S

    async def run(self) -> None:
        """Writes until the task is cancelled."""
        while True:
            failed = not await self.write_due()
            if failed:
                await self._sleep(self._backoff_s)
                self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
            else:
                self._backoff_s = MIN_BACKOFF_S
                await self._sleep(POLL_INTERVAL_S)

    async def write_due(self) -> bool:
        """Writes all states that are due; returns False if one failed."""
        fleet = self._get_fleet()
        due = self._orders.list_due_states(
            self._loop.time(), fleet.heard, is_minority=fleet.is_minority
        )
        own = [
            (rollout, revision)
            for rollout, revision in due
            if choose_writer(rollout.service, fleet) == fleet.own.name
        ]
        accepted = [
            await self._write(rollout, revision) for rollout, revision in own
        ]
        if not own:
            return True
        return await self._read_back() and all(accepted)

    async def _write(
        self, rollout: model.Rollout, revision: int
    ) -> bool | None:
        """Writes one state; returns what the store answered."""
        accepted = await self._store.write_rollout_status(rollout, revision)
        result = {True: "accepted", False: "refused", None: "no answer"}
        self._count(f"rollout_writes_{result[accepted].replace(' ', '_')}")
        self._log.record(
            "rollout_status",
            service=rollout.service,
            target=rollout.target_version,
            state=rollout.state.value,
            revision=object_cache.split_revision(revision)[1],
            result=result[accepted],
        )
        return accepted

    async def _read_back(self) -> bool:
        """Reads the orders from the store; returns whether it answered.

        The watch would bring them too, but later, or not at all if its answer
        is lost.
        """
        listing = await self._store.read_all(_COLLECTION)
        if isinstance(listing, watcher.Unavailable):
            self._log.record("rollout_read_failed", reason=listing.reason)
            return False
        for update in listing.updates:
            self._cache.apply(update)
        return True
