"""What the last owner of a service tells the next one.

A new owner that knows nothing takes every backend server to be cold and does
not hedge until it has seen enough latencies.  The word of handover therefore
carries both: which servers are warm and the latencies of the service.  It is
given only once the last owner has no attempt in flight at a cold server, which
may bear no second one.
"""

import json
from typing import NamedTuple

from eelgrasshall import clock as clocks
from eelgrasshall.coordination import direct
from eelgrasshall.coordination import hedge as hedges
from eelgrasshall.coordination import histogram as histograms
from eelgrasshall.coordination import warmup
from eelgrasshall.state import directory as directories

# An owner that goes waits this long for its attempts at cold servers to end.
LIMIT_S = 1.0
POLL_S = 0.01
# A new owner counts on the word of handover for this long.
EXPECTED_S = 0.3


class Handover(NamedTuple):
    """The state of a service at the end of an ownership.

    Attributes:
      warm: Names of its warm backend servers.
      latencies: Counts by bucket, of the service's warm servers.
    """

    warm: tuple[str, ...]
    latencies: tuple[histograms.BucketCount, ...]


def encode_handover(handover: Handover) -> bytes:
    """Returns a handover as JSON."""
    return json.dumps([handover.warm, handover.latencies]).encode()


def decode_handover(body: bytes) -> Handover | None:
    """Reads a handover; gives None for anything else."""
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
      usual: Latencies of its warm servers.
      seen: Latencies of all its servers.
    """

    usual: histograms.Histogram
    seen: histograms.Histogram


class HandoverBook:
    """What this host knows of services that change their owner.

    Args:
      clock: Source of time.
      directory: Records of the backend servers.
    """

    def __init__(
        self, *, clock: clocks.Clock, directory: directories.Directory
    ):
        self._clock = clock
        self._directory = directory
        # How often a server had been taken to be cold when that was done for
        # want of knowledge.
        self._unknown_turns: dict[str, int] = {}
        # Latencies of services that were given up, until they are told on.
        self._given_up: dict[str, tuple[histograms.BucketCount, ...]] = {}
        # Latencies told of services that are not owned yet.
        self._told: dict[str, tuple[histograms.BucketCount, ...]] = {}

    def take_over(self, service: str, latencies: Latencies) -> None:
        """Begins an ownership with what is known of the service.

        Only servers that were reported warm a moment ago are; all others
        have a history that this host does not know.
        """
        _learn(latencies, self._told.pop(service, ()))
        now = self._clock.monotonic()
        for record in self._directory.list_service_records(service):
            if direct.is_told_warm(record, now):
                record.cold = False
            else:
                warmup.turn_cold(record)
                self._unknown_turns[record.name] = record.cold_epoch

    def give_up(self, service: str, latencies: Latencies) -> None:
        """Ends an ownership; what is known is kept for the next owner."""
        self._given_up[service] = latencies.usual.list_counts()
        for record in self._directory.list_service_records(service):
            if not record.cold:
                record.reported_warm_s = self._clock.monotonic()

    async def export_state(self, service: str) -> bytes | None:
        """Waits until no attempt of this host is in flight at a cold server.

        Args:
          service: A service that this host has stopped owning.

        Returns:
          What the next owner should know, or None if attempts at cold
          servers did not end in time, so that it must wait for itself.
        """
        latest = self._clock.monotonic() + LIMIT_S
        records = self._directory.list_service_records(service)
        while any(record.cold and record.in_flight for record in records):
            if self._clock.monotonic() >= latest:
                return None
            await self._clock.sleep(POLL_S)
        return encode_handover(
            Handover(
                warm=tuple(r.name for r in records if not r.cold),
                latencies=self._given_up.pop(service, ()),
            )
        )

    def import_state(
        self, service: str, body: bytes, owned: Latencies | None
    ) -> None:
        """Takes over what the previous owner of a service told.

        Args:
          service: The service.
          body: What `export_state` of the previous owner gave.
          owned: The latencies here, or None if the service is not owned yet.
        """
        word = decode_handover(body)
        if word is None:
            return
        if owned is None:
            self._told[service] = word.latencies
        else:
            _learn(owned, word.latencies)
        for record in self._directory.list_service_records(service):
            if record.name not in word.warm:
                continue
            if owned is None:
                record.reported_warm_s = self._clock.monotonic()
            elif self._unknown_turns.get(record.name) == record.cold_epoch:
                # It is cold only because nothing was known of it.
                record.cold = False


def _learn(
    latencies: Latencies, told: tuple[histograms.BucketCount, ...]
) -> None:
    """Takes latencies of the previous owner, unless there are own ones."""
    if latencies.usual.recorded < hedges.MIN_RECORDED:
        latencies.usual.add_counts(told)
        latencies.seen.add_counts(told)
