"""Computes how much of the key space a set of parts covers.

The parts of one snapshot divide the key space among them.  Coverage is
computed from the key range that each part reports, so that a gap or an overlap
left by a repartition is not mistaken for a complete answer.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from eelgrasshall import errors
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import messages


def assess_coverage(
    services: Iterable[str],
    parts: Mapping[str, messages.SubResult],
    problems: Mapping[str, errors.Problem],
) -> caller.Coverage:
    """Computes the coverage of the parts of one snapshot.

    A part whose key range overlaps that of a part already counted is left out,
    because some records would otherwise appear twice in the answer.

    Args:
      services: The services of the kind, in order.
      parts: The part of each service that returned one.
      problems: Why each other service returned none.

    Returns:
      The coverage.  A service whose part is left out counts as missing.
    """
    services = tuple(services)
    overlapping = _find_overlaps(parts)
    covered = []
    missing = []
    key_count = 0
    for service in services:
        if service in parts and service not in overlapping:
            covered.append(service)
            key_count += _count_keys(parts[service])
            continue
        problem = overlapping.get(service) or problems.get(service)
        missing.append(
            caller.MissingService(
                service, problem or _describe_timeout(service)
            )
        )
    return caller.Coverage(
        complete=not missing and key_count == messages.KEY_SPACE,
        key_share=key_count / messages.KEY_SPACE,
        covered=tuple(covered),
        missing=tuple(missing),
    )


def _find_overlaps(
    parts: Mapping[str, messages.SubResult],
) -> dict[str, errors.Problem]:
    """Returns the parts to leave out so that no key is counted twice."""
    overlapping = {}
    by_key_range = sorted(
        (part.key_range, service)
        for service, part in parts.items()
        if _count_keys(part) > 0
    )
    covered_end = 0
    previous = ""
    for (low, high), service in by_key_range:
        if low >= covered_end and high <= messages.KEY_SPACE:
            covered_end = high
            previous = service
            continue
        overlapping[service] = errors.Problem(
            errors.ProblemKind.BACKEND_FAILED,
            service,
            f"Its key range {low}-{high} overlaps that of "
            f"{previous or 'none'}.",
            "Check the shard map of the backend servers.",
        )
    return overlapping


def _count_keys(part: messages.SubResult) -> int:
    return part.key_range.high - part.key_range.low


def _describe_timeout(service: str) -> errors.Problem:
    """Returns the problem of a service that did not answer in time."""
    return errors.Problem(
        errors.ProblemKind.DEADLINE_EXCEEDED,
        service,
        "The service did not answer before the deadline.",
        "Send the request again, or allow a longer deadline.",
    )
