"""Tests of parsing and validating configurations."""

from eelgrasshall.state import configuration


def make_configuration(**changes) -> configuration.Configuration:
    server = configuration.BackendServer("b1", "z1", "127.0.0.1", 9000, 6, 45)
    base = configuration.Configuration(
        version=1,
        change_id="c1",
        zones=(configuration.Zone("z1", "r1"),),
        services=(configuration.Service("s1", (server,)),),
        kinds=(configuration.Kind("orders", ("s1",)),),
    )
    return base._replace(**changes)


def test_parse_reverses_format():
    original = make_configuration()
    data = configuration.format_configuration(original)
    parsed, problems = configuration.parse_configuration(data)
    assert problems == []
    assert parsed == original
    assert configuration.format_configuration(parsed) == data


def test_all_problems_are_reported_together():
    kinds = (
        configuration.Kind("orders", ("s1", "missing"), coverage_floor=2.0),
        configuration.Kind("orders", ("s1",)),
    )
    invalid = make_configuration(zones=(), kinds=kinds)
    data = configuration.format_configuration(invalid)
    parsed, problems = configuration.parse_configuration(data)
    assert parsed is None
    locations = [problem.where for problem in problems]
    assert "kinds.orders" in locations
    assert "services.s1.b1" in locations
    assert len(problems) >= 4


def test_truncated_document_is_rejected():
    data = configuration.format_configuration(make_configuration())
    parsed, problems = configuration.parse_configuration(data[:-20])
    assert parsed is None
    assert problems


def test_non_repeatable_kind_must_have_one_service():
    service = make_configuration().services[0]
    other = configuration.Service(
        "s2", (service.servers[0]._replace(name="b2"),)
    )
    kind = configuration.Kind("reserve", ("s1", "s2"), repeatable=False)
    invalid = make_configuration(services=(service, other), kinds=(kind,))
    problems = configuration.check_configuration(invalid)
    assert [problem.where for problem in problems] == ["kinds.reserve"]
