"""Tests of servers that answer a request twice on a connection in use.

The second copy may come late, cut, or joined with the response to the next
request.  That request must get its own response or fail.
"""

import pytest

from eelgrasshall.gateway import connections
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import response_parser

_FRAMINGS = ("length", "length first", "chunks", "no length")


def _encode(
    request_id: str | None,
    body: bytes,
    *,
    status: int = 200,
    framing: str = "length",
) -> bytes:
    """Returns a response whose signature names its request and its body."""
    length = b"Content-Length: %d\r\n" % len(body)
    lines = [b"X-Seal: seal-%s\r\n" % (request_id or "none").encode()]
    if request_id is not None:
        lines.insert(0, b"X-Id: %s\r\n" % request_id.encode())
    if framing == "length first":
        lines.insert(0, length)
    elif framing == "length":
        lines.append(length)
    elif framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked\r\n")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    status_line = b"HTTP/1.1 %d Status\r\n" % status
    return status_line + b"".join(lines) + b"\r\n" + body


_FIRST_BODY = b"the first body.."
_BODY = b"records of the second request..."


def _is_own(outcome: object, status: int) -> bool:
    """Returns whether an outcome is the whole response to request b2."""
    return (
        isinstance(outcome, messages.Reply)
        and outcome.status == status
        and outcome.seal == b"seal-b2"
        and outcome.body == _BODY
    )


async def _receive_second(pieces: list[bytes]) -> object:
    """Returns the outcome of a second request on a connection.

    The server closes the connection after the pieces.
    """
    connected = fakes.ConnectedBackend()
    first, owner = connected.send("a1")
    connected.feed(_encode("a1", _FIRST_BODY))
    assert owner.get_reply(first).body == _FIRST_BODY
    second, owner = connected.send("b2")
    for piece in pieces:
        if second not in owner.outcomes:
            connected.feed(piece)
    if second not in owner.outcomes:
        connected.connection.eof_received()
    if second not in owner.outcomes:
        connected.connection.connection_lost(None)
    await connected.close()
    return owner.outcomes[second]


def _divide(data: bytes, at: int) -> list[list[bytes]]:
    """Returns divisions of data into reads: one, two, and one for each byte."""
    single = [data[i : i + 1] for i in range(len(data))]
    return [[data], [data[:at], data[at:]], single]


@pytest.mark.parametrize("framing", _FRAMINGS[:3])
@pytest.mark.parametrize("status", [200, 500])
async def test_bytes_behind_a_response_leave_its_status_as_it_is(
    status, framing
):
    response = _encode("b2", _BODY, status=status, framing=framing)
    for other in (200, 500):
        copy = _encode("b2", _BODY, status=other)
        for end in range(len(copy) + 1):
            for pieces in _divide(response + copy[:end], len(response)):
                assert _is_own(await _receive_second(pieces), status), copy[
                    :end
                ]


async def test_response_with_bytes_of_none_behind_it_is_not_taken():
    # Its body may have been filled up by the beginning of the next response.
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(_encode("a1", _BODY) + b"\x00 no response\r\n")
    assert owner.get_failure(attempt) is messages.FailureKind.INVALID_RESPONSE
    assert connected.transport.closed


@pytest.mark.parametrize("framing", _FRAMINGS[:3])
async def test_line_break_behind_a_response_leaves_the_next_one_whole(framing):
    connected = fakes.ConnectedBackend()
    first, owner = connected.send("a1")
    connected.feed(_encode("a1", _FIRST_BODY, framing=framing) + b"\r\n")
    assert owner.get_reply(first).body == _FIRST_BODY
    second, owner = connected.send("b2")
    connected.feed(_encode("b2", _BODY, framing=framing))
    assert _is_own(owner.get_reply(second), 200)
    await connected.close()


@pytest.mark.parametrize("framing", _FRAMINGS)
@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("copy_status", [200, 503])
async def test_cut_copy_is_not_joined_with_the_response_behind_it(
    copy_status, status, framing
):
    response = _encode("b2", _BODY, status=status, framing=framing)
    for copy_framing in _FRAMINGS[:3]:
        copy = _encode(
            "a1", _FIRST_BODY, status=copy_status, framing=copy_framing
        )
        for end in range(1, len(copy)):
            for pieces in _divide(copy[:end] + response, end):
                outcome = await _receive_second(pieces)
                assert isinstance(outcome, messages.Failure), copy[:end]


@pytest.mark.parametrize(
    "header", [b"X-Id: b2", b"X-Seal: other", b"x-seal: seal-b2"]
)
async def test_header_that_must_stand_once_is_not_taken_from_two(header):
    response = _encode("b2", _BODY)
    outcome = await _receive_second(
        [response.replace(b"\r\n\r\n", b"\r\n%s\r\n\r\n" % header, 1)]
    )
    assert outcome == messages.Failure(messages.FailureKind.INVALID_RESPONSE)


@pytest.mark.parametrize("status", [404, 421, 429, 500, 503])
async def test_late_failure_without_id_is_not_given_to_the_next_request(status):
    copy = _encode(None, b"", status=status)
    not_run = copy.replace(b"X-Seal", b"X-Not-Run: 1\r\nX-Seal")
    for data in (copy, not_run):
        for pieces in _divide(data + _encode("b2", _BODY), len(data)):
            outcome = await _receive_second(pieces)
            assert outcome == messages.Failure(
                messages.FailureKind.INVALID_RESPONSE
            )


async def test_failure_without_id_answers_the_first_request_of_a_connection():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(_encode(None, b"", status=503))
    assert owner.get_reply(attempt).status == 503


async def test_body_without_length_does_not_take_a_copy_as_its_end():
    response = _encode("b2", _BODY, framing="no length")
    for copy_id in ("a1", "b2", None):
        copy = _encode(copy_id, _FIRST_BODY)
        # Fewer bytes do not show that they are a status line.
        for end in range(len(b"HTTP/1.1 200"), len(copy) + 1):
            for pieces in _divide(response + copy[:end], len(response)):
                outcome = await _receive_second(pieces)
                assert isinstance(outcome, messages.Failure), copy[:end]


@pytest.mark.parametrize(
    "body",
    [
        b"GET / HTTP/1.1 is answered by HTTP/1.1 200 OK,\r\nmostly.\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nan example",
    ],
)
async def test_body_that_tells_of_responses_is_no_copy(body):
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(_encode("a1", body, framing="no length"))
    connected.connection.eof_received()
    assert owner.get_reply(attempt).body == body


async def test_rejections_name_their_reason():
    response = _encode("b2", _BODY)
    connected = fakes.ConnectedBackend()
    connected.send("b2")
    connected.feed(b"HTTP/1.1 200 Sta" + response)
    repeated = response.replace(b"X-Seal", b"X-Seal: s\r\nX-Seal")
    other = fakes.ConnectedBackend()
    other.send("b2")
    other.feed(repeated)
    reasons = [
        rejection.reason
        for each in (connected, other)
        for rejection in each.observer.rejections
    ]
    assert reasons == [
        response_parser.STATUS_LINE_IN_HEAD,
        response_parser.REPEATED_HEADER,
    ]
    assert connections.UNEXPECTED not in reasons
    await connected.close()
    await other.close()
