"""Tests of watching the store, with scripted answers and failures."""

import asyncio
import functools
import random

import pytest

from eelgrasshall.gateway import deletions
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import peer_sync
from eelgrasshall.gateway import watcher

_SERVERS = object_cache.Collection.SERVERS
# The shortest bound within which a change must be in force, seconds.
_BOUND_S = 3.0


class _Store:
    """Gives scripted answers, and does not answer after the last one."""

    def __init__(self, *, listings, answers):
        self.listings = list(listings)
        self.answers = list(answers)
        self.calls: list[str] = []
        self.waits_s: list[float] = []

    async def read_all(self, collection):
        self.calls.append("list")
        if not self.listings:
            await asyncio.Event().wait()
        return self.listings.pop(0)

    async def wait_for_changes(self, collection, revision, wait_s):
        self.calls.append(f"watch {revision}")
        self.waits_s.append(wait_s)
        if not self.answers:
            await asyncio.Event().wait()
        return self.answers.pop(0)


def _make_update(
    name: str, revision: int, document=None
) -> object_cache.Update:
    return object_cache.Update(_SERVERS, name, revision, document)


def _make_listing(
    revision: int, *updates: object_cache.Update
) -> object_cache.Listing:
    return object_cache.Listing(updates, revision)


class _WatcherRun:
    """A watcher under test and the values that its updates led to."""

    def __init__(self, store, *, should_watch=lambda: True, bound_s=_BOUND_S):
        self.values: dict[str, object] = {}
        self.log = fakes.Log()
        self.cache = object_cache.ObjectCache(
            decode=lambda collection, name, document: document,
            on_update=self._on_update,
        )
        self.watcher = watcher.Watcher(
            collection=_SERVERS,
            store=store,
            cache=self.cache,
            deletions=deletions.Deletions(
                collection=_SERVERS,
                cache=self.cache,
                loop=asyncio.get_running_loop(),
                log=self.log,
                bound_s=bound_s,
            ),
            log=self.log,
            random=random.Random(1),
            should_watch=should_watch,
            bound_s=bound_s,
        )

    def _on_update(self, update, value):
        if value is None:
            self.values.pop(update.name, None)
        else:
            self.values[update.name] = value

    async def run_for(self, seconds: float):
        task = asyncio.create_task(self.watcher.run())
        await asyncio.sleep(seconds)
        task.cancel()


def _override(monkeypatch, **constants: float):
    for name, value in constants.items():
        module = deletions if hasattr(deletions, name) else watcher
        monkeypatch.setattr(module, name, value)


def test_deferred_deletions_are_in_force_within_the_bound():
    assert deletions.DELETION_GRACE_S + watcher.MAX_BATCH_DELAY_S < _BOUND_S


async def test_watch_leaves_others_most_of_the_bound_to_take_over():
    # A watcher whose calls are swallowed notices it when the wait has timed
    # out.  In a large fleet heartbeats, the fallback and the exchange between
    # hosts then need some seconds: with a wait of 3.6 s, servers got requests
    # 6.02 s after they had begun to drain (inc-f889).
    store = _Store(listings=[_make_listing(5)], answers=[])
    await _WatcherRun(store, bound_s=6.0).run_for(0.05)
    assert store.waits_s and max(store.waits_s) < 6.0 / 3


async def test_watches_continue_from_the_listing(monkeypatch):
    _override(monkeypatch, MIN_BATCH_DELAY_S=0.0, DELETION_GRACE_S=0.0)
    store = _Store(
        listings=[_make_listing(5, _make_update("a", 3, "x"))],
        answers=[
            _make_listing(8, _make_update("b", 8, "y")),
            _make_listing(9, _make_update("a", 9)),
        ],
    )
    run = _WatcherRun(store)
    await run.run_for(0.05)
    assert store.calls == ["list", "watch 5", "watch 8", "watch 9"]
    assert run.values == {"b": "y"}


async def test_missing_history_causes_a_new_listing(monkeypatch):
    _override(monkeypatch, MIN_BATCH_DELAY_S=0.0, DELETION_GRACE_S=0.0)
    store = _Store(
        listings=[
            _make_listing(5, _make_update("a", 3, "x")),
            _make_listing(9),
        ],
        answers=[watcher.HistoryGone()],
    )
    run = _WatcherRun(store)
    await run.run_for(0.05)
    assert store.calls[:3] == ["list", "watch 5", "list"]
    assert run.values == {}
    assert run.log.list_events("history_gone")


async def test_deletions_after_a_store_outage_are_deferred(monkeypatch):
    _override(
        monkeypatch,
        MIN_BATCH_DELAY_S=0.0,
        DELETION_GRACE_S=0.15,
        MIN_BACKOFF_S=0.001,
    )
    store = _Store(
        listings=[
            _make_listing(
                5, _make_update("a", 3, "x"), _make_update("b", 4, "y")
            )
        ],
        answers=[
            watcher.Unavailable("reset"),
            _make_listing(7, _make_update("a", 6), _make_update("b", 7)),
            _make_listing(8, _make_update("a", 8, "x")),
        ],
    )
    run = _WatcherRun(store)
    await run.run_for(0.08)
    assert run.values == {"a": "x", "b": "y"}
    # A deferred update must not be reported to other hosts as applied.
    assert run.cache.get_applied_revision(_SERVERS) == 6
    await asyncio.sleep(0.15)
    assert run.values == {"a": "x"}
    assert run.log.list_events("store_lost") and run.log.list_events(
        "store_regained"
    )


async def test_mass_deletion_is_deferred(monkeypatch):
    _override(
        monkeypatch,
        MIN_BATCH_DELAY_S=0.06,
        MAX_BATCH_DELAY_S=0.06,
        DELETION_GRACE_S=0.05,
    )
    names = [f"s{i}" for i in range(6)]
    store = _Store(
        listings=[_make_listing(9, *(_make_update(n, 1, n) for n in names))],
        answers=[
            _make_listing(9),
            _make_listing(9),
            _make_listing(20, *(_make_update(n, 15) for n in names)),
        ],
    )
    run = _WatcherRun(store)
    task = asyncio.create_task(run.watcher.run())
    await asyncio.sleep(0.14)
    assert len(run.values) == 6
    await asyncio.sleep(0.06)
    assert run.values == {}
    task.cancel()


async def test_deletions_are_deferred_when_a_host_begins_to_watch(monkeypatch):
    _override(
        monkeypatch,
        MIN_BATCH_DELAY_S=0.0,
        DELETION_GRACE_S=0.15,
        ROLE_POLL_INTERVAL_S=0.005,
        INITIAL_ROLE_DELAY_S=0.0,
    )
    store = _Store(
        listings=[], answers=[_make_listing(9, _make_update("a", 8))]
    )
    elected = [False]
    run = _WatcherRun(store, should_watch=lambda: elected[0])
    run.cache.apply(_make_update("a", 3, "x"))
    run.cache.advance(_SERVERS, 5)
    task = asyncio.create_task(run.watcher.run())
    await asyncio.sleep(0.03)
    assert store.calls == [] and not run.watcher.connected
    elected[0] = True
    await asyncio.sleep(0.05)
    assert store.calls[0] == "watch 5" and run.watcher.connected
    assert run.values == {"a": "x"}
    await asyncio.sleep(0.2)
    assert run.values == {}
    task.cancel()


async def test_single_deletion_in_steady_state_is_applied_at_once(monkeypatch):
    _override(
        monkeypatch,
        MIN_BATCH_DELAY_S=0.06,
        MAX_BATCH_DELAY_S=0.06,
        DELETION_GRACE_S=0.05,
    )
    store = _Store(
        listings=[_make_listing(5, _make_update("a", 3, "x"))],
        answers=[
            _make_listing(5),
            _make_listing(5),
            _make_listing(6, _make_update("a", 6)),
        ],
    )
    run = _WatcherRun(store)
    task = asyncio.create_task(run.watcher.run())
    await asyncio.sleep(0.14)
    assert run.values == {}
    task.cancel()


def test_batch_delay_grows_with_a_stream_of_changes_and_resets_afterwards():
    """Simulates a stream of changes for ten seconds, then a quiet time."""
    now, delay_s, calls = 0.0, watcher.MIN_BATCH_DELAY_S, 0
    while now < 10.0:
        waited_s = 0.05
        calls += 1
        delay_s = watcher.choose_batch_delay_s(delay_s, waited_s)
        now += waited_s + delay_s
    # A constant delay of 0.1 s would take 67 calls.
    assert calls < 35
    assert (
        watcher.choose_batch_delay_s(delay_s, 1.8) == watcher.MIN_BATCH_DELAY_S
    )


async def test_listing_of_a_new_host_states_since_when_deletions_are_known():
    run = _WatcherRun(_Store(listings=[_make_listing(5)], answers=[]))
    await run.run_for(0.05)
    assert run.cache.get_complete_since(_SERVERS) == 5


async def test_later_listing_raises_since_when_deletions_are_known():
    # The host does not know what was created and deleted between the two.  It
    # stated the first listing, so that others which knew such a server took
    # over its revision and kept the server.
    store = _Store(
        listings=[_make_listing(5), _make_listing(9)],
        answers=[watcher.HistoryGone()],
    )
    run = _WatcherRun(store)
    await run.run_for(0.05)
    assert store.calls.count("list") == 2
    assert run.cache.get_complete_since(_SERVERS) == 9


async def _begin_to_watch(
    monkeypatch, *, gap_s: float, deleted: int
) -> _WatcherRun:
    """Lets a host watch that was up to date some time ago; see `_override`.

    The bound is 3 s and its scale a tenth of that in use.
    """
    _override(
        monkeypatch,
        MIN_BATCH_DELAY_S=0.0,
        DELETION_GRACE_S=0.24,
        DISTRIBUTION_S=0.06,
        INITIAL_ROLE_DELAY_S=0.0,
    )
    names = [f"s{number}" for number in range(deleted)]
    deletions_seen = [_make_update(name, 8) for name in names]
    store = _Store(listings=[], answers=[_make_listing(9, *deletions_seen)])
    run = _WatcherRun(store, bound_s=0.3)
    others = [f"other{number}" for number in range(20)]
    for name in [*names, *others]:
        run.cache.apply(_make_update(name, 3, "x"))
    run.cache.advance(_SERVERS, 5)
    loop = asyncio.get_running_loop()
    run.cache.record_current(_SERVERS, loop.time() - gap_s)
    return run


@pytest.mark.parametrize("deleted", [1, 5])
async def test_doubt_of_a_host_that_begins_to_watch_ends_within_the_bound(
    monkeypatch, deleted
):
    # It doubted deletions for 2.4 s from the moment at which it saw them,
    # 1.6 s after the hosts that watched were lost (DRAIN, review/4).
    run = await _begin_to_watch(monkeypatch, gap_s=0.16, deleted=deleted)
    task = asyncio.create_task(run.watcher.run())
    await asyncio.sleep(0.04)
    assert len(run.values) == 20 + deleted
    assert run.cache.get_applied_revision(_SERVERS) == 7
    await asyncio.sleep(0.08)
    assert len(run.values) == 20
    assert run.cache.get_applied_revision(_SERVERS) == 9
    task.cancel()


async def test_deletions_after_a_gap_beyond_the_bound_are_doubted_in_full(
    monkeypatch,
):
    # Nobody has reached the store for so long that entries may have lapsed.
    run = await _begin_to_watch(monkeypatch, gap_s=0.5, deleted=2)
    task = asyncio.create_task(run.watcher.run())
    await asyncio.sleep(0.2)
    assert len(run.values) == 22
    await asyncio.sleep(0.1)
    assert len(run.values) == 20
    task.cancel()


async def test_deletion_of_most_servers_shows_an_outage(monkeypatch):
    # The hosts that watched were lost with calls that the store had swallowed,
    # so that nobody had seen a failure.
    run = await _begin_to_watch(monkeypatch, gap_s=0.16, deleted=25)
    task = asyncio.create_task(run.watcher.run())
    await asyncio.sleep(0.2)
    assert len(run.values) == 45
    await asyncio.sleep(0.1)
    assert len(run.values) == 20
    task.cancel()


async def test_failed_call_shows_an_outage_whatever_others_state(monkeypatch):
    run = await _begin_to_watch(monkeypatch, gap_s=0.16, deleted=2)
    _override(monkeypatch, MIN_BACKOFF_S=0.02)
    run.watcher._store.answers.insert(0, watcher.Unavailable("reset"))
    task = asyncio.create_task(run.watcher.run())
    await asyncio.sleep(0.2)
    assert len(run.values) == 22
    await asyncio.sleep(0.1)
    assert len(run.values) == 20
    task.cancel()


async def test_servers_that_an_older_copy_lacks_are_kept(monkeypatch):
    _override(monkeypatch, MIN_BATCH_DELAY_S=0.0, DELETION_GRACE_S=0.1)
    era_1 = functools.partial(object_cache.make_revision, 1)
    store = _Store(
        listings=[
            _make_listing(
                9, _make_update("a", 3, "x"), _make_update("b", 9, "y")
            ),
            _make_listing(era_1(5), _make_update("a", era_1(3), "x")),
        ],
        answers=[watcher.HistoryGone()],
    )
    run = _WatcherRun(store)
    await run.run_for(0.05)
    assert run.values == {"a": "x", "b": "y"}
    assert store.calls[-1] == f"watch {era_1(5)}"


async def test_deletion_soon_after_the_store_came_back_is_deferred(
    monkeypatch,
):
    _override(
        monkeypatch,
        MIN_BATCH_DELAY_S=0.06,
        MAX_BATCH_DELAY_S=0.06,
        DELETION_GRACE_S=0.1,
    )
    era_1 = functools.partial(object_cache.make_revision, 1)
    store = _Store(
        listings=[
            _make_listing(9, _make_update("a", 3, "x")),
            _make_listing(era_1(5), _make_update("a", era_1(3), "x")),
        ],
        answers=[
            _make_listing(9),
            _make_listing(9),
            watcher.HistoryGone(),
            _make_listing(era_1(6), _make_update("a", era_1(6))),
        ],
    )
    run = _WatcherRun(store)
    task = asyncio.create_task(run.watcher.run())
    await asyncio.sleep(0.17)
    assert "list" in store.calls[1:] and run.values == {"a": "x"}
    await asyncio.sleep(0.13)
    assert run.values == {}
    task.cancel()


async def test_history_that_stays_gone_is_not_asked_for_all_the_time(
    monkeypatch,
):
    # A store that has gone back without saying so gave the same answer to
    # thousands of calls a second.
    _override(monkeypatch, MIN_BATCH_DELAY_S=0.0, MIN_BACKOFF_S=0.05)
    store = _Store(
        listings=[_make_listing(9)] + [_make_listing(5)] * 1000,
        answers=[watcher.HistoryGone()] * 1000,
    )
    await _WatcherRun(store).run_for(0.2)
    assert store.calls.count("list") < 8


async def test_host_that_lists_states_no_deletion_that_it_defers(monkeypatch):
    # Two servers left at revisions 427 and 429.  A host that started then and
    # listed the store at 449 stated 448 while it deferred what the listing
    # lacked, so that others which fetched from it never asked for the two
    # deletions that were known elsewhere (DRAIN).
    _override(monkeypatch, INITIAL_ROLE_DELAY_S=0.0)
    # The history is gone once more while the deletion is deferred.
    store = _Store(
        listings=[_make_listing(440), _make_listing(449)],
        answers=[watcher.HistoryGone()] * 2,
    )
    run = _WatcherRun(store)
    run.cache.apply(_make_update("s", 10, {}))
    run.cache.advance(_SERVERS, 426)
    await run.run_for(0.05)
    assert "s" in run.values
    assert run.cache.get_applied_revision(_SERVERS) <= 426

    def fetch(source):
        revisions = {_SERVERS: behind.get_received_revision(_SERVERS)}
        document = peer_sync.encode_updates(source, revisions)
        peer_sync.apply_updates(behind, document)

    knowing = object_cache.ObjectCache(
        decode=run.cache._decode, on_update=lambda update, value: None
    )
    values: dict[str, object] = {}
    behind = object_cache.ObjectCache(
        decode=run.cache._decode,
        on_update=lambda update, value: values.update({update.name: value}),
    )
    for cache in (knowing, behind):
        cache.apply(_make_update("s", 10, {}))
        cache.advance(_SERVERS, 426)
    fetch(run.cache)
    knowing.apply(_make_update("s", 427))
    knowing.advance(_SERVERS, 449)
    fetch(knowing)
    assert values["s"] is None
    # The deletion that others have confirmed is no longer deferred.
    run.cache.apply(_make_update("s", 427))
    assert run.cache.get_applied_revision(_SERVERS) == 449
