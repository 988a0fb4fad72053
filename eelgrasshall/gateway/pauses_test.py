"""Tests of the pauses that backend servers ask for."""

import random

from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import pauses


@pytest.mark.parametrize(
    ("text", "pause_s"),
    [
        (b"1", 1.0),
        (b"0.25", 0.25),
        (b"0", 0.0),
        (b"86400", pauses.MAX_PAUSE_S),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"", None),
        (b"soon", None),
        (b"Fri, 04 Dec 2026 07:00:00 GMT", None),
    ],
)
def test_pause_is_parsed_and_bounded(text, pause_s):
    assert pauses.parse_pause_s(text) == pause_s


def _choose(waits_s, min_count):
    return pauses.choose_return_s(waits_s, min_count, 0.4, random.Random(1))


def test_caller_returns_when_enough_shards_are_available_again():
    return_s = _choose([0.0, 3.0, 1.0, None], 3)
    assert 3.0 <= return_s <= 3.0 + pauses.RETURN_SPREAD_S
    return_s = _choose([0.0, 3.0, 1.0, None], 2)
    assert 1.0 <= return_s <= 1.0 + pauses.RETURN_SPREAD_S


def test_default_is_used_if_the_pauses_do_not_tell():
    assert _choose([0.0, None, 1.0], 3) == 0.4
    assert _choose([None], 1) == 0.4
    assert _choose([0.0], 1) == 0.4


@given(
    waits_s=strategies.lists(
        strategies.floats(0.0, 300.0), min_size=1, max_size=8
    ),
    seed=strategies.integers(0, 99),
)
def test_callers_never_return_before_the_last_pause_that_matters(waits_s, seed):
    for min_count in range(1, len(waits_s) + 1):
        return_s = pauses.choose_return_s(
            waits_s, min_count, 0.4, random.Random(seed)
        )
        available = sum(1 for wait_s in waits_s if wait_s <= return_s)
        assert available >= min_count
