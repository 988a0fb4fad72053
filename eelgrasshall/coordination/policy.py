"""The choices that a measurement compares.

Everything that the measuring tool switches to get a baseline stands in one
value, so that two runs differ in nothing else.
"""

from typing import NamedTuple

OWNER = "owner"
ALONE = "alone"

# Longest time for which two hosts may both believe that they own a service.
OWNERSHIP_DISAGREEMENT_S = 2.0


class Policy(NamedTuple):
    """How an owner runs its services.

    Attributes:
      hedging: Whether slow attempts are hedged.
      hedge_percentile: Share of attempts that are quicker than the trigger.
      hedge_budget: Hedges allowed for each sub-request.
      retry_budget: Retries allowed for each sub-request.
      ownership: `owner`: only the owner of a service sends to its backend
        servers; `alone`: every host sends for itself and knows only its own
        attempts.
      disagreement_s: Seconds that a new owner waits before it touches a cold
        backend server, and for which it uses half the slots.
    """

    hedging: bool = True
    hedge_percentile: float = 0.98
    hedge_budget: float = 0.05
    retry_budget: float = 0.10
    ownership: str = OWNER
    disagreement_s: float = OWNERSHIP_DISAGREEMENT_S
