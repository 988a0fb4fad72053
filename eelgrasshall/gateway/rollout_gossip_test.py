"""Tests of the datagrams that pass on what hosts have seen of rollouts."""

import pytest

from eelgrasshall.gateway import heartbeats
from eelgrasshall.gateway import rollout_gossip
from eelgrasshall.gateway import rollouts

_REPORT = rollouts.Report(
    "huvo11a",
    "v2",
    7 << 40,
    3.25,
    "front-a-1",
    1784833534024000000,
    12,
    rollouts.Phase.SWITCHED,
    3,
    {"r-1": rollouts.Counts(1, 2, 3, 4, 5, 6), "": rollouts.Counts(7)},
)


def test_reports_arrive_as_they_were_sent():
    datagram, sent = rollout_gossip.encode([_REPORT])
    assert sent == [_REPORT]
    assert rollout_gossip.decode(datagram, 0.0) == [_REPORT]


def test_datagram_holds_as_many_reports_as_fit_into_one_packet():
    many = [_REPORT._replace(host=f"front-a-{i}") for i in range(100)]
    datagram, sent = rollout_gossip.encode(many)
    assert 900 < len(datagram) <= 1400
    assert sent == many[: len(sent)]
    assert rollout_gossip.decode(datagram, 0.0) == sent


def test_largest_report_is_sent_alone():
    counts = {
        f"route-{i:026}": rollouts.Counts(*[10**6] * 6)
        for i in range(rollouts.MAX_ROUTES)
    }
    large = _REPORT._replace(counts=counts)
    datagram, sent = rollout_gossip.encode([large, _REPORT])
    assert sent == [large]
    assert len(datagram) < 1800


_VALID = b'["s","v2",1,5,"h1",1,1,0,0,[["r",1,0,0,1,0,0]]]'  # One report.


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b'"s"', b"5"),
        (b'"v2"', b"null"),
        (b'"v2",1,', b'"v2",-1,'),
        (b'"v2",1,', b'"v2",1e999,'),
        (b",5,", b",NaN,"),
        (b",5,", b',"5",'),
        (b'"h1",1,1', b'"h1",1,true'),
        (b"1,0,0,[[", b"1,9,0,[["),
        (b"1,0,0,[[", b"1,0,-1,[["),
        (b'"r",1', b'"r"'),
        (b'"r"', b"5"),
        (b'[["r",1,0,0,1,0,0]]', b"5"),
        (b'[["r",1,0,0,1,0,0]]', b"[[]]"),
        (b'["s","v2"', b'["s"'),
        (b'["s",', b'[["s"],'),
    ],
)
def test_malformed_datagrams_are_rejected(old, new):
    valid = rollout_gossip.PREFIX + b"[" + _VALID + b"]"
    assert rollout_gossip.decode(valid, 0.0)
    malformed = valid.replace(old, new, 1)
    assert malformed != valid
    with pytest.raises((ValueError, TypeError)):
        rollout_gossip.decode(malformed, 0.0)


@pytest.mark.parametrize("body", [b"", b"{}", b"5", b"[5]", b"]"])
def test_other_json_is_rejected(body):
    with pytest.raises((ValueError, TypeError)):
        rollout_gossip.decode(rollout_gossip.PREFIX + body, 0.0)


def test_hosts_of_the_version_before_reject_it_as_a_heartbeat():
    datagram, _ = rollout_gossip.encode([_REPORT])
    head = datagram.partition(b"\n")[0]
    with pytest.raises((ValueError, TypeError)):
        heartbeats.decode_header(head)
