"""Tests of the calls to the store, against a stand-in."""

import contextlib

import pytest

from eelgrasshall.gateway import belief
from eelgrasshall.gateway import fakes as values
from eelgrasshall.gateway import following
from eelgrasshall.gateway import model
from eelgrasshall.platform import names
from eelgrasshall.platform import standins
from eelgrasshall.platform import store

_SERVERS = belief.Collection.SERVERS


@contextlib.asynccontextmanager
async def _open(port: int):
    address = model.Address("127.0.0.1", port)
    stand_in = standins.Store()
    await stand_in.start(address)
    made = store.Store(address=address)
    try:
        yield stand_in, made
    finally:
        made.close()
        stand_in.stop()


async def test_a_list_is_read_page_by_page():
    async with _open(18901) as (stand_in, made):
        stand_in.page = 3
        for number in range(8):
            stand_in.put("servers", f"i-{number}", {"n": number})
        listing = await made.read_all(_SERVERS)
        assert [each.name for each in listing.news] == [
            f"i-{number}" for number in range(8)
        ]
        assert listing.revision == 8


async def test_a_watch_gives_changes_and_deletions():
    async with _open(18902) as (stand_in, made):
        stand_in.put("servers", "i-1", {"n": 1})
        stand_in.put("servers", "i-2", {"n": 2})
        stand_in.delete("servers", "i-1")
        changes = await made.wait(_SERVERS, 1, 1.0)
        assert [(each.name, each.document) for each in changes.news] == [
            ("i-2", {"name": "i-2", "spec": {"n": 2}}),
            ("i-1", None),
        ]
        assert changes.revision == 3
        empty = await made.wait(_SERVERS, 3, 0.01)
        assert empty.news == ()


async def test_history_that_is_gone_is_told():
    async with _open(18903) as (stand_in, made):
        stand_in.put("servers", "i-1", {})
        stand_in.forget_history()
        result = await made.wait(_SERVERS, 0, 1.0)
        assert isinstance(result, following.HistoryGone)


async def test_a_store_that_refuses_or_swallows_is_unavailable(monkeypatch):
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(store, "WATCH_SLACK_S", 0.05)
    async with _open(18904) as (stand_in, made):
        stand_in.down = True
        assert isinstance(await made.read_all(_SERVERS), following.Unavailable)
        stand_in.down = False
        stand_in.swallowing = True
        for result in (
            await made.read_all(_SERVERS),
            await made.wait(_SERVERS, 0, 0.01),
        ):
            assert isinstance(result, following.Unavailable)
        stand_in.swallowing = False
        listing = await made.read_all(_SERVERS)
        assert isinstance(listing, belief.Listing)


async def test_a_host_is_published_again_over_its_older_object():
    async with _open(18905) as (stand_in, made):
        host = values.make_host()
        assert await made.publish(host)
        assert await made.publish(host)
        kind = names.KINDS[belief.Collection.HOSTS]
        assert stand_in.names(kind) == [host.name]
        stand_in.down = True
        assert not await made.publish(host)


async def test_only_the_main_configuration_counts():
    async with _open(18906) as (stand_in, made):
        stand_in.put("config", "other", {"version": 9})
        stand_in.put("config", "main", {"version": 1})
        listing = await made.read_all(belief.Collection.CONFIGURATION)
        assert [each.name for each in listing.news] == ["main"]


async def test_objects_without_a_name_are_left_out():
    async with _open(18907) as (stand_in, made):
        stand_in.put("servers", "i-1", {})
        stand_in._objects["servers"]["bad"] = {"spec": {}}
        listing = await made.read_all(_SERVERS)
        assert [each.name for each in listing.news] == ["i-1"]


@pytest.mark.parametrize("bound_s", [3.0, 5.0])
def test_a_call_that_the_store_swallowed_delays_a_change_briefly(bound_s):
    longest_s = (
        bound_s * following.WATCH_SHARE
        + store.WATCH_SLACK_S
        + following.FIRST_PAUSE_S
        + following.GATHER_S
    )
    assert longest_s < bound_s
