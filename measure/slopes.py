"""Measures the resource usage of each role at several sizes.

`python -m measure.slopes [PART ...]` runs small deployments and writes the
measured points and fitted lines to `measure/slopes.json`, the input of
`measure.capacity`.
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

SLOPES_FILE = pathlib.Path(__file__).parent / "slopes.json"
OUTPUT_DIRECTORY = pathlib.Path("out") / "slopes"
SETTLING_S = 6.0
IDLE_SPAN_S = 10.0
WORK_SPAN_S = 8.0
HOST_COUNTS = (3, 9, 20, 40)
SERVER_COUNTS = (90, 300, 900, 2100)
HOSTS_FOR_SERVERS = 3
# Sub-requests are short, so that the processor time of the daemons dominates.
WORK_GROUP = topologies.ServiceGroup(
    kind="search", services=20, replicas=3, slots=6, connections=45
)
WORK_RATES_PER_S = (20.0, 40.0, 60.0, 80.0)
WORK_HOSTS = 4
SERVICE_TIME = backend.ServiceTime()
SEED = 1
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ProcessUsage(NamedTuple):
    """Resource usage of a process.

    Attributes:
      cpu_s: Processor time since the start of the process in seconds.
      resident_mb: Resident memory in megabytes.
    """

    cpu_s: float
    resident_mb: float


def read_usage(pid: int) -> ProcessUsage:
    """Reads the processor time and memory of a process."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    # The command name in parentheses may contain spaces.
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(fields[21])
    resident_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    return ProcessUsage(ticks / CLOCK_TICKS_PER_S, resident_mb)


def fit_line(points: list[tuple[float, float]]) -> dict[str, Any]:
    """Fits a line through points.

    Returns:
      The points, the slope, the intercept (`start`) and the coefficient of
      determination (`r2`).
    """
    xs, ys = (np.array(each, dtype=float) for each in zip(*points, strict=True))
    slope, intercept = np.polyfit(xs, ys, 1)
    total_variation = ((ys - ys.mean()) ** 2).sum()
    residual_variation = ((ys - (intercept + slope * xs)) ** 2).sum()
    return {
        "points": [[float(x), float(y)] for x, y in points],
        "slope": float(slope),
        "start": float(intercept),
        "r2": float(1 - residual_variation / total_variation)
        if total_variation
        else 1.0,
    }


async def measure_idle(
    running: deployment.Deployment,
) -> dict[str, float]:
    """Returns the mean usage of a daemon while there are no requests."""
    await asyncio.sleep(SETTLING_S)
    pids = [child.pid for child in running.daemons.values()]
    before = [read_usage(pid) for pid in pids]
    calls = await running.control_platform({})
    sent = await _read_control_bytes(running)
    await asyncio.sleep(IDLE_SPAN_S)
    after = [read_usage(pid) for pid in pids]
    calls_after = await running.control_platform({})
    sent_after = await _read_control_bytes(running)
    used_s = sum(a.cpu_s - b.cpu_s for a, b in zip(after, before, strict=True))
    daemon_seconds = len(pids) * IDLE_SPAN_S
    return {
        "core_share": used_s / daemon_seconds,
        "resident_mb": sum(a.resident_mb for a in after) / len(pids),
        "store_calls_per_s": _sum_calls(calls_after, calls) / IDLE_SPAN_S,
        "bytes_per_s": (sent_after - sent) / daemon_seconds,
    }


async def _read_control_bytes(running: deployment.Deployment) -> int:
    """Returns the membership bytes that all daemons report as sent."""
    dumps = await running.read_dumps()
    return sum(
        dump["membership"]["counts"].get("bytes_sent", 0)
        for dump in dumps.values()
    )


def _sum_calls(after: dict[str, Any], before: dict[str, Any]) -> int:
    """Returns the number of store calls between two readings."""
    call_types = ("reads", "writes", "watches")
    return sum(
        after["counts"].get(each, 0) - before["counts"].get(each, 0)
        for each in call_types
    )


async def measure_hosts() -> dict[str, Any]:
    """Measures membership with idle fleets of several sizes."""
    points: dict[str, list[tuple[float, float]]] = {}
    for hosts in HOST_COUNTS:
        group = topologies.ServiceGroup(kind="search", services=10)
        plan = deployment.Plan(
            build=topologies.make_configuration_builder(
                topologies.make_zones(3), (group,)
            ),
            hosts=hosts,
        )
        directory = OUTPUT_DIRECTORY / f"hosts-{hosts}"
        async with scenarios.running_deployment(plan, directory) as running:
            figures = await measure_idle(running)
        print(f"slopes: {hosts} hosts: {figures}", flush=True)
        for name, value in figures.items():
            points.setdefault(name, []).append((hosts, value))
    return {f"hosts.{name}": fit_line(each) for name, each in points.items()}


async def measure_servers() -> dict[str, Any]:
    """Measures idle daemons with increasing numbers of servers."""
    points: dict[str, list[tuple[float, float]]] = {}
    for servers in SERVER_COUNTS:
        group = topologies.ServiceGroup(kind="search", services=servers // 3)
        plan = deployment.Plan(
            build=topologies.make_configuration_builder(
                topologies.make_zones(9), (group,)
            ),
            hosts=HOSTS_FOR_SERVERS,
        )
        directory = OUTPUT_DIRECTORY / f"servers-{servers}"
        async with scenarios.running_deployment(plan, directory) as running:
            figures = await measure_idle(running)
            figures["apply_s"] = await _measure_rollout_s(running)
        print(f"slopes: {servers} servers: {figures}", flush=True)
        for name, value in figures.items():
            points.setdefault(name, []).append((servers, value))
    return {f"servers.{name}": fit_line(each) for name, each in points.items()}


async def _measure_rollout_s(running: deployment.Deployment) -> float:
    """Returns the seconds from sending a change until it is in force."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    await running.apply_configuration(running.configuration)
    await running.wait_until_in_force()
    return loop.time() - started_s


async def measure_work() -> dict[str, Any]:
    """Measures processor time per sub-request on entry host and owner.

    All queries enter at one host.  The other hosts only own services, so their
    usage is the cost of an owner.  The usage of the entry host less its own
    share as owner is the cost of relay and gather.
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
    async with scenarios.running_deployment(
        plan, OUTPUT_DIRECTORY / "work"
    ) as running:
        for rate in WORK_RATES_PER_S:
            owner_point, entry_point = await _measure_rate(running, rate)
            owner.append(owner_point)
            entry.append(entry_point)
    return {
        "work.owner_core": fit_line(owner),
        "work.entry_core": fit_line(entry),
    }


async def _measure_rate(
    running: deployment.Deployment, rate: float
) -> tuple[tuple[float, float], tuple[float, float]]:
    """Runs one request rate; returns points of an owner and the entry host."""
    kind = running.configuration.kinds[0]
    load_generator = load.LoadGenerator(
        streams=[scenarios.make_stream(kind, rate)],
        zones=[running.configuration.zones[0].name],
        entry_urls=[running.hosts[0].caller_url],
        checker=scenarios.make_checker(running.configuration),
        seed=SEED,
        fixed_urls=(running.hosts[0].caller_url,),
    )
    pids = [running.daemons[host.name].pid for host in running.hosts]
    before = [read_usage(pid).cpu_s for pid in pids]
    result = await load_generator.run(WORK_SPAN_S)
    after = [read_usage(pid).cpu_s for pid in pids]
    used = [(a - b) / WORK_SPAN_S for a, b in zip(after, before, strict=True)]
    parts_per_s = result.part_count / WORK_SPAN_S
    others = used[1:]
    share = await _read_owned_share(running)
    owned_by_others = (1 - share[0]) * parts_per_s
    owner_cost = sum(others) / owned_by_others
    print(f"slopes: {parts_per_s:.0f} parts/s: {used} {share}", flush=True)
    owner = (owned_by_others / len(others), sum(others) / len(others))
    own_work = owner_cost * share[0] * parts_per_s
    return owner, (parts_per_s, used[0] - own_work)


async def _read_owned_share(running: deployment.Deployment) -> list[float]:
    """Returns the share of the services that each daemon owns, by host."""
    dumps = await running.read_dumps()
    counts = [len(dumps[h.name]["ownership"]["claims"]) for h in running.hosts]
    return [count / max(1, sum(counts)) for count in counts]


MEASUREMENTS = {
    "hosts": measure_hosts,
    "servers": measure_servers,
    "work": measure_work,
}


async def run_measurements(names: list[str]) -> None:
    """Runs the named measurements and updates `slopes.json` after each."""
    slopes = {}
    if SLOPES_FILE.exists():
        slopes = json.loads(SLOPES_FILE.read_text(encoding="utf-8"))
    for name in names:
        slopes.update(await MEASUREMENTS[name]())
        slopes[f"{name}.commit"] = reports.read_commit()
        text = json.dumps(slopes, indent=1, sort_keys=True)
        SLOPES_FILE.write_text(text + "\n", encoding="utf-8")


def main() -> None:
    """Runs the tool from the command line."""
    parser = argparse.ArgumentParser(prog="slopes", description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*MEASUREMENTS, []])
    names = parser.parse_args().parts or list(MEASUREMENTS)
    sys.exit(uvloop.run(run_measurements(names)))


if __name__ == "__main__":
    main()
