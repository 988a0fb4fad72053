"""Snapshots that each service was last observed to serve.

Results of sub-requests list the snapshots that the usable backend servers of
the service have.  A plan pins the newest of the snapshots that most services
can serve, so that a query reads one consistent state of the index.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from eelgrasshall import clock as clock_module
from eelgrasshall.protocol import messages

# Backend servers keep only a few snapshots, so older observations are likely
# to be out of date.
OBSERVATION_TTL_S = 10.0


class Observation(NamedTuple):
    """Snapshots that a service was observed to serve.

    Attributes:
      observed_s: Monotonic time in seconds.
      available: The snapshots, newest first.
    """

    observed_s: float
    available: tuple[messages.Snapshot, ...]


class SnapshotTable:
    """The last observation of each service.

    Args:
      clock: Source of monotonic time.
    """

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        self._observations: dict[str, Observation] = {}

    def observe(
        self, service: str, available: tuple[messages.Snapshot, ...]
    ) -> None:
        """Records the snapshots of a service; ignores an empty observation."""
        if available:
            now = self._clock.monotonic()
            self._observations[service] = Observation(now, available)

    def find(self, service: str) -> tuple[messages.Snapshot, ...]:
        """Returns the snapshots of a service, or an empty tuple if unknown."""
        observation = self._observations.get(service)
        if observation is None:
            return ()
        if self._clock.monotonic() - observation.observed_s > OBSERVATION_TTL_S:
            return ()
        return observation.available

    def choose(self, services: Iterable[str]) -> messages.Snapshot | None:
        """Returns the newest of the snapshots that the most services can serve.

        Args:
          services: Names of the services of the query.

        Returns:
          The snapshot, or None if no service has a recent observation.
        """
        known = [self.find(service) for service in services]
        known = [available for available in known if available]
        if not known:
            return None
        # Fast path: between updates of the index, all services have the same
        # snapshots.
        if all(available == known[0] for available in known):
            return max(known[0])
        counts: collections.Counter[messages.Snapshot] = collections.Counter()
        for available in known:
            counts.update(set(available))
        return max(counts, key=lambda snapshot: (counts[snapshot], snapshot))

    def keep_only(self, services: frozenset[str]) -> None:
        """Removes all services but the given ones."""
        for service in set(self._observations) - services:
            del self._observations[service]

    def dump(self) -> dict[str, list[str]]:
        """Returns the table for the state dump."""
        return {
            service: [each.to_text() for each in observation.available]
            for service, observation in sorted(self._observations.items())
        }
