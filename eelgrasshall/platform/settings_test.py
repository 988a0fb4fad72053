"""Tests for reading the settings that the platform writes."""

import math

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


def test_keys_stay_valid_without_the_store_unless_revocation_is_strict(
    tmp_path, monkeypatch
):
    for fields, revoke_s in (
        ("", math.inf),
        ("revokeMs = 2000\n", math.inf),
        ("strictRevoke = false\n", math.inf),
        ("strictRevoke = true\n", 5.0),
        ("strictRevoke = true\nrevokeMs = 2000\n", 2.0),
    ):
        text = _SETTINGS.replace("graceS = 6\n", f"graceS = 6\n{fields}")
        assert _load(tmp_path, monkeypatch, text).revoke_s == revoke_s


@pytest.mark.parametrize(
    "fields",
    [
        'strictRevoke = "yes"',
        "strictRevoke = 1",
        "strictRevoke = true\nrevokeMs = 0",
        "strictRevoke = true\nrevokeMs = nan",
        "strictRevoke = true\nrevokeMs = inf",
    ],
)
def test_invalid_revocation_is_rejected(tmp_path, monkeypatch, fields):
    # A typing error must not leave withdrawn keys valid, nor refuse all.
    text = _SETTINGS.replace("graceS = 6\n", f"graceS = 6\n{fields}\n")
    with pytest.raises(settings.SettingsError):
        _load(tmp_path, monkeypatch, text)


def test_quota_bound_is_read_if_it_is_set(tmp_path, monkeypatch):
    assert _load(tmp_path, monkeypatch, _SETTINGS).quota_bound is None
    numbers = "quotaWindowS = 5\nquotaExcess = 0.1\nquotaSlack = 20\n"
    text = _SETTINGS.replace("graceS = 6\n", "graceS = 6\n" + numbers)
    assert _load(tmp_path, monkeypatch, text).quota_bound == (5.0, 0.1, 20.0)


@pytest.mark.parametrize(
    "numbers",
    [
        "quotaWindowS = 5\n",
        "quotaWindowS = 0\nquotaExcess = 0.1\nquotaSlack = 20\n",
        "quotaWindowS = 5\nquotaExcess = -0.1\nquotaSlack = 20\n",
        "quotaWindowS = 5\nquotaExcess = nan\nquotaSlack = 20\n",
    ],
)
def test_incomplete_or_impossible_quota_bound_is_rejected(
    tmp_path, monkeypatch, numbers
):
    # Without a bound no limit would be applied, and nobody would be told.
    text = _SETTINGS.replace("graceS = 6\n", "graceS = 6\n" + numbers)
    with pytest.raises(settings.SettingsError):
        _load(tmp_path, monkeypatch, text)
