"""A forwarder between the daemons: latency between zones, cuts, silence.

Each daemon is reached at a port of this process, which passes bytes on to the
daemon's own peer port after the one-way latency between the two zones.  A cut
of one direction holds its bytes back until it is healed, as a network that
drops packets does to TCP.  A silenced connection never passes a byte again.
As a process: `python -m measure.latency SPEC.json`.
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
# The kernel's socket diagnosis, sock_diag(7): protocol, message type, bytes of
# a message's head, offset of the inode in the answer.
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_HEAD_BYTES = 16
_INODE_OFFSET = 68
# No socket cookie, and all states.
_U32 = 0xFFFFFFFF


class Route(NamedTuple):
    """How a daemon is reached.

    Attributes:
      name: The daemon.
      zone: Its availability zone.
      target_port: Its own peer port.
    """

    name: str
    zone: str
    target_port: int


class Network:
    """State of the links between the daemons.

    Args:
      routes: The daemons by name.
      delay_s: One-way latency between different zones in seconds.
    """

    def __init__(self, *, routes: dict[str, Route], delay_s: float):
        self.routes = routes
        self.cuts: set[tuple[str, str]] = set()
        self.owners = Owners()
        self.bytes_passed = 0
        self._delay_s = delay_s
        self._pipes: set[_Pipe] = set()

    def find_delay_s(self, source: str, target: str) -> float:
        """Returns the one-way latency of a link."""
        ends = [self.routes.get(name) for name in (source, target)]
        if None in ends or ends[0].zone == ends[1].zone:
            return 0.0
        return self._delay_s

    def add(self, pipe: "_Pipe") -> None:
        """Keeps track of an open pipe."""
        self._pipes.add(pipe)

    def remove(self, pipe: "_Pipe") -> None:
        """Forgets a closed pipe."""
        self._pipes.discard(pipe)

    def learn_pids(self, pids: dict[str, int]) -> None:
        """Learns process ids, and whose connections were of unknown owner."""
        self.owners.pids.update(pids)
        for pipe in list(self._pipes):
            pipe.find_source()

    def set_cuts(self, cuts: list[list[str]]) -> None:
        """Replaces the directions that are cut, as pairs of names."""
        self.cuts = {(source, target) for source, target in cuts}
        for pipe in list(self._pipes):
            pipe.flush()

    def silence(self) -> int:
        """Silences every connection open now; returns how many pipes."""
        for pipe in self._pipes:
            pipe.silent = True
        return len(self._pipes)


class _Pipe(asyncio.Protocol):
    """One direction of a connection: what is read here is written there."""

    def __init__(self, network: Network):
        self._network = network
        self._held: collections.deque[bytes | None] = collections.deque()
        self._due = 0
        self.source = UNKNOWN
        self.target = UNKNOWN
        self.silent = False
        self.transport: asyncio.Transport | None = None
        self.other: _Pipe | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._network.add(self)

    def find_source(self) -> None:
        """Finds out who sends here, if that is not known."""

    def data_received(self, data: bytes) -> None:
        self._network.bytes_passed += len(data)
        self._pass_on(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._network.remove(self)
        self._pass_on(None)

    def _pass_on(self, data: bytes | None) -> None:
        """Queues bytes, or the end of the connection, for the other side."""
        self._held.append(data)
        delay_s = self._network.find_delay_s(self.source, self.target)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._arrive)

    def _arrive(self) -> None:
        """Counts one more item as due and passes on what may pass."""
        self._due += 1
        self.flush()

    def flush(self) -> None:
        """Passes on everything due unless this direction is cut."""
        if self.silent or (self.source, self.target) in self._network.cuts:
            return
        out = self.other.transport if self.other else None
        if out is None:
            return
        while self._due:
            self._due -= 1
            data = self._held.popleft()
            if data is None:
                out.close()
            elif not out.is_closing():
                out.write(data)


class _Accepted(_Pipe):
    """The side that a daemon has connected to."""

    def __init__(self, network: Network, route: Route):
        super().__init__(network)
        self._route = route
        self._connecting: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._connecting = asyncio.create_task(self._connect())

    def find_source(self) -> None:
        if self.source != UNKNOWN:
            return
        self.source = self._network.owners.find(
            self.transport.get_extra_info("peername"),
            self.transport.get_extra_info("sockname"),
        )
        if self.other is not None:
            self.other.target = self.source

    async def _connect(self) -> None:
        """Finds out who connects and connects to the daemon's own port."""
        self.find_source()
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
        out.other, self.other = self, out
        out.flush()
        self.flush()


class Owners:
    """Knows which process holds which socket, scanning as rarely as it can."""

    def __init__(self):
        self.pids: dict[str, int] = {}
        self._names: dict[str, str] = {}

    def find(self, local: tuple[str, int], remote: tuple[str, int]) -> str:
        """Returns the name of the process that holds a TCP socket.

        Args:
          local: The socket's own address and port.
          remote: Address and port that it is connected to.
        """
        inode = _find_inode(local, remote)
        if inode is None:
            return UNKNOWN
        link = f"socket:[{inode}]"
        if link not in self._names:
            self._scan()
        return self._names.get(link, UNKNOWN)

    def _scan(self) -> None:
        """Reads the open sockets of every process."""
        for name, pid in self.pids.items():
            for link in _read_sockets(pid):
                self._names[link] = name


def _find_inode(local: tuple[str, int], remote: tuple[str, int]) -> int | None:
    """Returns the inode of a connected socket, asked for by both its ends.

    A port alone does not tell: connections to different places may share it.
    The kernel looks the socket up in its hash table, whatever their number.
    """
    ends = struct.pack("!HH", local[1], remote[1])
    for host, _ in (local, remote):
        ends += socket.inet_aton(host).ljust(16, b"\0")
    request = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, _U32)
    request += ends + struct.pack("=III", 0, _U32, _U32)
    head = struct.pack(
        "=IHHII", _HEAD_BYTES + len(request), _SOCK_DIAG_BY_FAMILY, 1, 0, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as asking:
        asking.send(head + request)
        answer = asking.recv(4096)
    kind = struct.unpack_from("=IH", answer)[1]
    if kind != _SOCK_DIAG_BY_FAMILY:
        return None
    return struct.unpack_from("=I", answer, _HEAD_BYTES + _INODE_OFFSET)[0]


def _read_sockets(pid: int) -> list[str]:
    """Returns the links of the sockets that a process has open."""
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
    """Runs the forwarder until told to end.

    Args:
      spec: `delay_s` and `routes`, a list of name, zone and target port.
    """
    routes = {each["name"]: Route(**each) for each in spec["routes"]}
    network = Network(routes=routes, delay_s=spec["delay_s"])
    loop = asyncio.get_running_loop()
    ports = {}
    servers = []
    for route in routes.values():
        server = await loop.create_server(
            lambda route=route: _Accepted(network, route), "127.0.0.1", 0
        )
        servers.append(server)
        ports[route.name] = server.sockets[0].getsockname()[1]

    async def control(command: dict[str, Any]) -> Any:
        """Takes pids, cuts and the order to silence."""
        network.learn_pids(command.get("pids", {}))
        if "cuts" in command:
            network.set_cuts(command["cuts"])
        silenced = network.silence() if command.get("silence") else 0
        return {"silenced": silenced, "bytes": network.bytes_passed}

    runner, control_port = await process.serve_control(control)
    process.print_ready(control=control_port, ports=ports)
    await process.wait_for_shutdown()
    await runner.cleanup()
    for server in servers:
        server.close()


if __name__ == "__main__":
    process.run(serve)
