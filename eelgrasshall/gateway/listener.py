"""HTTP/1.1 server for callers' connections, based on httptools.

The requests of a connection are processed sequentially and answered in order.
Invalid requests and requests that exceed a limit are rejected before they
reach the handler.  A caller that closes its connection cancels its request.
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
from eelgrasshall.gateway import sockets

# Maximum number of pipelined requests that wait on one connection.
MAX_PIPELINED = 32
# Interval between checks of all connections for time-outs.
SWEEP_INTERVAL_S = 0.5
# How long an idle connection stays open while the listener drains: a caller
# that has just connected is about to send a request.
MIN_IDLE_S = 0.3
# How long a connection is read after the last response.  Closing it with unread
# bytes would reset it, and the caller might lose the end of the response.  Less
# than the 200 ms within which a request that crosses the close is not missed.
LINGER_S = 0.1
# Bytes that frame each byte of a body in the smallest chunks, rounded up.
MAX_FRAMING_RATIO = 16

_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Response(NamedTuple):
    """An HTTP response of a handler.

    Attributes:
      status: The HTTP status code.
      headers: The headers; hop-by-hop headers are not sent.
      body: The body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


Handler = Callable[[messages.Request], Awaitable[Response]]
ErrorCallback = Callable[[messages.Request, Exception], None]


class Listener:
    """A listening socket and its connections.

    Args:
      handler: Coroutine function that answers a request.
      get_limits: Returns the limits in force.
      on_error: Called with an error of the handler, and the request that is
        answered with 500 for it; by default the event loop logs the error.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        get_limits: Callable[[], model.CallerLimits],
        on_error: ErrorCallback | None = None,
    ):
        self.handler = handler
        self.get_limits = get_limits
        self._on_error = on_error
        self.draining = False
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, address: model.Address) -> None:
        """Starts to accept connections on an address.

        Raises:
          OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(listener=self),
            address.ip,
            address.port,
            backlog=1024,
        )
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def start_draining(self) -> None:
        """Closes each connection after its next response."""
        self.draining = True

    def close_idle(self) -> None:
        """Closes the connections that have no request in progress."""
        latest_s = asyncio.get_running_loop().time() - MIN_IDLE_S
        for connection in list(self.connections):
            connection.close_if_idle_since(latest_s)

    def refuse_incomplete(self) -> None:
        """Refuses the requests that are still being received."""
        for connection in list(self.connections):
            connection.refuse_incomplete()

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(1 for c in self.connections if not c.is_idle)

    def stop(self) -> None:
        """Closes the listening socket and all connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()

    def stop_accepting(self) -> None:
        """Closes the listening socket and keeps the open connections."""
        if self._server is not None:
            self._server.close()

    async def answer(self, request: messages.Request) -> Response:
        """Returns the handler's response, or 500 after an error of it.

        The request may have run, so the status promises nothing.
        """
        try:
            return await self.handler(request)
        except Exception as error:
            if self._on_error is not None:
                self._on_error(request, error)
            else:
                asyncio.get_running_loop().call_exception_handler(
                    {"message": "error of a handler", "exception": error}
                )
            return Response(500, [], b"")

    def _sweep(self) -> None:
        """Closes the connections that have timed out."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        limits = self.get_limits()
        for connection in list(self.connections):
            connection.enforce_timeouts(now, limits)
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)


class CallerConnection(asyncio.Protocol):
    """A caller's connection.

    Args:
      listener: The listener that accepted it.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_continue_due",
        "_error_status",
        "_finished",
        "_handler_task",
        "_header_bytes",
        "_headers",
        "_idle_since_s",
        "_idle_timeout_s",
        "_in_body",
        "_listener",
        "_loop",
        "_parser",
        "_queue",
        "_received_body_bytes",
        "_receiving",
        "_request_started_s",
        "_target",
        "_transport",
    )

    def __init__(self, *, listener: Listener):
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[messages.Request] = collections.deque()
        self._handler_task: asyncio.Task | None = None
        self._error_status = 0
        # Whether the caller waits to be told to send the body.
        self._continue_due = False
        self._finished = False
        self._receiving = False
        self._in_body = False
        self._header_bytes = 0
        self._received_body_bytes = 0
        self._request_started_s = 0.0
        self._idle_since_s = self._loop.time()
        self._idle_timeout_s = listener.get_limits().idle_timeout_s

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, waiting or processed."""
        return (
            self._handler_task is None
            and not self._receiving
            and not self._queue
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers a new connection with its listener."""
        self._transport = transport
        connections.set_keepalive(transport)
        self._listener.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Discards waiting requests and cancels the one in progress."""
        self._listener.connections.discard(self)
        self._queue.clear()
        self._transport = None
        if self._handler_task is not None:
            self._handler_task.cancel()

    def eof_received(self) -> None:
        """Lets the transport close; half-closed connections are unsupported."""

    def close(self) -> None:
        """Closes the connection after buffered data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def close_if_idle_since(self, latest_s: float) -> None:
        """Closes the connection if it has been idle since a monotonic time."""
        if (
            self.is_idle
            and not self._finished
            and self._idle_since_s <= latest_s
            and not self._has_unread_data()
        ):
            self.close()

    def refuse_incomplete(self) -> None:
        """Answers a request that is being received with 503."""
        if self._receiving and not self._queue and not self._error_status:
            self._reject(503)

    def _has_unread_data(self) -> bool:
        """Returns whether the kernel holds data that has not been read yet."""
        return self._transport is not None and sockets.has_unread_data(
            self._transport
        )

    def data_received(self, data: bytes) -> None:
        """Parses received data."""
        if self._error_status or self._finished:
            return
        if not self._receiving:
            # Blank lines before a request belong to none.
            self._header_bytes = 0
        if not self._in_body:
            self._header_bytes += len(data)
        else:
            self._received_body_bytes += len(data)
        try:
            while data:
                data = self._parse(data)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError):
            self._reject(self._error_status or 400)
            return
        if self._error_status:
            self._reject(self._error_status)
            return
        limits = self._listener.get_limits()
        if (
            (
                self._receiving
                and not self._in_body
                and self._header_bytes > limits.max_header_bytes
            )
            or self._receiving
            and self._in_body
            and self._is_framing_too_long()
        ):
            self._reject(431)

    def _parse(self, data: bytes) -> bytes:
        """Parses data; returns what is to be parsed after it.

        That is none, unless a request offers to use another protocol.  The
        parser then takes the end of its head for the end of the request.  The
        offer is declined by parsing the head again without it.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            rest = data[offer.args[0] :]
            if self._parser.get_method() == b"CONNECT":
                self._error_status = 400
                return b""
            head = messages.encode_head_without_upgrade(
                self._parser.get_method(), self._target, self._headers
            )
            self._parser = httptools.HttpRequestParser(self)
            return head + rest
        return b""

    def _is_framing_too_long(self) -> bool:
        """Returns whether chunk extensions and trailers exceed their limit."""
        limit = self._listener.get_limits().max_header_bytes
        limit += MAX_FRAMING_RATIO * self._body_bytes
        return self._received_body_bytes - self._body_bytes > limit

    def enforce_timeouts(self, now: float, limits: model.CallerLimits) -> None:
        """Closes the connection if the caller has exceeded a time-out.

        An incomplete request is answered with 408 first.
        """
        if (
            self._handler_task is not None
            or self._queue
            or self._error_status
            or self._finished
        ):
            return
        if self._receiving:
            timeout_s = limits.header_timeout_s
            if self._in_body:
                timeout_s += limits.idle_timeout_s
            if (
                now - self._request_started_s > timeout_s
                and not self._has_unread_data()
            ):
                self._reject(408)
        else:
            # Callers rely on the limit that was in force when they began to
            # wait.
            timeout_s = max(limits.idle_timeout_s, self._idle_timeout_s)
            self.close_if_idle_since(now - timeout_s)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        if not self._receiving:
            self._request_started_s = self._loop.time()
            self._receiving = True
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Appends a fragment of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Checks the headers before the body is read.

        Raises:
          ValueError: The headers are invalid or exceed a limit; the status of
            the response is in `_error_status`.
        """
        if self._parser.should_upgrade():
            return
        limits = self._listener.get_limits()
        size = sum(len(k) + len(v) + 4 for k, v in self._headers)
        if size + len(self._target) > limits.max_header_bytes:
            self._error_status = 431
            raise ValueError("headers too large")
        lengths = set()
        for key, value in self._headers:
            name = key.lower()
            if name == b"content-length":
                lengths.add(value)
                if not value.isdigit():
                    self._error_status = 400
                elif int(value) > limits.max_body_bytes:
                    self._error_status = 413
            elif name == b"expect" and value.lower() == b"100-continue":
                self._continue_due = self._parser.get_http_version() != "1.0"
        if len(lengths) > 1:
            self._error_status = 400
        if self._error_status:
            raise ValueError("refused")
        if self._handler_task is None:
            self._send_continue()
        self._in_body = True
        # The body begins in the bytes that have arrived with the head.
        self._received_body_bytes = max(self._header_bytes - size, 0)

    def on_body(self, data: bytes) -> None:
        """Appends a fragment of the body.

        Raises:
          ValueError: The body exceeds the limit.
        """
        self._body_bytes += len(data)
        if self._body_bytes > self._listener.get_limits().max_body_bytes:
            self._error_status = 413
            raise ValueError("body too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Queues a complete request for processing."""
        if self._parser.should_upgrade():
            return
        self._in_body = False
        self._receiving = False
        self._continue_due = False
        self._header_bytes = 0
        self._received_body_bytes = 0
        if len(self._queue) >= MAX_PIPELINED:
            self._error_status = 400
            return
        self._queue.append(
            messages.Request(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=b"".join(self._body),
                received_s=self._request_started_s,
            )
        )
        if not self._parser.should_keep_alive():
            self._queue[-1].headers.append((b"Connection", b"close"))
        if self._handler_task is None:
            self._handler_task = self._loop.create_task(self._process_queue())

    async def _process_queue(self) -> None:
        """Processes the queued requests in order."""
        try:
            while self._queue and self._transport is not None:
                request = self._queue.popleft()
                try:
                    response = await self._listener.answer(request)
                except BaseException:
                    # The next response would pass for that to this request.
                    self.close()
                    raise
                self._idle_since_s = self._loop.time()
                self._idle_timeout_s = (
                    self._listener.get_limits().idle_timeout_s
                )
                if self._transport is None:
                    return
                closing = _wants_close(request) or (
                    self._listener.draining and not self._has_more()
                )
                self._transport.write(
                    messages.encode_response(
                        response.status,
                        response.body,
                        response.headers,
                        closing=closing,
                    )
                )
                if closing:
                    self._finish()
                    return
            if self._transport is None:
                return
            if self._error_status:
                self._send_error_and_close(self._error_status)
            else:
                self._send_continue()
        finally:
            self._handler_task = None

    def _send_continue(self) -> None:
        """Tells the caller to send the body if it waits for that.

        Not before the responses to earlier requests: it would pass for a part
        of the response to the first of them.
        """
        if self._continue_due and self._transport is not None:
            self._continue_due = False
            self._transport.write(_CONTINUE_RESPONSE)

    def _has_more(self) -> bool:
        """Returns whether the caller has sent more than has been answered."""
        return bool(self._queue or self._receiving or self._has_unread_data())

    def _finish(self) -> None:
        """Ends the connection after what has been written.

        What still arrives is read and discarded until the caller has closed
        its side, or for `LINGER_S`.
        """
        self._finished = True
        self._receiving = False
        try:
            if not self._transport.is_closing():
                self._transport.write_eof()
        except OSError:
            # The caller has already reset the connection.
            self._transport.close()
            return
        self._loop.call_later(LINGER_S, self.close)

    def _reject(self, status: int) -> None:
        """Sends an error response and closes the connection.

        If a request is in progress, both happen after its response.
        """
        self._error_status = status
        if self._transport is not None and self._handler_task is None:
            self._send_error_and_close(status)

    def _send_error_and_close(self, status: int) -> None:
        """Sends an error response and closes the connection."""
        self._transport.write(messages.encode_response(status, closing=True))
        self._finish()


def _wants_close(request: messages.Request) -> bool:
    """Returns whether the request asks to close the connection."""
    return any(
        key.lower() == b"connection" and b"close" in value.lower()
        for key, value in request.headers
    )
