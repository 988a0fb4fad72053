"""Answers of a fake backend server that come twice, or not whole.

A stutterer stands between the connections of a server and the network.  Behind
some answers it sends a second copy on the same connection; it sends others only
in part and closes the connection.  It keeps a record of all that was sent, so
that a wrong answer to a caller can be traced to what caused it.
"""

import asyncio
import enum
import random as random_module
import time
from typing import Any
from typing import NamedTuple

from eelgrasshall.gateway import listener
from eelgrasshall.gateway import model

# Delays of late copies, of which most are short, so that the connection still
# carries the request that follows.
MIN_DELAY_S = 0.001
MAX_DELAY_S = 2.0
_STATUSES = (200, 404, 421, 429, 500, 503, 504)
_ID_HEADER = b"x-attempt-id:"
_LENGTH_HEADER = b"content-length:"
_HEAD_END = b"\r\n\r\n"


class Kind(enum.Enum):
    """How something is sent.

    Attributes:
      ANSWER: A whole answer.
      CUT_IN_HEAD: An answer up to a byte of its head, then a close.
      CUT_IN_BODY: An answer up to a byte of its body, then a close.
      AT_ONCE: A copy at once, in a segment of its own.
      LATE: A copy after a delay, whatever the connection carries by then.
      BEHIND: A copy in the segment of its answer.
      AHEAD: A copy in the segment of the next answer, in front of it.
    """

    ANSWER = "answer"
    CUT_IN_HEAD = "cut in head"
    CUT_IN_BODY = "cut in body"
    AT_ONCE = "copy at once"
    LATE = "late copy"
    BEHIND = "copy behind"
    AHEAD = "copy ahead"


COPY_KINDS = (Kind.AT_ONCE, Kind.LATE, Kind.BEHIND, Kind.AHEAD)


class Habits(NamedTuple):
    """How often a server stutters, and how.

    Attributes:
      copies: Share of the answers that are followed by a copy.
      cuts: Share of the answers that are sent in part.
      cut_copies: Share of the copies that are sent in part.
      other_status: Share of the copies that have another status.
      no_id: Share of the copies that state no request id.
      unframed: Share of the answers that state no length and end with their
        connection.  They are cut within their head only, and their copies not
        at all: what is left could not be told from a whole body.
    """

    copies: float = 0.0
    cuts: float = 0.0
    cut_copies: float = 0.0
    other_status: float = 0.0
    no_id: float = 0.0
    unframed: float = 0.0


class Sent(NamedTuple):
    """An answer or a copy that was sent on a connection.

    Attributes:
      at_s: Monotonic time.
      connection: Number of the connection at the server.
      request_id: Id of the request that it answers; empty for a health check.
      kind: How it was sent.
      status: The status that it states.
      other_status: Whether that is not the status of the answer.
      has_id: Whether it states the id of its request.
      framed: Whether it states the length of its body.
      delay_s: Time since the answer for a late copy, seconds; otherwise 0.
      size: Number of bytes that were sent.
      full_size: Number of bytes that a whole one has.
    """

    at_s: float
    connection: int
    request_id: str
    kind: Kind
    status: int
    other_status: bool
    has_id: bool
    framed: bool
    delay_s: float
    size: int
    full_size: int

    def describe(self) -> str:
        """Returns its kind with what makes it special."""
        words = [self.kind.value]
        if self.kind in COPY_KINDS:
            if self.size < self.full_size:
                words.append("cut")
            if self.other_status:
                words.append("other status")
            if not self.has_id:
                words.append("no id")
            if not self.framed:
                words.append("no length")
        return ", ".join(words)


class _Message(NamedTuple):
    """An encoded answer, or a copy of one.

    Attributes:
      request_id: Id of its request; empty for a health check.
      status: The status that it states.
      other_status: Whether that is not the status of the answer.
      has_id: Whether it states the id.
      framed: Whether it states the length of its body.
      data: The bytes.
    """

    request_id: str
    status: int
    other_status: bool
    has_id: bool
    framed: bool
    data: bytes


class Stutterer:
    """Decides what a server sends besides or instead of its answers.

    Attributes:
      habits: How often it stutters, and how; not at all by default.
      sent: All that was sent while it stuttered.

    Args:
      random: Random number generator.
    """

    def __init__(self, *, random: random_module.Random):
        self.random = random
        self.habits = Habits()
        self.sent: list[Sent] = []
        self._connection_count = 0

    @property
    def is_active(self) -> bool:
        """Whether it changes answers at present."""
        return self.habits != Habits()

    def number_connection(self) -> int:
        """Returns the number of a new connection."""
        self._connection_count += 1
        return self._connection_count

    def choose_kind(self, *, framed: bool) -> Kind:
        """Returns what is to become of an answer.

        Args:
          framed: Whether it states the length of its body.
        """
        draw = self.random.random()
        if draw < self.habits.cuts:
            kinds = (Kind.CUT_IN_HEAD, Kind.CUT_IN_BODY)
            return self.random.choice(kinds) if framed else Kind.CUT_IN_HEAD
        if draw < self.habits.cuts + self.habits.copies:
            return self.random.choice(COPY_KINDS) if framed else Kind.BEHIND
        return Kind.ANSWER

    def choose_delay_s(self) -> float:
        """Returns the delay of a late copy."""
        ratio = MAX_DELAY_S / MIN_DELAY_S
        return MIN_DELAY_S * ratio ** self.random.random()

    def choose_cut(self, data: bytes, kind: Kind) -> int:
        """Returns after how many bytes an answer ends."""
        head_size = data.index(_HEAD_END) + len(_HEAD_END)
        if kind is Kind.CUT_IN_BODY and head_size < len(data):
            return self.random.randrange(head_size, len(data))
        return self.random.randrange(1, head_size)

    def make_answer(self, data: bytes) -> _Message:
        """Returns an answer with its headers in random order.

        What a part of it means depends on which headers stand in it.
        """
        head, _, body = data.partition(_HEAD_END)
        status_line, *lines = head.split(b"\r\n")
        framed = self.random.random() >= self.habits.unframed
        if not framed:
            lines = _remove_header(lines, _LENGTH_HEADER)
            lines.append(b"Connection: close")
        self.random.shuffle(lines)
        request_id = _find_id(lines)
        data = b"\r\n".join((status_line, *lines)) + _HEAD_END + body
        status = int(status_line.split()[1])
        return _Message(
            request_id, status, False, bool(request_id), framed, data
        )

    def make_copy(self, answer: _Message) -> _Message:
        """Returns a copy of an answer, with differences that it draws."""
        status, has_id = answer.status, answer.has_id
        if self.random.random() < self.habits.other_status:
            status = self.random.choice(
                [each for each in _STATUSES if each != status]
            )
        if self.random.random() < self.habits.no_id:
            has_id = False
        head, _, body = answer.data.partition(_HEAD_END)
        status_line, *lines = head.split(b"\r\n")
        if not has_id:
            lines = _remove_header(lines, _ID_HEADER)
        if status != answer.status:
            status_line = b"HTTP/1.1 %d Status" % status
        data = b"\r\n".join((status_line, *lines)) + _HEAD_END + body
        return answer._replace(
            status=status,
            other_status=status != answer.status,
            has_id=has_id,
            data=data,
        )

    def choose_part(self, copy: _Message) -> bytes:
        """Returns the bytes of a copy, or those up to a random one."""
        if copy.framed and self.random.random() < self.habits.cut_copies:
            return copy.data[: self.random.randrange(1, len(copy.data))]
        return copy.data

    def record(
        self,
        connection: int,
        message: _Message,
        kind: Kind,
        size: int,
        delay_s: float = 0.0,
    ) -> None:
        """Records an answer or a copy that is sent now."""
        self.sent.append(
            Sent(
                time.monotonic(),
                connection,
                message.request_id,
                kind,
                message.status,
                message.other_status,
                message.has_id,
                message.framed,
                delay_s,
                size,
                len(message.data),
            )
        )


class StutteringListener(listener.Listener):
    """A listener whose answers pass through a stutterer.

    Args:
      stutterer: The stutterer.
      handler: Coroutine function that answers a request.
    """

    def __init__(self, *, stutterer: Stutterer, handler: listener.Handler):
        super().__init__(handler=handler, get_limits=model.CallerLimits)
        self._stutterer = stutterer

    async def start(self, address: model.Address) -> None:
        """Starts to accept connections on an address.

        Raises:
          OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(listener=self, stutterer=self._stutterer),
            address.ip,
            address.port,
            backlog=1024,
        )
        self._sweep_timer = loop.call_later(
            listener.SWEEP_INTERVAL_S, self._sweep
        )


class _Connection(listener.CallerConnection):
    """A connection to a server that stutters.

    Args:
      listener: The listener that accepted it.
      stutterer: The stutterer of the server.
    """

    __slots__ = ("_stutterer",)

    def __init__(self, *, listener: StutteringListener, stutterer: Stutterer):
        super().__init__(listener=listener)
        self._stutterer = stutterer

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Lets all that is sent pass through the stutterer."""
        super().connection_made(
            _Transport(transport=transport, stutterer=self._stutterer)
        )


class _Transport:
    """A transport that each answer is written to in one call.

    Args:
      transport: The transport of the connection.
      stutterer: The stutterer of the server.
    """

    def __init__(self, *, transport: asyncio.Transport, stutterer: Stutterer):
        self._transport = transport
        self._stutterer = stutterer
        self._number = stutterer.number_connection()
        self._loop = asyncio.get_running_loop()
        self._ended = False
        # The copy that is sent in front of the next answer, and its part.
        self._waiting: tuple[_Message, bytes] | None = None

    def __getattr__(self, name: str) -> Any:
        """Returns what the transport itself does."""
        return getattr(self._transport, name)

    def write_eof(self) -> None:
        """Ends what is sent; late copies are dropped."""
        self._ended = True
        self._transport.write_eof()

    def write(self, data: bytes) -> None:
        """Sends an answer, and perhaps a copy, or a part of the answer."""
        ahead = b""
        stutterer = self._stutterer
        if self._waiting is not None:
            copy, ahead = self._waiting
            self._waiting = None
            stutterer.record(self._number, copy, Kind.AHEAD, len(ahead))
        if not stutterer.is_active:
            self._transport.write(ahead + data)
            return
        answer = stutterer.make_answer(data)
        kind = stutterer.choose_kind(framed=answer.framed)
        if kind in (Kind.CUT_IN_HEAD, Kind.CUT_IN_BODY):
            size = stutterer.choose_cut(answer.data, kind)
            stutterer.record(self._number, answer, kind, size)
            self._transport.write(ahead + answer.data[:size])
            self._transport.close()
            return
        size = len(answer.data)
        stutterer.record(self._number, answer, Kind.ANSWER, size)
        copy, part = answer, b""
        if kind is not Kind.ANSWER:
            copy = stutterer.make_copy(answer)
            part = stutterer.choose_part(copy)
        if kind is Kind.BEHIND:
            stutterer.record(self._number, copy, kind, len(part))
        if kind in (Kind.ANSWER, Kind.BEHIND):
            self._transport.write(ahead + answer.data + part)
            if not answer.framed:
                self._transport.close()
            return
        self._transport.write(ahead + answer.data)
        if kind is Kind.AHEAD:
            self._waiting = (copy, part)
        elif kind is Kind.AT_ONCE:
            self._loop.call_soon(self._send_copy, copy, part, kind, 0.0)
        else:
            delay_s = stutterer.choose_delay_s()
            self._loop.call_later(
                delay_s, self._send_copy, copy, part, kind, delay_s
            )

    def _send_copy(
        self, copy: _Message, part: bytes, kind: Kind, delay_s: float
    ) -> None:
        """Sends a copy in a segment of its own, if the connection is open."""
        if self._ended or self._transport.is_closing():
            return
        self._stutterer.record(self._number, copy, kind, len(part), delay_s)
        self._transport.write(part)


def _remove_header(lines: list[bytes], name: bytes) -> list[bytes]:
    """Returns header lines without those of a header.

    Args:
      lines: The lines.
      name: Its name in lower case, with the colon.
    """
    return [line for line in lines if not line.lower().startswith(name)]


def _find_id(lines: list[bytes]) -> str:
    """Returns the request id that header lines state, or an empty string."""
    for line in lines:
        if line.lower().startswith(_ID_HEADER):
            return line[len(_ID_HEADER) :].strip().decode()
    return ""
