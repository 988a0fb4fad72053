"""One TCP connection to a backend server, HTTP/1.1 by a library's parser.

It carries one request at a time.  Bytes that no request waits for close it,
since they may belong to an earlier request.
"""

import asyncio
import math
import socket
from typing import TYPE_CHECKING

import httptools

from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import messages

if TYPE_CHECKING:
    from eelgrasshall.gateway import upstream

# Probes of the kernel find a connection that fell silent within 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 2000
# Share of the announced idle time for which a connection is used again.
IDLE_SHARE = 0.7


class Connection(asyncio.Protocol):
    """One TCP connection; it carries one request at a time.

    Args:
      backend: The backend server at the other end.
    """

    __slots__ = (
        "_answered",
        "_body",
        "_ended",
        "_headers",
        "_parser",
        "attempt",
        "backend",
        "broken",
        "idle_limit_s",
        "idle_since_s",
        "transport",
    )

    def __init__(self, *, backend: "upstream.Backend"):
        self.backend = backend
        self.attempt: attempts.Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.broken = False
        self.idle_since_s = 0.0
        self.idle_limit_s = math.inf
        self._ended = False
        self._answered = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Prepares the socket of a new connection."""
        self.transport = transport
        set_keepalive(transport)

    def send(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Sends one attempt."""
        self.attempt = attempt
        attempt.connection = self
        attempt.sent = True
        self._answered = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self.transport.write(data)

    def close(self) -> None:
        """Closes the connection without waiting for anything."""
        self.broken = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses what the backend server sends."""
        if self.attempt is None:
            self.backend.drop(self)
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ):
            if self.attempt is not None:
                self._fail(messages.FailureKind.GARBLED)
            else:
                self.backend.drop(self)
            return
        if self._answered:
            self._deliver()

    def eof_received(self) -> None:
        """Completes a response that ends with its connection."""
        self._ended = True
        if self.attempt is None or self._answered:
            return
        if self._is_open_ended():
            self.broken = True
            self._answered = True
            self._deliver()

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the attempt that was in flight."""
        self.broken = True
        if self.attempt is not None:
            self._fail(messages.FailureKind.LOST)
        self.backend.forget(self)

    # Callbacks of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps one header of the response."""
        if not self._answered:
            self._headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        """Keeps a piece of the response's body."""
        if not self._answered:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Marks the response as complete."""
        if self._parser.get_status_code() < 200:
            self._headers = []
            return
        if self._answered:
            self.broken = True
            return
        self._answered = True
        if not self._parser.should_keep_alive():
            self.broken = True

    def on_message_begin(self) -> None:
        """Notes bytes that follow a complete response."""
        if self._answered:
            self.broken = True

    def _is_open_ended(self) -> bool:
        """Returns whether the response has a head but states no length."""
        try:
            status = self._parser.get_status_code()
        except AttributeError:
            return False
        if not status or not self._headers:
            return False
        framing = (b"content-length", b"transfer-encoding")
        return not any(key.lower() in framing for key, _ in self._headers)

    def _deliver(self) -> None:
        """Hands a complete response to the attempt that waits for it."""
        attempt, self.attempt = self.attempt, None
        names = self.backend.environment.names
        echoed = seal = None
        not_run = False
        for key, value in self._headers:
            name = key.lower()
            if name == names.request_id:
                echoed = value
            elif name == names.seal:
                seal = value
            elif name == names.not_run:
                not_run = True
            elif name == b"keep-alive":
                self._read_idle_limit(value)
        status = self._parser.get_status_code()
        # Refusals before a request was read carry no id.
        if (
            attempt.request_id is not None
            and echoed != attempt.request_id
            and (echoed or status < 300)
        ):
            self.backend.environment.count("crossed_responses")
            self.broken = True
            self.attempt = attempt
            self._fail(messages.FailureKind.GARBLED)
            return
        reply = messages.Reply(
            status=status,
            headers=self._headers,
            body=b"".join(self._body),
            seal=seal,
            not_run=not_run or status == 421,
        )
        # A response that came before the whole request was sent leaves the
        # rest of the request to follow; such a connection is not used again.
        if self.transport.get_write_buffer_size() or self._ended:
            self.broken = True
        self.backend.finish(self, attempt, reply)

    def _read_idle_limit(self, value: bytes) -> None:
        """Reads how long the backend server keeps an idle connection."""
        _, found, text = value.partition(b"timeout=")
        digits = text.split(b",")[0].strip()
        if found and digits.isdigit():
            self.idle_limit_s = int(digits) * IDLE_SHARE

    def _fail(self, kind: messages.FailureKind) -> None:
        """Ends the attempt without a response and closes the connection."""
        attempt, self.attempt = self.attempt, None
        self.broken = True
        self.backend.finish(self, attempt, messages.Failure(kind))


def set_keepalive(transport: asyncio.Transport) -> None:
    """Lets the kernel find out when the other end has fallen silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
