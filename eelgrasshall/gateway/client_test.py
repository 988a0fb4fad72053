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
