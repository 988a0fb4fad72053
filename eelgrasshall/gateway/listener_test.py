"""Tests of the listener for callers over loopback sockets."""

import asyncio
import contextlib
import socket

import pytest

from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model

_GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


@contextlib.asynccontextmanager
async def _open_connection(
    handler=None, *, limits: model.CallerLimits | None = None
):
    """Opens a listener and a connection to it.

    Yields:
      The listener, the reader and writer of the connection, and the list of
      the requests that reached the handler.
    """
    received: list[messages.Request] = []

    async def answer(request):
        received.append(request)
        if handler is not None:
            await handler(request)
        return listener.Response(200, [], request.target + request.body)

    server = listener.Listener(
        handler=answer, get_limits=lambda: limits or model.CallerLimits()
    )
    await server.start(model.Address("127.0.0.1", 0))
    port = server._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield server, reader, writer, received
    finally:
        writer.close()
        server.stop()


async def _read(reader, count: int = 65536) -> bytes:
    return await asyncio.wait_for(reader.read(count), 2)


async def test_requests_of_a_connection_are_answered_in_order():
    async def handle(request):
        await asyncio.sleep(0.03 if request.target == b"/1" else 0.0)

    async with _open_connection(handle) as (_, reader, writer, _):
        writer.write(_GET.replace(b"/x", b"/1") + _GET.replace(b"/x", b"/2"))
        data = b""
        while data.count(b"HTTP/1.1") < 2:
            data += await _read(reader)
        assert data.index(b"/1") < data.index(b"/2")


async def test_chunked_body_is_reassembled():
    async with _open_connection() as (_, reader, writer, received):
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        assert (await _read(reader)).endswith(b"/xabcde")
        assert received[0].body == b"abcde"


async def test_invalid_requests_are_rejected_before_the_handler():
    for data in (
        b"\x16\x03\x01 no http\r\n\r\n",
        b"GET /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"POST /x HTTP/1.1\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    ):
        async with _open_connection() as (_, reader, writer, received):
            writer.write(data)
            assert (await _read(reader)).startswith(b"HTTP/1.1 400")
            assert not received


async def test_header_and_body_limits_are_enforced():
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
        async with _open_connection(limits=limits) as (
            _,
            reader,
            writer,
            received,
        ):
            writer.write(data)
            assert (await _read(reader)).startswith(b"HTTP/1.1 " + status)
            assert not received


async def test_slow_headers_and_idle_connections_time_out(monkeypatch):
    monkeypatch.setattr(listener, "SWEEP_INTERVAL_S", 0.02)
    limits = model.CallerLimits(header_timeout_s=0.05, idle_timeout_s=0.1)
    async with _open_connection(limits=limits) as (_, reader, writer, _):
        writer.write(b"GET /x HTT")
        assert (await _read(reader)).startswith(b"HTTP/1.1 408")
    async with _open_connection(limits=limits) as (_, reader, _, _):
        assert await _read(reader) == b""


async def test_closing_the_connection_cancels_the_request():
    cancelled = asyncio.Event()

    async def handle(request):
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async with _open_connection(handle) as (_, _, writer, _):
        writer.write(_GET)
        await asyncio.sleep(0.02)
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 1)


async def test_draining_listener_answers_and_then_closes():
    async def handle(request):
        await asyncio.sleep(0.05)

    async with _open_connection(handle) as (server, reader, writer, _):
        writer.write(_GET)
        await asyncio.sleep(0.02)
        server.start_draining()
        server.close_idle()
        data = await _read(reader)
        assert b"200 OK" in data and b"Connection: close" in data
        assert await _read(reader) == b""


async def test_expect_100_continue_is_answered():
    async with _open_connection() as (_, reader, writer, _):
        writer.write(
            b"POST /x HTTP/1.1\r\nExpect: 100-continue\r\n"
            b"Content-Length: 2\r\n\r\n"
        )
        assert (await _read(reader)).startswith(b"HTTP/1.1 100")
        writer.write(b"ab")
        assert (await _read(reader)).endswith(b"/xab")


async def test_invalid_data_after_a_request_does_not_drop_its_response():
    async def handle(request):
        await asyncio.sleep(0.03)

    async with _open_connection(handle) as (_, reader, writer, _):
        writer.write(_GET)
        await asyncio.sleep(0.01)
        writer.write(b"\x00\x00garbage\r\n\r\n")
        data = b""
        while chunk := await _read(reader):
            data += chunk
        assert data.startswith(b"HTTP/1.1 200") and b"HTTP/1.1 400" in data


@pytest.mark.parametrize(
    ("begin", "piece"),
    [
        (b"1;", b"e" * 4096),
        (b"0\r\n", b"X-A: b\r\n" * 512),
        (b"0\r\nX-A: ", b"b" * 4096),
    ],
)
async def test_chunk_extension_or_trailer_without_end_is_refused(begin, piece):
    async with _open_connection() as (_, reader, writer, received):
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(begin)
        # More than the limit on headers, and far less than that on the body.
        for _ in range(8):
            writer.write(piece)
        data = await _read(reader)
        assert int(data.split()[1]) in (400, 413, 431)
        assert not received


async def test_body_in_the_smallest_chunks_is_accepted():
    async with _open_connection() as (_, reader, writer, received):
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for _ in range(20_000):
            writer.write(b"1\r\nb\r\n")
        writer.write(b"0\r\n\r\n")
        assert b" 200 " in await _read(reader)
        assert len(received[0].body) == 20_000


async def test_error_of_the_handler_is_answered():
    # The request got no answer, and those behind it on the connection waited
    # without end.
    async def handle(request):
        if request.target == b"/1":
            raise ValueError("broken")

    async with _open_connection(handle) as (_, reader, writer, _):
        writer.write(_GET.replace(b"/x", b"/1") + _GET.replace(b"/x", b"/2"))
        data = b""
        while data.count(b"HTTP/1.1") < 2:
            data += await _read(reader)
        assert data.startswith(b"HTTP/1.1 500 ") and data.endswith(b"/2")


@contextlib.asynccontextmanager
async def _connect_socket(server, *, receive_buffer_bytes: int | None = None):
    """Opens a connection whose socket sends without a turn of the loop."""
    with socket.socket() as sock:
        sock.setblocking(False)
        if receive_buffer_bytes is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        address = server._server.sockets[0].getsockname()
        await asyncio.get_running_loop().sock_connect(sock, address)
        await asyncio.sleep(0.02)
        yield sock


async def _receive(sock) -> bytes:
    """Receives up to the end of the connection; a reset ends it as well."""
    loop = asyncio.get_running_loop()
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while chunk := await asyncio.wait_for(loop.sock_recv(sock, 65536), 2):
            data += chunk
    return data


async def test_unread_request_is_answered_by_a_draining_listener():
    # The connection counted as idle and was reset with the request in it.
    async with (
        _open_connection() as (server, _, _, _),
        _connect_socket(server) as sock,
    ):
        await asyncio.sleep(0.35)
        sock.send(_GET)
        server.start_draining()
        server.close_idle()
        data = await _receive(sock)
        assert data.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in data


async def test_unread_request_is_answered_after_the_idle_timeout():
    # A process that was held up sees the time-out before it sees the request.
    limits = model.CallerLimits(idle_timeout_s=15.0)
    async with (
        _open_connection(limits=limits) as (server, _, _, _),
        _connect_socket(server) as sock,
    ):
        sock.send(_GET.replace(b"Host", b"Connection: close\r\nHost"))
        now = asyncio.get_running_loop().time() + 20.0
        for connection in list(server.connections):
            connection.enforce_timeouts(now, limits)
        assert (await _receive(sock)).startswith(b"HTTP/1.1 200")


async def test_request_on_a_new_connection_is_answered_by_a_draining_listener():
    # A caller sends its request a round trip after it has connected.
    async with _open_connection() as (server, reader, writer, _):
        await asyncio.sleep(0.02)
        server.start_draining()
        server.close_idle()
        await asyncio.sleep(0.05)
        writer.write(_GET)
        assert b"Connection: close" in await _read(reader)


async def test_draining_listener_closes_a_connection_that_sends_nothing():
    async with _open_connection() as (server, reader, _, _):
        await asyncio.sleep(0.35)
        server.start_draining()
        server.close_idle()
        assert await _read(reader) == b""


async def test_draining_listener_announces_the_close_in_the_last_response():
    # A caller that closes after the first one loses the second.
    async def handle(request):
        await asyncio.sleep(0.02)

    async with _open_connection(handle) as (server, reader, writer, _):
        writer.write(_GET + _GET.replace(b"/x", b"/y"))
        server.start_draining()
        data = b""
        while chunk := await _read(reader):
            data += chunk
        first, _, last = data.partition(b"/x")
        assert b"Connection: close" not in first
        assert b"Connection: close" in last and last.endswith(b"/y")


async def test_bytes_behind_the_last_request_do_not_cut_its_response(
    monkeypatch,
):
    # A connection that is closed with unread bytes is reset, which discards
    # what the caller has not received of the response.
    monkeypatch.setattr(listener, "LINGER_S", 1.0)
    body = b"b" * 200_000
    async with (
        _open_connection() as (server, _, _, _),
        _connect_socket(server, receive_buffer_bytes=4096) as sock,
    ):
        request = (
            b"POST /x HTTP/1.1\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body)
        )
        await asyncio.get_running_loop().sock_sendall(sock, request + body)
        await asyncio.sleep(0.05)
        sock.send(b"\r\n")
        await asyncio.sleep(0.05)
        assert (await _receive(sock)).endswith(b"/x" + body)


async def test_shorter_idle_timeout_spares_connections_already_idle():
    # Their callers reckon with the limit that was in force before.
    limits = model.CallerLimits(idle_timeout_s=15.0)
    async with _open_connection(limits=limits) as (server, reader, writer, _):
        await asyncio.sleep(0.02)
        shorter = model.CallerLimits(idle_timeout_s=5.0)
        now = asyncio.get_running_loop().time()
        (connection,) = server.connections
        connection.enforce_timeouts(now + 12.0, shorter)
        writer.write(_GET)
        assert (await _read(reader)).startswith(b"HTTP/1.1 200")
        connection.enforce_timeouts(now + 16.0, shorter)
        assert await _read(reader) == b""
