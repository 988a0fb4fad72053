"""Rendezvous hashing with incrementally updated rankings of the hosts.

Each pair of service and host has a score, and the hosts of a service are
ranked by it, so a host that joins or leaves does not change the relative order
of the others.  Computing every ranking anew takes one hash for each pair.
Since only the first ranks of a service matter, only those are kept, and a host
that joins costs one hash for each service.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import hashlib

# Ranks that are kept of each service.
MAX_KEPT_RANKS = 12
# With fewer ranks left than this, a ranking is computed anew.
MIN_KEPT_RANKS = 4

_ScoredHost = tuple[int, str]


class HostRankings:
    """The rankings of the hosts for each of a set of services."""

    def __init__(self):
        self._hosts: frozenset[str] = frozenset()
        self._rankings: dict[str, list[_ScoredHost]] = {}

    def update(self, services: Iterable[str], hosts: Iterable[str]) -> None:
        """Replaces the services and the hosts."""
        current = frozenset(hosts)
        removed = self._hosts - current
        added = sorted(current - self._hosts)
        self._hosts = current
        previous = self._rankings
        self._rankings = {}
        for service in services:
            ranking = previous.get(service)
            if ranking is not None:
                ranking = self._update_ranking(service, ranking, removed, added)
            self._rankings[service] = ranking or self._compute_ranking(service)

    def iterate_hosts(self, service: str) -> Iterator[str]:
        """Yields all hosts by rank for a service of the last update."""
        ranking = self._rankings[service]
        for _, host in ranking:
            yield host
        if len(ranking) < len(self._hosts):
            for _, host in self._rank_all(service)[len(ranking) :]:
                yield host

    def _update_ranking(
        self,
        service: str,
        ranking: list[_ScoredHost],
        removed: frozenset[str],
        added: list[str],
    ) -> list[_ScoredHost] | None:
        """Applies a change of hosts; returns None if too few ranks remain."""
        previous_count = len(self._hosts) - len(added) + len(removed)
        was_complete = len(ranking) == previous_count
        kept = [scored for scored in ranking if scored[1] not in removed]
        if len(kept) < MIN_KEPT_RANKS and not was_complete:
            return None
        for host in added:
            scored = (compute_score(f"{service}/{host}"), host)
            # In an incomplete ranking, the hosts after the last kept rank are
            # unknown, so nothing can be inserted there.
            if was_complete or scored < kept[-1]:
                bisect.insort(kept, scored)
        return kept[:MAX_KEPT_RANKS]

    def _compute_ranking(self, service: str) -> list[_ScoredHost]:
        """Computes the ranks that are kept of a service."""
        return self._rank_all(service)[:MAX_KEPT_RANKS]

    def _rank_all(self, service: str) -> list[_ScoredHost]:
        """Computes the complete ranking of a service."""
        return sorted((compute_score(f"{service}/{h}"), h) for h in self._hosts)


def compute_score(text: str) -> int:
    """Returns a hash of the text that is the same on every host."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
