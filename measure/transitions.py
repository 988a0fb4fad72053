"""Scenarios of change under load: zones, restarts, cold turns, outages."""

import asyncio
from typing import Any

from eelgrasshall.fakes import backend
from eelgrasshall.state import configuration as configurations
from examples import tandil
from measure import deployment
from measure import load
from measure import scenarios

# Four times the brief's service time, so that Tandil at its full shape needs
# a quarter of the requests a second and one machine carries it.
SERVICE_TIME = backend.ServiceTime(median_s=0.032)
UTILISATION = 0.2
WARM_UP_S = 12.0
ZONE_OUT_BOUND_S = 5.0
POLL_S = 0.25
RESTART_TTL_S = 1.0


def make_tandil_plan(
    context: scenarios.Context, **settings: Any
) -> deployment.Plan:
    """Returns the plan of Tandil at its full shape."""
    return deployment.Plan(
        build=tandil.build,
        hosts=context.hosts,
        seed=context.seed,
        service_time=SERVICE_TIME._asdict(),
        settings=settings,
    )


def make_streams(
    configuration: configurations.Configuration, utilisation: float
) -> list[load.RequestStream]:
    """Returns a stream of each kind, each group at the same utilisation."""
    mean_s = SERVICE_TIME.compute_mean_s()
    return [
        scenarios.make_stream(
            kind,
            scenarios.find_rate(configuration, kind, mean_s, utilisation),
        )
        for kind in configuration.kinds
    ]


def set_zone(
    configuration: configurations.Configuration, name: str, in_service: bool
) -> configurations.Configuration:
    """Returns the configuration with one zone taken out or back in."""
    zones = tuple(
        zone._replace(in_service=in_service) if zone.name == name else zone
        for zone in configuration.zones
    )
    return configuration._replace(zones=zones)


@scenarios.register("zone")
async def run_zone(context: scenarios.Context) -> scenarios.Report:
    """Takes a zone of Tandil out under load and brings it back, cold."""
    plan = make_tandil_plan(context)
    async with scenarios.running_deployment(plan, context.directory) as running:
        streams = make_streams(running.configuration, UTILISATION)
        sending = scenarios.make_load(running, streams, context.seed)
        span_s = context.seconds
        task = asyncio.create_task(sending.run(3 * span_s, WARM_UP_S))
        zone = running.configuration.zones[0].name
        try:
            await asyncio.sleep(WARM_UP_S + span_s)
            await running.apply(set_zone(running.configuration, zone, False))
            last_s = await _watch_zone(running, zone, span_s)
            await running.steer_servers({"zones": [zone], "call": "turn_cold"})
            falls_before = await _count_falls(running)
            await running.apply(set_zone(running.configuration, zone, True))
            result = await task
        finally:
            task.cancel()
        row = await scenarios.summarise_run(running, result, "whole run")
        falls = await _count_falls(running) - falls_before
        breaches = await scenarios.find_breaches(running, [row])
    rows = [
        row,
        result.summarise_span("before", 0.0, span_s),
        result.summarise_span("zone out", span_s, 2 * span_s),
        result.summarise_span("zone back", 2 * span_s, 3 * span_s),
    ]
    goals = [
        scenarios.Goal(
            "last new work in the zone, s after acceptance",
            round(last_s, 2),
            "<= 5",
            last_s <= ZONE_OUT_BOUND_S,
        ),
        scenarios.Goal(
            "cold servers that fell over at the return",
            falls,
            "0",
            falls == 0,
        ),
    ]
    notes = ["Service time median 32 ms at 20% of the slots, four kinds."]
    series = {"zone leaves and returns": result}
    return scenarios.Report(rows, goals, series, notes, breaches)


async def _watch_zone(
    running: deployment.Deployment, zone: str, seconds: float
) -> float:
    """Watches a zone taken out for new attempts.

    Returns:
      Seconds after the start of the watch at which the last one was seen.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    seen = await _count_zone_runs(running, zone)
    last_s = 0.0
    while (now_s := loop.time() - began) < seconds:
        runs = await _count_zone_runs(running, zone)
        if runs > seen:
            seen = runs
            last_s = now_s
        await asyncio.sleep(POLL_S)
    return last_s


async def _count_zone_runs(running: deployment.Deployment, zone: str) -> int:
    """Returns the attempts that the servers of a zone have started."""
    command = {"zones": [zone], "report": True}
    reports = await running.steer_servers(command)
    return sum(report["counts"].get("runs", 0) for report in reports)


async def _count_falls(running: deployment.Deployment) -> int:
    """Returns how often cold servers have fallen over."""
    reports = await running.steer_servers({"report": True})
    return sum(report["counts"].get("falls", 0) for report in reports)


@scenarios.register("rolling-restart")
async def run_rolling_restart(context: scenarios.Context) -> scenarios.Report:
    """Replaces every daemon, one after another, under load."""
    plan = make_tandil_plan(context, address_ttl_s=RESTART_TTL_S)
    cut: list[str] = []
    async with scenarios.running_deployment(plan, context.directory) as running:
        streams = make_streams(running.configuration, UTILISATION)
        sending = scenarios.make_load(running, streams, context.seed)
        # Each replacement takes a few seconds; the load outlasts them all.
        seconds = context.seconds + 6.0 * len(running.hosts)
        task = asyncio.create_task(sending.run(seconds, WARM_UP_S))
        try:
            await asyncio.sleep(WARM_UP_S)
            replaced = 0
            for host in running.hosts:
                if task.done():
                    break
                cut += await _replace(running, host)
                replaced += 1
            result = await task
        finally:
            task.cancel()
        row = await scenarios.summarise_run(running, result, "rolling restart")
        breaches = await scenarios.find_breaches(running, [row])
    failed = result.counts["none"] + result.counts["unknown"]
    goals = [
        scenarios.Goal("failed requests", failed, "0", failed == 0),
        scenarios.Goal(
            "hosts replaced under load",
            replaced,
            str(len(running.hosts)),
            replaced == len(running.hosts),
        ),
    ]
    series = {"rolling restart": result}
    return scenarios.Report([row], goals, series, cut, breaches)


async def _replace(
    running: deployment.Deployment, host: deployment.Host
) -> list[str]:
    """Replaces one daemon by a fresh one with the same name and addresses."""
    notes = []
    child = running.daemons[host.name]
    if not await running.stop_daemon(host):
        notes.append(f"{host.name} did not end by itself.")
    elif child.process.returncode != 0:
        notes.append(f"{host.name} ended with {child.process.returncode}.")
    await running.start_daemon(host)
    return notes


@scenarios.register("cold-turn")
async def run_cold_turn(context: scenarios.Context) -> scenarios.Report:
    """Turns servers cold under load, with and without a restart."""
    plan = make_tandil_plan(context)
    async with scenarios.running_deployment(plan, context.directory) as running:
        streams = make_streams(running.configuration, UTILISATION)
        sending = scenarios.make_load(running, streams, context.seed)
        span_s = context.seconds
        task = asyncio.create_task(sending.run(3 * span_s, WARM_UP_S))
        zone = running.configuration.zones[0].name
        try:
            await asyncio.sleep(WARM_UP_S + span_s)
            await running.steer_servers({"zones": [zone], "call": "turn_cold"})
            await asyncio.sleep(span_s)
            silent_falls = await _count_falls(running)
            await running.steer_servers(
                {"zones": [zone], "call": "crash", "args": [1.0]}
            )
            result = await task
        finally:
            task.cancel()
        row = await scenarios.summarise_run(running, result, "whole run")
        falls = await _count_falls(running) - silent_falls
        breaches = await scenarios.find_breaches(running, [row])
    rows = [
        row,
        result.summarise_span("before", 0.0, span_s),
        result.summarise_span("cold without a sign", span_s, 2 * span_s),
        result.summarise_span("cold by restart", 2 * span_s, 3 * span_s),
    ]
    goals = [
        scenarios.Goal(
            "restarted servers that fell over again", falls, "0", falls == 0
        )
    ]
    notes = [f"{silent_falls} servers fell over after turning cold silently."]
    series = {"a zone turns cold": result}
    return scenarios.Report(rows, goals, series, notes, breaches)


@scenarios.register("store-outage")
async def run_store_outage(context: scenarios.Context) -> scenarios.Report:
    """Takes the store away under load; a daemon restarts meanwhile."""
    plan = make_tandil_plan(context, address_ttl_s=RESTART_TTL_S)
    async with scenarios.running_deployment(plan, context.directory) as running:
        streams = make_streams(running.configuration, UTILISATION)
        sending = scenarios.make_load(running, streams, context.seed)
        span_s = context.seconds
        task = asyncio.create_task(sending.run(3 * span_s, WARM_UP_S))
        try:
            await asyncio.sleep(WARM_UP_S + span_s)
            await running.steer_platform({"set": {"down": True}})
            await _replace(running, running.hosts[0])
            restart_s = await running.wait_in_force()
            await asyncio.sleep(span_s)
            await running.steer_platform({"set": {"down": False}})
            back = await running.steer_platform({})
            result = await task
            end = await running.steer_platform({})
        finally:
            task.cancel()
        row = await scenarios.summarise_run(running, result, "whole run")
        breaches = await scenarios.find_breaches(running, [row])
    failed = result.counts["none"] + result.counts["unknown"]
    goals = [scenarios.Goal("failed requests", failed, "0", failed == 0)]
    notes = [
        "A daemon restarted during the outage had the configuration after "
        f"{restart_s:.1f} s.",
        f"Store calls by the return: {back['counts']}, at the end: "
        f"{end['counts']}; most in a second {end['most_calls_in_a_second']}.",
    ]
    series = {"store outage": result}
    return scenarios.Report([row], goals, series, notes, breaches)
