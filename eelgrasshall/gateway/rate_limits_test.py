"""Tests of the request rates that backend servers state.

The shares are tested against simulations of hosts that want to send without
end and are restarted, cut off, suspended and replaced meanwhile.
"""

import random

from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import rate_limits

# How long after a change the other hosts know of it, and how often hosts update
# their views.
_DETECTION_S = 1.2
_UPDATE_INTERVAL_S = 0.5
_STEP_S = 0.02


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ([b"20.4"], 20.4),
        ([b" 7 "], 7.0),
        ([b"0"], 0.0),
        ([b"-0"], 0.0),
        ([b"1e300"], 1e300),
        ([b"5", b"3"], 3.0),
        ([b"5, 3"], 3.0),
        ([b"soon", b"3"], 3.0),
        ([b""], None),
        ([b"soon"], None),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b"\xff"], None),
    ],
)
def test_stated_rate_is_parsed(values, rate):
    assert rate_limits.parse_rate(values) == rate


class _Host:
    """A host's process that sends whenever it may."""

    def __init__(self, name: str):
        self.name = name
        self.limits = rate_limits.RateLimits(
            own=name, on_changed=lambda statement, is_remote: None
        )
        self.frozen_until_s = 0.0
        self.updated_s = -1.0

    def send(self, now: float, rate: float, waiting: int) -> int:
        """Sends as many of the waiting requests as it may."""
        limiter = self.limits.find_limiter("s", 1)
        if limiter is None:
            self.limits.record("s", 1, rate, sent_s=now, now=now)
            return 0
        sent = 0
        while sent < waiting and limiter.may_send(now):
            limiter.record_send(now)
            sent += 1
        return sent


class _Fleet:
    """Hosts in one simulation; each belongs to an island of a partition."""

    def __init__(self, *, hosts: int, active: int, seed: int):
        self.random = random.Random(seed)
        self.hosts = [_Host(f"h{number}") for number in range(hosts)]
        self.active = [host.name for host in self.hosts[:active]]
        self.islands = dict.fromkeys((host.name for host in self.hosts), 0)
        # What hosts know: active hosts, islands and suspended hosts, with the
        # time since which they know it.
        self._known = [(-10.0, list(self.active), dict(self.islands), set())]
        self.sent: list[float] = []
        self.now = 0.0

    def note_change(self) -> None:
        """Lets hosts learn of a change after a while."""
        down = {
            host.name for host in self.hosts if host.frozen_until_s > self.now
        }
        self._known.append(
            (self.now, list(self.active), dict(self.islands), down)
        )

    def restart(self, number: int) -> None:
        """Replaces a host's process by a new one, which knows nothing."""
        self.hosts[number] = _Host(f"h{number}")

    def freeze(self, number: int, duration_s: float) -> None:
        """Suspends a host's process."""
        self.hosts[number].frozen_until_s = self.now + duration_s
        self.note_change()

    def run(self, duration_s: float, rate: float) -> None:
        """Lets all hosts send as much as they may for a while."""
        for _ in range(round(duration_s / _STEP_S)):
            self.now += _STEP_S
            for host in self.hosts:
                if host.frozen_until_s > self.now:
                    continue
                self._update(host)
                if host.name in self.active or self.random.random() < 0.1:
                    count = host.send(self.now, rate, self.random.randrange(4))
                    self.sent += [self.now] * count

    def _update(self, host: _Host) -> None:
        if self.now - host.updated_s < _UPDATE_INTERVAL_S:
            return
        host.updated_s = self.now
        known_s = self.now - self.random.uniform(0.0, _DETECTION_S)
        _, active, islands, down = next(
            each for each in reversed(self._known) if each[0] <= known_s
        )
        heard = {
            name
            for name in islands
            if islands[name] == islands[host.name] and name not in down
        } | {host.name}
        # An island without any of the active hosts chooses another one.
        on_island = [name for name in active if name in heard]
        on_island = on_island or [min(heard)]
        view = rate_limits.FleetView(
            tuple(sorted(on_island)), len(heard) / len(islands)
        )
        host.limits.set_view(view, self.now)

    def find_most(self, window_s: float = rate_limits.WINDOW_S) -> int:
        """Returns the most requests in any window."""
        return max(
            (
                sum(1 for each in self.sent if 0 <= each - start < window_s)
                for start in self.sent
            ),
            default=0,
        )


def _get_bound(rate: float) -> float:
    """Returns what the users allow in a window."""
    return 1.5 * rate * rate_limits.WINDOW_S + 5


@pytest.mark.parametrize("rate", [0.3, 1.0, 2.2, 7.0, 24.0])
@pytest.mark.parametrize("active", [1, 3, 20, 50])
def test_shares_of_a_calm_fleet_use_the_rate_and_no_more(rate, active):
    fleet = _Fleet(hosts=active + 4, active=active, seed=1)
    fleet.run(24.0, rate)
    assert fleet.find_most() <= _get_bound(rate)
    late = [each for each in fleet.sent if each >= 12.0]
    assert len(late) >= 0.7 * rate * 12.0 - 1


@pytest.mark.parametrize("rate", [0.3, 2.2, 7.0, 24.0])
@pytest.mark.parametrize("seed", range(6))
def test_shares_hold_through_restarts_partitions_and_freezes(rate, seed):
    fleet = _Fleet(hosts=12, active=3 + seed % 3 * 3, seed=seed)
    rng = random.Random(seed)
    fleet.run(10.0, rate)
    for _ in range(14):
        change = rng.randrange(4)
        number = rng.randrange(len(fleet.active))
        if change == 0:
            fleet.restart(number)
        elif change == 1:
            fleet.freeze(number, rng.choice([0.4, 2.0, 5.0]))
        elif change == 2:
            islands = rng.choice([1, 2])
            for name in fleet.islands:
                fleet.islands[name] = rng.randrange(islands)
            fleet.note_change()
        else:
            spare = [
                host.name
                for host in fleet.hosts
                if host.name not in fleet.active
            ]
            if spare:
                fleet.active[number] = rng.choice(spare)
                fleet.note_change()
        fleet.run(rng.choice([0.3, 1.0, 3.0, 6.0]), rate)
    assert fleet.sent
    assert fleet.find_most() <= _get_bound(rate)


def test_small_rates_are_used_by_the_same_few_hosts_in_all_views():
    view = rate_limits.FleetView(tuple(f"h{n:02}" for n in range(50)), 1.0)
    for server in range(20):
        users = [
            rate_limits.compute_share(view, name, f"s{server}", 2.2)
            for name in view.active
        ]
        assert sorted(users, reverse=True) == [0.25] * 4 + [0.0] * 46


def _make_limits(own: str = "a", now: float = 0.0) -> rate_limits.RateLimits:
    """Returns the limits of a host that is the only active one."""
    limits = rate_limits.RateLimits(
        own=own, on_changed=lambda statement, is_remote: None
    )
    for step in range(9):
        view = rate_limits.FleetView((own,), 1.0)
        limits.set_view(view, now - 8.0 + step)
    return limits


def _get_rate(limits: rate_limits.RateLimits) -> float | None:
    limiter = limits.find_limiter("s", 1)
    return None if limiter is None else limiter.rate


def test_rate_falls_at_once_and_rises_with_a_later_request():
    limits = _make_limits()
    limits.record("s", 1, 10.0, sent_s=0.9, now=1.0)
    limits.record("s", 1, 5.0, sent_s=0.9, now=1.1)
    assert _get_rate(limits) == 5.0
    # Sent before the lower rate was known, and answered after it.
    limits.record("s", 1, 10.0, sent_s=1.05, now=1.2)
    limits.record("s", 1, None, sent_s=1.05, now=1.2)
    assert _get_rate(limits) == 5.0
    limits.record("s", 1, 10.0, sent_s=1.15, now=1.3)
    assert _get_rate(limits) == 10.0
    limits.record("s", 1, None, sent_s=1.35, now=1.4)
    assert _get_rate(limits) is None


def test_another_process_of_a_server_has_no_limit():
    limits = _make_limits()
    limits.record("s", 1, 10.0, sent_s=0.9, now=1.0)
    assert limits.find_limiter("s", 2) is None
    limits.record("s", 2, 3.0, sent_s=1.9, now=2.0)
    assert limits.find_limiter("s", 1) is None
    assert limits.find_limiter("s", 2).rate == 3.0
    # A late response of the process before.
    limits.record("s", 1, 10.0, sent_s=1.5, now=2.1)
    limits.record("s", 1, None, sent_s=1.5, now=2.1)
    assert limits.find_limiter("s", 2).rate == 3.0


def test_room_is_what_the_rate_leaves():
    limits = _make_limits()
    limits.record("s", 1, 2.0, sent_s=0.9, now=1.0)
    limiter = limits.find_limiter("s", 1)
    assert not limiter.may_send(1.0)
    assert limiter.compute_wait_s(1.0) == pytest.approx(0.5)
    assert limiter.compute_wait_s(1.0, waiting=2) == pytest.approx(1.5)
    assert limiter.may_send(1.6)
    assert not limiter.may_send(1.6, waiting=1)
    # A burst of four: a hedge leaves two of them.
    assert limiter.may_send(4.0, reserve=rate_limits.HEDGE_RESERVE)
    for _ in range(2):
        limiter.record_send(4.0)
    assert not limiter.may_send(4.0, reserve=rate_limits.HEDGE_RESERVE)
    assert limiter.may_send(4.0)


def test_rate_that_falls_takes_the_saved_room_away():
    limits = _make_limits()
    limits.record("s", 1, 20.0, sent_s=0.9, now=1.0)
    limits.record("s", 1, 1.0, sent_s=9.9, now=10.0)
    limiter = limits.find_limiter("s", 1)
    sent = 0
    while limiter.may_send(10.0):
        limiter.record_send(10.0)
        sent += 1
    assert sent <= 3


def test_server_that_takes_nothing_is_checked_by_one_host():
    names = tuple("abcde")
    fleet = [
        rate_limits.RateLimits(
            own=name, on_changed=lambda statement, is_remote: None
        )
        for name in names
    ]
    checks = []
    for step in range(400):
        now = step / 10.0
        for limits in fleet:
            limits.set_view(rate_limits.FleetView(names, 1.0), now)
            limits.record("s", 1, 0.0, sent_s=now, now=now)
            assert not limits.find_limiter("s", 1).may_send(now)
            if limits.list_due_checks(now):
                limits.find_limiter("s", 1).record_send(now)
                checks.append((now, limits))
    assert len({limits for _, limits in checks}) == 1
    assert 5 <= len(checks) <= 12


def test_another_host_brings_no_older_rate_back():
    limits = _make_limits()
    limits.record("s", 1, 5.0, sent_s=0.9, now=1.0)
    limits.record("s", 1, None, sent_s=1.9, now=2.0)
    old = rate_limits.Statement("s", 1, 5.0, 1.0, 1.2)
    limits.merge([old], 2.5)
    assert _get_rate(limits) is None
    # Observations so close together may be in any order: the lower one counts.
    limits.merge([old._replace(observed_s=1.9)], 2.5)
    assert _get_rate(limits) == 5.0
    limits.record("s", 1, None, sent_s=2.6, now=2.7)
    assert _get_rate(limits) is None


def test_host_without_a_share_learns_of_the_end_from_others():
    limits = _make_limits()
    limits.merge([rate_limits.Statement("s", 1, 5.0, 1.0, 1.0)], 1.0)
    assert _get_rate(limits) == 5.0
    limits.merge([rate_limits.Statement("s", 1, None, 9.0, 9.0)], 9.0)
    assert _get_rate(limits) is None
    limits.merge([rate_limits.Statement("s", 2, 4.0, 10.0, 10.0)], 10.0)
    assert limits.find_limiter("s", 2).rate == 4.0
    limits.merge([rate_limits.Statement("s", 1, 1.0, 11.0, 11.0)], 11.0)
    assert limits.find_limiter("s", 2).rate == 4.0


@given(
    observations=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.sampled_from([None, 0.0, 2.0, 9.0]),
        ),
        min_size=1,
        max_size=20,
    ),
    seed=strategies.integers(0, 99),
)
def test_hosts_agree_once_a_server_states_the_same_to_one_of_them(
    observations, seed
):
    rng = random.Random(seed)
    fleet = [_make_limits(name) for name in "abc"]
    now = 1.0

    def pass_on() -> None:
        for sender in fleet:
            statements = sender.list_gossip(now, 8)
            for receiver in fleet:
                if receiver is not sender and rng.random() < 0.6:
                    # Ages make observations later by the delay of a message.
                    delay_s = rng.choice([0.0, 0.05])
                    receiver.merge(
                        [
                            each._replace(
                                since_s=each.observed_s + delay_s,
                                observed_s=each.observed_s + delay_s,
                            )
                            for each in statements
                        ],
                        now + delay_s,
                    )

    for number, rate in observations:
        now += 0.1
        fleet[number].record("s", 1, rate, sent_s=now - 0.05, now=now)
        pass_on()
    last = observations[-1][1]
    for _ in range(60):
        now += 0.25
        fleet[0].record("s", 1, last, sent_s=now - 0.05, now=now)
        pass_on()
    assert {_get_rate(limits) for limits in fleet} == {last}


def test_ended_limits_are_forgotten_and_remembered_ones_bounded(monkeypatch):
    monkeypatch.setattr(rate_limits, "MAX_REMEMBERED", 10)
    ended = []
    limits = rate_limits.RateLimits(
        own="a", on_changed=lambda statement, _: ended.append(statement)
    )
    for number in range(15):
        limits.record(f"s{number}", 1, 5.0, sent_s=0.9, now=1.0)
    assert sum(limits.knows(f"s{number}", 1) for number in range(15)) == 10
    # Those that are given up are not limited any more.
    assert [each.server_id for each in ended if each.rate is None] == [
        f"s{number}" for number in range(5)
    ]
    limits.record("s14", 1, None, sent_s=1.5, now=2.0)
    view = rate_limits.FleetView(("a",), 1.0)
    limits.set_view(view, 3.0)
    assert limits.knows("s14", 1)
    limits.set_view(view, 2.0 + rate_limits.ENDED_RETENTION_S + 1.0)
    assert not limits.knows("s14", 1)
