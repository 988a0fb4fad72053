"""Command line with which operators inspect a fleet on the platform.

    python -m eelgrasshall.platform.console status 10.0.0.7:8229
    python -m eelgrasshall.platform.console print 10.0.0.7:8229
    python -m eelgrasshall.platform.console addresses 10.1.0.3:8225

`status` reads the store and the metrics of each entry host listed there;
`print` shows the configuration as the operators wrote it; `addresses` asks an
entry host for the addresses that it gives to callers.  All commands are
read-only.  They exit with status 1 if they find a problem, and with 3 if the
store or the given host is unreachable.
"""

import asyncio
import json
import sys
from typing import Any
from typing import NamedTuple

from cleo import application as cleo_application
from cleo import helpers
from cleo.commands import command as cleo_command
from cleo.io.outputs import output as cleo_output

from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import watcher
from eelgrasshall.platform import codec
from eelgrasshall.platform import store as store_module
from eelgrasshall.platform import wire_names

EXIT_PROBLEM = 1
EXIT_UNREACHABLE = 3
# A host that does not respond within this time counts as unreachable.
HOST_TIMEOUT_S = 2.0

_OK = 200
_GAUGES = ("configuration_version", "servers", "hosts_alive", "store_reachable")


class HostState(NamedTuple):
    """The state of an entry host that is listed in the store.

    Attributes:
      host: The host.
      gauges: Values of selected metrics by name; empty if it is unreachable.
      reason: Why it is unreachable; empty if it is not.
    """

    host: model.Host
    gauges: dict[str, float]
    reason: str


class FleetState(NamedTuple):
    """The state of a fleet.

    Attributes:
      version: Version of the configuration in the store, 0 if there is none.
      servers: Number of backend servers by state: ready or draining.
      evacuated: Names of the evacuated availability zones.
      hosts: The entry hosts that are listed in the store.
    """

    version: int
    servers: dict[str, int]
    evacuated: list[str]
    hosts: list[HostState]


async def read_objects(
    address: model.Address,
) -> dict[object_cache.Collection, dict[str, Any]] | watcher.Unavailable:
    """Reads all collections of the store, as documents by object name."""
    store = store_module.StoreClient(address=address)
    objects = {}
    try:
        for collection in object_cache.Collection:
            listing = await store.read_all(collection)
            if isinstance(listing, watcher.Unavailable):
                return listing
            objects[collection] = {
                update.name: update.document for update in listing.updates
            }
    finally:
        store.close()
    return objects


async def read_fleet_state(
    address: model.Address,
) -> FleetState | watcher.Unavailable:
    """Reads the store and the metrics of the hosts that are listed there."""
    objects = await read_objects(address)
    if isinstance(objects, watcher.Unavailable):
        return objects
    configuration = _decode_collection(
        objects, object_cache.Collection.CONFIGURATION
    )
    servers = {"ready": 0, "draining": 0}
    for server in _decode_collection(objects, object_cache.Collection.SERVERS):
        servers["draining" if server.draining else "ready"] += 1
    hosts = sorted(_decode_collection(objects, object_cache.Collection.HOSTS))
    return FleetState(
        version=configuration[0].version if configuration else 0,
        servers=servers,
        evacuated=sorted(objects[object_cache.Collection.EVACUATIONS]),
        hosts=await asyncio.gather(
            *(_fetch_host_state(host) for host in hosts)
        ),
    )


def find_problems(state: FleetState) -> list[str]:
    """Returns the problems of a fleet, each with what to check or do."""
    problems = []
    if not state.version:
        problems.append("no configuration: write config/main to the store")
    if not state.servers["ready"]:
        problems.append(
            "no backend server is ready: check their entries in the store"
        )
    reachable = [each for each in state.hosts if each.gauges]
    for each in state.hosts:
        if not each.gauges:
            problems.append(
                f"{each.host.name}: {each.reason}; remove its object if the "
                "host is gone"
            )
        elif each.gauges["configuration_version"] != state.version:
            problems.append(
                f"{each.host.name}: version "
                f"{each.gauges['configuration_version']:.0f} is in force, not "
                f"{state.version}; check its log for store_lost"
            )
    if reachable and not any(
        each.gauges["store_reachable"] for each in reachable
    ):
        problems.append(
            "no host watches the store: check the logs for store_lost"
        )
    return problems


def format_fleet(state: FleetState) -> list[str]:
    """Returns the state of a fleet as lines of text."""
    lines = [
        f"configuration {state.version}, backend servers "
        f"{state.servers['ready']} ready and {state.servers['draining']} "
        f"draining, evacuated zones: {', '.join(state.evacuated) or 'none'}"
    ]
    width = max((len(each.host.name) for each in state.hosts), default=0)
    for each in state.hosts:
        details = each.reason or ", ".join(
            f"{name} {value:.0f}" for name, value in each.gauges.items()
        )
        lines.append(f"{each.host.name:{width}}  {each.host.zone}  {details}")
    return lines


def parse_gauges(text: str) -> dict[str, float]:
    """Returns the gauges shown by `status` from the text of the metrics."""
    values = {}
    for line in text.splitlines():
        name, _, value = line.removeprefix("eelgrasshall_").partition(" ")
        if name in _GAUGES:
            values[name] = float(value)
    return {name: values[name] for name in _GAUGES if name in values}


def _decode_collection(
    objects: dict[object_cache.Collection, dict[str, Any]],
    collection: object_cache.Collection,
) -> list[Any]:
    """Decodes the documents of a collection.

    Skips documents that cannot be decoded, and prints the error.
    """
    values = []
    for name, document in objects[collection].items():
        try:
            values.append(codec.decode(collection, document))
        except ValueError as error:
            print(f"cannot decode {name}: {error}", file=sys.stderr)
    return values


async def _fetch_host_state(host: model.Host) -> HostState:
    """Reads the metrics of a host."""
    try:
        async with asyncio.timeout(HOST_TIMEOUT_S):
            text = await _fetch_text(host.control_address, "/metrics")
    except (OSError, TimeoutError, ValueError) as error:
        return HostState(host, {}, f"not reachable ({error!r})")
    return HostState(host, parse_gauges(text), "")


async def _fetch_text(address: model.Address, target: str) -> str:
    """Fetches a text document from a host over HTTP.

    Raises:
      OSError: The host is unreachable.
      ValueError: The response has a status other than 200.
    """
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(
            f"GET {target} HTTP/1.1\r\nHost: {address}\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        data = await reader.read()
    finally:
        writer.close()
    head, _, body = data.decode().partition("\r\n\r\n")
    if f" {_OK} " not in head.partition("\r\n")[0]:
        raise ValueError(head.partition("\r\n")[0])
    return body


class _Command(cleo_command.Command):
    """Base of the commands, which all read from one address."""

    arguments = [helpers.argument("address", "Address as HOST:PORT.")]

    def handle(self) -> int:
        """Runs the command."""
        try:
            address = model.parse_address(self.argument("address"))
        except ValueError as error:
            return self._print_error(f"{error}; give HOST:PORT", EXIT_PROBLEM)
        return asyncio.run(self.show(address))

    async def show(self, address: model.Address) -> int:
        """Prints the result and returns the exit code."""
        raise NotImplementedError

    def _print(self, text: str) -> None:
        """Prints a line without interpreting markup."""
        self.io.write_line(text, type=cleo_output.Type.RAW)

    def _print_error(self, text: str, code: int) -> int:
        """Prints an error and returns the exit code."""
        self.io.error_output.write_line(text, type=cleo_output.Type.RAW)
        return code


class StatusCommand(_Command):
    """Shows the state of a fleet."""

    name = "status"
    description = "Show the state of the store and of each entry host."

    async def show(self, address: model.Address) -> int:
        """Prints the state of the fleet, then the problems as errors."""
        state = await read_fleet_state(address)
        if isinstance(state, watcher.Unavailable):
            return self._print_error(f"store: {state.reason}", EXIT_UNREACHABLE)
        for line in format_fleet(state):
            self._print(line)
        problems = find_problems(state)
        for problem in problems:
            self._print_error(problem, EXIT_PROBLEM)
        return EXIT_PROBLEM if problems else 0


class PrintCommand(_Command):
    """Prints the configuration in the store."""

    name = "print"
    description = "Print the configuration as the operators wrote it."

    async def show(self, address: model.Address) -> int:
        """Prints the configuration; fails if there is none."""
        objects = await read_objects(address)
        if isinstance(objects, watcher.Unavailable):
            return self._print_error(
                f"store: {objects.reason}", EXIT_UNREACHABLE
            )
        documents = list(
            objects[object_cache.Collection.CONFIGURATION].values()
        )
        if not documents:
            return self._print_error(
                "no configuration in the store", EXIT_PROBLEM
            )
        self._print(json.dumps(documents[0]["spec"], indent=2))
        return 0


class AddressesCommand(_Command):
    """Prints the addresses that callers should connect to."""

    name = "addresses"
    description = "Print the addresses that an entry host gives to callers."

    async def show(self, address: model.Address) -> int:
        """Prints one address on each line."""
        try:
            async with asyncio.timeout(HOST_TIMEOUT_S):
                text = await _fetch_text(address, wire_names.DIRECTORY_PATH)
        except (OSError, TimeoutError, ValueError) as error:
            return self._print_error(f"{address}: {error!r}", EXIT_UNREACHABLE)
        for each in json.loads(text)["addrs"]:
            self._print(each)
        return 0


def make_application() -> cleo_application.Application:
    """Returns the application with all commands."""
    application = cleo_application.Application("eelgrasshall-console")
    for command in (StatusCommand, PrintCommand, AddressesCommand):
        application.add(command())
    return application


if __name__ == "__main__":
    sys.exit(make_application().run())
