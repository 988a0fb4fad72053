"""Faults of connections, brought about by a small server on loopback."""

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


class SmallServer:
    """A backend server whose answers the test scripts by attempt name."""

    def __init__(self):
        self.runs: list[str] = []
        self.peers: list[tuple] = []
        self.health_peers: list[tuple] = []
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
        self.runs.append(name)
        self.peers.append(request.transport.get_extra_info("peername"))
        self.arrived.release()
        if name.startswith("wait") or name.startswith("silent"):
            await self.release.wait()
        if name.startswith("reset"):
            request.transport.abort()
        echo = "another" if name.startswith("crossed") else name
        return web.Response(
            body=b"[1]",
            headers={
                "X-Attempt": echo,
                "X-Incarnation": "i1",
                "X-Snapshots": "1.2,1.3",
                "X-Snapshot": "1.3",
                "X-Key-Range": "0-100",
            },
        )

    async def _health(self, request: web.Request) -> web.Response:
        self.health_peers.append(request.transport.get_extra_info("peername"))
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
    server = SmallServer()
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


async def send(transport, name, silence_s=2.0, fresh=False):
    return await transport.send(
        "b1", make_attempt(name), silence_s=silence_s, fresh=fresh
    )


async def test_answer_carries_part_and_snapshots():
    async with run_server() as (_, transport):
        response = await send(transport, "a1")
        assert response.served and response.part == b"[1]"
        assert [s.to_text() for s in response.available] == ["1.3", "1.2"]
        assert response.key_range == (0, 100)


async def test_connections_are_kept_and_run_once_takes_a_fresh_one():
    async with run_server() as (server, transport):
        await send(transport, "a1")
        await send(transport, "a2")
        await send(transport, "once", fresh=True)
        assert server.peers[0] == server.peers[1]
        assert server.peers[2] not in server.peers[:2]


async def test_fresh_connections_replace_idle_ones_at_the_limit():
    async with run_server(limit=2) as (server, transport):
        server.release.set()
        await asyncio.gather(*(send(transport, f"wait{n}") for n in range(2)))
        answers = await asyncio.gather(
            *(send(transport, f"once{n}", fresh=True) for n in range(2))
        )
        assert all(answer.served for answer in answers)
        assert len(set(server.peers)) == 4
        assert transport.count_open("b1") == 2


async def test_connection_is_opened_ahead_and_within_the_limit():
    async with run_server(limit=5) as (server, transport):
        transport.prepare("b1")
        transport.prepare("b1")
        await asyncio.gather(*transport._tasks)
        assert transport.count_open("b1") == 1
        await send(transport, "a1")
        assert server.peers == server.health_peers
        transport.set_servers(
            (backends.BackendTarget("b1", "127.0.0.1", server.port, 3),)
        )
        transport.prepare("b1")
        assert transport.count_open("b1") == 1


async def test_limit_holds_and_a_request_over_it_does_not_run():
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
        assert "third" not in server.runs
        assert transport.count_open("b1") == 2


async def test_crossed_answer_is_not_delivered_and_closes_its_connection():
    async with run_server() as (server, transport):
        failure = await send(transport, "crossed")
        assert failure.kind is backends.FailureKind.CROSSED
        assert not failure.not_run
        await send(transport, "a2")
        assert server.peers[0] != server.peers[1]


async def test_silent_connection_takes_idle_ones_of_its_age_with_it():
    async with run_server() as (server, transport):
        early = [
            asyncio.create_task(send(transport, f"wait{n}")) for n in range(2)
        ]
        await server.arrived.acquire()
        await server.arrived.acquire()
        server.release.set()
        await asyncio.gather(*early)
        server.release.clear()
        assert transport.count_open("b1") == 2
        failure = await send(transport, "silent", silence_s=0.05)
        assert failure.kind is backends.FailureKind.SILENT
        assert not failure.not_run
        await send(transport, "fresh")
        assert server.peers[-1] not in server.peers[:-1]


async def test_reset_after_sending_is_lost_and_not_sent_again():
    async with run_server() as (server, transport):
        await send(transport, "a1")
        failure = await send(transport, "reset")
        assert failure.kind is backends.FailureKind.LOST
        assert not failure.not_run
        assert server.runs == ["a1", "reset"]


async def test_refused_connection_did_not_run():
    async with run_server() as (server, transport):
        await server.stop()
        failure = await send(transport, "a1")
        assert failure.kind is backends.FailureKind.REFUSED
        assert failure.not_run
        result = await transport.cancel("b1", "a1")
        assert result is backends.CancelResult.GONE
        await server.start()


async def test_connection_is_not_opened_a_second_time_unseen():
    async with run_server() as (server, _):
        link = connections.Connection(
            host="127.0.0.1", port=server.port, now=0.0
        )
        health = {"method": "GET", "path": "/health"}
        limits = {"total_s": 2.0, "silence_s": 1.0}
        await link.request(**health, **limits)
        await server.stop()
        await server.start()
        with pytest.raises(aiohttp.ClientConnectorError):
            await link.request(**health, **limits)
        await link.close()
        assert len(server.health_peers) == 1


async def test_idle_connections_closed_by_the_server_are_counted_once():
    async with run_server() as (server, transport):
        await send(transport, "a1")
        assert transport.count_lost("b1") == 0
        await server.stop()
        await server.start()
        assert transport.count_lost("b1") == 1
        assert transport.count_lost("b1") == 0


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
def test_broken_response_is_no_answer(changes):
    headers = {
        "X-Attempt": "a",
        "X-Incarnation": "i",
        "X-Snapshots": "1.1",
        "X-Snapshot": "1.1",
        "X-Key-Range": "0-9",
    }
    assert backend.parse_response(200, headers, b"[]") is not None
    assert backend.parse_response(200, headers | changes, b"[]") is None
