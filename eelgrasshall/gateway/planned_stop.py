"""Decides which requests a host still passes on once it is to stop.

The load pattern is callers that have not learned yet that the host stops, or
that send the end of a request only then.  A request that is refused at once
comes back at another host; one that is cut off is lost to its caller if it may
run only once.
"""

from typing import NamedTuple


class Stop(NamedTuple):
    """A planned stop; times are monotonic, in seconds.

    Attributes:
      moved_s: When callers have learned to use other hosts.
      end_s: When the requests in progress are ended.
    """

    moved_s: float
    end_s: float


class Demand(NamedTuple):
    """What is known of the time that a request takes, in seconds.

    Attributes:
      deadline_s: Monotonic time until which its caller waits.
      expected_s: How long one of its kind usually takes at most.
      longest_s: How long the slowest recent one of its kind took.
      idempotent: Whether it may run more than once.
    """

    deadline_s: float
    expected_s: float
    longest_s: float
    idempotent: bool


def has_time(stop: Stop, now_s: float, demand: Demand) -> bool:
    """Returns whether a request is passed on.

    Args:
      stop: The planned stop.
      now_s: Monotonic time, seconds.
      demand: The request.
    """
    remaining_s = stop.end_s - now_s
    if demand.deadline_s <= stop.end_s:
        # The stop takes nothing from its time.
        return remaining_s > 0.0
    if demand.idempotent:
        return demand.expected_s <= remaining_s
    # Its caller could not tell whether it ran if it were cut off.
    return now_s < stop.moved_s and demand.longest_s <= remaining_s
