"""Client of the daemons' listeners, for the commands.

A call names several daemons and takes the first that can be reached.  A read
moves on after any failure; a change moves on only while nothing of it can have
arrived, and says so when the reply is lost.
"""

from collections.abc import Sequence
import json
from typing import Any
from typing import NamedTuple

import aiohttp

from eelgrasshall import errors

OK = 200
SERVER_ERROR = 500
READ_TIMEOUT_S = 5.0
APPLY_TIMEOUT_S = 30.0


class Reply(NamedTuple):
    """The reply of a daemon.

    Attributes:
      url: The daemon's URL.
      status: HTTP status code.
      body: The body as bytes.
      document: The body as a JSON value, None if it is no JSON.
    """

    url: str
    status: int
    body: bytes
    document: Any


async def read(
    urls: Sequence[str], path: str, params: dict[str, str] | None = None
) -> Reply | errors.Problem:
    """Sends a GET to the first daemon that replies.

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
            failures.append(f"{url} ({_describe(error)})")
    return _make_unreachable(failures)


async def send(
    urls: Sequence[str],
    path: str,
    *,
    body: bytes,
    params: dict[str, str] | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float,
) -> Reply | errors.Problem:
    """Sends a POST to the first daemon to which a connection opens.

    Args:
      urls: Base URLs, in the order in which to try them.
      path: Path below the base URL.
      body: The body.
      params: The query of the URL.
      headers: Further headers.
      timeout_s: Seconds to wait for the reply.

    Returns:
      The reply, or a problem if no connection opened or the reply was lost.
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
            if reply.status >= SERVER_ERROR and reply.document is None:
                return _make_lost(url, f"HTTP {reply.status}")
            return reply
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            failures.append(f"{url} ({_describe(error)})")
        except (aiohttp.ClientError, OSError) as error:
            return _make_lost(url, _describe(error))
    return _make_unreachable(failures)


def read_problems(reply: Reply) -> list[errors.Problem]:
    """Returns the problems that a refusing reply names, one at least."""
    try:
        return [
            errors.Problem(
                kind=errors.ProblemKind(each["kind"]),
                where=each["where"],
                what=each["what"],
                remedy=each["remedy"],
            )
            for each in reply.document["problems"]
        ] or [_make_strange(reply)]
    except (KeyError, TypeError, ValueError):
        return [_make_strange(reply)]


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
    """Sends one request on a connection of its own."""
    timeout = aiohttp.ClientTimeout(
        total=timeout_s, sock_connect=READ_TIMEOUT_S
    )
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.request(
            method, url + path, params=params, headers=headers, data=body
        ) as response,
    ):
        data = await response.read()
        return Reply(url, response.status, data, _decode(data))


def _decode(data: bytes) -> Any:
    """Returns a body as a JSON value, None if it is no JSON."""
    try:
        return json.loads(data)
    except ValueError:
        return None


def _describe(error: Exception) -> str:
    """Returns a short reason for a failed call."""
    return str(error) or type(error).__name__


def _make_lost(url: str, reason: str) -> errors.Problem:
    """Returns the problem that nothing is known of a change's effect."""
    return errors.Problem(
        kind=errors.ProblemKind.REPLY_LOST,
        where=url,
        what=f"The reply was lost ({reason}).",
        remedy="It may have taken effect: look before you repeat it.",
    )


def _make_unreachable(failures: Sequence[str]) -> errors.Problem:
    """Returns the problem that no daemon could be reached."""
    return errors.Problem(
        kind=errors.ProblemKind.UNREACHABLE,
        where="daemon",
        what=f"None could be reached: {', '.join(failures)}.",
        remedy="Start one, or name a running one by its URL.",
    )


def _make_strange(reply: Reply) -> errors.Problem:
    """Returns the problem of a reply that is not understood."""
    return errors.Problem(
        kind=errors.ProblemKind.UNREACHABLE,
        where=reply.url,
        what=f"It replied HTTP {reply.status} without naming a problem.",
        remedy="Check that the URL is the right listener of a daemon.",
    )
