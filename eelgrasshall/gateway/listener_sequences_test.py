"""Tests of the listener with sequences of events on a connection.

Whatever callers, handlers and timers do, and in any order, a caller must get
one response to each request, in order, whole or visibly cut; never a second
one, and none without a request that waits for it.
"""

import asyncio
import re
from typing import NamedTuple

import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import listener
from eelgrasshall.gateway import model
from eelgrasshall.gateway import virtual_time

_LIMITS = model.CallerLimits(
    max_header_bytes=400,
    max_body_bytes=40,
    header_timeout_s=1.0,
    idle_timeout_s=3.0,
)
# Iterations of the event loop in which all that is due has happened.
_SETTLING_ITERATIONS = 6

# Requests by kind; each has its number in its target.
_REQUESTS = {
    "get": b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n",
    "head": b"HEAD /%d HTTP/1.1\r\nHost: a\r\n\r\n",
    "post": b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde",
    "chunked": b"POST /%d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
    b"\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
    "expecting": b"POST /%d HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
    b"Content-Length: 5\r\n\r\nabcde",
    "closing": b"GET /%d HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    "old": b"GET /%d HTTP/1.0\r\nHost: a\r\n\r\n",
    "upgrade": b"GET /%d HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\n"
    b"Upgrade: h2c\r\n\r\n",
    "large": b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\nabc",
    "long": b"GET /%d HTTP/1.1\r\nX-A: " + b"a" * 500 + b"\r\n\r\n",
    "invalid": b"GET /%d HTTP/1.1\r\nContent-Length: x\r\n\r\n",
}


class _Send(NamedTuple):
    """Sends requests together, and a part of them only if cut.

    Attributes:
      kinds: Their kinds.
      cut: How many bytes of the last one are held back until later.
    """

    kinds: tuple[str, ...]
    cut: int


class _Transport(fakes.Transport):
    """A transport of one connection.

    Like one of asyncio, it ends once what was written before the close is sent.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__()
        self.protocol: listener.CallerConnection | None = None
        self.data = b""
        self.ended = False
        # Whether the caller reads slowly, so that bytes wait to be sent.
        self.slow = False
        self._loop = loop

    def write(self, data: bytes) -> None:
        if not self.ended:
            self.data += data

    def write_eof(self) -> None:
        assert not self.closed

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if not self.slow:
                self.end()

    abort = close

    def end(self) -> None:
        """Ends the connection."""
        if not self.ended:
            self.closed = self.ended = True
            self._loop.call_soon(self.protocol.connection_lost, None)


class _Response(NamedTuple):
    """A response that a caller has read.

    Attributes:
      status: The HTTP status.
      closing: Whether it announces the end of the connection.
      body: The body.
    """

    status: int
    closing: bool
    body: bytes


class _Caller:
    """A caller, its connection and the handler of its requests."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self.transport = _Transport(self._loop)
        self.listener = listener.Listener(
            handler=self._handle,
            get_limits=lambda: _LIMITS,
            on_error=lambda request, error: None,
        )
        self.connection = listener.CallerConnection(listener=self.listener)
        self.transport.protocol = self.connection
        self.connection.connection_made(self.transport)
        # The kinds of all requests of which a part was sent, in order.
        self.kinds: list[str] = []
        self.complete_count = 0
        self._held_back = b""
        self._waiting: asyncio.Future | None = None
        self._handled: list[int] = []

    async def _handle(self, request) -> listener.Response:
        number = int(request.target[1:])
        assert self._waiting is None, "two requests at a time"
        assert number not in self._handled, "handled twice"
        self._handled.append(number)
        self._waiting = self._loop.create_future()
        try:
            status = await self._waiting
        finally:
            self._waiting = None
        if status is None:
            raise ValueError("error of the handler")
        return listener.Response(status, [], b"body of %d" % number)

    def _receive(self, data: bytes) -> None:
        if not self.transport.closed:
            self.connection.data_received(data)

    async def run(self, step) -> None:
        """Runs a step and checks what the caller has read so far."""
        if isinstance(step, _Send):
            self._send(step)
        else:
            getattr(self, step)()
        for _ in range(_SETTLING_ITERATIONS):
            await asyncio.sleep(0)
        self.check()

    def _send(self, step: _Send) -> None:
        if self.transport.closed:
            return
        data, self._held_back = self._held_back, b""
        if data:
            self.complete_count += 1
        for kind in step.kinds:
            data += _REQUESTS[kind] % len(self.kinds)
            self.kinds.append(kind)
        self.complete_count += len(step.kinds)
        if step.kinds and step.cut:
            length = len(_REQUESTS[step.kinds[-1]] % (len(self.kinds) - 1))
            cut = min(step.cut, length - 1)
            data, self._held_back = data[:-cut], data[-cut:]
            self.complete_count -= 1
        self._receive(data)

    def send_blank_line(self) -> None:
        """Sends a blank line, as some callers do behind a body."""
        if not self._held_back:
            self._receive(b"\r\n")

    def send_garbage(self) -> None:
        """Sends bytes that are no request."""
        if not self._held_back:
            self.kinds.append("garbage")
            self._receive(b"\x16\x03\x01 no http\r\n\r\n")

    def answer(self) -> None:
        """Lets the handler answer."""
        if self._waiting is not None:
            self._waiting.set_result(200)

    def fail(self) -> None:
        """Lets the handler fail."""
        if self._waiting is not None:
            self._waiting.set_result(None)

    def cancel(self) -> None:
        """Cancels what the handler waits for."""
        if self._waiting is not None:
            self._waiting.cancel()

    def wait_long(self) -> None:
        """Enforces the time-outs after a long time."""
        self.connection.enforce_timeouts(self._loop.time() + 60.0, _LIMITS)

    def refuse_incomplete(self) -> None:
        """Refuses what is being received."""
        self.listener.refuse_incomplete()

    def start_draining(self) -> None:
        """Starts to drain."""
        self.listener.start_draining()

    def leave(self) -> None:
        """Closes the sending side of the caller."""
        if not self.transport.closed and not self.connection.eof_received():
            self.transport.close()

    def read_slowly(self) -> None:
        """Lets bytes wait to be sent."""
        self.transport.slow = True

    def read_on(self) -> None:
        """Lets all bytes be sent."""
        self.transport.slow = False
        if self.transport.closed:
            self.transport.end()

    def reset(self) -> None:
        """Resets the connection."""
        self.transport.end()

    def check(self) -> None:
        """Checks the responses that were written so far."""
        responses = self._read_responses()
        assert len(responses) <= len(self.kinds), "more responses than requests"
        for number, response in enumerate(responses):
            if response.status == 200:
                body = b"body of %d" % number
                if self.kinds[number] == "head":
                    body = b""
                assert response.body == body
            else:
                assert response.body == b""
            if response.closing:
                assert number == len(responses) - 1, "response after the last"

    def check_end(self) -> None:
        """Checks that no request waits for ever."""
        responses = self._read_responses()
        if self.transport.closed or any(each.closing for each in responses):
            return
        assert len(responses) >= self.complete_count, "request not answered"

    def _read_responses(self) -> list[_Response]:
        """Returns all final responses; fails unless they are whole."""
        data, responses = self.transport.data, []
        interim_number = None
        while data:
            head, found, data = data.partition(b"\r\n\r\n")
            assert found, head
            status = int(re.match(rb"HTTP/1\.1 (\d{3}) ", head)[1])
            if status == 100:
                # Only to a request that waits for it.
                assert interim_number != len(responses)
                interim_number = len(responses)
                assert self.kinds[interim_number] == "expecting", "unasked 100"
                continue
            length = int(re.search(rb"\r\nContent-Length: (\d+)", head)[1])
            if len(responses) < len(self.kinds) and (
                self.kinds[len(responses)] == "head"
            ):
                length = 0
            assert len(data) >= length
            responses.append(
                _Response(status, b"Connection: close" in head, data[:length])
            )
            data = data[length:]
        return responses


def _run(steps) -> None:
    """Runs steps, and then lets all handlers answer."""

    async def run():
        caller = _Caller()
        for step in steps:
            await caller.run(step)
        for _ in range(len(caller.kinds) + 1):
            await caller.run("answer")
        caller.check_end()
        # What is closed with a delay is closed then.
        await asyncio.sleep(1.0)
        await caller.run("read_on")
        caller.transport.end()
        for _ in range(_SETTLING_ITERATIONS):
            await asyncio.sleep(0)

    loop = virtual_time.VirtualTimeLoop()
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()


@pytest.mark.parametrize(
    "steps",
    [
        [_Send(("get", "get"), 0), "cancel", _Send(("get",), 0), "answer"],
        ["send_blank_line", "wait_long"],
        [_Send(("post",), 0), "answer", "send_blank_line", "refuse_incomplete"],
        [_Send(("get", "expecting"), 5), "answer", _Send((), 0), "answer"],
        [_Send(("get", "expecting"), 0), "answer", "answer"],
        # CASES
    ],
)
def test_response_is_that_of_the_request_that_waits(steps):
    _run(steps)


async def test_caller_is_told_to_go_on_once_it_is_its_turn():
    caller = _Caller()
    await caller.run(_Send(("get", "expecting"), 5))
    assert caller.transport.data == b""
    await caller.run("answer")
    assert caller.transport.data.endswith(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert caller.transport.data.count(b"HTTP/1.1 200 ") == 1
    await caller.run(_Send((), 0))
    await caller.run("answer")
    assert caller.transport.data.count(b"HTTP/1.1 200 ") == 2
    assert caller.transport.data.count(b"HTTP/1.1 100 ") == 1
