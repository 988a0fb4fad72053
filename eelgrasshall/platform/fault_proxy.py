"""A TCP proxy that injects network faults.

Forwards bytes between its clients and one target.  Delays and blocked
directions apply to all connections.  While a direction is blocked, its bytes
are buffered and forwarded later, which is how TCP behaves on a network that
drops packets.  Connections that are open can also be reset, or silenced for
good while new connections work.

A proxy may listen on further ports, its links.  Each link can be cut off from
the target by itself, so that some clients reach it and others do not.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import enum
import socket
import struct

from eelgrasshall.gateway import model

_BACKLOG = 128
# The link of connections to the proxy's main address.
_MAIN = ""


class Direction(enum.Enum):
    """The direction in which bytes are forwarded."""

    TO_TARGET = "to target"
    FROM_TARGET = "from target"


class Cut(enum.Enum):
    """How a link is cut off.

    Attributes:
      HANG: Open connections are silent, what was sent on them is forwarded
        after the cut; connecting takes until the client gives up.
      RESET: Open connections are reset, connecting is refused.
      REFUSE_NEW: Open connections work, connecting is refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse new"


class FaultProxy:
    """A listening port that forwards connections to a target.

    Attributes:
      delay_s: Delay that is added in each direction, seconds.
      blocked: The directions in which no bytes are forwarded.
      sent_counts: Number of pieces of data that were forwarded to the target,
        by link.

    Args:
      target: Address of the target.
    """

    def __init__(self, *, target: model.Address):
        self.delay_s = 0.0
        self.blocked: set[Direction] = set()
        self.sent_counts: collections.Counter[str] = collections.Counter()
        self._target = target
        self._ports: dict[str, _Port] = {}
        self._cuts: dict[str, Cut] = {}
        self._endpoints: set[_Endpoint] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(
        self,
        address: model.Address,
        *,
        links: Mapping[str, model.Address] | None = None,
    ) -> None:
        """Starts to listen on its addresses; links that were cut stay cut.

        Args:
          address: The main address.
          links: Addresses of the links, by name.

        Raises:
          OSError: An address cannot be bound.
        """
        for link, each in {_MAIN: address, **(links or {})}.items():
            self._ports[link] = _Port(
                address=each,
                accept=lambda accepted, link=link: self._accept(accepted, link),
            )
            self._listen(link)

    def stop(self) -> None:
        """Closes the listening ports and resets all connections."""
        for port in self._ports.values():
            port.close()
        self._ports.clear()
        for task in self._tasks:
            task.cancel()
        self.reset_connections()

    def cut(self, link: str, kind: Cut) -> None:
        """Cuts a link off until it is mended; it may be cut already."""
        self._cuts[link] = kind
        if link in self._ports:
            self._listen(link)
        if kind is Cut.RESET:
            self.reset_connections(link)
        self._flush()

    def mend(self, link: str) -> None:
        """Ends the cut of a link, if there is one."""
        if self._cuts.pop(link, None) is None:
            return
        if link in self._ports:
            self._listen(link)
        self._flush()

    def is_silent(self, endpoint: "_Endpoint") -> bool:
        """Returns whether an endpoint must not forward anything now."""
        return (
            endpoint.direction in self.blocked
            or self._cuts.get(endpoint.link) is Cut.HANG
        )

    def reset_connections(self, link: str | None = None) -> None:
        """Resets all open connections, or only those of a link."""
        # Zero linger time: closing sends RST instead of FIN.
        linger = struct.pack("ii", 1, 0)
        for endpoint in list(self._endpoints):
            if link in (None, endpoint.link):
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

        Silenced connections stay silenced, and links that are cut stay cut.
        """
        self.delay_s = 0.0
        self.blocked.clear()
        self._flush()

    def add(self, endpoint: "_Endpoint") -> None:
        """Registers an endpoint, and connects an accepted one to the target."""
        self._endpoints.add(endpoint)
        if endpoint.direction is Direction.TO_TARGET:
            self._create_task(self._connect(endpoint))

    def remove(self, endpoint: "_Endpoint") -> None:
        """Unregisters an endpoint."""
        self._endpoints.discard(endpoint)

    def _listen(self, link: str) -> None:
        """Lets the port of a link listen as its cut demands."""
        port = self._ports[link]
        kind = self._cuts.get(link)
        if kind is None:
            port.open()
        elif kind is Cut.HANG:
            port.open()
            port.fill()
        else:
            port.close()

    def _flush(self) -> None:
        """Forwards what is buffered and may be forwarded."""
        for endpoint in list(self._endpoints):
            endpoint.flush()

    def _accept(self, accepted: socket.socket, link: str) -> None:
        """Takes a new connection of a client."""
        self._create_task(
            asyncio.get_running_loop().connect_accepted_socket(
                lambda: _Endpoint(
                    proxy=self, direction=Direction.TO_TARGET, link=link
                ),
                accepted,
            )
        )

    def _create_task(self, coroutine) -> None:
        """Runs a coroutine until it ends or the proxy stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, accepted: "_Endpoint") -> None:
        """Opens the connection to the target for an accepted connection."""
        try:
            _, opened = await asyncio.get_running_loop().create_connection(
                lambda: _Endpoint(
                    proxy=self,
                    direction=Direction.FROM_TARGET,
                    link=accepted.link,
                ),
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


class _Port:
    """A listening port.

    Args:
      address: Address to listen on.
      accept: Takes each new connection.
    """

    def __init__(
        self,
        *,
        address: model.Address,
        accept: Callable[[socket.socket], None],
    ):
        self._address = address
        self._accept = accept
        self._socket: socket.socket | None = None
        self._filler: socket.socket | None = None

    def open(self) -> None:
        """Accepts connections, from now on or again.

        Raises:
          OSError: The address cannot be bound.
        """
        if self._filler is not None:
            self._filler.close()
            self._filler = None
        if self._socket is None:
            self._socket = socket.create_server(self._address, backlog=_BACKLOG)
            self._socket.setblocking(False)
        else:
            self._socket.listen(_BACKLOG)
        asyncio.get_running_loop().add_reader(
            self._socket, self._accept_waiting
        )

    def fill(self) -> None:
        """Accepts nothing, so that connecting hangs.

        The kernel drops packets that would open a connection while the backlog
        is full.  The first connection to a backlog of 0 fills it.
        """
        self._accept_waiting()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.listen(0)
        self._filler = socket.socket()
        self._filler.setblocking(False)
        self._filler.connect_ex(self._address)

    def close(self) -> None:
        """Refuses connections."""
        if self._filler is not None:
            self._filler.close()
            self._filler = None
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _accept_waiting(self) -> None:
        """Accepts the connections that wait in the backlog."""
        while True:
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return
            accepted.setblocking(False)
            self._accept(accepted)


class _Endpoint(asyncio.Protocol):
    """One endpoint of a proxied connection; forwards what it reads to its peer.

    Attributes:
      direction: The direction in which it forwards.
      link: The link on which the client connected.
      transport: Its transport, None until it is connected.
      peer: The endpoint of the other connection, None until that is open.
      silenced: Whether it no longer forwards anything.
    """

    def __init__(self, *, proxy: FaultProxy, direction: Direction, link: str):
        self.direction = direction
        self.link = link
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
        if self.silenced or self._proxy.is_silent(self):
            return
        while self._released and self.peer is not None:
            self._released -= 1
            data = self._buffer.popleft()
            if data is None:
                self.peer.transport.close()
            elif not self.peer.transport.is_closing():
                self.peer.transport.write(data)
                if self.direction is Direction.TO_TARGET:
                    self._proxy.sent_counts[self.link] += 1

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
