"""Tests of the quotas of workspaces at single hosts."""

import hypothesis
from hypothesis import strategies as st
import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import model
from eelgrasshall.gateway import quota_account
from eelgrasshall.gateway import quotas
from eelgrasshall.gateway import rate_limits

_BOUND = quota_account.QuotaBound(window_s=5.0, excess=0.1, slack=20.0)
_STRICT = quota_account.QuotaBound(window_s=5.0, excess=0.0, slack=0.0)
_NAMES = ("a", "b", "c")


def _make_workspace(rate_per_s=10.0, burst=9.0, name="w"):
    return model.Workspace(
        name, frozenset(), rate_per_s=rate_per_s, burst=burst
    )


def _advance(hosts, start_s, end_s, *, active=_NAMES, names=_NAMES, part=1.0):
    """Sets the view each second, also at the end."""
    now = start_s
    while now < end_s:
        for each in hosts:
            each.set_view(rate_limits.FleetView(active, part), now)
            each.set_hosts(names, now)
        now += 1.0
    for each in hosts:
        each.set_view(rate_limits.FleetView(active, part), end_s)
        each.set_hosts(names, end_s)


def _make_hosts(names=_NAMES, *, bound=_STRICT, workspace=None, **kwargs):
    """Returns hosts that have run for ten seconds."""
    workspace = workspace or _make_workspace()
    hosts = [quotas.Quotas(own=name, bound=bound) for name in names]
    for each in hosts:
        each.configure({workspace.name: workspace}, 0.0)
    _advance(
        hosts, 0.0, 10.0, active=tuple(names), names=tuple(names), **kwargs
    )
    return hosts


def _count_grants(host, now, tries=100, name="w"):
    count = 0
    for _ in range(tries):
        if isinstance(host.take(name, now), quotas.Grant):
            host.record_send(name, now)
            count += 1
    return count


def _exchange(hosts, now):
    """Delivers all reports until there are none."""
    by_name = dict(zip(_NAMES, hosts, strict=False))
    delivered = 0
    for _ in range(3):
        reports = [
            report for each in hosts for report in each.list_gossip(now, 16)
        ]
        delivered += len(reports)
        for report in reports:
            if report.receiver in by_name:
                by_name[report.receiver].merge([report], now)
    return delivered


def test_workspace_without_limit_is_not_charged():
    host = quotas.Quotas(own="a", bound=_BOUND)
    host.configure({"w": _make_workspace(rate_per_s=0.0)}, 0.0)
    assert host.take("w", 0.0) == quotas.Grant(limited=False)
    assert host.take("unknown", 0.0) == quotas.Grant(limited=False)
    assert not host.needs_credit(0.0)


def test_process_that_has_just_started_sends_nothing():
    # Its predecessor may have used up everything a moment before.
    host = quotas.Quotas(own="a", bound=_BOUND)
    host.configure({"w": _make_workspace()}, 0.0)
    host.set_view(rate_limits.FleetView(("a",), 1.0), 0.0)
    host.set_hosts(("a",), 0.0)
    refusal = host.take("w", 0.0)
    assert isinstance(refusal, quotas.Refusal) and not refusal.over_quota


def test_reserve_serves_a_host_without_a_share():
    host = quotas.Quotas(own="a", bound=_BOUND)
    host.configure({"w": _make_workspace()}, 0.0)
    _advance([host], 0.0, 10.0, active=("b", "c"))
    assert 1 <= _count_grants(host, 10.0) <= 5


def test_share_is_in_equal_parts_and_one_token_at_least():
    view = rate_limits.FleetView(_NAMES, 1.0)
    parts = [quotas.compute_share(view, name, "w", 9.0) for name in _NAMES]
    assert parts == [1 / 3] * 3
    parts = [quotas.compute_share(view, name, "w", 1.9) for name in _NAMES]
    assert sorted(parts) == [0.0, 0.0, 1.0]


def test_burst_at_one_host_borrows_from_the_others():
    hosts = _make_hosts()
    served = _count_grants(hosts[0], 10.0, 9)
    assert served == 3
    assert _exchange(hosts, 10.0)
    assert served + _count_grants(hosts[0], 10.0, 9) == 9


def test_nothing_is_sent_where_own_parts_suffice():
    hosts = _make_hosts()
    for step in range(30):
        now = 10.0 + step * 0.5
        _advance(hosts, now, now)
        for each in hosts:
            assert _count_grants(each, now, 1) == 1
            assert not each.needs_credit(now)


def test_used_up_quota_is_told_with_the_time_of_the_next_token():
    # Told too early, callers come back in vain; told too late, their requests
    # lose their value.
    hosts = _make_hosts()
    for now in (10.0, 10.06, 10.12):
        for each in hosts:
            _count_grants(each, now, 30)
        _exchange(hosts, now)
    refusal = hosts[0].take("w", 10.12)
    assert isinstance(refusal, quotas.Refusal) and refusal.over_quota
    assert 0.0 < refusal.wait_s <= 0.3 + quota_account.MAX_BACKLOG_S


def test_retry_after_of_a_single_host_is_when_a_token_comes():
    (host,) = _make_hosts(("a",))
    _count_grants(host, 10.0, 9)
    first, second = host.take("w", 10.0), host.take("w", 10.0)
    assert first.over_quota and abs(first.wait_s - 0.1) < 0.001
    assert abs(second.wait_s - 0.2) < 0.001
    assert isinstance(host.take("w", 10.0 + first.wait_s), quotas.Grant)


def test_host_that_knows_less_than_half_does_not_say_used_up():
    hosts = _make_hosts(part=0.4)
    _count_grants(hosts[0], 10.0)
    refusal = hosts[0].take("w", 10.0)
    assert not refusal.over_quota
    assert refusal.wait_s == quotas.RETRY_ELSEWHERE_S


def test_given_back_token_is_used_again_once():
    (host,) = _make_hosts(("a",))
    for _ in range(9):
        assert isinstance(host.take("w", 10.0), quotas.Grant)
    host.give_back("w", 10.0)
    assert isinstance(host.take("w", 10.0), quotas.Grant)
    assert isinstance(host.take("w", 10.0), quotas.Refusal)


def test_requests_that_wait_keep_the_bucket_from_refilling():
    # Otherwise they could be sent together with those of the full bucket.
    (host,) = _make_hosts(("a",))
    for _ in range(9):
        host.take("w", 10.0)
    _advance([host], 10.0, 14.0, active=("a",), names=("a",))
    assert isinstance(host.take("w", 14.0), quotas.Refusal)
    assert isinstance(host.renew("w", 14.0), quotas.Grant)


def test_duplicate_or_late_answers_add_no_tokens():
    hosts = _make_hosts()
    _count_grants(hosts[0], 10.0, 9)
    asks = hosts[0].list_gossip(10.0, 16)
    for ask, host in zip(asks, hosts[1:], strict=True):
        host.merge([ask], 10.0)
    credits = [each for host in hosts[1:] for each in host.list_gossip(10, 16)]
    assert sum(each.amount for each in credits) > 5.0
    hosts[0].merge([*credits, *credits], 10.0)
    assert _count_grants(hosts[0], 10.0) <= 6
    hosts[0].merge(credits, 10.0)
    assert _count_grants(hosts[0], 10.0) == 0


def test_credit_expires_also_while_the_answer_is_under_way():
    hosts = _make_hosts()
    _count_grants(hosts[0], 10.0, 9)
    for ask, host in zip(
        hosts[0].list_gossip(10.0, 16), hosts[1:], strict=True
    ):
        host.merge([ask], 10.0)
    credits = [each for host in hosts[1:] for each in host.list_gossip(10, 16)]
    late_s = 10.0 + quota_account.CREDIT_LIFE_S
    hosts[0].merge(credits, late_s)
    # Its own refilled part only.
    assert _count_grants(hosts[0], late_s) <= 3


def test_credit_that_was_not_used_in_time_is_lost():
    # The lender refills its room from then on.
    hosts = _make_hosts()
    _count_grants(hosts[0], 10.0, 9)
    _exchange(hosts, 10.0)
    late_s = 10.0 + quota_account.CREDIT_LIFE_S
    assert _count_grants(hosts[0], late_s) <= 3


def test_host_that_becomes_active_waits_until_all_others_know():
    # The host that it replaces goes on until it learns of that.
    (host,) = _make_hosts(("d",))
    _advance([host], 10.0, 20.0, active=_NAMES, names=(*_NAMES, "d"))
    assert _count_grants(host, 20.0) == 0
    active = ("b", "c", "d")
    due_s = 20.0 + quotas.SHARE_DELAY_S
    _advance([host], 20.0, due_s, active=active, names=(*_NAMES, "d"))
    assert _count_grants(host, due_s) == 0
    _advance([host], due_s, due_s + 2.0, active=active, names=(*_NAMES, "d"))
    assert _count_grants(host, due_s + 2.0) > 0


def test_hosts_of_both_sides_of_a_partition_share_the_limit():
    view = rate_limits.FleetView(_NAMES, 0.5)
    parts = [quotas.compute_share(view, name, "w", 9.0) for name in _NAMES]
    assert parts == [1 / 6] * 3


def test_answer_to_another_process_is_ignored():
    # An answer may arrive after the host that asked was restarted.
    hosts = _make_hosts()
    credit = quota_account.Credit("a", "b", 1, "w", 5.0, 0.0, 0.3)
    before = _count_grants(hosts[0], 10.0)
    hosts[0].merge([credit], 10.0)
    assert before == 3 and _count_grants(hosts[0], 10.0) == 0


def test_lender_keeps_the_room_of_its_credit_empty():
    # What it has lent may be used until it expires, also if it seems lost.
    hosts = _make_hosts()
    hosts[1].merge([quota_account.Ask("b", "a", 1, "w", 3.0)], 10.0)
    just_before_s = 10.0 + quota_account.CREDIT_LIFE_S - 0.01
    assert _count_grants(hosts[1], just_before_s) == 0
    # The room is refilled from the expiry on, not at once.
    assert _count_grants(hosts[1], just_before_s + 0.02) == 0
    _advance(hosts, 10.0, 13.0)
    assert _count_grants(hosts[1], 13.0) == 3


def test_room_of_a_credit_is_not_refilled_for_the_time_before_its_expiry():
    # The borrower may have used it up to that moment.
    hosts = _make_hosts()
    hosts[1].merge([quota_account.Ask("b", "a", 1, "w", 3.0)], 10.0)
    assert _count_grants(hosts[1], 10.05 + quota_account.CREDIT_LIFE_S) == 0


def test_suspended_host_sends_nothing_before_it_has_a_new_view():
    # Others may have taken over its part, and requests arrive first.
    hosts = _make_hosts()
    assert _count_grants(hosts[0], 14.0) == 0


def test_lowered_limit_holds_at_once_and_a_raised_one_fills_slowly():
    (host,) = _make_hosts(("a",))
    host.configure({"w": _make_workspace(1.0, 2.0)}, 10.0)
    assert _count_grants(host, 10.0) == 2
    host.configure({"w": _make_workspace(100.0, 50.0)}, 10.0)
    assert _count_grants(host, 10.0) == 0
    assert _count_grants(host, 10.1) == 10


def test_workspace_that_is_removed_and_added_gets_nothing_back():
    (host,) = _make_hosts(("a",))
    _count_grants(host, 10.0)
    host.configure({}, 10.0)
    host.configure({"w": _make_workspace()}, 10.0)
    assert _count_grants(host, 10.0) == 0


def test_removed_workspace_keeps_what_it_has_lent():
    hosts = _make_hosts()
    hosts[1].merge([quota_account.Ask("b", "a", 1, "w", 3.0)], 10.0)
    hosts[1].configure({}, 10.0)
    hosts[1].configure({"w": _make_workspace()}, 10.0)
    assert _count_grants(hosts[1], 9.95 + quota_account.CREDIT_LIFE_S) == 0


def test_host_that_hears_less_than_half_does_not_say_used_up():
    # The hosts on the other side of a partition may have tokens left.
    (host,) = _make_hosts(("a",), part=0.4)
    _count_grants(host, 10.0)
    assert not host.take("w", 10.0).over_quota


@hypothesis.given(
    count=st.integers(1, 80),
    total=st.integers(0, 60),
    name=st.text(min_size=1, max_size=5),
)
def test_parts_of_the_reserve_add_up_to_it(count, total, name):
    names = tuple(f"h{i}" for i in range(count))
    parts = [quotas.compute_reserve(names, own, name, total) for own in names]
    assert sum(parts) == total
    assert max(parts) - min(parts) <= 1


@hypothesis.given(
    rate=st.floats(0.1, 1000.0),
    burst=st.floats(0.0, 1000.0),
)
def test_bucket_and_reserve_stay_within_the_bound(rate, burst):
    workspace = _make_workspace(rate, burst)
    division = quota_account.divide_bound(workspace, _BOUND)
    assert (
        rate * _BOUND.window_s + division.capacity + division.reserve
        <= (rate * _BOUND.window_s + burst) * 1.1 + 20.0 + 1e-6
    )


def _make_restarted(names, view, now, *, workspace):
    """Returns the quotas of hosts that have all just started."""
    hosts = {}
    for name in names:
        host = quotas.Quotas(
            own=name, bound=quota_account.QuotaBound(5.0, 0.1, 20.0)
        )
        host.configure({workspace.name: workspace}, now)
        host.set_hosts(names, now)
        host.set_view(view, now)
        hosts[name] = host
    return hosts


def _exchange_reports(hosts, now):
    """Delivers all questions, and then all answers."""
    for _ in range(2):
        for host in hosts.values():
            for report in host.list_gossip(now, 16):
                if report.receiver in hosts:
                    hosts[report.receiver].merge([report], now)


def _count_granted(hosts, now) -> int:
    return sum(
        isinstance(host.take("w", now), quotas.Grant) for host in hosts.values()
    )


def test_hosts_that_were_all_restarted_do_not_refuse_for_the_delay():
    # Callers were refused for three seconds and more after a power cut of all
    # hosts, though no other host could have a part.
    names = ("h1", "h2", "h3")
    workspace = fakes.make_workspace("w", rate_per_s=30.0, burst=30.0)
    hosts = _make_restarted(
        names, rate_limits.FleetView(names, 1.0), 10.0, workspace=workspace
    )
    _count_granted(hosts, 10.0)
    _exchange_reports(hosts, 10.05)
    assert _count_granted(hosts, 10.4) == 3
    # Their buckets were empty.
    taken = sum(_count_granted(hosts, 10.4) for _ in range(100))
    assert taken <= 30.0 * 0.4 + 20.0


def test_a_part_is_not_taken_early_while_others_hold_the_whole():
    # A host that joins would otherwise add its part to those of the others.
    names = ("h1", "h2", "h3")
    workspace = fakes.make_workspace("w", rate_per_s=30.0, burst=30.0)
    hosts = _make_restarted(
        names[:2],
        rate_limits.FleetView(names[:2], 1.0),
        10.0,
        workspace=workspace,
    )
    for tenth in range(100):
        for host in hosts.values():
            host.set_view(
                rate_limits.FleetView(names[:2], 1.0), 10 + tenth / 10
            )
    joined = _make_restarted(
        names, rate_limits.FleetView(names, 1.0), 20.0, workspace=workspace
    )
    hosts["h3"] = joined["h3"]
    _count_granted(hosts, 20.0)
    _exchange_reports(hosts, 20.05)
    assert hosts["h3"].list_shares() == [0.0]
    for name in names[:2]:
        hosts[name].set_view(rate_limits.FleetView(names, 1.0), 20.1)
    while isinstance(hosts["h3"].take("w", 20.6), quotas.Grant):
        pass  # Uses up what it has borrowed.
    _exchange_reports(hosts, 20.65)
    assert hosts["h3"].list_shares() == [pytest.approx(1 / 3)]
