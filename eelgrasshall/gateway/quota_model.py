"""A model of hosts that divide the quotas of workspaces, in virtual time.

Hosts hear each other's heartbeats with delays, are cut off, frozen and
restarted, and callers turn to another host when one refuses.  The decisions are
those of `quotas`; how limits are divided may be replaced, for comparisons.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import math
import random as random_module
from typing import Any
from typing import NamedTuple

from eelgrasshall.gateway import active_hosts
from eelgrasshall.gateway import model
from eelgrasshall.gateway import quota_account
from eelgrasshall.gateway import quota_gossip
from eelgrasshall.gateway import quotas
from eelgrasshall.gateway import rate_limits

BOUND = quota_account.QuotaBound(window_s=5.0, excess=0.1, slack=20.0)
HEARTBEAT_PERIOD_S = 0.25
VIEW_PERIOD_S = 0.25
# Time until a heartbeat has reached all hosts, and time without one after which
# a host counts as dead: in small fleets and in large ones.
DIRECT_DELAY_S, DIRECT_TIMEOUT_S = 0.02, 1.2
RELAY_DELAY_S, RELAY_TIMEOUT_S = 2.0, 2.5
LARGE_FLEET = 17
MESSAGE_DELAY_S = 0.003
# How often a request that waits for credit tries again, and at how many hosts a
# caller tries.
CREDIT_POLL_S = 0.02
MAX_TRIES = 3
RESTART_S = 0.6
# Bytes of a datagram before its payload.
DATAGRAM_OVERHEAD = 28


class DemandView(NamedTuple):
    """A view that includes the recent demand at each host.

    Attributes:
      active: Names of the active hosts, sorted.
      part: Part of the limit that is due to the hosts that are heard.
      demands: Requests per second at each active host.
    """

    active: tuple[str, ...]
    part: float
    demands: tuple[float, ...]


class Host:
    """One host of the model.

    Args:
      name: Its name.
    """

    def __init__(self, *, name: str):
        self.name = name
        self.quotas: quotas.Quotas | None = None
        self.started_s = -math.inf
        self.frozen_until_s = -math.inf
        self.side = 0
        self.heard_s: dict[str, float] = {}
        self.arrivals: collections.deque[float] = collections.deque()
        self.demands: dict[str, float] = {}
        # What arrived while the process was frozen.
        self.backlog: list[Callable[[], None]] = []


class Fleet:
    """Hosts and callers.

    Attributes:
      now: The virtual time.
      sent: Times at which requests were sent to servers, by workspace.
      asked: Number of callers' requests.
      lost: Number of requests that no host served, and the times.
      first_refusals: Number of requests that the first host refused.
      message_bytes: Bytes of the messages about credit.

    Args:
      hosts: Number of hosts.
      active: Number of active hosts.
      workspaces: The workspaces.
      seed: Seed of the random number generator.
      share_rule: Returns the part of a limit that is due to a host.
      lends: Whether hosts lend each other tokens.
      follows_demand: Whether views include the demand at each host.
      loss: Share of the messages that are lost.
      bound: The bound on the requests of a workspace.
    """

    def __init__(
        self,
        *,
        hosts: int,
        active: int,
        workspaces: dict[str, model.Workspace],
        seed: int = 1,
        share_rule: quotas.ShareRule = quotas.compute_share,
        lends: bool = True,
        follows_demand: bool = False,
        loss: float = 0.0,
        bound: quota_account.QuotaBound = BOUND,
    ):
        self.now = 0.0
        self.random = random_module.Random(seed)
        self.workspaces = workspaces
        self.sent: dict[str, list[float]] = collections.defaultdict(list)
        self.asked = 0
        self.lost: list[float] = []
        self.first_refusals = 0
        self.message_bytes = 0
        self.loss = loss
        self._bound = bound
        self._active_count = active
        self._share_rule = share_rule
        self._lends = lends
        self._follows_demand = follows_demand
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        names = tuple(f"h{i:02d}" for i in range(hosts))
        self.names = names
        # Only hosts that may become active are simulated; the others are heard
        # like those of their side.
        self.hosts = {
            name: Host(name=name) for name in names[: min(hosts, 3 * active)]
        }
        self.phantom_sides: dict[str, int] = dict.fromkeys(
            names[len(self.hosts) :], 0
        )
        self.cut_s = -math.inf
        large = hosts >= LARGE_FLEET
        self._delay_s = RELAY_DELAY_S if large else DIRECT_DELAY_S
        self._timeout_s = RELAY_TIMEOUT_S if large else DIRECT_TIMEOUT_S
        for host in self.hosts.values():
            self._start(host)
            self._beat(host)

    # Control.

    def at(self, time_s: float, action: Callable[[], Any]) -> None:
        """Schedules an action."""
        heapq.heappush(self._events, (time_s, next(self._numbers), action))

    def run(self, until_s: float) -> None:
        """Runs the model until a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until_s

    def list_active(self, side: int = 0) -> list[Host]:
        """Returns the hosts that callers use, as the hosts of a side see it."""
        for host in self.hosts.values():
            if host.side == side and self._is_up(host):
                names = self._list_heard(host)[: self._active_count]
                found = [
                    self.hosts[name]
                    for name in names
                    if name in self.hosts and self._is_up(self.hosts[name])
                ]
                return found or [host]
        return []

    def restart(self, host: Host) -> None:
        """Restarts a host."""
        host.quotas = None
        self.at(self.now + RESTART_S, lambda: self._start(host))

    def freeze(self, host: Host, duration_s: float) -> None:
        """Suspends a host's process."""
        host.frozen_until_s = self.now + duration_s
        self.at(host.frozen_until_s, lambda: self._thaw(host))

    def cut(self, sides: dict[str, int]) -> None:
        """Cuts links so that only hosts of one side hear each other."""
        self.cut_s = self.now
        for name, host in self.hosts.items():
            host.side = sides.get(name, 0)
        for name in self.phantom_sides:
            self.phantom_sides[name] = sides.get(name, 0)

    def configure(self, workspaces: dict[str, model.Workspace]) -> None:
        """Puts new limits in force; hosts learn of them one after the other."""
        self.workspaces = workspaces
        for host in self.hosts.values():
            self.at(
                self.now + self.random.uniform(0.0, 0.5),
                lambda host=host: self._apply(host),
            )

    # Callers.

    def request(
        self,
        workspace: str,
        host: Host,
        tries: int = 1,
        side: int | None = None,
    ) -> None:
        """Sends a caller's request to a host."""
        if tries == 1:
            self.asked += 1
        if host.quotas is None or not self._is_frozen(host):
            self._handle(workspace, host, tries, None, side)
        else:
            host.backlog.append(
                lambda: self._handle(workspace, host, tries, None, side)
            )

    def _handle(
        self,
        workspace: str,
        host: Host,
        tries: int,
        waited_since_s: float | None,
        side: int | None,
    ) -> None:
        """Decides about a request at a host."""
        result = None
        if host.quotas is not None:
            if waited_since_s is None:
                host.arrivals.append(self.now)
                result = host.quotas.take(workspace, self.now)
            else:
                result = host.quotas.retake(workspace, self.now)
            if isinstance(result, quotas.Grant):
                host.quotas.record_send(workspace, self.now)
                self.sent[workspace].append(self.now)
                return
            if result.asked and self._lends:
                self._send(host)
                since_s = self.now if waited_since_s is None else waited_since_s
                if self.now - since_s < quotas.CREDIT_WAIT_S:
                    self.at(
                        self.now + CREDIT_POLL_S,
                        lambda: self._handle(
                            workspace, host, tries, since_s, side
                        ),
                    )
                    return
        if tries == 1:
            self.first_refusals += 1
        over_quota = result is not None and result.over_quota
        others = [
            each
            for each in self.list_active(host.side if side is None else side)
            if each is not host
        ]
        if over_quota or tries == MAX_TRIES or not others:
            self.lost.append(self.now)
            return
        other = self.random.choice(others)
        self.at(
            self.now + quotas.RETRY_ELSEWHERE_S,
            lambda: self.request(workspace, other, tries + 1, side),
        )

    # Hosts.

    def _start(self, host: Host) -> None:
        """Starts a host's process."""
        host.quotas = quotas.Quotas(
            own=host.name, bound=self._bound, share_rule=self._share_rule
        )
        host.started_s = self.now
        host.heard_s = {}
        self._apply(host)
        started_s = host.started_s
        self.at(self.now + 0.05, lambda: self._update_view(host, started_s))

    def _apply(self, host: Host) -> None:
        """Puts the present configuration in force at a host."""
        if host.quotas is not None:
            host.quotas.configure(self.workspaces, self.now)

    def _is_up(self, host: Host) -> bool:
        """Returns whether a host's process runs."""
        return host.quotas is not None and not self._is_frozen(host)

    def _is_frozen(self, host: Host) -> bool:
        """Returns whether a host's process is suspended."""
        return self.now < host.frozen_until_s

    def _thaw(self, host: Host) -> None:
        """Handles what arrived at a host while it was suspended."""
        if self.now < host.frozen_until_s:
            return
        backlog, host.backlog = host.backlog, []
        for action in backlog:
            action()

    def _deliver(self, host: Host, action: Callable[[], None]) -> None:
        """Handles a datagram at a host."""
        if host.quotas is None:
            return
        if self._is_frozen(host):
            host.backlog.append(action)
        else:
            action()

    def _beat(self, host: Host) -> None:
        """Sends heartbeats."""
        self.at(
            self.now + HEARTBEAT_PERIOD_S * self.random.uniform(0.9, 1.1),
            lambda: self._beat(host),
        )
        if not self._is_up(host):
            return
        demand = self._measure_demand(host)
        for other in self.hosts.values():
            if other is host or other.side != host.side:
                continue
            if self.random.random() < self.loss:
                continue
            self.at(
                self.now + self.random.uniform(0.0, self._delay_s),
                lambda other=other: self._deliver(
                    other, lambda: self._hear(other, host.name, demand)
                ),
            )
        if self._lends:
            self._send(host)

    def _hear(self, host: Host, name: str, demand: float) -> None:
        """Records a heartbeat."""
        host.heard_s[name] = self.now
        host.demands[name] = demand

    def _measure_demand(self, host: Host) -> float:
        """Returns the requests in the last second."""
        while host.arrivals and host.arrivals[0] < self.now - 1.0:
            host.arrivals.popleft()
        return float(len(host.arrivals))

    def _list_heard(self, host: Host) -> list[str]:
        """Returns the names of the hosts that a host hears, and its own."""
        is_cut_new = self.now - self.cut_s < self._timeout_s
        return sorted(
            [host.name]
            + [
                name
                for name, heard_s in host.heard_s.items()
                if self.now - heard_s <= self._timeout_s
            ]
            + [
                name
                for name, side in self.phantom_sides.items()
                if side == host.side or is_cut_new
            ]
        )

    def _update_view(self, host: Host, started_s: float) -> None:
        """Sets what a host knows of the others."""
        if host.quotas is None or host.started_s != started_s:
            return
        if self._is_frozen(host):
            self.at(
                host.frozen_until_s + 0.01,
                lambda: self._update_view(host, started_s),
            )
            return
        self.at(
            self.now + VIEW_PERIOD_S,
            lambda: self._update_view(host, started_s),
        )
        heard = self._list_heard(host)
        active = tuple(heard[: self._active_count])
        part = active_hosts.compute_part(
            heard=len(heard), missing=len(self.names) - len(heard)
        )
        view = rate_limits.FleetView(active, part)
        if self._follows_demand:
            demands = dict(host.demands)
            demands[host.name] = self._measure_demand(host)
            view = DemandView(
                active, part, tuple(demands.get(name, 0.0) for name in active)
            )
        host.quotas.set_hosts(self.names, self.now)
        host.quotas.set_view(view, self.now)

    def _send(self, host: Host) -> None:
        """Sends a host's reports."""
        if host.quotas is None or not host.quotas.needs_credit(self.now):
            return
        by_receiver = collections.defaultdict(list)
        for report in host.quotas.list_gossip(
            self.now, quota_gossip.MAX_ENTRIES
        ):
            by_receiver[report.receiver].append(report)
        for receiver, reports in by_receiver.items():
            datagram = quota_gossip.encode(reports)
            self.message_bytes += len(datagram) + DATAGRAM_OVERHEAD
            other = self.hosts.get(receiver)
            if (
                other is None
                or other.side != host.side
                or self.random.random() < self.loss
            ):
                continue
            self.at(
                self.now + MESSAGE_DELAY_S,
                lambda other=other, datagram=datagram: self._deliver(
                    other, lambda: self._receive(other, datagram)
                ),
            )

    def _receive(self, host: Host, datagram: bytes) -> None:
        """Handles reports of another host and answers them."""
        if host.quotas is None:
            return
        host.quotas.merge(quota_gossip.decode(datagram, self.now), self.now)
        self._send(host)


def find_largest_excess(
    times: list[float],
    workspace: model.Workspace,
    *,
    bound: quota_account.QuotaBound = BOUND,
    since_s: float = 0.0,
) -> float:
    """Returns the most requests in a window beyond those that are allowed.

    Args:
      times: When requests were sent.
      workspace: The workspace with the limit.
      bound: The bound.
      since_s: Begin of the first window.
    """
    times = sorted(each for each in times if each >= since_s)
    limit = workspace.rate_per_s * bound.window_s + workspace.burst
    allowed = limit * (1.0 + bound.excess) + bound.slack
    most, first = 0, 0
    for last, time_s in enumerate(times):
        while times[first] < time_s - bound.window_s:
            first += 1
        most = max(most, last - first + 1)
    return most - allowed
