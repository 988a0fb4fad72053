"""A stand-in for the platform: its object API and its list of hosts.

It speaks the platform's protocol of docs/PROTOCOLS.md and has the platform's
faults as attributes: down, slow, replies lost after their effect, watches
that never answer, older data, and a list of hosts that lags.  As a process:
`python -m eelgrasshall.fakes.platform SPEC.json`.
"""

import asyncio
import collections
import copy
import json
from typing import Any
from typing import NamedTuple

from aiohttp import web

from eelgrasshall.fakes import process

MAX_VALUE_BYTES = 1_000_000


class StoredObject(NamedTuple):
    """One object of the store.

    Attributes:
      version: Its version; versions rise over the whole store.
      value: Its value.
    """

    version: int
    value: Any


class PlatformFake:
    """The platform's store and list of hosts.

    Args:
      hosts: The live hosts, in the form of `GET /hosts`.
      host_list_lag_s: Seconds until a change of the hosts is told.
    """

    def __init__(
        self,
        *,
        hosts: list[dict[str, Any]] | None = None,
        host_list_lag_s: float = 0.0,
    ):
        # Faults that last until they are set back.
        self.down = False
        self.hanging = False
        self.slow_s = 0.0
        self.lose_write_replies = 0
        self.silent_watches = False
        self.host_list_lag_s = host_list_lag_s
        # What is seen from outside.
        self.port = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.calls_by_second: collections.Counter[int] = collections.Counter()
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._version = 0
        self._saved: tuple[int, dict[tuple[str, str], StoredObject]] = (0, {})
        self._hosts: list[dict[str, Any]] = list(hosts or [])
        self._hosts_told = list(self._hosts)
        self._changed = asyncio.Event()
        self._stopped = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._timers: list[asyncio.TimerHandle] = []

    async def start(self, port: int = 0) -> None:
        """Opens the listener on a port of the loopback, 0 for a free one."""
        app = web.Application(
            client_max_size=2 * MAX_VALUE_BYTES, middlewares=[self._meet_faults]
        )
        app.router.add_get("/objects/{kind}/{name}", self._read)
        app.router.add_put("/objects/{kind}/{name}", self._write)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        app.router.add_get("/objects/{kind}", self._list)
        app.router.add_get("/watch/{kind}/{name}", self._watch)
        app.router.add_get("/hosts", self._list_hosts)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Closes the listener and every connection."""
        self._stopped.set()
        self._changed.set()
        for timer in self._timers:
            timer.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    @property
    def base_url(self) -> str:
        """Where the platform is found."""
        return f"http://127.0.0.1:{self.port}"

    def save(self) -> None:
        """Remembers the present data for `go_back`."""
        self._saved = (self._version, copy.deepcopy(self._objects))

    def go_back(self) -> None:
        """Returns to the data of the last `save`, as a restored store does."""
        self._version = self._saved[0]
        self._objects = copy.deepcopy(self._saved[1])
        self._wake_watches()

    def set_hosts(self, hosts: list[dict[str, Any]]) -> None:
        """Changes the list of hosts; it is told after the lag."""
        self._hosts = list(hosts)
        if not self.host_list_lag_s:
            self._hosts_told = self._hosts
            return
        loop = asyncio.get_running_loop()
        told = self._hosts
        timer = loop.call_later(self.host_list_lag_s, self._tell, told)
        self._timers.append(timer)

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object as the store holds it."""
        return self._objects.get((kind, name))

    def put(self, kind: str, name: str, value: Any) -> int:
        """Writes an object past the API and returns its version."""
        self._version += 1
        self._objects[kind, name] = StoredObject(self._version, value)
        self._wake_watches()
        return self._version

    def _tell(self, hosts: list[dict[str, Any]]) -> None:
        """Makes a list of hosts the one that is told."""
        self._hosts_told = hosts

    def _wake_watches(self) -> None:
        """Lets every waiting watch look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _meet_faults(self, request, handler):
        """Counts the call and applies the faults that concern any call."""
        is_write = request.method in ("PUT", "DELETE")
        sort = "writes" if is_write else "reads"
        if request.path.startswith("/watch/"):
            sort = "watches"
        self.counts[sort] += 1
        second = int(asyncio.get_running_loop().time())
        self.calls_by_second[second] += 1
        if self.hanging:
            await self._stopped.wait()
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.down:
            self.counts["while_down"] += 1
            return web.json_response({"error": "down"}, status=503)
        response = await handler(request)
        if is_write and self.lose_write_replies > 0:
            self.lose_write_replies -= 1
            self.counts["lost_replies"] += 1
            request.transport.abort()
        return response

    async def _read(self, request: web.Request) -> web.Response:
        """Answers with one object."""
        name = request.match_info["name"]
        found = self.find(request.match_info["kind"], name)
        if found is None:
            return web.json_response({"error": "not found"}, status=404)
        return web.json_response(_to_plain(name, found))

    async def _write(self, request: web.Request) -> web.Response:
        """Writes an object if the condition holds."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        document = await request.json()
        value, if_version = document["value"], document.get("if_version")
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            return web.json_response({"error": "too large"}, status=413)
        found = self.find(kind, name)
        if not _holds(found, if_version):
            return web.json_response(_to_plain(name, found), status=409)
        version = self.put(kind, name, value)
        return web.json_response({"name": name, "version": version})

    async def _delete(self, request: web.Request) -> web.Response:
        """Deletes an object if the condition holds."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        found = self.find(kind, name)
        if found is None:
            return web.json_response({"error": "not found"}, status=404)
        text = request.query.get("if_version")
        if not _holds(found, int(text) if text else None):
            return web.json_response(_to_plain(name, found), status=409)
        del self._objects[kind, name]
        self._version += 1
        self._wake_watches()
        return web.json_response({"name": name, "version": found.version})

    async def _list(self, request: web.Request) -> web.Response:
        """Answers with one page of the objects of a kind, by name."""
        kind = request.match_info["kind"]
        after = request.query.get("after", "")
        limit = int(request.query.get("limit", "100"))
        names = sorted(name for each, name in self._objects if each == kind)
        page = [name for name in names if name > after]
        shown = page[:limit]
        objects = [_to_plain(n, self._objects[kind, n]) for n in shown]
        following = shown[-1] if len(page) > limit else None
        return web.json_response({"objects": objects, "next": following})

    async def _watch(self, request: web.Request) -> web.Response:
        """Waits until an object's version is above the given one."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        after = int(request.query.get("after", "0"))
        wait_s = float(request.query.get("timeout_s", "30"))
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while not self._stopped.is_set():
            if self.silent_watches:
                await self._stopped.wait()
            found = self.find(kind, name)
            if found is not None and found.version > after:
                return web.json_response(_to_plain(name, found))
            left = end - loop.time()
            if left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return web.Response(status=204)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        """Answers with the hosts as they were some time ago."""
        return web.json_response({"hosts": self._hosts_told})


def _holds(found: StoredObject | None, if_version: int | None) -> bool:
    """Returns whether the condition of a write holds."""
    if if_version is None:
        return True
    return if_version == (found.version if found else 0)


def _to_plain(name: str, found: StoredObject | None) -> dict[str, Any]:
    """Returns the form of an object on the wire."""
    if found is None:
        return {"name": name, "version": 0, "value": None}
    return {"name": name, "version": found.version, "value": found.value}


async def serve(spec: dict[str, Any]) -> None:
    """Runs the platform as a process until it is told to end."""
    platform = PlatformFake(
        hosts=spec.get("hosts"),
        host_list_lag_s=spec.get("host_list_lag_s", 0.0),
    )
    await platform.start(spec.get("port", 0))

    async def control(command: dict[str, Any]) -> Any:
        """Sets attributes, calls a method, and answers with the counts."""
        for name, value in command.get("set", {}).items():
            setattr(platform, name, value)
        if "call" in command:
            getattr(platform, command["call"])(*command.get("args", []))
        return {
            "counts": platform.counts,
            "most_calls_in_a_second": max(
                platform.calls_by_second.values(), default=0
            ),
        }

    runner, control_port = await process.serve_control(control)
    process.print_ready(port=platform.port, control=control_port)
    await process.wait_for_end()
    await runner.cleanup()
    await platform.stop()


if __name__ == "__main__":
    process.run(serve)
