"""Selects the entry hosts whose addresses are given to callers.

Callers cache the answer and spread their requests over its hosts.  It contains
only active hosts, which have sent a recent heartbeat and are ready, so that a
dead host drops out before callers send it requests for long.
"""

from collections.abc import Sequence

from eelgrasshall.gateway import model

# How long callers may cache an answer: after about this time they stop using a
# host that answers no longer contain.
TTL_S = 2.0
# Maximum number of hosts in one answer: callers open connections to each.
MAX_HOSTS = 64


def select_hosts(hosts: Sequence[model.Host]) -> list[model.Host]:
    """Returns the hosts that callers should use; empty if none is ready.

    Args:
      hosts: The active hosts, in order of preference.
    """
    return sorted(hosts[:MAX_HOSTS])
