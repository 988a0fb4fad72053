"""Token buckets that bound extra attempts to a share of the regular load.

Hedges and retries help single requests, but amplify overload when the whole
system is slow.  Each regular request deposits a fraction of a token and each
extra attempt withdraws a whole one, so extra attempts stay a fixed share of
the load under all conditions.
"""

# Maximum balance, enough for a short burst of extra attempts.
_MAX_TOKENS = 20.0
_INITIAL_TOKENS = 10.0


class ExtraAttemptBudget:
    """A token bucket for extra attempts.

    Args:
      share: Extra attempts allowed per regular request, such as 0.05.
    """

    def __init__(self, *, share: float):
        self._share = share
        self._tokens = _INITIAL_TOKENS if share > 0 else 0.0
        self.denied = 0

    def deposit(self) -> None:
        """Credits the bucket for one regular request."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._share)

    def try_withdraw(self) -> bool:
        """Withdraws a token for an extra attempt; False if there is none."""
        if self._tokens < 1.0:
            self.denied += 1
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Refunds the token of an extra attempt that was not sent."""
        self._tokens = min(_MAX_TOKENS, self._tokens + 1.0)

    def dump(self) -> dict:
        """Returns the state of the budget as plain values."""
        return {
            "share": self._share,
            "tokens": round(self._tokens, 3),
            "refused": self.denied,
        }
