"""Open-loop load: Poisson arrivals, whatever the system does meanwhile.

Latency counts from the scheduled arrival, so that a stalled system or a
stalled load process cannot hide its own delays (coordinated omission).
"""

import asyncio
import collections
import random
from typing import Any
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from measure import answers
from measure import callers

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3
BIN_S = 0.5
GRACE_S = 1.0
# Load before the measured span, as a share: servers that start cold warm up.
WARM_UP_SHARE = 0.6
MOST_EXAMPLES = 10


class Stream(NamedTuple):
    """Requests of one kind.

    Attributes:
      kind: The kind.
      rate: Requests a second.
      deadline_s: The kind's deadline in seconds.
      run_once: Whether they may not be repeated.
    """

    kind: str
    rate: float
    deadline_s: float
    run_once: bool = False


class Bin(NamedTuple):
    """What happened to the requests that arrived in one span of time.

    Attributes:
      counts: Requests by result.
      latencies_s: Latency of each answer.
    """

    counts: collections.Counter[str]
    latencies_s: list[float]


class Result:
    """What a load has seen so far."""

    def __init__(self):
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.counts: collections.Counter[str] = collections.Counter()
        self.problems: collections.Counter[str] = collections.Counter()
        self.in_time = 0
        self.parts = 0
        self.missing_parts = 0
        self.breaches: list[str] = []
        self.breach_count = 0
        self.failures: list[str] = []
        self.bins: dict[int, Bin] = {}
        self.seconds = 0.0

    def add(self, arrival_s: float, verdict: str, latency_s: float) -> None:
        """Records the end of one request.

        Args:
          arrival_s: Its scheduled arrival since the start of the load.
          verdict: `complete`, `partial`, `refused`, `unknown` or `none`.
          latency_s: Seconds since the scheduled arrival.
        """
        self.counts[verdict] += 1
        number = int(arrival_s / BIN_S)
        spot = self.bins.setdefault(number, Bin(collections.Counter(), []))
        spot.counts[verdict] += 1
        if verdict in ("complete", "partial"):
            self.histogram.record_value(max(1, int(latency_s * 1e6)))
            spot.latencies_s.append(latency_s)

    def find_ms(self, percentile: float) -> float:
        """Returns a percentile of the answers' latency in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000

    def summarise_span(
        self, name: str, from_s: float, to_s: float
    ) -> dict[str, Any]:
        """Returns the figures of the requests that arrived in a span.

        Args:
          name: What to call the span.
          from_s: Its start since the start of the load, in seconds.
          to_s: Its end.
        """
        counts: collections.Counter[str] = collections.Counter()
        latencies_s: list[float] = []
        for number, spot in self.bins.items():
            if from_s <= number * BIN_S < to_s:
                counts.update(spot.counts)
                latencies_s += spot.latencies_s
        latencies_s.sort()
        total = sum(counts.values())
        return {
            "name": name,
            "requests": total,
            "counts": dict(counts),
            "p50_ms": _find_percentile_ms(latencies_s, 50),
            "p99_ms": _find_percentile_ms(latencies_s, 99),
            "p999_ms": _find_percentile_ms(latencies_s, 99.9),
            "complete_share": round(counts["complete"] / max(total, 1), 5),
        }

    def summarise(self) -> dict[str, Any]:
        """Returns the figures as JSON."""
        total = sum(self.counts.values())
        answered = self.counts["complete"] + self.counts["partial"]
        asked = self.parts + self.missing_parts
        return {
            "seconds": round(self.seconds, 1),
            "requests": total,
            "counts": dict(self.counts),
            "problems": dict(self.problems),
            "answered_per_s": round(answered / max(self.seconds, 1e-9), 1),
            "goodput_per_s": round(self.in_time / max(self.seconds, 1e-9), 1),
            "p50_ms": round(self.find_ms(50), 1),
            "p99_ms": round(self.find_ms(99), 1),
            "p999_ms": round(self.find_ms(99.9), 1),
            "complete_share": round(self.counts["complete"] / max(total, 1), 5),
            "part_coverage": round(self.parts / max(asked, 1), 5),
            "parts": self.parts,
            "breaches": self.breach_count,
            "breach_examples": self.breaches,
            "failure_examples": self.failures,
        }


def _find_percentile_ms(sorted_s: list[float], percentile: float) -> float:
    """Returns a percentile of sorted seconds in milliseconds."""
    if not sorted_s:
        return 0.0
    place = min(len(sorted_s) - 1, int(len(sorted_s) * percentile / 100))
    return round(sorted_s[place] * 1000, 1)


class Load:
    """Sends streams of requests from one caller in each zone.

    Args:
      streams: What to send.
      zones: Zones of the callers.
      entry_urls: Hosts to ask for addresses.
      checker: Checks each answer.
      seed: Seed of arrivals and choices.
      fixed_urls: Hosts to use whatever the address answers say.
    """

    def __init__(
        self,
        *,
        streams: list[Stream],
        zones: list[str],
        entry_urls: list[str],
        checker: answers.Checker,
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
        self._sent = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.result = Result()
        # Requests that arrive before this many seconds are sent and checked
        # but stay out of the figures.
        self.warm_up_s = 0.0

    async def run(self, seconds: float, warm_up_s: float = 0.0) -> Result:
        """Sends for some seconds and waits for the last outcome.

        Args:
          seconds: Seconds that count.
          warm_up_s: Seconds of a lighter load before them.

        Returns:
          The figures.
        """
        self.warm_up_s = warm_up_s
        loop = asyncio.get_running_loop()
        for caller in self._callers:
            await caller.start()
        began = loop.time()
        total = seconds + warm_up_s
        await asyncio.gather(
            *(self._send_stream(s, began, total) for s in self._streams)
        )
        if self._tasks:
            await asyncio.wait(list(self._tasks))
        for caller in self._callers:
            await caller.stop()
        self.result.seconds = seconds
        return self.result

    async def _send_stream(
        self, stream: Stream, began: float, total_s: float
    ) -> None:
        """Sends one stream at its scheduled arrivals."""
        loop = asyncio.get_running_loop()
        source = random.Random(f"{self._seed}:{stream.kind}")
        arrival = 0.0
        while arrival < total_s:
            warming = arrival < self.warm_up_s
            rate = stream.rate * (WARM_UP_SHARE if warming else 1.0)
            arrival += source.expovariate(rate)
            wait_s = began + arrival - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            task = asyncio.create_task(self._send(stream, began, arrival))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, stream: Stream, began: float, arrival: float) -> None:
        """Sends one request, checks its outcome and records it."""
        self._sent += 1
        number = self._sent
        request_id = f"r{self._seed}-{number}"
        query = {"id": request_id, "text": f"order {number % 997}"}
        caller = self._callers[number % len(self._callers)]
        reply = await caller.send(
            stream.kind,
            query,
            request_id=request_id,
            timeout_s=stream.deadline_s + GRACE_S,
            run_once=stream.run_once,
        )
        loop = asyncio.get_running_loop()
        latency_s = loop.time() - began - arrival
        verdict = self._judge(reply, stream, request_id, query)
        if arrival < self.warm_up_s:
            return
        self.result.add(arrival - self.warm_up_s, verdict, latency_s)
        if verdict == "complete" and latency_s <= stream.deadline_s:
            self.result.in_time += 1
        if reply.sends > 1:
            self.result.problems["sent_again"] += 1

    def _judge(
        self,
        reply: callers.Reply,
        stream: Stream,
        request_id: str,
        query: Any,
    ) -> str:
        """Returns the result of a request and notes what was untrue."""
        if reply.outcome == "answer":
            document = reply.document
            wrong = self.checker.check(document, stream.kind, request_id, query)
            self._note_breaches(request_id, wrong)
            self.result.parts += len(document["coverage"]["covered"])
            self.result.missing_parts += len(document["coverage"]["missing"])
            return "complete" if document["complete"] else "partial"
        problem = reply.problem or reply.error
        self.result.problems[problem] += 1
        if reply.outcome == "not_run":
            return "refused"
        if len(self.result.failures) < MOST_EXAMPLES:
            missing = reply.document.get("coverage", {}).get("missing", [])
            reasons = [f"{e['service']}: {e['what']}" for e in missing[:2]]
            self.result.failures.append(f"{request_id}: {problem} {reasons}")
        return "unknown" if reply.outcome == "unknown" else "none"

    def _note_breaches(self, request_id: str, wrong: list[str]) -> None:
        """Keeps the first examples of untrue answers."""
        self.result.breach_count += len(wrong)
        room = MOST_EXAMPLES - len(self.result.breaches)
        for each in wrong[:room]:
            self.result.breaches.append(f"{request_id}: {each}")
