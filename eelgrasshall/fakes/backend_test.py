import asyncio
import json
import random

import aiohttp
import pytest

from eelgrasshall.fakes import backend
from eelgrasshall.fakes import polling
from eelgrasshall.fakes import records
from eelgrasshall.protocol import messages

FAST = backend.ServiceTime(median_s=0.001, sigma=0.0, straggler_share=0.0)
LONG = backend.ServiceTime(median_s=30.0, sigma=0.0, straggler_share=0.0)
BODY = b'{"order": 7}'


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
async def server():
    server = backend.FakeBackendServer(
        service_time=FAST, random_source=random.Random(1), slots=2
    )
    await server.start()
    yield server
    await server.stop()


async def send(session, server, body=BODY, **headers):
    url = f"http://127.0.0.1:{server.port}/search"
    headers = {f"X-{k.replace('_', '-')}": v for k, v in headers.items()}
    async with session.post(url, data=body, headers=headers) as response:
        return response.status, response.headers, await response.read()


async def test_returns_records_of_pinned_snapshot(session, server):
    server.publish(messages.Snapshot(2, 1), messages.KeyRange(0, 2048))
    status, headers, payload = await send(
        session, server, Attempt="a", Snapshot="2.1"
    )
    expected = records.compute_records(
        messages.KeyRange(0, 2048), messages.Snapshot(2, 1), BODY
    )
    assert status == 200
    assert headers["X-Attempt"] == "a"
    assert headers["X-Key-Range"] == "0-2048"
    assert json.loads(payload) == expected


async def test_rejects_snapshot_that_it_does_not_hold(session, server):
    status, headers, _ = await send(session, server, Snapshot="9.9")
    assert (status, headers["X-Not-Run"]) == (409, "1")
    assert server.counts["runs"] == 0


async def test_cancelled_attempt_returns_499(session, server):
    server.service_time = LONG
    sending = asyncio.create_task(send(session, server, Attempt="a"))
    await polling.wait_until(lambda: server.in_flight == 1)
    url = f"http://127.0.0.1:{server.port}/cancel"
    async with session.post(url, headers={"X-Attempt": "a"}) as response:
        assert response.status == 204
    assert (await sending)[0] == 499
    assert server.in_flight == 0


async def test_warm_server_sheds_requests_above_slot_limit(session, server):
    server.service_time = LONG
    running = [
        asyncio.create_task(send(session, server, Attempt=str(each)))
        for each in range(2)
    ]
    await polling.wait_until(lambda: server.in_flight == 2)
    status, headers, _ = await send(session, server)
    assert (status, headers["X-Not-Run"]) == (503, "1")
    for task in running:
        task.cancel()


async def test_overloaded_cold_server_crashes_and_restarts(session, server):
    server.service_time = LONG
    server.turn_cold()
    server.cold_capacity = 1
    server.restart_s = 0.01
    running = asyncio.create_task(send(session, server))
    await polling.wait_until(lambda: server.in_flight == 1)
    with pytest.raises(aiohttp.ClientError):
        await send(session, server)
    with pytest.raises(aiohttp.ClientError):
        await running
    server.service_time = FAST
    assert not server.listening
    await polling.wait_until(lambda: server.listening)
    status, headers, _ = await send(session, server)
    assert (status, headers["X-Incarnation"]) == (200, "2")
    assert server.counts["falls"] == 1


async def test_silence_affects_open_connections_only(session, server):
    await send(session, server)
    server.silence_connections()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await send(session, server)
    async with aiohttp.ClientSession() as new_session:
        assert (await send(new_session, server))[0] == 200


async def test_rejects_connections_above_limit(session, server):
    server.connections = 1
    await send(session, server)
    async with aiohttp.ClientSession() as other_session:
        with pytest.raises(aiohttp.ClientError):
            await send(other_session, server)
    assert server.counts["refused_connections"] >= 1
