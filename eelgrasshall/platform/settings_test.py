"""Tests for reading the settings that the platform writes."""

import pytest

from eelgrasshall.gateway import model
from eelgrasshall.platform import settings

_SETTINGS = """
nodeName = "front-a-1"
role = "entry"
ip = "10.1.0.39"
zone = "a"
region = "r"
innerPorts = [7740, 7755]
seeds = ["10.1.0.39:8224", "10.2.0.33:8224"]
unknownField = 5

[listen]
front = "10.1.0.39:8226"
readyAddr = "10.1.0.39:8227"
controlAddr = "10.1.0.39:8224"
directory = "10.1.0.39:8225"

[limits]
cpuShare = 0.5
cores = 2
linkMbps = 100.0

[bounds]
contactMs = 4000
configApplyMs = 3000
drainMs = 3000
evacuateMs = 5000
graceS = 6
budgetRatio = 0.2
budgetExtra = 54
budgetWindowS = 12
coldMultiplier = 1.5
coldSlack = 5
ttl_max_s = 5

[platform]
address = "10.200.1.7:8229"
"""


def _load(tmp_path, monkeypatch, text: str) -> settings.Settings:
    path = tmp_path / "node.toml"
    path.write_text(text)
    monkeypatch.setenv(settings.SETTINGS_VARIABLE, str(path))
    return settings.load_settings()


def test_reads_settings_and_ignores_unknown_fields(tmp_path, monkeypatch):
    loaded = _load(tmp_path, monkeypatch, _SETTINGS)
    assert loaded.host.cores == 1.0
    assert loaded.host.peer_address == model.Address("10.1.0.39", 7740)
    assert loaded.metrics == model.Address("10.1.0.39", 7741)
    assert loaded.extra_attempt_bound == (0.2, 54.0, 12.0)
    assert len(loaded.seeds) == 2


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('zone = "a"\n', ""),
        ("budgetRatio = 0.2", 'budgetRatio = "much"'),
        ("10.200.1.7:8229", "10.200.1.7"),
        ("innerPorts = [7740, 7755]", "innerPorts = []"),
        ("[listen]", "[listen"),
    ],
)
def test_error_for_invalid_settings_names_path(tmp_path, monkeypatch, old, new):
    assert old in _SETTINGS
    with pytest.raises(settings.SettingsError, match=r"node\.toml"):
        _load(tmp_path, monkeypatch, _SETTINGS.replace(old, new))


def test_error_for_missing_file_names_environment_variable(
    tmp_path, monkeypatch
):
    monkeypatch.setenv(settings.SETTINGS_VARIABLE, str(tmp_path / "none"))
    with pytest.raises(settings.SettingsError, match="EELGRASSHALL_NODE_FILE"):
        settings.load_settings()


def test_rollouts_are_in_force_only_by_contract(tmp_path, monkeypatch):
    assert _load(tmp_path, monkeypatch, _SETTINGS).rollout_bound is None
    other = 'contracts = ["other"]\n' + _SETTINGS
    assert _load(tmp_path, monkeypatch, other).rollout_bound is None
    text = 'contracts = ["other", "rollout"]\n' + _SETTINGS
    loaded = _load(tmp_path, monkeypatch, text)
    assert loaded.rollout_bound == (0.1, 50.0, 5.0)
    text = text.replace(
        "graceS = 6",
        "graceS = 6\nexposeShare = 0.2\nexposeSlack = 9\nrollbackMs = 700",
    )
    loaded = _load(tmp_path, monkeypatch, text)
    assert loaded.rollout_bound == (0.2, 9.0, 0.7)
