"""Synthetic topologies: zones, services, backend servers and kinds.

A configuration builder is a function that builds a configuration from the
addresses of the backend servers.  The examples contain builders of two
realistic deployments; this module makes topologies of any size, which
`slopes` needs to measure how cost grows with size.
"""

from collections.abc import Callable
from typing import NamedTuple

from eelgrasshall.fakes import records
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configurations

ServerLocator = Callable[[str], tuple[str, int]]
ConfigurationBuilder = Callable[[ServerLocator], configurations.Configuration]

# Opening a connection takes 6 ms on servers with a connection limit of at most
# FEW_CONNECTIONS_LIMIT and 1 ms on the others.
FEW_CONNECTIONS_LIMIT = 50
SLOW_CONNECT_S = 0.006
FAST_CONNECT_S = 0.001


class ServiceGroup(NamedTuple):
    """Identical services that one kind of request queries.

    Attributes:
      kind: Name of the kind and prefix of the service names.
      services: Number of services.
      replicas: Number of backend servers of each service.
      slots: Number of slots of each backend server.
      connections: Connection limit of each backend server.
      deadline_ms: Deadline of the kind in milliseconds.
      repeatable: Whether requests may run more than once.
      max_concurrent: Maximum number of concurrent requests per entry host.
    """

    kind: str
    services: int
    replicas: int = 3
    slots: int = 6
    connections: int = 45
    deadline_ms: int = 1000
    repeatable: bool = True
    max_concurrent: int = 256


def make_configuration_builder(
    zones: tuple[configurations.Zone, ...], groups: tuple[ServiceGroup, ...]
) -> ConfigurationBuilder:
    """Returns a function that builds a configuration of service groups."""

    def build(locate: ServerLocator) -> configurations.Configuration:
        services: list[configurations.Service] = []
        kinds = []
        for group in groups:
            group_services = _build_services(zones, group, locate)
            services += group_services
            kinds.append(_build_kind(group, group_services))
        return configurations.Configuration(
            version=1,
            change_id="measure-1",
            zones=zones,
            services=tuple(services),
            kinds=tuple(kinds),
        )

    return build


def make_zones(count: int, region: str = "region") -> tuple:
    """Returns zones named `zone-1`, `zone-2` and so on."""
    return tuple(
        configurations.Zone(f"zone-{each + 1}", region) for each in range(count)
    )


def assign_key_ranges(
    configuration: configurations.Configuration,
) -> dict[str, messages.KeyRange]:
    """Returns the key range of each service.

    The services of a kind split the key space in their order.  A service of
    several kinds gets the range that it has in the kind with most services.
    """
    ranges: dict[str, messages.KeyRange] = {}
    sorted_kinds = sorted(
        configuration.kinds, key=lambda kind: -len(kind.services)
    )
    for kind in sorted_kinds:
        key_ranges = records.split_key_space(len(kind.services))
        for service, key_range in zip(kind.services, key_ranges, strict=True):
            ranges.setdefault(service, key_range)
    return ranges


def _build_services(
    zones: tuple[configurations.Zone, ...],
    group: ServiceGroup,
    locate: ServerLocator,
) -> list[configurations.Service]:
    """Builds the services of a group, replicas spread over the zones."""
    services = []
    for number in range(group.services):
        servers = []
        for replica in range(group.replicas):
            name = f"{group.kind}-{number:03d}-{replica}"
            zone = zones[(number + replica) % len(zones)].name
            host, port = locate(name)
            servers.append(
                configurations.BackendServer(
                    name, zone, host, port, group.slots, group.connections
                )
            )
        name = f"{group.kind}-{number:03d}"
        services.append(configurations.Service(name, tuple(servers)))
    return services


def _build_kind(
    group: ServiceGroup, services: list[configurations.Service]
) -> configurations.Kind:
    """Builds the kind that queries the services of a group."""
    return configurations.Kind(
        name=group.kind,
        services=tuple(service.name for service in services),
        deadline_ms=group.deadline_ms,
        repeatable=group.repeatable,
        max_concurrent=group.max_concurrent,
    )
