"""Stress: how much of what this host asks stays unanswered.

A host whose own heartbeats go unanswered on many sides is likely to be slow
or cut off itself, or everybody is slow.  It then has more patience with each
suspect, because a refutation takes longer too.
"""

# Unanswered share from which on patience grows, and from which on it is full.
STRESS_FLOOR = 0.25
STRESS_CEILING = 0.75
# Weight of the latest heartbeat in the share.
STRESS_WEIGHT = 0.1
PATIENCE_LIMIT = 4.0


class Stress:
    """Follows the share of heartbeats that stay unanswered."""

    def __init__(self):
        self._share = 0.0

    def note(self, has_answered: bool) -> float:
        """Notes the end of a heartbeat.

        Returns:
          The patience: how many times the usual time a suspect has.
        """
        unanswered = 0.0 if has_answered else 1.0
        self._share += STRESS_WEIGHT * (unanswered - self._share)
        over = (self._share - STRESS_FLOOR) / (STRESS_CEILING - STRESS_FLOOR)
        return 1.0 + (PATIENCE_LIMIT - 1.0) * min(1.0, max(0.0, over))
