"""Tests of backend servers over simulated connections."""

import asyncio

import pytest

from eelgrasshall.gateway import connections
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import upstream


async def test_complete_response_is_reported():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(fakes.encode_reply("a1", b"body"))
    assert owner.get_reply(attempt).body == b"body"
    assert connected.connection.must_close is False


async def test_second_response_in_same_data_is_ignored():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(
        fakes.encode_reply("a1", b"body") + fakes.encode_reply("a0", b"other")
    )
    reply = owner.get_reply(attempt)
    assert reply.body == b"body"
    assert len([k for k, _ in reply.headers if k == b"X-Seal"]) == 1
    assert connected.connection.must_close is True


async def test_duplicate_response_does_not_answer_next_request():
    connected = fakes.ConnectedBackend()
    first, owner = connected.send("a1")
    connected.feed(fakes.encode_reply("a1", b"body"))
    assert owner.get_reply(first).body == b"body"
    second, owner = connected.send("a2")
    connected.feed(fakes.encode_reply("a1", b"body"))
    assert owner.get_failure(second) is messages.FailureKind.INVALID_RESPONSE
    assert connected.transport.closed


async def test_success_without_request_id_is_invalid():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n")
    assert owner.get_failure(attempt) is messages.FailureKind.INVALID_RESPONSE


async def test_truncated_response_fails_as_connection_lost():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(fakes.encode_reply("a1", b"a longer body")[:-3])
    connected.connection.eof_received()
    connected.connection.connection_lost(None)
    assert owner.get_failure(attempt) is messages.FailureKind.CONNECTION_LOST


async def test_response_without_length_is_complete_at_end_of_connection():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(b"HTTP/1.1 200 OK\r\nX-Id: a1\r\nX-Seal: s\r\n\r\nwhole")
    assert attempt not in owner.outcomes
    connected.connection.eof_received()
    assert owner.get_reply(attempt).body == b"whole"


async def test_reset_does_not_complete_response_without_length():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(b"HTTP/1.1 200 OK\r\nX-Id: a1\r\nX-Seal: s\r\n\r\nhalf")
    connected.connection.connection_lost(ConnectionResetError())
    assert owner.get_failure(attempt) is messages.FailureKind.CONNECTION_LOST


async def test_unexpected_data_closes_connection():
    connected = fakes.ConnectedBackend()
    connected.feed(fakes.encode_reply("a0", b"late"))
    assert connected.transport.closed


async def test_data_that_is_not_http_is_invalid():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(b"\x00\x01 no response\r\n\r\n")
    assert owner.get_failure(attempt) is messages.FailureKind.INVALID_RESPONSE


async def test_misdirected_request_was_not_run():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
    assert owner.get_reply(attempt).not_run
    assert connected.backend in connected.observer.misdirected


async def test_connection_is_not_reused_if_response_precedes_end_of_request():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.transport.unsent_bytes = 100
    connected.feed(fakes.encode_reply("a1", b"early"))
    assert owner.get_reply(attempt).body == b"early"
    assert connected.connection.must_close


async def test_abandoned_attempt_keeps_its_connection():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.backend.abandon(attempt, abort=False)
    connected.feed(fakes.encode_reply("a1", b"late"))
    assert attempt not in owner.outcomes
    assert not connected.transport.closed
    assert not connected.backend.pending


async def test_aborted_attempt_closes_its_connection():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.backend.abandon(attempt, abort=True)
    assert attempt not in owner.outcomes
    assert connected.transport.closed


async def test_attempt_past_deadline_times_out():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1", remaining_s=0.01)
    connected.backend.sweep(asyncio.get_running_loop().time() + 1)
    assert owner.get_failure(attempt) is messages.FailureKind.TIMED_OUT
    assert connected.transport.closed


async def test_attempt_at_unreachable_server_is_not_sent():
    connected = fakes.ConnectedBackend(server=fakes.make_server(port=1))
    owner = fakes.OutcomeRecorder()
    attempt = fakes.make_attempt(owner, "a1")
    connected.backend.close_connection(connected.connection)
    connected.backend.submit(attempt)
    await asyncio.wait_for(owner.recorded.wait(), 5)
    assert owner.get_failure(attempt) is messages.FailureKind.NOT_SENT
    assert connected.backend.unreachable


async def test_error_rate_decays():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(b"HTTP/1.1 500 X\r\nX-Id: a1\r\nContent-Length: 0\r\n\r\n")
    assert owner.get_reply(attempt).status == 500
    now = asyncio.get_running_loop().time()
    assert connected.backend.get_error_rate(now) > 0.2
    assert (
        connected.backend.get_error_rate(now + 4 * upstream.ERROR_DECAY_S)
        < 0.01
    )


def test_address_is_formatted_as_ip_and_port():
    assert str(model.Address("10.0.0.1", 80)) == "10.0.0.1:80"


async def test_waiting_attempt_in_time_goes_before_late_one():
    connected = fakes.ConnectedBackend(connection_limit=1)
    connected.send("a1")
    owner = fakes.OutcomeRecorder()
    late = fakes.make_attempt(owner, "a2")
    late.due_s = asyncio.get_running_loop().time()
    in_time = fakes.make_attempt(owner, "a3")
    for attempt in (late, in_time):
        connected.backend.submit(attempt)
    connected.feed(fakes.encode_reply("a1", b""))
    assert connected.connection.attempt is in_time
    connected.feed(fakes.encode_reply("a3", b""))
    assert connected.connection.attempt is late
    connected.feed(fakes.encode_reply("a2", b""))
    assert owner.get_reply(late).status == 200


async def test_time_in_the_queue_does_not_count_as_service_time():
    connected = fakes.ConnectedBackend(connection_limit=1)
    connected.send("a1")
    waiting = fakes.make_attempt(fakes.OutcomeRecorder(), "a2")
    connected.backend.submit(waiting)
    await asyncio.sleep(0.05)
    connected.feed(fakes.encode_reply("a1", b""))
    latency_ratio = connected.backend.latency_ratio
    service_time_ratio = connected.backend.service_time_ratio
    # Answered at once when it is sent, after 50 ms in the queue.
    connected.feed(fakes.encode_reply("a2", b""))
    assert connected.backend.latency_ratio > latency_ratio
    assert connected.backend.service_time_ratio < service_time_ratio


async def test_expired_attempt_does_not_keep_the_connection_from_others():
    connected = fakes.ConnectedBackend(connection_limit=1)
    connected.send("a1")
    owner = fakes.OutcomeRecorder()
    expired = fakes.make_attempt(owner, "a2", remaining_s=0.0)
    waiting = fakes.make_attempt(owner, "a3")
    for attempt in (expired, waiting):
        connected.backend.submit(attempt)
    connected.feed(fakes.encode_reply("a1", b""))
    assert owner.get_failure(expired) is messages.FailureKind.NOT_SENT
    assert connected.connection.attempt is waiting


def _encode_pause(request_id: str, retry_after: str) -> bytes:
    return (
        f"HTTP/1.1 503 X\r\nX-Id: {request_id}\r\nX-Not-Run: 1\r\n"
        f"Retry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def test_server_that_asks_for_a_pause_gets_nothing_until_it_is_over():
    connected = fakes.ConnectedBackend(connection_limit=1)
    connected.send("a1")
    owner = fakes.OutcomeRecorder()
    waiting = fakes.make_attempt(owner, "a2")
    connected.backend.submit(waiting)
    written = len(connected.transport.written)
    connected.feed(_encode_pause("a1", "0.5"))
    # It is placed anew by its owner.
    assert owner.get_failure(waiting) is messages.FailureKind.NOT_SENT
    assert len(connected.transport.written) == written
    now = asyncio.get_running_loop().time()
    assert not connected.backend.can_accept(now + 0.4)
    assert connected.backend.can_accept(now + 0.6)
    assert connected.observer.pauses_s == [0.5]


async def test_shorter_pause_does_not_end_a_longer_one():
    connected = fakes.ConnectedBackend()
    for request_id, retry_after in (("a1", "2"), ("a2", "0.1"), ("a3", "0")):
        connected.send(request_id)
        connected.feed(_encode_pause(request_id, retry_after))
    now = asyncio.get_running_loop().time()
    assert connected.backend.get_pause_s(now) > 1.5


async def test_malformed_pause_is_counted_and_ignored():
    connected = fakes.ConnectedBackend()
    connected.send("a1")
    connected.feed(_encode_pause("a1", "Fri, 04 Dec 2026 07:00:00 GMT"))
    assert connected.backend.can_accept(asyncio.get_running_loop().time())
    assert "malformed_pauses" in connected.counts


async def test_only_a_refusal_asks_for_a_pause():
    connected = fakes.ConnectedBackend()
    connected.send("a1")
    connected.feed(
        b"HTTP/1.1 500 X\r\nX-Id: a1\r\nRetry-After: 5\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    assert connected.backend.can_accept(asyncio.get_running_loop().time())


@pytest.mark.parametrize("abandoned", [False, True])
@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nX-Id: a1\r\nX-Seal: s\r\n",
        b"HTTP/1.1 503 X\r\nX-Id: a1\r\nX-Not-Run: 1\r\n",
        b"HTTP/1.1 500 X\r\nX-Id: a1\r\n",
    ],
    ids=["success", "refusal", "error"],
)
async def test_any_response_of_a_leaving_server_says_so(response, abandoned):
    connected = fakes.ConnectedBackend()
    attempt, _ = connected.send("a1")
    if abandoned:
        connected.backend.abandon(attempt, abort=False)
    connected.feed(response + b"X-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
    assert connected.observer.leaving == [connected.backend]


async def test_another_server_at_the_address_does_not_speak_for_this_one():
    connected = fakes.ConnectedBackend()
    connected.send("a1")
    connected.feed(
        b"HTTP/1.1 421 X\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
    )
    assert connected.observer.leaving == []


async def test_closed_server_gets_no_waiting_attempts():
    # They were sent to servers that drained or were evacuated, however long
    # they had waited.
    connected = fakes.ConnectedBackend(connection_limit=1)
    connected.send("a1")
    owner = fakes.OutcomeRecorder()
    waiting = fakes.make_attempt(owner, "a2")
    connected.backend.submit(waiting)
    connected.backend.close()
    assert owner.get_failure(waiting) is messages.FailureKind.NOT_SENT
    connected.feed(fakes.encode_reply("a1", b""))
    assert len(connected.transport.written) == 1


async def _settle() -> None:
    """Waits until a verification that was due has ended."""
    await asyncio.sleep(upstream.VERIFICATION_DELAY_S + 0.05)


async def test_crash_is_noticed_although_nobody_sends_to_the_server_again():
    # The server's address refuses connections, as after the end of a process.
    connected = fakes.ConnectedBackend()
    attempt, _ = connected.send("a1")
    connected.connection.connection_lost(ConnectionResetError())
    await _settle()
    assert connected.observer.unanswered == [attempt]
    assert connected.observer.unreachable == [connected.backend]
    assert connected.observer.began_s == [attempt.sent_s]


async def test_server_that_falls_silent_is_verified_after_the_time_out():
    connected = fakes.ConnectedBackend()
    attempt, _ = connected.send("a1", remaining_s=0.01)
    await asyncio.sleep(0.02)
    connected.backend.sweep(asyncio.get_running_loop().time())
    await _settle()
    assert connected.observer.unanswered == [attempt]
    assert connected.observer.unreachable == [connected.backend]


async def test_silent_loss_may_have_begun_before_the_attempt_was_sent():
    connected = fakes.ConnectedBackend()
    attempt, _ = connected.send("a1")
    connected.connection.connection_lost(TimeoutError())
    (began_s,) = connected.observer.began_s
    assert began_s == attempt.sent_s - upstream.SILENT_LOOKBACK_S


async def test_silent_loss_began_after_the_last_answer():
    connected = fakes.ConnectedBackend()
    connected.send("a1")
    connected.feed(fakes.encode_reply("a1", b"body"))
    answered_s = asyncio.get_running_loop().time()
    await asyncio.sleep(0.02)
    connected.send("a2")
    connected.connection.connection_lost(TimeoutError())
    (began_s,) = connected.observer.began_s
    assert began_s == pytest.approx(answered_s, abs=0.01)


async def test_attempt_that_its_caller_aborts_may_have_crashed_the_server():
    connected = fakes.ConnectedBackend()
    attempt, _ = connected.send("a1")
    connected.backend.abandon(attempt, abort=True)
    assert connected.observer.unanswered == [attempt]
    assert not connected.observer.alive


async def test_answer_to_a_later_attempt_shows_that_the_server_is_up():
    connected = fakes.ConnectedBackend()
    attempt, _ = connected.send("a1")
    connected.backend.abandon(attempt, abort=True)
    await asyncio.sleep(0.01)
    connection = connections.Connection(backend=connected.backend)
    connection.connection_made(fakes.Transport())
    connected.backend.add_connection(connection)
    later = fakes.make_attempt(fakes.OutcomeRecorder(), "a2")
    connected.backend.submit(later)
    connection.data_received(fakes.encode_reply("a2", b"body"))
    assert connected.observer.alive == [connected.backend]


async def test_verification_spares_a_server_that_is_closed():
    connected = fakes.ConnectedBackend()
    connected.send("a1")
    connected.connection.connection_lost(ConnectionResetError())
    connected.backend.close()
    await _settle()
    assert "connections_opened" not in connected.counts


async def _open_server(
    accepted: list[asyncio.StreamWriter],
) -> tuple[asyncio.Server, model.Server]:
    """Returns a server that accepts connections and says nothing."""
    server = await asyncio.start_server(
        lambda reader, writer: accepted.append(writer), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    return server, fakes.make_server(port=port)


async def test_crash_is_noticed_although_a_connection_was_just_accepted():
    # A process that ends slowly: its connections are reset, but the system
    # still accepts new ones for it, the verification's included.
    accepted: list[asyncio.StreamWriter] = []
    server, registration = await _open_server(accepted)
    connected = fakes.ConnectedBackend(server=registration)
    connected.send("a1")
    connected.connection.connection_lost(ConnectionResetError())
    await _settle()
    (verifying,) = connected.backend._idle
    server.close()
    verifying.connection_lost(ConnectionResetError())
    await _settle()
    assert connected.observer.unreachable == [connected.backend]
    for writer in accepted:
        writer.close()


async def test_crash_is_noticed_although_all_connections_are_in_use():
    # They are lost later than the one of the request that crashed the server.
    connected = fakes.ConnectedBackend(connection_limit=2)
    attempt, _ = connected.send("a1")
    another = connections.Connection(backend=connected.backend)
    another.connection_made(fakes.Transport())
    connected.backend.add_connection(another)
    connected.backend.connection_limit = 1
    connected.connection.connection_lost(ConnectionResetError())
    await asyncio.sleep(upstream.VERIFICATION_DELAY_S * 1.5)
    another.connection_lost(ConnectionResetError())
    await _settle()
    assert connected.observer.unanswered == [attempt]
    assert connected.observer.unreachable == [connected.backend]


async def test_verification_of_a_server_that_resets_connections_ends():
    # It resets all that are beyond its limit.
    def reset(_, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    server = await asyncio.start_server(reset, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connected = fakes.ConnectedBackend(server=fakes.make_server(port=port))
    connected.send("a1")
    connected.connection.connection_lost(ConnectionResetError())
    await asyncio.sleep(1.0)
    opened = connected.counts.count("connections_opened")
    assert opened <= upstream.MAX_VERIFICATIONS
    assert not connected.observer.unreachable
    server.close()


async def test_attempt_that_is_blocked_while_it_waits_is_not_sent():
    connected = fakes.ConnectedBackend(connection_limit=1)
    connected.send("a1")
    owner = fakes.OutcomeRecorder()
    waiting = [fakes.make_attempt(owner, name) for name in ("a2", "a3")]
    for attempt in waiting:
        connected.backend.submit(attempt)
    connected.observer.blocked.add(waiting[0])
    connected.feed(fakes.encode_reply("a1", b"body"))
    assert owner.get_failure(waiting[0]) is messages.FailureKind.NOT_SENT
    assert not waiting[0].sent
    assert waiting[1].sent


async def test_blocked_attempt_leaves_the_idle_connection_to_others():
    connected = fakes.ConnectedBackend(connection_limit=1)
    owner = fakes.OutcomeRecorder()
    attempt = fakes.make_attempt(owner, "a1")
    connected.observer.blocked.add(attempt)
    connected.backend.submit(attempt)
    assert owner.get_failure(attempt) is messages.FailureKind.NOT_SENT
    assert not connected.transport.written
    connected.send("a2")


_ENDLESS = {
    "bytes that are no line": (b"", b"HTTP/1.1 200 OK" + b"x" * 4096),
    "one header": (b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 4096),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 512),
    "interim responses": (b"", b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n" * 128),
    "body to the end": (
        b"HTTP/1.1 200 OK\r\nX-Id: a1\r\nX-Seal: s\r\n\r\n",
        b"b" * 65536,
    ),
    "body of a length": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
        b"b" * 65536,
    ),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"b" * 4096 + b"\r\n",
    ),
    "chunk extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        b"e" * 65536,
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-A: b\r\n" * 8192,
    ),
}


@pytest.mark.parametrize("name", sorted(_ENDLESS))
async def test_response_without_end_is_given_up(name):
    begin, piece = _ENDLESS[name]
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    connected.feed(begin or piece)
    sent = 0
    limit = connections.MAX_HEAD_BYTES + connections.MAX_BODY_BYTES
    while not connected.transport.closed and sent <= limit:
        connected.feed(piece)
        sent += len(piece)
    assert sent <= limit
    assert owner.get_failure(attempt) is messages.FailureKind.INVALID_RESPONSE
    assert connected.backend.environment.receive_buffer.size == 0


async def test_large_response_in_one_piece_with_its_head_is_accepted():
    connected = fakes.ConnectedBackend()
    attempt, owner = connected.send("a1")
    body = b"b" * (3 * connections.MAX_HEAD_BYTES)
    data = fakes.encode_reply("a1", body)
    connected.feed(data[: 2 * connections.MAX_HEAD_BYTES])
    connected.feed(data[2 * connections.MAX_HEAD_BYTES :])
    assert owner.get_reply(attempt).body == body
    assert connected.backend.environment.receive_buffer.size == 0


async def test_largest_responses_are_given_up_first_while_many_arrive():
    connected = fakes.ConnectedBackend()
    buffer = connected.backend.environment.receive_buffer
    buffer.size = connections.MAX_BUFFERED_BYTES
    small, small_owner = connected.send("a1")
    connected.feed(fakes.encode_reply("a1", b"b" * 200_000))
    assert small_owner.get_reply(small)
    large, large_owner = connected.send("a2")
    data = fakes.encode_reply("a2", b"b" * 1_000_000)
    connected.feed(data[:10])
    connected.feed(data[10:400_000])
    assert large_owner.get_failure(large)
    assert buffer.size == connections.MAX_BUFFERED_BYTES


async def test_lost_and_abandoned_responses_no_longer_count_as_buffered():
    connected = fakes.ConnectedBackend()
    buffer = connected.backend.environment.receive_buffer
    connected.send("a1")
    connected.feed(fakes.encode_reply("a1", b"b" * 1000)[:-1])
    assert buffer.size > 1000
    connected.connection.connection_lost(None)
    assert buffer.size == 0


async def test_rejected_bytes_are_reported_with_their_connection():
    connected = fakes.ConnectedBackend()
    connected.send("a1")
    connected.feed(fakes.encode_reply("a1", b"body"))
    second, _ = connected.send("a2")
    connected.feed(fakes.encode_reply("a1", b"body"))
    (rejection,) = connected.observer.rejections
    assert rejection._replace(age_s=0.0) == connections.Rejection(
        reason=connections.CROSSED,
        request_id=b"a2",
        response_id=b"a1",
        status=200,
        body_bytes=4,
        earlier_requests=1,
        age_s=0.0,
    )
    assert "rejected_crossed" in connected.counts


@pytest.mark.parametrize(
    "reason, data",
    [
        ("malformed", b"no response\r\n\r\n"),
        ("no_id", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        ("surplus", fakes.encode_reply("a1", b"body") * 2),
        ("cut", fakes.encode_reply("a1", b"body")[:-1]),
    ],
)
async def test_reason_of_a_rejection_tells_faults_of_servers_apart(
    reason, data
):
    connected = fakes.ConnectedBackend()
    connected.send("a1")
    connected.feed(data)
    connected.connection.connection_lost(None)
    (rejection,) = connected.observer.rejections
    assert rejection.reason == reason
    assert rejection.earlier_requests == 0


async def test_bytes_on_an_idle_connection_are_reported():
    connected = fakes.ConnectedBackend()
    connected.send("a1")
    connected.feed(fakes.encode_reply("a1", b"body"))
    connected.feed(fakes.encode_reply("a1", b"body"))
    (rejection,) = connected.observer.rejections
    assert rejection.reason is connections.UNEXPECTED
    assert rejection.request_id is None
    assert rejection.response_id is None
