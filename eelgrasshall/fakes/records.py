"""The records that the fake backend servers hold.

A record is a pure function of its key, the snapshot and the query, so that
whoever reads an answer can compute what it must contain, for any key range
and whatever the shard map was.
"""

import zlib

from eelgrasshall.protocol import messages

KEY_STEP = 1024


def compute_records(
    key_range: messages.KeyRange, snapshot: messages.Snapshot, body: bytes
) -> list[list[int | str]]:
    """Returns the records of a key range as `[key, snapshot, value]`.

    Args:
      key_range: The keys to cover.
      snapshot: The snapshot that they come from.
      body: The caller's query as bytes.
    """
    text = snapshot.to_text()
    seed = zlib.crc32(body, zlib.crc32(text.encode()))
    first = -(-key_range.low // KEY_STEP) * KEY_STEP
    return [
        [key, text, zlib.crc32(key.to_bytes(4, "big"), seed)]
        for key in range(first, key_range.high, KEY_STEP)
    ]


def divide_keys(count: int) -> list[messages.KeyRange]:
    """Divides the key space evenly among a number of services."""
    bounds = [messages.KEY_SPACE * each // count for each in range(count + 1)]
    return [
        messages.KeyRange(low, high)
        for low, high in zip(bounds, bounds[1:], strict=False)
    ]
