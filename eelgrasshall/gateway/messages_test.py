"""Tests of encoding HTTP messages."""

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import messages


def _make_request(*headers: tuple[str, str], target: str = "/find/x", body=b""):
    return fakes.make_request(
        target, headers=headers, body=body, received_s=0.0
    )


def _encode_head(request) -> bytes:
    return messages.encode_request_head(request, fakes.NAMES)


def test_request_head_is_forwarded_unchanged():
    head = _encode_head(
        _make_request(("Accept", "a"), ("accept", "b"), target="/f/?q=1&q")
    )
    assert head.startswith(b"GET /f/?q=1&q HTTP/1.1\r\n")
    assert b"Accept: a\r\naccept: b\r\n" in head
    assert b"X-Id: a1\r\n" in head


def test_hop_by_hop_headers_are_not_forwarded():
    head = _encode_head(
        _make_request(
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


def test_headers_set_by_gateway_are_removed_from_request():
    head = _encode_head(_make_request(("X-Budget", "9"), ("x-target", "s9")))
    assert b"budget" not in head.lower()
    assert b"target" not in head.lower()


def test_mark_of_a_relayed_request_is_not_forwarded():
    head = _encode_head(
        _make_request(
            ("Eelgrasshall-Relayed", "h1"),
            ("Eelgrasshall-Relayed-Workspace", "acme"),
        )
    )
    assert messages.RELAYED not in head.lower()


def test_workspace_is_sent_in_the_place_of_a_callers_header():
    workspace = fakes.make_workspace("acme", "k-1")
    request = messages.remove_headers(
        _make_request(
            ("X-Workspace", "other"),
            ("x-WORKSPACE", "other"),
            ("Authorization", "Bearer k-1"),
            ("Connection", "x-workspace"),
        ),
        frozenset((b"authorization", b"x-workspace")),
    )
    head = messages.encode_request_head(request, fakes.NAMES, workspace)
    assert head.lower().count(b"x-workspace") == 1
    assert head.endswith(b"\r\nx-workspace: acme\r\n")
    assert b"k-1" not in head


def test_relayed_request_of_a_workspace_has_its_name_and_no_other_mark():
    # Hosts of the previous build run what has the other mark, without a name.
    data = messages.encode_relayed_request(
        _make_request(
            ("Eelgrasshall-Relayed", "h1"),
            ("Eelgrasshall-Relayed-Workspace", "other"),
        ),
        names=fakes.NAMES,
        remaining_s=1.0,
        relayed_by="h2",
        workspace=fakes.make_workspace("acme", "k-1"),
    )
    lines = data.lower().split(b"\r\n")
    assert [line for line in lines if b"relayed" in line] == [
        b"eelgrasshall-relayed-workspace: acme"
    ]


def test_relayed_request_has_one_mark_and_budget_and_no_target():
    data = messages.encode_relayed_request(
        _make_request(
            ("Eelgrasshall-Relayed", "h1"),
            ("X-Budget", "9"),
            ("X-Target", "s9"),
            ("Content-Length", "7"),
            body=b"abc",
        ),
        names=fakes.NAMES,
        remaining_s=1.2345,
        relayed_by="h2",
    )
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.split(b"\r\n") == [
        b"GET /find/x HTTP/1.1",
        b"Host: orders.example",
        b"X-Id: a1",
        b"x-budget: 1234",
        b"eelgrasshall-relayed: h2",
        b"Content-Length: 3",
    ]
    assert body == b"abc"


def test_request_id_is_forwarded_even_if_named_as_connection_option():
    assert b"X-Id: a1" in _encode_head(_make_request(("Connection", "X-Id")))


def test_attempt_states_body_length():
    for method, body, expected in (
        (b"POST", b"abc", b"Content-Length: 3\r\n\r\nabc"),
        (b"POST", b"", b"Content-Length: 0\r\n\r\n"),
    ):
        data = messages.encode_attempt(
            head=b"H\r\n",
            body=body,
            method=method,
            names=fakes.NAMES,
            remaining_s=1.2345,
            server_id="s1",
        )
        assert data.endswith(expected)
        assert b"x-budget: 1234\r\nx-target: s1\r\n" in data


def test_response_states_only_its_own_length():
    data = messages.encode_response(
        200, b"abc", [(b"Content-Length", b"9"), (b"X-A", b"1")], closing=True
    )
    assert data.count(b"ontent-Length") == 1
    assert b"Content-Length: 3" in data and b"Connection: close" in data


def test_fingerprint_depends_on_body_but_not_on_request_id():
    fingerprint = messages.compute_fingerprint(
        _make_request(("X-Id", "1"), body=b"x")
    )
    assert fingerprint == messages.compute_fingerprint(
        _make_request(("X-Id", "2"), body=b"x")
    )
    assert fingerprint != messages.compute_fingerprint(_make_request(body=b"y"))
