"""One TCP connection to a backend server, held open between requests.

The pool above counts connections, knows the age of each and closes them one
by one, none of which aiohttp's own pool allows.  So each connection is a
client session whose connector opens exactly one socket: a second open on the
same session, as aiohttp does when it finds the first one closed, is refused
instead of hiding a new connection behind an old one.
"""

import socket
from typing import Any

import aiohttp

CONNECT_TIMEOUT_S = 0.5
KEEPALIVE_S = 3600.0


class Connection:
    """One connection that carries one request at a time.

    Args:
      host: IP address of the backend server.
      port: Its TCP port.
      now: Reading of the monotonic clock, in seconds.

    Attributes:
      opened_s: When it was made.
      progress_s: When the last response on it was complete.
      reusable: Whether it can carry another request.
    """

    def __init__(self, *, host: str, port: int, now: float):
        self.opened_s = now
        self.progress_s = now
        self.reusable = False
        self._base = f"http://{host}:{port}"
        self._socket: socket.socket | None = None
        connector = aiohttp.TCPConnector(
            limit=1,
            keepalive_timeout=KEEPALIVE_S,
            socket_factory=self._open_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        total_s: float,
        silence_s: float,
    ) -> tuple[int, Any, bytes]:
        """Sends one request and reads the whole response.

        Args:
          method: HTTP method.
          path: Path on the backend server.
          headers: Request headers.
          body: Request body.
          total_s: Seconds for the whole exchange.
          silence_s: Longest time without progress of the response.

        Returns:
          Status, headers and body.

        Raises:
          aiohttp.ClientError: The connection failed or went silent.
          TimeoutError: The exchange took longer than `total_s`.
        """
        self.reusable = False
        timeout = aiohttp.ClientTimeout(
            total=total_s,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=silence_s,
            ceil_threshold=KEEPALIVE_S,
        )
        async with self._session.request(
            method,
            self._base + path,
            headers=headers,
            data=body,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            received = await response.read()
            closes = response.headers.get("Connection", "").lower() == "close"
            self.reusable = not closes
            return response.status, response.headers, received

    def is_open(self) -> bool:
        """Returns whether the other end has not closed the connection."""
        if self._socket is None or self._socket.fileno() < 0:
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # An end of file, or bytes that nobody asked for: both are unusable.
        return False

    async def close(self) -> None:
        """Closes the connection."""
        await self._session.close()

    def _open_socket(self, address: Any) -> socket.socket:
        """Opens the one socket of this connection."""
        if self._socket is not None:
            raise ConnectionError("This connection was already opened once.")
        family, kind, protocol = address[0], address[1], address[2]
        self._socket = socket.socket(family, kind, protocol)
        self._socket.setblocking(False)
        return self._socket
