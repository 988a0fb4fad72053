"""Admission control: which requests run, wait or are rejected under overload.

When callers ask for more than the backend servers can do, servers that accept
all of it queue, slow down and answer nobody in time.  Each host therefore
limits the number of concurrent requests to what keeps the server slots busy.
The rest queue newest first, since the newest can still be answered in time;
requests that can no longer be run last.  Where callers belong to workspaces,
the order is also fair over these; see `fair_order`.  This module does no I/O
and reads no clock: callers pass in requests and times.
"""

from collections.abc import Sequence
import enum
import random as random_module
from typing import NamedTuple

from eelgrasshall.gateway import fair_order
from eelgrasshall.gateway import model

# Bounds of the concurrent requests per slot of a shard.  A search occupies a
# slot of each shard for only part of its duration, as it waits for the slowest
# shard.  Below the lower one servers are idle while searches wait for others.
MAX_REQUESTS_PER_SLOT = 6.0
MIN_REQUESTS_PER_SLOT = 4.0
# The concurrency is adjusted once both this time has passed (about two search
# objectives) and so many requests have ended (a share in steps of a tenth).
ADJUST_INTERVAL_S = 0.2
ADJUST_MIN_REQUESTS = 10
# Shares of requests answered in time above and below which the concurrency is
# raised or lowered.  As queues grow fast, it is lowered in proportion to the
# shortfall, limited per step by a minimum factor; it is raised slowly.
RAISE_THRESHOLD = 0.9
LOWER_THRESHOLD = 0.75
RAISE_FACTOR = 1.05
MIN_LOWER_FACTOR = 0.6
# Minimum concurrency of a host, so that one hanging request does not block all.
MIN_CONCURRENCY = 2
# Longest time in the queue, as a share of the objective.  A request that waits
# longer is probably late, and its caller can retry instead.
QUEUE_TIME_SHARE = 0.2
# The same for a retry, as a share of the caller's remaining time: less than
# half, so that a caller that is rejected again can still try elsewhere.
RETRY_QUEUE_TIME_SHARE = 0.4
# Every n-th start ignores priorities, so that no kind of request starves.  With
# workspaces, credits have that effect; see `fair_order`.
IGNORE_PRIORITY_INTERVAL = 2
# Weight of the newest duration in the moving average; the same as for the
# latencies of backend servers.
DURATION_WEIGHT = 0.1
# Maximum delay before a rejected caller should retry, as a share of its
# remaining time; callers wait for at most a third of it.
MAX_RETRY_AFTER_SHARE = 0.3
# A caller with less than this share of the longest time-out counts as
# retrying.
RETRY_TIMEOUT_SHARE = 0.95


class QueueEntry(NamedTuple):
    """A request that asks for admission.

    Attributes:
      number: Unique number of the request.
      priority: Priority of its route; 0 is the highest.
      arrived_s: Monotonic time of its arrival.
      latest_start_s: Monotonic time of the latest start with which it is
        expected to be answered within its objective.
      queue_deadline_s: Monotonic time up to which it may wait in the queue.
      workspace: Name of the workspace, empty if its caller has none; None if no
        workspaces are configured.
      workspace_priority: Priority of the workspace, before that of the route.
      cost_s: Work that it causes at all servers together, seconds.
    """

    number: int
    priority: int
    arrived_s: float
    latest_start_s: float
    queue_deadline_s: float
    workspace: str | None = None
    workspace_priority: int = 0
    cost_s: float = 0.0


class Decision(enum.Enum):
    """Whether an arriving request runs at once or waits in the queue."""

    RUN = "run"
    WAIT = "wait"


def make_queue_entry(
    *,
    number: int,
    route: model.Route,
    arrived_s: float,
    timeout_s: float,
    longest_timeout_s: float,
    expected_duration_s: float,
    workspace: str | None = None,
    workspace_priority: int = 0,
    cost_s: float = 0.0,
) -> QueueEntry:
    """Returns the queue entry of a request.

    A caller with less time left than others have at first is assumed to be
    retrying after a rejection, here or at another host.  It may wait longer,
    so that it is not rejected again at once.

    Args:
      number: Unique number of the request.
      route: Its route.
      arrived_s: Monotonic time of its arrival.
      timeout_s: Time for which its caller waits, seconds.
      longest_timeout_s: Longest such time of the route's callers so far,
        seconds.
      expected_duration_s: Expected duration of the request, seconds.
      workspace: Name of the workspace, empty if its caller has none; None if no
        workspaces are configured.
      workspace_priority: Priority of the workspace.
      cost_s: Work that it causes at all servers together, seconds.
    """
    queue_time_s = route.objective_s * QUEUE_TIME_SHARE
    if timeout_s < longest_timeout_s * RETRY_TIMEOUT_SHARE:
        queue_time_s = timeout_s * RETRY_QUEUE_TIME_SHARE
    latest_start_s = arrived_s + route.objective_s - expected_duration_s
    if workspace is not None:
        # Short requests that overloaded servers rarely answer in time would
        # otherwise go last from the start, whatever their priority.
        latest_start_s = max(
            latest_start_s, arrived_s + route.objective_s * QUEUE_TIME_SHARE
        )
    return QueueEntry(
        number=number,
        priority=route.priority,
        arrived_s=arrived_s,
        latest_start_s=latest_start_s,
        queue_deadline_s=arrived_s + queue_time_s,
        workspace=workspace,
        workspace_priority=workspace_priority,
        cost_s=cost_s,
    )


def sort_queue(
    waiting: Sequence[QueueEntry], now: float, *, ignore_priority: bool
) -> list[QueueEntry]:
    """Returns waiting requests in the order in which they should start.

    Requests that can still be answered in time come first, by priority, the
    newest before older ones.

    Args:
      waiting: The waiting requests.
      now: Monotonic time.
      ignore_priority: Whether priorities do not count.
    """
    return sorted(
        waiting,
        key=lambda entry: (
            now > entry.latest_start_s,
            0 if ignore_priority else entry.priority,
            -entry.arrived_s,
        ),
    )


def find_predicted_timeouts(
    queue: Sequence[QueueEntry], now: float, interval_s: float
) -> list[QueueEntry]:
    """Returns the requests that would start after their queue deadline.

    Args:
      queue: The waiting requests in the order in which they start.
      now: Monotonic time.
      interval_s: Expected time between two starts, seconds.
    """
    return [
        entry
        for position, entry in enumerate(queue)
        if now + position * interval_s > entry.queue_deadline_s
    ]


def adjust_requests_per_slot(
    requests_per_slot: float, *, in_time_share: float, saturated: bool
) -> float:
    """Returns the adjusted number of concurrent requests per slot.

    Args:
      requests_per_slot: The number so far.
      in_time_share: Share of the latest requests that ended in time.
      saturated: Whether requests had to wait meanwhile; if not, the number of
        concurrent requests was not the cause of late ones.
    """
    if not saturated:
        return requests_per_slot
    if in_time_share >= RAISE_THRESHOLD:
        return min(requests_per_slot * RAISE_FACTOR, MAX_REQUESTS_PER_SLOT)
    if in_time_share < LOWER_THRESHOLD:
        factor = max(in_time_share / RAISE_THRESHOLD, MIN_LOWER_FACTOR)
        return max(requests_per_slot * factor, MIN_REQUESTS_PER_SLOT)
    return requests_per_slot


def compute_concurrency_limit(
    slots: Sequence[int], *, hosts: int, requests_per_slot: float
) -> int:
    """Returns how many requests one host runs at once.

    Args:
      slots: For each shard, the slots of its reachable servers.
      hosts: Number of active hosts.
      requests_per_slot: Concurrent requests per slot of a shard.
    """
    per_shard = sum(slots) / max(len(slots), 1)
    return max(
        MIN_CONCURRENCY, round(per_shard * requests_per_slot / max(hosts, 1))
    )


def choose_retry_after(
    remaining_s: float, backlog_s: float, random: random_module.Random
) -> float:
    """Returns after how many seconds a rejected caller should retry.

    The delay covers the present backlog, as far as the caller's time permits,
    and is random, so that callers do not all retry at the same moment.

    Args:
      remaining_s: Time that the caller has left, seconds.
      backlog_s: Time in which the waiting requests will have run, seconds.
      random: Random number generator.
    """
    max_delay_s = remaining_s * MAX_RETRY_AFTER_SHARE
    return random.uniform(min(backlog_s, max_delay_s / 2), max_delay_s)


class ConcurrencyLimiter:
    """Limits and queues one host's requests for one set of services.

    Args:
      average_duration_s: Initial estimate of a request's duration, seconds.
    """

    def __init__(self, *, average_duration_s: float):
        self.limit = MIN_CONCURRENCY
        self.requests_per_slot = MAX_REQUESTS_PER_SLOT
        self.average_duration_s = average_duration_s
        self.running = 0
        self.waiting: list[QueueEntry] = []
        self._start_count = 0
        self._order = fair_order.FairOrder()
        self._saturated = False
        self._in_time_share = 1.0
        self._adjusted_s = 0.0
        self._ended_count = 0
        self._in_time_count = 0

    def set_capacity(self, slots: Sequence[int], hosts: int) -> None:
        """Sets the limit from the capacity of the reachable servers.

        Args:
          slots: For each shard, the slots of its reachable servers.
          hosts: Number of active hosts.
        """
        self.limit = compute_concurrency_limit(
            slots, hosts=hosts, requests_per_slot=self.requests_per_slot
        )

    def submit(self, entry: QueueEntry) -> Decision:
        """Runs an arriving request at once or queues it."""
        self._order.record_arrival(entry, entry.arrived_s)
        if self.running < self.limit and not self.waiting:
            self.running += 1
            self._order.record_start(entry, self.waiting)
            return Decision.RUN
        self._saturated = True
        self.waiting.append(entry)
        return Decision.WAIT

    def remove_predicted_timeouts(self, now: float) -> list[QueueEntry]:
        """Removes and returns requests that would start too late."""
        queue = self._sort_waiting(now, ignore_priority=False)
        late = find_predicted_timeouts(
            queue, now, self.average_duration_s / self.limit
        )
        for entry in late:
            self.waiting.remove(entry)
        return late

    def finish(self, now: float, *, took_s: float, in_time: bool) -> bool:
        """Records the end of a running request.

        Args:
          now: Monotonic time.
          took_s: Seconds since the request started.
          in_time: Whether that is within its objective.

        Returns:
          Whether the concurrency has changed.
        """
        self.running -= 1
        self.average_duration_s += (
            took_s - self.average_duration_s
        ) * DURATION_WEIGHT
        self._ended_count += 1
        self._in_time_count += in_time
        if (
            self._ended_count < ADJUST_MIN_REQUESTS
            or now - self._adjusted_s < ADJUST_INTERVAL_S
        ):
            return False
        before = self.requests_per_slot
        self._adjust(now)
        return self.requests_per_slot != before

    def start_next(self, now: float) -> QueueEntry | None:
        """Starts and returns the next waiting request, if the limit permits."""
        if self.running >= self.limit:
            return None
        ignore_priority = self._start_count % IGNORE_PRIORITY_INTERVAL == 0
        queue = self._sort_waiting(now, ignore_priority=ignore_priority)
        if not queue:
            return None
        self._start_count += 1
        self.running += 1
        self.waiting.remove(queue[0])
        self._order.record_start(queue[0], self.waiting)
        return queue[0]

    def withdraw(self, entry: QueueEntry) -> None:
        """Removes a request from the queue."""
        self.waiting.remove(entry)

    @property
    def has_waiting(self) -> bool:
        """Whether requests wait in the queue."""
        return bool(self.waiting)

    def estimate_backlog_s(self) -> float:
        """Returns the time in which the waiting requests will have run."""
        return len(self.waiting) * self.average_duration_s / self.limit

    def get_log_fields(self) -> dict[str, float]:
        """Returns the inputs of an admission decision, for the log."""
        return {
            "running": self.running,
            "waiting": len(self.waiting),
            "limit": self.limit,
            "per_slot": round(self.requests_per_slot, 2),
            "typical_ms": round(self.average_duration_s * 1000),
            "in_time_share": round(self._in_time_share, 2),
        }

    def _sort_waiting(
        self, now: float, *, ignore_priority: bool
    ) -> list[QueueEntry]:
        """Returns the waiting requests in the order in which they start.

        Args:
          now: Monotonic time.
          ignore_priority: Whether priorities do not count, if no waiting
            request belongs to a workspace.
        """
        if any(entry.workspace is not None for entry in self.waiting):
            return self._order.sort(self.waiting, now)
        return sort_queue(self.waiting, now, ignore_priority=ignore_priority)

    def _adjust(self, now: float) -> None:
        """Adjusts the concurrency to how the latest requests ended."""
        self._in_time_share = self._in_time_count / self._ended_count
        self.requests_per_slot = adjust_requests_per_slot(
            self.requests_per_slot,
            in_time_share=self._in_time_share,
            saturated=self._saturated,
        )
        self._adjusted_s = now
        self._ended_count = self._in_time_count = 0
        self._saturated = self.has_waiting
