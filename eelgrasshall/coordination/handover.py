"""State that the previous owner of a service passes to the next one.

A new owner without any state treats every backend server as cold and does not
hedge until it has recorded enough latencies.  A handover therefore carries
both: which servers are warm, and the latencies of the service.  It is sent only
once the previous owner has no attempt in flight at a cold server, since a cold
server may not withstand a second one.
"""

import json
from typing import NamedTuple

from eelgrasshall import clock as clocks
from eelgrasshall.coordination import direct_sender
from eelgrasshall.coordination import hedge as hedges
from eelgrasshall.coordination import histogram as histograms
from eelgrasshall.coordination import warmup
from eelgrasshall.state import directory as directories

# How long the previous owner waits for its attempts at cold servers to end.
EXPORT_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.01
# How long a new owner expects that a handover may still arrive.
HANDOVER_WAIT_S = 0.3


class Handover(NamedTuple):
    """The state of a service at the end of an ownership.

    Attributes:
      warm: Names of the warm backend servers.
      latencies: Latency counts of the warm servers, by bucket.
    """

    warm: tuple[str, ...]
    latencies: tuple[histograms.BucketCount, ...]


def encode_handover(handover: Handover) -> bytes:
    """Returns a handover as JSON."""
    return json.dumps([handover.warm, handover.latencies]).encode()


def decode_handover(body: bytes) -> Handover | None:
    """Decodes a handover; returns None if the body is malformed."""
    try:
        warm, latencies = json.loads(body)
        counts = tuple(
            histograms.BucketCount(int(bucket), int(count))
            for bucket, count in latencies
        )
        return Handover(tuple(str(name) for name in warm), counts)
    except (ValueError, TypeError):
        return None


class Latencies(NamedTuple):
    """The latency histograms of an owned service.

    Attributes:
      usual: Latencies of the warm servers.
      seen: Latencies of all servers, including cold ones.
    """

    usual: histograms.Histogram
    seen: histograms.Histogram


class HandoverTracker:
    """Exports and imports the state of services that change owner.

    Args:
      clock: Source of time.
      directory: Records of the backend servers.
    """

    def __init__(
        self, *, clock: clocks.Clock, directory: directories.Directory
    ):
        self._clock = clock
        self._directory = directory
        # By server name: cold epoch of a server that was marked cold only
        # because nothing was known about it.
        self._assumed_cold_epochs: dict[str, int] = {}
        # Latencies of services no longer owned, until they are exported.
        self._exportable_latencies: dict[
            str, tuple[histograms.BucketCount, ...]
        ] = {}
        # Latencies received for services that are not owned yet.
        self._received_latencies: dict[
            str, tuple[histograms.BucketCount, ...]
        ] = {}

    def start_ownership(self, service: str, latencies: Latencies) -> None:
        """Begins an ownership with the known state of the service.

        Servers that were recently reported warm are taken to be warm; all
        others are marked cold, since this host does not know their history.
        """
        _add_missing_latencies(
            latencies, self._received_latencies.pop(service, ())
        )
        now = self._clock.monotonic()
        for record in self._directory.list_service_records(service):
            if direct_sender.is_reported_warm(record, now):
                record.cold = False
            else:
                warmup.mark_cold(record)
                self._assumed_cold_epochs[record.name] = record.cold_epoch

    def end_ownership(self, service: str, latencies: Latencies) -> None:
        """Ends an ownership and keeps the state for the next owner."""
        self._exportable_latencies[service] = latencies.usual.list_counts()
        for record in self._directory.list_service_records(service):
            if not record.cold:
                record.reported_warm_s = self._clock.monotonic()

    async def export_state(self, service: str) -> bytes | None:
        """Waits until no attempt of this host is in flight at a cold server.

        Args:
          service: A service that this host has stopped owning.

        Returns:
          The encoded handover, or None if attempts at cold servers did not
          end in time; the next owner must then wait out the ownership overlap.
        """
        wait_until_s = self._clock.monotonic() + EXPORT_TIMEOUT_S
        records = self._directory.list_service_records(service)
        while any(record.cold and record.in_flight for record in records):
            if self._clock.monotonic() >= wait_until_s:
                return None
            await self._clock.sleep(POLL_INTERVAL_S)
        return encode_handover(
            Handover(
                warm=tuple(r.name for r in records if not r.cold),
                latencies=self._exportable_latencies.pop(service, ()),
            )
        )

    def import_state(
        self, service: str, body: bytes, latencies: Latencies | None
    ) -> None:
        """Applies a handover from the previous owner of a service.

        Args:
          service: The service.
          body: Result of `export_state` at the previous owner.
          latencies: Latencies of the service on this host, or None if this
            host does not own it yet.
        """
        handover = decode_handover(body)
        if handover is None:
            return
        if latencies is None:
            self._received_latencies[service] = handover.latencies
        else:
            _add_missing_latencies(latencies, handover.latencies)
        for record in self._directory.list_service_records(service):
            if record.name not in handover.warm:
                continue
            if latencies is None:
                record.reported_warm_s = self._clock.monotonic()
            elif (
                self._assumed_cold_epochs.get(record.name) == record.cold_epoch
            ):
                # It was marked cold only because nothing was known about it.
                record.cold = False


def _add_missing_latencies(
    latencies: Latencies, received: tuple[histograms.BucketCount, ...]
) -> None:
    """Adds received latencies, unless this host has enough of its own."""
    if latencies.usual.sample_count < hedges.MIN_SAMPLES:
        latencies.usual.add_counts(received)
        latencies.seen.add_counts(received)
