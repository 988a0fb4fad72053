"""What this host believes of configuration, backend servers and hosts.

The platform's store is the only authority, and each of its objects carries
the revision of its last change.  News of an object may come from the store or
from another host, late or twice; the highest revision wins, so that the order
of arrival does not matter.  A deletion is news like any other.
"""

from collections.abc import Callable
import enum
from typing import Any
from typing import NamedTuple


class Collection(enum.Enum):
    """What a host follows; each value is the short name of a collection."""

    CONFIGURATION = "c"
    SERVERS = "s"
    EVACUATIONS = "e"
    HOSTS = "h"


class News(NamedTuple):
    """The state of one object after a change.

    Attributes:
      collection: The sort of object.
      name: Its name.
      revision: The store's revision of the change.
      document: The object as the platform spells it, for other hosts; None if
        it was deleted.
    """

    collection: Collection
    name: str
    revision: int
    document: Any


class Listing(NamedTuple):
    """All objects of a collection.

    Attributes:
      news: The objects.
      revision: The store's revision that the list reflects.
    """

    news: tuple[News, ...]
    revision: int


Decode = Callable[[Collection, str, Any], Any]
Listen = Callable[[News, Any], None]


class Belief:
    """The newest known state of every object.

    Args:
      decode: Turns a document into a value of the model; None if it cannot be
        read, in which case the object names nothing that may be used.
      listen: Is told of each change: the news and the decoded value.
    """

    def __init__(self, *, decode: Decode, listen: Listen):
        self._decode = decode
        self._listen = listen
        self._known: dict[Collection, dict[str, News]] = {
            collection: {} for collection in Collection
        }
        self._revisions = dict.fromkeys(Collection, 0)
        self._held: dict[Collection, dict[str, int]] = {
            collection: {} for collection in Collection
        }

    def revision(self, collection: Collection) -> int:
        """Returns the highest revision up to which a collection is known."""
        return self._revisions[collection]

    def complete(self, collection: Collection) -> int:
        """Returns the revision up to which all changes are applied here."""
        held = self._held[collection]
        revision = self._revisions[collection]
        return min(revision, min(held.values()) - 1) if held else revision

    def hold(self, news: News) -> None:
        """Notes news that will be applied later, unless others undo it."""
        self._held[news.collection][news.name] = news.revision

    def release(self, news: News) -> None:
        """Ends the holding of an object's news."""
        self._held[news.collection].pop(news.name, None)

    def apply(self, news: News) -> bool:
        """Takes news of one object; False if it was known already."""
        known = self._known[news.collection]
        old = known.get(news.name)
        if old is not None and (
            news.revision < old.revision
            or (news.revision == old.revision)
            and (old.document is None or news.document is not None)
        ):
            return False
        known[news.name] = news
        held = self._held[news.collection]
        if held.get(news.name, news.revision + 1) <= news.revision:
            # Another host is sure of what is held here.
            del held[news.name]
        value = None
        if news.document is not None:
            value = self._decode(news.collection, news.name, news.document)
        self._listen(news, value)
        return True

    def advance(self, collection: Collection, revision: int) -> None:
        """Notes that all changes up to a revision have been taken in."""
        if revision > self._revisions[collection]:
            self._revisions[collection] = revision

    def find_missing(
        self, listing: Listing, collection: Collection
    ) -> list[News]:
        """Returns the deletions that a whole list implies."""
        present = {news.name for news in listing.news}
        return [
            News(collection, name, listing.revision, None)
            for name, old in self._known[collection].items()
            if old.document is not None
            and name not in present
            and old.revision <= listing.revision
        ]

    def list_news(self, collection: Collection) -> list[News]:
        """Returns the state of all objects of a collection, also deleted."""
        return list(self._known[collection].values())
