"""Chooses the backend server of an attempt by expected response time.

The expected time of each candidate follows from what this host has observed:
latency, failures, refusals and attempts in flight.  An attempt that is overdue
is taken as a sign that its server is paused at the moment.  Random jitter keeps
the hosts from choosing the same replica at the same time.
"""

from collections.abc import Sequence
import random as random_module

from eelgrasshall.gateway import upstream

# Cost of another zone: the round trip, and the price of the bytes expressed as
# time.  A higher value saves traffic between zones, but sends more attempts to
# slower servers and makes more answers late.
CROSS_ZONE_COST_S = 0.010
# Cost of a certain failure, in expected latencies.
ERROR_COST = 12.0
# Cost of a certain refusal, in expected latencies: the base, and what a used-up
# budget of extra attempts adds, since none is left to try another server.
REFUSAL_COST = 2.0
REFUSAL_BUDGET_COST = 20.0
# An attempt that has taken this many expected latencies is overdue.
OVERDUE_FACTOR = 2.5
# Cost of an overdue attempt, in expected latencies.
OVERDUE_COST = 6.0
# Largest random increase of an estimate, as a share of it.
JITTER = 0.15
# Weight of an attempt in flight relative to the server's slots.  This host sees
# only its own attempts; others load the server by about as much.
IN_FLIGHT_WEIGHT = 2.0


def estimate_time_s(
    backend: upstream.Backend,
    *,
    expected_latency_s: float,
    zone: str,
    now: float,
    budget_used: float,
) -> float:
    """Returns the expected time of an attempt, costs included, in seconds.

    Args:
      backend: The server.
      expected_latency_s: Usual latency of such a request, seconds.
      zone: The availability zone of this host.
      now: Monotonic time.
      budget_used: Used share of the service's extra-attempt budget, from 0 to
        1.
    """
    server = backend.server
    load = len(backend.pending) * IN_FLIGHT_WEIGHT / max(server.slots, 1)
    time_s = expected_latency_s * backend.latency_ratio * (1.0 + load)
    if server.zone != zone:
        time_s += CROSS_ZONE_COST_S
    time_s += backend.get_error_rate(now) * ERROR_COST * expected_latency_s
    time_s += (
        backend.get_refusal_rate(now)
        * (REFUSAL_COST + REFUSAL_BUDGET_COST * budget_used)
        * expected_latency_s
    )
    age_s = now - backend.get_oldest_start_s()
    if age_s > OVERDUE_FACTOR * expected_latency_s * max(
        backend.latency_ratio, 1.0
    ):
        time_s += OVERDUE_COST * expected_latency_s
    return time_s


def choose_backend(
    candidates: Sequence[upstream.Backend],
    *,
    expected_latency_s: float,
    zone: str,
    now: float,
    budget_used: float,
    random: random_module.Random,
) -> upstream.Backend | None:
    """Returns the candidate with the least expected time, or None.

    Args:
      candidates: The servers to choose from.
      expected_latency_s: Usual latency of such a request, seconds.
      zone: The availability zone of this host.
      now: Monotonic time.
      budget_used: Used share of the service's extra-attempt budget, from 0 to
        1.
      random: Random number generator.
    """
    best = None
    least_s = 0.0
    for backend in candidates:
        time_s = estimate_time_s(
            backend,
            expected_latency_s=expected_latency_s,
            zone=zone,
            now=now,
            budget_used=budget_used,
        )
        time_s *= 1.0 + JITTER * random.random()
        if best is None or time_s < least_s:
            best, least_s = backend, time_s
    return best
