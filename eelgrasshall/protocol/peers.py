"""Codec of the peer protocol, which uses Cap'n Proto.

A peer stream is a sequence of frames.  `encode_frame` encodes a message as one
frame, and `decode_frame` decodes a frame into the immutable value of its type.
"""

import pathlib
from typing import NamedTuple

import capnp

from eelgrasshall import errors
from eelgrasshall.protocol import messages

_SCHEMA = pathlib.Path(__file__).with_name("peers.capnp")
_MICROS_PER_SECOND = 1_000_000

schema = capnp.load(str(_SCHEMA))


def _to_micros(seconds: float) -> int:
    """Converts seconds to whole microseconds, at least 0."""
    return max(0, int(seconds * _MICROS_PER_SECOND))


class Batch(NamedTuple):
    """Sub-requests, results and cancellations for one peer.

    Attributes:
      sender: Name of the sending host.
      requests: Sub-requests for the receiver to run.
      results: Results of sub-requests that the receiver relayed.
      cancels: Ids of sub-requests whose results are no longer needed.
    """

    sender: str
    requests: tuple[messages.SubRequest, ...] = ()
    results: tuple[messages.SubResult, ...] = ()
    cancels: tuple[str, ...] = ()


class FetchConfiguration(NamedTuple):
    """Requests a configuration newer than `known_version`."""

    known_version: int


class ConfigurationReply(NamedTuple):
    """A configuration, or version 0 and an empty body if none is newer."""

    version: int
    body: bytes


class TicketRequest(NamedTuple):
    """A caller's request that only the receiver may run."""

    sender: str
    request: bytes


class TicketAnswer(NamedTuple):
    """The HTTP status and body of the outcome of a `TicketRequest`."""

    status: int
    answer: bytes


class Acknowledgement(NamedTuple):
    """Confirms that a batch has arrived."""


class GossipReply(NamedTuple):
    """The reply to a heartbeat."""

    message: messages.Gossip


FrameBody = (
    Batch
    | messages.Gossip
    | FetchConfiguration
    | TicketRequest
    | Acknowledgement
    | GossipReply
    | ConfigurationReply
    | TicketAnswer
)


def encode_frame(frame_id: int, body: FrameBody) -> bytes:
    """Encodes one frame.

    Args:
      frame_id: Id of the call; a reply has the id of its call.
      body: The message.
    """
    frame = schema.Frame.new_message()
    frame.id = frame_id
    match body:
        case Batch():
            _write_batch(frame.init("batch"), body)
        case messages.Gossip():
            _write_gossip(frame.init("gossip"), body)
        case FetchConfiguration():
            frame.fetchConfiguration = body.known_version
        case TicketRequest():
            builder = frame.init("runTicket")
            builder.sender = body.sender
            builder.request = body.request
        case Acknowledgement():
            frame.acknowledgement = None
        case GossipReply():
            _write_gossip(frame.init("gossipReply"), body.message)
        case ConfigurationReply():
            builder = frame.init("configuration")
            builder.version = body.version
            builder.body = body.body
        case TicketAnswer():
            builder = frame.init("ticketAnswer")
            builder.status = body.status
            builder.answer = body.answer
    return frame.to_bytes()


def decode_frame(data: bytes) -> tuple[int, FrameBody]:
    """Decodes one frame.

    Returns:
      The id and the message of the frame.

    Raises:
      ValueError: The data are malformed or of an unknown frame type.
    """
    try:
        with schema.Frame.from_bytes(data) as frame:
            return frame.id, _read_body(frame)
    except (capnp.KjException, UnicodeDecodeError) as error:
        raise ValueError(f"malformed frame: {error}") from error


def _read_body(frame) -> FrameBody:
    """Decodes the message of a frame.

    Raises:
      ValueError: The frame type is unknown.
    """
    match str(frame.which()):
        case "batch":
            return _read_batch(frame.batch)
        case "gossip":
            return _read_gossip(frame.gossip)
        case "fetchConfiguration":
            return FetchConfiguration(frame.fetchConfiguration)
        case "runTicket":
            reader = frame.runTicket
            return TicketRequest(reader.sender, bytes(reader.request))
        case "acknowledgement":
            return Acknowledgement()
        case "gossipReply":
            return GossipReply(_read_gossip(frame.gossipReply))
        case "configuration":
            reader = frame.configuration
            return ConfigurationReply(reader.version, bytes(reader.body))
        case "ticketAnswer":
            reader = frame.ticketAnswer
            return TicketAnswer(reader.status, bytes(reader.answer))
        case other:
            raise ValueError(f"unknown frame type {other}")


def _write_batch(builder, batch: Batch) -> None:
    """Encodes a `Batch` into its builder."""
    builder.sender = batch.sender
    requests = builder.init("requests", len(batch.requests))
    for index, request in enumerate(batch.requests):
        _write_sub_request(requests[index], request)
    results = builder.init("results", len(batch.results))
    for index, result in enumerate(batch.results):
        _write_sub_result(results[index], result)
    builder.cancels = list(batch.cancels)


def _read_batch(reader) -> Batch:
    """Decodes a `Batch`."""
    return Batch(
        sender=reader.sender,
        requests=tuple(_read_sub_request(each) for each in reader.requests),
        results=tuple(_read_sub_result(each) for each in reader.results),
        cancels=tuple(reader.cancels),
    )


def _write_sub_request(builder, request: messages.SubRequest) -> None:
    """Encodes a `SubRequest` into its builder."""
    builder.subId = request.sub_id
    builder.queryId = request.query_id
    builder.kind = request.kind
    builder.service = request.service
    builder.body = request.body
    builder.pinned = request.snapshot is not None
    if request.snapshot is not None:
        builder.snapshot.epoch = request.snapshot.epoch
        builder.snapshot.version = request.snapshot.version
    builder.budgetMicros = _to_micros(request.budget_s)
    builder.ageMicros = _to_micros(request.age_s)
    builder.repeatable = request.repeatable
    builder.fingerprint = request.fingerprint
    builder.direct = request.direct


def _read_sub_request(reader) -> messages.SubRequest:
    """Decodes a `SubRequest`."""
    snapshot = None
    if reader.pinned:
        snapshot = _read_snapshot(reader.snapshot)
    return messages.SubRequest(
        sub_id=reader.subId,
        query_id=reader.queryId,
        kind=reader.kind,
        service=reader.service,
        body=bytes(reader.body),
        snapshot=snapshot,
        budget_s=reader.budgetMicros / _MICROS_PER_SECOND,
        age_s=reader.ageMicros / _MICROS_PER_SECOND,
        repeatable=reader.repeatable,
        fingerprint=reader.fingerprint,
        direct=reader.direct,
    )


def _write_sub_result(builder, result: messages.SubResult) -> None:
    """Encodes a `SubResult` into its builder."""
    builder.subId = result.sub_id
    builder.service = result.service
    builder.outcome = result.outcome.value
    builder.part = result.part
    if result.snapshot is not None and result.key_range is not None:
        builder.served = True
        builder.snapshot.epoch = result.snapshot.epoch
        builder.snapshot.version = result.snapshot.version
        builder.low = result.key_range.low
        builder.high = result.key_range.high
    builder.server = result.server
    builder.serverWarm = result.server_warm
    available = builder.init("available", len(result.available))
    for index, snapshot in enumerate(result.available):
        available[index].epoch = snapshot.epoch
        available[index].version = snapshot.version
    builder.queueWaitMicros = _to_micros(result.queue_wait_s)
    builder.attempts = result.attempts
    builder.hedges = result.hedges
    if result.problem is not None:
        builder.failed = True
        builder.problem.kind = result.problem.kind.value
        builder.problem.where = result.problem.where
        builder.problem.what = result.problem.what
        builder.problem.remedy = result.problem.remedy


def _read_sub_result(reader) -> messages.SubResult:
    """Decodes a `SubResult`."""
    snapshot = None
    key_range = None
    if reader.served:
        snapshot = _read_snapshot(reader.snapshot)
        key_range = messages.KeyRange(reader.low, reader.high)
    problem = None
    if reader.failed:
        problem = errors.Problem(
            kind=errors.ProblemKind(reader.problem.kind),
            where=reader.problem.where,
            what=reader.problem.what,
            remedy=reader.problem.remedy,
        )
    return messages.SubResult(
        sub_id=reader.subId,
        service=reader.service,
        outcome=messages.SubOutcome(reader.outcome),
        part=bytes(reader.part),
        snapshot=snapshot,
        key_range=key_range,
        server=reader.server,
        server_warm=reader.serverWarm,
        available=tuple(_read_snapshot(each) for each in reader.available),
        queue_wait_s=reader.queueWaitMicros / _MICROS_PER_SECOND,
        attempts=reader.attempts,
        hedges=reader.hedges,
        problem=problem,
    )


def _write_gossip(builder, message: messages.Gossip) -> None:
    """Encodes a `Gossip` into its builder."""
    builder.sender = message.sender
    builder.incarnation = message.incarnation
    builder.configurationVersion = message.configuration_version
    facts = builder.init("facts", len(message.facts))
    for index, fact in enumerate(message.facts):
        facts[index].topic = fact.topic
        facts[index].key = fact.key
        facts[index].sequence = fact.sequence
        facts[index].body = fact.body
    builder.probe = message.probe
    builder.reachable = message.reachable


def _read_gossip(reader) -> messages.Gossip:
    """Decodes a `Gossip`."""
    facts = tuple(
        messages.GossipFact(
            topic=fact.topic,
            key=fact.key,
            sequence=fact.sequence,
            body=bytes(fact.body),
        )
        for fact in reader.facts
    )
    return messages.Gossip(
        sender=reader.sender,
        incarnation=reader.incarnation,
        configuration_version=reader.configurationVersion,
        facts=facts,
        probe=reader.probe,
        reachable=reader.reachable,
    )


def _read_snapshot(reader) -> messages.Snapshot:
    """Decodes a `Snapshot`."""
    return messages.Snapshot(reader.epoch, reader.version)
