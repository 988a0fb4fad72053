import asyncio

import aiohttp
import pytest

from eelgrasshall.fakes import platform as platforms
from eelgrasshall.fakes import polling


@pytest.fixture
async def platform():
    platform = platforms.FakePlatform()
    await platform.start()
    yield platform
    await platform.stop()


@pytest.fixture
async def session(platform):
    async with aiohttp.ClientSession(base_url=platform.base_url) as session:
        yield session


async def put(session, value, if_version):
    document = {"value": value, "if_version": if_version}
    async with session.put("/objects/status/a", json=document) as response:
        return response.status, await response.json()


async def test_conditional_write_conflicts_with_newer_version(session):
    assert (await put(session, "x", 0)) == (200, {"name": "a", "version": 1})
    status, current = await put(session, "y", 0)
    assert status == 409
    assert current == {"name": "a", "version": 1, "value": "x"}
    assert (await put(session, "y", 1))[0] == 200


async def test_watch_returns_newer_version(session, platform):
    async def watch():
        path = "/watch/status/a?after=0&timeout_s=30"
        async with session.get(path) as response:
            return await response.json()

    watching = asyncio.create_task(watch())
    await polling.wait_until(lambda: platform.counts["watches"])
    platform.put("status", "a", "z")
    assert (await watching)["value"] == "z"


async def test_write_takes_effect_before_its_reply_is_lost(session, platform):
    # aiohttp retries an idempotent request once, so two replies must be lost.
    platform.lose_write_replies = 2
    with pytest.raises(aiohttp.ClientError):
        await put(session, "x", 0)
    assert platform.find("status", "a").value == "x"


async def test_go_back_restores_saved_data(session, platform):
    platform.put("status", "a", "old")
    platform.save()
    platform.put("status", "a", "new")
    platform.go_back()
    assert platform.find("status", "a") == (1, "old")


async def test_lists_objects_in_pages(session, platform):
    for name in "cab":
        platform.put("claims", name, 1)
    async with session.get("/objects/claims?limit=2") as response:
        page = await response.json()
    assert [each["name"] for each in page["objects"]] == ["a", "b"]
    assert page["next"] == "b"
