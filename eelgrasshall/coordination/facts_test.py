"""Tests of the precedence, the expiry and the anti-entropy of facts."""

import pytest

from eelgrasshall import clock as clock_module
from eelgrasshall.coordination import facts
from eelgrasshall.protocol import messages


@pytest.fixture
def clock():
    return clock_module.ManualClock()


def _sync(one, other):
    """Sends the digest of `one` to `other` and merges the answer."""
    one.merge(other.answer_digest(one.make_digest("one")))


def test_highest_sequence_wins_in_any_order(clock):
    table = facts.FactTable(clock=clock)
    received = []
    table.subscribe("cold")(received.append)
    newer = messages.GossipFact("cold", "s", 2, b"- new")
    older = messages.GossipFact("cold", "s", 1, b"- old")
    table.merge((newer, older, newer))
    assert [fact.body for fact in received] == [b"new"]
    assert table.find("cold", "s") == newer


def test_remaining_lifetime_is_sent_with_the_fact(clock):
    one, other = (facts.FactTable(clock=clock) for _ in range(2))
    one.publish("cold", "s", b"1", 10.0)
    clock.jump(6.0)
    other.merge(one.collect_for("other"))
    assert other.find("cold", "s").body == b"4000 1"
    clock.jump(5.0)
    assert other.collect_for("one") == () and other.find("cold", "s") is None


def test_retransmissions_grow_with_the_logarithm_of_the_fleet(clock):
    for size, sends in ((1, 3), (7, 9), (400, 27)):
        table = facts.FactTable(clock=clock)
        table.set_fleet_size(size)
        table.publish("cold", "s", b"1", 60.0)
        sent = [len(table.collect_for(f"h{n}")) for n in range(100)]
        assert sum(sent) == sends


def test_size_of_messages_is_bounded(clock):
    table = facts.FactTable(clock=clock)
    for number in range(200):
        table.publish("cold", f"s{number}", b"1" * 100, 60.0)
    table.publish("cold", "news", b"1", 60.0)
    sent = [table.collect_for("h") for _ in range(1000)]
    sizes = [sum(map(facts.estimate_size, message)) for message in sent]
    assert max(sizes) <= facts.MAX_BYTES_PER_MESSAGE
    assert sent[0][0].key == "news"
    assert len({fact.key for message in sent for fact in message}) == 201


def test_digests_transfer_only_differing_buckets(clock):
    one, other = (facts.FactTable(clock=clock) for _ in range(2))
    for number in range(300):
        one.publish("cold", f"s{number}", b"1", 60.0)
    _sync(other, one)
    assert other.dump()["facts"] == {"cold": 300}
    assert one.answer_digest(other.make_digest("other")) == ()
    one.publish("cold", "s1", b"2", 60.0)
    answer = one.answer_digest(other.make_digest("other"))
    assert 1 <= len(answer) <= 30


def test_digests_do_not_depend_on_replaced_facts(clock):
    one, other = (facts.FactTable(clock=clock) for _ in range(2))
    for body in (b"1", b"2", b"3"):
        one.publish("cold", "s", body, 60.0)
    other.merge((one.find("cold", "s"),))
    assert other.answer_digest(one.make_digest("one")) == ()


def test_failed_handler_does_not_stop_other_handlers(clock):
    table = facts.FactTable(clock=clock)
    received = []

    @table.subscribe("cold")
    def fail(fact):
        raise ValueError(fact.key)

    table.subscribe("cold")(received.append)
    table.merge((messages.GossipFact("cold", "s", 1, b"- 1"),))
    assert len(received) == 1
