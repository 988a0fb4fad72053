"""Orders of bytes that a backend server may send on one connection.

An order has up to three requests, and whole answers, late or cut copies of
them, bytes that are no response, and the end of the connection, divided into
reads.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterator
from collections.abc import Sequence
import enum
import functools
import itertools
from typing import Any
from typing import NamedTuple

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
# Bytes that are no response.  A line break is not among them: the parser skips
# it between two responses, and no response can come of it.
_SURPLUS = (
    b"x",
    b"\x16\x03\x01\x02\x00",
    b"\x00\xff\r\n\r\n",
    b"garbage\r\n\r\n",
)
# The name of a health check, which has no id.
HEALTH_CHECK = ""


class Framing(enum.Enum):
    """How the end of a body is stated."""

    LENGTH_FIRST = "length first"
    LENGTH_LAST = "length last"
    CHUNKS = "chunks"
    TRAILER = "chunks and trailer"
    NONE = "none"


class Answer(NamedTuple):
    """A server's answer to a request; its body names request and status.

    If the end of the body is stated, that of a 404 response quotes a response,
    which is nothing that a host may take amiss.

    Attributes:
      request: Name of the request, which is its id.
      status: The status; 503 states that the request did not run.
      framing: How the end of the body is stated.
      has_id: Whether it has the id of the request.
      has_seal: Whether it has a signature.
      has_interim: Whether an interim response stands before it.
      version: The version of HTTP.
      repeated: Name of a header that stands there twice, first with the value
        for another request; such a response may not be taken.
    """

    request: str
    status: int = 200
    framing: Framing = Framing.LENGTH_LAST
    has_id: bool = True
    has_seal: bool = True
    has_interim: bool = False
    version: str = "1.1"
    repeated: bytes = b""

    @property
    def body(self) -> bytes:
        """The body."""
        body = f"body-{self.request}-{self.status}".encode()
        if self.status == 404 and self.framing is not Framing.NONE:
            body = b"HTTP/1.1 404 OK\r\n\r\n" + body
        # A chunk may have room for the whole head of another response.
        return body.ljust(100) if self.framing is Framing.CHUNKS else body

    @property
    def seal(self) -> bytes | None:
        """The signature, if any."""
        seal = f"seal-{self.request}-{self.status}".encode()
        return seal if self.has_seal else None

    @property
    def is_valid(self) -> bool:
        """Whether it may be taken for an answer: a success needs its id."""
        is_named = self.has_id or self.request == HEALTH_CHECK
        return not self.repeated and (is_named or self.status >= 300)

    @property
    def ends_connection(self) -> bool:
        """Whether the server closes the connection behind it."""
        return self.framing is Framing.NONE or self.version == "1.0"

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """The headers in the order in which they are sent."""
        headers = [(b"Date", b"d")]
        if self.framing is Framing.LENGTH_FIRST:
            headers.insert(0, (b"Content-Length", b"%d" % len(self.body)))
        if self.status == 503:
            headers.append((b"X-Not-Run", b"1"))
        if self.repeated:
            headers.append((self.repeated, b"other"))
        if self.has_id:
            headers.append((b"X-Id", self.request.encode()))
        if self.has_seal:
            headers.append((b"X-Seal", self.seal))
        if self.framing is Framing.LENGTH_LAST:
            headers.append((b"Content-Length", b"%d" % len(self.body)))
        elif self.framing in (Framing.CHUNKS, Framing.TRAILER):
            headers.append((b"Transfer-Encoding", b"chunked"))
        return headers


@functools.cache
def encode_head(answer: Answer) -> bytes:
    """Returns the head of an answer, without an interim response."""
    lines = [f"HTTP/{answer.version} {answer.status} OK".encode()]
    lines += [b"%s: %s" % header for header in answer.headers]
    return b"\r\n".join([*lines, b"", b""])


@functools.cache
def encode(answer: Answer) -> bytes:
    """Returns all bytes of an answer."""
    body = answer.body
    if answer.framing is Framing.CHUNKS:
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    elif answer.framing is Framing.TRAILER:
        body = b"4\r\n%s\r\n%x\r\n%s\r\n0\r\nX-Check: 1\r\n\r\n" % (
            body[:4],
            len(body) - 4,
            body[4:],
        )
    interim = INTERIM if answer.has_interim else b""
    return interim + encode_head(answer) + body


# What happens on a connection.


class Send(NamedTuple):
    """A request is sent, unless the connection is closed or in use.

    Attributes:
      request: Name of the request.
      is_partial: Whether the rest of the request waits to be sent for as long
        as the answer takes.
    """

    request: str
    is_partial: bool = False


class Piece(NamedTuple):
    """Bytes that the server sends.

    Attributes:
      data: The bytes.
      answer: The answer that begins with them; None if they are no response.
    """

    data: bytes
    answer: Answer | None = None

    @property
    def is_whole(self) -> bool:
        """Whether it is a whole answer that may be taken for one."""
        return (
            self.answer is not None
            and self.answer.is_valid
            and self.data == encode(self.answer)
        )


class End(NamedTuple):
    """The server ends the connection."""

    reset: bool = False


class Order(NamedTuple):
    """What is sent on a connection.

    Attributes:
      steps: What happens, in order.  A close follows the last step.
      cuts: Positions in the bytes of the server at which a read ends, besides
        the places where a request is sent or the connection ends.
    """

    steps: "Script"
    cuts: Container[int] = ()


Script = tuple[Send | Piece | End, ...]


# The generator.


def cut(answer: Answer, size: int | None = None) -> Piece:
    """Returns the first bytes of an answer; all of them by default."""
    return Piece(encode(answer)[:size], answer)


def list_answers(request: str) -> Iterator[Answer]:
    """Lists answers to a request, one kind of oddity at a time."""
    has_id = request != HEALTH_CHECK
    for framing, status in itertools.product(Framing, (200, 500, 503, 404)):
        answer = Answer(request, status, framing, has_id=has_id)
        yield answer
        if has_id:
            yield answer._replace(has_id=False)
    for status in (200, 500):
        answer = Answer(request, status, has_id=has_id)
        yield answer._replace(has_seal=False)
        yield answer._replace(has_interim=True)
        yield answer._replace(version="1.0")
        yield answer._replace(version="1.0", framing=Framing.NONE)
        yield answer._replace(repeated=b"X-Seal")
        if has_id:
            yield answer._replace(repeated=b"X-Id")


def list_cuts(answer: Answer, step: int = 1) -> Iterator[Piece]:
    """Lists the beginnings of an answer, and the whole of it last."""
    size = len(encode(answer))
    for end in range(1, size, step):
        yield cut(answer, end)
    yield cut(answer)


def list_few_answers(request: str) -> Iterator[Answer]:
    """Lists some answers that differ in all that matters most."""
    has_id = request != HEALTH_CHECK
    for status, framing, with_id in (
        (200, Framing.LENGTH_LAST, True),
        (200, Framing.NONE, True),
        (200, Framing.CHUNKS, True),
        (500, Framing.LENGTH_LAST, True),
        (500, Framing.NONE, False),
        (503, Framing.LENGTH_FIRST, False),
    ):
        yield Answer(request, status, framing, has_id=has_id and with_id)


def divide(steps: Script, *, thorough: bool) -> Iterator[Order]:
    """Lists orders that differ in their reads only.

    These are as few reads as possible, one for each byte, and a further read
    that ends with a piece.

    Args:
      steps: What happens.
      thorough: Whether further reads end with a head, and one byte before or
        behind the end of a head or a piece.
    """
    yield Order(steps)
    position = 0
    places = set()
    for step in steps:
        if not isinstance(step, Piece):
            continue
        if thorough and step.answer is not None:
            interim = len(INTERIM) if step.answer.has_interim else 0
            head = position + interim + len(encode_head(step.answer))
            places |= {position + interim, head - 1, head, head + 1}
        position += len(step.data)
        places.add(position)
        if thorough:
            places |= {position - 1, position + 1}
    yield Order(steps, range(position))
    for place in sorted(places):
        if 0 < place < position:
            yield Order(steps, (place,))


def list_scripts(*, thorough: bool, step: int = 1) -> Iterator[Script]:
    """Lists scripts of up to two requests with one disturbance.

    A third request follows to show whether the connection is still in use.

    Args:
      thorough: Whether each kind of answer meets each of some, rather than
        some of them each other.
      step: Of the bytes at which an answer is cut, how far apart they are.
    """
    yield from list_single(step)
    yield from list_restarts(thorough, step)
    for former in ("a", HEALTH_CHECK):
        yield from list_copies(former, thorough, step)
    yield from list_surplus()


_KEPT = (Send("a"), cut(Answer("a")))
_THIRD = (Send("c"), cut(Answer("c")))


def _pair(
    first: str, second: str, thorough: bool
) -> Iterator[tuple[Answer, Answer]]:
    """Lists pairs of answers to two requests."""
    some = list(list_few_answers(first)), list(list_few_answers(second))
    yield from itertools.product(*some)
    if thorough:
        yield from itertools.product(list_answers(first), some[1])
        yield from itertools.product(some[0], list_answers(second))


def list_single(step: int) -> Iterator[Script]:
    """Lists answers that are whole, or cut by the end of the connection."""
    for begin, request in (((), "a"), ((), HEALTH_CHECK), (_KEPT, "b")):
        answers = list(list_answers(request))
        for answer in answers:
            yield (*begin, Send(request), cut(answer), *_THIRD)
            yield (*begin, Send(request, True), cut(answer), *_THIRD)
        for answer in list_few_answers(request) if begin else answers:
            for piece in list_cuts(answer, step):
                yield (*begin, Send(request), piece)
                yield (*begin, Send(request), piece, End(reset=True))


def list_restarts(thorough: bool, step: int) -> Iterator[Script]:
    """Lists cut answers that another one to the same request follows."""
    for first, second in _pair("a", "a", thorough):
        for piece in list_cuts(first, step):
            yield (Send("a"), piece, cut(second), *_THIRD)


def list_copies(former: str, thorough: bool, step: int) -> Iterator[Script]:
    """Lists copies behind an answer, or around the answer to the next one."""
    has_id = former != HEALTH_CHECK
    begin = (Send(former), cut(Answer(former, has_id=has_id)))
    for copy, answer in _pair(former, "b", thorough):
        for piece in list_cuts(copy, step):
            yield (*begin, piece, Send("b"), cut(answer), *_THIRD)
            yield (*begin, Send("b"), piece, cut(answer), *_THIRD)
            yield (*begin, Send("b"), cut(answer), piece, *_THIRD)


def list_surplus() -> Iterator[Script]:
    """Lists bytes that are no response, at any place."""
    for data, answer in itertools.product(_SURPLUS, list_answers("b")):
        surplus, send, own = Piece(data), Send("b"), cut(answer)
        for begin in ((), _KEPT):
            yield (*begin, surplus, send, own, *_THIRD)
            yield (*begin, send, surplus, own, *_THIRD)
            yield (*begin, send, own, surplus, *_THIRD)


Choose = Callable[[Sequence[Any]], Any]


@functools.cache
def _get_answers(request: str) -> Sequence[Answer]:
    """Returns the answers to a request."""
    return tuple(list_answers(request))


def make_order(choose: Choose) -> Order:
    """Returns an order with any number of disturbances.

    Args:
      choose: Returns an item of a sequence; the first one is the simplest.
    """
    steps: list[Send | Piece | End] = []
    asked: list[str] = []
    first = choose(("a", HEALTH_CHECK))
    for request in (first, "b", "c")[: choose((2, 3, 1))]:
        steps.append(Send(request, choose((False, False, False, True))))
        asked.append(request)
        for _ in range(choose((0, 1, 0, 2))):
            steps.append(_make_disturbance(choose, asked))
        if choose((True, True, True, False)):
            has_id = request != HEALTH_CHECK
            answer = Answer(request, has_id=has_id)
            if choose((False, True)):
                answer = choose(_get_answers(request))
            steps.append(cut(answer))
        for _ in range(choose((0, 0, 1))):
            steps.append(_make_disturbance(choose, asked))
    if choose((False, True)):
        steps.append(End(reset=True))
    size = sum(len(each.data) for each in steps if isinstance(each, Piece))
    cuts: Container[int] = ()
    if size and choose((False, True)):
        cuts = range(size)
        if choose((True, False)):
            cuts = tuple(choose(range(size)) for _ in range(choose((1, 2, 3))))
    return Order(tuple(steps), cuts)


def _make_disturbance(choose: Choose, asked: list[str]) -> Piece:
    """Returns a copy of an answer that may be cut, or no response."""
    if choose((True, True, True, False)):
        answer = choose(_get_answers(choose(asked)))
        if choose((True, False)):
            return cut(answer)
        return cut(answer, choose(range(1, len(encode(answer)))))
    return Piece(choose(_SURPLUS))
