"""Tests of the choice of a snapshot."""

import hypothesis
from hypothesis import strategies

from eelgrasshall import clock as clock_module
from eelgrasshall.protocol import messages
from eelgrasshall.state import snapshots

SNAPSHOTS = strategies.builds(
    messages.Snapshot, strategies.integers(1, 2), strategies.integers(1, 4)
)


@hypothesis.given(
    strategies.lists(strategies.lists(SNAPSHOTS, unique=True), max_size=5)
)
def test_choice_is_the_newest_that_most_can_serve(held):
    table = snapshots.SnapshotTable(clock=clock_module.ManualClock())
    names = [f"s{index}" for index in range(len(held))]
    for name, available in zip(names, held, strict=True):
        table.observe(name, tuple(available))
    chosen = table.choose([*names, "unknown"])
    everything = {snapshot for available in held for snapshot in available}
    if not everything:
        assert chosen is None
        return

    def count(snapshot):
        return sum(snapshot in available for available in held)

    most = max(count(snapshot) for snapshot in everything)
    assert chosen == max(s for s in everything if count(s) == most)


def test_old_sighting_says_nothing():
    clock = clock_module.ManualClock()
    table = snapshots.SnapshotTable(clock=clock)
    table.observe("s", (messages.Snapshot(1, 1),))
    clock.jump(snapshots.FRESH_S + 1)
    assert table.choose(["s"]) is None


def test_empty_sighting_replaces_none():
    table = snapshots.SnapshotTable(clock=clock_module.ManualClock())
    table.observe("s", (messages.Snapshot(1, 1),))
    table.observe("s", ())
    assert table.choose(["s"]) == messages.Snapshot(1, 1)
