"""Tests for the parts of the traffic measurement that need no idle machine."""

import pytest

from eelgrasshall.platform import traffic

_COUNTERS = """\
Inter-|   Receive                        |  Transmit
 face |bytes packets errs drop fifo frame compressed multicast|bytes packets
  eth0: 1 2 0 0 0 0 0 0 3 4 0 0 0 0 0 0
    lo: 500 2 0 0 0 0 0 0 700 4 0 0 0 0 0 0
"""


def test_parses_bytes_sent_on_loopback_interface():
    assert traffic.parse_sent(_COUNTERS) == 700
    assert traffic.parse_sent(traffic.COUNTERS_PATH.read_text()) >= 0


def test_missing_loopback_interface_is_error():
    with pytest.raises(ValueError, match="no loopback"):
        traffic.parse_sent("eth0: 1 2")
