"""Quarantine of requests that crash the backend servers that run them.

A lost connection counts as a crash if no new one can be opened shortly after.
Each request that was running there gets a crash report.  A request with
reports from several servers and from several tries of its caller is rejected
for a while.  Reports from a single try are not enough: servers that fail
together would otherwise quarantine the innocent requests that ran on them.
Hosts exchange their reports, as callers may retry at any host.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Time after a lost connection within which a failure to connect confirms a
# crash.
CONFIRM_WINDOW_S = 1.0
# Minimum number of different servers, and of different tries of its caller, in
# the reports on a request that is quarantined.
MIN_SERVERS = 3
MIN_TRIES = 2
# How long a report counts; callers that retry have done so by then.
REPORT_RETENTION_S = 60.0
# How long a report is gossiped to other hosts, and how many at a time.
GOSSIP_WINDOW_S = 5.0
MAX_GOSSIPED = 4
# Limit on the requests with reports, to bound memory.
MAX_FINGERPRINTS = 1000


class CrashReport(NamedTuple):
    """A crash attributed to a request.

    Attributes:
      fingerprint: Identifies the request across its caller's tries.
      request_id: Id of the try.
      server_id: The server that crashed.
    """

    fingerprint: str
    request_id: str
    server_id: str


class _LostRequest(NamedTuple):
    """A request whose connection was lost, and when."""

    fingerprint: str
    request_id: str
    lost_s: float


class Quarantine:
    """Crash reports of this host and others, by request."""

    def __init__(self):
        self._lost: dict[str, list[_LostRequest]] = {}
        self._reports: dict[str, dict[CrashReport, float]] = {}

    def record_lost_request(
        self, server_id: str, fingerprint: str, request_id: str, now: float
    ) -> None:
        """Records a request whose connection to a server was lost."""
        recent = [
            lost
            for lost in self._lost.get(server_id, ())
            if now - lost.lost_s < CONFIRM_WINDOW_S
        ]
        self._lost[server_id] = [
            *recent,
            _LostRequest(fingerprint, request_id, now),
        ]

    def record_unreachable(
        self, server_id: str, now: float
    ) -> list[CrashReport]:
        """Records that no connection to a server can be opened.

        Returns:
          The crash reports that follow from it.
        """
        reports = [
            CrashReport(lost.fingerprint, lost.request_id, server_id)
            for lost in self._lost.pop(server_id, ())
            if now - lost.lost_s < CONFIRM_WINDOW_S
        ]
        for report in reports:
            self.add_report(report, now)
        return reports

    def add_report(self, report: CrashReport, now: float) -> None:
        """Adds a report of this host or another."""
        self._expire(now)
        if len(self._reports) < MAX_FINGERPRINTS:
            self._reports.setdefault(report.fingerprint, {}).setdefault(
                report, now
            )

    def has_reports(self) -> bool:
        """Returns whether there are reports on any request."""
        return bool(self._reports)

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must not run."""
        reports = [
            report
            for report, added_s in self._reports.get(fingerprint, {}).items()
            if now - added_s < REPORT_RETENTION_S
        ]
        servers = {report.server_id for report in reports}
        tries = {report.request_id for report in reports}
        return len(servers) >= MIN_SERVERS and len(tries) >= MIN_TRIES

    def list_gossip(self, now: float) -> list[CrashReport]:
        """Returns the reports to send to other hosts."""
        recent = [
            report
            for reports in self._reports.values()
            for report, added_s in reports.items()
            if now - added_s < GOSSIP_WINDOW_S
        ]
        return recent[-MAX_GOSSIPED:]

    def add_gossip(self, gossip: Iterable[list[str]], now: float) -> None:
        """Adds the reports received from another host.

        Raises:
          TypeError: A report is malformed.
        """
        for fields in gossip:
            self.add_report(CrashReport(*fields), now)

    def _expire(self, now: float) -> None:
        """Removes requests whose reports have all expired."""
        for fingerprint, reports in list(self._reports.items()):
            if all(
                now - added_s >= REPORT_RETENTION_S
                for added_s in reports.values()
            ):
                del self._reports[fingerprint]
