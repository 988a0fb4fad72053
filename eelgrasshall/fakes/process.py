"""Common code of fakes that run as separate processes.

A fake reads its SPEC.json, starts, prints one ready line as JSON and serves
`POST /control` until it receives SIGTERM or SIGINT or its standard input
closes.  The latter ends the fake when its parent process dies.
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
        sys.exit("fakes: expected one argument: the path of SPEC.json")
    text = pathlib.Path(sys.argv[1]).read_text(encoding="utf-8")
    return json.loads(text)


async def serve_control(control: Control) -> tuple[web.AppRunner, int]:
    """Opens the control endpoint on a free loopback port.

    Args:
      control: Executes a command and returns a JSON-serialisable result.

    Returns:
      The runner, which the caller must clean up, and the port.
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


async def wait_for_shutdown() -> None:
    """Waits for SIGTERM, SIGINT or the end of standard input."""
    loop = asyncio.get_running_loop()
    shutdown_event = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown_event.set)

    class _StdinProtocol(asyncio.Protocol):
        def connection_lost(self, exc: Exception | None) -> None:
            shutdown_event.set()

    if not sys.stdin.isatty():
        await loop.connect_read_pipe(_StdinProtocol, sys.stdin)
    await shutdown_event.wait()


def print_ready(**fields: Any) -> None:
    """Prints the ready line with some fields as JSON."""
    print(json.dumps({"ready": True, **fields}), flush=True)


def run(serve: Callable[[dict[str, Any]], Awaitable[None]]) -> None:
    """Runs a fake with the specification named on the command line."""
    uvloop.run(serve(read_spec()))
