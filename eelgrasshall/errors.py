"""Errors as values.

A function that can fail returns a `Problem` beside or instead of its result.
A problem says what went wrong, where, and how to correct it, so that the same
value serves in responses to callers, on an operator's command line and in the
log.  Exceptions are left for programming errors and for errors that libraries
raise.
"""

import enum
from typing import NamedTuple


class ProblemKind(enum.Enum):
    """The kinds of problem; each value is the name used in messages."""

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
    """An error with its location and remedy.

    Attributes:
      kind: What went wrong.
      where: The component, service or configuration path that it concerns.
      what: One short sentence that describes the error.
      remedy: One short sentence on what to do about it.
    """

    kind: ProblemKind
    where: str
    what: str
    remedy: str

    def describe(self) -> str:
        """Formats the problem as one line of text."""
        return f"{self.where}: {self.what} {self.remedy}"

    def to_plain(self) -> dict[str, str]:
        """Converts the problem to a dict that can be encoded as JSON."""
        return {**self._asdict(), "kind": self.kind.value}
