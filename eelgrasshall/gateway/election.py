"""Election of the entry hosts that watch the platform's store for all.

Every call to the store is charged, and a waiting watch counts as a call, so
only a few hosts watch and pass changes on to the others.  Each host works out
for itself which hosts watch, from the hosts whose heartbeats it receives.  A
host that receives none from a host that reaches the store watches by itself,
so an incorrect view of the fleet costs calls but nothing else.
"""

from collections.abc import Sequence
from typing import NamedTuple
import zlib

# Hosts in the fleet that watch: with three, two can be cut off at the same time
# without a gap.
WATCHER_COUNT = 3


class Candidate(NamedTuple):
    """A host that may watch the store.

    Attributes:
      name: The name of the host.
      zone: Its availability zone.
      reaches_store: Whether it reports that it watches the store and gets
        answers.
    """

    name: str
    zone: str
    reaches_store: bool


def elect_watchers(
    candidates: Sequence[Candidate], count: int = WATCHER_COUNT
) -> list[Candidate]:
    """Returns the hosts that should watch, spread over the zones."""
    ordered = sorted(
        candidates, key=lambda each: (zlib.crc32(each.name.encode()), each.name)
    )
    elected: list[Candidate] = []
    while len(elected) < min(count, len(ordered)):
        zones: set[str] = set()
        for candidate in ordered:
            if len(elected) == count:
                break
            if candidate not in elected and candidate.zone not in zones:
                elected.append(candidate)
                zones.add(candidate.zone)
    return elected


def should_watch(
    own: Candidate, others: Sequence[Candidate], count: int = WATCHER_COUNT
) -> bool:
    """Returns whether this host should watch the store.

    Args:
      own: This host.
      others: The other hosts that are alive and ready.
      count: The number of hosts that watch.
    """
    if own in elect_watchers([own, *others], count):
        return True
    return not any(each.reaches_store for each in others)
