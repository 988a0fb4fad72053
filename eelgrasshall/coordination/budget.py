"""Token budgets: extra load as a share of the ordinary load.

Hedges and retries help single requests and can ruin the whole when everything
is slow.  Each ordinary request earns a fraction of a token, each extra one
costs a whole token, so that extras stay a fixed share whatever happens.
"""

# Tokens that can be saved up, enough for a short burst.
_CAPACITY = 20.0
_START = 10.0


class Budget:
    """A bucket of tokens.

    Args:
      share: Extras allowed for each ordinary request, such as 0.05.
    """

    def __init__(self, *, share: float):
        self._share = share
        self._tokens = _START if share > 0 else 0.0
        self.refused = 0

    def earn(self) -> None:
        """Counts one ordinary request."""
        self._tokens = min(_CAPACITY, self._tokens + self._share)

    def take(self) -> bool:
        """Takes a token for an extra request; False if there is none."""
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Returns the token of an extra request that was never sent."""
        self._tokens = min(_CAPACITY, self._tokens + 1.0)

    def dump(self) -> dict:
        """Returns the budget as plain values."""
        return {
            "share": self._share,
            "tokens": round(self._tokens, 3),
            "refused": self.refused,
        }
