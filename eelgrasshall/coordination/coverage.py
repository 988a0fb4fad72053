"""How much of the key space a set of parts covers.

The parts of one snapshot divide the key space among them.  Parts are accounted
by the keys that they say they cover, so that neither a gap nor an overlap, as
a repartition may leave, is taken for a complete answer.
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
    """Works out what parts of one snapshot cover.

    A part whose keys overlap those of a part accounted earlier is left out,
    because its records would stand twice.

    Args:
      services: The services of the kind, in order.
      parts: The part of each service that gave one.
      problems: Why each other service gave none.

    Returns:
      The coverage; a service left out is among the missing ones.
    """
    services = tuple(services)
    overlapping = _find_overlaps(parts)
    covered = []
    missing = []
    keys = 0
    for service in services:
        if service in parts and service not in overlapping:
            covered.append(service)
            keys += _count_keys(parts[service])
            continue
        problem = overlapping.get(service) or problems.get(service)
        missing.append(
            caller.MissingService(service, problem or _unanswered(service))
        )
    return caller.Coverage(
        complete=not missing and keys == messages.KEY_SPACE,
        key_share=keys / messages.KEY_SPACE,
        covered=tuple(covered),
        missing=tuple(missing),
    )


def _find_overlaps(
    parts: Mapping[str, messages.SubResult],
) -> dict[str, errors.Problem]:
    """Finds the parts to leave out, so that no key stands twice."""
    overlapping = {}
    in_order = sorted(
        (part.key_range, service)
        for service, part in parts.items()
        if _count_keys(part) > 0
    )
    end = 0
    before = ""
    for (low, high), service in in_order:
        if low >= end and high <= messages.KEY_SPACE:
            end = high
            before = service
            continue
        overlapping[service] = errors.Problem(
            errors.ProblemKind.BACKEND_FAILED,
            service,
            f"Its keys {low}-{high} overlap those of {before or 'none'}.",
            "Check the shard map of the backend servers.",
        )
    return overlapping


def _count_keys(part: messages.SubResult) -> int:
    """Returns the number of keys that a part covers."""
    return part.key_range.high - part.key_range.low


def _unanswered(service: str) -> errors.Problem:
    """Returns the problem of a service that gave nothing in time."""
    return errors.Problem(
        errors.ProblemKind.DEADLINE_EXCEEDED,
        service,
        "It gave no answer before the deadline.",
        "Ask again, or allow a longer deadline.",
    )
