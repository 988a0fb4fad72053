"""Latency quantiles that trigger hedges, and the budget of extra attempts.

A hedge is a second attempt sent while the first is still in flight, which
masks a single paused server in a search over many shards.  It is sent once
the first attempt has taken longer than a quantile of the route's latencies.
Hedges and retries of a request draw on one budget per service.  The budgets
of all hosts together keep the operator's bound in every time window, since
each host has its share of the fixed part.
"""

from collections.abc import Sequence
from typing import NamedTuple

# Number of latest latencies that are kept.
WINDOW_SIZE = 400
# Number of new latencies after which the quantiles are recomputed.
REFRESH_INTERVAL = 40
# Fewer latencies than this do not give a meaningful quantile.
MIN_SAMPLES = 20
# Share of the operator's bound that is used.  The rest covers what this host
# does not know: callers' requests that it has not seen end, lost messages.
USABLE_SHARE = 0.85
# Share of the budget that a host starts with: it may have used the rest before
# a restart.
INITIAL_SHARE = 0.6


class ExtraAttemptBound(NamedTuple):
    """Bound on attempts beyond the first of a request, over all hosts.

    Attributes:
      ratio: Extra attempts per request.
      fixed: Extra attempts in a window without requests.
    """

    ratio: float
    fixed: float


class LatencyWindow:
    """The latest latencies of one route.

    Args:
      initial_latency_s: Estimate used until there are enough latencies,
        seconds.
    """

    def __init__(self, *, initial_latency_s: float):
        self._initial_latency_s = initial_latency_s
        self._values: list[float] = []
        self._sorted: Sequence[float] = ()
        self._next = 0
        self._new_count = 0

    def record(self, latency_s: float) -> None:
        """Adds a latency, replacing the oldest if the window is full."""
        if len(self._values) < WINDOW_SIZE:
            self._values.append(latency_s)
        else:
            self._values[self._next] = latency_s
            self._next = (self._next + 1) % WINDOW_SIZE
        self._new_count += 1
        if (
            self._new_count >= REFRESH_INTERVAL
            or len(self._values) == MIN_SAMPLES
        ):
            self._new_count = 0
            self._sorted = sorted(self._values)

    def quantile(self, share: float) -> float:
        """Returns the latency that a share of the attempts does not exceed."""
        if len(self._sorted) < MIN_SAMPLES:
            return self._initial_latency_s
        index = min(int(len(self._sorted) * share), len(self._sorted) - 1)
        return self._sorted[index]


class ExtraAttemptBudget:
    """Token bucket of this host's extra attempts at one service.

    Args:
      bound: The bound for all hosts.
      hosts: Number of hosts that share its fixed part.
    """

    def __init__(self, *, bound: ExtraAttemptBound, hosts: int):
        self._bound = bound
        self._hosts = hosts
        self._capacity = self._compute_capacity()
        self._tokens = self._capacity * INITIAL_SHARE

    def set_hosts(self, hosts: int) -> None:
        """Changes the number of hosts that share the fixed part."""
        self._hosts = hosts
        self._resize()

    def set_bound(self, bound: ExtraAttemptBound) -> None:
        """Changes the bound for all hosts."""
        self._bound = bound
        self._resize()

    def _compute_capacity(self) -> float:
        """Returns this host's share of the fixed part."""
        return self._bound.fixed * USABLE_SHARE / max(self._hosts, 1)

    def _resize(self) -> None:
        """Recomputes the capacity and scales the tokens with it.

        The used share of the budget is kept, so that a change gives all hosts
        together no more than they had.
        """
        capacity = self._compute_capacity()
        if self._capacity > 0.0:
            self._tokens *= capacity / self._capacity
        self._capacity = capacity

    def compute_used_share(self) -> float:
        """Returns the used share of the budget, from 0 to 1."""
        if self._capacity <= 0.0:
            return 1.0
        return 1.0 - self._tokens / self._capacity

    def deposit(self) -> None:
        """Adds the extra attempts that one request allows."""
        earned = self._bound.ratio * USABLE_SHARE
        self._tokens = min(self._capacity, self._tokens + earned)

    def try_withdraw(self, *, reserve: float = 0.0) -> bool:
        """Withdraws one extra attempt.

        Args:
          reserve: Share of the capacity that must remain afterwards.

        Returns:
          Whether the attempt may be made.
        """
        if self._tokens - 1.0 < reserve * self._capacity:
            return False
        self._tokens -= 1.0
        return True
