"""Rendezvous hashing: an order of hosts for each service, kept up to date.

Each pair of service and host has a hash, and a service's order is by that
hash, so that a host that comes or goes leaves the order of the others as it
was.  Working out every order anew takes a hash for each pair.  Since only the
first few places of an order matter, those are kept, and a host that comes
costs one hash for each service.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import hashlib

# Places of each order that are kept, and below which it is worked out anew.
KEPT_PLACES = 12
LEAST_PLACES = 4

_Place = tuple[int, str]


class Orders:
    """The orders of the hosts for each of a set of services."""

    def __init__(self):
        self._hosts: frozenset[str] = frozenset()
        self._places: dict[str, list[_Place]] = {}

    def update(self, services: Iterable[str], hosts: Iterable[str]) -> None:
        """Follows changes of the services and the hosts."""
        now = frozenset(hosts)
        gone = self._hosts - now
        come = sorted(now - self._hosts)
        self._hosts = now
        kept = self._places
        self._places = {}
        for service in services:
            places = kept.get(service)
            if places is not None:
                places = self._follow(service, places, gone, come)
            self._places[service] = places or self._work_out(service)

    def iterate(self, service: str) -> Iterator[str]:
        """Yields the hosts in the order of a service of the last update."""
        places = self._places[service]
        for _, host in places:
            yield host
        if len(places) < len(self._hosts):
            for _, host in self._rank(service)[len(places) :]:
                yield host

    def _follow(
        self,
        service: str,
        places: list[_Place],
        gone: frozenset[str],
        come: list[str],
    ) -> list[_Place] | None:
        """Takes hosts out of and into an order; None if too few are left."""
        before = len(self._hosts) - len(come) + len(gone)
        was_whole = len(places) == before
        left = [place for place in places if place[1] not in gone]
        if len(left) < LEAST_PLACES and not was_whole:
            return None
        for host in come:
            place = (score(f"{service}/{host}"), host)
            # Beyond the last kept place of a part nothing is known.
            if was_whole or place < left[-1]:
                bisect.insort(left, place)
        return left[:KEPT_PLACES]

    def _work_out(self, service: str) -> list[_Place]:
        """Returns the first places of an order."""
        return self._rank(service)[:KEPT_PLACES]

    def _rank(self, service: str) -> list[_Place]:
        """Returns the whole order."""
        return sorted((score(f"{service}/{h}"), h) for h in self._hosts)


def score(text: str) -> int:
    """Returns a hash that is the same on every host."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
