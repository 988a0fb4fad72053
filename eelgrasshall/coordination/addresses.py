"""Which entry hosts a caller is told to use.

No balancer stands in front of the system: callers ask for addresses, keep the
answer for its time to live and connect there themselves.
"""

from collections.abc import Iterable
from typing import Protocol

from eelgrasshall.protocol import caller
from eelgrasshall.state import configuration as configuration_module

DEFAULT_TTL_S = 5.0


class _Status(Protocol):
    """Whether a member is in use."""

    name: str


class Host(Protocol):
    """What an address answer needs of a member of the fleet."""

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
    """Returns the entry hosts for a caller, the ones to prefer first.

    Hosts that are leaving and hosts in zones taken out are left out.  Those
    in the caller's zone come first, then those in its region; suspected hosts
    come last within each group.

    Args:
      members: The members of the fleet.
      configuration: The configuration in force; without one no zone is
        known to be out.
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
    """Returns whether a zone takes work; an undeclared one does not."""
    if configuration is None:
        return True
    return zone in configuration.get_zones_in_service()


def _find_region(
    configuration: configuration_module.Configuration | None, zone: str
) -> str:
    """Returns the region of a zone, or an empty string."""
    zones = configuration.zones if configuration else ()
    return next((each.region for each in zones if each.name == zone), "")
