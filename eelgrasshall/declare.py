"""Library for operators to declare the configuration as a Python program.

A declaring program builds zones, services and kinds of request with the
classes and functions below and passes them to `compose`, which validates them.
Errors in types are reported together, and so are errors in contents once all
types are right.  The program defines a function `build` without arguments that
returns the configuration, for the command line to call, and ends with
`declare.main(build)`, so that running it prints the configuration.  Equal
declarations print equal bytes.
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

# Returns the IP address and TCP port of the backend server with a given name.
Locate = Callable[[str], tuple[str, int]]

EXIT_INVALID = 2

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")


class Shape(NamedTuple):
    """The properties that the backend servers of a service share.

    Attributes:
      replicas: Number of backend servers of the service.
      slots: Requests that a warm backend server runs concurrently.
      connections: Connections that a backend server accepts from all entry
        hosts together.
    """

    replicas: int
    slots: int
    connections: int


class DeclarationError(Exception):
    """A declaration is invalid.

    Attributes:
      problems: The problems found.
    """

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
    """Returns equal services that partition a group's records.

    The services are named `GROUP-01`, `GROUP-02` and so on, their backend
    servers `GROUP-01-1` and so on.  Replicas are assigned to the zones round
    robin.  Each service starts one zone further, so that the zones stay
    balanced if the number of replicas is not a multiple of theirs.

    Args:
      group: Name of the group.
      count: Number of services.
      zones: Zones to spread the replicas over, at least one.
      shape: Properties of the backend servers.
      locate: Returns the address of a backend server.
    """
    services = []
    for index in range(count):
        name = f"{group}-{index + 1:02d}"
        rotated = [zones[(index + i) % len(zones)] for i in range(len(zones))]
        services.append(
            make_service(name=name, zones=rotated, shape=shape, locate=locate)
        )
    return tuple(services)


def make_service(
    *, name: str, zones: Sequence[Zone], shape: Shape, locate: Locate
) -> Service:
    """Returns a service whose replicas are assigned to zones round robin.

    Args:
      name: Name of the service.
      zones: Zones to spread the replicas over, at least one.
      shape: Properties of the backend servers.
      locate: Returns the address of a backend server.
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
    """Returns the names of services, as `Kind` takes them."""
    return tuple(service.name for service in services)


def compose(
    *,
    zones: Iterable[Zone],
    services: Iterable[Service],
    kinds: Iterable[Kind],
) -> Configuration:
    """Builds a configuration from its parts and validates it.

    Args:
      zones: The availability zones.
      services: The services.
      kinds: The kinds of request.

    Returns:
      The configuration, with version 0 until it is applied.

    Raises:
      DeclarationError: The declaration is invalid.
    """
    declared = Configuration(
        version=0,
        change_id="",
        zones=tuple(zones),
        services=tuple(services),
        kinds=tuple(kinds),
    )
    checked, problems = read(_encode_unchecked(declared))
    if checked is None:
        raise DeclarationError(problems)
    return checked


def read(data: bytes) -> tuple[Configuration | None, list[errors.Problem]]:
    """Parses an encoded configuration and validates it like a declaration.

    Contents are only checked if all types are right.

    Args:
      data: The configuration as JSON.

    Returns:
      The configuration and no problems, or None and the problems found.
    """
    decoded, problems = configuration.decode_configuration(data)
    if decoded is not None:
        problems = check(decoded)
    return (None, problems) if problems else (decoded, [])


def check(declared: Configuration) -> list[errors.Problem]:
    """Returns the errors and evident mistakes in a declaration.

    Args:
      declared: A configuration whose types are right.
    """
    problems = configuration.check_configuration(declared)
    problems += _check_zones(declared)
    problems += _check_names(declared)
    problems += _check_addresses(declared)
    problems += _check_usage(declared)
    return problems


def put_zone(
    declared: Configuration, name: str, *, in_service: bool
) -> Configuration | errors.Problem:
    """Returns the configuration with a zone taken out or back in service.

    Args:
      declared: The configuration.
      name: The zone's name.
      in_service: Whether the zone is to be in service.

    Returns:
      The changed configuration, or a problem if the zone does not exist or no
      zone would be left in service.
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
    """Returns a declaration with the current service state of existing zones.

    Only `zone out` and `zone in` change whether an existing zone is in
    service, so that applying a declaration does not bring back a zone that was
    taken out in an emergency.  New zones are as declared.

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
    """Prints the configuration that a program builds, or its problems.

    Args:
      build: Returns the configuration; may raise `DeclarationError`.

    Raises:
      SystemExit: The declaration is invalid; with status `EXIT_INVALID`.
    """
    try:
        declared = build()
    except DeclarationError as error:
        for problem in error.problems:
            print(problem.describe(), file=sys.stderr)
        raise SystemExit(EXIT_INVALID) from None
    sys.stdout.write(configuration.format_configuration(declared).decode())


def _encode_unchecked(declared: Configuration) -> bytes:
    """Encodes a declaration whose values may have any type.

    Raises:
      DeclarationError: A value cannot be represented in JSON.
    """
    try:
        return configuration.format_configuration(declared)
    except (TypeError, ValueError) as error:
        problem = configuration.make_problem(
            "declaration",
            f"A value cannot be represented in JSON: {error}.",
            "Use text, numbers, booleans and the values of this library.",
        )
        raise DeclarationError([problem]) from error


def _check_zones(declared: Configuration) -> list[errors.Problem]:
    """Returns a problem if no zone is in service."""
    if declared.get_zones_in_service():
        return []
    return [
        configuration.make_problem(
            "zones",
            "No zone is in service.",
            "Keep at least one zone in service.",
        )
    ]


def _check_names(declared: Configuration) -> list[errors.Problem]:
    """Returns problems of names unsafe in headers, paths or file names."""
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
            "dots, underscores and hyphens, or more than 100 characters.",
            "Choose another name.",
        )
        for where, name in places
        if name and not _NAME_PATTERN.fullmatch(name)
    ]


def _check_addresses(declared: Configuration) -> list[errors.Problem]:
    """Returns problems of addresses that are invalid or used twice."""
    problems = []
    used_by: dict[tuple[str, int], str] = {}
    for service in declared.services:
        for server in service.servers:
            where = f"services.{service.name}.{server.name}"
            if not _is_ip_address(server.host):
                problems.append(
                    configuration.make_problem(
                        where,
                        f"{server.host!r} is not an IP address.",
                        "Give the host as an IP address.",
                    )
                )
            address = (server.host, server.port)
            if address in used_by:
                problems.append(
                    configuration.make_problem(
                        where,
                        f"{used_by[address]} has the same host and port.",
                        "Correct one of the two addresses.",
                    )
                )
            used_by.setdefault(address, server.name)
    return problems


def _check_usage(declared: Configuration) -> list[errors.Problem]:
    """Returns problems of too few connections and of unused services."""
    problems = []
    used = {name for kind in declared.kinds for name in kind.services}
    for service in declared.services:
        if service.name not in used:
            problems.append(
                configuration.make_problem(
                    f"services.{service.name}",
                    "No kind of request uses the service.",
                    "Add it to a kind or remove it.",
                )
            )
        problems += [
            configuration.make_problem(
                f"services.{service.name}.{server.name}",
                f"{server.connections} connections are too few for "
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
