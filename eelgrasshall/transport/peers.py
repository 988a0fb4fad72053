"""Peer streams: Cap'n Proto frames between the daemons over TCP.

Each daemon has one listener and keeps one outgoing stream to each peer that it
sends to.  Messages to a peer are batched: those queued while a batch awaits its
acknowledgement are sent together in the next one, because a frame costs far
more than another message in it.  A connection on which a batch is not
acknowledged in time is closed and reopened, since a middlebox may have dropped
its state.
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
MAX_BATCH_MESSAGES = 64


class PeerError(Exception):
    """A peer did not reply; whether it processed the call is unknown."""


class PeerNotReachedError(PeerError):
    """No byte of the call was sent, so the peer did not process it."""


class PeerHandler(Protocol):
    """Interface that the application implements for calls of peers."""

    def accept_requests(
        self, sender: str, batch: tuple[messages.SubRequest, ...]
    ) -> None:
        """Accepts relayed sub-requests; must not block."""

    def accept_results(
        self, sender: str, batch: tuple[messages.SubResult, ...]
    ) -> None:
        """Accepts results of sub-requests; must not block."""

    def accept_cancels(self, sender: str, sub_ids: tuple[str, ...]) -> None:
        """Cancels sub-requests; must not block."""

    def answer_gossip(
        self, message: messages.Gossip
    ) -> Awaitable[messages.Gossip]:
        """Replies to a heartbeat."""

    def get_newer_configuration(self, known_version: int) -> tuple[int, bytes]:
        """Returns the configuration if newer than `known_version`.

        Returns:
          The version and the body, or (0, b"") if there is none newer.
        """

    def run_ticket(
        self, sender: str, request: bytes
    ) -> Awaitable[tuple[int, bytes]]:
        """Runs a caller's request that only this host may run.

        Returns:
          The HTTP status and the response as JSON bytes.
        """


class Address(NamedTuple):
    """The address of a listener.

    Attributes:
      host: IP address.
      port: TCP port.
    """

    host: str
    port: int


class PeerListener:
    """Accepts streams from peers and serves each in a task of its own.

    Args:
      handler: Processes the calls.
    """

    def __init__(self, *, handler: PeerHandler):
        self._handler = handler
        self._server: asyncio.AbstractServer | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: Address) -> int:
        """Starts listening.

        Returns:
          The bound TCP port.

        Raises:
          OSError: The address cannot be bound.
        """
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port
        )
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and closes all accepted streams."""
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
        """Serves a stream until the peer closes it or the listener stops."""
        self._track(asyncio.current_task())
        try:
            while True:
                frame = await frames.read(reader)
                if frame is None:
                    return
                frame_id, call = codec.decode_frame(frame)
                await self._process_call(writer, frame_id, call)
        except asyncio.CancelledError:
            # `stop` cancelled the task; there is nothing to propagate it to.
            return
        except (OSError, ValueError) as error:
            logger.warning(f"peers: Closed an incoming stream: {error}")
        finally:
            writer.close()

    async def _process_call(
        self, writer: asyncio.StreamWriter, frame_id: int, call: codec.FrameBody
    ) -> None:
        """Processes a call; those that take time run in tasks of their own."""
        match call:
            case codec.Batch():
                self._process_batch(call)
                await _send_reply(writer, frame_id, codec.Acknowledgement())
            case codec.FetchConfiguration():
                configuration = self._handler.get_newer_configuration(
                    call.known_version
                )
                answer = codec.ConfigurationReply(*configuration)
                await _send_reply(writer, frame_id, answer)
            case messages.Gossip():
                self._spawn(self._reply_to_gossip(writer, frame_id, call))
            case codec.TicketRequest():
                self._spawn(self._run_ticket(writer, frame_id, call))
            case _:
                raise ValueError(f"expected a call, got {type(call)}")

    def _process_batch(self, batch: codec.Batch) -> None:
        """Passes the messages of a batch to the handler."""
        if batch.requests:
            self._handler.accept_requests(batch.sender, batch.requests)
        if batch.results:
            self._handler.accept_results(batch.sender, batch.results)
        if batch.cancels:
            self._handler.accept_cancels(batch.sender, batch.cancels)

    async def _reply_to_gossip(
        self,
        writer: asyncio.StreamWriter,
        frame_id: int,
        message: messages.Gossip,
    ) -> None:
        """Replies to a heartbeat."""
        reply = await self._handler.answer_gossip(message)
        await _send_reply(writer, frame_id, codec.GossipReply(reply))

    async def _run_ticket(
        self,
        writer: asyncio.StreamWriter,
        frame_id: int,
        call: codec.TicketRequest,
    ) -> None:
        """Runs a caller's request and replies with its outcome."""
        status, answer = await self._handler.run_ticket(
            call.sender, call.request
        )
        await _send_reply(writer, frame_id, codec.TicketAnswer(status, answer))

    def _spawn(self, awaitable: Awaitable[None]) -> None:
        """Starts a task that `stop` cancels."""
        self._track(asyncio.ensure_future(awaitable))

    def _track(self, task: asyncio.Task[None] | None) -> None:
        """Keeps a reference to a task until it is done."""
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


class _Connection:
    """An open connection to a peer and the calls that await replies on it.

    Attributes:
      bytes_sent: Bytes of all calls, including the frame headers.
      frames_read: Number of frames received.
    """

    def __init__(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self._reader = reader
        self._writer = writer
        self._ids = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Future[codec.FrameBody]] = {}
        self._reader_task = asyncio.create_task(self._read_replies())
        self.bytes_sent = 0
        self.frames_read = 0

    def is_open(self) -> bool:
        """Returns whether the connection can still carry calls."""
        return not self._reader_task.done()

    async def call(self, body: codec.FrameBody) -> codec.FrameBody:
        """Sends a call and awaits its reply.

        Raises:
          OSError: The connection failed.
        """
        frame_id = next(self._ids)
        reply = asyncio.get_running_loop().create_future()
        self._pending_replies[frame_id] = reply
        try:
            frame = codec.encode_frame(frame_id, body)
            self.bytes_sent += frames.HEADER_BYTES + len(frame)
            frames.write(self._writer, frame)
            await self._writer.drain()
            return await reply
        finally:
            self._pending_replies.pop(frame_id, None)

    def close(self) -> None:
        """Closes the connection; pending calls fail."""
        self._reader_task.cancel()
        self._fail_pending()

    def _fail_pending(self) -> None:
        """Closes the socket and fails all pending calls."""
        self._writer.close()
        for reply in self._pending_replies.values():
            if not reply.done():
                reply.set_exception(ConnectionError("stream closed"))

    async def _read_replies(self) -> None:
        """Passes each reply to the call that awaits it."""
        try:
            while True:
                frame = await frames.read(self._reader)
                if frame is None:
                    return
                self.frames_read += 1
                frame_id, body = codec.decode_frame(frame)
                reply = self._pending_replies.get(frame_id)
                if reply is not None and not reply.done():
                    reply.set_result(body)
        except (OSError, ValueError) as error:
            logger.debug(f"peers: An outgoing stream failed: {error}")
        finally:
            self._fail_pending()


class PeerStream:
    """The outgoing stream to one peer, connected on demand.

    Args:
      name: Name of this host, sent with each batch.
      address: Address of the peer's listener.
    """

    def __init__(self, *, name: str, address: Address):
        self._name = name
        self.address = address
        self._connection: _Connection | None = None
        self._connect_lock = asyncio.Lock()
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
          on_failure: Called once with the error if the batch that contains
            the sub-request is not acknowledged.
        """
        self._requests.append((request, on_failure))
        self._ensure_sending()

    def send_result(self, result: messages.SubResult) -> None:
        """Queues a result for the next batch.

        The result is dropped if the batch is not acknowledged.
        """
        self._results.append(result)
        self._ensure_sending()

    def send_cancel(self, sub_id: str) -> None:
        """Queues the cancellation of a sub-request for the next batch."""
        self._cancels.append(sub_id)
        self._ensure_sending()

    async def gossip(self, message: messages.Gossip) -> messages.Gossip:
        """Sends a heartbeat and returns the reply.

        Raises:
          PeerError: The peer did not reply in time.
        """
        reply = await self._call(message, GOSSIP_TIMEOUT_S)
        return _check_type(reply, codec.GossipReply).message

    async def fetch_configuration(
        self, known_version: int
    ) -> tuple[int, bytes]:
        """Fetches the configuration if newer than `known_version`.

        Returns:
          The version and the body, or (0, b"") if the peer has none newer.

        Raises:
          PeerError: The peer did not reply in time.
        """
        call = codec.FetchConfiguration(known_version)
        reply = await self._call(call, FETCH_TIMEOUT_S)
        configuration = _check_type(reply, codec.ConfigurationReply)
        return configuration.version, configuration.body

    async def run_ticket(
        self, request: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Forwards a caller's request that only this peer may run.

        Args:
          request: The encoded request.
          timeout_s: Seconds to wait for the reply.

        Returns:
          The HTTP status and the response as JSON bytes.

        Raises:
          PeerNotReachedError: No connection opened; the request did not run.
          PeerError: The peer did not reply in time; the request may have run.
        """
        call = codec.TicketRequest(self._name, request)
        # A long-running request does not mean that the connection is broken.
        reply = await self._call(call, timeout_s, close_on_timeout=False)
        answer = _check_type(reply, codec.TicketAnswer)
        return answer.status, answer.answer

    def close(self) -> None:
        """Closes the stream; the next call reopens it."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close()

    async def _call(
        self,
        body: codec.FrameBody,
        timeout_s: float,
        *,
        close_on_timeout: bool = True,
    ) -> codec.FrameBody:
        """Makes a call and returns its reply.

        Args:
          body: The call.
          timeout_s: Seconds to wait for the reply.
          close_on_timeout: Whether to close the connection on a time-out,
            provided that it has delivered no other reply meanwhile.

        Raises:
          PeerNotReachedError: No connection could be opened.
          PeerError: The peer did not reply, or the connection failed.
        """
        connection = await self._connect()
        frames_before = connection.frames_read
        try:
            async with asyncio.timeout(timeout_s):
                return await connection.call(body)
        except TimeoutError as error:
            # Other calls on a hanging connection would only time out too.  A
            # connection that has delivered other replies meanwhile is slow,
            # not hanging.
            if close_on_timeout and connection.frames_read == frames_before:
                self._discard(connection)
            raise PeerError("no reply before the time-out") from error
        except OSError as error:
            self._discard(connection)
            raise PeerError(str(error)) from error

    def _discard(self, connection: _Connection) -> None:
        """Closes a failed connection, but not one opened since."""
        connection.close()
        if self._connection is connection:
            self._connection = None

    async def _connect(self) -> _Connection:
        """Returns the connection, opening it if necessary.

        Raises:
          PeerNotReachedError: The connection could not be opened in time.
        """
        async with self._connect_lock:
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
        """Starts the sender task unless it is running."""
        if self._sender_task is None or self._sender_task.done():
            self._sender_task = asyncio.create_task(self._send_batches())

    async def _send_batches(self) -> None:
        """Sends batches until the queues are empty."""
        while self._requests or self._results or self._cancels:
            requests = _pop_batch(self._requests)
            batch = codec.Batch(
                sender=self._name,
                requests=tuple(request for request, _ in requests),
                results=tuple(_pop_batch(self._results)),
                cancels=tuple(_pop_batch(self._cancels)),
            )
            try:
                await self._call(batch, ACK_TIMEOUT_S)
            except PeerError as error:
                for _, on_failure in requests:
                    on_failure(error)


async def _send_reply(
    writer: asyncio.StreamWriter, frame_id: int, body: codec.FrameBody
) -> None:
    """Sends a reply, unless the stream is closing or has failed."""
    if writer.is_closing():
        return
    frames.write(writer, codec.encode_frame(frame_id, body))
    with contextlib.suppress(OSError):
        await writer.drain()


def _check_type(reply: codec.FrameBody, expected: type) -> codec.FrameBody:
    """Returns the reply if it has the expected type.

    Raises:
      PeerError: The reply has another type.
    """
    if not isinstance(reply, expected):
        raise PeerError(f"unexpected reply type {type(reply).__name__}")
    return reply


def _pop_batch(queue: list) -> list:
    """Removes and returns up to `MAX_BATCH_MESSAGES` from a queue."""
    taken = queue[:MAX_BATCH_MESSAGES]
    del queue[:MAX_BATCH_MESSAGES]
    return taken
