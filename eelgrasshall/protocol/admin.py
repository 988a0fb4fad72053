"""Messages of the admin listener that the command line reads.

The daemon gives them and the command line reads them, so their form stands
here once and is checked on arrival.
"""

import json
from typing import Literal
from typing import NamedTuple

import pydantic


class MemberStatus(NamedTuple):
    """One entry host as a daemon sees it.

    Attributes:
      name: Its name.
      zone: Its availability zone.
      state: `joining`, `alive`, `suspect` or `leaving`.
      configuration_version: The version that it has in force, None if it has
        not been heard.
    """

    name: str
    zone: str
    state: str
    configuration_version: int | None


class Status(NamedTuple):
    """The short state of a daemon.

    Attributes:
      name: Its name.
      zone: Its availability zone.
      state: Whether it takes new work.
      configuration_version: The version that it has in force, 0 for none.
      members: The live entry hosts that it sees, itself included.
      store_reachable: Whether the platform's store answered of late.
      owned_services: Number of services that it owns.
      breaches: Breaches of promises since its start.
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
    """Returns a status as JSON."""
    members = [member._asdict() for member in status.members]
    return json.dumps({**status._asdict(), "members": members}).encode()


def parse_status(data: bytes) -> Status | None:
    """Reads a status; gives None for anything else."""
    try:
        return _ADAPTER.validate_json(data)
    except pydantic.ValidationError:
        return None
