"""Which requests run, wait or are turned away when there are too many.

Answers the load pattern of callers that ask for more than the backend servers
can do for some seconds.  Servers that get all of it queue, slow down and
answer nobody in time.  So only as many requests run at once as keep the slots
busy.  Of those that wait the newest begins first, since it can still be
answered in time; one that cannot is run when nothing better waits.  Nothing
here knows of sockets or timers: time and requests are handed in.
"""

from collections.abc import Sequence
import enum
import random as random_module
from typing import NamedTuple

from eelgrasshall.gateway import model

# Requests that run at once, for each slot of a shard: a search holds a slot of
# each shard for a part of its time only, as it waits for the slowest one.  Six
# keep servers with two slots busy, with three those with six answer in time
# under six times their usual load (`fleetbench run` of worst-load, both sites).
MOST_PER_SLOT = 6.0
LEAST_PER_SLOT = 2.5
# The number is judged anew after this time and so many requests: about two
# objectives of the users' searches, and enough for a share in tenths.
JUDGE_EVERY_S = 0.2
JUDGE_LEAST = 10
# Shares answered in time above and below which it is raised or lowered.  It
# is lowered as far as the share is too small, since a queue grows fast, but by
# no more than the least factor in one step, and raised slowly (proportional
# steps against steps of 0.85: 0.655 and 0.643 on worst-load, trapeza-search).
GOOD_SHARE = 0.9
BAD_SHARE = 0.75
RAISE_FACTOR = 1.05
LEAST_FACTOR = 0.6
# Fewest requests that one host runs at once: one that hangs must not stop all.
LEAST_RUNNING = 2
# Share of the objective for which a request waits to begin: one that waits
# longer is late in all likelihood, and its caller may come back instead.
WAIT_SHARE = 0.2
# Share of its time for which one waits whose caller has come back: less than
# half, so that a caller who is refused again can still turn elsewhere.
RETURN_WAIT_SHARE = 0.4
# Every so many starts the kinds' priorities do not count, so that none starves.
FAIR_EVERY = 2
# Weight of the newest duration in the moving average, as for the servers'.
DURATION_WEIGHT = 0.1
# Share of its time left that a caller is asked to stay away at most; callers
# wait for a third of it.
AWAY_SHARE = 0.3
# A caller with less than this share of the longest time seen has been here.
RETURN_SHARE = 0.95


class Ticket(NamedTuple):
    """A request that asks to be run.

    Attributes:
      number: Tells it from others.
      priority: Rank of its kind; 0 is the highest.
      arrived_s: Monotonic time of its arrival.
      start_s: Latest start with which it is answered in time.
      leave_s: Time up to which it waits.
    """

    number: int
    priority: int
    arrived_s: float
    start_s: float
    leave_s: float


class Decision(enum.Enum):
    """What becomes of a request that has arrived."""

    RUN = "run"
    WAIT = "wait"


def make_ticket(
    *,
    number: int,
    route: model.Route,
    arrived_s: float,
    patience_s: float,
    longest_s: float,
    expected_s: float,
) -> Ticket:
    """Returns a request's claim to a turn.

    A caller that has less time left than others had at first was refused here
    or elsewhere; it waits longer, so that it is not refused again at once.

    Args:
      number: Tells it from others.
      route: Its route.
      arrived_s: Monotonic time of its arrival.
      patience_s: How long its caller waits, seconds.
      longest_s: How long callers of the route wait at first, seconds.
      expected_s: How long it is expected to take, seconds.
    """
    waits_s = route.objective_s * WAIT_SHARE
    if patience_s < longest_s * RETURN_SHARE:
        waits_s = patience_s * RETURN_WAIT_SHARE
    return Ticket(
        number=number,
        priority=route.priority,
        arrived_s=arrived_s,
        start_s=arrived_s + route.objective_s - expected_s,
        leave_s=arrived_s + waits_s,
    )


def order_waiting(
    waiting: Sequence[Ticket], now: float, *, fair: bool
) -> list[Ticket]:
    """Returns those that wait in the order in which they should begin.

    Args:
      waiting: Those that wait.
      now: Monotonic time.
      fair: Whether the kinds' priorities do not count.
    """
    return sorted(
        waiting,
        key=lambda ticket: (
            now > ticket.start_s,
            0 if fair else ticket.priority,
            -ticket.arrived_s,
        ),
    )


def find_excess(
    ordered: Sequence[Ticket], now: float, interval_s: float
) -> list[Ticket]:
    """Returns those whose turn comes later than they wait.

    Args:
      ordered: Those that wait, in the order in which they begin.
      now: Monotonic time.
      interval_s: Time between two starts.
    """
    return [
        ticket
        for place, ticket in enumerate(ordered)
        if now + place * interval_s > ticket.leave_s
    ]


def adapt_rate(per_slot: float, *, in_time_share: float, full: bool) -> float:
    """Returns how many requests to run for each slot from now on.

    Args:
      per_slot: The number so far.
      in_time_share: Share of the latest requests that ended in time.
      full: Whether others had to wait meanwhile; otherwise the number of those
        that ran was not the cause.
    """
    if not full:
        return per_slot
    if in_time_share >= GOOD_SHARE:
        return min(per_slot * RAISE_FACTOR, MOST_PER_SLOT)
    if in_time_share < BAD_SHARE:
        factor = max(in_time_share / GOOD_SHARE, LEAST_FACTOR)
        return max(per_slot * factor, LEAST_PER_SLOT)
    return per_slot


def compute_limit(slots: Sequence[int], *, hosts: int, per_slot: float) -> int:
    """Returns how many requests one host runs at once.

    Args:
      slots: Slots of the servers of each shard that can be reached.
      hosts: Number of hosts that carry requests.
      per_slot: Requests that run at once for each slot of a shard.
    """
    per_shard = sum(slots) / max(len(slots), 1)
    return max(LEAST_RUNNING, round(per_shard * per_slot / max(hosts, 1)))


def choose_return(
    left_s: float, backlog_s: float, random: random_module.Random
) -> float:
    """Returns after how many seconds a refused caller should come back.

    Later than the present backlog takes, and each at another time, so that
    they do not come back together.

    Args:
      left_s: Time that the caller has left.
      backlog_s: Time in which those that wait now are done.
      random: The source of chance.
    """
    latest_s = left_s * AWAY_SHARE
    return random.uniform(min(backlog_s, latest_s / 2), latest_s)


class Gate:
    """The requests of one host for one set of services.

    Args:
      typical_s: How long one is expected to take, before any was seen.
    """

    def __init__(self, *, typical_s: float):
        self.limit = LEAST_RUNNING
        self.per_slot = MOST_PER_SLOT
        self.typical_s = typical_s
        self.running = 0
        self.waiting: list[Ticket] = []
        self._starts = 0
        self._full = False
        self._in_time_share = 1.0
        self._judged_s = 0.0
        self._ended = 0
        self._in_time = 0

    def set_capacity(self, slots: Sequence[int], hosts: int) -> None:
        """Sets the limit by the servers that can be reached.

        Args:
          slots: Slots of the servers of each shard that can be reached.
          hosts: Number of hosts that carry requests.
        """
        self.limit = compute_limit(slots, hosts=hosts, per_slot=self.per_slot)

    def enter(self, ticket: Ticket) -> Decision:
        """Decides about a request that has arrived."""
        if self.running < self.limit and not self.waiting:
            self.running += 1
            return Decision.RUN
        self._full = True
        self.waiting.append(ticket)
        return Decision.WAIT

    def refuse_excess(self, now: float) -> list[Ticket]:
        """Takes those out whose turn comes later than they wait."""
        ordered = order_waiting(self.waiting, now, fair=False)
        excess = find_excess(ordered, now, self.typical_s / self.limit)
        for ticket in excess:
            self.waiting.remove(ticket)
        return excess

    def leave(self, now: float, *, took_s: float, in_time: bool) -> bool:
        """Notes that a request has ended.

        Args:
          now: Monotonic time.
          took_s: Seconds since it began.
          in_time: Whether that is within its objective.

        Returns:
          Whether the number that may run has changed.
        """
        self.running -= 1
        self.typical_s += (took_s - self.typical_s) * DURATION_WEIGHT
        self._ended += 1
        self._in_time += in_time
        if self._ended < JUDGE_LEAST or now - self._judged_s < JUDGE_EVERY_S:
            return False
        before = self.per_slot
        self._judge(now)
        return self.per_slot != before

    def start_next(self, now: float) -> Ticket | None:
        """Returns a request that may begin now, if there is room for one."""
        if self.running >= self.limit:
            return None
        fair = self._starts % FAIR_EVERY == 0
        ordered = order_waiting(self.waiting, now, fair=fair)
        if not ordered:
            return None
        self._starts += 1
        self.running += 1
        self.waiting.remove(ordered[0])
        return ordered[0]

    def withdraw(self, ticket: Ticket) -> None:
        """Forgets a request that waits no longer."""
        self.waiting.remove(ticket)

    @property
    def crowded(self) -> bool:
        """Whether requests wait for their turn."""
        return bool(self.waiting)

    def backlog_s(self) -> float:
        """Returns in what time those that wait now are done."""
        return len(self.waiting) * self.typical_s / self.limit

    def explain(self) -> dict[str, float]:
        """Returns what a decision rests on, for the log."""
        return {
            "running": self.running,
            "waiting": len(self.waiting),
            "limit": self.limit,
            "per_slot": round(self.per_slot, 2),
            "typical_ms": round(self.typical_s * 1000),
            "in_time_share": round(self._in_time_share, 2),
        }

    def _judge(self, now: float) -> None:
        """Adapts how many run to how the latest ones ended."""
        self._in_time_share = self._in_time / self._ended
        self.per_slot = adapt_rate(
            self.per_slot, in_time_share=self._in_time_share, full=self._full
        )
        self._judged_s = now
        self._ended = self._in_time = 0
        self._full = self.crowded
