"""Client of the platform's object API and host list.

Every result is typed.  A write whose reply was lost is reported as unknown, and
the caller has to read the object back.  Writes are never retried, unlike the
HTTP library's default, which resends idempotent methods when a connection is
lost.  Each write uses a new connection, as its outcome would be unknown if a
kept connection turned out to be closed.  Calls are limited to the host's share
of the platform's rates.
"""

import asyncio
import collections
import json
import random as random_module
from typing import Any
from typing import NamedTuple
import urllib.parse

import aiohttp

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.protocol import platform as protocol
from eelgrasshall.transport import bodies
from eelgrasshall.transport import pacing

CALL_TIMEOUT_S = 2.0
# Longest wait for a token of the rate limit; calls that need longer fail.
MAX_PACING_WAIT_S = 1.0
# Share of the host's rate available to writes: the platform accepts far fewer
# writes than reads.
WRITE_SHARE = 0.15

_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404
_CONFLICT = 409
_SERVER_ERROR = 500


class _Response(NamedTuple):
    """An HTTP response."""

    status: int
    body: bytes


class _FailedCall(NamedTuple):
    """A call without a usable reply.

    Attributes:
      sent: Whether the request may have been sent.
      problem: The problem to report.
    """

    sent: bool
    problem: errors.Problem


class _SendOnce:
    """Client middleware that prevents the HTTP library from resending."""

    def __init__(self):
        self._is_sent = False

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        """Sends the request; raises `ClientError` if it was sent before."""
        if self._is_sent:
            raise aiohttp.ClientError(
                "connection lost; the request is not resent"
            )
        self._is_sent = True
        return await handler(request)


class PlatformClient:
    """Client of the platform.

    Args:
      base_url: URL of the platform, such as `http://127.0.0.1:8080`.
      clock: Source of monotonic time.
      random: Source of jitter.
      calls_per_s: This host's share of the platform's rates, in calls per
        second; a waiting watch counts as one call per second.
      call_timeout_s: Time-out of a call, in seconds.

    Attributes:
      counts: Numbers of calls for the state dump.
    """

    def __init__(
        self,
        *,
        base_url: str,
        clock: clock_module.Clock,
        random: random_module.Random,
        calls_per_s: float,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ):
        self._base_url = base_url.rstrip("/")
        self._clock = clock
        self._call_timeout_s = call_timeout_s
        self._read_bucket = pacing.TokenBucket(
            clock=clock, calls_per_s=calls_per_s
        )
        self._write_bucket = pacing.TokenBucket(
            clock=clock, calls_per_s=calls_per_s * WRITE_SHARE
        )
        self._backoff = pacing.Backoff(clock=clock, random=random)
        self._read_session: aiohttp.ClientSession | None = None
        self._write_session: aiohttp.ClientSession | None = None
        self._waiting_watches = 0
        self.counts: collections.Counter[str] = collections.Counter()

    async def close(self) -> None:
        """Closes all connections."""
        for session in (self._read_session, self._write_session):
            if session is not None:
                await session.close()
        self._read_session = None
        self._write_session = None

    async def read(self, kind: str, name: str) -> protocol.ReadResult:
        """Reads an object."""
        reply = await self._call("GET", _build_object_path(kind, name))
        if isinstance(reply, _FailedCall):
            return reply.problem
        if reply.status == _NOT_FOUND:
            return protocol.NotFound(name)
        return _parse(reply, protocol.parse_object)

    async def write(
        self, kind: str, name: str, value: Any, if_version: int | None
    ) -> protocol.WriteResult:
        """Writes an object.

        Args:
          kind: Kind of the object.
          name: Name of the object.
          value: The new value, which must be JSON-serializable.
          if_version: The store version that the object must have; 0 if it must
            not exist, None to write unconditionally.

        Returns:
          The outcome of the write; `UnknownOutcome` if the reply was lost.
        """
        body = json.dumps({"value": value, "if_version": if_version}).encode()
        reply = await self._call("PUT", _build_object_path(kind, name), body)
        if isinstance(reply, _FailedCall):
            return _classify_failed_write(reply)
        if reply.status == _CONFLICT:
            return _parse_conflict(reply)
        result = _parse(reply, protocol.parse_written)
        if isinstance(result, errors.Problem) and reply.status == _OK:
            return protocol.UnknownOutcome(result)
        return result

    async def create(
        self, kind: str, name: str, value: Any
    ) -> protocol.CreateResult:
        """Creates an object that must not exist yet."""
        return await self.write(kind, name, value, 0)

    async def delete(
        self, kind: str, name: str, if_version: int | None = None
    ) -> protocol.DeleteResult:
        """Deletes an object if it has the given store version.

        Args:
          kind: Kind of the object.
          name: Name of the object.
          if_version: The store version that the object must have, or None to
            delete it unconditionally.
        """
        path = _build_object_path(kind, name)
        if if_version is not None:
            path += f"?if_version={if_version}"
        reply = await self._call("DELETE", path)
        if isinstance(reply, _FailedCall):
            return _classify_failed_write(reply)
        if reply.status == _OK:
            return protocol.Deleted(name)
        if reply.status == _NOT_FOUND:
            return protocol.NotFound(name)
        if reply.status == _CONFLICT:
            return _parse_conflict(reply)
        return _describe_unexpected_status(reply)

    async def list(
        self, kind: str, after: str = "", limit: int = 100
    ) -> protocol.ListResult:
        """Lists a page of the objects of a kind, ordered by name.

        Args:
          kind: Kind of the objects.
          after: Name after which the page starts.
          limit: Maximum number of objects.
        """
        query = urllib.parse.urlencode({"after": after, "limit": limit})
        reply = await self._call("GET", f"/objects/{_quote(kind)}?{query}")
        if isinstance(reply, _FailedCall):
            return reply.problem
        return _parse(reply, protocol.parse_listing)

    async def watch(
        self, kind: str, name: str, after: int, timeout_s: float
    ) -> protocol.WatchResult:
        """Waits until an object has a newer store version than `after`.

        Args:
          kind: Kind of the object.
          name: Name of the object.
          after: The store version that is already known.
          timeout_s: Longest wait at the platform, in seconds; with 0 it replies
            at once.
        """
        query = urllib.parse.urlencode({"after": after, "timeout_s": timeout_s})
        path = f"/watch/{_quote(kind)}/{_quote(name)}?{query}"
        self._adjust_waiting_watches(1)
        try:
            reply = await self._call("GET", path, extra_s=timeout_s)
        finally:
            self._adjust_waiting_watches(-1)
        if isinstance(reply, _FailedCall):
            return reply.problem
        if reply.status in (_NO_CONTENT, _NOT_FOUND):
            return protocol.NotChanged(after)
        return _parse(reply, protocol.parse_object)

    async def hosts(self) -> protocol.HostsResult:
        """Reads the host list, which may be out of date."""
        reply = await self._call("GET", "/hosts")
        if isinstance(reply, _FailedCall):
            return reply.problem
        return _parse(reply, protocol.parse_hosts)

    def dump(self) -> dict[str, Any]:
        """Returns the state of the client for the state dump."""
        return {
            "calls": dict(self.counts),
            "watches_waiting": self._waiting_watches,
            "failures_in_a_row": self._backoff.consecutive_failures,
            "held_s": round(self._backoff.remaining_s(), 3),
        }

    def _adjust_waiting_watches(self, change: int) -> None:
        """Adjusts the number of waiting watches, which use up the read rate."""
        self._waiting_watches += change
        self._read_bucket.set_waiting_watches(self._waiting_watches)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        extra_s: float = 0.0,
    ) -> _Response | _FailedCall:
        """Makes a call within the rate limit and records its outcome."""
        problem = await self._wait_for_rate_limit(method)
        if problem is not None:
            self.counts["not_sent"] += 1
            return _FailedCall(sent=False, problem=problem)
        self.counts["writes" if _is_write(method) else "reads"] += 1
        outcome = await self._send(method, path, body, extra_s)
        if isinstance(outcome, _FailedCall):
            self.counts["lost"] += 1
            self._backoff.record_failure()
            return outcome
        if self._backoff.record_success():
            self._read_bucket.discard_tokens()
            self._write_bucket.discard_tokens()
        return outcome

    async def _wait_for_rate_limit(self, method: str) -> errors.Problem | None:
        """Waits for a token of the rate limit.

        Returns:
          A problem if the client is backing off or the wait would exceed
          `MAX_PACING_WAIT_S`, else None.
        """
        backoff_s = self._backoff.remaining_s()
        if backoff_s > 0.0:
            return _describe_unavailable(
                "The platform failed repeatedly.",
                f"Calls resume within {backoff_s:.1f} s.",
            )
        bucket = self._write_bucket if _is_write(method) else self._read_bucket
        wait_s = bucket.reserve()
        if wait_s > MAX_PACING_WAIT_S:
            bucket.refund()
            return _describe_unavailable(
                "This host's share of the platform's rates is used up.",
                "Retry later, or raise store_calls_per_s in the settings.",
            )
        if wait_s > 0.0:
            await self._clock.sleep(wait_s)
        return None

    async def _send(
        self, method: str, path: str, body: bytes | None, extra_s: float
    ) -> _Response | _FailedCall:
        """Sends a request and reads its response."""
        session = self._get_session(method)
        headers = {"Content-Type": "application/json"} if body else {}
        middlewares = (_SendOnce(),) if _is_write(method) else ()
        try:
            async with (
                asyncio.timeout(self._call_timeout_s + extra_s),
                session.request(
                    method,
                    self._base_url + path,
                    data=body,
                    headers=headers,
                    middlewares=middlewares,
                ) as response,
            ):
                reply = _Response(
                    response.status,
                    await bodies.read(response, bodies.MAX_DOCUMENT_BYTES),
                )
        except aiohttp.ClientConnectorError:
            return _FailedCall(
                False, _describe_unavailable("The platform is unreachable.")
            )
        except TimeoutError:
            return _FailedCall(
                True, _describe_unavailable("The platform did not reply.")
            )
        except (aiohttp.ClientError, OSError):
            return _FailedCall(
                True, _describe_unavailable("The platform's reply was lost.")
            )
        if reply.status >= _SERVER_ERROR:
            what = f"The platform answered {reply.status}."
            return _FailedCall(True, _describe_unavailable(what))
        return reply

    def _get_session(self, method: str) -> aiohttp.ClientSession:
        """Returns the session for reads or writes, creating it if necessary."""
        if _is_write(method):
            if self._write_session is None:
                connector = aiohttp.TCPConnector(force_close=True)
                self._write_session = aiohttp.ClientSession(connector=connector)
            return self._write_session
        if self._read_session is None:
            self._read_session = aiohttp.ClientSession()
        return self._read_session


def _is_write(method: str) -> bool:
    """Returns whether a method changes objects."""
    return method != "GET"


def _quote(segment: str) -> str:
    """Returns a path segment, percent-encoded."""
    return urllib.parse.quote(segment, safe="")


def _build_object_path(kind: str, name: str) -> str:
    """Returns the path of an object."""
    return f"/objects/{_quote(kind)}/{_quote(name)}"


def _parse(reply: _Response, parse: Any) -> Any:
    """Parses the body of a response with status 200.

    Returns:
      The parsed value, or a problem if the status or the body is wrong.
    """
    if reply.status != _OK:
        return _describe_unexpected_status(reply)
    try:
        return parse(reply.body)
    except ValueError as error:
        return _describe_unavailable(
            f"The platform's reply is malformed: {error}"
        )


def _parse_conflict(
    reply: _Response,
) -> protocol.Conflict | protocol.UnknownOutcome:
    """Parses the current object from the response to a rejected write."""
    try:
        return protocol.Conflict(protocol.parse_object(reply.body))
    except ValueError as error:
        what = f"The platform's reply is malformed: {error}"
        return protocol.UnknownOutcome(_describe_unavailable(what))


def _classify_failed_write(
    failure: _FailedCall,
) -> protocol.UnknownOutcome | errors.Problem:
    """Returns `UnknownOutcome` for a write that may have taken effect."""
    if failure.sent:
        return protocol.UnknownOutcome(failure.problem)
    return failure.problem


def _describe_unexpected_status(reply: _Response) -> errors.Problem:
    """Describes a response whose status the API does not define."""
    return _describe_unavailable(
        f"The platform answered {reply.status}.",
        "Check that platform_url is the URL of the object API.",
    )


def _describe_unavailable(
    what: str,
    remedy: str = "It is retried; check the platform if this persists.",
) -> errors.Problem:
    """Describes a failure of the store."""
    return errors.Problem(
        kind=errors.ProblemKind.STORE_UNAVAILABLE,
        where="platform",
        what=what,
        remedy=remedy,
    )
