"""Tests of callers' connections, over loopback sockets."""

import asyncio
import contextlib

from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model

_GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


@contextlib.asynccontextmanager
async def _open(handler=None, *, limits: model.CallerLimits | None = None):
    """Opens a listener and a connection to it."""
    seen: list[messages.Request] = []

    async def answer(request):
        seen.append(request)
        if handler is not None:
            await handler(request)
        return listener.Response(200, [], request.target + request.body)

    made = listener.Listener(
        handler=answer, get_limits=lambda: limits or model.CallerLimits()
    )
    await made.start(model.Address("127.0.0.1", 0))
    port = made._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield made, reader, writer, seen
    finally:
        writer.close()
        made.stop()


async def _read(reader, count: int = 65536) -> bytes:
    return await asyncio.wait_for(reader.read(count), 2)


async def test_requests_of_one_connection_are_answered_in_their_order():
    async def handle(request):
        await asyncio.sleep(0.03 if request.target == b"/1" else 0.0)

    async with _open(handle) as (_, reader, writer, _):
        writer.write(_GET.replace(b"/x", b"/1") + _GET.replace(b"/x", b"/2"))
        data = b""
        while data.count(b"HTTP/1.1") < 2:
            data += await _read(reader)
        assert data.index(b"/1") < data.index(b"/2")


async def test_a_chunked_body_is_one_body():
    async with _open() as (_, reader, writer, seen):
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        assert (await _read(reader)).endswith(b"/xabcde")
        assert seen[0].body == b"abcde"


async def test_what_is_no_request_is_refused_and_costs_no_work():
    for data in (
        b"\x16\x03\x01 no http\r\n\r\n",
        b"GET /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"POST /x HTTP/1.1\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    ):
        async with _open() as (_, reader, writer, seen):
            writer.write(data)
            assert (await _read(reader)).startswith(b"HTTP/1.1 400")
            assert not seen


async def test_limits_on_head_and_body_hold():
    limits = model.CallerLimits(max_header_bytes=200, max_body_bytes=10)
    for data, status in (
        (b"GET /x HTTP/1.1\r\nX-A: " + b"a" * 300 + b"\r\n\r\n", b"431"),
        (b"GET /" + b"a" * 300, b"431"),
        (b"POST /x HTTP/1.1\r\nContent-Length: 11\r\n\r\n", b"413"),
        (
            b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"b\r\naaaaaaaaaaa\r\n0\r\n\r\n",
            b"413",
        ),
    ):
        async with _open(limits=limits) as (_, reader, writer, seen):
            writer.write(data)
            assert (await _read(reader)).startswith(b"HTTP/1.1 " + status)
            assert not seen


async def test_a_slow_head_and_an_idle_connection_end(monkeypatch):
    monkeypatch.setattr(listener, "SWEEP_S", 0.02)
    limits = model.CallerLimits(header_timeout_s=0.05, idle_timeout_s=0.1)
    async with _open(limits=limits) as (_, reader, writer, _):
        writer.write(b"GET /x HTT")
        assert (await _read(reader)).startswith(b"HTTP/1.1 408")
    async with _open(limits=limits) as (_, reader, _, _):
        assert await _read(reader) == b""


async def test_a_caller_that_closes_cancels_its_request():
    cancelled = asyncio.Event()

    async def handle(request):
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async with _open(handle) as (_, _, writer, _):
        writer.write(_GET)
        await asyncio.sleep(0.02)
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 1)


async def test_a_stopping_listener_answers_and_then_closes():
    async def handle(request):
        await asyncio.sleep(0.05)

    async with _open(handle) as (made, reader, writer, _):
        writer.write(_GET)
        await asyncio.sleep(0.02)
        made.start_draining()
        made.close_idle()
        data = await _read(reader)
        assert b"200 OK" in data and b"Connection: close" in data
        assert await _read(reader) == b""


async def test_a_caller_that_waits_for_leave_to_send_gets_it():
    async with _open() as (_, reader, writer, _):
        writer.write(
            b"POST /x HTTP/1.1\r\nExpect: 100-continue\r\n"
            b"Content-Length: 2\r\n\r\n"
        )
        assert (await _read(reader)).startswith(b"HTTP/1.1 100")
        writer.write(b"ab")
        assert (await _read(reader)).endswith(b"/xab")


async def test_bad_bytes_behind_a_request_do_not_lose_its_answer():
    async def handle(request):
        await asyncio.sleep(0.03)

    async with _open(handle) as (_, reader, writer, _):
        writer.write(_GET)
        await asyncio.sleep(0.01)
        writer.write(b"\x00\x00garbage\r\n\r\n")
        data = b""
        while piece := await _read(reader):
            data += piece
        assert data.startswith(b"HTTP/1.1 200") and b"HTTP/1.1 400" in data
