"""A small local fleet for tests, the soak and traffic measurements.

The store and the backend servers are fakes in this process; the entry hosts
are processes of the real program, each with its own settings file.  Each host
reaches the store through a fault proxy of its own; each backend server has one
fault proxy, which all hosts share.  With links, each host connects to these
proxies on ports of its own, so that single hosts can be cut off from all
backend servers.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import json
import os
import pathlib
import re
import signal
import sys
from typing import Any
from typing import BinaryIO

from eelgrasshall.fakes import ports
from eelgrasshall.gateway import model
from eelgrasshall.platform import fake_server
from eelgrasshall.platform import fake_store
from eelgrasshall.platform import fault_proxy

_ZONES = ("a", "b", "c")
_PORTS_PER_HOST = 8
# Offset of the port of a host's store proxy from the host's first port.
_STORE_PROXY_PORT_OFFSET = 7
_SETTINGS = """
nodeName = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
innerPorts = [{inner}, {inner_last}]
seeds = {seeds}
{contracts}
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
budgetRatio = {extra_ratio}
budgetExtra = {extra_fixed}
budgetWindowS = 10
coldMultiplier = 1.5
coldSlack = 5
ttl_max_s = 5
{more_bounds}
[platform]
address = "127.0.0.1:{store}"
"""
# Least share of the shards in a search that succeeds.
MIN_SHARE = 0.5


class Fleet:
    """A store, backend servers and entry hosts on the loopback address.

    Attributes:
      store: The store.
      shards: Names of the services that a search fans out to.
      servers: The backend servers by id.
      server_proxies: The fault proxies of the backend servers, by server id.
      host_names: Names of the entry hosts.
      store_proxies: The fault proxies to the store, by host name.
      processes: The newest process of each host, by host name.
      version: Version of the newest configuration, 0 before the first.
      tenants: The tenants in the next configurations; None for none.
      key: The API key of requests that state no other; None for none.
      crash_duration_s: Time after which a crashed server is back, seconds.
      crashes: All crashes of backend servers.
      source_trees: Folders with other versions of the program, for the hosts
        that are to run them from their next start on.
      on_restart: Called with the id of a crashed server before it is back.
      versions: The versions that servers state, by server id.
      held_back: Ids of the servers that do not register at the start.

    Args:
      folder: Directory for settings files and logs.
      port: First port to use; None for free ports, which stay reserved until
        the fleet is stopped.  The store takes one port, each host eight more
        and each backend server two more.
      hosts: Number of entry hosts.
      shards: Number of services that a search fans out to.
      replicas: Number of backend servers of each service.
      extra_attempts: The bound on extra attempts, for each request and beside
        that.
      contracts: The contracts in the settings of the hosts.
      links: Whether each host has links of its own to the backend servers.
        They take one more port for each pair.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        port: int | None = None,
        hosts: int = 2,
        shards: int = 3,
        replicas: int = 2,
        extra_attempts: tuple[float, float] = (0.2, 54.0),
        links: bool = False,
        contracts: tuple[str, ...] = (),
    ):
        self._folder = folder
        self._extra_attempts = extra_attempts
        self._links = links
        self._contracts = contracts
        self.versions: dict[str, str] = {}
        self.held_back: set[str] = set()
        server_count = shards * replicas
        self._reserved: ports.PortRange | None = None
        if port is None:
            links_per_server = hosts if links else 0
            self._reserved = ports.PortRange(
                count=1
                + hosts * _PORTS_PER_HOST
                + server_count * (2 + links_per_server)
            )
            port = self._reserved.first
        self._port = port
        self.store = fake_store.FakeStore()
        self._store_address = model.Address("127.0.0.1", port)
        self.shards = [f"shard{i}" for i in range(shards)]
        self.servers: dict[str, fake_server.FakeBackendServer] = {}
        self._addresses: dict[str, model.Address] = {}
        self.server_proxies: dict[str, fault_proxy.FaultProxy] = {}
        self.store_proxies: dict[str, fault_proxy.FaultProxy] = {}
        server_port = port + 1 + hosts * _PORTS_PER_HOST
        for shard in self.shards:
            for replica in range(replicas):
                name = f"{shard}-{replica}"
                self.servers[name] = fake_server.FakeBackendServer(
                    server_id=name
                )
                target = model.Address("127.0.0.1", server_port)
                self.server_proxies[name] = fault_proxy.FaultProxy(
                    target=target
                )
                self._addresses[name] = target
                server_port += 1
        self.host_names = [f"host{i}" for i in range(hosts)]
        for name in self.host_names:
            self.store_proxies[name] = fault_proxy.FaultProxy(
                target=self._store_address
            )
        self.source_trees: dict[str, pathlib.Path] = {}
        self.crash_duration_s = 1.0
        self.crashes: list[fake_server.Crash] = []
        self.on_restart: Callable[[str], None] | None = None
        self._crashed: dict[str, asyncio.Task] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._all_processes: list[asyncio.subprocess.Process] = []
        self.version = 0
        # The customer organisations of the configuration, if any.
        self.tenants: list[dict[str, Any]] | None = None
        # Further lines of the bounds in the settings.
        self.more_bounds = ""
        # Time-out of all routes in the next configurations, ms; None for
        # different ones.
        self.timeout_ms: int | None = None
        # Most records of a search in the next configurations.
        self.top_n = 3
        # Key of callers that state none of their own.
        self.key: str | None = None

    async def start(self) -> None:
        """Starts the store, the servers, the proxies and all host processes.

        Raises:
          OSError: An address cannot be bound.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        await self.store.start(self._store_address)
        for name, each in self.store_proxies.items():
            port = self.find_port(name, _STORE_PROXY_PORT_OFFSET)
            await each.start(model.Address("127.0.0.1", port))
        for name, server in self.servers.items():
            server.on_crash = self.crash_server
            await server.start(self._addresses[name])
            await self._start_server_proxy(name)
            if name not in self.held_back:
                self.register_server(name)
        self.publish_configuration()
        for name in self.host_names:
            await self.start_host(name)

    async def stop(self) -> None:
        """Kills all host processes and stops the proxies and fakes."""
        for process in self._all_processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for task in self._crashed.values():
            task.cancel()
        for each in self.list_proxies():
            each.stop()
        for server in self.servers.values():
            server.stop()
        self.store.stop()
        if self._reserved is not None:
            self._reserved.release()

    def list_proxies(self) -> list[fault_proxy.FaultProxy]:
        """Returns the proxies to the store and to the backend servers."""
        return [*self.store_proxies.values(), *self.server_proxies.values()]

    def cut_host(self, name: str, kind: fault_proxy.Cut) -> None:
        """Cuts a host off from all backend servers; needs links."""
        for proxy in self.server_proxies.values():
            proxy.cut(name, kind)

    def mend_host(self, name: str) -> None:
        """Ends the cut of a host, if there is one."""
        for proxy in self.server_proxies.values():
            proxy.mend(name)

    def count_sent(self, name: str) -> int:
        """Returns how much a host has sent to servers, as pieces of data."""
        return sum(
            proxy.sent_counts[name] for proxy in self.server_proxies.values()
        )

    def register_server(self, name: str, *, state: str = "ready") -> None:
        """Writes the registration of a backend server to the store."""
        index = int(name.rpartition("-")[2])
        spec = {
            "service": name.rpartition("-")[0],
            "address": str(self._find_proxy_address(name)),
            "zone": _ZONES[index % 3],
            "slots": 6,
            "state": state,
            "coldLeftMs": 0,
            "born": self.servers[name].started_at_ms,
        }
        if name in self.versions:
            spec["version"] = self.versions[name]
        self.store.put("servers", name, spec)

    def crash_server(self, crash: fake_server.Crash) -> None:
        """Lets a backend server crash; it restarts after a while.

        All of its connections are reset, and it refuses new ones meanwhile.
        """
        name = crash.server_id
        if name in self._crashed:
            return
        self.crashes.append(crash)
        self.server_proxies[name].stop()
        loop = asyncio.get_running_loop()
        self._crashed[name] = loop.create_task(self._restart_server(name))

    async def _restart_server(self, name: str) -> None:
        """Starts a crashed server again, as a new process."""
        await asyncio.sleep(self.crash_duration_s)
        self.servers[name].started_at_ms += 1
        if self.on_restart is not None:
            self.on_restart(name)
        await self._start_server_proxy(name)
        del self._crashed[name]
        self.register_server(name)

    def publish_configuration(self, **changes: Any) -> None:
        """Writes the next configuration version to the store.

        Args:
          **changes: Fields of the search route that differ from the default.
        """
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
            "topN": self.top_n,
            "minShare": MIN_SHARE,
            **changes,
        }
        single = {
            **route,
            "name": "single",
            "pathPrefix": "/single/",
            "routeType": "idempotent",
            "timeoutMs": 2000,
            "service": self.shards[-1],
            "maxAttempts": 2,
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
        if self.timeout_ms is not None:
            for each in (search, single, once):
                each["timeoutMs"] = self.timeout_ms
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
            "routes": [search, single, once],
            "services": services,
            "limits": limits,
        }
        if self.tenants is not None:
            spec["tenants"] = self.tenants
        self.store.put("config", "main", spec)

    async def start_host(self, name: str) -> None:
        """Starts the process of an entry host.

        The start is shielded from cancellation: `stop` has to know each
        process, or it would outlive the fleet.
        """
        await asyncio.shield(asyncio.ensure_future(self._start_host(name)))

    async def _start_host(self, name: str) -> None:
        """Starts a process and records it."""
        path = self._folder / f"{name}.toml"
        path.write_text(self._make_settings(name), encoding="utf-8")
        with self._open_log(name) as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self._list_program_arguments(name),
                stdout=log,
                stderr=log,
                env={**os.environ, "EELGRASSHALL_NODE_FILE": str(path)},
                # Python looks for the program there first.
                cwd=self.source_trees.get(name),
            )
        self._all_processes.append(process)
        self.processes[name] = process

    def signal_host(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to the process of a host, if it is running."""
        if self.processes[name].returncode is None:
            self.processes[name].send_signal(number)

    def find_port(self, name: str, offset: int = 0) -> int:
        """Returns a port of a host, by its offset from the callers' port."""
        index = self.host_names.index(name)
        return self._port + 1 + index * _PORTS_PER_HOST + offset

    def read_log(self, name: str) -> str:
        """Returns the log of a host, over all its processes."""
        return (self._folder / f"{name}.log").read_text(encoding="utf-8")

    async def send_request(
        self,
        name: str,
        target: str,
        request_id: str,
        *,
        budget_ms: int = 2000,
        headers: Sequence[tuple[str, str]] = (),
        key: str | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a caller's request to a host on a new connection.

        Args:
          name: The host.
          target: Target of the request.
          request_id: Id of the request.
          budget_ms: Time that the caller waits, as stated in the request, ms.
          headers: Further headers.
          key: API key of the caller.  The request then also states a tenant,
            which hosts have to drop.

        Returns:
          The status, the headers in lower case, and the body.

        Raises:
          OSError: The host is unreachable or closed the connection early.
        """
        key = key or self.key
        if key is not None:
            identity = [
                ("Authorization", f"Bearer {key}"),
                ("X-Tenant", "forged"),
            ]
            headers = [*headers, *identity]
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        data = (
            f"POST {target} HTTP/1.1\r\nHost: orders.example\r\n"
            f"X-Attempt-Id: {request_id}\r\nX-Time-Budget: {budget_ms}\r\n"
            f"{lines}Connection: close\r\nContent-Length: 2\r\n\r\nhi"
        )
        return await fetch(self.find_port(name), data.encode())

    async def wait_ready(self, name: str) -> None:
        """Waits until a host is ready.

        Raises:
          TimeoutError: The host is not ready after ten seconds.
        """
        for _ in range(200):
            if await self.is_ready(name):
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"host {name} is not ready after 10 s")

    async def is_ready(self, name: str) -> bool:
        """Returns whether the readiness check of a host succeeds."""
        data = b"GET /-/readiness HTTP/1.1\r\nConnection: close\r\n\r\n"
        try:
            status, _, _ = await fetch(self.find_port(name, 1), data)
        except OSError:
            return False
        return status == 200

    async def count_servers(self, name: str) -> int:
        """Returns how many backend servers a host uses."""
        metrics = await self.read_metrics(name)
        (count,) = re.findall(
            r"^eelgrasshall_servers (\d+)", metrics, re.MULTILINE
        )
        return int(count)

    async def read_metrics(self, name: str) -> str:
        """Returns the metrics of a host."""
        data = b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n"
        _, _, body = await fetch(self.find_port(name, 5), data)
        return body.decode()

    def _find_proxy_address(self, name: str) -> model.Address:
        """Returns the address of the fault proxy of a backend server."""
        target = self._addresses[name]
        return target._replace(port=target.port + len(self.servers))

    async def _start_server_proxy(self, name: str) -> None:
        """Starts the fault proxy of a backend server."""
        address = self._find_proxy_address(name)
        links = {}
        if self._links:
            for host in self.host_names:
                port = address.port + self._find_link_shift(host)
                links[host] = address._replace(port=port)
        await self.server_proxies[name].start(address, links=links)

    def _find_link_shift(self, host: str) -> int:
        """Returns the distance from a server's port to that for a host."""
        return (self.host_names.index(host) + 1) * len(self.servers)

    def _list_program_arguments(self, name: str) -> list[str]:
        """Returns the module that runs a host, and its arguments."""
        if not self._links:
            return ["eelgrasshall.platform.program"]
        first = min(
            self._find_proxy_address(each).port for each in self.servers
        )
        numbers = (first, len(self.servers), self._find_link_shift(name))
        return ["eelgrasshall.platform.linked_program", *map(str, numbers)]

    def _open_log(self, name: str) -> BinaryIO:
        """Opens the log file of a host for appending."""
        return (self._folder / f"{name}.log").open("ab")

    def _make_settings(self, name: str) -> str:
        """Returns the text of the settings file of a host."""
        first = self.find_port(name)
        seeds = [
            f"127.0.0.1:{self.find_port(n, 2)}" for n in self.host_names[:3]
        ]
        return _SETTINGS.format(
            name=name,
            zone=_ZONES[self.host_names.index(name) % 3],
            front=first,
            ready=first + 1,
            control=first + 2,
            directory=first + 3,
            inner=first + 4,
            inner_last=first + 6,
            extra_ratio=self._extra_attempts[0],
            extra_fixed=self._extra_attempts[1],
            seeds=str(seeds).replace("'", '"'),
            contracts=f"contracts = {json.dumps(self._contracts)}"
            if self._contracts
            else "",
            store=first + _STORE_PROXY_PORT_OFFSET,
            more_bounds=self.more_bounds,
        )


async def fetch(port: int, data: bytes) -> tuple[int, dict[str, str], bytes]:
    """Sends bytes to a loopback port and reads one complete response.

    Returns:
      The status, the headers in lower case, and the body.

    Raises:
      OSError: The connection failed or ended before a complete response.
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
        raise ConnectionError("connection closed before a response head")
    status_line, *header_lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in header_lines)
    if len(body) != int(headers["content-length"]):
        raise ConnectionError("response body truncated")
    return int(status_line.split()[1]), headers, body
