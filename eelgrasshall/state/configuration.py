"""The declared configuration: zones, services, backend servers, kinds.

A configuration is one immutable value with one version.  It is parsed and
checked as a whole: `parse_configuration` gives either a configuration or the
list of everything that is wrong with it, never a part of one.
"""

import json
from typing import Any
from typing import NamedTuple

import pydantic

from eelgrasshall import errors


class Zone(NamedTuple):
    """An availability zone.

    Attributes:
      name: Its name, unique in the configuration.
      region: The region that it lies in.
      in_service: False once operators have taken the zone out.
    """

    name: str
    region: str
    in_service: bool = True


class BackendServer(NamedTuple):
    """A backend server, one replica of its service.

    Attributes:
      name: Its name, unique in the configuration.
      zone: Name of its availability zone.
      host: IP address.
      port: TCP port.
      slots: Requests that it runs at once when warm.
      connections: Connections that it accepts from the whole system.
    """

    name: str
    zone: str
    host: str
    port: int
    slots: int
    connections: int


class Service(NamedTuple):
    """A service: one shard of the records, held by equal replicas.

    Attributes:
      name: Its name, unique in the configuration.
      servers: Its backend servers.
    """

    name: str
    servers: tuple[BackendServer, ...]


class Kind(NamedTuple):
    """A kind of request with the promises that it must keep.

    Attributes:
      name: Its name, unique in the configuration.
      services: Names of the services that each request touches.
      deadline_ms: Deadline of a request that names none, and the longest.
      coverage_floor: Least share of the key space, from 0 to 1, that an
        answer must cover to be given at all.
      repeatable: Whether a request may run more than once.
      max_concurrent: Requests of this kind that one entry host runs at once.
      max_body_bytes: Largest request body.
      weight: Share of a contended host relative to the other kinds.
    """

    name: str
    services: tuple[str, ...]
    deadline_ms: int = 1000
    coverage_floor: float = 0.0
    repeatable: bool = True
    max_concurrent: int = 256
    max_body_bytes: int = 65536
    weight: int = 1


class Configuration(NamedTuple):
    """Everything that operators declare, as one version.

    Attributes:
      version: Rises by one with each accepted change; 0 is undeclared.
      change_id: Random name of the change that made this version.
      zones: The availability zones.
      services: The services.
      kinds: The kinds of request.
    """

    version: int
    change_id: str
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]

    def find_kind(self, name: str) -> Kind | None:
        """Returns the kind of that name."""
        return next((k for k in self.kinds if k.name == name), None)

    def find_service(self, name: str) -> Service | None:
        """Returns the service of that name."""
        return next((s for s in self.services if s.name == name), None)

    def zones_in_service(self) -> frozenset[str]:
        """Returns the names of the zones that take work."""
        return frozenset(z.name for z in self.zones if z.in_service)


_ADAPTER = pydantic.TypeAdapter(Configuration)


def format_configuration(configuration: Configuration) -> bytes:
    """Returns the configuration as JSON, the same bytes for the same value."""
    document = to_plain(configuration)
    text = json.dumps(document, indent=2, ensure_ascii=False)
    return text.encode() + b"\n"


def parse_configuration(
    data: bytes,
) -> tuple[Configuration | None, list[errors.Problem]]:
    """Reads and checks a configuration as a whole.

    Args:
      data: The JSON document.

    Returns:
      The configuration and no problems, or None and every problem found.
    """
    configuration, problems = decode_configuration(data)
    if configuration is not None:
        problems = check_configuration(configuration)
    return (None, problems) if problems else (configuration, [])


def decode_configuration(
    data: bytes,
) -> tuple[Configuration | None, list[errors.Problem]]:
    """Reads a configuration and checks its types but not its contents.

    Args:
      data: The JSON document.

    Returns:
      The configuration and no problems, or None and every wrong type.
    """
    try:
        return _ADAPTER.validate_json(data, strict=True), []
    except pydantic.ValidationError as error:
        return None, [_from_pydantic(each) for each in error.errors()]


def check_configuration(configuration: Configuration) -> list[errors.Problem]:
    """Returns everything that is wrong with a configuration's contents."""
    problems: list[errors.Problem] = []
    problems += _check_names(configuration)
    problems += _check_servers(configuration)
    problems += _check_kinds(configuration)
    return problems


def _check_names(configuration: Configuration) -> list[errors.Problem]:
    """Finds names that are empty or stand twice."""
    problems = []
    servers = [s for service in configuration.services for s in service.servers]
    groups = {
        "zones": configuration.zones,
        "services": configuration.services,
        "servers": servers,
        "kinds": configuration.kinds,
    }
    for place, items in groups.items():
        seen: set[str] = set()
        for item in items:
            if not item.name:
                problems.append(
                    make_problem(place, "A name is empty.", "Name it.")
                )
            if item.name in seen:
                problems.append(
                    make_problem(
                        f"{place}.{item.name}",
                        "The name stands twice.",
                        "Give each one its own name.",
                    )
                )
            seen.add(item.name)
    return problems


def _check_servers(configuration: Configuration) -> list[errors.Problem]:
    """Finds backend servers with impossible values."""
    problems = []
    zones = {zone.name for zone in configuration.zones}
    for service in configuration.services:
        if not service.servers:
            problems.append(
                make_problem(
                    f"services.{service.name}",
                    "The service has no backend server.",
                    "Declare at least one.",
                )
            )
        for server in service.servers:
            where = f"services.{service.name}.{server.name}"
            if server.zone not in zones:
                problems.append(
                    make_problem(
                        where,
                        f"The zone {server.zone!r} is not declared.",
                        "Declare the zone or correct its name.",
                    )
                )
            if server.slots < 1 or server.connections < 1:
                problems.append(
                    make_problem(
                        where,
                        "Slots and connections must be at least 1.",
                        "Correct the numbers.",
                    )
                )
            if not 0 < server.port < 65536:
                problems.append(
                    make_problem(
                        where,
                        f"{server.port} is no TCP port.",
                        "Use a port from 1 to 65535.",
                    )
                )
    return problems


def _check_kinds(configuration: Configuration) -> list[errors.Problem]:
    """Finds kinds with promises that cannot be kept."""
    problems = []
    services = {service.name for service in configuration.services}
    for kind in configuration.kinds:
        where = f"kinds.{kind.name}"
        for name in kind.services:
            if name not in services:
                problems.append(
                    make_problem(
                        where,
                        f"The service {name!r} is not declared.",
                        "Declare the service or correct its name.",
                    )
                )
        if not kind.services or len(set(kind.services)) < len(kind.services):
            problems.append(
                make_problem(
                    where,
                    "The services are missing or stand twice.",
                    "Name each service of the kind once.",
                )
            )
        if not kind.repeatable and len(kind.services) != 1:
            problems.append(
                make_problem(
                    where,
                    "A kind that may not be repeated touches several services.",
                    "Give it exactly one service, or make it repeatable.",
                )
            )
        if kind.deadline_ms < 1 or kind.max_concurrent < 1:
            problems.append(
                make_problem(
                    where,
                    "Deadline and concurrency must be at least 1.",
                    "Correct the numbers.",
                )
            )
        if kind.max_body_bytes < 2 or kind.weight < 1:
            problems.append(
                make_problem(
                    where,
                    "Body size must be at least 2 and the weight at least 1.",
                    "Correct the numbers.",
                )
            )
        if not 0.0 <= kind.coverage_floor <= 1.0:
            problems.append(
                make_problem(
                    where,
                    "The coverage floor lies outside 0 to 1.",
                    "Give a share from 0 to 1.",
                )
            )
    return problems


def make_problem(where: str, what: str, remedy: str) -> errors.Problem:
    """Returns a problem of an invalid configuration."""
    return errors.Problem(
        kind=errors.ProblemKind.INVALID_CONFIGURATION,
        where=where,
        what=what,
        remedy=remedy,
    )


def _from_pydantic(error: Any) -> errors.Problem:
    """Turns one finding of pydantic into a problem."""
    where = ".".join(str(step) for step in error["loc"]) or "configuration"
    return make_problem(where, f"{error['msg']}.", "Correct the value.")


def to_plain(value: Any) -> Any:
    """Turns named tuples into dictionaries, at every depth."""
    if hasattr(value, "_asdict"):
        return {k: to_plain(v) for k, v in value._asdict().items()}
    if isinstance(value, tuple):
        return [to_plain(each) for each in value]
    return value
