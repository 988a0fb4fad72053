"""Retry policy of sub-requests.

A sub-request is retried if it is repeatable or certainly did not run.  Each
retry withdraws a token from the service's retry budget, and none starts after
the deadline.
"""

from eelgrasshall import errors
from eelgrasshall.coordination import budget as budgets

MAX_ATTEMPTS = 8


def find_retry_problem(
    *,
    service: str,
    repeatable: bool,
    may_have_run: bool,
    attempts: int,
    remaining_s: float,
    budget: budgets.ExtraAttemptBudget,
) -> errors.Problem | None:
    """Returns why a sub-request must not be retried.

    Args:
      service: Name of the service.
      repeatable: Whether the request may run more than once.
      may_have_run: Whether one of its attempts may have run.
      attempts: Number of attempts so far, hedges included.
      remaining_s: Seconds until its deadline.
      budget: The service's retry budget; a token is withdrawn only if all
        other conditions allow the retry.

    Returns:
      The problem, or None if the sub-request is to be retried.
    """
    where = f"services.{service}"
    if may_have_run and not repeatable:
        return errors.Problem(
            errors.ProblemKind.BACKEND_FAILED,
            where,
            "The backend server failed, and the request may have run.",
            "Check whether it took effect before sending it again.",
        )
    if remaining_s <= 0:
        return errors.Problem(
            errors.ProblemKind.DEADLINE_EXCEEDED,
            where,
            "The deadline passed.",
            "Retry with a longer deadline.",
        )
    if attempts >= MAX_ATTEMPTS or not budget.try_withdraw():
        return errors.Problem(
            errors.ProblemKind.BACKEND_FAILED,
            where,
            "The backend servers fail, and no retries are left.",
            "Retry in a second; the state dump shows the service's servers.",
        )
    return None
