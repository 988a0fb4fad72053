"""Query plans, fixed before anything is sent.

A plan holds the kind as declared by one configuration version, and one
deadline, for the lifetime of the query.  A change of the configuration thus
does not affect running queries.
"""

import hashlib
from typing import NamedTuple

from eelgrasshall.protocol import caller
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configuration_module

# Time before the deadline at which the answer is assembled, so that it reaches
# the caller in time.  For short deadlines, the margin is limited to a share.
ANSWER_MARGIN_S = 0.010
_MAX_ANSWER_MARGIN_SHARE = 0.1
# Time before that at which owners give up, so that their errors arrive in time.
RESULT_MARGIN_S = 0.008
_MAX_RESULT_MARGIN_SHARE = 0.1


class Plan(NamedTuple):
    """The fixed parameters of one query.

    Attributes:
      query_id: ID of the query, unique across all hosts and over time.
      kind: The kind of request, as configured when the query arrived.
      body: The query as JSON bytes.
      fingerprint: Hash of kind and body.
      admitted_at: Monotonic time of admission, in seconds.
      answer_deadline_s: Monotonic time at which the answer is assembled.
      results_deadline_s: Monotonic time at which owners give up.
    """

    query_id: str
    kind: configuration_module.Kind
    body: bytes
    fingerprint: str
    admitted_at: float
    answer_deadline_s: float
    results_deadline_s: float


def make_plan(
    *,
    request: caller.QueryRequest,
    query_id: str,
    kind: configuration_module.Kind,
    now: float,
) -> Plan:
    """Returns the plan of a request that has just arrived.

    Args:
      request: The request.
      query_id: ID of the query.
      kind: The kind of request.
      now: Monotonic time, in seconds.
    """
    budget_s = compute_time_budget_s(request, kind)
    margin_s = min(ANSWER_MARGIN_S, budget_s * _MAX_ANSWER_MARGIN_SHARE)
    answer_deadline_s = now + budget_s - margin_s
    margin_s = min(RESULT_MARGIN_S, budget_s * _MAX_RESULT_MARGIN_SHARE)
    return Plan(
        query_id=query_id,
        kind=kind,
        body=request.body,
        fingerprint=compute_fingerprint(kind.name, request.body),
        admitted_at=now,
        answer_deadline_s=answer_deadline_s,
        results_deadline_s=answer_deadline_s - margin_s,
    )


def compute_time_budget_s(
    request: caller.QueryRequest, kind: configuration_module.Kind
) -> float:
    """Returns a request's time budget in seconds, capped by its kind."""
    deadline_ms = kind.deadline_ms
    if request.deadline_ms is not None:
        deadline_ms = min(deadline_ms, request.deadline_ms)
    return deadline_ms / 1000


def compute_fingerprint(kind: str, body: bytes) -> str:
    """Returns a hash that identifies equal requests."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(kind.encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()


def make_sub_request(
    plan: Plan,
    *,
    sub_id: str,
    service: str,
    snapshot: messages.Snapshot | None,
    now: float,
) -> messages.SubRequest:
    """Returns the sub-request of a query to one service.

    Args:
      plan: The plan of the query.
      sub_id: ID of the sub-request.
      service: Name of the service.
      snapshot: The snapshot to pin, or None.
      now: Monotonic time at which it is sent, in seconds.
    """
    return messages.SubRequest(
        sub_id=sub_id,
        query_id=plan.query_id,
        kind=plan.kind.name,
        service=service,
        body=plan.body,
        snapshot=snapshot,
        budget_s=max(0.0, plan.results_deadline_s - now),
        age_s=max(0.0, now - plan.admitted_at),
        repeatable=plan.kind.repeatable,
        fingerprint=plan.fingerprint,
    )
