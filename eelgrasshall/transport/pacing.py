"""Rate limiting and backoff for one host's calls to the platform.

The platform's rate limits apply to the whole fleet and count each call and each
waiting watch, so each host stays within its configured share.  After repeated
failures a host backs off for a random time and resumes with an empty token
bucket, so that the hosts of a fleet do not all call the platform at the moment
an outage ends.
"""

import random as random_module

from eelgrasshall import clock as clock_module

# Consecutive failures after which calls fail without being sent.
BACKOFF_THRESHOLD = 3
BASE_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# Share of the rate that remains for calls however many watches are waiting.
MIN_CALL_SHARE = 0.25


class TokenBucket:
    """A token bucket that holds at most the calls of one second.

    Args:
      clock: Source of monotonic time.
      calls_per_s: Calls allowed per second.
    """

    def __init__(self, *, clock: clock_module.Clock, calls_per_s: float):
        self._clock = clock
        self._calls_per_s = calls_per_s
        self._waiting_watches = 0
        self._tokens = max(1.0, calls_per_s)
        self._refilled_at_s = clock.monotonic()

    def set_waiting_watches(self, waiting: int) -> None:
        """Sets the number of waiting watches.

        Each of them reduces the rate by one call per second.
        """
        self._refill()
        self._waiting_watches = waiting

    def discard_tokens(self) -> None:
        """Discards the accumulated tokens."""
        self._refill()
        self._tokens = min(0.0, self._tokens)

    def reserve(self) -> float:
        """Takes a token for one call.

        Returns:
          Seconds to wait before making the call.
        """
        self._refill()
        self._tokens -= 1.0
        if self._tokens >= 0.0:
            return 0.0
        return -self._tokens / self._rate()

    def refund(self) -> None:
        """Puts back the token of a call that was not made."""
        self._tokens += 1.0

    def _rate(self) -> float:
        """Returns the calls per second that waiting watches leave."""
        min_rate = self._calls_per_s * MIN_CALL_SHARE
        return max(min_rate, self._calls_per_s - self._waiting_watches)

    def _refill(self) -> None:
        """Adds the tokens that have accumulated since the last refill."""
        now = self._clock.monotonic()
        accumulated = (now - self._refilled_at_s) * self._rate()
        limit = max(1.0, self._calls_per_s)
        self._tokens = min(limit, self._tokens + accumulated)
        self._refilled_at_s = now


class Backoff:
    """Exponential backoff with jitter after repeated failures.

    Args:
      clock: Source of monotonic time.
      random: Source of jitter.

    Attributes:
      consecutive_failures: Number of failures since the last success.
    """

    def __init__(
        self, *, clock: clock_module.Clock, random: random_module.Random
    ):
        self._clock = clock
        self._random = random
        self._resume_at_s = 0.0
        self.consecutive_failures = 0

    def remaining_s(self) -> float:
        """Returns the seconds until the next call may be made."""
        return max(0.0, self._resume_at_s - self._clock.monotonic())

    def record_failure(self) -> None:
        """Records a failed call."""
        self.consecutive_failures += 1
        excess = self.consecutive_failures - BACKOFF_THRESHOLD
        if excess < 0:
            return
        max_wait_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2.0 ** min(excess, 10))
        wait_s = self._random.uniform(max_wait_s / 2, max_wait_s)
        self._resume_at_s = self._clock.monotonic() + wait_s

    def record_success(self) -> bool:
        """Records a successful call.

        Returns:
          Whether it ended a backoff.
        """
        ended = self.consecutive_failures >= BACKOFF_THRESHOLD
        self.consecutive_failures = 0
        self._resume_at_s = 0.0
        return ended
