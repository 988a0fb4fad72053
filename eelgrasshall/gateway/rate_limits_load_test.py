"""Loads on servers that state how many requests per second they take.

The users allow, in any 4 s, one and a half times what the stated rate allows
and five requests more, over all hosts that were told so half a second before.
"""

import math

import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import load_model
from eelgrasshall.gateway import simulated_server
from eelgrasshall.gateway import virtual_time

_WINDOW_S = 4.0
# Time after which requests of a host count that was told of a limit.
_TOLD_S = 0.5
_LIMIT_S = (2.0, 14.0)
_SHARDS = ("p0", "p1", "p2", "p3")


@pytest.fixture
def loop():
    """An event loop in virtual time."""
    loop = virtual_time.VirtualTimeLoop()
    yield loop
    loop.close()


def _simulate(
    loop,
    limited: dict[str, float],
    *,
    rate_per_s: float = 60.0,
    hosts: int = 3,
    seed: int = 1,
    duration_s: float = 16.0,
    min_share: float = 0.5,
) -> load_model.Simulation:
    """Replays searches while some servers state limits."""
    route = fakes.make_route(
        "search",
        path_prefix="/search/",
        shards=_SHARDS,
        objective_s=0.25,
        timeout_s=2.0,
        max_attempts=3,
        min_share=min_share,
    )
    simulation = load_model.Simulation(
        loop=loop,
        seed=seed,
        kinds=[load_model.Kind(route, rate_per_s, 0.04, 2.0, 1.0)],
        shards=_SHARDS,
        slots=6,
        hosts=hosts,
    )
    for server_id, rate in limited.items():
        simulation.servers[server_id].limits.append(
            simulated_server.Span(*_LIMIT_S, rate)
        )
    simulation.run(duration_s)
    return simulation


def _find_largest_excess(server: simulated_server.Server, rate: float) -> float:
    """Returns the most requests in a window beyond those that are allowed.

    The bound holds for windows that end later than 4 s after the first
    statement, while the server states a limit.
    """
    earliest_s = min(server.told_s.values())
    counted = [
        arrived_s
        for arrived_s, host in server.arrival_log
        if arrived_s >= server.told_s.get(host, math.inf) + _TOLD_S
        and arrived_s < _LIMIT_S[1]
    ]
    allowed = 1.5 * rate * _WINDOW_S + 5
    return max(
        sum(1 for each in counted if 0 <= each - start_s < _WINDOW_S) - allowed
        for start_s in (earliest_s, *counted)
    )


def _count_arrivals(
    server: simulated_server.Server, start_s: float, end_s: float
) -> int:
    """Returns the number of requests that arrived in a span of time."""
    return sum(1 for at_s, _ in server.arrival_log if start_s <= at_s < end_s)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_servers_that_state_a_limit_do_not_get_more(loop, seed):
    limits = {"p0-0": 8.0, "p0-1": 4.0}
    simulation = _simulate(loop, limits, seed=seed)
    for server_id, rate in limits.items():
        server = simulation.servers[server_id]
        assert _find_largest_excess(server, rate) <= 0
    summary = load_model.summarize(simulation.results, *_LIMIT_S)
    assert summary.served >= 0.99
    assert summary.credit >= 0.95


@pytest.mark.parametrize("hosts", [20, 50])
def test_small_limits_hold_over_many_hosts(loop, hosts):
    limits = {"p0-0": 2.2, "p0-1": 0.5}
    simulation = _simulate(loop, limits, hosts=hosts)
    for server_id, rate in limits.items():
        server = simulation.servers[server_id]
        assert _find_largest_excess(server, rate) <= 0
    summary = load_model.summarize(simulation.results, *_LIMIT_S)
    assert summary.served >= 0.99


def test_limits_of_all_servers_of_a_shard_hold(loop):
    limits = {"p0-0": 6.0, "p0-1": 6.0, "p0-2": 6.0}
    simulation = _simulate(loop, limits)
    for server_id, rate in limits.items():
        server = simulation.servers[server_id]
        assert _find_largest_excess(server, rate) <= 0
    # The route allows answers without this shard.
    summary = load_model.summarize(simulation.results, *_LIMIT_S)
    assert summary.served >= 0.99


def test_searches_that_need_every_shard_are_refused_at_once(loop):
    # All servers of a shard together take 18 a second of the 60 that come.
    limits = dict.fromkeys(("p0-0", "p0-1", "p0-2"), 6.0)
    simulation = _simulate(loop, limits, min_share=1.0)
    for server_id, rate in limits.items():
        server = simulation.servers[server_id]
        assert _find_largest_excess(server, rate) <= 0
    late = [each for each in simulation.results if 4.0 <= each.arrived_s < 14.0]
    refused = [each for each in late if each.status != 200]
    # Most of the room is used, though two thirds of the callers are refused.
    assert (len(late) - len(refused)) / 10.0 >= 0.8 * 18.0
    assert all(each.status == 503 for each in refused)
    # A caller comes back once, within a third of its 2 s at most.
    assert max(each.took_s for each in refused) <= 0.8


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 14])
def test_server_whose_limit_has_ended_is_used_again(loop, seed):
    simulation = _simulate(
        loop, {"p0-0": 2.2, "p0-1": 0.0}, hosts=20, seed=seed
    )
    for server_id in ("p0-0", "p0-1"):
        server = simulation.servers[server_id]
        assert _count_arrivals(server, 15.0, 16.0) >= 10, server_id


def test_server_that_takes_nothing_gets_a_few_health_checks(loop):
    simulation = _simulate(loop, {"p0-0": 0.0})
    server = simulation.servers["p0-0"]
    assert _find_largest_excess(server, 0.0) <= 0
    assert 1 <= _count_arrivals(server, 4.0, 14.0) <= 5
    summary = load_model.summarize(simulation.results, *_LIMIT_S)
    assert summary.served >= 0.99
    assert summary.credit >= 0.95


def test_rate_that_changes_with_each_response_holds(loop):
    route = fakes.make_route(
        "search", path_prefix="/search/", shards=_SHARDS, min_share=0.5
    )
    simulation = load_model.Simulation(
        loop=loop,
        seed=4,
        kinds=[load_model.Kind(route, 60.0, 0.04, 2.0, 1.0)],
        shards=_SHARDS,
        slots=6,
    )
    server = simulation.servers["p0-0"]
    for step in range(120):
        start_s = _LIMIT_S[0] + step * 0.1
        rate = (9.0, 3.0, 6.0)[step % 3]
        server.limits.append(
            simulated_server.Span(start_s, start_s + 0.1, rate)
        )
    simulation.run(16.0)
    # Less than the highest rate allows, as the rate falls again and again.
    assert _find_largest_excess(server, 6.0) <= 0
