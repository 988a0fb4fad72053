"""Tests of the JSON client, against scripted responses."""

import asyncio
import contextlib
import gzip
import json

import pytest

from eelgrasshall.fakes import streams
from eelgrasshall.gateway import client
from eelgrasshall.gateway import model

_DOCUMENT = {"items": ["x" * 400]}


@contextlib.asynccontextmanager
async def _serve(pieces: list[bytes], pause_s: float = 0.0):
    """Sends pieces of a response with pauses between, to each request."""

    async def answer(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
        writer.close()

    async with streams.serve(answer) as address:
        yield client.JsonClient(
            address=model.Address(*address), accepts_gzip=True
        )


def _encode(body: bytes, header: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (
        header,
        len(body),
        body,
    )


def _split(data: bytes, count: int) -> list[bytes]:
    size = len(data) // count + 1
    return [data[at : at + size] for at in range(0, len(data), size)]


async def test_response_that_keeps_arriving_outlasts_the_time_out():
    # A large configuration over a crowded link took longer than the whole
    # call was allowed, each time anew (inc1).
    pieces = _split(_encode(json.dumps(_DOCUMENT).encode()), 8)
    async with _serve(pieces, pause_s=0.04) as json_client:
        response = await json_client.call("GET", "/", timeout_s=0.1)
        assert response.document == _DOCUMENT


async def test_response_that_stops_arriving_is_given_up(monkeypatch):
    monkeypatch.setattr(client, "STALL_TIMEOUT_S", 0.05)
    pieces = _split(_encode(json.dumps(_DOCUMENT).encode()), 2)
    async with _serve(pieces, pause_s=0.5) as json_client:
        with pytest.raises(client.CallError, match="TimeoutError") as caught:
            await json_client.call("GET", "/", timeout_s=0.1)
        assert 0 < caught.value.received_bytes < 400


async def test_response_that_does_not_begin_is_given_up():
    async with _serve([b"", b"x"], pause_s=0.5) as json_client:
        with pytest.raises(client.CallError, match="TimeoutError") as caught:
            await json_client.call("GET", "/", timeout_s=0.05)
        assert caught.value.received_bytes == 0


async def test_compressed_response_is_decoded():
    body = gzip.compress(json.dumps(_DOCUMENT).encode())
    pieces = [_encode(body, b"Content-Encoding: gzip\r\n")]
    async with _serve(pieces) as json_client:
        response = await json_client.call("GET", "/", timeout_s=1.0)
        assert response.document == _DOCUMENT
        assert response.received_bytes == len(body) < 400


@pytest.mark.parametrize(
    "body",
    [
        gzip.compress(json.dumps(_DOCUMENT).encode())[:-9],
        gzip.compress(b" " * 2000),
        b"not compressed",
    ],
    ids=["cut", "too large", "malformed"],
)
async def test_invalid_compressed_response_is_an_error(monkeypatch, body):
    monkeypatch.setattr(client, "MAX_BODY_BYTES", 1000)
    pieces = [_encode(body, b"Content-Encoding: gzip\r\n")]
    async with _serve(pieces) as json_client:
        with pytest.raises(client.CallError):
            await json_client.call("GET", "/", timeout_s=1.0)


async def test_head_of_a_response_does_not_shorten_the_wait_for_its_body(
    monkeypatch,
):
    # A store may answer a watch with the head at once and the body later.
    monkeypatch.setattr(client, "STALL_TIMEOUT_S", 0.05)
    body = json.dumps(_DOCUMENT).encode()
    head = _encode(body)[: -len(body)]
    async with _serve([head, body], pause_s=0.2) as json_client:
        response = await json_client.call("GET", "/", timeout_s=1.0)
        assert response.document == _DOCUMENT


async def test_response_that_trickles_is_given_up(monkeypatch):
    monkeypatch.setattr(client, "STALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr(client, "MAX_TRANSFER_S", 0.2)
    pieces = _split(_encode(json.dumps(_DOCUMENT).encode()), 40)
    async with _serve(pieces, pause_s=0.02) as json_client:
        with pytest.raises(client.CallError, match="TimeoutError"):
            await json_client.call("GET", "/", timeout_s=0.4)


@pytest.mark.parametrize(
    ("begin", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 65536),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 8192),
        (b"", b"HTTP/1.1 103 Early\r\n\r\n" * 4096),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
            b"e" * 65536,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            b"X-A: b\r\n" * 8192,
        ),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"b" * 65536),
    ],
)
async def test_response_without_end_is_given_up(begin, piece):
    pieces = [begin] + [piece] * 1000
    async with _serve(pieces) as caller:
        with pytest.raises(client.CallError) as raised:
            await caller.call("GET", "/x", timeout_s=5.0)
        assert "too large" in str(raised.value) or "invalid" in str(
            raised.value
        )
        assert caller._connection is None


async def test_interim_response_is_skipped():
    interim = b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n"
    async with _serve([interim + _encode(b"[1]")]) as caller:
        response = await caller.call("GET", "/x", timeout_s=5.0)
        assert response.status == 200 and response.document == [1]


async def test_part_that_is_nested_too_deeply_does_not_hide_the_others():
    # The whole response was given up, and with it the list that it held.
    body = b'{"a": 1, "b": %s, "c": "x"}' % (b"[" * 100_000 + b"]" * 100_000)
    async with _serve([_encode(body)]) as json_client:
        response = await json_client.call("GET", "/", timeout_s=0.5)
    assert response.document["a"] == 1 and response.document["c"] == "x"


@pytest.mark.parametrize("body", [b"[" * 100_000, b"9" * 5000 + b"]", b"\xff"])
async def test_document_that_is_no_json_is_an_error(body):
    async with _serve([_encode(body)]) as json_client:
        with pytest.raises(client.CallError, match="invalid JSON"):
            await json_client.call("GET", "/", timeout_s=0.5)


@contextlib.asynccontextmanager
async def _serve_script(script):
    """Serves with a script, which is called with each request.

    Args:
      script: Coroutine function that gets the connection's writer, the number
        of its connection and the number of the request on it, from 1.

    Yields:
      A client and the number of requests by connection.
    """
    counts: list[int] = []
    tasks = set()

    async def serve(reader, writer):
        tasks.add(asyncio.current_task())
        counts.append(0)
        own = len(counts)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                counts[own - 1] += 1
                await script(writer, own, counts[own - 1])
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    json_client = client.JsonClient(
        address=model.Address("127.0.0.1", port),
        unique_headers=frozenset((b"x-era",)),
    )
    try:
        yield json_client, counts
    finally:
        json_client.close()
        server.close()
        for task in tasks:
            task.cancel()


_OLD, _NEW = _encode(b'{"n": 1}'), _encode(b'{"n": 2}')


@pytest.mark.parametrize(
    "data",
    [
        _OLD + _NEW,
        _OLD + b"x",
        # Cut within its body, whose end is then taken from the next one.
        _OLD[:-5] + _NEW,
        _OLD[:14] + _NEW,
        _OLD[:-12] + _NEW,
        _OLD.replace(b"Content", b"X-Era: 1\r\nX-Era: 2\r\nContent"),
    ],
    ids=[
        "two",
        "bytes behind",
        "cut in the body",
        "cut in the reason phrase",
        "cut in the head",
        "repeated header",
    ],
)
async def test_response_that_may_be_that_of_another_call_is_an_error(data):
    # A response before it that is sent twice, late, stands before the response
    # to this call: the first of two was taken.
    async def script(writer, connection, number):
        writer.write(data if connection == 1 else _NEW)

    async with _serve_script(script) as (json_client, counts):
        with pytest.raises(client.CallError):
            await json_client.call("GET", "/", timeout_s=1.0)
        response = await json_client.call("GET", "/", timeout_s=1.0)
        assert response.document == {"n": 2}
        assert counts == [1, 1]


async def test_bytes_that_arrived_before_a_call_are_not_its_response():
    # The next call was sent before the event loop had read them.
    async def script(writer, connection, number):
        writer.write(_OLD if connection == 1 else _NEW)
        writers.append(writer)

    writers = []
    async with _serve_script(script) as (json_client, counts):
        await json_client.call("GET", "/", timeout_s=1.0)
        # Sent at once, as nothing waits to be sent.
        writers[0].write(_OLD)
        response = await json_client.call("GET", "/", timeout_s=1.0)
        assert response.document == {"n": 2}
        assert counts == [1, 1]


async def test_bytes_while_no_call_waits_close_the_connection():
    async def script(writer, connection, number):
        writer.write(_OLD if connection == 1 else _NEW)
        writers.append(writer)

    writers = []
    async with _serve_script(script) as (json_client, counts):
        await json_client.call("GET", "/", timeout_s=1.0)
        writers[0].write(_OLD)
        await asyncio.sleep(0.05)
        response = await json_client.call("GET", "/", timeout_s=1.0)
        assert response.document == {"n": 2}
        assert counts == [1, 1]


@pytest.mark.parametrize("leaving", ["time-out", "cancelled"])
async def test_late_response_to_a_call_that_was_given_up_reaches_no_other(
    leaving,
):
    async def script(writer, connection, number):
        if connection == 1:
            await asyncio.sleep(0.1)
        writer.write(_OLD if connection == 1 else _NEW)

    async with _serve_script(script) as (json_client, counts):
        call = asyncio.ensure_future(
            json_client.call("GET", "/", timeout_s=0.05)
        )
        if leaving == "cancelled":
            await asyncio.sleep(0.02)
            call.cancel()
            with pytest.raises(asyncio.CancelledError):
                await call
        else:
            with pytest.raises(client.CallError, match="TimeoutError"):
                await call
        for _ in range(3):
            response = await json_client.call("GET", "/", timeout_s=1.0)
            assert response.document == {"n": 2}
            await asyncio.sleep(0.05)
        assert counts == [1, 3]


async def test_call_beside_another_one_does_not_take_its_response():
    # Both were sent on the connection.  The second got the first response, and
    # the first call waited until its time-out.
    async def script(writer, connection, number):
        await asyncio.sleep(0.05)
        writer.write(_encode(b'{"n": %d}' % number))

    async with _serve_script(script) as (json_client, counts):
        first = asyncio.ensure_future(
            json_client.call("GET", "/", timeout_s=1.0)
        )
        await asyncio.sleep(0.02)
        with pytest.raises(client.CallError, match="in progress"):
            await json_client.call("GET", "/", timeout_s=1.0)
        assert (await first).document == {"n": 1}
        second = await json_client.call("GET", "/", timeout_s=1.0)
        assert second.document == {"n": 2}
        assert counts == [2]


async def test_connection_is_not_used_again_after_an_early_response():
    # The rest of the request is still to follow.
    async def script(writer, connection, number):
        writer.write(_OLD if connection == 1 else _NEW)
        if connection == 1:
            await asyncio.sleep(5.0)

    async with _serve_script(script) as (json_client, counts):
        document = {"x": "x" * 20_000_000}
        first = await json_client.call("POST", "/", document, timeout_s=2.0)
        assert first.document == {"n": 1}
        second = await json_client.call("GET", "/", timeout_s=1.0)
        assert second.document == {"n": 2}


async def test_connection_is_not_used_again_after_malformed_json():
    async def script(writer, connection, number):
        writer.write(_encode(b"{") if connection == 1 else _NEW)

    async with _serve_script(script) as (json_client, counts):
        with pytest.raises(client.CallError, match="invalid JSON"):
            await json_client.call("GET", "/", timeout_s=1.0)
        await json_client.call("GET", "/", timeout_s=1.0)
        assert counts == [1, 1]
