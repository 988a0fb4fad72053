"""Tests of responses without end at the daemon's connections."""

import asyncio
import contextlib

import aiohttp
import pytest

from eelgrasshall.transport import bodies
from eelgrasshall.transport import connection as connections

_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# More than any limit, and what the kernel buffers.
_MAX_SENT_BYTES = 64 * 1024 * 1024


@contextlib.asynccontextmanager
async def _serve(begin: bytes, piece: bytes):
    """Answers each request with a response that never ends.

    Yields:
      The port and a list of the sizes that were sent.
    """
    sent = []

    async def answer(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(begin)
            while sum(sent) < _MAX_SENT_BYTES:
                writer.write(piece)
                sent.append(len(piece))
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1], sent
    finally:
        server.close()


@pytest.mark.parametrize(
    ("begin", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", b"b" * 65536),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", b"b" * 65536),
        (_CHUNKED, b"10000\r\n" + b"b" * 65536 + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 65536),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 8192),
        (_CHUNKED + b"0\r\n", b"X-A: b\r\n" * 8192),
    ],
)
async def test_response_without_end_is_given_up(begin, piece):
    async with _serve(begin, piece) as (port, sent):
        connection = connections.Connection(host="127.0.0.1", port=port, now=0)
        with pytest.raises(aiohttp.ClientError):
            await connection.request(
                "GET", "/", total_s=5.0, progress_timeout_s=2.0
            )
        await connection.close()
        assert not connection.is_open()
        assert sum(sent) < _MAX_SENT_BYTES


async def test_body_of_the_largest_size_is_read():
    body = b"b" * bodies.MAX_RESPONSE_BYTES

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        await writer.drain()
        # The connection is to stay open as long as the caller wants.
        await reader.read()
        writer.close()
        closed.set()

    closed = asyncio.Event()
    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = connections.Connection(host="127.0.0.1", port=port, now=0)
    status, _, received = await connection.request(
        "GET", "/", total_s=5.0, progress_timeout_s=2.0
    )
    assert status == 200 and received == body and connection.is_open()
    await connection.close()
    await closed.wait()
    server.close()
