"""The library with which operators declare what the system serves.

A declaring program builds zones, services and kinds of request from the values
and functions below, and hands them to `compose`, which checks everything and
reports all mistakes of one sort at once.  It defines a function `build` that
needs no argument and returns the configuration, so that the command line can
run it, and ends with `declare.main(build)`, so that running it prints the
configuration.  The same declaration prints the same bytes.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import ipaddress
import re
import sys
from typing import NamedTuple

from eelgrasshall import errors
from eelgrasshall.state import configuration

Configuration = configuration.Configuration
Kind = configuration.Kind
Service = configuration.Service
Zone = configuration.Zone

# Gives the IP address and TCP port of the backend server of that name.
Locate = Callable[[str], tuple[str, int]]

EXIT_INVALID = 2

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")


class Shape(NamedTuple):
    """What the backend servers of a service have in common.

    Attributes:
      replicas: Backend servers of each service.
      slots: Requests that a backend server runs at once when warm.
      connections: Connections that it accepts from the whole system.
    """

    replicas: int
    slots: int
    connections: int


class DeclarationError(Exception):
    """A declaration is invalid; `problems` holds everything found."""

    def __init__(self, problems: Sequence[errors.Problem]):
        super().__init__("\n".join(p.describe() for p in problems))
        self.problems = tuple(problems)


def make_zones(region: str, names: Iterable[str]) -> tuple[Zone, ...]:
    """Returns the availability zones of a region, all in service."""
    return tuple(Zone(name=name, region=region) for name in names)


def make_services(
    *,
    group: str,
    count: int,
    zones: Sequence[Zone],
    shape: Shape,
    locate: Locate,
) -> tuple[Service, ...]:
    """Returns equal services that divide a group's records among them.

    The services are named `GROUP-01`, `GROUP-02` and so on, their backend
    servers `GROUP-01-1` and so on.  Replicas go to the zones in turn; each
    service starts one zone further, so that surplus replicas spread too.

    Args:
      group: Name of the group.
      count: Number of services.
      zones: Zones to spread over, one at least.
      shape: Shape of each service.
      locate: Gives the address of a backend server.
    """
    services = []
    for index in range(count):
        name = f"{group}-{index + 1:02d}"
        turned = [zones[(index + i) % len(zones)] for i in range(len(zones))]
        services.append(
            make_service(name=name, zones=turned, shape=shape, locate=locate)
        )
    return tuple(services)


def make_service(
    *, name: str, zones: Sequence[Zone], shape: Shape, locate: Locate
) -> Service:
    """Returns a service whose replicas go to the zones in turn.

    Args:
      name: Name of the service.
      zones: Zones to spread over, one at least.
      shape: Shape of the service.
      locate: Gives the address of a backend server.
    """
    servers = []
    for index in range(shape.replicas):
        server = f"{name}-{index + 1}"
        host, port = locate(server)
        servers.append(
            configuration.BackendServer(
                name=server,
                zone=zones[index % len(zones)].name,
                host=host,
                port=port,
                slots=shape.slots,
                connections=shape.connections,
            )
        )
    return Service(name=name, servers=tuple(servers))


def name_services(services: Iterable[Service]) -> tuple[str, ...]:
    """Returns the names of services, as a kind of request wants them."""
    return tuple(service.name for service in services)


def compose(
    *,
    zones: Iterable[Zone],
    services: Iterable[Service],
    kinds: Iterable[Kind],
) -> Configuration:
    """Puts a declaration together and checks all of it.

    Args:
      zones: The availability zones.
      services: The services.
      kinds: The kinds of request.

    Returns:
      The configuration with version 0, which no change has accepted yet.

    Raises:
      DeclarationError: It is invalid; holds every problem found.
    """
    declared = Configuration(
        version=0,
        change_id="",
        zones=tuple(zones),
        services=tuple(services),
        kinds=tuple(kinds),
    )
    checked, problems = read(_format_checked(declared))
    if checked is None:
        raise DeclarationError(problems)
    return checked


def read(data: bytes) -> tuple[Configuration | None, list[errors.Problem]]:
    """Reads a printed configuration with every check of a declaration.

    Types are checked first, and contents only once all types are right.

    Args:
      data: The configuration as JSON.

    Returns:
      The configuration and no problems, or None and every problem found.
    """
    decoded, problems = configuration.decode_configuration(data)
    if decoded is not None:
        problems = check(decoded)
    return (None, problems) if problems else (decoded, [])


def check(declared: Configuration) -> list[errors.Problem]:
    """Returns what is wrong or surely unintended in a declaration.

    Args:
      declared: A configuration whose types are right.
    """
    problems = configuration.check_configuration(declared)
    problems += _check_zones(declared)
    problems += _check_spelling(declared)
    problems += _check_addresses(declared)
    problems += _check_use(declared)
    return problems


def put_zone(
    declared: Configuration, name: str, *, in_service: bool
) -> Configuration | errors.Problem:
    """Returns the configuration with one zone taken out or brought back.

    Args:
      declared: The configuration.
      name: The zone's name.
      in_service: Whether the zone takes work afterwards.

    Returns:
      The configuration, or a problem if there is no such zone or if no zone
      would be left in service.
    """
    names = [zone.name for zone in declared.zones]
    if name not in names:
        return configuration.make_problem(
            f"zones.{name}",
            "The zone is not declared.",
            f"Name one of {', '.join(names)}."
            if names
            else "Declare it first.",
        )
    zones = tuple(
        zone._replace(in_service=in_service) if zone.name == name else zone
        for zone in declared.zones
    )
    changed = declared._replace(zones=zones)
    problems = _check_zones(changed)
    return problems[0] if problems else changed


def keep_zones(
    declared: Configuration, current: Configuration
) -> Configuration:
    """Returns a declaration with the zones out that are out at present.

    Whether a zone that exists is in service is a matter of `zone out` and
    `zone in` alone, so that applying a declaration brings no zone back that
    was taken out in an emergency.  A new zone is as declared.

    Args:
      declared: The declaration to apply.
      current: The configuration in force.
    """
    in_service = {zone.name: zone.in_service for zone in current.zones}
    zones = tuple(
        zone._replace(in_service=in_service.get(zone.name, zone.in_service))
        for zone in declared.zones
    )
    return declared._replace(zones=zones)


def main(build: Callable[[], Configuration]) -> None:
    """Prints what a declaring program builds, or every problem.

    Args:
      build: Builds the configuration; may raise `DeclarationError`.

    Raises:
      SystemExit: The declaration is invalid; the status is `EXIT_INVALID`.
    """
    try:
        declared = build()
    except DeclarationError as error:
        for problem in error.problems:
            print(problem.describe(), file=sys.stderr)
        raise SystemExit(EXIT_INVALID) from None
    sys.stdout.write(configuration.format_configuration(declared).decode())


def _format_checked(declared: Configuration) -> bytes:
    """Prints a declaration whose values may have any type.

    Raises:
      DeclarationError: A value has no form in JSON.
    """
    try:
        return configuration.format_configuration(declared)
    except (TypeError, ValueError) as error:
        problem = configuration.make_problem(
            "declaration",
            f"A value has no form in JSON: {error}.",
            "Use text, numbers, booleans and the values of this library.",
        )
        raise DeclarationError([problem]) from error


def _check_zones(declared: Configuration) -> list[errors.Problem]:
    """Finds a declaration without any zone in service."""
    if declared.get_zones_in_service():
        return []
    return [
        configuration.make_problem(
            "zones",
            "No zone is in service.",
            "Keep one zone in service at least.",
        )
    ]


def _check_spelling(declared: Configuration) -> list[errors.Problem]:
    """Finds names that headers, paths and file names cannot carry."""
    places = [(f"zones.{zone.name}", zone.name) for zone in declared.zones]
    places += [(f"kinds.{kind.name}", kind.name) for kind in declared.kinds]
    for service in declared.services:
        where = f"services.{service.name}"
        places.append((where, service.name))
        places += [(f"{where}.{s.name}", s.name) for s in service.servers]
    return [
        configuration.make_problem(
            where,
            f"The name {name!r} has other characters than letters, digits, "
            "dots, underscores and hyphens, or more than 100.",
            "Choose another name.",
        )
        for where, name in places
        if name and not _NAME.fullmatch(name)
    ]


def _check_addresses(declared: Configuration) -> list[errors.Problem]:
    """Finds addresses that are no IP numbers or are given twice."""
    problems = []
    taken: dict[tuple[str, int], str] = {}
    for service in declared.services:
        for server in service.servers:
            where = f"services.{service.name}.{server.name}"
            if not _is_ip_address(server.host):
                problems.append(
                    configuration.make_problem(
                        where,
                        f"{server.host!r} is no IP address.",
                        "Give the address as an IP number.",
                    )
                )
            address = (server.host, server.port)
            if address in taken:
                problems.append(
                    configuration.make_problem(
                        where,
                        f"{taken[address]} has the same host and port.",
                        "Correct one of the two addresses.",
                    )
                )
            taken.setdefault(address, server.name)
    return problems


def _check_use(declared: Configuration) -> list[errors.Problem]:
    """Finds slots without connections and services without a kind."""
    problems = []
    used = {name for kind in declared.kinds for name in kind.services}
    for service in declared.services:
        if service.name not in used:
            problems.append(
                configuration.make_problem(
                    f"services.{service.name}",
                    "No kind of request touches the service.",
                    "Name it in a kind or leave it out.",
                )
            )
        problems += [
            configuration.make_problem(
                f"services.{service.name}.{server.name}",
                f"{server.connections} connections cannot fill "
                f"{server.slots} slots.",
                "Declare as many connections as slots at least.",
            )
            for server in service.servers
            if server.connections < server.slots
        ]
    return problems


def _is_ip_address(text: str) -> bool:
    """Returns whether a text is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
