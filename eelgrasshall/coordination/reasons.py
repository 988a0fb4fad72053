"""Why the query path refuses or fails a request, as problems for callers."""

from eelgrasshall import errors
from eelgrasshall.protocol import caller
from eelgrasshall.state import configuration as configuration_module


def describe_lateness(kind: str) -> errors.Problem:
    """Returns the problem of a request that was too late to send."""
    return errors.Problem(
        errors.ProblemKind.DEADLINE_TOO_SHORT,
        kind,
        "Its time was up before anything was sent.",
        "Allow a longer deadline.",
    )


def describe_missing_configuration() -> errors.Problem:
    """Returns the problem of a host without a configuration."""
    return errors.Problem(
        errors.ProblemKind.NO_CONFIGURATION,
        "host",
        "It has no configuration yet.",
        "Come back after the time given, or ask another address.",
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


def describe_size(kind: configuration_module.Kind) -> errors.Problem:
    """Returns the problem of a query that is too large for its kind."""
    return errors.Problem(
        errors.ProblemKind.REQUEST_TOO_LARGE,
        "query",
        f"It is larger than {kind.max_body_bytes} bytes.",
        "Send a smaller query.",
    )


def describe_missing_ticket(kind: str) -> errors.Problem:
    """Returns the problem of a run-once request without a ticket or key."""
    return errors.Problem(
        errors.ProblemKind.TICKET_REQUIRED,
        "ticket",
        f"A request of kind {kind} may not be repeated and needs a ticket.",
        "Append a part of your own to the ticket prefix and send it as "
        "the ticket, or send an Idempotency-Key.",
    )


def describe_leaving(name: str) -> errors.Problem:
    """Returns the problem of a host that takes no new requests."""
    return errors.Problem(
        errors.ProblemKind.LEAVING,
        "host",
        f"The host {name} is leaving.",
        "Send it to one of the addresses given, with a new ticket if it had "
        "one.",
    )


def describe_missing_hosts() -> errors.Problem:
    """Returns the problem of a fleet without a usable host."""
    return errors.Problem(
        errors.ProblemKind.LEAVING,
        "addresses",
        "No entry host is in service.",
        "Come back after the time given.",
    )


def describe_low_coverage(
    kind: configuration_module.Kind, total: caller.Coverage
) -> errors.Problem:
    """Returns the problem of an answer below the kind's promise."""
    return errors.Problem(
        errors.ProblemKind.COVERAGE_TOO_LOW,
        kind.name,
        f"Only {total.key_share:.4f} of the keys could be covered, "
        f"{kind.coverage_floor:.4f} are promised.",
        "Ask again; the coverage names the missing services.",
    )


def describe_fault(error: Exception) -> errors.Problem:
    """Returns the problem of a fault inside the host."""
    return errors.Problem(
        errors.ProblemKind.BACKEND_FAILED,
        "host",
        f"The request ended with {type(error).__name__}.",
        "Ask another address, and report it to the operators.",
    )


def describe_foreign_claim() -> errors.Problem:
    """Returns the problem of a key that another host has claimed."""
    return errors.Problem(
        errors.ProblemKind.DEADLINE_EXCEEDED,
        "request",
        "Another host has claimed its key; it may have run there.",
        "Send it again with the same key for its outcome.",
    )


def describe_slow_store() -> errors.Problem:
    """Returns the problem of a store that does not answer in time."""
    return errors.Problem(
        errors.ProblemKind.STORE_UNAVAILABLE,
        "request",
        "The store did not answer in time, and the request was not started.",
        "Send it again with the same key, or use the ticket prefix.",
    )


def describe_contention() -> errors.Problem:
    """Returns the problem of a claim that others keep changing."""
    return errors.Problem(
        errors.ProblemKind.STORE_UNAVAILABLE,
        "request",
        "Its key could not be claimed.",
        "Send it again with the same key.",
    )


def describe_large_outcome() -> errors.Problem:
    """Returns the problem of an outcome that is not recorded."""
    return errors.Problem(
        errors.ProblemKind.TICKET_LOST,
        "request",
        "It ran, but its outcome was too large to be kept.",
        "Look up its effect.",
    )


def describe_unclaimed(problem: errors.Problem) -> errors.Problem:
    """Returns the problem of a key that could not be claimed.

    Args:
      problem: What the store's trouble is.
    """
    return problem._replace(
        remedy="Send it again with the same key once the store is back.  Use "
        "the ticket prefix instead only if no earlier send of it may have run."
    )
