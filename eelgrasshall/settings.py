"""The settings of the daemon, read from a JSON file and validated.

An entry host gets its name, zone and addresses from its settings only.  They
are validated before any component starts.  All errors are reported together,
each with its path, so that an operator can correct them all at once.
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
    """Validates an IP address.

    Raises:
      ValueError: The text is not an IP address.
    """
    ipaddress.ip_address(text)
    return text


def _check_url(text: str) -> str:
    """Validates an http or https URL and removes trailing slashes.

    Raises:
      ValueError: The text is not such a URL or has no host.
    """
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("The value is not an http or https URL with a host")
    return text.rstrip("/")


Name = Annotated[
    str, pydantic.Field(min_length=1, max_length=200, pattern=r"^[\w.:-]+$")
]
IpAddress = Annotated[str, pydantic.AfterValidator(_check_ip)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Url = Annotated[str, pydantic.AfterValidator(_check_url)]
Share = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
Seconds = Annotated[float, pydantic.Field(gt=0.0, le=86400.0)]


class ListenAddress(NamedTuple):
    """The address that a listener binds and at which others reach it.

    Attributes:
      host: IP address.
      port: TCP port.
    """

    host: IpAddress
    port: Port


class LogSettings(NamedTuple):
    """Settings of the log.

    Attributes:
      level: The lowest level that is logged.
      json: Whether each line is a JSON object.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    json: bool = False


class PolicySettings(NamedTuple):
    """Settings of how sub-requests are sent to backend servers.

    Attributes:
      hedging: Whether slow sub-requests are hedged.
      ownership: With `owner`, one entry host sends to each service; with
        `alone`, each entry host sends its own sub-requests.
      hedge_percentile: Percentile of a service's latency after which a
        sub-request is hedged.
      hedge_budget: Maximum number of hedges as a share of sub-requests.
      retry_budget: Maximum number of retries as a share of sub-requests.
    """

    hedging: bool = True
    ownership: Literal["owner", "alone"] = "owner"
    hedge_percentile: Annotated[float, pydantic.Field(ge=50.0, lt=100.0)] = 98.0
    hedge_budget: Share = 0.05
    retry_budget: Share = 0.10


class Settings(NamedTuple):
    """The settings of the daemon.

    Attributes:
      name: Name of this entry host, unique among the entry hosts.
      zone: Its availability zone.
      region: The region of that zone.
      caller: Address of the listener for callers.
      peer: Address of the listener for the other entry hosts.
      platform_url: Base URL of the platform's object API.
      admin: Address of the listener for operators.
      store_calls_per_s: Maximum rate of calls to the platform, including
        watches.
      log: Settings of the log.
      invariants_raise: Whether the breach of an invariant raises an exception,
        besides being counted; for tests.
      policy: How sub-requests are sent.
      address_ttl_s: How long callers may cache the addresses of entry hosts.
      drain_s: How long a planned stop waits at most for requests in flight.
      advertised_peer: Address at which the other entry hosts reach the peer
        listener, if it differs from `peer`.
    """

    name: Name
    zone: Name
    region: Name
    caller: ListenAddress
    peer: ListenAddress
    platform_url: Url
    admin: ListenAddress = ListenAddress("127.0.0.1", 7300)
    store_calls_per_s: Annotated[float, pydantic.Field(gt=0.0, le=1e6)] = 50.0
    log: LogSettings = LogSettings()
    invariants_raise: bool = False
    policy: PolicySettings = PolicySettings()
    address_ttl_s: Seconds = 5.0
    drain_s: Seconds = 30.0
    advertised_peer: ListenAddress | None = None

    @property
    def peer_address(self) -> ListenAddress:
        """Address at which the other entry hosts reach the peer listener."""
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
    """Reads and validates a settings file.

    Args:
      path: Path of the file.

    Returns:
      The settings and no problems, or None and every problem found.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        problem = _make_problem(
            str(path),
            f"The file cannot be read: {error.strerror}.",
            "Name a readable JSON file.",
        )
        return None, [problem]
    return parse_settings(data)


def parse_settings(
    data: bytes,
) -> tuple[Settings | None, list[errors.Problem]]:
    """Parses and validates settings given as JSON.

    Args:
      data: The JSON document.

    Returns:
      The settings and no problems, or None and every problem found.
    """
    try:
        settings = _ADAPTER.validate_json(data, strict=True)
    except pydantic.ValidationError as error:
        return None, [_from_pydantic(each) for each in error.errors()]
    problems = _check_listener_addresses(settings)
    return (None, problems) if problems else (settings, [])


def _check_listener_addresses(settings: Settings) -> list[errors.Problem]:
    """Returns a problem for each listener whose address is already used."""
    problems = []
    used_by: dict[ListenAddress, str] = {}
    for name in ("caller", "peer", "admin"):
        address = getattr(settings, name)
        if address in used_by:
            problems.append(
                _make_problem(
                    name,
                    f"It has the same address as {used_by[address]}.",
                    "Give each listener its own port.",
                )
            )
        used_by.setdefault(address, name)
    return problems


def _from_pydantic(error: Any) -> errors.Problem:
    """Converts one error of pydantic to a problem."""
    where = ".".join(str(key) for key in error["loc"]) or "settings"
    remedy = _REMEDIES.get(error["type"], "Correct the value.")
    return _make_problem(where, f"{error['msg']}.", remedy)


def _make_problem(where: str, what: str, remedy: str) -> errors.Problem:
    """Returns a problem of kind `INVALID_SETTINGS`."""
    return errors.Problem(
        kind=errors.ProblemKind.INVALID_SETTINGS,
        where=where,
        what=what,
        remedy=remedy,
    )
