"""Updates the records of backend servers from what happens to requests.

Every response, failed attempt and health check result passes through here on
its way to the records.  It can mark a server cold, prove that it is warm, mark
it draining or unreachable, and make the requests in flight suspects of having
crashed it.  Health check results lag and may be wrong, so they are only a
reason for more caution.
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
# A warm server whose recent median latency is above this multiple of the
# service's median is taken to have turned cold unnoticed.
LATENCY_JUMP_FACTOR = 4.0
_RECENT_SAMPLES = 15
# A server that has shed a request gets no new one for this time.
SHED_BACKOFF_S = 0.01

_FailureHandler = Callable[["Observer", queues.Lease, float], None]
_FAILURE_HANDLERS: dict[backends.FailureKind, _FailureHandler] = {}


def _handles(
    *kinds: backends.FailureKind,
) -> Callable[[_FailureHandler], _FailureHandler]:
    """Registers the decorated method as the handler of kinds of failure."""

    def register(handler: _FailureHandler) -> _FailureHandler:
        for kind in kinds:
            _FAILURE_HANDLERS[kind] = handler
        return handler

    return register


class Observer:
    """Keeps the records of one service's backend servers up to date.

    Args:
      clock: Source of time.
      random: Source of the jitter of backoffs.
      quarantine: Collects suspected and quarantined requests.
      publish: Publishes a fact to the other hosts: topic, key, body.
      warm_latencies: Latencies of the service's warm servers.
      hedger: Receives the same latencies.
      directory: Records of the backend servers.
      all_latencies: Latencies of all servers, including cold ones, for
        estimates.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        random: random_module.Random,
        quarantine: quarantines.Quarantine,
        publish: Callable[[str, str, bytes], None],
        warm_latencies: histograms.Histogram,
        hedger: hedges.Hedger,
        directory: directories.Directory,
        all_latencies: histograms.Histogram,
    ):
        self._clock = clock
        self._random = random
        self._quarantine = quarantine
        self._publish = publish
        self._warm_latencies = warm_latencies
        self._hedger = hedger
        self._directory = directory
        self._all_latencies = all_latencies
        self._recent: dict[str, collections.deque[float]] = {}

    def record_response(
        self,
        lease: queues.Lease,
        response: backend.BackendResponse,
        latency_s: float,
    ) -> None:
        """Updates the records from the response to an attempt."""
        record = lease.record
        record.consecutive_failures = 0
        record.backoff_until_s = 0.0
        self._record_incarnation(record, response.incarnation)
        record.snapshots = response.available or record.snapshots
        if response.draining and not record.draining:
            record.draining = True
            logger.info(f"observer: Server {record.name} is draining.")
        if response.served:
            self._all_latencies.record(latency_s)
            self._record_success(lease, latency_s)
        elif response.status == backend.CANCELLED:
            self._record_latency(lease, latency_s)
        elif response.status == backend.DEADLINE_PASSED:
            self._record_deadline(lease, latency_s)
        elif response.status != backend.SNAPSHOT_GONE:
            self._record_unserved(lease, response)

    def record_failure(
        self,
        lease: queues.Lease,
        failure: backends.BackendFailure,
        latency_s: float,
    ) -> None:
        """Updates the records from an attempt without a usable response."""
        _FAILURE_HANDLERS[failure.kind](self, lease, latency_s)

    def record_health(
        self, record: directories.ServerRecord, health: backend.Health
    ) -> None:
        """Records a restart or draining that a health check reports."""
        self._record_incarnation(record, health.incarnation)
        if health.draining and not record.draining:
            record.draining = True
            logger.info(f"observer: Server {record.name} is draining.")

    def record_return(self, record: directories.ServerRecord) -> None:
        """Records that a draining server takes work again; it starts cold."""
        record.draining = False
        self.mark_cold(record, "returned")

    def record_unreachable(self, record: directories.ServerRecord) -> None:
        """Marks a server cold and backs off from it."""
        self.mark_cold(record, "connection refused or lost")
        warmup.start_backoff(
            record, self._clock.monotonic(), self._random.random()
        )

    def mark_cold(self, record: directories.ServerRecord, reason: str) -> None:
        """Marks a server cold and publishes this to the other hosts."""
        if warmup.mark_cold(record):
            logger.info(f"observer: Server {record.name} is cold: {reason}.")
            self._publish_cold(record)
        self._recent.pop(record.name, None)

    def _record_incarnation(
        self, record: directories.ServerRecord, incarnation: str
    ) -> None:
        """Marks a server cold if its incarnation shows a restart."""
        if record.update_incarnation(incarnation):
            self.mark_cold(record, "restarted")

    def _record_success(self, lease: queues.Lease, latency_s: float) -> None:
        """Updates the records from an attempt that was served."""
        record = lease.record
        if lease.cold_epoch != record.cold_epoch:
            return
        if not record.cold:
            self._record_latency(lease, latency_s)
            self._detect_latency_jump(record, latency_s)
            return
        typical_s = self._warm_latencies.percentile(0.5)
        if warmup.record_success(record, latency_s, typical_s):
            logger.info(f"observer: Server {record.name} is warm.")
            self._publish_cold(record)

    def _record_unserved(
        self, lease: queues.Lease, response: backend.BackendResponse
    ) -> None:
        """Updates the records from an attempt that a server shed or failed."""
        record = lease.record
        if record.cold:
            warmup.mark_cold(record)
        if response.status == backend.SHED:
            record.sheds += 1
            record.backoff_until_s = self._clock.monotonic() + SHED_BACKOFF_S

    def _record_latency(self, lease: queues.Lease, latency_s: float) -> None:
        """Records a latency of a warm server.

        Attempts that were cancelled after a hedge had won count as well:
        leaving out the slow ones would lower the delay before a hedge.
        """
        if lease.cold or lease.record.cold:
            return
        self._warm_latencies.record(latency_s)
        self._hedger.record(latency_s)

    def _detect_latency_jump(
        self, record: directories.ServerRecord, latency_s: float
    ) -> None:
        """Marks a warm server cold if its latency has jumped."""
        recent = self._recent.setdefault(
            record.name, collections.deque(maxlen=_RECENT_SAMPLES)
        )
        recent.append(latency_s)
        typical_s = self._warm_latencies.percentile(0.5)
        if typical_s == 0.0 or len(recent) < _RECENT_SAMPLES:
            return
        if self._hedger.is_service_slow() and self._has_other_warm_server(
            record
        ):
            # The whole service is slow, so the latency of this server does not
            # show that it is cold.
            return
        if statistics.median(recent) > LATENCY_JUMP_FACTOR * typical_s:
            self.mark_cold(record, "its latency jumped")

    def _has_other_warm_server(self, record: directories.ServerRecord) -> bool:
        """Returns whether another server of the service is warm."""
        servers = self._directory.list_service_records(record.service)
        return any(r is not record and not r.cold for r in servers)

    @_handles(backends.FailureKind.CONNECT_FAILED)
    def _record_connect_failure(
        self, lease: queues.Lease, latency_s: float
    ) -> None:
        """Handles a connection that could not be opened."""
        if lease.cold_epoch == lease.record.cold_epoch:
            self.record_unreachable(lease.record)

    @_handles(backends.FailureKind.CONNECTION_LOST)
    def _record_connection_lost(
        self, lease: queues.Lease, latency_s: float
    ) -> None:
        """Handles a connection that broke during an attempt."""
        if lease.isolated:
            self._quarantine.add(lease.fingerprint)
        else:
            self._quarantine.add_suspect(lease.fingerprint)
        # Each attempt in flight reports the same crash; only the first one
        # counts as a failure of the server.
        if lease.cold_epoch == lease.record.cold_epoch:
            self.record_unreachable(lease.record)

    @_handles(
        backends.FailureKind.NO_PROGRESS,
        backends.FailureKind.WRONG_RESPONSE,
        backends.FailureKind.NO_CONNECTION,
    )
    def _record_other_failure(
        self, lease: queues.Lease, latency_s: float
    ) -> None:
        """Restarts the warm-up of a cold server; ignores a warm one."""
        if lease.record.cold:
            warmup.mark_cold(lease.record)

    @_handles(backends.FailureKind.TIMED_OUT)
    def _record_deadline(self, lease: queues.Lease, latency_s: float) -> None:
        """Handles an attempt that reached its deadline.

        An attempt that had little time left says nothing about the server;
        counting it would keep a cold server cold for as long as there is a
        backlog.
        """
        limit_s = warmup.WARM_LATENCY_FACTOR * self._all_latencies.percentile(
            0.9
        )
        if lease.record.cold and latency_s > limit_s:
            warmup.mark_cold(lease.record)

    def _publish_cold(self, record: directories.ServerRecord) -> None:
        """Publishes to the other hosts whether a server is cold."""
        body = json.dumps({"cold": record.cold}).encode()
        self._publish(COLD_TOPIC, record.name, body)
