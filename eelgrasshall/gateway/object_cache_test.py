"""Tests of the cache of the store's objects."""

from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies

from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import peer_sync

_SERVERS = object_cache.Collection.SERVERS


class _Host:
    """A cache and the values that its updates led to."""

    def __init__(self):
        self.values: dict[str, object] = {}
        self.cache = object_cache.ObjectCache(
            decode=lambda collection, name, document: document,
            on_update=self._on_update,
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
    listing = object_cache.Listing((), 5)
    deletions = host.cache.infer_deletions(listing, _SERVERS)
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

    @stateful.invariant()
    def matches_the_store_at_the_received_revision(self):
        """Each cache equals the store's state at its received revision."""
        for host in self.hosts:
            reached = host.cache.get_received_revision(_SERVERS)
            stored = {}
            for update in self.log:
                if update.revision <= reached:
                    stored[update.name] = update.document
            expected = {k: v for k, v in stored.items() if v is not None}
            assert host.values == expected


TestCacheSync = CacheSync.TestCase
