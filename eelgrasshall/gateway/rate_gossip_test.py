"""Tests of the datagrams that pass on the rates of servers."""

import pytest

from eelgrasshall.gateway import heartbeats
from eelgrasshall.gateway import rate_gossip
from eelgrasshall.gateway import rate_limits


def test_statements_keep_their_age():
    sent = [
        rate_limits.Statement("i-1", 1784833534024, 20.4, 90.0, 99.5),
        rate_limits.Statement("i-2", 7, None, 98.0, 99.0),
    ]
    datagram = rate_gossip.encode(sent, 100.0)
    received = rate_gossip.decode(datagram, 50.0)
    assert received == [
        rate_limits.Statement("i-1", 1784833534024, 20.4, 49.5, 49.5),
        rate_limits.Statement("i-2", 7, None, 49.0, 49.0),
    ]


def test_a_full_datagram_fits_into_one_packet():
    statement = rate_limits.Statement("i" * 64, 1784833534024, 20.4, 0.0, 0.0)
    full = [statement] * rate_gossip.MAX_ENTRIES
    assert len(rate_gossip.encode(full, 1e4)) < 1400


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[5]",
        b"{}]",
        b'[["i-1",1]]',
        b'[["i-1",1,"x",0]]',
        b'[["i-1",1,-1,0]]',
        b'[["i-1",1,NaN,0]]',
        b'[["i-1",1,5,Infinity]]',
        b'[["i-1",1,[],0]]',
        b"[[1,1,5,0]]",
        b'[["i-1",null,5,0]]',
    ],
)
def test_malformed_datagrams_are_rejected(body):
    with pytest.raises((ValueError, TypeError)):
        rate_gossip.decode(rate_gossip.PREFIX + body, 0.0)


def test_hosts_of_the_version_before_reject_it_as_a_heartbeat():
    datagram = rate_gossip.encode(
        [rate_limits.Statement("i-1", 1, 5.0, 0.0, 0.0)], 0.0
    )
    with pytest.raises(ValueError, match="Expecting value"):
        heartbeats.decode_header(datagram.partition(b"\n")[0])
