"""A fleet of hosts that follow a rollout, in simulated time, for tests.

The decisions are the real ones.  Hosts get callers' requests, send them to
versions with given rates of bad answers, and exchange reports as datagrams, all
to all in a small fleet and to two random hosts in a large one.  The status is
written to a store that hosts read with a delay.  Hosts can be restarted and cut
off.
"""

from collections.abc import Callable
import heapq
import itertools
import random as random_module
from typing import Any
from typing import NamedTuple
import zlib

from eelgrasshall.gateway import active_hosts
from eelgrasshall.gateway import election
from eelgrasshall.gateway import model
from eelgrasshall.gateway import peers
from eelgrasshall.gateway import rollout_gossip
from eelgrasshall.gateway import rollout_writer
from eelgrasshall.gateway import rollouts

SERVICE = "orders"
TARGET = "v2"
ROUTES = ("find", "buy", "list")
STEP_S = 0.05
GOSSIP_PERIOD_S = 0.25
# Time until all hosts have read a change of the store.
STORE_DELAY_S = 0.6
LATENCY_S = 0.05
SLOW_LATENCY_S = 0.4
DATAGRAM_LOSS = 0.02
# Time for which the hosts run before the order.
LEAD_S = 15.0


class Quality(NamedTuple):
    """Shares of a version's answers.

    Attributes:
      failed: Share of failures.
      slow: Share of answers that are slow.
    """

    failed: float = 0.003
    slow: float = 0.03


GOOD = Quality()

# Returns the quality of a version, given the seconds since the order, the route
# and the share of the requests of the last second that the target got.
Behaviour = Callable[[float, str, float], Quality]


class Sent(NamedTuple):
    """A request that reached the service.

    Attributes:
      at_s: Time since the order at which the caller sent it.
      host: The host.
      is_target: Whether it was sent to the target version.
      is_cut: Whether the host was cut off.
    """

    at_s: float
    host: str
    is_target: bool
    is_cut: bool


class _Host:
    """One host: its decisions, and whom it can reach."""

    def __init__(self, name: str, incarnation: int):
        self.name = name
        self.incarnation = incarnation
        self.group = 0
        self.orders = rollouts.Rollouts(
            own=name, incarnation=incarnation, bound=rollouts.Bound()
        )
        self.revision = 0
        self.old_in_flight = 0


class Simulation:
    """A fleet during one rollout.

    Attributes:
      sent: All requests that reached the service since the order.
      bad_s: Times of the target's bad answers since the order.
      states: Each state that was written and when, since the order.

    Args:
      hosts: Number of hosts.
      rate: Requests per second of all callers.
      target: The behaviour of the target version.
      old: The behaviour of the old version.
      period_s: Time from the order to its deadline.
      seed: Seed of all random choices.
      active: Number of hosts that callers use.
    """

    def __init__(
        self,
        *,
        hosts: int,
        target: Behaviour,
        old: Behaviour = lambda at_s, route, load: GOOD,
        rate: float = 120.0,
        period_s: float = 12.0,
        seed: int = 1,
        active: int | None = None,
    ):
        self.random = random_module.Random(seed)
        self._qualities = {True: target, False: old}
        self._rate = rate
        self.period_s = period_s
        self.active = min(active or max(3, hosts // 10), hosts)
        self._incarnations = itertools.count(1)
        self.hosts = [
            _Host(f"h{i}", next(self._incarnations)) for i in range(hosts)
        ]
        self.now_s = 0.0
        self.sent: list[Sent] = []
        self.bad_s: list[float] = []
        self.states: list[tuple[float, model.RolloutState]] = []
        self.store_down = False
        self._rollout: model.Rollout | None = None
        self._revision = 0
        self._written_s = 0.0
        self._numbers = itertools.count()
        # Ends of attempts: time, number, host, incarnation, route, answer.
        self._ends: list[tuple[Any, ...]] = []
        self._recent: list[tuple[float, bool]] = []
        self._next_gossip_s = 0.0
        self._next_share_s = 0.0

    @property
    def at_s(self) -> float:
        """Time since the order."""
        return self.now_s - LEAD_S

    def order(self) -> None:
        """Writes the order to the store."""
        self._write(model.Rollout(SERVICE, TARGET, self.period_s))

    def restart(self, index: int) -> None:
        """Restarts a host, which then fetches the order from another one."""
        old = self.hosts[index]
        self.hosts[index] = _Host(old.name, next(self._incarnations))
        self.hosts[index].group = old.group

    def cut(self, index: int, group: int) -> None:
        """Lets a host reach only those of a group; group 0 has the store."""
        self.hosts[index].group = group

    def run(
        self,
        until_s: float,
        events: list[tuple[float, Callable[[], None]]] = (),
    ) -> None:
        """Runs to a time since the order, with events at given times."""
        waiting = sorted(events, key=lambda each: each[0])
        while self.at_s < until_s:
            self.now_s += STEP_S
            while waiting and self.at_s >= waiting[0][0]:
                waiting.pop(0)[1]()
            self._step()

    def count_target(self, until_s: float) -> tuple[int, int]:
        """Returns the requests up to a time, and those to the target."""
        sent = [each for each in self.sent if 0 <= each.at_s <= until_s]
        return len(sent), sum(each.is_target for each in sent)

    @property
    def state(self) -> model.RolloutState | None:
        """The state in the store."""
        return self._rollout.state if self._rollout else None

    def _write(self, rollout: model.Rollout) -> None:
        """Writes the order and its state to the store."""
        self._revision += 1
        self._rollout = rollout
        self._written_s = self.now_s

    def _step(self) -> None:
        """Simulates one step of time."""
        now = self.now_s
        if now >= self._next_share_s:
            self._next_share_s = now + 1.0
            self._set_shares()
        self._read_store()
        while self._ends and self._ends[0][0] <= now:
            self._end(self._ends[0])
            heapq.heappop(self._ends)
        count = self._rate * STEP_S
        for _ in range(int(count) + (self.random.random() < count % 1)):
            host = self.hosts[self.random.randrange(self.active)]
            self._request(host)
        for host in self.hosts:
            host.orders.update(now, {SERVICE: host.old_in_flight})
            host.orders.take_changes()
        if now >= self._next_gossip_s:
            self._next_gossip_s = now + GOSSIP_PERIOD_S
            self._gossip()
        self._write_status()

    def _set_shares(self) -> None:
        """Gives each host its share, by those that it hears."""
        for index, host in enumerate(self.hosts):
            heard = sum(each.group == host.group for each in self.hosts)
            host.orders.set_share(
                active_hosts.compute_extra_share(
                    is_active=index < self.active,
                    sharing=active_hosts.count_sharing_hosts(
                        len(self.hosts), self.active
                    ),
                    heard=heard,
                    missing=len(self.hosts) - heard,
                ),
                self.now_s,
            )

    def _read_store(self) -> None:
        """Brings the order to the hosts that can read it."""
        if self._rollout is None or self.store_down:
            return
        for host in self.hosts:
            delay_s = STORE_DELAY_S * (zlib.crc32(host.name.encode()) % 7) / 6
            if (
                host.group == 0
                and host.revision < self._revision
                and self.now_s >= self._written_s + delay_s
            ):
                host.revision = self._revision
                host.orders.set_order(
                    SERVICE, self._rollout, self._revision, self.now_s
                )

    def _request(self, host: _Host) -> None:
        """Sends one request of a caller."""
        route = self.random.choice(ROUTES)
        phase = host.orders.list_phases().get(SERVICE)
        is_target = phase in (rollouts.Phase.SWITCHED, rollouts.Phase.COMPLETED)
        if host.orders.take_trial(SERVICE, self.now_s, available=True):
            is_target = True
        self._attempt(host, route, is_target=is_target)

    def _attempt(self, host: _Host, route: str, *, is_target: bool) -> None:
        """Sends one attempt; a failed one at the target is repeated."""
        now = self.now_s
        self._recent = [each for each in self._recent if each[0] > now - 1.0]
        self._recent.append((now, is_target))
        load = sum(each for _, each in self._recent) / len(self._recent)
        quality = self._qualities[is_target](self.at_s, route, load)
        if self._rollout is not None:
            self.sent.append(Sent(self.at_s, host.name, is_target, host.group))
        draw = self.random.random()
        answer = rollouts.Answer.GOOD
        if draw < quality.failed:
            answer = rollouts.Answer.FAILED
        elif draw < quality.failed + quality.slow:
            answer = rollouts.Answer.SLOW
        latency_s = LATENCY_S
        if answer is rollouts.Answer.SLOW:
            latency_s = SLOW_LATENCY_S
        host.old_in_flight += not is_target
        end = (now + latency_s, next(self._numbers), host, route, answer)
        heapq.heappush(self._ends, (*end, is_target))

    def _end(self, end: tuple[Any, ...]) -> None:
        """Ends an attempt."""
        _, _, host, route, answer, is_target = end
        host.old_in_flight -= not is_target
        if is_target and answer is not rollouts.Answer.GOOD:
            self.bad_s.append(self.at_s)
        version = TARGET if is_target else "v1"
        if host in self.hosts:
            host.orders.record_answer(
                SERVICE, route, version, answer, self.now_s
            )
            if answer is rollouts.Answer.FAILED and is_target:
                phase = host.orders.list_phases().get(SERVICE)
                self._attempt(
                    host,
                    route,
                    is_target=phase
                    in (rollouts.Phase.SWITCHED, rollouts.Phase.COMPLETED),
                )

    def _gossip(self) -> None:
        """Lets all hosts exchange reports."""
        is_large = len(self.hosts) > peers.RELAY_MIN_HOSTS
        for host in self.hosts:
            reports = host.orders.list_gossip(self.now_s)
            if not reports:
                continue
            datagram, sent = rollout_gossip.encode(reports)
            host.orders.mark_sent(sent, self.now_s)
            decoded = rollout_gossip.decode(datagram, self.now_s)
            others = [each for each in self.hosts if each is not host]
            if is_large:
                active = self.hosts[: self.active]
                others = self.random.sample(others, 2)
                others += [
                    each
                    for each in active
                    if each is not host and each not in others
                ]
            for other in others:
                if (
                    other.group == host.group
                    and self.random.random() > DATAGRAM_LOSS
                ):
                    other.orders.merge(decoded, self.now_s)

    def _write_status(self) -> None:
        """Lets the hosts write the states that are due."""
        if self._rollout is None or self.store_down:
            return
        for group in {host.group for host in self.hosts}:
            self._write_status_of(
                [host for host in self.hosts if host.group == group]
            )

    def _write_status_of(self, hosts: list[_Host]) -> None:
        """Lets the writer among hosts that hear each other write."""
        names = tuple(host.name for host in hosts)
        candidates = tuple(
            election.Candidate(host.name, "a", host.group == 0)
            for host in hosts
        )
        is_minority = len(hosts) * 2 < len(self.hosts)
        fleet = rollout_writer.Fleet(
            candidates[0], candidates[1:], names[1:], is_minority
        )
        writer = rollout_writer.choose_writer(SERVICE, fleet)
        for host in hosts:
            if host.name != writer:
                continue
            heard = [name for name in names if name != host.name]
            for rollout, revision in host.orders.list_due_states(
                self.now_s, heard, is_minority=is_minority
            ):
                if revision == self._revision:
                    self._write(rollout)
                    self.states.append((self.at_s, rollout.state))
