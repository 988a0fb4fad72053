"""Tests of the declaration library: what it builds and what it rejects."""

import copy
import functools
import json
import operator

import pytest

from eelgrasshall import declare
from eelgrasshall import errors
from eelgrasshall.state import configuration

_ZONES = declare.make_zones("north", ["a", "b"])
_SHAPE = declare.Shape(replicas=3, slots=2, connections=4)


def _locate(server):
    return f"10.0.0.{server[-1]}", 9000


def _declare(**changes):
    service = declare.make_service(
        name="orders", zones=_ZONES, shape=_SHAPE, locate=_locate
    )
    parts = {
        "zones": _ZONES,
        "services": [service],
        "kinds": [declare.Kind(name="find", services=("orders",))],
    }
    return declare.compose(**{**parts, **changes})


def _get_rejected_paths(**changes):
    with pytest.raises(declare.DeclarationError) as caught:
        _declare(**changes)
    problems = caught.value.problems
    kinds = {problem.kind for problem in problems}
    assert kinds == {errors.ProblemKind.INVALID_CONFIGURATION}
    return {problem.where for problem in problems}


def test_replicas_are_assigned_to_zones_round_robin():
    declared = _declare()
    servers = declared.services[0].servers
    assert [(s.name, s.zone) for s in servers] == [
        ("orders-1", "a"),
        ("orders-2", "b"),
        ("orders-3", "a"),
    ]
    assert declared.version == 0


def test_all_errors_in_contents_are_reported_together():
    too_few_connections = declare.Shape(replicas=2, slots=5, connections=4)
    services = [
        declare.make_service(
            name="orders",
            zones=_ZONES,
            shape=too_few_connections,
            locate=_locate,
        ),
        declare.make_service(
            name="un used",
            zones=declare.make_zones("north", ["c"]),
            shape=_SHAPE._replace(replicas=1),
            locate=lambda _: ("backend.example", 9000),
        ),
    ]
    kinds = [
        declare.Kind(name="find", services=("orders", "stock")),
        declare.Kind(name="take", services=("orders",), coverage_floor=2.0),
    ]
    assert _get_rejected_paths(services=services, kinds=kinds) == {
        "services.orders.orders-1",
        "services.orders.orders-2",
        "services.un used",
        "services.un used.un used-1",
        "kinds.find",
        "kinds.take",
    }


def test_wrong_types_are_rejected_with_their_path():
    kinds = [
        declare.Kind(name="find", services=("orders",), deadline_ms="100"),
        declare.Kind(name="take", services=("orders",), repeatable="no"),
    ]
    assert _get_rejected_paths(kinds=kinds) == {
        "kinds.0.deadline_ms",
        "kinds.1.repeatable",
    }


def test_names_unsafe_in_headers_are_rejected():
    kinds = [declare.Kind(name="fi nd", services=("orders",))]
    assert _get_rejected_paths(kinds=kinds) == {"kinds.fi nd"}


def test_value_not_representable_in_json_is_rejected():
    kinds = [declare.Kind(name="find", services=("orders",), weight=object())]
    assert _get_rejected_paths(kinds=kinds) == {"declaration"}


def test_servers_with_the_same_address_are_rejected():
    service = declare.make_service(
        name="orders",
        zones=_ZONES,
        shape=_SHAPE,
        locate=lambda _: ("10.0.0.1", 9000),
    )
    assert _get_rejected_paths(services=[service]) == {
        "services.orders.orders-2",
        "services.orders.orders-3",
    }


def test_zone_is_taken_out_and_back_in():
    declared = _declare()
    out = declare.put_zone(declared, "b", in_service=False)
    assert out.get_zones_in_service() == {"a"}
    assert declare.put_zone(out, "b", in_service=True) == declared


def test_last_zone_and_unknown_zone_cannot_be_taken_out():
    out = declare.put_zone(_declare(), "b", in_service=False)
    assert declare.put_zone(out, "a", in_service=False).where == "zones"
    assert declare.put_zone(out, "c", in_service=False).where == "zones.c"


def test_keep_zones_preserves_state_of_existing_zones():
    current = declare.put_zone(_declare(), "b", in_service=False)
    zones = [*_ZONES, declare.Zone(name="c", region="north", in_service=False)]
    kept = declare.keep_zones(_declare(zones=zones), current)
    assert kept.get_zones_in_service() == {"a"}
    back = declare.keep_zones(current, _declare())
    assert back.get_zones_in_service() == {"a", "b"}


_NAN = float("nan")
_UNUSUAL_VALUES = (
    *(None, True, -1, 0, 2**70, 0.5, _NAN, float("inf"), "", "é", "\ud800"),
    *([], {}, [None], {"name": "x"}),
)


def _list_paths(value, path=()):
    """Lists the path of every value inside a document."""
    if isinstance(value, (dict, list)):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, inner in list(items):
            yield (*path, key)
            yield from _list_paths(inner, (*path, key))


def test_any_value_at_any_path_is_accepted_or_rejected():
    document = configuration.to_plain(_declare())
    for path in _list_paths(document):
        for value in _UNUSUAL_VALUES:
            changed = copy.deepcopy(document)
            inner = functools.reduce(operator.getitem, path[:-1], changed)
            inner[path[-1]] = value
            declared, problems = declare.read(json.dumps(changed).encode())
            assert (declared is None) == bool(problems), (path, value)
            if declared is not None:
                printed = configuration.format_configuration(declared)
                assert declare.read(printed) == (declared, []), (path, value)


def test_main_prints_configuration_or_problems(capsys):
    declare.main(_declare)
    printed = capsys.readouterr().out.encode()
    assert declare.read(printed) == (_declare(), [])
    with pytest.raises(SystemExit) as caught:
        declare.main(lambda: _declare(services=[]))
    assert caught.value.code == declare.EXIT_INVALID
    assert "kinds.find" in capsys.readouterr().err
