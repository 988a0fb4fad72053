"""Election of the entry hosts that watch the platform's store for all.

Every call to the store is charged, and a waiting watch counts as a call, so
only a few hosts watch and pass changes on to the others.  Each host works out
for itself which hosts watch, from the hosts whose heartbeats it receives.
While a host hears of none that reaches the store, more hosts try, and the
longer that lasts the more of them: the watchers may be cut off, but if the
store is down, calls of the whole fleet are of no use.
"""

from collections.abc import Sequence
from typing import NamedTuple
import zlib

# Hosts in the fleet that watch: with three, two can be cut off at the same time
# without a gap.
WATCHER_COUNT = 3
# Hosts that try once none reaches the store: all hosts of a small fleet.
FALLBACK_WATCHER_COUNT = 9
# Interval after which twice as many hosts try: several calls of each host, and
# long enough for heartbeats to spread the news of one that succeeded.
FALLBACK_DOUBLING_S = 1.0
# With so many doublings, every host of a fleet of 9,000 tries.
MAX_DOUBLINGS = 10


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
    """Returns the hosts that should watch, spread over the zones.

    Hosts that reach the store come first, so that they keep watching until the
    others do.
    """
    ordered = sorted(
        candidates,
        key=lambda each: (
            not each.reaches_store,
            zlib.crc32(each.name.encode()),
            each.name,
        ),
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


def choose_fallback_count(unreached_s: float) -> int:
    """Returns how many hosts should try to watch while none reaches the store.

    Args:
      unreached_s: Time for which none has reached it, seconds.
    """
    doublings = min(int(unreached_s / FALLBACK_DOUBLING_S), MAX_DOUBLINGS)
    return FALLBACK_WATCHER_COUNT << doublings


def should_watch(
    own: Candidate, others: Sequence[Candidate], unreached_s: float = 0.0
) -> bool:
    """Returns whether this host should watch the store.

    Args:
      own: This host.
      others: The other hosts that are alive and ready.
      unreached_s: Time for which no host has reached the store, seconds;
        ignored if one does.
    """
    candidates = [own, *others]
    if any(each.reaches_store for each in candidates):
        count = WATCHER_COUNT
    else:
        count = choose_fallback_count(unreached_s)
    return own in elect_watchers(candidates, count)
