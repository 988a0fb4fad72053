"""Which entry hosts listen to the platform's store for all of them.

Every call to the store is paid for and a waiting watch is one, so that a few
hosts watch and pass on what changes.  Each host works out for itself who
listens, from the hosts that it hears; one that hears nobody who reaches the
store listens by itself, so that a wrong view costs calls and nothing else.
"""

from collections.abc import Sequence
from typing import NamedTuple
import zlib

# Listeners in the fleet: two may be cut off at once without a gap.
LISTENERS = 3


class Candidate(NamedTuple):
    """A host that may listen.

    Attributes:
      name: Its name.
      zone: Its availability zone.
      reaches_store: Whether it says that the store answers it.
    """

    name: str
    zone: str
    reaches_store: bool


def choose_listeners(
    candidates: Sequence[Candidate], count: int = LISTENERS
) -> list[Candidate]:
    """Returns the hosts that should listen, spread over the zones."""
    ordered = sorted(
        candidates, key=lambda each: (zlib.crc32(each.name.encode()), each.name)
    )
    chosen: list[Candidate] = []
    while len(chosen) < min(count, len(ordered)):
        zones: set[str] = set()
        for candidate in ordered:
            if len(chosen) == count:
                break
            if candidate not in chosen and candidate.zone not in zones:
                chosen.append(candidate)
                zones.add(candidate.zone)
    return chosen


def should_listen(
    own: Candidate, others: Sequence[Candidate], count: int = LISTENERS
) -> bool:
    """Returns whether this host should listen.

    Args:
      own: This host.
      others: The other hosts that were heard a moment ago and are not leaving.
      count: Number of listeners.
    """
    if own in choose_listeners([own, *others], count):
        return True
    return not any(each.reaches_store for each in others)
