"""Run-time checks of the invariants that the system guarantees.

Code that could violate an invariant checks it through
`InvariantChecker.check`.  In tests a breach raises.  In production it is only
counted and logged, because failing a healthy request as well would make the
breach worse.
"""

import collections
import enum

from loguru import logger


class Invariant(enum.Enum):
    """The invariants; each value is the sentence that is logged."""

    ONE_SNAPSHOT = "every answer comes from one snapshot"
    TRUE_COVERAGE = "coverage equals the parts that were merged"
    RIGHT_CALLER = "a part is delivered only to the request that asked for it"
    ONE_OUTCOME = "a request gets exactly one outcome"
    NOT_RUN_IS_TRUE = "a refusal that says not run followed no attempt"
    AT_MOST_ONCE = "a ticket or key is run at most once"
    COLD_ALLOWANCE = "a cold backend server is within its allowance"
    SLOT_LIMIT = "a backend server is within its slots"
    CONNECTION_LIMIT = "a backend server is within its connections"
    NOTHING_TO_LEAVING = "a leaving backend server gets no new work"
    NOTHING_TO_ZONE_OUT = "a zone taken out gets no new work"
    VERSION_RISES = "the configuration version never falls"
    STOP_CUTS_NOTHING = "a planned stop cuts no request"


class BreachError(AssertionError):
    """An invariant does not hold; raised only if breaches are to raise."""


class InvariantChecker:
    """Counts the checks and breaches of each invariant.

    Args:
      raising: Whether a breach raises `BreachError`.
    """

    def __init__(self, *, raising: bool):
        self._raising = raising
        self.checks: collections.Counter[Invariant] = collections.Counter()
        self.breaches: collections.Counter[Invariant] = collections.Counter()

    def check(
        self, invariant: Invariant, holds: bool, detail: str = ""
    ) -> None:
        """Counts one check, and counts and logs a breach.

        Args:
          invariant: The invariant that is checked.
          holds: Whether it holds.
          detail: Context for the log line of a breach.

        Raises:
          BreachError: The invariant does not hold and breaches raise.
        """
        self.checks[invariant] += 1
        if holds:
            return
        self.breaches[invariant] += 1
        message = f"invariant: broken: {invariant.value}; {detail}"
        logger.error(message)
        if self._raising:
            raise BreachError(message)
