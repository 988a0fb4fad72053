"""The promises of the product, asserted in the running program.

Each promise of the brief has a name here.  The code that could break a
promise checks it through `Invariants.check`.  Under test a breach raises; in
production it is counted and logged, because failing a healthy request on top
of a breach would make the breach worse.
"""

import collections
import enum

from loguru import logger


class Promise(enum.Enum):
    """The promises, each with the sentence that it stands for."""

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
    """A promise was broken; raised only where breaches raise."""


class Invariants:
    """Counts the checks and breaches of each promise.

    Args:
      raising: Whether a breach raises `BreachError`.
    """

    def __init__(self, *, raising: bool):
        self._raising = raising
        self.checks: collections.Counter[Promise] = collections.Counter()
        self.breaches: collections.Counter[Promise] = collections.Counter()

    def check(self, promise: Promise, holds: bool, detail: str = "") -> None:
        """Records one check of a promise.

        Args:
          promise: The promise.
          holds: Whether it holds here.
          detail: What to say of a breach.

        Raises:
          BreachError: The promise is broken and breaches raise.
        """
        self.checks[promise] += 1
        if holds:
            return
        self.breaches[promise] += 1
        message = f"invariant: broken: {promise.value}; {detail}"
        logger.error(message)
        if self._raising:
            raise BreachError(message)
