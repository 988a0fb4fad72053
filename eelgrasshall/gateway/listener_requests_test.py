"""Tests of requests that follow each other on a caller's connection."""

import asyncio

import pytest

from eelgrasshall.gateway import listener
from eelgrasshall.gateway import model

_GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
_UPGRADE = (
    b"GET /u HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
)


async def _start(handler) -> tuple[listener.Listener, int]:
    server = listener.Listener(
        handler=handler, get_limits=lambda: model.CallerLimits()
    )
    await server.start(model.Address("127.0.0.1", 0))
    return server, server._server.sockets[0].getsockname()[1]


async def _read_all(reader, timeout_s: float) -> bytes:
    data = b""
    try:
        async with asyncio.timeout(timeout_s):
            while more := await reader.read(65536):
                data += more
    except TimeoutError:
        pass
    return data


async def test_request_behind_one_that_offers_an_upgrade_is_answered():
    async def answer(request):
        return listener.Response(200, [], request.target)

    server, port = await _start(answer)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(_UPGRADE + _GET)
        data = await _read_all(reader, 1.0)
        assert data.count(b"HTTP/1.1 200") == 2, data
    finally:
        writer.close()
        server.stop()


@pytest.mark.parametrize("together", [False, True])
async def test_request_that_began_behind_another_one_is_in_progress(together):
    async def answer(request):
        return listener.Response(200, [], request.target)

    server, port = await _start(answer)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    part = b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n123"
    try:
        if together:
            writer.write(_GET + part)
        else:
            writer.write(_GET)
            await asyncio.sleep(0.05)
            writer.write(part)
        await asyncio.sleep(listener.MIN_IDLE_S + 0.2)
        server.start_draining()
        server.close_idle()
        await asyncio.sleep(0.05)
        writer.write(b"4567890")
        data = await _read_all(reader, 1.0)
        assert data.count(b"HTTP/1.1 200") == 2, data
    finally:
        writer.close()
        server.stop()


async def test_body_of_a_request_that_offers_an_upgrade_arrives():
    bodies = []

    async def answer(request):
        bodies.append(request.body)
        return listener.Response(200, [], b"")

    server, port = await _start(answer)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(
            b"POST /u HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n"
            b"Upgrade: h2c\r\nContent-Length: 3\r\n\r\nabc"
        )
        await _read_all(reader, 0.3)
        assert bodies == [b"abc"]
    finally:
        writer.close()
        server.stop()


async def test_body_of_a_request_that_offers_an_upgrade_is_no_request():
    received = []

    async def answer(request):
        received.append((request.method, request.target, request.body))
        return listener.Response(200, [], b"")

    server, port = await _start(answer)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        inner = b"GET /inner HTTP/1.1\r\nHost: a\r\n\r\n"
        writer.write(
            b"POST /u HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n"
            b"Upgrade: h2c\r\nContent-Length: %d\r\n\r\n" % len(inner)
        )
        await asyncio.sleep(0.1)
        writer.write(inner)
        await _read_all(reader, 0.3)
        assert received == [(b"POST", b"/u", inner)]
    finally:
        writer.close()
        server.stop()
