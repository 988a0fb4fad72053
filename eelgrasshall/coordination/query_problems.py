"""Problems with which the query path refuses or fails a caller's request."""

from eelgrasshall import errors
from eelgrasshall.protocol import caller
from eelgrasshall.state import configuration as configuration_module


def describe_expired_deadline(kind: str) -> errors.Problem:
    """Returns the problem of a request with no time left to send it."""
    return errors.Problem(
        errors.ProblemKind.DEADLINE_TOO_SHORT,
        kind,
        "The time for the request ran out before anything was sent.",
        "Allow a longer deadline.",
    )


def describe_missing_configuration() -> errors.Problem:
    """Returns the problem of a host without a configuration."""
    return errors.Problem(
        errors.ProblemKind.NO_CONFIGURATION,
        "host",
        "The host has not received a configuration yet.",
        "Retry after the time given, or use another address.",
    )


def describe_unknown_kind(
    name: str, configuration: configuration_module.Configuration
) -> errors.Problem:
    """Returns the problem of a kind that is not declared."""
    declared = ", ".join(kind.name for kind in configuration.kinds[:20])
    return errors.Problem(
        errors.ProblemKind.UNKNOWN_KIND,
        "kind",
        f"The kind {name!r} is not declared.",
        f"Use one of: {declared}.",
    )


def describe_oversized_query(
    kind: configuration_module.Kind,
) -> errors.Problem:
    """Returns the problem of a query larger than its kind allows."""
    return errors.Problem(
        errors.ProblemKind.REQUEST_TOO_LARGE,
        "query",
        f"The query is larger than {kind.max_body_bytes} bytes.",
        "Send a smaller query.",
    )


def describe_missing_ticket(kind: str) -> errors.Problem:
    """Returns the problem of a run-once request without a ticket or key."""
    return errors.Problem(
        errors.ProblemKind.TICKET_REQUIRED,
        "ticket",
        f"A request of kind {kind} must not be run twice and needs a ticket.",
        "Append a unique suffix to the ticket prefix and send the result as "
        "the ticket, or send an Idempotency-Key.",
    )


def describe_leaving_host(name: str) -> errors.Problem:
    """Returns the problem of a host that no longer accepts requests."""
    return errors.Problem(
        errors.ProblemKind.LEAVING,
        "host",
        f"The host {name} is leaving.",
        "Send the request to one of the addresses given, with a new ticket if "
        "it had one.",
    )


def describe_missing_hosts() -> errors.Problem:
    """Returns the problem of a fleet without a usable entry host."""
    return errors.Problem(
        errors.ProblemKind.LEAVING,
        "addresses",
        "No entry host is in service.",
        "Retry after the time given.",
    )


def describe_low_coverage(
    kind: configuration_module.Kind, total: caller.Coverage
) -> errors.Problem:
    """Returns the problem of a coverage below the minimum of the kind."""
    return errors.Problem(
        errors.ProblemKind.COVERAGE_TOO_LOW,
        kind.name,
        f"Only {total.key_share:.4f} of the keys are covered; the kind "
        f"requires {kind.coverage_floor:.4f}.",
        "Send the request again; the coverage lists the missing services.",
    )


def describe_internal_error(error: Exception) -> errors.Problem:
    """Returns the problem of an unexpected exception in the host."""
    return errors.Problem(
        errors.ProblemKind.BACKEND_FAILED,
        "host",
        f"The request failed with {type(error).__name__}.",
        "Use another address, and report the error to the operators.",
    )


def describe_claim_of_other_host() -> errors.Problem:
    """Returns the problem of a key that another host has claimed."""
    return errors.Problem(
        errors.ProblemKind.DEADLINE_EXCEEDED,
        "request",
        "Another host has claimed the idempotency key, and the request may "
        "have run there.",
        "Send the request again with the same key to get its outcome.",
    )


def describe_store_timeout() -> errors.Problem:
    """Returns the problem of a store that does not answer in time."""
    return errors.Problem(
        errors.ProblemKind.STORE_UNAVAILABLE,
        "request",
        "The store did not answer in time, and the request was not started.",
        "Send the request again with the same key, or use the ticket prefix.",
    )


def describe_claim_contention() -> errors.Problem:
    """Returns the problem of a claim that other hosts keep changing."""
    return errors.Problem(
        errors.ProblemKind.STORE_UNAVAILABLE,
        "request",
        "The idempotency key could not be claimed.",
        "Send the request again with the same key.",
    )


def describe_oversized_outcome() -> errors.Problem:
    """Returns the problem of an outcome too large to be stored."""
    return errors.Problem(
        errors.ProblemKind.TICKET_LOST,
        "request",
        "The request ran, but its outcome was too large to be stored.",
        "Check the effect of the request before sending a new one.",
    )


def describe_claim_failure(problem: errors.Problem) -> errors.Problem:
    """Returns the problem of a key that could not be claimed.

    Args:
      problem: Why the store could not be used.
    """
    return problem._replace(
        remedy="Send the request again with the same key once the store is "
        "available.  Use the ticket prefix instead only if no earlier send "
        "of the request may have run."
    )
