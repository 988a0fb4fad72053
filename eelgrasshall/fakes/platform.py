"""A fake of the platform: its object store and its list of hosts.

Implements the platform protocol of docs/PROTOCOLS.md and injects faults: an
unavailable or slow store, replies lost after a write took effect, watches
that never return, restored older data and a delayed list of hosts.  To run it
as a process:
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
    """One stored object.

    Attributes:
      version: Version of the object; versions increase across the whole
        store.
      value: Value of the object.
    """

    version: int
    value: Any


class FakePlatform:
    """A fake object store and list of hosts.

    Args:
      hosts: The live hosts, in the format of `GET /hosts`.
      host_list_lag_s: Seconds until a change of the hosts is published.
    """

    def __init__(
        self,
        *,
        hosts: list[dict[str, Any]] | None = None,
        host_list_lag_s: float = 0.0,
    ):
        # Injected faults; each lasts until the attribute is reset.
        self.down = False
        self.hanging = False
        self.slow_s = 0.0
        self.lose_write_replies = 0
        self.silent_watches = False
        self.host_list_lag_s = host_list_lag_s
        # State that tests and control messages read.
        self.port = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.calls_by_second: collections.Counter[int] = collections.Counter()
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._version = 0
        self._saved: tuple[int, dict[tuple[str, str], StoredObject]] = (0, {})
        self._hosts: list[dict[str, Any]] = list(hosts or [])
        self._published_hosts = list(self._hosts)
        self._change_event = asyncio.Event()
        self._stop_event = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._timers: list[asyncio.TimerHandle] = []

    async def start(self, port: int = 0) -> None:
        """Starts listening on a loopback port; 0 selects a free port."""
        app = web.Application(
            client_max_size=2 * MAX_VALUE_BYTES,
            middlewares=[self._apply_faults],
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
        """Closes the listener and all connections."""
        self._stop_event.set()
        self._change_event.set()
        for timer in self._timers:
            timer.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    @property
    def base_url(self) -> str:
        """Base URL of the platform."""
        return f"http://127.0.0.1:{self.port}"

    def save(self) -> None:
        """Saves the current data for `go_back`."""
        self._saved = (self._version, copy.deepcopy(self._objects))

    def go_back(self) -> None:
        """Restores the data of the last `save`, like a restore from backup."""
        self._version = self._saved[0]
        self._objects = copy.deepcopy(self._saved[1])
        self._wake_watches()

    def set_hosts(self, hosts: list[dict[str, Any]]) -> None:
        """Changes the list of hosts; publishes it after `host_list_lag_s`."""
        self._hosts = list(hosts)
        if not self.host_list_lag_s:
            self._published_hosts = self._hosts
            return
        loop = asyncio.get_running_loop()
        hosts_to_publish = self._hosts
        timer = loop.call_later(
            self.host_list_lag_s, self._publish_hosts, hosts_to_publish
        )
        self._timers.append(timer)

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Returns a stored object, or None if it does not exist."""
        return self._objects.get((kind, name))

    def put(self, kind: str, name: str, value: Any) -> int:
        """Writes an object without an HTTP call and returns its version."""
        self._version += 1
        self._objects[kind, name] = StoredObject(self._version, value)
        self._wake_watches()
        return self._version

    def _publish_hosts(self, hosts: list[dict[str, Any]]) -> None:
        """Sets the list that `GET /hosts` returns."""
        self._published_hosts = hosts

    def _wake_watches(self) -> None:
        """Wakes all waiting watches, which then check their objects."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    @web.middleware
    async def _apply_faults(self, request, handler):
        """Counts a call and applies the faults that affect all calls."""
        is_write = request.method in ("PUT", "DELETE")
        call_type = "writes" if is_write else "reads"
        if request.path.startswith("/watch/"):
            call_type = "watches"
        self.counts[call_type] += 1
        current_second = int(asyncio.get_running_loop().time())
        self.calls_by_second[current_second] += 1
        if self.hanging:
            await self._stop_event.wait()
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
        """Returns one object."""
        name = request.match_info["name"]
        found = self.find(request.match_info["kind"], name)
        if found is None:
            return web.json_response({"error": "not found"}, status=404)
        return web.json_response(_to_json(name, found))

    async def _write(self, request: web.Request) -> web.Response:
        """Writes an object if the condition holds."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        document = await request.json()
        value, if_version = document["value"], document.get("if_version")
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            return web.json_response({"error": "too large"}, status=413)
        found = self.find(kind, name)
        if not _is_condition_met(found, if_version):
            return web.json_response(_to_json(name, found), status=409)
        version = self.put(kind, name, value)
        return web.json_response({"name": name, "version": version})

    async def _delete(self, request: web.Request) -> web.Response:
        """Deletes an object if the condition holds."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        found = self.find(kind, name)
        if found is None:
            return web.json_response({"error": "not found"}, status=404)
        text = request.query.get("if_version")
        if not _is_condition_met(found, int(text) if text else None):
            return web.json_response(_to_json(name, found), status=409)
        del self._objects[kind, name]
        self._version += 1
        self._wake_watches()
        return web.json_response({"name": name, "version": found.version})

    async def _list(self, request: web.Request) -> web.Response:
        """Returns one page of the objects of a kind, sorted by name."""
        kind = request.match_info["kind"]
        after = request.query.get("after", "")
        limit = int(request.query.get("limit", "100"))
        names = sorted(name for each, name in self._objects if each == kind)
        remaining_names = [name for name in names if name > after]
        page_names = remaining_names[:limit]
        objects = [_to_json(n, self._objects[kind, n]) for n in page_names]
        next_name = page_names[-1] if len(remaining_names) > limit else None
        return web.json_response({"objects": objects, "next": next_name})

    async def _watch(self, request: web.Request) -> web.Response:
        """Waits until an object is newer than a version; 204 on time-out."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        after = int(request.query.get("after", "0"))
        wait_s = float(request.query.get("timeout_s", "30"))
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while not self._stop_event.is_set():
            if self.silent_watches:
                await self._stop_event.wait()
            found = self.find(kind, name)
            if found is not None and found.version > after:
                return web.json_response(_to_json(name, found))
            remaining_s = end_s - loop.time()
            if remaining_s <= 0:
                break
            try:
                async with asyncio.timeout(remaining_s):
                    await self._change_event.wait()
            except TimeoutError:
                continue
        return web.Response(status=204)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        """Returns the published list of hosts."""
        return web.json_response({"hosts": self._published_hosts})


def _is_condition_met(
    found: StoredObject | None, if_version: int | None
) -> bool:
    """Returns whether the `if_version` of a write is met.

    Version 0 stands for an object that does not exist.
    """
    if if_version is None:
        return True
    return if_version == (found.version if found else 0)


def _to_json(name: str, found: StoredObject | None) -> dict[str, Any]:
    """Returns the JSON document of an object as sent to clients."""
    if found is None:
        return {"name": name, "version": 0, "value": None}
    return {"name": name, "version": found.version, "value": found.value}


async def serve(spec: dict[str, Any]) -> None:
    """Runs the platform until shutdown."""
    platform = FakePlatform(
        hosts=spec.get("hosts"),
        host_list_lag_s=spec.get("host_list_lag_s", 0.0),
    )
    await platform.start(spec.get("port", 0))

    async def control(command: dict[str, Any]) -> Any:
        """Sets attributes, calls a method and returns the counts."""
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
    await process.wait_for_shutdown()
    await runner.cleanup()
    await platform.stop()


if __name__ == "__main__":
    process.run(serve)
