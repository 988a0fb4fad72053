"""Facts: the newest wins, lifetimes travel, digests repair what was missed."""

import pytest

from eelgrasshall import clock as clock_module
from eelgrasshall.coordination import facts
from eelgrasshall.protocol import messages


@pytest.fixture
def clock():
    return clock_module.ManualClock()


def _compare(one, other):
    """Has `one` send its digest to `other`, as a heartbeat does."""
    one.merge(other.answer_digest(one.make_digest("one")))


def test_newest_sequence_wins_in_any_order(clock):
    table = facts.FactTable(clock=clock)
    seen = []
    table.subscribe("cold")(seen.append)
    newer = messages.GossipFact("cold", "s", 2, b"- new")
    older = messages.GossipFact("cold", "s", 1, b"- old")
    table.merge((newer, older, newer))
    assert [fact.body for fact in seen] == [b"new"]
    assert table.find("cold", "s") == newer


def test_lifetime_goes_on_where_the_fact_goes(clock):
    one, other = (facts.FactTable(clock=clock) for _ in range(2))
    one.publish("cold", "s", b"1", 10.0)
    clock.jump(6.0)
    other.merge(one.collect_for("other"))
    assert other.find("cold", "s").body == b"4000 1"
    clock.jump(5.0)
    assert other.collect_for("one") == () and other.find("cold", "s") is None


def test_fact_is_sent_a_number_of_times_that_grows_with_the_logarithm(clock):
    for size, sends in ((1, 3), (7, 9), (400, 27)):
        table = facts.FactTable(clock=clock)
        table.set_fleet_size(size)
        table.publish("cold", "s", b"1", 60.0)
        sent = [len(table.collect_for(f"h{n}")) for n in range(100)]
        assert sum(sent) == sends


def test_message_takes_a_bounded_number_of_bytes(clock):
    table = facts.FactTable(clock=clock)
    for number in range(200):
        table.publish("cold", f"s{number}", b"1" * 100, 60.0)
    table.publish("cold", "news", b"1", 60.0)
    sent = [table.collect_for("h") for _ in range(1000)]
    sizes = [sum(map(facts.measure_fact, message)) for message in sent]
    assert max(sizes) <= facts.MAX_BYTES_PER_MESSAGE
    assert sent[0][0].key == "news"
    assert len({fact.key for message in sent for fact in message}) == 201


def test_digests_repair_only_what_differs(clock):
    one, other = (facts.FactTable(clock=clock) for _ in range(2))
    for number in range(300):
        one.publish("cold", f"s{number}", b"1", 60.0)
    _compare(other, one)
    assert other.dump()["facts"] == {"cold": 300}
    assert one.answer_digest(other.make_digest("other")) == ()
    one.publish("cold", "s1", b"2", 60.0)
    answer = one.answer_digest(other.make_digest("other"))
    assert 1 <= len(answer) <= 30


def test_digests_agree_whatever_was_known_before(clock):
    one, other = (facts.FactTable(clock=clock) for _ in range(2))
    for body in (b"1", b"2", b"3"):
        one.publish("cold", "s", body, 60.0)
    other.merge((one.find("cold", "s"),))
    assert other.answer_digest(one.make_digest("one")) == ()


def test_handler_that_fails_keeps_nothing_from_the_others(clock):
    table = facts.FactTable(clock=clock)
    seen = []

    @table.subscribe("cold")
    def fail(fact):
        raise ValueError(fact.key)

    table.subscribe("cold")(seen.append)
    table.merge((messages.GossipFact("cold", "s", 1, b"- 1"),))
    assert len(seen) == 1
