"""The daemon `eelgrasshalld`, one process on each entry host.

`eelgrasshalld SETTINGS.json` runs until SIGTERM or SIGINT, which start a
planned stop; a second signal stops it immediately.  SIGUSR1 logs the state
dump.  `--check` validates the settings and exits.
"""

import argparse
import asyncio
import json
import random as random_module
import signal
import sys

from loguru import logger
import uvloop

from eelgrasshall import application
from eelgrasshall import clock as clocks
from eelgrasshall import log
from eelgrasshall import settings as settings_module

EXIT_OK = 0
EXIT_START_FAILED = 1
EXIT_INVALID_SETTINGS = 2


def main() -> None:
    """Runs the daemon with the command-line arguments."""
    parser = argparse.ArgumentParser(
        prog="eelgrasshalld", description="Serve searches on this entry host."
    )
    parser.add_argument("settings", help="path of the settings file (JSON)")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    arguments = parser.parse_args()
    settings, problems = settings_module.load_settings(arguments.settings)
    for problem in problems:
        print(f"eelgrasshalld: {problem.describe()}", file=sys.stderr)
    if settings is None:
        sys.exit(EXIT_INVALID_SETTINGS)
    if arguments.check:
        print("eelgrasshalld: The settings are valid.")
        sys.exit(EXIT_OK)
    log.configure(level=settings.log.level, json_lines=settings.log.json)
    sys.exit(uvloop.run(_run(settings)))


async def _run(settings: settings_module.Settings) -> int:
    """Runs the application until a stop is requested.

    Returns:
      The exit status.
    """
    app = application.Application(
        settings=settings,
        clock=clocks.Clock(),
        random=random_module.Random(),
    )
    try:
        await app.start()
    except OSError as error:
        logger.error(f"daemon: Cannot listen: {error}.")
        logger.error("daemon: Free the address or change it in the settings.")
        await app.stop()
        return EXIT_START_FAILED
    stop_requests = _install_signal_handlers(app)
    print(json.dumps({"ready": True, "name": settings.name}), flush=True)
    await stop_requests.get()
    await _drain_until_second_signal(app, stop_requests)
    await app.stop()
    return EXIT_OK


def _install_signal_handlers(
    app: application.Application,
) -> asyncio.Queue[None]:
    """Returns a queue that receives an item for each stop signal."""
    stop_requests: asyncio.Queue[None] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requests.put_nowait, None)
    loop.add_signal_handler(signal.SIGUSR1, app.log_state_dump)
    return stop_requests


async def _drain_until_second_signal(
    app: application.Application, stop_requests: asyncio.Queue[None]
) -> None:
    """Drains the host; returns early at a second stop signal."""
    drain = asyncio.create_task(app.drain())
    second_signal = asyncio.create_task(stop_requests.get())
    done, pending = await asyncio.wait(
        (drain, second_signal), return_when=asyncio.FIRST_COMPLETED
    )
    for task in pending:
        task.cancel()
    if drain in done:
        await drain


if __name__ == "__main__":
    main()
