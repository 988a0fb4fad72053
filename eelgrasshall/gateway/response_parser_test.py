"""Tests of parsing responses."""

import pytest

from eelgrasshall.gateway import response_parser

_RESPONSE = b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 3\r\n\r\nabc"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _make_parser(max_head_bytes: int = 200, max_body_bytes: int = 100):
    return response_parser.ResponseParser(
        max_head_bytes=max_head_bytes,
        get_max_body_bytes=lambda: max_body_bytes,
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
