"""Tests of the answer of a search."""

from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import merging

_RECORD = strategies.binary(min_size=16, max_size=16)


@given(
    parts=strategies.lists(strategies.lists(_RECORD, max_size=8), max_size=5),
    top=strategies.integers(min_value=0, max_value=10),
    rest=strategies.binary(max_size=15),
)
def test_the_greatest_records_come_first_and_remainders_do_not_count(
    parts, top, rest
):
    merged = merging.merge_records(
        (b"".join(records) + rest for records in parts), top
    )
    every = sorted((r for records in parts for r in records), reverse=True)
    assert merged == b"".join(every[:top])


@pytest.mark.parametrize(
    ("included", "shards", "least", "enough"),
    [
        (9, 10, 0.89, True),
        (8, 10, 0.89, False),
        (0, 10, 0.0, False),
        (3, 4, 0.75, True),
        (7, 10, 0.7, True),
        (35, 36, 0.95, True),
        (34, 36, 0.95, False),
    ],
)
def test_a_share_is_enough(included, shards, least, enough):
    assert merging.is_enough(included, shards, least) is enough
