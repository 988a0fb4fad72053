"""Encoding of the crash reports and verdicts that hosts send to each other.

They go in datagrams of their own, next to the heartbeats, while there are any.
Times are sent as ages, so that the hosts' clocks need not agree.  Hosts of an
earlier version ignore these datagrams as malformed heartbeats.
"""

from collections.abc import Iterable
import json

from eelgrasshall.gateway import quarantine

# Identifies the datagrams; no heartbeat begins like this.
PREFIX = b"crashes\n"
# Most entries in one datagram, which then fits into one packet of 1,400 bytes.
MAX_ENTRIES = 14


def encode(
    entries: Iterable[quarantine.CrashReport | quarantine.Verdict], now: float
) -> bytes:
    """Returns entries as a datagram.

    Args:
      entries: The entries, `MAX_ENTRIES` at most.
      now: Monotonic time of this host.
    """
    fields = [
        [entry.fingerprint, _to_ms(entry.until_s - now)]
        if isinstance(entry, quarantine.Verdict)
        else [
            entry.fingerprint,
            entry.request_id,
            entry.server_id,
            _to_ms(now - entry.began_s),
            _to_ms(now - entry.crashed_s),
            entry.service,
        ]
        for entry in entries
    ]
    return PREFIX + json.dumps(fields, separators=(",", ":")).encode()


def decode(
    datagram: bytes, now: float
) -> list[quarantine.CrashReport | quarantine.Verdict]:
    """Returns the entries of a datagram.

    Args:
      datagram: The datagram, which begins with `PREFIX`.
      now: Monotonic time of this host.

    Raises:
      ValueError: The datagram is malformed.
      TypeError: The datagram is malformed.
    """
    entries: list[quarantine.CrashReport | quarantine.Verdict] = []
    for fields in json.loads(datagram[len(PREFIX) :]):
        if len(fields) == 2:
            fingerprint, remaining_ms = fields
            entries.append(
                quarantine.Verdict(
                    str(fingerprint), now + float(remaining_ms) / 1000.0
                )
            )
            continue
        fingerprint, request_id, server_id, began_ms, crashed_ms, service = (
            fields
        )
        entries.append(
            quarantine.CrashReport(
                str(fingerprint),
                str(request_id),
                str(server_id),
                now - float(began_ms) / 1000.0,
                now - max(float(crashed_ms), 0.0) / 1000.0,
                str(service),
            )
        )
    return entries


def _to_ms(duration_s: float) -> int:
    """Returns a duration in whole milliseconds."""
    return round(duration_s * 1000)
