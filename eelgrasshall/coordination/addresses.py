"""Choice of the entry hosts whose addresses a caller gets.

There is no load balancer in front of the system: callers request addresses,
cache the answer for its time to live and connect to the hosts themselves.
"""

from collections.abc import Iterable
from typing import Protocol

from eelgrasshall.protocol import caller
from eelgrasshall.state import configuration as configuration_module

DEFAULT_TTL_S = 5.0


class _Status(Protocol):
    """The status of a member."""

    name: str


class Host(Protocol):
    """The interface that the choice of addresses needs of a member."""

    name: str
    zone: str
    region: str
    caller_host: str
    caller_port: int
    incarnation: int
    status: _Status


_USABLE = frozenset({"ALIVE", "SUSPECT"})


def choose_addresses(
    members: Iterable[Host],
    configuration: configuration_module.Configuration | None,
    zone: str,
) -> tuple[caller.Address, ...]:
    """Returns the entry hosts for a caller in order of preference.

    Only alive and suspected hosts in zones in service are returned.  Those in
    the caller's zone come first, then those in its region; suspected hosts
    come last within each group.

    Args:
      members: The members of the fleet.
      configuration: The configuration in force; without one, every zone
        counts as in service.
      zone: The caller's zone, or an empty string.
    """
    usable = [
        member
        for member in members
        if member.status.name in _USABLE
        and _is_zone_in_service(configuration, member.zone)
    ]
    region = _find_region(configuration, zone)
    usable.sort(
        key=lambda member: (
            member.zone != zone,
            member.region != region,
            member.status.name != "ALIVE",
            member.name,
        )
    )
    return tuple(
        caller.Address(
            member.name, member.zone, member.caller_host, member.caller_port
        )
        for member in usable
    )


def _is_zone_in_service(
    configuration: configuration_module.Configuration | None, zone: str
) -> bool:
    """Returns whether a zone is declared and in service."""
    if configuration is None:
        return True
    return zone in configuration.get_zones_in_service()


def _find_region(
    configuration: configuration_module.Configuration | None, zone: str
) -> str:
    """Returns the region of a zone, or an empty string."""
    zones = configuration.zones if configuration else ()
    return next((each.region for each in zones if each.name == zone), "")
