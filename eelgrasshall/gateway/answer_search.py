"""Searches what a server may send on one connection for wrong outcomes.

The orders of `answer_orders` are delivered to a real `connections.Connection`.
The oracle knows which bytes were sent for which request, and names each outcome
that they don't allow.

    python -m eelgrasshall.gateway.answer_search --orders 300000 --seed 1
"""

import argparse
import asyncio
import collections
from collections.abc import Container
from collections.abc import Iterator
import enum
import itertools
import random
import re
import time
from typing import NamedTuple

from eelgrasshall.gateway import answer_orders
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import messages

# An orderly end of the connection.
_CLOSE = answer_orders.End()


# Delivery to a connection.


class Exchange(NamedTuple):
    """A request that was sent, and its outcome.

    Attributes:
      sent: The request.
      start: Position in the bytes of the server when it was sent.
      end: Position after the read that brought the outcome.
      ending: The end of the connection, if that brought the outcome.
      outcome: The outcome; None if there is none.
    """

    sent: answer_orders.Send
    start: int
    end: int
    ending: answer_orders.End | None
    outcome: messages.Reply | messages.Failure | None

    @property
    def request(self) -> str:
        """Name of the request."""
        return self.sent.request


def deliver(order: answer_orders.Order) -> list[Exchange]:
    """Delivers an order to a connection; needs a running event loop.

    Returns:
      The requests that were sent.  It stops when the connection is closed.
    """
    connected = fakes.ConnectedBackend()
    connection, transport = connected.connection, connected.transport
    owner = fakes.OutcomeRecorder()
    exchanges: list[Exchange] = []
    sent, start, position = None, 0, 0
    waiting: list[bytes] = []

    def record(ending: answer_orders.End | None = None) -> None:
        """Notes the outcome of the attempt in flight."""
        nonlocal sent
        if sent is not None:
            outcome = owner.outcomes.pop(attempt, None)
            exchanges.append(Exchange(sent, start, position, ending, outcome))
            sent = None

    for step in (*order.steps, _CLOSE):
        if isinstance(step, answer_orders.Piece):
            waiting.append(step.data)
            continue
        for data in _divide(b"".join(waiting), position, order.cuts):
            if not transport.closed:
                position += len(data)
                connection.data_received(data)
                if owner.outcomes:
                    record()
        waiting = []
        if transport.closed:
            break
        if isinstance(step, answer_orders.Send) and sent is None:
            sent, start = step, position
            transport.unsent_bytes = int(step.is_partial)
            attempt = fakes.make_attempt(owner, step.request)
            attempt.request_id = step.request.encode() or None
            connected.backend.submit(attempt)
            continue
        # A connection with a request in flight carries no other one.
        ending = step if isinstance(step, answer_orders.End) else _CLOSE
        if not ending.reset:
            connection.eof_received()
        connection.connection_lost(
            ConnectionResetError() if ending.reset else None
        )
        record(ending)
        break
    record()
    connected.backend.close()
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
    # a response to a request.
    FOLLOWED_WITHOUT_LENGTH = "body without length that other bytes follow"
    # The stated number of bytes has arrived behind the head, or the last chunk
    # and the end of trailers, and no more that shows the head of a response.
    FILLED = "cut body that is filled up by what follows"
    # A header may have any value, and other bytes may bring its end.
    HEAD_COMPLETED = "cut head that is ended by bytes of no response"


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


_LAST_CHUNK = b"\r\n0\r\n"
_STATUS_LINE = re.compile(rb"HTTP/1\.\d \d{3}(?=[ \r\n]|\Z)")
# A head, or the part of it that has arrived.
_HEAD = re.compile(
    rb"HTTP/1\.\d \d{3}(?: [^\r\n]*)?"
    rb"(?:\r\n(?!Content-Length: *\d*[^\d\s])[\w-]+:[^\r\n\0]*)*(\r\n\r\n)?"
)
# An interim response, which may be cut and ended by other bytes.
_INTERIM = re.compile(
    rb"HTTP/1\.1 103(?:(?!HTTP/)[^\r\n])*\r\n"
    rb"(?:(?:(?!HTTP/)[^\r\n])+\r\n)*\r\n"
)
# The part of a line that may stand behind it if the bytes end there.
_LINE_PART = re.compile(rb"\r?(?:\r\n[\w-]*\r?)?")
_NAMES = (b"\r\nX-Id:", b"\r\nX-Seal:")


def judge(order: answer_orders.Order, exchanges: list[Exchange]) -> Verdict:
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
        data = stream[exchange.start : exchange.end]
        received = _skip_interim(data)
        own = [
            piece.answer
            for start, piece in pieces
            if start >= exchange.start
            and start + len(piece.data) <= exchange.end
            and piece.is_whole
            and piece.answer.request == exchange.request
            and (_is_framed(piece.answer) or exchange.ending == _CLOSE)
        ]
        due = _find_due(number, exchange, own, data) if clean else None
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
            reason = None
            if clean or verdict.unknowable:
                reason = _explain(exchange, pieces, received)
            if reason is not None:
                verdict.unknowable.append(reason)
            else:
                kind = _describe(outcome, own)
        elif due is not None and not _equals(outcome, due, due.body):
            kind = "answer that came second is taken"
        elif due is not None and _is_framed(due) and exchange.ending:
            kind = "answer that came first is taken late"
        if kind is not None:
            verdict.violations.append(Violation(kind, exchange.request))
        clean = (
            clean
            and isinstance(outcome, messages.Reply)
            and not exchange.sent.is_partial
            and any(
                received
                == answer_orders.encode(each._replace(has_interim=False))
                and not each.ends_connection
                for each in own
            )
        )
    return verdict


def _locate(
    order: answer_orders.Order,
) -> list[tuple[int, answer_orders.Piece]]:
    """Returns the pieces with their positions."""
    pieces = [
        each for each in order.steps if isinstance(each, answer_orders.Piece)
    ]
    sizes = (len(each.data) for each in pieces)
    positions = itertools.accumulate(sizes, initial=0)
    return list(zip(positions, pieces, strict=False))


def _skip_interim(data: bytes) -> bytes:
    """Returns bytes without interim responses; these belong to no request."""
    while match := _INTERIM.match(data):
        data = data[match.end() :]
    return data


def _is_framed(answer: answer_orders.Answer) -> bool:
    """Returns whether the end of the body is stated."""
    return answer.framing is not answer_orders.Framing.NONE


def _find_due(
    number: int,
    exchange: Exchange,
    own: list[answer_orders.Answer],
    received: bytes,
) -> answer_orders.Answer | None:
    """Returns the answer that must be taken, if any.

    One without an id may be a late one, unless it is a failure on a connection
    that carried no request before.  One with a body in which a response seems
    to begin need not be taken if bytes follow that may be the rest of that.
    """
    # An interim response that is not as servers send it is a doubt.
    while received.startswith(answer_orders.INTERIM):
        received = received[len(answer_orders.INTERIM) :]
    for answer in own[:1]:
        data = answer_orders.encode(answer._replace(has_interim=False))
        named = answer.has_id or exchange.request == answer_orders.HEALTH_CHECK
        if not (named or (number == 0 and answer.status >= 300)):
            return None
        if received == data:
            return answer
        if not _is_framed(answer) or not received.startswith(data):
            return None
        return None if _STATUS_LINE.search(answer.body) else answer
    return None


def _equals(
    reply: messages.Reply, answer: answer_orders.Answer, body: bytes
) -> bool:
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
    exchange: Exchange,
    pieces: list[tuple[int, answer_orders.Piece]],
    received: bytes,
) -> Unknowable | None:
    """Returns why a wrong response cannot be told, if so.

    That needs the head of an answer to this request as the first bytes.
    """
    reply = exchange.outcome
    for number, (start, piece) in enumerate(pieces):
        answer = piece.answer
        if (
            answer is None
            or answer.request != exchange.request
            or not exchange.start <= start < exchange.end
        ):
            continue
        head = answer_orders.encode_head(answer)
        if received.startswith(head) and answer.is_valid:
            body = received[len(head) :]
            if _is_framed(answer):
                size = len(answer.body)
                if _shows_response(body, size):
                    return None
                whole = _LAST_CHUNK in piece.data
                body = answer.body if whole else body[:size]
                reason = Unknowable.FILLED
            elif exchange.ending != _CLOSE or _shows_response(body):
                return None
            elif answer.body.startswith(body):
                reason = Unknowable.CUT_WITHOUT_LENGTH
            else:
                reason = Unknowable.FOLLOWED_WITHOUT_LENGTH
            return reason if _equals(reply, answer, body) else None
        # What follows shows no status line, which takes 12 bytes.
        data = _skip_interim(piece.data)
        following = itertools.takewhile(
            lambda item: (
                item[0] < exchange.end
                and (item[1].answer is None or len(item[1].data) < 12)
            ),
            pieces[number + 1 :],
        )
        data += b"".join(each.data for _, each in following)
        names = {name for name, _ in reply.headers}
        if (
            received.startswith(data)
            and not data.startswith(head)
            and b"\r\n\r\n" in data
            and reply.status == answer.status
            and (not reply.not_run or answer.status == 503)
            and len(names) == len(reply.headers)
        ):
            return Unknowable.HEAD_COMPLETED
    return None


def _shows_response(data: bytes, size: int | None = None) -> bool:
    """Returns whether another response to a request begins within a body.

    Any text may hold a head.  One that names a request or a signature shows
    that the server has sent it as a response.  So does one that is broken off,
    unless that is done by the stated end of the body.

    Args:
      data: The body and what has arrived with its end.
      size: The size of the body; None if it is not stated.
    """
    for match in _HEAD.finditer(data):
        if size is not None and match.start() >= size:
            return False
        if any(name in match[0] for name in _NAMES):
            return True
        is_broken_off = _LINE_PART.fullmatch(data[match.end() :])
        if is_broken_off and not match[1] and len(data) != size:
            return True
    return False


def _describe(reply: messages.Reply, own: list[answer_orders.Answer]) -> str:
    """Returns what is wrong with a response, the worst of it."""
    kind = "success" if reply.succeeded else "failure"
    if not own:
        return f"{kind} without a whole answer to this request"
    if all(reply.status != each.status for each in own):
        return f"{kind} where the answer has another status"
    if reply.not_run and not any(each.status == 503 for each in own):
        return "not run, which was not said of this request"
    if all(reply.body != each.body for each in own):
        return f"{kind} with another body"
    if all(reply.seal != each.seal for each in own):
        return f"{kind} with another signature"
    return f"{kind} with other headers"


def describe(order: answer_orders.Order, exchanges: list[Exchange]) -> str:
    """Returns an order, its reads and its outcomes as text."""
    lines = []
    position = 0
    for step in order.steps:
        if not isinstance(step, answer_orders.Piece):
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

    def check(self, order: answer_orders.Order) -> None:
        """Delivers and judges an order; needs a running event loop."""
        exchanges = deliver(order)
        verdict = judge(order, exchanges)
        self.orders += 1
        self.exchanges += len(exchanges)
        self.unknowable.update(each.value for each in verdict.unknowable)
        for violation in verdict.violations:
            self.kinds[violation.kind] += 1
            pieces = [
                each
                for each in order.steps
                if isinstance(each, answer_orders.Piece)
            ]
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
    for script in answer_orders.list_scripts(thorough=True, step=options.step):
        for order in answer_orders.divide(script, thorough=True):
            tally.check(order)
    print(f"one disturbance: {time.monotonic() - started_s:.0f} s")
    choose = random.Random(options.seed).choice
    for _ in range(options.orders):
        tally.check(answer_orders.make_order(choose))
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
