"""Decides when the deletion of an object takes effect.

The entry of a server may lapse while the store is out of reach, although the
server is alive; it then registers again within about two seconds.  A deletion
that may be of this kind is put off that long.  Whether the store was out of
reach is not always known: a host that has not followed the store for a while
knows only when it was last up to date.  Without a sign of an outage, a deletion
takes effect within its bound from then on, since the server may just as well
have left right after that.  That most servers are gone at once is such a sign.
"""

import asyncio
from collections.abc import Sequence
import math

from eelgrasshall.gateway import events
from eelgrasshall.gateway import object_cache

# Time within which servers whose entries expired register again: the two
# seconds that the platform states, and a margin until the update arrives here.
DELETION_GRACE_S = 2.4
# Part of the bound on a deletion that is left for passing it on to all hosts.
DISTRIBUTION_S = 0.6
# Share of the servers whose deletion shows an outage, and how many it takes at
# least: planned work takes a few at a time.
OUTAGE_SHARE = 0.5
MIN_OUTAGE_COUNT = 3


def choose_grace_s(gap_s: float, bound_s: float) -> float:
    """Returns for how long deletions made in a gap of knowledge are doubted.

    The load pattern is a fleet that loses the hosts that follow the store,
    while servers leave as planned.

    Args:
      gap_s: Time since this host was last known to be up to date, seconds;
        infinite if it never was.
      bound_s: Time within which a deletion must be in force, seconds.

    Returns:
      The time, seconds.  After a gap that is longer than the bound allows,
      deletions are late in any case, and an outage is the likely reason.
    """
    remaining_s = bound_s - DISTRIBUTION_S - gap_s
    if remaining_s < 0.0:
        return DELETION_GRACE_S
    return min(remaining_s, DELETION_GRACE_S)


class Deletions:
    """Applies the changes of one collection, doubtful deletions later.

    Only deletions of servers are doubted: no other object expires.

    Args:
      collection: The collection.
      cache: The cache to update.
      loop: The event loop.
      log: The log for doubts.
      bound_s: Time within which a deletion must be in force, seconds.

    Attributes:
      following: Whether the store would tell this host of any change at once.
    """

    def __init__(
        self,
        *,
        collection: object_cache.Collection,
        cache: object_cache.ObjectCache,
        loop: asyncio.AbstractEventLoop,
        log: events.EventLog,
        bound_s: float,
    ):
        self.following = False
        self._loop = loop
        self._collection = collection
        self._cache = cache
        self._log = log
        self._bound_s = bound_s
        self._expires = collection is object_cache.Collection.SERVERS
        self._failed_s = -math.inf
        self._doubt_until_s = -math.inf
        # What is put off is known by the cache, which forgets it when another
        # host tells of a later entry; the timer then stays without effect.
        self._timers: dict[str, asyncio.TimerHandle] = {}

    @property
    def _outage_suspected(self) -> bool:
        """Whether a call failed since this host was last up to date."""
        return self._failed_s > self._cache.get_current_s(self._collection)

    def _are_most(self, count: int) -> bool:
        """Returns whether so many deletions are of most objects known here."""
        known = len(self._cache.list_names(self._collection))
        return count >= max(MIN_OUTAGE_COUNT, OUTAGE_SHARE * known)

    def record_failure(self) -> None:
        """Records that a call to the store has failed."""
        self._failed_s = self._loop.time()

    def doubt(
        self,
        count: int = 0,
        *,
        since_s: float | None = None,
        outage: bool = False,
    ) -> None:
        """Begins to doubt deletions, those that are applied next included.

        Args:
          count: The number of deletions that are applied next.
          since_s: Monotonic time of the question to the store; now if None.
          outage: Whether the store certainly was out of reach.
        """
        if not self._expires:
            return
        now = self._loop.time() if since_s is None else since_s
        gap_s = now - self._cache.get_current_s(self._collection)
        outage = outage or self._outage_suspected or self._are_most(count)
        grace_s = DELETION_GRACE_S
        if not outage:
            grace_s = choose_grace_s(gap_s, self._bound_s)
        self._doubt_until_s = max(self._doubt_until_s, now + grace_s)
        self._log.record(
            "deletions_doubted",
            gap_ms=None if gap_s == math.inf else round(gap_s * 1000),
            grace_ms=round(grace_s * 1000),
            count=count,
            outage=outage,
        )

    def apply(
        self, update: object_cache.Update, *, after: int | None = None
    ) -> None:
        """Applies an update, but defers a deletion that is in doubt.

        A deletion that is deferred already is not put off any longer.

        Args:
          update: The update.
          after: See `object_cache.ObjectCache.defer`.
        """
        until_s = self._doubt_until_s
        deferred = self._cache.find_deferral(update)
        if deferred is not None:
            if update.revision < deferred.update.revision:
                # A listing or a watch that was asked for before this host heard
                # of the deletion.
                self._cache.apply(update)
                return
            until_s = min(until_s, deferred.until_s)
        if update.document is None and until_s > self._loop.time():
            self._defer(update, after, until_s)
            return
        if deferred is not None:
            self._cache.cancel_deferral(update)
        self._cache.apply(update)

    def adopt(
        self, update: object_cache.Update, *, after: int, until_s: float
    ) -> None:
        """Defers a deletion that another host doubts, for as long as that one.

        So it takes effect in time though that host may be lost meanwhile.

        Args:
          update: The deletion.
          after: See `object_cache.ObjectCache.defer`.
          until_s: Monotonic time at which it is to be applied, seconds.
        """
        deferred = self._cache.find_deferral(update)
        if deferred is not None:
            known = deferred.update
            if (
                deferred.until_s <= until_s
                and known.revision >= update.revision
            ):
                return
            until_s = min(until_s, deferred.until_s)
            # What happened in between is not known here; hosts that know it
            # need the later one.
            update = max(known, update, key=lambda each: each.revision)
        if not self._cache.is_live(update):
            if not self._cache.is_known(update):
                # A listing may lack what was deleted between its pages.
                self._cache.raise_complete_since(
                    self._collection, update.revision
                )
            return
        self._defer(update, after, until_s)

    def infer(
        self, updates: Sequence[object_cache.Update], *, after: int
    ) -> None:
        """Applies deletions that follow from the objects of another host.

        Args:
          updates: The deletions.
          after: The revision after which they may have been made.
        """
        found = [
            each for each in updates if not self._cache.find_deferral(each)
        ]
        if found:
            self.doubt(len(found))
        for update in updates:
            deferred = self._cache.find_deferral(update)
            if deferred is not None:
                self.adopt(update, after=after, until_s=deferred.until_s)
            else:
                self.apply(update, after=after)

    def get_age_s(self) -> float | None:
        """Returns how old the knowledge of this host may be, in seconds.

        All changes that were made longer ago have been received.  None if that
        is not known, or if the store may be out of reach.
        """
        if self._outage_suspected:
            return None
        now = self._loop.time()
        if self.following:
            self._cache.record_current(self._collection, now)
        current_s = self._cache.get_current_s(self._collection)
        return None if current_s == -math.inf else now - current_s

    def _defer(
        self, update: object_cache.Update, after: int | None, until_s: float
    ) -> None:
        """Puts a deletion off until a monotonic time."""
        self._cache.defer(update, after=after, until_s=until_s)
        timer = self._timers.pop(update.name, None)
        if timer is not None:
            timer.cancel()
        self._timers[update.name] = self._loop.call_at(
            until_s, self._apply_deferred, update.name
        )

    def _apply_deferred(self, name: str) -> None:
        """Applies a deferred deletion that no later update has replaced."""
        del self._timers[name]
        deferred = self._cache.find_deferral(
            object_cache.Update(self._collection, name, 0, None)
        )
        if deferred is not None:
            self._cache.cancel_deferral(deferred.update)
            self._cache.apply(deferred.update)
