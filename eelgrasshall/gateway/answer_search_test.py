"""Tests of what a server may send on one connection, in any order.

A server may answer twice, the second time late, break off at any byte, and send
bytes that are no response.  None of that must change the outcome of a request.
"""

from collections.abc import Iterable
import random

import hypothesis
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import answer_orders
from eelgrasshall.gateway import answer_search


def _search(scripts: Iterable[answer_orders.Script], min_orders: int) -> None:
    """Fails with the shortest orders if an outcome is wrong."""
    tally = answer_search.Tally()
    for script in scripts:
        for order in answer_orders.divide(script, thorough=False):
            tally.check(order)
    assert not tally.kinds, tally.report()
    assert tally.orders >= min_orders


async def test_answer_is_taken_if_and_only_if_it_is_whole():
    _search(answer_orders.list_single(step=1), 10_000)


async def test_cut_answer_does_not_change_the_one_that_follows():
    _search(answer_orders.list_restarts(thorough=False, step=1), 10_000)


@pytest.mark.parametrize("former", ["a", answer_orders.HEALTH_CHECK])
async def test_late_copy_does_not_change_the_answer_to_the_next_request(former):
    _search(answer_orders.list_copies(former, thorough=False, step=1), 40_000)


async def test_bytes_that_are_no_response_close_the_connection():
    _search(answer_orders.list_surplus(), 5_000)


async def test_any_order_on_a_connection():
    tally = answer_search.Tally()
    choose = random.Random(1).choice
    for _ in range(15_000):
        tally.check(answer_orders.make_order(choose))
    assert not tally.kinds, tally.report()


# Finds less in the same time than the test before, and shrinks what it finds.
@hypothesis.settings(max_examples=500)
@hypothesis.given(strategies.data())
async def test_short_order_on_a_connection(data):
    order = answer_orders.make_order(
        lambda items: data.draw(strategies.sampled_from(items))
    )
    exchanges = answer_search.deliver(order)
    verdict = answer_search.judge(order, exchanges)
    assert not verdict.violations, answer_search.describe(order, exchanges)
