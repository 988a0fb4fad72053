"""Tests of the writer of rollouts' status, with a store that can fail."""

import asyncio

from eelgrasshall.gateway import election
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import rollout_writer
from eelgrasshall.gateway import rollouts
from eelgrasshall.gateway import watcher

_ROLLOUTS = object_cache.Collection.ROLLOUTS
_NEW = model.Rollout("orders", "v2", 12.0)


class _Store:
    """A store with one order; a test makes it fail."""

    def __init__(self):
        self.revision = 1
        self.order: model.Rollout | None = _NEW
        self.writes: list[tuple[str, bool]] = []
        self.loses_answers = False
        self.down = False

    def replace(self, order: model.Rollout | None) -> None:
        """Replaces or deletes the order."""
        self.revision += 1
        self.order = order

    async def write_rollout_status(self, rollout, revision):
        if self.down:
            return None
        accepted = self.order is not None and revision == self.revision
        self.writes.append((rollout.state.value, accepted))
        if accepted:
            self.replace(self.order._replace(state=rollout.state))
        return None if self.loses_answers else accepted

    async def read_all(self, collection):
        if self.down:
            return watcher.Unavailable("down")
        updates = ()
        if self.order is not None:
            updates = (
                object_cache.Update(
                    collection, "orders", self.revision, self.order
                ),
            )
        return object_cache.Listing(updates, self.revision)


class _Host:
    """A host with a writer."""

    def __init__(self, store: _Store, name: str = "h1"):
        self.now = 0.0
        self.name = name
        self.fleet = _make_fleet(name)
        self.orders = rollouts.Rollouts(
            own=name, incarnation=1, bound=rollouts.Bound()
        )
        self.cache = object_cache.ObjectCache(
            decode=lambda collection, name, document: document,
            on_update=lambda update, value: self.orders.set_order(
                update.name, value, update.revision, self.now
            ),
            collections=tuple(object_cache.Collection),
        )
        self.log = fakes.Log()
        self.writer = rollout_writer.RolloutWriter(
            orders=self.orders,
            store=store,
            cache=self.cache,
            get_fleet=lambda: self.fleet,
            loop=self,
            log=self.log,
            count=lambda name: None,
        )

    def time(self) -> float:
        """Returns the time that the writer sees."""
        return self.now

    def watch(self, store: _Store) -> None:
        """Applies what a watch of the store brings."""
        self.cache.apply(
            object_cache.Update(
                _ROLLOUTS, "orders", store.revision, store.order
            )
        )

    def find_bad(self) -> None:
        """Lets the host find the target bad."""
        for version, answer in (
            ("v1", rollouts.Answer.GOOD),
            ("v2", rollouts.Answer.FAILED),
        ):
            for _ in range(50):
                self.orders.record_answer(
                    "orders", "find", version, answer, self.now
                )


def _make_fleet(own: str, *others: str, lost: str = "") -> rollout_writer.Fleet:
    return rollout_writer.Fleet(
        election.Candidate(own, "a", own != lost),
        tuple(election.Candidate(name, "a", name != lost) for name in others),
        others,
        False,
    )


async def test_writer_writes_running_and_the_end_state():
    store = _Store()
    host = _Host(store)
    host.watch(store)
    assert await host.writer.write_due()
    assert store.order.state is model.RolloutState.RUNNING
    host.find_bad()
    assert await host.writer.write_due()
    assert store.order.state is model.RolloutState.ROLLED_BACK
    await host.writer.write_due()
    assert store.writes == [("running", True), ("rolled back", True)]
    logged = host.log.list_events("rollout_status")
    assert [line["result"] for line in logged] == ["accepted", "accepted"]


async def test_answer_that_is_lost_is_read_back():
    # A second write of the same state would be refused, and could undo what
    # another host has written meanwhile if it were not conditional.
    store = _Store()
    store.loses_answers = True
    host = _Host(store)
    host.watch(store)
    for _ in range(3):
        await host.writer.write_due()
    assert store.writes == [("running", True)]


async def test_next_host_continues_when_the_writer_is_lost_between_writes():
    store = _Store()
    hosts = [_Host(store, name) for name in ("h1", "h2", "h3")]
    names = [host.name for host in hosts]
    for host in hosts:
        host.fleet = _make_fleet(
            host.name, *(name for name in names if name != host.name)
        )
        host.watch(store)
        await host.writer.write_due()
    # One writer only.
    assert store.writes == [("running", True)]
    first = rollout_writer.choose_writer("orders", hosts[0].fleet)
    rest = [host for host in hosts if host.name != first]
    for host in rest:
        host.watch(store)
        host.find_bad()
        await host.writer.write_due()
    assert store.writes == [("running", True)]
    for host in rest:
        host.fleet = _make_fleet(
            host.name, *(each.name for each in rest if each is not host)
        )
    await asyncio.gather(*(host.writer.write_due() for host in rest))
    assert store.order.state is model.RolloutState.ROLLED_BACK
    assert len(store.writes) == 2


async def test_hosts_that_do_not_reach_the_store_do_not_write():
    store = _Store()
    host = _Host(store)
    host.watch(store)
    host.fleet = _make_fleet("h1", "h2", lost="h1")
    await host.writer.write_due()
    assert not store.writes
    assert rollout_writer.choose_writer("orders", host.fleet) == "h2"


async def test_two_writers_that_do_not_hear_each_other_write_once():
    store = _Store()
    hosts = [_Host(store, name) for name in ("h1", "h2")]
    for host in hosts:
        host.watch(store)
    for host in hosts:
        await host.writer.write_due()
    assert store.writes == [("running", True), ("running", False)]
    # The second one has read what the first one wrote.
    await hosts[1].writer.write_due()
    assert len(store.writes) == 2


async def test_end_state_is_written_when_the_store_is_back():
    store = _Store()
    host = _Host(store)
    host.watch(store)
    await host.writer.write_due()
    host.find_bad()
    store.down = True
    assert not await host.writer.write_due()
    assert host.log.list_events("rollout_read_failed")
    store.down = False
    assert await host.writer.write_due()
    assert store.order.state is model.RolloutState.ROLLED_BACK


async def test_order_replaced_before_a_write_is_not_given_its_state():
    store = _Store()
    host = _Host(store)
    host.watch(store)
    await host.writer.write_due()
    host.find_bad()
    # Not seen by the host yet.
    store.replace(_NEW._replace(target_version="v3"))
    await host.writer.write_due()
    assert store.order.state is model.RolloutState.NEW
    # The order that it has read back instead is a new one.
    await host.writer.write_due()
    assert store.order.state is model.RolloutState.RUNNING
    assert store.order.target_version == "v3"


async def test_order_deleted_before_a_write_is_not_written():
    store = _Store()
    host = _Host(store)
    host.watch(store)
    await host.writer.write_due()
    host.find_bad()
    store.replace(None)
    await host.writer.write_due()
    assert store.writes[-1] == ("rolled back", False)
    host.cache.apply(
        object_cache.Update(_ROLLOUTS, "orders", store.revision, None)
    )
    await host.writer.write_due()
    assert len(store.writes) == 2


async def test_end_state_that_another_host_wrote_is_not_replaced():
    store = _Store()
    host = _Host(store)
    host.watch(store)
    await host.writer.write_due()
    host.find_bad()
    store.replace(_NEW._replace(state=model.RolloutState.COMPLETED))
    for _ in range(3):
        await host.writer.write_due()
    assert store.order.state is model.RolloutState.COMPLETED
    assert not host.orders.take_trial("orders", 1.0, available=True)
