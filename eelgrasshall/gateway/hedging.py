"""Latency quantiles that trigger hedges, and the budget of extra attempts.

A hedge is a second attempt sent while the first is still in flight, which
masks a single paused server in a search over many shards.  It is sent once
the first attempt has taken longer than a quantile of the route's latencies.
Hedges and retries of a request draw on one budget per service.

The operator bounds the extra attempts of all hosts in every time window, by a
part for each request and a fixed part.  Each host spends what its own requests
allow, and a share of the fixed part (see `shares`).

Callers' workspaces share the budget.  Beyond what its own requests allow, a
workspace may have spent at most as much lately as is left for the others, so
that none can use the budget up.
"""

from collections.abc import Sequence
import math
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
# Share of what the requests of a window allow that may be spent in the next.
CARRIED_SHARE = 0.1
# Extra attempts that any host may save up and a new process starts with: one
# with few requests can retry.
MIN_CAPACITY = 1.0


class ExtraAttemptBound(NamedTuple):
    """Bound on attempts beyond the first of a request, over all hosts.

    Attributes:
      ratio: Extra attempts per request.
      fixed: Extra attempts in a window without requests.
      window_s: Length of the window, seconds.
    """

    ratio: float
    fixed: float
    window_s: float = 10.0


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
      share: This host's share of its fixed part.
      usable_share: Share of the bound that is used.
      initial: Attempts allowed at the start beyond the share.
    """

    def __init__(
        self,
        *,
        bound: ExtraAttemptBound,
        share: float,
        usable_share: float = USABLE_SHARE,
        initial: float = MIN_CAPACITY,
    ):
        self._bound = bound
        self._share = share
        self._usable_share = usable_share
        self._fixed = self._compute_fixed()
        self._tokens = self._fixed + min(initial, bound.fixed)
        # Requests of about one window, decayed exponentially.
        self._recent_requests = 0.0
        self._recent_s = 0.0
        # By workspace: extra attempts beyond what its requests allow, decayed
        # exponentially, and the time of that value.
        self._spent: dict[str, tuple[float, float]] = {}

    def set_share(self, share: float) -> None:
        """Changes the share of the fixed part, by a `shares.DelayedShare`."""
        self._share = share
        old, self._fixed = self._fixed, self._compute_fixed()
        self._tokens += max(self._fixed - old, 0.0)
        self._tokens = min(self._tokens, self._capacity)

    def set_bound(self, bound: ExtraAttemptBound) -> None:
        """Changes the bound for all hosts; nothing is given back."""
        self._bound = bound
        self._fixed = self._compute_fixed()
        self._tokens = min(self._tokens, self._capacity)

    @property
    def _capacity(self) -> float:
        """Most extra attempts that may be saved up."""
        carried = self._bound.ratio * self._recent_requests * CARRIED_SHARE
        return self._fixed + max(carried, min(MIN_CAPACITY, self._bound.fixed))

    def _compute_fixed(self) -> float:
        """Returns this host's share of the fixed part."""
        return self._bound.fixed * self._usable_share * self._share

    def compute_used_share(self) -> float:
        """Returns the used share of the budget, from 0 to 1."""
        if not self._capacity:
            return 1.0
        return 1.0 - min(self._tokens / self._capacity, 1.0)

    def deposit(self, now: float, *, workspace: str | None = None) -> None:
        """Adds the extra attempts that one request allows.

        Args:
          now: Monotonic time.
          workspace: The workspace of its caller, if any.
        """
        elapsed_s = max(now - self._recent_s, 0.0)
        self._recent_s = now
        self._recent_requests *= math.exp(-elapsed_s / self._bound.window_s)
        self._recent_requests += 1.0
        earned = self._bound.ratio * self._usable_share
        self._tokens = min(self._capacity, self._tokens + earned)
        if workspace in self._spent:
            self._add_spent(workspace, -earned)

    def can_withdraw(
        self, *, reserve: float = 0.0, workspace: str | None = None
    ) -> bool:
        """Returns whether an extra attempt may be made.

        Args:
          reserve: Share of the capacity that must remain afterwards.
          workspace: The workspace of the caller, if any.
        """
        if workspace is not None and (
            self._get_spent(workspace) + 1.0 > self._tokens
        ):
            return False
        return self._tokens - 1.0 >= reserve * self._capacity

    def try_withdraw(
        self, *, reserve: float = 0.0, workspace: str | None = None
    ) -> bool:
        """Withdraws one extra attempt.

        Args:
          reserve: Share of the capacity that must remain afterwards.
          workspace: The workspace of the caller, if any.

        Returns:
          Whether the attempt may be made.
        """
        if not self.can_withdraw(reserve=reserve, workspace=workspace):
            return False
        self._tokens -= 1.0
        if workspace is not None:
            self._add_spent(workspace, 1.0)
        return True

    def _get_spent(self, workspace: str) -> float:
        """Returns what a workspace has spent lately beyond its own part."""
        spent, spent_s = self._spent.get(workspace, (0.0, self._recent_s))
        age_s = self._recent_s - spent_s
        return spent * math.exp(-age_s / self._bound.window_s)

    def _add_spent(self, workspace: str, amount: float) -> None:
        spent = max(self._get_spent(workspace) + amount, 0.0)
        if spent:
            self._spent[workspace] = (spent, self._recent_s)
        else:
            self._spent.pop(workspace, None)
