"""Policy for sending sub-requests to backend servers.

All options that are varied for comparisons are fields of one value, so that two
measurements differ in nothing else.
"""

from typing import NamedTuple

OWNER = "owner"
ALONE = "alone"

# Longest time during which two hosts may both believe that they own a service.
MAX_OWNERSHIP_OVERLAP_S = 2.0


class Policy(NamedTuple):
    """Policy for sending sub-requests to backend servers.

    Attributes:
      hedging: Whether slow attempts are hedged.
      hedge_percentile: Latency percentile after which an attempt is hedged,
        as a fraction.
      hedge_budget: Hedges allowed per sub-request, on average.
      retry_budget: Retries allowed per sub-request, on average.
      ownership: `owner`: only the owner of a service sends to its backend
        servers; `alone`: every host sends on its own and knows only its own
        attempts.
      disagreement_s: Seconds during which a new owner sends nothing to cold
        backend servers and uses only half of the slots of warm ones.
    """

    hedging: bool = True
    hedge_percentile: float = 0.98
    hedge_budget: float = 0.05
    retry_budget: float = 0.10
    ownership: str = OWNER
    disagreement_s: float = MAX_OWNERSHIP_OVERLAP_S
