"""HTTP client for the daemons' listeners.

Each call takes the URLs of several daemons and uses the first that can be
reached.  A GET request is sent to the next daemon if no reply arrives.  A POST
request is sent to the next daemon only if no connection was opened, because
otherwise it may have been processed; if its reply is lost, the result is a
problem of kind `REPLY_LOST`.
"""

from collections.abc import Sequence
import json
from typing import Any
from typing import NamedTuple

import aiohttp

from eelgrasshall import errors
from eelgrasshall.transport import bodies

HTTP_OK = 200
HTTP_SERVER_ERROR = 500
READ_TIMEOUT_S = 5.0
APPLY_TIMEOUT_S = 30.0


class Reply(NamedTuple):
    """The reply of a daemon.

    Attributes:
      url: The daemon's URL.
      status: HTTP status code.
      body: The body as bytes.
      document: The body parsed as JSON; None if it is not valid JSON.
    """

    url: str
    status: int
    body: bytes
    document: Any


async def get(
    urls: Sequence[str], path: str, params: dict[str, str] | None = None
) -> Reply | errors.Problem:
    """Sends a GET request to each daemon in turn until one replies.

    Args:
      urls: Base URLs, in the order in which to try them.
      path: Path below the base URL.
      params: The query of the URL.

    Returns:
      The reply, or a problem if no daemon replied.
    """
    failures = []
    for url in urls:
        try:
            return await _send(
                "GET", url, path, params=params, timeout_s=READ_TIMEOUT_S
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            failures.append(f"{url} ({_format_error(error)})")
    return _describe_unreachable(failures)


async def post(
    urls: Sequence[str],
    path: str,
    *,
    body: bytes,
    params: dict[str, str] | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float,
) -> Reply | errors.Problem:
    """Sends a POST request to the first daemon that accepts a connection.

    Args:
      urls: Base URLs, in the order in which to try them.
      path: Path below the base URL.
      body: The request body.
      params: The query of the URL.
      headers: Additional request headers.
      timeout_s: Time limit for each daemon tried, in seconds.

    Returns:
      The reply, or a problem if no daemon accepted a connection or if the reply
      was lost.
    """
    failures = []
    for url in urls:
        try:
            reply = await _send(
                "POST",
                url,
                path,
                params=params,
                headers=headers,
                body=body,
                timeout_s=timeout_s,
            )
            if reply.status >= HTTP_SERVER_ERROR and reply.document is None:
                return _describe_lost_reply(url, f"HTTP {reply.status}")
            return reply
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            failures.append(f"{url} ({_format_error(error)})")
        except (aiohttp.ClientError, OSError) as error:
            return _describe_lost_reply(url, _format_error(error))
    return _describe_unreachable(failures)


def parse_problems(reply: Reply) -> list[errors.Problem]:
    """Returns the problems listed in an error reply, at least one."""
    try:
        return [
            errors.Problem(
                kind=errors.ProblemKind(each["kind"]),
                where=each["where"],
                what=each["what"],
                remedy=each["remedy"],
            )
            for each in reply.document["problems"]
        ] or [_describe_unexpected_reply(reply)]
    except (KeyError, TypeError, ValueError):
        return [_describe_unexpected_reply(reply)]


async def _send(
    method: str,
    url: str,
    path: str,
    *,
    params: dict[str, str] | None,
    timeout_s: float,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
) -> Reply:
    """Sends one request on a new connection."""
    timeout = aiohttp.ClientTimeout(
        total=timeout_s, sock_connect=READ_TIMEOUT_S
    )
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.request(
            method, url + path, params=params, headers=headers, data=body
        ) as response,
    ):
        data = await bodies.read(response, bodies.MAX_DOCUMENT_BYTES)
        return Reply(url, response.status, data, _decode(data))


def _decode(data: bytes) -> Any:
    """Parses a body as JSON; returns None if it is not valid JSON."""
    try:
        return json.loads(data)
    except ValueError:
        return None


def _format_error(error: Exception) -> str:
    """Returns a short description of a failed call."""
    return str(error) or type(error).__name__


def _describe_lost_reply(url: str, reason: str) -> errors.Problem:
    """Returns the problem of a request whose effect is unknown."""
    return errors.Problem(
        kind=errors.ProblemKind.REPLY_LOST,
        where=url,
        what=f"No usable reply was received ({reason}).",
        remedy="It may have taken effect; check before sending it again.",
    )


def _describe_unreachable(failures: Sequence[str]) -> errors.Problem:
    """Returns the problem that no daemon could be reached."""
    return errors.Problem(
        kind=errors.ProblemKind.UNREACHABLE,
        where="daemon",
        what=f"No daemon could be reached: {', '.join(failures)}.",
        remedy="Start a daemon, or pass the URL of a running one.",
    )


def _describe_unexpected_reply(reply: Reply) -> errors.Problem:
    """Returns the problem of a reply in an unexpected format."""
    return errors.Problem(
        kind=errors.ProblemKind.UNREACHABLE,
        where=reply.url,
        what=f"The daemon replied HTTP {reply.status} with an unexpected body.",
        remedy="Check that the URL is that of the right listener of a daemon.",
    )
