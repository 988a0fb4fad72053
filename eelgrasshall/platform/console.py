"""Command line with which operators inspect a fleet on the platform.

    python -m eelgrasshall.platform.console status 10.0.0.7:8229
    python -m eelgrasshall.platform.console print 10.0.0.7:8229
    python -m eelgrasshall.platform.console addresses 10.1.0.3:8225

`status` reads the store, and from each entry host listed there its metrics and
the era of the store that it follows; `print` shows the configuration as the
operators wrote it; `addresses` asks an entry host for the addresses that it
gives to callers.  All commands are read-only.  They exit with status 1 if they
find a problem, and with 3 if the store or the given host is unreachable.
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
from eelgrasshall.gateway import peer_sync
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
      era: The store's era of its data, the lowest of all collections; None if
        it states none.
      reason: Why it is unreachable; empty if it is not.
    """

    host: model.Host
    gauges: dict[str, float]
    era: int | None
    reason: str


class FleetState(NamedTuple):
    """The state of a fleet.

    Attributes:
      version: Version of the configuration in the store, 0 if there is none.
      era: The store's era, 0 if it states none.
      servers: Number of backend servers by state: ready or draining.
      evacuated: Names of the evacuated availability zones.
      hosts: The entry hosts that are listed in the store.
    """

    version: int
    era: int
    servers: dict[str, int]
    evacuated: list[str]
    hosts: list[HostState]


async def read_listings(
    address: model.Address,
) -> dict[object_cache.Collection, object_cache.Listing] | watcher.Unavailable:
    """Reads all collections of the store."""
    store = store_module.StoreClient(address=address)
    listings = {}
    try:
        for collection in object_cache.BASE_COLLECTIONS:
            listing = await store.read_all(collection)
            if isinstance(listing, watcher.Unavailable):
                return listing
            listings[collection] = listing
    finally:
        store.close()
    return listings


async def read_fleet_state(
    address: model.Address,
) -> FleetState | watcher.Unavailable:
    """Reads the store and the state of the hosts that are listed there."""
    listings = await read_listings(address)
    if isinstance(listings, watcher.Unavailable):
        return listings
    configuration = _decode_listing(
        listings[object_cache.Collection.CONFIGURATION]
    )
    servers = {"ready": 0, "draining": 0}
    for server in _decode_listing(listings[object_cache.Collection.SERVERS]):
        servers["draining" if server.draining else "ready"] += 1
    evacuations = listings[object_cache.Collection.EVACUATIONS].updates
    hosts = sorted(_decode_listing(listings[object_cache.Collection.HOSTS]))
    return FleetState(
        version=configuration[0].version if configuration else 0,
        era=max(
            object_cache.get_era(listing.revision)
            for listing in listings.values()
        ),
        servers=servers,
        evacuated=sorted(update.name for update in evacuations),
        hosts=await asyncio.gather(*(fetch_host_state(host) for host in hosts)),
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
        elif each.gauges["configuration_version"] > state.version > 0:
            problems.append(
                f"{each.host.name}: version "
                f"{each.gauges['configuration_version']:.0f} is in force, but "
                f"the store has only {state.version}, perhaps from a copy: "
                "write the later configuration again"
            )
        elif each.gauges["configuration_version"] != state.version:
            problems.append(
                f"{each.host.name}: version "
                f"{each.gauges['configuration_version']:.0f} is in force, not "
                f"{state.version}; check its log for store_lost"
            )
        if each.era is not None and each.era < state.era:
            problems.append(
                f"{each.host.name}: store era {each.era}, not {state.era}; it "
                "reaches neither the store nor an up-to-date host: check its "
                "log for store_lost and exchange_failed"
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
        f"draining, evacuated zones: {', '.join(state.evacuated) or 'none'}, "
        f"store era {state.era}"
    ]
    width = max((len(each.host.name) for each in state.hosts), default=0)
    for each in state.hosts:
        era = "unknown" if each.era is None else each.era
        details = each.reason or ", ".join(
            [f"{name} {value:.0f}" for name, value in each.gauges.items()]
            + [f"store era {era}"]
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


async def fetch_host_state(host: model.Host) -> HostState:
    """Reads the metrics of a host and the era of its data."""
    try:
        async with asyncio.timeout(HOST_TIMEOUT_S):
            text = await _fetch_text(host.control_address, "/metrics")
    except (OSError, TimeoutError, ValueError) as error:
        return HostState(host, {}, None, f"not reachable ({error!r})")
    era = await _fetch_era(host.control_address)
    return HostState(host, parse_gauges(text), era, "")


async def _fetch_era(address: model.Address) -> int | None:
    """Reads the era of a host's data; None if it states none."""
    try:
        async with asyncio.timeout(HOST_TIMEOUT_S):
            text = await _fetch_text(address, peer_sync.REVISIONS_TARGET)
        return min(peer_sync.read_eras(json.loads(text)))
    except (OSError, TimeoutError, ValueError, KeyError, TypeError):
        return None


def _decode_listing(listing: object_cache.Listing) -> list[Any]:
    """Decodes the objects of a listing.

    Skips documents that cannot be decoded, and prints the error.
    """
    values = []
    for update in listing.updates:
        try:
            values.append(codec.decode(update.collection, update.document))
        except ValueError as error:
            print(f"cannot decode {update.name}: {error}", file=sys.stderr)
    return values


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
        listings = await read_listings(address)
        if isinstance(listings, watcher.Unavailable):
            return self._print_error(
                f"store: {listings.reason}", EXIT_UNREACHABLE
            )
        updates = listings[object_cache.Collection.CONFIGURATION].updates
        if not updates:
            return self._print_error(
                "no configuration in the store", EXIT_PROBLEM
            )
        self._print(json.dumps(updates[0].document["spec"], indent=2))
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
