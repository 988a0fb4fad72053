"""HTTP/1.1 connections to backend servers.

A connection carries one request at a time.  One that receives bytes while no
request is in flight is closed, since they may belong to an earlier request.
"""

import asyncio
import enum
import math
import socket
from typing import TYPE_CHECKING
from typing import NamedTuple

import httptools

from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import messages

if TYPE_CHECKING:
    from eelgrasshall.gateway import upstream

# With these values the kernel detects an unresponsive peer after 2 to 3 s.
# While a user time-out is set, it decides when probes are given up, not their
# number.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 2000
# Limits on a response, against servers that send without end.  While many large
# ones arrive at once, they are held to less.
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_BODY_BYTES_CROWDED = 256 * 1024
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
# Share of the idle time-out announced by the server for which a connection is
# reused.
IDLE_TIMEOUT_SHARE = 0.7


class ReceiveBuffer:
    """Counts the bytes of all responses that a host is receiving."""

    def __init__(self):
        self.size = 0

    def get_body_limit(self) -> int:
        """Returns the maximum size of one response's body, bytes."""
        if self.size <= MAX_BUFFERED_BYTES:
            return MAX_BODY_BYTES
        return MAX_BODY_BYTES_CROWDED


class RejectionReason(enum.Enum):
    """Why bytes from a backend server do not count as a response."""

    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    # The response ends before its end.
    CUT = "cut"
    CROSSED = "crossed"
    NO_ID = "no_id"
    # Bytes behind a whole response, which counts.
    SURPLUS = "surplus"
    # Bytes while no request is in flight.
    UNEXPECTED = "unexpected"


class Rejection(NamedTuple):
    """Bytes from a backend server that do not count as a response.

    The id, the status and the size are those of what has arrived since the
    request in flight was sent.

    Attributes:
      reason: Why they do not count.
      request_id: Id of the request in flight; None if there is none.
      response_id: The first id in the head, if any.
      status: The status; 0 before the end of the head.
      body_bytes: Size of the body.
      earlier_requests: Requests that the connection carried before.
      age_s: Time since the connection was opened, seconds.
    """

    reason: RejectionReason
    request_id: bytes | None
    response_id: bytes | None
    status: int
    body_bytes: int
    earlier_requests: int
    age_s: float


class Connection(asyncio.Protocol):
    """A TCP connection to a backend server.

    Args:
      backend: The backend server.
    """

    __slots__ = (
        "_body",
        "_head_bytes",
        "_headers",
        "_opened_s",
        "_parser",
        "_received_bytes",
        "_received_eof",
        "_response_complete",
        "_status",
        "attempt",
        "backend",
        "earlier_requests",
        "idle_since_s",
        "idle_timeout_s",
        "must_close",
        "transport",
    )

    def __init__(self, *, backend: "upstream.Backend"):
        self.backend = backend
        self.attempt: attempts.Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.must_close = False
        self.idle_since_s = 0.0
        self.idle_timeout_s = math.inf
        # Requests that it carried before the one in flight.
        self.earlier_requests = -1
        self._opened_s = backend.environment.loop.time()
        self._received_eof = False
        self._response_complete = False
        self._received_bytes = 0
        self._head_bytes: int | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport and enables keepalive."""
        self.transport = transport
        set_keepalive(transport)

    def send(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Sends an attempt; the connection must be idle."""
        self.attempt = attempt
        attempt.connection = self
        attempt.sent = True
        self._response_complete = False
        self._received_bytes = 0
        # Bytes received up to the end of the head; None before that.
        self._head_bytes = None
        # Status of the response; 0 before the end of its head.
        self._status = 0
        self._headers = []
        self._body = []
        self.earlier_requests += 1
        self._parser = httptools.HttpResponseParser(self)
        self.transport.write(data)
        self.backend.record_bytes(attempt, len(data))

    def close(self) -> None:
        """Closes the connection at once; unsent data is discarded."""
        self.must_close = True
        self._release_buffer()
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses data from the backend server."""
        if self.attempt is None:
            self._record_rejection(RejectionReason.UNEXPECTED)
            self.backend.close_connection(self)
            return
        self.backend.record_bytes(self.attempt, len(data))
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ):
            if self.attempt is not None:
                self._reject(RejectionReason.MALFORMED)
            else:
                self.backend.close_connection(self)
            return
        if self._response_complete:
            self._complete_attempt()
            return
        self._received_bytes += len(data)
        self.backend.environment.receive_buffer.size += len(data)
        if self._is_too_long():
            self.backend.environment.count("oversized_responses")
            self._reject(RejectionReason.OVERSIZED)

    def eof_received(self) -> None:
        """Completes a response that ends with the connection."""
        self._received_eof = True
        if self.attempt is None or self._response_complete:
            return
        if self._is_close_delimited():
            self.must_close = True
            self._response_complete = True
            self._complete_attempt()

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the attempt in flight and leaves the pool."""
        self.must_close = True
        if self.attempt is not None and self._received_bytes:
            self._record_rejection(RejectionReason.CUT)
        self._release_buffer()
        if self.attempt is not None:
            self._fail_attempt(
                messages.FailureKind.CONNECTION_LOST,
                silent=error is not None
                and not isinstance(error, ConnectionError),
            )
        self.backend.remove_connection(self)

    # Callbacks of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a response header."""
        if not self._response_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Notes the end of the head, unless it is that of an interim response.

        The bytes that are being parsed count as part of the head.
        """
        status = self._parser.get_status_code()
        if status >= 200 and not self._response_complete:
            self._status = status
            self._head_bytes = self._received_bytes

    def on_body(self, data: bytes) -> None:
        """Stores a chunk of the response body."""
        if not self._response_complete:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Marks the response as complete; skips interim responses."""
        if self._parser.get_status_code() < 200:
            self._headers = []
            return
        if self._response_complete:
            return
        self._response_complete = True
        if not self._parser.should_keep_alive():
            self.must_close = True

    def on_message_begin(self) -> None:
        """Marks the connection for closing if a second response begins."""
        if self._response_complete:
            self.must_close = True
            self._record_rejection(RejectionReason.SURPLUS)

    def _is_too_long(self) -> bool:
        """Returns whether the response exceeds a limit.

        What frames a body, such as chunk extensions, counts as well.
        """
        if self._head_bytes is None:
            return self._received_bytes > MAX_HEAD_BYTES
        limit = self.backend.environment.receive_buffer.get_body_limit()
        return self._received_bytes - self._head_bytes > limit

    def _release_buffer(self) -> None:
        """Discounts the bytes of a response that is no longer received."""
        self.backend.environment.receive_buffer.size -= self._received_bytes
        self._received_bytes = 0

    def _is_close_delimited(self) -> bool:
        """Returns whether the response has a whole head but states no length.

        A head that is cut off may lack the header that states it.
        """
        if self._head_bytes is None:
            return False
        framing = (b"content-length", b"transfer-encoding")
        return not any(key.lower() in framing for key, _ in self._headers)

    def _complete_attempt(self) -> None:
        """Completes the attempt in flight with the parsed response.

        A response whose id is not that of the request fails the attempt.
        """
        attempt, self.attempt = self.attempt, None
        self._release_buffer()
        names = self.backend.environment.names
        response_id = seal = retry_after = None
        not_run = leaving = False
        rate_limits: list[bytes] = []
        for key, value in self._headers:
            name = key.lower()
            if name == names.request_id:
                response_id = value
            elif name == names.seal:
                seal = value
            elif name == names.not_run:
                not_run = True
            elif name == names.leaving:
                leaving = value.strip() == b"1"
            elif name == names.retry_after:
                retry_after = value
            elif name == names.rate_limit:
                rate_limits.append(value)
            elif name == b"keep-alive":
                self._parse_keep_alive(value)
        status = self._status
        # An error response sent before the request was read has no id.
        if (
            attempt.request_id is not None
            and response_id != attempt.request_id
            and (response_id or status < 300)
        ):
            self.backend.environment.count("crossed_responses")
            self.attempt = attempt
            self._reject(
                RejectionReason.CROSSED
                if response_id
                else RejectionReason.NO_ID
            )
            return
        reply = messages.Reply(
            status=status,
            headers=self._headers,
            body=b"".join(self._body),
            seal=seal,
            not_run=not_run or status == 421,
            leaving=leaving,
            retry_after=retry_after,
            rate_limits=tuple(rate_limits),
            earlier_requests=self.earlier_requests,
        )
        self._headers, self._body, self._head_bytes = [], [], None
        # If the response arrived before the request was sent completely, the
        # rest of the request is still to follow, so the connection cannot be
        # reused.
        if self.transport.get_write_buffer_size() or self._received_eof:
            self.must_close = True
        self.backend.complete_attempt(self, attempt, reply)

    def _parse_keep_alive(self, value: bytes) -> None:
        """Reads the server's idle time-out from a Keep-Alive header."""
        _, found, text = value.partition(b"timeout=")
        digits = text.split(b",")[0].strip()
        if found and digits.isdigit():
            self.idle_timeout_s = int(digits) * IDLE_TIMEOUT_SHARE

    def _reject(self, reason: RejectionReason) -> None:
        """Fails the attempt in flight: the bytes are no response to it."""
        self._record_rejection(reason)
        self._fail_attempt(messages.FailureKind.INVALID_RESPONSE)

    def _record_rejection(self, reason: RejectionReason) -> None:
        """Counts and reports bytes that do not count as a response."""
        environment = self.backend.environment
        environment.count(f"rejected_{reason.value}")
        ids = [
            value
            for key, value in self._headers
            if key.lower() == environment.names.request_id
        ]
        has_head = self._head_bytes is not None
        environment.observer.on_rejected(
            self.backend,
            Rejection(
                reason=reason,
                request_id=self.attempt and self.attempt.request_id,
                response_id=ids[0] if ids else None,
                status=self._parser.get_status_code() if has_head else 0,
                body_bytes=sum(map(len, self._body)),
                earlier_requests=self.earlier_requests,
                age_s=environment.loop.time() - self._opened_s,
            ),
        )

    def _fail_attempt(
        self, kind: messages.FailureKind, *, silent: bool = False
    ) -> None:
        """Fails the attempt in flight and closes the connection."""
        attempt, self.attempt = self.attempt, None
        self.must_close = True
        self.backend.complete_attempt(
            self, attempt, messages.Failure(kind, silent)
        )


def set_keepalive(transport: asyncio.Transport) -> None:
    """Enables TCP keepalive and limits the time for an acknowledgement.

    Does nothing for a transport without a socket.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
