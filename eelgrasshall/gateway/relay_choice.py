"""Chooses the entry host through which a host that is cut off serves callers.

Many hosts may be cut off at the same time, and each knows the loads of the
others only as of their last heartbeats.  Each therefore draws two helpers at
random, weighted by capacity, and takes the less loaded one: helpers get
requests in proportion to their capacity, and none is chosen by all at once.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import random as random_module
from typing import NamedTuple

from eelgrasshall.gateway import active_hosts
from eelgrasshall.gateway import model

# Most requests of this host in flight at one helper.  What does not fit is
# refused, so that the helper keeps room for its own callers.
MAX_IN_FLIGHT_PER_HELPER = 64
# Load of a request in flight, which the helper's heartbeat may not include yet.
# A request lasts about 50 ms and takes an attempt or more.
ATTEMPTS_PER_S_IN_FLIGHT = 20.0
# Loads that differ by at most this share of the planned capacity are equal.
EQUAL_LOAD_SHARE = 0.05


class Helper(NamedTuple):
    """An entry host that reaches the backend servers.

    Attributes:
      host: The host.
      attempts_per_s: Attempts per second that it sends to backend servers,
        from its heartbeat.
      knows_workspaces: Whether it has announced that workspaces are configured
        there.
    """

    host: model.Host
    attempts_per_s: float
    knows_workspaces: bool = False


def choose_helper(
    helpers: Sequence[Helper],
    *,
    in_flight: Mapping[str, int],
    own_zone: str,
    tried: Collection[str],
    random: random_module.Random,
) -> model.Host | None:
    """Returns the helper to send a request to, or None if there is none.

    Args:
      helpers: The helpers.
      in_flight: Number of this host's requests in flight at each helper, by
        name.
      own_zone: The availability zone of this host.
      tried: Names of the helpers that are not to be chosen.
      random: Random number generator.
    """
    candidates = [
        helper
        for helper in helpers
        if helper.host.name not in tried
        and in_flight.get(helper.host.name, 0) < MAX_IN_FLIGHT_PER_HELPER
    ]
    if not candidates:
        return None
    first = _draw(candidates, random)
    candidates.remove(first)
    if not candidates:
        return first.host
    second = _draw(candidates, random)
    difference = _compute_load(second, in_flight) - _compute_load(
        first, in_flight
    )
    if abs(difference) > EQUAL_LOAD_SHARE:
        return second.host if difference < 0.0 else first.host
    if second.host.zone == own_zone != first.host.zone:
        return second.host
    return first.host


def _draw(helpers: Sequence[Helper], random: random_module.Random) -> Helper:
    """Returns a random helper, weighted by capacity."""
    weights = [_get_capacity(helper) for helper in helpers]
    return random.choices(helpers, weights)[0]


def _compute_load(helper: Helper, in_flight: Mapping[str, int]) -> float:
    """Returns the load of a helper as a share of its planned capacity."""
    own = in_flight.get(helper.host.name, 0) * ATTEMPTS_PER_S_IN_FLIGHT
    return (helper.attempts_per_s + own) / _get_capacity(helper)


def _get_capacity(helper: Helper) -> float:
    """Returns the planned capacity of a helper, at least 1 attempt/s."""
    return max(active_hosts.estimate_capacity(helper.host), 1.0)
