"""Fetches from other hosts the updates that this host lacks.

Heartbeats carry the revision up to which their sender has applied each
collection.  A host that is behind fetches the missing updates from the sender
over HTTP.  A host that has just started fetches them from its seeds, so that it
can serve requests while the store is unreachable.

Between hosts a revision is the store's own number, and its era is stated
beside it.  Hosts of an earlier version neither send nor read eras; theirs is
taken to be that of the receiver.

What a host states at a revision, and what follows from it, is in
docs/DESIGN.md.  In short: all changes up to the revision are in force there.
To a host that needs to know of deletions which the sender cannot name, it gives
the names of all objects; what is missing there is deleted.  Deletions that the
sender has received and puts off go along, with the time at which they are due,
so that they are not lost with it.  So does the age of what it has received: it
knows of all changes that were made longer ago.

A host that keeps a configuration which the store has lost states its version.
Hosts that know only an earlier one, under the same revision, fetch it.

Hosts of the previous version know four collections.  What belongs to a further
one goes behind what they read, and only where that collection is in use.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import gzip
import json
import math
import time
from typing import Any

from eelgrasshall.gateway import client
from eelgrasshall.gateway import deletions as deletions_module
from eelgrasshall.gateway import documents
from eelgrasshall.gateway import events
from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache

UPDATES_PATH = "/-/peer/belief"
# Time until the response to a fetch begins.
FETCH_TIMEOUT_S = 1.0
# Delay before a fetch, so that it covers several changes in quick succession.
BATCH_DELAY_S = 0.01
# Delay after a failed fetch, or one whose revision was not taken over.
RETRY_DELAY_S = 0.2
# Time for which the next seed is not asked while one may still answer.
SEED_HEAD_START_S = 0.15
# Smallest body that is compressed; a smaller one fits into one packet.
MIN_COMPRESSED_BYTES = 1400
# Asks for the revisions of a host without its objects: the stated ones are
# higher than any.
REVISIONS_TARGET = f"{UPDATES_PATH}?{','.join([str(1 << 40)] * 8)}"

_SERVERS = object_cache.Collection.SERVERS
_AGE_HEADER = b"Eelgrasshall-Age-Ms"
_CLOCK_HEADER = b"Eelgrasshall-Clock-Ms"
_MAX_TIME_DIGITS = 12

_JSON = [(b"Content-Type", b"application/json")]

# What applies the deletions of each collection.
DeletionsByCollection = Mapping[
    object_cache.Collection, deletions_module.Deletions
]


def encode_updates(
    cache: object_cache.ObjectCache,
    revisions: dict[object_cache.Collection, int],
) -> dict[str, Any]:
    """Returns the updates after the given revisions as a JSON document.

    Args:
      cache: The cache to read.
      revisions: The revision that the receiver has of each collection; 0 if
        missing.
    """
    return {
        collection.value: _encode_collection(
            cache, collection, revisions.get(collection, 0)
        )
        for collection in cache.collections
        if collection in object_cache.BASE_COLLECTIONS
        or collection in revisions
    }


def _encode_collection(
    cache: object_cache.ObjectCache,
    collection: object_cache.Collection,
    revision: int,
) -> dict[str, Any]:
    """Returns the updates of one collection after a revision.

    Objects that the present era has not seen are left out; they will be written
    again or deleted.
    """
    era, number = object_cache.split_revision(
        cache.get_applied_revision(collection)
    )
    since_era, since = object_cache.split_revision(
        cache.get_complete_since(collection)
    )
    part = {
        "revision": number,
        "era": era,
        "since": since if since_era == era else 0,
        "news": [
            (
                update.name,
                object_cache.split_revision(update.revision)[1],
                update.document,
            )
            for update in cache.list_updates(collection)
            if update.revision > revision
            and object_cache.get_era(update.revision) == era
        ],
    }
    if cache.list_deferred(collection):
        part.update(_encode_deferred(cache, collection, era))
    if 0 < revision < cache.get_complete_since(collection):
        part["present"] = [
            update.name
            for update in cache.list_updates(collection)
            if update.document is not None
            and object_cache.get_era(update.revision) == era
        ]
    if _is_configuration(collection) and cache.kept_version:
        part["kept"] = True
    return part


def _encode_deferred(
    cache: object_cache.ObjectCache,
    collection: object_cache.Collection,
    era: int,
) -> dict[str, Any]:
    """Returns the deletions that are put off, and the revision with them.

    Nothing if one of them has no time or belongs to an earlier era.
    """
    deferred = cache.list_deferred(collection)
    received_era, received = object_cache.split_revision(
        cache.get_received_revision(collection)
    )
    if received_era != era or any(
        each.until_s == math.inf for each in deferred
    ):
        return {}
    return {
        "received": received,
        "deferred": [
            (
                each.update.name,
                object_cache.split_revision(each.update.revision)[1],
                object_cache.split_revision(each.after)[1],
                math.floor(each.until_s * 1000),
            )
            for each in deferred
        ],
    }


def _is_configuration(collection: object_cache.Collection) -> bool:
    """Returns whether a collection is that of the configuration."""
    return collection is object_cache.Collection.CONFIGURATION


def list_revisions(cache: object_cache.ObjectCache) -> list[int]:
    """Returns the applied revisions as hosts state them to each other.

    These are the store's numbers of the base collections, then their eras, and
    then the version of the configuration if the store lacks it.  If there are
    further collections, that version is 0 if the store has it, and the number
    and the era of each of them follow.
    """
    base = make_query(cache)[: 2 * len(object_cache.BASE_COLLECTIONS)]
    further = _list_further(cache)
    kept = [cache.kept_version] if cache.kept_version or further else []
    return base + kept + further


def make_query(
    cache: object_cache.ObjectCache, *, whole_configuration: bool = False
) -> list[int]:
    """Returns the revisions after which a host asks another one for updates.

    Args:
      cache: The cache of the host that asks.
      whole_configuration: Whether it asks for the configuration even if that is
        not newer; see `find_kept_version`.
    """
    revisions = {
        each: cache.get_applied_revision(each)
        for each in object_cache.BASE_COLLECTIONS
    }
    if whole_configuration:
        revisions[object_cache.Collection.CONFIGURATION] = 0
    pairs = [
        object_cache.split_revision(revisions[each])
        for each in object_cache.BASE_COLLECTIONS
    ]
    base = [number for _, number in pairs] + [era for era, _ in pairs]
    further = _list_further(cache)
    # The place of the kept version, which a query does not state.
    return base + [0] + further if further else base


def _list_further(cache: object_cache.ObjectCache) -> list[int]:
    """Returns number and era of each collection beyond the base ones."""
    further = []
    for each in cache.collections[len(object_cache.BASE_COLLECTIONS) :]:
        era, number = object_cache.split_revision(
            cache.get_applied_revision(each)
        )
        further += [number, era]
    return further


def find_kept_version(
    cache: object_cache.ObjectCache, numbers: Sequence[int]
) -> int:
    """Returns the version of a configuration that only another host has.

    Args:
      cache: The cache of this host.
      numbers: The result of the other host's `list_revisions`.

    Returns:
      The version if the store lacks it and the one known here is earlier, in
      the same era; otherwise 0.
    """
    collection = object_cache.Collection.CONFIGURATION
    kept = numbers[2 * len(object_cache.BASE_COLLECTIONS) :]
    stated = decode_revisions(cache, numbers).get(collection, 0)
    received = cache.get_received_revision(collection)
    if (
        not kept
        or kept[0] <= cache.configuration_version
        or object_cache.get_era(stated) != object_cache.get_era(received)
    ):
        return 0
    return kept[0]


def decode_revisions(
    cache: object_cache.ObjectCache, numbers: Sequence[int]
) -> dict[object_cache.Collection, int]:
    """Returns the revisions that another host has stated.

    Args:
      cache: The cache of this host, whose eras are used if none are stated.
      numbers: The result of the other host's `list_revisions`.
    """
    base = object_cache.BASE_COLLECTIONS
    count = len(base)
    eras = numbers[count : 2 * count] or _list_eras(cache)
    revisions = {
        collection: object_cache.make_revision(era, number)
        for collection, number, era in zip(base, numbers, eras, strict=False)
    }
    further = numbers[2 * count + 1 :]
    for collection, number, era in zip(
        cache.collections[count:], further[::2], further[1::2], strict=False
    ):
        revisions[collection] = object_cache.make_revision(era, number)
    return revisions


def _list_eras(cache: object_cache.ObjectCache) -> list[int]:
    """Returns the eras of the base collections."""
    return [
        object_cache.get_era(cache.get_received_revision(each))
        for each in object_cache.BASE_COLLECTIONS
    ]


def read_eras(document: dict[str, Any]) -> list[int]:
    """Returns the eras of the base collections in a host's answer.

    Raises:
      KeyError: The document is malformed, or from an earlier version.
      TypeError: The document is malformed.
    """
    return [
        document[each.value]["era"] for each in object_cache.BASE_COLLECTIONS
    ]


def apply_updates(
    cache: object_cache.ObjectCache,
    document: dict[str, Any],
    *,
    deletions: DeletionsByCollection | None = None,
    clock_s: float | None = None,
) -> int:
    """Applies the updates that another host has sent.

    The sender's revision is taken over only if all changes up to it are known
    then.  Hosts of an earlier version do not give the names of their objects,
    so that this host may lack deletions.

    Args:
      cache: The cache to update.
      document: The document of the other host.
      deletions: Applies deletions that the sender could not name; by default
        they are applied at once.
      clock_s: What the sender's clock shows when this host's shows 0, seconds;
        None if it is unknown.

    Returns:
      The number of updates that changed the cache.

    Raises:
      KeyError: The document is malformed.
      TypeError: The document is malformed.
      ValueError: The document is malformed.
    """
    changed = 0
    for collection, part in _list_parts(cache, document):
        received = cache.get_received_revision(collection)
        era = part.get("era", object_cache.get_era(received))
        if era < object_cache.get_era(received):
            continue
        changed += _apply_news(cache, collection, era, part)
        applier = deletions[collection] if deletions is not None else None
        if applier is None or clock_s is None or "deferred" not in part:
            number = part["revision"]
            changed += _take_over(cache, collection, era, number, part, applier)
            continue
        number = part["received"]
        changed += _take_over(cache, collection, era, number, part, applier)
        _adopt_deferred(applier, collection, era, part, clock_s)
    return changed


def _apply_news(
    cache: object_cache.ObjectCache,
    collection: object_cache.Collection,
    era: int,
    part: dict[str, Any],
) -> int:
    """Applies changes that the sender has named; returns how many were new."""
    changed = 0
    for name, number, value in part["news"]:
        update = object_cache.Update(
            collection,
            name,
            object_cache.make_revision(era, number),
            documents.limit_object(value),
        )
        if part.get("kept") and _is_configuration(collection):
            changed += cache.adopt(update)
        elif not cache.is_obsolete(update):
            changed += cache.apply(update)
    return changed


def _take_over(
    cache: object_cache.ObjectCache,
    collection: object_cache.Collection,
    era: int,
    number: int,
    part: dict[str, Any],
    applier: deletions_module.Deletions | None,
) -> int:
    """Takes over the sender's revision if all changes up to it are known.

    Args:
      cache: The cache to update.
      collection: The collection.
      era: The era of the sender.
      number: The store's number of the revision.
      part: What the sender has sent of the collection.
      applier: Applies deletions that the sender could not name; None to apply
        them at once.

    Returns:
      The number of deletions that the sender could not name.
    """
    revision = object_cache.make_revision(era, number)
    received = cache.get_received_revision(collection)
    if revision <= received:
        return 0
    # Hosts of an earlier version do not send it.
    since = object_cache.make_revision(era, part.get("since", 0))
    inferred: list[object_cache.Update] = []
    # All objects of a later era are in the document.
    same_era = received and era == object_cache.get_era(received)
    if same_era and since > received:
        if "present" not in part:
            return 0
        present = frozenset(part["present"])
        inferred = cache.infer_deletions(collection, present, revision)
        if applier is not None:
            after = cache.get_applied_revision(collection)
            applier.infer(inferred, after=after)
        else:
            for update in inferred:
                cache.apply(update)
    if since > received:
        cache.raise_complete_since(collection, since)
    cache.advance(collection, revision)
    return len(inferred)


def _adopt_deferred(
    deletions: deletions_module.Deletions,
    collection: object_cache.Collection,
    era: int,
    part: dict[str, Any],
    clock_s: float,
) -> None:
    """Puts off the deletions that the sender puts off, as long as it does."""
    for name, number, after, until_ms in part["deferred"]:
        deletions.adopt(
            object_cache.Update(
                collection, name, object_cache.make_revision(era, number), None
            ),
            after=object_cache.make_revision(era, after),
            until_s=until_ms / 1000.0 - clock_s,
        )


def _list_parts(
    cache: object_cache.ObjectCache, document: dict[str, Any]
) -> list[tuple[object_cache.Collection, Any]]:
    """Returns the parts of a host's answer, by collection.

    Hosts that do not use a collection beyond the base ones do not send it.

    Raises:
      KeyError: A base collection is missing.
    """
    return [
        (each, document[each.value])
        for each in cache.collections
        if each in object_cache.BASE_COLLECTIONS or each.value in document
    ]


class UpdateAnswers:
    """Answers other hosts' requests for the updates that they lack.

    Keeps the latest answer: hosts that were up to date before a change all ask
    for the same, and a large configuration takes long to encode.

    Args:
      cache: The cache of this host.
      get_age_s: Returns the age of what this host knows of the servers; None
        if it is unknown.
      get_time_s: Returns the monotonic time, seconds.
    """

    def __init__(
        self,
        *,
        cache: object_cache.ObjectCache,
        get_age_s: Callable[[], float | None] = lambda: None,
        get_time_s: Callable[[], float] = time.monotonic,
    ):
        self._cache = cache
        self._get_time_s = get_time_s
        self._get_age_s = get_age_s
        self._key: tuple[int, bytes, bool] | None = None
        self._latest: listener.Response | None = None

    def answer(self, request: messages.Request) -> listener.Response:
        """Returns the updates after the revisions in the query."""
        accepted = request.get_header(b"accept-encoding") or b""
        key = (self._cache.generation, request.target, b"gzip" in accepted)
        if self._latest is None or key != self._key:
            self._key = key
            self._latest = self._encode(request.target, b"gzip" in accepted)
        times = self._list_times()
        if not times:
            return self._latest
        return self._latest._replace(headers=[*self._latest.headers, *times])

    def _list_times(self) -> list[tuple[bytes, bytes]]:
        """Returns the headers that hold for one moment only.

        These are the age of what is known here and, if deletions are put off,
        the clock to which their times refer.
        """
        headers = []
        age_ms = encode_age(self._get_age_s())
        if age_ms is not None:
            headers.append((_AGE_HEADER, b"%d" % age_ms))
        if any(self._cache.list_deferred(e) for e in self._cache.collections):
            clock_ms = math.floor(self._get_time_s() * 1000)
            headers.append((_CLOCK_HEADER, b"%d" % clock_ms))
        return headers

    def _encode(self, target: bytes, accepts_gzip: bool) -> listener.Response:
        """Returns the response to a request."""
        query = target.partition(b"?")[2].decode("latin-1")
        try:
            numbers = parse_revisions(query)
        except ValueError:
            return listener.Response(400, [], b"")
        revisions = decode_revisions(self._cache, numbers)
        body = json.dumps(encode_updates(self._cache, revisions)).encode()
        if not accepts_gzip or len(body) < MIN_COMPRESSED_BYTES:
            return listener.Response(200, _JSON, body)
        # Level 1: configurations shrink to an eighth, higher levels save
        # little.
        headers = [*_JSON, (b"Content-Encoding", b"gzip")]
        return listener.Response(200, headers, gzip.compress(body, 1, mtime=0))


def encode_age(age_s: float | None) -> int | None:
    """Returns an age in whole milliseconds, not less than it is."""
    return None if age_s is None else math.ceil(age_s * 1000)


def decode_time(value: Any) -> float | None:
    """Returns a time or an age that a host has stated in milliseconds.

    Returns:
      It in seconds; None if the host has stated none.
    """
    if isinstance(value, bytes):
        valid = value.isdigit() and len(value) <= _MAX_TIME_DIGITS
        value = int(value) if valid else None
    if type(value) is not int or not 0 <= value < 10**_MAX_TIME_DIGITS:
        return None
    return value / 1000.0


def parse_revisions(query: str) -> list[int]:
    """Parses the comma-separated numbers in a host's query.

    Raises:
      ValueError: The query is malformed.
    """
    return [int(each) for each in query.split(",")] if query else []


class PeerSync:
    """Fetches updates from other hosts.

    Args:
      cache: The cache to update.
      log: The log for fetches and their failures.
      on_transferred: Called with the name of the other host and the bytes of a
        fetch.
      deletions: See `apply_updates`.
    """

    def __init__(
        self,
        *,
        cache: object_cache.ObjectCache,
        log: events.EventLog,
        on_transferred: Callable[[str, int], None] = lambda name, size: None,
        deletions: DeletionsByCollection | None = None,
    ):
        self._deletions = deletions
        self._on_transferred = on_transferred
        self._cache = cache
        self._log = log
        self._task: asyncio.Task | None = None
        # The revisions of the last answer that was not taken over.
        self._missing: dict[object_cache.Collection, int] = {}
        # Era and version of the last kept configuration that was fetched; one
        # that turned out to be of no use is not fetched again.
        self._fetched_version = (0, 0)

    @property
    def lacks_deletions(self) -> bool:
        """Whether another host knows changes without all deletions among them.

        Then only the store can tell this host.
        """
        if self._missing and self._has_all(self._missing):
            self._missing = {}
        return bool(self._missing)

    def handle_revisions(
        self,
        name: str,
        address: model.Address,
        numbers: Sequence[int],
        age_s: float | None = None,
        received: int = 0,
    ) -> None:
        """Starts a fetch if a host is ahead and no such fetch is running.

        Args:
          name: The name of the host.
          address: Its control address.
          numbers: What it has applied; see `list_revisions`.
          age_s: How old its knowledge of the servers may be, seconds.
          received: The revision of the servers up to which it has received all
            changes, with the era; 0 if it has stated none.
        """
        stated = decode_revisions(self._cache, numbers)
        behind = any(
            revision > self._cache.get_applied_revision(collection)
            for collection, revision in stated.items()
        )
        behind |= received > self._cache.get_received_revision(_SERVERS)
        now = asyncio.get_running_loop().time()
        self._record_age(received, age_s, now)
        kept_version = find_kept_version(self._cache, numbers)
        if (self._get_era(), kept_version) <= self._fetched_version:
            kept_version = 0
        if (behind or kept_version) and (
            self._task is None or self._task.done()
        ):
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(
                self._fetch_batch(name, address, kept_version)
            )

    async def fetch_from_seeds(
        self, seeds: Sequence[model.Address], wait_s: float
    ) -> None:
        """Asks seeds in turn until one answers and all collections are known.

        The next one is asked when the one before has failed, or has not
        answered for a moment: a host without power does not refuse connections.

        Args:
          seeds: Control addresses of the seeds.
          wait_s: Seconds for which to retry; with 0, each is asked once.
        """
        loop = asyncio.get_running_loop()
        latest_s = loop.time() + wait_s
        pending: dict[model.Address, asyncio.Task] = {}
        try:
            while True:
                for address in seeds:
                    if address not in pending:
                        pending[address] = loop.create_task(
                            self.fetch(str(address), address)
                        )
                    await self._wait_for_any(pending, SEED_HEAD_START_S)
                    if self._knows_all():
                        return
                if loop.time() >= latest_s:
                    break
                await asyncio.sleep(RETRY_DELAY_S)
            while pending and not self._knows_all():
                await self._wait_for_any(pending, None)
        finally:
            for task in pending.values():
                task.cancel()

    async def _wait_for_any(
        self, pending: dict[model.Address, asyncio.Task], wait_s: float | None
    ) -> None:
        """Waits until a fetch has ended, and removes those that have.

        Args:
          pending: The fetches in progress, by the address of the source.
          wait_s: Longest wait, seconds; None for any.
        """
        done, _ = await asyncio.wait(
            pending.values(),
            timeout=wait_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for address, task in list(pending.items()):
            if task in done:
                del pending[address]
                task.result()

    def _knows_all(self) -> bool:
        """Returns whether there is data of the collections of all hosts."""
        return all(
            self._cache.get_received_revision(each)
            for each in object_cache.BASE_COLLECTIONS
        )

    async def fetch(
        self, name: str, address: model.Address, kept_version: int = 0
    ) -> bool:
        """Fetches missing updates from a host; returns False on failure.

        Args:
          name: The name of the host.
          address: Its control address.
          kept_version: See `find_kept_version`.
        """
        era = self._get_era()
        query = make_query(self._cache, whole_configuration=kept_version > 0)
        numbers = ",".join(str(each) for each in query)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        received_bytes = changed = 0
        failure: Exception | None = None
        peer_client = client.JsonClient(address=address, accepts_gzip=True)
        try:
            response = await peer_client.call(
                "GET", f"{UPDATES_PATH}?{numbers}", timeout_s=FETCH_TIMEOUT_S
            )
            received_bytes = response.received_bytes
            if response.status != 200:
                raise client.CallError(f"status {response.status}")
            changed = self._apply(response, started_s)
        except client.CallError as error:
            failure = error
            received_bytes = max(received_bytes, error.received_bytes)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            failure = error
        finally:
            peer_client.close()
            self._on_transferred(name, peer_client.transferred_bytes)
        cost = {
            "took_ms": round((loop.time() - started_s) * 1000),
            "received_bytes": received_bytes,
        }
        if failure is not None:
            self._log.record(
                "exchange_failed", peer=name, reason=str(failure), **cost
            )
            return False
        if kept_version:
            self._fetched_version = (era, kept_version)
        if changed:
            self._log.record("exchange", peer=name, changed=changed, **cost)
        return True

    def _apply(self, response: client.Response, asked_s: float) -> int:
        """Applies an answer and notes which revisions were not taken over."""
        document = response.document
        clock_s = decode_time(response.headers.get(_CLOCK_HEADER.lower()))
        changed = apply_updates(
            self._cache,
            document,
            deletions=self._deletions,
            clock_s=None if clock_s is None else clock_s - asked_s,
        )
        revisions = {
            collection: object_cache.make_revision(
                part.get(
                    "era",
                    object_cache.get_era(
                        self._cache.get_received_revision(collection)
                    ),
                ),
                part["revision"],
            )
            for collection, part in _list_parts(self._cache, document)
        }
        self._missing = {} if self._has_all(revisions) else revisions
        age_s = decode_time(response.headers.get(_AGE_HEADER.lower()))
        part = document[_SERVERS.value]
        era = object_cache.get_era(revisions[_SERVERS])
        known = object_cache.make_revision(
            era, part.get("received", part["revision"])
        )
        self._record_age(known, age_s, asked_s)
        return changed

    def _record_age(
        self, revision: int, age_s: float | None, time_s: float
    ) -> None:
        """Records how old a revision was at a time, if this host has it.

        Args:
          revision: A revision of the servers that another host has received.
          age_s: How old its knowledge was; None if that is not known.
          time_s: The monotonic time, seconds.
        """
        received = self._cache.get_received_revision(_SERVERS)
        if (
            age_s is not None
            and 0 < revision <= received
            and object_cache.get_era(revision) == object_cache.get_era(received)
        ):
            self._cache.record_current(_SERVERS, time_s - age_s)

    def _has_all(self, revisions: dict[object_cache.Collection, int]) -> bool:
        """Returns whether all changes up to these revisions were received."""
        return all(
            self._cache.get_received_revision(collection) >= revision
            for collection, revision in revisions.items()
        )

    def stop(self) -> None:
        """Cancels a fetch that is in progress."""
        if self._task is not None:
            self._task.cancel()

    def _get_era(self) -> int:
        """Returns the era of the configuration that is known here."""
        collection = object_cache.Collection.CONFIGURATION
        received = self._cache.get_received_revision(collection)
        return object_cache.get_era(received)

    async def _fetch_batch(
        self, name: str, address: model.Address, kept_version: int
    ) -> None:
        """Fetches after a delay, and waits before a retry is allowed."""
        await asyncio.sleep(BATCH_DELAY_S)
        fetched = await self.fetch(name, address, kept_version)
        if not fetched or self.lacks_deletions:
            await asyncio.sleep(RETRY_DELAY_S)
