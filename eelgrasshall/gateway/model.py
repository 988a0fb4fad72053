"""Value types of the gateway: configuration, backend servers, entry hosts.

All values are immutable and independent of the source that they come from.
The adapter of the platform on which the gateway runs decodes them.
"""

import enum
import ipaddress
from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a TCP or UDP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Returns the address as `ip:port`."""
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses `ip:port`.

    Raises:
      ValueError: The text is not a valid address.
    """
    ip, _, port = text.rpartition(":")
    number = int(port)
    # A name in place of the address would be looked up.
    ipaddress.ip_address(ip)
    if not 0 < number < 65536:
        raise ValueError(f"invalid address: {text!r}")
    return Address(ip, number)


class WeightedService(NamedTuple):
    """One of the services among which the traffic of a route is split.

    Attributes:
      name: The service.
      weight: Its share of the requests, relative to the route's other services.
    """

    name: str
    weight: float


class Route(NamedTuple):
    """How requests with a given host and path prefix are served.

    Attributes:
      name: Name of the route in the configuration.
      host: The request's host name, in lower case.
      path_prefix: The path prefix; it begins and ends with a slash.
      shards: Services that each request fans out to; empty if a request goes
        to a single service.
      split: The services among which requests are split; empty if `shards` is
        not.
      idempotent: Whether a request may be executed more than once.
      timeout_s: Longest time to wait for an answer, seconds.
      objective_s: Latency objective of an answer, seconds.
      max_attempts: Maximum number of backend servers of one service that may
        execute a request.
      priority: Priority of the route; 0 is the highest.
      top_n: Maximum number of records in the answer to a search.
      min_share: Minimum share of the shards in the answer to a search.
      keyless: Whether requests need no API key where workspaces have keys.
    """

    name: str
    host: str
    path_prefix: str
    shards: tuple[str, ...]
    split: tuple[WeightedService, ...]
    idempotent: bool
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    top_n: int
    min_share: float
    keyless: bool = False


class Service(NamedTuple):
    """Settings that apply to all backend servers of a service.

    Attributes:
      name: Name of the service.
      health_path: Path of the health endpoint.
      max_connections: Connections that a backend server accepts from all
        entry hosts together.
      cold_s: Time for which a server is cold after its start, seconds.
      cold_rate_per_s: Requests per second that a cold backend server can
        handle; 0.0 if the configuration sets no limit.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_rate_per_s: float


class Workspace(NamedTuple):
    """A customer organisation, whose callers identify themselves by API keys.

    Attributes:
      name: Name of the workspace, as backend servers are told it.
      key_digests: Digests of its keys; see `credentials.compute_digest`.
      priority: Priority of its requests, before that of the route; 0 is the
        highest.
      rate_per_s: Requests per second that it may send to all entry hosts
        together; 0.0 if the configuration sets no limit.
      burst: Requests that it may send at once beyond that rate.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class CallerLimits(NamedTuple):
    """Limits on the size and duration of callers' requests.

    Attributes:
      max_header_bytes: Maximum size of the request line and headers, bytes.
      max_body_bytes: Maximum size of the body, bytes.
      header_timeout_s: Longest time from the first byte of a request to the
        end of its headers, seconds.
      idle_timeout_s: Longest time without a request on a connection, seconds.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One version of the operators' configuration.

    Attributes:
      version: Version number; increases with each change.
      routes: All routes.
      services: The services by name.
      limits: Limits on callers' requests.
      workspaces: The workspaces by name; None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    workspaces: dict[str, Workspace] | None = None


class Server(NamedTuple):
    """A backend server, as it registered itself.

    Attributes:
      id: Unique id of the server.
      service: The service that it belongs to.
      address: The address on which it listens.
      zone: Its availability zone.
      slots: Number of requests that it processes concurrently.
      draining: Whether it is about to stop.
      cold_remaining_s: Time for which it stays cold, counted from the
        registration, seconds.
      started_at_ms: Start time of this incarnation, Unix milliseconds; 0 if
        unknown.
      version: Version of its software; empty if unknown.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    cold_remaining_s: float
    started_at_ms: int
    version: str = ""


class RolloutState(enum.Enum):
    """The state of a rollout, as its status in the store tells."""

    NEW = "new"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"


class Rollout(NamedTuple):
    """An order to move a service's requests to servers of another version.

    Attributes:
      service: The service.
      target_version: The version to move to.
      period_s: Time from the order to its deadline, seconds.
      state: What the status states for this target version.
    """

    service: str
    target_version: str
    period_s: float
    state: RolloutState = RolloutState.NEW


class Host(NamedTuple):
    """An entry host.

    Attributes:
      name: Unique name of the host.
      zone: Its availability zone.
      caller_address: The address for callers' connections.
      control_address: The address for HTTP requests of other entry hosts.
      peer_address: The address for datagrams of other entry hosts.
      cores: Number of processor cores that it may use; may be fractional.
      link_mbps: Bandwidth of its network link, Mbit/s.
    """

    name: str
    zone: str
    caller_address: Address
    control_address: Address
    peer_address: Address
    cores: float
    link_mbps: float


class HeaderNames(NamedTuple):
    """Names of the HTTP headers that the gateway uses, in lower case.

    Attributes:
      request_id: Id of the caller's try of a request; backend servers echo it.
      time_budget: Time for which the sender still waits, milliseconds.
      seal: A backend server's signature of its response.
      target: The only backend server that may execute the request.
      not_run: Present if the backend server did not execute the request.
      retry_after: Seconds after which a caller may retry; in a 503 of a backend
        server, seconds for which it wants no further request.
      leaving: "1" in all responses of a backend server that is about to stop.
      rate_limit: In responses of a backend server in need, the requests per
        second that it takes from all entry hosts together.
      server_id: The backend server that sent a response.
      part_seals: Signatures of the shards' parts in the answer to a search.
      parts_missing: Number of shards that are missing from that answer.
      workspace: Name of the workspace that a request belongs to, as servers are
        told it.
    """

    request_id: bytes
    time_budget: bytes
    seal: bytes
    target: bytes
    not_run: bytes
    retry_after: bytes
    leaving: bytes
    rate_limit: bytes
    server_id: bytes
    part_seals: bytes
    parts_missing: bytes
    workspace: bytes
