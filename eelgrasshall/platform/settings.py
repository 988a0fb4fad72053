"""Reads the settings file that the platform writes for each process."""

import math
import os
import tomllib
from typing import NamedTuple

from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import quota_account
from eelgrasshall.gateway import rollouts

SETTINGS_VARIABLE = "EELGRASSHALL_NODE_FILE"
SETTINGS_PATH = "/etc/eelgrasshall/node.toml"

# Entry hosts discover each other by heartbeats; the store only keeps their
# addresses durably, so a change may take longer than in other collections.
HOSTS_BOUND_S = 25.0
# Time in which an order of a rollout is in force; a part of its period.
ROLLOUTS_BOUND_S = 3.0
# In the list of contracts, asks for rollouts.
ROLLOUT_CONTRACT = "rollout"

# Longest time for which keys are accepted, where strictRevoke is set and
# revokeMs is not.
REVOKE_MS = 5000.0

_PEERS_PORT_OFFSET = 0
_METRICS_PORT_OFFSET = 1


class SettingsError(Exception):
    """The settings are unusable; the message gives the path and a remedy."""


class Settings(NamedTuple):
    """The settings of one entry host process.

    Attributes:
      host: This entry host.
      region: The region of this host.
      directory: Address at which callers look up entry hosts.
      readiness: Address of the platform's readiness check.
      metrics: Address at which metrics are served.
      seeds: Control addresses of a few entry hosts; some may be down.
      store: Address of the platform's store.
      bounds_s: Longest time until a change is in force, by collection,
        seconds.
      extra_attempt_bound: Bound on attempts beyond the first of a request,
        for all entry hosts together.
      stabilization_s: Time after a disturbance after which the guarantees
        hold again, seconds.
      grace_s: Time between SIGTERM and SIGKILL, seconds.
      cold_start_bound: Requests allowed beyond a cold server's stated rate.
      address_ttl_s: Longest time for which a caller may use the addresses
        that it looked up, seconds.
      rollout_bound: What a rollout may cost; None where rollouts are not in
        force.
      revoke_s: Longest time for which keys are accepted while no change of the
        configuration could reach this host, seconds; infinite by default.
      quota_bound: Bound on the requests of a workspace, for all entry hosts
        together; None if the settings have none.
    """

    host: model.Host
    region: str
    directory: model.Address
    readiness: model.Address
    metrics: model.Address
    seeds: tuple[model.Address, ...]
    store: model.Address
    bounds_s: dict[object_cache.Collection, float]
    extra_attempt_bound: hedging.ExtraAttemptBound
    stabilization_s: float
    grace_s: float
    cold_start_bound: cold_start.ColdStartBound
    address_ttl_s: float
    rollout_bound: rollouts.Bound | None = None
    revoke_s: float = math.inf
    quota_bound: quota_account.QuotaBound | None = None


def load_settings() -> Settings:
    """Reads the settings of this process.

    Raises:
      SettingsError: The file cannot be read, or a setting is missing or
        invalid.
    """
    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(
            f"{path}: {error}. Give the path of a TOML file in "
            f"{SETTINGS_VARIABLE}."
        ) from error
    try:
        return decode_settings(document)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise SettingsError(
            f"{path}: {type(error).__name__}: {error}. Correct this setting."
        ) from error


def decode_settings(document: dict) -> Settings:
    """Decodes the settings.

    Raises:
      KeyError: A field is missing.
      TypeError: A field has another type.
      ValueError: A field has an invalid value.
      IndexError: The list of ports is empty.
    """
    listen = document["listen"]
    bounds = document["bounds"]
    limits = document["limits"]
    ip = document["ip"]
    first_port = int(document["innerPorts"][0])
    rollout_bound = _decode_rollout_bound(document)
    return Settings(
        host=model.Host(
            name=document["nodeName"],
            zone=document["zone"],
            caller_address=model.parse_address(listen["front"]),
            control_address=model.parse_address(listen["controlAddr"]),
            peer_address=model.Address(ip, first_port + _PEERS_PORT_OFFSET),
            # cpuShare is the usable share of each core.
            cores=float(limits["cpuShare"]) * float(limits["cores"]),
            link_mbps=float(limits["linkMbps"]),
        ),
        region=document["region"],
        directory=model.parse_address(listen["directory"]),
        readiness=model.parse_address(listen["readyAddr"]),
        metrics=model.Address(ip, first_port + _METRICS_PORT_OFFSET),
        seeds=tuple(
            model.parse_address(each) for each in document.get("seeds", ())
        ),
        store=model.parse_address(document["platform"]["address"]),
        bounds_s={
            object_cache.Collection.CONFIGURATION: bounds["configApplyMs"]
            / 1000.0,
            object_cache.Collection.SERVERS: bounds["drainMs"] / 1000.0,
            object_cache.Collection.EVACUATIONS: bounds["evacuateMs"] / 1000.0,
            object_cache.Collection.HOSTS: HOSTS_BOUND_S,
            object_cache.Collection.ROLLOUTS: ROLLOUTS_BOUND_S,
        },
        extra_attempt_bound=hedging.ExtraAttemptBound(
            ratio=float(bounds["budgetRatio"]),
            fixed=float(bounds["budgetExtra"]),
            window_s=float(bounds.get("budgetWindowS", 10.0)),
        ),
        stabilization_s=bounds["contactMs"] / 1000.0,
        grace_s=float(bounds["graceS"]),
        cold_start_bound=cold_start.ColdStartBound(
            multiplier=float(bounds.get("coldMultiplier", 1.0)),
            slack=float(bounds.get("coldSlack", 0.0)),
        ),
        address_ttl_s=float(bounds["ttl_max_s"]),
        rollout_bound=rollout_bound,
        quota_bound=_decode_quota_bound(bounds),
        revoke_s=_decode_revoke_time(bounds),
    )


def _decode_rollout_bound(document: dict) -> rollouts.Bound | None:
    """Decodes the bound on rollouts; None without the contract."""
    if ROLLOUT_CONTRACT not in document.get("contracts", ()):
        return None
    bounds = document["bounds"]
    return rollouts.Bound(
        expose_share=float(bounds.get("exposeShare", 0.1)),
        expose_slack=float(bounds.get("exposeSlack", 50)),
        rollback_s=float(bounds.get("rollbackMs", 5000)) / 1000.0,
    )


def _decode_quota_bound(bounds: dict) -> quota_account.QuotaBound | None:
    """Decodes the bound on the requests of workspaces, if it is set.

    Raises:
      KeyError: A field is missing, but not all of them.
      ValueError: A number is out of range.
    """
    names = ("quotaWindowS", "quotaExcess", "quotaSlack")
    if not any(name in bounds for name in names):
        return None
    bound = quota_account.QuotaBound(*(float(bounds[name]) for name in names))
    if not (
        all(map(math.isfinite, bound))
        and bound.window_s > 0.0
        and bound.excess >= 0.0
        and bound.slack >= 0.0
    ):
        raise ValueError(f"{', '.join(names)}: out of range")
    return bound


def _decode_revoke_time(bounds: dict) -> float:
    """Returns the longest time for which keys are accepted, in seconds.

    Raises:
      TypeError: `strictRevoke` is not a boolean.
      ValueError: `revokeMs` is not a finite number above 0.
    """
    strict = bounds.get("strictRevoke", False)
    if not isinstance(strict, bool):
        raise TypeError("strictRevoke is neither true nor false")
    if not strict:
        return math.inf
    revoke_s = float(bounds.get("revokeMs", REVOKE_MS)) / 1000.0
    if not 0.0 < revoke_s < math.inf:
        raise ValueError("revokeMs is not a finite number above 0")
    return revoke_s
