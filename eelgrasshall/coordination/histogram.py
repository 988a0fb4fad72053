"""A latency histogram with exponential decay.

Hedging and warm-up compare each attempt with the typical latency of its
service.  Bucket bounds grow geometrically by 10%, which bounds the relative
error of a percentile.  All counts are halved whenever their total reaches a
threshold, so that old samples lose weight.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

_MIN_LATENCY_S = 0.0001
_BUCKET_GROWTH = 1.1
_BUCKET_COUNT = 150
_DECAY_THRESHOLD = 4096.0
# A cached percentile is recomputed after this many further samples.
_REFRESH_INTERVAL = 32
# Samples needed before a percentile is meaningful.
MIN_SAMPLES = 30


class BucketCount(NamedTuple):
    """Number of samples in one bucket."""

    bucket: int
    count: int


class Histogram:
    """A decaying histogram of latencies in geometric buckets."""

    def __init__(self):
        self._counts = [0.0] * _BUCKET_COUNT
        self._total = 0.0
        self._sample_count = 0
        self._cached: dict[float, tuple[int, float]] = {}

    @property
    def sample_count(self) -> int:
        """Returns the number of samples recorded so far, without decay."""
        return self._sample_count

    def record(self, latency_s: float) -> None:
        """Records one latency, in seconds."""
        ratio = max(latency_s, _MIN_LATENCY_S) / _MIN_LATENCY_S
        bucket = min(int(math.log(ratio, _BUCKET_GROWTH)), _BUCKET_COUNT - 1)
        self._counts[bucket] += 1.0
        self._total += 1.0
        self._sample_count += 1
        if self._total >= _DECAY_THRESHOLD:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def list_counts(self) -> tuple[BucketCount, ...]:
        """Returns the counts of all non-empty buckets."""
        return tuple(
            BucketCount(bucket, int(count))
            for bucket, count in enumerate(self._counts)
            if count >= 1.0
        )

    def add_counts(self, counts: Iterable[BucketCount]) -> None:
        """Adds the counts of another histogram."""
        for bucket, count in counts:
            if 0 <= bucket < _BUCKET_COUNT and count > 0:
                self._counts[bucket] += count
                self._total += count
                self._sample_count += count

    def percentile(self, share: float) -> float:
        """Returns a percentile of the recorded latencies, in seconds.

        Args:
          share: The percentile as a fraction from 0 to 1.

        Returns:
          The upper bound of the bucket that holds the percentile, or 0.0 with
          fewer than `MIN_SAMPLES` samples.
        """
        if self._sample_count < MIN_SAMPLES:
            return 0.0
        sampled, value = self._cached.get(share, (-_REFRESH_INTERVAL, 0.0))
        if self._sample_count - sampled < _REFRESH_INTERVAL:
            return value
        value = self._compute_percentile(share)
        self._cached[share] = (self._sample_count, value)
        return value

    def _compute_percentile(self, share: float) -> float:
        """Returns the upper bound of the bucket that holds a percentile."""
        target = share * self._total
        cumulative = 0.0
        for bucket, count in enumerate(self._counts):
            cumulative += count
            if cumulative >= target:
                return _MIN_LATENCY_S * _BUCKET_GROWTH ** (bucket + 1)
        return _MIN_LATENCY_S * _BUCKET_GROWTH**_BUCKET_COUNT
