"""The daemon: one plain process for each entry host.

`eelgrasshalld SETTINGS.json` runs until SIGTERM or SIGINT, which begin a
planned stop; a second one stops at once.  SIGUSR1 logs the state dump.
`--check` only checks the settings.
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
EXIT_CANNOT_START = 1
EXIT_INVALID_SETTINGS = 2


def main() -> None:
    """Runs the daemon with the arguments of the process."""
    parser = argparse.ArgumentParser(
        prog="eelgrasshalld", description="Serve searches on this entry host."
    )
    parser.add_argument("settings", help="path of the settings, a JSON file")
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
    """Runs the application until it is told to stop."""
    app = application.Application(
        settings=settings,
        clock=clocks.Clock(),
        random=random_module.Random(),
    )
    try:
        await app.start()
    except OSError as error:
        logger.error(f"daemon: Cannot listen: {error}.")
        logger.error("daemon: Free the port or change the settings.")
        await app.stop()
        return EXIT_CANNOT_START
    stops = _watch_signals(app)
    print(json.dumps({"ready": True, "name": settings.name}), flush=True)
    await stops.get()
    await _drain_unless_told_again(app, stops)
    await app.stop()
    return EXIT_OK


def _watch_signals(app: application.Application) -> asyncio.Queue[None]:
    """Returns a queue that gets an item for each signal to stop."""
    stops: asyncio.Queue[None] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stops.put_nowait, None)
    loop.add_signal_handler(signal.SIGUSR1, app.write_dump)
    return stops


async def _drain_unless_told_again(
    app: application.Application, stops: asyncio.Queue[None]
) -> None:
    """Finishes what is in flight, or returns at the second signal."""
    drain = asyncio.create_task(app.drain())
    again = asyncio.create_task(stops.get())
    done, pending = await asyncio.wait(
        (drain, again), return_when=asyncio.FIRST_COMPLETED
    )
    for task in pending:
        task.cancel()
    if drain in done:
        await drain


if __name__ == "__main__":
    main()
