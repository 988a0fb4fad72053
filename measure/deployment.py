"""One deployment on the loopback: stand-ins, platform and daemons.

Everything runs as plain processes.  The stand-ins of a zone's backend servers
share one process; each daemon has its own, with settings made here.
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
SETTLE_TIMEOUT_S = 20.0
POLL_S = 0.1
CALL_TIMEOUT_S = 5.0
FAKE_PROCESSES = 3


class Plan(NamedTuple):
    """What to start.

    Attributes:
      build: Builds the configuration once servers can be located.
      hosts: How many daemons.
      seed: Seed of the stand-ins' draws.
      service_time: Arguments of `ServiceTime`.
      server_fields: Further arguments of `BackendFake` for every server.
      policy: The daemons' policy settings.
      settings: Further settings of every daemon.
      fake_processes: Processes among which the backend servers are divided.
      between_zones_s: One-way latency between daemons of different zones;
        None to let them connect directly.
    """

    build: topologies.ConfigurationBuilder
    hosts: int = 9
    seed: int = 1
    service_time: dict[str, float] = {}
    server_fields: dict[str, Any] = {}
    policy: dict[str, Any] = {}
    settings: dict[str, Any] = {}
    fake_processes: int = FAKE_PROCESSES
    between_zones_s: float | None = None


class Host(NamedTuple):
    """Where one daemon listens.

    Attributes:
      name: Its name.
      zone: Its availability zone.
      region: Its region.
      caller_port: Port for callers.
      peer_port: Port for the other daemons.
      admin_port: Port for operators.
      advertised_port: Port at which the other daemons reach it.
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
        """Base URL for callers."""
        return f"http://127.0.0.1:{self.caller_port}"

    @property
    def admin_url(self) -> str:
        """Base URL for operators."""
        return f"http://127.0.0.1:{self.admin_port}"

    def to_platform(self, leaving: bool = False) -> dict[str, Any]:
        """Returns the entry of the platform's list of hosts."""
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
      plan: What to start.
      directory: Where settings and logs go.
    """

    def __init__(self, *, plan: Plan, directory: pathlib.Path):
        self.plan = plan
        self.configuration: configurations.Configuration | None = None
        self.hosts: list[Host] = []
        self.daemons: dict[str, processes.Child] = {}
        self.platform: processes.Child | None = None
        self.network: processes.Child | None = None
        self._children = processes.Children(directory=directory)
        self._fakes: list[processes.Child] = []
        self._session: aiohttp.ClientSession | None = None
        self._starts = itertools.count(1)
        self._ports: dict[str, int] = {}
        # Hosts whose daemon was ended on purpose.
        self._ended: set[str] = set()

    async def start(self) -> None:
        """Starts everything and waits until the configuration is in force.

        Raises:
          StartError: A process did not become ready.
          TimeoutError: The configuration was not in force in time.
        """
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        # The draft tells which servers to start; their ports come after.
        draft_ports = itertools.count(1)
        draft = self.plan.build(lambda name: ("127.0.0.1", next(draft_ports)))
        await self._start_fakes(draft)
        self.configuration = self.plan.build(
            lambda name: ("127.0.0.1", self._ports[name])
        )._replace(version=0)
        self.hosts = self._place_hosts(self.configuration)
        if self.plan.between_zones_s is not None:
            await self._start_network(self.plan.between_zones_s)
        self.platform = await self._children.start(
            "platform",
            "eelgrasshall.fakes.platform",
            {"hosts": [host.to_platform() for host in self.hosts]},
        )
        await asyncio.gather(*(self.start_daemon(h) for h in self.hosts))
        await self.apply(self.configuration)
        await self.wait_in_force()

    async def stop(self) -> list[str]:
        """Stops everything; returns the names of those that were killed."""
        killed = await self._children.stop()
        if self._session is not None:
            await self._session.close()
        return killed

    async def start_daemon(self, host: Host) -> None:
        """Starts one daemon, or starts it again."""
        name = f"{host.name}.{next(self._starts)}"
        child = await self._children.start(
            name, "eelgrasshall.daemon", self._make_settings(host)
        )
        self.daemons[host.name] = child
        self._ended.discard(host.name)
        await self.steer_network({"pids": {host.name: child.pid}})

    async def stop_daemon(self, host: Host, timeout_s: float = 40.0) -> bool:
        """Stops one daemon as planned; returns whether it ended by itself."""
        self._ended.add(host.name)
        child = self.daemons[host.name]
        child.send_signal(signal.SIGTERM)
        return await child.wait(timeout_s)

    async def kill_daemon(self, host: Host) -> None:
        """Kills one daemon."""
        self._ended.add(host.name)
        child = self.daemons[host.name]
        child.send_signal(signal.SIGKILL)
        await child.process.wait()

    def find_lost(self) -> list[str]:
        """Returns daemons that ended though nobody ended them."""
        return [
            f"{name} ended with {child.process.returncode}: "
            f"{child.read_log_end()}"
            for name, child in sorted(self.daemons.items())
            if not child.running and name not in self._ended
        ]

    async def tell_hosts(self, gone: set[str] = frozenset()) -> None:
        """Makes the platform list the hosts that are not gone."""
        live = [h.to_platform() for h in self.hosts if h.name not in gone]
        await self.steer_platform({"call": "set_hosts", "args": [live]})

    async def apply(self, changed: configurations.Configuration) -> None:
        """Applies a changed configuration in place of the present one.

        Args:
          changed: The configuration; version and change id are set here.

        Raises:
          TimeoutError: No daemon accepted it in time.
        """
        base = changed.version
        changed = changed._replace(
            version=base + 1, change_id=f"measure-{base + 1}"
        )
        body = configurations.format_configuration(changed)
        told = ""
        for _ in range(int(APPLY_TIMEOUT_S / POLL_S)):
            for host in self.hosts:
                accepted, told = await self._apply_at(host, body, base)
                if accepted:
                    self.configuration = changed
                    return
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"No daemon accepted the configuration: {told}")

    async def race(self, first: Host, second: Host) -> list[bool]:
        """Sends two changes of the same version through two daemons at once.

        Returns:
          Which of them was accepted.
        """
        base = self.configuration.version
        changes = [
            self.configuration._replace(
                version=base + 1, change_id=f"race-{base + 1}-{host.name}"
            )
            for host in (first, second)
        ]
        answers = await asyncio.gather(
            *(
                self._apply_at(
                    host, configurations.format_configuration(change), base
                )
                for host, change in zip((first, second), changes, strict=True)
            )
        )
        accepted = [each[0] for each in answers]
        for change, taken in zip(changes, accepted, strict=True):
            if taken:
                self.configuration = change
        return accepted

    async def _apply_at(
        self, host: Host, body: bytes, base: int
    ) -> tuple[bool, str]:
        """Applies a configuration through one daemon."""
        url = f"{host.admin_url}/v1/configuration?base_version={base}"
        try:
            async with self._session.post(url, data=body) as response:
                return response.status < 300, await response.text()
        except (aiohttp.ClientError, TimeoutError) as error:
            return False, repr(error)

    async def wait_in_force(self) -> float:
        """Waits until every running daemon has the configuration in force.

        Returns:
          Seconds that it took.

        Raises:
          TimeoutError: It took too long, or a daemon was lost meanwhile.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        versions: list[int] = []
        while loop.time() - began < SETTLE_TIMEOUT_S:
            if lost := self.find_lost():
                raise TimeoutError(f"Lost: {lost}")
            versions = [await self._read_version(h) for h in self.hosts]
            if all(v == self.configuration.version for v in versions):
                return loop.time() - began
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"The configuration is not in force: {versions}")

    async def read_admin(self, host: Host, path: str) -> Any:
        """Reads a JSON document of a daemon's admin listener."""
        async with self._session.get(host.admin_url + path) as response:
            return await response.json()

    async def read_dumps(self) -> dict[str, Any]:
        """Reads the dump of every daemon that answers."""
        dumps = {}
        for host in self.hosts:
            try:
                dumps[host.name] = await self.read_admin(host, "/dump")
            except (aiohttp.ClientError, TimeoutError):
                continue
        return dumps

    async def steer_platform(self, command: dict[str, Any]) -> Any:
        """Sends a command to the platform's stand-in."""
        return await self._control(self.platform, command)

    async def steer_servers(self, command: dict[str, Any]) -> list[Any]:
        """Sends a command to every process of backend servers."""
        return [await self._control(each, command) for each in self._fakes]

    async def steer_network(self, command: dict[str, Any]) -> dict[str, Any]:
        """Sends a command to the forwarder, if there is one."""
        if self.network is None:
            return {"bytes": 0, "silenced": 0}
        return await self._control(self.network, command)

    async def _control(self, child: processes.Child, command: Any) -> Any:
        """Sends a command to a stand-in."""
        url = f"http://127.0.0.1:{child.ready['control']}/control"
        async with self._session.post(url, json=command) as response:
            return await response.json()

    async def _read_version(self, host: Host) -> int:
        """Returns the version that a daemon has in force, -1 if unknown."""
        if host.name in self._ended:
            return self.configuration.version
        url = f"{host.admin_url}/v1/configuration"
        try:
            async with self._session.get(url) as response:
                if response.status != 200:
                    return -1
                return (await response.json(content_type=None))["version"]
        except (aiohttp.ClientError, TimeoutError):
            return -1

    async def _start_network(self, delay_s: float) -> None:
        """Puts the forwarder between the daemons."""
        routes = [
            {"name": h.name, "zone": h.zone, "target_port": h.peer_port}
            for h in self.hosts
        ]
        self.network = await self._children.start(
            "network", "measure.latency", {"delay_s": delay_s, "routes": routes}
        )
        ports = self.network.ready["ports"]
        self.hosts = [
            host._replace(advertised_port=ports[host.name])
            for host in self.hosts
        ]

    async def _start_fakes(self, draft: configurations.Configuration) -> None:
        """Starts the backend servers, divided among a few processes."""
        specs = self._specify_servers(draft)
        count = min(self.plan.fake_processes, len(specs))
        starting = [
            self._children.start(
                f"servers-{number}",
                "eelgrasshall.fakes.backend",
                {"seed": self.plan.seed, "servers": specs[number::count]},
            )
            for number in range(count)
        ]
        self._fakes = list(await asyncio.gather(*starting))
        for child in self._fakes:
            self._ports.update(child.ready["servers"])

    def _specify_servers(
        self, draft: configurations.Configuration
    ) -> list[dict[str, Any]]:
        """Returns the specification of each backend server."""
        keys = topologies.assign_key_ranges(draft)
        specs = []
        for service in draft.services:
            low, high = keys[service.name]
            for server in service.servers:
                few = server.connections <= topologies.FEW_CONNECTIONS_LIMIT
                open_s = (
                    topologies.SLOW_CONNECT_S
                    if few
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
                        **self.plan.server_fields,
                    }
                )
        return specs

    def _place_hosts(
        self, configuration: configurations.Configuration
    ) -> list[Host]:
        """Spreads the daemons over the zones, each with its own ports."""
        ports = processes.pick_ports(3 * self.plan.hosts)
        hosts = []
        for number in range(self.plan.hosts):
            zone = configuration.zones[number % len(configuration.zones)]
            three = ports[3 * number : 3 * number + 3]
            name = f"host-{number + 1:02d}"
            hosts.append(Host(name, zone.name, zone.region, *three, three[1]))
        return hosts

    def _make_settings(self, host: Host) -> dict[str, Any]:
        """Returns the settings of one daemon."""
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
