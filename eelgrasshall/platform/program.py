"""The entry host's process on the platform.

It runs until SIGTERM, which begins a planned stop.  SIGHUP says that the
settings file has changed; bounds are read anew, the rest is fixed for the life
of a process.  SIGUSR1 logs the state dump.
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
    """Runs the process; `--check` only checks the settings."""
    try:
        settings = settings_module.load_settings()
    except settings_module.SettingsError as error:
        print(f"eelgrasshall: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if "--check" in sys.argv[1:]:
        print("eelgrasshall: The settings are valid.")
        return
    uvloop.run(_run(settings))


async def _run(settings: settings_module.Settings) -> None:
    """Runs the host until it is told to stop."""
    store = stores.Store(address=settings.store)
    log = events.EventLog(name=settings.host.name)
    host = hosts.GatewayHost(
        options=_make_options(settings),
        source=store,
        decode=records.decode,
        publish=store.publish,
        incarnation=time.time_ns(),
        random=random_module.Random(),
        log=log,
    )
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, told.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, host, log)
    loop.add_signal_handler(signal.SIGUSR1, host.log_state_dump)
    await host.start()
    await told.wait()
    await host.drain()
    host.stop()
    store.close()


def _reload(host: hosts.GatewayHost, log: events.EventLog) -> None:
    """Reads the settings anew; unusable ones change nothing."""
    try:
        settings = settings_module.load_settings()
    except settings_module.SettingsError as error:
        log.record("reload_failed", reason=str(error))
        return
    host.reload(_make_options(settings))


def _make_options(settings: settings_module.Settings) -> hosts.Options:
    """Returns what the host is told, in the product's terms."""
    return hosts.Options(
        host=settings.host,
        directory=settings.directory,
        readiness=settings.readiness,
        metrics=settings.metrics,
        seeds=settings.seeds,
        bounds_s=settings.bounds_s,
        extra_attempt_bound=settings.extra_bound,
        cold_start_bound=settings.cold_bound,
        grace_s=settings.grace_s,
        names=names.HEADERS,
        readiness_path=names.READINESS_PATH,
        directory_path=names.DIRECTORY_PATH,
    )


if __name__ == "__main__":
    main()
