"""Tests of the choice of entry hosts for callers."""

from eelgrasshall.coordination import addresses
from eelgrasshall.state import configuration as configuration_module
from eelgrasshall.state import members


def make_member(name, zone, region="r1", status="alive") -> members.Member:
    return members.Member(
        name,
        zone,
        region,
        "127.0.0.1",
        1,
        "127.0.0.1",
        2,
        1,
        members.MemberStatus(status),
    )


MEMBERS = (
    make_member("a1", "a"),
    make_member("a2", "a", status="suspect"),
    make_member("a3", "a", status="leaving"),
    make_member("a4", "a", status="dead"),
    make_member("b1", "b"),
    make_member("c1", "c", "r2"),
    make_member("x1", "undeclared"),
)


def make_configuration(evacuated=()) -> configuration_module.Configuration:
    zones = tuple(
        configuration_module.Zone(name, region, name not in evacuated)
        for name, region in (("a", "r1"), ("b", "r1"), ("c", "r2"))
    )
    return configuration_module.Configuration(1, "c", zones, (), ())


def choose(zone, evacuated=()) -> list[str]:
    chosen = addresses.choose_addresses(
        MEMBERS, make_configuration(evacuated), zone
    )
    return [each.name for each in chosen]


def test_hosts_of_own_zone_come_first_then_those_of_region():
    assert choose("a") == ["a1", "a2", "b1", "c1"]
    assert choose("c") == ["c1", "a1", "b1", "a2"]


def test_hosts_of_evacuated_zone_are_excluded():
    assert choose("a", evacuated=("a",)) == ["b1", "c1"]


def test_without_configuration_every_zone_counts_as_in_service():
    chosen = addresses.choose_addresses(MEMBERS, None, "b")
    assert chosen[0].name == "b1"
    assert "x1" in [each.name for each in chosen]
