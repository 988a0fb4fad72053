"""The entry host process on the platform.

SIGTERM starts a graceful shutdown.  SIGHUP reloads the settings file, of which
only the bound on extra attempts and the grace period take effect; all other
settings need a restart.  SIGUSR1 logs a state dump.
"""

import asyncio
import random as random_module
import signal
import sys
import time

import uvloop

from eelgrasshall.gateway import events
from eelgrasshall.gateway import host as host_module
from eelgrasshall.platform import codec
from eelgrasshall.platform import settings as settings_module
from eelgrasshall.platform import store as store_module
from eelgrasshall.platform import wire_names

EXIT_INVALID_SETTINGS = 2


def main() -> None:
    """Runs the process, or only validates the settings with `--check`."""
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
    """Runs the host until SIGTERM, then shuts it down gracefully."""
    store = store_module.StoreClient(address=settings.store)
    log = events.EventLog(name=settings.host.name)
    host = host_module.GatewayHost(
        options=_make_options(settings),
        store=store,
        decode=codec.decode,
        publish=store.publish,
        incarnation=time.time_ns(),
        random=random_module.Random(),
        log=log,
    )
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, host, log)
    loop.add_signal_handler(signal.SIGUSR1, host.log_state_dump)
    await host.start()
    await stop_requested.wait()
    await host.drain()
    host.stop()
    store.close()


def _reload(host: host_module.GatewayHost, log: events.EventLog) -> None:
    """Reloads the settings; keeps the current ones if the new are invalid."""
    try:
        settings = settings_module.load_settings()
    except settings_module.SettingsError as error:
        log.record("reload_failed", reason=str(error))
        return
    host.reload(_make_options(settings))


def _make_options(settings: settings_module.Settings) -> host_module.Options:
    """Returns the gateway host's options for the platform's settings."""
    return host_module.Options(
        host=settings.host,
        directory=settings.directory,
        readiness=settings.readiness,
        metrics=settings.metrics,
        seeds=settings.seeds,
        bounds_s=settings.bounds_s,
        extra_attempt_bound=settings.extra_attempt_bound,
        cold_start_bound=settings.cold_start_bound,
        grace_s=settings.grace_s,
        names=wire_names.HEADERS,
        readiness_path=wire_names.READINESS_PATH,
        directory_path=wire_names.DIRECTORY_PATH,
        rollout_bound=settings.rollout_bound,
        revoke_s=settings.revoke_s,
        quota_bound=settings.quota_bound,
    )


if __name__ == "__main__":
    main()
