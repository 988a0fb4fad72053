"""Converts between the platform store's documents and the gateway's model.

A document that lacks a required field, or has a field of the wrong type, is
rejected as a whole; no part of it is used.
"""

import math
from typing import Any

from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache

_MS_PER_S = 1000.0
_ROLLOUT_STATES = {
    "running": model.RolloutState.RUNNING,
    "completed": model.RolloutState.COMPLETED,
    "rolled_back": model.RolloutState.ROLLED_BACK,
}


class DecodeError(ValueError):
    """A document does not conform to the platform's format."""


def decode(collection: object_cache.Collection, document: Any) -> Any:
    """Decodes the `spec` of one object.

    Args:
      collection: The collection that the object belongs to.
      document: The object's name and `spec`, as `{"name": ..., "spec": ...}`;
        for a rollout its `status` too.

    Returns:
      A `model.Configuration`, `model.Server`, `model.Host` or `model.Rollout`;
      True for an evacuated availability zone, whose name is all that matters.

    Raises:
      DecodeError: The document does not conform to the platform's format.
    """
    name, spec = document["name"], document["spec"]
    try:
        if collection is object_cache.Collection.CONFIGURATION:
            return _decode_configuration(spec)
        if collection is object_cache.Collection.SERVERS:
            return _decode_server(name, spec)
        if collection is object_cache.Collection.HOSTS:
            return _decode_host(name, spec)
        if collection is object_cache.Collection.ROLLOUTS:
            return _decode_rollout(name, spec, document.get("status"))
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as error:
        raise DecodeError(f"{type(error).__name__}: {error}") from error
    return True


def encode_host(host: model.Host) -> dict[str, Any]:
    """Encodes the `spec` of the object that an entry host publishes."""
    return {
        "zone": host.zone,
        "callers": str(host.caller_address),
        "control": str(host.control_address),
        "peers": str(host.peer_address),
        "cores": host.cores,
        "linkMbps": host.link_mbps,
    }


def _decode_host(name: str, spec: Any) -> model.Host:
    """Decodes the object that an entry host published."""
    return model.Host(
        name=name,
        zone=_check_text(spec["zone"]),
        caller_address=model.parse_address(spec["callers"]),
        control_address=model.parse_address(spec["control"]),
        peer_address=model.parse_address(spec["peers"]),
        cores=float(spec["cores"]),
        link_mbps=float(spec["linkMbps"]),
    )


def _decode_server(name: str, spec: Any) -> model.Server:
    """Decodes a backend server's registration."""
    state = spec["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown server state: {state!r}")
    return model.Server(
        id=name,
        service=_check_text(spec["service"]),
        address=model.parse_address(_check_text(spec["address"])),
        zone=_check_text(spec["zone"]),
        slots=int(_check_number(spec["slots"])),
        draining=state == "draining",
        # The remaining cold period, not the time since the start.
        cold_remaining_s=_check_number(spec["coldLeftMs"]) / _MS_PER_S,
        started_at_ms=int(_check_number(spec.get("born", 0))),
        version=_decode_version(spec.get("version")),
    )


def _decode_version(value: Any) -> str:
    """Returns the version of a server; empty if it is not a text.

    Servers of deployments without rollouts may state anything there.
    """
    return value if isinstance(value, str) else ""


def _decode_rollout(name: str, spec: Any, status: Any) -> model.Rollout:
    """Decodes an order to move a service to another version.

    A status of another target version is that of an earlier order.
    """
    service = _check_text(spec["service"])
    if service != name:
        raise ValueError(f"the order of {name!r} names service {service!r}")
    period_s = _check_number(spec["periodS"])
    if not period_s:
        raise ValueError("the period is 0")
    target = _check_text(spec["targetVersion"])
    state = model.RolloutState.NEW
    if status and status.get("targetVersion") == target:
        state = _ROLLOUT_STATES[status["state"]]
    return model.Rollout(service, target, float(period_s), state)


def encode_rollout_status(rollout: model.Rollout) -> dict[str, str]:
    """Encodes the `status` of a rollout's order."""
    (state,) = (
        name
        for name, state in _ROLLOUT_STATES.items()
        if state is rollout.state
    )
    return {"state": state, "targetVersion": rollout.target_version}


def _decode_configuration(spec: Any) -> model.Configuration:
    """Decodes a configuration."""
    limits = spec["limits"]
    return model.Configuration(
        version=int(_check_number(spec["version"])),
        routes=tuple(_decode_route(route) for route in spec["routes"]),
        services={
            each["name"]: model.Service(
                name=each["name"],
                health_path=each["healthPath"],
                max_connections=int(each["maxConns"]),
                cold_s=float(each.get("coldS") or 0.0),
                # Zero means that the operator has set no limit.
                cold_rate_per_s=float(each.get("coldRateS") or 0.0),
            )
            for each in spec["services"]
        },
        limits=model.CallerLimits(
            max_header_bytes=int(limits["headerBytes"]),
            max_body_bytes=int(limits["bodyBytes"]),
            header_timeout_s=limits["headerTimeoutMs"] / _MS_PER_S,
            idle_timeout_s=limits["idleTimeoutMs"] / _MS_PER_S,
        ),
    )


def _decode_route(spec: Any) -> model.Route:
    """Decodes one route."""
    split = spec.get("split")
    if split:
        weights = tuple(
            model.WeightedService(each["service"], float(each["weight"]))
            for each in split
        )
    elif spec.get("service"):
        weights = (model.WeightedService(spec["service"], 1.0),)
    else:
        weights = ()
    return model.Route(
        name=spec["name"],
        host=spec["host"].lower(),
        path_prefix=spec["pathPrefix"],
        shards=tuple(spec.get("gather") or ()),
        split=weights,
        idempotent=spec["routeType"] == "idempotent",
        timeout_s=spec["timeoutMs"] / _MS_PER_S,
        objective_s=spec.get("goalMs", spec["timeoutMs"]) / _MS_PER_S,
        max_attempts=int(spec.get("maxAttempts", 1)),
        priority=int(spec.get("priority", 0)),
        top_n=int(spec.get("topN", 0)),
        min_share=float(spec.get("minShare", 1.0)),
    )


def _check_text(value: Any) -> str:
    """Returns the value if it is a non-empty string.

    Raises:
      TypeError: The value is something else.
    """
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected a non-empty string, got {value!r}")
    return value


def _check_number(value: Any) -> float:
    """Returns the value if it is a finite number that is not negative.

    Raises:
      TypeError: The value is something else.
      OverflowError: The value is too large to convert.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"expected a number, got {value!r}")
    if value < 0 or not math.isfinite(value):
        raise TypeError(f"expected a finite number from 0 on, got {value!r}")
    return value
