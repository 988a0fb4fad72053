"""Measures the traffic among entry hosts and to the store, on loopback.

`python -m eelgrasshall.platform.traffic --hosts 60` starts a fleet of real
processes without callers and reads the byte counter of the loopback interface:
while nothing changes, after a new configuration and after a backend server
starts to drain.  Nothing else may use the loopback interface meanwhile.  Bytes
to and from the store count twice, since they pass through a proxy.
"""

import argparse
import asyncio
import json
import pathlib
from typing import NamedTuple

from eelgrasshall.platform import fleet as fleet_module

COUNTERS_PATH = pathlib.Path("/proc/net/dev")
# Column of the bytes sent, counted from the colon after the interface name.
_SENT_COLUMN = 8
# Time for all hosts to join and to learn of each other.
SETTLE_S = 8.0
BASELINE_S = 10.0
# Time for a change to reach all hosts.
CHANGE_WINDOW_S = 3.0


class Traffic(NamedTuple):
    """Traffic per entry host.

    Attributes:
      calm: Traffic while nothing changes, bytes/s.
      configuration: Additional traffic for a new configuration, bytes.
      document: Size of that configuration, bytes.
      server: Additional traffic when a backend server drains, bytes.
    """

    calm: float
    configuration: float
    document: int
    server: float


def parse_sent(text: str) -> int:
    """Returns the number of bytes that the loopback interface has sent.

    Raises:
      ValueError: The counters list no loopback interface.
    """
    for line in text.splitlines():
        name, _, counts = line.partition(":")
        if name.strip() == "lo":
            return int(counts.split()[_SENT_COLUMN])
    raise ValueError("no loopback interface")


async def measure(fleet: fleet_module.Fleet) -> Traffic:
    """Measures the traffic of a fleet that has been started.

    Raises:
      TimeoutError: A host does not become ready.
    """
    hosts = len(fleet.host_names)
    for name in fleet.host_names:
        await fleet.wait_ready(name)
    await asyncio.sleep(SETTLE_S)
    calm = await _count_sent(BASELINE_S) / BASELINE_S / hosts
    fleet.publish_configuration(goalMs=200)
    configuration = (
        await _count_sent(CHANGE_WINDOW_S) / hosts - calm * CHANGE_WINDOW_S
    )
    fleet.register_server(sorted(fleet.servers)[0], state="draining")
    server = await _count_sent(CHANGE_WINDOW_S) / hosts - calm * CHANGE_WINDOW_S
    document = len(json.dumps(fleet.store.get_spec("config", "main")))
    return Traffic(calm, configuration, document, server)


async def _count_sent(seconds: float) -> int:
    """Returns the number of bytes sent during a number of seconds."""
    before = _read_sent()
    await asyncio.sleep(seconds)
    return _read_sent() - before


def _read_sent() -> int:
    """Returns the number of bytes that the loopback interface has sent."""
    return parse_sent(COUNTERS_PATH.read_text(encoding="ascii"))


async def _run(args: argparse.Namespace) -> None:
    """Starts a fleet, measures its traffic and prints the result."""
    fleet = fleet_module.Fleet(
        folder=args.folder,
        port=args.port,
        hosts=args.hosts,
        shards=args.shards,
        replicas=3,
    )
    await fleet.start()
    try:
        print(json.dumps((await measure(fleet))._asdict()))
    finally:
        await fleet.stop()


def main() -> None:
    """Prints the traffic per entry host as a JSON object."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, default=20)
    parser.add_argument("--shards", type=int, default=30)
    parser.add_argument("--port", type=int)
    parser.add_argument("--folder", type=pathlib.Path, default="out/traffic")
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
