"""Quarantine of requests that crash the backend servers that run them.

An attempt that ends without a response is a suspect until its server has
answered something sent later.  If the server turns out to be down meanwhile,
the request gets a crash report.  A request is quarantined once it has crashed
several servers in runs that followed each other: a run that began after
another server had crashed under the same request.  Servers that fail together
crash under requests that ran there at the same time, which proves nothing.

A crash is blamed on all requests that ran at the server.  It counts against the
one with the most crashes, unless the others have come back with new tries and
crashed servers again and again.

Hosts exchange their reports and verdicts, as callers may retry at any host.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import NamedTuple

# Time after the end of an attempt within which a server that is down counts as
# crashed by it.
CONFIRM_WINDOW_S = 5.0
# Minimum number of crashes, and of runs that followed each other, of a request
# that is quarantined.
MIN_CRASHES = 3
MIN_SEPARATE_RUNS = 2
# Time for which evidence is held before a verdict, so that other hosts can
# report requests that explain the crashes better: three heartbeats.
SETTLE_TIME_S = 0.75
# The same for a host that has missed heartbeats: others send it their entries
# at the interval of old ones.
CATCH_UP_TIME_S = 2.5
# A request that has crashed servers in a single try needs this many times the
# crashes of any other request that ran there; its own retries take it and its
# neighbours from one crash to the next.
SINGLE_TRY_LEAD = 2.0
# Number of tries that followed each other after which all crashes count, and
# at once, of a request that nothing has answered meanwhile.
MAX_UNCERTAIN_TRIES = 3
# Most time between the ends of two attempts under the same crash, beyond the
# time for which both ran: hosts notice it one after the other.
SAME_CRASH_SLACK_S = 0.5
# How long a report counts; callers retry less often the longer they do.
REPORT_RETENTION_S = 300.0
# How long a request is quarantined.
QUARANTINE_S = 600.0
# Number of tries in a row that a service has to answer before its crashes no
# longer count against a request: a few of its servers may be the only ones
# that the request crashes.
MIN_CLEAN_TRIES = 6
# Limits on what is kept, to bound memory.
MAX_FINGERPRINTS = 1000
MAX_REPORTS = 32
MAX_SUSPECTS = 64
# Share of the requests with reports that is dropped when there are too many.
EVICTED_SHARE = 0.1
# Sends after which an entry has reached a fleet.  After that it is sent at an
# interval, a few at a time, for hosts that join or hear of others again.
FRESH_SENDS = 8
RESEND_INTERVAL_S = 1.0
REPORT_RESEND_INTERVAL_S = 2.0
MAX_RESENT = 6


class Suspect(NamedTuple):
    """An attempt that ended without a response.

    Attributes:
      fingerprint: Identifies the request across its caller's tries.
      request_id: Id of the try.
      began_s: Monotonic time before which the server was certainly not down.
      ended_s: Monotonic time at which the attempt ended.
      service: The service of the server; empty if unknown.
    """

    fingerprint: str
    request_id: str
    began_s: float
    ended_s: float
    service: str = ""


class CrashReport(NamedTuple):
    """A crash attributed to a request.

    Attributes:
      fingerprint: Identifies the request across its caller's tries.
      request_id: Id of the try.
      server_id: The server that crashed.
      began_s: Monotonic time before which it had certainly not crashed.
      crashed_s: Monotonic time at which it had certainly crashed.
      service: The service of the server; empty if unknown.
    """

    fingerprint: str
    request_id: str
    server_id: str
    began_s: float
    crashed_s: float
    service: str = ""

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
        # When to decide on the requests with enough evidence.
        self._due_s: dict[str, float] = {}
        # By request and service: clean tries since the last crash, and when the
        # last of enough of them was answered.
        self._clean_tries: dict[tuple[str, str], int] = {}
        self._cleared_s: dict[tuple[str, str], float] = {}
        # Clean tries of each request since the first of its reports.
        self._answered: dict[str, int] = {}
        # When entries for other hosts were last asked for.
        self._beat_s = math.inf

    def record_unanswered(self, server_id: str, suspect: Suspect) -> None:
        """Records an attempt that ended without a response."""
        suspects = self._suspects.setdefault(server_id, [])
        suspects.append(suspect)
        del suspects[:-MAX_SUSPECTS]

    def has_suspects(self, server_id: str) -> bool:
        """Returns whether attempts at a server ended without a response."""
        return server_id in self._suspects

    def forget_suspects(self) -> None:
        """Clears all attempts that ended without a response."""
        self._suspects.clear()

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
                suspect.service,
            )
            for suspect in self._suspects.pop(server_id, ())
            if now - suspect.ended_s < CONFIRM_WINDOW_S
        ]
        for report in reports:
            self.add_report(report, now)
        return reports

    def record_success(
        self, fingerprint: str, services: Collection[str], now: float
    ) -> None:
        """Records that a try was answered without any failed attempt.

        A request may crash some servers of a service, or the servers of some
        services only, so that reports are dropped after several answers of the
        same service.

        Args:
          fingerprint: Identifies the request.
          services: The services that have answered.
          now: Monotonic time.
        """
        reports = self._reports.get(fingerprint)
        if reports is None or fingerprint in self._quarantined:
            return
        self._answered[fingerprint] = self._answered.get(fingerprint, 0) + 1
        for service in {each.service for each in reports} & {*services}:
            key = fingerprint, service
            self._clean_tries[key] = self._clean_tries.get(key, 0) + 1
            if self._clean_tries[key] >= MIN_CLEAN_TRIES:
                self._cleared_s[key] = now
                self._drop_reports(fingerprint, service)

    def _drop_reports(self, fingerprint: str, service: str) -> None:
        """Drops the reports on a request and a service."""
        left = []
        for report in self._reports[fingerprint]:
            if report.service == service:
                self._gossip.pop(report.attempt, None)
            else:
                left.append(report)
        del self._clean_tries[fingerprint, service]
        if left:
            self._reports[fingerprint] = left
        else:
            del self._reports[fingerprint]
            self._due_s.pop(fingerprint, None)

    def add_report(self, report: CrashReport, now: float) -> None:
        """Adds a report of this host or another.

        Reports on a request that is quarantined explain further crashes.
        """
        fingerprint = report.fingerprint
        key = fingerprint, report.service
        if (
            now - report.crashed_s >= REPORT_RETENTION_S
            or self._cleared_s.get(key, -math.inf) >= report.crashed_s
        ):
            return
        reports = [
            each
            for each in self._reports.get(fingerprint, ())
            if now - each.crashed_s < REPORT_RETENTION_S
        ]
        if any(each.attempt == report.attempt for each in reports):
            return
        reports.append(report)
        if len(reports) > MAX_REPORTS:
            redundant = find_redundant(reports)
            if redundant is None or redundant is report:
                return
            reports.remove(redundant)
            self._gossip.pop(redundant.attempt, None)
        self._clean_tries.pop(key, None)
        if fingerprint not in self._reports:
            self._limit_reports()
        self._reports[fingerprint] = reports
        self._gossip[report.attempt] = _GossipState()
        if fingerprint in self._quarantined or not has_evidence(reports):
            return
        if (
            fingerprint not in self._answered
            and count_separate_tries(reports) >= MAX_UNCERTAIN_TRIES
        ):
            self.add_verdict(Verdict(fingerprint, now + QUARANTINE_S), now)
        else:
            self._due_s.setdefault(fingerprint, now + SETTLE_TIME_S)

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
        self._due_s.pop(fingerprint, None)
        self._on_verdict(verdict, self._reports.get(fingerprint, ()))

    def has_verdicts(self) -> bool:
        """Returns whether any request is, or may by now be, quarantined."""
        return bool(self._quarantined or self._due_s)

    def has_reports(self) -> bool:
        """Returns whether there are reports on any request."""
        return bool(self._reports)

    def get_remaining_s(self, fingerprint: str, now: float) -> float:
        """Returns for how long a request must not run; 0 if it may."""
        if self._due_s.get(
            fingerprint, math.inf
        ) <= now and not self._was_frozen(now):
            self._decide(now)
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

        These are new ones, those on requests with many crashes first, and a few
        of the others, verdicts and those sent longest ago first.

        Args:
          now: Monotonic time.
          count: Most entries to return.
        """
        self._expire(now)
        if self._was_frozen(now):
            # The reports of other hosts are still to be read.
            self._due_s = dict.fromkeys(self._due_s, now + CATCH_UP_TIME_S)
        self._beat_s = now
        self._decide(now)
        entries: dict[tuple, CrashReport | Verdict] = {
            (name,): Verdict(name, until_s)
            for name, until_s in self._quarantined.items()
        }
        entries.update(
            (report.attempt, report) for report in self._list_useful_reports()
        )
        fresh = [key for key in entries if self._is_fresh(key)]
        due = [
            key
            for key, entry in entries.items()
            if not self._is_fresh(key)
            and now - self._gossip[key].sent_s
            >= (
                RESEND_INTERVAL_S
                if isinstance(entry, Verdict)
                else REPORT_RESEND_INTERVAL_S
            )
        ]
        due.sort(
            key=lambda key: (
                not isinstance(entries[key], Verdict),
                self._gossip[key].sent_s,
            )
        )
        fresh.sort(
            key=lambda key: (
                self._gossip[key].count,
                -len(self._reports.get(entries[key].fingerprint, ())),
            )
        )
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
            "reported": len(self._reports.keys() - self._quarantined.keys()),
            "suspects": sum(map(len, self._suspects.values())),
        }

    def _was_frozen(self, now: float) -> bool:
        """Returns whether the last heartbeats were not sent."""
        return now - self._beat_s > SETTLE_TIME_S

    def _decide(self, now: float) -> None:
        """Quarantines the requests whose evidence has settled and suffices."""
        due = [name for name, due_s in self._due_s.items() if due_s <= now]
        if not due:
            return
        by_server: dict[str, list[CrashReport]] = {}
        for reports in self._reports.values():
            for report in reports:
                by_server.setdefault(report.server_id, []).append(report)
        for name in due:
            del self._due_s[name]
        strengths = {
            name: math.inf
            if name in self._quarantined
            else count_crashes(reports) - self._answered.get(name, 0)
            for name, reports in self._reports.items()
        }
        guilty = [
            name
            for name in due
            if has_evidence(self._list_unexplained(name, by_server, strengths))
        ]
        for name in guilty:
            self.add_verdict(Verdict(name, now + QUARANTINE_S), now)

    def _list_unexplained(
        self,
        fingerprint: str,
        by_server: dict[str, list[CrashReport]],
        strengths: dict[str, float],
    ) -> list[CrashReport]:
        """Returns the reports on a request that count against it.

        Args:
          fingerprint: The request.
          by_server: The reports on all requests, by server.
          strengths: How much speaks against each request: its crashes, less
            its tries without a failure.
        """
        reports = self._reports.get(fingerprint, [])
        tries = count_separate_tries(reports)
        limit = strengths.get(fingerprint, 0.0) / (
            SINGLE_TRY_LEAD if tries == 1 else 1.0
        )
        return [
            report
            for report in reports
            if not any(
                other.fingerprint != fingerprint
                and is_same_crash(report, other)
                and strengths[other.fingerprint] >= limit
                for other in by_server[report.server_id]
            )
        ]

    def _list_useful_reports(self) -> list[CrashReport]:
        """Returns the reports that other hosts need.

        These are all but those on crashes that a request explains which is
        quarantined.
        """
        by_server: dict[str, list[CrashReport]] = {}
        for fingerprint in self._quarantined.keys() & self._reports.keys():
            for report in self._reports[fingerprint]:
                by_server.setdefault(report.server_id, []).append(report)
        return [
            report
            for fingerprint, reports in self._reports.items()
            for report in reports
            if fingerprint in self._quarantined
            or not any(
                is_same_crash(report, other)
                for other in by_server.get(report.server_id, ())
            )
        ]

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
            self._due_s.pop(name, None)
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
                self._due_s.pop(name, None)
        self._clean_tries = {
            key: count
            for key, count in self._clean_tries.items()
            if key[0] in self._reports
        }
        self._answered = {
            name: count
            for name, count in self._answered.items()
            if name in self._reports
        }
        self._cleared_s = {
            key: cleared_s
            for key, cleared_s in self._cleared_s.items()
            if now - cleared_s < REPORT_RETENTION_S
        }
        for server_id, suspects in list(self._suspects.items()):
            if now - suspects[-1].ended_s >= CONFIRM_WINDOW_S:
                del self._suspects[server_id]


def find_redundant(reports: Sequence[CrashReport]) -> CrashReport | None:
    """Returns a report without which as many runs follow each other.

    It is the last one if that is such a report, and else the first such one.
    """
    last_s = -math.inf
    redundant = []
    for report in sorted(reports, key=lambda each: each.crashed_s):
        if report.began_s >= last_s:
            last_s = report.crashed_s
        else:
            redundant.append(report)
    if reports[-1] in redundant:
        return reports[-1]
    return redundant[0] if redundant else None


def has_evidence(reports: Collection[CrashReport]) -> bool:
    """Returns whether reports show that their request crashes servers."""
    return (
        count_crashes(reports) >= MIN_CRASHES
        and count_separate_runs(reports) >= MIN_SEPARATE_RUNS
    )


def is_same_crash(first: CrashReport, second: CrashReport) -> bool:
    """Returns whether two requests ran at a server when it crashed."""
    return (
        first.server_id == second.server_id
        and first.began_s < second.crashed_s + SAME_CRASH_SLACK_S
        and second.began_s < first.crashed_s + SAME_CRASH_SLACK_S
    )


def count_separate_tries(reports: Iterable[CrashReport]) -> int:
    """Returns how many tries followed each other, each ending with a crash.

    A try follows another one that had crashed a server before it reached any.
    """
    spans_s: dict[str, tuple[float, float]] = {}
    for report in reports:
        began_s, crashed_s = spans_s.get(
            report.request_id, (report.began_s, report.crashed_s)
        )
        spans_s[report.request_id] = (
            min(began_s, report.began_s),
            min(crashed_s, report.crashed_s),
        )
    return _count_disjoint(spans_s.values())


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
    return _count_disjoint(
        (report.began_s, report.crashed_s) for report in reports
    )


def _count_disjoint(spans_s: Iterable[tuple[float, float]]) -> int:
    """Returns the largest number of spans that follow each other."""
    count = 0
    last_s = float("-inf")
    for began_s, ended_s in sorted(spans_s, key=lambda span: span[1]):
        if began_s >= last_s:
            count += 1
            last_s = ended_s
    return count
