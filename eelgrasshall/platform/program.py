"""The entry host's process on the platform.

It runs until SIGTERM, which begins a planned stop.  SIGHUP says that the
settings file has changed; what it holds is fixed for a process's life but for
its bounds, which are read anew.
"""

import asyncio
import random as random_module
import signal
import sys
import time

import uvloop

from eelgrasshall.gateway import events
from eelgrasshall.gateway import host as hosts
from eelgrasshall.platform import names
from eelgrasshall.platform import records
from eelgrasshall.platform import settings as settings_module
from eelgrasshall.platform import store as stores

EXIT_INVALID_SETTINGS = 2


def main() -> None:
    """Runs the process."""
    try:
        settings = settings_module.load_settings()
    except settings_module.SettingsError as error:
        print(f"eelgrasshall: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    uvloop.run(_run(settings))


async def _run(settings: settings_module.Settings) -> None:
    """Runs the host until it is told to stop."""
    store = stores.Store(address=settings.store)
    host = hosts.GatewayHost(
        options=hosts.Options(
            host=settings.host,
            directory=settings.directory,
            readiness=settings.readiness,
            metrics=settings.metrics,
            seeds=settings.seeds,
            extra_bound=settings.extra_bound,
            grace_s=settings.grace_s,
            cold_multiplier=settings.cold_multiplier,
            cold_slack=settings.cold_slack,
            names=names.HEADERS,
            readiness_path=names.READINESS_PATH,
            directory_path=names.DIRECTORY_PATH,
        ),
        source=store,
        decode=records.decode,
        publish=store.publish,
        incarnation=int(time.time()),
        random=random_module.Random(),
        log=events.EventLog(name=settings.host.name),
    )
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, told.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await host.start()
    await told.wait()
    await host.drain()
    host.stop()
    store.close()


if __name__ == "__main__":
    main()
