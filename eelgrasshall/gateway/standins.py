"""Stand-ins for the gateway's tests: a connection without sockets."""

import asyncio
import random
import zlib

from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import connections
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import upstream

NAMES = model.HeaderNames(
    request_id=b"x-id",
    budget=b"x-budget",
    seal=b"x-seal",
    target=b"x-target",
    not_run=b"x-not-run",
    retry_after=b"retry-after",
    server_id=b"x-server",
    part_seals=b"x-parts",
    parts_missing=b"x-missing",
)


def make_server(
    server_id: str = "s1",
    *,
    service: str = "orders",
    zone: str = "a",
    port: int = 9,
    slots: int = 6,
    draining: bool = False,
    cold_s: float = 0.0,
    born_ms: int = 1,
) -> model.Server:
    """Returns a backend server's description."""
    return model.Server(
        id=server_id,
        service=service,
        address=model.Address("127.0.0.1", port),
        zone=zone,
        slots=slots,
        draining=draining,
        cold_s=cold_s,
        born_ms=born_ms,
    )


def make_service(
    name: str = "orders", *, max_connections: int = 46, cold_rate: float = 0.0
) -> model.Service:
    """Returns a service."""
    return model.Service(
        name=name,
        health_path="/health",
        max_connections=max_connections,
        cold_s=3.0,
        cold_rate=cold_rate,
    )


def encode_reply(request_id: str, body: bytes) -> bytes:
    """Returns a signed success as bytes."""
    return (
        b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: %s\r\n"
        b"Content-Length: %d\r\n\r\n%s"
        % (request_id.encode(), _seal(request_id, body), len(body), body)
    )


def _seal(request_id: str, body: bytes) -> bytes:
    """Returns a signature that differs with what it stands for."""
    return b"seal-%s-%s" % (request_id.encode(), b"%x" % zlib.crc32(body))


class Transport(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self):
        super().__init__()
        self.written: list[bytes] = []
        self.closed = False
        self.unsent = 0

    def write(self, data: bytes) -> None:
        """Keeps bytes."""
        self.written.append(data)

    def abort(self) -> None:
        """Closes."""
        self.closed = True

    def close(self) -> None:
        """Closes."""
        self.closed = True

    def get_write_buffer_size(self) -> int:
        """Returns the bytes that are said not to be sent yet."""
        return self.unsent

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Returns nothing, as there is no socket."""
        return default


class Observer:
    """Keeps what backend servers tell."""

    def __init__(self):
        self.lost: list[attempts.Attempt] = []
        self.unreachable: list[upstream.Backend] = []
        self.misdirected: list[upstream.Backend] = []

    def notice_connection_lost(
        self, backend: upstream.Backend, attempt: attempts.Attempt
    ) -> None:
        """Keeps an attempt whose connection ended."""
        self.lost.append(attempt)

    def notice_unreachable(self, backend: upstream.Backend) -> None:
        """Keeps a server that could not be reached."""
        self.unreachable.append(backend)

    def notice_misdirected(self, backend: upstream.Backend) -> None:
        """Keeps a server at whose address another one is."""
        self.misdirected.append(backend)


class Collector:
    """Collects the outcomes of attempts."""

    def __init__(self):
        self.outcomes: dict[attempts.Attempt, object] = {}
        self.settled = asyncio.Event()

    def settle(
        self,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Keeps an outcome."""
        assert attempt not in self.outcomes
        self.outcomes[attempt] = outcome
        self.settled.set()

    def reply(self, attempt: attempts.Attempt) -> messages.Reply:
        """Returns the response of an attempt."""
        outcome = self.outcomes[attempt]
        assert isinstance(outcome, messages.Reply)
        return outcome

    def failure(self, attempt: attempts.Attempt) -> messages.FailureKind:
        """Returns why an attempt has no response."""
        outcome = self.outcomes[attempt]
        assert isinstance(outcome, messages.Failure)
        return outcome.kind


def make_attempt(
    owner: attempts.Owner,
    request_id: str,
    *,
    left_s: float = 5.0,
    fresh: bool = False,
) -> attempts.Attempt:
    """Returns an attempt that sends the server's id and the time left."""
    return attempts.Attempt(
        owner=owner,
        part=None,
        request_id=request_id.encode(),
        encode=lambda left, server_id: b"%d %s" % (left, server_id.encode()),
        deadline_s=asyncio.get_running_loop().time() + left_s,
        expected_s=0.01,
        fresh=fresh,
    )


class Link:
    """A backend server with one open connection that has no socket.

    Args:
      server: The server.
      service: Its service.
      max_open: Most connections to it.
    """

    def __init__(
        self,
        *,
        server: model.Server | None = None,
        service: model.Service | None = None,
        max_open: int = 4,
    ):
        self.observer = Observer()
        self.counts: list[str] = []
        self.backend = upstream.Backend(
            server=server or make_server(),
            service=service or make_service(),
            environment=upstream.Environment(
                loop=asyncio.get_running_loop(),
                names=NAMES,
                observer=self.observer,
                count=self.counts.append,
            ),
            max_open=max_open,
        )
        self.transport = Transport()
        self.connection = connections.Connection(backend=self.backend)
        self.connection.connection_made(self.transport)
        self.backend.adopt(self.connection)

    def send(
        self, request_id: str, *, left_s: float = 5.0
    ) -> tuple[attempts.Attempt, Collector]:
        """Sends an attempt on the connection."""
        owner = Collector()
        attempt = make_attempt(owner, request_id, left_s=left_s)
        self.backend.start(attempt)
        assert attempt.connection is self.connection
        return attempt, owner

    def feed(self, data: bytes) -> None:
        """Lets the server send bytes."""
        self.connection.data_received(data)


def make_route(
    name: str = "find",
    *,
    prefix: str = "/find/",
    shards: tuple[str, ...] = (),
    service: str = "orders",
    repeatable: bool = True,
    objective_s: float = 0.2,
    timeout_s: float = 2.0,
    max_attempts: int = 2,
    top: int = 3,
    least_share: float = 0.75,
) -> model.Route:
    """Returns a route."""
    split = () if shards else (model.WeightedService(service, 1.0),)
    return model.Route(
        name=name,
        host="orders.example",
        prefix=prefix,
        shards=shards,
        split=split,
        repeatable=repeatable,
        timeout_s=timeout_s,
        objective_s=objective_s,
        max_attempts=max_attempts,
        priority=0,
        top=top,
        least_share=least_share,
    )


def make_configuration(
    version: int = 1,
    *,
    routes: tuple[model.Route, ...] = (),
    services: tuple[str, ...] = ("orders",),
) -> model.Configuration:
    """Returns a configuration."""
    return model.Configuration(
        version=version,
        routes=routes,
        services={name: make_service(name) for name in services},
        limits=model.CallerLimits(),
    )


def make_host(
    name: str = "h1",
    *,
    zone: str = "a",
    port: int = 7000,
    cores: float = 1.0,
    link_mbps: float = 1000.0,
) -> model.Host:
    """Returns an entry host."""
    return model.Host(
        name=name,
        zone=zone,
        callers=model.Address("127.0.0.1", port),
        control=model.Address("127.0.0.1", port + 1),
        peers=model.Address("127.0.0.1", port + 2),
        cores=cores,
        link_mbps=link_mbps,
    )


def make_request(
    target: str = "/find/x",
    *,
    method: str = "GET",
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b"",
    received_s: float | None = None,
) -> messages.Request:
    """Returns a caller's request."""
    given = [("Host", "orders.example"), ("X-Id", "a1"), *headers]
    if received_s is None:
        received_s = asyncio.get_running_loop().time()
    return messages.Request(
        method=method.encode(),
        target=target.encode(),
        headers=[(k.encode(), v.encode()) for k, v in given],
        body=body,
        received_s=received_s,
    )


class Context:
    """A host's view for fan-outs, over links without sockets.

    Args:
      shards: Names of the services.
      replicas: Backend servers of each.
      bound: The bound on extra attempts.
    """

    def __init__(
        self,
        shards: tuple[str, ...],
        *,
        replicas: int = 3,
        bound: hedging.ExtraAttemptBound | None = None,
    ):
        self.loop = asyncio.get_running_loop()
        self.names = NAMES
        self.random = random.Random(7)
        self.zone = "a"
        self.counts: list[str] = []
        self.links = {
            shard: [
                Link(
                    server=make_server(f"{shard}-{i}", service=shard),
                    service=make_service(shard),
                )
                for i in range(replicas)
            ]
            for shard in shards
        }
        bound = bound or hedging.ExtraAttemptBound(0.2, 50.0)
        self._allowances = {
            shard: hedging.ExtraAttemptBudget(bound=bound, hosts=1)
            for shard in shards
        }
        self._latencies: dict[str, hedging.LatencyWindow] = {}

    def find_candidates(self, service: str) -> list[upstream.Backend]:
        """Returns the backend servers of a service."""
        return [link.backend for link in self.links.get(service, ())]

    def find_allowance(self, service: str) -> hedging.ExtraAttemptBudget:
        """Returns the allowance of a service."""
        return self._allowances[service]

    def find_latencies(self, route: model.Route) -> hedging.LatencyWindow:
        """Returns the latencies of a route."""
        return self._latencies.setdefault(
            route.name, hedging.LatencyWindow(initial_latency_s=0.02)
        )

    def count(self, name: str) -> None:
        """Keeps a count."""
        self.counts.append(name)

    def busy(self, shard: str) -> list[Link]:
        """Returns the links on which an attempt waits."""
        return [k for k in self.links[shard] if k.connection.attempt]

    def reply(self, shard: str, body: bytes, *, request_id: str = "a1") -> None:
        """Lets the server that works on a shard answer."""
        self.busy(shard)[0].feed(encode_reply(request_id, body))


class Log:
    """Keeps what is logged."""

    def __init__(self):
        self.lines: list[tuple[str, dict]] = []

    def record(self, event: str, **fields: object) -> None:
        """Keeps a line."""
        self.lines.append((event, fields))

    def events(self, event: str) -> list[dict]:
        """Returns the lines of one event."""
        return [fields for name, fields in self.lines if name == event]
