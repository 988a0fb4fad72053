"""What an operator asks of a fleet on the platform, from the command line.

    python -m eelgrasshall.platform.console status 10.0.0.7:8229
    python -m eelgrasshall.platform.console print 10.0.0.7:8229
    python -m eelgrasshall.platform.console addresses 10.1.0.3:8225

`status` reads the store, then asks each host that it names; `print` shows the
configuration as the operators wrote it; `addresses` asks a host where callers
should connect.  All only read.  They exit with 1 if something is wrong, 3 if
the store or a host that is asked cannot be reached.
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

from eelgrasshall.gateway import belief
from eelgrasshall.gateway import following
from eelgrasshall.gateway import model
from eelgrasshall.platform import names
from eelgrasshall.platform import records
from eelgrasshall.platform import store as stores

EXIT_WRONG = 1
EXIT_UNREACHABLE = 3
# A host that does not answer within this time counts as not reachable.
ASK_TIMEOUT_S = 2.0

_OK = 200
_GAUGES = ("configuration_version", "servers", "hosts_alive", "store_reachable")


class HostState(NamedTuple):
    """What is known of a host that the store names.

    Attributes:
      host: The host.
      gauges: Some of its metrics by name; empty if it cannot be reached.
      reason: Why it cannot be reached.
    """

    host: model.Host
    gauges: dict[str, float]
    reason: str


class FleetState(NamedTuple):
    """What is known of a fleet.

    Attributes:
      version: The configuration's version in the store, 0 if there is none.
      servers: Backend servers by state: ready or draining.
      evacuated: The zones that are taken out.
      hosts: The hosts that the store names.
    """

    version: int
    servers: dict[str, int]
    evacuated: list[str]
    hosts: list[HostState]


async def read_objects(
    address: model.Address,
) -> dict[belief.Collection, dict[str, Any]] | following.Unavailable:
    """Reads all that the store holds for the gateway, as documents by name."""
    store = stores.Store(address=address)
    found = {}
    try:
        for collection in belief.Collection:
            listing = await store.read_all(collection)
            if isinstance(listing, following.Unavailable):
                return listing
            found[collection] = {
                news.name: news.document for news in listing.news
            }
    finally:
        store.close()
    return found


async def read_fleet(
    address: model.Address,
) -> FleetState | following.Unavailable:
    """Reads the store and asks the hosts that it names."""
    found = await read_objects(address)
    if isinstance(found, following.Unavailable):
        return found
    configuration = _decode(found, belief.Collection.CONFIGURATION)
    servers = {"ready": 0, "draining": 0}
    for server in _decode(found, belief.Collection.SERVERS):
        servers["draining" if server.draining else "ready"] += 1
    hosts = sorted(_decode(found, belief.Collection.HOSTS))
    return FleetState(
        version=configuration[0].version if configuration else 0,
        servers=servers,
        evacuated=sorted(found[belief.Collection.EVACUATIONS]),
        hosts=await asyncio.gather(*(_ask_host(host) for host in hosts)),
    )


def find_problems(state: FleetState) -> list[str]:
    """Returns what is wrong with a fleet, each with what to look at."""
    problems = []
    if not state.version:
        problems.append("no configuration: write config/main to the store")
    if not state.servers["ready"]:
        problems.append("no backend server is ready: look at their entries")
    reached = [each for each in state.hosts if each.gauges]
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
                f"{state.version}; look for store_lost in its log"
            )
    if reached and not any(each.gauges["store_reachable"] for each in reached):
        problems.append("no host watches the store: look for store_lost")
    return problems


def format_fleet(state: FleetState) -> list[str]:
    """Returns a fleet's state as lines of text."""
    lines = [
        f"configuration {state.version}, backend servers "
        f"{state.servers['ready']} ready and {state.servers['draining']} "
        f"draining, zones out: {', '.join(state.evacuated) or 'none'}"
    ]
    width = max((len(each.host.name) for each in state.hosts), default=0)
    for each in state.hosts:
        said = each.reason or ", ".join(
            f"{name} {value:.0f}" for name, value in each.gauges.items()
        )
        lines.append(f"{each.host.name:{width}}  {each.host.zone}  {said}")
    return lines


def parse_gauges(text: str) -> dict[str, float]:
    """Reads the gauges that a status shows from a host's metrics."""
    found = {}
    for line in text.splitlines():
        name, _, value = line.removeprefix("eelgrasshall_").partition(" ")
        if name in _GAUGES:
            found[name] = float(value)
    return {name: found[name] for name in _GAUGES if name in found}


def _decode(
    found: dict[belief.Collection, dict[str, Any]],
    collection: belief.Collection,
) -> list[Any]:
    """Decodes a collection's documents, without those that name nothing."""
    values = []
    for name, document in found[collection].items():
        try:
            values.append(records.decode(collection, document))
        except ValueError as error:
            print(f"unreadable: {name}: {error}", file=sys.stderr)
    return values


async def _ask_host(host: model.Host) -> HostState:
    """Asks a host for its metrics."""
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            text = await _fetch_text(host.control_address, "/metrics")
    except (OSError, TimeoutError, ValueError) as error:
        return HostState(host, {}, f"not reachable ({error!r})")
    return HostState(host, parse_gauges(text), "")


async def _fetch_text(address: model.Address, target: str) -> str:
    """Fetches a document from a host.

    Raises:
      OSError: It cannot be reached.
      ValueError: It answers with another status.
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
    """A command that reads from one address."""

    arguments = [helpers.argument("address", "Host and port.")]

    def handle(self) -> int:
        """Runs the command."""
        try:
            address = model.parse_address(self.argument("address"))
        except ValueError as error:
            return self._fail(f"{error}; give HOST:PORT", EXIT_WRONG)
        return asyncio.run(self.show(address))

    async def show(self, address: model.Address) -> int:
        """Shows what is asked for and returns the exit code."""
        raise NotImplementedError

    def _print(self, text: str) -> None:
        """Prints a line as it is."""
        self.io.write_line(text, type=cleo_output.Type.RAW)

    def _fail(self, text: str, code: int) -> int:
        """Prints what is wrong and returns the exit code."""
        self.io.error_output.write_line(text, type=cleo_output.Type.RAW)
        return code


class StatusCommand(_Command):
    """Shows the state of a fleet."""

    name = "status"
    description = "Show what the store names and what each host says."

    async def show(self, address: model.Address) -> int:
        """Shows the fleet; exits with 1 if something is wrong with it."""
        state = await read_fleet(address)
        if isinstance(state, following.Unavailable):
            return self._fail(f"store: {state.reason}", EXIT_UNREACHABLE)
        for line in format_fleet(state):
            self._print(line)
        problems = find_problems(state)
        for problem in problems:
            self._fail(problem, EXIT_WRONG)
        return EXIT_WRONG if problems else 0


class PrintCommand(_Command):
    """Shows the configuration in the store."""

    name = "print"
    description = "Print the configuration as the operators wrote it."

    async def show(self, address: model.Address) -> int:
        """Prints it; exits with 1 if there is none."""
        found = await read_objects(address)
        if isinstance(found, following.Unavailable):
            return self._fail(f"store: {found.reason}", EXIT_UNREACHABLE)
        documents = list(found[belief.Collection.CONFIGURATION].values())
        if not documents:
            return self._fail("no configuration in the store", EXIT_WRONG)
        self._print(json.dumps(documents[0]["spec"], indent=2))
        return 0


class AddressesCommand(_Command):
    """Shows where callers should connect."""

    name = "addresses"
    description = "Ask a host for the addresses that it gives to callers."

    async def show(self, address: model.Address) -> int:
        """Prints one address on each line."""
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                text = await _fetch_text(address, names.DIRECTORY_PATH)
        except (OSError, TimeoutError, ValueError) as error:
            return self._fail(f"{address}: {error!r}", EXIT_UNREACHABLE)
        for each in json.loads(text)["addrs"]:
            self._print(each)
        return 0


def make_application() -> cleo_application.Application:
    """Returns the command line with all commands."""
    application = cleo_application.Application("eelgrasshall-console")
    for command in (StatusCommand, PrintCommand, AddressesCommand):
        application.add(command())
    return application


if __name__ == "__main__":
    sys.exit(make_application().run())
