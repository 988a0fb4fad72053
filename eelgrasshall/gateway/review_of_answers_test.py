"""Tests of answers that are not the whole response to their own request.

They cover what a caller may get from a server that answers one request twice or
in part.
"""

import asyncio

import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import fanout
from eelgrasshall.gateway import messages

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
    request_fanout = fanout.Fanout(
        context=context,
        request=fakes.make_request(method=method),
        route=fakes.make_route(
            shards=shards, idempotent=idempotent, min_share=0.5, top_n=2
        ),
        services=services,
        request_id=b"a1",
        deadline_s=context.loop.time() + 0.5,
        has_waiting=lambda: False,
    )
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


@pytest.mark.parametrize("response_id", [b"B2", b"b 2", b"b2,b2", b"b", b"b22"])
async def test_id_that_is_only_alike_is_another_one(response_id):
    outcome = await _receive([_encode(response_id, _BODY)])
    assert outcome == messages.Failure(messages.FailureKind.INVALID_RESPONSE)


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
