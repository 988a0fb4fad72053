"""Order in which waiting attempts are sent to one backend server.

The load pattern is a server that gets more than it can do for some seconds, for
example because the other replicas of its shard are slow or gone.  In the order
of arrival every attempt would soon wait too long, and the searches would miss
that shard although the server is busy all the time.  Attempts that can still be
answered in time therefore go first, in the order of arrival; those that cannot
are sent when no other attempt waits.  This module does no I/O and reads no
clock.
"""

from collections.abc import Sequence
from typing import Generic
from typing import Protocol
from typing import TypeVar

# Most attempts that wait for a connection to one backend server.
MAX_LENGTH = 64


class Waiting(Protocol):
    """What the order depends on; see `attempts.Attempt`."""

    expected_latency_s: float
    due_s: float
    needs_new_connection: bool
    done: bool


_WaitingT = TypeVar("_WaitingT", bound=Waiting)


def choose_next(
    waiting: Sequence[_WaitingT], now: float, service_time_ratio: float
) -> _WaitingT | None:
    """Returns the attempt to send next, or None if none waits.

    Args:
      waiting: The waiting attempts, oldest first.
      now: Monotonic time.
      service_time_ratio: Time that the server takes for an attempt, relative to
        its expected latency.
    """
    for attempt in waiting:
        service_time_s = attempt.expected_latency_s * service_time_ratio
        if now + service_time_s <= attempt.due_s:
            return attempt
    return waiting[0] if waiting else None


class SendQueue(Generic[_WaitingT]):
    """The attempts that wait for a connection to one backend server."""

    def __init__(self):
        self._waiting: list[_WaitingT] = []

    def append(self, attempt: _WaitingT) -> bool:
        """Adds an attempt; returns False if the queue is full."""
        self._remove_done()
        if len(self._waiting) >= MAX_LENGTH:
            return False
        self._waiting.append(attempt)
        return True

    def take_next(
        self, now: float, service_time_ratio: float, *, new_connection: bool
    ) -> _WaitingT | None:
        """Removes and returns the attempt to send next.

        Args:
          now: Monotonic time.
          service_time_ratio: As for `choose_next`.
          new_connection: Whether the connection that is free has carried no
            request yet.
        """
        self._remove_done()
        eligible = [
            attempt
            for attempt in self._waiting
            if new_connection or not attempt.needs_new_connection
        ]
        attempt = choose_next(eligible, now, service_time_ratio)
        if attempt is not None:
            self._waiting.remove(attempt)
        return attempt

    def take_all(self) -> list[_WaitingT]:
        """Removes and returns all attempts, oldest first."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def __len__(self) -> int:
        """Returns the number of attempts that wait."""
        self._remove_done()
        return len(self._waiting)

    def _remove_done(self) -> None:
        """Drops the attempts that were abandoned while they waited."""
        self._waiting = [each for each in self._waiting if not each.done]
