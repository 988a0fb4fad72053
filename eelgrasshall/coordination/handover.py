"""What the last owner of a service tells the next one.

A new owner that knows nothing takes every backend server to be cold and does
not hedge until it has seen enough latencies.  The word of handover therefore
carries both: which servers are warm and the latencies of the service.
"""

import json
from typing import NamedTuple

from eelgrasshall.coordination import histogram as histograms


class Handover(NamedTuple):
    """The state of a service at the end of an ownership.

    Attributes:
      warm: Names of its warm backend servers.
      latencies: Counts by bucket, of the service's warm servers.
    """

    warm: tuple[str, ...]
    latencies: tuple[histograms.BucketCount, ...]


def encode_handover(handover: Handover) -> bytes:
    """Returns a handover as JSON."""
    return json.dumps([handover.warm, handover.latencies]).encode()


def decode_handover(body: bytes) -> Handover | None:
    """Reads a handover; gives None for anything else."""
    try:
        warm, latencies = json.loads(body)
        counts = tuple(
            histograms.BucketCount(int(bucket), int(count))
            for bucket, count in latencies
        )
        return Handover(tuple(str(name) for name in warm), counts)
    except (ValueError, TypeError):
        return None
