"""Tests of the cache of the store's objects."""

import functools
import itertools
from typing import NamedTuple

from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies

from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import peer_sync

_SERVERS = object_cache.Collection.SERVERS


class _Host:
    """A cache and the values that its updates led to."""

    def __init__(self, **options):
        self.values: dict[str, object] = {}
        options.setdefault(
            "decode", lambda collection, name, document: document
        )
        self.cache = object_cache.ObjectCache(
            on_update=self._on_update, **options
        )

    def _on_update(self, update, value):
        if value is None:
            self.values.pop(update.name, None)
        else:
            self.values[update.name] = value


def _make_update(
    name: str, revision: int, document=None
) -> object_cache.Update:
    return object_cache.Update(_SERVERS, name, revision, document)


@given(
    order=strategies.permutations(
        [
            _make_update("a", 1, "old"),
            _make_update("a", 3, None),
            _make_update("a", 5, "new"),
            _make_update("b", 2, "x"),
            _make_update("b", 4, None),
        ]
    )
)
def test_order_of_arrival_does_not_matter(order):
    host = _Host()
    for update in order:
        host.cache.apply(update)
    assert host.values == {"a": "new"}


def test_deletion_at_the_revision_of_the_object_wins():
    host = _Host()
    host.cache.apply(_make_update("a", 3, "x"))
    host.cache.apply(_make_update("a", 3, None))
    assert host.values == {}
    assert not host.cache.apply(_make_update("a", 3, "x"))


def test_listing_implies_deletion_of_older_objects_only():
    host = _Host()
    host.cache.apply(_make_update("a", 3, "x"))
    host.cache.apply(_make_update("b", 9, "x"))
    deletions = host.cache.infer_deletions(_SERVERS, (), 5)
    assert [update.name for update in deletions] == ["a"]


def test_deferred_update_limits_the_applied_revision():
    host = _Host()
    host.cache.advance(_SERVERS, 10)
    host.cache.defer(_make_update("a", 7))
    assert host.cache.get_applied_revision(_SERVERS) == 6
    host.cache.cancel_deferral(_make_update("a", 7))
    assert host.cache.get_applied_revision(_SERVERS) == 10


async def test_deferred_deletion_is_applied_when_another_host_confirms_it():
    confirming, deferring = _Host(), _Host()
    for host in (confirming, deferring):
        host.cache.apply(_make_update("a", 3, "x"))
        host.cache.advance(_SERVERS, 5)
    confirming.cache.apply(_make_update("a", 7))
    confirming.cache.advance(_SERVERS, 7)
    deferring.cache.defer(_make_update("a", 7))
    deferring.cache.advance(_SERVERS, 9)
    applied = {
        each: deferring.cache.get_applied_revision(each)
        for each in object_cache.Collection
    }
    assert applied[_SERVERS] < confirming.cache.get_applied_revision(_SERVERS)
    document = peer_sync.encode_updates(confirming.cache, applied)
    peer_sync.apply_updates(deferring.cache, document)
    assert deferring.values == {}
    assert deferring.cache.get_applied_revision(_SERVERS) == 9


class CacheSync(stateful.RuleBasedStateMachine):
    """Hosts that read from the store and from each other at random times."""

    host_count = 3
    names = ("a", "b", "c")

    def __init__(self):
        super().__init__()
        self.revision = 0
        self.log: list[object_cache.Update] = []
        self.hosts = [_Host() for _ in range(self.host_count)]

    @stateful.rule(name=strategies.sampled_from(names))
    def write(self, name):
        """An object is written."""
        self.revision += 1
        self.log.append(_make_update(name, self.revision, f"v{self.revision}"))

    @stateful.rule(name=strategies.sampled_from(names))
    def delete(self, name):
        """An object is deleted."""
        self.revision += 1
        self.log.append(_make_update(name, self.revision))

    @stateful.rule(host=strategies.integers(0, host_count - 1))
    def watch(self, host):
        """A host receives all changes from the store."""
        cache = self.hosts[host].cache
        for update in self.log:
            if update.revision > cache.get_received_revision(_SERVERS):
                cache.apply(update)
        cache.advance(_SERVERS, self.revision)

    @stateful.rule(
        sender=strategies.integers(0, host_count - 1),
        receiver=strategies.integers(0, host_count - 1),
    )
    def fetch(self, sender, receiver):
        """A host fetches the updates that it lacks from another one."""
        received = {
            each: self.hosts[receiver].cache.get_received_revision(each)
            for each in object_cache.Collection
        }
        document = peer_sync.encode_updates(self.hosts[sender].cache, received)
        peer_sync.apply_updates(self.hosts[receiver].cache, document)

    @stateful.rule(host=strategies.integers(0, host_count - 1))
    def restart(self, host):
        """A host starts again and knows nothing."""
        self.hosts[host] = _Host()

    @stateful.rule(host=strategies.integers(0, host_count - 1))
    def list_store(self, host):
        """A host lists the store, as after a start or a lost history."""
        cache = self.hosts[host].cache
        stored = self._find_stored(self.revision)
        if self.revision > cache.get_received_revision(_SERVERS):
            cache.raise_complete_since(_SERVERS, self.revision)
        for update in stored.values():
            cache.apply(update)
        for update in cache.infer_deletions(_SERVERS, stored, self.revision):
            cache.apply(update)
        cache.advance(_SERVERS, self.revision)

    def _find_stored(self, revision: int) -> dict[str, object_cache.Update]:
        """Returns the objects that the store has at a revision."""
        stored = {
            update.name: update
            for update in self.log
            if update.revision <= revision
        }
        return {k: v for k, v in stored.items() if v.document is not None}

    @stateful.invariant()
    def matches_the_store_at_the_received_revision(self):
        """Each cache equals the store's state at its received revision."""
        for host in self.hosts:
            reached = host.cache.get_received_revision(_SERVERS)
            assert host.values == {
                name: update.document
                for name, update in self._find_stored(reached).items()
            }


TestCacheSync = CacheSync.TestCase


def test_revisions_of_a_later_era_are_higher():
    later = object_cache.make_revision(2, 5)
    assert later > object_cache.make_revision(1, 10**9)
    assert object_cache.split_revision(later) == (2, 5)
    assert object_cache.make_revision(0, 7) == 7


def test_objects_that_an_older_copy_lacks_stay_until_they_are_given_up():
    host = _Host()
    host.cache.apply(_make_update("a", 3, "x"))
    host.cache.apply(_make_update("b", 9, "y"))
    host.cache.advance(_SERVERS, 9)
    revision = object_cache.make_revision(1, 5)
    listing = object_cache.Listing(
        (_make_update("a", object_cache.make_revision(1, 3), "x"),), revision
    )
    assert host.cache.infer_deletions(_SERVERS, {"a"}, revision) == []
    for update in listing.updates:
        host.cache.apply(update)
    host.cache.advance(_SERVERS, revision)
    assert host.values == {"a": "x", "b": "y"}
    for update in host.cache.list_unconfirmed(_SERVERS):
        host.cache.apply(update)
    assert host.values == {"a": "x"}
    host.cache.apply(
        _make_update("b", object_cache.make_revision(1, 6), "again")
    )
    assert host.values == {"a": "x", "b": "again"}


def test_deletions_of_a_new_era_are_known_since_its_latest_listing():
    # What was created and deleted between two listings is in neither.
    cache = _Host().cache
    cache.raise_complete_since(_SERVERS, 9)
    cache.advance(_SERVERS, 9)
    first = object_cache.make_revision(1, 5)
    for revision in (first, first + 2, 12, first + 1):
        cache.raise_complete_since(_SERVERS, revision)
        cache.advance(_SERVERS, revision)
    assert cache.get_complete_since(_SERVERS) == first + 2


def test_new_era_is_reported_once_and_drops_deferrals():
    changes = []
    cache = object_cache.ObjectCache(
        decode=lambda collection, name, document: document,
        on_update=lambda update, value: None,
        on_new_era=lambda *change: changes.append(change),
    )
    cache.advance(_SERVERS, 9)
    cache.defer(_make_update("a", 7))
    revision = object_cache.make_revision(3, 4)
    for number in (4, 5):
        cache.advance(_SERVERS, object_cache.make_revision(3, number))
    cache.advance(_SERVERS, object_cache.make_revision(2, 900))
    assert changes == [(_SERVERS, 9, revision)]
    assert cache.get_applied_revision(_SERVERS) == revision + 1


def test_configuration_of_an_older_copy_does_not_replace_a_later_version():
    # The store had come back from a copy without the version in force.
    configuration = object_cache.Collection.CONFIGURATION
    values = []

    def make_update(era, number, version):
        return object_cache.Update(
            configuration,
            "main",
            object_cache.make_revision(era, number),
            version,
        )

    cache = object_cache.ObjectCache(
        decode=lambda collection, name, document: document,
        on_update=lambda update, value: values.append(value),
        supersedes=lambda collection, new, old: new >= old,
    )
    cache.apply(make_update(0, 30, 18))
    assert cache.apply(make_update(1, 20, 14))
    assert values == [18]
    # A host that has just started gets the later version.
    (update,) = cache.list_updates(configuration)
    assert update == make_update(1, 20, 18)
    cache.apply(make_update(1, 25, 20))
    assert values == [18, 20]


class EraSync(stateful.RuleBasedStateMachine):
    """Hosts that follow a store which goes back to copies of itself."""

    host_count = 3
    names = strategies.sampled_from(("a", "b", "c"))
    collection = _SERVERS

    def __init__(self):
        super().__init__()
        self.era = 0
        self.number = 0
        self.writes = 0
        self.objects: dict[str, object_cache.Update] = {}
        # For each era what the store began with, and the changes since.
        self.history = {0: ({}, [])}
        self.copy = (0, {})
        self.hosts = [self._make_host() for _ in range(self.host_count)]

    def _make_host(self):
        return _Host()

    def _make_document(self):
        self.writes += 1
        return f"v{self.writes}"

    def _change(self, name, document):
        self.number += 1
        revision = object_cache.make_revision(self.era, self.number)
        update = object_cache.Update(self.collection, name, revision, document)
        self.history[self.era][1].append(update)
        if document is None:
            self.objects.pop(name, None)
        else:
            self.objects[name] = update

    @stateful.rule(name=names)
    def write(self, name):
        """An object is written."""
        self._change(name, self._make_document())

    @stateful.rule(name=names)
    def delete(self, name):
        """An object is deleted."""
        if name in self.objects:
            self._change(name, None)

    @stateful.rule()
    def take_copy(self):
        """The store is copied."""
        self.copy = (self.number, dict(self.objects))

    @stateful.rule()
    def restore(self):
        """The store goes back to the copy."""
        self.era += 1
        self.number, objects = self.copy
        self.objects = {
            name: update._replace(
                revision=object_cache.make_revision(
                    self.era, object_cache.split_revision(update.revision)[1]
                )
            )
            for name, update in objects.items()
        }
        self.history[self.era] = (dict(self.objects), [])

    @stateful.rule(host=strategies.integers(0, host_count - 1))
    def list_store(self, host):
        """A host lists the store."""
        cache = self.hosts[host].cache
        revision = object_cache.make_revision(self.era, self.number)
        listing = object_cache.Listing(tuple(self.objects.values()), revision)
        cache.raise_complete_since(self.collection, revision)
        for update in listing.updates:
            cache.apply(update)
        for update in cache.infer_deletions(
            self.collection, set(self.objects), revision
        ):
            cache.apply(update)
        cache.advance(self.collection, revision)

    @stateful.rule(host=strategies.integers(0, host_count - 1))
    def watch(self, host):
        """A host that has the present era receives all changes since."""
        cache = self.hosts[host].cache
        received = cache.get_received_revision(self.collection)
        if not received or object_cache.get_era(received) != self.era:
            self.list_store(host)
            return
        for update in self.history[self.era][1]:
            if update.revision > received:
                cache.apply(update)
        cache.advance(
            self.collection, object_cache.make_revision(self.era, self.number)
        )

    @stateful.rule(
        sender=strategies.integers(0, host_count - 1),
        receiver=strategies.integers(0, host_count - 1),
    )
    def fetch(self, sender, receiver):
        """A host fetches the updates that it lacks from another one."""
        have = peer_sync.list_revisions(self.hosts[receiver].cache)
        cache = self.hosts[sender].cache
        document = peer_sync.encode_updates(
            cache, peer_sync.decode_revisions(cache, have)
        )
        peer_sync.apply_updates(self.hosts[receiver].cache, document)

    @stateful.rule(host=strategies.integers(0, host_count - 1))
    def give_up_unconfirmed(self, host):
        """The time in which writers write again is over at a host."""
        cache = self.hosts[host].cache
        for update in cache.list_unconfirmed(self.collection):
            cache.apply(update)

    @stateful.invariant()
    def has_what_the_era_has(self):
        """No object that a host should have is missing."""
        for host in self.hosts:
            received = host.cache.get_received_revision(self.collection)
            if not received:
                continue
            began, changes = self.history[object_cache.get_era(received)]
            stored = dict(began)
            for update in changes:
                if update.revision <= received:
                    stored[update.name] = update
            deleted_later = {
                update.name
                for update in changes
                if update.revision > received and update.document is None
            }
            for name, update in stored.items():
                if update.document is not None and name not in deleted_later:
                    assert name in host.values

    def teardown(self):
        """After some quiet time all hosts equal the store."""
        for number, host in enumerate(self.hosts):
            self.watch(number)
            self.give_up_unconfirmed(number)
            assert host.values == {
                name: update.document for name, update in self.objects.items()
            }


TestEraSync = EraSync.TestCase


class _Configuration(NamedTuple):
    """A decoded configuration; its document is the version."""

    version: int


def _make_version_host() -> _Host:
    """Returns a host of which a configuration with a lower version is kept."""
    return _Host(
        decode=lambda collection, name, document: _Configuration(document),
        supersedes=lambda collection, new, old: (
            old is None or (new is not None and new.version >= old.version)
        ),
    )


def _apply_version(host: _Host, era: int, number: int, version) -> bool:
    """Applies a configuration that the store has; None for a deletion."""
    return host.cache.apply(_make_configuration(era, number, version))


def _make_configuration(era: int, number: int, version) -> object_cache.Update:
    return object_cache.Update(
        object_cache.Collection.CONFIGURATION,
        "main",
        object_cache.make_revision(era, number),
        version,
    )


def test_configuration_is_kept_until_the_store_has_its_version_again():
    host = _make_version_host()
    _apply_version(host, 0, 30, 18)
    assert host.cache.kept_version == 0
    _apply_version(host, 1, 20, 14)
    assert host.cache.kept_version == 18
    # The operator writes what was lost again, one by one.
    for number, version in ((26, 16), (27, None)):
        assert _apply_version(host, 1, number, version)
        assert host.values == {"main": _Configuration(18)}
        (update,) = host.cache.list_updates(
            object_cache.Collection.CONFIGURATION
        )
        assert update == _make_configuration(1, number, 18)
        assert host.cache.kept_version == 18
    _apply_version(host, 1, 28, 18)
    assert host.cache.kept_version == 0
    # Without a return the store is the authority.
    _apply_version(host, 1, 29, 17)
    assert host.values == {"main": _Configuration(17)}


def test_configuration_that_the_copy_lacks_is_kept_and_passed_on():
    host, fresh = _make_version_host(), _make_version_host()
    configuration = object_cache.Collection.CONFIGURATION
    _apply_version(host, 0, 30, 1)
    host.cache.advance(configuration, 30)
    for each in (host, fresh):
        revision = object_cache.make_revision(1, 25)
        each.cache.raise_complete_since(configuration, revision)
        for _ in range(2):
            for update in each.cache.infer_deletions(
                configuration, (), revision
            ):
                each.cache.apply(update)
            each.cache.advance(configuration, revision)
    assert host.cache.kept_version == 1
    _meet(host.cache, fresh.cache)
    assert fresh.values == {"main": _Configuration(1)}
    assert fresh.cache.kept_version == 1


def test_kept_configuration_replaces_only_earlier_versions():
    make_revision = functools.partial(object_cache.make_revision, 1)
    host = _make_version_host()
    kept = _make_configuration(1, 20, 18)
    _apply_version(host, 1, 26, 15)
    assert host.cache.adopt(kept)
    assert host.values == {"main": _Configuration(18)}
    assert host.cache.kept_version == 18
    generation = host.cache.generation
    assert not host.cache.adopt(kept)
    assert host.cache.generation == generation
    _apply_version(host, 1, 28, 19)
    assert not host.cache.adopt(kept)
    assert host.values == {"main": _Configuration(19)}
    assert host.cache.kept_version == 0
    host.cache.adopt(kept._replace(revision=make_revision(29)))
    assert host.values == {"main": _Configuration(19)}
    assert host.cache.kept_version == 19


def test_kept_configuration_from_a_build_that_does_not_say_so_is_kept_later():
    host = _make_version_host()
    kept = _make_configuration(1, 20, 18)
    host.cache.apply(kept)
    assert host.cache.kept_version == 0
    assert not host.cache.adopt(kept)
    assert host.cache.kept_version == 18


def _meet(
    source: object_cache.ObjectCache, target: object_cache.ObjectCache
) -> None:
    """Lets a host hear of another one and fetch what it lacks from it."""
    stated = peer_sync.list_revisions(source)
    query = peer_sync.make_query(
        target,
        whole_configuration=peer_sync.find_kept_version(target, stated) > 0,
    )
    document = peer_sync.encode_updates(
        source, peer_sync.decode_revisions(source, query)
    )
    peer_sync.apply_updates(target, document)


class VersionSync(EraSync):
    """Hosts whose configuration goes back with the store, but not in force.

    The operator writes increasing versions, and the last one again when the
    store has gone back.
    """

    collection = object_cache.Collection.CONFIGURATION

    def __init__(self):
        super().__init__()
        self.in_force = [0] * self.host_count

    def _make_host(self):
        return _make_version_host()

    def _make_document(self):
        self.writes += 1
        return self.writes

    def _get_version(self, number: int) -> int:
        """Returns the version that a host knows, 0 if it knows none."""
        return getattr(self.hosts[number].values.get("main"), "version", 0)

    # Configurations are neither deleted nor given up.
    delete = None
    give_up_unconfirmed = None

    @stateful.rule()
    def write(self):
        """The operator writes the next version."""
        self._change("main", self._make_document())

    @stateful.rule()
    def write_again(self):
        """The operator writes the last version again."""
        if self.writes:
            self._change("main", self.writes)

    @stateful.rule(host=strategies.integers(0, EraSync.host_count - 1))
    def restart(self, host):
        """A host restarts and knows nothing."""
        self.hosts[host] = self._make_host()
        self.in_force[host] = 0

    @stateful.rule(
        sender=strategies.integers(0, EraSync.host_count - 1),
        receiver=strategies.integers(0, EraSync.host_count - 1),
    )
    def fetch(self, sender, receiver):
        """A host hears of another one and fetches what it lacks."""
        _meet(self.hosts[sender].cache, self.hosts[receiver].cache)

    @stateful.invariant()
    def version_never_goes_back(self):
        """A host that has put a version in force keeps it or a later one."""
        for number in range(self.host_count):
            version = self._get_version(number)
            assert version >= self.in_force[number]
            self.in_force[number] = version

    def teardown(self):
        """All hosts get the latest version that any of them knows.

        They have the last one once it is written again.
        """
        hosts = range(self.host_count)
        for number in hosts:
            self.watch(number)
        latest = max(self._get_version(number) for number in hosts)
        for sender, receiver in itertools.permutations(hosts, 2):
            self.fetch(sender, receiver)
        for number in hosts:
            assert self._get_version(number) == latest
        self.write_again()
        for number in hosts:
            self.watch(number)
            assert self._get_version(number) == self.writes
            assert self.hosts[number].cache.kept_version == 0


TestVersionSync = VersionSync.TestCase
