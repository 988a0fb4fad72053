"""Messages from the admin listener to the command line.

The daemon encodes them and the command line decodes and validates them, so
both share the definitions in this module.
"""

import json
from typing import Literal
from typing import NamedTuple

import pydantic


class MemberStatus(NamedTuple):
    """An entry host as seen by one daemon.

    Attributes:
      name: Name of the host.
      zone: Name of its availability zone.
      state: `joining`, `alive`, `suspect` or `leaving`.
      configuration_version: Version of the configuration in force there; None
        if the daemon has not received it.
    """

    name: str
    zone: str
    state: str
    configuration_version: int | None


class Status(NamedTuple):
    """Summary of the state of a daemon.

    Attributes:
      name: Name of the host.
      zone: Name of its availability zone.
      state: `serving` if it accepts new work, otherwise `leaving`.
      configuration_version: Version of the configuration in force; 0 if none.
      members: The live entry hosts that it knows, including itself.
      store_reachable: Whether the platform's store answered recently.
      owned_services: Number of services that it owns.
      breaches: Invariant breaches since the process started.
    """

    name: str
    zone: str
    state: Literal["serving", "leaving"]
    configuration_version: int
    members: tuple[MemberStatus, ...]
    store_reachable: bool
    owned_services: int
    breaches: int


_ADAPTER = pydantic.TypeAdapter(Status)


def format_status(status: Status) -> bytes:
    """Returns a status encoded as JSON."""
    members = [member._asdict() for member in status.members]
    return json.dumps({**status._asdict(), "members": members}).encode()


def parse_status(data: bytes) -> Status | None:
    """Decodes a status; returns None if the data are malformed."""
    try:
        return _ADAPTER.validate_json(data)
    except pydantic.ValidationError:
        return None
