"""Shapes of deployments: zones, services, backend servers and kinds.

A shape is a function that builds a configuration once it can locate each
backend server.  Tandil and Obshta Trapeza come from the examples; here are
shapes of any size, for slopes.
"""

from collections.abc import Callable
from typing import NamedTuple

from eelgrasshall.fakes import records
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configurations

Locate = Callable[[str], tuple[str, int]]
Build = Callable[[Locate], configurations.Configuration]

# Opening a connection costs 6 ms on the servers with few connections and 1 ms
# on those with many.
FEW_CONNECTIONS = 50
SLOW_OPEN_S = 0.006
FAST_OPEN_S = 0.001


class Group(NamedTuple):
    """Equal services that one kind of request searches.

    Attributes:
      kind: Name of the kind and prefix of the services.
      services: How many services.
      replicas: Backend servers of each service.
      slots: Slots of each backend server.
      connections: Connections of each backend server.
      deadline_ms: Deadline of the kind.
      repeatable: Whether requests may run more than once.
      max_concurrent: Requests that one entry host runs at once.
    """

    kind: str
    services: int
    replicas: int = 3
    slots: int = 6
    connections: int = 45
    deadline_ms: int = 1000
    repeatable: bool = True
    max_concurrent: int = 256


def build_shape(
    zones: tuple[configurations.Zone, ...], groups: tuple[Group, ...]
) -> Build:
    """Returns the function that builds a configuration of some groups."""

    def build(locate: Locate) -> configurations.Configuration:
        services: list[configurations.Service] = []
        kinds = []
        for group in groups:
            added = _build_services(zones, group, locate)
            services += added
            kinds.append(_build_kind(group, added))
        return configurations.Configuration(
            version=1,
            change_id="measure-1",
            zones=zones,
            services=tuple(services),
            kinds=tuple(kinds),
        )

    return build


def make_zones(count: int, region: str = "region") -> tuple:
    """Returns zones named `zone-1` and so on."""
    return tuple(
        configurations.Zone(f"zone-{each + 1}", region) for each in range(count)
    )


def divide_keys_of(
    configuration: configurations.Configuration,
) -> dict[str, messages.KeyRange]:
    """Returns the key range of each service: its place within its kind."""
    ranges: dict[str, messages.KeyRange] = {}
    widest_first = sorted(
        configuration.kinds, key=lambda kind: -len(kind.services)
    )
    for kind in widest_first:
        parts = records.divide_keys(len(kind.services))
        for service, keys in zip(kind.services, parts, strict=True):
            ranges.setdefault(service, keys)
    return ranges


def _build_services(
    zones: tuple[configurations.Zone, ...], group: Group, locate: Locate
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
    group: Group, services: list[configurations.Service]
) -> configurations.Kind:
    """Builds the kind that searches the services of a group."""
    return configurations.Kind(
        name=group.kind,
        services=tuple(service.name for service in services),
        deadline_ms=group.deadline_ms,
        repeatable=group.repeatable,
        max_concurrent=group.max_concurrent,
    )
