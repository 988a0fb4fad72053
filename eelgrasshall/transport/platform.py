"""Client of the platform's object API and host list.

Every result is typed.  A write whose reply was lost is reported as unknown,
for the caller to read back, and never sent again behind the caller's back,
as the HTTP library does with idempotent methods when a connection is lost.
A write uses a connection of its own, so that a kept connection that turns out
to be closed does not make it unknown.  Calls are paced below the host's share
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
from eelgrasshall.transport import pacing

CALL_TIMEOUT_S = 2.0
# Longest wait for the host's own share of the rates.
PACE_WAIT_LIMIT_S = 1.0
# Share of the host's calls that may be writes, as the platform takes far
# fewer writes than reads.
WRITE_SHARE = 0.15

_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404
_CONFLICT = 409
_SERVER_ERROR = 500


class _Reply(NamedTuple):
    """An HTTP reply."""

    status: int
    body: bytes


class _Lost(NamedTuple):
    """No usable reply; `sent` tells whether the request may have left."""

    sent: bool
    problem: errors.Problem


class _SendOnce:
    """Client middleware that lets a request pass once and not again."""

    def __init__(self):
        self._is_sent = False

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        """Passes the first attempt on and ends any further one."""
        if self._is_sent:
            raise aiohttp.ClientError("The library would send it again.")
        self._is_sent = True
        return await handler(request)


class PlatformClient:
    """Makes calls to the platform.

    Args:
      base_url: Where the platform is, such as `http://127.0.0.1:8080`.
      clock: The clock.
      random: The source of jitter.
      calls_per_s: This host's share of the platform's rates, in calls per
        second; a waiting watch counts as one.
      call_timeout_s: Longest wait for a reply, in seconds.
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
        self._reads = pacing.Allowance(clock=clock, calls_per_s=calls_per_s)
        self._writes = pacing.Allowance(
            clock=clock, calls_per_s=calls_per_s * WRITE_SHARE
        )
        self._hold = pacing.Hold(clock=clock, random=random)
        self._reading: aiohttp.ClientSession | None = None
        self._writing: aiohttp.ClientSession | None = None
        self._watching = 0
        self.counts: collections.Counter[str] = collections.Counter()

    async def close(self) -> None:
        """Closes the connections."""
        for session in (self._reading, self._writing):
            if session is not None:
                await session.close()
        self._reading = None
        self._writing = None

    async def read(self, kind: str, name: str) -> protocol.ReadResult:
        """Reads one object."""
        reply = await self._call("GET", _object_path(kind, name))
        if isinstance(reply, _Lost):
            return reply.problem
        if reply.status == _NOT_FOUND:
            return protocol.NotFound(name)
        return _parse(reply, protocol.parse_object)

    async def write(
        self, kind: str, name: str, value: Any, if_version: int | None
    ) -> protocol.WriteResult:
        """Writes one object.

        Args:
          kind: The object's kind.
          name: The object's name.
          value: The new value, anything that JSON can hold.
          if_version: The store version that it must have; 0 creates it, None
            writes over whatever is there.

        Returns:
          What became of the write; `Unknown` if the reply was lost.
        """
        body = json.dumps({"value": value, "if_version": if_version}).encode()
        reply = await self._call("PUT", _object_path(kind, name), body)
        if isinstance(reply, _Lost):
            return _judge_lost_write(reply)
        if reply.status == _CONFLICT:
            return _parse_conflict(reply)
        result = _parse(reply, protocol.parse_written)
        if isinstance(result, errors.Problem) and reply.status == _OK:
            return protocol.UnknownOutcome(result)
        return result

    async def create(
        self, kind: str, name: str, value: Any
    ) -> protocol.CreateResult:
        """Writes one object that must not exist yet."""
        return await self.write(kind, name, value, 0)

    async def delete(
        self, kind: str, name: str, if_version: int | None = None
    ) -> protocol.DeleteResult:
        """Deletes one object, if it has the given store version."""
        path = _object_path(kind, name)
        if if_version is not None:
            path += f"?if_version={if_version}"
        reply = await self._call("DELETE", path)
        if isinstance(reply, _Lost):
            return _judge_lost_write(reply)
        if reply.status == _OK:
            return protocol.Deleted(name)
        if reply.status == _NOT_FOUND:
            return protocol.NotFound(name)
        if reply.status == _CONFLICT:
            return _parse_conflict(reply)
        return _unexpected(reply)

    async def list(
        self, kind: str, after: str = "", limit: int = 100
    ) -> protocol.ListResult:
        """Reads one page of the objects of a kind, by name.

        Args:
          kind: The kind.
          after: Name after which to start.
          limit: Objects at most.
        """
        query = urllib.parse.urlencode({"after": after, "limit": limit})
        reply = await self._call("GET", f"/objects/{_quote(kind)}?{query}")
        if isinstance(reply, _Lost):
            return reply.problem
        return _parse(reply, protocol.parse_listing)

    async def watch(
        self, kind: str, name: str, after: int, timeout_s: float
    ) -> protocol.WatchResult:
        """Waits until an object's store version rises above one.

        Args:
          kind: The object's kind.
          name: The object's name.
          after: The store version above which the object is news.
          timeout_s: Longest wait at the platform; 0 only asks.
        """
        query = urllib.parse.urlencode({"after": after, "timeout_s": timeout_s})
        path = f"/watch/{_quote(kind)}/{_quote(name)}?{query}"
        self._count_watch(1)
        try:
            reply = await self._call("GET", path, extra_s=timeout_s)
        finally:
            self._count_watch(-1)
        if isinstance(reply, _Lost):
            return reply.problem
        if reply.status in (_NO_CONTENT, _NOT_FOUND):
            return protocol.NotChanged(after)
        return _parse(reply, protocol.parse_object)

    async def hosts(self) -> protocol.HostsResult:
        """Reads the host list, which lags."""
        reply = await self._call("GET", "/hosts")
        if isinstance(reply, _Lost):
            return reply.problem
        return _parse(reply, protocol.parse_hosts)

    def dump(self) -> dict[str, Any]:
        """Returns the counters for the state dump."""
        return {
            "calls": dict(self.counts),
            "watches_waiting": self._watching,
            "failures_in_a_row": self._hold.failures,
            "held_s": round(self._hold.remaining_s(), 3),
        }

    def _count_watch(self, change: int) -> None:
        """Counts waiting watches against the read allowance."""
        self._watching += change
        self._reads.hold(self._watching)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        extra_s: float = 0.0,
    ) -> _Reply | _Lost:
        """Makes one paced call and judges how it went."""
        refusal = await self._await_allowance(method)
        if refusal is not None:
            self.counts["not_sent"] += 1
            return _Lost(sent=False, problem=refusal)
        self.counts["writes" if _is_write(method) else "reads"] += 1
        outcome = await self._send(method, path, body, extra_s)
        if isinstance(outcome, _Lost):
            self.counts["lost"] += 1
            self._hold.note_failure()
            return outcome
        if self._hold.note_success():
            self._reads.empty()
            self._writes.empty()
        return outcome

    async def _await_allowance(self, method: str) -> errors.Problem | None:
        """Waits for this host's share; gives a problem if it is too long."""
        held_s = self._hold.remaining_s()
        if held_s > 0.0:
            return _unavailable(
                "The platform has just failed repeatedly.",
                f"The next try follows within {held_s:.1f} s.",
            )
        allowance = self._writes if _is_write(method) else self._reads
        wait_s = allowance.take()
        if wait_s > PACE_WAIT_LIMIT_S:
            allowance.give_back()
            return _unavailable(
                "This host's share of the platform's rates is used up.",
                "Repeat later, or raise store_calls_per_s in the settings.",
            )
        if wait_s > 0.0:
            await self._clock.sleep(wait_s)
        return None

    async def _send(
        self, method: str, path: str, body: bytes | None, extra_s: float
    ) -> _Reply | _Lost:
        """Sends one request and reads its reply."""
        session = self._session_for(method)
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
                reply = _Reply(response.status, await response.read())
        except aiohttp.ClientConnectorError:
            return _Lost(False, _unavailable("The platform is unreachable."))
        except TimeoutError:
            return _Lost(True, _unavailable("The platform did not reply."))
        except (aiohttp.ClientError, OSError):
            return _Lost(True, _unavailable("The platform's reply was lost."))
        if reply.status >= _SERVER_ERROR:
            what = f"The platform answered {reply.status}."
            return _Lost(True, _unavailable(what))
        return reply

    def _session_for(self, method: str) -> aiohttp.ClientSession:
        """Returns the session for reads or the one for writes."""
        if _is_write(method):
            if self._writing is None:
                connector = aiohttp.TCPConnector(force_close=True)
                self._writing = aiohttp.ClientSession(connector=connector)
            return self._writing
        if self._reading is None:
            self._reading = aiohttp.ClientSession()
        return self._reading


def _is_write(method: str) -> bool:
    """Returns whether a method changes objects."""
    return method != "GET"


def _quote(part: str) -> str:
    """Returns one step of a path, quoted."""
    return urllib.parse.quote(part, safe="")


def _object_path(kind: str, name: str) -> str:
    """Returns the path of an object."""
    return f"/objects/{_quote(kind)}/{_quote(name)}"


def _parse(reply: _Reply, parse: Any) -> Any:
    """Parses the body of a 200, or gives a problem."""
    if reply.status != _OK:
        return _unexpected(reply)
    try:
        return parse(reply.body)
    except ValueError as error:
        return _unavailable(f"The platform's reply is malformed: {error}")


def _parse_conflict(
    reply: _Reply,
) -> protocol.Conflict | protocol.UnknownOutcome:
    """Reads the current object out of a refused write."""
    try:
        return protocol.Conflict(protocol.parse_object(reply.body))
    except ValueError as error:
        what = f"The platform's reply is malformed: {error}"
        return protocol.UnknownOutcome(_unavailable(what))


def _judge_lost_write(lost: _Lost) -> protocol.UnknownOutcome | errors.Problem:
    """Tells a write that may have taken effect from one that was not sent."""
    if lost.sent:
        return protocol.UnknownOutcome(lost.problem)
    return lost.problem


def _unexpected(reply: _Reply) -> errors.Problem:
    """Returns the problem of a status that the API does not foresee."""
    return _unavailable(
        f"The platform answered {reply.status}.",
        "Check that platform_url names the object API.",
    )


def _unavailable(
    what: str, remedy: str = "It is retried; check the platform if it lasts."
) -> errors.Problem:
    """Returns a problem of the store."""
    return errors.Problem(
        kind=errors.ProblemKind.STORE_UNAVAILABLE,
        where="platform",
        what=what,
        remedy=remedy,
    )
