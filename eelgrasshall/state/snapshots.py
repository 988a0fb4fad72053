"""Which snapshots each service was last seen to serve.

Results of sub-requests name the snapshots that the usable backend servers of
the service hold.  A plan pins the newest snapshot that every service can
serve, so that a query meets one state of the index everywhere.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from eelgrasshall import clock as clock_module
from eelgrasshall.protocol import messages

# Older sightings say little: servers keep only a few snapshots.
FRESH_S = 10.0


class Sighting(NamedTuple):
    """What a service was seen to serve.

    Attributes:
      at: Monotonic time in seconds.
      available: The snapshots, newest first.
    """

    at: float
    available: tuple[messages.Snapshot, ...]


class SnapshotTable:
    """The last sighting of each service.

    Args:
      clock: The source of time.
    """

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        self._sightings: dict[str, Sighting] = {}

    def observe(
        self, service: str, available: tuple[messages.Snapshot, ...]
    ) -> None:
        """Records what a service can serve; an empty sighting says nothing."""
        if available:
            now = self._clock.monotonic()
            self._sightings[service] = Sighting(now, available)

    def find(self, service: str) -> tuple[messages.Snapshot, ...]:
        """Returns what a service can serve, empty if that is not known."""
        sighting = self._sightings.get(service)
        if sighting is None:
            return ()
        if self._clock.monotonic() - sighting.at > FRESH_S:
            return ()
        return sighting.available

    def choose(self, services: Iterable[str]) -> messages.Snapshot | None:
        """Returns the newest of the snapshots that most services can serve.

        Args:
          services: The services to ask for.

        Returns:
          The snapshot, or None if nothing is known.
        """
        known = [self.find(service) for service in services]
        known = [available for available in known if available]
        if not known:
            return None
        # While nothing moves, all services can serve the same.
        if all(available == known[0] for available in known):
            return max(known[0])
        counts: collections.Counter[messages.Snapshot] = collections.Counter()
        for available in known:
            counts.update(set(available))
        return max(counts, key=lambda snapshot: (counts[snapshot], snapshot))

    def keep_only(self, services: frozenset[str]) -> None:
        """Forgets services that are no longer declared."""
        for service in set(self._sightings) - services:
            del self._sightings[service]

    def dump(self) -> dict[str, list[str]]:
        """Returns the table as plain data."""
        return {
            service: [each.to_text() for each in sighting.available]
            for service, sighting in sorted(self._sightings.items())
        }
