"""`eelgrasshall query`: runs one request."""

import json
import sys
from typing import Any

from cleo import helpers

from eelgrasshall import errors
from eelgrasshall.commands import base
from eelgrasshall.commands import client
from eelgrasshall.commands import exit_codes
from eelgrasshall.commands import registry

# Longer than the usual deadlines of kinds, so that the daemon normally replies
# first.
DEFAULT_REPLY_TIMEOUT_S = 60.0
REPLY_MARGIN_S = 5.0
TICKET_BITS = 64


@registry.register
class QueryCommand(base.Command):
    """Runs one request and prints its outcome and coverage."""

    name = "query"
    description = "Run one request and print its outcome and coverage."
    help = """\
Sends one request to a caller listener. The query is JSON text, or - to read it
from standard input. With --once the request runs at most once: it carries a
ticket, which is printed so that the same request can be sent again with
--ticket. With --key it carries an idempotency key instead, which gives the same
guarantee through the platform's store.

Exits with 0 for a complete answer, 8 for a partial one, 2 or 5 if the request
was not run (5: retry later), and 6 if it may have run.

  eelgrasshall query pedidos '{"quarry": "La Pastora"}'
  eelgrasshall query reservation '{"crate": 7}' --once
  eelgrasshall query reservation '{"crate": 7}' --key van-12-crate-7 --first
"""
    arguments = [
        helpers.argument("kind", "The kind of request."),
        helpers.argument(
            "query", "The query as JSON, or -.", optional=True, default="{}"
        ),
    ]
    options = [
        base.JSON_OPTION,
        base.CALLER_OPTION,
        helpers.option(
            "deadline-ms", None, "Deadline in milliseconds.", flag=False
        ),
        helpers.option(
            "once", None, "Run the request at most once, with a ticket."
        ),
        helpers.option(
            "ticket", None, "Ticket of an earlier send.", flag=False
        ),
        helpers.option("key", None, "Idempotency key.", flag=False),
        helpers.option(
            "first",
            None,
            "Assert that no earlier send of this request may have run.",
        ),
    ]

    def handle(self) -> int:
        """Runs the command."""
        request = self._make_request()
        if isinstance(request, errors.Problem):
            return self.fail([request])
        ticket = self._get_ticket()
        if isinstance(ticket, list):
            return self.fail(ticket)
        if ticket:
            request["ticket"] = ticket
            self.print_note(f"ticket: {ticket}")
        start = self.context.clock.monotonic()
        reply = self.run_async(self._send(request))
        elapsed_s = self.context.clock.monotonic() - start
        if isinstance(reply, errors.Problem):
            return self.fail([reply])
        document = reply.document
        if not isinstance(document, dict) or "outcome" not in document:
            return self.fail(client.parse_problems(reply))
        self.print_note(f"HTTP {reply.status} after {elapsed_s * 1000:.0f} ms")
        self.print_result(document, _format(document))
        return int(_choose_exit_code(document))

    def _make_request(self) -> dict[str, Any] | errors.Problem:
        """Returns the request built from the arguments and options."""
        text = self.argument("query")
        if text == "-":
            text = sys.stdin.read()
        try:
            request = {"kind": self.argument("kind"), "query": json.loads(text)}
        except ValueError as error:
            return _describe_malformed_request(
                "query", f"The query is not valid JSON: {error}."
            )
        deadline = self.option("deadline-ms")
        if deadline is not None:
            if not deadline.isdecimal():
                return _describe_malformed_request(
                    "--deadline-ms", "The deadline is not a whole number."
                )
            request["deadline_ms"] = int(deadline)
        if self.option("first"):
            request["first_send"] = True
        return request

    def _get_ticket(self) -> str | list[errors.Problem]:
        """Returns the ticket to send, or an empty string for none."""
        if self.option("ticket"):
            return self.option("ticket")
        if not self.option("once"):
            return ""
        reply = self.run_async(
            client.get(self.list_caller_urls(), "/v1/addresses")
        )
        if isinstance(reply, errors.Problem):
            return [reply]
        if reply.status != client.HTTP_OK or reply.document is None:
            return client.parse_problems(reply)
        suffix = self.context.random.getrandbits(TICKET_BITS)
        return f"{reply.document['ticket_prefix']}{suffix:016x}"

    async def _send(self, request: dict[str, Any]) -> Any:
        """Sends the request and returns the reply."""
        key = self.option("key")
        timeout_s = DEFAULT_REPLY_TIMEOUT_S
        if "deadline_ms" in request:
            timeout_s = request["deadline_ms"] / 1000 + REPLY_MARGIN_S
        return await client.post(
            self.list_caller_urls(),
            "/v1/query",
            body=json.dumps(request).encode(),
            headers={"Idempotency-Key": key} if key else None,
            timeout_s=timeout_s,
        )


def _format(document: dict[str, Any]) -> list[str]:
    """Formats an outcome as lines of text."""
    if document["outcome"] != "answer":
        return _format_failure(document)
    coverage = document["coverage"]
    covered = len(coverage["covered"])
    total = covered + len(coverage["missing"])
    word = "complete" if document["complete"] else "PARTIAL"
    lines = [
        f"{word}: {covered} of {total} services, "
        f"{coverage['key_share']:.1%} of the keys, "
        f"snapshot {document['snapshot']}"
    ]
    lines += [
        f"missing {each['service']}: {each['what']}"
        for each in coverage["missing"]
    ]
    for part in document["data"]:
        lines.append(f"{part['service']}: {json.dumps(part['records'])}")
    return lines


def _format_failure(document: dict[str, Any]) -> list[str]:
    """Formats a rejected or failed request as lines of text."""
    words = {"not_run": "not run", "unknown": "may have run"}
    outcome = document["outcome"]
    lines = [f"{words.get(outcome, outcome)}:"]
    for problem in document["problems"]:
        lines.append(
            f"  {problem['where']}: {problem['what']} {problem['remedy']}"
        )
    if "retry_after_ms" in document:
        lines.append(f"  Retry after {document['retry_after_ms']} ms.")
    return lines


def _choose_exit_code(document: dict[str, Any]) -> exit_codes.ExitCode:
    """Returns the exit code for an outcome."""
    if document["outcome"] == "answer":
        if document["complete"]:
            return exit_codes.ExitCode.DONE
        return exit_codes.ExitCode.PARTIAL
    if document["outcome"] != "not_run":
        return exit_codes.ExitCode.UNKNOWN
    if "retry_after_ms" in document:
        return exit_codes.ExitCode.UNAVAILABLE
    return exit_codes.ExitCode.INVALID


def _describe_malformed_request(where: str, what: str) -> errors.Problem:
    """Returns the problem of an invalid argument."""
    return errors.Problem(
        kind=errors.ProblemKind.MALFORMED_REQUEST,
        where=where,
        what=what,
        remedy="Correct the argument.",
    )
