"""Follows the platform's store: one list, then one watch, for each collection.

A deletion that shows just after the store was out of reach may be an entry
that lapsed meanwhile although its server lives; such entries come back within
about two seconds, so the deletion waits that long.
"""

import asyncio
from collections.abc import Callable
import random as random_module
from typing import NamedTuple
from typing import Protocol

from eelgrasshall.gateway import belief as beliefs
from eelgrasshall.gateway import events

# Share of the time within which a change must be in force that one watch waits
# at most.  The store may swallow a call and be back a moment later; what
# changes meanwhile shows only once the wait is over.
WATCH_SHARE = 0.6
# Pause after a failed call, doubled up to the longest one.
FIRST_PAUSE_S = 0.15
LONGEST_PAUSE_S = 1.0
# Pause between the answer of a watch and the next one: servers often come and
# go together, and each answer is a call.  While answers come at once the pause
# doubles up to the longest, which still leaves a doubted deletion in time.
GATHER_S = 0.1
LONGEST_GATHER_S = 0.3
# A watch that has waited for less was answered at once.
AT_ONCE_S = 0.5
# How often a host that does not listen looks whether it should.
DUTY_POLL_S = 0.2
# A host that has just started hears by then who listens.
FIRST_DUTY_S = 1.5
# Servers that vanish together without having drained: more likely entries that
# lapsed than servers that ended at one moment.
MASS_DELETION = 3
# Time within which servers whose entries lapsed register again, with the
# platform's word of two seconds and a margin for the news to get here.
LAPSE_GRACE_S = 2.4


def choose_gather_s(last_s: float, waited_s: float) -> float:
    """Returns how long to let changes gather before the next watch, seconds.

    Answers the load pattern of a release, in which hosts that are cut off from
    the others each watch a stream of changes.

    Args:
      last_s: The pause before, seconds.
      waited_s: How long the watch after it took, seconds.
    """
    if waited_s >= AT_ONCE_S:
        return GATHER_S
    return min(last_s * 2, LONGEST_GATHER_S)


class Unavailable(NamedTuple):
    """The store gave no answer that can be used.

    Attributes:
      reason: What happened.
    """

    reason: str


class HistoryGone(NamedTuple):
    """The store no longer has the changes since a revision."""


class Source(Protocol):
    """The platform's store, as the product sees it."""

    async def read_all(
        self, collection: beliefs.Collection
    ) -> beliefs.Listing | Unavailable:
        """Reads a whole collection."""

    async def wait(
        self, collection: beliefs.Collection, revision: int, wait_s: float
    ) -> beliefs.Listing | HistoryGone | Unavailable:
        """Waits for changes after a revision."""


class Follower:
    """Keeps one collection of the belief up to date.

    Args:
      collection: The collection.
      source: The store.
      belief: What to keep up to date.
      log: Where lost and regained dependencies are noted.
      random: The source of jitter.
      should_listen: Returns whether this host is one that listens.
      bound_s: Time within which a change must be in force, seconds.
    """

    def __init__(
        self,
        *,
        collection: beliefs.Collection,
        source: Source,
        belief: beliefs.Belief,
        log: events.EventLog,
        random: random_module.Random,
        should_listen: Callable[[], bool],
        bound_s: float,
    ):
        self._collection = collection
        self._source = source
        self._belief = belief
        self._log = log
        self._random = random
        self._should_listen = should_listen
        self._wait_s = bound_s * WATCH_SHARE
        self._failures = 0
        self._regained_s = -LAPSE_GRACE_S
        self._listed = False
        self._watching = False
        self._held: dict[str, asyncio.TimerHandle] = {}

    @property
    def reachable(self) -> bool:
        """Whether this host watches and the last call was answered."""
        return self._failures == 0 and self._watching

    async def run(self) -> None:
        """Follows the collection until it is cancelled."""
        if self._belief.revision(self._collection):
            # Other hosts told what there is, and may be about to listen.
            await asyncio.sleep(FIRST_DUTY_S)
        while True:
            if self._belief.revision(self._collection):
                await self._watch()
            listing = await self._source.read_all(self._collection)
            if isinstance(listing, Unavailable):
                await self._pause(listing.reason)
                continue
            self._note_answer()
            self._take_listing(listing)

    async def _watch(self) -> None:
        """Watches, while that is this host's duty, until a list is needed."""
        loop = asyncio.get_running_loop()
        gather_s = GATHER_S
        while True:
            while not self._should_listen():
                self._watching = False
                await asyncio.sleep(DUTY_POLL_S)
            resumed, self._watching = not self._watching, True
            revision = self._belief.revision(self._collection)
            asked_s = loop.time()
            result = await self._source.wait(
                self._collection, revision, self._wait_s
            )
            if isinstance(result, HistoryGone):
                self._log.record(
                    "history_gone",
                    collection=self._collection.name,
                    revision=revision,
                )
                return
            if isinstance(result, Unavailable):
                await self._pause(result.reason)
                continue
            self._note_answer()
            if resumed or self._is_mass_deletion(result.news):
                self._regained_s = loop.time()
            for news in result.news:
                self._take(news)
            self._belief.advance(self._collection, result.revision)
            gather_s = choose_gather_s(gather_s, loop.time() - asked_s)
            await asyncio.sleep(gather_s)

    def _take_listing(self, listing: beliefs.Listing) -> None:
        """Takes a whole list in, with the deletions that it implies."""
        if not self._listed:
            # What other hosts told may have lapsed while the store was out.
            self._regained_s = asyncio.get_running_loop().time()
        for news in listing.news:
            self._take(news)
        for news in self._belief.find_missing(listing, self._collection):
            self._take(news)
        self._belief.advance(self._collection, listing.revision)
        self._listed = True

    def _is_mass_deletion(self, news: tuple[beliefs.News, ...]) -> bool:
        """Returns whether many objects vanished at one moment."""
        deleted = sum(1 for each in news if each.document is None)
        return deleted >= MASS_DELETION

    def _take(self, news: beliefs.News) -> None:
        """Takes news in, a doubtful deletion only later."""
        held = self._held.pop(news.name, None)
        if held is not None:
            held.cancel()
            self._belief.release(news)
        loop = asyncio.get_running_loop()
        left_s = self._regained_s + LAPSE_GRACE_S - loop.time()
        if (
            news.document is None
            and self._collection is beliefs.Collection.SERVERS
            and left_s > 0
        ):
            self._belief.hold(news)
            self._held[news.name] = loop.call_later(
                left_s, self._take_held, news
            )
            return
        self._belief.apply(news)

    def _take_held(self, news: beliefs.News) -> None:
        """Takes a deletion in that nothing has taken back."""
        self._held.pop(news.name, None)
        self._belief.release(news)
        self._belief.apply(news)

    def _note_answer(self) -> None:
        """Notes that the store answered."""
        if self._failures:
            self._regained_s = asyncio.get_running_loop().time()
            self._log.record(
                "store_regained",
                collection=self._collection.name,
                failures=self._failures,
            )
        self._failures = 0

    async def _pause(self, reason: str) -> None:
        """Waits after a failed call, longer each time."""
        if not self._failures:
            self._log.record(
                "store_lost",
                collection=self._collection.name,
                reason=reason,
                revision=self._belief.revision(self._collection),
            )
        longest = min(FIRST_PAUSE_S * 2**self._failures, LONGEST_PAUSE_S)
        self._failures = min(self._failures + 1, 10)
        await asyncio.sleep(longest * (0.5 + self._random.random() / 2))
