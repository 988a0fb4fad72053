"""A latency histogram that forgets.

Hedging and warm-up compare each attempt with what its service usually does.
Buckets grow geometrically, so a percentile is exact to a tenth of its value,
and all counts are halved now and then, so that old behaviour fades.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

_SMALLEST_S = 0.0001
_GROWTH = 1.1
_BUCKETS = 150
_HALVE_AT = 4096.0
# Percentiles are kept until this many further records came in.
_REFRESH_EVERY = 32
# With fewer records than this a percentile means nothing.
MIN_RECORDED = 30


class BucketCount(NamedTuple):
    """How many latencies lie in one bucket."""

    bucket: int
    count: int


class Histogram:
    """Counts of latencies in geometric buckets."""

    def __init__(self):
        self._counts = [0.0] * _BUCKETS
        self._total = 0.0
        self._recorded = 0
        self._cached: dict[float, tuple[int, float]] = {}

    @property
    def recorded(self) -> int:
        """Returns how many latencies were ever recorded."""
        return self._recorded

    def record(self, latency_s: float) -> None:
        """Counts one latency, in seconds."""
        ratio = max(latency_s, _SMALLEST_S) / _SMALLEST_S
        bucket = min(int(math.log(ratio, _GROWTH)), _BUCKETS - 1)
        self._counts[bucket] += 1.0
        self._total += 1.0
        self._recorded += 1
        if self._total >= _HALVE_AT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def list_counts(self) -> tuple[BucketCount, ...]:
        """Returns the buckets that are not empty."""
        return tuple(
            BucketCount(bucket, int(count))
            for bucket, count in enumerate(self._counts)
            if count >= 1.0
        )

    def add_counts(self, counts: Iterable[BucketCount]) -> None:
        """Adds counts of another histogram."""
        for bucket, count in counts:
            if 0 <= bucket < _BUCKETS and count > 0:
                self._counts[bucket] += count
                self._total += count
                self._recorded += count

    def percentile(self, share: float) -> float:
        """Returns the latency in seconds that a share of records stays under.

        Args:
          share: From 0 to 1.

        Returns:
          The upper edge of the bucket, or 0.0 if too little was recorded.
        """
        if self._recorded < MIN_RECORDED:
            return 0.0
        recorded, value = self._cached.get(share, (-_REFRESH_EVERY, 0.0))
        if self._recorded - recorded < _REFRESH_EVERY:
            return value
        value = self._compute(share)
        self._cached[share] = (self._recorded, value)
        return value

    def _compute(self, share: float) -> float:
        """Walks the buckets up to a share of all counts."""
        wanted = share * self._total
        reached = 0.0
        for bucket, count in enumerate(self._counts):
            reached += count
            if reached >= wanted:
                return _SMALLEST_S * _GROWTH ** (bucket + 1)
        return _SMALLEST_S * _GROWTH**_BUCKETS
