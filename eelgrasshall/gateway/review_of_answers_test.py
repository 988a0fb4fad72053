"""Tests of answers that are not the whole response to their own request.

They cover what a caller may get from a server that answers one request twice or
in part, and right responses that look like two.
"""

import asyncio
import time

import pytest

from eelgrasshall.gateway import connections
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import fanout
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model

_STATUS_LINE_BYTES = len(b"HTTP/1.1 200")
_BODY = b"".join(b"record %02d of 16" % number for number in range(6))


def _encode(
    request_id: bytes,
    body: bytes,
    *,
    status: int = 200,
    headers: bytes = b"X-Seal: seal\r\n",
) -> bytes:
    """Returns a response that states the length of its body."""
    return (
        b"HTTP/1.1 %d Status\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s"
        % (status, request_id, headers, len(body), body)
    )


def _encode_without_length(request_id: bytes, body: bytes) -> bytes:
    """Returns a response that ends with its connection."""
    return b"HTTP/1.1 200 Status\r\nX-Id: %s\r\nX-Seal: seal\r\n\r\n%s" % (
        request_id,
        body,
    )


async def _receive(pieces: list[bytes], request_id: str = "b2") -> object:
    """Returns the outcome of a request whose server closes after the pieces."""
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send(request_id)
    for piece in pieces:
        if attempt not in owner.outcomes:
            connected.feed(piece)
    if attempt not in owner.outcomes:
        connected.connection.eof_received()
    if attempt not in owner.outcomes:
        connected.connection.connection_lost(None)
    await connected.close()
    return owner.outcomes[attempt]


def _make_fanout(
    context: fakes.Context, route: model.Route, *, method: str = "GET"
) -> fanout.Fanout:
    """Returns the fan-out of request a1."""
    return fanout.Fanout(
        context=context,
        request=fakes.make_request(method=method),
        route=route,
        services=tuple(context.backends),
        request_id=b"a1",
        deadline_s=context.loop.time() + 0.5,
        has_waiting=lambda: False,
    )


async def _run(
    responses: list[bytes],
    *,
    shards: tuple[str, ...] = (),
    method: str = "GET",
    idempotent: bool = True,
    replicas: int = 3,
) -> fanout.Outcome:
    """Returns the outcome of request a1.

    Each attempt gets one of the responses, in the order in which they begin.
    """
    services = shards or ("orders",)
    context = fakes.Context(services, replicas=replicas)
    route = fakes.make_route(
        shards=shards, idempotent=idempotent, min_share=0.5, top_n=2
    )
    request_fanout = _make_fanout(context, route, method=method)
    task = context.loop.create_task(request_fanout.run())
    servers = [each for name in services for each in context.backends[name]]
    for response in responses:
        for _ in range(3):
            await asyncio.sleep(0)
        server = next(each for each in servers if each.backend.pending)
        if not idempotent:
            # The attempt needs a new connection, so the idle one is not used.
            server.backend.add_connection(server.connection)
        server.feed(response)
    outcome = await task
    for server in servers:
        await server.close()
    return outcome


@pytest.mark.parametrize("together", [False, True])
async def test_body_cut_off_is_not_filled_up_by_the_second_response(together):
    # A server breaks off within the body of its first response to a request and
    # sends the second one on the same connection.  Both have the right id.  The
    # body had the head of the second response where its rest was due.
    response = _encode(b"b2", _BODY)
    head_bytes = len(response) - len(_BODY)
    wrong = []
    for end in range(head_bytes, len(response) - _STATUS_LINE_BYTES + 1):
        pieces = [response[:end], response]
        outcome = await _receive([b"".join(pieces)] if together else pieces)
        if isinstance(outcome, messages.Reply) and outcome.body != _BODY:
            wrong.append(end - head_bytes)
    assert not wrong


async def test_end_of_a_body_is_not_the_begin_of_the_second_response():
    # As above, with less to come than shows a status line.  The rest of the
    # line arrives in the same read, behind the body.
    response = _encode(b"b2", _BODY)
    wrong = []
    for missing in range(1, _STATUS_LINE_BYTES):
        outcome = await _receive([response[:-missing] + response])
        if isinstance(outcome, messages.Reply) and outcome.body != _BODY:
            wrong.append(missing)
    assert not wrong


async def test_chunk_cut_off_is_not_filled_up_by_the_second_response():
    # The chunk ended with the last header of the second response, whose line
    # end and whose chunks then passed for the rest of the first one.
    head = (
        b"HTTP/1.1 200 Status\r\nX-Id: b2\r\nX-Seal: seal\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    body = _BODY * 2
    response = head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    wrong = []
    for end in range(len(head), len(response)):
        for pieces in (
            [response[:end] + response],
            [response[:end], response],
        ):
            outcome = await _receive(pieces)
            if isinstance(outcome, messages.Reply) and outcome.body != body:
                wrong.append(end - len(head))
    assert not wrong


async def test_search_does_not_lose_records_to_the_second_response_of_a_part():
    # The answer named the signature of the part, lacked its greatest record and
    # had the next one in its place.
    part = _encode(b"a1", b"A" * 16 + b"B" * 16 + b"z" * 16)
    other = _encode(b"a1", b"T" * 32, headers=b"X-Seal: other\r\n")
    outcome = await _run(
        [part[:-16] + part, other], shards=("p", "q"), replicas=1
    )
    seals = dict(outcome.headers)[fakes.NAMES.part_seals]
    assert b"other" in seals
    if b"seal" in seals:
        assert outcome.body == b"z" * 16 + b"T" * 16


@pytest.mark.parametrize("copies", [1, 2])
async def test_response_to_head_has_no_body_whatever_length_it_states(copies):
    # A response to HEAD states the length of a body that does not follow.  The
    # request timed out, or the copy of the head became the body.
    head = _encode(b"a1", b"x" * 40)[:-40]
    outcome = await _run([head * copies], method="HEAD")
    assert outcome.status == 200
    assert outcome.body == b""


@pytest.mark.parametrize("status", [200, 206])
@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("headers", [b"", b"X-Seal: \r\n"])
async def test_success_without_signature_is_not_passed_on(
    headers, idempotent, status
):
    # When no attempt was left, the last response was passed on with its status,
    # and an empty signature counted as one.
    response = _encode(b"a1", _BODY, status=status, headers=headers)
    outcome = await _run(
        [response] * (2 if idempotent else 1), idempotent=idempotent
    )
    assert outcome.status == 502
    assert outcome.body == b""


async def test_part_with_an_empty_signature_is_none():
    # The answer had an empty entry in the list of signatures.
    empty = _encode(b"a1", b"z" * 16, headers=b"X-Seal:\r\n")
    right = _encode(b"a1", b"T" * 16)
    outcome = await _run([empty, right], shards=("p", "q"), replicas=1)
    assert dict(outcome.headers)[fakes.NAMES.part_seals] == b"seal"
    assert outcome.missing == 1
    assert outcome.body == b"T" * 16


@pytest.mark.parametrize(
    "response_id", [b"b2 ", b"b2\t", b"  b2"], ids=["space", "tab", "before"]
)
async def test_space_around_an_id_is_no_part_of_it(response_id):
    # Every attempt failed as the response to another request.
    outcome = await _receive([_encode(response_id, _BODY)])
    assert isinstance(outcome, messages.Reply)


@pytest.mark.parametrize("response_id", [b"B2", b"b 2", b"b2,b2", b"b", b"b22"])
async def test_id_that_is_only_alike_is_another_one(response_id):
    outcome = await _receive([_encode(response_id, _BODY)])
    assert outcome == messages.Failure(messages.FailureKind.INVALID_RESPONSE)


async def test_host_in_a_header_is_no_status_line():
    # All responses of servers behind such a proxy were rejected.
    via = b"X-Seal: seal\r\nVia: HTTP/1.1 192.168.0.1:8080\r\n"
    outcome = await _receive([_encode(b"b2", _BODY, headers=via)])
    assert isinstance(outcome, messages.Reply)


async def test_text_with_many_status_lines_is_no_response():
    # All attempts at such a document fail where it has over 256 of the lines.
    body = b"GET /a HTTP/1.1 200 512\n" * 300
    outcome = await _receive([_encode_without_length(b"b2", body)])
    assert isinstance(outcome, messages.Reply)


async def test_body_of_nested_heads_costs_little_to_look_through():
    # Each of the status lines begins a head that goes on for 60 KB.
    body = b"HTTP/1.1 200 \r\nA:" * 255 + b"\r\n" + b"a:\r\n" * 14_000 + b"\r\n"
    connected = fakes.ConnectedBackend()
    connected.send("b2")
    connected.feed(_encode_without_length(b"b2", body))
    started_s = time.process_time()
    connected.connection.eof_received()
    assert time.process_time() - started_s < 0.1
    await connected.close()


async def test_state_of_a_response_does_not_outlast_it():
    # Status, headers, body and size of a response must not be those of the one
    # before on its connection.
    connected = fakes.ConnectedBackend()
    buffer = connected.backend.environment.receive_buffer
    first, owner = connected.send("a1")
    refusal = _encode(
        b"a1",
        b"no",
        status=503,
        headers=b"X-Not-Run: 1\r\nX-Leaving: 1\r\nX-Limit: 5\r\n"
        b"X-Seal: first\r\n",
    )
    connected.feed(refusal[:-1])
    assert buffer.size == len(refusal) - 1
    connected.feed(refusal[-1:])
    assert owner.get_reply(first).not_run
    second, owner = connected.send("b2")
    response = _encode(b"b2", _BODY)
    for at in range(len(response)):
        connected.feed(response[at : at + 1])
    reply = owner.get_reply(second)
    assert (reply.status, reply.seal, reply.body) == (200, b"seal", _BODY)
    assert not reply.not_run and not reply.leaving
    assert reply.rate_limits == () and reply.earlier_requests == 1
    assert buffer.size == 0
    assert not connected.transport.closed
    await connected.close()


async def test_failure_with_another_id_is_not_taken_on_a_new_connection():
    # Without an id it would be taken there.
    outcome = await _receive([_encode(b"a1", b"", status=503)])
    assert outcome == messages.Failure(messages.FailureKind.INVALID_RESPONSE)


async def test_connection_that_the_server_closes_gets_no_other_request():
    # The request would be lost, as the server reads nothing more.
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    closing = b"X-Seal: seal\r\nConnection: close\r\n"
    connected.feed(_encode(b"a1", _BODY, headers=closing))
    assert owner.get_reply(attempt).body == _BODY
    assert connected.transport.closed
    await connected.close()


async def test_response_that_is_lost_leaves_no_bytes_counted():
    # The count only grew, until the host took no large responses any more.
    connected = fakes.ConnectedBackend()
    connected.send("a1")
    connected.feed(_encode(b"a1", _BODY)[:-1])
    connected.connection.connection_lost(None)
    assert connected.backend.environment.receive_buffer.size == 0
    await connected.close()


async def test_hedge_does_not_go_to_the_server_of_the_first_attempt():
    # Both attempts have one id, so that each could get the other's response.
    context = fakes.Context(("orders",), replicas=1)
    [server] = context.backends["orders"]
    second = fakes.Transport()
    connection = connections.Connection(backend=server.backend)
    connection.connection_made(second)
    server.backend.add_connection(connection)
    request_fanout = _make_fanout(context, fakes.make_route())
    task = context.loop.create_task(request_fanout.run())
    await asyncio.sleep(0.1)
    assert len(server.backend.pending) == 1
    assert len(server.transport.written) + len(second.written) == 1
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await server.close()


@pytest.mark.parametrize("is_lost", [False, True])
async def test_request_that_may_run_once_is_offered_to_no_second_server(
    is_lost,
):
    # A second attempt that was only waiting for its connection would run it
    # twice; the outcome is the same until then.
    context = fakes.Context(("orders",))
    servers = context.backends["orders"]
    request_fanout = _make_fanout(context, fakes.make_route(idempotent=False))
    task = context.loop.create_task(request_fanout.run())
    for _ in range(3):
        await asyncio.sleep(0)
    [server] = [each for each in servers if each.backend.pending]
    server.backend.add_connection(server.connection)
    if is_lost:
        server.connection.connection_lost(None)
    else:
        server.feed(_encode(b"b2", _BODY))
    assert not any(each.backend.pending for each in servers)
    assert (await task).status == 502
    for each in servers:
        await each.close()
