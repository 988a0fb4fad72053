"""Structured log: JSON lines on standard output, without blocking.

Each line is an event, usually a decision with its inputs.  Events of single
requests are rate-limited, with a reserve for failures and rejections; changes
of the state of the process are not.  The next line that is written reports how
many lines were dropped before it.
"""

import collections
import json
import os
import time
from typing import Any

# Rate limit of lines about single requests: gives samples of each kind at a
# cost of less than 1 % of a core.
REQUEST_LINES_PER_S = 10.0
# Share of that limit that is reserved for failures and rejections.
FAILURE_RESERVE = 0.7
# Maximum number of lines that wait while standard output would block.
MAX_PENDING_LINES = 500


class EventLog:
    """The structured log of a process.

    Args:
      name: Name of this entry host.
      descriptor: The file descriptor to write to; it is set to non-blocking.
    """

    def __init__(self, *, name: str, descriptor: int = 1):
        self._name = name
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._tokens = REQUEST_LINES_PER_S
        self._refilled_s = time.monotonic()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def record(self, event: str, **fields: Any) -> None:
        """Logs an event, without a rate limit."""
        self._write_event(event, fields)

    def allow_request_line(self, *, failed: bool) -> bool:
        """Returns whether the rate limit allows a line about a request.

        A positive result uses up the line; a negative one counts it as dropped.

        Args:
          failed: Whether the request failed or was rejected.
        """
        now = time.monotonic()
        refill = (now - self._refilled_s) * REQUEST_LINES_PER_S
        self._refilled_s = now
        self._tokens = min(self._tokens + refill, REQUEST_LINES_PER_S)
        reserve = 0.0 if failed else FAILURE_RESERVE * REQUEST_LINES_PER_S
        if self._tokens - 1.0 < reserve:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True

    def _write_event(self, event: str, fields: dict[str, Any]) -> None:
        """Formats a line and writes what standard output accepts at once."""
        if len(self._pending) >= MAX_PENDING_LINES:
            self.dropped += 1
            return
        line: dict[str, Any] = {
            "time": round(time.time(), 3),
            "host": self._name,
            "event": event,
            **fields,
        }
        if self.dropped:
            line["dropped"], self.dropped = self.dropped, 0
        self._pending.append(json.dumps(line, default=str).encode() + b"\n")
        self.flush()

    def flush(self) -> None:
        """Writes waiting lines until standard output would block."""
        while self._pending:
            data = self._pending[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone, so the error cannot be reported either.
                self._pending.clear()
                return
            if written < len(data):
                self._pending[0] = data[written:]
                return
            self._pending.popleft()
