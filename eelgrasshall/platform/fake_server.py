"""A fake backend server that records the requests that it executes."""

import asyncio
from collections.abc import Callable
import hashlib
import random
import time
from typing import NamedTuple

from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.platform import stutter

# Number and size of the records in the body of an answer.
RECORD_COUNT = 4
RECORD_BYTES = 16
# A request with this in its target crashes each server that begins to run it.
CRASH_MARKER = b"/crash"


class Crash(NamedTuple):
    """A crash of a backend server under a request.

    Attributes:
      server_id: The server.
      at_s: Monotonic time.
      target: Target of the request.
      request_id: Id of the try.
    """

    server_id: str
    at_s: float
    target: bytes
    request_id: str


class Identity(NamedTuple):
    """What a request tells a backend server of its caller.

    Attributes:
      at_s: Monotonic time.
      request_id: Id of the try; empty for a health check.
      names: The workspaces that it states, in the order of its headers.
      has_credential: Whether it carries a credential.
    """

    at_s: float
    request_id: str
    names: tuple[str, ...]
    has_credential: bool


class Answer(NamedTuple):
    """An answer that a server signed.

    Attributes:
      server_id: The server.
      request_id: Id of the try.
      status: Its status.
      body: Its body.
    """

    server_id: str
    request_id: str
    status: int
    body: bytes


class FakeBackendServer:
    """A fake backend server that records the requests that it executes.

    Attributes:
      executed: Request id, and target followed by body, of each request.
      requests: The same requests as received.
      started_at_ms: Start of its process as stated in its registration.
      leaving: Whether it states in all answers that it is about to stop.
      rate_limit: The requests per second that it states as its most in all
        answers; None if it states none.
      paused_until_s: Monotonic time until which it turns all requests away and
        states for how long.
      paused_count: Number of requests that it turned away so.
      failure_share: Share of the requests that it answers with status 500.
      refusal_share: Share of the requests that it turns away without a reason.
      slow_share: Share of the requests that take five times as long.
      on_crash: Called when a request crashes it.
      arrivals: Monotonic time and id of each request, also of those that it
        turned away.
      identities: What each request, health checks included, tells of its
        caller.
      limited: Monotonic time and request id of each answer that stated a rate.
      pauses: Monotonic time, request id and end of the pause of each request
        that it turned away because of a pause.
      answers: All answers that it signed, by signature.
      stutterer: Sends answers twice, or in part; sends each once by default.

    Args:
      server_id: The id of the server.
      service_time_s: Time that a request takes, seconds.
    """

    def __init__(self, *, server_id: str, service_time_s: float = 0.005):
        self.server_id = server_id
        self.service_time_s = service_time_s
        self.executed: list[tuple[str, bytes]] = []
        self.requests: list[messages.Request] = []
        self.started_at_ms = 1
        self.leaving = False
        self.rate_limit: float | None = None
        self.paused_until_s = 0.0
        self.paused_count = 0
        self.failure_share = 0.0
        self.refusal_share = 0.0
        self.slow_share = 0.0
        self._random = random.Random(server_id)
        self.on_crash: Callable[[Crash], None] | None = None
        self.arrivals: list[tuple[float, str]] = []
        self.identities: list[Identity] = []
        self.limited: list[tuple[float, str]] = []
        self.pauses: list[tuple[float, str, float]] = []
        self.answers: dict[str, Answer] = {}
        self.stutterer = stutter.Stutterer(random=random.Random(server_id))
        self._listener = stutter.StutteringListener(
            stutterer=self.stutterer, handler=self._handle
        )

    async def start(self, address: model.Address) -> None:
        """Starts to listen on an address.

        Raises:
          OSError: The address cannot be bound.
        """
        await self._listener.start(address)

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self._listener.stop()

    async def _handle(self, request: messages.Request) -> listener.Response:
        """Answers a request, with what the server says of itself."""
        response = await self._answer(request)
        request_id = request.get_header(b"x-attempt-id")
        if request_id:
            response.headers.append((b"X-Attempt-Id", request_id))
        if self.leaving:
            response.headers.append((b"Server-Leaving", b"1"))
        if self.rate_limit is not None:
            response.headers.append((b"Server-Limit", b"%g" % self.rate_limit))
            limited_id = (request_id or b"").decode()
            self.limited.append((time.monotonic(), limited_id))
        return response

    async def _answer(self, request: messages.Request) -> listener.Response:
        """Executes a request; one without a request id is a health check."""
        request_id = (request.get_header(b"x-attempt-id") or b"").decode()
        identity = [(b"X-Instance-Id", self.server_id.encode())]
        now = time.monotonic()
        self.identities.append(
            Identity(
                now,
                request_id,
                tuple(_list_values(request, b"x-tenant")),
                bool(_list_values(request, b"authorization")),
            )
        )
        if request_id:
            self.arrivals.append((now, request_id))
        pause_s = self.paused_until_s - now
        if pause_s > 0:
            self.paused_count += 1
            self.pauses.append((now, request_id, self.paused_until_s))
            refusal = [(b"X-Not-Executed", b"1")]
            refusal.append((b"Retry-After", b"%.3f" % pause_s))
            return listener.Response(503, identity + refusal, b"")
        if not request_id:
            return listener.Response(
                503 if self.leaving else 200, identity, b""
            )
        if request.get_header(b"x-target-instance") != self.server_id.encode():
            return listener.Response(421, identity, b"")
        if self.refusal_share and self._random.random() < self.refusal_share:
            refusal = [(b"X-Not-Executed", b"1")]
            status = self._random.choice((429, 503))
            return listener.Response(status, identity + refusal, b"")
        self.executed.append((request_id, request.target + request.body))
        self.requests.append(request)
        if CRASH_MARKER in request.target and self.on_crash is not None:
            self.on_crash(
                Crash(self.server_id, now, request.target, request_id)
            )
            await asyncio.Event().wait()
        is_slow = self._random.random() < self.slow_share
        await asyncio.sleep(self.service_time_s * (5 if is_slow else 1))
        status = 500 if self._random.random() < self.failure_share else 200
        seal = f"{self.server_id}.{len(self.answers)}.{request_id}"
        body = make_records(seal)
        self.answers[seal] = Answer(self.server_id, request_id, status, body)
        headers = [(b"X-Server-Seal", seal.encode())]
        return listener.Response(status, headers, body)


def make_records(seal: str) -> bytes:
    """Returns the body of an answer: records that no other answer has.

    They are in no order.  With several of them, a part that has lost its
    records shows in nearly each search.

    Args:
      seal: The signature of the answer.
    """
    size = RECORD_COUNT * RECORD_BYTES
    return hashlib.shake_128(seal.encode()).hexdigest(size // 2).encode()


def _list_values(request: messages.Request, name: bytes) -> list[str]:
    """Returns the values of all headers with a name in lower case."""
    return [
        value.decode("latin-1")
        for each, value in request.headers
        if each.lower() == name
    ]
