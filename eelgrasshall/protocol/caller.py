"""Codec of the callers' interface, which is JSON over HTTP.

Each request has exactly one outcome: an answer with its coverage, a refusal,
which states that the request was not run, or a failure, after which it may
have run.  Each is a type of its own; `Outcome` is the HTTP form of any of
them, with a status code that ordinary HTTP clients handle correctly.  The
records of an answer are copied as the bytes that the backend servers returned,
because decoding and re-encoding them would cost more than all other work.
"""

import enum
import json
import math
from typing import Any
from typing import NamedTuple

from eelgrasshall import errors
from eelgrasshall.protocol import messages

_REFUSAL_STATUS = {
    errors.ProblemKind.MALFORMED_REQUEST: 400,
    errors.ProblemKind.UNKNOWN_KIND: 422,
    errors.ProblemKind.REQUEST_TOO_LARGE: 413,
    errors.ProblemKind.QUARANTINED: 422,
    errors.ProblemKind.TICKET_REQUIRED: 428,
    errors.ProblemKind.TICKET_USED: 409,
    errors.ProblemKind.TICKET_LOST: 410,
    errors.ProblemKind.OVERLOADED: 429,
}
_DEFAULT_REFUSAL_STATUS = 503
_TIMEOUT_STATUS = 504
_FAILURE_STATUS = {
    errors.ProblemKind.DEADLINE_EXCEEDED: _TIMEOUT_STATUS,
    errors.ProblemKind.STORE_UNAVAILABLE: 503,
}
_DEFAULT_FAILURE_STATUS = 502


class QueryRequest(NamedTuple):
    """A caller's request.

    Attributes:
      request_id: Identifier chosen by the caller and echoed; may be empty.
      kind: Name of the kind of request.
      body: The query as canonical JSON bytes.
      deadline_ms: Milliseconds that the caller waits, or None for the kind's
        default.
      caller: Identifier of the caller, for fairness between callers.
      ticket: Ticket of a non-repeatable request, or empty.
      idempotency_key: Idempotency key of a non-repeatable request, or empty.
      first_send: Whether the caller guarantees that no earlier send of the
        request can have run.
    """

    request_id: str
    kind: str
    body: bytes
    deadline_ms: int | None = None
    caller: str = ""
    ticket: str = ""
    idempotency_key: str = ""
    first_send: bool = False


class OutcomeType(enum.Enum):
    """Type of an outcome; the value is the name on the wire."""

    ANSWER = "answer"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Address(NamedTuple):
    """An entry host that callers may use.

    Attributes:
      name: Name of the host.
      zone: Name of its availability zone.
      host: IP address.
      port: TCP port.
    """

    name: str
    zone: str
    host: str
    port: int


class Part(NamedTuple):
    """The records of one service.

    Attributes:
      service: Name of the service.
      records: The records as JSON bytes.
    """

    service: str
    records: bytes


class MissingService(NamedTuple):
    """A service whose records an answer lacks.

    Attributes:
      service: Name of the service.
      problem: Reason why it is missing.
    """

    service: str
    problem: errors.Problem


class Coverage(NamedTuple):
    """The share of a query that an answer covers.

    Attributes:
      complete: Whether every service is covered and their key ranges fill the
        key space without gaps or overlaps.
      key_share: Share of the key space covered, from 0 to 1.
      covered: Names of the services covered.
      missing: The other services of the kind.
    """

    complete: bool
    key_share: float
    covered: tuple[str, ...]
    missing: tuple[MissingService, ...]


class Answer(NamedTuple):
    """The records found in one snapshot, with their coverage.

    Attributes:
      coverage: What the records cover.
      snapshot: The snapshot of all the records.
      parts: The records by service.
    """

    coverage: Coverage
    snapshot: messages.Snapshot | None
    parts: tuple[Part, ...]


class Refusal(NamedTuple):
    """The request was not run.

    Attributes:
      problems: Reasons; the first determines the HTTP status.
      retry_after_s: Seconds after which to retry, or None if retrying the same
        request cannot succeed.
      addresses: Other entry hosts to try.
      ticket_prefix: Prefix of a ticket with which to send the request again,
        or empty.
    """

    problems: tuple[errors.Problem, ...]
    retry_after_s: float | None = None
    addresses: tuple[Address, ...] = ()
    ticket_prefix: str = ""


class Failure(NamedTuple):
    """The request may have run.

    Attributes:
      problem: Cause of the failure.
      coverage: Coverage reached, if it was too low to answer; else None.
      timed_out: Whether the deadline passed.
      retry_after_s: Seconds after which to retry, or None.
      ticket_prefix: Prefix of a ticket, or empty.
    """

    problem: errors.Problem
    coverage: Coverage | None = None
    timed_out: bool = False
    retry_after_s: float | None = None
    ticket_prefix: str = ""


class RecordedOutcome(NamedTuple):
    """A stored outcome, which is returned when the request is sent again.

    Attributes:
      status: HTTP status code.
      body: The response body as JSON bytes, with an empty request id.
    """

    status: int
    body: bytes


class Outcome(NamedTuple):
    """An outcome as an HTTP response.

    Attributes:
      outcome_type: Type of the outcome.
      status: HTTP status code.
      headers: HTTP headers other than the content type.
      body: The response body as JSON bytes.
      key_share: Share of the key space that an answer covers; None for other
        outcomes.
    """

    outcome_type: OutcomeType
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key_share: float | None = None


class AddressAnswer(NamedTuple):
    """The entry hosts that a caller should use.

    Attributes:
      ttl_s: Seconds for which the caller may cache the answer.
      addresses: Entry hosts in order of preference.
      ticket_prefix: Prefix to which the caller appends a value that it uses
        only once, to form a ticket.
    """

    ttl_s: float
    addresses: tuple[Address, ...]
    ticket_prefix: str


def encode_request(request: QueryRequest) -> bytes:
    """Encodes a validated request for another entry host."""
    fields = request._replace(body="")._asdict()
    return format_json(fields) + b"\n" + request.body


def decode_request(data: bytes) -> QueryRequest:
    """Decodes a request that another entry host has encoded."""
    fields, _, body = data.partition(b"\n")
    return QueryRequest(**json.loads(fields))._replace(body=body)


def encode_outcome(
    result: Answer | Refusal | Failure | RecordedOutcome | Outcome,
    request_id: str,
) -> Outcome:
    """Returns the HTTP form of an outcome.

    Args:
      result: The outcome; an `Outcome` is returned unchanged.
      request_id: Identifier chosen by the caller, to be echoed.
    """
    if isinstance(result, Answer):
        return encode_answer(result, request_id)
    if isinstance(result, Refusal):
        return encode_refusal(result, request_id)
    if isinstance(result, Failure):
        return encode_failure(result, request_id)
    if isinstance(result, RecordedOutcome):
        document = json.loads(result.body)
        document["request_id"] = request_id
        # Keeps the field order of the first response.
        body = json.dumps(document, separators=(",", ":")).encode()
        return decode_outcome(result.status, body)
    return result


def encode_answer(answer: Answer, request_id: str) -> Outcome:
    """Returns the HTTP form of an answer."""
    snapshot = answer.snapshot.to_text() if answer.snapshot else None
    header = {
        "request_id": request_id,
        "outcome": OutcomeType.ANSWER.value,
        "complete": answer.coverage.complete,
        "coverage": _convert_coverage(answer.coverage),
        "snapshot": snapshot,
    }
    # The records are already JSON and may be large, so they are not decoded.
    parts = [
        b'{"service":%b,"records":%b}'
        % (format_json(part.service), part.records)
        for part in answer.parts
    ]
    body = b"".join(
        (format_json(header)[:-1], b',"data":[', b",".join(parts), b"]}")
    )
    key_share = answer.coverage.key_share
    return Outcome(OutcomeType.ANSWER, 200, (), body, key_share)


def encode_refusal(refusal: Refusal, request_id: str) -> Outcome:
    """Returns the HTTP form of a refusal."""
    document: dict[str, Any] = {
        "request_id": request_id,
        "outcome": OutcomeType.NOT_RUN.value,
        "problems": [_convert_problem(each) for each in refusal.problems],
    }
    if refusal.addresses:
        document["addresses"] = [each._asdict() for each in refusal.addresses]
    if refusal.ticket_prefix:
        document["ticket_prefix"] = refusal.ticket_prefix
    status = _REFUSAL_STATUS.get(
        refusal.problems[0].kind, _DEFAULT_REFUSAL_STATUS
    )
    return _make_outcome(
        OutcomeType.NOT_RUN, status, document, refusal.retry_after_s
    )


def encode_failure(failure: Failure, request_id: str) -> Outcome:
    """Returns the HTTP form of a failure."""
    document: dict[str, Any] = {
        "request_id": request_id,
        "outcome": OutcomeType.UNKNOWN.value,
        "problems": [_convert_problem(failure.problem)],
    }
    if failure.coverage is not None:
        document["coverage"] = _convert_coverage(failure.coverage)
    if failure.ticket_prefix:
        document["ticket_prefix"] = failure.ticket_prefix
    status = _FAILURE_STATUS.get(failure.problem.kind, _DEFAULT_FAILURE_STATUS)
    if failure.timed_out:
        status = _TIMEOUT_STATUS
    return _make_outcome(
        OutcomeType.UNKNOWN, status, document, failure.retry_after_s
    )


def encode_addresses(answer: AddressAnswer) -> Outcome:
    """Returns the HTTP form of an address answer."""
    document = {
        "ttl_s": answer.ttl_s,
        "addresses": [each._asdict() for each in answer.addresses],
        "ticket_prefix": answer.ticket_prefix,
    }
    return Outcome(OutcomeType.ANSWER, 200, (), format_json(document))


def decode_outcome(status: int, body: bytes) -> Outcome:
    """Decodes another entry host's outcome and restores its headers."""
    document = json.loads(body)
    headers = _make_headers(document.get("retry_after_ms"))
    outcome_type = OutcomeType(document["outcome"])
    key_share = None
    if outcome_type is OutcomeType.ANSWER:
        key_share = document["coverage"]["key_share"]
    return Outcome(outcome_type, status, headers, body, key_share)


def _make_outcome(
    outcome_type: OutcomeType,
    status: int,
    document: dict[str, Any],
    retry_after_s: float | None,
) -> Outcome:
    """Returns a refusal or failure with its retry delay, if any."""
    retry_after_ms = None
    if retry_after_s is not None:
        retry_after_ms = math.ceil(retry_after_s * 1000)
        document["retry_after_ms"] = retry_after_ms
    headers = _make_headers(retry_after_ms)
    return Outcome(outcome_type, status, headers, format_json(document))


def _make_headers(retry_after_ms: int | None) -> tuple[tuple[str, str], ...]:
    """Returns the headers; `Retry-After` supports only whole seconds."""
    if retry_after_ms is None:
        return ()
    return (("Retry-After", str(math.ceil(retry_after_ms / 1000))),)


def _convert_problem(problem: errors.Problem) -> dict[str, str]:
    """Converts a problem to a JSON object."""
    return {
        "kind": problem.kind.value,
        "where": problem.where,
        "what": problem.what,
        "remedy": problem.remedy,
    }


def _convert_coverage(coverage: Coverage) -> dict[str, Any]:
    """Converts a coverage to a JSON object."""
    total = len(coverage.covered) + len(coverage.missing)
    return {
        "key_share": coverage.key_share,
        "service_share": len(coverage.covered) / total if total else 0.0,
        "covered": list(coverage.covered),
        "missing": [
            {"service": each.service, **_convert_problem(each.problem)}
            for each in coverage.missing
        ],
    }


def format_json(value: Any) -> bytes:
    """Returns compact JSON with sorted keys; equal values give equal bytes."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True).encode()
