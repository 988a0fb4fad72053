"""Converts between the platform store's documents and the gateway's model.

A document that lacks a required field, or has a field of the wrong type, is
rejected as a whole; no part of it is used.
"""

import math
import re
import reprlib
from typing import Any

from eelgrasshall.gateway import credentials
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache

_MS_PER_S = 1000.0
# Longest name or version, in characters: they go into headers and datagrams.
MAX_TEXT_LENGTH = 256
# Bounds on what servers and hosts state, beyond all that they may mean.
MAX_SLOTS = 100_000
MAX_COLD_MS = 24 * 3_600_000
MAX_TIME_MS = 2**53
MAX_PERIOD_S = 30 * 86_400
MIN_HOST_SIZE, MAX_HOST_SIZE = 0.001, 1_000_000.0
_ROLLOUT_STATES = {
    "running": model.RolloutState.RUNNING,
    "completed": model.RolloutState.COMPLETED,
    "rolled_back": model.RolloutState.ROLLED_BACK,
}
# Names of workspaces are sent in a header: ASCII, without spaces at the ends.
_WORKSPACE_NAME = re.compile(r"[!-~]([ -~]*[!-~])?")


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
    try:
        name, spec = _check_text(document["name"]), document["spec"]
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
        cores=_check_size(spec["cores"]),
        link_mbps=_check_size(spec["linkMbps"]),
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
        slots=int(_check_number(spec["slots"], least=1, most=MAX_SLOTS)),
        draining=state == "draining",
        # The remaining cold period, not the time since the start.
        cold_remaining_s=(
            _check_number(spec["coldLeftMs"], most=MAX_COLD_MS) / _MS_PER_S
        ),
        started_at_ms=int(_check_number(spec.get("born", 0), most=MAX_TIME_MS)),
        version=_decode_version(spec.get("version")),
    )


def _decode_version(value: Any) -> str:
    """Returns the version of a server; empty if it is not a usable text.

    Servers of deployments without rollouts may state anything there.
    """
    return value if isinstance(value, str) and _is_usable(value) else ""


def _decode_rollout(name: str, spec: Any, status: Any) -> model.Rollout:
    """Decodes an order to move a service to another version.

    A status of another target version is that of an earlier order.
    """
    service = _check_text(spec["service"])
    if service != name:
        raise ValueError(f"the order of {name!r} names service {service!r}")
    period_s = _check_number(spec["periodS"], most=MAX_PERIOD_S)
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
    has_workspaces = "tenants" in spec
    return model.Configuration(
        version=int(_check_number(spec["version"])),
        routes=tuple(
            _decode_route(route, has_workspaces=has_workspaces)
            for route in spec["routes"]
        ),
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
        workspaces=(
            _decode_workspaces(spec["tenants"]) if has_workspaces else None
        ),
    )


def _decode_workspaces(specs: Any) -> dict[str, model.Workspace]:
    """Decodes the workspaces.

    Error messages state where the error is and never a value: a key may stand
    in any of the fields by mistake.

    Raises:
      ValueError: A name or a key is used twice, or a field is invalid.
    """
    if not isinstance(specs, list):
        raise ValueError("tenants is not a list")
    workspaces: dict[str, model.Workspace] = {}
    owners: dict[bytes, int] = {}
    for index, spec in enumerate(specs):
        workspace = _decode_workspace(f"tenants[{index}]", spec)
        if workspace.name in workspaces:
            raise ValueError(f"tenants[{index}].name is used twice")
        for digest in workspace.key_digests:
            if digest in owners:
                raise ValueError(
                    f"tenants[{owners[digest]}] and tenants[{index}] have a "
                    "key in common"
                )
            owners[digest] = index
        workspaces[workspace.name] = workspace
    return workspaces


def _decode_workspace(path: str, spec: Any) -> model.Workspace:
    """Decodes one workspace.

    Args:
      path: Where it is in the document, for error messages.
      spec: The workspace.

    Raises:
      ValueError: A field is missing or invalid.
    """
    if not isinstance(spec, dict):
        raise ValueError(f"{path} is not an object")
    name, keys = spec.get("name"), spec.get("apiKeys")
    if not isinstance(name, str) or not _WORKSPACE_NAME.fullmatch(name):
        raise ValueError(f"{path}.name cannot be the value of a header")
    if len(name) > messages.MAX_WORKSPACE_NAME_LENGTH:
        raise ValueError(
            f"{path}.name is longer than "
            f"{messages.MAX_WORKSPACE_NAME_LENGTH} characters"
        )
    if not isinstance(keys, list):
        raise ValueError(f"{path}.apiKeys is not a list")
    digests = set()
    for index, key in enumerate(keys):
        if not (
            isinstance(key, str)
            and key.isascii()
            and credentials.is_key(key.encode())
        ):
            raise ValueError(
                f"{path}.apiKeys[{index}] is not a text of visible ASCII "
                "characters"
            )
        digests.add(credentials.compute_digest(key.encode()))
    priority = _decode_amount(path, spec, "priority")
    if priority != int(priority):
        raise ValueError(f"{path}.priority is not a whole number")
    return model.Workspace(
        name=name,
        key_digests=frozenset(digests),
        priority=int(priority),
        rate_per_s=float(_decode_amount(path, spec, "ratePerS")),
        burst=float(_decode_amount(path, spec, "burst")),
    )


def _decode_amount(path: str, spec: dict[str, Any], field: str) -> float:
    """Returns the number in a field of a workspace; 0 if it is missing.

    Raises:
      ValueError: It is not a finite number from 0 on.
    """
    try:
        return _check_number(spec.get(field, 0))
    except (TypeError, OverflowError):
        # The original message contains the value.
        raise ValueError(
            f"{path}.{field} is not a finite number from 0 on"
        ) from None


def _decode_route(spec: Any, *, has_workspaces: bool) -> model.Route:
    """Decodes one route.

    Args:
      spec: The route.
      has_workspaces: Whether the configuration has workspaces.

    Raises:
      TypeError: A field has the wrong type.
    """
    keyless = spec.get("keyless", False) if has_workspaces else False
    if not isinstance(keyless, bool):
        raise TypeError("keyless of a route is neither true nor false")
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
        keyless=keyless,
    )


def _check_text(value: Any) -> str:
    """Returns the value if it is a non-empty text that fits into a header.

    Raises:
      TypeError: The value is something else.
    """
    if not isinstance(value, str) or not value or not _is_usable(value):
        raise TypeError(f"expected a short text, got {_shorten(value)}")
    return value


def _is_usable(text: str) -> bool:
    """Returns whether a text is short, without line breaks and the like.

    Parts of characters, which no encoding has, are not printable either.
    """
    return len(text) <= MAX_TEXT_LENGTH and text.isprintable()


def _shorten(value: Any) -> str:
    """Returns a description of a value for an error message."""
    return reprlib.repr(value)


def _check_size(value: Any) -> float:
    """Returns the value if a host may have it as cores or bandwidth.

    Raises:
      TypeError: The value is something else.
    """
    return float(_check_number(value, least=MIN_HOST_SIZE, most=MAX_HOST_SIZE))


def _check_number(
    value: Any, *, least: float = 0, most: float = math.inf
) -> float:
    """Returns the value if it is a finite number within bounds.

    Args:
      value: The value.
      least: The smallest number that is allowed.
      most: The largest number that is allowed.

    Raises:
      TypeError: The value is something else.
      OverflowError: The value is too large to convert.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"expected a number, got {_shorten(value)}")
    if not least <= value <= most or not math.isfinite(value):
        raise TypeError(
            f"expected a number from {least} to {most}, got {_shorten(value)}"
        )
    return value
