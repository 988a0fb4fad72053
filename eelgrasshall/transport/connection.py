"""A single persistent HTTP connection to a backend server.

The pool in `backends` counts connections, tracks when each was last used and
closes them individually, which aiohttp's connection pool does not support.
Each connection is therefore a client session whose connector opens exactly one
socket.  aiohttp opens another one when it finds the first one closed; here that
raises an error, so that a new connection is never mistaken for the old one.
"""

import socket
from typing import Any

import aiohttp

from eelgrasshall.transport import bodies

CONNECT_TIMEOUT_S = 0.5
# Effectively unlimited, as the pool decides when to close a connection.
KEEPALIVE_S = 3600.0


class Connection:
    """A connection that carries one request at a time.

    Args:
      host: IP address of the backend server.
      port: Its TCP port.
      now: Current monotonic time, in seconds.

    Attributes:
      opened_s: Monotonic time at which this object was created.
      last_used_s: Monotonic time at which the last response was complete.
      reusable: Whether the connection can carry another request.
    """

    def __init__(self, *, host: str, port: int, now: float):
        self.opened_s = now
        self.last_used_s = now
        self.reusable = False
        self._base_url = f"http://{host}:{port}"
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
        progress_timeout_s: float,
    ) -> tuple[int, Any, bytes]:
        """Sends a request and reads the whole response.

        Args:
          method: HTTP method.
          path: Path on the backend server.
          headers: Request headers.
          body: Request body.
          total_s: Time-out of the whole exchange, in seconds.
          progress_timeout_s: Longest time without receiving data, in seconds.

        Returns:
          The status, headers and body.

        Raises:
          aiohttp.ClientError: The connection failed or made no progress.
          TimeoutError: The exchange took longer than `total_s`.
        """
        self.reusable = False
        timeout = aiohttp.ClientTimeout(
            total=total_s,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=progress_timeout_s,
            # Keeps aiohttp from rounding long time-outs up to whole seconds.
            ceil_threshold=KEEPALIVE_S,
        )
        async with self._session.request(
            method,
            self._base_url + path,
            headers=headers,
            data=body,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            received = await bodies.read(response)
            closes = response.headers.get("Connection", "").lower() == "close"
            self.reusable = not closes
            return response.status, response.headers, received

    def is_open(self) -> bool:
        """Returns whether the connection is still usable.

        It is not if the backend server has closed it.
        """
        if self._socket is None or self._socket.fileno() < 0:
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # End of file or unsolicited data; neither leaves it usable.
        return False

    async def close(self) -> None:
        """Closes the session and its socket."""
        await self._session.close()

    def _open_socket(self, address: Any) -> socket.socket:
        """Opens the socket; fails if one was opened before."""
        if self._socket is not None:
            raise ConnectionError(
                "the connection was closed and must not be reopened"
            )
        family, kind, protocol = address[0], address[1], address[2]
        self._socket = socket.socket(family, kind, protocol)
        self._socket.setblocking(False)
        return self._socket
