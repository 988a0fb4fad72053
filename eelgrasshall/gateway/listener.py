"""Connections of callers, HTTP/1.1 by a library's parser.

Requests of one connection are answered in their order, one at a time.  What
breaks a limit or is no request is refused before it costs any work.  A caller
that closes its connection cancels its request.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import httptools

from eelgrasshall.gateway import connections
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model

# Requests that a caller may send before earlier ones are answered.
MAX_PIPELINED = 32
# How often connections are looked through for those that take too long.
SWEEP_S = 0.5

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Response(NamedTuple):
    """What a handler answers.

    Attributes:
      status: The HTTP status.
      headers: The headers.
      body: The body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


Handler = Callable[[messages.Request], Awaitable[Response]]


class Listener:
    """One listening address and its connections.

    Args:
      handler: Answers a request.
      read_limits: Returns the limits in force.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        get_limits: Callable[[], model.CallerLimits],
    ):
        self.handler = handler
        self.get_limits = get_limits
        self.closing = False
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self, address: model.Address) -> None:
        """Opens the address.

        Raises:
          OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(listener=self),
            address.host,
            address.port,
            backlog=1024,
        )
        self._timer = loop.call_later(SWEEP_S, self._sweep)

    def start_draining(self) -> None:
        """Lets each connection end with its next response."""
        self.closing = True

    def close_idle(self) -> None:
        """Closes the connections on which nothing is under way."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    @property
    def busy_count(self) -> int:
        """Connections with a request that is not answered."""
        return sum(1 for c in self.connections if not c.is_idle)

    def stop(self) -> None:
        """Closes the address and all connections."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()

    def stop_accepting(self) -> None:
        """Accepts no further connections."""
        if self._server is not None:
            self._server.close()

    def _sweep(self) -> None:
        """Ends connections that take longer than the limits allow."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        limits = self.get_limits()
        for connection in list(self.connections):
            connection.enforce_times(now, limits)
        self._timer = loop.call_later(SWEEP_S, self._sweep)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Args:
      listener: The listener that accepted it.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_changed_s",
        "_head_bytes",
        "_headers",
        "_in_body",
        "_listener",
        "_loop",
        "_parser",
        "_queue",
        "_receiving",
        "_refusal",
        "_started_s",
        "_target",
        "_task",
        "_transport",
    )

    def __init__(self, *, listener: Listener):
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[messages.Request] = collections.deque()
        self._task: asyncio.Task | None = None
        self._refusal = 0
        self._receiving = False
        self._in_body = False
        self._head_bytes = 0
        self._started_s = 0.0
        self._changed_s = self._loop.time()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or answered."""
        return self._task is None and not self._receiving and not self._queue

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes a new connection in."""
        self._transport = transport
        connections.set_keepalive(transport)
        self._listener.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels what the caller waits for."""
        self._listener.connections.discard(self)
        self._queue.clear()
        self._transport = None
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> None:
        """Lets the transport close; a caller that ends does not wait."""

    def close(self) -> None:
        """Closes the connection once all is sent."""
        if self._transport is not None:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Parses what the caller sends."""
        if self._refusal:
            return
        if not self._receiving:
            self._started_s = self._loop.time()
            self._receiving = True
        if not self._in_body:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass
        except (httptools.HttpParserError, httptools.HttpParserCallbackError):
            self._refuse(self._refusal or 400)
            return
        if self._refusal:
            self._refuse(self._refusal)
            return
        limits = self._listener.get_limits()
        if (
            self._receiving
            and not self._in_body
            and self._head_bytes > limits.max_header_bytes
        ):
            self._refuse(431)

    def enforce_times(self, now: float, limits: model.CallerLimits) -> None:
        """Ends the connection if the caller takes too long."""
        if self._task is not None or self._queue or self._refusal:
            return
        if self._receiving:
            allowed_s = limits.header_timeout_s
            if self._in_body:
                allowed_s += limits.idle_timeout_s
            if now - self._started_s > allowed_s:
                self._refuse(408)
        elif now - self._changed_s > limits.idle_timeout_s:
            self.close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Keeps a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps one header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Checks the head before the body is read."""
        limits = self._listener.get_limits()
        size = sum(len(k) + len(v) + 4 for k, v in self._headers)
        if size + len(self._target) > limits.max_header_bytes:
            self._refusal = 431
            raise ValueError("head too large")
        lengths = set()
        for key, value in self._headers:
            name = key.lower()
            if name == b"content-length":
                lengths.add(value)
                if not value.isdigit():
                    self._refusal = 400
                elif int(value) > limits.max_body_bytes:
                    self._refusal = 413
            elif name == b"expect" and value.lower() == b"100-continue":
                self._transport.write(_CONTINUE)
        if len(lengths) > 1:
            self._refusal = 400
        if self._refusal:
            raise ValueError("refused")
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        """Keeps a piece of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._listener.get_limits().max_body_bytes:
            self._refusal = 413
            raise ValueError("body too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Queues a whole request."""
        self._in_body = False
        self._receiving = False
        self._head_bytes = 0
        if len(self._queue) >= MAX_PIPELINED:
            self._refusal = 400
            return
        self._queue.append(
            messages.Request(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=b"".join(self._body),
                received_s=self._started_s,
            )
        )
        if not self._parser.should_keep_alive():
            self._queue[-1].headers.append((b"Connection", b"close"))
        if self._task is None:
            self._task = self._loop.create_task(self._answer_all())

    async def _answer_all(self) -> None:
        """Answers the queued requests in their order."""
        try:
            while self._queue and self._transport is not None:
                request = self._queue.popleft()
                response = await self._listener.handler(request)
                self._changed_s = self._loop.time()
                if self._transport is None:
                    return
                closing = self._listener.closing or _wants_close(request)
                self._transport.write(
                    messages.encode_response(
                        response.status,
                        response.body,
                        response.headers,
                        closing=closing,
                    )
                )
                if closing and not (self._queue or self._receiving):
                    self._transport.close()
                    return
            if self._refusal and self._transport is not None:
                self._end_with(self._refusal)
        finally:
            self._task = None

    def _refuse(self, status: int) -> None:
        """Answers input that is no acceptable request, and closes."""
        self._refusal = status
        if self._transport is not None and self._task is None:
            self._end_with(status)

    def _end_with(self, status: int) -> None:
        """Sends a refusal as the last response."""
        self._transport.write(messages.encode_response(status, closing=True))
        self._transport.close()


def _wants_close(request: messages.Request) -> bool:
    """Returns whether the caller closes after this request."""
    return any(
        key.lower() == b"connection" and b"close" in value.lower()
        for key, value in request.headers
    )
