"""Peer streams: Cap'n Proto frames between the daemons over TCP.

Each daemon listens once and keeps one outgoing stream to each peer that it
talks to.  Messages for one peer are batched: whatever gathers while a batch
is under way goes out together in the next one, because the cost of a frame
far exceeds that of one more message in it.  A stream that does not
acknowledge a batch within the acknowledgement timeout is closed and opened
anew, since something between the two ends may have lost track of it.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
from typing import NamedTuple
from typing import Protocol

from loguru import logger

from eelgrasshall.protocol import messages
from eelgrasshall.protocol import peers as codec
from eelgrasshall.transport import frames

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
        self, sender: str, batch: tuple[messages.SubRequest, ...]
    ) -> None:
        """Takes relayed sub-requests; must return at once."""

    def accept_results(
        self, sender: str, batch: tuple[messages.SubResult, ...]
    ) -> None:
        """Takes results of sub-requests; must return at once."""

    def accept_cancels(self, sender: str, sub_ids: tuple[str, ...]) -> None:
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


class PeerListener:
    """Accepts the streams of peers, one task for each.

    Args:
      handler: What to do with their calls.
    """

    def __init__(self, *, handler: PeerHandler):
        self._handler = handler
        self._server: asyncio.AbstractServer | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: Address) -> int:
        """Opens the listener.

        Returns:
          The TCP port.

        Raises:
          OSError: The address cannot be bound.
        """
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port
        )
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the listener and every accepted stream."""
        if self._server is None:
            return
        self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._server = None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connected peer until it goes."""
        self._keep(asyncio.current_task())
        try:
            while True:
                frame = await frames.read(reader)
                if frame is None:
                    return
                frame_id, call = codec.decode_frame(frame)
                await self._take_call(writer, frame_id, call)
        except asyncio.CancelledError:
            # The listener stops; a stream has nothing to pass that on to.
            return
        except (OSError, ValueError) as error:
            logger.warning(f"peers: Closed the stream of a peer: {error}")
        finally:
            writer.close()

    async def _take_call(
        self, writer: asyncio.StreamWriter, frame_id: int, call: codec.FrameBody
    ) -> None:
        """Acts on one call; what takes time runs in a task of its own."""
        match call:
            case codec.Batch():
                self._take_batch(call)
                await _reply(writer, frame_id, codec.Acknowledgement())
            case codec.FetchConfiguration():
                found = self._handler.give_configuration(call.known_version)
                answer = codec.ConfigurationReply(*found)
                await _reply(writer, frame_id, answer)
            case messages.Gossip():
                self._spawn(self._answer_gossip(writer, frame_id, call))
            case codec.TicketRequest():
                self._spawn(self._run_ticket(writer, frame_id, call))
            case _:
                raise ValueError(f"A reply came as a call: {type(call)}.")

    def _take_batch(self, batch: codec.Batch) -> None:
        """Hands the contents of a batch to the handler."""
        if batch.requests:
            self._handler.accept_requests(batch.sender, batch.requests)
        if batch.results:
            self._handler.accept_results(batch.sender, batch.results)
        if batch.cancels:
            self._handler.accept_cancels(batch.sender, batch.cancels)

    async def _answer_gossip(
        self,
        writer: asyncio.StreamWriter,
        frame_id: int,
        message: messages.Gossip,
    ) -> None:
        """Answers a heartbeat."""
        reply = await self._handler.answer_gossip(message)
        await _reply(writer, frame_id, codec.GossipReply(reply))

    async def _run_ticket(
        self,
        writer: asyncio.StreamWriter,
        frame_id: int,
        call: codec.TicketRequest,
    ) -> None:
        """Runs a request by its ticket and gives the outcome back."""
        status, answer = await self._handler.run_ticket(
            call.sender, call.request
        )
        await _reply(writer, frame_id, codec.TicketAnswer(status, answer))

    def _spawn(self, work: Awaitable[None]) -> None:
        """Runs work as a task that `stop` ends."""
        self._keep(asyncio.ensure_future(work))

    def _keep(self, task: asyncio.Task[None] | None) -> None:
        """Remembers a task until it ends."""
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


class _Connection:
    """One open connection to a peer, with the calls that await replies."""

    def __init__(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self._reader = reader
        self._writer = writer
        self._ids = itertools.count(1)
        self._replies: dict[int, asyncio.Future[codec.FrameBody]] = {}
        self._task = asyncio.create_task(self._read_replies())
        self.bytes_sent = 0
        self.frames_read = 0

    def is_open(self) -> bool:
        """Returns whether calls can still be made."""
        return not self._task.done()

    async def call(self, body: codec.FrameBody) -> codec.FrameBody:
        """Sends a call and awaits its reply.

        Raises:
          OSError: The connection failed.
        """
        frame_id = next(self._ids)
        reply = asyncio.get_running_loop().create_future()
        self._replies[frame_id] = reply
        try:
            frame = codec.encode_frame(frame_id, body)
            self.bytes_sent += frames.HEADER_BYTES + len(frame)
            frames.write(self._writer, frame)
            await self._writer.drain()
            return await reply
        finally:
            self._replies.pop(frame_id, None)

    def close(self) -> None:
        """Closes the connection; calls under way fail."""
        self._task.cancel()
        self._fail()

    def _fail(self) -> None:
        """Closes the socket and ends every wait."""
        self._writer.close()
        for reply in self._replies.values():
            if not reply.done():
                reply.set_exception(ConnectionError("The stream closed."))

    async def _read_replies(self) -> None:
        """Hands each reply to the call that awaits it."""
        try:
            while True:
                frame = await frames.read(self._reader)
                if frame is None:
                    return
                self.frames_read += 1
                frame_id, body = codec.decode_frame(frame)
                reply = self._replies.get(frame_id)
                if reply is not None and not reply.done():
                    reply.set_result(body)
        except (OSError, ValueError) as error:
            logger.debug(f"peers: A stream failed: {error}")
        finally:
            self._fail()


class PeerStream:
    """The outgoing stream to one peer, opened when first needed.

    Args:
      name: Name of this host, told with each batch.
      address: Where the peer listens.
    """

    def __init__(self, *, name: str, address: Address):
        self._name = name
        self.address = address
        self._connection: _Connection | None = None
        self._connecting = asyncio.Lock()
        self._requests: list[
            tuple[messages.SubRequest, Callable[[PeerError], None]]
        ] = []
        self._results: list[messages.SubResult] = []
        self._cancels: list[str] = []
        self._sender_task: asyncio.Task[None] | None = None

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
        reply = await self._call(message, GOSSIP_TIMEOUT_S)
        return _expect(reply, codec.GossipReply).message

    async def fetch_configuration(self, have: int) -> tuple[int, bytes]:
        """Asks for a configuration newer than version `have`.

        Returns:
          The version and the body, or (0, b"") if the peer has none newer.

        Raises:
          PeerError: The peer did not answer in time.
        """
        call = codec.FetchConfiguration(have)
        reply = await self._call(call, FETCH_TIMEOUT_S)
        found = _expect(reply, codec.ConfigurationReply)
        return found.version, found.body

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
        call = codec.TicketRequest(self._name, request)
        # A request that takes long says nothing about the stream.
        reply = await self._call(call, timeout_s, closing=False)
        answer = _expect(reply, codec.TicketAnswer)
        return answer.status, answer.answer

    def close(self) -> None:
        """Closes the stream; it opens anew when next needed."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close()

    async def _call(
        self, body: codec.FrameBody, timeout_s: float, *, closing: bool = True
    ) -> codec.FrameBody:
        """Makes one call within a time.

        Args:
          body: The call.
          timeout_s: Seconds until the peer counts as silent.
          closing: Whether a silent peer's connection is closed.

        Raises:
          PeerNotReachedError: No connection could be opened.
          PeerError: The peer did not answer.
        """
        connection = await self._connect()
        read_before = connection.frames_read
        try:
            async with asyncio.timeout(timeout_s):
                return await connection.call(body)
        except TimeoutError as error:
            # Whatever waits on a silent connection would wait in vain.  One
            # that has brought other replies meanwhile is slow and not silent.
            if closing and connection.frames_read == read_before:
                self._drop(connection)
            raise PeerError("No acknowledgement in time.") from error
        except OSError as error:
            self._drop(connection)
            raise PeerError(str(error)) from error

    def _drop(self, connection: _Connection) -> None:
        """Closes a connection that failed, but not one opened since."""
        connection.close()
        if self._connection is connection:
            self._connection = None

    async def _connect(self) -> _Connection:
        """Returns the open connection, opening one if need be.

        Raises:
          PeerNotReachedError: It could not be opened in time.
        """
        async with self._connecting:
            if self._connection is not None and self._connection.is_open():
                return self._connection
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        self.address.host, self.address.port
                    )
            except (OSError, TimeoutError) as error:
                raise PeerNotReachedError(str(self.address)) from error
            self._connection = _Connection(reader=reader, writer=writer)
            return self._connection

    def _ensure_sending(self) -> None:
        """Starts the sending task unless it runs."""
        if self._sender_task is None or self._sender_task.done():
            self._sender_task = asyncio.create_task(self._send_batches())

    async def _send_batches(self) -> None:
        """Sends batch after batch until nothing waits."""
        while self._requests or self._results or self._cancels:
            requests = _take_some(self._requests)
            batch = codec.Batch(
                sender=self._name,
                requests=tuple(request for request, _ in requests),
                results=tuple(_take_some(self._results)),
                cancels=tuple(_take_some(self._cancels)),
            )
            try:
                await self._call(batch, ACK_TIMEOUT_S)
            except PeerError as error:
                for _, on_failure in requests:
                    on_failure(error)


async def _reply(
    writer: asyncio.StreamWriter, frame_id: int, body: codec.FrameBody
) -> None:
    """Sends a reply; a peer that has gone needs none."""
    if writer.is_closing():
        return
    frames.write(writer, codec.encode_frame(frame_id, body))
    with contextlib.suppress(OSError):
        await writer.drain()


def _expect(reply: codec.FrameBody, kind: type) -> codec.FrameBody:
    """Returns the reply if it is of the kind that the call asks for.

    Raises:
      PeerError: It is of another kind.
    """
    if not isinstance(reply, kind):
        raise PeerError(f"The reply is a {type(reply).__name__}.")
    return reply


def _take_some(waiting: list) -> list:
    """Takes the first messages of a queue, as many as a batch holds."""
    taken = waiting[:MAX_BATCH]
    del waiting[:MAX_BATCH]
    return taken
