"""Pauses that backend servers ask for, and when callers should come back.

The load pattern is servers that turn requests away in bursts: those that are
sent to them meanwhile are turned away too, each at the cost of an extra attempt
that another server could have used.  A server may state how long it wants no
requests.  A search that cannot be answered before such pauses end is rejected
at once, with a time to come back that follows from them.  This module does no
I/O and reads no clock.
"""

from collections.abc import Sequence
import math
import random as random_module

# A server that asks for a longer pause is tried again after this time.
MAX_PAUSE_S = 300.0
# Callers that are turned away together come back spread over this time.
RETURN_SPREAD_S = 0.2


def parse_pause_s(text: bytes) -> float | None:
    """Returns the seconds that a server asks for, or None if malformed.

    A date is malformed as well: the clocks of hosts and servers differ.
    """
    try:
        pause_s = float(text)
    except ValueError:
        return None
    if not math.isfinite(pause_s) or pause_s < 0:
        return None
    return min(pause_s, MAX_PAUSE_S)


def choose_return_s(
    shard_waits_s: Sequence[float | None],
    min_count: int,
    default_s: float,
    random: random_module.Random,
) -> float:
    """Returns after how many seconds a rejected caller should come back.

    Args:
      shard_waits_s: For each shard, seconds until one of its servers may be
        sent to, 0 if one may now; None if that is not known.
      min_count: Number of shards that an answer needs.
      default_s: The wait if too few of the shards' waits are known.
      random: Random number generator.
    """
    known = sorted(wait_s for wait_s in shard_waits_s if wait_s is not None)
    if len(known) < min_count or min_count < 1:
        return default_s
    wait_s = known[min_count - 1]
    if wait_s <= 0.0:
        return default_s
    return wait_s + random.random() * RETURN_SPREAD_S
