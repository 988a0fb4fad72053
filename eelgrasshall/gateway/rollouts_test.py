"""Tests of the decisions on rollouts at single hosts."""

import random

from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import rollouts

_NEW = model.Rollout("orders", "v2", 12.0)
_RUNNING = _NEW._replace(state=model.RolloutState.RUNNING)
_COMPLETED = _NEW._replace(state=model.RolloutState.COMPLETED)
_ROLLED_BACK = _NEW._replace(state=model.RolloutState.ROLLED_BACK)


def _make(name: str = "h1", incarnation: int = 1) -> rollouts.Rollouts:
    """Returns the orders of a host that has known its share for a while."""
    orders = rollouts.Rollouts(
        own=name, incarnation=incarnation, bound=rollouts.Bound()
    )
    for second in range(-20, 1):
        orders.set_share(0.25, float(second))
    return orders


def _ordered(name: str = "h1", **kwargs) -> rollouts.Rollouts:
    orders = _make(name, **kwargs)
    orders.set_order("orders", _NEW, 5, 0.0)
    return orders


def _answer(
    orders: rollouts.Rollouts,
    version: str,
    answer: rollouts.Answer,
    now: float,
    *,
    count: int = 1,
    route: str = "find",
) -> None:
    for _ in range(count):
        orders.record_answer("orders", route, version, answer, now)


def _get_phase(orders: rollouts.Rollouts) -> rollouts.Phase:
    return orders.list_phases()["orders"]


def _list_due(
    orders, now, *, heard=(), is_minority=False
) -> list[model.RolloutState]:
    return [
        rollout.state
        for rollout, _ in orders.list_due_states(
            now, heard, is_minority=is_minority
        )
    ]


def _servers(**versions: tuple[int, int]) -> list[model.Server]:
    """Returns servers; each version has a number and a first start time."""
    return [
        fakes.make_server(
            f"{version}-{i}", version=version, started_at_ms=started_ms + i
        )
        for version, (count, started_ms) in versions.items()
        for i in range(count)
    ]


def test_version_without_an_order_is_that_of_most_servers():
    orders = _make()
    choose = orders.choose_versions
    assert choose("orders", _servers(v1=(3, 9), v2=(2, 1))).current == "v1"
    # In a tie, that of the server that started first.
    assert choose("orders", _servers(v1=(2, 9), v2=(2, 1))).current == "v2"
    servers = _servers(v1=(3, 9), v2=(2, 1))
    servers = [
        each._replace(draining=each.version == "v1" and each.id != "v1-0")
        for each in servers
    ]
    assert choose("orders", servers).current == "v2"
    assert choose("orders", []).current is None


def test_order_puts_its_target_on_trial_whatever_most_servers_are():
    orders = _ordered()
    servers = _servers(v1=(2, 9), v2=(3, 1))
    assert orders.choose_versions("orders", servers) == ("v1", "v2")
    orders.set_order("orders", _ROLLED_BACK, 7, 1.0)
    assert orders.choose_versions("orders", servers) == ("v1", None)
    orders.set_order("orders", None, 8, 2.0)
    assert orders.choose_versions("orders", servers) == ("v2", None)
    orders.set_order("orders", _COMPLETED, 9, 3.0)
    servers = _servers(v1=(3, 9), v2=(2, 1))
    assert orders.choose_versions("orders", servers) == ("v2", None)


def test_trials_are_part_of_the_requests_and_of_the_fixed_part():
    orders = _ordered()
    taken = sum(
        orders.take_trial("orders", i * 0.01, available=True)
        for i in range(1000)
    )
    fixed = 50 * 0.25 * rollouts.USABLE_SHARE
    assert fixed + 1000 * 0.04 <= taken <= fixed + 1000 * 0.05 + 1


def test_process_that_starts_during_an_order_has_no_fixed_part():
    # The process before it may have spent it.
    orders = _make()
    orders.set_order("orders", _RUNNING, 6, 0.0)
    assert not any(
        orders.take_trial("orders", 0.01 * i, available=True) for i in range(15)
    )


def test_host_that_has_just_started_has_no_fixed_part():
    # It does not know yet how many hosts there are.
    orders = rollouts.Rollouts(own="h1", incarnation=1, bound=rollouts.Bound())
    orders.set_share(1.0, 0.0)
    orders.set_order("orders", _NEW, 5, 0.5)
    assert not orders.take_trial("orders", 1.0, available=True)


def test_request_without_an_available_trial_server_costs_no_trial():
    orders = _ordered()
    for i in range(50):
        assert not orders.take_trial("orders", 0.01 * i, available=False)
    assert orders.take_trial("orders", 1.0, available=True)


@pytest.mark.parametrize("bad", [rollouts.Answer.FAILED, rollouts.Answer.SLOW])
def test_version_that_is_worse_on_one_route_is_bad(bad):
    orders = _ordered()
    for i in range(40):
        now = 0.1 * i
        for route in ("find", "buy"):
            _answer(
                orders, "v1", rollouts.Answer.GOOD, now, count=10, route=route
            )
        _answer(orders, "v2", rollouts.Answer.GOOD, now, count=4)
        _answer(
            orders,
            "v2",
            bad if i % 2 else rollouts.Answer.GOOD,
            now,
            route="buy",
        )
        if _get_phase(orders) is rollouts.Phase.ROLLED_BACK:
            break
    assert i < 35
    (change,) = [
        each
        for each in orders.take_changes()
        if each.phase is rollouts.Phase.ROLLED_BACK
    ]
    assert (change.route, change.kind) == ("buy", bad.value)
    # Sticky: better answers do not bring it back, nor does time.
    _answer(orders, "v2", rollouts.Answer.GOOD, 5.0, count=500)
    orders.update(11.0, {})
    assert _get_phase(orders) is rollouts.Phase.ROLLED_BACK
    assert not orders.take_trial("orders", 11.0, available=True)


@given(
    rate=strategies.floats(0.0, 0.9),
    start=strategies.integers(0, 40),
    length=strategies.integers(1, 60),
    seed=strategies.integers(0, 2**32),
)
def test_fault_of_both_versions_is_not_that_of_the_target(
    rate, start, length, seed
):
    # A fault of what both depend on begins and ends at once, at any time.
    source = random.Random(seed)
    orders = _ordered()
    for i in range(100):
        is_faulty = start <= i < start + length
        for version in ["v1"] * 10 + ["v2"]:
            fails = is_faulty and source.random() < rate
            answer = rollouts.Answer.FAILED if fails else rollouts.Answer.GOOD
            _answer(orders, version, answer, 0.1 * i)
    assert _get_phase(orders) is rollouts.Phase.TRIAL


def test_counts_of_other_hosts_add_up_once():
    # Datagrams arrive late, twice and through several hosts.
    sender, receiver = _ordered("h2"), _ordered("h1")
    reports = []
    for i in range(30):
        _answer(sender, "v1", rollouts.Answer.GOOD, 0.1 * i, count=10)
        _answer(sender, "v2", rollouts.Answer.GOOD, 0.1 * i)
        reports += sender.list_gossip(0.1 * i)
    shuffled = random.Random(1).choices(reports, k=100) + reports[-1:]
    receiver.merge(shuffled, 3.0)
    ((change, _),) = receiver.describe(3.0)
    assert (change.counts.target, change.counts.old) == (30, 300)


def test_counts_of_a_process_that_has_ended_stay():
    receiver = _ordered("h1")
    for incarnation in (1, 2):
        sender = _ordered("h2", incarnation=incarnation)
        _answer(sender, "v2", rollouts.Answer.GOOD, 0.1, count=3)
        receiver.merge(sender.list_gossip(0.2), 0.2)
    ((change, _),) = receiver.describe(1.0)
    assert change.counts.target == 6


def test_verdict_is_passed_on_through_a_host_that_has_no_counts():
    first, second, third = (_ordered(name) for name in ("h1", "h2", "h3"))
    _answer(first, "v1", rollouts.Answer.GOOD, 0.1, count=50)
    _answer(first, "v2", rollouts.Answer.FAILED, 0.1, count=20)
    assert _get_phase(first) is rollouts.Phase.ROLLED_BACK
    second.merge(first.list_gossip(0.2), 0.2)
    third.merge(second.list_gossip(0.3), 0.3)
    assert _get_phase(third) is rollouts.Phase.ROLLED_BACK


def test_reports_of_another_order_are_ignored():
    old = _ordered("h1")
    _answer(old, "v1", rollouts.Answer.GOOD, 0.1, count=50)
    _answer(old, "v2", rollouts.Answer.FAILED, 0.1, count=30)
    gossip = old.list_gossip(0.2)
    assert gossip
    # Deleted and created again: the same target, a new order.
    renewed = _ordered("h2")
    renewed.set_order("orders", None, 6, 1.0)
    renewed.set_order("orders", _NEW, 7, 1.0)
    other_target = _make("h3")
    other_target.set_order("orders", _NEW._replace(target_version="v3"), 7, 1.0)
    for orders in (renewed, other_target):
        orders.merge(gossip, 1.1)
        assert _get_phase(orders) is rollouts.Phase.TRIAL


def test_order_created_again_is_new_though_its_deletion_was_not_seen():
    orders = _ordered()
    orders.set_order("orders", _RUNNING, 6, 0.1)
    orders.set_order("orders", _ROLLED_BACK, 7, 1.0)
    orders.set_order("orders", _NEW, 9, 5.0)
    assert _get_phase(orders) is rollouts.Phase.TRIAL
    assert _list_due(orders, 5.0) == [model.RolloutState.RUNNING]


def test_restarted_host_gets_deadline_and_counts_from_others():
    other = _ordered("h2")
    _answer(other, "v2", rollouts.Answer.GOOD, 8.0, count=20)
    restarted = _make("h1", incarnation=2)
    restarted.set_order("orders", _RUNNING, 6, 9.0)
    restarted.merge(other.list_gossip(9.0), 9.0)
    restarted.update(10.5, {})
    assert _get_phase(restarted) is rollouts.Phase.SWITCHED


def test_end_state_of_the_store_survives_its_return_to_an_older_copy():
    orders = _ordered()
    orders.set_order("orders", _RUNNING, 6, 0.1)
    orders.set_order("orders", _COMPLETED, 7, 11.0)
    restored = object_cache.make_revision(1, 6)
    for state in (_NEW, _RUNNING):
        orders.set_order("orders", state, restored, 13.0)
        assert _get_phase(orders) is rollouts.Phase.COMPLETED
        # Written again.
        assert _list_due(orders, 13.1) == [model.RolloutState.COMPLETED]
    orders.set_order(
        "orders", _COMPLETED, object_cache.make_revision(1, 7), 14.0
    )
    assert not _list_due(orders, 14.1)


def test_end_state_is_never_left():
    orders = _ordered()
    orders.set_order("orders", _COMPLETED, 6, 11.0)
    _answer(orders, "v1", rollouts.Answer.GOOD, 11.1, count=50)
    _answer(orders, "v2", rollouts.Answer.FAILED, 11.1, count=50)
    assert _get_phase(orders) is rollouts.Phase.COMPLETED
    assert not _list_due(orders, 30.0)


def test_target_with_too_few_answers_is_rolled_back():
    orders = _ordered()
    orders.set_order("orders", _RUNNING, 6, 0.1)
    _answer(
        orders, "v2", rollouts.Answer.GOOD, 1.0, count=rollouts.MIN_ANSWERS - 1
    )
    orders.update(11.0, {})
    assert _get_phase(orders) is rollouts.Phase.TRIAL
    assert not _list_due(orders, 11.0)
    assert _list_due(orders, 11.6) == [model.RolloutState.ROLLED_BACK]
    # One that hears few hosts leaves that to the others.
    assert not _list_due(orders, 11.9, is_minority=True)


def _switch(orders: rollouts.Rollouts, old_in_flight: int = 0) -> None:
    _answer(orders, "v2", rollouts.Answer.GOOD, 5.0, count=20)
    orders.update(10.1, {"orders": old_in_flight})
    orders.update(10.1, {"orders": old_in_flight})
    assert _get_phase(orders) is rollouts.Phase.SWITCHED


def test_completed_waits_until_no_host_has_requests_at_the_old_servers():
    orders, other = _ordered("h1"), _ordered("h2")
    for each in (orders, other):
        each.set_order("orders", _RUNNING, 6, 0.1)
    _switch(orders, old_in_flight=0)
    # Badness under load shows only now.
    assert not _list_due(orders, 10.9)
    orders.update(10.9, {"orders": 1})
    assert not _list_due(orders, 11.3)
    orders.update(11.3, {"orders": 0})
    assert _list_due(orders, 11.3) == [model.RolloutState.COMPLETED]
    # Another host has not switched, then still waits for one answer.
    assert not _list_due(orders, 11.3, heard=["h2"])
    _switch(other, old_in_flight=1)
    orders.merge(other.list_gossip(11.3), 11.3)
    assert not _list_due(orders, 11.4, heard=["h2"])
    other.update(11.4, {"orders": 0})
    orders.merge(other.list_gossip(11.4), 11.4)
    assert _list_due(orders, 11.4, heard=["h2"]) == [
        model.RolloutState.COMPLETED
    ]
    # It does not wait beyond the deadline.
    assert _list_due(orders, 12.0, heard=["h2", "h3"]) == [
        model.RolloutState.COMPLETED
    ]


def test_version_that_turns_bad_after_the_switch_over_is_rolled_back():
    orders = _ordered()
    orders.set_order("orders", _RUNNING, 6, 0.1)
    _answer(orders, "v1", rollouts.Answer.GOOD, 9.9, count=100)
    _switch(orders)
    _answer(orders, "v2", rollouts.Answer.FAILED, 10.4, count=20)
    assert _get_phase(orders) is rollouts.Phase.ROLLED_BACK
    assert _list_due(orders, 10.4) == [model.RolloutState.ROLLED_BACK]


def test_share_that_rises_during_an_order_adds_nothing_to_it():
    # Hosts that had the share before may have spent it.
    orders = rollouts.Rollouts(own="h1", incarnation=1, bound=rollouts.Bound())
    for second in range(-20, 1):
        orders.set_share(0.0, float(second))
    orders.set_order("orders", _NEW, 5, 0.0)
    for second in range(1, 12):
        orders.set_share(1.0, float(second))
    assert not orders.take_trial("orders", 11.0, available=True)


def test_version_that_turns_bad_after_many_good_answers_is_found_as_fast():
    test = rollouts.SequentialTest()
    for i in range(100):
        test.add(target=10, target_bad=0, old=50, old_bad=0, now=0.1 * i)
    test.add(target=10, target_bad=7, old=50, old_bad=0, now=10.0)
    assert test.score >= rollouts.BAD_SCORE


def test_version_that_is_bad_on_each_of_many_routes_is_found_over_all():
    orders = _ordered()
    for route in map(str, range(10)):
        _answer(orders, "v1", rollouts.Answer.GOOD, 1.0, count=20, route=route)
        _answer(orders, "v2", rollouts.Answer.FAILED, 1.0, route=route)
    assert _get_phase(orders) is rollouts.Phase.ROLLED_BACK


def test_verdict_counts_without_the_counts_that_led_to_it():
    # They may have been in a datagram that was lost.
    first, second = _ordered("h1"), _ordered("h2")
    _answer(first, "v1", rollouts.Answer.GOOD, 0.1, count=50)
    _answer(first, "v2", rollouts.Answer.FAILED, 0.1, count=20)
    (report,) = first.list_gossip(0.2)
    second.merge([report._replace(counts={})], 0.2)
    assert _get_phase(second) is rollouts.Phase.ROLLED_BACK


def test_suspect_target_does_not_get_all_requests():
    orders = _ordered()
    orders.set_order("orders", _RUNNING, 6, 0.1)
    _answer(orders, "v2", rollouts.Answer.GOOD, 5.0, count=20)
    _answer(orders, "v1", rollouts.Answer.GOOD, 9.0, count=100)
    _answer(orders, "v2", rollouts.Answer.FAILED, 9.0, count=4)
    orders.update(10.5, {})
    assert _get_phase(orders) is rollouts.Phase.TRIAL
    assert _list_due(orders, 11.6) == [model.RolloutState.ROLLED_BACK]


def test_reports_of_many_hosts_are_passed_on_in_turns():
    orders = _ordered()
    for i in range(60):
        sender = _ordered(f"s{i}")
        _answer(sender, "v2", rollouts.Answer.GOOD, 0.1)
        orders.merge(sender.list_gossip(0.2), 0.2)
    sent = set()
    for i in range(10):
        now = 0.3 + 0.25 * i
        chosen = orders.list_gossip(now)[:8]
        orders.mark_sent(chosen, now)
        sent |= {each.host for each in chosen}
    assert len(sent) >= 60
