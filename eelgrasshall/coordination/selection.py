"""Server selection and capacity estimates for the slot queue.

Pure functions over the records of a service's backend servers.  The queue calls
them whenever a slot is released or an attempt arrives.
"""

from collections.abc import Sequence
import random as random_module
from typing import NamedTuple

from eelgrasshall import errors
from eelgrasshall.coordination import histogram as histograms
from eelgrasshall.protocol import messages
from eelgrasshall.state import directory as directories

# Interval at which a cold server is preferred even to warm servers with more
# free slots, since it warms up only by serving requests.
COLD_SEND_INTERVAL_S = 0.05
# Ratio of mean to median service time, for estimates of the wait.
MEAN_TO_MEDIAN_RATIO = 1.4
# Bounds of the suggested retry delay.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


class SlotRequest(NamedTuple):
    """A request of one attempt for a slot.

    Attributes:
      attempt_id: ID of the attempt.
      fingerprint: Fingerprint of its request.
      admitted_s: Monotonic time at which its query was admitted; the oldest
        query is served first.
      deadline_s: Monotonic time of its query's deadline.
      snapshot: The pinned snapshot, if any.
      repeatable: Whether its request may run more than once, so that it may be
        sent to a server that is likely to fail.
      hedge: Whether it is a hedge of an attempt in flight.
      isolated: Whether nothing else may be in flight on its server.
      excluded: Names of servers to which it must not be sent.
      avoided: Names of servers to which it is sent only if no other is
        available.
    """

    attempt_id: str
    fingerprint: str
    admitted_s: float
    deadline_s: float
    snapshot: messages.Snapshot | None = None
    repeatable: bool = True
    hedge: bool = False
    isolated: bool = False
    excluded: frozenset[str] = frozenset()
    avoided: frozenset[str] = frozenset()


class ServiceCapacity(NamedTuple):
    """The capacity of a service's servers at one moment.

    Attributes:
      service: Name of the service.
      now: Monotonic time, in seconds.
      in_service: Records of the servers that may get new work.
      max_in_flight: Number of attempts that they may run concurrently.
      free_slots: Number of attempts that may be sent now.
      next_available_s: Earliest monotonic time at which one of the servers may
        be used, if none may be used now.
      median_latency_s: Median latency of the service.
      p90_latency_s: 90th percentile of the service's latency.
    """

    service: str
    now: float
    in_service: tuple[directories.ServerRecord, ...]
    max_in_flight: int
    free_slots: int
    next_available_s: float
    median_latency_s: float
    p90_latency_s: float


def count_capacity(
    record: directories.ServerRecord, *, now: float, overlap_until_s: float
) -> int:
    """Returns how many attempts a server may run concurrently.

    Args:
      record: The record of the server.
      now: Monotonic time, in seconds.
      overlap_until_s: Monotonic time until which another host may still believe
        that it owns the service.
    """
    if not record.in_service or now < record.backoff_until_s:
        return 0
    slots = record.server.slots
    overlapping = now < overlap_until_s
    if record.cold:
        return 0 if overlapping else min(record.allowance, slots)
    return max(1, slots // 2) if overlapping else slots


def count_free_slots(
    record: directories.ServerRecord, *, now: float, overlap_until_s: float
) -> int:
    """Returns how many more attempts may be sent to a server now."""
    if record.reserved:
        return 0
    capacity = count_capacity(record, now=now, overlap_until_s=overlap_until_s)
    return max(0, capacity - len(record.in_flight))


def is_eligible(record: directories.ServerRecord, request: SlotRequest) -> bool:
    """Returns whether an attempt may be sent to a server at all."""
    if record.name in request.excluded or not record.in_service:
        return False
    if request.hedge and record.cold:
        return False
    return record.may_have_snapshot(request.snapshot)


def choose_server(
    records: Sequence[directories.ServerRecord],
    request: SlotRequest,
    *,
    free: dict[str, int],
    now: float,
    random: random_module.Random,
) -> directories.ServerRecord | None:
    """Returns the best server with a free slot for an attempt, or None."""
    candidates = [
        r for r in records if free[r.name] > 0 and is_eligible(r, request)
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda record: (
            record.name in request.avoided,
            _rank_coldness(record, request, now),
            -free[record.name],
            random.random(),
        ),
    )


def compute_capacity(
    service: str,
    records: Sequence[directories.ServerRecord],
    *,
    now: float,
    overlap_until_s: float,
    handover_until_s: float,
    latencies: histograms.Histogram,
) -> ServiceCapacity:
    """Computes the current capacity of a service.

    Args:
      service: Name of the service.
      records: Records of its servers.
      now: Monotonic time, in seconds.
      overlap_until_s: Monotonic time until which another host may still believe
        that it owns the service.
      handover_until_s: Monotonic time until which a handover from that host is
        expected, which would end the overlap early.
      latencies: Latencies of all servers of the service.
    """
    in_service = tuple(record for record in records if record.in_service)
    usable_from_s = (
        min(handover_until_s, overlap_until_s)
        if now < handover_until_s
        else overlap_until_s
    )
    next_available_s = min(
        (
            max(record.backoff_until_s, usable_from_s if record.cold else now)
            for record in in_service
        ),
        default=now,
    )
    return ServiceCapacity(
        service=service,
        now=now,
        in_service=in_service,
        max_in_flight=sum(
            count_capacity(record, now=now, overlap_until_s=overlap_until_s)
            for record in in_service
        ),
        free_slots=sum(
            count_free_slots(record, now=now, overlap_until_s=overlap_until_s)
            for record in in_service
        ),
        next_available_s=next_available_s,
        median_latency_s=latencies.percentile(0.5),
        p90_latency_s=latencies.percentile(0.9),
    )


def find_rejection(
    capacity: ServiceCapacity, request: SlotRequest, *, ahead: int
) -> errors.Problem | None:
    """Returns why an attempt cannot be served in time, or None if it can.

    Args:
      capacity: The current capacity of the service.
      request: The slot request of the attempt.
      ahead: Number of attempts before it in the queue.
    """
    if not capacity.in_service:
        return _make_problem(
            errors.ProblemKind.NO_BACKEND_SERVER,
            capacity.service,
            "None of the backend servers is in service.",
            "Return a zone to service or declare more backend servers.",
        )
    if not any(is_eligible(record, request) for record in capacity.in_service):
        return _make_problem(
            errors.ProblemKind.SNAPSHOT_UNAVAILABLE,
            capacity.service,
            "No available backend server holds the pinned snapshot.",
            "Restart the query at a newer snapshot.",
        )
    wait_s = _estimate_wait_s(capacity, ahead)
    # If the attempt has to wait, a high percentile of the latency is used: with
    # the median, half of the attempts accepted would miss their deadline.
    latency_s = (
        capacity.p90_latency_s if wait_s > 0 else capacity.median_latency_s
    )
    if capacity.now + wait_s + latency_s <= request.deadline_s:
        return None
    retry_after_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return _make_problem(
        errors.ProblemKind.OVERLOADED,
        capacity.service,
        f"The expected wait of {wait_s:.2f} s for a backend server would miss "
        "the deadline.",
        f"Retry in {retry_after_s:.1f} s or set a longer deadline.",
    )


def _estimate_wait_s(capacity: ServiceCapacity, ahead: int) -> float:
    """Estimates the wait for a slot behind `ahead` other attempts."""
    if capacity.max_in_flight == 0:
        return max(0.0, capacity.next_available_s - capacity.now)
    if ahead < capacity.free_slots:
        return 0.0
    mean_s = capacity.median_latency_s * MEAN_TO_MEDIAN_RATIO
    return mean_s * (1 + ahead - capacity.free_slots) / capacity.max_in_flight


def _rank_coldness(
    record: directories.ServerRecord, request: SlotRequest, now: float
) -> int:
    """Ranks a server: cold ones last, except when one is due for a request."""
    if not record.cold:
        return 1
    due = now - record.sent_s >= COLD_SEND_INTERVAL_S
    return 0 if due and request.repeatable else 2


def _make_problem(
    kind: errors.ProblemKind, service: str, what: str, remedy: str
) -> errors.Problem:
    """Returns a problem of a service."""
    return errors.Problem(
        kind=kind, where=f"services.{service}", what=what, remedy=remedy
    )
