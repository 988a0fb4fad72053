"""Encoding of what hosts tell each other of rollouts.

It goes in datagrams of their own, next to the heartbeats, while an order is in
progress and for a short time after that.  Counts are cumulative, so that a lost
datagram is made up for by the next one.  Times are sent as ages.  Hosts of an
earlier version ignore these datagrams as malformed heartbeats.
"""

from collections.abc import Iterable
import json
import math
from typing import Any

from eelgrasshall.gateway import rollouts

# Identifies the datagrams; no heartbeat begins like this.
PREFIX = b"rollouts\n"
# Largest datagram, which fits into one packet.
MAX_BYTES = 1400
# Largest numbers that are accepted; far more than any host counts.
MAX_NUMBER = 1 << 62


def encode(
    reports: Iterable[rollouts.Report],
) -> tuple[bytes, list[rollouts.Report]]:
    """Returns reports as a datagram, and those that fit into it.

    A single report that exceeds the size goes alone.
    """
    parts: list[bytes] = []
    sent = []
    size = len(PREFIX) + 1
    for each in reports:
        part = json.dumps(_encode_report(each), separators=(",", ":")).encode()
        if sent and size + len(part) + 1 > MAX_BYTES:
            break
        size += len(part) + 1
        parts.append(part)
        sent.append(each)
    return PREFIX + b"[" + b",".join(parts) + b"]", sent


def decode(datagram: bytes, now: float) -> list[rollouts.Report]:
    """Returns the reports of a datagram.

    Args:
      datagram: The datagram, which begins with `PREFIX`.
      now: Monotonic time of this host; ages need none.

    Raises:
      ValueError: The datagram is malformed.
      TypeError: The datagram is malformed.
    """
    del now
    entries = json.loads(datagram[len(PREFIX) :])
    if not isinstance(entries, list):
        raise TypeError("expected a list of reports")
    return [_decode_report(each) for each in entries]


def _encode_report(report: rollouts.Report) -> list[Any]:
    """Returns a report as a list."""
    return [
        report.service,
        report.target_version,
        report.order_id,
        round(report.age_s * 1000),
        report.host,
        report.incarnation,
        report.serial,
        int(report.phase),
        report.old_in_flight,
        [[route, *counts] for route, counts in report.counts.items()],
    ]


def _decode_report(entry: Any) -> rollouts.Report:
    """Decodes a report.

    Raises:
      ValueError: The report is malformed.
      TypeError: The report is malformed.
    """
    service, version, order_id, age_ms, host, *rest = entry
    incarnation, serial, phase, in_flight, routes = rest
    for text in (service, version, host):
        if not isinstance(text, str):
            raise TypeError("a name is malformed")
    _check_numbers(order_id, incarnation, serial, phase, in_flight)
    if isinstance(age_ms, bool) or not isinstance(age_ms, int | float):
        raise TypeError("an age is malformed")
    if not math.isfinite(age_ms):
        raise ValueError("an age is out of range")
    if len(routes) > rollouts.MAX_ROUTES:
        raise ValueError("too many routes")
    counts = {}
    for route, *numbers in routes:
        if not isinstance(route, str):
            raise TypeError("the name of a route is malformed")
        _check_numbers(*numbers)
        if len(numbers) != len(rollouts.Counts._fields):
            raise ValueError("counts are missing")
        counts[route] = rollouts.Counts(*numbers)
    return rollouts.Report(
        service,
        version,
        order_id,
        max(age_ms, 0) / 1000.0,
        host,
        incarnation,
        serial,
        rollouts.Phase(phase),
        in_flight,
        counts,
    )


def _check_numbers(*numbers: Any) -> None:
    """Checks that all values are integers from 0 on.

    Raises:
      ValueError: A number is out of range.
      TypeError: A value is no integer.
    """
    for each in numbers:
        if isinstance(each, bool) or not isinstance(each, int):
            raise TypeError("a number is malformed")
        if not 0 <= each <= MAX_NUMBER:
            raise ValueError("a number is out of range")
