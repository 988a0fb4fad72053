"""Addresses at which this host may find members that it does not know yet.

The platform's host list lags and may be unavailable, and the settings may
name seed addresses besides it.  Neither says which hosts are alive: both only
name hosts to contact.
"""

from typing import NamedTuple

from eelgrasshall.coordination import membership_view
from eelgrasshall.protocol import platform as platform_protocol
from eelgrasshall.state import members


class Seed(NamedTuple):
    """An address to contact when the host list is unavailable.

    Attributes:
      host: IP address.
      port: TCP port for peers.
    """

    host: str
    port: int


class HostCandidates:
    """Holds the listed hosts and the seed addresses.

    Args:
      view: The known members, which need not be contacted.
      seeds: Addresses to contact besides those of the host list.
    """

    def __init__(
        self, *, view: membership_view.MembershipView, seeds: tuple[Seed, ...]
    ):
        self._view = view
        self._seeds = seeds
        self._listed: tuple[members.Member, ...] = ()

    def set_listed_hosts(
        self, entries: tuple[platform_protocol.HostEntry, ...]
    ) -> None:
        """Replaces the hosts that the platform's list names."""
        self._listed = tuple(_from_entry(entry) for entry in entries)

    def list_candidates(self) -> list[members.Member]:
        """Returns listed hosts and seeds that the view does not contain.

        Members that the view remembers as dead are left out too.
        """
        known = {
            (m.peer_host, m.peer_port)
            for m in [*self._view.list_usable(), *self._view.list_dead()]
        }
        listed = [m for m in self._listed if self._view.find(m.name) is None]
        seeds = [_from_seed(seed) for seed in self._seeds if seed not in known]
        return listed + seeds


def _from_entry(entry: platform_protocol.HostEntry) -> members.Member:
    """Converts an entry of the host list to a member to contact."""
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
    """Converts a seed address to a member to contact."""
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
