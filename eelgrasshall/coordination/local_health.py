"""Local health: the share of this host's heartbeats that stay unanswered.

If heartbeats to many hosts go unanswered, then either this host is slow or cut
off, or the whole fleet is slow.  Refutations take longer too in that case, so
the suspicion time-out is extended.
"""

# Unanswered shares at which the suspicion time-out starts to grow and reaches
# its maximum.
UNANSWERED_SHARE_LOW = 0.25
UNANSWERED_SHARE_HIGH = 0.75
# Weight of the latest heartbeat in the moving average.
SMOOTHING = 0.1
MAX_SUSPICION_MULTIPLIER = 4.0


class LocalHealth:
    """Tracks the share of heartbeats that stay unanswered."""

    def __init__(self):
        self._unanswered_share = 0.0

    def record_heartbeat(self, has_answered: bool) -> float:
        """Records whether a heartbeat was answered.

        Returns:
          The factor by which to extend the suspicion time-out.
        """
        unanswered = 0.0 if has_answered else 1.0
        self._unanswered_share += SMOOTHING * (
            unanswered - self._unanswered_share
        )
        excess = (self._unanswered_share - UNANSWERED_SHARE_LOW) / (
            UNANSWERED_SHARE_HIGH - UNANSWERED_SHARE_LOW
        )
        return 1.0 + (MAX_SUSPICION_MULTIPLIER - 1.0) * min(
            1.0, max(0.0, excess)
        )
