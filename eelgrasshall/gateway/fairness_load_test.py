"""Tests of fairness over workspaces and kinds when capacity is short.

Each test replays one load pattern with real request handlers; see `load_model`.
The bounds are those of `docs/design/hard-load.md`.
"""

import collections
from collections.abc import Sequence

import pytest

from eelgrasshall.gateway import admission
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import load_model
from eelgrasshall.gateway import simulated_server
from eelgrasshall.gateway import virtual_time

_SHARDS = tuple(f"p{i}" for i in range(6))
_WORKSPACES = 24
# The largest workspace has a sixth of the requests, and becomes hot.
_HOT = "w0"
_HOT_SHARE = 1 / 6
_START_S = 2.0
_END_S = 8.0
# About 0.7 of what the servers can do.
_RATE_PER_S = 120.0
# Workspaces with fewer requests have no meaningful share of answers.
_MIN_REQUESTS = 10
# Bounds of the page.
_LEAST_SERVED = 0.25
_KIND_TOLERANCE = 0.05


def _make_kinds(
    rate_per_s: float, bursts: dict[str, Sequence[simulated_server.Span]]
) -> list[load_model.Kind]:
    """Returns long searches and short ones, which are more urgent."""
    long_route = fakes.make_route(
        "long",
        path_prefix="/long/",
        shards=_SHARDS,
        objective_s=0.25,
        timeout_s=2.0,
        max_attempts=3,
        min_share=0.9,
    )._replace(priority=1)
    short_route = long_route._replace(
        name="short",
        path_prefix="/short/",
        objective_s=0.1,
        timeout_s=0.8,
        min_share=0.8,
        priority=0,
    )
    return [
        load_model.Kind(
            long_route,
            rate_per_s * 0.75,
            0.042,
            2.0,
            2.0,
            bursts.get("long", ()),
        ),
        load_model.Kind(
            short_route,
            rate_per_s * 0.25,
            0.014,
            0.8,
            1.0,
            bursts.get("short", ()),
        ),
    ]


def _make_loads(
    hot_factor: float, priorities: Sequence[int]
) -> list[load_model.WorkspaceLoad]:
    """Returns workspaces of which each has fewer requests than the last."""
    weights = [1 / number for number in range(2, _WORKSPACES + 1)]
    shares = [
        _HOT_SHARE,
        *((1 - _HOT_SHARE) * weight / sum(weights) for weight in weights),
    ]
    hot = simulated_server.Span(_START_S, _END_S, hot_factor)
    return [
        load_model.WorkspaceLoad(
            load_model.make_workspace(
                f"w{number}", priority=priorities[number % len(priorities)]
            ),
            share,
            [hot] if f"w{number}" == _HOT else [],
        )
        for number, share in enumerate(shares)
    ]


def _replay(
    *,
    hot_factor: float = 1.0,
    kind_factors: dict[str, float] | None = None,
    slow: bool = False,
    priorities: Sequence[int] = (0,),
    rate_per_s: float = _RATE_PER_S,
) -> list[load_model.Result]:
    """Returns what became of the requests during the bursts.

    Args:
      hot_factor: Factor of the requests of one workspace.
      kind_factors: Factors of the requests of kinds.
      slow: Whether one replica of a third of the shards takes eight times as
        long meanwhile.
      priorities: Priorities of the workspaces, in turn.
      rate_per_s: Usual rate of all requests.
    """
    loop = virtual_time.VirtualTimeLoop()
    bursts = {
        name: [simulated_server.Span(_START_S, _END_S, factor)]
        for name, factor in (kind_factors or {}).items()
    }
    simulation = load_model.Simulation(
        loop=loop,
        seed=1,
        kinds=_make_kinds(rate_per_s, bursts),
        shards=_SHARDS,
        slots=2,
        workspace_loads=_make_loads(hot_factor, priorities),
    )
    if slow:
        for shard in _SHARDS[::3]:
            simulation.servers[f"{shard}-0"].slowdowns.append(
                simulated_server.Span(_START_S, _END_S, 8.0)
            )
    simulation.run(_END_S)
    loop.close()
    return [
        result
        for result in simulation.results
        if _START_S <= result.arrived_s < _END_S
    ]


def _compute_served(results: Sequence[load_model.Result]) -> dict[str, float]:
    """Returns the share of requests that are answered, by kind."""
    counts = collections.Counter(result.kind for result in results)
    served = collections.Counter(
        result.kind for result in results if result.status == 200
    )
    return {kind: served[kind] / counts[kind] for kind in counts}


_PATTERNS = {
    "hot workspace": {"hot_factor": 4.0},
    "very hot workspace": {"hot_factor": 7.5},
    "burst of short": {"kind_factors": {"short": 2.6}, "rate_per_s": 170.0},
    "burst of long": {"kind_factors": {"long": 1.6}},
    "long burst of long": {"kind_factors": {"long": 2.6}},
    "workspaces of two priorities": {
        "priorities": (0, 1),
        "rate_per_s": 230.0,
    },
    "hot workspace of high priority": {
        "hot_factor": 7.5,
        "priorities": (0, 1),
    },
    "all beside slow servers": {
        "hot_factor": 7.5,
        "kind_factors": {"long": 1.6},
        "slow": True,
    },
}


@pytest.mark.parametrize("pattern", _PATTERNS)
def test_all_workspaces_and_urgent_kinds_are_served(pattern):
    results = _replay(**_PATTERNS[pattern])
    least = load_model.find_least_served(results, _MIN_REQUESTS)
    assert least >= _LEAST_SERVED
    served = _compute_served(results)
    assert served["short"] >= served["long"] - _KIND_TOLERANCE


def _select_others(
    results: Sequence[load_model.Result],
) -> list[load_model.Result]:
    return [result for result in results if result.workspace != _HOT]


def test_hot_workspace_delays_others_less_than_in_one_queue(monkeypatch):
    # In one queue for all, the hot workspace got most starts.
    results = _replay(hot_factor=7.5)
    monkeypatch.setattr(
        admission.ConcurrencyLimiter,
        "_sort_waiting",
        lambda self, now, ignore_priority: admission.sort_queue(
            self.waiting, now, ignore_priority=ignore_priority
        ),
    )
    before = _replay(hot_factor=7.5)
    assert len(results) == len(before)
    others = load_model.summarize(_select_others(results), _START_S, _END_S)
    others_before = load_model.summarize(
        _select_others(before), _START_S, _END_S
    )
    assert others.served > others_before.served + 0.1
    assert others.in_time > others_before.in_time


def test_urgent_kind_was_served_less_often_without_workspaces(monkeypatch):
    # Shows that the load of `_PATTERNS` finds that: the urgent kind, which
    # overloaded servers rarely answer in time, went last.
    make_queue_entry = admission.make_queue_entry
    monkeypatch.setattr(
        admission,
        "make_queue_entry",
        lambda **kwargs: make_queue_entry(**{**kwargs, "workspace": None}),
    )
    served = _compute_served(_replay(**_PATTERNS["very hot workspace"]))
    assert served["short"] < served["long"] - _KIND_TOLERANCE
