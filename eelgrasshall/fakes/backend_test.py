import asyncio
import json
import random

import aiohttp
import pytest

from eelgrasshall.fakes import backend
from eelgrasshall.fakes import records
from eelgrasshall.fakes import waiting
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
    server = backend.BackendFake(
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


async def test_serves_records_of_the_pinned_snapshot(session, server):
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


async def test_refuses_a_snapshot_that_it_does_not_hold(session, server):
    status, headers, _ = await send(session, server, Snapshot="9.9")
    assert (status, headers["X-Not-Run"]) == (409, "1")
    assert server.counts["runs"] == 0


async def test_cancel_ends_the_attempt_with_499(session, server):
    server.service_time = LONG
    sending = asyncio.create_task(send(session, server, Attempt="a"))
    await waiting.wait_until(lambda: server.in_flight == 1)
    url = f"http://127.0.0.1:{server.port}/cancel"
    async with session.post(url, headers={"X-Attempt": "a"}) as response:
        assert response.status == 204
    assert (await sending)[0] == 499
    assert server.in_flight == 0


async def test_warm_server_sheds_above_its_slots(session, server):
    server.service_time = LONG
    running = [
        asyncio.create_task(send(session, server, Attempt=str(each)))
        for each in range(2)
    ]
    await waiting.wait_until(lambda: server.in_flight == 2)
    status, headers, _ = await send(session, server)
    assert (status, headers["X-Not-Run"]) == (503, "1")
    for task in running:
        task.cancel()


async def test_cold_server_falls_over_and_comes_back_cold(session, server):
    server.service_time = LONG
    server.turn_cold()
    server.cold_capacity = 1
    server.restart_s = 0.01
    running = asyncio.create_task(send(session, server))
    await waiting.wait_until(lambda: server.in_flight == 1)
    with pytest.raises(aiohttp.ClientError):
        await send(session, server)
    with pytest.raises(aiohttp.ClientError):
        await running
    server.service_time = FAST
    assert not server.listening
    await waiting.wait_until(lambda: server.listening)
    status, headers, _ = await send(session, server)
    assert (status, headers["X-Incarnation"]) == (200, "2")
    assert server.counts["falls"] == 1


async def test_silence_hits_open_connections_only(session, server):
    await send(session, server)
    server.silence_connections()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await send(session, server)
    async with aiohttp.ClientSession() as fresh:
        assert (await send(fresh, server))[0] == 200


async def test_refuses_connections_above_its_cap(session, server):
    server.connections = 1
    await send(session, server)
    async with aiohttp.ClientSession() as other:
        with pytest.raises(aiohttp.ClientError):
            await send(other, server)
    assert server.counts["refused_connections"] >= 1
