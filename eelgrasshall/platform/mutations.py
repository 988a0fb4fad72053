"""Faults that the product once had, put back for a run of the search.

Each replaces a piece of the source of one function, so that nothing of it is
written a second time.  A piece that is no longer there is an error.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import inspect
import textwrap
from typing import Any
from typing import NamedTuple

from eelgrasshall.gateway import deletions
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import peer_sync
from eelgrasshall.gateway import watcher
from eelgrasshall.platform import store


class Mutation(NamedTuple):
    """A fault.

    Attributes:
      owner: The module or class of the function.
      function: The name of the function.
      old: What stands in its source.
      new: What stands there with the fault.
    """

    owner: Any
    function: str
    old: str
    new: str


MUTATIONS = {
    # 2026-12-05, lost deletions.
    "no-names": Mutation(
        peer_sync,
        "_take_over",
        "if same_era and since > received:",
        "if False:",
    ),
    "late-seed": Mutation(
        peer_sync,
        "_apply_news",
        "elif not cache.is_obsolete(update):",
        "else:",
    ),
    "second-listing": Mutation(
        watcher.Watcher,
        "_apply_listing",
        "if listing.revision > received:",
        "if not received:",
    ),
    # 2026-12-05, listing pages.
    "last-page": Mutation(
        store.StoreClient,
        "read_all",
        "if first_revision is None:",
        "if True:",
    ),
    # 2026-12-05, long doubt.
    "long-doubt": Mutation(
        deletions,
        "choose_grace_s",
        "if remaining_s < 0.0:",
        "if True:",
    ),
    "lost-doubt": Mutation(
        peer_sync,
        "_encode_collection",
        "if cache.list_deferred(collection):",
        "if False:",
    ),
    "lapsed": Mutation(
        deletions.Deletions,
        "_are_most",
        "return count >=",
        "return False and count >=",
    ),
    "age-of-applied": Mutation(
        deletions.Deletions,
        "get_age_s",
        "self._cache.get_current_s(self._collection)",
        "self._cache.get_current_s(self._collection) - DELETION_GRACE_S"
        " * bool(self._cache.list_deferred(self._collection))",
    ),
    # Found by this search.
    "stale-names": Mutation(
        peer_sync,
        "_encode_collection",
        "if update.document is not None\n"
        "            and object_cache.get_era(update.revision) == era",
        "if update.document is not None",
    ),
    "kept-revision": Mutation(
        deletions.Deletions,
        "adopt",
        "and known.revision >= update.revision",
        "",
    ),
    "older-entry": Mutation(
        deletions.Deletions,
        "apply",
        "if update.revision < deferred.update.revision:",
        "if False:",
    ),
    # Earlier ones.
    "listing-deferral": Mutation(
        watcher.Watcher,
        "_apply_listing",
        "self._deletions.apply(update, after=applied)",
        "self._deletions.apply(update)",
    ),
    "second-deferral": Mutation(
        object_cache.ObjectCache,
        "defer",
        "after = min(after, known.after)",
        "pass",
    ),
    "no-since": Mutation(
        peer_sync,
        "_encode_collection",
        '"since": since if since_era == era else 0,',
        '"since": 0,',
    ),
    "same-era-watch": Mutation(
        store.StoreClient,
        "wait_for_changes",
        "_read_era(response) not in (None, era)",
        "False",
    ),
    "no-kept-version": Mutation(
        peer_sync,
        "find_kept_version",
        "return kept[0]",
        "return 0",
    ),
}


@contextlib.contextmanager
def apply(name: str | None) -> Iterator[None]:
    """Puts a fault back while the context lasts; none if there is no name.

    Raises:
      LookupError: What it replaces is not there exactly once.
    """
    if name is None:
        yield
        return
    mutation = MUTATIONS[name]
    function = getattr(mutation.owner, mutation.function)
    setattr(mutation.owner, mutation.function, _compile(function, mutation))
    try:
        yield
    finally:
        setattr(mutation.owner, mutation.function, function)


def _compile(
    function: Callable[..., Any], mutation: Mutation
) -> Callable[..., Any]:
    """Returns a function with the fault."""
    source = textwrap.dedent(inspect.getsource(function))
    if source.count(mutation.old) != 1:
        raise LookupError(f"{mutation.function}: {mutation.old!r} not found")
    names: dict[str, Any] = {}
    code = compile(
        source.replace(mutation.old, mutation.new), mutation.function, "exec"
    )
    exec(code, function.__globals__, names)
    return names[mutation.function]
