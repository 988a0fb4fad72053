"""Tests of the choice of active hosts."""

import random

from eelgrasshall.gateway import active_hosts
from eelgrasshall.gateway import directory
from eelgrasshall.gateway import fakes

_ZONES = ("a", "b", "c")


def _make_loads(*, large: int, small: int, rate: float = 0.0):
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
    return [active_hosts.HostLoad(host, rate) for host in hosts]


def test_largest_hosts_are_active_at_low_load():
    chosen = active_hosts.choose_active_hosts(_make_loads(large=6, small=68))
    assert {host.name for host in chosen} <= {f"large-{i}" for i in range(6)}
    assert len(chosen) == active_hosts.MIN_ACTIVE_HOSTS


def test_each_zone_has_an_active_host():
    chosen = active_hosts.choose_active_hosts(_make_loads(large=6, small=68))
    assert {host.zone for host in chosen} == set(_ZONES)


def test_higher_load_activates_more_hosts():
    low_load = active_hosts.choose_active_hosts(
        _make_loads(large=6, small=68, rate=10.0)
    )
    high_load = active_hosts.choose_active_hosts(
        _make_loads(large=6, small=68, rate=600.0)
    )
    assert len(high_load) > len(low_load)
    capacity = sum(active_hosts.estimate_capacity(host) for host in high_load)
    assert capacity >= 600.0 * 74 or len(high_load) == 74


def test_hosts_on_standby_replace_those_that_reach_no_server():
    loads = _make_loads(large=6, small=68)
    before = active_hosts.choose_active_hosts(loads)
    loads = [
        load._replace(reaches_servers=load.host not in before) for load in loads
    ]
    chosen = active_hosts.choose_active_hosts(loads)
    assert not set(chosen) & set(before)
    assert len(chosen) >= active_hosts.MIN_ACTIVE_HOSTS
    assert {host.zone for host in chosen} == set(_ZONES)


def test_small_fleet_is_active_as_a_whole():
    assert (
        len(active_hosts.choose_active_hosts(_make_loads(large=0, small=2)))
        == 2
    )


def test_lost_hosts_are_replaced_at_once():
    loads = _make_loads(large=6, small=68)
    remaining = [load for load in loads if load.host.zone != "a"]
    chosen = active_hosts.choose_active_hosts(remaining)
    assert len(chosen) >= active_hosts.MIN_ACTIVE_HOSTS
    assert all(host.zone != "a" for host in chosen)


def test_choice_does_not_depend_on_the_order_of_hosts():
    loads = _make_loads(large=6, small=68)
    expected = directory.select_hosts(active_hosts.choose_active_hosts(loads))
    for seed in range(10):
        random.Random(seed).shuffle(loads)
        assert (
            directory.select_hosts(active_hosts.choose_active_hosts(loads))
            == expected
        )


def test_directory_is_empty_while_no_host_is_ready():
    assert directory.select_hosts([]) == []


def test_limits_leave_a_share_for_a_replacement_host():
    assert active_hosts.count_sharing_hosts(known=40, active=3) == 4
    assert active_hosts.count_sharing_hosts(known=40, active=1) == 4
    assert active_hosts.count_sharing_hosts(known=40, active=12) == 13
    assert active_hosts.count_sharing_hosts(known=2, active=2) == 2
