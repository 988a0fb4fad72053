"""Formats of the configuration in the platform's store and between peers.

The store holds a JSON object that includes the latest change ids, newest first.
An operator whose reply was lost can thus find out whether the change was
applied, even if other changes followed it.  Between peers the configuration is
sent compressed, with the store version that it was read at, so that a host that
received it from a peer can watch the store for later versions.
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
# Limit on the decompressed size of a configuration from a peer.
MAX_UNCOMPRESSED_BYTES = 8 * 1024 * 1024

_HISTORY = "history"


class StoredConfiguration(NamedTuple):
    """A valid configuration with its change history.

    Attributes:
      configuration: The configuration.
      history: The latest change ids, newest first.
      store_version: Version of the object in the store; 0 if unknown.
    """

    configuration: configuration.Configuration
    history: tuple[str, ...]
    store_version: int


def encode_value(
    declared: configuration.Configuration, history: tuple[str, ...]
) -> dict[str, Any]:
    """Returns the value of the object in the store.

    Args:
      declared: The configuration.
      history: Ids of the earlier changes, newest first.
    """
    value = json.loads(configuration.format_configuration(declared))
    change_ids = (declared.change_id, *history)
    return {**value, _HISTORY: list(change_ids[:HISTORY_LIMIT])}


def decode_value(
    value: Any, store_version: int
) -> tuple[StoredConfiguration | None, list[errors.Problem]]:
    """Decodes the value of an object in the store and validates it.

    Returns:
      The configuration and no problems, or None and the problems found.
    """
    history: tuple[str, ...] = ()
    if isinstance(value, dict):
        listed_ids = value.get(_HISTORY, [])
        if isinstance(listed_ids, list):
            history = tuple(str(change) for change in listed_ids)
        value = {k: v for k, v in value.items() if k != _HISTORY}
        value = json.dumps(value)
    if not isinstance(value, str):
        return None, [_describe_invalid_object()]
    declared, problems = configuration.parse_configuration(value.encode())
    if declared is None:
        return None, problems
    if declared.version < 1:
        return None, [_describe_unversioned(declared)]
    if declared.change_id not in history:
        history = (declared.change_id, *history)
    return StoredConfiguration(declared, history, store_version), []


def encode_for_peer(stored: StoredConfiguration) -> bytes:
    """Returns a configuration in the compressed format for peers."""
    value = encode_value(stored.configuration, stored.history[1:])
    document = {"store_version": stored.store_version, "value": value}
    return zlib.compress(json.dumps(document).encode())


def decode_from_peer(
    body: bytes,
) -> tuple[StoredConfiguration | None, list[errors.Problem]]:
    """Decodes and validates a configuration received from a peer.

    Returns:
      The configuration and no problems, or None and the problems found.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(body, MAX_UNCOMPRESSED_BYTES)
        document = json.loads(text)
        store_version = int(document["store_version"])
        value = document["value"]
    except (zlib.error, ValueError, TypeError, KeyError):
        return None, [_describe_invalid_object()]
    return decode_value(value, store_version)


def _describe_invalid_object() -> errors.Problem:
    """Returns the problem of an object that is not a configuration."""
    return errors.Problem(
        kind=errors.ProblemKind.INVALID_CONFIGURATION,
        where="configuration",
        what="The object is not a configuration.",
        remedy="Apply a valid configuration to replace it.",
    )


def _describe_unversioned(
    declared: configuration.Configuration,
) -> errors.Problem:
    """Returns the problem of a configuration without a version."""
    return errors.Problem(
        kind=errors.ProblemKind.INVALID_CONFIGURATION,
        where="configuration.version",
        what=f"The version is {declared.version}; it must be at least 1.",
        remedy="Apply it with the command-line tool, which assigns versions.",
    )
