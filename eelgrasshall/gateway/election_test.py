"""Tests of the election of the hosts that watch the store."""

from hypothesis import given
from hypothesis import strategies

from eelgrasshall.gateway import election


def _make_candidate(name: str, zone: str = "a", *, reaches: bool = True):
    return election.Candidate(name, zone, reaches)


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
def test_hosts_with_the_same_view_agree_on_the_watchers(hosts):
    candidates = [_make_candidate(name, zone) for name, zone in hosts]
    watchers = [
        own
        for own in candidates
        if election.should_watch(
            own, [each for each in candidates if each is not own]
        )
    ]
    assert len(watchers) == min(len(hosts), election.WATCHER_COUNT)
    zones = {zone for _, zone in hosts}
    expected = min(len(zones), election.WATCHER_COUNT)
    assert len({each.zone for each in watchers}) == expected


def test_single_host_watches():
    assert election.should_watch(_make_candidate("a"), [])


def test_all_hosts_watch_while_none_reaches_the_store():
    hosts = [_make_candidate(name, reaches=False) for name in "abcdefgh"]
    for own in hosts:
        others = [each for each in hosts if each is not own]
        assert election.should_watch(own, others)
