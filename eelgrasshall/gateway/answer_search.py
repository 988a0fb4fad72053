"""Searches what a server may send on one connection for wrong outcomes.

An order is what a backend server sends on one connection over up to three
requests: whole answers, late or cut copies of them, bytes that are no response,
and the end of the connection, divided into reads.  The orders are delivered to
a real `connections.Connection`.  The oracle knows which bytes were sent for
which request, and names each outcome that they don't allow.

    python -m eelgrasshall.gateway.answer_search --orders 300000 --seed 1
"""

import argparse
import asyncio
import collections
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import enum
import functools
import itertools
import random
import re
import time
from typing import Any
from typing import NamedTuple

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import messages

_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
# Bytes that are no response.  A line break before a response is one that
# parsers tend to skip.
_SURPLUS = (b"x", b"\r\n", b"\x00\xff\r\n\r\n", b"garbage\r\n\r\n")
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

    Attributes:
      request: Name of the request, which is its id.
      status: The status; 503 states that the request did not run.
      framing: How the end of the body is stated.
      has_id: Whether it has the id of the request.
      has_seal: Whether it has a signature.
      has_interim: Whether an interim response stands before it.
      version: The version of HTTP.
    """

    request: str
    status: int = 200
    framing: Framing = Framing.LENGTH_LAST
    has_id: bool = True
    has_seal: bool = True
    has_interim: bool = False
    version: str = "1.1"

    @property
    def body(self) -> bytes:
        """The body."""
        return f"body-{self.request}-{self.status}".encode()

    @property
    def seal(self) -> bytes | None:
        """The signature, if any."""
        seal = f"seal-{self.request}-{self.status}".encode()
        return seal if self.has_seal else None

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
    if answer.framing in (Framing.CHUNKS, Framing.TRAILER):
        trailer = (
            b"X-Check: 1\r\n" if answer.framing is Framing.TRAILER else b""
        )
        body = b"4\r\n%s\r\n%x\r\n%s\r\n0\r\n%s\r\n" % (
            body[:4],
            len(body) - 4,
            body[4:],
            trailer,
        )
    interim = _INTERIM if answer.has_interim else b""
    return interim + encode_head(answer) + body


# What happens on a connection.


class Send(NamedTuple):
    """A request is sent, unless the connection is closed or in use."""

    request: str


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
        """Whether it is a whole answer."""
        return self.answer is not None and self.data == encode(self.answer)


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


class Exchange(NamedTuple):
    """A request that was sent, and its outcome.

    Attributes:
      request: Name of the request.
      start: Position in the bytes of the server when it was sent.
      end: Position after the read that brought the outcome.
      ending: The end of the connection, if that brought the outcome.
      outcome: The outcome; None if there is none.
    """

    request: str
    start: int
    end: int
    ending: End | None
    outcome: messages.Reply | messages.Failure | None


Script = tuple[Send | Piece | End, ...]


# The generator.


def cut(answer: Answer, size: int | None = None) -> Piece:
    """Returns the first bytes of an answer; all of them by default."""
    return Piece(encode(answer)[:size], answer)


def list_answers(requests: Iterable[str]) -> Iterator[Answer]:
    """Lists answers to requests, one kind of oddity at a time."""
    for request in requests:
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
            interim = len(_INTERIM) if step.answer.has_interim else 0
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
        yield from itertools.product(list_answers([first]), some[1])
        yield from itertools.product(some[0], list_answers([second]))


def list_single(step: int) -> Iterator[Script]:
    """Lists answers that are whole, or cut by the end of the connection."""
    for begin, request in (((), "a"), ((), HEALTH_CHECK), (_KEPT, "b")):
        for answer in list_answers([request]):
            yield (*begin, Send(request), cut(answer), *_THIRD)
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
    for data, answer in itertools.product(_SURPLUS, list_answers(["b"])):
        surplus, send, own = Piece(data), Send("b"), cut(answer)
        for begin in ((), _KEPT):
            yield (*begin, surplus, send, own, *_THIRD)
            yield (*begin, send, surplus, own, *_THIRD)
            yield (*begin, send, own, surplus, *_THIRD)


Choose = Callable[[Sequence[Any]], Any]


@functools.cache
def _get_answers(request: str) -> Sequence[Answer]:
    """Returns the answers to a request."""
    return tuple(list_answers([request]))


def make_order(choose: Choose) -> Order:
    """Returns an order with any number of disturbances.

    Args:
      choose: Returns an item of a sequence; the first one is the simplest.
    """
    steps: list[Send | Piece | End] = []
    asked: list[str] = []
    first = choose(("a", HEALTH_CHECK))
    for request in (first, "b", "c")[: choose((2, 3, 1))]:
        steps.append(Send(request))
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


# Delivery to a connection.


def deliver(order: Order) -> list[Exchange]:
    """Delivers an order to a connection; needs a running event loop.

    Returns:
      The requests that were sent.  It stops when the connection is closed.
    """
    connected = fakes.ConnectedBackend()
    connection, backend = connected.connection, connected.backend
    owner = fakes.OutcomeRecorder()
    exchanges: list[Exchange] = []
    position = 0
    attempt = None
    waiting: list[bytes] = []

    def record(ending: End | None = None) -> None:
        outcome = owner.outcomes.get(attempt)
        if attempt is not None and exchanges[-1].outcome is None:
            exchanges[-1] = exchanges[-1]._replace(
                end=position, ending=ending, outcome=outcome
            )

    for step in (*order.steps, End()):
        if isinstance(step, Piece):
            waiting.append(step.data)
            continue
        for data in _divide(b"".join(waiting), position, order.cuts):
            position += len(data)
            connection.data_received(data)
            record()
            if connected.transport.closed:
                break
        waiting = []
        if connected.transport.closed:
            break
        if isinstance(step, Send) and connection.attempt is None:
            attempt = fakes.make_attempt(owner, step.request)
            attempt.request_id = step.request.encode() or None
            backend.submit(attempt)
            exchanges.append(
                Exchange(step.request, position, position, None, None)
            )
            if attempt.connection is not connection:
                raise AssertionError("sent on another connection")
            continue
        # A connection with a request in flight carries no other one.
        ending = step if isinstance(step, End) else End()
        if not ending.reset:
            connection.eof_received()
        connection.connection_lost(
            ConnectionResetError() if ending.reset else None
        )
        record(ending)
        break
    backend.close()
    return exchanges


def _divide(
    data: bytes, position: int, cuts: Container[int]
) -> Iterator[bytes]:
    """Divides bytes into reads.

    Args:
      data: The bytes.
      position: Position of the first one.
      cuts: Positions at which a read ends.
    """
    start = 0
    for end in range(1, len(data)):
        if position + end in cuts:
            yield data[start:end]
            start = end
    if data:
        yield data[start:]


# The oracle.


class Unknowable(enum.Enum):
    """Wrong outcomes that a host has no means to tell, by reason."""

    # A body without a length ends where the connection ends, so that a close
    # within the body looks like its end.
    CUT_WITHOUT_LENGTH = "body without length that is cut by a close"
    # All bytes up to the close belong to the body, unless they show the head of
    # a response.
    FOLLOWED_WITHOUT_LENGTH = "body without length and bytes of no response"
    # The stated number of bytes has arrived behind the head.
    FILLED = "cut body that is filled up by what follows"


class Violation(NamedTuple):
    """An outcome that the bytes do not allow.

    Attributes:
      kind: What is wrong with it.
      request: Name of the request.
    """

    kind: str
    request: str


class Verdict(NamedTuple):
    """What the oracle says of an order.

    Attributes:
      violations: Outcomes that are wrong.
      unknowable: Outcomes that are wrong and cannot be told.
    """

    violations: list[Violation]
    unknowable: list[Unknowable]


# The beginning of a head, which a body that is not cut does not have here.
_STATUS_LINE = re.compile(rb"HTTP/1\.\d \d\d\d")


def judge(order: Order, exchanges: list[Exchange]) -> Verdict:
    """Returns which outcomes the bytes of an order do not allow.

    An attempt may always fail, unless its answer came first on a connection
    without doubt.  A response must be one that was sent for this request.
    """
    verdict = Verdict([], [])
    pieces = _locate(order)
    stream = b"".join(piece.data for _, piece in pieces)
    # Whether all bytes before this request are whole answers, one for each.
    clean = True
    position = 0
    for number, exchange in enumerate(exchanges):
        if exchange.start != position:
            clean = False
        if not clean and not verdict.unknowable:
            verdict.violations.append(
                Violation("connection used after a doubt", exchange.request)
            )
        position = exchange.end
        received = _skip_interim(stream[exchange.start : exchange.end])
        own = [
            piece.answer
            for start, piece in pieces
            if start >= exchange.start
            and start + len(piece.data) <= exchange.end
            and piece.is_whole
            and piece.answer.request == exchange.request
            and _is_ended(piece.answer, exchange)
        ]
        due = _find_due(number, exchange, own, received) if clean else None
        outcome = exchange.outcome
        kind = None
        if outcome is None:
            kind = "no outcome"
        elif isinstance(outcome, messages.Failure):
            if outcome.not_run:
                kind = "not sent, though it was"
            elif due is not None:
                kind = "answer that came first is not taken"
        elif not any(_equals(outcome, each, each.body) for each in own):
            reason = _explain(exchange, pieces, received) if clean else None
            if reason is not None:
                verdict.unknowable.append(reason)
            else:
                kind = _describe(outcome, exchange, own)
        elif due is not None and not _equals(outcome, due, due.body):
            kind = "answer that came second is taken"
        if kind is not None:
            verdict.violations.append(Violation(kind, exchange.request))
        clean = clean and any(
            received == encode(each._replace(has_interim=False))
            and not each.ends_connection
            for each in own
        )
    return verdict


def _locate(order: Order) -> list[tuple[int, Piece]]:
    """Returns the pieces with their positions."""
    pieces = [each for each in order.steps if isinstance(each, Piece)]
    sizes = (len(each.data) for each in pieces)
    positions = itertools.accumulate(sizes, initial=0)
    return list(zip(positions, pieces, strict=False))


def _skip_interim(data: bytes) -> bytes:
    """Returns bytes without interim responses; these belong to no request."""
    while data.startswith(_INTERIM):
        data = data[len(_INTERIM) :]
    return data


def _is_ended(answer: Answer, exchange: Exchange) -> bool:
    """Returns whether an answer that has arrived is known to be whole."""
    ends_with_close = answer.framing is Framing.NONE
    return not ends_with_close or exchange.ending == End(reset=False)


def _find_due(
    number: int, exchange: Exchange, own: list[Answer], received: bytes
) -> Answer | None:
    """Returns the answer that must be taken, if any.

    One without an id may be a late one, unless it is a failure on a connection
    that carried no request before.
    """
    for answer in own[:1]:
        data = encode(answer._replace(has_interim=False))
        named = answer.has_id or exchange.request == HEALTH_CHECK
        if not (named or (number == 0 and answer.status >= 300)):
            return None
        if answer.framing is Framing.NONE:
            return answer if received == data else None
        return answer if received.startswith(data) else None
    return None


def _equals(reply: messages.Reply, answer: Answer, body: bytes) -> bool:
    """Returns whether a response is an answer, with a body."""
    headers = [each for each in reply.headers if each[0] != b"X-Check"]
    return (
        reply.status == answer.status
        and reply.body == body
        and reply.seal == answer.seal
        and reply.not_run == (answer.status == 503)
        and headers == answer.headers
    )


def _explain(
    exchange: Exchange, pieces: list[tuple[int, Piece]], received: bytes
) -> Unknowable | None:
    """Returns why a response with a wrong body cannot be told, if so.

    That needs the whole head of an answer to this request as the first bytes.
    """
    for start, piece in pieces:
        answer = piece.answer
        if start < exchange.start or answer is None:
            continue
        head = encode_head(answer)
        if answer.request != exchange.request or not received.startswith(head):
            return None
        body = received[len(head) :]
        if answer.framing is Framing.NONE:
            if exchange.ending != End() or _STATUS_LINE.search(body):
                return None
            reason = Unknowable.FOLLOWED_WITHOUT_LENGTH
            if answer.body.startswith(body):
                reason = Unknowable.CUT_WITHOUT_LENGTH
        else:
            body = body[: len(answer.body)]
            reason = Unknowable.FILLED
        return reason if _equals(exchange.outcome, answer, body) else None
    return None


def _describe(
    reply: messages.Reply, exchange: Exchange, own: list[Answer]
) -> str:
    """Returns what is wrong with a response."""
    kind = "success" if reply.succeeded else "failure"
    if not own:
        return f"{kind} without an answer to this request"
    answer = own[0]
    wrong = [
        name
        for name, differs in (
            ("status", reply.status != answer.status),
            ("signature", reply.seal != answer.seal),
            ("body", reply.body != answer.body),
            ("not run", reply.not_run != (answer.status == 503)),
        )
        if differs
    ]
    return f"{kind} with wrong {', '.join(wrong or ['headers'])}"


def describe(order: Order, exchanges: list[Exchange]) -> str:
    """Returns an order, its reads and its outcomes as text."""
    lines = []
    position = 0
    for step in order.steps:
        if not isinstance(step, Piece):
            lines.append(f"  {step}")
            continue
        data = step.data
        reads = b" | ".join(_divide(data, position, order.cuts))
        position += len(data)
        if position in order.cuts:
            reads += b" |"
        name = "no response"
        if step.answer is not None:
            owner = step.answer.request or "health check"
            name = f"for {owner}, {'whole' if step.is_whole else 'cut'}"
        lines.append(f"  server, {name}: {reads!r}")
    for exchange in exchanges:
        outcome: object = exchange.outcome
        if isinstance(outcome, messages.Reply):
            outcome = (
                f"{outcome.status}, signature {outcome.seal}, body"
                f" {outcome.body}, not run: {outcome.not_run},"
                f" {outcome.headers}"
            )
        name = exchange.request or "health check"
        lines.append(f"  -> {name} at {exchange.end}: {outcome}")
    return "\n".join(lines)


# The program.


class Tally:
    """Counts orders and what is wrong with them."""

    def __init__(self):
        self.orders = 0
        self.exchanges = 0
        self.unknowable: collections.Counter[str] = collections.Counter()
        self.kinds: collections.Counter[str] = collections.Counter()
        self.shortest: dict[str, tuple[int, str]] = {}

    def check(self, order: Order) -> None:
        """Delivers and judges an order; needs a running event loop."""
        exchanges = deliver(order)
        verdict = judge(order, exchanges)
        self.orders += 1
        self.exchanges += len(exchanges)
        self.unknowable.update(each.value for each in verdict.unknowable)
        for violation in verdict.violations:
            self.kinds[violation.kind] += 1
            pieces = [each for each in order.steps if isinstance(each, Piece)]
            size = sum(len(each.data) for each in pieces)
            size += 100 * len(pieces) + len(list(order.cuts))
            shortest = self.shortest.get(violation.kind)
            if shortest is None or size < shortest[0]:
                text = describe(order, exchanges)
                self.shortest[violation.kind] = (size, text)

    def report(self) -> str:
        """Returns the counts and the shortest order of each kind."""
        lines = [f"orders: {self.orders}, requests sent: {self.exchanges}"]
        for name, number in self.unknowable.most_common():
            lines.append(f"cannot be told: {number} {name}")
        for kind, number in self.kinds.most_common():
            lines.append(f"wrong: {number} {kind}")
        for kind, (_, text) in self.shortest.items():
            lines.append(f"{kind}:\n{text}")
        return "\n".join(lines)


async def _search(options: argparse.Namespace) -> Tally:
    """Searches all orders with one disturbance, then random ones."""
    tally = Tally()
    started_s = time.monotonic()
    for script in list_scripts(thorough=True, step=options.step):
        for order in divide(script, thorough=True):
            tally.check(order)
    print(f"one disturbance: {time.monotonic() - started_s:.0f} s")
    choose = random.Random(options.seed).choice
    for _ in range(options.orders):
        tally.check(make_order(choose))
    print(f"all: {time.monotonic() - started_s:.0f} s")
    return tally


def main() -> None:
    """Runs a wide search and prints what it finds."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument(
        "--step", type=int, default=5, help="bytes between the cuts"
    )
    parser.add_argument(
        "--orders", type=int, default=300_000, help="random orders"
    )
    parser.add_argument("--seed", type=int, default=1)
    tally = asyncio.run(_search(parser.parse_args()))
    print(tally.report())
    if tally.kinds:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
