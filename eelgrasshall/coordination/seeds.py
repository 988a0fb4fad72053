"""Addresses at which this host may find members that it does not know.

The platform's host list lags and may be out, and settings may name further
addresses.  Neither says who is alive: they only name hosts to try.
"""

from typing import NamedTuple

from eelgrasshall.coordination import membership_view
from eelgrasshall.protocol import platform as platform_protocol
from eelgrasshall.state import members


class Seed(NamedTuple):
    """An address that may lead to a member when the host list is out.

    Attributes:
      host: IP address.
      port: TCP port for peers.
    """

    host: str
    port: int


class Addresses:
    """Knows the listed hosts and the seeds.

    Args:
      view: The members, which need not be tried.
      seeds: Addresses to try besides those of the host list.
    """

    def __init__(
        self, *, view: membership_view.MembershipView, seeds: tuple[Seed, ...]
    ):
        self._view = view
        self._seeds = seeds
        self._listed: tuple[members.Member, ...] = ()

    def take(self, entries: tuple[platform_protocol.HostEntry, ...]) -> None:
        """Remembers the hosts that the platform names."""
        self._listed = tuple(_from_entry(entry) for entry in entries)

    def find_unmet(self) -> list[members.Member]:
        """Returns listed hosts and seeds that are no members, dead or not."""
        known = {
            (m.peer_host, m.peer_port)
            for m in [*self._view.list_usable(), *self._view.list_dead()]
        }
        listed = [m for m in self._listed if self._view.find(m.name) is None]
        seeds = [_from_seed(seed) for seed in self._seeds if seed not in known]
        return listed + seeds


def _from_entry(entry: platform_protocol.HostEntry) -> members.Member:
    """Returns a host of the platform's list as one to try."""
    return members.Member(
        name=entry.name,
        zone=entry.zone,
        region=entry.region,
        caller_host=entry.host,
        caller_port=entry.caller_port,
        peer_host=entry.host,
        peer_port=entry.peer_port,
        incarnation=0,
        status=members.MemberStatus.DEAD,
    )


def _from_seed(seed: Seed) -> members.Member:
    """Returns a seed address as a host to try."""
    return members.Member(
        name=f"{seed.host}:{seed.port}",
        zone="",
        region="",
        caller_host=seed.host,
        caller_port=0,
        peer_host=seed.host,
        peer_port=seed.port,
        incarnation=0,
        status=members.MemberStatus.DEAD,
    )
