"""A minimal HTTP client for JSON requests to the store and to other hosts.

A client keeps one connection, which carries one request at a time.  The client
never retries; that is left to its user.
"""

import asyncio
import json
from typing import Any
from typing import NamedTuple

import httptools

from eelgrasshall.gateway import connections
from eelgrasshall.gateway import model

# Several round trips; a longer wait means that the address is unreachable.
CONNECT_TIMEOUT_S = 0.7
# Maximum size of a response; a full page of the store is about 1 MB.
MAX_BODY_BYTES = 16 * 1024 * 1024


class Response(NamedTuple):
    """The response to a request.

    Attributes:
      status: The HTTP status code.
      document: The decoded JSON body; None if the body is empty.
      received_bytes: Size of the body as it was sent.
    """

    status: int
    document: Any
    received_bytes: int


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
    """

    def __init__(self, *, address: model.Address):
        self._address = address
        self._connection: _Connection | None = None

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
          timeout_s: Time-out of the whole call, seconds.

        Raises:
          CallError: There was no valid response.
        """
        body = b"" if document is None else json.dumps(document).encode()
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {self._address}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(timeout_s):
                if self._connection is None or self._connection.closed:
                    await self._connect()
                status, data = await self._connection.send(head.encode() + body)
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
            document = json.loads(data) if data else None
        except ValueError as error:
            raise CallError(
                f"invalid JSON in the response: {error}",
                received_bytes=len(data),
            ) from error
        return Response(status, document, len(data))

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
                _Connection, ip, port
            )


class _Connection(asyncio.Protocol):
    """The TCP connection of a client."""

    def __init__(self):
        self.closed = False
        self.body_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._response_future: asyncio.Future[tuple[int, bytes]] | None = None

    def send(self, data: bytes) -> asyncio.Future[tuple[int, bytes]]:
        """Sends a request; the result is the response's status and body."""
        self._response_future = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self.body_bytes = 0
        self._transport.write(data)
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
        if self._response_future is None or self._response_future.done():
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(ConnectionError(f"invalid response: {error}"))
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the request that is waiting for a response."""
        self.closed = True
        self._fail(ConnectionError("connection lost"))

    def on_body(self, data: bytes) -> None:
        """Appends a fragment of the body.

        Raises:
          ValueError: The body exceeds the limit.
        """
        self.body_bytes += len(data)
        if self.body_bytes > MAX_BODY_BYTES:
            raise ValueError("response too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Delivers the complete response."""
        status = self._parser.get_status_code()
        if not self._parser.should_keep_alive():
            self.closed = True
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_result((status, b"".join(self._body)))

    def _fail(self, error: Exception) -> None:
        """Fails the request that is waiting for a response, if any."""
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_exception(error)
