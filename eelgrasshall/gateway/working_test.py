"""Tests of which hosts carry requests, with the loads that they answer."""

import random

from eelgrasshall.gateway import directory
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import working

_ZONES = ("a", "b", "c")


def _make_fleet(*, large: int, small: int, rate: float = 0.0):
    hosts = [
        fakes.make_host(
            f"large-{i}", zone=_ZONES[i % 3], cores=2.15, link_mbps=100.0
        )
        for i in range(large)
    ] + [
        fakes.make_host(
            f"small-{i}", zone=_ZONES[i % 3], cores=0.5, link_mbps=10.0
        )
        for i in range(small)
    ]
    return [working.Load(host, rate) for host in hosts]


def test_the_large_hosts_of_a_calm_fleet_work():
    chosen = working.choose_working(_make_fleet(large=6, small=68))
    assert {host.name for host in chosen} <= {f"large-{i}" for i in range(6)}
    assert len(chosen) == working.LEAST_HOSTS


def test_each_zone_has_a_host_that_works():
    chosen = working.choose_working(_make_fleet(large=6, small=68))
    assert {host.zone for host in chosen} == set(_ZONES)


def test_more_load_brings_more_hosts():
    calm = working.choose_working(_make_fleet(large=6, small=68, rate=10.0))
    busy = working.choose_working(_make_fleet(large=6, small=68, rate=600.0))
    assert len(busy) > len(calm)
    capacity = sum(working.estimate_capacity(host) for host in busy)
    assert capacity >= 600.0 * 74 or len(busy) == 74


def test_a_small_fleet_has_as_many_as_there_are():
    assert len(working.choose_working(_make_fleet(large=0, small=2))) == 2


def test_hosts_that_are_lost_are_replaced_at_once():
    fleet = _make_fleet(large=6, small=68)
    left = [load for load in fleet if load.host.zone != "a"]
    chosen = working.choose_working(left)
    assert len(chosen) >= working.LEAST_HOSTS
    assert all(host.zone != "a" for host in chosen)


def test_every_host_names_the_same_ones_whatever_it_heard_first():
    fleet = _make_fleet(large=6, small=68)
    expected = directory.select_hosts(working.choose_working(fleet))
    for seed in range(10):
        random.Random(seed).shuffle(fleet)
        assert directory.select_hosts(working.choose_working(fleet)) == expected


def test_nobody_is_named_while_nobody_is_ready():
    assert directory.select_hosts([]) == []


def test_a_host_that_replaces_another_has_a_share_of_the_limits():
    assert working.count_sharing(known=40, carrying=3) == 4
    assert working.count_sharing(known=40, carrying=1) == 4
    assert working.count_sharing(known=40, carrying=12) == 13
    assert working.count_sharing(known=2, carrying=2) == 2
