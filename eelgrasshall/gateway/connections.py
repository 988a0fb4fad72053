"""HTTP/1.1 connections to backend servers.

A connection carries one request at a time.  One that receives bytes while no
request is in flight is closed, since they may belong to an earlier request.
"""

import asyncio
import math
import socket
from typing import TYPE_CHECKING
from typing import NamedTuple

from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import response_parser

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

# Surrounds the value of a header without being a part of it.
_WHITESPACE = b" \t"
# Why bytes of a server do not count as a response, beside the reasons of
# `response_parser`.  The response was cut off:
CUT = "cut"
# It has the id of another request, or none where it needs one.
CROSSED = "crossed"
NO_ID = "no_id"
# Bytes followed a whole response, which counts.
SURPLUS = "surplus"
# Bytes arrived while no request was in flight.
UNEXPECTED = "unexpected"


class ReceiveBuffer:
    """Counts the bytes of all responses that a host is receiving."""

    def __init__(self):
        self.size = 0

    def get_body_limit(self) -> int:
        """Returns the maximum size of one response's body, bytes."""
        if self.size <= MAX_BUFFERED_BYTES:
            return MAX_BODY_BYTES
        return MAX_BODY_BYTES_CROWDED


class Rejection(NamedTuple):
    """Bytes from a backend server that do not count as a response.

    The id, the status and the size are those of what has arrived since the
    request in flight was sent.

    Attributes:
      reason: Why they do not count: one of this module's or of
        `response_parser`.
      request_id: Id of the request in flight; None if there is none.
      response_id: The first id in the head, if any.
      status: The status; 0 before the end of the head.
      body_bytes: Size of the body.
      earlier_requests: Requests that the connection carried before.
      age_s: Time since the connection was opened, seconds.
    """

    reason: str
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
        "_opened_s",
        "_parser",
        "_received_bytes",
        "_received_eof",
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
        self._received_bytes = 0
        self._parser: response_parser.ResponseParser | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport and enables keepalive."""
        self.transport = transport
        set_keepalive(transport)

    def send(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Sends an attempt; the connection must be idle."""
        self.attempt = attempt
        attempt.connection = self
        attempt.sent = True
        self.earlier_requests += 1
        environment = self.backend.environment
        names = environment.names
        self._parser = response_parser.ResponseParser(
            max_head_bytes=MAX_HEAD_BYTES,
            get_max_body_bytes=environment.receive_buffer.get_body_limit,
            unique_headers=frozenset((names.request_id, names.seal)),
            has_body=attempt.expects_body,
        )
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
            self._record_rejection(UNEXPECTED)
            self.backend.close_connection(self)
            return
        self.backend.record_bytes(self.attempt, len(data))
        try:
            self._parser.feed(data)
        except response_parser.InvalidResponse as error:
            self._reject(error.reason)
            return
        if self._parser.has_garbage:
            self._reject(response_parser.MALFORMED)
            return
        if self._parser.complete:
            self._complete_attempt()
            return
        self._received_bytes += len(data)
        self.backend.environment.receive_buffer.size += len(data)

    def eof_received(self) -> None:
        """Completes a response that ends with the connection."""
        self._received_eof = True
        if self.attempt is None:
            return
        try:
            self._parser.end()
        except response_parser.InvalidResponse as error:
            self._reject(error.reason)
            return
        if self._parser.complete:
            self._complete_attempt()

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the attempt in flight and leaves the pool."""
        self.must_close = True
        if self.attempt is not None and self._received_bytes:
            self._record_rejection(CUT)
        self._release_buffer()
        if self.attempt is not None:
            self._fail_attempt(
                messages.FailureKind.CONNECTION_LOST,
                silent=error is not None
                and not isinstance(error, ConnectionError),
            )
        self.backend.remove_connection(self)

    def _release_buffer(self) -> None:
        """Discounts the bytes of a response that is no longer received."""
        self.backend.environment.receive_buffer.size -= self._received_bytes
        self._received_bytes = 0

    def _complete_attempt(self) -> None:
        """Completes the attempt in flight with the parsed response.

        A response whose id is not that of the request fails the attempt.
        """
        names = self.backend.environment.names
        parser = self._parser
        self._release_buffer()
        response_id = seal = retry_after = None
        not_run = leaving = False
        rate_limits: list[bytes] = []
        for key, value in parser.headers:
            name = key.lower()
            if name == names.request_id:
                response_id = value.strip(_WHITESPACE)
            elif name == names.seal:
                seal = value.strip(_WHITESPACE)
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
        reason = self._find_crossing(response_id)
        if reason is not None:
            self.backend.environment.count("crossed_responses")
            self._reject(reason)
            return
        if parser.has_extra:
            self._record_rejection(SURPLUS)
        # If the response arrived before the request was sent completely, the
        # rest of the request is still to follow, so the connection cannot be
        # reused.
        if (
            not parser.keeps_open
            or parser.has_extra
            or self.transport.get_write_buffer_size()
            or self._received_eof
        ):
            self.must_close = True
        attempt, self.attempt, self._parser = self.attempt, None, None
        reply = messages.Reply(
            status=parser.status,
            headers=parser.headers,
            body=parser.body,
            seal=seal,
            not_run=not_run or parser.status == 421,
            leaving=leaving,
            retry_after=retry_after,
            rate_limits=tuple(rate_limits),
            earlier_requests=self.earlier_requests,
        )
        self.backend.complete_attempt(self, attempt, reply)

    def _find_crossing(self, response_id: bytes | None) -> str | None:
        """Returns why a response is not one to the request in flight, or None.

        Health checks have no id.  A failure without an id may have been sent
        before the request was read; on a connection that has carried another
        request, it may as well be a late one to that.
        """
        request_id = self.attempt.request_id
        if request_id is None or response_id == request_id:
            return None
        if response_id:
            return CROSSED
        if self._parser.status < 300 or self.earlier_requests:
            return NO_ID
        return None

    def _reject(self, reason: str) -> None:
        """Fails the attempt in flight: the bytes are no response to it."""
        if reason == response_parser.OVERSIZED:
            self.backend.environment.count("oversized_responses")
        self._record_rejection(reason)
        self._fail_attempt(messages.FailureKind.INVALID_RESPONSE)

    def _record_rejection(self, reason: str) -> None:
        """Counts and reports bytes that do not count as a response."""
        environment = self.backend.environment
        environment.count(f"rejected_{reason}")
        parser = self._parser
        id_name = environment.names.request_id
        headers = parser.headers if parser is not None else ()
        environment.observer.on_rejected(
            self.backend,
            Rejection(
                reason=reason,
                request_id=self.attempt and self.attempt.request_id,
                response_id=next(
                    (value for key, value in headers if key.lower() == id_name),
                    None,
                ),
                status=parser.status if parser is not None else 0,
                body_bytes=parser.body_bytes if parser is not None else 0,
                earlier_requests=self.earlier_requests,
                age_s=environment.loop.time() - self._opened_s,
            ),
        )

    def _parse_keep_alive(self, value: bytes) -> None:
        """Reads the server's idle time-out from a Keep-Alive header."""
        _, found, text = value.partition(b"timeout=")
        digits = text.split(b",")[0].strip()
        if found and digits.isdigit():
            self.idle_timeout_s = int(digits) * IDLE_TIMEOUT_SHARE

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
