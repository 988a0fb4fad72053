"""Stand-ins for the gateway's tests: a connection without sockets."""

import asyncio

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
    cold_left=b"x-cold",
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
    return model.Service(name, "/health", max_connections, cold_rate)


def encode_reply(request_id: str, body: bytes) -> bytes:
    """Returns a signed success as bytes."""
    return (
        b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: seal-%s\r\n"
        b"Content-Length: %d\r\n\r\n%s"
        % (request_id.encode(), request_id.encode(), len(body), body)
    )


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
        self.lost: list[upstream.Attempt] = []
        self.unreachable: list[upstream.Backend] = []
        self.misdirected: list[upstream.Backend] = []

    def notice_connection_lost(
        self, backend: upstream.Backend, attempt: upstream.Attempt
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
        self.outcomes: dict[upstream.Attempt, object] = {}
        self.settled = asyncio.Event()

    def settle(
        self,
        attempt: upstream.Attempt,
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Keeps an outcome."""
        assert attempt not in self.outcomes
        self.outcomes[attempt] = outcome
        self.settled.set()

    def reply(self, attempt: upstream.Attempt) -> messages.Reply:
        """Returns the response of an attempt."""
        outcome = self.outcomes[attempt]
        assert isinstance(outcome, messages.Reply)
        return outcome

    def failure(self, attempt: upstream.Attempt) -> messages.FailureKind:
        """Returns why an attempt has no response."""
        outcome = self.outcomes[attempt]
        assert isinstance(outcome, messages.Failure)
        return outcome.kind


def make_attempt(
    owner: upstream.Owner,
    request_id: str,
    *,
    left_s: float = 5.0,
    fresh: bool = False,
) -> upstream.Attempt:
    """Returns an attempt that sends the server's id and the time left."""
    return upstream.Attempt(
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
        self.connection = upstream.Connection(backend=self.backend)
        self.connection.connection_made(self.transport)
        self.backend.adopt(self.connection)

    def send(
        self, request_id: str, *, left_s: float = 5.0
    ) -> tuple[upstream.Attempt, Collector]:
        """Sends an attempt on the connection."""
        owner = Collector()
        attempt = make_attempt(owner, request_id, left_s=left_s)
        self.backend.start(attempt)
        assert attempt.connection is self.connection
        return attempt, owner

    def feed(self, data: bytes) -> None:
        """Lets the server send bytes."""
        self.connection.data_received(data)
