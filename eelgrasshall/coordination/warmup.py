"""Cold start of backend servers: detection, ramp-up and backoff.

A backend server in cold start fails under full load, and the signs of a
restart are few: a lost connection, a new incarnation or a jump in latency.  A
server is taken to be cold on any of them.

A cold server gets one attempt at a time.  A series of successes at the
service's typical latency raises its concurrency allowance by one, and any
failure resets it.  Once the allowance equals the server's slots and one more
series has succeeded, the server is warm.
"""

import statistics

from eelgrasshall.state import directory

# Successes needed to raise the allowance by one.
SUCCESSES_PER_STEP = 8
# The same without a warm server to compare latencies with, when a success is
# weaker evidence.
SUCCESSES_WITHOUT_BASELINE = 24
# Without such a comparison, a server counts as still warming up if the median
# of its later latencies is below this share of the median of its earlier ones.
STILL_WARMING_RATIO = 0.7
# A success counts if it took at most this multiple of the typical latency.
WARM_LATENCY_FACTOR = 3.0

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


def mark_cold(record: directory.ServerRecord) -> bool:
    """Marks a backend server as cold; returns whether it was warm before."""
    was_warm = not record.cold
    record.cold = True
    record.allowance = 1
    record.successes = 0
    record.uncompared_latencies_s.clear()
    record.cold_epoch += 1
    record.reported_warm_s = None
    return was_warm


def record_success(
    record: directory.ServerRecord, latency_s: float, typical_s: float
) -> bool:
    """Records a success at a cold backend server.

    Args:
      record: The record of the server.
      latency_s: Latency of the attempt, in seconds.
      typical_s: Typical latency of the service's warm servers, in seconds; 0.0
        if unknown.

    Returns:
      Whether the server has just become warm.
    """
    if typical_s and latency_s > WARM_LATENCY_FACTOR * typical_s:
        return False
    record.successes += 1
    if not typical_s:
        record.uncompared_latencies_s.append(latency_s)
    if record.successes < (
        SUCCESSES_PER_STEP if typical_s else SUCCESSES_WITHOUT_BASELINE
    ):
        return False
    still_warming = _is_speeding_up(record.uncompared_latencies_s)
    record.successes = 0
    record.uncompared_latencies_s.clear()
    if still_warming:
        return False
    if record.allowance < record.server.slots:
        record.allowance += 1
        return False
    record.cold = False
    return True


def start_backoff(
    record: directory.ServerRecord, now: float, jitter: float
) -> None:
    """Starts exponential backoff for a backend server that is unreachable.

    Args:
      record: The record of the server.
      now: Monotonic time, in seconds.
      jitter: A random number from 0 to 1.
    """
    backoff_s = min(
        MIN_BACKOFF_S * 2**record.consecutive_failures, MAX_BACKOFF_S
    )
    record.consecutive_failures = min(record.consecutive_failures + 1, 16)
    record.backoff_until_s = now + backoff_s * (0.5 + jitter / 2)


def _is_speeding_up(latencies_s: list[float]) -> bool:
    """Returns whether the later latencies are much lower than the earlier."""
    half = len(latencies_s) // 2
    if half == 0:
        return False
    earlier = statistics.median(latencies_s[:half])
    later = statistics.median(latencies_s[half:])
    return later < STILL_WARMING_RATIO * earlier
