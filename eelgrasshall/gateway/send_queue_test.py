"""Tests of the order in which waiting attempts are sent."""

from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import send_queue


def _make_attempt(
    name: str,
    *,
    due_s: float = 1.0,
    needs_new_connection: bool = False,
) -> attempts.Attempt:
    return attempts.Attempt(
        owner=None,
        tag=name,
        request_id=name.encode(),
        encode=lambda remaining_s, server_id: b"",
        deadline_s=9.0,
        due_s=due_s,
        expected_latency_s=0.1,
        needs_new_connection=needs_new_connection,
    )


def _make_queue(*waiting: attempts.Attempt) -> send_queue.SendQueue:
    queue = send_queue.SendQueue()
    for attempt in waiting:
        assert queue.append(attempt)
    return queue


def _drain(queue, now: float, *, ratio: float = 1.0) -> list[object]:
    """Returns the tags of all attempts in the order in which they are sent."""
    tags = []
    while queue:
        tags.append(queue.take_next(now, ratio, new_connection=True).tag)
    return tags


def test_attempts_in_time_are_sent_in_order_of_arrival():
    queue = _make_queue(
        _make_attempt("a", due_s=3.0), _make_attempt("b", due_s=1.0)
    )
    assert _drain(queue, 0.0) == ["a", "b"]


def test_late_attempts_wait_for_those_in_time_but_are_still_sent():
    queue = _make_queue(
        _make_attempt("late", due_s=0.55),
        _make_attempt("later", due_s=0.51),
        _make_attempt("in time", due_s=0.7),
    )
    assert _drain(queue, 0.5) == ["in time", "late", "later"]


def test_slow_server_makes_attempts_late_earlier():
    queue = _make_queue(
        _make_attempt("soon due", due_s=0.7), _make_attempt("other", due_s=1.0)
    )
    assert _drain(queue, 0.5, ratio=4.0) == ["other", "soon due"]


def test_used_connection_skips_attempts_that_need_a_new_one():
    queue = _make_queue(
        _make_attempt("once", needs_new_connection=True), _make_attempt("any")
    )
    assert queue.take_next(0.0, 1.0, new_connection=False).tag == "any"
    assert queue.take_next(0.0, 1.0, new_connection=False) is None
    assert queue.take_next(0.0, 1.0, new_connection=True).tag == "once"


def test_abandoned_attempts_take_no_place():
    waiting = [_make_attempt(str(i)) for i in range(send_queue.MAX_LENGTH)]
    queue = _make_queue(*waiting)
    assert not queue.append(_make_attempt("one too many"))
    waiting[3].done = True
    assert queue.append(_make_attempt("next"))
    assert "3" not in _drain(queue, 0.0)


def test_take_all_empties_the_queue():
    queue = _make_queue(_make_attempt("a"), _make_attempt("b"))
    assert [each.tag for each in queue.take_all()] == ["a", "b"]
    assert not queue
