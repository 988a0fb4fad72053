"""Tests of fetching updates from another host, over loopback sockets."""

import asyncio
import contextlib
import functools
import itertools
import json
import math
from typing import NamedTuple

import pytest

from eelgrasshall.gateway import client
from eelgrasshall.gateway import deletions
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import peer_sync

_SERVERS = object_cache.Collection.SERVERS
_CONFIGURATION = object_cache.Collection.CONFIGURATION


def _make_cache() -> object_cache.ObjectCache:
    return object_cache.ObjectCache(
        decode=lambda collection, name, document: document,
        on_update=lambda update, value: None,
    )


def _make_update(
    name: str, revision: int, document=None
) -> object_cache.Update:
    return object_cache.Update(_SERVERS, name, revision, document)


def _make_request(revisions: str = "0,0,0,0") -> messages.Request:
    target = f"{peer_sync.UPDATES_PATH}?{revisions}".encode()
    return messages.Request(b"GET", target, [], b"", 0.0)


@contextlib.asynccontextmanager
async def _serve(remote: object_cache.ObjectCache, port: int):
    """Serves a cache as a host does; yields the queries received."""
    queries: list[str] = []
    answers = peer_sync.UpdateAnswers(
        cache=remote, get_time_s=asyncio.get_running_loop().time
    )

    async def answer(request):
        queries.append(request.target.partition(b"?")[2].decode())
        return answers.answer(request)

    server = listener.Listener(handler=answer, get_limits=model.CallerLimits)
    await server.start(model.Address("127.0.0.1", port))
    try:
        yield queries
    finally:
        server.stop()


async def test_a_host_that_is_behind_fetches_missing_updates():
    remote, local = _make_cache(), _make_cache()
    remote.apply(_make_update("a", 4, "x"))
    remote.advance(_SERVERS, 4)
    log = fakes.Log()
    sync = peer_sync.PeerSync(cache=local, log=log)
    async with _serve(remote, 19101) as queries:
        address = model.Address("127.0.0.1", 19101)
        sync.handle_revisions("h2", address, [0, 4, 0, 0])
        sync.handle_revisions("h2", address, [0, 4, 0, 0])
        await asyncio.sleep(0.1)
        assert queries == ["0,0,0,0,0,0,0,0"]
        assert local.get_received_revision(_SERVERS) == 4
        sync.handle_revisions("h2", address, [0, 4, 0, 0])
        await asyncio.sleep(0.05)
        assert len(queries) == 1


async def test_a_host_with_a_deferred_deletion_asks_hosts_that_applied_it():
    remote, local = _make_cache(), _make_cache()
    remote.apply(_make_update("a", 7))
    remote.advance(_SERVERS, 7)
    local.apply(_make_update("a", 3, "x"))
    local.advance(_SERVERS, 9)
    local.defer(_make_update("a", 7))
    sync = peer_sync.PeerSync(cache=local, log=fakes.Log())
    async with _serve(remote, 19102) as queries:
        sync.handle_revisions(
            "h2", model.Address("127.0.0.1", 19102), [0, 7, 0, 0]
        )
        await asyncio.sleep(0.1)
        assert queries == ["0,6,0,0,0,0,0,0"]
        assert local.get_applied_revision(_SERVERS) == 9


def _make_fresh_cache(revision: int, *updates) -> object_cache.ObjectCache:
    """Returns the cache of a host that has just listed the store."""
    cache = _make_cache()
    for collection in object_cache.Collection:
        cache.raise_complete_since(collection, revision)
    for update in updates:
        cache.apply(update)
    for collection in object_cache.Collection:
        cache.advance(collection, revision)
    return cache


def _exchange(source, target, *, by_name: bool = True) -> None:
    """Lets a host fetch from another one.

    Args:
      source: The cache of the other host.
      target: The cache of the host that fetches.
      by_name: Whether the other host gives the names of its objects, as hosts
        of earlier versions do not.
    """
    have = {e: target.get_applied_revision(e) for e in object_cache.Collection}
    document = json.loads(json.dumps(peer_sync.encode_updates(source, have)))
    for part in document.values():
        if not by_name:
            part.pop("present", None)
    peer_sync.apply_updates(target, document)


def _is_live(cache: object_cache.ObjectCache, name: str) -> bool:
    return any(
        update.name == name and update.document is not None
        for update in cache.list_updates(_SERVERS)
    )


def test_deletion_arrives_after_an_exchange_with_a_host_that_does_not_know_it():
    # A host of an earlier version that has just listed the store knows nothing
    # of a server that was deleted before.  While the watchers deferred that
    # deletion, its revision was taken over by the others, which then never got
    # the deletion (inc-f889: requests reached the server 6 s after it had
    # left).
    local = _make_fresh_cache(5, _make_update("a", 3, "x"))
    fresh = _make_fresh_cache(9, _make_update("b", 8, "y"))
    watching = _make_fresh_cache(5, _make_update("a", 3, "x"))
    watching.apply(_make_update("a", 7))
    watching.apply(_make_update("b", 8, "y"))
    watching.advance(_SERVERS, 9)
    _exchange(fresh, local, by_name=False)
    assert _is_live(local, "b")
    assert local.get_applied_revision(_SERVERS) == 5
    _exchange(watching, local, by_name=False)
    assert not _is_live(local, "a")
    assert local.get_applied_revision(_SERVERS) == 9


def test_what_a_host_that_has_listed_the_store_does_not_have_is_deleted():
    # Nobody was left who could name the deletion, so that it was lost (DRAIN,
    # review/3).
    local = _make_fresh_cache(
        5, _make_update("a", 3, "x"), _make_update("c", 4, "z")
    )
    fresh = _make_fresh_cache(
        9, _make_update("b", 8, "y"), _make_update("c", 4, "z")
    )
    _exchange(fresh, local)
    assert not _is_live(local, "a")
    assert _is_live(local, "b") and _is_live(local, "c")
    assert local.get_applied_revision(_SERVERS) == 9
    # It does not know all deletions before 9 either, so it gives names too.
    third = _make_fresh_cache(6, _make_update("d", 6, "w"))
    _exchange(local, third)
    assert not _is_live(third, "d")


def test_newer_object_than_the_revision_of_the_sender_stays():
    local = _make_fresh_cache(5, _make_update("a", 3, "x"))
    local.apply(_make_update("b", 12, "y"))
    _exchange(_make_fresh_cache(9), local)
    assert _is_live(local, "b") and not _is_live(local, "a")


def test_names_are_given_only_to_hosts_that_need_them():
    fresh = _make_fresh_cache(9, _make_update("b", 8, "y"))
    for revision, needs in ((0, False), (5, True), (9, False)):
        have = dict.fromkeys(object_cache.Collection, revision)
        part = peer_sync.encode_updates(fresh, have)["s"]
        assert ("present" in part) == needs


def test_late_answer_of_a_seed_does_not_bring_back_a_deleted_server():
    # A host that starts lists the store and asks other hosts at the same time.
    local = _make_fresh_cache(9, _make_update("b", 8, "y"))
    document = peer_sync.encode_updates(
        _make_fresh_cache(5, _make_update("a", 3, "x")),
        dict.fromkeys(object_cache.Collection, 0),
    )
    peer_sync.apply_updates(local, document)
    assert not _is_live(local, "a") and _is_live(local, "b")
    assert local.get_applied_revision(_SERVERS) == 9


def test_host_without_data_takes_over_what_its_source_does_not_know():
    fresh = _make_fresh_cache(9, _make_update("b", 8, "y"))
    local = _make_cache()
    _exchange(fresh, local)
    assert local.get_applied_revision(_SERVERS) == 9
    older = _make_fresh_cache(5, _make_update("a", 3, "x"))
    _exchange(local, older, by_name=False)
    assert older.get_applied_revision(_SERVERS) == 5
    _exchange(local, older)
    assert older.get_applied_revision(_SERVERS) == 9
    assert not _is_live(older, "a")


def test_document_of_an_earlier_version_is_complete():
    fresh = _make_fresh_cache(9)
    have = dict.fromkeys(object_cache.Collection, 5)
    document = peer_sync.encode_updates(fresh, have)
    for part in document.values():
        del part["since"]
    local = _make_fresh_cache(5)
    peer_sync.apply_updates(local, document)
    assert local.get_applied_revision(_SERVERS) == 9


@contextlib.asynccontextmanager
async def _serve_without_names(remote: object_cache.ObjectCache, port: int):
    """Serves a cache as a host of the version before does."""

    async def answer(request):
        query = request.target.partition(b"?")[2].decode()
        numbers = peer_sync.parse_revisions(query)
        revisions = peer_sync.decode_revisions(remote, numbers)
        document = peer_sync.encode_updates(remote, revisions)
        for part in document.values():
            part.pop("present", None)
        queries.append(query)
        return listener.Response(200, [], json.dumps(document).encode())

    queries: list[str] = []
    server = listener.Listener(handler=answer, get_limits=model.CallerLimits)
    await server.start(model.Address("127.0.0.1", port))
    try:
        yield queries
    finally:
        server.stop()


async def test_revision_of_a_host_that_lacks_deletions_is_never_taken_over(
    monkeypatch,
):
    # It was taken over after 5 s, and with it the deletions before were lost.
    # Now the host reads them from the store itself.
    monkeypatch.setattr(peer_sync, "RETRY_DELAY_S", 0.05)
    fresh, local = _make_fresh_cache(9), _make_fresh_cache(5)
    local.apply(_make_update("a", 3, "x"))
    sync = peer_sync.PeerSync(cache=local, log=fakes.Log())
    async with _serve_without_names(fresh, 19106) as queries:
        address = model.Address("127.0.0.1", 19106)
        for _ in range(40):
            sync.handle_revisions("h2", address, [9, 9, 9, 9])
            await asyncio.sleep(0.01)
    assert local.get_applied_revision(_SERVERS) == 5
    assert sync.lacks_deletions
    assert 2 <= len(queries) <= 8
    for collection in object_cache.Collection:
        local.advance(collection, 9)
    assert not sync.lacks_deletions


async def test_host_that_names_its_objects_leaves_no_deletion_to_the_store():
    local = _make_fresh_cache(5, _make_update("a", 3, "x"))
    sync = peer_sync.PeerSync(cache=local, log=fakes.Log())
    async with _serve(_make_fresh_cache(9), 19107):
        assert await sync.fetch("h2", model.Address("127.0.0.1", 19107))
    assert not sync.lacks_deletions
    assert not _is_live(local, "a")


async def test_age_of_a_revision_counts_for_hosts_that_have_it():
    remote, local = _make_fresh_cache(9), _make_fresh_cache(9)
    sync = peer_sync.PeerSync(cache=local, log=fakes.Log())
    address = model.Address("127.0.0.1", 1)
    now = asyncio.get_running_loop().time()
    stated = peer_sync.list_revisions(remote)
    sync.handle_revisions("h2", address, stated, 0.5, 9)
    assert abs(local.get_current_s(_SERVERS) - (now - 0.5)) < 0.1
    # Older knowledge and unknown ages change nothing.
    sync.handle_revisions("h2", address, stated, 5.0, 9)
    sync.handle_revisions("h2", address, stated, None, 9)
    assert abs(local.get_current_s(_SERVERS) - (now - 0.5)) < 0.1
    # This host does not have what the age is of.
    behind = _make_fresh_cache(8)
    sync = peer_sync.PeerSync(cache=behind, log=fakes.Log())
    sync.handle_revisions("h2", address, stated, 0.5, 9)
    sync.stop()
    assert behind.get_current_s(_SERVERS) == -math.inf


async def test_fetch_takes_over_the_age():
    remote, local = _make_fresh_cache(9), _make_cache()
    sync = peer_sync.PeerSync(cache=local, log=fakes.Log())
    answers = peer_sync.UpdateAnswers(cache=remote, get_age_s=lambda: 2.0)

    async def answer(request):
        return answers.answer(request)

    server = listener.Listener(handler=answer, get_limits=model.CallerLimits)
    await server.start(model.Address("127.0.0.1", 19117))
    now = asyncio.get_running_loop().time()
    assert await sync.fetch("h2", model.Address("127.0.0.1", 19117))
    server.stop()
    assert abs(local.get_current_s(_SERVERS) - (now - 2.0)) < 0.1


def _make_deletions(cache: object_cache.ObjectCache):
    """Returns what applies the deletions of each collection."""
    return {
        collection: deletions.Deletions(
            collection=collection,
            cache=cache,
            loop=asyncio.get_running_loop(),
            log=fakes.Log(),
            bound_s=3.0,
        )
        for collection in object_cache.Collection
    }


async def test_deletion_that_is_put_off_is_due_at_all_hosts_at_the_same_time(
    monkeypatch,
):
    # Only the hosts that watch knew of deletions that they doubted.  When all
    # of them were lost meanwhile, the deletions were late (DRAIN, review/3 as
    # a day, seed 3).
    monkeypatch.setattr(deletions, "DELETION_GRACE_S", 0.3)
    remote, local = (
        _make_fresh_cache(5, _make_update("a", 3, "x")) for _ in range(2)
    )
    watching = _make_deletions(remote)[_SERVERS]
    watching.doubt(outage=True)
    watching.apply(_make_update("a", 7))
    remote.apply(_make_update("b", 8, "y"))
    remote.advance(_SERVERS, 8)
    stated = peer_sync.list_revisions(remote)
    assert stated[1] == 6
    sync = peer_sync.PeerSync(
        cache=local, log=fakes.Log(), deletions=_make_deletions(local)
    )
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    async with _serve(remote, 19118) as queries:
        # The clocks of hosts have nothing to do with each other.
        address = model.Address("127.0.0.1", 19118)
        sync.handle_revisions("h2", address, [5, 6, 5, 5], None, 8)
        await asyncio.sleep(0.1)
        assert len(queries) == 1
        sync.handle_revisions("h2", address, [5, 6, 5, 5], None, 8)
        await asyncio.sleep(0.05)
        assert len(queries) == 1
    assert _is_live(local, "a") and _is_live(local, "b")
    assert local.get_received_revision(_SERVERS) == 8
    assert local.get_applied_revision(_SERVERS) == 6
    await asyncio.sleep(began_s + 0.34 - loop.time())
    assert not _is_live(local, "a")
    assert local.get_applied_revision(_SERVERS) == 8


async def test_age_goes_with_what_was_received_not_with_what_is_in_force():
    # A host that puts deletions off passes them on, so that others know as
    # much as it does.  Its age was that of what was in force, and a stream of
    # doubted deletions looked like a gap (DRAIN, the day of review/4).
    remote, local = (
        _make_fresh_cache(5, _make_update("a", 3, "x")) for _ in range(2)
    )
    watching = _make_deletions(remote)[_SERVERS]
    loop = asyncio.get_running_loop()
    remote.record_current(_SERVERS, loop.time() - 5.0)
    watching.doubt(outage=True)
    watching.apply(_make_update("a", 7))
    remote.advance(_SERVERS, 8)
    remote.record_current(_SERVERS, loop.time())
    answers = peer_sync.UpdateAnswers(
        cache=remote, get_age_s=watching.get_age_s, get_time_s=loop.time
    )

    async def answer(request):
        return answers.answer(request)

    server = listener.Listener(handler=answer, get_limits=model.CallerLimits)
    await server.start(model.Address("127.0.0.1", 19119))
    sync = peer_sync.PeerSync(
        cache=local, log=fakes.Log(), deletions=_make_deletions(local)
    )
    assert await sync.fetch("h2", model.Address("127.0.0.1", 19119))
    server.stop()
    assert local.get_received_revision(_SERVERS) == 8
    assert local.get_applied_revision(_SERVERS) == 6
    assert local.get_current_s(_SERVERS) > loop.time() - 1.0


@pytest.mark.parametrize(
    "value", [None, "5", -1, 10**15, True, 1.5, [1], b"", b"x", b"9" * 40]
)
def test_malformed_age_is_unknown(value):
    assert peer_sync.decode_time(value) is None


async def test_a_failing_seed_is_logged_and_the_next_one_asked():
    remote, local = _make_cache(), _make_cache()
    for collection in object_cache.Collection:
        remote.advance(collection, 5)
    log = fakes.Log()
    sync = peer_sync.PeerSync(cache=local, log=log)
    async with _serve(remote, 19103):
        await sync.fetch_from_seeds(
            [model.Address("127.0.0.1", 1), model.Address("127.0.0.1", 19103)],
            1.0,
        )
    assert local.get_received_revision(_SERVERS) == 5
    assert log.list_events("exchange_failed")


async def test_seed_that_hangs_does_not_hold_up_the_next_one():
    # A host without power does not refuse connections: after a power cut of
    # all hosts, the first seed took the whole time-out.
    async def hang(reader, writer):
        await asyncio.sleep(0.8)
        writer.close()

    remote, local = _make_cache(), _make_cache()
    for collection in object_cache.Collection:
        remote.advance(collection, 5)
    sync = peer_sync.PeerSync(cache=local, log=fakes.Log())
    hanging = await asyncio.start_server(hang, "127.0.0.1", 19112)
    async with _serve(remote, 19113):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await sync.fetch_from_seeds(
            [model.Address("127.0.0.1", 19112 + i) for i in range(2)], 1.0
        )
        assert loop.time() - started_s < 0.5
    hanging.close()
    assert local.get_received_revision(_SERVERS) == 5


async def test_seeds_without_data_are_asked_until_the_wait_is_over():
    remote, local = _make_cache(), _make_cache()
    sync = peer_sync.PeerSync(cache=local, log=fakes.Log())
    async with _serve(remote, 19104) as queries:
        await sync.fetch_from_seeds([model.Address("127.0.0.1", 19104)], 0.3)
    assert len(queries) >= 2


async def test_log_tells_slow_sources_from_sources_that_hang(monkeypatch):
    # Without duration and size, failed fetches all looked alike (inc1).
    monkeypatch.setattr(peer_sync, "FETCH_TIMEOUT_S", 0.1)
    monkeypatch.setattr(client, "STALL_TIMEOUT_S", 0.1)

    async def answer(reader, writer, *, begins: bool):
        await reader.readuntil(b"\r\n\r\n")
        if begins:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
        await asyncio.sleep(0.3)
        writer.close()

    log = fakes.Log()
    sync = peer_sync.PeerSync(cache=_make_cache(), log=log)
    for port, begins in ((19109, True), (19110, False)):
        server = await asyncio.start_server(
            functools.partial(answer, begins=begins), "127.0.0.1", port
        )
        address = model.Address("127.0.0.1", port)
        assert not await sync.fetch(f"h{port}", address)
        server.close()
    failures = log.list_events("exchange_failed")
    assert [each["received_bytes"] for each in failures] == [1, 0]
    assert all(each["took_ms"] >= 100 for each in failures)


async def test_log_of_a_fetch_states_its_size():
    remote = _make_cache()
    remote.apply(_make_update("a", 4, "x" * 500))
    remote.advance(_SERVERS, 4)
    log = fakes.Log()
    sync = peer_sync.PeerSync(cache=_make_cache(), log=log)
    async with _serve(remote, 19111):
        assert await sync.fetch("h2", model.Address("127.0.0.1", 19111))
    (line,) = log.list_events("exchange")
    assert line["received_bytes"] > 500 and line["changed"] == 1


async def test_large_updates_are_compressed():
    remote, local = _make_cache(), _make_cache()
    remote.apply(_make_update("a", 4, "x" * 50_000))
    remote.advance(_SERVERS, 4)
    log = fakes.Log()
    sync = peer_sync.PeerSync(cache=local, log=log)
    async with _serve(remote, 19112):
        assert await sync.fetch("h2", model.Address("127.0.0.1", 19112))
    assert local.list_updates(_SERVERS) == remote.list_updates(_SERVERS)
    (line,) = log.list_events("exchange")
    assert line["received_bytes"] < 5000


def test_host_of_an_earlier_version_gets_plain_json():
    remote = _make_cache()
    remote.apply(_make_update("a", 4, "x" * 50_000))
    response = peer_sync.UpdateAnswers(cache=remote).answer(_make_request())
    assert json.loads(response.body)["s"]["news"] == [["a", 4, "x" * 50_000]]


def _list_names(response: listener.Response) -> list[str]:
    return [each[0] for each in json.loads(response.body)["s"]["news"]]


def test_latest_answer_is_kept_until_something_changes():
    remote = _make_cache()
    remote.apply(_make_update("a", 4, "x"))
    remote.advance(_SERVERS, 4)
    answers = peer_sync.UpdateAnswers(cache=remote)
    first = answers.answer(_make_request())
    assert answers.answer(_make_request()) is first
    assert _list_names(answers.answer(_make_request("0,4,0,0"))) == []
    assert _list_names(answers.answer(_make_request())) == ["a"]
    remote.apply(_make_update("b", 5, "y"))
    assert _list_names(answers.answer(_make_request())) == ["a", "b"]
    assert _read_revision(answers) == 4
    remote.advance(_SERVERS, 5)
    assert _read_revision(answers) == 5
    # What is deferred here counts as not yet known.
    remote.defer(_make_update("a", 5))
    assert _read_revision(answers) == 4
    remote.cancel_deferral(_make_update("a", 5))
    assert _read_revision(answers) == 5


def _read_revision(answers: peer_sync.UpdateAnswers) -> int:
    return json.loads(answers.answer(_make_request()).body)["s"]["revision"]


async def test_malformed_answer_changes_nothing():
    async def answer(request):
        return listener.Response(200, [], b'{"s": 5}')

    server = listener.Listener(handler=answer, get_limits=model.CallerLimits)
    await server.start(model.Address("127.0.0.1", 19105))
    local, log = _make_cache(), fakes.Log()
    sync = peer_sync.PeerSync(cache=local, log=log)
    assert not await sync.fetch("h2", model.Address("127.0.0.1", 19105))
    assert log.list_events("exchange_failed")
    server.stop()


def _exchange_numbers(source, target) -> None:
    """Lets a host fetch from another one, with eras."""
    have = peer_sync.decode_revisions(source, peer_sync.list_revisions(target))
    document = json.loads(json.dumps(peer_sync.encode_updates(source, have)))
    peer_sync.apply_updates(target, document)


def _make_restored_cache() -> object_cache.ObjectCache:
    """Returns the cache of a host that listed a store which came back older."""
    era_1 = functools.partial(object_cache.make_revision, 1)
    cache = _make_fresh_cache(9, _make_update("a", 3, "x"))
    cache.raise_complete_since(_SERVERS, era_1(5))
    cache.apply(_make_update("a", era_1(3), "x"))
    cache.apply(_make_update("b", era_1(4), "y"))
    cache.advance(_SERVERS, era_1(5))
    return cache


async def test_new_era_reaches_hosts_that_have_higher_numbers():
    restored = _make_restored_cache()
    local = _make_fresh_cache(20, _make_update("c", 12, "z"))
    sync = peer_sync.PeerSync(cache=local, log=fakes.Log())
    async with _serve(restored, 19113):
        sync.handle_revisions(
            "h2",
            model.Address("127.0.0.1", 19113),
            peer_sync.list_revisions(restored),
        )
        await asyncio.sleep(0.1)
    assert _is_live(local, "a") and _is_live(local, "b")
    # It stays until it is given up or written again.
    assert _is_live(local, "c")
    assert local.get_applied_revision(_SERVERS) == object_cache.make_revision(
        1, 5
    )


def test_answer_of_an_earlier_era_changes_nothing():
    # It was on its way when the later era arrived.
    source = _make_fresh_cache(20, _make_update("c", 12, "z"))
    document = peer_sync.encode_updates(
        source, dict.fromkeys(object_cache.Collection, 0)
    )
    restored = _make_restored_cache()
    before = restored.list_updates(_SERVERS)
    peer_sync.apply_updates(restored, document)
    assert restored.list_updates(_SERVERS) == before


def test_objects_that_the_present_era_has_not_seen_are_not_passed_on():
    era_1 = functools.partial(object_cache.make_revision, 1)
    source = _make_fresh_cache(9, _make_update("old", 8, "x"))
    source.apply(_make_update("new", era_1(4), "y"))
    source.advance(_SERVERS, era_1(5))
    target = _make_cache()
    _exchange_numbers(source, target)
    assert _is_live(target, "new") and not _is_live(target, "old")


def test_hosts_of_an_earlier_version_are_taken_to_be_in_the_same_era():
    restored = _make_restored_cache()
    revisions = peer_sync.decode_revisions(restored, [1, 7, 1, 1])
    assert revisions[_SERVERS] == object_cache.make_revision(1, 7)
    document = peer_sync.encode_updates(
        restored, dict.fromkeys(object_cache.Collection, 0)
    )
    for part in document.values():
        del part["era"]
    document["s"]["revision"] = 7
    document["s"]["news"] = [("d", 7, "z")]
    peer_sync.apply_updates(restored, document)
    assert _is_live(restored, "d")
    assert restored.get_applied_revision(
        _SERVERS
    ) == object_cache.make_revision(1, 7)


def test_first_four_numbers_are_those_that_earlier_versions_read():
    cache = _make_fresh_cache(9)
    assert peer_sync.list_revisions(cache) == [9, 9, 9, 9, 0, 0, 0, 0]


class _Configuration(NamedTuple):
    """A decoded configuration; its document is the version."""

    version: int


class _VersionHost:
    """A host that knows a configuration, and whom others can ask for it."""

    def __init__(self, era: int = 0, number: int = 0, version: int = 0):
        self.cache = object_cache.ObjectCache(
            decode=lambda collection, name, document: _Configuration(document),
            on_update=lambda update, value: None,
            supersedes=lambda collection, new, old: (
                old is None or (new is not None and new.version >= old.version)
            ),
        )
        self.sync = peer_sync.PeerSync(cache=self.cache, log=fakes.Log())
        if version:
            self.read(era, number, version, number)

    def read(self, era: int, number: int, version: int, revision: int) -> None:
        """Applies the store's listing or change."""
        reached = object_cache.make_revision(era, revision)
        self.cache.raise_complete_since(_CONFIGURATION, reached)
        self.cache.apply(
            object_cache.Update(
                _CONFIGURATION,
                "main",
                object_cache.make_revision(era, number),
                version,
            )
        )
        for collection in object_cache.Collection:
            self.cache.advance(collection, reached)

    def list_versions(self) -> list[int]:
        """Returns the version that it knows."""
        updates = self.cache.list_updates(_CONFIGURATION)
        return [update.document for update in updates]


async def _meet(hosts, port: int) -> int:
    """Lets all hosts hear of each other; returns the number of fetches."""
    count = 0
    for source, target in itertools.permutations(hosts, 2):
        async with _serve(source.cache, port) as queries:
            target.sync.handle_revisions(
                "h",
                model.Address("127.0.0.1", port),
                peer_sync.list_revisions(source.cache),
            )
            if target.sync._task is not None:
                await asyncio.wait([target.sync._task], timeout=1.0)
            count += len(queries)
    return count


@pytest.mark.parametrize("meets_between", [False, True])
@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
async def test_all_hosts_get_the_version_that_an_older_copy_lacks(
    order, meets_between
):
    # One host has the version that the store has lost, one was cut off before
    # it was written and one has just started.  The latter two had the copy's
    # version until the operator wrote again, if they listed the store before
    # they had met the first one.
    hosts = [_VersionHost(0, 30, 18), _VersionHost(0, 20, 14), _VersionHost()]
    for number in order:
        hosts[number].read(1, 20, 14, 25)
        if meets_between:
            await _meet(hosts, 19114)
    await _meet(hosts, 19114)
    assert [host.list_versions() for host in hosts] == [[18]] * 3
    # Nothing more is fetched for it, before the operator writes and after.
    assert await _meet(hosts, 19114) == 0
    for host in hosts:
        host.read(1, 26, 18, 26)
    assert await _meet(hosts, 19114) == 0
    for host in hosts:
        assert len(peer_sync.list_revisions(host.cache)) == 8


async def test_kept_version_that_cannot_be_used_is_fetched_once():
    keeper, local = _VersionHost(0, 30, 18), _VersionHost(1, 20, 14)
    keeper.read(1, 20, 14, 20)
    unreadable = local.cache._decode
    local.cache._decode = lambda collection, name, document: (
        None if document == 18 else unreadable(collection, name, document)
    )
    fetches = [await _meet([keeper, local], 19115) for _ in range(3)]
    assert fetches == [1, 0, 0]
    assert local.list_versions() == [14]


async def test_kept_version_of_an_earlier_era_is_fetched_once_it_is_confirmed():
    # Until then the answer would be ignored, and not asked for again.
    keeper, local = _VersionHost(0, 30, 18), _VersionHost(2, 18, 13)
    keeper.read(1, 20, 14, 25)
    for collection in object_cache.Collection:
        local.cache.advance(collection, object_cache.make_revision(2, 19))
    stated = peer_sync.list_revisions(keeper.cache)
    assert peer_sync.find_kept_version(local.cache, stated) == 0
    async with _serve(keeper.cache, 19116) as queries:
        address = model.Address("127.0.0.1", 19116)
        local.sync.handle_revisions("h", address, stated)
        await asyncio.sleep(0.05)
        assert queries == []
        keeper.read(2, 18, 13, 19)
        stated = peer_sync.list_revisions(keeper.cache)
        local.sync.handle_revisions("h", address, stated)
        await asyncio.sleep(0.05)
    assert local.list_versions() == [18]


def test_last_build_gets_a_kept_version_only_with_a_new_revision():
    # It reads neither the ninth number nor the mark of a kept configuration,
    # and sends none.
    keeper = _VersionHost(0, 30, 18)
    keeper.read(1, 20, 14, 25)
    stated = peer_sync.list_revisions(keeper.cache)
    assert stated == [25] * 4 + [1] * 4 + [18]
    fresh, lister = _VersionHost(), _VersionHost(1, 20, 14)
    lister.read(1, 20, 14, 25)
    for host in (fresh, lister):
        assert peer_sync.decode_revisions(
            host.cache, stated
        ) == peer_sync.decode_revisions(host.cache, stated[:8])
        revisions = peer_sync.decode_revisions(
            keeper.cache, peer_sync.list_revisions(host.cache)
        )
        document = peer_sync.encode_updates(keeper.cache, revisions)
        del document["c"]["kept"]
        peer_sync.apply_updates(host.cache, document)
        assert len(peer_sync.list_revisions(host.cache)) == 8
    assert fresh.list_versions() == [18]
    assert lister.list_versions() == [14]


def test_changes_after_a_return_wait_for_the_numbers_of_builds_without_eras():
    # Such a host goes on with the numbers of before the return, and a host that
    # follows the return takes them to be of the present era.
    earlier = _make_cache()
    earlier.apply(_make_update("a", 12, "lost"))
    earlier.advance(_SERVERS, 20)
    restored = _make_restored_cache()
    revisions = peer_sync.decode_revisions(restored, [0, 20, 0, 0])
    assert revisions[_SERVERS] > restored.get_applied_revision(_SERVERS)
    document = peer_sync.encode_updates(earlier, {_SERVERS: 5})
    for part in document.values():
        del part["era"]
    peer_sync.apply_updates(restored, document)
    era_1 = functools.partial(object_cache.make_revision, 1)
    assert restored.get_applied_revision(_SERVERS) == era_1(20)
    assert not restored.apply(_make_update("a", era_1(12), "written again"))
    assert not restored.apply(_make_update("a", era_1(6)))
    assert restored.apply(_make_update("a", era_1(21), "written again"))
    # The other way round nothing is fetched, as the numbers are lower.
    assert peer_sync.list_revisions(_make_restored_cache())[1] < 20


_ROLLOUTS = object_cache.Collection.ROLLOUTS


def _make_cache_with_rollouts() -> object_cache.ObjectCache:
    return object_cache.ObjectCache(
        decode=lambda collection, name, document: document,
        on_update=lambda update, value: None,
        collections=tuple(object_cache.Collection),
    )


def _fill(cache: object_cache.ObjectCache, revision: int) -> None:
    for collection in object_cache.Collection:
        cache.apply(object_cache.Update(collection, "a", revision, "x"))
        cache.advance(collection, revision)


def test_hosts_of_the_build_before_read_what_they_know_of_revisions():
    # That build reads four revisions, four eras and a kept version, which it
    # would take the revision of a fifth collection for.
    cache = _make_cache_with_rollouts()
    _fill(cache, object_cache.make_revision(3, 9))
    assert peer_sync.list_revisions(cache) == [9] * 4 + [3] * 4 + [0, 9, 3]
    old = _make_cache()
    numbers = peer_sync.list_revisions(cache)
    assert peer_sync.find_kept_version(old, numbers) == 0
    assert set(peer_sync.decode_revisions(old, numbers)) == set(
        object_cache.BASE_COLLECTIONS
    )


def test_rollouts_are_exchanged_only_between_hosts_that_use_them():
    base, using = _make_cache(), _make_cache_with_rollouts()
    _fill(using, 9)
    for asking, keys in (
        (base, {"c", "s", "e", "h"}),
        (_make_cache_with_rollouts(), {"c", "s", "e", "h", "r"}),
    ):
        query = peer_sync.make_query(asking)
        revisions = peer_sync.decode_revisions(using, query)
        document = peer_sync.encode_updates(using, revisions)
        assert set(document) == keys
        peer_sync.apply_updates(asking, json.loads(json.dumps(document)))
        assert asking.get_received_revision(_SERVERS) == 9
    assert asking.get_received_revision(_ROLLOUTS) == 9
    assert base.get_received_revision(_ROLLOUTS) == 0


def test_answer_of_the_build_before_is_applied_without_rollouts():
    base, using = _make_cache(), _make_cache_with_rollouts()
    _fill(base, 9)
    query = peer_sync.make_query(using)
    # As that build reads it.
    assert peer_sync.decode_revisions(base, query[:8]) == dict.fromkeys(
        object_cache.BASE_COLLECTIONS, 0
    )
    document = peer_sync.encode_updates(
        base, peer_sync.decode_revisions(base, query)
    )
    assert peer_sync.apply_updates(using, document) == 4


def test_host_behind_in_rollouts_alone_fetches_them():
    ahead, behind = _make_cache_with_rollouts(), _make_cache_with_rollouts()
    for cache in (ahead, behind):
        _fill(cache, 9)
    ahead.apply(object_cache.Update(_ROLLOUTS, "a", 12, "y"))
    ahead.advance(_ROLLOUTS, 12)
    stated = peer_sync.decode_revisions(behind, peer_sync.list_revisions(ahead))
    assert stated[_ROLLOUTS] == 12 > behind.get_applied_revision(_ROLLOUTS)


async def test_fetch_from_a_host_without_rollouts_is_complete():
    # A collection that the other host lacks must not count as missing: the
    # fetch would be repeated for as long as that host is ahead.
    base, using = _make_cache(), _make_cache_with_rollouts()
    _fill(base, 9)
    sync = peer_sync.PeerSync(cache=using, log=fakes.Log())
    async with _serve(base, 19109):
        assert await sync.fetch("h2", model.Address("127.0.0.1", 19109))
    assert using.get_applied_revision(_SERVERS) == 9
    assert not sync.lacks_deletions


def test_names_do_not_include_what_the_present_era_has_not_seen():
    # A host that started had a server from a host that did not know yet that
    # the store had come back older, and then listed the store, which no longer
    # had it.  It kept the server for a while, and its name told others, who had
    # seen it in the present era, that it was still there (found by
    # platform/fleet_walks).
    remote, local = _make_cache(), _make_cache()
    remote.apply(_make_update("a", 28, "x"))
    remote.advance(_SERVERS, 34)
    listed = object_cache.make_revision(1, 41)
    remote.raise_complete_since(_SERVERS, listed)
    remote.advance(_SERVERS, listed)
    local.apply(_make_update("a", object_cache.make_revision(1, 28), "x"))
    local.advance(_SERVERS, object_cache.make_revision(1, 37))
    _exchange(remote, local)
    assert local.get_applied_revision(_SERVERS) == listed
    assert not _is_live(local, "a")
