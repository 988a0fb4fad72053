"""Counters and a latency histogram, in the Prometheus text format."""

import bisect
import collections
from collections.abc import Iterable
import itertools

_PREFIX = "eelgrasshall_"
# Upper bounds of the histogram buckets; they cover common latency objectives.
BUCKET_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0, 10.0)


class Metrics:
    """The counters and the latency histogram of a process."""

    def __init__(self):
        self.counters: collections.Counter[str] = collections.Counter()
        self._buckets: dict[str, list[int]] = {}
        self._sums: collections.Counter[str] = collections.Counter()

    def count(self, name: str) -> None:
        """Increments a counter."""
        self.counters[name] += 1

    def record_request(self, verdict: str, duration_s: float) -> None:
        """Records the outcome of a request and its duration in seconds."""
        self.counters[f"requests_{verdict}"] += 1
        buckets = self._buckets.setdefault(
            verdict, [0] * (len(BUCKET_BOUNDS_S) + 1)
        )
        buckets[bisect.bisect_left(BUCKET_BOUNDS_S, duration_s)] += 1
        self._sums[verdict] += duration_s

    def render(self, gauges: dict[str, float]) -> bytes:
        """Returns all metrics in the text format.

        Args:
          gauges: The current values of the gauges by name.
        """
        lines = [
            f"{_PREFIX}{name}_total {value}"
            for name, value in sorted(self.counters.items())
        ]
        lines += [f"{_PREFIX}{name} {value}" for name, value in gauges.items()]
        lines += self._render_histogram()
        return "\n".join(lines).encode() + b"\n"

    def _render_histogram(self) -> Iterable[str]:
        """Returns the lines of the latency histogram."""
        name = f"{_PREFIX}request_seconds"
        for verdict, buckets in sorted(self._buckets.items()):
            label = f'verdict="{verdict}"'
            bounds = [*map(str, BUCKET_BOUNDS_S), "+Inf"]
            for bound, cumulative in zip(
                bounds, itertools.accumulate(buckets), strict=True
            ):
                yield f'{name}_bucket{{{label},le="{bound}"}} {cumulative}'
            yield f"{name}_sum{{{label}}} {self._sums[verdict]:.3f}"
            yield f"{name}_count{{{label}}} {sum(buckets)}"
