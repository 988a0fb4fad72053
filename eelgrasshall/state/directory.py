"""What this process knows of each backend server.

The owner of a service keeps exact records here: which attempts are in flight at
each backend server and how much it may be given.  The other hosts keep only
what they were told.  The rules by which the records change are in
`coordination.warmup`; this module holds the values.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configurations

_PAST_INCARNATIONS = 8


class Held(NamedTuple):
    """One slot in use.

    Attributes:
      attempt_id: The attempt that holds it.
      fingerprint: Fingerprint of its request.
      since_s: When it was dispatched, on the monotonic clock.
    """

    attempt_id: str
    fingerprint: str
    since_s: float


class ServerRecord:
    """The records of one backend server.

    Args:
      server: Its declaration.
      service: Name of its service.

    Attributes:
      zone_out: Whether its zone is out of service.
      removed: Whether the configuration no longer declares it.
      draining: Whether it says that it is leaving.
      cold: Whether it is in cold start or must be taken to be.
      allowance: Attempts that it may run at once while cold.
      proofs: Successes since the allowance last changed.
      trials: Latencies of those successes that nothing compares with.
      turns: How often it has been taken to be cold anew.
      held: The slots in use, by attempt.
      reserved: Whether it is kept free for a request that must run alone.
      failures: Failed connections in a row.
      down_until_s: Until when it is not tried again.
      incarnation: As last seen; empty if never.
      past_incarnations: Those seen before it; whatever names one of them
        is older than what is known.
      snapshots: As last seen, newest first; empty if never.
      told_warm_s: When another host last reported it warm; None if never.
      sent_s: When an attempt was last sent to it.
      sheds: Attempts that it has shed.
    """

    def __init__(self, *, server: configurations.BackendServer, service: str):
        self.server = server
        self.service = service
        self.zone_out = False
        self.removed = False
        self.draining = False
        self.cold = True
        self.allowance = 1
        self.proofs = 0
        self.trials: list[float] = []
        self.turns = 0
        self.held: dict[str, Held] = {}
        self.reserved = False
        self.failures = 0
        self.down_until_s = 0.0
        self.incarnation = ""
        self.past_incarnations: collections.deque[str] = collections.deque(
            maxlen=_PAST_INCARNATIONS
        )
        self.snapshots: tuple[messages.Snapshot, ...] = ()
        self.told_warm_s: float | None = None
        self.sent_s = 0.0
        self.sheds = 0

    @property
    def name(self) -> str:
        """Returns the name of the backend server."""
        return self.server.name

    @property
    def in_service(self) -> bool:
        """Returns whether it may get new work at all."""
        return not (self.zone_out or self.removed or self.draining)

    def note_incarnation(self, incarnation: str) -> bool:
        """Notes a seen incarnation; gives whether the server restarted."""
        if incarnation == self.incarnation:
            return False
        if incarnation in self.past_incarnations:
            return False
        known = self.incarnation
        self.incarnation = incarnation
        if known:
            self.past_incarnations.append(known)
        return bool(known)

    def may_hold(self, snapshot: messages.Snapshot | None) -> bool:
        """Returns whether it may be able to serve a pinned snapshot.

        One newer than all that were seen may have arrived since.
        """
        if snapshot is None or not self.snapshots:
            return True
        return snapshot in self.snapshots or snapshot > self.snapshots[0]

    def dump(self) -> dict:
        """Returns the records as plain values."""
        return {
            "service": self.service,
            "zone": self.server.zone,
            "slots": self.server.slots,
            "in_flight": len(self.held),
            "cold": self.cold,
            "allowance": self.allowance,
            "proofs": self.proofs,
            "zone_out": self.zone_out,
            "removed": self.removed,
            "draining": self.draining,
            "reserved": self.reserved,
            "failures": self.failures,
            "sheds": self.sheds,
            "incarnation": self.incarnation,
            "snapshots": [s.to_text() for s in self.snapshots],
        }


class Directory:
    """The records of all backend servers of the configuration."""

    def __init__(self):
        self._records: dict[str, ServerRecord] = {}
        self._by_service: dict[str, tuple[ServerRecord, ...]] = {}

    def find(self, server: str) -> ServerRecord | None:
        """Returns the records of a backend server."""
        return self._records.get(server)

    def of_service(self, service: str) -> tuple[ServerRecord, ...]:
        """Returns the records of a service's backend servers."""
        return self._by_service.get(service, ())

    def all(self) -> Iterable[ServerRecord]:
        """Returns the records of every backend server."""
        return self._records.values()

    def follow(
        self, configuration: configurations.Configuration
    ) -> list[ServerRecord]:
        """Takes over a configuration.

        Returns:
          The records whose zone came back or whose server changed its
          address: they must be taken to be cold.
        """
        zones = configuration.zones_in_service()
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

    def snapshots_of(self, service: str) -> tuple[messages.Snapshot, ...]:
        """Returns what usable servers of a service hold, newest first."""
        found = {
            snapshot
            for record in self.of_service(service)
            if record.in_service
            for snapshot in record.snapshots
        }
        return tuple(sorted(found, reverse=True))
