"""Records that the fake backend servers hold.

A record is a pure function of its key, the snapshot and the query, so that
a test can compute the expected records of an answer for any key range and
any shard map.
"""

import zlib

from eelgrasshall.protocol import messages

KEY_INTERVAL = 1024


def compute_records(
    key_range: messages.KeyRange, snapshot: messages.Snapshot, body: bytes
) -> list[list[int | str]]:
    """Returns the records of a key range as `[key, snapshot, value]`.

    Args:
      key_range: Keys to cover.
      snapshot: Snapshot of the records.
      body: The caller's query as bytes.
    """
    text = snapshot.to_text()
    seed = zlib.crc32(body, zlib.crc32(text.encode()))
    first_key = -(-key_range.low // KEY_INTERVAL) * KEY_INTERVAL
    return [
        [key, text, zlib.crc32(key.to_bytes(4, "big"), seed)]
        for key in range(first_key, key_range.high, KEY_INTERVAL)
    ]


def split_key_space(count: int) -> list[messages.KeyRange]:
    """Splits the key space into equal key ranges, one per service."""
    bounds = [messages.KEY_SPACE * each // count for each in range(count + 1)]
    return [
        messages.KeyRange(low, high)
        for low, high in zip(bounds, bounds[1:], strict=False)
    ]
