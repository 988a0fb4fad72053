"""Peer streams: Cap'n Proto RPC between the daemons over TCP.

Each daemon listens once and keeps one outgoing stream to each peer that it
talks to.  Messages for one peer are batched: whatever gathers while a call is
under way goes out together in the next one, because the cost of a call far
exceeds that of one more message in it.  A stream that does not acknowledge a
batch within the acknowledgement timeout is closed and opened anew, since
something between the two ends may have lost track of it.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

import capnp
from loguru import logger

from eelgrasshall.protocol import messages
from eelgrasshall.protocol import peers as codec
from eelgrasshall.transport import acceptance

CONNECT_TIMEOUT_S = 0.25
ACK_TIMEOUT_S = 0.25
GOSSIP_TIMEOUT_S = 0.4
FETCH_TIMEOUT_S = 2.0
MAX_BATCH = 64


class PeerError(Exception):
    """A peer did not acknowledge; whether it acted is unknown."""


class PeerNotReachedError(PeerError):
    """No byte of the call left this host, so the peer did not act."""


class PeerHandler(Protocol):
    """What the listening side does with each call of a peer."""

    def accept_requests(
        self, sender: str, batch: list[messages.SubRequest]
    ) -> None:
        """Takes relayed sub-requests; must return at once."""

    def accept_results(
        self, sender: str, batch: list[messages.SubResult]
    ) -> None:
        """Takes results of sub-requests; must return at once."""

    def accept_cancels(self, sender: str, sub_ids: list[str]) -> None:
        """Gives up sub-requests; must return at once."""

    def answer_gossip(
        self, message: messages.Gossip
    ) -> Awaitable[messages.Gossip]:
        """Answers a heartbeat."""

    def give_configuration(self, have: int) -> tuple[int, bytes]:
        """Returns version and body if newer than `have`, else (0, b"")."""

    def run_ticket(
        self, sender: str, request: bytes
    ) -> Awaitable[tuple[int, bytes]]:
        """Runs a caller's request that only this host may run."""


class Address(NamedTuple):
    """Where a listener is found.

    Attributes:
      host: IP address.
      port: TCP port.
    """

    host: str
    port: int


class _PeerServer(codec.schema.Peer.Server):
    """Translates calls of one connected peer for the handler."""

    def __init__(self, handler: PeerHandler):
        self._handler = handler

    async def relay(self, sender, batch, _context, **_):
        requests = [codec.read_sub_request(each) for each in batch]
        self._handler.accept_requests(sender, requests)

    async def deliver(self, sender, batch, _context, **_):
        results = [codec.read_sub_result(each) for each in batch]
        self._handler.accept_results(sender, results)

    async def cancel(self, sender, subIds, _context, **_):  # noqa: N803
        self._handler.accept_cancels(sender, list(subIds))

    async def gossip(self, message, _context, **_):
        received = codec.read_gossip(message)
        reply = await self._handler.answer_gossip(received)
        codec.write_gossip(_context.results.reply, reply)

    async def fetchConfiguration(self, have, _context, **_):  # noqa: N802
        version, body = self._handler.give_configuration(have)
        _context.results.version = version
        _context.results.body = body

    async def runTicket(self, sender, request, _context, **_):  # noqa: N802
        status, answer = await self._handler.run_ticket(sender, bytes(request))
        _context.results.status = status
        _context.results.answer = answer


class PeerListener:
    """Accepts the streams of peers.

    Args:
      handler: What to do with their calls.
    """

    def __init__(self, *, handler: PeerHandler):
        self._handler = handler
        self._server: asyncio.AbstractServer | None = None

    async def start(self, address: Address) -> None:
        """Opens the listener.

        Raises:
          OSError: The address cannot be bound.
        """
        self._server = await acceptance.create_server(
            self._serve, address.host, address.port
        )
        self._task = asyncio.create_task(self._server.serve_forever())

    async def stop(self) -> None:
        """Closes the listener and every accepted stream."""
        if self._server is None:
            return
        self._server.close()
        self._task.cancel()
        self._server = None

    async def _serve(self, stream) -> None:
        """Serves one connected peer until it goes."""
        server = capnp.TwoPartyServer(
            stream, bootstrap=_PeerServer(self._handler)
        )
        await server.on_disconnect()


class PeerStream:
    """The outgoing stream to one peer, opened when first needed.

    Args:
      name: Name of this host, told with each batch.
      address: Where the peer listens.
    """

    def __init__(self, *, name: str, address: Address):
        self._name = name
        self.address = address
        self._client = None
        self._stream = None
        self._connecting: asyncio.Lock = asyncio.Lock()
        self._requests: list[
            tuple[messages.SubRequest, Callable[[PeerError], None]]
        ] = []
        self._results: list[messages.SubResult] = []
        self._cancels: list[str] = []
        self._sender_task: asyncio.Task[None] | None = None
        self.bytes_sent = 0

    def send_request(
        self,
        request: messages.SubRequest,
        on_failure: Callable[[PeerError], None],
    ) -> None:
        """Queues a sub-request for the next batch.

        Args:
          request: The sub-request.
          on_failure: Called once if the batch is not acknowledged.
        """
        self._requests.append((request, on_failure))
        self._ensure_sending()

    def send_result(self, result: messages.SubResult) -> None:
        """Queues a result for the next batch; lost if the peer is gone."""
        self._results.append(result)
        self._ensure_sending()

    def send_cancel(self, sub_id: str) -> None:
        """Queues the giving up of a sub-request for the next batch."""
        self._cancels.append(sub_id)
        self._ensure_sending()

    async def gossip(self, message: messages.Gossip) -> messages.Gossip:
        """Exchanges a heartbeat.

        Raises:
          PeerError: The peer did not answer in time.
        """
        async with _raising_peer_errors(self, GOSSIP_TIMEOUT_S):
            peer = await self._connect()
            call = peer.gossip_request()
            codec.write_gossip(call.message, message)
            reply = await call.send()
            return codec.read_gossip(reply.reply)

    async def fetch_configuration(self, have: int) -> tuple[int, bytes]:
        """Asks for a configuration newer than version `have`.

        Returns:
          The version and the body, or (0, b"") if the peer has none newer.

        Raises:
          PeerError: The peer did not answer in time.
        """
        async with _raising_peer_errors(self, FETCH_TIMEOUT_S):
            peer = await self._connect()
            reply = await peer.fetchConfiguration(have)
            return reply.version, bytes(reply.body)

    async def run_ticket(
        self, request: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Has the peer run a caller's request that only it may run.

        Returns:
          The HTTP status and the answer as JSON bytes.

        Raises:
          PeerNotReachedError: The peer was not reached and ran nothing.
          PeerError: The peer did not answer in time and may have run it.
        """
        async with _raising_peer_errors(self, timeout_s):
            peer = await self._connect()
            reply = await peer.runTicket(self._name, request)
            return reply.status, bytes(reply.answer)

    def close(self) -> None:
        """Closes the stream; it opens anew when next needed."""
        stream = self._stream
        self._client = None
        self._stream = None
        if stream is not None:
            stream.close()

    async def _connect(self):
        """Returns the peer's capability, connecting if need be."""
        async with self._connecting:
            if self._client is not None:
                return self._client
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    stream = await capnp.AsyncIoStream.create_connection(
                        self.address.host, self.address.port
                    )
            except (OSError, TimeoutError) as error:
                raise PeerNotReachedError(str(self.address)) from error
            self._stream = stream
            client = capnp.TwoPartyClient(stream)
            self._client = client.bootstrap().cast_as(codec.schema.Peer)
            return self._client

    def _ensure_sending(self) -> None:
        """Starts the sending task unless it runs."""
        if self._sender_task is None or self._sender_task.done():
            self._sender_task = asyncio.create_task(self._send_batches())

    async def _send_batches(self) -> None:
        """Sends batch after batch until nothing waits."""
        while self._requests or self._results or self._cancels:
            requests = self._requests[:MAX_BATCH]
            del self._requests[:MAX_BATCH]
            results = self._results[:MAX_BATCH]
            del self._results[:MAX_BATCH]
            cancels = self._cancels[:MAX_BATCH]
            del self._cancels[:MAX_BATCH]
            try:
                async with _raising_peer_errors(self, ACK_TIMEOUT_S):
                    await self._send_batch(requests, results, cancels)
            except PeerError as error:
                logger.debug(f"peers: batch to {self.address} lost: {error}")
                for _, on_failure in requests:
                    on_failure(error)

    async def _send_batch(self, requests, results, cancels) -> None:
        """Sends one batch of each sort and waits for the acknowledgements."""
        peer = await self._connect()
        calls = []
        if requests:
            call = peer.relay_request()
            call.sender = self._name
            batch = call.init("batch", len(requests))
            for index, (request, _) in enumerate(requests):
                codec.write_sub_request(batch[index], request)
            calls.append(call.send())
        if results:
            call = peer.deliver_request()
            call.sender = self._name
            batch = call.init("batch", len(results))
            for index, result in enumerate(results):
                codec.write_sub_result(batch[index], result)
            calls.append(call.send())
        if cancels:
            calls.append(peer.cancel(self._name, cancels))
        for call in calls:
            await call


class _raising_peer_errors:  # noqa: N801
    """Bounds a call in time and turns its failures into `PeerError`."""

    def __init__(self, stream: PeerStream, timeout_s: float):
        self._stream = stream
        self._timeout = asyncio.timeout(timeout_s)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(self, kind, error, trace) -> None:
        try:
            await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError as timeout:
            self._stream.close()
            raise PeerError("No acknowledgement in time.") from timeout
        if isinstance(error, (capnp.KjException, OSError)):
            self._stream.close()
            raise PeerError(str(error)) from error
