"""Tests connection faults against a local HTTP server."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import pytest

from eelgrasshall import clock as clocks
from eelgrasshall import invariants as invariants_module
from eelgrasshall.protocol import backend
from eelgrasshall.transport import backends
from eelgrasshall.transport import connection as connections


class ScriptedServer:
    """A backend server that behaves as the prefix of the attempt id says."""

    def __init__(self):
        self.attempt_ids: list[str] = []
        self.client_addresses: list[tuple] = []
        self.health_client_addresses: list[tuple] = []
        self.release = asyncio.Event()
        self.arrived = asyncio.Semaphore(0)
        self.port = 0
        self._runner = None

    async def start(self) -> None:
        app = web.Application()
        app.router.add_post("/search", self._search)
        app.router.add_post("/cancel", self._cancel)
        app.router.add_get("/health", self._health)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        await self._runner.cleanup()

    async def _search(self, request: web.Request) -> web.Response:
        name = request.headers["X-Attempt"]
        self.attempt_ids.append(name)
        self.client_addresses.append(
            request.transport.get_extra_info("peername")
        )
        self.arrived.release()
        if name.startswith("wait") or name.startswith("silent"):
            await self.release.wait()
        if name.startswith("reset"):
            request.transport.abort()
        echoed_id = "another" if name.startswith("crossed") else name
        return web.Response(
            body=b"[1]",
            headers={
                "X-Attempt": echoed_id,
                "X-Incarnation": "i1",
                "X-Snapshots": "1.2,1.3",
                "X-Snapshot": "1.3",
                "X-Key-Range": "0-100",
            },
        )

    async def _health(self, request: web.Request) -> web.Response:
        self.health_client_addresses.append(
            request.transport.get_extra_info("peername")
        )
        return web.json_response({"ready": True})

    async def _cancel(self, request: web.Request) -> web.Response:
        return web.Response(status=204)


def make_attempt(name: str) -> backend.Attempt:
    return backend.Attempt(
        attempt_id=name,
        query_id="q",
        kind="orders",
        body=b"{}",
        snapshot=None,
        budget_s=5.0,
        run_once=False,
    )


@contextlib.asynccontextmanager
async def run_server(limit: int = 4):
    server = ScriptedServer()
    await server.start()
    transport = backends.BackendTransport(
        clock=clocks.Clock(),
        invariants=invariants_module.InvariantChecker(raising=True),
    )
    transport.set_servers(
        (backends.BackendTarget("b1", "127.0.0.1", server.port, limit),)
    )
    try:
        yield server, transport
    finally:
        server.release.set()
        await transport.close()
        await server.stop()


async def send(
    transport, name, progress_timeout_s=2.0, needs_new_connection=False
):
    return await transport.send(
        "b1",
        make_attempt(name),
        progress_timeout_s=progress_timeout_s,
        needs_new_connection=needs_new_connection,
    )


async def test_response_carries_part_and_snapshots():
    async with run_server() as (_, transport):
        response = await send(transport, "a1")
        assert response.served and response.part == b"[1]"
        assert [s.to_text() for s in response.available] == ["1.3", "1.2"]
        assert response.key_range == (0, 100)


async def test_connections_are_reused_unless_a_new_one_is_needed():
    async with run_server() as (server, transport):
        await send(transport, "a1")
        await send(transport, "a2")
        await send(transport, "once", needs_new_connection=True)
        assert server.client_addresses[0] == server.client_addresses[1]
        assert server.client_addresses[2] not in server.client_addresses[:2]


async def test_new_connections_replace_idle_ones_at_the_limit():
    async with run_server(limit=2) as (server, transport):
        server.release.set()
        await asyncio.gather(*(send(transport, f"wait{n}") for n in range(2)))
        responses = await asyncio.gather(
            *(
                send(transport, f"once{n}", needs_new_connection=True)
                for n in range(2)
            )
        )
        assert all(response.served for response in responses)
        assert len(set(server.client_addresses)) == 4
        assert transport.count_open("b1") == 2


async def test_preconnect_opens_one_connection_within_the_limit():
    async with run_server(limit=5) as (server, transport):
        transport.preconnect("b1")
        transport.preconnect("b1")
        await asyncio.gather(*transport._tasks)
        assert transport.count_open("b1") == 1
        await send(transport, "a1")
        assert server.client_addresses == server.health_client_addresses
        transport.set_servers(
            (backends.BackendTarget("b1", "127.0.0.1", server.port, 3),)
        )
        transport.preconnect("b1")
        assert transport.count_open("b1") == 1


async def test_request_beyond_the_connection_limit_does_not_run():
    async with run_server(limit=2) as (server, transport):
        waiting = [
            asyncio.create_task(send(transport, f"wait{n}")) for n in range(2)
        ]
        await server.arrived.acquire()
        await server.arrived.acquire()
        failure = await send(transport, "third")
        assert failure.kind is backends.FailureKind.NO_CONNECTION
        assert failure.not_run
        server.release.set()
        await asyncio.gather(*waiting)
        assert "third" not in server.attempt_ids
        assert transport.count_open("b1") == 2


async def test_response_to_another_attempt_closes_its_connection():
    async with run_server() as (server, transport):
        failure = await send(transport, "crossed")
        assert failure.kind is backends.FailureKind.WRONG_RESPONSE
        assert not failure.not_run
        await send(transport, "a2")
        assert server.client_addresses[0] != server.client_addresses[1]


async def test_request_without_progress_closes_stale_idle_connections():
    async with run_server() as (server, transport):
        waiting = [
            asyncio.create_task(send(transport, f"wait{n}")) for n in range(2)
        ]
        await server.arrived.acquire()
        await server.arrived.acquire()
        server.release.set()
        await asyncio.gather(*waiting)
        server.release.clear()
        assert transport.count_open("b1") == 2
        failure = await send(transport, "silent", progress_timeout_s=0.05)
        assert failure.kind is backends.FailureKind.NO_PROGRESS
        assert not failure.not_run
        await send(transport, "fresh")
        assert server.client_addresses[-1] not in server.client_addresses[:-1]


async def test_reset_after_sending_is_connection_lost_without_resend():
    async with run_server() as (server, transport):
        await send(transport, "a1")
        failure = await send(transport, "reset")
        assert failure.kind is backends.FailureKind.CONNECTION_LOST
        assert not failure.not_run
        assert server.attempt_ids == ["a1", "reset"]


async def test_attempt_without_a_connection_did_not_run():
    async with run_server() as (server, transport):
        await server.stop()
        failure = await send(transport, "a1")
        assert failure.kind is backends.FailureKind.CONNECT_FAILED
        assert failure.not_run
        result = await transport.cancel("b1", "a1")
        assert result is backends.CancelResult.UNREACHABLE
        await server.start()


async def test_connection_is_not_silently_reopened():
    async with run_server() as (server, _):
        connection = connections.Connection(
            host="127.0.0.1", port=server.port, now=0.0
        )
        health = {"method": "GET", "path": "/health"}
        timeouts = {"total_s": 2.0, "progress_timeout_s": 1.0}
        await connection.request(**health, **timeouts)
        await server.stop()
        await server.start()
        with pytest.raises(aiohttp.ClientConnectorError):
            await connection.request(**health, **timeouts)
        await connection.close()
        assert len(server.health_client_addresses) == 1


async def test_idle_connections_closed_by_the_server_are_counted_once():
    async with run_server() as (server, transport):
        await send(transport, "a1")
        assert transport.take_closed_count("b1") == 0
        await server.stop()
        await server.start()
        assert transport.take_closed_count("b1") == 1
        assert transport.take_closed_count("b1") == 0


@pytest.mark.parametrize(
    "changes",
    [
        {"X-Attempt": ""},
        {"X-Incarnation": ""},
        {"X-Snapshots": "1"},
        {"X-Snapshot": "x.y"},
        {"X-Key-Range": "9-3"},
    ],
)
def test_malformed_headers_give_no_response(changes):
    headers = {
        "X-Attempt": "a",
        "X-Incarnation": "i",
        "X-Snapshots": "1.1",
        "X-Snapshot": "1.1",
        "X-Key-Range": "0-9",
    }
    assert backend.parse_response(200, headers, b"[]") is not None
    assert backend.parse_response(200, headers | changes, b"[]") is None
