"""Decodes the objects of the platform's store into values of the model.

An object that lacks a field or holds one of another type is unreadable as a
whole; it names nothing that may be used.
"""

from typing import Any

from eelgrasshall.gateway import belief
from eelgrasshall.gateway import model

_MILLIS = 1000.0


class UnreadableError(ValueError):
    """A document does not have the form that the platform promises."""


def decode(collection: belief.Collection, document: Any) -> Any:
    """Decodes the `spec` of one object.

    Args:
      collection: The sort of object.
      document: The name and the `spec`, as `{"name": ..., "spec": ...}`.

    Returns:
      A `model.Configuration`, `model.Server` or `model.Host`, or True for an
      evacuated zone.

    Raises:
      UnreadableError: The document does not have the promised form.
    """
    name, spec = document["name"], document["spec"]
    try:
        if collection is belief.Collection.CONFIGURATION:
            return _decode_configuration(spec)
        if collection is belief.Collection.SERVERS:
            return _decode_server(name, spec)
        if collection is belief.Collection.HOSTS:
            return _decode_host(name, spec)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise UnreadableError(f"{type(error).__name__}: {error}") from error
    return True


def encode_host(host: model.Host) -> dict[str, Any]:
    """Encodes what this host publishes of itself."""
    return {
        "zone": host.zone,
        "callers": str(host.caller_address),
        "control": str(host.control_address),
        "peers": str(host.peer_address),
        "cores": host.cores,
        "linkMbps": host.link_mbps,
    }


def _decode_host(name: str, spec: Any) -> model.Host:
    """Decodes an entry host's own object."""
    return model.Host(
        name=name,
        zone=_text(spec["zone"]),
        caller_address=model.parse_address(spec["callers"]),
        control_address=model.parse_address(spec["control"]),
        peer_address=model.parse_address(spec["peers"]),
        cores=float(spec["cores"]),
        link_mbps=float(spec["linkMbps"]),
    )


def _decode_server(name: str, spec: Any) -> model.Server:
    """Decodes a backend server's entry."""
    state = spec["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state: {state!r}")
    return model.Server(
        id=name,
        service=_text(spec["service"]),
        address=model.parse_address(_text(spec["address"])),
        zone=_text(spec["zone"]),
        slots=int(_number(spec["slots"])),
        draining=state == "draining",
        # How much longer it stays slow, not how long it has been cold.
        cold_remaining_s=_number(spec["coldLeftMs"]) / _MILLIS,
        started_at_ms=int(_number(spec.get("born", 0))),
    )


def _decode_configuration(spec: Any) -> model.Configuration:
    """Decodes a whole configuration."""
    limits = spec["limits"]
    return model.Configuration(
        version=int(_number(spec["version"])),
        routes=tuple(_decode_route(route) for route in spec["routes"]),
        services={
            each["name"]: model.Service(
                name=each["name"],
                health_path=each["healthPath"],
                max_connections=int(each["maxConns"]),
                cold_s=float(each.get("coldS") or 0.0),
                # Zero where the operator states no limit.
                cold_rate_per_s=float(each.get("coldRateS") or 0.0),
            )
            for each in spec["services"]
        },
        limits=model.CallerLimits(
            max_header_bytes=int(limits["headerBytes"]),
            max_body_bytes=int(limits["bodyBytes"]),
            header_timeout_s=limits["headerTimeoutMs"] / _MILLIS,
            idle_timeout_s=limits["idleTimeoutMs"] / _MILLIS,
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
        timeout_s=spec["timeoutMs"] / _MILLIS,
        objective_s=spec.get("goalMs", spec["timeoutMs"]) / _MILLIS,
        max_attempts=int(spec.get("maxAttempts", 1)),
        priority=int(spec.get("priority", 0)),
        top_n=int(spec.get("topN", 0)),
        min_share=float(spec.get("minShare", 1.0)),
    )


def _text(value: Any) -> str:
    """Returns a text that is not empty.

    Raises:
      TypeError: It is none.
    """
    if not isinstance(value, str) or not value:
        raise TypeError(f"no text: {value!r}")
    return value


def _number(value: Any) -> float:
    """Returns a number that is not negative.

    Raises:
      TypeError: It is none.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"no number: {value!r}")
    if value < 0:
        raise TypeError(f"negative: {value!r}")
    return value
