"""Tests of connections to backend servers, without sockets."""

import asyncio

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import upstream


async def test_a_whole_response_is_delivered():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1")
    link.feed(fakes.encode_reply("a1", b"body"))
    assert owner.get_reply(attempt).body == b"body"
    assert link.connection.broken is False


async def test_a_second_response_in_the_same_bytes_belongs_to_no_request():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1")
    link.feed(
        fakes.encode_reply("a1", b"body") + fakes.encode_reply("a0", b"other")
    )
    reply = owner.get_reply(attempt)
    assert reply.body == b"body"
    assert len([k for k, _ in reply.headers if k == b"X-Seal"]) == 1
    assert link.connection.broken is True


async def test_a_late_second_response_is_not_taken_for_the_next_one():
    link = fakes.ConnectedBackend()
    first, owner = link.send("a1")
    link.feed(fakes.encode_reply("a1", b"body"))
    assert owner.get_reply(first).body == b"body"
    second, owner = link.send("a2")
    link.feed(fakes.encode_reply("a1", b"body"))
    assert owner.get_failure(second) is messages.FailureKind.GARBLED
    assert link.transport.closed


async def test_a_success_without_an_id_is_not_taken_for_an_answer():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1")
    link.feed(b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n")
    assert owner.get_failure(attempt) is messages.FailureKind.GARBLED


async def test_a_response_that_breaks_off_is_lost():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1")
    link.feed(fakes.encode_reply("a1", b"a longer body")[:-3])
    link.connection.eof_received()
    link.connection.connection_lost(None)
    assert owner.get_failure(attempt) is messages.FailureKind.LOST


async def test_a_response_without_a_length_ends_with_its_connection():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1")
    link.feed(b"HTTP/1.1 200 OK\r\nX-Id: a1\r\nX-Seal: s\r\n\r\nwhole")
    assert attempt not in owner.outcomes
    link.connection.eof_received()
    assert owner.get_reply(attempt).body == b"whole"


async def test_a_reset_does_not_complete_a_response_without_a_length():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1")
    link.feed(b"HTTP/1.1 200 OK\r\nX-Id: a1\r\nX-Seal: s\r\n\r\nhalf")
    link.connection.connection_lost(ConnectionResetError())
    assert owner.get_failure(attempt) is messages.FailureKind.LOST


async def test_bytes_that_no_request_waits_for_close_the_connection():
    link = fakes.ConnectedBackend()
    link.feed(fakes.encode_reply("a0", b"late"))
    assert link.transport.closed


async def test_bytes_that_are_no_response_are_garbled():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1")
    link.feed(b"\x00\x01 no response\r\n\r\n")
    assert owner.get_failure(attempt) is messages.FailureKind.GARBLED


async def test_a_refusal_that_names_another_server_was_not_run():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1")
    link.feed(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
    assert owner.get_reply(attempt).not_run
    assert link.backend in link.observer.misdirected


async def test_a_response_before_the_request_is_sent_ends_the_connection():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1")
    link.transport.unsent_bytes = 100
    link.feed(fakes.encode_reply("a1", b"early"))
    assert owner.get_reply(attempt).body == b"early"
    assert link.connection.broken


async def test_an_abandoned_attempt_runs_on_and_keeps_its_connection():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1")
    link.backend.abandon(attempt, cut=False)
    link.feed(fakes.encode_reply("a1", b"late"))
    assert attempt not in owner.outcomes
    assert not link.transport.closed
    assert not link.backend.pending


async def test_the_attempt_of_a_caller_that_left_is_cut():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1")
    link.backend.abandon(attempt, cut=True)
    assert attempt not in owner.outcomes
    assert link.transport.closed


async def test_an_attempt_past_its_deadline_times_out():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1", remaining_s=0.01)
    link.backend.sweep(asyncio.get_running_loop().time() + 1)
    assert owner.get_failure(attempt) is messages.FailureKind.TIMED_OUT
    assert link.transport.closed


async def test_no_server_means_certainly_not_run():
    link = fakes.ConnectedBackend(server=fakes.make_server(port=1))
    owner = fakes.OutcomeRecorder()
    attempt = fakes.make_attempt(owner, "a1")
    link.backend.drop(link.connection)
    link.backend.start(attempt)
    await asyncio.wait_for(owner.settled.wait(), 5)
    assert owner.get_failure(attempt) is messages.FailureKind.UNREACHED
    assert link.backend.unreachable


async def test_errors_fade_with_time():
    link = fakes.ConnectedBackend()
    attempt, owner = link.send("a1")
    link.feed(b"HTTP/1.1 500 X\r\nX-Id: a1\r\nContent-Length: 0\r\n\r\n")
    assert owner.get_reply(attempt).status == 500
    now = asyncio.get_running_loop().time()
    assert link.backend.error_rate(now) > 0.2
    assert link.backend.error_rate(now + 4 * upstream.ERROR_FADE_S) < 0.01


def test_an_address_prints_as_host_and_port():
    assert str(model.Address("10.0.0.1", 80)) == "10.0.0.1:80"
