"""Tests of routes and splits."""

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


def test_the_longest_prefix_wins():
    table = _make_table("/a/", "/a/b/", "/c/")
    assert table.find("orders.example", "/a/b/x").name == "/a/b/"
    assert table.find("orders.example", "/a/bx").name == "/a/"
    assert table.find("orders.example", "/a") is None
    assert table.find("orders.example", "/d/") is None


def test_a_prefix_without_its_slash_is_another_path():
    assert _make_table("/a/").find("orders.example", "/ab/c") is None


def test_routes_of_another_host_do_not_count():
    assert _make_table("/a/").find("other.example", "/a/x") is None


def test_the_root_prefix_takes_what_is_left():
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
    dealer = routing.Dealer()
    total = sum(weights)
    dealt = collections.Counter(dealer.deal("r", split) for _ in range(total))
    for service in split:
        assert abs(dealt[service.name] - service.weight) <= 1


def test_a_split_that_changes_forgets_services_that_left():
    dealer = routing.Dealer()
    old = (model.WeightedService("a", 1.0), model.WeightedService("b", 1.0))
    new = (model.WeightedService("b", 1.0), model.WeightedService("c", 1.0))
    for _ in range(5):
        dealer.deal("r", old)
    dealt = collections.Counter(dealer.deal("r", new) for _ in range(100))
    assert set(dealt) == {"b", "c"}
    assert abs(dealt["b"] - dealt["c"]) <= 2
