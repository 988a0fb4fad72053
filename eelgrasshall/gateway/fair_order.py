"""Order of waiting requests that is fair over workspaces.

Within one priority, start-time fair queueing: each workspace has a tag, the
cost that it has been served, and the one with the least tag goes first.  A
workspace that was idle starts from the tags of those that were not, so that it
can't save up service.

Strict priorities, and equal shares for a workspace that asks for more than all
others, leave some requests without any service.  Workspaces and kinds of
request therefore earn a credit with each request, a part of what requests get
on average, and go before all others once it covers a request.  This module does
no I/O and reads no clock.
"""

from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import NamedTuple
from typing import Protocol

# Least share of its requests, by cost, that a workspace or kind gets started,
# relative to that of all requests.  Callers must get at least a quarter; the
# rest covers requests that are started but answered late.
GUARANTEED_SHARE = 0.5
# Most requests for which a credit is saved up.
MAX_CREDIT_REQUESTS = 3.0
# Time constant of the share of all requests that are started.
SHARE_DECAY_S = 1.0
# Workspaces above which all that was served is forgotten.
MAX_TAGS = 1000


class Entry(Protocol):
    """What the order depends on; see `admission.QueueEntry`."""

    priority: int
    arrived_s: float
    latest_start_s: float
    workspace: str | None
    workspace_priority: int
    cost_s: float


class _Group(NamedTuple):
    """Requests that are guaranteed a share of the service together."""

    kind: str
    value: Hashable


def _list_groups(entry: Entry) -> tuple[_Group, ...]:
    """Returns the groups of a request: its workspace and its kind."""
    return (
        _Group("workspace", entry.workspace),
        _Group("priority", entry.priority),
    )


class FairOrder:
    """What the requests for one set of services have been served so far."""

    def __init__(self):
        # Tags and the least tag of those that wait, in seconds of work.
        self._tags: dict[str | None, float] = {}
        self._virtual_s = 0.0
        self._credits: dict[_Group, float] = {}
        # Cost of the requests that have arrived and started, decayed.
        self._arrived_cost_s = 0.0
        self._started_cost_s = 0.0
        self._decayed_s = 0.0

    def record_arrival(self, entry: Entry, now: float) -> None:
        """Adds the credit that an arriving request earns."""
        decay = math.exp(-max(now - self._decayed_s, 0.0) / SHARE_DECAY_S)
        self._decayed_s = max(now, self._decayed_s)
        self._arrived_cost_s *= decay
        self._started_cost_s *= decay
        earned_s = entry.cost_s * GUARANTEED_SHARE * self._get_started_share()
        self._arrived_cost_s += entry.cost_s
        for group in _list_groups(entry):
            self._credits[group] = min(
                self._credits.get(group, 0.0) + earned_s,
                entry.cost_s * MAX_CREDIT_REQUESTS,
            )

    def record_start(self, entry: Entry, waiting: Iterable[Entry]) -> None:
        """Records the start of a request.

        Args:
          entry: The request.
          waiting: The requests that go on waiting.
        """
        self._started_cost_s += entry.cost_s
        tag_s = self._get_tag_s(entry.workspace)
        # A request that starts out of order must not raise the tags of all.
        self._virtual_s = min(
            (self._get_tag_s(each.workspace) for each in waiting), default=tag_s
        )
        self._virtual_s = min(self._virtual_s, tag_s)
        self._tags[entry.workspace] = tag_s + entry.cost_s
        for group in _list_groups(entry):
            self._credits[group] = max(
                self._credits.get(group, 0.0) - entry.cost_s, 0.0
            )
        if len(self._tags) > MAX_TAGS:
            self._virtual_s = max(self._tags.values())
            self._tags.clear()
            self._credits.clear()

    def sort(self, waiting: Sequence[Entry], now: float) -> list[Entry]:
        """Returns waiting requests in the order in which they should start.

        Requests that can still be answered in time come first.  Among these, a
        workspace or kind whose credit covers a request, then by priority, then
        by the cost that workspaces have been served, then the newest.

        Args:
          waiting: The waiting requests.
          now: Monotonic time.
        """
        tags_s: dict[str | None, float] = {}
        ranked = []
        for entry in sorted(waiting, key=lambda each: _rank(each, now)):
            tag_s = tags_s.get(entry.workspace)
            if tag_s is None:
                tag_s = self._get_tag_s(entry.workspace)
            tags_s[entry.workspace] = tag_s + entry.cost_s
            late, workspace_priority, priority, newest = _rank(entry, now)
            rank = (late, workspace_priority, priority, tag_s, newest)
            ranked.append((rank, entry))
        ranked.sort(key=lambda pair: pair[0])
        return self._put_owed_first([entry for _, entry in ranked], now)

    def _put_owed_first(
        self, ordered: Sequence[Entry], now: float
    ) -> list[Entry]:
        """Moves requests forward that a credit covers and that are in time."""
        credits_s = dict(self._credits)
        owed, others = [], []
        # Groups of which an earlier request is not covered.
        uncovered: set[_Group] = set()
        for entry in ordered:
            groups = _list_groups(entry)
            uncovered.update(
                group
                for group in groups
                if credits_s.get(group, 0.0) < entry.cost_s
            )
            if now > entry.latest_start_s or uncovered.issuperset(groups):
                others.append(entry)
                continue
            owed.append(entry)
            for group in groups:
                left_s = credits_s.get(group, 0.0) - entry.cost_s
                credits_s[group] = max(left_s, 0.0)
        return owed + others

    def _get_tag_s(self, workspace: str | None) -> float:
        """Returns the tag of a workspace, which is never behind all others."""
        return max(self._tags.get(workspace, 0.0), self._virtual_s)

    def _get_started_share(self) -> float:
        """Returns the share of the latest requests, by cost, that started."""
        if self._arrived_cost_s <= 0.0:
            return 1.0
        return min(self._started_cost_s / self._arrived_cost_s, 1.0)


def _rank(entry: Entry, now: float) -> tuple[bool, int, int, float]:
    """Returns the place of a request without regard to what was served."""
    return (
        now > entry.latest_start_s,
        entry.workspace_priority,
        entry.priority,
        -entry.arrived_s,
    )
