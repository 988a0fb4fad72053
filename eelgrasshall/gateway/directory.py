"""Which entry hosts callers are told to use.

Callers keep an answer for a while and spread over what it names.  It names
hosts that were heard a moment ago and say that they are ready, so that a dead
host leaves the answers before callers run into it for long.
"""

from collections.abc import Sequence
import random as random_module

from eelgrasshall.gateway import model

# Callers leave a host that is gone from the answers after about this time.
TTL_S = 2.0
# Most hosts in one answer: callers keep connections to each.
MOST_NAMED = 64
# With fewer hosts in the caller's zone than this, hosts elsewhere are named
# as well, so that the loss of one does not leave its callers alone.
LEAST_IN_ZONE = 99


def name_hosts(
    *,
    own: model.Host,
    own_ready: bool,
    others: Sequence[model.Host],
    zone: str,
    random: random_module.Random,
) -> list[model.Host]:
    """Returns the hosts that a caller should use.

    Args:
      own: This host.
      own_ready: Whether this host serves.
      others: The other hosts that are alive and ready.
      zone: The caller's availability zone.
      random: Breaks the tie if there are too many.
    """
    hosts = [*others, own] if own_ready else list(others)
    if len(hosts) > MOST_NAMED:
        hosts = random.sample(hosts, MOST_NAMED)
    return sorted(hosts)
