"""A stand-in for the platform's store, as far as the tests need it.

It keeps objects by kind and name, with revisions, watches and a bounded
history, over HTTP on the loopback address.
"""

import asyncio
import json
from typing import Any
import urllib.parse

from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model

_JSON = [(b"Content-Type", b"application/json")]
_PREFIX = "/-/objects/"


class Store:
    """The stand-in.

    Attributes:
      down: Whether every call is refused with 503.
      swallowing: Whether calls are read and never answered.
      page: Most objects in one answer.
    """

    def __init__(self):
        self.down = False
        self.swallowing = False
        self.page = 50
        self.calls: list[tuple[str, str]] = []
        self._revision = 0
        self._forgotten = 0
        self._objects: dict[str, dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._listener = listener.Listener(
            handler=self._handle, get_limits=model.CallerLimits
        )

    async def start(self, address: model.Address) -> None:
        """Opens the address."""
        await self._listener.start(address)

    def stop(self) -> None:
        """Closes everything."""
        self._listener.stop()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object as the operator or a server does."""
        self._revision += 1
        meta = {"name": name, "revision": self._revision}
        self._objects.setdefault(kind, {})[name] = {"meta": meta, "spec": spec}
        self._note(
            kind, {"object": self._objects[kind][name], "deleted": False}
        )

    def delete(self, kind: str, name: str) -> None:
        """Removes an object."""
        self._revision += 1
        found = self._objects[kind].pop(name)
        meta = {"name": name, "revision": self._revision}
        self._note(kind, {"object": {**found, "meta": meta}, "deleted": True})

    def forget_history(self) -> None:
        """Drops the history of changes."""
        self._forgotten = self._revision
        self._events.clear()

    def find(self, kind: str, name: str) -> Any:
        """Returns what an object holds."""
        return self._objects[kind][name]["spec"]

    def names(self, kind: str) -> list[str]:
        """Returns the names of a kind's objects."""
        return sorted(self._objects.get(kind, {}))

    def _note(self, kind: str, event: dict[str, Any]) -> None:
        """Keeps a change and wakes the watches."""
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: messages.Request) -> listener.Response:
        """Answers one call."""
        self.calls.append((request.method.decode(), request.target.decode()))
        if self.swallowing:
            await asyncio.Event().wait()
        if self.down:
            return listener.Response(503, [], b"")
        kind, _, name = request.path.removeprefix(_PREFIX).partition("/")
        name = urllib.parse.unquote(name)
        if request.method in (b"POST", b"PUT"):
            return self._write(request, kind, name)
        query = dict(
            urllib.parse.parse_qsl(request.target.decode().partition("?")[2])
        )
        if "watch" in query:
            wait_s = int(query["waitMs"]) / 1000
            return await self._watch(kind, int(query["watch"]), wait_s)
        return self._list(kind, query.get("after", ""))

    def _write(
        self, request: messages.Request, kind: str, name: str
    ) -> listener.Response:
        """Creates or replaces an object."""
        document = json.loads(request.body)
        name = name or document["meta"]["name"]
        exists = name in self._objects.get(kind, {})
        if request.method == b"POST" and exists:
            return listener.Response(409, _JSON, b"{}")
        self.put(kind, name, document["spec"])
        return listener.Response(200, _JSON, b"{}")

    def _list(self, kind: str, after: str) -> listener.Response:
        """Answers a page of a kind's objects."""
        objects = self._objects.get(kind, {})
        names = [name for name in sorted(objects) if name > after]
        return _answer(
            {
                "items": [objects[name] for name in names[: self.page]],
                "hasMore": len(names) > self.page,
                "storeRevision": self._revision,
            }
        )

    async def _watch(
        self, kind: str, revision: int, wait_s: float
    ) -> listener.Response:
        """Answers changes after a revision as soon as there are some."""
        loop = asyncio.get_running_loop()
        latest_s = loop.time() + wait_s
        while True:
            if revision < self._forgotten:
                return listener.Response(410, _JSON, b"{}")
            events = [
                event
                for at, of_kind, event in self._events
                if at > revision and of_kind == kind
            ]
            left_s = latest_s - loop.time()
            if events or left_s <= 0:
                return _answer(
                    {"events": events, "storeRevision": self._revision}
                )
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue


def _answer(document: Any) -> listener.Response:
    """Returns a JSON answer."""
    return listener.Response(200, _JSON, json.dumps(document).encode())
