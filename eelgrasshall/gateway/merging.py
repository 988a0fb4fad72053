"""The answer of a search over all shards, from the parts that came.

Each part is records of a fixed size in no order; the answer is the greatest
records of all parts, greatest first.  A remainder is no record.
"""

from collections.abc import Iterable
import heapq

RECORD_BYTES = 16
# Guards the comparison of shares against rounding.
_EPSILON = 1e-9


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Returns the greatest records of all parts, greatest first."""
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top, records))


def is_enough(included: int, shards: int, least_share: float) -> bool:
    """Returns whether an answer with so many parts is a success."""
    return included > 0 and included >= least_share * shards - _EPSILON
