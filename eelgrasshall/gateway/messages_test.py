"""Tests of heads and responses as bytes."""

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import messages


def _make(*headers: tuple[str, str], target: str = "/find/x", body=b""):
    return fakes.make_request(
        target, headers=headers, body=body, received_s=0.0
    )


def _encode(request) -> bytes:
    return messages.encode_request_head(request, fakes.NAMES)


def test_a_head_is_passed_on_as_it_came():
    head = _encode(_make(("Accept", "a"), ("accept", "b"), target="/f/?q=1&q"))
    assert head.startswith(b"GET /f/?q=1&q HTTP/1.1\r\n")
    assert b"Accept: a\r\naccept: b\r\n" in head
    assert b"X-Id: a1\r\n" in head


def test_what_concerns_one_connection_is_not_passed_on():
    head = _encode(
        _make(
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Keep-Alive", "timeout=3"),
            ("Transfer-Encoding", "chunked"),
            ("TE", "trailers"),
            ("Content-Length", "7"),
        )
    )
    for name in (b"hop", b"keep-alive", b"transfer", b"te:", b"content-length"):
        assert name not in head.lower()


def test_a_caller_cannot_set_what_the_gateway_sets():
    head = _encode(_make(("X-Budget", "9"), ("x-target", "s9")))
    assert b"budget" not in head.lower()
    assert b"target" not in head.lower()


def test_an_id_stays_also_if_the_caller_names_it_as_a_connection_option():
    assert b"X-Id: a1" in _encode(_make(("Connection", "X-Id")))


def test_a_body_gets_its_length():
    for method, body, expected in (
        (b"POST", b"abc", b"Content-Length: 3\r\n\r\nabc"),
        (b"POST", b"", b"Content-Length: 0\r\n\r\n"),
    ):
        data = messages.encode_attempt(
            head=b"H\r\n",
            body=body,
            method=method,
            names=fakes.NAMES,
            left_s=1.2345,
            server_id="s1",
        )
        assert data.endswith(expected)
        assert b"x-budget: 1234\r\nx-target: s1\r\n" in data


def test_a_response_states_its_own_length_only():
    data = messages.encode_response(
        200, b"abc", [(b"Content-Length", b"9"), (b"X-A", b"1")], closing=True
    )
    assert data.count(b"ontent-Length") == 1
    assert b"Content-Length: 3" in data and b"Connection: close" in data


def test_a_fingerprint_stays_with_path_caller_and_body():
    one = messages.compute_fingerprint(_make(("X-Id", "1"), body=b"x"))
    assert one == messages.compute_fingerprint(_make(("X-Id", "2"), body=b"x"))
    assert one != messages.compute_fingerprint(_make(body=b"y"))
