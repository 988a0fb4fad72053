"""Runs the search over the orders of events, bounded and with a fixed seed.

Guards against hosts that state more of the store than they know: changes are
then lost, and requests go to servers that have left or on routes that are gone.
Each former fault of this kind, put back, must make a sequence fail.
"""

import pytest

from eelgrasshall.platform import exploration
from eelgrasshall.platform import fleet_walks
from eelgrasshall.platform import mutations

_BOUND = exploration.Bound()
# Shortest sequences that fail with a fault put back, found by `exploration`.
_SEQUENCES = {
    "no-names": ("delete a", "restart h2"),
    "last-page": (
        "restart h2",
        "serve h2 -> store servers list",
        "delete a",
    ),
    "late-seed": (
        "delete a",
        "restart h2",
        "answer h2 -> store servers list",
        "h2 hears h1",
    ),
}


def test_all_orders_of_a_few_events_keep_what_hosts_claim():
    bound = _BOUND._replace(depth=3)
    result = exploration.explore(bound)
    assert not result.violations, str(result)
    assert result.depth == bound.depth


@pytest.mark.parametrize("name", _SEQUENCES)
def test_search_finds_a_fault_that_is_put_back(name):
    assert not exploration.replay(_BOUND, _SEQUENCES[name])
    with mutations.apply(name):
        assert exploration.replay(_BOUND, _SEQUENCES[name])


def test_listing_that_lacks_what_was_deleted_between_its_pages():
    # Another host put the deletion off; the one that listed the store stated
    # that it could name it.
    sequence = (
        "restart h2",
        "serve h2 -> store servers list",
        "delete b",
        "time passes",
    )
    assert not exploration.replay(_BOUND, sequence)


def test_every_mutation_fits_the_code():
    for name in mutations.MUTATIONS:
        with mutations.apply(name):
            pass


def test_random_walks_of_a_fleet_keep_bounds_and_claims():
    error = fleet_walks.walk(examples=40, seed=1, shrink=False)
    assert error is None, getattr(error, "__notes__", error)


def _walk(events, **begin) -> None:
    """Plays the events of a walk, and quiet after it."""
    with fleet_walks.open_walk(**begin) as walk:
        for name, arguments in events:
            getattr(walk, name)(**arguments)
            walk.holds()


def test_deletion_after_a_lapsed_entry_was_back_reaches_all_hosts():
    # The timer of the first deletion was taken for one of the second.
    _walk(
        [
            ("time_passes", {"duration_s": 0.3}),
            (
                "silence",
                {"lapsing": True, "watchers_lost": True, "duration_s": 4.0},
            ),
            ("remove", {"names": ["n"]}),
            ("time_passes", {"duration_s": 0.3}),
        ],
        count=9,
        seed=6,
    )


def test_deletions_reach_a_host_after_the_store_came_back_older():
    # Names included what the store had lost.
    _walk(
        [
            ("cut", {"number": 2, "store_only": False}),
            ("go_back", {"age_s": 2.0}),
            (
                "kill_watchers",
                {"back_s": None, "lead_s": 0.0, "names": ["j", "h", "c"]},
            ),
        ],
        count=5,
        seed=1,
    )


@pytest.mark.parametrize(
    ("name", "events"),
    [
        (
            "lapsed",
            [
                ("time_passes", {"duration_s": 1.0}),
                (
                    "silence",
                    {"lapsing": True, "watchers_lost": True, "duration_s": 3.0},
                ),
            ],
        ),
        (
            "long-doubt",
            [
                (
                    "kill_watchers",
                    {"back_s": None, "lead_s": 0.1, "names": ["a"]},
                ),
                ("time_passes", {"duration_s": 3.0}),
            ],
        ),
        (
            "lost-doubt",
            [
                (
                    "kill_watchers",
                    {"back_s": None, "lead_s": -2.0, "names": ["a", "b", "c"]},
                ),
                ("time_passes", {"duration_s": 3.0}),
            ],
        ),
    ],
)
def test_walk_fails_with_a_fault_that_is_put_back(name, events):
    _walk(events, count=7, seed=0)
    with mutations.apply(name), pytest.raises(AssertionError):
        _walk(events, count=7, seed=0)
