"""What a query will touch, settled before anything is sent.

A plan holds the kind as one configuration version declares it, and one
deadline, for the query's whole life, so that a change of configuration cannot
change a running query.
"""

import hashlib
from typing import NamedTuple

from eelgrasshall.protocol import caller
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configuration_module

# The answer is made up this long before the deadline, so that it is sent and
# read within it; a short deadline gives up a share instead.
ANSWER_MARGIN_S = 0.010
_MAX_ANSWER_MARGIN_SHARE = 0.1
# Owners give up this much earlier, so that their reasons arrive in time.
RESULT_MARGIN_S = 0.008
_MAX_RESULT_MARGIN_SHARE = 0.1


class Plan(NamedTuple):
    """The frame of one query.

    Attributes:
      query_id: Names the query, unique over all hosts and time.
      kind: The kind of request, as configured when the query came.
      body: The query as JSON bytes.
      fingerprint: Hash of kind and body.
      admitted_at: Monotonic time of admission in seconds.
      answer_at: Monotonic time at which the answer is made up.
      results_at: Monotonic time at which owners give up.
    """

    query_id: str
    kind: configuration_module.Kind
    body: bytes
    fingerprint: str
    admitted_at: float
    answer_at: float
    results_at: float


def make_plan(
    *,
    request: caller.QueryRequest,
    query_id: str,
    kind: configuration_module.Kind,
    now: float,
) -> Plan:
    """Returns the plan of a request that came now.

    Args:
      request: The request.
      query_id: Names the query.
      kind: Its kind.
      now: Monotonic time in seconds.
    """
    budget_s = choose_budget_s(request, kind)
    margin_s = min(ANSWER_MARGIN_S, budget_s * _MAX_ANSWER_MARGIN_SHARE)
    answer_at = now + budget_s - margin_s
    margin_s = min(RESULT_MARGIN_S, budget_s * _MAX_RESULT_MARGIN_SHARE)
    return Plan(
        query_id=query_id,
        kind=kind,
        body=request.body,
        fingerprint=compute_fingerprint(kind.name, request.body),
        admitted_at=now,
        answer_at=answer_at,
        results_at=answer_at - margin_s,
    )


def choose_budget_s(
    request: caller.QueryRequest, kind: configuration_module.Kind
) -> float:
    """Returns the seconds that a request may take; the kind sets the most."""
    deadline_ms = kind.deadline_ms
    if request.deadline_ms is not None:
        deadline_ms = min(deadline_ms, request.deadline_ms)
    return deadline_ms / 1000


def compute_fingerprint(kind: str, body: bytes) -> str:
    """Returns the hash by which equal requests are recognised."""
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
    """Returns one service's share of a query, as sent now.

    Args:
      plan: The query's plan.
      sub_id: Names the sub-request.
      service: The service to ask.
      snapshot: The snapshot to pin, or None.
      now: Monotonic time in seconds.
    """
    return messages.SubRequest(
        sub_id=sub_id,
        query_id=plan.query_id,
        kind=plan.kind.name,
        service=service,
        body=plan.body,
        snapshot=snapshot,
        budget_s=max(0.0, plan.results_at - now),
        age_s=max(0.0, now - plan.admitted_at),
        repeatable=plan.kind.repeatable,
        fingerprint=plan.fingerprint,
    )
