"""Tests of the limits on JSON documents of others."""

import json

from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import documents

_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=20,
)


@given(value=_JSON)
def test_document_within_the_limits_is_the_same_with_and_without_them(value):
    text = json.dumps(value)
    assert documents.parse(text.encode()) == value
    assert json.loads(documents._prune(text)) == value


@given(before=_JSON, after=_JSON, levels=strategies.integers(101, 40_000))
def test_neighbours_of_a_nested_value_are_read(before, after, levels):
    nested = b"[" * levels + b"1" + b"]" * levels
    data = b'{"a": %s, "b": %s, "c": %s}' % (
        json.dumps(before).encode(),
        nested,
        json.dumps(after).encode(),
    )
    document = documents.parse(data)
    assert document["a"] == before and document["c"] == after
    assert documents.limit_object(document) is documents.UNREADABLE


@pytest.mark.parametrize(
    "odd",
    [
        b"9" * 5000,
        b"-" + b"9" * 5000,
        b"1." + b"9" * 5000,
        b"9" * 5000 + b"e5",
        b'"\xff\xfe"',
        b'"\x00"',
        b'"line\nbreak"',
        b'{"k":' * 50_000 + b"1" + b"}" * 50_000,
    ],
)
def test_odd_value_does_not_hide_its_neighbours(odd):
    document = documents.parse(b'{"a": [1, 2.5], "b": %s, "c": "x"}' % odd)
    assert document["a"] == [1, 2.5] and document["c"] == "x"


@pytest.mark.parametrize(
    "data", [b"", b"{", b"]", b'{"a": }', b'"open', b"\xff", b"[" * 50_000]
)
def test_what_is_no_json_is_an_error(data):
    with pytest.raises(ValueError):
        documents.parse(data)


def test_nesting_is_counted_in_lists_and_objects():
    value = {"a": [1, {"b": [2]}], "c": "[[[["}
    assert documents.is_nested_beyond(value, 3)
    assert not documents.is_nested_beyond(value, 4)
    assert not documents.is_nested_beyond("x", 0)
