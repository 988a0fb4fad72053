"""Tests of which requests a host still passes on once it is to stop."""

import random

import pytest

from eelgrasshall.gateway import planned_stop

_STOP = planned_stop.Stop(moved_s=2.5, end_s=5.5)


def _has_time(now_s: float, **changes) -> bool:
    fields = {
        "deadline_s": now_s + 20.0,
        "expected_s": 0.3,
        "longest_s": 1.2,
        "idempotent": False,
        **changes,
    }
    return planned_stop.has_time(_STOP, now_s, planned_stop.Demand(**fields))


@pytest.mark.parametrize(
    ("now_s", "changes", "expected"),
    [
        # Callers still come here, and there is time.
        (0.1, {}, True),
        (0.1, {"idempotent": True}, True),
        # What may run once is passed on only while that is safe.
        (0.1, {"longest_s": 5.6}, False),
        (2.4, {"longest_s": 3.2}, False),
        (2.6, {}, False),
        (2.6, {"deadline_s": 5.4}, True),
        # What may be repeated is passed on while that is likely to help.
        (2.6, {"idempotent": True}, True),
        (5.1, {"idempotent": True}, True),
        (5.3, {"idempotent": True}, False),
        (5.6, {"idempotent": True, "deadline_s": 5.4}, False),
    ],
)
def test_request_is_passed_on_while_the_time_left_suffices(
    now_s, changes, expected
):
    assert _has_time(now_s, **changes) == expected


def test_replay_of_late_requests_cuts_none_that_may_run_once():
    # Requests complete evenly over the grace time; one in thirty is slow.  With
    # the usual time as the only measure, slow ones were cut off at its end (an
    # operator's report).
    source = random.Random(1)
    cut = passed = 0
    for number in range(5500):
        now_s = number / 1000.0
        took_s = 1.25 if source.random() < 1 / 30 else 0.25
        if _has_time(now_s, longest_s=1.25):
            passed += 1
            cut += now_s + took_s > _STOP.end_s
    assert not cut and passed == 2500
