"""Whether to try a sub-request again.

A retry is for what may be repeated, and for what certainly did not run.  It
costs a token of the service's retry budget and never starts after the
deadline.
"""

from eelgrasshall import errors
from eelgrasshall.coordination import budget as budgets

MAX_ATTEMPTS = 8


def find_objection(
    *,
    service: str,
    repeatable: bool,
    may_have_run: bool,
    attempts: int,
    left_s: float,
    budget: budgets.Budget,
) -> errors.Problem | None:
    """Returns why a sub-request must not be tried again.

    Args:
      service: Name of the service.
      repeatable: Whether the request may run more than once.
      may_have_run: Whether one of its attempts may have run.
      attempts: Attempts so far, hedges included.
      left_s: Seconds until its deadline.
      budget: The service's retry budget; a token is taken if nothing else
        speaks against the retry.

    Returns:
      The objection, or None if it shall be tried again.
    """
    where = f"services.{service}"
    if may_have_run and not repeatable:
        return errors.Problem(
            errors.ProblemKind.BACKEND_FAILED,
            where,
            "The backend server failed and the request may have run.",
            "Look up its effect before asking again.",
        )
    if left_s <= 0:
        return errors.Problem(
            errors.ProblemKind.DEADLINE_EXCEEDED,
            where,
            "The deadline passed.",
            "Ask again with a longer deadline.",
        )
    if attempts >= MAX_ATTEMPTS or not budget.take():
        return errors.Problem(
            errors.ProblemKind.BACKEND_FAILED,
            where,
            "Its backend servers fail, and no retry is left.",
            "Ask again in a second; see the service's servers in the dump.",
        )
    return None
