"""When a backend server is cold, and how much a cold one gets.

A backend server in cold start falls over under full load, and it gives little
warning: a restart shows as a lost connection, a new incarnation or a jump in
latency.  On any such sign it is cold at once.  Then it gets one attempt at a
time; each few successes that were as quick as the service usually is raise
the allowance by one, any failure starts over, and once a full set of slots
has proved itself the server is warm.
"""

import statistics

from eelgrasshall.state import directory

# Proven successes for each step of the allowance.
PROOFS_PER_STEP = 8
# With no warm server to compare with, a success proves less.
PROOFS_UNCOMPARED = 24
# Without a comparison, successes that are still getting quicker by this much
# show that the server is still warming.
STILL_WARMING_RATIO = 0.7
# A success proves warmth if it took at most this multiple of the usual time.
PROVEN_FACTOR = 3.0

BACKOFF_FIRST_S = 0.1
BACKOFF_LONGEST_S = 2.0


def turn_cold(record: directory.ServerRecord) -> bool:
    """Takes a backend server to be cold; gives whether it was warm before."""
    was_warm = not record.cold
    record.cold = True
    record.allowance = 1
    record.successes = 0
    record.uncompared_latencies_s.clear()
    record.cold_epoch += 1
    record.reported_warm_s = None
    return was_warm


def prove(
    record: directory.ServerRecord, latency_s: float, usual_s: float
) -> bool:
    """Counts a success at a cold backend server.

    Args:
      record: Its record.
      latency_s: How long the attempt took.
      usual_s: What a warm server of the service usually takes; 0.0 if
        that is not known.

    Returns:
      Whether the backend server has just become warm.
    """
    if usual_s and latency_s > PROVEN_FACTOR * usual_s:
        return False
    record.successes += 1
    if not usual_s:
        record.uncompared_latencies_s.append(latency_s)
    if record.successes < (PROOFS_PER_STEP if usual_s else PROOFS_UNCOMPARED):
        return False
    still_warming = _is_getting_quicker(record.uncompared_latencies_s)
    record.successes = 0
    record.uncompared_latencies_s.clear()
    if still_warming:
        return False
    if record.allowance < record.server.slots:
        record.allowance += 1
        return False
    record.cold = False
    return True


def back_off(record: directory.ServerRecord, now: float, draw: float) -> None:
    """Keeps a backend server that refuses from being tried for a while.

    Args:
      record: Its record.
      now: Reading of the monotonic clock, in seconds.
      draw: A random number from 0 to 1 for the jitter.
    """
    longest = min(
        BACKOFF_FIRST_S * 2**record.consecutive_failures, BACKOFF_LONGEST_S
    )
    record.consecutive_failures = min(record.consecutive_failures + 1, 16)
    record.backoff_until_s = now + longest * (0.5 + draw / 2)


def _is_getting_quicker(trials: list[float]) -> bool:
    """Returns whether the later ones of some latencies are much shorter."""
    half = len(trials) // 2
    if half == 0:
        return False
    earlier = statistics.median(trials[:half])
    later = statistics.median(trials[half:])
    return later < STILL_WARMING_RATIO * earlier
