"""Structured logs: JSON lines on standard output, bounded and never blocking.

Each line is one decision with its inputs.  Decisions on single requests share
a budget a second, in which failures and refusals go first; what a process
believes is logged always.  Lines that were dropped are counted in the next
line that is written.
"""

import collections
import json
import os
import time
from typing import Any

# Lines a second about single requests: enough for samples of each sort at a
# cost below a hundredth of a core.
REQUEST_LINES_PER_S = 10.0
# Share of that budget that only failures and refusals may use.
FAILURE_SHARE = 0.7
# Lines that wait while standard output takes none.
MAX_PENDING = 500


class EventLog:
    """Writes the log lines of one process.

    Args:
      name: Name of this entry host.
      descriptor: The file descriptor to write to.
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
        """Logs what changes the process or what it believes."""
        self._put(event, fields)

    def allow_request_line(self, *, failed: bool) -> bool:
        """Returns whether a line about a request may be written now."""
        now = time.monotonic()
        earned = (now - self._refilled_s) * REQUEST_LINES_PER_S
        self._refilled_s = now
        self._tokens = min(self._tokens + earned, REQUEST_LINES_PER_S)
        reserve = 0.0 if failed else FAILURE_SHARE * REQUEST_LINES_PER_S
        if self._tokens - 1.0 < reserve:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True

    def _put(self, event: str, fields: dict[str, Any]) -> None:
        """Formats a line and writes as much as can be written at once."""
        line: dict[str, Any] = {
            "time": round(time.time(), 3),
            "host": self._name,
            "event": event,
            **fields,
        }
        if self.dropped:
            line["dropped"], self.dropped = self.dropped, 0
        if len(self._pending) >= MAX_PENDING:
            self.dropped += 1
            return
        self._pending.append(json.dumps(line, default=str).encode() + b"\n")
        self.flush()

    def flush(self) -> None:
        """Writes waiting lines until standard output takes no more."""
        while self._pending:
            data = self._pending[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any more; there is nowhere to say so.
                self._pending.clear()
                return
            if written < len(data):
                self._pending[0] = data[written:]
                return
            self._pending.popleft()
