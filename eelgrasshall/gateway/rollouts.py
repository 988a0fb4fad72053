"""Decisions on rollouts: which version gets a request, and when that changes.

An order moves a service to a target version.  While it is on trial, each host
sends it first attempts within a budget that is part of a fleet-wide bound.
Hosts count the answers of both versions by route and tell each other.  Each
host tests the increments for a target that is worse than the old version at the
same time.  Late in the period, a target with enough answers gets all requests,
and the writer of the status ends the rollout.

This module does no I/O and reads no clock.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import enum
import math
from typing import NamedTuple

from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import shares

# Share of the exposure bound that is spent on the trial.  The rest covers the
# time from the switch-over to the deadline.
USABLE_SHARE = 0.5
# Window over which a host's share of the fixed part is the least one: longer
# than hosts take to notice that another one is gone or back.
SHARE_WINDOW_S = 10.0
# How long before the deadline all requests move to the target.  Counts of the
# trial have spread through a large fleet by then, and requests in flight at the
# old servers end before the deadline.
SWITCH_LEAD_S = 2.0
# How long before the deadline the end state is written at the earliest: until
# then the target shows whether it is bad under load only.
EARLIEST_LEAD_S = 0.8
# How long before the deadline the end state is written at the latest, whatever
# is still in flight at the old servers.
WRITE_LEAD_S = 0.5
# How much later a host writes an end state that hears less than half of the
# hosts: those on the other side of a partition may know more.
MINORITY_DELAY_S = 2.0
# Fewest answers of the target with which it gets all requests.
MIN_ANSWERS = 10
# Score at which a target counts as bad: a good one reaches it in one of e^12
# excursions.
BAD_SCORE = 12.0
# Score at which a target does not get all requests.
SUSPECT_SCORE = 6.0
# Rate of bad answers that any version may have.
MIN_RATE = 0.02
MAX_RATE = 0.9
# Excess of bad answers that the test is made for, as a share of the good ones.
EXCESS = 0.15
# Time constants with which the old version's rates decay.  The short one
# follows the beginning of a fault that affects both versions.
RATE_WINDOWS_S = (0.5, 2.0, 8.0)
# An answer that takes longer than this many medians of the old version is slow.
SLOW_FACTOR = 2.5
# Most routes of a service that are told apart; the others are one.
MAX_ROUTES = 16
OTHER_ROUTES = ""
# Most processes of hosts whose counts are kept for an order.
MAX_REPORTS = 500
# How often a changed report is passed on, and the interval after that.
FRESH_SENDS = 4
REFRESH_INTERVAL_S = 1.0
# How long reports of an ended order are passed on.
ENDED_RETENTION_S = 10.0


class Bound(NamedTuple):
    """What a bad version may cost, over all hosts together.

    Attributes:
      expose_share: Share of the requests to its service that it may get.
      expose_slack: Requests that it may get beyond that.
      rollback_s: Time after its fiftieth bad answer in which requests to it
        end, seconds.
    """

    expose_share: float = 0.1
    expose_slack: float = 50.0
    rollback_s: float = 5.0


class Phase(enum.IntEnum):
    """How far a rollout is at one host; a phase never goes back."""

    TRIAL = 0
    SWITCHED = 1
    ROLLED_BACK = 2
    COMPLETED = 3


class Answer(enum.Enum):
    """How an attempt at a server ended."""

    GOOD = "good"
    SLOW = "slow"
    FAILED = "failed"


class Counts(NamedTuple):
    """Cumulative numbers of answers on one route, at one host.

    Attributes:
      target: Answers of the target version.
      target_failed: Those that are failures.
      target_slow: Those that are slow.
      old: Answers of the old version.
      old_failed: Those that are failures.
      old_slow: Those that are slow.
    """

    target: int = 0
    target_failed: int = 0
    target_slow: int = 0
    old: int = 0
    old_failed: int = 0
    old_slow: int = 0

    def add(self, other: "Counts") -> "Counts":
        """Returns the sum of two counts."""
        return Counts(*(a + b for a, b in zip(self, other, strict=True)))

    def subtract(self, other: "Counts") -> "Counts":
        """Returns the increase since earlier counts."""
        return Counts(
            *(max(a - b, 0) for a, b in zip(self, other, strict=True))
        )


_INCREMENTS = {
    (True, Answer.GOOD): Counts(target=1),
    (True, Answer.SLOW): Counts(target=1, target_slow=1),
    (True, Answer.FAILED): Counts(target=1, target_failed=1),
    (False, Answer.GOOD): Counts(old=1),
    (False, Answer.SLOW): Counts(old=1, old_slow=1),
    (False, Answer.FAILED): Counts(old=1, old_failed=1),
}


class Report(NamedTuple):
    """What one process of a host has seen of an order.

    Attributes:
      service: The service.
      target_version: The target version.
      order_id: Identifies the order; 0 if the host does not know it.
      age_s: Time since the order, as the host knows it, seconds.
      host: Name of the host.
      incarnation: Identifies its process.
      serial: Rises with each change of the report.
      phase: The phase at the host.
      old_in_flight: Attempts in flight or queued at servers of the old version.
      counts: The counts by route.
    """

    service: str
    target_version: str
    order_id: int
    age_s: float
    host: str
    incarnation: int
    serial: int
    phase: Phase
    old_in_flight: int
    counts: dict[str, Counts]


class SequentialTest:
    """Tests whether the target has more bad answers than the old version.

    The score is a cumulative sum of log-likelihood ratios, restarted at 0, so
    that a version that turns bad late is found as fast as one that is bad from
    the beginning.
    """

    def __init__(self):
        self.score = 0.0
        self.rate = MIN_RATE
        # Bad answers and answers of the old version, decayed, by time constant.
        self._old = dict.fromkeys(RATE_WINDOWS_S, (0.0, 0.0))
        self._updated_s = 0.0

    def add(
        self,
        *,
        target: int,
        target_bad: int,
        old: int,
        old_bad: int,
        now: float,
    ) -> None:
        """Adds answers that were given at the same time.

        Args:
          target: Answers of the target.
          target_bad: The bad ones among them.
          old: Answers of the old version.
          old_bad: The bad ones among them.
          now: Monotonic time.
        """
        elapsed_s = max(now - self._updated_s, 0.0)
        self._updated_s = now
        for window_s, (bad, total) in self._old.items():
            kept = math.exp(-elapsed_s / window_s)
            self._old[window_s] = (bad * kept + old_bad, total * kept + old)
        if not target:
            return
        self.rate = self._estimate_rate(old, old_bad)
        bad_rate = self.rate + EXCESS * (1.0 - self.rate)
        good = target - target_bad
        step = target_bad * math.log(bad_rate / self.rate)
        step += good * math.log((1.0 - bad_rate) / (1.0 - self.rate))
        self.score = max(self.score + step, 0.0)

    def _estimate_rate(self, old: int, old_bad: int) -> float:
        """Returns the old version's rate of bad answers at this time.

        It is the highest of several estimates: one that is too low would blame
        the target for a fault that affects both versions.
        """
        rates = [bad / (total + 1.0) for bad, total in self._old.values()]
        # With few answers the rate may be higher than it looks.
        bad, total = self._old[RATE_WINDOWS_S[-1]]
        rates.append((bad + 0.5) / (total + 1.0))
        # Counts that arrive late are compared with each other.
        rates.append(old_bad / (old + 1.0))
        return min(max(*rates, MIN_RATE), MAX_RATE)


class Versions(NamedTuple):
    """The versions of a service that get requests.

    Attributes:
      current: The version that gets requests; None if any does.
      trial: The version that gets some first attempts; None if there is none.
    """

    current: str | None
    trial: str | None = None


def choose_version(
    servers: Iterable[model.Server], *, excluded: str | None = None
) -> str | None:
    """Returns the version that most ready servers have.

    In a tie it is that of the server that started first.

    Args:
      servers: The servers of a service.
      excluded: A version that is not chosen.
    """
    ready = [
        each
        for each in servers
        if not each.draining and each.version != excluded
    ]
    numbers = collections.Counter(each.version for each in ready)
    started_ms: dict[str, int] = {}
    for each in ready:
        started_ms[each.version] = min(
            started_ms.get(each.version, each.started_at_ms),
            each.started_at_ms,
        )
    return min(
        numbers,
        key=lambda version: (-numbers[version], started_ms[version], version),
        default=None,
    )


class _Known(NamedTuple):
    """A report, and what became of it.

    Attributes:
      report: The report.
      received_s: Monotonic time at which it last changed.
      sends: How often it was passed on since then.
      sent_s: Monotonic time at which it was passed on last.
    """

    report: Report
    received_s: float
    sends: int = 0
    sent_s: float = -math.inf


class _Order:
    """An order and what is known of its course."""

    def __init__(
        self,
        *,
        rollout: model.Rollout,
        revision: int,
        order_id: int,
        bound: Bound,
        share: float,
        now: float,
    ):
        self.rollout = rollout
        self.revision = revision
        self.order_id = order_id
        self.started_s = now
        self.phase = Phase.TRIAL
        self.reason = "ordered"
        self.ended_s = math.inf
        self.share = share
        self.budget = hedging.ExtraAttemptBudget(
            bound=hedging.ExtraAttemptBound(
                bound.expose_share, bound.expose_slack
            ),
            share=share,
            usable_share=USABLE_SHARE,
            initial=0.0,
        )
        self.requests = 0
        self.trials = 0
        self.known: dict[tuple[str, int], _Known] = {}
        self.totals: dict[str, Counts] = {}
        self.tests: dict[tuple[str | None, Answer], SequentialTest] = {}

    @property
    def deadline_s(self) -> float:
        """Monotonic time of the deadline."""
        return self.started_s + self.rollout.period_s

    @property
    def worst(self) -> tuple[tuple[str | None, Answer], SequentialTest] | None:
        """The test with the highest score."""
        return max(
            self.tests.items(), key=lambda item: item[1].score, default=None
        )

    def sum_counts(self) -> Counts:
        """Returns the counts of all hosts over all routes."""
        total = Counts()
        for each in self.totals.values():
            total = total.add(each)
        return total


class Change(NamedTuple):
    """A change of a rollout's phase at this host, with its inputs.

    Attributes:
      service: The service.
      target_version: The target version.
      phase: The new phase; None if the order is gone.
      reason: Why it changed.
      counts: The counts of all hosts over all routes.
      score: The highest score of all tests.
      route: The route of that test; None for all routes.
      kind: What that test counts.
      old_rate: The old version's rate of such answers.
      oldest_s: Age of the oldest counts of another host, seconds.
    """

    service: str
    target_version: str
    phase: Phase | None
    reason: str
    counts: Counts
    score: float
    route: str | None
    kind: str
    old_rate: float
    oldest_s: float


class Rollouts:
    """All orders, as this host knows them.

    Args:
      own: Name of this host.
      incarnation: Identifies this process.
      bound: What a bad version may cost.
    """

    def __init__(self, *, own: str, incarnation: int, bound: Bound):
        self._own = own
        self._incarnation = incarnation
        self._bound = bound
        self._orders: dict[str, _Order] = {}
        self._delayed_share = shares.DelayedShare(window_s=SHARE_WINDOW_S)
        self._share = 0.0
        self._changes: list[Change] = []
        self._serial = 0

    # Orders.

    def set_order(
        self,
        service: str,
        rollout: model.Rollout | None,
        revision: int,
        now: float,
    ) -> None:
        """Sets or removes the order of a service.

        Args:
          service: The service.
          rollout: The order; None if it was deleted.
          revision: The store's revision of the change, with its era.
          now: Monotonic time.
        """
        known = self._orders.get(service)
        if rollout is None:
            if known is not None:
                del self._orders[service]
                self._note(known, None, "the order was deleted", now)
            return
        if known is not None and _is_same_order(known, rollout, revision):
            known.rollout, known.revision = rollout, revision
        else:
            is_new = rollout.state is model.RolloutState.NEW
            known = self._orders[service] = _Order(
                rollout=rollout,
                revision=revision,
                order_id=revision if is_new else 0,
                bound=self._bound,
                # A process that starts during an order does not know what the
                # one before it has spent.
                share=self._share if is_new else 0.0,
                now=now,
            )
            self._note(known, Phase.TRIAL, "ordered", now)
        if rollout.state is model.RolloutState.COMPLETED:
            self._set_phase(known, Phase.COMPLETED, "status", now)
        elif rollout.state is model.RolloutState.ROLLED_BACK:
            self._set_phase(known, Phase.ROLLED_BACK, "status", now)

    def set_share(self, share: float, now: float) -> None:
        """Sets the share of the fixed part that is due to this host.

        Has to be called every second or so.
        """
        self._share = self._delayed_share.update(share, now)
        for order in self._orders.values():
            if self._share < order.share:
                order.share = self._share
                order.budget.set_share(self._share)

    def choose_versions(
        self, service: str, servers: Sequence[model.Server]
    ) -> Versions:
        """Returns the versions of a service that get requests.

        Args:
          service: The service.
          servers: All of its servers.
        """
        order = self._orders.get(service)
        if order is None:
            return Versions(choose_version(servers))
        target = order.rollout.target_version
        if order.phase in (Phase.SWITCHED, Phase.COMPLETED):
            return Versions(target)
        current = choose_version(servers, excluded=target)
        if order.phase is Phase.ROLLED_BACK:
            return Versions(current)
        return Versions(current, target)

    # Requests and answers.

    def take_trial(self, service: str, now: float, *, available: bool) -> bool:
        """Counts a request; returns whether it goes to the target version.

        Args:
          service: The service.
          now: Monotonic time.
          available: Whether a server of the target version takes it.
        """
        order = self._orders.get(service)
        if order is None or order.phase is not Phase.TRIAL:
            return False
        order.requests += 1
        order.budget.deposit(now)
        if not available or not order.budget.try_withdraw():
            return False
        order.trials += 1
        return True

    def is_target(self, service: str, version: str) -> bool:
        """Returns whether a version is the target of a service's order."""
        order = self._orders.get(service)
        return order is not None and order.rollout.target_version == version

    def is_counted(self, service: str) -> bool:
        """Returns whether answers of a service are counted now."""
        order = self._orders.get(service)
        return order is not None and math.isinf(order.ended_s)

    def record_answer(
        self, service: str, route: str, version: str, answer: Answer, now: float
    ) -> None:
        """Counts an answer of a server, if an order is in progress."""
        order = self._orders.get(service)
        if order is None or not math.isinf(order.ended_s):
            return
        is_target = version == order.rollout.target_version
        own = self._get_own(order)
        if route not in own.counts and len(own.counts) >= MAX_ROUTES - 1:
            route = OTHER_ROUTES
        increment = _INCREMENTS[is_target, answer]
        counts = own.counts.get(route, Counts()).add(increment)
        self._set_own(order, now, counts={**own.counts, route: counts})
        self._add_increments(order, {route: increment}, now)

    # What hosts tell each other.

    def update(self, now: float, in_flight: dict[str, int]) -> None:
        """Advances the phases by time, and this host's reports.

        Has to be called several times in a second.

        Args:
          now: Monotonic time.
          in_flight: Attempts in flight or queued at servers of the old version,
            by service.
        """
        for service, order in self._orders.items():
            if (
                order.phase is Phase.TRIAL
                and now >= order.deadline_s - SWITCH_LEAD_S
                and order.sum_counts().target >= MIN_ANSWERS
                and not _is_suspect(order)
            ):
                self._set_phase(order, Phase.SWITCHED, "period", now)
            own = self._get_own(order)
            count = in_flight.get(service, 0)
            if (own.phase, own.old_in_flight) != (order.phase, count):
                self._set_own(
                    order, now, phase=order.phase, old_in_flight=count
                )

    def list_gossip(self, now: float) -> list[Report]:
        """Returns the reports that are due to be passed on, own ones first."""
        due = []
        for order in self._orders.values():
            if now - order.ended_s > ENDED_RETENTION_S:
                continue
            for (host, _), known in order.known.items():
                if (
                    known.sends < FRESH_SENDS
                    or now - known.sent_s >= REFRESH_INTERVAL_S
                ):
                    key = (host != self._own, known.sends, known.sent_s)
                    report = known.report._replace(
                        order_id=order.order_id, age_s=now - order.started_s
                    )
                    due.append((key, report))
        due.sort(key=lambda each: each[0])
        return [report for _, report in due]

    def mark_sent(self, reports: Iterable[Report], now: float) -> None:
        """Records that reports were passed on."""
        for each in reports:
            order = self._orders[each.service]
            key = (each.host, each.incarnation)
            known = order.known[key]
            order.known[key] = known._replace(sends=known.sends + 1, sent_s=now)

    def merge(self, reports: Iterable[Report], now: float) -> None:
        """Adds what other hosts have seen."""
        for each in reports:
            order = self._orders.get(each.service)
            if (
                order is None
                or order.rollout.target_version != each.target_version
                or not _may_be_same(order.order_id, each.order_id)
            ):
                continue
            if not order.order_id:
                order.order_id = each.order_id
            started_s = now - each.age_s
            if each.order_id and started_s < order.started_s:
                order.started_s = started_s
            self._merge_report(order, each, now)

    def _merge_report(self, order: _Order, report: Report, now: float) -> None:
        """Adds a report that belongs to an order."""
        key = (report.host, report.incarnation)
        if key == (self._own, self._incarnation):
            return
        known = order.known.get(key)
        if known is None and len(order.known) >= MAX_REPORTS:
            return
        if known is not None and report.serial <= known.report.serial:
            return
        order.known[key] = _Known(report, now)
        before = known.report.counts if known is not None else {}
        increments = {
            route: counts.subtract(before.get(route, Counts()))
            for route, counts in report.counts.items()
        }
        self._add_increments(order, increments, now)
        if report.phase is Phase.ROLLED_BACK or (
            report.phase is Phase.COMPLETED
        ):
            self._set_phase(order, report.phase, f"told by {report.host}", now)

    def _add_increments(
        self, order: _Order, increments: dict[str, Counts], now: float
    ) -> None:
        """Adds answers to the totals and to the tests."""
        total = Counts()
        for route, counts in increments.items():
            if not any(counts):
                continue
            if route not in order.totals and (
                len(order.totals) >= MAX_ROUTES - 1
            ):
                route = OTHER_ROUTES
            order.totals[route] = order.totals.get(route, Counts()).add(counts)
            total = total.add(counts)
            _add_to_tests(order, route, counts, now)
        if any(total):
            _add_to_tests(order, None, total, now)
        worst = order.worst
        if (
            order.phase < Phase.ROLLED_BACK
            and worst is not None
            and worst[1].score >= BAD_SCORE
        ):
            self._set_phase(order, Phase.ROLLED_BACK, "bad answers", now)

    def _get_own(self, order: _Order) -> Report:
        """Returns this host's report on an order."""
        known = order.known.get((self._own, self._incarnation))
        if known is not None:
            return known.report
        return Report(
            order.rollout.service,
            order.rollout.target_version,
            order.order_id,
            0.0,
            self._own,
            self._incarnation,
            0,
            order.phase,
            0,
            {},
        )

    def _set_own(self, order: _Order, now: float, **changes: object) -> None:
        """Changes this host's report on an order."""
        self._serial += 1
        report = self._get_own(order)._replace(serial=self._serial, **changes)
        order.known[self._own, self._incarnation] = _Known(report, now)

    def _set_phase(
        self, order: _Order, phase: Phase, reason: str, now: float
    ) -> None:
        """Advances the phase of an order.

        An end state of the store replaces what hosts have found out.
        """
        if phase is order.phase:
            return
        if phase < order.phase and not (
            reason == "status" and phase is Phase.ROLLED_BACK
        ):
            return
        order.phase = phase
        order.reason = reason
        if phase >= Phase.ROLLED_BACK:
            order.ended_s = min(order.ended_s, now)
        self._set_own(order, now, phase=phase)
        self._note(order, phase, reason, now)

    # Status and observation.

    def list_due_states(
        self, now: float, heard: Iterable[str], *, is_minority: bool
    ) -> list[tuple[model.Rollout, int]]:
        """Returns the states that the store's orders should have now.

        Args:
          now: Monotonic time.
          heard: Names of the other hosts that are heard.
          is_minority: Whether these are less than half of the known ones.

        Returns:
          Orders with the state that is due and differs from the known one, and
          the revisions that they are based on.
        """
        heard = [self._own, *heard]
        due = []
        for order in self._orders.values():
            state = _choose_state(order, now, heard, is_minority=is_minority)
            if state is not order.rollout.state:
                rollout = order.rollout._replace(state=state)
                due.append((rollout, order.revision))
        return due

    def list_phases(self) -> dict[str, Phase]:
        """Returns the phase of each order by service."""
        return {name: order.phase for name, order in self._orders.items()}

    def take_changes(self) -> list[Change]:
        """Returns the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def describe(self, now: float) -> list[tuple[Change, dict[str, float]]]:
        """Returns what is known of each order, and this host's part in it."""
        return [
            (
                _describe(order, order.phase, order.reason, self._own, now),
                {
                    "requests": order.requests,
                    "trials": order.trials,
                    "fixed_share": order.share,
                    "left_s": order.deadline_s - now,
                    "hosts": len(order.known),
                    "ended": float(not math.isinf(order.ended_s)),
                },
            )
            for order in self._orders.values()
        ]

    def _note(
        self, order: _Order, phase: Phase | None, reason: str, now: float
    ) -> None:
        """Remembers a change for `take_changes`."""
        self._changes.append(_describe(order, phase, reason, self._own, now))


def _describe(
    order: _Order, phase: Phase | None, reason: str, own: str, now: float
) -> Change:
    """Returns a phase of an order with its inputs."""
    worst = order.worst
    (route, kind), test = worst or ((None, Answer.GOOD), SequentialTest())
    received_s = [
        known.received_s
        for (host, _), known in order.known.items()
        if host != own
    ]
    return Change(
        order.rollout.service,
        order.rollout.target_version,
        phase,
        reason,
        order.sum_counts(),
        test.score,
        route,
        kind.value,
        test.rate,
        now - min(received_s, default=now),
    )


def _add_to_tests(
    order: _Order, route: str | None, counts: Counts, now: float
) -> None:
    """Adds answers on one route, or on all, to their tests."""
    for kind, target_bad, old_bad in (
        (Answer.FAILED, counts.target_failed, counts.old_failed),
        (Answer.SLOW, counts.target_slow, counts.old_slow),
    ):
        test = order.tests.setdefault((route, kind), SequentialTest())
        test.add(
            target=counts.target,
            target_bad=target_bad,
            old=counts.old,
            old_bad=old_bad,
            now=now,
        )


def _is_suspect(order: _Order) -> bool:
    """Returns whether the target may be bad."""
    worst = order.worst
    return worst is not None and worst[1].score >= SUSPECT_SCORE


def _is_ended(state: model.RolloutState) -> bool:
    """Returns whether a state is an end state."""
    return state in (
        model.RolloutState.COMPLETED,
        model.RolloutState.ROLLED_BACK,
    )


def _is_same_order(
    known: _Order, rollout: model.Rollout, revision: int
) -> bool:
    """Returns whether an object is a later state of a known order.

    A status is written once to each order, so that one without is a new order,
    unless the store has come back from an older copy.
    """
    if known.rollout.target_version != rollout.target_version:
        return False
    if object_cache.get_era(revision) > object_cache.get_era(known.revision):
        return True
    if rollout.state is model.RolloutState.NEW:
        return revision == known.revision
    return not _is_ended(known.rollout.state) or (
        rollout.state is known.rollout.state
    )


def _may_be_same(own_id: int, other_id: int) -> bool:
    """Returns whether two hosts mean the same order.

    After the store has come back, hosts may know it by revisions of different
    eras.
    """
    return (
        own_id == other_id
        or not (own_id and other_id)
        or object_cache.get_era(own_id) != object_cache.get_era(other_id)
    )


def _choose_state(
    order: _Order, now: float, heard: Sequence[str], *, is_minority: bool
) -> model.RolloutState:
    """Returns the state that the status of an order should have."""
    state = order.rollout.state
    if _is_ended(state):
        return state
    if order.phase is Phase.ROLLED_BACK:
        return model.RolloutState.ROLLED_BACK
    if order.phase is Phase.COMPLETED:
        return model.RolloutState.COMPLETED
    due_s = order.deadline_s - WRITE_LEAD_S
    if is_minority:
        due_s = order.deadline_s + MINORITY_DELAY_S
    if order.phase is Phase.SWITCHED and (
        now >= due_s
        or (
            not is_minority
            and now >= order.deadline_s - EARLIEST_LEAD_S
            and _have_all_drained(order, heard)
        )
    ):
        return model.RolloutState.COMPLETED
    if order.phase is Phase.TRIAL and now >= due_s:
        return model.RolloutState.ROLLED_BACK
    return model.RolloutState.RUNNING


def _have_all_drained(order: _Order, heard: Sequence[str]) -> bool:
    """Returns whether nothing is in flight at the old version's servers.

    Args:
      order: The order.
      heard: Names of the hosts that are heard, with this one.
    """
    latest: dict[str, Report] = {}
    for (host, incarnation), known in order.known.items():
        before = latest.get(host)
        if before is None or before.incarnation < incarnation:
            latest[host] = known.report
    return all(
        host in latest
        and latest[host].phase is Phase.SWITCHED
        and not latest[host].old_in_flight
        for host in heard
    )
