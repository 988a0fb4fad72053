"""Client of the platform's store."""

from typing import Any
import urllib.parse

from eelgrasshall.gateway import client
from eelgrasshall.gateway import documents
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import watcher
from eelgrasshall.platform import codec
from eelgrasshall.platform import wire_names

# The store normally responds within milliseconds; a call that takes longer
# than this counts as failed.
CALL_TIMEOUT_S = 1.0
# Time that a watch may take beyond the wait that it asks for.
WATCH_TIMEOUT_MARGIN_S = 0.6

_MAX_ERA_DIGITS = 9

_OK = 200
_CREATED = 201
_CONFLICT = 409
_GONE = 410
_SERVER_ERROR = 500


class StoreClient:
    """Reads from and publishes to the platform's store.

    The watch of each collection has a connection of its own, so that it holds
    up no other call.  Each listing and each write opens one: what is left of
    calls before it, such as a response that is sent twice, cannot reach it.

    Args:
      address: Address of the store.
      stale_collections: Collections that are watched on read replicas of the
        store, which may be seconds behind but cost a tenth.
    """

    def __init__(
        self,
        *,
        address: model.Address,
        stale_collections: frozenset[object_cache.Collection] = frozenset(),
    ):
        self._address = address
        self._stale_collections = stale_collections
        self._clients: dict[object_cache.Collection, client.JsonClient] = {
            collection: _open_client(address)
            for collection in object_cache.Collection
        }

    async def read_all(
        self, collection: object_cache.Collection
    ) -> object_cache.Listing | watcher.Unavailable:
        """Reads all pages of a collection.

        The listing has the revision of the first page: what changes in a page
        after it has been read is found by a watch from there.
        """
        lister = _open_client(self._address)
        try:
            return await self._read_pages(lister, collection)
        finally:
            lister.close()

    async def _read_pages(
        self, lister: client.JsonClient, collection: object_cache.Collection
    ) -> object_cache.Listing | watcher.Unavailable:
        """Reads all pages of a collection on a connection."""
        updates: list[object_cache.Update] = []
        last_names: set[str] = set()
        after = ""
        era: int | None = None
        first_revision: int | None = None
        while True:
            query = f"?after={urllib.parse.quote(after)}" if after else ""
            response = await _call(lister, collection, query, CALL_TIMEOUT_S)
            if isinstance(response, watcher.Unavailable):
                return response
            if response.status != _OK:
                return watcher.Unavailable(f"status {response.status}")
            page_era = _read_era(response) or 0
            if era not in (None, page_era):
                return watcher.Unavailable("the store's era changed meanwhile")
            era = page_era
            try:
                page = response.document["items"]
                revision = object_cache.make_revision(
                    era, response.document["storeRevision"]
                )
                more = response.document["hasMore"]
                page_updates = _parse_objects(collection, page, era)
                after = _find_last_name(page)
            except (KeyError, TypeError, ValueError) as error:
                return watcher.Unavailable(f"malformed list: {error!r}")
            names = {each.name for each in page_updates}
            if names & last_names:
                # What follows on the connection would be one page late.
                return watcher.Unavailable("a page was sent twice")
            last_names = names
            updates += page_updates
            if first_revision is None:
                first_revision = revision
            if not more:
                return object_cache.Listing(tuple(updates), first_revision)

    async def wait_for_changes(
        self, collection: object_cache.Collection, revision: int, wait_s: float
    ) -> object_cache.Listing | watcher.HistoryGone | watcher.Unavailable:
        """Waits for changes after a revision.

        Args:
          collection: The collection to watch.
          revision: The last revision that is already known, with its era.
          wait_s: Longest time for which the store waits for a change, seconds.
        """
        era, number = object_cache.split_revision(revision)
        query = f"?watch={number}&waitMs={int(wait_s * 1000)}"
        if collection in self._stale_collections:
            query += "&allowStale=1"
        watching = self._clients[collection]
        response = await _call(
            watching, collection, query, wait_s + WATCH_TIMEOUT_MARGIN_S
        )
        if isinstance(response, watcher.Unavailable):
            return response
        if response.status == _GONE or _read_era(response) not in (None, era):
            # A store that came back may have given the same numbers out again.
            watching.close()
            return watcher.HistoryGone()
        if response.status != _OK:
            return watcher.Unavailable(f"status {response.status}")
        try:
            updates = [
                update
                for event in response.document["events"]
                for update in _parse_objects(
                    collection,
                    [event["object"]],
                    era,
                    deleted=event["deleted"],
                )
            ]
            listing = object_cache.Listing(
                tuple(updates),
                object_cache.make_revision(
                    era, response.document["storeRevision"]
                ),
            )
        except (KeyError, TypeError) as error:
            watching.close()
            return watcher.Unavailable(f"malformed watch response: {error!r}")
        if listing.revision < revision or any(
            each.revision <= revision for each in updates
        ):
            # It may answer the watch before, sent twice.  What it tells holds,
            # but the next response on the connection would be late as well.
            watching.close()
        return listing

    async def publish(self, host: model.Host) -> bool:
        """Creates or replaces the object of an entry host.

        Returns:
          Whether the store has confirmed the write.
        """
        collection = object_cache.Collection.HOSTS
        spec = codec.encode_host(host)
        path = (
            f"{wire_names.OBJECTS_PATH}/{wire_names.OBJECT_KINDS[collection]}"
        )
        publisher = _open_client(self._address)
        try:
            document = {"meta": {"name": host.name}, "spec": spec}
            response = await publisher.call(
                "POST", path, document, timeout_s=CALL_TIMEOUT_S
            )
            if response.status == _CONFLICT:
                response = await publisher.call(
                    "PUT",
                    f"{path}/{urllib.parse.quote(host.name)}",
                    document,
                    timeout_s=CALL_TIMEOUT_S,
                )
        except client.CallError:
            return False
        finally:
            publisher.close()
        return response.status in (_OK, _CREATED)

    async def write_rollout_status(
        self, rollout: model.Rollout, revision: int
    ) -> bool | None:
        """Writes the state of a rollout to its order's status.

        Args:
          rollout: The order, with the state to write.
          revision: The revision of the order that the state is based on, with
            its era; the store refuses the write if the order has another one.

        Returns:
          Whether the store has accepted the write; None if it gave no answer
          and may have accepted it.
        """
        collection = object_cache.Collection.ROLLOUTS
        path = (
            f"{wire_names.OBJECTS_PATH}/{wire_names.OBJECT_KINDS[collection]}/"
            f"{urllib.parse.quote(rollout.service)}/status"
        )
        _, number = object_cache.split_revision(revision)
        document = {
            "meta": {"name": rollout.service, "revision": number},
            "status": codec.encode_rollout_status(rollout),
        }
        writer = _open_client(self._address)
        try:
            response = await writer.call(
                "PUT", path, document, timeout_s=CALL_TIMEOUT_S
            )
        except client.CallError:
            return None
        finally:
            writer.close()
        if response.status >= _SERVER_ERROR:
            return None
        return response.status in (_OK, _CREATED)

    def close(self) -> None:
        """Closes all connections."""
        for each in self._clients.values():
            each.close()


def _open_client(address: model.Address) -> client.JsonClient:
    """Returns a client of the store without an open connection."""
    return client.JsonClient(
        address=address, unique_headers=frozenset((wire_names.ERA_HEADER,))
    )


async def _call(
    caller: client.JsonClient,
    collection: object_cache.Collection,
    query: str,
    timeout_s: float,
) -> client.Response | watcher.Unavailable:
    """Sends one GET request for a collection."""
    target = (
        f"{wire_names.OBJECTS_PATH}/"
        f"{wire_names.OBJECT_KINDS[collection]}{query}"
    )
    try:
        return await caller.call("GET", target, timeout_s=timeout_s)
    except client.CallError as error:
        return watcher.Unavailable(str(error))


def _read_era(response: client.Response) -> int | None:
    """Returns the era that the store states, or None."""
    text = response.headers.get(wire_names.ERA_HEADER, b"")
    if not text.isdigit() or len(text) > _MAX_ERA_DIGITS:
        return None
    return int(text)


def _parse_objects(
    collection: object_cache.Collection,
    objects: list[Any],
    era: int,
    *,
    deleted: bool = False,
) -> list[object_cache.Update]:
    """Converts the store's objects to updates of a collection.

    Skips objects without a name or revision, which cannot be identified, and
    configuration objects other than the one in use.  Another writer may have
    written anything else; what no host can read is marked as unreadable.
    """
    updates = []
    for each in objects:
        identity = _read_identity(each)
        if identity is None:
            continue
        name, number = identity
        revision = object_cache.make_revision(era, number)
        if (
            collection is object_cache.Collection.CONFIGURATION
            and name != wire_names.CONFIGURATION_NAME
        ):
            continue
        document = None
        if not deleted:
            document = {"name": name, "spec": each.get("spec")}
            if collection is object_cache.Collection.ROLLOUTS:
                document["status"] = each.get("status")
            document = documents.limit_object(document)
        updates.append(
            object_cache.Update(collection, name, revision, document)
        )
    return updates


def _read_identity(document: Any) -> tuple[str, int] | None:
    """Returns the name and the revision of an object; None if it has none."""
    try:
        name, number = document["meta"]["name"], document["meta"]["revision"]
    except (KeyError, TypeError):
        return None
    if (
        not isinstance(name, str)
        or type(number) is not int
        or not 0 <= number < object_cache.MAX_NUMBER
    ):
        return None
    return name, number


def _find_last_name(page: list[Any]) -> str:
    """Returns the name of the last object of a page; empty if it has none.

    Raises:
      ValueError: None of its objects has a name.
    """
    for each in reversed(page):
        identity = _read_identity(each)
        if identity is not None:
            return identity[0]
    if page:
        raise ValueError("a page without names")
    return ""
