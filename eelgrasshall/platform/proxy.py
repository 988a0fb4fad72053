"""A loopback proxy that harms the connections that go through it.

It passes bytes on between whoever connects and one target.  All connections
may be delayed or cut in one direction, in which case bytes are held back as a
network that drops packets does to TCP; those that are open may be reset, or
silenced for good while new ones work.
"""

import asyncio
import collections
import enum
import socket
import struct

from eelgrasshall.gateway import model


class Direction(enum.Enum):
    """Which way bytes go."""

    TO_TARGET = "to target"
    FROM_TARGET = "from target"


class Proxy:
    """A port that leads to a target.

    Attributes:
      delay_s: How long bytes take each way, seconds.
      cut: The directions in which nothing passes.

    Args:
      target: Where connections lead.
    """

    def __init__(self, *, target: model.Address):
        self.delay_s = 0.0
        self.cut: set[Direction] = set()
        self._target = target
        self._sides: set[_Side] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: model.Address) -> None:
        """Opens the address.

        Raises:
          OSError: It cannot be bound.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Side(proxy=self, direction=Direction.TO_TARGET),
            address.host,
            address.port,
        )

    def stop(self) -> None:
        """Closes the address and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        self.reset()

    def reset(self) -> None:
        """Resets all open connections."""
        linger = struct.pack("ii", 1, 0)
        for side in list(self._sides):
            side.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            side.transport.abort()

    def silence(self) -> None:
        """Lets no byte of the open connections pass ever again."""
        for side in self._sides:
            side.silent = True

    def restore(self) -> None:
        """Ends delays and cuts; what was held back passes on."""
        self.delay_s = 0.0
        self.cut.clear()
        for side in list(self._sides):
            side.flush()

    def add(self, side: "_Side") -> None:
        """Keeps one side of a connection, and connects it to the target."""
        self._sides.add(side)
        if side.direction is Direction.TO_TARGET:
            task = asyncio.get_running_loop().create_task(self._connect(side))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def remove(self, side: "_Side") -> None:
        """Forgets one side of a connection."""
        self._sides.discard(side)

    async def _connect(self, accepted: "_Side") -> None:
        """Connects to the target for a connection that was accepted."""
        try:
            _, other = await asyncio.get_running_loop().create_connection(
                lambda: _Side(proxy=self, direction=Direction.FROM_TARGET),
                *self._target,
            )
        except OSError:
            # The target is down; whoever connected sees a reset.
            accepted.transport.abort()
            return
        other.other, accepted.other = accepted, other
        other.silent = accepted.silent
        accepted.flush()
        other.flush()


class _Side(asyncio.Protocol):
    """Passes on what it reads to the other side of its connection."""

    def __init__(self, *, proxy: Proxy, direction: Direction):
        self.direction = direction
        self.transport: asyncio.Transport | None = None
        self.other: _Side | None = None
        self.silent = False
        self._proxy = proxy
        self._held: collections.deque[bytes | None] = collections.deque()
        self._due = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Joins the proxy's connections."""
        self.transport = transport
        self._proxy.add(self)

    def data_received(self, data: bytes) -> None:
        """Holds bytes until they are due."""
        self._hold(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Holds the end of the connection until it is due."""
        self._proxy.remove(self)
        self._hold(None)

    def flush(self) -> None:
        """Passes on all that is due, unless this direction is cut."""
        if self.silent or self.direction in self._proxy.cut:
            return
        while self._due and self.other is not None:
            self._due -= 1
            data = self._held.popleft()
            if data is None:
                self.other.transport.close()
            elif not self.other.transport.is_closing():
                self.other.transport.write(data)

    def _hold(self, data: bytes | None) -> None:
        """Keeps bytes, or the end, for the time that they take."""
        self._held.append(data)
        asyncio.get_running_loop().call_later(self._proxy.delay_s, self._arrive)

    def _arrive(self) -> None:
        """Counts one more piece as due."""
        self._due += 1
        self.flush()
