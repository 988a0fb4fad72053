"""What this host knows of the store's objects, and what it states of that.

Connects the copy of the objects with its sources, which are the watches of the
store and the exchange with other hosts, and decides whether this host watches.
Opens no sockets itself.  docs/design/knowledge.md says what must hold.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
from collections.abc import Sequence
import random as random_module
from typing import Any

from eelgrasshall.gateway import deletions
from eelgrasshall.gateway import election
from eelgrasshall.gateway import events
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import peer_sync
from eelgrasshall.gateway import watcher

# How long the result of an election is cached; short compared with the time
# after which a silent host counts as dead.
ELECTION_TTL_S = 0.1
# How long a starting host asks its seeds before it reads from the store itself.
# Hosts that start together do so within a third of a second, and their seeds
# have no data at first.
SEED_TIMEOUT_S = 0.8
# How long objects other than servers stay that a store which came back from a
# copy lacks: by then operators and hosts have written them again.
UNCONFIRMED_RETENTION_S = 6.0

_SERVERS = object_cache.Collection.SERVERS


class HostKnowledge:
    """The store's objects as one host knows them, with their sources.

    Args:
      own: This host.
      collections: The collections in use.
      bounds_s: Maximum time until a change of each collection is in force,
        seconds.
      store: The platform's store.
      decode: See `object_cache.ObjectCache`.
      on_update: See `object_cache.ObjectCache`.
      on_new_era: Called with a collection, the previous and the new revision
        when the store has come back older.
      list_candidates: Returns the other hosts that may watch the store.
      on_transferred: See `peer_sync.PeerSync`.
      loop: The event loop.
      random: Random number generator.
      log: The structured log.

    Attributes:
      cache: The objects.
      peer_sync: Fetches them from other hosts.
      answers: Answers what other hosts fetch.
      watchers: Watch the store, one for each collection.
    """

    def __init__(
        self,
        *,
        own: model.Host,
        collections: tuple[object_cache.Collection, ...],
        bounds_s: Mapping[object_cache.Collection, float],
        store: watcher.Store,
        decode: object_cache.Decoder,
        on_update: object_cache.UpdateHandler,
        on_new_era: object_cache.EraHandler,
        list_candidates: Callable[[], Sequence[election.Candidate]],
        on_transferred: Callable[[str, int], None],
        loop: asyncio.AbstractEventLoop,
        random: random_module.Random,
        log: events.EventLog,
    ):
        self._own = own
        self._on_new_era = on_new_era
        self._list_candidates = list_candidates
        self._loop = loop
        self._random = random
        self._log = log
        self.cache = object_cache.ObjectCache(
            decode=decode,
            on_update=on_update,
            on_new_era=self._handle_new_era,
            supersedes=_supersedes,
            collections=collections,
        )
        self._deletions = {
            collection: deletions.Deletions(
                collection=collection,
                cache=self.cache,
                loop=loop,
                log=log,
                bound_s=bounds_s[collection],
            )
            for collection in collections
        }
        self.watchers = [
            watcher.Watcher(
                collection=collection,
                store=store,
                cache=self.cache,
                deletions=self._deletions[collection],
                log=log,
                random=random,
                should_watch=self.should_watch,
                bound_s=bounds_s[collection],
            )
            for collection in collections
        ]
        self.peer_sync = peer_sync.PeerSync(
            cache=self.cache,
            log=log,
            on_transferred=on_transferred,
            deletions=self._deletions,
        )
        self.answers = peer_sync.UpdateAnswers(
            cache=self.cache,
            get_age_s=self.get_servers_age_s,
            get_time_s=loop.time,
        )
        self._elected = True
        self._elected_time_s = -ELECTION_TTL_S
        # When this host or another one was last known to reach the store.
        self._store_reached_s = loop.time()

    def reaches_store(self) -> bool:
        """Returns whether the watches of all collections are connected."""
        return all(each.connected for each in self.watchers)

    def get_servers_age_s(self) -> float | None:
        """Returns how old this host's knowledge of the servers may be."""
        return self._deletions[_SERVERS].get_age_s()

    def should_watch(self) -> bool:
        """Returns whether this host should watch the store."""
        if self.peer_sync.lacks_deletions:
            return True
        now = self._loop.time()
        if now - self._elected_time_s >= ELECTION_TTL_S:
            own = election.Candidate(
                self._own.name, self._own.zone, self.reaches_store()
            )
            others = self._list_candidates()
            if any(each.reaches_store for each in (own, *others)):
                self._store_reached_s = now
            self._elected = election.should_watch(
                own, others, now - self._store_reached_s
            )
            self._elected_time_s = now
        return self._elected

    def list_claims(self) -> tuple[list[int], int | None, int]:
        """Returns what this host states of its knowledge.

        Returns:
          The revisions (see `peer_sync.list_revisions`), the age of what is
          known of the servers in milliseconds, and the revision up to which
          all of their changes have been received.
        """
        return (
            peer_sync.list_revisions(self.cache),
            peer_sync.encode_age(self.get_servers_age_s()),
            self.cache.get_received_revision(_SERVERS),
        )

    def handle_claims(
        self,
        name: str,
        address: model.Address,
        revisions: Sequence[int],
        servers_state: Sequence[Any],
    ) -> None:
        """Fetches what another host knows and this one lacks.

        Args:
          name: The name of the other host.
          address: Its control address.
          revisions: Its revisions.
          servers_state: The rest of what it states; less than `list_claims` if
            it is of an earlier version.
        """
        self.peer_sync.handle_revisions(
            name, address, revisions, *_read_servers_state(servers_state)
        )

    async def bootstrap(
        self,
        seeds: Sequence[model.Address],
        wait_for_demand: Callable[[], Coroutine[Any, Any, Any]],
        start: Callable[[str, Callable[[], Coroutine[Any, Any, None]]], None],
    ) -> None:
        """Fetches the state from seed hosts, then starts the watchers.

        A host that is itself a seed does not wait for the other seeds.

        Args:
          seeds: Control addresses of the seeds.
          wait_for_demand: Returns when a caller wants the data at once.
          start: Starts a background task, by its name.
        """
        seeds = list(seeds)
        own = self._own.control_address
        if own not in seeds:
            self._random.shuffle(seeds)
            await self._wait_for_seeds(seeds, wait_for_demand)
        else:
            seeds.remove(own)
            start(
                "fetch from seeds",
                lambda: self.peer_sync.fetch_from_seeds(seeds, 0.0),
            )
        for each in self.watchers:
            start(f"watch {each.collection.name}", each.run)

    async def _wait_for_seeds(
        self,
        seeds: list[model.Address],
        wait_for_demand: Callable[[], Coroutine[Any, Any, Any]],
    ) -> None:
        """Fetches the state from seeds, unless a caller wants it earlier.

        When all hosts start at the same time, seeds may be the last.  Callers
        know a few hosts only, so that few read from the store.
        """
        tasks = [
            self._loop.create_task(
                self.peer_sync.fetch_from_seeds(seeds, SEED_TIMEOUT_S)
            ),
            self._loop.create_task(wait_for_demand()),
        ]
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()

    def _handle_new_era(
        self, collection: object_cache.Collection, old: int, new: int
    ) -> None:
        """Keeps what a store that came back older may lack, for some time.

        Its writers write it again meanwhile.
        """
        old_era, old_number = object_cache.split_revision(old)
        era, number = object_cache.split_revision(new)
        self._log.record(
            "store_era_changed",
            collection=collection.name,
            era=era,
            old_era=old_era,
            revision=number,
            old_revision=old_number,
        )
        self._on_new_era(collection, old, new)
        if collection is not object_cache.Collection.CONFIGURATION:
            delay_s = UNCONFIRMED_RETENTION_S
            if collection is _SERVERS:
                delay_s = deletions.DELETION_GRACE_S
            self._loop.call_later(
                delay_s, self._delete_unconfirmed, collection, era
            )

    def _delete_unconfirmed(
        self, collection: object_cache.Collection, era: int
    ) -> None:
        """Deletes what has not been written again in an era of the store."""
        received = self.cache.get_received_revision(collection)
        if object_cache.get_era(received) != era:
            return
        for update in self.cache.list_unconfirmed(collection):
            self.cache.apply(update)


def _read_servers_state(fields: Sequence[Any]) -> tuple[float | None, int]:
    """Returns what another host states of its knowledge of the servers.

    Returns:
      Its age in seconds, and the revision up to which all changes have been
      received; None and 0 if the host, of an earlier version, states none.
    """
    age, received = [*fields[:2], None, None][:2]
    if type(received) is not int:
        received = 0
    return peer_sync.decode_time(age), received


def _supersedes(
    collection: object_cache.Collection, new: Any, old: Any
) -> bool:
    """Returns whether a value of a store that came back older is used.

    A configuration is not if a later version is known, since that one has been
    accepted and its operator writes it again.
    """
    if collection is not object_cache.Collection.CONFIGURATION or old is None:
        return True
    return new is not None and new.version >= old.version
