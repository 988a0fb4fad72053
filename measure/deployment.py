"""Runs a deployment on the loopback interface: daemons and fakes.

Each daemon runs in its own process, and so does the fake platform.  The fake
backend servers are divided among a few processes.
"""

import asyncio
import itertools
import pathlib
import signal
from typing import Any
from typing import NamedTuple

import aiohttp

from eelgrasshall.state import configuration as configurations
from measure import processes
from measure import topologies

APPLY_TIMEOUT_S = 20.0
ROLLOUT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
HTTP_TIMEOUT_S = 5.0
DEFAULT_FAKE_PROCESSES = 3


class Plan(NamedTuple):
    """Parameters of a deployment.

    Attributes:
      build: Builds the configuration, given a function that locates servers.
      hosts: Number of daemons.
      seed: Random seed of the fake backend servers.
      service_time: Arguments of `ServiceTime`.
      server_options: Further arguments of `FakeBackendServer`, for all servers.
      policy: Policy settings of the daemons.
      settings: Further settings of all daemons.
      fake_processes: Number of processes that run the backend servers.
      inter_zone_latency_s: One-way latency between daemons of different zones;
        None to let them connect directly.
    """

    build: topologies.ConfigurationBuilder
    hosts: int = 9
    seed: int = 1
    service_time: dict[str, float] = {}
    server_options: dict[str, Any] = {}
    policy: dict[str, Any] = {}
    settings: dict[str, Any] = {}
    fake_processes: int = DEFAULT_FAKE_PROCESSES
    inter_zone_latency_s: float | None = None


class Host(NamedTuple):
    """Name, location and ports of one daemon.

    Attributes:
      name: Name of the entry host.
      zone: Its availability zone.
      region: Its region.
      caller_port: Port of the caller listener.
      peer_port: Port of the peer listener.
      admin_port: Port of the admin listener.
      advertised_port: Peer port given to other daemons; that of the network
        emulator if there is one.
    """

    name: str
    zone: str
    region: str
    caller_port: int
    peer_port: int
    admin_port: int
    advertised_port: int

    @property
    def caller_url(self) -> str:
        """Base URL of the caller listener."""
        return f"http://127.0.0.1:{self.caller_port}"

    @property
    def admin_url(self) -> str:
        """Base URL of the admin listener."""
        return f"http://127.0.0.1:{self.admin_port}"

    def to_platform_entry(self, leaving: bool = False) -> dict[str, Any]:
        """Returns the entry for the platform's list of hosts."""
        return {
            "name": self.name,
            "zone": self.zone,
            "region": self.region,
            "host": "127.0.0.1",
            "caller_port": self.caller_port,
            "peer_port": self.advertised_port,
            "leaving": leaving,
        }


class Deployment:
    """A running deployment.

    Args:
      plan: Parameters of the deployment.
      directory: Directory for settings and logs.
    """

    def __init__(self, *, plan: Plan, directory: pathlib.Path):
        self.plan = plan
        self.configuration: configurations.Configuration | None = None
        self.hosts: list[Host] = []
        self.daemons: dict[str, processes.ChildProcess] = {}
        self.platform: processes.ChildProcess | None = None
        self.network_emulator: processes.ChildProcess | None = None
        self._children = processes.ChildProcesses(directory=directory)
        self._fake_servers: list[processes.ChildProcess] = []
        self._session: aiohttp.ClientSession | None = None
        self._start_numbers = itertools.count(1)
        self._server_ports: dict[str, int] = {}
        # Hosts whose daemon was stopped or killed on purpose.
        self._stopped_hosts: set[str] = set()

    async def start(self) -> None:
        """Starts all processes and waits until the configuration is in force.

        Raises:
          StartError: A process did not become ready.
          TimeoutError: The configuration was not in force in time.
        """
        timeout = aiohttp.ClientTimeout(total=HTTP_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        # The draft lists the servers to start; ports are known once they run.
        placeholder_ports = itertools.count(1)
        draft = self.plan.build(
            lambda name: ("127.0.0.1", next(placeholder_ports))
        )
        await self._start_fakes(draft)
        self.configuration = self.plan.build(
            lambda name: ("127.0.0.1", self._server_ports[name])
        )._replace(version=0)
        self.hosts = self._assign_hosts(self.configuration)
        if self.plan.inter_zone_latency_s is not None:
            await self._start_network_emulator(self.plan.inter_zone_latency_s)
        self.platform = await self._children.start(
            "platform",
            "eelgrasshall.fakes.platform",
            {"hosts": [host.to_platform_entry() for host in self.hosts]},
        )
        await asyncio.gather(*(self.start_daemon(h) for h in self.hosts))
        await self.apply_configuration(self.configuration)
        await self.wait_until_in_force()

    async def stop(self) -> list[str]:
        """Stops all processes; returns the names of those that were killed."""
        killed = await self._children.stop()
        if self._session is not None:
            await self._session.close()
        return killed

    async def start_daemon(self, host: Host) -> None:
        """Starts or restarts a daemon."""
        name = f"{host.name}.{next(self._start_numbers)}"
        child = await self._children.start(
            name, "eelgrasshall.daemon", self._make_settings(host)
        )
        self.daemons[host.name] = child
        self._stopped_hosts.discard(host.name)
        await self.control_network({"pids": {host.name: child.pid}})

    async def stop_daemon(self, host: Host, timeout_s: float = 40.0) -> bool:
        """Stops a daemon with SIGTERM; returns whether it ended in time."""
        self._stopped_hosts.add(host.name)
        child = self.daemons[host.name]
        child.send_signal(signal.SIGTERM)
        return await child.wait(timeout_s)

    async def kill_daemon(self, host: Host) -> None:
        """Kills a daemon with SIGKILL."""
        self._stopped_hosts.add(host.name)
        child = self.daemons[host.name]
        child.send_signal(signal.SIGKILL)
        await child.process.wait()

    def find_unexpected_exits(self) -> list[str]:
        """Describes daemons that ended without being stopped or killed."""
        return [
            f"{name} ended with {child.process.returncode}: "
            f"{child.read_log_tail()}"
            for name, child in sorted(self.daemons.items())
            if not child.running and name not in self._stopped_hosts
        ]

    async def set_listed_hosts(self, omitted: set[str] = frozenset()) -> None:
        """Sets the platform's list of hosts to all but the omitted ones."""
        listed = [
            h.to_platform_entry() for h in self.hosts if h.name not in omitted
        ]
        await self.control_platform({"call": "set_hosts", "args": [listed]})

    async def apply_configuration(
        self, changed: configurations.Configuration
    ) -> None:
        """Applies a configuration as the next version.

        Args:
          changed: The configuration, with the version that it replaces; version
            and change id of the new one are set here.

        Raises:
          TimeoutError: No daemon accepted it in time.
        """
        base = changed.version
        changed = changed._replace(
            version=base + 1, change_id=f"measure-{base + 1}"
        )
        body = configurations.format_configuration(changed)
        last_reply = ""
        for _ in range(int(APPLY_TIMEOUT_S / POLL_INTERVAL_S)):
            for host in self.hosts:
                accepted, last_reply = await self._apply_at(host, body, base)
                if accepted:
                    self.configuration = changed
                    return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(
            f"No daemon accepted the configuration: {last_reply}"
        )

    async def apply_concurrently(self, first: Host, second: Host) -> list[bool]:
        """Sends two changes of one base version to two daemons concurrently.

        Returns:
          For each daemon, whether it accepted the change.
        """
        base = self.configuration.version
        changes = [
            self.configuration._replace(
                version=base + 1, change_id=f"race-{base + 1}-{host.name}"
            )
            for host in (first, second)
        ]
        replies = await asyncio.gather(
            *(
                self._apply_at(
                    host, configurations.format_configuration(change), base
                )
                for host, change in zip((first, second), changes, strict=True)
            )
        )
        accepted = [each[0] for each in replies]
        for change, was_accepted in zip(changes, accepted, strict=True):
            if was_accepted:
                self.configuration = change
        return accepted

    async def _apply_at(
        self, host: Host, body: bytes, base: int
    ) -> tuple[bool, str]:
        """Sends a configuration to a daemon; returns acceptance and reply."""
        url = f"{host.admin_url}/v1/configuration?base_version={base}"
        try:
            async with self._session.post(url, data=body) as response:
                return response.status < 300, await response.text()
        except (aiohttp.ClientError, TimeoutError) as error:
            return False, repr(error)

    async def wait_until_in_force(self) -> float:
        """Waits until every running daemon has the configuration in force.

        Returns:
          Seconds waited.

        Raises:
          TimeoutError: It took too long, or a daemon ended unexpectedly.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        versions: list[int] = []
        while loop.time() - started_s < ROLLOUT_TIMEOUT_S:
            if exits := self.find_unexpected_exits():
                raise TimeoutError(f"Daemons ended unexpectedly: {exits}")
            versions = [await self._read_version(h) for h in self.hosts]
            if all(v == self.configuration.version for v in versions):
                return loop.time() - started_s
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(
            f"The configuration is not in force; versions by host: {versions}"
        )

    async def read_admin(self, host: Host, path: str) -> Any:
        """Reads a JSON document from the admin listener of a daemon."""
        async with self._session.get(host.admin_url + path) as response:
            return await response.json()

    async def read_dumps(self) -> dict[str, Any]:
        """Reads the state dumps of all daemons that reply, by host name."""
        dumps = {}
        for host in self.hosts:
            try:
                dumps[host.name] = await self.read_admin(host, "/dump")
            except (aiohttp.ClientError, TimeoutError):
                continue
        return dumps

    async def control_platform(self, command: dict[str, Any]) -> Any:
        """Sends a control command to the fake platform."""
        return await self._send_command(self.platform, command)

    async def control_servers(self, command: dict[str, Any]) -> list[Any]:
        """Sends a control command to every process of backend servers."""
        return [
            await self._send_command(each, command)
            for each in self._fake_servers
        ]

    async def control_network(self, command: dict[str, Any]) -> dict[str, Any]:
        """Sends a control command to the network emulator, if there is one."""
        if self.network_emulator is None:
            return {"bytes": 0, "silenced": 0}
        return await self._send_command(self.network_emulator, command)

    async def _send_command(
        self, child: processes.ChildProcess, command: Any
    ) -> Any:
        """Sends a control command to a child process."""
        url = f"http://127.0.0.1:{child.ready['control']}/control"
        async with self._session.post(url, json=command) as response:
            return await response.json()

    async def _read_version(self, host: Host) -> int:
        """Returns the configuration version in force on a daemon.

        A daemon that was stopped on purpose counts as up to date.  Returns -1
        if the version is unknown.
        """
        if host.name in self._stopped_hosts:
            return self.configuration.version
        url = f"{host.admin_url}/v1/configuration"
        try:
            async with self._session.get(url) as response:
                if response.status != 200:
                    return -1
                return (await response.json(content_type=None))["version"]
        except (aiohttp.ClientError, TimeoutError):
            return -1

    async def _start_network_emulator(self, delay_s: float) -> None:
        """Starts the network emulator and routes peer traffic through it."""
        routes = [
            {"name": h.name, "zone": h.zone, "target_port": h.peer_port}
            for h in self.hosts
        ]
        self.network_emulator = await self._children.start(
            "network", "measure.latency", {"delay_s": delay_s, "routes": routes}
        )
        ports = self.network_emulator.ready["ports"]
        self.hosts = [
            host._replace(advertised_port=ports[host.name])
            for host in self.hosts
        ]

    async def _start_fakes(self, draft: configurations.Configuration) -> None:
        """Starts the backend servers, divided among a few processes."""
        specs = self._make_server_specs(draft)
        count = min(self.plan.fake_processes, len(specs))
        starting = [
            self._children.start(
                f"servers-{number}",
                "eelgrasshall.fakes.backend",
                {"seed": self.plan.seed, "servers": specs[number::count]},
            )
            for number in range(count)
        ]
        self._fake_servers = list(await asyncio.gather(*starting))
        for child in self._fake_servers:
            self._server_ports.update(child.ready["servers"])

    def _make_server_specs(
        self, draft: configurations.Configuration
    ) -> list[dict[str, Any]]:
        """Returns the specification of every backend server."""
        keys = topologies.assign_key_ranges(draft)
        specs = []
        for service in draft.services:
            low, high = keys[service.name]
            for server in service.servers:
                has_few_connections = (
                    server.connections <= topologies.FEW_CONNECTIONS_LIMIT
                )
                open_s = (
                    topologies.SLOW_CONNECT_S
                    if has_few_connections
                    else topologies.FAST_CONNECT_S
                )
                specs.append(
                    {
                        "name": server.name,
                        "service": service.name,
                        "zone": server.zone,
                        "slots": server.slots,
                        "connections": server.connections,
                        "open_s": open_s,
                        "key_ranges": {"1": [low, high]},
                        "service_time": self.plan.service_time,
                        **self.plan.server_options,
                    }
                )
        return specs

    def _assign_hosts(
        self, configuration: configurations.Configuration
    ) -> list[Host]:
        """Distributes the daemons over the zones and assigns their ports."""
        ports = processes.reserve_ports(3 * self.plan.hosts)
        hosts = []
        for number in range(self.plan.hosts):
            zone = configuration.zones[number % len(configuration.zones)]
            host_ports = ports[3 * number : 3 * number + 3]
            name = f"host-{number + 1:02d}"
            hosts.append(
                Host(name, zone.name, zone.region, *host_ports, host_ports[1])
            )
        return hosts

    def _make_settings(self, host: Host) -> dict[str, Any]:
        """Returns the settings of a daemon."""
        listen = "127.0.0.1"
        return {
            "name": host.name,
            "zone": host.zone,
            "region": host.region,
            "caller": {"host": listen, "port": host.caller_port},
            "peer": {"host": listen, "port": host.peer_port},
            "advertised_peer": {"host": listen, "port": host.advertised_port},
            "admin": {"host": listen, "port": host.admin_port},
            "platform_url": f"http://{listen}:{self.platform.ready['port']}",
            "policy": self.plan.policy,
            **self.plan.settings,
        }
