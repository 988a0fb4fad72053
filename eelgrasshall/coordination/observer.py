"""What each reply of a backend server says about that server.

Every reply, lost connection and health answer passes through here on its way
to the records: it can turn a server cold, prove that it is warm, mark it as
leaving or as down, and make suspects of the requests in flight.  Health
answers only ever make the system more careful.
"""

import collections
from collections.abc import Callable
import json
import random as random_module
import statistics

from loguru import logger

from eelgrasshall import clock as clocks
from eelgrasshall.coordination import hedge as hedges
from eelgrasshall.coordination import histogram as histograms
from eelgrasshall.coordination import quarantine as quarantines
from eelgrasshall.coordination import queue as queues
from eelgrasshall.coordination import warmup
from eelgrasshall.protocol import backend
from eelgrasshall.state import directory as directories
from eelgrasshall.transport import backends

COLD_TOPIC = "cold"
# A warm server whose recent median is above this multiple of the service's
# has turned cold without saying so.
JUMP_FACTOR = 4.0
_RECENT = 15
# A server that sheds is left alone for a moment.
SHED_PAUSE_S = 0.01

_FailureRule = Callable[["Observer", queues.Lease, float], None]
_FAILURE_RULES: dict[backends.FailureKind, _FailureRule] = {}


def _on(*kinds: backends.FailureKind) -> Callable[[_FailureRule], _FailureRule]:
    """Registers the rule for kinds of failure."""

    def register(rule: _FailureRule) -> _FailureRule:
        for kind in kinds:
            _FAILURE_RULES[kind] = rule
        return rule

    return register


class Observer:
    """Keeps the records of one service's backend servers up to date.

    Args:
      clock: Source of time.
      random: Source of chance, for backoff.
      quarantine: Where suspects are noted.
      publish: Tells the other hosts: topic, key, body.
      usual: Latencies of the service's warm servers.
      hedger: Told of the same latencies.
      directory: Records of the backend servers.
      seen: Latencies of all servers, cold ones included, for estimates.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        random: random_module.Random,
        quarantine: quarantines.Quarantine,
        publish: Callable[[str, str, bytes], None],
        usual: histograms.Histogram,
        hedger: hedges.Hedger,
        directory: directories.Directory,
        seen: histograms.Histogram,
    ):
        self._clock = clock
        self._random = random
        self._quarantine = quarantine
        self._publish = publish
        self._usual = usual
        self._hedger = hedger
        self._directory = directory
        self._seen = seen
        self._recent: dict[str, collections.deque[float]] = {}

    def note_response(
        self,
        lease: queues.Lease,
        response: backend.BackendResponse,
        latency_s: float,
    ) -> None:
        """Learns from a response to an attempt."""
        record = lease.record
        record.consecutive_failures = 0
        record.backoff_until_s = 0.0
        self._note_incarnation(record, response.incarnation)
        record.snapshots = response.available or record.snapshots
        if response.draining and not record.draining:
            record.draining = True
            logger.info(f"observer: {record.name} is leaving.")
        if response.served:
            self._seen.record(latency_s)
            self._note_success(lease, latency_s)
        elif response.status == backend.CANCELLED:
            self._record_latency(lease, latency_s)
        elif response.status == backend.DEADLINE_PASSED:
            self._note_deadline(lease, latency_s)
        elif response.status != backend.SNAPSHOT_GONE:
            self._note_unserved(lease, response)

    def note_failure(
        self,
        lease: queues.Lease,
        failure: backends.BackendFailure,
        latency_s: float,
    ) -> None:
        """Learns from an attempt without a usable response."""
        _FAILURE_RULES[failure.kind](self, lease, latency_s)

    def note_health(
        self, record: directories.ServerRecord, health: backend.Health
    ) -> None:
        """Learns from a health answer what asks for more care."""
        self._note_incarnation(record, health.incarnation)
        if health.draining and not record.draining:
            record.draining = True
            logger.info(f"observer: {record.name} is leaving.")

    def note_return(self, record: directories.ServerRecord) -> None:
        """Takes a server back that is no longer leaving."""
        record.draining = False
        self.turn_cold(record, "returned")

    def note_down(self, record: directories.ServerRecord) -> None:
        """Keeps a server that does not answer from being tried."""
        self.turn_cold(record, "does not answer")
        warmup.back_off(record, self._clock.monotonic(), self._random.random())

    def turn_cold(self, record: directories.ServerRecord, why: str) -> None:
        """Takes a server to be cold and tells the other hosts."""
        if warmup.turn_cold(record):
            logger.info(f"observer: {record.name} is cold: {why}.")
            self._tell(record)
        self._recent.pop(record.name, None)

    def _note_incarnation(
        self, record: directories.ServerRecord, incarnation: str
    ) -> None:
        """Turns a server cold that has restarted."""
        if record.update_incarnation(incarnation):
            self.turn_cold(record, "restarted")

    def _note_success(self, lease: queues.Lease, latency_s: float) -> None:
        """Learns from an attempt that was served."""
        record = lease.record
        if lease.turns != record.cold_epoch:
            return
        if not record.cold:
            self._record_latency(lease, latency_s)
            self._look_for_jump(record, latency_s)
            return
        usual_s = self._usual.percentile(0.5)
        if warmup.prove(record, latency_s, usual_s):
            logger.info(f"observer: {record.name} is warm.")
            self._tell(record)

    def _note_unserved(
        self, lease: queues.Lease, response: backend.BackendResponse
    ) -> None:
        """Learns from an attempt that a server shed or failed."""
        record = lease.record
        if record.cold:
            warmup.turn_cold(record)
        if response.status == backend.SHED:
            record.sheds += 1
            record.backoff_until_s = self._clock.monotonic() + SHED_PAUSE_S

    def _record_latency(self, lease: queues.Lease, latency_s: float) -> None:
        """Counts a latency of a warm server.

        That of an attempt cancelled after a hedge won counts as well; leaving
        the slow ones out would pull the trigger down.
        """
        if lease.cold or lease.record.cold:
            return
        self._usual.record(latency_s)
        self._hedger.record(latency_s)

    def _look_for_jump(
        self, record: directories.ServerRecord, latency_s: float
    ) -> None:
        """Turns a warm server cold whose latency has jumped."""
        recent = self._recent.setdefault(
            record.name, collections.deque(maxlen=_RECENT)
        )
        recent.append(latency_s)
        usual_s = self._usual.percentile(0.5)
        if usual_s == 0.0 or len(recent) < _RECENT:
            return
        if self._hedger.is_slow() and self._has_warm_sibling(record):
            # All of the service is slow, which says nothing about this one.
            return
        if statistics.median(recent) > JUMP_FACTOR * usual_s:
            self.turn_cold(record, "its latency jumped")

    def _has_warm_sibling(self, record: directories.ServerRecord) -> bool:
        """Returns whether another server of the service is warm."""
        siblings = self._directory.list_service_records(record.service)
        return any(r is not record and not r.cold for r in siblings)

    @_on(backends.FailureKind.REFUSED)
    def _note_refused(self, lease: queues.Lease, latency_s: float) -> None:
        """Learns from a connection that could not be opened."""
        if lease.turns == lease.record.cold_epoch:
            self.note_down(lease.record)

    @_on(backends.FailureKind.LOST)
    def _note_lost(self, lease: queues.Lease, latency_s: float) -> None:
        """Learns from a connection that broke under an attempt."""
        if lease.alone:
            self._quarantine.condemn(lease.fingerprint)
        else:
            self._quarantine.suspect(lease.fingerprint)
        # All attempts in flight report the one death.
        if lease.turns == lease.record.cold_epoch:
            self.note_down(lease.record)

    @_on(
        backends.FailureKind.SILENT,
        backends.FailureKind.CROSSED,
        backends.FailureKind.NO_CONNECTION,
    )
    def _note_other(self, lease: queues.Lease, latency_s: float) -> None:
        """Starts a cold server over; says nothing about a warm one."""
        if lease.record.cold:
            warmup.turn_cold(lease.record)

    @_on(backends.FailureKind.TIMED_OUT)
    def _note_deadline(self, lease: queues.Lease, latency_s: float) -> None:
        """Learns from an attempt that ran into its deadline.

        One that had little time left says nothing about the server; counting
        it would keep a cold server cold for as long as there is a backlog.
        """
        longest_s = warmup.PROVEN_FACTOR * self._seen.percentile(0.9)
        if lease.record.cold and latency_s > longest_s:
            warmup.turn_cold(lease.record)

    def _tell(self, record: directories.ServerRecord) -> None:
        """Tells the other hosts whether a server is cold."""
        body = json.dumps({"cold": record.cold}).encode()
        self._publish(COLD_TOPIC, record.name, body)
