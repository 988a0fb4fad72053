"""Network emulator between the daemons: latency, partitions, stalled streams.

This process listens on one port for each daemon and forwards bytes to the peer
port of that daemon after the one-way latency between the two zones.  Cutting a
direction holds its bytes back until the cut is removed, as TCP does while the
network drops packets.  A silenced connection stays open but never forwards a
byte again.  Run as a process: `python -m measure.latency SPEC.json`.
"""

import asyncio
import collections
import contextlib
import os
import socket
import struct
from typing import Any
from typing import NamedTuple

from eelgrasshall.fakes import process

UNKNOWN = "unknown"
# sock_diag(7): protocol, message type, length of the netlink header, offset of
# the inode in the body of the reply.
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_HEADER_BYTES = 16
_INODE_OFFSET = 68
# Stands for "no socket cookie" and for "all states".
_U32_MAX = 0xFFFFFFFF


class Route(NamedTuple):
    """A daemon to forward to.

    Attributes:
      name: Name of the host.
      zone: Its availability zone.
      target_port: Peer port on which the daemon listens.
    """

    name: str
    zone: str
    target_port: int


class NetworkEmulator:
    """State of the emulated links between the daemons.

    Args:
      routes: Routes by host name.
      delay_s: One-way latency between different zones in seconds.
    """

    def __init__(self, *, routes: dict[str, Route], delay_s: float):
        self.routes = routes
        self.cuts: set[tuple[str, str]] = set()
        self.socket_owners = SocketOwners()
        self.forwarded_bytes = 0
        self._delay_s = delay_s
        self._pipes: set[_Pipe] = set()

    def get_delay_s(self, source: str, target: str) -> float:
        """Returns the one-way latency between two hosts in seconds.

        It is 0 if either host is unknown or both are in one zone.
        """
        ends = [self.routes.get(name) for name in (source, target)]
        if None in ends or ends[0].zone == ends[1].zone:
            return 0.0
        return self._delay_s

    def add(self, pipe: "_Pipe") -> None:
        """Registers an open pipe."""
        self._pipes.add(pipe)

    def remove(self, pipe: "_Pipe") -> None:
        """Unregisters a closed pipe."""
        self._pipes.discard(pipe)

    def update_pids(self, pids: dict[str, int]) -> None:
        """Adds process ids by host and identifies unknown sources again."""
        self.socket_owners.pids.update(pids)
        for pipe in list(self._pipes):
            pipe.identify_source()

    def set_cuts(self, cuts: list[list[str]]) -> None:
        """Sets the cut directions, as pairs of source and target host."""
        self.cuts = {(source, target) for source, target in cuts}
        for pipe in list(self._pipes):
            pipe.flush()

    def silence_connections(self) -> int:
        """Silences all open connections; returns the number of pipes."""
        for pipe in self._pipes:
            pipe.silent = True
        return len(self._pipes)


class _Pipe(asyncio.Protocol):
    """One direction of a connection; forwards what it reads to its peer."""

    def __init__(self, network: NetworkEmulator):
        self._network = network
        self._queue: collections.deque[bytes | None] = collections.deque()
        self._due_count = 0
        self.source = UNKNOWN
        self.target = UNKNOWN
        self.silent = False
        self.transport: asyncio.Transport | None = None
        self.peer: _Pipe | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._network.add(self)

    def identify_source(self) -> None:
        """Identifies the sending host if it is not known yet."""

    def data_received(self, data: bytes) -> None:
        self._network.forwarded_bytes += len(data)
        self._enqueue(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._network.remove(self)
        self._enqueue(None)

    def _enqueue(self, data: bytes | None) -> None:
        """Queues bytes, or None for the end of the stream, for the peer."""
        self._queue.append(data)
        delay_s = self._network.get_delay_s(self.source, self.target)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._mark_due)

    def _mark_due(self) -> None:
        """Marks the next queued item as due and forwards what it may."""
        self._due_count += 1
        self.flush()

    def flush(self) -> None:
        """Forwards all due items unless this direction is cut or silent."""
        if self.silent or (self.source, self.target) in self._network.cuts:
            return
        out = self.peer.transport if self.peer else None
        if out is None:
            return
        while self._due_count:
            self._due_count -= 1
            data = self._queue.popleft()
            if data is None:
                out.close()
            elif not out.is_closing():
                out.write(data)


class _AcceptedPipe(_Pipe):
    """The pipe of a connection that a daemon opened to the emulator."""

    def __init__(self, network: NetworkEmulator, route: Route):
        super().__init__(network)
        self._route = route
        self._connect_task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._connect_task = asyncio.create_task(self._connect())

    def identify_source(self) -> None:
        if self.source != UNKNOWN:
            return
        self.source = self._network.socket_owners.find_process(
            self.transport.get_extra_info("peername"),
            self.transport.get_extra_info("sockname"),
        )
        if self.peer is not None:
            self.peer.target = self.source

    async def _connect(self) -> None:
        """Identifies the source and connects to the target daemon."""
        self.identify_source()
        self.target = self._route.name
        loop = asyncio.get_running_loop()
        try:
            _, out = await loop.create_connection(
                lambda: _Pipe(self._network),
                "127.0.0.1",
                self._route.target_port,
            )
        except OSError:
            self.transport.abort()
            return
        out.source, out.target = self.target, self.source
        out.peer, self.peer = self, out
        out.flush()
        self.flush()


class SocketOwners:
    """Finds the process that owns a socket.

    Caches socket links, so that processes are scanned only for a new socket.
    """

    def __init__(self):
        self.pids: dict[str, int] = {}
        self._names_by_link: dict[str, str] = {}

    def find_process(
        self, local: tuple[str, int], remote: tuple[str, int]
    ) -> str:
        """Returns the name of the host whose process owns a TCP socket.

        Args:
          local: Local address and port of the socket.
          remote: Address and port that it is connected to.
        """
        inode = _find_inode(local, remote)
        if inode is None:
            return UNKNOWN
        link = f"socket:[{inode}]"
        if link not in self._names_by_link:
            self._scan_sockets()
        return self._names_by_link.get(link, UNKNOWN)

    def _scan_sockets(self) -> None:
        """Records the open sockets of all known processes."""
        for name, pid in self.pids.items():
            for link in _list_socket_links(pid):
                self._names_by_link[link] = name


def _find_inode(local: tuple[str, int], remote: tuple[str, int]) -> int | None:
    """Returns the inode of a connected socket, or None if there is none.

    Both ends are needed, as connections to different targets may share a local
    port.  The kernel finds the socket in its hash table, so the cost does not
    depend on the number of sockets.
    """
    ends = struct.pack("!HH", local[1], remote[1])
    for host, _ in (local, remote):
        ends += socket.inet_aton(host).ljust(16, b"\0")
    request = struct.pack(
        "=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, _U32_MAX
    )
    request += ends + struct.pack("=III", 0, _U32_MAX, _U32_MAX)
    header = struct.pack(
        "=IHHII", _HEADER_BYTES + len(request), _SOCK_DIAG_BY_FAMILY, 1, 0, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as netlink_socket:
        netlink_socket.send(header + request)
        reply = netlink_socket.recv(4096)
    message_type = struct.unpack_from("=IH", reply)[1]
    if message_type != _SOCK_DIAG_BY_FAMILY:
        return None
    return struct.unpack_from("=I", reply, _HEADER_BYTES + _INODE_OFFSET)[0]


def _list_socket_links(pid: int) -> list[str]:
    """Returns the `socket:[INODE]` links of the open sockets of a process."""
    directory = f"/proc/{pid}/fd"
    links = []
    try:
        for number in os.listdir(directory):
            with contextlib.suppress(OSError):
                links.append(os.readlink(f"{directory}/{number}"))
    except OSError:
        return []
    return [link for link in links if link.startswith("socket:")]


async def serve(spec: dict[str, Any]) -> None:
    """Runs the emulator until the process is asked to shut down.

    Args:
      spec: `delay_s` in seconds and `routes`, a list of `Route` fields.
    """
    routes = {each["name"]: Route(**each) for each in spec["routes"]}
    network = NetworkEmulator(routes=routes, delay_s=spec["delay_s"])
    loop = asyncio.get_running_loop()
    ports = {}
    servers = []
    for route in routes.values():
        server = await loop.create_server(
            lambda route=route: _AcceptedPipe(network, route), "127.0.0.1", 0
        )
        servers.append(server)
        ports[route.name] = server.sockets[0].getsockname()[1]

    async def control(command: dict[str, Any]) -> Any:
        """Handles the control fields `pids`, `cuts` and `silence`."""
        network.update_pids(command.get("pids", {}))
        if "cuts" in command:
            network.set_cuts(command["cuts"])
        silenced = (
            network.silence_connections() if command.get("silence") else 0
        )
        return {"silenced": silenced, "bytes": network.forwarded_bytes}

    runner, control_port = await process.serve_control(control)
    process.print_ready(control=control_port, ports=ports)
    await process.wait_for_shutdown()
    await runner.cleanup()
    for server in servers:
        server.close()


if __name__ == "__main__":
    process.run(serve)
