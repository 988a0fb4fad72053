"""Tests of hosts before servers that answer twice or in part.

A late copy of an answer may arrive where the answer to the next request on the
connection is due, and a part of one may run into it.  What callers get must
still be what a server answered to their own request.
"""

import asyncio
import collections
import random

import pytest

from eelgrasshall.fakes import ports
from eelgrasshall.gateway import model
from eelgrasshall.platform import fake_server
from eelgrasshall.platform import stutter
from eelgrasshall.platform import stutter_run

_SEED = 1
_SECONDS = 20.0
# The connections are in use nearly all the time, so far more are sent.
_MIN_REQUESTS = 1000
# Shares of the requests that succeed.  Nearly one in five answers is a failure
# or a refusal, which is repeated, except for requests that may run once.
_MIN_SERVED = {"search": 0.9, "single": 0.7, "once": 0.6}


@pytest.fixture(scope="module")
def result(tmp_path_factory) -> stutter_run.Result:
    """A run with all kinds of stutter."""
    return asyncio.run(
        stutter_run.run_seed(
            seed=_SEED,
            seconds=_SECONDS,
            folder=tmp_path_factory.mktemp("stutter"),
        )
    )


def test_answers_are_those_of_servers_to_the_same_request(result):
    reasons = collections.Counter(each.wrong.reason for each in result.wrong)
    assert not result.wrong, (result.seed, reasons, result.wrong[:3])


def test_most_requests_are_served(result):
    for kind, share in _MIN_SERVED.items():
        served, sent = result.count_served(kind)
        assert served >= share * sent, (result.seed, kind, served, sent)


def test_run_shows_all_kinds_of_stutter_on_both_ways(result):
    # Else the other tests show nothing.
    assert result.statuses.total() >= _MIN_REQUESTS
    ways = {
        (kind, way)
        for (kind, way, status), count in result.statuses.items()
        if status == 200 and count >= 50
    }
    assert len(ways) == 6, ways
    for kind in stutter.Kind:
        assert any(name.startswith(kind.value) for name in result.sent), kind


def _make_server(
    habits: stutter.Habits, seed: int
) -> fake_server.FakeBackendServer:
    server = fake_server.FakeBackendServer(server_id="s-0")
    server.stutterer.random = random.Random(seed)
    server.stutterer.habits = habits
    return server


async def _fetch_twice(
    server: fake_server.FakeBackendServer,
) -> list[stutter.Sent]:
    """Lets a server answer two requests on one connection.

    Returns:
      What it says that it has sent.  The bytes that arrive must be as many.
    """
    sent = server.stutterer.sent
    with ports.PortRange(count=1) as reserved:
        port = reserved.first
        await server.start(model.Address("127.0.0.1", port))
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            async with asyncio.timeout(10.0):
                size = 0
                for request_id in ("q0", "q1"):
                    writer.write(
                        b"GET / HTTP/1.1\r\nX-Attempt-Id: %s\r\n"
                        b"X-Target-Instance: s-0\r\n\r\n" % request_id.encode()
                    )
                    while not reader.at_eof() and (
                        size < sum(each.size for each in sent)
                        or not _is_answered(sent, request_id)
                    ):
                        size += len(await reader.read(65536))
                # A cut ends the connection, so that nothing follows.
                assert size == sum(each.size for each in sent)
        finally:
            writer.close()
            server.stop()
    return list(sent)


def _is_answered(sent: list[stutter.Sent], request_id: str) -> bool:
    """Returns whether a request has been answered, not only by a copy."""
    return any(
        each.request_id == request_id and each.kind not in stutter.COPY_KINDS
        for each in sent
    )


async def test_copies_follow_their_answers_on_the_same_connection():
    kinds = collections.Counter()
    for seed in range(20):
        sent = await _fetch_twice(
            _make_server(stutter.Habits(copies=1.0), seed)
        )
        answers = [each for each in sent if each.kind is stutter.Kind.ANSWER]
        assert [each.request_id for each in answers] == ["q0", "q1"]
        for number, each in enumerate(sent):
            kinds[each.kind] += 1
            assert each.size == each.full_size
            earlier = [answer.request_id for answer in sent[:number]]
            assert each in answers or each.request_id in earlier
            if each.kind is stutter.Kind.AHEAD:
                assert sent[number + 1] == answers[1]
    # Late ones may come after the end.
    expected = {stutter.Kind.ANSWER, *stutter.COPY_KINDS}
    assert {*kinds, stutter.Kind.LATE} == expected


async def test_late_copy_comes_while_the_next_request_is_at_the_server():
    server = _make_server(stutter.Habits(copies=1.0), 1)
    server.service_time_s = 0.1
    server.stutterer.choose_kind = lambda framed: stutter.Kind.LATE
    server.stutterer.choose_delay_s = lambda: 0.01
    sent = await _fetch_twice(server)
    assert [(each.request_id, each.kind) for each in sent] == [
        ("q0", stutter.Kind.ANSWER),
        ("q0", stutter.Kind.LATE),
        ("q1", stutter.Kind.ANSWER),
    ]


async def test_answer_in_part_ends_its_connection():
    kinds = set()
    for seed in range(12):
        sent = await _fetch_twice(_make_server(stutter.Habits(cuts=1.0), seed))
        assert len(sent) == 1
        assert 0 < sent[0].size < sent[0].full_size
        kinds.add(sent[0].kind)
    assert kinds == {stutter.Kind.CUT_IN_HEAD, stutter.Kind.CUT_IN_BODY}


async def test_answer_without_length_ends_its_connection():
    kinds = set()
    for seed in range(12):
        server = _make_server(stutter.Habits(copies=0.5, unframed=1.0), seed)
        sent = await _fetch_twice(server)
        assert all(each.request_id == "q0" for each in sent)
        assert all(each.size == each.full_size for each in sent)
        kinds.add(tuple(each.kind for each in sent))
    answer, copy = stutter.Kind.ANSWER, stutter.Kind.BEHIND
    assert kinds == {(answer,), (answer, copy)}


def test_causes_are_what_was_sent_around_the_answer():
    def make(request_id, kind, *, other_status=False):
        return stutter.Sent(
            0.0, 1, request_id, kind, 200, other_status, True, True, 0.0, 9, 9
        )

    answer, late = stutter.Kind.ANSWER, stutter.Kind.LATE
    sent = [
        make("q0", stutter.Kind.AT_ONCE),
        make("q1", answer),
        make("q1", stutter.Kind.BEHIND, other_status=True),
        make("q0", late),
        make("q2", answer),
        make("q3", answer),
    ]
    assert stutter_run.list_causes(sent, "q1") == [
        "before it: copy at once",
        "after it: copy behind, other status",
        "after it: late copy of an earlier",
    ]
    assert stutter_run.list_causes(sent, "q2") == [
        "before it: copy behind, other status",
        "before it: late copy",
    ]
    assert not stutter_run.list_causes(sent, "q3")
