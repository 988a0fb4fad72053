"""Reads and checks what callers send.

Everything that is wrong with a request is found at once, each as a problem
that names the field and the remedy, and nothing that is wrong costs a backend
server any work.
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
    """Reads a caller's request.

    Args:
      data: The HTTP body.
      request_id: The X-Request-Id header.
      caller: The X-Caller header, or the remote address.
      idempotency_key: The Idempotency-Key header.

    Returns:
      The request and no problems, or None and every problem found.
    """
    try:
        document = json.loads(data, parse_constant=_refuse_constant)
    except (ValueError, RecursionError):
        return None, [_malformed("body", "It is no JSON.", "Send JSON.")]
    if not isinstance(document, dict):
        return None, [
            _malformed("body", "It is no JSON object.", "Send an object.")
        ]
    problems = [
        _malformed(name, "The field is unknown.", "Leave it out.")
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
            _malformed("kind", "It is missing.", "Name a kind of request.")
        )
    ticket = document.get("ticket", "")
    problems += _check_text("ticket", ticket, MAX_TICKET_CHARS)
    deadline_ms = document.get("deadline_ms")
    problems += _check_deadline(deadline_ms)
    first_send = document.get("first_send", False)
    if not isinstance(first_send, bool):
        problems.append(
            _malformed("first_send", "It is no boolean.", "Send true or false.")
        )
    if "query" not in document:
        problems.append(
            _malformed("query", "It is missing.", "Send the query.")
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


def choose_echo(request_id: str) -> str:
    """Returns the id to echo: the caller's, unless it cannot be one."""
    return "" if _check_text("", request_id, MAX_NAME_CHARS) else request_id


def _check_text(where: str, value: Any, max_chars: int) -> list[errors.Problem]:
    """Finds text that is none, too long or not printable ASCII."""
    if not isinstance(value, str):
        return [_malformed(where, "It is no text.", "Send a string.")]
    if len(value) > max_chars:
        return [
            _malformed(
                where,
                f"It is longer than {max_chars} characters.",
                "Shorten it.",
            )
        ]
    if not (value.isascii() and (value == "" or value.isprintable())):
        return [
            _malformed(
                where,
                "It has characters other than printable ASCII.",
                "Use printable ASCII.",
            )
        ]
    return []


def _check_deadline(value: Any) -> list[errors.Problem]:
    """Finds a deadline that is no sensible number of milliseconds."""
    if value is None:
        return []
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if is_number and 1 <= value <= MAX_DEADLINE_MS:
        return []
    return [
        _malformed(
            "deadline_ms",
            f"It is no whole number from 1 to {MAX_DEADLINE_MS}.",
            "Send the milliseconds that you wait, or leave it out.",
        )
    ]


def _malformed(where: str, what: str, remedy: str) -> errors.Problem:
    """Returns a problem of a malformed request."""
    return errors.Problem(
        errors.ProblemKind.MALFORMED_REQUEST, where, what, remedy
    )


def _refuse_constant(name: str) -> None:
    """Refuses NaN and the infinities, which are no JSON."""
    raise ValueError(name)
