"""Messages of the platform's object API and host list.

The platform's store keeps the durable state.  Each call has a typed result,
so that client code cannot mistake a lost reply for a refusal: the result of a
write whose reply was lost is `UnknownOutcome` until the object has been read
back.  docs/PROTOCOLS.md describes the calls.
"""

import json
from typing import Any
from typing import NamedTuple

from eelgrasshall import errors


class StoredObject(NamedTuple):
    """An object in the store.

    Attributes:
      name: Name, unique within the kind of object.
      version: Version assigned by the store; increases across all objects.
      value: The JSON value.
    """

    name: str
    version: int
    value: Any


class NotFound(NamedTuple):
    """The object does not exist.

    Attributes:
      name: The requested name.
    """

    name: str


class Written(NamedTuple):
    """A write took effect.

    Attributes:
      version: Version that the store assigned to the object.
    """

    version: int


class Deleted(NamedTuple):
    """A deletion took effect.

    Attributes:
      name: Name of the deleted object.
    """

    name: str


class Conflict(NamedTuple):
    """A conditional write or deletion was refused due to a version mismatch.

    Attributes:
      current: The current object.
    """

    current: StoredObject


class NotChanged(NamedTuple):
    """A watch ended without a change.

    Attributes:
      after: Store version that the object did not exceed.
    """

    after: int


class UnknownOutcome(NamedTuple):
    """The reply was lost, so the write may or may not have taken effect.

    Attributes:
      problem: Why the reply was lost.
    """

    problem: errors.Problem


class Listing(NamedTuple):
    """One page of the objects of a kind.

    Attributes:
      objects: The objects, ordered by name.
      next_name: Name after which the next page starts; None on the last page.
    """

    objects: tuple[StoredObject, ...]
    next_name: str | None


class HostEntry(NamedTuple):
    """A host in the platform's host list, which may be out of date.

    Attributes:
      name: Name of the host.
      zone: Name of its availability zone.
      region: Name of the region of the zone.
      host: IP address.
      caller_port: TCP port for callers.
      peer_port: TCP port for peers.
      leaving: Whether the host is about to shut down.
    """

    name: str
    zone: str
    region: str
    host: str
    caller_port: int
    peer_port: int
    leaving: bool


ReadResult = StoredObject | NotFound | errors.Problem
WriteResult = Written | Conflict | UnknownOutcome | errors.Problem
CreateResult = WriteResult
DeleteResult = Deleted | NotFound | Conflict | UnknownOutcome | errors.Problem
WatchResult = StoredObject | NotChanged | errors.Problem
ListResult = Listing | errors.Problem
HostsResult = tuple[HostEntry, ...] | errors.Problem


def parse_object(data: bytes) -> StoredObject:
    """Decodes an object.

    Raises:
      ValueError: The data are malformed.
    """
    return _decode_object(_decode_document(data))


def parse_written(data: bytes) -> Written:
    """Decodes the reply to a write.

    Raises:
      ValueError: The data are malformed.
    """
    return Written(_get_field(_decode_document(data), "version", int))


def parse_listing(data: bytes) -> Listing:
    """Decodes one page of objects.

    Raises:
      ValueError: The data are malformed.
    """
    document = _decode_document(data)
    objects = _get_field(document, "objects", list)
    next_name = document.get("next")
    return Listing(tuple(_decode_object(each) for each in objects), next_name)


def parse_hosts(data: bytes) -> tuple[HostEntry, ...]:
    """Decodes the host list.

    Raises:
      ValueError: The data are malformed.
    """
    entries = _get_field(_decode_document(data), "hosts", list)
    return tuple(_decode_host(each) for each in entries)


def _decode_document(data: bytes) -> dict[str, Any]:
    """Decodes a JSON object.

    Raises:
      ValueError: The data are not a JSON object.
    """
    document = json.loads(data)
    if not isinstance(document, dict):
        raise ValueError("The reply is not a JSON object.")
    return document


def _get_field(document: dict[str, Any], field: str, kind: type) -> Any:
    """Returns the value of a field.

    Raises:
      ValueError: The field is missing or of the wrong type.
    """
    value = document.get(field)
    if not isinstance(value, kind):
        raise ValueError(
            f"The field {field!r} is missing or of the wrong type."
        )
    return value


def _decode_object(document: dict[str, Any]) -> StoredObject:
    """Converts a JSON object to a stored object."""
    name = _get_field(document, "name", str)
    version = _get_field(document, "version", int)
    return StoredObject(name, version, document.get("value"))


def _decode_host(document: dict[str, Any]) -> HostEntry:
    """Converts a JSON object to a host list entry."""
    return HostEntry(
        name=_get_field(document, "name", str),
        zone=_get_field(document, "zone", str),
        region=_get_field(document, "region", str),
        host=_get_field(document, "host", str),
        caller_port=_get_field(document, "caller_port", int),
        peer_port=_get_field(document, "peer_port", int),
        leaving=_get_field(document, "leaving", bool),
    )
