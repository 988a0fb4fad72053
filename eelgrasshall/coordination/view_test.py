"""The view of the fleet, fed with statements by hand."""

from eelgrasshall import clock as clock_module
from eelgrasshall.coordination import facts
from eelgrasshall.coordination import view
from eelgrasshall.state import members


def _make(name, clock, incarnation=1):
    member = members.Member(name, "a", "r", "h", 1, "h", 1, incarnation)
    table = facts.FactTable(clock=clock)
    made = view.MemberView(self_member=member, clock=clock, facts=table)
    made.state_own()
    return made, table


async def test_time_that_this_process_stood_still_does_not_count():
    clock = clock_module.ManualClock()
    own, table = _make("own", clock)
    _, other_table = _make("other", clock)
    table.merge(other_table.collect_for("own"))
    own.suspect("other")
    own.expire()
    clock.jump(5.0)
    own.expire()
    assert own.find("other").status is members.MemberStatus.SUSPECT
    for _ in range(10):
        clock.jump(view.SUSPICION_TICK_S)
        own.expire()
    assert own.find("other").status is members.MemberStatus.DEAD


async def test_host_that_was_late_itself_blames_nobody():
    clock = clock_module.ManualClock()
    own, table = _make("own", clock)
    _, other_table = _make("other", clock)
    table.merge(other_table.collect_for("own"))
    clock.jump(0.5)
    own.expire()
    own.suspect("other")
    assert own.find("other").status is members.MemberStatus.ALIVE
    for _ in range(11):
        clock.jump(view.SUSPICION_TICK_S)
        own.expire()
    own.suspect("other")
    assert own.find("other").status is members.MemberStatus.SUSPECT


async def test_refutation_wins_over_suspicion_and_death_in_any_order():
    clock = clock_module.ManualClock()
    own, table = _make("own", clock)
    other, other_table = _make("other", clock)
    table.merge(other_table.collect_for("own"))
    own.suspect("other")
    own.mark_dead("other")
    accusation = (own.find_statement("other"),)
    other_table.merge(accusation)
    assert other.refutations == 1
    table.merge((other.find_statement("other"),))
    table.merge(accusation)
    assert own.find("other").status is members.MemberStatus.ALIVE


async def test_dead_are_forgotten_in_the_end():
    clock = clock_module.ManualClock()
    own, table = _make("own", clock)
    _, other_table = _make("other", clock)
    table.merge(other_table.collect_for("own"))
    own.mark_dead("other")
    clock.jump(view.DEAD_RETENTION_S + 1.0)
    table.collect_for("own")
    assert own.expire() == ["other"]
    assert own.find("other") is None and table.dump()["facts"] == {"member": 1}
