"""When to send a second attempt beside a slow first one.

With many parts in a query the slowest part sets its latency, so an attempt
that takes longer than nearly all others is doubled on another replica.  The
trigger lies where ordinary running uses about half the budget; the budget is
a ceiling for bad times, since one that runs dry costs more than a later
trigger.
"""

import collections
import statistics

from eelgrasshall.coordination import budget as budgets
from eelgrasshall.coordination import histogram as histograms
from eelgrasshall.coordination import policy as policies

# Latencies needed before the trigger means anything.
MIN_RECORDED = 100
SHORTEST_DELAY_S = 0.002
# The service is slow while the median of the last attempts is above this
# multiple of the usual median: then hedges only add load.
SLOW_FACTOR = 2.0
_RECENT = 31
# Hedges of one sub-request; the second one is for the last stragglers of a
# wide query, whose latency is a far percentile of each part's.
MAX_HEDGES = 2


class Hedger:
    """Decides on the hedges of one service.

    Args:
      policy: The choices in force.
      usual: Latencies of the service's warm servers.
    """

    def __init__(self, *, policy: policies.Policy, usual: histograms.Histogram):
        self._policy = policy
        self._usual = usual
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_RECENT
        )
        self.budget = budgets.Budget(share=policy.hedge_budget)

    def record(self, latency_s: float) -> None:
        """Notes the latency of an attempt at a warm server."""
        self._recent.append(latency_s)

    def find_delay(self, *, repeatable: bool, started: int) -> float | None:
        """Returns after how many seconds to hedge an attempt just sent.

        Args:
          repeatable: Whether the request may run more than once.
          started: Hedges of this sub-request so far.

        Returns:
          The delay, or None if there shall be no hedge.
        """
        if not (self._policy.hedging and repeatable) or started >= MAX_HEDGES:
            return None
        if self._usual.recorded < MIN_RECORDED:
            return None
        trigger_s = self._usual.percentile(self._policy.hedge_percentile)
        return max(trigger_s, SHORTEST_DELAY_S)

    def take(self) -> bool:
        """Takes the right to one hedge; False if there shall be none now."""
        return not self.is_slow() and self.budget.take()

    def is_slow(self) -> bool:
        """Returns whether the whole service is slower than it usually is."""
        if len(self._recent) < _RECENT:
            return False
        usual_s = self._usual.percentile(0.5)
        return statistics.median(self._recent) > SLOW_FACTOR * usual_s
