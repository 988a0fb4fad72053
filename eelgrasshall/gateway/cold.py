"""How much a cold backend server may get from this host.

A server that has just started, or lost what it had cached, crashes under more
requests than it states, whoever sends them.  The bound holds over all hosts,
also those that hear nobody, so each host keeps to a share that is safe alone.
Where the share is less than one request a second, only some hosts may send.
"""

import collections
from collections.abc import Sequence
from typing import NamedTuple
import zlib

# Share of the bound that is used: requests of one second may arrive in another.
USED_SHARE = 0.8
# Span in which the share holds; a little over the second of the bound.
WINDOW_S = 1.1


class ColdBound(NamedTuple):
    """What the operator allows beyond a cold server's own rate.

    Attributes:
      multiplier: Multiple of the rate.
      slack: Requests a second beyond that.
    """

    multiplier: float
    slack: float


def share_rate(
    *,
    rate: float,
    bound: ColdBound,
    server_id: str,
    own: str,
    hosts: Sequence[str],
) -> int:
    """Returns how many requests a second this host may send to a cold server.

    Args:
      rate: Requests a second that the server bears.
      bound: What is allowed beyond that.
      server_id: The server.
      own: Name of this host.
      hosts: Names of all hosts known, alive or not, with this one.
    """
    total = (rate * bound.multiplier + bound.slack) * USED_SHARE
    if total >= len(hosts):
        return int(total / len(hosts))
    ordered = sorted(
        hosts, key=lambda name: (zlib.crc32((server_id + name).encode()), name)
    )
    return 1 if own in ordered[: int(total)] else 0


class ColdGate:
    """Lets requests to one cold server through within this host's share."""

    def __init__(self):
        self._until_s = 0.0
        self._share = 0
        self._sent: collections.deque[float] = collections.deque()

    def close_until(self, until_s: float) -> None:
        """Notes that the server is cold up to a monotonic time."""
        self._until_s = max(self._until_s, until_s)

    def set_share(self, share: int) -> None:
        """Sets the requests a second that this host may send."""
        self._share = share

    def is_cold(self, now: float) -> bool:
        """Returns whether the server is cold."""
        return now < self._until_s

    def admits(self, now: float) -> bool:
        """Returns whether a request may be sent now."""
        if now >= self._until_s:
            return True
        while self._sent and now - self._sent[0] >= WINDOW_S:
            self._sent.popleft()
        return len(self._sent) < self._share

    def note_send(self, now: float) -> None:
        """Counts a request that is sent."""
        if now < self._until_s:
            self._sent.append(now)
