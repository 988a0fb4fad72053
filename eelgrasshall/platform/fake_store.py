"""A fake of the platform's store, with the functions that the tests need.

Serves objects by kind and name over HTTP, with revisions, paged lists and
watches.  It can go back to a copy that was taken before.
"""

import asyncio
import copy
import json
import re
from typing import Any
from typing import NamedTuple
import urllib.parse

from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model

_JSON = [(b"Content-Type", b"application/json")]
_PATH_PREFIX = "/-/objects/"
_RAW_SPEC = re.compile(rb'"@raw:(\d+)@"')


class StoreCopy(NamedTuple):
    """The content of a store at a moment.

    Attributes:
      revision: The revision at that moment.
      objects: The objects by kind and name.
    """

    revision: int
    objects: dict[str, dict[str, Any]]


class FakeStore:
    """An HTTP server that behaves like the platform's store.

    Attributes:
      down: Whether every call is answered with status 503.
      swallowing: Whether calls are read but never answered.
      page_size: Maximum number of objects in one page of a list.
      calls: Method and target of each call received.
      era: Stated in all answers; rises each time that a copy is restored.  None
        for a store that has no eras.
    """

    def __init__(self):
        self.down = False
        self.swallowing = False
        self.page_size = 50
        self.calls: list[tuple[str, str]] = []
        self.era: int | None = None
        self._revision = 0
        self._dropped_revision = 0
        self._objects: dict[str, dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._raw_specs: list[bytes] = []
        self._changed = asyncio.Event()
        self._listener = listener.Listener(
            handler=self.handle, get_limits=model.CallerLimits
        )

    async def start(self, address: model.Address) -> None:
        """Starts to listen on an address.

        Raises:
          OSError: The address cannot be bound.
        """
        await self._listener.start(address)

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self._listener.stop()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Creates or replaces an object."""
        old = self._objects.get(kind, {}).get(name, {})
        self._replace(kind, name, {**old, "spec": spec})

    def put_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Creates or replaces an object whose spec is the given JSON text.

        The text may be one that no parser here could read.
        """
        self._raw_specs.append(spec)
        self.put(kind, name, f"@raw:{len(self._raw_specs) - 1}@")

    def _replace(self, kind: str, name: str, content: dict[str, Any]) -> None:
        """Gives an object a new revision and content."""
        self._revision += 1
        meta = {"name": name, "revision": self._revision}
        self._objects.setdefault(kind, {})[name] = {**content, "meta": meta}
        self._record_event(
            kind, {"object": self._objects[kind][name], "deleted": False}
        )

    def delete(self, kind: str, name: str) -> None:
        """Deletes an object."""
        self._revision += 1
        removed = self._objects[kind].pop(name)
        meta = {"name": name, "revision": self._revision}
        self._record_event(
            kind, {"object": {**removed, "meta": meta}, "deleted": True}
        )

    def drop_history(self) -> None:
        """Drops all recorded changes; older watches then get status 410."""
        self._dropped_revision = self._revision
        self._events.clear()

    def take_copy(self) -> "StoreCopy":
        """Returns a copy of all objects and their revision."""
        return StoreCopy(self._revision, copy.deepcopy(self._objects))

    def restore(self, stored: "StoreCopy") -> None:
        """Goes back to a copy and begins a new era.

        What was written since is lost, and its revisions are given out again.
        """
        self.era = (self.era or 0) + 1
        self._revision = stored.revision
        self._objects = copy.deepcopy(stored.objects)
        self.drop_history()
        self._changed.set()
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    def get_spec(self, kind: str, name: str) -> Any:
        """Returns the spec of an object."""
        return self._objects[kind][name]["spec"]

    def get_status(self, kind: str, name: str) -> Any:
        """Returns the status of an object; None if it has none."""
        return self._objects[kind][name].get("status")

    def list_names(self, kind: str) -> list[str]:
        """Returns the sorted names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def _record_event(self, kind: str, event: dict[str, Any]) -> None:
        """Adds a change to the history and wakes all watches."""
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: messages.Request) -> listener.Response:
        """Handles one call."""
        response = await self._answer(request)
        if self.era is not None:
            response.headers.append((b"Store-Era", b"%d" % self.era))
        if self._raw_specs:
            body = _RAW_SPEC.sub(
                lambda match: self._raw_specs[int(match[1])], response.body
            )
            return response._replace(body=body)
        return response

    async def _answer(self, request: messages.Request) -> listener.Response:
        """Returns the answer to one call."""
        self.calls.append((request.method.decode(), request.target.decode()))
        if self.swallowing:
            await asyncio.Event().wait()
        if self.down:
            return listener.Response(503, [], b"")
        kind, _, name = request.path.removeprefix(_PATH_PREFIX).partition("/")
        name = urllib.parse.unquote(name)
        name, _, part = name.partition("/")
        if request.method == b"PUT" and part == "status":
            return self._write_status(request, kind, name)
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
            return listener.Response(409, [*_JSON], b"{}")
        self.put(kind, name, document["spec"])
        return listener.Response(200, [*_JSON], b"{}")

    def _write_status(
        self, request: messages.Request, kind: str, name: str
    ) -> listener.Response:
        """Writes the status of an object if the stated revision is its own."""
        document = json.loads(request.body)
        found = self._objects.get(kind, {}).get(name)
        if found is None:
            return listener.Response(404, [*_JSON], b"{}")
        if document["meta"]["revision"] != found["meta"]["revision"]:
            return listener.Response(409, [*_JSON], b"{}")
        self._replace(kind, name, {**found, "status": document["status"]})
        return _make_response(self._objects[kind][name])

    def _list(self, kind: str, after: str) -> listener.Response:
        """Returns a page of the objects of a kind, after a given name."""
        objects = self._objects.get(kind, {})
        names = [name for name in sorted(objects) if name > after]
        return _make_response(
            {
                "items": [objects[name] for name in names[: self.page_size]],
                "hasMore": len(names) > self.page_size,
                "storeRevision": self._revision,
            }
        )

    async def _watch(
        self, kind: str, revision: int, wait_s: float
    ) -> listener.Response:
        """Waits for changes after a revision and returns them.

        Returns no events after the wait, and status 410 if the history no
        longer reaches back to the revision.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while True:
            if not self._dropped_revision <= revision <= self._revision:
                return listener.Response(410, [*_JSON], b"{}")
            events = [
                event
                for event_revision, event_kind, event in self._events
                if event_revision > revision and event_kind == kind
            ]
            remaining_s = deadline_s - loop.time()
            if events or remaining_s <= 0:
                return _make_response(
                    {"events": events, "storeRevision": self._revision}
                )
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue


def _make_response(document: Any) -> listener.Response:
    """Returns a response with a JSON body."""
    return listener.Response(200, [*_JSON], json.dumps(document).encode())
