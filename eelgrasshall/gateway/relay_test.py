"""Tests of relaying requests, over loopback sockets."""

import asyncio
import contextlib
import random

import pytest

from eelgrasshall.fakes import ports
from eelgrasshall.gateway import connections
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import host as host_module
from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import relay
from eelgrasshall.gateway import relay_choice

_PORTS_PER_HOST = 3
# Far beyond what a connection on the loopback address takes on a busy machine.
_CONNECT_TIMEOUT_S = 5.0
_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Id: a1\r\nEelgrasshall-Relayed: 2\r\n"
    b"Content-Length: 3\r\n\r\nabc"
)
# What a host of the build before sends, to a search and to a single request.
_EARLIER_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Parts: s\r\nEelgrasshall-Relayed: 1\r\n"
    b"Content-Length: 3\r\n\r\nabc"
)
_EARLIER_ANSWER_WITH_ID = _ANSWER.replace(b"Relayed: 2", b"Relayed: 1")


@pytest.fixture(autouse=True)
def patient_relay(monkeypatch):
    """Keeps a busy machine from deciding which helper answers."""
    monkeypatch.setattr(relay, "CONNECT_TIMEOUT_S", _CONNECT_TIMEOUT_S)


def _mark(
    request: messages.Request,
    status: int,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    body: bytes = b"",
    **options,
) -> listener.Response:
    """Returns the response of a helper to a relayed request."""
    return relay.mark_response(
        listener.Response(status, list(headers), body),
        request=request,
        id_name=fakes.NAMES.request_id,
        **options,
    )


class _Sender:
    """A relay and the helpers that it knows.

    Args:
      *hosts: The helpers, in the order in which they are tried.
    """

    def __init__(self, *hosts: model.Host):
        self.hosts = hosts
        self.counts: list[str] = []
        self._loop = asyncio.get_running_loop()
        self.relay = relay.Relay(
            own=fakes.make_host("own"),
            names=fakes.NAMES,
            random=random.Random(1),
            # The first gets all requests unless it is excluded.
            list_helpers=lambda: [
                relay_choice.Helper(host, 1e6 * place)
                for place, host in enumerate(hosts)
            ],
            count=self.counts.append,
        )

    async def send(
        self,
        request: messages.Request | None = None,
        *,
        remaining_s: float = 2.0,
        idempotent: bool = True,
    ) -> relay.Result:
        """Sends a request, a GET by default."""
        async with asyncio.timeout(5.0):
            return await self.relay.send(
                request or fakes.make_request(),
                deadline_s=self._loop.time() + remaining_s,
                idempotent=idempotent,
            )

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self.relay._connections)


class _Helper:
    """A helper with a listener; it records the requests that it reads."""

    def __init__(self, handle=None):
        self.requests: list[messages.Request] = []
        self.cancelled = asyncio.Event()
        self.began = asyncio.Event()
        self.connections: set[listener.CallerConnection] = set()
        self._handle = handle
        self.listener = listener.Listener(
            handler=self._answer,
            get_limits=model.CallerLimits,
            sends_all_bodies=True,
        )

    async def _answer(self, request: messages.Request) -> listener.Response:
        self.requests.append(request)
        self.connections |= self.listener.connections
        self.began.set()
        try:
            if self._handle is not None:
                return await self._handle(request)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return _mark(request, 200, body=b"from " + request.body)


@contextlib.asynccontextmanager
async def _open(handle=None):
    """Opens a sender with one helper; yields both."""
    helper = _Helper(handle)
    with ports.PortRange(count=_PORTS_PER_HOST) as reserved:
        host = fakes.make_host("helper", port=reserved.first)
        await helper.listener.start(host.control_address)
        sender = _Sender(host)
        try:
            yield sender, helper
        finally:
            sender.relay.close()
            helper.listener.stop()


@contextlib.asynccontextmanager
async def _open_scripted(script):
    """Opens a sender with a helper that follows a script per connection.

    Yields:
      The sender and a list of the request heads that the helper has read.
    """
    heads: list[bytes] = []
    tasks = set()

    async def serve(reader, writer):
        tasks.add(asyncio.current_task())
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    heads.append(await reader.readuntil(b"\r\n\r\n"))
                    await script(writer)
        finally:
            writer.close()

    with ports.PortRange(count=_PORTS_PER_HOST) as reserved:
        host = fakes.make_host("helper", port=reserved.first)
        server = await asyncio.start_server(serve, *host.control_address)
        sender = _Sender(host)
        try:
            yield sender, heads
        finally:
            sender.relay.close()
            server.close()
            for task in tasks:
                task.cancel()


async def _wait_until(condition) -> None:
    async with asyncio.timeout(2.0):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


async def test_request_is_passed_on_as_it_came():
    async with _open() as (sender, helper):
        request = fakes.make_request(
            "/find/x?q=%20&q",
            method="POST",
            headers=(("Accept", "a"), ("accept", "b"), ("X-Key", "k")),
            body=b"body",
        )
        result = await sender.send(request)
        assert result.answered and result.helper == "helper"
        assert result.status == 200 and result.body == b"from body"
        assert result.reason == "" and not result.may_have_run
        (received,) = helper.requests
        assert received.method == request.method
        assert received.target == request.target
        assert received.body == request.body
        # What is sent beside the caller's headers: budget, mark and length.
        assert received.headers[: len(request.headers)] == request.headers
        assert [key for key, _ in received.headers[len(request.headers) :]] == [
            b"x-budget",
            relay.RELAYED,
            b"Content-Length",
        ]
        assert received.get_header(relay.RELAYED) == b"own"
        assert relay.is_relayed(received)
        assert sender.counts == ["relay_answered"]
        assert sender.relay.in_flight == 0


async def test_time_budget_counts_down_and_replaces_that_of_the_caller():
    async with _open() as (sender, helper):
        request = fakes.make_request(headers=(("X-Budget", "90000"),))
        await sender.send(request, remaining_s=1.5)
        await sender.send(request, remaining_s=0.5)
        budgets = [
            value
            for each in helper.requests
            for key, value in each.headers
            if key.lower() == b"x-budget"
        ]
        assert len(budgets) == 2
        assert 1300 < int(budgets[0]) <= 1500
        assert 300 < int(budgets[1]) <= 500


async def test_hop_by_hop_headers_and_marks_are_removed_both_ways():
    async def handle(request):
        return _mark(
            request,
            503,
            (
                (b"Retry-After", b"0.25"),
                (b"eelgrasshall-relayed", b"backend"),
                (b"X-Seal", b"s"),
            ),
            b"busy",
        )

    async with _open(handle) as (sender, helper):
        helper.listener.start_draining()
        result = await sender.send(
            fakes.make_request(
                headers=(
                    ("Connection", "close, X-Hop"),
                    ("X-Hop", "1"),
                    ("Keep-Alive", "timeout=3"),
                    ("X-Target", "s1"),
                )
            )
        )
        names = {key.lower() for key, _ in helper.requests[0].headers}
        assert not names & {
            b"connection",
            b"x-hop",
            b"keep-alive",
            b"x-target",
        }
        # A refusal of the helper is an answer like any other.
        assert result.answered and result.status == 503
        assert result.headers == [
            (b"Retry-After", b"0.25"),
            (b"X-Seal", b"s"),
            (b"x-id", b"a1"),
        ]
        assert result.body == b"busy"
        await _wait_until(lambda: sender.connection_count == 0)


async def test_relayed_request_is_not_relayed_again():
    async with _open() as (sender, helper):
        request = fakes.make_request(
            headers=(("Eelgrasshall-Relayed", "other"),)
        )
        assert relay.is_relayed(request)
        result = await sender.send(request)
        assert result.not_run and result.reason == "relayed before"
        assert helper.requests == [] and sender.connection_count == 0


async def test_connection_is_used_again_for_idempotent_requests_only():
    async with _open() as (sender, helper):
        for _ in range(3):
            assert (await sender.send()).answered
        assert len(helper.connections) == 1
        for count in (2, 3):
            assert (await sender.send(idempotent=False)).answered
            assert len(helper.connections) == count


async def test_idle_connection_is_closed(monkeypatch):
    monkeypatch.setattr(relay, "IDLE_TIMEOUT_S", 0.05)
    async with _open() as (sender, helper):
        await sender.send()
        assert sender.connection_count == 1
        await _wait_until(lambda: sender.connection_count == 0)
        await _wait_until(lambda: not helper.listener.connections)
        assert (await sender.send()).answered
        assert len(helper.connections) == 2


async def test_connection_in_use_is_not_closed_as_idle(monkeypatch):
    monkeypatch.setattr(relay, "IDLE_TIMEOUT_S", 0.05)

    async def handle(request):
        await asyncio.sleep(0.15)
        return _mark(request, 200)

    async with _open(handle) as (sender, helper):
        assert (await sender.send()).answered
        assert (await sender.send()).answered
        assert len(helper.connections) == 1


async def test_concurrent_requests_get_their_own_answers(monkeypatch):
    monkeypatch.setattr(relay, "MAX_IDLE_CONNECTIONS", 8)
    generator = random.Random(3)

    async def handle(request):
        await asyncio.sleep(generator.uniform(0.0, 0.05))
        return _mark(request, 200, body=request.body)

    async with _open(handle) as (sender, helper):

        def make(number: int) -> messages.Request:
            request = fakes.make_request(method="POST", body=b"%d" % number)
            request.headers[1] = (b"X-Id", b"id%d" % number)
            return request

        for idempotent in (True, False):
            sends = [
                asyncio.ensure_future(
                    sender.send(make(i), idempotent=idempotent)
                )
                for i in range(50)
            ]
            await asyncio.sleep(0)
            assert sender.relay.in_flight == 50
            results = await asyncio.gather(*sends)
            for number, result in enumerate(results):
                assert result.answered and result.body == b"%d" % number
                assert result.headers == [(b"x-id", b"id%d" % number)]
        assert len(helper.requests) == 100
        assert sender.relay.in_flight == 0
        assert sender.connection_count == 8


async def test_helper_with_too_many_requests_in_flight_gets_no_more(
    monkeypatch,
):
    monkeypatch.setattr(relay_choice, "MAX_IN_FLIGHT_PER_HELPER", 2)

    async def handle(request):
        await asyncio.sleep(0.1)
        return _mark(request, 200)

    async with _open(handle) as (sender, helper):
        results = await asyncio.gather(*(sender.send() for _ in range(5)))
        assert sum(each.answered for each in results) == 2
        assert [each.reason for each in results if each.not_run] == [
            "no helper"
        ] * 3
        assert len(helper.requests) == 2
        assert (await sender.send()).answered


async def test_second_helper_is_tried_if_the_first_is_not_reached(first_port):
    helper = _Helper()
    host = fakes.make_host("up", port=first_port)
    await helper.listener.start(host.control_address)
    sender = _Sender(fakes.make_host("down", port=first_port + 4), host)
    result = await sender.send(idempotent=False)
    assert result.answered and result.helper == "up"
    assert sender.counts == ["relay_not_run", "relay_answered"]
    # Then the first one is avoided for a while.
    sender.counts.clear()
    assert (await sender.send()).answered
    assert sender.counts == ["relay_answered"]
    assert len(helper.requests) == 2
    sender.relay.close()
    helper.listener.stop()


async def test_request_that_reached_no_helper_has_not_run(first_port):
    down = [fakes.make_host(f"h{i}", port=first_port + 3 * i) for i in range(3)]
    sender = _Sender(*down)
    result = await sender.send()
    assert result.not_run and not result.may_have_run
    assert "ConnectionRefused" in result.reason
    # Two helpers at most.
    assert sender.counts == ["relay_not_run"] * 2
    # A helper that is avoided is tried if there is no other one.
    sender = _Sender(down[0])
    for _ in range(2):
        assert (await sender.send()).not_run
    assert sender.counts == ["relay_not_run"] * 2
    assert (await _Sender().send()).reason == "no helper"


async def test_this_host_is_not_its_own_helper():
    sender = _Sender(fakes.make_host("own"))
    assert (await sender.send()).reason == "no helper"


async def test_wait_for_a_connection_is_bounded(monkeypatch):
    async def hang(*args):
        await asyncio.Event().wait()

    monkeypatch.setattr(relay, "CONNECT_TIMEOUT_S", 0.05)
    sender = _Sender(fakes.make_host("h1"), fakes.make_host("h2", port=7004))
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop, "create_connection", hang)
    started_s = loop.time()
    result = await sender.send()
    assert result.not_run and "TimeoutError" in result.reason
    assert sender.counts == ["relay_not_run"] * 2
    assert 0.09 < loop.time() - started_s < 1.0
    # The deadline bounds it as well.
    started_s = loop.time()
    monkeypatch.setattr(relay, "CONNECT_TIMEOUT_S", 1.0)
    result = await sender.send(remaining_s=0.05)
    assert result.not_run
    assert loop.time() - started_s < 0.5


async def test_connection_lost_before_anything_is_sent_is_not_run(
    monkeypatch, first_port
):
    connect = relay.Relay._connect

    async def connect_and_lose(self, address, deadline_s):
        connection = await connect(self, address, deadline_s)
        if address == hosts[0].control_address:
            connection.connection_lost(None)
        return connection

    monkeypatch.setattr(relay.Relay, "_connect", connect_and_lose)
    first, second = _Helper(), _Helper()
    hosts = [
        fakes.make_host(f"h{i}", port=first_port + 4 * i) for i in range(2)
    ]
    await first.listener.start(hosts[0].control_address)
    await second.listener.start(hosts[1].control_address)
    sender = _Sender(*hosts)
    result = await sender.send(idempotent=False)
    assert result.answered and result.helper == "h1"
    assert first.requests == [] and len(second.requests) == 1
    sender.relay.close()
    first.listener.stop()
    second.listener.stop()


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    "pieces",
    [
        [],
        [_ANSWER[:20]],
        [_ANSWER[:-1]],
        [b"HTTP/1.1 200 OK\r\nEelgrasshall-Relayed: 1\r\n\r\nabc"],
        [
            b"HTTP/1.1 200 OK\r\nEelgrasshall-Relayed: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        ],
        [b"\x16\x03\x01 no http\r\n\r\n"],
        [_ANSWER + b"garbage"],
        [_ANSWER + _ANSWER],
        [_ANSWER.replace(b"a1", b"a2")],
        [
            b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n"
            b"Connection: upgrade\r\n\r\n"
        ],
    ],
    ids=[
        "nothing",
        "part of the head",
        "part of the body",
        "no length",
        "part of the chunks",
        "no http",
        "garbage after the answer",
        "second answer",
        "answer to another request",
        "upgrade",
    ],
)
async def test_request_without_complete_answer_may_have_run(
    pieces, idempotent, first_port
):
    async def script(writer):
        for piece in pieces:
            writer.write(piece)
        await writer.drain()
        writer.close()

    spare = _Helper()
    spare_host = fakes.make_host("spare", port=first_port)
    await spare.listener.start(spare_host.control_address)
    async with _open_scripted(script) as (scripted, heads):
        sender = _Sender(*scripted.hosts, spare_host)
        result = await sender.send(idempotent=idempotent)
        assert result.may_have_run and not result.not_run
        assert result.ending is relay.Ending.LOST and result.reason
        assert result.status == 0 and result.body == b""
        # Not sent a second time, neither here nor elsewhere.
        await asyncio.sleep(0.02)
        assert len(heads) == 1 and spare.requests == []
        assert sender.counts == ["relay_lost"]
        assert sender.connection_count == 0 and sender.relay.in_flight == 0
        assert sender.relay.receive_buffer.size == 0
    spare.listener.stop()


async def test_helper_that_dies_with_the_request_may_have_run_it():
    async def script(writer):
        writer.transport.abort()

    async with _open_scripted(script) as (sender, heads):
        result = await sender.send()
        assert result.ending is relay.Ending.LOST
        assert len(heads) == 1


async def test_kept_connection_that_ends_may_have_run_the_request():
    async def script(writer):
        if len(heads) == 1:
            writer.write(_ANSWER)
        else:
            writer.transport.abort()

    async with _open_scripted(script) as (sender, heads):
        assert (await sender.send()).answered
        assert (await sender.send()).may_have_run
        assert len(heads) == 2


async def test_bytes_without_a_request_in_flight_close_the_connection():
    async def script(writer):
        writer.write(_ANSWER)
        await writer.drain()
        if len(heads) == 1:
            await asyncio.sleep(0.05)
            writer.write(_ANSWER.replace(b"abc", b"old"))

    async with _open_scripted(script) as (sender, heads):
        assert (await sender.send()).body == b"abc"
        assert sender.connection_count == 1
        await _wait_until(lambda: sender.connection_count == 0)
        assert (await sender.send()).body == b"abc"


@pytest.mark.parametrize(
    "piece",
    [
        b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 9000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"
        + b"b" * (connections.MAX_BODY_BYTES + 1),
    ],
    ids=["head", "body"],
)
async def test_answer_beyond_a_limit_is_given_up(piece):
    async def script(writer):
        writer.write(piece)
        await asyncio.sleep(5.0)

    async with _open_scripted(script) as (sender, _):
        result = await sender.send(remaining_s=4.0)
        assert result.ending is relay.Ending.LOST
        assert sender.connection_count == 0
        assert sender.relay.receive_buffer.size == 0


async def test_body_limit_is_lower_while_many_answers_arrive():
    async def script(writer):
        body = b"b" * (connections.MAX_BODY_BYTES_CROWDED + 1)
        writer.write(
            b"HTTP/1.1 200 OK\r\nEelgrasshall-Relayed: 1\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        )

    async with _open_scripted(script) as (sender, _):
        assert (await sender.send()).answered
        sender.relay.receive_buffer.size = connections.MAX_BUFFERED_BYTES
        assert (await sender.send()).ending is relay.Ending.LOST


async def test_interim_and_chunked_answers_are_understood():
    async def script(writer):
        writer.write(
            b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\n"
            b"Transfer-Encoding: chunked\r\nEelgrasshall-Relayed: 1\r\n"
            b"X-Seal: s\r\n\r\n3\r\nabc\r\n0\r\nX-Trailer: t\r\n\r\n"
        )

    async with _open_scripted(script) as (sender, _):
        result = await sender.send()
        assert result.answered and result.body == b"abc"
        assert result.headers == [(b"X-Seal", b"s")]


@pytest.mark.parametrize("status", [200, 400, 404, 503])
async def test_answer_without_mark_is_not_passed_on(status):
    async def handle(request):
        return listener.Response(status, [(b"X-Id", b"a1")], b"unmarked")

    async with _open(handle) as (sender, helper):
        result = await sender.send()
        # An earlier build answers 404 to what it does not know.
        assert result.not_run == (status == 404)
        assert result.may_have_run == (status != 404)
        assert result.reason == f"unmarked {status}"
        assert result.body == b"" and result.status == 0


async def test_helper_of_an_earlier_build_is_followed_by_another_one(
    first_port,
):
    async def handle(request):
        return listener.Response(404, [], b"")

    earlier, later = _Helper(handle), _Helper()
    hosts = [
        fakes.make_host(f"h{i}", port=first_port + 4 * i) for i in range(2)
    ]
    await earlier.listener.start(hosts[0].control_address)
    await later.listener.start(hosts[1].control_address)
    sender = _Sender(*hosts)
    result = await sender.send(idempotent=False)
    assert result.answered and result.helper == "h1"
    assert len(earlier.requests) == 1
    assert (await sender.send()).answered
    assert len(earlier.requests) == 1
    sender.relay.close()
    earlier.listener.stop()
    later.listener.stop()


@pytest.mark.parametrize(
    ("status", "passed_over"), [(503, True), (502, False), (200, False)]
)
async def test_helper_that_has_lost_its_links_is_passed_over(
    status, passed_over, first_port
):
    async def handle(request):
        return _mark(request, status, linked=False)

    first, second = _Helper(handle), _Helper()
    hosts = [
        fakes.make_host("first", port=first_port),
        fakes.make_host("second", port=first_port + 4),
    ]
    for helper, host in zip((first, second), hosts, strict=True):
        await helper.listener.start(host.control_address)
    sender = _Sender(*hosts)
    result = await sender.send()
    assert result.answered
    assert result.helper == ("second" if passed_over else "first")
    assert len(second.requests) == passed_over
    sender.relay.close()
    for helper in (first, second):
        helper.listener.stop()


async def test_marked_404_is_an_answer():
    async def handle(request):
        return _mark(request, 404, body=b"no route")

    async with _open(handle) as (sender, _):
        result = await sender.send()
        assert result.answered and result.status == 404
        assert result.headers == [(b"x-id", b"a1")]


async def test_nothing_is_sent_shortly_before_the_deadline():
    async with _open() as (sender, helper):
        for remaining_s in (0.004, 0.0, -1.0):
            result = await sender.send(remaining_s=remaining_s)
            assert result.not_run and result.reason == "too little time left"
        assert helper.requests == [] and sender.counts == []
        assert sender.connection_count == 0


async def test_request_ends_at_its_deadline_here_and_at_the_helper():
    async def handle(request):
        await asyncio.sleep(5.0)

    async with _open(handle) as (sender, helper):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        result = await sender.send(remaining_s=0.1)
        assert 0.09 < loop.time() - started_s < 0.6
        assert result.ending is relay.Ending.TIMED_OUT
        assert result.may_have_run and result.helper == "helper"
        async with asyncio.timeout(0.5):
            await helper.cancelled.wait()
        assert len(helper.requests) == 1
        assert sender.connection_count == 0 and sender.relay.in_flight == 0


async def test_answer_that_trickles_past_the_deadline_is_a_time_out():
    async def script(writer):
        for at in range(len(_ANSWER)):
            writer.write(_ANSWER[at : at + 1])
            await asyncio.sleep(0.01)

    async with _open_scripted(script) as (sender, _):
        result = await sender.send(remaining_s=0.1)
        assert result.ending is relay.Ending.TIMED_OUT
        assert sender.relay.receive_buffer.size == 0


@pytest.mark.parametrize("kept", [False, True])
async def test_request_of_a_caller_who_leaves_is_cancelled_at_the_helper(kept):
    async def handle(request):
        if request.method == b"POST":
            await asyncio.sleep(5.0)
        return _mark(request, 200)

    async with _open(handle) as (sender, helper):
        if kept:
            await sender.send()
        helper.began.clear()
        task = asyncio.ensure_future(
            sender.send(fakes.make_request(method="POST"))
        )
        async with asyncio.timeout(2.0):
            await helper.began.wait()
        assert sender.relay.in_flight == 1
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        async with asyncio.timeout(0.5):
            await helper.cancelled.wait()
        assert sender.connection_count == 0 and sender.relay.in_flight == 0


async def test_caller_who_leaves_during_the_connect_leaves_nothing_behind():
    async with _open() as (sender, helper):
        task = asyncio.ensure_future(sender.send())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.05)
        assert helper.requests == [] and not helper.listener.connections
        assert sender.connection_count == 0 and sender.relay.in_flight == 0


async def test_connection_is_not_kept_while_the_request_is_unsent():
    async def script(writer):
        writer.write(_ANSWER)
        await asyncio.sleep(5.0)

    async with _open_scripted(script) as (sender, _):
        # More than the buffers of a connection that is not read take.
        request = fakes.make_request(method="POST", body=b"b" * 20_000_000)
        assert (await sender.send(request)).answered
        assert sender.connection_count == 0


async def test_close_ends_requests_in_flight():
    async def handle(request):
        await asyncio.sleep(5.0)

    async with _open(handle) as (sender, helper):
        task = asyncio.ensure_future(sender.send())
        async with asyncio.timeout(2.0):
            await helper.began.wait()
        sender.relay.close()
        assert (await task).ending is relay.Ending.LOST
        assert sender.connection_count == 0
        assert (await sender.send()).not_run
        assert len(helper.requests) == 1


async def test_workspaces_are_relayed_to_hosts_that_know_them_only():
    # Others would send the request without the name of its workspace.
    async with _open() as (sender, helper):
        workspace = fakes.make_workspace("acme", "k-1")
        (known,) = sender.relay._list_helpers()

        async def send(**options):
            return await sender.relay.send(
                fakes.make_request(),
                deadline_s=asyncio.get_running_loop().time() + 2.0,
                idempotent=True,
                **options,
            )

        for options in (
            {"workspace": workspace, "has_workspaces": True},
            # A request of a keyless route.
            {"has_workspaces": True},
        ):
            result = await send(**options)
            assert result.not_run and result.reason == "no helper"
        assert helper.requests == []
        assert (await send()).answered
        sender.relay._list_helpers = lambda: [
            known._replace(knows_workspaces=True)
        ]
        result = await send(workspace=workspace, has_workspaces=True)
        assert result.answered
        received = helper.requests[-1]
        assert relay.is_relayed(received)
        assert received.get_header(messages.RELAYED_WORKSPACE) == b"acme"
        assert received.get_header(messages.RELAYED) is None


def test_headers_of_a_relayed_request_stay_within_the_helpers_limit():
    # A request that a caller may send must not be refused by the helper.
    request = fakes.make_request(received_s=0.0)
    name = "w" * messages.MAX_WORKSPACE_NAME_LENGTH
    data = messages.encode_relayed_request(
        request,
        names=fakes.NAMES,
        remaining_s=1e6,
        relayed_by="h" * 253,
        workspace=fakes.make_workspace(name),
    )
    caller_bytes = sum(
        len(key) + len(value) for key, value in request.headers
    ) + len(request.target)
    assert len(data) - caller_bytes <= host_module.RELAY_HEADER_BYTES


@contextlib.asynccontextmanager
async def _open_on_free_port(script):
    """Opens a sender with a helper that follows a script per connection.

    Yields:
      The sender and the request heads that the helper has read, by connection.
    """
    heads: list[list[bytes]] = []
    tasks = set()

    async def serve(reader, writer):
        tasks.add(asyncio.current_task())
        own_heads = []
        heads.append(own_heads)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    own_heads.append(await reader.readuntil(b"\r\n\r\n"))
                    await script(writer, len(own_heads))
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    sender = _Sender(
        fakes.make_host("helper")._replace(
            control_address=model.Address("127.0.0.1", port)
        )
    )
    try:
        yield sender, heads
    finally:
        sender.relay.close()
        server.close()
        for task in tasks:
            task.cancel()


@pytest.mark.parametrize(
    "late",
    [
        _EARLIER_ANSWER.replace(b"Relayed: 1", b"Relayed: 2"),
        _EARLIER_ANSWER,
        _EARLIER_ANSWER.replace(b"200 OK", b"503 Busy"),
        b"HTTP/1.1 503 Busy\r\nEelgrasshall-Relayed: 0\r\n"
        b"Content-Length: 0\r\n\r\n",
        b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        _ANSWER.replace(b"X-Id: a1", b"X-Id: a0"),
        _ANSWER.replace(b"X-Id: a1", b"X-Id: a0\r\nX-Id: a1"),
        _ANSWER.replace(b"X-Id: a1", b"X-Id: a1\r\nX-Id: a1"),
        _ANSWER[:16] + _ANSWER,
        _ANSWER[:22] + _ANSWER,
    ],
    ids=[
        "search",
        "search of an earlier build",
        "refusal",
        "no links",
        "not known",
        "another id",
        "two ids",
        "id twice",
        "cut in the reason phrase",
        "cut in the id",
    ],
)
async def test_answer_to_a_request_before_is_not_that_of_the_next_one(late):
    # A late or second answer without an id passed for the answer to the next
    # request on a kept connection, and "not run" of it for that of the request,
    # which was then sent to a second helper.
    async def script(writer, number):
        writer.write(_ANSWER if number == 1 else late)

    async with _open_on_free_port(script) as (sender, heads):
        assert (await sender.send()).answered
        result = await sender.send()
        assert result.ending is relay.Ending.LOST, result
        assert result.status == 0 and result.body == b""
        assert [len(each) for each in heads] == [2]
        assert sender.connection_count == 0
        # The next request uses another connection.
        assert (await sender.send()).answered
        assert [len(each) for each in heads] == [2, 1]


@pytest.mark.parametrize("late", [_EARLIER_ANSWER, _EARLIER_ANSWER_WITH_ID])
async def test_connection_to_a_host_of_an_earlier_build_is_used_once(late):
    # It answers searches and refusals without an id, so that a late one could
    # not be told from the answer to the next request.
    async def script(writer, number):
        writer.write(late)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(_EARLIER_ANSWER.replace(b"abc", b"old"))

    async with _open_on_free_port(script) as (sender, heads):
        for _ in range(3):
            result = await sender.send()
            assert result.answered and result.body == b"abc"
            assert sender.connection_count == 0
            await asyncio.sleep(0.02)
        assert [len(each) for each in heads] == [1, 1, 1]


@pytest.mark.parametrize("linked", [True, False])
def test_answers_of_a_helper_bear_the_id_of_their_request(linked):
    request = fakes.make_request(received_s=0.0)
    for headers in ((), ((b"X-Id", b"a1"), (b"X-Seal", b"s"))):
        response = _mark(request, 503, headers, linked=linked)
        ids = [each for each in response.headers if each[0].lower() == b"x-id"]
        assert ids == [(b"x-id", b"a1")]
        # The values that hosts of the build before know.
        marks = [v for k, v in response.headers if k == b"Eelgrasshall-Relayed"]
        assert marks == [b"2" if linked else b"0"]
    # Without an id the connection is not kept.
    request = request._replace(headers=[])
    response = _mark(request, 400, linked=linked)
    mark = b"1" if linked else b"0"
    assert response.headers == [(b"Eelgrasshall-Relayed", mark)]


async def test_request_is_not_sent_behind_bytes_that_have_arrived():
    # They were read after it was sent, so that it may have run and failed.
    async def script(writer, number):
        writer.write(_ANSWER)
        writers.append(writer)

    writers = []
    async with _open_on_free_port(script) as (sender, heads):
        assert (await sender.send()).answered
        # Sent at once, as nothing waits to be sent.
        writers[0].write(_EARLIER_ANSWER)
        assert (await sender.send()).answered
        assert [len(each) for each in heads] == [1, 1]


async def test_relayed_head_request_gets_the_whole_answer():
    # The parser of answers takes a length for that of a body that follows; the
    # relaying host leaves the body out.
    async with _open() as (sender, _):
        result = await sender.send(fakes.make_request(method="HEAD"))
        assert result.answered and result.body == b"from "
