"""Errors as values.

A decision that can fail returns a `Problem` beside or instead of its result.
A problem carries what went wrong, where, and what the reader can do about it,
so that the same value serves a caller's answer, an operator's command line
and a log line.  Exceptions stay for programming errors and for what libraries
raise at the edges.
"""

import enum
from typing import NamedTuple


class ProblemKind(enum.Enum):
    """The kinds of problem; the value is the name on the wire."""

    MALFORMED_REQUEST = "malformed_request"
    UNKNOWN_KIND = "unknown_kind"
    REQUEST_TOO_LARGE = "request_too_large"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    LEAVING = "leaving"
    NO_CONFIGURATION = "no_configuration"
    INVALID_CONFIGURATION = "invalid_configuration"
    CONFIGURATION_CONFLICT = "configuration_conflict"
    STALE_CONFIGURATION = "stale_configuration"
    STORE_UNAVAILABLE = "store_unavailable"
    INVALID_SETTINGS = "invalid_settings"
    NO_BACKEND_SERVER = "no_backend_server"
    BACKEND_FAILED = "backend_failed"
    SNAPSHOT_UNAVAILABLE = "snapshot_unavailable"
    COVERAGE_TOO_LOW = "coverage_too_low"
    QUARANTINED = "quarantined"
    TICKET_REQUIRED = "ticket_required"
    TICKET_USED = "ticket_used"
    TICKET_LOST = "ticket_lost"
    PEER_UNREACHABLE = "peer_unreachable"
    CALLER_GONE = "caller_gone"
    UNREACHABLE = "unreachable"
    REPLY_LOST = "reply_lost"


class Problem(NamedTuple):
    """One typed error.

    Attributes:
      kind: What went wrong.
      where: The part, service or configuration path that it concerns.
      what: One short sentence for a reader.
      remedy: What the reader can do about it.
    """

    kind: ProblemKind
    where: str
    what: str
    remedy: str

    def describe(self) -> str:
        """Returns the problem as one line of text."""
        return f"{self.where}: {self.what} {self.remedy}"

    def to_plain(self) -> dict[str, str]:
        """Returns the problem as a JSON object."""
        return {**self._asdict(), "kind": self.kind.value}
