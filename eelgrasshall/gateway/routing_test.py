"""Tests of route lookup and of splits."""

import collections

from hypothesis import given
from hypothesis import strategies

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import model
from eelgrasshall.gateway import routing


def _make_table(*prefixes: str) -> routing.RouteTable:
    routes = tuple(
        fakes.make_route(name=prefix, path_prefix=prefix) for prefix in prefixes
    )
    return routing.RouteTable(
        configuration=fakes.make_configuration(routes=routes)
    )


def test_longest_prefix_wins():
    table = _make_table("/a/", "/a/b/", "/c/")
    assert table.find("orders.example", "/a/b/x").name == "/a/b/"
    assert table.find("orders.example", "/a/bx").name == "/a/"
    assert table.find("orders.example", "/a") is None
    assert table.find("orders.example", "/d/") is None


def test_prefix_matches_whole_path_segments_only():
    assert _make_table("/a/").find("orders.example", "/ab/c") is None


def test_route_of_another_host_does_not_match():
    assert _make_table("/a/").find("other.example", "/a/x") is None


def test_root_prefix_matches_any_other_path():
    assert _make_table("/", "/a/").find("orders.example", "/z").name == "/"


@given(
    weights=strategies.lists(
        strategies.integers(min_value=1, max_value=100), min_size=1, max_size=5
    )
)
def test_each_service_of_a_split_gets_its_share(weights):
    split = tuple(
        model.WeightedService(f"s{i}", float(w)) for i, w in enumerate(weights)
    )
    round_robin = routing.WeightedRoundRobin()
    total = sum(weights)
    counts = collections.Counter(
        round_robin.choose_service("r", split) for _ in range(total)
    )
    for service in split:
        assert abs(counts[service.name] - service.weight) <= 1


def test_services_removed_from_a_split_get_no_requests():
    round_robin = routing.WeightedRoundRobin()
    old = (model.WeightedService("a", 1.0), model.WeightedService("b", 1.0))
    new = (model.WeightedService("b", 1.0), model.WeightedService("c", 1.0))
    for _ in range(5):
        round_robin.choose_service("r", old)
    counts = collections.Counter(
        round_robin.choose_service("r", new) for _ in range(100)
    )
    assert set(counts) == {"b", "c"}
    assert abs(counts["b"] - counts["c"]) <= 2
