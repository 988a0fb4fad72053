"""Tests of the membership view, with statements exchanged by hand."""

from eelgrasshall import clock as clock_module
from eelgrasshall.coordination import facts
from eelgrasshall.coordination import membership_view
from eelgrasshall.state import members


def _make_view(name, clock, incarnation=1):
    member = members.Member(name, "a", "r", "h", 1, "h", 1, incarnation)
    table = facts.FactTable(clock=clock)
    view = membership_view.MembershipView(
        self_member=member, clock=clock, facts=table
    )
    view.publish_own_status()
    return view, table


async def test_pause_of_this_process_does_not_count_as_suspicion_time():
    clock = clock_module.ManualClock()
    own, table = _make_view("own", clock)
    _, other_table = _make_view("other", clock)
    table.merge(other_table.collect_for("own"))
    own.mark_suspect("other")
    own.expire()
    clock.jump(5.0)
    own.expire()
    assert own.find("other").status is members.MemberStatus.SUSPECT
    for _ in range(10):
        clock.jump(membership_view.SUSPICION_CHECK_INTERVAL_S)
        own.expire()
    assert own.find("other").status is members.MemberStatus.DEAD


async def test_host_that_was_paused_does_not_suspect_others():
    clock = clock_module.ManualClock()
    own, table = _make_view("own", clock)
    _, other_table = _make_view("other", clock)
    table.merge(other_table.collect_for("own"))
    clock.jump(0.5)
    own.expire()
    own.mark_suspect("other")
    assert own.find("other").status is members.MemberStatus.ALIVE
    for _ in range(11):
        clock.jump(membership_view.SUSPICION_CHECK_INTERVAL_S)
        own.expire()
    own.mark_suspect("other")
    assert own.find("other").status is members.MemberStatus.SUSPECT


async def test_refutation_overrides_suspicion_and_death_in_any_order():
    clock = clock_module.ManualClock()
    own, table = _make_view("own", clock)
    other, other_table = _make_view("other", clock)
    table.merge(other_table.collect_for("own"))
    own.mark_suspect("other")
    own.mark_dead("other")
    accusation = (own.find_statement("other"),)
    other_table.merge(accusation)
    assert other.refutations == 1
    table.merge((other.find_statement("other"),))
    table.merge(accusation)
    assert own.find("other").status is members.MemberStatus.ALIVE


async def test_dead_members_are_removed_after_their_retention():
    clock = clock_module.ManualClock()
    own, table = _make_view("own", clock)
    _, other_table = _make_view("other", clock)
    table.merge(other_table.collect_for("own"))
    own.mark_dead("other")
    clock.jump(membership_view.DEAD_RETENTION_S + 1.0)
    table.collect_for("own")
    assert own.expire() == ["other"]
    assert own.find("other") is None and table.dump()["facts"] == {"member": 1}
