"""The form of the configuration in the platform's store and between peers.

In the store it is a JSON object with a list of the latest change ids beside
it, newest first.  An operator whose reply was lost finds the own change there
even if another change has been built on it since.  Between peers it travels
compressed, with the store version that it came from, so that a host that got
it from a peer can watch the store for what comes after.
"""

import json
from typing import Any
from typing import NamedTuple
import zlib

from eelgrasshall import errors
from eelgrasshall.state import configuration

OBJECT_KIND = "configurations"
OBJECT_NAME = "current"
HISTORY_LIMIT = 16
# Bounds what a body from a peer may unpack to.
BODY_LIMIT_BYTES = 8 * 1024 * 1024

_HISTORY = "history"


class Stored(NamedTuple):
    """A valid configuration with the change ids that led to it.

    Attributes:
      configuration: The configuration.
      history: The latest change ids, newest first.
      store_version: The store's version of the object, 0 if not known.
    """

    configuration: configuration.Configuration
    history: tuple[str, ...]
    store_version: int


def encode_value(
    declared: configuration.Configuration, history: tuple[str, ...]
) -> dict[str, Any]:
    """Returns the object's value for the store."""
    value = json.loads(configuration.format_configuration(declared))
    changes = (declared.change_id, *history)
    return {**value, _HISTORY: list(changes[:HISTORY_LIMIT])}


def decode_value(
    value: Any, store_version: int
) -> tuple[Stored | None, list[errors.Problem]]:
    """Reads the object's value, checking the configuration as a whole."""
    history: tuple[str, ...] = ()
    if isinstance(value, dict):
        listed = value.get(_HISTORY, [])
        if isinstance(listed, list):
            history = tuple(str(change) for change in listed)
        value = {k: v for k, v in value.items() if k != _HISTORY}
        value = json.dumps(value)
    if not isinstance(value, str):
        return None, [_describe_alien()]
    declared, problems = configuration.parse_configuration(value.encode())
    if declared is None:
        return None, problems
    if declared.version < 1:
        return None, [_describe_unversioned(declared)]
    if declared.change_id not in history:
        history = (declared.change_id, *history)
    return Stored(declared, history, store_version), []


def pack(stored: Stored) -> bytes:
    """Returns a configuration in the form for peers."""
    value = encode_value(stored.configuration, stored.history[1:])
    document = {"store_version": stored.store_version, "value": value}
    return zlib.compress(json.dumps(document).encode())


def unpack(body: bytes) -> tuple[Stored | None, list[errors.Problem]]:
    """Reads a configuration of a peer, checking it as a whole."""
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(body, BODY_LIMIT_BYTES)
        document = json.loads(text)
        store_version = int(document["store_version"])
        value = document["value"]
    except (zlib.error, ValueError, TypeError, KeyError):
        return None, [_describe_alien()]
    return decode_value(value, store_version)


def _describe_alien() -> errors.Problem:
    """Returns the problem of an object that is no configuration."""
    return errors.Problem(
        kind=errors.ProblemKind.INVALID_CONFIGURATION,
        where="configuration",
        what="The object is no configuration.",
        remedy="Apply a valid configuration over it.",
    )


def _describe_unversioned(
    declared: configuration.Configuration,
) -> errors.Problem:
    """Returns the problem of a configuration without a version."""
    return errors.Problem(
        kind=errors.ProblemKind.INVALID_CONFIGURATION,
        where="configuration.version",
        what=f"The version is {declared.version}, but must be at least 1.",
        remedy="Apply configurations by the command line, which numbers them.",
    )
