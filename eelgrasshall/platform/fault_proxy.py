"""A TCP proxy that injects network faults.

Forwards bytes between its clients and one target.  Delays and blocked
directions apply to all connections.  While a direction is blocked, its bytes
are buffered and forwarded later, which is how TCP behaves on a network that
drops packets.  Connections that are open can also be reset, or silenced for
good while new connections work.
"""

import asyncio
import collections
import enum
import socket
import struct

from eelgrasshall.gateway import model


class Direction(enum.Enum):
    """The direction in which bytes are forwarded."""

    TO_TARGET = "to target"
    FROM_TARGET = "from target"


class FaultProxy:
    """A listening port that forwards connections to a target.

    Attributes:
      delay_s: Delay that is added in each direction, seconds.
      blocked: The directions in which no bytes are forwarded.

    Args:
      target: Address of the target.
    """

    def __init__(self, *, target: model.Address):
        self.delay_s = 0.0
        self.blocked: set[Direction] = set()
        self._target = target
        self._endpoints: set[_Endpoint] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: model.Address) -> None:
        """Starts to listen on an address.

        Raises:
          OSError: The address cannot be bound.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Endpoint(proxy=self, direction=Direction.TO_TARGET),
            address.ip,
            address.port,
        )

    def stop(self) -> None:
        """Closes the listening port and resets all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Resets all open connections."""
        # Zero linger time: closing sends RST instead of FIN.
        linger = struct.pack("ii", 1, 0)
        for endpoint in list(self._endpoints):
            endpoint.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            endpoint.transport.abort()

    def silence_connections(self) -> None:
        """Stops forwarding on all open connections, without closing them."""
        for endpoint in self._endpoints:
            endpoint.silenced = True

    def restore(self) -> None:
        """Removes delays and blocks, and forwards the buffered bytes.

        Silenced connections stay silenced.
        """
        self.delay_s = 0.0
        self.blocked.clear()
        for endpoint in list(self._endpoints):
            endpoint.flush()

    def add(self, endpoint: "_Endpoint") -> None:
        """Registers an endpoint, and connects an accepted one to the target."""
        self._endpoints.add(endpoint)
        if endpoint.direction is Direction.TO_TARGET:
            task = asyncio.get_running_loop().create_task(
                self._connect(endpoint)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def remove(self, endpoint: "_Endpoint") -> None:
        """Unregisters an endpoint."""
        self._endpoints.discard(endpoint)

    async def _connect(self, accepted: "_Endpoint") -> None:
        """Opens the connection to the target for an accepted connection."""
        try:
            _, opened = await asyncio.get_running_loop().create_connection(
                lambda: _Endpoint(proxy=self, direction=Direction.FROM_TARGET),
                *self._target,
            )
        except OSError:
            # The target is unreachable; the client sees an aborted connection.
            accepted.transport.abort()
            return
        opened.peer, accepted.peer = accepted, opened
        opened.silenced = accepted.silenced
        accepted.flush()
        opened.flush()


class _Endpoint(asyncio.Protocol):
    """One endpoint of a proxied connection; forwards what it reads to its peer.

    Attributes:
      direction: The direction in which it forwards.
      transport: Its transport, None until it is connected.
      peer: The endpoint of the other connection, None until that is open.
      silenced: Whether it no longer forwards anything.
    """

    def __init__(self, *, proxy: FaultProxy, direction: Direction):
        self.direction = direction
        self.transport: asyncio.Transport | None = None
        self.peer: _Endpoint | None = None
        self.silenced = False
        self._proxy = proxy
        self._buffer: collections.deque[bytes | None] = collections.deque()
        self._released = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers with the proxy."""
        self.transport = transport
        self._proxy.add(self)

    def data_received(self, data: bytes) -> None:
        """Buffers bytes for the configured delay."""
        self._enqueue(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Buffers the end of the connection, behind the bytes before it."""
        self._proxy.remove(self)
        self._enqueue(None)

    def flush(self) -> None:
        """Forwards all released items, unless this direction is blocked."""
        if self.silenced or self.direction in self._proxy.blocked:
            return
        while self._released and self.peer is not None:
            self._released -= 1
            data = self._buffer.popleft()
            if data is None:
                self.peer.transport.close()
            elif not self.peer.transport.is_closing():
                self.peer.transport.write(data)

    def _enqueue(self, data: bytes | None) -> None:
        """Buffers bytes, or None for the end, and schedules their release."""
        self._buffer.append(data)
        asyncio.get_running_loop().call_later(
            self._proxy.delay_s, self._release_next
        )

    def _release_next(self) -> None:
        """Releases the next buffered item."""
        self._released += 1
        self.flush()
