"""Tests of the budget of extra attempts and of latency quantiles.

The budget is tested against simulations of several hosts that want two extra
attempts for every request.
"""

import bisect
import random

from hypothesis import given
from hypothesis import strategies

from eelgrasshall.gateway import active_hosts
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import shares

_BOUND = hedging.ExtraAttemptBound(ratio=0.2, fixed=54.0, window_s=10.0)
# Time after which hosts notice that others are down or cut off, and interval
# at which they update their shares.
_DETECTION_S = 1.2
_UPDATE_INTERVAL_S = 0.5


class _Host:
    """A process of a host in a simulation."""

    def __init__(self, now: float):
        self.share = shares.DelayedShare(window_s=_BOUND.window_s)
        self.budget = hedging.ExtraAttemptBudget(bound=_BOUND, share=0.0)


class _Fleet:
    """Hosts that are restarted, cut off and frozen, and their requests.

    Each host serves callers at any time that it runs.
    """

    def __init__(self, *, hosts: int, rate: float, seed: int):
        self.random = random.Random(seed)
        self.hosts = [_Host(0.0) for _ in range(hosts)]
        self.requests: list[float] = []
        self.extras: list[float] = []
        self.now = 0.0
        self._rate = rate
        self._islands = [0] * hosts
        self._frozen_until_s = [0.0] * hosts
        # What hosts know of islands and of hosts that are down.
        self._views: list[tuple[float, list[int], set[int]]] = [
            (-_DETECTION_S, self._islands, set())
        ]

    def change(self, islands: list[int] | None = None) -> None:
        """Cuts hosts off from each other; each host belongs to an island."""
        if islands is not None:
            self._islands = islands
        down = {
            number
            for number, until_s in enumerate(self._frozen_until_s)
            if until_s > self.now
        }
        self._views.append((self.now, self._islands, down))

    def restart(self, number: int) -> None:
        """Replaces the process of a host."""
        self.hosts[number] = _Host(self.now)

    def freeze(self, number: int, duration_s: float) -> None:
        """Freezes a host."""
        self._frozen_until_s[number] = self.now + duration_s
        self.change()

    def run(self, duration_s: float, *, wanted: int = 2) -> None:
        """Lets time pass; each request wants a number of extra attempts."""
        end_s = self.now + duration_s
        update_s = self.now
        while self.now < end_s:
            next_s = self.now + self.random.expovariate(self._rate)
            while update_s <= next_s:
                self.now = update_s
                self._update_shares()
                update_s += _UPDATE_INTERVAL_S
            self.now = next_s
            number = self.random.randrange(len(self.hosts))
            if self._frozen_until_s[number] > self.now:
                continue
            budget = self.hosts[number].budget
            self.requests.append(self.now)
            budget.deposit(self.now)
            for _ in range(wanted):
                if budget.try_withdraw():
                    self.extras.append(self.now)

    def _update_shares(self) -> None:
        _, islands, down = [
            view for view in self._views if view[0] + _DETECTION_S <= self.now
        ][-1]
        for number, host in enumerate(self.hosts):
            if self._frozen_until_s[number] > self.now:
                continue
            heard = [
                other
                for other in range(len(self.hosts))
                if other == number
                or (islands[other] == islands[number] and other not in down)
            ]
            active = heard[: active_hosts.MIN_ACTIVE_HOSTS]
            share = active_hosts.compute_extra_share(
                is_active=number in active,
                sharing=active_hosts.count_sharing_hosts(
                    len(self.hosts), len(active)
                ),
                heard=len(heard),
                missing=len(self.hosts) - len(heard),
            )
            host.budget.set_share(host.share.update(share, self.now))

    def check(self) -> None:
        """Checks the bound in each window that ends with an extra attempt."""
        window_s = _BOUND.window_s
        for end in self.extras:
            spent = self._count(self.extras, end - window_s, end)
            requested = max(
                self._count(self.requests, end - window_s - back, end - back)
                for back in (0.0, window_s / 2, window_s)
            )
            assert spent <= _BOUND.ratio * requested + _BOUND.fixed

    @staticmethod
    def _count(times: list[float], start: float, end: float) -> int:
        return bisect.bisect_right(times, end) - bisect.bisect_right(
            times, start
        )


@given(
    hosts=strategies.integers(min_value=1, max_value=20),
    rate=strategies.floats(min_value=1.0, max_value=80.0),
    seed=strategies.integers(min_value=0, max_value=1000),
)
def test_hosts_together_keep_the_bound_in_every_window(hosts, rate, seed):
    fleet = _Fleet(hosts=hosts, rate=rate, seed=seed)
    fleet.run(40.0)
    fleet.check()
    assert len(fleet.extras) > 0.1 * len(fleet.requests)


@given(
    hosts=strategies.integers(min_value=3, max_value=9),
    seed=strategies.integers(min_value=0, max_value=1000),
)
def test_restarts_in_a_row_give_no_extra_attempts_back(hosts, seed):
    # A host that restarts may have spent its share in the same window.
    fleet = _Fleet(hosts=hosts, rate=40.0, seed=seed)
    fleet.run(22.0, wanted=0)
    fleet.run(1.0)
    for _ in range(2):
        for number in range(hosts):
            fleet.restart(number)
            fleet.run(fleet.random.uniform(0.2, 3.0))
    fleet.check()


@given(
    hosts=strategies.integers(min_value=3, max_value=9),
    seed=strategies.integers(min_value=0, max_value=1000),
)
def test_sides_of_a_partition_share_the_extra_attempts(hosts, seed):
    # Each side takes the hosts of the other one for lost.
    fleet = _Fleet(hosts=hosts, rate=40.0, seed=seed)
    fleet.run(22.0, wanted=0)
    for _ in range(3):
        islands = [fleet.random.randrange(3) for _ in range(hosts)]
        fleet.change(islands)
        fleet.run(fleet.random.uniform(1.0, 25.0))
        fleet.change([0] * hosts)
        fleet.run(fleet.random.uniform(1.0, 22.0), wanted=0)
    fleet.check()


@given(
    hosts=strategies.integers(min_value=4, max_value=9),
    seed=strategies.integers(min_value=0, max_value=1000),
)
def test_host_that_thaws_does_not_spend_what_others_took_over(hosts, seed):
    fleet = _Fleet(hosts=hosts, rate=40.0, seed=seed)
    fleet.run(22.0, wanted=0)
    for _ in range(3):
        for number in fleet.random.sample(range(hosts), 2):
            fleet.freeze(number, fleet.random.uniform(0.5, 25.0))
        fleet.run(fleet.random.uniform(5.0, 25.0))
        fleet.change()
        fleet.run(3.0)
        fleet.run(15.0, wanted=0)
    fleet.check()


def test_hedges_leave_a_reserve_for_retries():
    bound = hedging.ExtraAttemptBound(ratio=0.0, fixed=100.0)
    budget = hedging.ExtraAttemptBudget(bound=bound, share=1.0)
    while budget.try_withdraw(reserve=0.2):
        pass
    assert budget.try_withdraw()


def test_new_host_hedges_after_a_window_or_for_its_own_requests():
    bound = hedging.ExtraAttemptBound(ratio=0.2, fixed=188.0)
    share = shares.DelayedShare(window_s=bound.window_s)
    budget = hedging.ExtraAttemptBudget(bound=bound, share=0.0)
    for number in range(10):
        budget.set_share(share.update(1 / 6, 100.0 + number))
        assert not budget.try_withdraw(reserve=0.2)
    budget.set_share(share.update(1 / 6, 110.0))
    assert budget.try_withdraw(reserve=0.2)
    new = hedging.ExtraAttemptBudget(bound=bound, share=0.0)
    for number in range(300):
        new.deposit(number / 100)
    withdrawn = 0
    while new.try_withdraw(reserve=0.2):
        withdrawn += 1
    assert 1 <= withdrawn <= 300 * bound.ratio


def test_host_with_few_requests_may_retry():
    budget = hedging.ExtraAttemptBudget(bound=_BOUND, share=0.0)
    budget.deposit(0.0)
    assert budget.try_withdraw()
    assert not budget.try_withdraw()
    for number in range(6):
        budget.deposit(number * 2.0)
    assert budget.try_withdraw()


def test_share_rises_after_a_window_and_falls_at_once():
    share = shares.DelayedShare(window_s=10.0)
    seen = [share.update(0.5, float(now)) for now in range(14)]
    assert seen == [0.0] * 10 + [0.5] * 4
    assert share.update(0.2, 14.0) == 0.2
    seen = [share.update(0.4, float(now)) for now in range(15, 28)]
    assert seen == [0.2] * 10 + [0.4] * 3
    assert share.update(0.4, 28.0 + 5.0) == 0.0


def _withdraw_all(budget: hedging.ExtraAttemptBudget, workspace: str) -> int:
    count = 0
    while budget.try_withdraw(workspace=workspace):
        count += 1
    return count


def test_hot_workspaces_leave_extra_attempts_for_others():
    # One workspace with failing requests used up the budget of all.
    bound = hedging.ExtraAttemptBound(ratio=0.0, fixed=100.0)
    budget = hedging.ExtraAttemptBudget(bound=bound, share=1.0)
    total = 100.0 * hedging.USABLE_SHARE
    assert 0.4 * total <= _withdraw_all(budget, "hot") <= 0.6 * total
    assert _withdraw_all(budget, "second") >= 0.2 * total
    assert budget.try_withdraw(workspace="quiet")


def test_workspace_may_spend_what_its_own_requests_allow():
    bound = hedging.ExtraAttemptBound(ratio=0.2, fixed=20.0)
    budget = hedging.ExtraAttemptBudget(bound=bound, share=1.0)
    spent = _withdraw_all(budget, "hot")
    for number in range(2000):
        budget.deposit(number / 100, workspace="hot")
        spent += budget.try_withdraw(workspace="hot")
    assert spent >= 2000 * bound.ratio * hedging.USABLE_SHARE


def test_workspace_may_spend_more_once_a_window_has_passed():
    bound = hedging.ExtraAttemptBound(ratio=0.2, fixed=100.0)
    budget = hedging.ExtraAttemptBudget(bound=bound, share=1.0)
    budget.deposit(0.0, workspace="hot")
    spent = _withdraw_all(budget, "hot")
    for number in range(1000):
        budget.deposit(3 * number * bound.window_s / 1000, workspace="quiet")
    assert _withdraw_all(budget, "hot") >= 0.8 * spent


def test_budget_without_fixed_part_is_used_up():
    budget = hedging.ExtraAttemptBudget(
        bound=hedging.ExtraAttemptBound(0.2, 0.0), share=1.0
    )
    assert budget.compute_used_share() == 1.0
    assert not budget.try_withdraw()


def test_quantiles_follow_the_latest_latencies():
    latencies = hedging.LatencyWindow(initial_latency_s=0.5)
    assert latencies.quantile(0.9) == 0.5
    for number in range(hedging.WINDOW_SIZE):
        latencies.record(number / 1000)
    assert 0.3 < latencies.quantile(0.9) < 0.4
    for _ in range(hedging.WINDOW_SIZE):
        latencies.record(2.0)
    assert latencies.quantile(0.1) == 2.0


def test_host_that_becomes_active_may_hedge_after_a_window():
    bound = hedging.ExtraAttemptBound(ratio=0.2, fixed=222.0)
    share = shares.DelayedShare(window_s=bound.window_s)
    budget = hedging.ExtraAttemptBudget(bound=bound, share=0.0)
    for now in range(30):
        budget.set_share(share.update(0.0, float(now)))
    for now in range(30, 41):
        assert not budget.try_withdraw(reserve=0.2)
        budget.set_share(share.update(1 / 6, float(now)))
    assert budget.try_withdraw(reserve=0.2)


def test_change_of_shares_does_not_raise_the_total_budget():
    budgets = [
        hedging.ExtraAttemptBudget(bound=_BOUND, share=0.0) for _ in range(6)
    ]
    delayed = [shares.DelayedShare(window_s=10.0) for _ in range(6)]
    withdrawn = []
    for now in range(60):
        hosts = (3, 6, 91, 6, 4, 6)[now // 10]
        for number, budget in enumerate(budgets):
            share = 1 / hosts if number < hosts else 0.0
            budget.set_share(delayed[number].update(share, float(now)))
            while budget.try_withdraw():
                withdrawn.append(float(now))
    assert withdrawn
    for end in withdrawn:
        assert sum(end - 10 < at <= end for at in withdrawn) <= _BOUND.fixed


def test_reloading_the_bound_does_not_refill_the_budget():
    bound = hedging.ExtraAttemptBound(ratio=0.2, fixed=54.0)
    budget = hedging.ExtraAttemptBudget(bound=bound, share=1.0)
    withdrawn = 0
    for _ in range(5):
        while budget.try_withdraw():
            withdrawn += 1
        budget.set_bound(bound)
    assert withdrawn <= bound.fixed
    budget.set_bound(bound._replace(fixed=20.0))
    assert not budget.try_withdraw()
