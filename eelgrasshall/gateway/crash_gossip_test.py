"""Tests of the datagrams with crash reports."""

import pytest

from eelgrasshall.gateway import crash_gossip
from eelgrasshall.gateway import heartbeats
from eelgrasshall.gateway import quarantine


def test_entries_survive_a_host_with_another_clock():
    report = quarantine.CrashReport(
        "f" * 16, "a1", "s1", 100.0, 101.5, "orders"
    )
    verdict = quarantine.Verdict("e" * 16, 200.0)
    datagram = crash_gossip.encode([report, verdict], 102.0)
    decoded, decoded_verdict = crash_gossip.decode(datagram, 7.0)
    assert decoded[:3] == report[:3]
    assert decoded.service == "orders"
    assert decoded.began_s == pytest.approx(5.0)
    assert decoded.crashed_s == pytest.approx(6.5)
    assert decoded_verdict.until_s == pytest.approx(105.0)


def test_full_datagram_fits_into_one_packet():
    reports = [
        quarantine.CrashReport(
            "f" * 16, "a" * 16, "s" * 16, 1.0, 250.0, "o" * 16
        )
    ] * crash_gossip.MAX_ENTRIES
    assert len(crash_gossip.encode(reports, 300.0)) <= 1400


@pytest.mark.parametrize(
    "text", [b"", b"5", b"[5]", b'[["a"]]', b'[["a", "x"]]', b'[["a", null]]']
)
def test_malformed_datagram_is_an_error(text):
    with pytest.raises((ValueError, TypeError)):
        crash_gossip.decode(crash_gossip.PREFIX + text, 1.0)


def test_hosts_of_an_earlier_version_ignore_the_datagrams():
    datagram = crash_gossip.encode([quarantine.Verdict("f", 9.0)], 1.0)
    head, _, _ = datagram.partition(b"\n")
    with pytest.raises((ValueError, TypeError)):
        heartbeats.decode_header(head)
