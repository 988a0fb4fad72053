"""Hedged attempts: when to send a second attempt beside a slow one.

The slowest of a query's parts sets its latency, so an attempt that takes
longer than nearly all others is duplicated on another replica.  The hedge
delay is chosen so that normal operation uses about half of the hedge budget.
The budget is a ceiling for degraded conditions: exhausting it costs more
latency than a later hedge delay would.
"""

import collections
import statistics

from eelgrasshall.coordination import budget as budgets
from eelgrasshall.coordination import histogram as histograms
from eelgrasshall.coordination import policy as policies

# Latency samples needed before the hedge delay is meaningful.
MIN_SAMPLES = 100
MIN_DELAY_S = 0.002
# A service counts as slow while the median of its recent attempts exceeds this
# multiple of its typical median.  Hedges would then only add load.
SLOW_FACTOR = 2.0
_RECENT_ATTEMPTS = 31
# Hedges per sub-request.  The second one serves the last stragglers of a wide
# query, whose latency lies at a high percentile of its parts' latencies.
MAX_HEDGES = 2


class Hedger:
    """Decides when the sub-requests of one service are hedged.

    Args:
      policy: The hedging policy.
      warm_latencies: Latencies of the service's warm servers.
    """

    def __init__(
        self, *, policy: policies.Policy, warm_latencies: histograms.Histogram
    ):
        self._policy = policy
        self._warm_latencies = warm_latencies
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_RECENT_ATTEMPTS
        )
        self.budget = budgets.ExtraAttemptBudget(share=policy.hedge_budget)

    def record(self, latency_s: float) -> None:
        """Records the latency of an attempt at a warm server, in seconds."""
        self._recent.append(latency_s)

    def compute_delay_s(
        self, *, repeatable: bool, hedge_count: int
    ) -> float | None:
        """Returns the time after which to hedge an attempt just sent.

        Args:
          repeatable: Whether the request may run more than once.
          hedge_count: Number of hedges of this sub-request so far.

        Returns:
          The delay in seconds, or None if the attempt must not be hedged.
        """
        if (
            not (self._policy.hedging and repeatable)
            or hedge_count >= MAX_HEDGES
        ):
            return None
        if self._warm_latencies.sample_count < MIN_SAMPLES:
            return None
        delay_s = self._warm_latencies.percentile(self._policy.hedge_percentile)
        return max(delay_s, MIN_DELAY_S)

    def try_withdraw(self) -> bool:
        """Withdraws a token for a hedge; False if none may be sent now."""
        return not self.is_service_slow() and self.budget.try_withdraw()

    def is_service_slow(self) -> bool:
        """Returns whether the whole service is slower than is typical."""
        if len(self._recent) < _RECENT_ATTEMPTS:
            return False
        typical_s = self._warm_latencies.percentile(0.5)
        return statistics.median(self._recent) > SLOW_FACTOR * typical_s
