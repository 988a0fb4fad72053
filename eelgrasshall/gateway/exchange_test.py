"""Tests of fetching what another host knows, over loopback sockets."""

import asyncio
import contextlib
import json

from eelgrasshall.gateway import belief
from eelgrasshall.gateway import exchange
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import listener
from eelgrasshall.gateway import model

_SERVERS = belief.Collection.SERVERS


def _make_belief() -> belief.Belief:
    return belief.Belief(
        decode=lambda collection, name, document: document,
        listen=lambda news, value: None,
    )


def _news(name: str, revision: int, document=None) -> belief.News:
    return belief.News(_SERVERS, name, revision, document)


@contextlib.asynccontextmanager
async def _serve(given: belief.Belief, port: int):
    """Serves a belief as a host does; yields the queries that came."""
    queries: list[str] = []

    async def answer(request):
        query = request.target.partition(b"?")[2].decode()
        queries.append(query)
        document = exchange.encode_belief(given, exchange.parse_have(query))
        return listener.Response(200, [], json.dumps(document).encode())

    made = listener.Listener(handler=answer, get_limits=model.CallerLimits)
    await made.start(model.Address("127.0.0.1", port))
    try:
        yield queries
    finally:
        made.stop()


async def test_a_host_that_is_behind_fetches_what_it_lacks():
    given, own = _make_belief(), _make_belief()
    given.apply(_news("a", 4, "x"))
    given.advance(_SERVERS, 4)
    log = fakes.Log()
    made = exchange.Exchange(belief=own, log=log)
    async with _serve(given, 19101) as queries:
        address = model.Address("127.0.0.1", 19101)
        made.notice("h2", address, [0, 4, 0, 0])
        made.notice("h2", address, [0, 4, 0, 0])
        await asyncio.sleep(0.1)
        assert queries == ["0,0,0,0"]
        assert own.revision(_SERVERS) == 4
        made.notice("h2", address, [0, 4, 0, 0])
        await asyncio.sleep(0.05)
        assert len(queries) == 1


async def test_a_host_that_holds_a_deletion_asks_those_who_are_sure():
    given, own = _make_belief(), _make_belief()
    given.apply(_news("a", 7))
    given.advance(_SERVERS, 7)
    own.apply(_news("a", 3, "x"))
    own.advance(_SERVERS, 9)
    own.hold(_news("a", 7))
    made = exchange.Exchange(belief=own, log=fakes.Log())
    async with _serve(given, 19102) as queries:
        made.notice("h2", model.Address("127.0.0.1", 19102), [0, 7, 0, 0])
        await asyncio.sleep(0.1)
        assert queries == ["0,6,0,0"]
        assert own.complete(_SERVERS) == 9


async def test_a_host_that_cannot_be_asked_is_logged_and_the_next_one_asked():
    given, own = _make_belief(), _make_belief()
    for collection in belief.Collection:
        given.advance(collection, 5)
    log = fakes.Log()
    made = exchange.Exchange(belief=own, log=log)
    async with _serve(given, 19103):
        await made.fetch_first(
            [model.Address("127.0.0.1", 1), model.Address("127.0.0.1", 19103)],
            1.0,
        )
    assert own.revision(_SERVERS) == 5
    assert log.events("exchange_failed")


async def test_seeds_that_know_nothing_are_asked_until_the_wait_is_over():
    given, own = _make_belief(), _make_belief()
    made = exchange.Exchange(belief=own, log=fakes.Log())
    async with _serve(given, 19104) as queries:
        await made.fetch_first([model.Address("127.0.0.1", 19104)], 0.3)
    assert len(queries) >= 2


async def test_what_is_no_belief_changes_nothing():
    async def answer(request):
        return listener.Response(200, [], b'{"s": 5}')

    made = listener.Listener(handler=answer, get_limits=model.CallerLimits)
    await made.start(model.Address("127.0.0.1", 19105))
    own, log = _make_belief(), fakes.Log()
    fetcher = exchange.Exchange(belief=own, log=log)
    assert not await fetcher.fetch("h2", model.Address("127.0.0.1", 19105))
    assert log.events("exchange_failed")
    made.stop()
