"""Tests of responses that are cut off at any byte.

A server may end a connection at any point of a response.  What has arrived by
then must not count as a whole response.
"""

import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import response_parser

_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: a1\r\nX-Seal: seal-a1\r\n"
_BODY = b"sixteen byte one"
_CHUNKS = b"10\r\n%s\r\n0\r\n" % _BODY
_LONG_HEADER = b"X-Fill: %s\r\n" % (b"f" * 100)

# Responses that state where their body ends.
_FRAMED_RESPONSES = {
    "length": _HEAD + b"Content-Length: 16\r\n\r\n" + _BODY,
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\nX-Id: a1\r\n"
    b"X-Seal: seal-a1\r\n\r\n" + _BODY,
    "length late": _HEAD + _LONG_HEADER + b"Content-Length: 16\r\n\r\n" + _BODY,
    "chunks": _HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + _CHUNKS + b"\r\n",
    "chunks and trailer": _HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + _CHUNKS
    + b"X-Check: 1\r\n\r\n",
    "interim response": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    + _HEAD
    + b"Content-Length: 16\r\n\r\n"
    + _BODY,
    "closing": _HEAD
    + b"Connection: close\r\nContent-Length: 16\r\n\r\n"
    + _BODY,
    "no reason phrase": b"HTTP/1.1 200\r\nX-Id: a1\r\nX-Seal: s\r\n"
    b"Content-Length: 16\r\n\r\n" + _BODY,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nX-Id: a1\r\nX-Seal: s\r\n"
    b"Content-Length: 16\r\n\r\n" + _BODY,
    "failure": b"HTTP/1.1 500 Failed\r\nX-Id: a1\r\nX-Seal: s\r\n"
    b"Content-Length: 16\r\n\r\n" + _BODY,
}


async def _receive(
    pieces: list[bytes],
) -> messages.Reply | messages.Failure:
    """Returns the outcome of an attempt whose response ends in a close."""
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    for piece in pieces:
        connected.feed(piece)
    connected.connection.eof_received()
    connected.connection.connection_lost(None)
    await connected.close()
    return owner.outcomes[attempt]


@pytest.mark.parametrize("framing", _FRAMED_RESPONSES)
async def test_response_cut_at_any_byte_is_a_lost_connection(framing):
    response = _FRAMED_RESPONSES[framing]
    lost = messages.Failure(messages.FailureKind.CONNECTION_LOST, False)
    for end in range(1, len(response)):
        part = response[:end]
        assert await _receive([part]) == lost, part
        assert await _receive([part[: end // 2], part[end // 2 :]]) == lost, (
            part
        )
    assert (await _receive([response])).body == _BODY


async def test_response_without_length_needs_its_whole_head():
    head = _HEAD + _LONG_HEADER + b"\r\n"
    for end in range(1, len(head)):
        assert isinstance(await _receive([head[:end]]), messages.Failure)
    assert (await _receive([head + _BODY])).body == _BODY
    assert (await _receive([head, _BODY])).body == _BODY


async def test_interim_response_alone_is_not_an_answer():
    interim = b"HTTP/1.1 103 Early Hints\r\nX-Id: a1\r\nX-Seal: s\r\n\r\n"
    assert isinstance(await _receive([interim]), messages.Failure)


@pytest.mark.parametrize("framing", _FRAMED_RESPONSES)
def test_response_of_another_host_is_complete_with_its_last_byte(framing):
    response = _FRAMED_RESPONSES[framing]
    for end in range(1, len(response) + 1):
        parser = response_parser.ResponseParser(
            max_head_bytes=1000, get_max_body_bytes=lambda: 1000
        )
        parser.feed(response[:end])
        assert parser.complete == (end == len(response))
