"""Tests of parsing responses."""

import tracemalloc

import pytest

from eelgrasshall.gateway import response_parser

_RESPONSE = b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 3\r\n\r\nabc"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _make_parser(
    max_head_bytes: int = 200,
    max_body_bytes: int = 100,
    unique_headers: frozenset[bytes] = frozenset(),
):
    return response_parser.ResponseParser(
        max_head_bytes=max_head_bytes,
        get_max_body_bytes=lambda: max_body_bytes,
        unique_headers=unique_headers,
    )


def test_response_is_complete_with_its_last_byte_only():
    parser = _make_parser()
    for at in range(len(_RESPONSE)):
        assert not parser.complete
        parser.feed(_RESPONSE[at : at + 1])
    assert parser.complete and parser.keeps_open and not parser.has_extra
    assert parser.status == 200 and parser.body == b"abc"
    assert parser.headers == [(b"X-A", b"b"), (b"Content-Length", b"3")]


def test_connection_that_closes_after_the_response_is_not_kept():
    parser = _make_parser()
    parser.feed(_RESPONSE.replace(b"X-A: b", b"Connection: close"))
    assert parser.complete and not parser.keeps_open


def test_interim_responses_and_trailers_are_left_out():
    parser = _make_parser()
    parser.feed(b"HTTP/1.1 103 Early\r\nX-Early: 1\r\n\r\n")
    assert not parser.complete and parser.status == 0
    parser.feed(_CHUNKED + b"3\r\nabc\r\n0\r\nX-Trailer: t\r\n\r\n")
    assert parser.complete and parser.body == b"abc"
    assert parser.headers == [(b"Transfer-Encoding", b"chunked")]


@pytest.mark.parametrize("extra", [b"garbage", _RESPONSE, _RESPONSE[:9]])
@pytest.mark.parametrize("together", [False, True])
def test_bytes_after_the_response_do_not_change_it(extra, together):
    parser = _make_parser()
    if together:
        parser.feed(_RESPONSE + extra.replace(b"abc", b"xyz"))
    else:
        parser.feed(_RESPONSE)
        parser.feed(extra.replace(b"abc", b"xyz"))
    assert parser.complete and parser.has_extra
    assert parser.body == b"abc" and len(parser.headers) == 2


@pytest.mark.parametrize(
    "data",
    [
        b"no http\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
        b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-A: " + b"a" * 200,
        b"HTTP/1.1 103 Early\r\n\r\n" * 11,
        b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + b"a" * 101,
        b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * 101,
        _CHUNKED + b"1;" + b"e" * 300,
        _CHUNKED + b"0\r\n" + b"X-A: b\r\n" * 40,
    ],
    ids=[
        "no http",
        "two lengths",
        "upgrade",
        "long head",
        "many interim responses",
        "long body",
        "long body without length",
        "long chunk extension",
        "long trailers",
    ],
)
def test_invalid_or_too_long_response_is_an_error(data):
    parser = _make_parser()
    with pytest.raises(response_parser.InvalidResponse):
        parser.feed(data)
    assert not parser.complete


@pytest.mark.parametrize("status_line", [b"HTTP/1.1 500 ", b"HTTP/1.0 204\r\n"])
@pytest.mark.parametrize("in_pieces", [False, True])
@pytest.mark.parametrize(
    "cut_head",
    [
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200 O",
        b"HTTP/1.1 200 OK\r\nX-A:",
        b"HTTP/1.1 200 OK\r\nX-A: b",
        b"HTTP/1.1 103 Early\r\nX-A: b",
        b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 O",
        # The part that follows would be taken for the trailers.
        _CHUNKED + b"3\r\nabc\r\n0\r\nX-Trailer: t",
    ],
)
def test_head_that_runs_into_another_response_is_an_error(
    cut_head, in_pieces, status_line
):
    # A server broke off within a head and sent the next response on the same
    # connection: the two heads were read as one, with the status of the first.
    if not status_line.endswith(b"\r\n"):
        status_line += b"Failed\r\n"
    data = cut_head + status_line + b"X-C: d\r\n\r\n"
    parser = _make_parser()
    with pytest.raises(response_parser.InvalidResponse) as raised:
        if in_pieces:
            for at in range(len(data)):
                parser.feed(data[at : at + 1])
        else:
            parser.feed(data)
    assert raised.value.reason == "status_line_in_head"
    assert not parser.complete


@pytest.mark.parametrize(
    "text",
    [b"HTTP/1.1 proxy", b"1.1 proxy, HTTP/2.0", b"HTTP/1.1 20", b"HTTP 200 OK"],
)
def test_header_that_names_the_protocol_is_no_status_line(text):
    parser = _make_parser()
    parser.feed(_RESPONSE.replace(b"X-A: b", b"Via: " + text))
    assert parser.complete and parser.headers[0] == (b"Via", text)


@pytest.mark.parametrize(
    "headers",
    [
        b"X-Id: a\r\nX-Id: b\r\nContent-Length: 0\r\n",
        b"X-Id: a\r\nContent-Length: 0\r\nx-iD: a\r\n",
        b"Transfer-Encoding: chunked\r\nX-Id: a\r\n"
        b"Transfer-Encoding: chunked\r\n",
    ],
    ids=["two values", "same value", "framing"],
)
def test_header_that_must_stand_once_and_is_repeated_is_an_error(headers):
    # The last one won: the id of one response stood beside the body and the
    # signature of another one.
    parser = _make_parser(unique_headers=frozenset((b"x-id",)))
    with pytest.raises(response_parser.InvalidResponse) as raised:
        parser.feed(b"HTTP/1.1 200 OK\r\n%s\r\n0\r\n\r\n" % headers)
    assert raised.value.reason == "repeated_header"
    assert not parser.complete


def test_unique_header_may_stand_in_an_interim_response_and_a_trailer():
    parser = _make_parser(unique_headers=frozenset((b"x-id",)))
    parser.feed(b"HTTP/1.1 103 Early\r\nX-Id: a\r\n\r\n")
    parser.feed(_CHUNKED.replace(b"\r\n\r\n", b"\r\nX-Id: a\r\n\r\n"))
    parser.feed(b"0\r\nX-Id: b\r\n\r\n")
    assert parser.complete and parser.headers[-1] == (b"X-Id", b"a")
    assert len(parser.headers) == 2


def test_other_headers_may_be_repeated():
    parser = _make_parser(unique_headers=frozenset((b"x-id",)))
    parser.feed(_RESPONSE.replace(b"X-A: b", b"X-A: b\r\nX-A: c"))
    assert parser.complete and len(parser.headers) == 3


@pytest.mark.parametrize(
    "extra",
    [
        _RESPONSE.replace(b"OK", b"HTTP/1.1 500 "),
        _RESPONSE.replace(b"X-A: b", b"X-A: HTTP/1.1 500 "),
        _RESPONSE.replace(b"X-A: b", b"Content-Length: 3"),
    ],
)
def test_fault_in_bytes_behind_a_response_does_not_change_it(extra):
    parser = _make_parser()
    parser.feed(_RESPONSE + extra)
    assert parser.complete and parser.has_extra
    assert parser.status == 200 and parser.body == b"abc"


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"no http\r\n\r\n", "malformed"),
        (b"HTTP/1.1 200 OK\r\nX-A: " + b"a" * 200, "oversized"),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + b"a" * 101,
            "oversized",
        ),
    ],
)
def test_error_states_its_reason(data, reason):
    with pytest.raises(response_parser.InvalidResponse) as raised:
        _make_parser().feed(data)
    assert raised.value.reason == reason


def test_trailers_are_limited_like_a_head():
    # Their number and not their size makes them costly.
    parser = _make_parser(max_body_bytes=10_000_000)
    parser.feed(_CHUNKED + b"0\r\n")
    with pytest.raises(response_parser.InvalidResponse) as raised:
        parser.feed(b"X-A: b\r\n" * 100)
    assert raised.value.reason == response_parser.OVERSIZED


_BODY = b"0123456789abcdef" * 3
_PART = (
    b"HTTP/1.1 200 OK\r\nX-Id: a1\r\nX-Seal: s\r\nContent-Length: 48\r\n\r\n"
    + _BODY
)


@pytest.mark.parametrize("missing", range(1, len(_BODY) + 1))
def test_body_that_another_response_fills_up_is_an_error(missing):
    # A response was cut off within its body and sent a second time: the rest of
    # the body was the beginning of the second one, with the right id.
    data = _PART[:-missing] + _PART
    parser = _make_parser(unique_headers=frozenset((b"x-id", b"x-seal")))
    with pytest.raises(response_parser.InvalidResponse) as raised:
        parser.feed(data)
    assert raised.value.reason == response_parser.RESPONSE_IN_BODY
    assert not parser.complete


@pytest.mark.parametrize("missing", range(17, len(_BODY) + 1))
def test_body_that_is_filled_up_byte_by_byte_is_an_error(missing):
    # With less than a status line and its end, the bytes that tell arrive too
    # late.
    parser = _make_parser(unique_headers=frozenset((b"x-id", b"x-seal")))
    with pytest.raises(response_parser.InvalidResponse):
        for byte in _PART[:-missing] + _PART:
            parser.feed(bytes((byte,)))
            assert not parser.complete


@pytest.mark.parametrize(
    "body",
    [
        b"see HTTP/1.1 200 OK and more",
        b"HTTP/1.1 200 OK\r\nServer: a\r\n\r\nexample",
        b"GET / HTTP/1.1\r\nX-Id: a1",
        b"ends with HTTP",
    ],
)
@pytest.mark.parametrize("in_pieces", [False, True])
def test_body_about_http_is_a_body(body, in_pieces):
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )
    parser = _make_parser(unique_headers=frozenset((b"x-id",)))
    size = 1 if in_pieces else len(response)
    for at in range(0, len(response), size):
        parser.feed(response[at : at + size])
    assert parser.complete and parser.body == body


def test_body_in_small_chunks_takes_no_more_memory_than_its_bytes():
    # Each fragment was kept as an object of its own, several times its size, so
    # that endless responses in small chunks exceeded the memory of a process.
    parser = _make_parser(max_body_bytes=4_000_000)
    parser.feed(_CHUNKED)
    chunks = b"10\r\n0123456789abcdef\r\n" * 1000
    tracemalloc.start()
    try:
        for _ in range(100):
            parser.feed(chunks)
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert parser.body_bytes == 1_600_000
    assert size < 1.5 * parser.body_bytes
