"""Merges the shards' responses to a search into one answer.

Each response body holds records of a fixed size in any order.  The answer
holds the greatest records of all bodies in descending byte order.  Bytes
after the last whole record of a body are ignored.
"""

from collections.abc import Iterable
import heapq
import math

RECORD_BYTES = 16
# Tolerance for rounding errors when shares are compared.
_EPSILON = 1e-9


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Returns the greatest records of all bodies in descending order.

    Args:
      bodies: The shards' response bodies.
      top: Greatest number of records to return.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top, records))


def count_required(shards: int, min_share: float) -> int:
    """Returns how many shards an answer must cover.

    Args:
      shards: Number of shards searched.
      min_share: Least share of the shards that an answer must cover.
    """
    return max(math.ceil(min_share * shards - _EPSILON), 1)


def meets_coverage(answered: int, shards: int, min_share: float) -> bool:
    """Returns whether enough shards are covered for a successful answer.

    Args:
      answered: Number of shards in the answer.
      shards: Number of shards searched.
      min_share: Least share of the shards that an answer must cover.
    """
    return answered >= count_required(shards, min_share)
