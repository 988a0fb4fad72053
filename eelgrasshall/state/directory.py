"""Records of the state of each backend server.

The owner of a service keeps exact records: which attempts are in flight on
each backend server and how many it may be sent.  The other hosts only record
what other hosts report.  This module holds the values; the cold-start rules
that change them are in `coordination.warmup`.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configurations

_PAST_INCARNATIONS = 8


class InFlightAttempt(NamedTuple):
    """An attempt that occupies a slot of a backend server.

    Attributes:
      attempt_id: Identifier of the attempt.
      fingerprint: Fingerprint of its request.
      started_s: Monotonic time in seconds at which it was dispatched.
    """

    attempt_id: str
    fingerprint: str
    started_s: float


class ServerRecord:
    """The state of one backend server.

    Times are in seconds on the monotonic clock.

    Args:
      server: Declaration of the backend server.
      service: Name of its service.

    Attributes:
      zone_out: Whether its zone is out of service.
      removed: Whether the configuration no longer declares it.
      draining: Whether it reports that it is draining.
      cold: Whether it is in cold start, or must be assumed to be.
      allowance: Maximum number of concurrent attempts while cold.
      successes: Successes counted towards the next increase of `allowance`.
      uncompared_latencies_s: Latencies of those successes for which no typical
        latency of a warm server was known.
      cold_epoch: Number of times that it has been marked cold.
      in_flight: Attempts that occupy its slots, by attempt id.
      reserved: Whether it is reserved for a request that must run isolated.
      consecutive_failures: Consecutive times that it was unreachable.
      backoff_until_s: Time before which it gets no new attempts.
      incarnation: Last observed incarnation; empty before the first.
      past_incarnations: Earlier incarnations; a message that names one of
        them is out of date.
      snapshots: Last observed snapshots, newest first; empty if unknown.
      reported_warm_s: Time at which another host last reported it warm; None
        if none did.
      sent_s: Time at which an attempt was last sent to it.
      sheds: Number of attempts that it has shed.
    """

    def __init__(self, *, server: configurations.BackendServer, service: str):
        self.server = server
        self.service = service
        self.zone_out = False
        self.removed = False
        self.draining = False
        self.cold = True
        self.allowance = 1
        self.successes = 0
        self.uncompared_latencies_s: list[float] = []
        self.cold_epoch = 0
        self.in_flight: dict[str, InFlightAttempt] = {}
        self.reserved = False
        self.consecutive_failures = 0
        self.backoff_until_s = 0.0
        self.incarnation = ""
        self.past_incarnations: collections.deque[str] = collections.deque(
            maxlen=_PAST_INCARNATIONS
        )
        self.snapshots: tuple[messages.Snapshot, ...] = ()
        self.reported_warm_s: float | None = None
        self.sent_s = 0.0
        self.sheds = 0

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return self.server.name

    @property
    def in_service(self) -> bool:
        """Whether it is eligible for new work."""
        return not (self.zone_out or self.removed or self.draining)

    def update_incarnation(self, incarnation: str) -> bool:
        """Records an observed incarnation.

        Returns:
          Whether the backend server has restarted.  False for the first
          incarnation and for a past one.
        """
        if incarnation == self.incarnation:
            return False
        if incarnation in self.past_incarnations:
            return False
        previous = self.incarnation
        self.incarnation = incarnation
        if previous:
            self.past_incarnations.append(previous)
        return bool(previous)

    def may_have_snapshot(self, snapshot: messages.Snapshot | None) -> bool:
        """Returns whether it may be able to serve a pinned snapshot.

        A snapshot newer than the newest observed one may have arrived since.
        """
        if snapshot is None or not self.snapshots:
            return True
        return snapshot in self.snapshots or snapshot > self.snapshots[0]

    def dump(self) -> dict:
        """Returns the record for the state dump."""
        return {
            "service": self.service,
            "zone": self.server.zone,
            "slots": self.server.slots,
            "in_flight": len(self.in_flight),
            "cold": self.cold,
            "allowance": self.allowance,
            "proofs": self.successes,
            "zone_out": self.zone_out,
            "removed": self.removed,
            "draining": self.draining,
            "reserved": self.reserved,
            "failures": self.consecutive_failures,
            "sheds": self.sheds,
            "incarnation": self.incarnation,
            "snapshots": [s.to_text() for s in self.snapshots],
        }


class Directory:
    """The records of all backend servers in the configuration."""

    def __init__(self):
        self._records: dict[str, ServerRecord] = {}
        self._by_service: dict[str, tuple[ServerRecord, ...]] = {}

    def find(self, server: str) -> ServerRecord | None:
        """Returns the record of a backend server, or None."""
        return self._records.get(server)

    def list_service_records(self, service: str) -> tuple[ServerRecord, ...]:
        """Returns the records of the backend servers of a service."""
        return self._by_service.get(service, ())

    def list_records(self) -> Iterable[ServerRecord]:
        """Returns the records of all backend servers."""
        return self._records.values()

    def apply_configuration(
        self, configuration: configurations.Configuration
    ) -> list[ServerRecord]:
        """Adds, updates and removes records according to a configuration.

        Returns:
          The records whose zone has returned to service or whose server has
          changed its address.  The caller must mark them cold.
        """
        zones = configuration.get_zones_in_service()
        returned: list[ServerRecord] = []
        kept: dict[str, ServerRecord] = {}
        by_service: dict[str, tuple[ServerRecord, ...]] = {}
        for service in configuration.services:
            records = []
            for server in service.servers:
                record = self._records.get(server.name)
                if record is None or record.service != service.name:
                    record = ServerRecord(server=server, service=service.name)
                zone_out = server.zone not in zones
                moved = (server.host, server.port) != (
                    record.server.host,
                    record.server.port,
                )
                if moved or (record.zone_out and not zone_out):
                    returned.append(record)
                record.server = server
                record.zone_out = zone_out
                kept[server.name] = record
                records.append(record)
            by_service[service.name] = tuple(records)
        for name, record in self._records.items():
            if kept.get(name) is not record:
                record.removed = True
        self._records = kept
        self._by_service = by_service
        return returned

    def list_snapshots(self, service: str) -> tuple[messages.Snapshot, ...]:
        """Returns the snapshots of a service's in-service backend servers.

        They are sorted newest first.
        """
        found = {
            snapshot
            for record in self.list_service_records(service)
            if record.in_service
            for snapshot in record.snapshots
        }
        return tuple(sorted(found, reverse=True))
