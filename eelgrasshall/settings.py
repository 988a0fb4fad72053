"""The settings of one process, read from JSON and checked as a whole.

An entry host learns its name, zone and addresses from its settings and from
nowhere else.  They are checked before anything starts, and every mistake is
reported at once with its path, so that an operator corrects a file in one go.
"""

import ipaddress
import pathlib
from typing import Annotated
from typing import Any
from typing import Literal
from typing import NamedTuple
import urllib.parse

import pydantic

from eelgrasshall import errors


def _check_ip(text: str) -> str:
    """Accepts an IP address and nothing else."""
    ipaddress.ip_address(text)
    return text


def _check_url(text: str) -> str:
    """Accepts an http or https URL with a host."""
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("It is not an http URL with a host")
    return text.rstrip("/")


Name = Annotated[
    str, pydantic.Field(min_length=1, max_length=200, pattern=r"^[\w.:-]+$")
]
IpAddress = Annotated[str, pydantic.AfterValidator(_check_ip)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Url = Annotated[str, pydantic.AfterValidator(_check_url)]
Share = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
Seconds = Annotated[float, pydantic.Field(gt=0.0, le=86400.0)]


class Listener(NamedTuple):
    """Where a listener is opened, which is also where others find it.

    Attributes:
      host: IP address.
      port: TCP port.
    """

    host: IpAddress
    port: Port


class LogSettings(NamedTuple):
    """What is logged and how.

    Attributes:
      level: The least severe level that is logged.
      json: Whether each line is a JSON object.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    json: bool = False


class PolicySettings(NamedTuple):
    """How sub-requests are sent to backend servers.

    Attributes:
      hedging: Whether slow sub-requests are hedged.
      ownership: `owner` has one entry host send to each service; `alone` has
        each entry host send for itself.
      hedge_percentile: Percentile of a service's latency after which a
        sub-request is hedged.
      hedge_budget: Most hedges as a share of sub-requests.
      retry_budget: Most retries as a share of sub-requests.
    """

    hedging: bool = True
    ownership: Literal["owner", "alone"] = "owner"
    hedge_percentile: Annotated[float, pydantic.Field(ge=50.0, lt=100.0)] = 98.0
    hedge_budget: Share = 0.05
    retry_budget: Share = 0.10


class Settings(NamedTuple):
    """Everything that a process is told at its start.

    Attributes:
      name: Name of this entry host, unique among the processes.
      zone: Its availability zone.
      region: The region of that zone.
      caller: Where callers connect.
      peer: Where the other entry hosts connect.
      platform_url: Base URL of the platform's object API.
      admin: Where operators connect.
      store_calls_per_s: Most calls a second to the platform, watches included.
      log: What is logged.
      invariants_raise: Whether a broken invariant raises instead of being
        counted; for tests.
      policy: How sub-requests are sent.
      address_ttl_s: How long callers may keep an address answer.
      drain_s: Most time that a planned stop waits for requests in flight.
      advertised_peer: Where the other entry hosts reach the peer listener, if
        that is another address than the one it opens.
    """

    name: Name
    zone: Name
    region: Name
    caller: Listener
    peer: Listener
    platform_url: Url
    admin: Listener = Listener("127.0.0.1", 7300)
    store_calls_per_s: Annotated[float, pydantic.Field(gt=0.0, le=1e6)] = 50.0
    log: LogSettings = LogSettings()
    invariants_raise: bool = False
    policy: PolicySettings = PolicySettings()
    address_ttl_s: Seconds = 5.0
    drain_s: Seconds = 30.0
    advertised_peer: Listener | None = None

    @property
    def peer_address(self) -> Listener:
        """Where the other entry hosts reach the peer listener."""
        return self.advertised_peer or self.peer


_ADAPTER = pydantic.TypeAdapter(Settings)

_REMEDIES = {
    "missing": "Add it.",
    "extra_forbidden": "Remove the key or correct its spelling.",
    "json_invalid": "Correct the JSON.",
}


def load_settings(
    path: str | pathlib.Path,
) -> tuple[Settings | None, list[errors.Problem]]:
    """Reads and checks a settings file.

    Args:
      path: The file.

    Returns:
      The settings and no problems, or None and every problem found.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        problem = _invalid(
            str(path),
            f"The file cannot be read: {error.strerror}.",
            "Name a readable JSON file.",
        )
        return None, [problem]
    return parse_settings(data)


def parse_settings(
    data: bytes,
) -> tuple[Settings | None, list[errors.Problem]]:
    """Checks settings given as JSON.

    Args:
      data: The JSON document.

    Returns:
      The settings and no problems, or None and every problem found.
    """
    try:
        settings = _ADAPTER.validate_json(data, strict=True)
    except pydantic.ValidationError as error:
        return None, [_from_pydantic(each) for each in error.errors()]
    problems = _check_listeners(settings)
    return (None, problems) if problems else (settings, [])


def _check_listeners(settings: Settings) -> list[errors.Problem]:
    """Finds listeners that would take each other's address."""
    problems = []
    taken: dict[Listener, str] = {}
    for part in ("caller", "peer", "admin"):
        listener = getattr(settings, part)
        if listener in taken:
            problems.append(
                _invalid(
                    part,
                    f"It has the same address as {taken[listener]}.",
                    "Give each listener its own port.",
                )
            )
        taken.setdefault(listener, part)
    return problems


def _from_pydantic(error: Any) -> errors.Problem:
    """Turns one finding of pydantic into a problem."""
    where = ".".join(str(step) for step in error["loc"]) or "settings"
    remedy = _REMEDIES.get(error["type"], "Correct the value.")
    return _invalid(where, f"{error['msg']}.", remedy)


def _invalid(where: str, what: str, remedy: str) -> errors.Problem:
    """Returns a problem of invalid settings."""
    return errors.Problem(
        kind=errors.ProblemKind.INVALID_SETTINGS,
        where=where,
        what=what,
        remedy=remedy,
    )
