"""A minimal HTTP client for JSON requests to the store and to other hosts.

A client keeps one connection, which carries one request at a time.  The client
never retries; that is left to its user.

Requests have no ids, so a response is known to be that of a request only by its
place on the connection.  The connection is closed, and the request in flight
fails, as soon as there is more on it than one response to each request: bytes
behind a response, or before a request.  A response that is sent twice, and
arrives the second time just after the next request was sent, looks like the
response to that; whoever must exclude this uses a client for each request.
"""

import asyncio
from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple
import zlib

from eelgrasshall.gateway import connections
from eelgrasshall.gateway import documents
from eelgrasshall.gateway import model
from eelgrasshall.gateway import response_parser
from eelgrasshall.gateway import sockets

# Several round trips; a longer wait means that the address is unreachable.
CONNECT_TIMEOUT_S = 0.7
# Longest time without data once a response has begun.  The transfer as a whole
# may take longer: it depends on its size and on who else uses the link.
STALL_TIMEOUT_S = 1.0
# Longest duration of a transfer, against peers that send next to nothing.
MAX_TRANSFER_S = 4.0
# Maximum size of a response; a full page of the store is about 1 MB.
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024

# Decides how the body is read.
_UNIQUE_HEADERS = frozenset((b"content-encoding",))

# Selects the gzip format in zlib.
_GZIP_WBITS = 16 + zlib.MAX_WBITS


class Response(NamedTuple):
    """The response to a request.

    Attributes:
      status: The HTTP status code.
      document: The decoded JSON body; None if the body is empty.
      received_bytes: Size of the body as it was sent.
      headers: The headers, with names in lower case.
    """

    status: int
    document: Any
    received_bytes: int
    headers: dict[bytes, bytes]


class CallError(Exception):
    """A request got no valid response; it may still have been executed.

    Attributes:
      received_bytes: Size of the part of the body that arrived.
    """

    def __init__(self, message: str, *, received_bytes: int = 0):
        super().__init__(message)
        self.received_bytes = received_bytes


class JsonClient:
    """Sends requests to one address, one at a time.

    Args:
      address: The address of the server.
      accepts_gzip: Whether the server may compress its responses.
      unique_headers: Names, in lower case, of headers that a response may have
        once at most.
    """

    def __init__(
        self,
        *,
        address: model.Address,
        accepts_gzip: bool = False,
        unique_headers: frozenset[bytes] = frozenset(),
    ):
        self._address = address
        self._unique_headers = unique_headers | _UNIQUE_HEADERS
        self._accepted = "Accept-Encoding: gzip\r\n" if accepts_gzip else ""
        self._connection: _Connection | None = None
        self._is_calling = False
        # Bytes that were sent and received, of heads and bodies.
        self.transferred_bytes = 0

    async def call(
        self,
        method: str,
        target: str,
        document: Any = None,
        *,
        timeout_s: float,
    ) -> Response:
        """Sends one request and waits for its response.

        Args:
          method: The HTTP method.
          target: Path and query.
          document: The JSON body; None for an empty body.
          timeout_s: Time-out of the call, seconds; extended while a response
            arrives.

        Raises:
          CallError: There was no valid response, or another call is in
            progress.
        """
        if self._is_calling:
            raise CallError("another call is in progress")
        self._is_calling = True
        try:
            return await self._call(method, target, document, timeout_s)
        finally:
            self._is_calling = False

    async def _call(
        self, method: str, target: str, document: Any, timeout_s: float
    ) -> Response:
        """Sends one request and waits for its response.

        Raises:
          CallError: There was no valid response.
        """
        body = b"" if document is None else json.dumps(document).encode()
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {self._address}\r\n"
            f"Content-Type: application/json\r\n{self._accepted}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                if self._connection is not None and not (
                    self._connection.is_usable
                ):
                    self.close()
                if self._connection is None:
                    await self._connect()
                status, data = await self._connection.send(
                    head.encode() + body, timeout
                )
        except (OSError, TimeoutError) as error:
            received_bytes = (
                self._connection.body_bytes if self._connection else 0
            )
            self.close()
            raise CallError(
                f"{type(error).__name__}: {error}",
                received_bytes=received_bytes,
            ) from error
        except BaseException:
            self.close()
            raise
        try:
            headers = self._connection.headers
            compressed = headers.get(b"content-encoding", b"").lower()
            text = _decompress(data) if compressed == b"gzip" else data
            document = documents.parse(text) if text else None
        except (ValueError, zlib.error) as error:
            self.close()
            raise CallError(
                f"invalid JSON in the response: {error}",
                received_bytes=len(data),
            ) from error
        return Response(status, document, len(data), headers)

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _connect(self) -> None:
        """Opens the connection."""
        loop = asyncio.get_running_loop()
        ip, port = self._address
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, self._connection = await loop.create_connection(
                lambda: _Connection(
                    on_transferred=self._add_bytes,
                    unique_headers=self._unique_headers,
                ),
                ip,
                port,
            )

    def _add_bytes(self, size: int) -> None:
        """Counts bytes that were sent or received."""
        self.transferred_bytes += size


class _Connection(asyncio.Protocol):
    """The TCP connection of a client.

    Args:
      on_transferred: Called with the number of bytes sent or received.
      unique_headers: Names of the headers that may not be repeated.
    """

    def __init__(
        self,
        *,
        on_transferred: Callable[[int], None],
        unique_headers: frozenset[bytes],
    ):
        self.closed = False
        self._unique_headers = unique_headers
        self._on_transferred = on_transferred
        self._parser: response_parser.ResponseParser | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._response_future: asyncio.Future[tuple[int, bytes]] | None = None

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent.

        Bytes that have arrived before it are not its response.
        """
        return not self.closed and not sockets.has_unread_data(self._transport)

    @property
    def headers(self) -> dict[bytes, bytes]:
        """The headers of the last response, with names in lower case."""
        return {
            name.lower(): value.strip() for name, value in self._parser.headers
        }

    @property
    def body_bytes(self) -> int:
        """Size of the part of the last response's body that arrived."""
        return self._parser.body_bytes if self._parser else 0

    def send(
        self, data: bytes, timeout: asyncio.Timeout
    ) -> asyncio.Future[tuple[int, bytes]]:
        """Sends a request; the result is the response's status and body.

        Args:
          data: The encoded request.
          timeout: Extended while the response arrives.
        """
        self._timeout = timeout
        self._call_end_s = timeout.when()
        self._transfer_end_s: float | None = None
        self._response_future = self._loop.create_future()
        self._parser = response_parser.ResponseParser(
            max_head_bytes=MAX_HEAD_BYTES,
            get_max_body_bytes=lambda: MAX_BODY_BYTES,
            unique_headers=self._unique_headers,
        )
        self._transport.write(data)
        self._on_transferred(len(data))
        return self._response_future

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Enables keepalive on the new connection."""
        self._transport = transport
        connections.set_keepalive(transport)

    def data_received(self, data: bytes) -> None:
        """Parses received data; unexpected data closes the connection."""
        self._on_transferred(len(data))
        if self._response_future is None or self._response_future.done():
            self.close()
            return
        self._extend_timeout()
        try:
            self._parser.feed(data)
        except response_parser.InvalidResponse as error:
            self._fail(error)
            self.close()
            return
        if not self._parser.complete:
            return
        if self._parser.has_extra:
            # Whose bytes these are is unknown, and so whose the response is.
            self._fail(ConnectionError("bytes after the response"))
            self.close()
            return
        self._response_future.set_result(
            (self._parser.status, self._parser.body)
        )
        if (
            not self._parser.keeps_open
            or self._transport.get_write_buffer_size()
        ):
            self.close()

    def eof_received(self) -> None:
        """Ends the use of the connection, which the transport closes."""
        self.closed = True

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the request that is waiting for a response."""
        self.closed = True
        self._fail(ConnectionError("connection lost"))

    def _extend_timeout(self) -> None:
        """Allows more time for a response of which a part has arrived."""
        if self._timeout.expired():
            return
        now = self._loop.time()
        if self._transfer_end_s is None:
            self._transfer_end_s = now + MAX_TRANSFER_S
        stall_end_s = min(now + STALL_TIMEOUT_S, self._transfer_end_s)
        self._timeout.reschedule(max(stall_end_s, self._call_end_s))

    def _fail(self, error: Exception) -> None:
        """Fails the request that is waiting for a response, if any."""
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_exception(error)


def _decompress(data: bytes) -> bytes:
    """Returns the content of a gzip body.

    Raises:
      ValueError: It is incomplete or exceeds the limit.
      zlib.error: It is malformed.
    """
    decompressor = zlib.decompressobj(wbits=_GZIP_WBITS)
    text = decompressor.decompress(data, MAX_BODY_BYTES)
    if not decompressor.eof:
        raise ValueError("compressed body incomplete or too large")
    return text
