"""Tests of the fair order of waiting requests."""

from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import admission
from eelgrasshall.gateway import fair_order

_LATEST_START_S = 0.1


def _make_entry(
    number: int,
    workspace: str = "a",
    *,
    priority: int = 0,
    workspace_priority: int = 0,
    arrived_s: float = 0.0,
    cost_s: float = 1.0,
) -> admission.QueueEntry:
    return admission.QueueEntry(
        number=number,
        priority=priority,
        arrived_s=arrived_s,
        latest_start_s=arrived_s + _LATEST_START_S,
        queue_deadline_s=arrived_s + 1.0,
        workspace=workspace,
        workspace_priority=workspace_priority,
        cost_s=cost_s,
    )


def _serve(
    order: fair_order.FairOrder,
    waiting: list[admission.QueueEntry],
    now: float = 0.0,
) -> admission.QueueEntry:
    """Starts the first waiting request and returns it."""
    first = order.sort(waiting, now)[0]
    waiting.remove(first)
    order.record_start(first, waiting)
    return first


def _serve_backlog(
    order: fair_order.FairOrder, kinds: dict[str, dict], *, cost_s: float
) -> dict[str, float]:
    """Returns the cost served by workspace while all have requests waiting."""
    number = 0
    served_s = dict.fromkeys(kinds, 0.0)
    waiting: list[admission.QueueEntry] = []
    while sum(served_s.values()) < cost_s:
        for name, fields in kinds.items():
            while sum(entry.workspace == name for entry in waiting) < 2:
                number += 1
                entry = _make_entry(number, name, **fields)
                order.record_arrival(entry, 0.0)
                waiting.append(entry)
        entry = _serve(order, waiting)
        served_s[entry.workspace] += entry.cost_s
    return served_s


def test_work_is_shared_by_cost_not_by_requests():
    # A workspace with searches over many shards would get most of the servers
    # if each request counted alike.
    kinds = {"search": {"cost_s": 5.0}, "short": {"cost_s": 1.0}}
    served_s = _serve_backlog(fair_order.FairOrder(), kinds, cost_s=200.0)
    assert abs(served_s["search"] - served_s["short"]) <= 10.0


@given(
    costs=strategies.lists(
        strategies.sampled_from([0.1, 0.5, 1.0, 3.0]), min_size=2, max_size=6
    )
)
def test_workspaces_with_requests_waiting_get_equal_work(costs):
    kinds = {f"w{i}": {"cost_s": cost_s} for i, cost_s in enumerate(costs)}
    order = fair_order.FairOrder()
    served_s = _serve_backlog(order, kinds, cost_s=60.0 * len(costs))
    # The bound of start-time fair queueing: one request of each of the two,
    # and those that a credit moves forward.
    bound_s = 2.0 * max(costs) * (1.0 + fair_order.MAX_CREDIT_REQUESTS)
    assert max(served_s.values()) - min(served_s.values()) <= bound_s


def test_idle_workspace_does_not_save_up_service():
    order = fair_order.FairOrder()
    _serve_backlog(order, {"busy": {}}, cost_s=100.0)
    served_s = _serve_backlog(order, {"busy": {}, "idle": {}}, cost_s=40.0)
    assert abs(served_s["busy"] - served_s["idle"]) <= 4.0


def test_request_of_a_quiet_workspace_goes_before_the_backlog_of_a_hot_one():
    order = fair_order.FairOrder()
    hot = [_make_entry(i, "hot", arrived_s=0.001 * i) for i in range(20)]
    for entry in hot:
        order.record_arrival(entry, 0.0)
    for _ in range(3):
        _serve(order, hot)
    quiet = _make_entry(100, "quiet", arrived_s=-0.01)
    order.record_arrival(quiet, 0.0)
    # At latest after one request, as both have the same tag before.
    assert quiet in order.sort([*hot, quiet], 0.0)[:2]


def test_order_is_in_time_then_workspace_priority_then_route_then_newest():
    entries = [
        _make_entry(1, "late", arrived_s=-1.0),
        _make_entry(2, "b", workspace_priority=1, priority=0),
        _make_entry(3, "a", workspace_priority=0, priority=1),
        _make_entry(4, "c", workspace_priority=0, priority=0),
        _make_entry(5, "d", workspace_priority=0, priority=0, arrived_s=0.01),
    ]
    ordered = fair_order.FairOrder().sort(entries, 0.02)
    assert [entry.number for entry in ordered] == [5, 4, 3, 2, 1]


@pytest.mark.parametrize(
    ("urgent", "other"),
    [
        ({}, {"priority": 1}),
        ({}, {"workspace_priority": 1}),
    ],
)
def test_less_urgent_requests_do_not_starve(urgent, other):
    # With strict priorities alone they got nothing.
    order = fair_order.FairOrder()
    arrived = {"urgent": 0, "other": 0}
    served = {"urgent": 0, "other": 0}
    waiting: list[admission.QueueEntry] = []
    for number in range(2000):
        now = 0.01 * number
        name = "other" if number % 4 == 0 else "urgent"
        fields = other if name == "other" else urgent
        entry = _make_entry(number, name, arrived_s=now, **fields)
        order.record_arrival(entry, now)
        arrived[name] += 1
        waiting.append(entry)
        waiting = [e for e in waiting if now - e.arrived_s < _LATEST_START_S]
        if number % 2 == 0:
            served[_serve(order, waiting, now).workspace] += 1
    shares = {name: served[name] / arrived[name] for name in served}
    # A quarter of the share of all, and less than what the urgent ones get.
    assert shares["other"] >= 0.5 / 4
    assert shares["other"] <= shares["urgent"]


def test_hot_workspace_is_served_a_quarter_as_often_as_all():
    # Equal shares leave nothing to a workspace that asks for more than its
    # share where the others use up the servers.
    order = fair_order.FairOrder()
    served = {"hot": 0, "others": 0}
    waiting: list[admission.QueueEntry] = []
    for number in range(4000):
        now = 0.01 * number
        name = "hot" if number % 2 else f"w{number % 50}"
        entry = _make_entry(number, name, arrived_s=now)
        order.record_arrival(entry, now)
        waiting.append(entry)
        waiting = [e for e in waiting if now - e.arrived_s < _LATEST_START_S]
        if number % 2 == 0:
            started = _serve(order, waiting, now).workspace
            served["hot" if started == "hot" else "others"] += 1
    assert served["hot"] / 2000 >= 0.5 / 4
    assert served["others"] > served["hot"]


def test_late_request_does_not_use_a_credit():
    order = fair_order.FairOrder()
    late = _make_entry(1, "a", arrived_s=-1.0)
    for _ in range(10):
        order.record_arrival(late, 0.0)
    in_time = _make_entry(2, "b", priority=3)
    assert order.sort([late, in_time], 0.0) == [in_time, late]


def test_state_stays_bounded():
    order = fair_order.FairOrder()
    for number in range(3 * fair_order.MAX_TAGS):
        entry = _make_entry(number, f"w{number}")
        order.record_arrival(entry, 0.0)
        order.record_start(entry, [])
    assert len(order._tags) <= fair_order.MAX_TAGS + 1
    assert len(order._credits) <= 3 * fair_order.MAX_TAGS
