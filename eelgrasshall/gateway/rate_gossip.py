"""Encoding of the rates of servers that hosts pass on to each other.

They go in datagrams of their own, next to the heartbeats, while there are any.
Times are sent as ages, so that the hosts' clocks need not agree.  Hosts of an
earlier version ignore these datagrams as malformed heartbeats.
"""

from collections.abc import Iterable
import json
import math

from eelgrasshall.gateway import rate_limits

# Identifies the datagrams; no heartbeat begins like this.
PREFIX = b"rates\n"
# Most statements in one datagram, which bounds the control traffic while many
# servers change their rates.
MAX_ENTRIES = 8


def encode(statements: Iterable[rate_limits.Statement], now: float) -> bytes:
    """Returns statements as a datagram.

    Args:
      statements: The statements, `MAX_ENTRIES` at most.
      now: Monotonic time of this host.
    """
    fields = [
        [
            each.server_id,
            each.started_at_ms,
            each.rate,
            round((now - each.observed_s) * 1000),
        ]
        for each in statements
    ]
    return PREFIX + json.dumps(fields, separators=(",", ":")).encode()


def decode(datagram: bytes, now: float) -> list[rate_limits.Statement]:
    """Returns the statements of a datagram.

    Args:
      datagram: The datagram, which begins with `PREFIX`.
      now: Monotonic time of this host.

    Raises:
      ValueError: The datagram is malformed.
      TypeError: The datagram is malformed.
    """
    statements = []
    for server_id, started_at_ms, rate, age_ms in json.loads(
        datagram[len(PREFIX) :]
    ):
        age_s = max(float(age_ms), 0.0) / 1000.0
        rate = None if rate is None else float(rate)
        if not math.isfinite(age_s) or not (
            rate is None or (math.isfinite(rate) and rate >= 0)
        ):
            raise ValueError("a number is out of range")
        if not (isinstance(server_id, str) and isinstance(started_at_ms, int)):
            raise TypeError("a server's id or start time is malformed")
        observed_s = now - age_s
        statements.append(
            rate_limits.Statement(
                server_id, started_at_ms, rate, observed_s, observed_s
            )
        )
    return statements
