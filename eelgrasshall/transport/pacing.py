"""Paces the calls of one host to the platform.

The platform counts each call and each waiting watch, and its rates are shared
by the whole fleet, so each host keeps to its own configured share.  A host
that has found the platform failing waits for a random while before it tries
again, and comes back with an empty allowance, so that a fleet whose outage
ends at one moment does not return at one moment.
"""

import random as random_module

from eelgrasshall import clock as clock_module

# Consecutive failures after which calls are refused without being sent.
FAILURES_TO_HOLD = 3
HOLD_BASE_S = 0.5
HOLD_LIMIT_S = 4.0
# Least share of the rate that stays for calls while watches wait.
LEAST_CALL_SHARE = 0.25


class Allowance:
    """A token bucket that holds at most one second's worth of calls.

    Args:
      clock: The clock.
      calls_per_s: Calls allowed per second.
    """

    def __init__(self, *, clock: clock_module.Clock, calls_per_s: float):
        self._clock = clock
        self._calls_per_s = calls_per_s
        self._held = 0
        self._tokens = max(1.0, calls_per_s)
        self._counted_at = clock.monotonic()

    def hold(self, calls: int) -> None:
        """Sets how many long calls are under way, each one call a second."""
        self._refill()
        self._held = calls

    def empty(self) -> None:
        """Gives up what has gathered."""
        self._refill()
        self._tokens = min(0.0, self._tokens)

    def take(self) -> float:
        """Takes one call.

        Returns:
          Seconds to wait before making it.
        """
        self._refill()
        self._tokens -= 1.0
        if self._tokens >= 0.0:
            return 0.0
        return -self._tokens / self._rate()

    def give_back(self) -> None:
        """Returns a call that was not made."""
        self._tokens += 1.0

    def _rate(self) -> float:
        """Returns calls per second left beside the long calls."""
        least = self._calls_per_s * LEAST_CALL_SHARE
        return max(least, self._calls_per_s - self._held)

    def _refill(self) -> None:
        """Adds what has gathered since the last count."""
        now = self._clock.monotonic()
        gathered = (now - self._counted_at) * self._rate()
        limit = max(1.0, self._calls_per_s)
        self._tokens = min(limit, self._tokens + gathered)
        self._counted_at = now


class Hold:
    """Refuses calls for a random while after repeated failures.

    Args:
      clock: The clock.
      random: The source of jitter.
    """

    def __init__(
        self, *, clock: clock_module.Clock, random: random_module.Random
    ):
        self._clock = clock
        self._random = random
        self._until = 0.0
        self.failures = 0

    def remaining_s(self) -> float:
        """Returns seconds until the next call may be tried."""
        return max(0.0, self._until - self._clock.monotonic())

    def note_failure(self) -> None:
        """Records a failed call."""
        self.failures += 1
        over = self.failures - FAILURES_TO_HOLD
        if over < 0:
            return
        longest = min(HOLD_LIMIT_S, HOLD_BASE_S * 2.0 ** min(over, 10))
        wait = self._random.uniform(longest / 2, longest)
        self._until = self._clock.monotonic() + wait

    def note_success(self) -> bool:
        """Records a call that worked.

        Returns:
          Whether it ended an outage.
        """
        ended = self.failures >= FAILURES_TO_HOLD
        self.failures = 0
        self._until = 0.0
        return ended
