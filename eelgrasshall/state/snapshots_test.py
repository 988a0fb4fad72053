"""Tests of snapshot selection."""

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
def test_newest_of_most_widely_available_snapshots_is_chosen(offered):
    table = snapshots.SnapshotTable(clock=clock_module.ManualClock())
    names = [f"s{index}" for index in range(len(offered))]
    for name, available in zip(names, offered, strict=True):
        table.observe(name, tuple(available))
    chosen = table.choose([*names, "unknown"])
    distinct = {snapshot for available in offered for snapshot in available}
    if not distinct:
        assert chosen is None
        return

    def count(snapshot):
        return sum(snapshot in available for available in offered)

    highest = max(count(snapshot) for snapshot in distinct)
    assert chosen == max(s for s in distinct if count(s) == highest)


def test_expired_observation_is_ignored():
    clock = clock_module.ManualClock()
    table = snapshots.SnapshotTable(clock=clock)
    table.observe("s", (messages.Snapshot(1, 1),))
    clock.jump(snapshots.OBSERVATION_TTL_S + 1)
    assert table.choose(["s"]) is None


def test_empty_observation_replaces_nothing():
    table = snapshots.SnapshotTable(clock=clock_module.ManualClock())
    table.observe("s", (messages.Snapshot(1, 1),))
    table.observe("s", ())
    assert table.choose(["s"]) == messages.Snapshot(1, 1)
