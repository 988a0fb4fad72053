"""A small fleet for tests and the soak: stand-ins and real processes.

The store and the backend servers are stand-ins in this process; the entry
hosts are processes of the real program, each with its own settings file.  The
hosts reach the store each through a proxy of its own, and each server through
one that they share.
"""

import asyncio
import os
import pathlib
import signal
import sys
from typing import Any
from typing import BinaryIO

from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.platform import proxy
from eelgrasshall.platform import standins

_ZONES = ("a", "b", "c")
_PORTS_PER_HOST = 8
# Offset of the port of a host's way to the store from the host's first port.
_STORE_PROXY_PORT = 7
_SETTINGS = """
nodeName = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
innerPorts = [{inner}, {inner_last}]
seeds = {seeds}
[listen]
front = "127.0.0.1:{front}"
readyAddr = "127.0.0.1:{ready}"
controlAddr = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[limits]
cpuShare = 1.0
cores = 1
linkMbps = 1000.0
[bounds]
contactMs = 4000
configApplyMs = 3000
drainMs = 3000
evacuateMs = 5000
graceS = 6
budgetRatio = 0.2
budgetExtra = 54
coldMultiplier = 1.5
coldSlack = 5
ttl_max_s = 5
[platform]
address = "127.0.0.1:{store}"
"""


class BackendServer:
    """A stand-in for a backend server; it counts what it runs.

    Args:
      server_id: Its id.
      work_s: Seconds that a request takes.
    """

    def __init__(self, *, server_id: str, work_s: float = 0.005):
        self.server_id = server_id
        self.work_s = work_s
        self.ran: list[tuple[str, bytes]] = []
        self._listener = listener.Listener(
            handler=self._handle, get_limits=model.CallerLimits
        )

    async def start(self, address: model.Address) -> None:
        """Opens the address."""
        await self._listener.start(address)

    def stop(self) -> None:
        """Ends without a word."""
        self._listener.stop()

    async def _handle(self, request: messages.Request) -> listener.Response:
        """Runs one request, or tells the health."""
        request_id = (request.find(b"x-attempt-id") or b"").decode()
        own = [(b"X-Instance-Id", self.server_id.encode())]
        if not request_id:
            return listener.Response(200, own, b"")
        if request.find(b"x-target-instance") != self.server_id.encode():
            return listener.Response(421, own, b"")
        self.ran.append((request_id, request.target + request.body))
        await asyncio.sleep(self.work_s)
        seal = f"{self.server_id}.{request_id}".encode()
        headers = [
            (b"X-Attempt-Id", request_id.encode()),
            (b"X-Server-Seal", seal),
        ]
        body = self.server_id.encode().ljust(16, b".")
        return listener.Response(200, headers, body)


class Fleet:
    """A store, backend servers and entry hosts on the loopback address.

    Args:
      folder: Where settings and logs are kept.
      port: The first port to use; a fleet uses eight for each host and two
        for each server beyond it.
      hosts: Number of entry hosts.
      shards: Number of services that a search asks.
      replicas: Backend servers of each.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        port: int,
        hosts: int = 2,
        shards: int = 3,
        replicas: int = 2,
    ):
        self._folder = folder
        self._port = port
        self.store = standins.Store()
        self._store_address = model.Address("127.0.0.1", port)
        self.shards = [f"shard{i}" for i in range(shards)]
        self.servers: dict[str, BackendServer] = {}
        self._addresses: dict[str, model.Address] = {}
        self.server_proxies: dict[str, proxy.Proxy] = {}
        self.store_proxies: dict[str, proxy.Proxy] = {}
        server_port = port + 1 + hosts * _PORTS_PER_HOST
        for shard in self.shards:
            for replica in range(replicas):
                name = f"{shard}-{replica}"
                self.servers[name] = BackendServer(server_id=name)
                target = model.Address("127.0.0.1", server_port)
                self.server_proxies[name] = proxy.Proxy(target=target)
                self._addresses[name] = target
                server_port += 1
        self.names = [f"host{i}" for i in range(hosts)]
        for name in self.names:
            self.store_proxies[name] = proxy.Proxy(target=self._store_address)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._started: list[asyncio.subprocess.Process] = []
        self.version = 0

    async def start(self) -> None:
        """Starts everything."""
        self._folder.mkdir(parents=True, exist_ok=True)
        await self.store.start(self._store_address)
        for name, each in self.store_proxies.items():
            port = self.find_port(name, _STORE_PROXY_PORT)
            await each.start(model.Address("127.0.0.1", port))
        for name, server in self.servers.items():
            await server.start(self._addresses[name])
            await self.server_proxies[name].start(self._find_proxy(name))
            self.register(name)
        self.configure()
        for name in self.names:
            await self.start_host(name)

    async def stop(self) -> None:
        """Ends all processes that this fleet started."""
        for process in self._started:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for each in self.list_proxies():
            each.stop()
        for server in self.servers.values():
            server.stop()
        self.store.stop()

    def list_proxies(self) -> list[proxy.Proxy]:
        """Returns all proxies."""
        return [*self.store_proxies.values(), *self.server_proxies.values()]

    def register(self, name: str, *, state: str = "ready") -> None:
        """Writes a server's entry."""
        index = int(name.rpartition("-")[2])
        spec = {
            "service": name.rpartition("-")[0],
            "address": str(self._find_proxy(name)),
            "zone": _ZONES[index % 3],
            "slots": 6,
            "state": state,
            "coldLeftMs": 0,
            "born": 1,
        }
        self.store.put("servers", name, spec)

    def configure(self, **changes: Any) -> None:
        """Writes the next configuration."""
        self.version += 1
        route = {"host": "orders.example", "goalMs": 300, "priority": 1}
        search = {
            **route,
            "name": "search",
            "pathPrefix": "/search/",
            "routeType": "idempotent",
            "timeoutMs": 2000,
            "gather": self.shards,
            "maxAttempts": 2,
            "topN": 3,
            "minShare": 0.5,
            **changes,
        }
        once = {
            **route,
            "name": "once",
            "pathPrefix": "/once/",
            "routeType": "non_idempotent",
            "timeoutMs": 3000,
            "service": self.shards[0],
            "maxAttempts": 1,
        }
        services = [
            {"name": name, "healthPath": "/health", "maxConns": 40}
            for name in self.shards
        ]
        limits = {
            "headerBytes": 16384,
            "bodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        spec = {
            "version": self.version,
            "routes": [search, once],
            "services": services,
            "limits": limits,
        }
        self.store.put("config", "main", spec)

    async def start_host(self, name: str) -> None:
        """Starts an entry host's process.

        A caller that is cancelled meanwhile does not lose the process, which
        would otherwise outlive the fleet.
        """
        await asyncio.shield(asyncio.ensure_future(self._start_host(name)))

    async def _start_host(self, name: str) -> None:
        """Starts a process and keeps it."""
        path = self._folder / f"{name}.toml"
        path.write_text(self._make_settings(name), encoding="utf-8")
        with self._open_log(name) as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "eelgrasshall.platform.program",
                stdout=log,
                stderr=log,
                env={**os.environ, "EELGRASSHALL_NODE_FILE": str(path)},
            )
        self._started.append(process)
        self.processes[name] = process

    def signal_host(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a host's process, if it still runs."""
        if self.processes[name].returncode is None:
            self.processes[name].send_signal(number)

    def find_port(self, name: str, offset: int = 0) -> int:
        """Returns the callers' port of a host, or another one of its ports."""
        index = self.names.index(name)
        return self._port + 1 + index * _PORTS_PER_HOST + offset

    def read_log(self, name: str) -> str:
        """Returns what a host has logged."""
        return (self._folder / f"{name}.log").read_text(encoding="utf-8")

    async def call(
        self, name: str, target: str, request_id: str, *, budget_ms: int = 2000
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a caller's request on a connection of its own.

        Raises:
          OSError: The host cannot be reached, or ended the connection.
        """
        data = (
            f"POST {target} HTTP/1.1\r\nHost: orders.example\r\n"
            f"X-Attempt-Id: {request_id}\r\nX-Time-Budget: {budget_ms}\r\n"
            "Connection: close\r\nContent-Length: 2\r\n\r\nhi"
        )
        return await fetch(self.find_port(name), data.encode())

    async def wait_ready(self, name: str) -> None:
        """Waits until a host says that it is ready.

        Raises:
          TimeoutError: It does not within ten seconds.
        """
        for _ in range(200):
            if await self.is_ready(name):
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{name} is not ready")

    async def is_ready(self, name: str) -> bool:
        """Returns whether a host says that it is ready."""
        data = b"GET /-/readiness HTTP/1.1\r\nConnection: close\r\n\r\n"
        try:
            status, _, _ = await fetch(self.find_port(name, 1), data)
        except OSError:
            return False
        return status == 200

    def _find_proxy(self, name: str) -> model.Address:
        """Returns where the hosts reach a server."""
        target = self._addresses[name]
        return target._replace(port=target.port + len(self.servers))

    def _open_log(self, name: str) -> BinaryIO:
        """Opens the log of a host to add to it."""
        return (self._folder / f"{name}.log").open("ab")

    def _make_settings(self, name: str) -> str:
        """Returns the settings of a host."""
        first = self.find_port(name)
        seeds = [f"127.0.0.1:{self.find_port(n, 2)}" for n in self.names[:3]]
        return _SETTINGS.format(
            name=name,
            zone=_ZONES[self.names.index(name) % 3],
            front=first,
            ready=first + 1,
            control=first + 2,
            directory=first + 3,
            inner=first + 4,
            inner_last=first + 6,
            seeds=str(seeds).replace("'", '"'),
            store=first + _STORE_PROXY_PORT,
        )


async def fetch(port: int, data: bytes) -> tuple[int, dict[str, str], bytes]:
    """Sends bytes to a port and reads one whole response.

    Returns:
      The status, the headers with names in lower case, and the body.

    Raises:
      OSError: There was no whole response.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        async with asyncio.timeout(10):
            raw = await reader.read()
    finally:
        writer.close()
    head, separator, body = raw.partition(b"\r\n\r\n")
    if not separator:
        raise ConnectionError("no response")
    start, *lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    if len(body) != int(headers["content-length"]):
        raise ConnectionError("response cut")
    return int(start.split()[1]), headers, body
