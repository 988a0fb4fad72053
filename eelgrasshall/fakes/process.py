"""What the stand-ins share when they run as processes of their own.

A stand-in reads its SPEC.json, starts, prints one ready line as JSON, and
serves `POST /control` until it gets SIGTERM or its standard input closes, so
that it does not outlive whoever started it.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import pathlib
import signal
import sys
from typing import Any

from aiohttp import web
import uvloop

Control = Callable[[dict[str, Any]], Awaitable[Any]]


def read_spec() -> dict[str, Any]:
    """Reads the JSON document that the first argument names."""
    if len(sys.argv) != 2:
        sys.exit("fakes: Give the path of one SPEC.json.")
    text = pathlib.Path(sys.argv[1]).read_text(encoding="utf-8")
    return json.loads(text)


async def serve_control(control: Control) -> tuple[web.AppRunner, int]:
    """Opens the control endpoint on a free port of the loopback.

    Args:
      control: Gets each command and returns what can be written as JSON.

    Returns:
      The runner to clean up and the port.
    """

    async def handle(request: web.Request) -> web.Response:
        return web.json_response(await control(await request.json()))

    app = web.Application(client_max_size=1 << 26)
    app.router.add_post("/control", handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner, runner.addresses[0][1]


async def wait_for_end() -> None:
    """Waits for SIGTERM, SIGINT or the end of the standard input."""
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)

    class _Input(asyncio.Protocol):
        def connection_lost(self, exc: Exception | None) -> None:
            ended.set()

    if not sys.stdin.isatty():
        await loop.connect_read_pipe(_Input, sys.stdin)
    await ended.wait()


def print_ready(**fields: Any) -> None:
    """Prints the ready line."""
    print(json.dumps({"ready": True, **fields}), flush=True)


def run(serve: Callable[[dict[str, Any]], Awaitable[None]]) -> None:
    """Runs a stand-in with the specification named on the command line."""
    uvloop.run(serve(read_spec()))
