"""Tests of the encoding of questions and answers about credit."""

import hypothesis
from hypothesis import strategies as st
import pytest

from eelgrasshall.gateway import quota_account
from eelgrasshall.gateway import quota_gossip

_AMOUNTS = st.floats(0.0, 1e6)
_NUMBERS = st.integers(0, 2**60)


@hypothesis.given(number=_NUMBERS, name=st.text(), wanted=_AMOUNTS)
def test_questions_are_read_as_sent(number, name, wanted):
    ask = quota_account.Ask("b", "a", number, name, wanted)
    (read,) = quota_gossip.decode(quota_gossip.encode([ask]), 0.0)
    assert read[:4] == ask[:4] and abs(read.wanted - wanted) <= 0.001


@hypothesis.given(number=_NUMBERS, amount=_AMOUNTS, left=_AMOUNTS)
def test_no_more_is_read_than_was_lent(number, amount, left):
    credit = quota_account.Credit("b", "a", number, "w", amount, left, 0.25)
    (read,) = quota_gossip.decode(quota_gossip.encode([credit]), 0.0)
    assert amount - 0.002 <= read.amount <= amount
    assert read.share == 0.25


def test_full_datagram_fits_into_one_packet():
    credit = quota_account.Credit(
        "front-balasto-a-12",
        "front-balasto-b-13",
        2**50,
        "workspace-with-a-name",
        123.456,
        123.456,
        0.3333,
    )
    data = quota_gossip.encode([credit] * quota_gossip.MAX_ENTRIES)
    assert len(data) <= 1400


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'["b","a",1]',
        b'["b",1,[[1,"w",1]]]',
        b'["b","a",[["1","w",1]]]',
        b'["b","a",[[1,"w"]]]',
        b'["b","a",[[1,"w",-1]]]',
        b'["b","a",[[1,"w",NaN]]]',
        b'["b","a",[[1,"w",1,2]]]',
        b'["b","a",[[1,["w"],1]]]',
    ],
)
def test_malformed_datagrams_are_rejected(body):
    with pytest.raises((ValueError, TypeError)):
        quota_gossip.decode(quota_gossip.PREFIX + body, 0.0)
