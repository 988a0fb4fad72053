"""Which backend server an attempt goes to.

Answers the load pattern of short pauses and slow or failing replicas behind a
wide search: the expected time of each candidate is worked out from what this
host has seen, and an attempt that is overdue counts as a pause that goes on.
Some chance keeps the hosts from choosing the same replica at the same moment.
"""

from collections.abc import Sequence
import random as random_module

from eelgrasshall.gateway import upstream

# Round trip to another zone and the price of its bytes, as time.  With 15 ms
# 15 to 40% fewer bytes cross than with 3, and a hundredth of the credit is
# lost on grown days; this is between.
OTHER_ZONE_S = 0.010
# Failures cost about this many usual latencies.
ERROR_COST = 12.0
# A refusal costs about this many usual latencies while extra attempts are
# plenty, and so many more when none are left to try elsewhere.
SHED_COST = 2.0
SCARCE_COST = 20.0
# An attempt this many usual latencies old is overdue.
OVERDUE_FACTOR = 2.5
# What an overdue attempt adds, in usual latencies.
OVERDUE_COST = 6.0
# Greatest random change of an expected time, as a share.
CHANCE = 0.15
# How much one attempt of this host in flight weighs against the slots: other
# hosts, which it cannot see, load the server about as much.
IN_FLIGHT_WEIGHT = 2.0


def estimate_s(
    backend: upstream.Backend,
    *,
    expected_s: float,
    zone: str,
    now: float,
    scarcity: float,
) -> float:
    """Returns the expected time of an attempt at a backend server, seconds.

    Args:
      backend: The server.
      expected_s: Usual latency of such a request.
      zone: The availability zone of this host.
      now: Monotonic time.
      scarcity: Used share of the service's extra attempts, from 0 to 1.
    """
    server = backend.server
    load = len(backend.pending) * IN_FLIGHT_WEIGHT / max(server.slots, 1)
    time_s = expected_s * backend.latency_ratio * (1.0 + load)
    if server.zone != zone:
        time_s += OTHER_ZONE_S
    time_s += backend.error_rate(now) * ERROR_COST * expected_s
    time_s += (
        backend.shed_rate(now)
        * (SHED_COST + SCARCE_COST * scarcity)
        * expected_s
    )
    age_s = now - backend.oldest_start_s()
    if age_s > OVERDUE_FACTOR * expected_s * max(backend.latency_ratio, 1.0):
        time_s += OVERDUE_COST * expected_s
    return time_s


def choose(
    candidates: Sequence[upstream.Backend],
    *,
    expected_s: float,
    zone: str,
    now: float,
    scarcity: float,
    random: random_module.Random,
) -> upstream.Backend | None:
    """Returns the candidate that should answer first, or None."""
    best = None
    least_s = 0.0
    for backend in candidates:
        time_s = estimate_s(
            backend,
            expected_s=expected_s,
            zone=zone,
            now=now,
            scarcity=scarcity,
        )
        time_s *= 1.0 + CHANCE * random.random()
        if best is None or time_s < least_s:
            best, least_s = backend, time_s
    return best
