"""Which entry hosts carry the callers' requests at present.

A host that gets many requests keeps its connections warm, knows how quick
each backend server is and sees more of what waits there.  So only as many
hosts are named to callers as the load needs, the largest first, spread over
the zones; the others stand by and join as soon as load or losses ask for it.
Every host works the set out for itself from the heartbeats that it hears.
"""

from collections.abc import Sequence
import itertools
import math
from typing import NamedTuple
import zlib

from eelgrasshall.gateway import model

# Fewest hosts that carry requests: one in each of three zones.  The fewer they
# are, the more each sees of what waits at the backend servers: on scale-1 of
# trapeza-search, with three seeds, worth 0.757 with one, 0.744 with two, 0.728
# with three and 0.695 with six.
LEAST_HOSTS = 3
# Hosts that may carry requests beside those: callers keep addresses, and one
# that has replaced another shares limits with it for a while.
SPARE_HOSTS = 1
# Attempts a second that one core makes at full load: about 350 us for each,
# measured with `fleetbench run` on the small deployments.
ATTEMPTS_PER_CORE = 2800.0
# Bytes on the host's link for each attempt, both ways, with heads.
ATTEMPT_BYTES = 2000.0
# Shares of a host's capacity that are planned with.  A link that is full delays
# everything, so that twice the load must fit on two hosts of three.
PLANNED_CORE_SHARE = 0.6
PLANNED_LINK_SHARE = 0.3


class Load(NamedTuple):
    """A host that is ready, and what it does.

    Attributes:
      host: The host.
      attempts_per_s: Attempts a second that it sends to backend servers.
    """

    host: model.Host
    attempts_per_s: float


def estimate_capacity(host: model.Host) -> float:
    """Returns the attempts a second that a host is planned to make."""
    by_core = host.cores * ATTEMPTS_PER_CORE * PLANNED_CORE_SHARE
    by_link = host.link_mbps * 1e6 / 8.0 / ATTEMPT_BYTES * PLANNED_LINK_SHARE
    return min(by_core, by_link)


def choose_working(loads: Sequence[Load]) -> list[model.Host]:
    """Returns the hosts that should carry requests.

    Args:
      loads: The hosts that are ready.
    """
    needed = sum(load.attempts_per_s for load in loads)
    zones: dict[str, list[model.Host]] = {}
    for host in sorted((load.host for load in loads), key=_rank):
        zones.setdefault(host.zone, []).append(host)
    chosen: list[model.Host] = []
    capacity = 0.0
    # One of each zone in turn, the largest hosts first.
    for round_hosts in itertools.zip_longest(*zones.values()):
        for host in sorted(filter(None, round_hosts), key=_rank):
            if len(chosen) >= LEAST_HOSTS and capacity >= needed:
                return chosen
            chosen.append(host)
            capacity += estimate_capacity(host)
    return chosen


def count_sharing(known: int, carrying: int) -> int:
    """Returns among how many hosts limits are divided.

    Args:
      known: Number of hosts known, alive or not.
      carrying: Number of hosts heard that should carry requests.
    """
    return min(known, max(carrying, LEAST_HOSTS) + SPARE_HOSTS)


def _rank(host: model.Host) -> tuple[int, int, str]:
    """Returns the order of hosts: the largest first, then as by lot."""
    capacity = math.floor(estimate_capacity(host))
    return -capacity, zlib.crc32(host.name.encode()), host.name
