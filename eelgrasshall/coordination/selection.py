"""Which backend server an attempt goes to, and when it can be served.

Pure functions over the records of a service's backend servers.  The queue calls
them whenever a slot frees or an attempt arrives.
"""

from collections.abc import Sequence
import random as random_module
from typing import NamedTuple

from eelgrasshall import errors
from eelgrasshall.coordination import histogram as histograms
from eelgrasshall.protocol import messages
from eelgrasshall.state import directory as directories

# A cold server gets a request this often even if a warm one is freer, since
# it can prove itself only by serving.
COLD_PACE_S = 0.05
# Mean service time over the median, for estimates of the wait.
MEAN_OVER_MEDIAN = 1.4
# What Retry-After may be at least and at most.
RETRY_SHORTEST_S = 0.1
RETRY_LONGEST_S = 5.0


class SlotRequest(NamedTuple):
    """What one attempt asks of the queue.

    Attributes:
      attempt_id: Names the attempt.
      fingerprint: Fingerprint of its request.
      admitted_s: When its query was admitted; the oldest goes first.
      deadline_s: When its query ends.
      snapshot: The pinned snapshot, if any.
      repeatable: Whether it may be tried on a server that may fail.
      hedge: Whether it doubles an attempt in flight.
      alone: Whether nothing else may be in flight beside it.
      excluded: Servers that it must not go to.
      avoided: Servers that it goes to only if no other is usable.
    """

    attempt_id: str
    fingerprint: str
    admitted_s: float
    deadline_s: float
    snapshot: messages.Snapshot | None = None
    repeatable: bool = True
    hedge: bool = False
    alone: bool = False
    excluded: frozenset[str] = frozenset()
    avoided: frozenset[str] = frozenset()


class Outlook(NamedTuple):
    """What the servers of a service can do at one moment.

    Attributes:
      service: Name of the service.
      now: Reading of the monotonic clock, in seconds.
      in_service: Records of the servers that may get new work at all.
      capacity: Attempts that they may run at once now.
      free: How many of those are not in flight.
      opens_s: When the first of them may be tried, if none may now.
      typical_s: Median latency of the service.
      slow_s: Latency that one in ten exceeds.
    """

    service: str
    now: float
    in_service: tuple[directories.ServerRecord, ...]
    capacity: int
    free: int
    opens_s: float
    typical_s: float
    slow_s: float


def count_capacity(
    record: directories.ServerRecord, *, now: float, settled_s: float
) -> int:
    """Returns how many attempts a server may run at once.

    Args:
      record: Its record.
      now: Reading of the monotonic clock, in seconds.
      settled_s: Until when another host may still believe that it owns the
        service.
    """
    if not record.in_service or now < record.backoff_until_s:
        return 0
    slots = record.server.slots
    settling = now < settled_s
    if record.cold:
        return 0 if settling else min(record.allowance, slots)
    return max(1, slots // 2) if settling else slots


def count_free(
    record: directories.ServerRecord, *, now: float, settled_s: float
) -> int:
    """Returns how many attempts may be sent to a server now."""
    if record.reserved:
        return 0
    capacity = count_capacity(record, now=now, settled_s=settled_s)
    return max(0, capacity - len(record.in_flight))


def suits(record: directories.ServerRecord, ask: SlotRequest) -> bool:
    """Returns whether an attempt may go to a server at all."""
    if record.name in ask.excluded or not record.in_service:
        return False
    if ask.hedge and record.cold:
        return False
    return record.may_have_snapshot(ask.snapshot)


def find_freest(
    records: Sequence[directories.ServerRecord],
    ask: SlotRequest,
    *,
    free: dict[str, int],
    now: float,
    random: random_module.Random,
) -> directories.ServerRecord | None:
    """Returns the best server with a free slot for an attempt, if any."""
    candidates = [r for r in records if free[r.name] > 0 and suits(r, ask)]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda record: (
            record.name in ask.avoided,
            _rank_warmth(record, ask, now),
            -free[record.name],
            random.random(),
        ),
    )


def survey(
    service: str,
    records: Sequence[directories.ServerRecord],
    *,
    now: float,
    settled_s: float,
    handover_s: float,
    seen: histograms.Histogram,
) -> Outlook:
    """Sums up what the servers of a service can do now.

    Args:
      service: Name of the service.
      records: Records of its servers.
      now: Reading of the monotonic clock, in seconds.
      settled_s: Until when another host may still believe that it owns the
        service.
      handover_s: Until when the word of that host may still end this early.
      seen: Latencies seen of the service.
    """
    in_service = tuple(record for record in records if record.in_service)
    expected_s = min(handover_s, settled_s) if now < handover_s else settled_s
    opens_s = min(
        (
            max(record.backoff_until_s, expected_s if record.cold else now)
            for record in in_service
        ),
        default=now,
    )
    return Outlook(
        service=service,
        now=now,
        in_service=in_service,
        capacity=sum(
            count_capacity(record, now=now, settled_s=settled_s)
            for record in in_service
        ),
        free=sum(
            count_free(record, now=now, settled_s=settled_s)
            for record in in_service
        ),
        opens_s=opens_s,
        typical_s=seen.percentile(0.5),
        slow_s=seen.percentile(0.9),
    )


def find_refusal(
    outlook: Outlook, ask: SlotRequest, *, ahead: int
) -> errors.Problem | None:
    """Returns why an attempt cannot be served in time; None if it can.

    Args:
      outlook: What the servers can do.
      ask: What the attempt asks.
      ahead: Attempts that go before it.
    """
    if not outlook.in_service:
        return _refuse(
            errors.ProblemKind.NO_BACKEND_SERVER,
            outlook.service,
            "No backend server of the service is in service.",
            "Return a zone to service or declare backend servers.",
        )
    if not any(suits(record, ask) for record in outlook.in_service):
        return _refuse(
            errors.ProblemKind.SNAPSHOT_UNAVAILABLE,
            outlook.service,
            "No usable backend server can serve the snapshot.",
            "Plan the query again at a newer snapshot.",
        )
    wait_s = _estimate_wait(outlook, ahead)
    # Once it has to wait, the estimate must leave room for its own latency,
    # or half of what is let in runs for nothing.
    run_s = outlook.slow_s if wait_s > 0 else outlook.typical_s
    if outlook.now + wait_s + run_s <= ask.deadline_s:
        return None
    again_s = min(max(wait_s, RETRY_SHORTEST_S), RETRY_LONGEST_S)
    return _refuse(
        errors.ProblemKind.OVERLOADED,
        outlook.service,
        f"Waiting about {wait_s:.2f} s for a backend server would miss the "
        "deadline.",
        f"Try again in {again_s:.1f} s or give a longer deadline.",
    )


def _estimate_wait(outlook: Outlook, ahead: int) -> float:
    """Estimates the seconds until a slot frees for the next in line."""
    if outlook.capacity == 0:
        return max(0.0, outlook.opens_s - outlook.now)
    if ahead < outlook.free:
        return 0.0
    mean_s = outlook.typical_s * MEAN_OVER_MEDIAN
    return mean_s * (1 + ahead - outlook.free) / outlook.capacity


def _rank_warmth(
    record: directories.ServerRecord, ask: SlotRequest, now: float
) -> int:
    """Ranks a server: a cold one now and then first, else last."""
    if not record.cold:
        return 1
    due = now - record.sent_s >= COLD_PACE_S
    return 0 if due and ask.repeatable else 2


def _refuse(
    kind: errors.ProblemKind, service: str, what: str, remedy: str
) -> errors.Problem:
    """Returns a problem of the queue of a service."""
    return errors.Problem(
        kind=kind, where=f"services.{service}", what=what, remedy=remedy
    )
