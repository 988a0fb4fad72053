"""Tests the platform client against a faulty HTTP server."""

import asyncio
import random

from aiohttp import web
import pytest

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.protocol import platform as protocol
from eelgrasshall.transport import pacing
from eelgrasshall.transport import platform

_UNAVAILABLE = errors.ProblemKind.STORE_UNAVAILABLE


class _FaultyServer:
    """Responds as the test configures it and records the calls."""

    def __init__(self):
        self.calls = []
        self.status = 200
        self.body = {"name": "n", "version": 3, "value": {"a": 1}}
        self.fault = ""

    async def answer(self, request):
        self.calls.append((request.method, request.path_qs))
        if self.fault == "hang":
            await asyncio.sleep(30)
        if self.fault == "lose" or (
            self.fault == "lose second" and len(self.calls) == 2
        ):
            request.transport.abort()
        if self.fault == "garble":
            return web.Response(body=b"{", status=self.status)
        return web.json_response(self.body, status=self.status)


@pytest.fixture
async def server():
    made = _FaultyServer()
    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", made.answer)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    made.url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    yield made
    await runner.cleanup()


@pytest.fixture
async def client(server):
    made = platform.PlatformClient(
        base_url=server.url,
        clock=clock_module.Clock(),
        random=random.Random(1),
        calls_per_s=1000.0,
        call_timeout_s=0.3,
    )
    yield made
    await made.close()


async def test_results_are_typed(server, client):
    stored = protocol.StoredObject("n", 3, {"a": 1})
    assert await client.read("k", "n") == stored
    assert await client.write("k", "n", 1, 2) == protocol.Written(3)
    assert await client.watch("k", "n", 1, 0.0) == stored
    assert await client.delete("k", "n") == protocol.Deleted("n")
    server.status = 409
    assert await client.create("k", "n", 1) == protocol.Conflict(stored)
    assert await client.delete("k", "n", 2) == protocol.Conflict(stored)
    server.status = 404
    assert await client.read("k", "n") == protocol.NotFound("n")
    server.status = 204
    assert await client.watch("k", "n", 3, 0.0) == protocol.NotChanged(3)
    server.status = 200
    server.body = {"objects": [server.body], "next": None}
    assert await client.list("k") == protocol.Listing((stored,), None)
    entry = {
        "name": "h", "zone": "z", "region": "r", "host": "127.0.0.1",
        "caller_port": 1, "peer_port": 2, "leaving": False,
    }  # fmt: skip
    server.body = {"hosts": [entry]}
    assert await client.hosts() == (protocol.HostEntry(**entry),)


@pytest.mark.parametrize("fault", ["lose", "hang", "garble"])
async def test_lost_reply_makes_a_write_unknown_and_a_read_a_problem(
    server, client, fault
):
    server.fault = fault
    written = await client.write("k", "n", 1, 2)
    assert isinstance(written, protocol.UnknownOutcome)
    read = await client.read("k", "n")
    assert isinstance(read, errors.Problem) and read.kind is _UNAVAILABLE


async def test_write_that_was_not_sent_is_a_problem(client):
    client._base_url = "http://127.0.0.1:1"
    written = await client.write("k", "n", 1, 2)
    assert isinstance(written, errors.Problem) and written.kind is _UNAVAILABLE


async def test_server_error_after_a_write_is_unknown(server, client):
    server.status = 503
    assert isinstance(await client.create("k", "n", 1), protocol.UnknownOutcome)


async def test_lost_write_is_not_resent(server, client):
    server.fault = "lose second"
    await client.write("k", "n", 1, 2)
    written = await client.write("k", "n", 1, 2)
    assert isinstance(written, protocol.UnknownOutcome)
    assert len(server.calls) == 2


async def test_client_backs_off_after_repeated_failures(server, client):
    server.fault = "lose"
    for _ in range(20):
        await client.write("k", "n", 1, 2)
    assert len(server.calls) == pacing.BACKOFF_THRESHOLD
    assert client.dump()["calls"]["not_sent"] == 20 - len(server.calls)
