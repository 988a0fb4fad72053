"""Measures what each role costs at several sizes, for the capacity page.

`python -m measure.slopes [PART ...]` runs small deployments and keeps the
points and the fitted slopes in `measure/slopes.json`, from which
`measure.capacity` prints its table.
"""

import argparse
import asyncio
import json
import os
import pathlib
import sys
from typing import Any
from typing import NamedTuple

import numpy as np
import uvloop

from eelgrasshall.fakes import backend
from measure import deployment
from measure import load
from measure import reports
from measure import scenarios
from measure import topologies

SLOPES = pathlib.Path(__file__).parent / "slopes.json"
OUT = pathlib.Path("out") / "slopes"
SETTLE_S = 6.0
IDLE_S = 10.0
WORK_S = 8.0
HOST_COUNTS = (3, 9, 20, 40)
SERVER_COUNTS = (90, 300, 900, 2100)
PEERS_FOR_SERVERS = 3
# One group whose sub-requests are short, so that processor time shows.
WORK_GROUP = topologies.ServiceGroup(
    kind="search", services=20, replicas=3, slots=6, connections=45
)
WORK_RATES = (20.0, 40.0, 60.0, 80.0)
WORK_HOSTS = 4
SERVICE_TIME = backend.ServiceTime()
SEED = 1
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """What a process has used.

    Attributes:
      processor_s: Processor time since its start in seconds.
      resident_mb: Resident memory in megabytes.
    """

    processor_s: float
    resident_mb: float


def read_usage(pid: int) -> Usage:
    """Reads the processor time and memory of a process."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    # The name in brackets may hold spaces; the fields follow it.
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(fields[21])
    resident_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    return Usage(ticks / TICKS_PER_S, resident_mb)


def fit(points: list[tuple[float, float]]) -> dict[str, Any]:
    """Fits a line through points.

    Returns:
      The points, the slope, the value at zero and the share of the variance
      that the line explains.
    """
    xs, ys = (np.array(each, dtype=float) for each in zip(*points, strict=True))
    slope, start = np.polyfit(xs, ys, 1)
    spread = ((ys - ys.mean()) ** 2).sum()
    left = ((ys - (start + slope * xs)) ** 2).sum()
    return {
        "points": [[float(x), float(y)] for x, y in points],
        "slope": float(slope),
        "start": float(start),
        "r2": float(1 - left / spread) if spread else 1.0,
    }


async def measure_idle(
    running: deployment.Deployment,
) -> dict[str, float]:
    """Returns what one daemon uses on average while nothing is asked."""
    await asyncio.sleep(SETTLE_S)
    pids = [child.pid for child in running.daemons.values()]
    before = [read_usage(pid) for pid in pids]
    calls = await running.steer_platform({})
    sent = await _read_control_bytes(running)
    await asyncio.sleep(IDLE_S)
    after = [read_usage(pid) for pid in pids]
    calls_after = await running.steer_platform({})
    sent_after = await _read_control_bytes(running)
    used_s = sum(
        a.processor_s - b.processor_s
        for a, b in zip(after, before, strict=True)
    )
    rate = len(pids) * IDLE_S
    return {
        "core_share": used_s / rate,
        "resident_mb": sum(a.resident_mb for a in after) / len(pids),
        "store_calls_per_s": _sum_calls(calls_after, calls) / IDLE_S,
        "bytes_per_s": (sent_after - sent) / rate,
    }


async def _read_control_bytes(running: deployment.Deployment) -> int:
    """Returns the bytes of heartbeats that the daemons say they have sent."""
    dumps = await running.read_dumps()
    return sum(
        dump["membership"]["counts"].get("bytes_sent", 0)
        for dump in dumps.values()
    )


def _sum_calls(after: dict[str, Any], before: dict[str, Any]) -> int:
    """Returns the store's calls between two readings."""
    sorts = ("reads", "writes", "watches")
    return sum(
        after["counts"].get(each, 0) - before["counts"].get(each, 0)
        for each in sorts
    )


async def measure_hosts() -> dict[str, Any]:
    """Measures membership: idle daemons in fleets of several sizes."""
    points: dict[str, list[tuple[float, float]]] = {}
    for hosts in HOST_COUNTS:
        group = topologies.ServiceGroup(kind="search", services=10)
        plan = deployment.Plan(
            build=topologies.make_configuration_builder(
                topologies.make_zones(3), (group,)
            ),
            hosts=hosts,
        )
        directory = OUT / f"hosts-{hosts}"
        async with scenarios.running_deployment(plan, directory) as running:
            figures = await measure_idle(running)
        print(f"slopes: {hosts} hosts: {figures}", flush=True)
        for name, value in figures.items():
            points.setdefault(name, []).append((hosts, value))
    return {f"hosts.{name}": fit(each) for name, each in points.items()}


async def measure_servers() -> dict[str, Any]:
    """Measures the configuration: idle daemons with more and more servers."""
    points: dict[str, list[tuple[float, float]]] = {}
    for servers in SERVER_COUNTS:
        group = topologies.ServiceGroup(kind="search", services=servers // 3)
        plan = deployment.Plan(
            build=topologies.make_configuration_builder(
                topologies.make_zones(9), (group,)
            ),
            hosts=PEERS_FOR_SERVERS,
        )
        directory = OUT / f"servers-{servers}"
        async with scenarios.running_deployment(plan, directory) as running:
            figures = await measure_idle(running)
            figures["apply_s"] = await _time_change(running)
        print(f"slopes: {servers} servers: {figures}", flush=True)
        for name, value in figures.items():
            points.setdefault(name, []).append((servers, value))
    return {f"servers.{name}": fit(each) for name, each in points.items()}


async def _time_change(running: deployment.Deployment) -> float:
    """Returns seconds from asking for a change until it is in force."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    await running.apply(running.configuration)
    await running.wait_in_force()
    return loop.time() - began


async def measure_work() -> dict[str, Any]:
    """Measures processor time for sub-requests, as entry host and as owner.

    All queries enter at one host.  The others only own services, so their
    use gives the owner's cost; what the entry host uses above its own share
    as owner is the cost of relay and gather.
    """
    owner: list[tuple[float, float]] = []
    entry: list[tuple[float, float]] = []
    plan = deployment.Plan(
        build=topologies.make_configuration_builder(
            topologies.make_zones(1), (WORK_GROUP,)
        ),
        hosts=WORK_HOSTS,
        service_time=SERVICE_TIME._asdict(),
    )
    async with scenarios.running_deployment(plan, OUT / "work") as running:
        for rate in WORK_RATES:
            owned, entered = await _measure_rate(running, rate)
            owner.append(owned)
            entry.append(entered)
    return {"work.owner_core": fit(owner), "work.entry_core": fit(entry)}


async def _measure_rate(
    running: deployment.Deployment, rate: float
) -> tuple[tuple[float, float], tuple[float, float]]:
    """Runs one rate; returns the points of an owner and of the entry host."""
    kind = running.configuration.kinds[0]
    sending = load.LoadGenerator(
        streams=[scenarios.make_stream(kind, rate)],
        zones=[running.configuration.zones[0].name],
        entry_urls=[running.hosts[0].caller_url],
        checker=scenarios.make_checker(running.configuration),
        seed=SEED,
        fixed_urls=(running.hosts[0].caller_url,),
    )
    pids = [running.daemons[host.name].pid for host in running.hosts]
    before = [read_usage(pid).processor_s for pid in pids]
    result = await sending.run(WORK_S)
    after = [read_usage(pid).processor_s for pid in pids]
    used = [(a - b) / WORK_S for a, b in zip(after, before, strict=True)]
    parts_per_s = result.part_count / WORK_S
    others = used[1:]
    share = await _read_owned_share(running)
    owned_by_others = (1 - share[0]) * parts_per_s
    owner_cost = sum(others) / owned_by_others
    print(f"slopes: {parts_per_s:.0f} parts/s: {used} {share}", flush=True)
    owner = (owned_by_others / len(others), sum(others) / len(others))
    own_work = owner_cost * share[0] * parts_per_s
    return owner, (parts_per_s, used[0] - own_work)


async def _read_owned_share(running: deployment.Deployment) -> list[float]:
    """Returns the share of the services that each daemon owns."""
    dumps = await running.read_dumps()
    counts = [len(dumps[h.name]["ownership"]["claims"]) for h in running.hosts]
    return [count / max(1, sum(counts)) for count in counts]


PARTS = {
    "hosts": measure_hosts,
    "servers": measure_servers,
    "work": measure_work,
}


async def measure_parts(names: list[str]) -> None:
    """Measures parts and keeps their slopes in the file."""
    kept = {}
    if SLOPES.exists():
        kept = json.loads(SLOPES.read_text(encoding="utf-8"))
    for name in names:
        kept.update(await PARTS[name]())
        kept[f"{name}.commit"] = reports.read_commit()
        text = json.dumps(kept, indent=1, sort_keys=True)
        SLOPES.write_text(text + "\n", encoding="utf-8")


def main() -> None:
    """Measures from the command line."""
    parser = argparse.ArgumentParser(prog="slopes", description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []])
    names = parser.parse_args().parts or list(PARTS)
    sys.exit(uvloop.run(measure_parts(names)))


if __name__ == "__main__":
    main()
