"""This host's copy of configuration, backend server and host objects.

The platform's store is the only authority, and each of its objects carries
the revision of its last change.  Updates of an object may come from the store
or from another host, late or more than once.  The highest revision wins, so
the order of arrival does not matter.  Deletions are updates too.
"""

from collections.abc import Callable
import enum
from typing import Any
from typing import NamedTuple


class Collection(enum.Enum):
    """The collections that a host watches; each value is a short name."""

    CONFIGURATION = "c"
    SERVERS = "s"
    EVACUATIONS = "e"
    HOSTS = "h"


class Update(NamedTuple):
    """The state of one object after a change.

    Attributes:
      collection: The collection of the object.
      name: The name of the object.
      revision: The store's revision of the change.
      document: The object in the platform's format, as it is passed on to
        other hosts; None if it was deleted.
    """

    collection: Collection
    name: str
    revision: int
    document: Any


class Listing(NamedTuple):
    """All objects of a collection, or all changes since a revision.

    Attributes:
      updates: The objects.
      revision: The store's revision that the listing reflects.
    """

    updates: tuple[Update, ...]
    revision: int


Decoder = Callable[[Collection, str, Any], Any]
UpdateHandler = Callable[[Update, Any], None]


class ObjectCache:
    """The newest known state of every object.

    Args:
      decode: Decodes a document into a value of the model.  Returns None for
        an unreadable document, whose object must not be used.
      on_update: Called after each change with the update and the decoded
        value.

    Attributes:
      generation: Changes with everything that other hosts may fetch.
    """

    def __init__(self, *, decode: Decoder, on_update: UpdateHandler):
        self.generation = 0
        self._decode = decode
        self._on_update = on_update
        self._latest: dict[Collection, dict[str, Update]] = {
            collection: {} for collection in Collection
        }
        self._received = dict.fromkeys(Collection, 0)
        self._complete_since = dict.fromkeys(Collection, 0)
        self._deferred: dict[Collection, dict[str, int]] = {
            collection: {} for collection in Collection
        }

    def get_received_revision(self, collection: Collection) -> int:
        """Returns the revision up to which all changes have been received."""
        return self._received[collection]

    def get_applied_revision(self, collection: Collection) -> int:
        """Returns the revision up to which all changes have been applied."""
        deferred = self._deferred[collection]
        revision = self._received[collection]
        return (
            min(revision, min(deferred.values()) - 1) if deferred else revision
        )

    def get_complete_since(self, collection: Collection) -> int:
        """Returns the revision since which all deletions are known.

        A host that starts with a listing does not know what was deleted before
        it, so it cannot tell another host that still has such an object.
        """
        return self._complete_since[collection]

    def start_at(self, collection: Collection, revision: int) -> None:
        """Records that nothing is known of deletions up to a revision.

        Has no effect unless this is the first data of the collection.
        """
        if not self._received[collection]:
            self._complete_since[collection] = revision
            self.generation += 1

    def defer(self, update: Update) -> None:
        """Records a received update that is to be applied later, if at all."""
        self._deferred[update.collection][update.name] = update.revision
        self.generation += 1

    def cancel_deferral(self, update: Update) -> None:
        """Forgets the deferred update of an object."""
        self._deferred[update.collection].pop(update.name, None)
        self.generation += 1

    def apply(self, update: Update) -> bool:
        """Applies an update; returns False if it is not newer."""
        latest = self._latest[update.collection]
        old = latest.get(update.name)
        if old is not None and (
            update.revision < old.revision
            or (update.revision == old.revision)
            and (old.document is None or update.document is not None)
        ):
            return False
        latest[update.name] = update
        self.generation += 1
        deferred = self._deferred[update.collection]
        if deferred.get(update.name, update.revision + 1) <= update.revision:
            # Another host has confirmed the update that is deferred here.
            del deferred[update.name]
        value = None
        if update.document is not None:
            value = self._decode(
                update.collection, update.name, update.document
            )
        self._on_update(update, value)
        return True

    def advance(self, collection: Collection, revision: int) -> None:
        """Records that all changes up to a revision have been received."""
        if revision > self._received[collection]:
            self._received[collection] = revision
            self.generation += 1

    def infer_deletions(
        self, listing: Listing, collection: Collection
    ) -> list[Update]:
        """Returns deletions of the cached objects that a full listing lacks."""
        present = {update.name for update in listing.updates}
        return [
            Update(collection, name, listing.revision, None)
            for name, old in self._latest[collection].items()
            if old.document is not None
            and name not in present
            and old.revision <= listing.revision
        ]

    def list_updates(self, collection: Collection) -> list[Update]:
        """Returns the latest update of each object, including deletions."""
        return list(self._latest[collection].values())
