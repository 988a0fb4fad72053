"""Codec of the callers' interface: HTTP with JSON.

A caller gets exactly one outcome for each request: an answer with its
coverage, a refusal that says the request was not run, or a failure after
which it may have run.  The three are typed values here; `Outcome` is the HTTP
form of any of them, with a status code that makes an ordinary client do right.
The records of an answer are copied as the bytes that the backend servers
gave, because decoding and encoding them again would cost more than the rest.
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
_REFUSED_FOR_NOW = 503
_TIMED_OUT = 504
_FAILURE_STATUS = {
    errors.ProblemKind.DEADLINE_EXCEEDED: _TIMED_OUT,
    errors.ProblemKind.STORE_UNAVAILABLE: 503,
}
_FAILED = 502


class QueryRequest(NamedTuple):
    """A caller's request.

    Attributes:
      request_id: The caller's name for the request, echoed; may be empty.
      kind: The kind of request.
      body: The query as JSON bytes, in canonical form.
      deadline_ms: Milliseconds that the caller waits, or None for the kind's.
      caller: Who asks, for fairness between callers.
      ticket: Ticket of a request that may not be repeated, or empty.
      idempotency_key: Idempotency key of such a request, or empty.
      first_send: Whether the caller states that no earlier send of the
        request may have run.
    """

    request_id: str
    kind: str
    body: bytes
    deadline_ms: int | None = None
    caller: str = ""
    ticket: str = ""
    idempotency_key: str = ""
    first_send: bool = False


class Verdict(enum.Enum):
    """The three outcomes; the value is the name on the wire."""

    ANSWER = "answer"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Address(NamedTuple):
    """An entry host that callers may use.

    Attributes:
      name: Name of the host.
      zone: Its availability zone.
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
      service: The service.
      records: JSON bytes.
    """

    service: str
    records: bytes


class Missing(NamedTuple):
    """A service that an answer does not cover.

    Attributes:
      service: The service.
      problem: Why it is missing.
    """

    service: str
    problem: errors.Problem


class Coverage(NamedTuple):
    """What an answer covers.

    Attributes:
      complete: Whether every service is covered and the keys of the parts
        fill the key space without gap or overlap.
      key_share: Share of the key space covered, from 0 to 1.
      covered: Names of the services covered.
      missing: The other services of the kind.
    """

    complete: bool
    key_share: float
    covered: tuple[str, ...]
    missing: tuple[Missing, ...]


class Answer(NamedTuple):
    """Records from one snapshot, with their coverage.

    Attributes:
      coverage: What the records cover.
      snapshot: The snapshot that all of them come from.
      parts: The records by service.
    """

    coverage: Coverage
    snapshot: messages.Snapshot | None
    parts: tuple[Part, ...]


class Refusal(NamedTuple):
    """The request was not run.

    Attributes:
      problems: Why; the first decides the HTTP status.
      retry_after_s: Seconds after which to come back, or None if coming back
        with the same request is of no use.
      addresses: Other entry hosts to try.
      ticket_prefix: Prefix for a ticket with which to send the request again,
        or empty.
    """

    problems: tuple[errors.Problem, ...]
    retry_after_s: float | None = None
    addresses: tuple[Address, ...] = ()
    ticket_prefix: str = ""


class Failure(NamedTuple):
    """The request may have run.

    Attributes:
      problem: What went wrong.
      coverage: What could be covered, if that was too little to answer.
      timed_out: Whether the deadline ended it.
      retry_after_s: Seconds after which to come back, or None.
      ticket_prefix: Prefix for a ticket, or empty.
    """

    problem: errors.Problem
    coverage: Coverage | None = None
    timed_out: bool = False
    retry_after_s: float | None = None
    ticket_prefix: str = ""


class Recorded(NamedTuple):
    """An outcome as kept for resends.

    Attributes:
      status: HTTP status code.
      body: JSON bytes, with an empty request id.
    """

    status: int
    body: bytes


class Outcome(NamedTuple):
    """An outcome in its HTTP form.

    Attributes:
      verdict: Which of the three it is.
      status: HTTP status code.
      headers: HTTP headers besides the content type.
      body: JSON bytes.
      key_share: Share of the key space that an answer covers; None for other
        outcomes and for what another entry host gave.
    """

    verdict: Verdict
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key_share: float | None = None


class AddressAnswer(NamedTuple):
    """The entry hosts to use.

    Attributes:
      ttl_s: Seconds that the caller may keep the answer.
      addresses: Entry hosts, the ones to prefer first.
      ticket_prefix: Text under which the caller forms tickets by appending
        a part of its own that it uses once.
    """

    ttl_s: float
    addresses: tuple[Address, ...]
    ticket_prefix: str


def encode_request(request: QueryRequest) -> bytes:
    """Returns a checked request as bytes for another entry host."""
    fields = request._replace(body="")._asdict()
    return format_json(fields) + b"\n" + request.body


def decode_request(data: bytes) -> QueryRequest:
    """Reads what `encode_request` of another entry host gave."""
    fields, _, body = data.partition(b"\n")
    return QueryRequest(**json.loads(fields))._replace(body=body)


def encode(
    result: Answer | Refusal | Failure | Recorded | Outcome, request_id: str
) -> Outcome:
    """Returns the HTTP form of an outcome.

    Args:
      result: The outcome; one that has its HTTP form already is left as is.
      request_id: The caller's name for the request, echoed.
    """
    if isinstance(result, Answer):
        return encode_answer(result, request_id)
    if isinstance(result, Refusal):
        return encode_refusal(result, request_id)
    if isinstance(result, Failure):
        return encode_failure(result, request_id)
    if isinstance(result, Recorded):
        document = json.loads(result.body)
        document["request_id"] = request_id
        # The order of the fields stays that of the first answer.
        body = json.dumps(document, separators=(",", ":")).encode()
        return decode_outcome(result.status, body)
    return result


def encode_answer(answer: Answer, request_id: str) -> Outcome:
    """Returns the HTTP form of an answer."""
    snapshot = answer.snapshot.to_text() if answer.snapshot else None
    head = {
        "request_id": request_id,
        "outcome": Verdict.ANSWER.value,
        "complete": answer.coverage.complete,
        "coverage": _describe_coverage(answer.coverage),
        "snapshot": snapshot,
    }
    # The records are JSON already and may be large.
    parts = [
        b'{"service":%b,"records":%b}'
        % (format_json(part.service), part.records)
        for part in answer.parts
    ]
    body = b"".join(
        (format_json(head)[:-1], b',"data":[', b",".join(parts), b"]}")
    )
    key_share = answer.coverage.key_share
    return Outcome(Verdict.ANSWER, 200, (), body, key_share)


def encode_refusal(refusal: Refusal, request_id: str) -> Outcome:
    """Returns the HTTP form of a refusal."""
    document: dict[str, Any] = {
        "request_id": request_id,
        "outcome": Verdict.NOT_RUN.value,
        "problems": [_describe_problem(each) for each in refusal.problems],
    }
    if refusal.addresses:
        document["addresses"] = [each._asdict() for each in refusal.addresses]
    if refusal.ticket_prefix:
        document["ticket_prefix"] = refusal.ticket_prefix
    status = _REFUSAL_STATUS.get(refusal.problems[0].kind, _REFUSED_FOR_NOW)
    return _finish(Verdict.NOT_RUN, status, document, refusal.retry_after_s)


def encode_failure(failure: Failure, request_id: str) -> Outcome:
    """Returns the HTTP form of a failure."""
    document: dict[str, Any] = {
        "request_id": request_id,
        "outcome": Verdict.UNKNOWN.value,
        "problems": [_describe_problem(failure.problem)],
    }
    if failure.coverage is not None:
        document["coverage"] = _describe_coverage(failure.coverage)
    if failure.ticket_prefix:
        document["ticket_prefix"] = failure.ticket_prefix
    status = _FAILURE_STATUS.get(failure.problem.kind, _FAILED)
    if failure.timed_out:
        status = _TIMED_OUT
    return _finish(Verdict.UNKNOWN, status, document, failure.retry_after_s)


def encode_addresses(answer: AddressAnswer) -> Outcome:
    """Returns the HTTP form of an address answer."""
    document = {
        "ttl_s": answer.ttl_s,
        "addresses": [each._asdict() for each in answer.addresses],
        "ticket_prefix": answer.ticket_prefix,
    }
    return Outcome(Verdict.ANSWER, 200, (), format_json(document))


def decode_outcome(status: int, body: bytes) -> Outcome:
    """Reads an outcome that another entry host gave, headers restored."""
    document = json.loads(body)
    headers = _name_headers(document.get("retry_after_ms"))
    verdict = Verdict(document["outcome"])
    key_share = None
    if verdict is Verdict.ANSWER:
        key_share = document["coverage"]["key_share"]
    return Outcome(verdict, status, headers, body, key_share)


def _finish(
    verdict: Verdict,
    status: int,
    document: dict[str, Any],
    retry_after_s: float | None,
) -> Outcome:
    """Adds the time to come back to a refusal or failure."""
    retry_after_ms = None
    if retry_after_s is not None:
        retry_after_ms = math.ceil(retry_after_s * 1000)
        document["retry_after_ms"] = retry_after_ms
    headers = _name_headers(retry_after_ms)
    return Outcome(verdict, status, headers, format_json(document))


def _name_headers(retry_after_ms: int | None) -> tuple[tuple[str, str], ...]:
    """Returns the headers of an outcome; HTTP knows whole seconds only."""
    if retry_after_ms is None:
        return ()
    return (("Retry-After", str(math.ceil(retry_after_ms / 1000))),)


def _describe_problem(problem: errors.Problem) -> dict[str, str]:
    """Returns a problem as a JSON object."""
    return {
        "kind": problem.kind.value,
        "where": problem.where,
        "what": problem.what,
        "remedy": problem.remedy,
    }


def _describe_coverage(coverage: Coverage) -> dict[str, Any]:
    """Returns a coverage as a JSON object."""
    total = len(coverage.covered) + len(coverage.missing)
    return {
        "key_share": coverage.key_share,
        "service_share": len(coverage.covered) / total if total else 0.0,
        "covered": list(coverage.covered),
        "missing": [
            {"service": each.service, **_describe_problem(each.problem)}
            for each in coverage.missing
        ],
    }


def format_json(value: Any) -> bytes:
    """Returns compact JSON with sorted keys, the same for equal values."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True).encode()
