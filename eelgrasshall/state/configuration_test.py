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


def test_format_and_parse_give_the_same_value():
    original = make_configuration()
    data = configuration.format_configuration(original)
    parsed, problems = configuration.parse_configuration(data)
    assert problems == []
    assert parsed == original
    assert configuration.format_configuration(parsed) == data


def test_every_problem_is_found_at_once():
    kinds = (
        configuration.Kind("orders", ("s1", "missing"), coverage_floor=2.0),
        configuration.Kind("orders", ("s1",)),
    )
    broken = make_configuration(zones=(), kinds=kinds)
    data = configuration.format_configuration(broken)
    parsed, problems = configuration.parse_configuration(data)
    assert parsed is None
    places = [problem.where for problem in problems]
    assert "kinds.orders" in places
    assert "services.s1.b1" in places
    assert len(problems) >= 4


def test_truncated_document_is_refused():
    data = configuration.format_configuration(make_configuration())
    parsed, problems = configuration.parse_configuration(data[:-20])
    assert parsed is None
    assert problems


def test_kind_that_may_not_repeat_has_one_service():
    service = make_configuration().services[0]
    other = configuration.Service(
        "s2", (service.servers[0]._replace(name="b2"),)
    )
    kind = configuration.Kind("reserve", ("s1", "s2"), repeatable=False)
    broken = make_configuration(services=(service, other), kinds=(kind,))
    problems = configuration.check_configuration(broken)
    assert [problem.where for problem in problems] == ["kinds.reserve"]
