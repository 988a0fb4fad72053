"""Counters and a latency histogram, in the Prometheus text format."""

import bisect
import collections
from collections.abc import Iterable
import itertools

_PREFIX = "eelgrasshall_"
# Upper bounds of the buckets in seconds; they cover the objectives in use.
BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0, 10.0)


class Metrics:
    """What one process counts."""

    def __init__(self):
        self.counters: collections.Counter[str] = collections.Counter()
        self._buckets: dict[str, list[int]] = {}
        self._sums: collections.Counter[str] = collections.Counter()

    def count(self, name: str) -> None:
        """Adds one to a named counter."""
        self.counters[name] += 1

    def record_request(self, verdict: str, took_s: float) -> None:
        """Records a request with its outcome, in seconds."""
        self.counters[f"requests_{verdict}"] += 1
        buckets = self._buckets.setdefault(verdict, [0] * (len(BOUNDS_S) + 1))
        buckets[bisect.bisect_left(BOUNDS_S, took_s)] += 1
        self._sums[verdict] += took_s

    def render(self, gauges: dict[str, float]) -> bytes:
        """Returns everything as text, with what is read at this moment."""
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
            edges = [*map(str, BOUNDS_S), "+Inf"]
            for edge, below in zip(
                edges, itertools.accumulate(buckets), strict=True
            ):
                yield f'{name}_bucket{{{label},le="{edge}"}} {below}'
            yield f"{name}_sum{{{label}}} {self._sums[verdict]:.3f}"
            yield f"{name}_count{{{label}}} {sum(buckets)}"
