"""Parses and validates callers' requests.

All problems of a request are reported together, each with the field and a
remedy.  Invalid requests are rejected before they reach a backend server.
"""

import json
from typing import Any

from eelgrasshall import errors
from eelgrasshall.protocol import caller as caller_protocol

MAX_NAME_CHARS = 128
MAX_TICKET_CHARS = 512
MAX_DEADLINE_MS = 3_600_000

_FIELDS = frozenset({"kind", "query", "deadline_ms", "ticket", "first_send"})


def parse_query(
    data: bytes,
    *,
    request_id: str = "",
    caller: str = "",
    idempotency_key: str = "",
) -> tuple[caller_protocol.QueryRequest | None, list[errors.Problem]]:
    """Parses a caller's request.

    Args:
      data: The HTTP request body.
      request_id: The X-Request-Id header.
      caller: The X-Caller header, or the remote address.
      idempotency_key: The Idempotency-Key header.

    Returns:
      The request and an empty list, or None and every problem found.
    """
    try:
        document = json.loads(data, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return None, [
            _make_problem("body", "It is not valid JSON.", "Send valid JSON.")
        ]
    if not isinstance(document, dict):
        return None, [
            _make_problem(
                "body", "It is not a JSON object.", "Send a JSON object."
            )
        ]
    problems = [
        _make_problem(name, "The field is unknown.", "Remove the field.")
        for name in sorted(set(document) - _FIELDS)
    ]
    headers = {
        "X-Request-Id": request_id,
        "X-Caller": caller,
        "Idempotency-Key": idempotency_key,
    }
    for name, value in headers.items():
        problems += _check_text(name, value, MAX_NAME_CHARS)
    kind = document.get("kind", "")
    problems += _check_text("kind", kind, MAX_NAME_CHARS)
    if kind == "":
        problems.append(
            _make_problem("kind", "It is missing.", "Give the kind of request.")
        )
    ticket = document.get("ticket", "")
    problems += _check_text("ticket", ticket, MAX_TICKET_CHARS)
    deadline_ms = document.get("deadline_ms")
    problems += _check_deadline(deadline_ms)
    first_send = document.get("first_send", False)
    if not isinstance(first_send, bool):
        problems.append(
            _make_problem(
                "first_send", "It is not a boolean.", "Send true or false."
            )
        )
    if "query" not in document:
        problems.append(
            _make_problem("query", "It is missing.", "Send the query.")
        )
    if problems:
        return None, problems
    request = caller_protocol.QueryRequest(
        request_id=request_id,
        kind=kind,
        body=caller_protocol.format_json(document["query"]),
        deadline_ms=deadline_ms,
        caller=caller,
        ticket=ticket,
        idempotency_key=idempotency_key,
        first_send=first_send,
    )
    return request, []


def get_echoed_id(request_id: str) -> str:
    """Returns the request id to echo, or an empty string if it is invalid."""
    return "" if _check_text("", request_id, MAX_NAME_CHARS) else request_id


def _check_text(where: str, value: Any, max_chars: int) -> list[errors.Problem]:
    """Checks that a value is printable ASCII text of limited length."""
    if not isinstance(value, str):
        return [_make_problem(where, "It is not a string.", "Send a string.")]
    if len(value) > max_chars:
        return [
            _make_problem(
                where,
                f"It is longer than {max_chars} characters.",
                "Shorten it.",
            )
        ]
    if not (value.isascii() and (value == "" or value.isprintable())):
        return [
            _make_problem(
                where,
                "It contains characters other than printable ASCII.",
                "Use printable ASCII.",
            )
        ]
    return []


def _check_deadline(value: Any) -> list[errors.Problem]:
    """Checks that a deadline is a number of milliseconds within range."""
    if value is None:
        return []
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if is_number and 1 <= value <= MAX_DEADLINE_MS:
        return []
    return [
        _make_problem(
            "deadline_ms",
            f"It is not an integer from 1 to {MAX_DEADLINE_MS}.",
            "Send the time-out in milliseconds, or omit the field.",
        )
    ]


def _make_problem(where: str, what: str, remedy: str) -> errors.Problem:
    """Returns a `MALFORMED_REQUEST` problem."""
    return errors.Problem(
        errors.ProblemKind.MALFORMED_REQUEST, where, what, remedy
    )


def _reject_constant(name: str) -> None:
    """Rejects NaN and infinities, which JSON does not allow.

    Raises:
      ValueError: Always.
    """
    raise ValueError(name)
