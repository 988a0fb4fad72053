"""Tests of fetching updates from another host, over loopback sockets."""

import asyncio
import contextlib
import json

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import listener
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import peer_sync

_SERVERS = object_cache.Collection.SERVERS


def _make_cache() -> object_cache.ObjectCache:
    return object_cache.ObjectCache(
        decode=lambda collection, name, document: document,
        on_update=lambda update, value: None,
    )


def _make_update(
    name: str, revision: int, document=None
) -> object_cache.Update:
    return object_cache.Update(_SERVERS, name, revision, document)


@contextlib.asynccontextmanager
async def _serve(remote: object_cache.ObjectCache, port: int):
    """Serves a cache as a host does; yields the queries received."""
    queries: list[str] = []

    async def answer(request):
        query = request.target.partition(b"?")[2].decode()
        queries.append(query)
        document = peer_sync.encode_updates(
            remote, peer_sync.parse_revisions(query)
        )
        return listener.Response(200, [], json.dumps(document).encode())

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
        assert queries == ["0,0,0,0"]
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
        assert queries == ["0,6,0,0"]
        assert local.get_applied_revision(_SERVERS) == 9


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


async def test_seeds_without_data_are_asked_until_the_wait_is_over():
    remote, local = _make_cache(), _make_cache()
    sync = peer_sync.PeerSync(cache=local, log=fakes.Log())
    async with _serve(remote, 19104) as queries:
        await sync.fetch_from_seeds([model.Address("127.0.0.1", 19104)], 0.3)
    assert len(queries) >= 2


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
