"""Messages of the platform's object API and host list.

The platform keeps what must last.  Each call gives a typed result, so that a
caller of the client cannot mistake a lost reply for a refusal: a write whose
reply was lost is `Unknown` until it has been read back.  The calls themselves
are described in docs/PROTOCOLS.md.
"""

import json
from typing import Any
from typing import NamedTuple

from eelgrasshall import errors


class StoredObject(NamedTuple):
    """An object of the store.

    Attributes:
      name: Its name within its kind.
      version: The store's version of it; rises over the whole store.
      value: Its JSON value.
    """

    name: str
    version: int
    value: Any


class Absent(NamedTuple):
    """There is no such object.

    Attributes:
      name: The name that was asked for.
    """

    name: str


class Written(NamedTuple):
    """A write took effect.

    Attributes:
      version: The store's version of what was written.
    """

    version: int


class Deleted(NamedTuple):
    """A deletion took effect.

    Attributes:
      name: The name of what was deleted.
    """

    name: str


class Conflict(NamedTuple):
    """A conditional write was refused, as the object has another version.

    Attributes:
      current: The object as it is.
    """

    current: StoredObject


class NotChanged(NamedTuple):
    """A watch ended without news.

    Attributes:
      after: The version after which it watched.
    """

    after: int


class Unknown(NamedTuple):
    """The reply was lost; the write may or may not have taken effect.

    Attributes:
      problem: What happened to the reply.
    """

    problem: errors.Problem


class Listing(NamedTuple):
    """One page of the objects of a kind.

    Attributes:
      objects: The objects, by name.
      following: Name to continue after, or None at the end.
    """

    objects: tuple[StoredObject, ...]
    following: str | None


class HostEntry(NamedTuple):
    """One host of the platform's list, which lags behind the truth.

    Attributes:
      name: The host's name.
      zone: Its availability zone.
      region: The region of the zone.
      host: IP address.
      caller_port: TCP port for callers.
      peer_port: TCP port for peers.
      leaving: Whether the host is about to go.
    """

    name: str
    zone: str
    region: str
    host: str
    caller_port: int
    peer_port: int
    leaving: bool


ReadResult = StoredObject | Absent | errors.Problem
WriteResult = Written | Conflict | Unknown | errors.Problem
CreateResult = WriteResult
DeleteResult = Deleted | Absent | Conflict | Unknown | errors.Problem
WatchResult = StoredObject | NotChanged | errors.Problem
ListResult = Listing | errors.Problem
HostsResult = tuple[HostEntry, ...] | errors.Problem


def parse_object(data: bytes) -> StoredObject:
    """Reads an object.

    Raises:
      ValueError: The data are not of that form.
    """
    return _take_object(_load(data))


def parse_written(data: bytes) -> Written:
    """Reads the reply to a write.

    Raises:
      ValueError: The data are not of that form.
    """
    return Written(_take(_load(data), "version", int))


def parse_listing(data: bytes) -> Listing:
    """Reads one page of objects.

    Raises:
      ValueError: The data are not of that form.
    """
    document = _load(data)
    objects = _take(document, "objects", list)
    following = document.get("next")
    return Listing(tuple(_take_object(each) for each in objects), following)


def parse_hosts(data: bytes) -> tuple[HostEntry, ...]:
    """Reads the host list.

    Raises:
      ValueError: The data are not of that form.
    """
    entries = _take(_load(data), "hosts", list)
    return tuple(_take_host(each) for each in entries)


def _load(data: bytes) -> dict[str, Any]:
    """Reads a JSON object."""
    document = json.loads(data)
    if not isinstance(document, dict):
        raise ValueError("The reply is no JSON object.")
    return document


def _take(document: dict[str, Any], field: str, kind: type) -> Any:
    """Returns a field after checking its type."""
    value = document.get(field)
    if not isinstance(value, kind):
        raise ValueError(f"The field {field!r} is missing or mistyped.")
    return value


def _take_object(document: dict[str, Any]) -> StoredObject:
    """Reads an object out of a reply."""
    name = _take(document, "name", str)
    version = _take(document, "version", int)
    return StoredObject(name, version, document.get("value"))


def _take_host(document: dict[str, Any]) -> HostEntry:
    """Reads an entry of the host list."""
    return HostEntry(
        name=_take(document, "name", str),
        zone=_take(document, "zone", str),
        region=_take(document, "region", str),
        host=_take(document, "host", str),
        caller_port=_take(document, "caller_port", int),
        peer_port=_take(document, "peer_port", int),
        leaving=_take(document, "leaving", bool),
    )
