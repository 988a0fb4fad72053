"""Tests of the request rates that backend servers state."""

import pytest

from eelgrasshall.gateway import rate_limits


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ([b"20.4"], 20.4),
        ([b" 7 "], 7.0),
        ([b"0"], 0.0),
        ([b"-0"], 0.0),
        ([b"1e300"], 1e300),
        ([b"5", b"3"], 3.0),
        ([b"5, 3"], 3.0),
        ([b"soon", b"3"], 3.0),
        ([b""], None),
        ([b"soon"], None),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b"\xff"], None),
    ],
)
def test_stated_rate_is_parsed(values, rate):
    assert rate_limits.parse_rate(values) == rate
