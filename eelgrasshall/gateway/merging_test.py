"""Tests of merging the shards' responses to a search."""

from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import merging

_RECORD = strategies.binary(min_size=16, max_size=16)


@given(
    record_lists=strategies.lists(
        strategies.lists(_RECORD, max_size=8), max_size=5
    ),
    top=strategies.integers(min_value=0, max_value=10),
    remainder=strategies.binary(max_size=15),
)
def test_greatest_records_come_first_and_remainders_are_ignored(
    record_lists, top, remainder
):
    merged = merging.merge_records(
        (b"".join(records) + remainder for records in record_lists), top
    )
    expected = sorted(
        (r for records in record_lists for r in records), reverse=True
    )
    assert merged == b"".join(expected[:top])


@pytest.mark.parametrize(
    ("answered", "shards", "min_share", "expected"),
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
def test_coverage_is_met_from_the_minimum_share_on(
    answered, shards, min_share, expected
):
    assert merging.meets_coverage(answered, shards, min_share) is expected
