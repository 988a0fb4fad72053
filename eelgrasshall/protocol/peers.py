"""Codec between the messages and their Cap'n Proto form."""

import pathlib

import capnp

from eelgrasshall import errors
from eelgrasshall.protocol import messages

_SCHEMA = pathlib.Path(__file__).with_name("peers.capnp")
_MICROS_PER_SECOND = 1_000_000

schema = capnp.load(str(_SCHEMA))


def _to_micros(seconds: float) -> int:
    """Returns whole microseconds, never below zero."""
    return max(0, int(seconds * _MICROS_PER_SECOND))


def write_sub_request(builder, request: messages.SubRequest) -> None:
    """Fills the builder of a `SubRequest`."""
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


def read_sub_request(reader) -> messages.SubRequest:
    """Reads a `SubRequest`."""
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


def write_sub_result(builder, result: messages.SubResult) -> None:
    """Fills the builder of a `SubResult`."""
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


def read_sub_result(reader) -> messages.SubResult:
    """Reads a `SubResult`."""
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


def write_gossip(builder, message: messages.Gossip) -> None:
    """Fills the builder of a `Gossip`."""
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


def read_gossip(reader) -> messages.Gossip:
    """Reads a `Gossip`."""
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
    """Reads a `Snapshot`."""
    return messages.Snapshot(reader.epoch, reader.version)
