"""Chooses the backend server of an attempt by expected response time.

The expected time of each candidate follows from what this host has observed:
latency, failures, refusals and attempts in flight.  An attempt that is overdue
is taken as a sign that its server is paused at the moment.  Random jitter keeps
the hosts from choosing the same replica at the same time.

Traffic between availability zones costs money, and an answer earns the same at
any time within its objective.  A host that keeps to its zone therefore chooses
among the servers of its zone whose response is expected well within the time to
spare, and among all servers if there is none.
"""

from collections.abc import Sequence
import random as random_module

from eelgrasshall.gateway import upstream

# Cost of another zone: the round trip, and the price of the bytes expressed as
# time.  A higher value saves traffic between zones, but sends more attempts to
# slower servers and makes more answers late.
CROSS_ZONE_COST_S = 0.010
# A response is expected well in time if the time to spare is this many times
# the expected time; the rest covers a hedge and its response.
SPARE_FACTOR = 4.0
# Most time to spare that counts, in expected latencies.  A server for which it
# is too short is overloaded or impaired, however long callers would wait.
MAX_SPARE_LATENCIES = 12.0
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
    now: float,
    budget_used: float,
) -> float:
    """Returns the expected time of an attempt, costs included, in seconds.

    The cost of another availability zone is not included.

    Args:
      backend: The server.
      expected_latency_s: Usual latency of such a request, seconds.
      now: Monotonic time.
      budget_used: Used share of the service's extra-attempt budget, from 0 to
        1.
    """
    time_s = expected_latency_s * backend.latency_ratio
    time_s *= 1.0 + estimate_load(backend)
    time_s += _estimate_failure_cost_s(
        backend, expected_latency_s, now, budget_used
    )
    age_s = now - backend.get_oldest_start_s()
    if age_s > OVERDUE_FACTOR * expected_latency_s * max(
        backend.latency_ratio, 1.0
    ):
        time_s += OVERDUE_COST * expected_latency_s
    return time_s


def estimate_load(backend: upstream.Backend) -> float:
    """Returns the load of a server, relative to its slots."""
    slots = max(backend.server.slots, 1)
    return len(backend.pending) * IN_FLIGHT_WEIGHT / slots


def _estimate_failure_cost_s(
    backend: upstream.Backend,
    expected_latency_s: float,
    now: float,
    budget_used: float,
) -> float:
    """Returns the expected cost of failures and refusals, seconds."""
    return expected_latency_s * (
        backend.get_error_rate(now) * ERROR_COST
        + backend.get_refusal_rate(now)
        * (REFUSAL_COST + REFUSAL_BUDGET_COST * budget_used)
    )


def is_expected_in_time(
    backend: upstream.Backend,
    *,
    expected_latency_s: float,
    spare_s: float,
    now: float,
    budget_used: float,
) -> bool:
    """Returns whether a response is expected well within the time to spare.

    The more attempts of this host are in flight at the server, the later a
    response is expected, so that what the server cannot bear goes elsewhere,
    and no more than that.

    Args:
      backend: The server.
      expected_latency_s: Usual latency of such a request, seconds.
      spare_s: Time until a response is late, seconds.
      now: Monotonic time.
      budget_used: Used share of the service's extra-attempt budget, from 0 to
        1.
    """
    oldest = backend.get_oldest()
    ratio = backend.get_usual_ratio(now)
    if oldest is not None and (
        now - oldest.started_s
        > OVERDUE_FACTOR * oldest.expected_latency_s * max(ratio, 1.0)
    ):
        return False
    time_s = expected_latency_s * ratio * (1.0 + estimate_load(backend))
    time_s += _estimate_failure_cost_s(
        backend, expected_latency_s, now, budget_used
    )
    usable_s = min(spare_s, MAX_SPARE_LATENCIES * expected_latency_s)
    return SPARE_FACTOR * time_s <= usable_s


def choose_backend(
    candidates: Sequence[upstream.Backend],
    *,
    expected_latency_s: float,
    zone: str,
    now: float,
    budget_used: float,
    random: random_module.Random,
    spare_s: float | None = None,
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
      spare_s: Time until a response is late, seconds, if it is to be spent on
        staying in the zone; None if another zone has a fixed cost.
    """
    if spare_s is not None:
        candidates = (
            list_in_time(
                candidates,
                expected_latency_s=expected_latency_s,
                zone=zone,
                now=now,
                budget_used=budget_used,
                spare_s=spare_s,
            )
            or candidates
        )
    cross_zone_cost_s = CROSS_ZONE_COST_S if spare_s is None else 0.0
    best = None
    least_s = 0.0
    for backend in candidates:
        time_s = estimate_time_s(
            backend,
            expected_latency_s=expected_latency_s,
            now=now,
            budget_used=budget_used,
        )
        if backend.server.zone != zone:
            time_s += cross_zone_cost_s
        time_s *= 1.0 + JITTER * random.random()
        if best is None or time_s < least_s:
            best, least_s = backend, time_s
    return best


def list_in_time(
    candidates: Sequence[upstream.Backend],
    *,
    expected_latency_s: float,
    zone: str,
    now: float,
    budget_used: float,
    spare_s: float,
) -> list[upstream.Backend]:
    """Returns the servers of the zone that are expected well in time."""
    return [
        backend
        for backend in candidates
        if backend.server.zone == zone
        and is_expected_in_time(
            backend,
            expected_latency_s=expected_latency_s,
            spare_s=spare_s,
            now=now,
            budget_used=budget_used,
        )
    ]
