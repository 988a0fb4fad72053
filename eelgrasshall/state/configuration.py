"""The declared configuration: zones, services, backend servers, kinds.

A configuration is one immutable value with one version.  It is parsed and
validated as a whole: `parse_configuration` returns either a configuration or
the list of all its problems, never a partial configuration.
"""

import json
from typing import Any
from typing import NamedTuple

import pydantic

from eelgrasshall import errors


class Zone(NamedTuple):
    """An availability zone.

    Attributes:
      name: Name, unique in the configuration.
      region: Name of the region that contains the zone.
      in_service: False while operators have the zone out of service.
    """

    name: str
    region: str
    in_service: bool = True


class BackendServer(NamedTuple):
    """A backend server, one replica of its service.

    Attributes:
      name: Name, unique in the configuration.
      zone: Name of its availability zone.
      host: IP address.
      port: TCP port.
      slots: Maximum number of concurrent requests when warm.
      connections: Maximum number of connections from all entry hosts
        together.
    """

    name: str
    zone: str
    host: str
    port: int
    slots: int
    connections: int


class Service(NamedTuple):
    """A service: one shard of the records, served by equivalent replicas.

    Attributes:
      name: Name, unique in the configuration.
      servers: Backend servers of the service.
    """

    name: str
    servers: tuple[BackendServer, ...]


class Kind(NamedTuple):
    """A kind of request with its limits and guarantees.

    Attributes:
      name: Name, unique in the configuration.
      services: Names of the services that each request queries.
      deadline_ms: Default and maximum deadline of a request, in milliseconds.
      coverage_floor: Minimum share of the key space, from 0 to 1, that an
        answer must cover to be returned at all.
      repeatable: Whether a request may run more than once.
      max_concurrent: Maximum number of concurrent requests of this kind on
        one entry host.
      max_body_bytes: Maximum size of a request body, in bytes.
      weight: Relative share of a contended entry host among the kinds.
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
    """One version of everything that operators declare.

    Attributes:
      version: Incremented by each accepted change; 0 before the first.
      change_id: Random identifier of the change that created this version.
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
        """Returns the kind with this name, or None."""
        return next((k for k in self.kinds if k.name == name), None)

    def find_service(self, name: str) -> Service | None:
        """Returns the service with this name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def get_zones_in_service(self) -> frozenset[str]:
        """Returns the names of the zones that are in service."""
        return frozenset(z.name for z in self.zones if z.in_service)


_ADAPTER = pydantic.TypeAdapter(Configuration)


def format_configuration(configuration: Configuration) -> bytes:
    """Returns the configuration as JSON; equal values give equal bytes."""
    document = to_plain(configuration)
    text = json.dumps(document, indent=2, ensure_ascii=False)
    return text.encode() + b"\n"


def parse_configuration(
    data: bytes,
) -> tuple[Configuration | None, list[errors.Problem]]:
    """Decodes and validates a configuration.

    Args:
      data: The JSON document.

    Returns:
      The configuration and an empty list, or None and every problem found.
    """
    configuration, problems = decode_configuration(data)
    if configuration is not None:
        problems = check_configuration(configuration)
    return (None, problems) if problems else (configuration, [])


def decode_configuration(
    data: bytes,
) -> tuple[Configuration | None, list[errors.Problem]]:
    """Decodes a configuration, checking field types but not values.

    Args:
      data: The JSON document.

    Returns:
      The configuration and an empty list, or None and a problem for each
      field of the wrong type.
    """
    try:
        return _ADAPTER.validate_json(data, strict=True), []
    except pydantic.ValidationError as error:
        return None, [_from_pydantic(each) for each in error.errors()]


def check_configuration(configuration: Configuration) -> list[errors.Problem]:
    """Returns all problems with the values of a configuration."""
    problems: list[errors.Problem] = []
    problems += _check_names(configuration)
    problems += _check_servers(configuration)
    problems += _check_kinds(configuration)
    return problems


def _check_names(configuration: Configuration) -> list[errors.Problem]:
    """Finds empty and duplicate names."""
    problems = []
    servers = [s for service in configuration.services for s in service.servers]
    groups = {
        "zones": configuration.zones,
        "services": configuration.services,
        "servers": servers,
        "kinds": configuration.kinds,
    }
    for section, items in groups.items():
        seen: set[str] = set()
        for item in items:
            if not item.name:
                problems.append(
                    make_problem(section, "A name is empty.", "Name it.")
                )
            if item.name in seen:
                problems.append(
                    make_problem(
                        f"{section}.{item.name}",
                        "The name is used more than once.",
                        "Use unique names.",
                    )
                )
            seen.add(item.name)
    return problems


def _check_servers(configuration: Configuration) -> list[errors.Problem]:
    """Finds services without servers and servers with invalid values."""
    problems = []
    zones = {zone.name for zone in configuration.zones}
    for service in configuration.services:
        if not service.servers:
            problems.append(
                make_problem(
                    f"services.{service.name}",
                    "The service has no backend server.",
                    "Declare at least one backend server.",
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
                        f"{server.port} is not a valid TCP port.",
                        "Use a port from 1 to 65535.",
                    )
                )
    return problems


def _check_kinds(configuration: Configuration) -> list[errors.Problem]:
    """Finds kinds with invalid or contradictory values."""
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
                    "The services are missing or listed more than once.",
                    "List each service of the kind once.",
                )
            )
        if not kind.repeatable and len(kind.services) != 1:
            problems.append(
                make_problem(
                    where,
                    "A kind that is not repeatable uses several services.",
                    "List exactly one service, or make the kind repeatable.",
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
                    "The coverage floor is outside the range 0 to 1.",
                    "Use a value from 0 to 1.",
                )
            )
    return problems


def make_problem(where: str, what: str, remedy: str) -> errors.Problem:
    """Returns an `INVALID_CONFIGURATION` problem."""
    return errors.Problem(
        kind=errors.ProblemKind.INVALID_CONFIGURATION,
        where=where,
        what=what,
        remedy=remedy,
    )


def _from_pydantic(error: Any) -> errors.Problem:
    """Converts a pydantic error into a problem."""
    where = ".".join(str(part) for part in error["loc"]) or "configuration"
    return make_problem(where, f"{error['msg']}.", "Correct the value.")


def to_plain(value: Any) -> Any:
    """Converts named tuples into dictionaries, recursively."""
    if hasattr(value, "_asdict"):
        return {k: to_plain(v) for k, v in value._asdict().items()}
    if isinstance(value, tuple):
        return [to_plain(each) for each in value]
    return value
