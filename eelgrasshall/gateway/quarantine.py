"""Quarantine of requests that crash the backend servers that run them.

An attempt that ends without a response is a suspect until its server has
answered something sent later.  If the server turns out to be down meanwhile,
the request gets a crash report.  A request is quarantined once it has crashed
several servers in runs that followed each other: a run that began after
another server had crashed under the same request.  Servers that fail together
crash under requests that ran there at the same time, which proves nothing.

Hosts exchange their reports and verdicts, as callers may retry at any host.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

# Time after the end of an attempt within which a server that is down counts as
# crashed by it.
CONFIRM_WINDOW_S = 5.0
# Minimum number of crashes, and of runs that followed each other, of a request
# that is quarantined.
MIN_CRASHES = 3
MIN_SEPARATE_RUNS = 2
# How long a report counts; callers retry less often the longer they do.
REPORT_RETENTION_S = 300.0
# How long a request is quarantined.
QUARANTINE_S = 600.0
# Limits on what is kept, to bound memory.
MAX_FINGERPRINTS = 1000
MAX_REPORTS = 6
MAX_SUSPECTS = 64
# Share of the requests with reports that is dropped when there are too many.
EVICTED_SHARE = 0.1
# Sends after which an entry has reached a fleet.  After that it is sent at an
# interval, a few at a time, for hosts that join or hear of others again.
FRESH_SENDS = 8
RESEND_INTERVAL_S = 1.0
MAX_RESENT = 6


class Suspect(NamedTuple):
    """An attempt that ended without a response.

    Attributes:
      fingerprint: Identifies the request across its caller's tries.
      request_id: Id of the try.
      began_s: Monotonic time before which the server was certainly not down.
      ended_s: Monotonic time at which the attempt ended.
    """

    fingerprint: str
    request_id: str
    began_s: float
    ended_s: float


class CrashReport(NamedTuple):
    """A crash attributed to a request.

    Attributes:
      fingerprint: Identifies the request across its caller's tries.
      request_id: Id of the try.
      server_id: The server that crashed.
      began_s: Monotonic time before which it had certainly not crashed.
      crashed_s: Monotonic time at which it had certainly crashed.
    """

    fingerprint: str
    request_id: str
    server_id: str
    began_s: float
    crashed_s: float

    @property
    def attempt(self) -> tuple[str, str]:
        """The attempt that the report is about, the same on all hosts."""
        return self.request_id, self.server_id


class Verdict(NamedTuple):
    """A request that is quarantined, and the monotonic time until then."""

    fingerprint: str
    until_s: float


class _GossipState:
    """How often an entry was sent to other hosts, and when last."""

    __slots__ = ("count", "sent_s")

    def __init__(self):
        self.count = 0
        self.sent_s = 0.0


class Quarantine:
    """Crash reports and verdicts of this host and others, by request.

    Args:
      on_verdict: Called with a new verdict and the reports on the request.
    """

    def __init__(
        self,
        *,
        on_verdict: Callable[[Verdict, Sequence[CrashReport]], None],
    ):
        self._on_verdict = on_verdict
        self._suspects: dict[str, list[Suspect]] = {}
        self._reports: dict[str, list[CrashReport]] = {}
        self._quarantined: dict[str, float] = {}
        self._gossip: dict[tuple, _GossipState] = {}

    def record_unanswered(self, server_id: str, suspect: Suspect) -> None:
        """Records an attempt that ended without a response."""
        suspects = self._suspects.setdefault(server_id, [])
        suspects.append(suspect)
        del suspects[:-MAX_SUSPECTS]

    def has_suspects(self, server_id: str) -> bool:
        """Returns whether attempts at a server ended without a response."""
        return server_id in self._suspects

    def record_alive(self, server_id: str, sent_s: float) -> None:
        """Records that a server has answered an attempt.

        Args:
          server_id: The server.
          sent_s: Monotonic time at which the attempt was sent; those that had
            ended by then did not crash the server.
        """
        suspects = self._suspects.pop(server_id, None)
        if suspects is None:
            return
        left = [suspect for suspect in suspects if suspect.ended_s > sent_s]
        if left:
            self._suspects[server_id] = left

    def record_crash(self, server_id: str, now: float) -> list[CrashReport]:
        """Records that a server is down.

        Returns:
          The crash reports that follow from it.
        """
        reports = [
            CrashReport(
                suspect.fingerprint,
                suspect.request_id,
                server_id,
                suspect.began_s,
                suspect.ended_s,
            )
            for suspect in self._suspects.pop(server_id, ())
            if now - suspect.ended_s < CONFIRM_WINDOW_S
        ]
        for report in reports:
            self.add_report(report, now)
        return reports

    def record_success(self, fingerprint: str) -> None:
        """Records that a try was answered without any failed attempt.

        A request that crashes servers would not have been.
        """
        for report in self._reports.pop(fingerprint, ()):
            self._gossip.pop(report.attempt, None)

    def add_report(self, report: CrashReport, now: float) -> None:
        """Adds a report of this host or another.

        One that adds nothing to the evidence is dropped.
        """
        fingerprint = report.fingerprint
        if (
            fingerprint in self._quarantined
            or now - report.crashed_s >= REPORT_RETENTION_S
        ):
            return
        old = [
            each
            for each in self._reports.get(fingerprint, ())
            if now - each.crashed_s < REPORT_RETENTION_S
        ]
        if len(old) >= MAX_REPORTS or any(
            each.attempt == report.attempt for each in old
        ):
            return
        new = [*old, report]
        if not (
            count_crashes(old) < min(count_crashes(new), MIN_CRASHES)
            or count_separate_runs(old) < count_separate_runs(new)
        ):
            return
        if fingerprint not in self._reports:
            self._limit_reports()
        self._reports[fingerprint] = new
        self._gossip[report.attempt] = _GossipState()
        if (
            count_crashes(new) >= MIN_CRASHES
            and count_separate_runs(new) >= MIN_SEPARATE_RUNS
        ):
            self.add_verdict(Verdict(fingerprint, now + QUARANTINE_S), now)

    def add_verdict(self, verdict: Verdict, now: float) -> None:
        """Adds a verdict of this host or another."""
        fingerprint, until_s = verdict
        until_s = min(until_s, now + QUARANTINE_S)
        if until_s <= now or self._quarantined.get(fingerprint, 0.0) >= until_s:
            return
        is_new = fingerprint not in self._quarantined
        self._quarantined[fingerprint] = until_s
        if not is_new:
            return
        self._gossip[(fingerprint,)] = _GossipState()
        reports = self._reports.pop(fingerprint, [])
        for report in reports:
            self._gossip.pop(report.attempt, None)
        self._on_verdict(verdict, reports)

    def has_verdicts(self) -> bool:
        """Returns whether any request is quarantined."""
        return bool(self._quarantined)

    def has_reports(self) -> bool:
        """Returns whether there are reports on any request."""
        return bool(self._reports)

    def get_remaining_s(self, fingerprint: str, now: float) -> float:
        """Returns for how long a request must not run; 0 if it may."""
        until_s = self._quarantined.get(fingerprint)
        if until_s is None:
            return 0.0
        if until_s <= now:
            del self._quarantined[fingerprint]
            self._gossip.pop((fingerprint,), None)
            return 0.0
        return until_s - now

    def list_gossip(
        self, now: float, count: int
    ) -> list[CrashReport | Verdict]:
        """Returns the entries to send to other hosts next.

        These are new ones, and a few of the others, those sent longest ago
        first.

        Args:
          now: Monotonic time.
          count: Most entries to return.
        """
        self._expire(now)
        entries: dict[tuple, CrashReport | Verdict] = {
            (name,): Verdict(name, until_s)
            for name, until_s in self._quarantined.items()
        }
        entries.update(
            (report.attempt, report)
            for reports in self._reports.values()
            for report in reports
        )
        fresh = [key for key in entries if self._is_fresh(key)]
        due = [
            key
            for key in entries
            if not self._is_fresh(key)
            and now - self._gossip[key].sent_s >= RESEND_INTERVAL_S
        ]
        due.sort(key=lambda key: self._gossip[key].sent_s)
        fresh.sort(key=lambda key: self._gossip[key].count)
        chosen = [*fresh, *due[:MAX_RESENT]][:count]
        for key in chosen:
            self._gossip[key].count += 1
            self._gossip[key].sent_s = now
        return [entries[key] for key in chosen]

    def add_gossip(
        self, entries: Iterable[CrashReport | Verdict], now: float
    ) -> None:
        """Adds the entries received from another host."""
        for entry in entries:
            if isinstance(entry, Verdict):
                self.add_verdict(entry, now)
            else:
                self.add_report(entry, now)

    def dump(self, now: float) -> dict[str, object]:
        """Returns the remaining seconds of all verdicts, and the counts."""
        return {
            "quarantined": {
                name: round(until_s - now, 1)
                for name, until_s in self._quarantined.items()
            },
            "reported": len(self._reports),
            "suspects": sum(map(len, self._suspects.values())),
        }

    def _is_fresh(self, key: tuple) -> bool:
        """Returns whether an entry may not have reached all hosts yet."""
        return self._gossip[key].count < FRESH_SENDS

    def _limit_reports(self) -> None:
        """Drops the requests with the least evidence if there are too many."""
        if len(self._reports) < MAX_FINGERPRINTS:
            return
        ranked = sorted(
            self._reports,
            key=lambda name: (
                len(self._reports[name]),
                self._reports[name][-1].crashed_s,
            ),
        )
        for name in ranked[: int(MAX_FINGERPRINTS * EVICTED_SHARE)]:
            for report in self._reports.pop(name):
                self._gossip.pop(report.attempt, None)

    def _expire(self, now: float) -> None:
        """Removes verdicts and reports that no longer count."""
        for name in list(self._quarantined):
            self.get_remaining_s(name, now)
        for name, reports in list(self._reports.items()):
            for report in reports:
                if now - report.crashed_s >= REPORT_RETENTION_S:
                    self._gossip.pop(report.attempt, None)
            left = [each for each in reports if each.attempt in self._gossip]
            if left:
                self._reports[name] = left
            else:
                del self._reports[name]
        for server_id, suspects in list(self._suspects.items()):
            if now - suspects[-1].ended_s >= CONFIRM_WINDOW_S:
                del self._suspects[server_id]


def count_crashes(reports: Iterable[CrashReport]) -> int:
    """Returns how many crashes the reports on one request are about.

    Several tries may have run on a server when it crashed.
    """
    by_server: dict[str, list[CrashReport]] = {}
    for report in reports:
        by_server.setdefault(report.server_id, []).append(report)
    return sum(map(count_separate_runs, by_server.values()))


def count_separate_runs(reports: Iterable[CrashReport]) -> int:
    """Returns how many runs followed each other, each ending with a crash."""
    count = 0
    last_s = float("-inf")
    for report in sorted(reports, key=lambda each: each.crashed_s):
        if report.began_s >= last_s:
            count += 1
            last_s = report.crashed_s
    return count
