"""Limits the requests that this host sends to a cold backend server.

A server that has just started, or has lost its caches, crashes if it receives
requests at a higher rate than its service states.  The bound holds for all
hosts together, also while some are partitioned from the others, so each host
keeps to a share that is safe without coordination.  Where the share is less
than one request per second, only some of the hosts may send.
"""

import collections
from collections.abc import Sequence
from typing import NamedTuple
import zlib

# Share of the bound that is used, since requests sent in different seconds may
# arrive in the same one.
USABLE_SHARE = 0.8
# Window of the rate limit, a little longer than the second of the bound.
RATE_WINDOW_S = 1.1


class ColdStartBound(NamedTuple):
    """What the operator allows beyond the stated rate of a cold server.

    Attributes:
      multiplier: Multiple of the rate.
      slack: Requests per second in addition to that.
    """

    multiplier: float
    slack: float


def compute_host_rate(
    *,
    rate: float,
    bound: ColdStartBound,
    server_id: str,
    own: str,
    hosts: Sequence[str],
) -> int:
    """Returns how many requests per second this host may send to a cold server.

    Args:
      rate: The rate that its service states, requests per second.
      bound: What is allowed beyond that rate.
      server_id: The server.
      own: Name of this host.
      hosts: Names of all known hosts, alive or not, including this one.
    """
    total = (rate * bound.multiplier + bound.slack) * USABLE_SHARE
    if total >= len(hosts):
        return int(total / len(hosts))
    ordered = sorted(
        hosts, key=lambda name: (zlib.crc32((server_id + name).encode()), name)
    )
    return 1 if own in ordered[: int(total)] else 0


class ColdStartLimiter:
    """Limits this host's request rate to one server while it is cold."""

    def __init__(self):
        self._until_s = 0.0
        self._rate_limit = 0
        self._sent: collections.deque[float] = collections.deque()

    def mark_cold_until(self, until_s: float) -> None:
        """Marks the server as cold, at least up to a monotonic time."""
        self._until_s = max(self._until_s, until_s)

    def set_rate_limit(self, rate_limit: int) -> None:
        """Sets how many requests per second this host may send."""
        self._rate_limit = rate_limit

    def is_cold(self, now: float) -> bool:
        """Returns whether the server is cold."""
        return now < self._until_s

    def may_send(self, now: float) -> bool:
        """Returns whether a request may be sent now."""
        if now >= self._until_s:
            return True
        while self._sent and now - self._sent[0] >= RATE_WINDOW_S:
            self._sent.popleft()
        return len(self._sent) < self._rate_limit

    def record_send(self, now: float) -> None:
        """Counts a request that is sent while the server is cold."""
        if now < self._until_s:
            self._sent.append(now)
