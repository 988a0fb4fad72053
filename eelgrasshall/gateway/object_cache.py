"""This host's copy of configuration, backend server and host objects.

The platform's store is the only authority, and each of its objects carries
the revision of its last change.  Updates of an object may come from the store
or from another host, late or more than once.  The highest revision wins, so
the order of arrival does not matter.  Deletions are updates too.

The store may come back from a copy that is some seconds old.  It then counts
its revisions on from there and begins a new era.  Revisions here contain the
era, so that those of a later era are the higher ones.  What the copy lacks
stays until its writers have had time to write it again.  A configuration stays
until the store has one with at least its version; hosts that know only the copy
get it from others.
"""

from collections.abc import Callable
from collections.abc import Container
import enum
import math
from typing import Any
from typing import NamedTuple

# Factor of the era in a revision; the store's own numbers stay below it.
_ERA_FACTOR = 1 << 40
MAX_NUMBER = _ERA_FACTOR


def make_revision(era: int, number: int) -> int:
    """Returns a revision that is ordered after all those of earlier eras.

    Args:
      era: The era of the store; 0 if it states none.
      number: The store's own revision.
    """
    return era * _ERA_FACTOR + number


def split_revision(revision: int) -> tuple[int, int]:
    """Returns the era and the store's own number of a revision."""
    return divmod(revision, _ERA_FACTOR)


def get_era(revision: int) -> int:
    """Returns the era of a revision."""
    return revision // _ERA_FACTOR


class Collection(enum.Enum):
    """The collections that a host watches; each value is a short name."""

    CONFIGURATION = "c"
    SERVERS = "s"
    EVACUATIONS = "e"
    HOSTS = "h"
    ROLLOUTS = "r"


# The collections that every host watches, whatever its settings are.
BASE_COLLECTIONS = (
    Collection.CONFIGURATION,
    Collection.SERVERS,
    Collection.EVACUATIONS,
    Collection.HOSTS,
)


class Update(NamedTuple):
    """The state of one object after a change.

    Attributes:
      collection: The collection of the object.
      name: The name of the object.
      revision: The revision of the change, with its era.
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
      revision: The revision that the listing reflects, with its era.
    """

    updates: tuple[Update, ...]
    revision: int


class Deferral(NamedTuple):
    """A deletion that is to be applied later, if at all.

    Attributes:
      update: The deletion.
      after: The revision up to which all changes are applied meanwhile.
      until_s: Monotonic time at which it is to be applied, seconds.
    """

    update: Update
    after: int
    until_s: float


Decoder = Callable[[Collection, str, Any], Any]
UpdateHandler = Callable[[Update, Any], None]
EraHandler = Callable[[Collection, int, int], None]


class ObjectCache:
    """The newest known state of every object.

    Args:
      decode: Decodes a document into a value of the model.  Returns None for
        an unreadable document, whose object must not be used.
      on_update: Called after each change with the update and the decoded
        value.
      on_new_era: Called with a collection, the previous and the new revision
        when data of a later era replaces earlier data.
      supersedes: Returns whether the value of a later era replaces the one that
        is known.  Given are the collection and both decoded values, the new one
        first; None stands for an unreadable or deleted object.
      collections: The collections in use, those of `BASE_COLLECTIONS` first.

    Attributes:
      collections: The collections in use.
      generation: Changes with everything that other hosts may fetch.
    """

    def __init__(
        self,
        *,
        decode: Decoder,
        on_update: UpdateHandler,
        on_new_era: EraHandler = lambda collection, old, new: None,
        supersedes: Callable[[Collection, Any, Any], bool] = (
            lambda collection, new, old: True
        ),
        collections: tuple[Collection, ...] = BASE_COLLECTIONS,
    ):
        self.collections = collections
        self.generation = 0
        self._decode = decode
        self._on_update = on_update
        self._on_new_era = on_new_era
        self._supersedes = supersedes
        self._latest: dict[Collection, dict[str, Update]] = {
            collection: {} for collection in Collection
        }
        self._received = dict.fromkeys(Collection, 0)
        self._complete_since = dict.fromkeys(Collection, 0)
        self._current_s = dict.fromkeys(Collection, -math.inf)
        self._configuration_version = 0
        self._keeps_configuration = False
        self._deferred: dict[Collection, dict[str, Deferral]] = {
            collection: {} for collection in Collection
        }

    def get_received_revision(self, collection: Collection) -> int:
        """Returns the revision up to which all changes have been received."""
        return self._received[collection]

    def get_applied_revision(self, collection: Collection) -> int:
        """Returns the revision up to which all changes have been applied."""
        deferred = self._deferred[collection].values()
        return min(
            [self._received[collection], *(each.after for each in deferred)]
        )

    def get_complete_since(self, collection: Collection) -> int:
        """Returns the revision since which all deletions are known.

        A host that lists the store does not know what was deleted before that,
        so it cannot name this to another host that still has such an object.
        """
        return self._complete_since[collection]

    @property
    def configuration_version(self) -> int:
        """Version of the latest configuration; 0 if there is none."""
        return self._configuration_version

    @property
    def kept_version(self) -> int:
        """Version of a configuration that the store lacks; 0 if it has it."""
        return self._configuration_version if self._keeps_configuration else 0

    def raise_complete_since(
        self, collection: Collection, revision: int
    ) -> None:
        """Records that deletions up to a revision may be unknown here.

        That is so after a listing and after the objects of another host that
        does not know them: they tell what there is, not what there was.
        """
        if revision > self._complete_since[collection]:
            self._complete_since[collection] = revision
            self.generation += 1

    def get_current_s(self, collection: Collection) -> float:
        """Returns the time up to which all changes have been received.

        That is monotonic time in seconds, minus infinity if unknown.
        """
        return self._current_s[collection]

    def record_current(self, collection: Collection, time_s: float) -> None:
        """Records that all changes up to a time have been received."""
        self._current_s[collection] = max(self._current_s[collection], time_s)

    def defer(
        self,
        update: Update,
        *,
        after: int | None = None,
        until_s: float = math.inf,
    ) -> None:
        """Records a received deletion that is to be applied later, if at all.

        What is recorded of an earlier one of the same object stays in force.

        Args:
          update: The deletion.
          after: The revision after which the change may have been made, if it
            was inferred from a listing; None if it is the update's own.
          until_s: Monotonic time at which it is to be applied, seconds.
        """
        if after is None:
            after = update.revision - 1
        deferred = self._deferred[update.collection]
        known = deferred.get(update.name)
        if known is not None:
            after = min(after, known.after)
        deferred[update.name] = Deferral(update, after, until_s)
        self.generation += 1

    def list_deferred(self, collection: Collection) -> list[Deferral]:
        """Returns the deletions that are to be applied later."""
        return list(self._deferred[collection].values())

    def find_deferral(self, update: Update) -> Deferral | None:
        """Returns what is put off for the object of an update."""
        return self._deferred[update.collection].get(update.name)

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
        value = self._decode_update(update)
        if (
            old is not None
            and old.document is not None
            and (
                get_era(update.revision) > get_era(old.revision)
                or self._is_kept(update.collection)
            )
            and not self._supersedes(
                update.collection, value, self._decode_update(old)
            )
        ):
            # The copy is older than what is known here.  Hosts that fetch it
            # from here get what is known.
            latest[update.name] = update._replace(document=old.document)
            self._keeps_configuration = True
            self.generation += 1
            return True
        self._replace(update, value, is_kept=False)
        return True

    def adopt(self, update: Update) -> bool:
        """Applies a configuration that another host has kept.

        It replaces an earlier version of the same era, whatever the revision of
        that one is.

        Returns:
          Whether the cache has changed.
        """
        old = self._latest[update.collection].get(update.name)
        if old is None or update.revision > old.revision:
            # A later version that is known here is kept instead.
            self._keeps_configuration = True
            self.apply(update)
            self._keeps_configuration = True
            return True
        value, known = self._decode_update(update), self._decode_update(old)
        if not self._supersedes(update.collection, known, value):
            update = update._replace(revision=old.revision)
            self._replace(update, value, is_kept=True)
            return True
        if update == old and not self._keeps_configuration:
            self._keeps_configuration = True
            self.generation += 1
        return False

    def _replace(self, update: Update, value: Any, *, is_kept: bool) -> None:
        """Replaces the latest update of an object."""
        self._latest[update.collection][update.name] = update
        self.generation += 1
        if update.collection is Collection.CONFIGURATION:
            self._configuration_version = getattr(value, "version", 0)
            self._keeps_configuration = is_kept
        deferral = self._deferred[update.collection].get(update.name)
        if deferral is not None and (
            deferral.update.revision <= update.revision
            or (update.document is None and deferral.after < update.revision)
        ):
            # Another host has confirmed the update that is deferred here.
            del self._deferred[update.collection][update.name]
        self._on_update(update, value)

    def _is_kept(self, collection: Collection) -> bool:
        """Returns whether the store lacks what is known of a collection."""
        return (
            collection is Collection.CONFIGURATION and self._keeps_configuration
        )

    def _decode_update(self, update: Update) -> Any:
        """Returns the decoded value of an update; None for a deletion."""
        if update.document is None:
            return None
        return self._decode(update.collection, update.name, update.document)

    def advance(self, collection: Collection, revision: int) -> None:
        """Records that all changes up to a revision have been received."""
        received = self._received[collection]
        if revision <= received:
            return
        self._received[collection] = revision
        self.generation += 1
        if received and get_era(revision) > get_era(received):
            self._deferred[collection].clear()
            if collection is Collection.CONFIGURATION:
                self._keep_unconfirmed(get_era(revision))
            self._on_new_era(collection, received, revision)

    def _keep_unconfirmed(self, era: int) -> None:
        """Keeps a configuration of which the store's copy has no version."""
        latest = self._latest[Collection.CONFIGURATION]
        for name, update in latest.items():
            if update.document is not None and get_era(update.revision) < era:
                revision = make_revision(era, 0)
                latest[name] = update._replace(revision=revision)
                self._keeps_configuration = True

    def infer_deletions(
        self, collection: Collection, present: Container[str], revision: int
    ) -> list[Update]:
        """Returns deletions of the objects that are known only here.

        Objects of an earlier era are left out: see `list_unconfirmed`.

        Args:
          collection: The collection.
          present: The names of all objects that there are at a revision.
          revision: The revision.
        """
        return [
            Update(collection, name, revision, None)
            for name, old in self._latest[collection].items()
            if old.document is not None
            and name not in present
            and old.revision <= revision
            and get_era(old.revision) == get_era(revision)
        ]

    def is_obsolete(self, update: Update) -> bool:
        """Returns whether the object of another host's update is gone.

        An object that is not known here although all changes up to its revision
        are has been deleted since.
        """
        return (
            update.revision <= self._received[update.collection]
            and update.name not in self._latest[update.collection]
        )

    def is_live(self, deletion: Update) -> bool:
        """Returns whether the object that an update deletes is known here."""
        old = self._latest[deletion.collection].get(deletion.name)
        return (
            old is not None
            and old.document is not None
            and old.revision <= deletion.revision
        )

    def is_known(self, update: Update) -> bool:
        """Returns whether the update of an object or a later one is known."""
        old = self._latest[update.collection].get(update.name)
        return old is not None and old.revision >= update.revision

    def list_names(self, collection: Collection) -> list[str]:
        """Returns the names of all objects that are not deleted."""
        return [
            name
            for name, update in self._latest[collection].items()
            if update.document is not None
        ]

    def list_unconfirmed(self, collection: Collection) -> list[Update]:
        """Returns deletions of the objects that the present era has not seen.

        Any change of the present era replaces such a deletion.
        """
        era = get_era(self._received[collection])
        return [
            Update(collection, name, make_revision(era, 0), None)
            for name, old in self._latest[collection].items()
            if old.document is not None and get_era(old.revision) < era
        ]

    def list_updates(self, collection: Collection) -> list[Update]:
        """Returns the latest update of each object, including deletions."""
        return list(self._latest[collection].values())
