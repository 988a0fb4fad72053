"""A small HTTP client for JSON calls to the store and to other hosts.

One connection carries one call at a time and is kept for the next one of its
owner.  A call is sent once; whether to send it again is the owner's decision.
"""

import asyncio
import json
from typing import Any
from typing import NamedTuple

import httptools

from eelgrasshall.gateway import connections
from eelgrasshall.gateway import model

# Several round trips; a longer wait means that nothing gets there.
CONNECT_TIMEOUT_S = 0.7
# Most bytes of an answer; a full page of the store is about a megabyte.
MAX_BODY_BYTES = 16 * 1024 * 1024


class Response(NamedTuple):
    """The answer to a call.

    Attributes:
      status: The HTTP status.
      document: The JSON body, None if it is empty.
    """

    status: int
    document: Any


class CallError(Exception):
    """A call had no usable answer; it may have been executed."""


class JsonClient:
    """Calls one address, one call after the other.

    Args:
      address: The address.
    """

    def __init__(self, *, address: model.Address):
        self._address = address
        self._link: _Link | None = None

    async def call(
        self,
        method: str,
        target: str,
        document: Any = None,
        *,
        timeout_s: float,
    ) -> Response:
        """Makes one call.

        Args:
          method: The method.
          target: Path and query.
          document: The JSON body, or None for none.
          timeout_s: Longest time for the whole call, seconds.

        Raises:
          CallError: There was no usable answer.
        """
        body = b"" if document is None else json.dumps(document).encode()
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {self._address}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(timeout_s):
                if self._link is None or self._link.closed:
                    await self._connect()
                status, data = await self._link.exchange(head.encode() + body)
        except (OSError, TimeoutError) as error:
            self.close()
            raise CallError(f"{type(error).__name__}: {error}") from error
        except BaseException:
            self.close()
            raise
        try:
            return Response(status, json.loads(data) if data else None)
        except ValueError as error:
            raise CallError(f"no JSON in the answer: {error}") from error

    def close(self) -> None:
        """Closes the connection."""
        if self._link is not None:
            self._link.close()
            self._link = None

    async def _connect(self) -> None:
        """Opens a connection."""
        loop = asyncio.get_running_loop()
        host, port = self._address
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, self._link = await loop.create_connection(_Link, host, port)


class _Link(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self):
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[tuple[int, bytes]] | None = None

    def exchange(self, data: bytes) -> asyncio.Future[tuple[int, bytes]]:
        """Sends a call; the result is the status and body of its answer."""
        self._waiter = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._size = 0
        self._transport.write(data)
        return self._waiter

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Prepares the socket."""
        self._transport = transport
        connections.set_keepalive(transport)

    def data_received(self, data: bytes) -> None:
        """Parses an answer."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._end(ConnectionError(f"unreadable answer: {error}"))
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the call that waits."""
        self.closed = True
        self._end(ConnectionError("connection lost"))

    def on_body(self, data: bytes) -> None:
        """Keeps a piece of the body."""
        self._size += len(data)
        if self._size > MAX_BODY_BYTES:
            raise ValueError("answer too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Delivers the answer."""
        status = self._parser.get_status_code()
        if not self._parser.should_keep_alive():
            self.closed = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result((status, b"".join(self._body)))

    def _end(self, error: Exception) -> None:
        """Fails the call that waits, if one does."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)
