"""Fakes and sample values for the gateway's tests; they open no sockets."""

import asyncio
import random
import zlib

from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import connections
from eelgrasshall.gateway import credentials
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import upstream

NAMES = model.HeaderNames(
    request_id=b"x-id",
    time_budget=b"x-budget",
    seal=b"x-seal",
    target=b"x-target",
    not_run=b"x-not-run",
    retry_after=b"retry-after",
    leaving=b"x-leaving",
    rate_limit=b"x-limit",
    server_id=b"x-server",
    part_seals=b"x-parts",
    parts_missing=b"x-missing",
    workspace=b"x-workspace",
)


def make_server(
    server_id: str = "s1",
    *,
    service: str = "orders",
    zone: str = "a",
    port: int = 9,
    slots: int = 6,
    draining: bool = False,
    cold_remaining_s: float = 0.0,
    started_at_ms: int = 1,
    version: str = "",
) -> model.Server:
    """Returns a registered backend server."""
    return model.Server(
        id=server_id,
        service=service,
        address=model.Address("127.0.0.1", port),
        zone=zone,
        slots=slots,
        draining=draining,
        cold_remaining_s=cold_remaining_s,
        started_at_ms=started_at_ms,
        version=version,
    )


def make_service(
    name: str = "orders",
    *,
    max_connections: int = 46,
    cold_rate_per_s: float = 0.0,
) -> model.Service:
    """Returns the settings of a service."""
    return model.Service(
        name=name,
        health_path="/health",
        max_connections=max_connections,
        cold_s=3.0,
        cold_rate_per_s=cold_rate_per_s,
    )


def encode_reply(
    request_id: str, body: bytes, *, rate_limit: float | None = None
) -> bytes:
    """Returns an encoded 200 response with a signature.

    Args:
      request_id: Id of the request.
      body: The body.
      rate_limit: The requests per second that the server states as its most;
        None if it states none.
    """
    limit = b"" if rate_limit is None else b"X-Limit: %.1f\r\n" % rate_limit
    return (
        b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: %s\r\n%s"
        b"Content-Length: %d\r\n\r\n%s"
        % (request_id.encode(), _sign(request_id, body), limit, len(body), body)
    )


def _sign(request_id: str, body: bytes) -> bytes:
    """Returns a signature that depends on the request id and the body."""
    return b"seal-%s-%s" % (request_id.encode(), b"%x" % zlib.crc32(body))


class Transport(asyncio.Transport):
    """A transport that records what is written to it."""

    def __init__(self):
        super().__init__()
        self.written: list[bytes] = []
        self.closed = False
        self.unsent_bytes = 0

    def write(self, data: bytes) -> None:
        """Records the bytes."""
        self.written.append(data)

    def abort(self) -> None:
        """Marks the transport as closed."""
        self.closed = True

    def close(self) -> None:
        """Marks the transport as closed."""
        self.closed = True

    def is_closing(self) -> bool:
        """Returns whether it is closed."""
        return self.closed

    def get_write_buffer_size(self) -> int:
        """Returns the number of unsent bytes that a test has set."""
        return self.unsent_bytes

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Returns the default, as there is no socket."""
        return default


class Observer:
    """An observer that records the events of backend servers."""

    def __init__(self):
        self.unanswered: list[attempts.Attempt] = []
        self.began_s: list[float] = []
        self.alive: list[upstream.Backend] = []
        self.blocked: set[attempts.Attempt] = set()
        self.connected: list[upstream.Backend] = []
        self.unreachable: list[upstream.Backend] = []
        self.ended: list[upstream.Backend] = []
        self.misdirected: list[upstream.Backend] = []
        self.leaving: list[upstream.Backend] = []
        self.pauses_s: list[float] = []
        self.stated_rates: list[tuple[float | None, float]] = []
        self.rejections: list[connections.Rejection] = []

    def on_unanswered(
        self,
        backend: upstream.Backend,
        attempt: attempts.Attempt,
        began_s: float,
    ) -> None:
        """Records an attempt that ended without an answer."""
        self.unanswered.append(attempt)
        self.began_s.append(began_s)

    def is_blocked(self, attempt: attempts.Attempt) -> bool:
        """Returns whether a test has blocked the attempt."""
        return attempt in self.blocked

    def on_alive(self, backend: upstream.Backend, sent_s: float) -> None:
        """Records that a server answered after an unanswered attempt."""
        self.alive.append(backend)

    def on_connected(self, backend: upstream.Backend) -> None:
        """Records a server to which a connection was opened."""
        self.connected.append(backend)

    def on_unreachable(self, backend: upstream.Backend) -> None:
        """Records a server that could not be reached."""
        self.unreachable.append(backend)

    def on_ended(self, backend: upstream.Backend) -> None:
        """Records a server whose process has ended."""
        self.ended.append(backend)

    def on_misdirected(self, backend: upstream.Backend) -> None:
        """Records a server at whose address another one answered."""
        self.misdirected.append(backend)

    def on_leaving(self, backend: upstream.Backend) -> None:
        """Records a server that is about to stop."""
        self.leaving.append(backend)

    def on_paused(self, backend: upstream.Backend, pause_s: float) -> None:
        """Records a pause that a server asked for."""
        self.pauses_s.append(pause_s)

    def on_rejected(
        self, backend: upstream.Backend, rejection: connections.Rejection
    ) -> None:
        """Records bytes that do not count as a response."""
        self.rejections.append(rejection)

    def on_rate_stated(
        self, backend: upstream.Backend, rate: float | None, sent_s: float
    ) -> None:
        """Records the rate that a server states."""
        self.stated_rates.append((rate, sent_s))


class OutcomeRecorder:
    """An owner of attempts that records their outcomes."""

    def __init__(self):
        self.outcomes: dict[attempts.Attempt, object] = {}
        self.recorded = asyncio.Event()

    def handle_outcome(
        self,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Records the outcome of an attempt."""
        assert attempt not in self.outcomes
        self.outcomes[attempt] = outcome
        self.recorded.set()

    def get_reply(self, attempt: attempts.Attempt) -> messages.Reply:
        """Returns the response to an attempt that has one."""
        outcome = self.outcomes[attempt]
        assert isinstance(outcome, messages.Reply)
        return outcome

    def get_failure(self, attempt: attempts.Attempt) -> messages.FailureKind:
        """Returns the kind of failure of an attempt that failed."""
        outcome = self.outcomes[attempt]
        assert isinstance(outcome, messages.Failure)
        return outcome.kind


def make_attempt(
    owner: attempts.Owner,
    request_id: str,
    *,
    remaining_s: float = 5.0,
    needs_new_connection: bool = False,
) -> attempts.Attempt:
    """Returns an attempt that sends the remaining time and the server id."""
    return attempts.Attempt(
        owner=owner,
        tag=None,
        request_id=request_id.encode(),
        encode=lambda remaining_s, server_id: (
            b"%d %s" % (remaining_s, server_id.encode())
        ),
        deadline_s=asyncio.get_running_loop().time() + remaining_s,
        expected_latency_s=0.01,
        needs_new_connection=needs_new_connection,
    )


class ConnectedBackend:
    """A backend server with one open connection on a fake transport.

    Args:
      server: The server.
      service: Its service.
      connection_limit: Maximum number of connections to it.
    """

    def __init__(
        self,
        *,
        server: model.Server | None = None,
        service: model.Service | None = None,
        connection_limit: int = 4,
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
                receive_buffer=connections.ReceiveBuffer(),
            ),
            connection_limit=connection_limit,
        )
        self.transport = Transport()
        self.connection = connections.Connection(backend=self.backend)
        self.connection.connection_made(self.transport)
        self.backend.add_connection(self.connection)

    def send(
        self, request_id: str, *, remaining_s: float = 5.0
    ) -> tuple[attempts.Attempt, OutcomeRecorder]:
        """Sends an attempt on the connection; returns it and its owner."""
        owner = OutcomeRecorder()
        attempt = make_attempt(owner, request_id, remaining_s=remaining_s)
        self.backend.submit(attempt)
        assert attempt.connection is self.connection
        return attempt, owner

    def feed(self, data: bytes) -> None:
        """Delivers bytes as if the server had sent them."""
        self.connection.data_received(data)

    async def close(self) -> None:
        """Ends what the backend server has begun, such as new connections."""
        self.backend.close()
        tasks = list(self.backend._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def make_route(
    name: str = "find",
    *,
    path_prefix: str = "/find/",
    shards: tuple[str, ...] = (),
    service: str = "orders",
    idempotent: bool = True,
    objective_s: float = 0.2,
    timeout_s: float = 2.0,
    max_attempts: int = 2,
    top_n: int = 3,
    min_share: float = 0.75,
) -> model.Route:
    """Returns a route."""
    split = () if shards else (model.WeightedService(service, 1.0),)
    return model.Route(
        name=name,
        host="orders.example",
        path_prefix=path_prefix,
        shards=shards,
        split=split,
        idempotent=idempotent,
        timeout_s=timeout_s,
        objective_s=objective_s,
        max_attempts=max_attempts,
        priority=0,
        top_n=top_n,
        min_share=min_share,
    )


def make_configuration(
    version: int = 1,
    *,
    routes: tuple[model.Route, ...] = (),
    services: tuple[str, ...] = ("orders",),
    workspaces: tuple[model.Workspace, ...] | None = None,
) -> model.Configuration:
    """Returns a configuration."""
    return model.Configuration(
        version=version,
        routes=routes,
        services={name: make_service(name) for name in services},
        limits=model.CallerLimits(),
        workspaces=(
            None
            if workspaces is None
            else {each.name: each for each in workspaces}
        ),
    )


def make_workspace(name: str, *keys: str, **fields: float) -> model.Workspace:
    """Returns a workspace with some keys."""
    return model.Workspace(
        name=name,
        key_digests=frozenset(
            credentials.compute_digest(key.encode()) for key in keys
        ),
        **fields,
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
        caller_address=model.Address("127.0.0.1", port),
        control_address=model.Address("127.0.0.1", port + 1),
        peer_address=model.Address("127.0.0.1", port + 2),
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
    """Returns a caller's request; it is received now by default."""
    all_headers = [("Host", "orders.example"), ("X-Id", "a1"), *headers]
    if received_s is None:
        received_s = asyncio.get_running_loop().time()
    return messages.Request(
        method=method.encode(),
        target=target.encode(),
        headers=[(k.encode(), v.encode()) for k, v in all_headers],
        body=body,
        received_s=received_s,
    )


class Context:
    """A context for fan-outs over backend servers without sockets.

    Args:
      shards: Names of the services.
      replicas: Number of backend servers per service.
      bound: Bound on extra attempts.
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
        self.keeps_to_zone = False
        self.counts: list[str] = []
        self.backends = {
            shard: [
                ConnectedBackend(
                    server=make_server(f"{shard}-{i}", service=shard),
                    service=make_service(shard),
                )
                for i in range(replicas)
            ]
            for shard in shards
        }
        bound = bound or hedging.ExtraAttemptBound(0.2, 50.0)
        self._budgets = {
            shard: hedging.ExtraAttemptBudget(bound=bound, share=1.0)
            for shard in shards
        }
        self._latencies: dict[str, hedging.LatencyWindow] = {}
        self.trial_servers: dict[str, list[upstream.Backend]] = {}
        self.quarantine_s = 0.0
        self.links_in_doubt = False

    def get_quarantine_s(self, request: messages.Request) -> float:
        """Returns the duration that a test has set."""
        return self.quarantine_s

    def find_candidates(self, service: str) -> list[upstream.Backend]:
        """Returns all backend servers of a service."""
        return [each.backend for each in self.backends.get(service, ())]

    def take_trial_servers(self, service: str) -> list[upstream.Backend]:
        """Returns the servers that a test has put on trial."""
        return self.trial_servers.get(service, [])

    def find_extra_attempt_budget(
        self, service: str
    ) -> hedging.ExtraAttemptBudget:
        """Returns the budget for extra attempts at a service."""
        return self._budgets[service]

    def find_latency_window(self, route: model.Route) -> hedging.LatencyWindow:
        """Returns the latency window of a route."""
        return self._latencies.setdefault(
            route.name, hedging.LatencyWindow(initial_latency_s=0.02)
        )

    def note_silence(self) -> bool:
        """Records that no shard of a search has answered in time."""
        self.counts.append("silence")
        return self.links_in_doubt

    def count(self, name: str) -> None:
        """Records the name of a counter."""
        self.counts.append(name)

    def list_busy(self, shard: str) -> list[ConnectedBackend]:
        """Returns the backend servers of a shard with an attempt in flight."""
        return [
            each for each in self.backends[shard] if each.connection.attempt
        ]

    def send_reply(
        self, shard: str, body: bytes, *, request_id: str = "a1"
    ) -> None:
        """Answers the first attempt in flight for a shard."""
        self.list_busy(shard)[0].feed(encode_reply(request_id, body))


class Log:
    """A log that records its events."""

    def __init__(self):
        self.lines: list[tuple[str, dict]] = []

    def record(self, event: str, **fields: object) -> None:
        """Records an event."""
        self.lines.append((event, fields))

    def allow_request_line(self, *, failed: bool) -> bool:
        """Returns whether a request may be logged: never."""
        del failed
        return False

    def list_events(self, event: str) -> list[dict]:
        """Returns the fields of all events of a name."""
        return [fields for name, fields in self.lines if name == event]
