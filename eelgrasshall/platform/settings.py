"""Reads the settings file that the platform writes for each process."""

import os
import tomllib
from typing import NamedTuple

from eelgrasshall.gateway import belief
from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import model

SETTINGS_VARIABLE = "EELGRASSHALL_NODE_FILE"
SETTINGS_PATH = "/etc/eelgrasshall/node.toml"

# Hosts hear each other without the store, which only lasts for them.
HOSTS_BOUND_S = 25.0

_PEERS_PORT = 0
_METRICS_PORT = 1


class SettingsError(Exception):
    """The settings cannot be used; the text names the path and the remedy."""


class Settings(NamedTuple):
    """What the platform tells a process.

    Attributes:
      host: This entry host.
      region: Its region.
      directory: Where callers ask for addresses.
      readiness: Where the platform asks whether this host is ready.
      metrics: Where metrics are served.
      seeds: Control addresses of a few other hosts, which may be down.
      store: The platform's store.
      bounds_s: Time within which a change of each collection must be in
        force, seconds.
      extra_bound: The bound on attempts beyond the first.
      touch_s: Time without a disturbance after which promises hold, seconds.
      grace_s: Time between SIGTERM and SIGKILL, seconds.
      cold_bound: What is allowed beyond a cold server's own rate.
      ttl_s: Longest time for which an address answer counts, seconds.
    """

    host: model.Host
    region: str
    directory: model.Address
    readiness: model.Address
    metrics: model.Address
    seeds: tuple[model.Address, ...]
    store: model.Address
    bounds_s: dict[belief.Collection, float]
    extra_bound: hedging.ExtraAttemptBound
    touch_s: float
    grace_s: float
    cold_bound: cold_start.ColdStartBound
    ttl_s: float


def load_settings() -> Settings:
    """Reads the settings of this process.

    Raises:
      SettingsError: The file cannot be read or lacks what is needed.
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
            f"{path}: {type(error).__name__}: {error}. Correct this field."
        ) from error


def decode_settings(document: dict) -> Settings:
    """Decodes the settings.

    Raises:
      KeyError: A field is missing.
      TypeError: A field has another type.
      ValueError: A field has an impossible value.
    """
    listen = document["listen"]
    bounds = document["bounds"]
    limits = document["limits"]
    ip = document["ip"]
    first_port = int(document["innerPorts"][0])
    return Settings(
        host=model.Host(
            name=document["nodeName"],
            zone=document["zone"],
            callers=model.parse_address(listen["front"]),
            control=model.parse_address(listen["controlAddr"]),
            peers=model.Address(ip, first_port + _PEERS_PORT),
            # The share is that of one core, of which there may be several.
            cores=float(limits["cpuShare"]) * float(limits["cores"]),
            link_mbps=float(limits["linkMbps"]),
        ),
        region=document["region"],
        directory=model.parse_address(listen["directory"]),
        readiness=model.parse_address(listen["readyAddr"]),
        metrics=model.Address(ip, first_port + _METRICS_PORT),
        seeds=tuple(
            model.parse_address(each) for each in document.get("seeds", ())
        ),
        store=model.parse_address(document["platform"]["address"]),
        bounds_s={
            belief.Collection.CONFIGURATION: bounds["configApplyMs"] / 1000.0,
            belief.Collection.SERVERS: bounds["drainMs"] / 1000.0,
            belief.Collection.EVACUATIONS: bounds["evacuateMs"] / 1000.0,
            belief.Collection.HOSTS: HOSTS_BOUND_S,
        },
        extra_bound=hedging.ExtraAttemptBound(
            ratio=float(bounds["budgetRatio"]),
            fixed=float(bounds["budgetExtra"]),
        ),
        touch_s=bounds["contactMs"] / 1000.0,
        grace_s=float(bounds["graceS"]),
        cold_bound=cold_start.ColdStartBound(
            multiplier=float(bounds.get("coldMultiplier", 1.0)),
            slack=float(bounds.get("coldSlack", 0.0)),
        ),
        ttl_s=float(bounds["ttl_max_s"]),
    )
