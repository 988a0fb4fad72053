"""Chooses the active hosts: the entry hosts that serve callers at present.

A host with many requests keeps its connections open, has recent latencies of
each backend server and sees more of the queues there.  Callers are therefore
given only as many hosts as the load needs, the largest first, spread over the
zones; the others are on standby and become active when the load rises or
hosts are lost.  Each host computes the set from the heartbeats that it
receives.
"""

from collections.abc import Sequence
import itertools
import math
from typing import NamedTuple
import zlib

from eelgrasshall.gateway import model

# One host in each of three zones.  With more hosts, each sees less of the
# queues at the backend servers and fewer requests are answered in time.
MIN_ACTIVE_HOSTS = 3
# Hosts that may serve requests in addition to the active ones: callers keep
# addresses, so a host that has been replaced overlaps with its successor.
EXTRA_SHARING_HOSTS = 1
# Attempts per second that one core can make: about 350 us of its time each.
CORE_ATTEMPTS_PER_S = 2800.0
# Bytes on the host's link per attempt: request and response with headers.
BYTES_PER_ATTEMPT = 2000.0
# Planned utilisation of a host.  A full link delays everything, so two of three
# hosts must be able to carry twice the load.
PLANNED_CORE_SHARE = 0.6
PLANNED_LINK_SHARE = 0.3


class HostLoad(NamedTuple):
    """A host that is ready, and its load.

    Attributes:
      host: The host.
      attempts_per_s: Attempts per second that it sends to backend servers.
      reaches_servers: Whether it reaches backend servers at all.
    """

    host: model.Host
    attempts_per_s: float
    reaches_servers: bool = True


def estimate_capacity(host: model.Host) -> float:
    """Returns a host's planned capacity, attempts per second."""
    by_core = host.cores * CORE_ATTEMPTS_PER_S * PLANNED_CORE_SHARE
    by_link = (
        host.link_mbps * 1e6 / 8.0 / BYTES_PER_ATTEMPT * PLANNED_LINK_SHARE
    )
    return min(by_core, by_link)


def choose_active_hosts(loads: Sequence[HostLoad]) -> list[model.Host]:
    """Returns the hosts that should be active.

    Hosts that reach no backend server are not, unless no host reaches one.

    Args:
      loads: The hosts that are ready.
    """
    linked = [load for load in loads if load.reaches_servers]
    loads = linked or loads
    needed = sum(load.attempts_per_s for load in loads)
    zones: dict[str, list[model.Host]] = {}
    for host in sorted((load.host for load in loads), key=_sort_key):
        zones.setdefault(host.zone, []).append(host)
    chosen: list[model.Host] = []
    capacity = 0.0
    # In each round, the largest remaining host of every zone.
    for round_hosts in itertools.zip_longest(*zones.values()):
        for host in sorted(filter(None, round_hosts), key=_sort_key):
            if len(chosen) >= MIN_ACTIVE_HOSTS and capacity >= needed:
                return chosen
            chosen.append(host)
            capacity += estimate_capacity(host)
    return chosen


def count_sharing_hosts(known: int, active: int) -> int:
    """Returns the number of hosts among which fleet-wide limits are divided.

    Args:
      known: Number of known hosts, alive or not.
      active: Number of active hosts, as far as this host has heard of them.
    """
    return min(known, max(active, MIN_ACTIVE_HOSTS) + EXTRA_SHARING_HOSTS)


def compute_extra_share(
    *, is_active: bool, sharing: int, heard: int, missing: int
) -> float:
    """Returns this host's share of the fixed part of a fleet-wide limit.

    Args:
      is_active: Whether this host is one of the active hosts.
      sharing: Number of hosts among which the limit is divided.
      heard: Number of hosts that are heard, including this one.
      missing: Number of hosts that may serve though they are not heard.
    """
    if not is_active:
        return 0.0
    return compute_part(heard=heard, missing=missing) / max(sharing, 1)


def compute_part(*, heard: int, missing: int) -> float:
    """Returns the part of a fleet-wide limit that is due to the heard hosts.

    Hosts that are not heard may serve on, cut off from this one.  They divide
    what this side of the partition leaves, by the number of its hosts.

    Args:
      heard: Number of hosts that are heard, including this one.
      missing: Number of hosts that may serve though they are not heard.
    """
    return heard / (heard + missing)


def _sort_key(host: model.Host) -> tuple[int, int, str]:
    """Returns a key that sorts hosts by size, largest first, then by hash."""
    capacity = math.floor(estimate_capacity(host))
    return -capacity, zlib.crc32(host.name.encode()), host.name
