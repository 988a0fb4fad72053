"""Open-loop load generator with Poisson arrivals.

Latency is measured from the scheduled arrival, so that a stalled system or a
stalled load process cannot hide delays (coordinated omission).
"""

import asyncio
import collections
import random
from typing import Any
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from measure import answers
from measure import callers

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
BIN_S = 0.5
TIMEOUT_MARGIN_S = 1.0
# Rate during the warm-up as a fraction of the measured rate.  The lower rate
# lets servers that start cold become warm.
WARM_UP_RATE_FACTOR = 0.6
MAX_EXAMPLES = 10


class RequestStream(NamedTuple):
    """A stream of requests of one kind.

    Attributes:
      kind: Name of the kind.
      rate: Requests per second.
      deadline_s: Deadline of the kind in seconds.
      run_once: Whether each request must run at most once.
    """

    kind: str
    rate: float
    deadline_s: float
    run_once: bool = False


class TimeBin(NamedTuple):
    """Outcomes of the requests that arrived within one interval.

    Attributes:
      counts: Number of requests by outcome.
      latencies_s: Latency of each answer in seconds.
    """

    counts: collections.Counter[str]
    latencies_s: list[float]


class LoadResult:
    """Statistics of a load run."""

    def __init__(self):
        self.histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self.counts: collections.Counter[str] = collections.Counter()
        self.problems: collections.Counter[str] = collections.Counter()
        self.in_time_count = 0
        self.part_count = 0
        self.missing_part_count = 0
        self.breaches: list[str] = []
        self.breach_count = 0
        self.failures: list[str] = []
        self.bins: dict[int, TimeBin] = {}
        self.seconds = 0.0

    def add(self, arrival_s: float, outcome: str, latency_s: float) -> None:
        """Records the outcome of one request.

        Args:
          arrival_s: Scheduled arrival in seconds since the start of the
            measured period.
          outcome: `complete`, `partial`, `refused`, `unknown` or `none`.
          latency_s: Seconds since the scheduled arrival.
        """
        self.counts[outcome] += 1
        number = int(arrival_s / BIN_S)
        time_bin = self.bins.setdefault(
            number, TimeBin(collections.Counter(), [])
        )
        time_bin.counts[outcome] += 1
        if outcome in ("complete", "partial"):
            self.histogram.record_value(max(1, int(latency_s * 1e6)))
            time_bin.latencies_s.append(latency_s)

    def get_percentile_ms(self, percentile: float) -> float:
        """Returns a percentile of the answer latency in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000

    def summarise_span(
        self, name: str, from_s: float, to_s: float
    ) -> dict[str, Any]:
        """Returns the statistics of the requests that arrived in a span.

        Args:
          name: Name of the span in the report.
          from_s: Start of the span, in seconds since the start of the
            measured period.
          to_s: End of the span, exclusive, likewise.
        """
        counts: collections.Counter[str] = collections.Counter()
        latencies_s: list[float] = []
        for number, time_bin in self.bins.items():
            if from_s <= number * BIN_S < to_s:
                counts.update(time_bin.counts)
                latencies_s += time_bin.latencies_s
        latencies_s.sort()
        total = sum(counts.values())
        return {
            "name": name,
            "requests": total,
            "counts": dict(counts),
            "p50_ms": _get_percentile_ms(latencies_s, 50),
            "p99_ms": _get_percentile_ms(latencies_s, 99),
            "p999_ms": _get_percentile_ms(latencies_s, 99.9),
            "complete_share": round(counts["complete"] / max(total, 1), 5),
        }

    def summarise(self) -> dict[str, Any]:
        """Returns the statistics as a JSON-serialisable dictionary."""
        total = sum(self.counts.values())
        answered = self.counts["complete"] + self.counts["partial"]
        requested_parts = self.part_count + self.missing_part_count
        return {
            "seconds": round(self.seconds, 1),
            "requests": total,
            "counts": dict(self.counts),
            "problems": dict(self.problems),
            "answered_per_s": round(answered / max(self.seconds, 1e-9), 1),
            "goodput_per_s": round(
                self.in_time_count / max(self.seconds, 1e-9), 1
            ),
            "p50_ms": round(self.get_percentile_ms(50), 1),
            "p99_ms": round(self.get_percentile_ms(99), 1),
            "p999_ms": round(self.get_percentile_ms(99.9), 1),
            "complete_share": round(self.counts["complete"] / max(total, 1), 5),
            "part_coverage": round(
                self.part_count / max(requested_parts, 1), 5
            ),
            "parts": self.part_count,
            "breaches": self.breach_count,
            "breach_examples": self.breaches,
            "failure_examples": self.failures,
        }


def _get_percentile_ms(sorted_s: list[float], percentile: float) -> float:
    """Returns a percentile of sorted latencies in milliseconds."""
    if not sorted_s:
        return 0.0
    index = min(len(sorted_s) - 1, int(len(sorted_s) * percentile / 100))
    return round(sorted_s[index] * 1000, 1)


class LoadGenerator:
    """Sends streams of requests through one caller in each zone.

    Args:
      streams: Streams to send.
      zones: Zones of the callers.
      entry_urls: Base URLs of hosts that return addresses.
      checker: Verifies each answer.
      seed: Seed of the random number generators.
      fixed_urls: Base URLs to use instead of the returned addresses.
    """

    def __init__(
        self,
        *,
        streams: list[RequestStream],
        zones: list[str],
        entry_urls: list[str],
        checker: answers.AnswerChecker,
        seed: int,
        fixed_urls: tuple[str, ...] = (),
    ):
        self._streams = streams
        self._random = random.Random(f"load:{seed}")
        self.checker = checker
        self._callers = [
            callers.Caller(
                zone=zone,
                entry_urls=entry_urls,
                random_source=random.Random(f"caller:{seed}:{zone}"),
                fixed_urls=fixed_urls,
            )
            for zone in zones
        ]
        self._seed = seed
        self._sent_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.result = LoadResult()
        # Requests that arrive during the warm-up are sent and verified, but
        # left out of the counts of outcomes and the latencies.
        self.warm_up_s = 0.0

    async def run(self, seconds: float, warm_up_s: float = 0.0) -> LoadResult:
        """Runs the load and waits until all requests have an outcome.

        Args:
          seconds: Length of the measured period in seconds.
          warm_up_s: Length of the preceding warm-up at a lower rate.

        Returns:
          The statistics; outcomes and latencies exclude the warm-up.
        """
        self.warm_up_s = warm_up_s
        loop = asyncio.get_running_loop()
        for caller in self._callers:
            await caller.start()
        started_s = loop.time()
        total = seconds + warm_up_s
        await asyncio.gather(
            *(self._send_stream(s, started_s, total) for s in self._streams)
        )
        if self._tasks:
            await asyncio.wait(list(self._tasks))
        for caller in self._callers:
            await caller.stop()
        self.result.seconds = seconds
        return self.result

    async def _send_stream(
        self, stream: RequestStream, started_s: float, total_s: float
    ) -> None:
        """Sends the requests of one stream at their scheduled arrivals."""
        loop = asyncio.get_running_loop()
        source = random.Random(f"{self._seed}:{stream.kind}")
        arrival_s = 0.0
        while arrival_s < total_s:
            is_warm_up = arrival_s < self.warm_up_s
            rate = stream.rate * (WARM_UP_RATE_FACTOR if is_warm_up else 1.0)
            arrival_s += source.expovariate(rate)
            wait_s = started_s + arrival_s - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            task = asyncio.create_task(self._send(stream, started_s, arrival_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(
        self, stream: RequestStream, started_s: float, arrival_s: float
    ) -> None:
        """Sends one request, then verifies and records its outcome."""
        self._sent_count += 1
        number = self._sent_count
        request_id = f"r{self._seed}-{number}"
        query = {"id": request_id, "text": f"order {number % 997}"}
        caller = self._callers[number % len(self._callers)]
        reply = await caller.send(
            stream.kind,
            query,
            request_id=request_id,
            timeout_s=stream.deadline_s + TIMEOUT_MARGIN_S,
            run_once=stream.run_once,
        )
        loop = asyncio.get_running_loop()
        latency_s = loop.time() - started_s - arrival_s
        outcome = self._classify(reply, stream, request_id, query)
        if arrival_s < self.warm_up_s:
            return
        self.result.add(arrival_s - self.warm_up_s, outcome, latency_s)
        if outcome == "complete" and latency_s <= stream.deadline_s:
            self.result.in_time_count += 1
        if reply.send_count > 1:
            self.result.problems["sent_again"] += 1

    def _classify(
        self,
        reply: callers.Reply,
        stream: RequestStream,
        request_id: str,
        query: Any,
    ) -> str:
        """Classifies the outcome of a request and records its errors."""
        if reply.outcome == "answer":
            document = reply.document
            errors = self.checker.check(
                document, stream.kind, request_id, query
            )
            self._record_breaches(request_id, errors)
            self.result.part_count += len(document["coverage"]["covered"])
            self.result.missing_part_count += len(
                document["coverage"]["missing"]
            )
            return "complete" if document["complete"] else "partial"
        problem = reply.problem or reply.error
        self.result.problems[problem] += 1
        if reply.outcome == "not_run":
            return "refused"
        if len(self.result.failures) < MAX_EXAMPLES:
            missing = reply.document.get("coverage", {}).get("missing", [])
            reasons = [f"{e['service']}: {e['what']}" for e in missing[:2]]
            self.result.failures.append(f"{request_id}: {problem} {reasons}")
        return "unknown" if reply.outcome == "unknown" else "none"

    def _record_breaches(self, request_id: str, errors: list[str]) -> None:
        """Counts errors in answers and keeps the first as examples."""
        self.result.breach_count += len(errors)
        remaining = MAX_EXAMPLES - len(self.result.breaches)
        for each in errors[:remaining]:
            self.result.breaches.append(f"{request_id}: {each}")
