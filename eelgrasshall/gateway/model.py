"""The values that the gateway works on.

All are immutable.  They say what a configuration, a backend server or another
entry host is, whatever carried the news of it; decoding them is left to the
adapter of the platform that the gateway runs on.
"""

from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the address as `host:port`."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Reads `host:port`.

    Raises:
      ValueError: The text is no address.
    """
    host, _, port = text.rpartition(":")
    number = int(port)
    if not host or not 0 < number < 65536:
        raise ValueError(f"no address: {text!r}")
    return Address(host, number)


class WeightedService(NamedTuple):
    """One of the services among which a route's requests are divided.

    Attributes:
      name: The service.
      weight: Its share, relative to the others of the route.
    """

    name: str
    weight: float


class Route(NamedTuple):
    """How requests with one host and path prefix are served.

    Attributes:
      name: The operator's name of the route.
      host: The host, in lower case.
      prefix: The path prefix; it begins and ends with a slash.
      shards: Services that each request is sent to, if it is a search over
        all of them; empty for a request to one service.
      split: The services among which requests are divided, if `shards` is
        empty.
      repeatable: Whether a request may run more than once.
      timeout_s: Longest time in which the operator wants an answer, seconds.
      objective_s: Time within which an answer is worth most, seconds.
      max_attempts: Most backend servers of one service that may run a request.
      priority: Rank of the route; 0 is the highest.
      top: Number of records in the answer of a search.
      least_share: Least share of the shards in the answer of a search.
    """

    name: str
    host: str
    prefix: str
    shards: tuple[str, ...]
    split: tuple[WeightedService, ...]
    repeatable: bool
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    top: int
    least_share: float


class Service(NamedTuple):
    """What holds for all backend servers of a service.

    Attributes:
      name: The service.
      health_path: Path of the health endpoint.
      max_connections: Connections that a backend server accepts from all
        entry hosts together.
      cold_s: Seconds for which a server is cold after it has started.
      cold_rate: Requests a second that a cold backend server bears; 0.0 if
        the operator states no limit.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_rate: float


class CallerLimits(NamedTuple):
    """What a caller may send and how long it may take.

    Attributes:
      header_bytes: Most bytes of a request's head.
      body_bytes: Most bytes of its body.
      header_timeout_s: Longest time from its first byte to the end of its
        head, seconds.
      idle_timeout_s: Longest time without a request on a connection, seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One version of what the operators declared.

    Attributes:
      version: Rises with each change.
      routes: All routes.
      services: The services by name.
      limits: Limits on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


class Server(NamedTuple):
    """What a backend server says of itself.

    Attributes:
      id: Its name, unique among all.
      service: The service that it holds records of.
      address: Where it listens.
      zone: Its availability zone.
      slots: Requests that it works on at once.
      draining: Whether it is about to leave.
      cold_s: Seconds for which it stays slow, at the time of the report.
      born_ms: Start of this incarnation, Unix milliseconds; 0 if not told.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    cold_s: float
    born_ms: int


class Host(NamedTuple):
    """Another entry host, or this one.

    Attributes:
      name: Its name.
      zone: Its availability zone.
      callers: Where callers connect.
      control: Where other entry hosts fetch its belief over HTTP.
      peers: Where it receives datagrams of other entry hosts.
      cores: Processor cores that it may use, as a number of full ones.
      link_mbps: Bandwidth of its link, Mbit/s.
    """

    name: str
    zone: str
    callers: Address
    control: Address
    peers: Address
    cores: float
    link_mbps: float


class HeaderNames(NamedTuple):
    """The names of the headers that carry what the gateway needs.

    All are in lower case, as the parser gives them.

    Attributes:
      request_id: Names one attempt of a caller; backend servers echo it.
      budget: Milliseconds for which the sender still waits.
      seal: A backend server's signature of its response.
      target: The only backend server that may run the request.
      not_run: Present if the backend server did not run the request.
      retry_after: Seconds after which a caller may come back.
      server_id: The backend server that gave a response.
      part_seals: Signatures of the parts in a search's answer.
      parts_missing: Number of shards that are not in it.
    """

    request_id: bytes
    budget: bytes
    seal: bytes
    target: bytes
    not_run: bytes
    retry_after: bytes
    server_id: bytes
    part_seals: bytes
    parts_missing: bytes
