"""When a second attempt is worth it, and how many there may be.

Answers the load pattern of single pauses behind a wide search.  The trigger
is a quantile of the latencies of the same route.  All attempts beyond the
first of a request draw on one allowance for each service, which holds the
fleet's bound over any window: each host has its share of the fixed part.
"""

from collections.abc import Sequence
from typing import NamedTuple

# Latencies that a window keeps.
WINDOW = 400
# Latencies after which quantiles are worked out again.
REFRESH_EVERY = 40
# Fewer latencies than this say little about a quantile.
MIN_RECORDED = 20
# Share of the operator's bound that is used, the rest covers what this host
# does not know: requests of callers that it has not seen end, lost messages.
USED_SHARE = 0.85
# Share of the allowance that a host has at its start, as it may have used
# some before it was restarted.
START_SHARE = 0.6


class ExtraBound(NamedTuple):
    """The bound on attempts beyond the first, for all hosts together.

    Attributes:
      ratio: Extra attempts for each request.
      fixed: Extra attempts in a window without requests.
    """

    ratio: float
    fixed: float


class Latencies:
    """Recent latencies of one route.

    Args:
      initial_s: What is expected before anything was seen, seconds.
    """

    def __init__(self, *, initial_s: float):
        self._initial_s = initial_s
        self._values: list[float] = []
        self._sorted: Sequence[float] = ()
        self._next = 0
        self._fresh = 0

    def record(self, latency_s: float) -> None:
        """Adds one latency."""
        if len(self._values) < WINDOW:
            self._values.append(latency_s)
        else:
            self._values[self._next] = latency_s
            self._next = (self._next + 1) % WINDOW
        self._fresh += 1
        if self._fresh >= REFRESH_EVERY or len(self._values) == MIN_RECORDED:
            self._fresh = 0
            self._sorted = sorted(self._values)

    def quantile(self, share: float) -> float:
        """Returns the latency that a share of the attempts stays under."""
        if len(self._sorted) < MIN_RECORDED:
            return self._initial_s
        index = min(int(len(self._sorted) * share), len(self._sorted) - 1)
        return self._sorted[index]


class ExtraAllowance:
    """This host's allowance of extra attempts at one service.

    Args:
      bound: The bound for all hosts.
      hosts: Number of hosts that share its fixed part.
    """

    def __init__(self, *, bound: ExtraBound, hosts: int):
        self._bound = bound
        self._hosts = hosts
        self._capacity = self._compute_capacity()
        self._tokens = self._capacity * START_SHARE

    def set_hosts(self, hosts: int) -> None:
        """Changes the number of hosts that share the fixed part."""
        self._hosts = hosts
        self._resize()

    def set_bound(self, bound: ExtraBound) -> None:
        """Changes the bound for all hosts."""
        self._bound = bound
        self._resize()

    def _compute_capacity(self) -> float:
        """Returns this host's part of what all may use without requests."""
        return self._bound.fixed * USED_SHARE / max(self._hosts, 1)

    def _resize(self) -> None:
        """Adapts to another capacity.

        The used share stays as it is, so that all hosts together hold no more
        than before.
        """
        capacity = self._compute_capacity()
        if self._capacity > 0.0:
            self._tokens *= capacity / self._capacity
        self._capacity = capacity

    def scarcity(self) -> float:
        """Returns how much of the allowance is used, from 0 to 1."""
        if self._capacity <= 0.0:
            return 1.0
        return 1.0 - self._tokens / self._capacity

    def earn(self) -> None:
        """Counts a request for the service."""
        earned = self._bound.ratio * USED_SHARE
        self._tokens = min(self._capacity, self._tokens + earned)

    def take(self, *, reserve: float = 0.0) -> bool:
        """Takes one extra attempt.

        Args:
          reserve: Share of the allowance that must stay for others.

        Returns:
          Whether the attempt may be made.
        """
        if self._tokens - 1.0 < reserve * self._capacity:
            return False
        self._tokens -= 1.0
        return True
