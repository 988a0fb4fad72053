"""Tests of who listens to the store."""

from hypothesis import given
from hypothesis import strategies

from eelgrasshall.gateway import listening


def _make(name: str, zone: str = "a", *, reaches: bool = True):
    return listening.Candidate(name, zone, reaches)


@given(
    hosts=strategies.lists(
        strategies.tuples(
            strategies.text("abcdef", min_size=1, max_size=4),
            strategies.sampled_from("xyz"),
        ),
        min_size=1,
        max_size=20,
        unique_by=lambda each: each[0],
    )
)
def test_hosts_that_see_each_other_agree_on_the_listeners(hosts):
    candidates = [_make(name, zone) for name, zone in hosts]
    listeners = [
        own
        for own in candidates
        if listening.should_listen(
            own, [each for each in candidates if each is not own]
        )
    ]
    assert len(listeners) == min(len(hosts), listening.LISTENERS)
    zones = {zone for _, zone in hosts}
    expected = min(len(zones), listening.LISTENERS)
    assert len({each.zone for each in listeners}) == expected


def test_a_host_alone_listens():
    assert listening.should_listen(_make("a"), [])


def test_all_listen_while_nobody_reaches_the_store():
    hosts = [_make(name, reaches=False) for name in "abcdefgh"]
    for own in hosts:
        others = [each for each in hosts if each is not own]
        assert listening.should_listen(own, others)
