"""Calls to the platform's store."""

from typing import Any
import urllib.parse

from eelgrasshall.gateway import belief
from eelgrasshall.gateway import client
from eelgrasshall.gateway import following
from eelgrasshall.gateway import model
from eelgrasshall.platform import names
from eelgrasshall.platform import records

# The store answers in milliseconds, and is taken to be out after this.
CALL_TIMEOUT_S = 1.0
# Time beyond the wait of a watch after which its answer is overdue.
WATCH_SLACK_S = 0.6

_OK = 200
_CREATED = 201
_CONFLICT = 409
_GONE = 410


class Store:
    """The platform's store, with a connection for each collection.

    Args:
      address: Where it listens.
      stale: Collections that are watched on replicas of the store, which
        may be seconds behind and cost a tenth.
    """

    def __init__(
        self,
        *,
        address: model.Address,
        stale: frozenset[belief.Collection] = frozenset(),
    ):
        self._address = address
        self._stale = stale
        self._clients: dict[belief.Collection, client.JsonClient] = {
            collection: client.JsonClient(address=address)
            for collection in belief.Collection
        }

    async def read_all(
        self, collection: belief.Collection
    ) -> belief.Listing | following.Unavailable:
        """Reads a whole collection, page by page."""
        found: list[belief.News] = []
        after = ""
        while True:
            query = f"?after={urllib.parse.quote(after)}" if after else ""
            answer = await self._call(collection, query, CALL_TIMEOUT_S)
            if isinstance(answer, following.Unavailable):
                return answer
            if answer.status != _OK:
                return following.Unavailable(f"status {answer.status}")
            try:
                page = answer.document["items"]
                revision = answer.document["storeRevision"]
                more = answer.document["hasMore"]
                found += _read_objects(collection, page)
                after = page[-1]["meta"]["name"] if page else ""
            except (KeyError, TypeError, IndexError) as error:
                return following.Unavailable(f"unreadable list: {error!r}")
            if not more:
                return belief.Listing(tuple(found), revision)

    async def wait(
        self, collection: belief.Collection, revision: int, wait_s: float
    ) -> belief.Listing | following.HistoryGone | following.Unavailable:
        """Waits for changes after a revision."""
        query = f"?watch={revision}&waitMs={int(wait_s * 1000)}"
        if collection in self._stale:
            query += "&allowStale=1"
        answer = await self._call(collection, query, wait_s + WATCH_SLACK_S)
        if isinstance(answer, following.Unavailable):
            return answer
        if answer.status == _GONE:
            return following.HistoryGone()
        if answer.status != _OK:
            return following.Unavailable(f"status {answer.status}")
        try:
            news = [
                news
                for event in answer.document["events"]
                for news in _read_objects(
                    collection, [event["object"]], deleted=event["deleted"]
                )
            ]
            return belief.Listing(tuple(news), answer.document["storeRevision"])
        except (KeyError, TypeError) as error:
            return following.Unavailable(f"unreadable changes: {error!r}")

    async def publish(self, host: model.Host) -> bool:
        """Publishes a host's own object; False if that is not certain."""
        collection = belief.Collection.HOSTS
        spec = records.encode_host(host)
        path = f"{names.OBJECTS_PATH}/{names.KINDS[collection]}"
        caller = client.JsonClient(address=self._address)
        try:
            document = {"meta": {"name": host.name}, "spec": spec}
            answer = await caller.call(
                "POST", path, document, timeout_s=CALL_TIMEOUT_S
            )
            if answer.status == _CONFLICT:
                answer = await caller.call(
                    "PUT",
                    f"{path}/{urllib.parse.quote(host.name)}",
                    document,
                    timeout_s=CALL_TIMEOUT_S,
                )
        except client.CallError:
            return False
        finally:
            caller.close()
        return answer.status in (_OK, _CREATED)

    def close(self) -> None:
        """Closes all connections."""
        for each in self._clients.values():
            each.close()

    async def _call(
        self, collection: belief.Collection, query: str, timeout_s: float
    ) -> client.Response | following.Unavailable:
        """Makes one reading call."""
        target = f"{names.OBJECTS_PATH}/{names.KINDS[collection]}{query}"
        try:
            return await self._clients[collection].call(
                "GET", target, timeout_s=timeout_s
            )
        except client.CallError as error:
            return following.Unavailable(str(error))


def _read_objects(
    collection: belief.Collection, objects: list[Any], *, deleted: bool = False
) -> list[belief.News]:
    """Reads objects as news, without those that are none of the collection's.

    An object without a name or revision cannot be told from another one, and
    is left out.
    """
    news = []
    for each in objects:
        try:
            name = each["meta"]["name"]
            revision = each["meta"]["revision"]
        except (KeyError, TypeError):
            continue
        if (
            collection is belief.Collection.CONFIGURATION
            and name != names.CONFIGURATION_OBJECT
        ):
            continue
        document = None
        if not deleted:
            document = {"name": name, "spec": each.get("spec")}
        news.append(belief.News(collection, name, revision, document))
    return news
