"""Measures what entry hosts send each other and the store, on the loopback.

`python -m eelgrasshall.platform.traffic --hosts 60` starts a fleet of real
processes without callers and reads the loopback interface's counter: in a calm
time, after a new configuration and after a server drains.  Nothing else may
use the loopback address meanwhile.  Bytes to the store count twice, since they
go through a proxy.
"""

import argparse
import asyncio
import json
import pathlib
from typing import NamedTuple

from eelgrasshall.platform import fleet as fleets

COUNTERS = pathlib.Path("/proc/net/dev")
# Bytes sent stand in this column of the counters, counted from the colon.
_SENT_COLUMN = 8
# Hosts have joined and told each other of it by then.
SETTLE_S = 8.0
CALM_S = 10.0
# A change has reached all hosts by then.
CHANGE_S = 3.0


class Traffic(NamedTuple):
    """What one host causes.

    Attributes:
      calm: Bytes a second without changes.
      configuration: Bytes for a new configuration beyond that.
      document: Bytes of that configuration.
      server: Bytes for a server that drains beyond the calm ones.
    """

    calm: float
    configuration: float
    document: int
    server: float


def parse_sent(text: str) -> int:
    """Returns the bytes that the loopback interface has sent.

    Raises:
      ValueError: The counters name no such interface.
    """
    for line in text.splitlines():
        name, _, counts = line.partition(":")
        if name.strip() == "lo":
            return int(counts.split()[_SENT_COLUMN])
    raise ValueError("no loopback interface")


async def measure(fleet: fleets.Fleet) -> Traffic:
    """Measures a fleet that has been started."""
    hosts = len(fleet.names)
    for name in fleet.names:
        await fleet.wait_ready(name)
    await asyncio.sleep(SETTLE_S)
    calm = await _count(CALM_S) / CALM_S / hosts
    fleet.configure(goalMs=200)
    configuration = await _count(CHANGE_S) / hosts - calm * CHANGE_S
    fleet.register(sorted(fleet.servers)[0], state="draining")
    server = await _count(CHANGE_S) / hosts - calm * CHANGE_S
    document = len(json.dumps(fleet.store.find("config", "main")))
    return Traffic(calm, configuration, document, server)


async def _count(seconds: float) -> int:
    """Returns the bytes sent in the next seconds."""
    before = _read_sent()
    await asyncio.sleep(seconds)
    return _read_sent() - before


def _read_sent() -> int:
    """Returns what the loopback interface has sent by now."""
    return parse_sent(COUNTERS.read_text(encoding="ascii"))


async def _run(given: argparse.Namespace) -> None:
    """Starts a fleet and prints what was measured."""
    fleet = fleets.Fleet(
        folder=given.folder,
        port=given.port,
        hosts=given.hosts,
        shards=given.shards,
        replicas=3,
    )
    await fleet.start()
    try:
        print(json.dumps((await measure(fleet))._asdict()))
    finally:
        await fleet.stop()


def main() -> None:
    """Prints the bytes of one host as a JSON object."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, default=20)
    parser.add_argument("--shards", type=int, default=30)
    parser.add_argument("--port", type=int, default=28000)
    parser.add_argument("--folder", type=pathlib.Path, default="out/traffic")
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
