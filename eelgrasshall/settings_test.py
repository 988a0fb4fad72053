"""Tests that settings are validated and that every error is reported."""

import json

from eelgrasshall import errors
from eelgrasshall import settings

_MINIMAL = {
    "name": "entry-1",
    "zone": "tandil-a",
    "region": "bsas-sur",
    "caller": {"host": "127.0.0.1", "port": 7100},
    "peer": {"host": "127.0.0.1", "port": 7200},
    "platform_url": "http://127.0.0.1:7000/",
}


def _parse(**changes):
    return settings.parse_settings(json.dumps({**_MINIMAL, **changes}).encode())


def test_minimal_settings_get_defaults():
    parsed, problems = _parse()
    assert problems == []
    assert parsed.admin == settings.ListenAddress("127.0.0.1", 7300)
    assert parsed.policy == settings.PolicySettings()
    assert parsed.platform_url == "http://127.0.0.1:7000"


def test_advertised_peer_may_differ_from_listener_address():
    assert _parse()[0].peer_address == settings.ListenAddress("127.0.0.1", 7200)
    parsed, _ = _parse(advertised_peer={"host": "10.0.0.9", "port": 7201})
    assert parsed.peer_address == settings.ListenAddress("10.0.0.9", 7201)
    assert parsed.peer == settings.ListenAddress("127.0.0.1", 7200)


def test_every_error_is_reported_with_its_path():
    parsed, problems = _parse(
        name="",
        zone=3,
        caller={"host": "localhost", "port": 0, "backlog": 5},
        platform_url="ftp://127.0.0.1",
        policy={"ownership": "both", "hedge_budget": 2.0},
        invariants_raise="yes",
        dain_s=3,
    )
    assert parsed is None
    assert {problem.where for problem in problems} == {
        "name",
        "zone",
        "caller.host",
        "caller.port",
        "caller.backlog",
        "platform_url",
        "policy.ownership",
        "policy.hedge_budget",
        "invariants_raise",
        "dain_s",
    }
    kinds = {problem.kind for problem in problems}
    assert kinds == {errors.ProblemKind.INVALID_SETTINGS}
    assert all(problem.remedy for problem in problems)


def test_missing_keys_are_reported():
    _, problems = settings.parse_settings(b"{}")
    assert [p.where for p in problems] == [
        "name",
        "zone",
        "region",
        "caller",
        "peer",
        "platform_url",
    ]
    assert {p.remedy for p in problems} == {"Add it."}


def test_nan_is_rejected():
    text = json.dumps({**_MINIMAL, "drain_s": float("nan")})
    _, problems = settings.parse_settings(text.encode())
    assert [p.where for p in problems] == ["drain_s"]


def test_listeners_with_the_same_address_are_rejected():
    _, problems = _parse(peer=_MINIMAL["caller"])
    assert [p.where for p in problems] == ["peer"]


def test_unreadable_file_is_reported(tmp_path):
    _, problems = settings.load_settings(tmp_path / "none.json")
    assert "none.json" in problems[0].where
    assert problems[0].remedy == "Name a readable JSON file."
