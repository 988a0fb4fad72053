"""Encoding of the questions and answers about credit between hosts.

One datagram holds the reports for one host.  Hosts of an earlier version ignore
these datagrams as malformed heartbeats.
"""

from collections.abc import Iterable
import json
import math

from eelgrasshall.gateway import quota_account

# Identifies the datagrams; no heartbeat begins like this.
PREFIX = b"quotas\n"
# Most reports in one datagram, so that it fits into one packet of 1,400 bytes
# with names of usual length.
MAX_ENTRIES = 16


def encode(reports: Iterable[quota_account.Report]) -> bytes:
    """Returns reports as a datagram.

    Args:
      reports: Reports of one sender for one receiver, `MAX_ENTRIES` at most.

    Raises:
      StopIteration: There are no reports.
    """
    reports = list(reports)
    first = next(iter(reports))
    entries = [
        [each.number, each.workspace, round(each.wanted, 3)]
        if isinstance(each, quota_account.Ask)
        else [
            each.number,
            each.workspace,
            # Rounded down, so that no more is received than was lent.
            math.floor(each.amount * 1000) / 1000,
            round(each.left, 3),
            round(each.share, 4),
        ]
        for each in reports
    ]
    fields = [first.receiver, first.sender, entries]
    return PREFIX + json.dumps(fields, separators=(",", ":")).encode()


def decode(datagram: bytes, now: float) -> list[quota_account.Report]:
    """Returns the reports of a datagram.

    Args:
      datagram: The datagram, which begins with `PREFIX`.
      now: Monotonic time of this host; reports carry no times.

    Raises:
      ValueError: The datagram is malformed.
      TypeError: The datagram is malformed.
    """
    del now
    receiver, sender, entries = json.loads(datagram[len(PREFIX) :])
    if not (isinstance(receiver, str) and isinstance(sender, str)):
        raise TypeError("a host's name is malformed")
    reports: list[quota_account.Report] = []
    for number, workspace, *values in entries:
        if not (isinstance(number, int) and isinstance(workspace, str)):
            raise TypeError("a number or a workspace's name is malformed")
        amounts = [float(each) for each in values]
        if not all(math.isfinite(each) and each >= 0.0 for each in amounts):
            raise ValueError("a number is out of range")
        if len(amounts) == 1:
            reports.append(
                quota_account.Ask(receiver, sender, number, workspace, *amounts)
            )
        elif len(amounts) == 3:
            reports.append(
                quota_account.Credit(
                    receiver, sender, number, workspace, *amounts
                )
            )
        else:
            raise ValueError("an entry has a wrong number of fields")
    return reports
