"""Scenarios of changes under load: zones, restarts, cold servers, outages."""

import asyncio
from typing import Any

from eelgrasshall.fakes import backend
from eelgrasshall.state import configuration as configurations
from examples import tandil
from measure import deployment
from measure import load
from measure import scenarios

# Slow enough that one machine can run the request rate that the full Tandil
# topology needs at this utilisation.
SERVICE_TIME = backend.ServiceTime(median_s=0.032)
UTILISATION = 0.2
WARM_UP_S = 12.0
MAX_ZONE_OUT_DELAY_S = 5.0
POLL_INTERVAL_S = 0.25
SHORT_ADDRESS_TTL_S = 1.0


def make_tandil_plan(
    context: scenarios.Context, **settings: Any
) -> deployment.Plan:
    """Returns the plan of the full Tandil topology."""
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
    """Returns a request stream for each kind, all at the same utilisation."""
    mean_s = SERVICE_TIME.compute_mean_s()
    return [
        scenarios.make_stream(
            kind,
            scenarios.compute_request_rate(
                configuration, kind, mean_s, utilisation
            ),
        )
        for kind in configuration.kinds
    ]


def set_zone_in_service(
    configuration: configurations.Configuration, name: str, in_service: bool
) -> configurations.Configuration:
    """Returns the configuration with one zone in or out of service."""
    zones = tuple(
        zone._replace(in_service=in_service) if zone.name == name else zone
        for zone in configuration.zones
    )
    return configuration._replace(zones=zones)


@scenarios.register("zone")
async def run_zone(context: scenarios.Context) -> scenarios.Report:
    """Takes a zone out of service under load and returns it cold."""
    plan = make_tandil_plan(context)
    async with scenarios.running_deployment(plan, context.directory) as running:
        streams = make_streams(running.configuration, UTILISATION)
        load_generator = scenarios.make_load_generator(
            running, streams, context.seed
        )
        span_s = context.seconds
        task = asyncio.create_task(load_generator.run(3 * span_s, WARM_UP_S))
        zone = running.configuration.zones[0].name
        try:
            await asyncio.sleep(WARM_UP_S + span_s)
            await running.apply_configuration(
                set_zone_in_service(running.configuration, zone, False)
            )
            last_s = await _find_last_attempt_s(running, zone, span_s)
            await running.control_servers(
                {"zones": [zone], "call": "turn_cold"}
            )
            overloads_before = await _count_cold_overloads(running)
            await running.apply_configuration(
                set_zone_in_service(running.configuration, zone, True)
            )
            result = await task
        finally:
            task.cancel()
        row = await scenarios.summarise_run(running, result, "whole run")
        overloads = await _count_cold_overloads(running) - overloads_before
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
            last_s <= MAX_ZONE_OUT_DELAY_S,
        ),
        scenarios.Goal(
            "cold servers that fell over at the return",
            overloads,
            "0",
            overloads == 0,
        ),
    ]
    notes = ["Service time median 32 ms at 20% of the slots, four kinds."]
    series = {"zone leaves and returns": result}
    return scenarios.Report(rows, goals, series, notes, breaches)


async def _find_last_attempt_s(
    running: deployment.Deployment, zone: str, seconds: float
) -> float:
    """Observes new attempts in a zone that was taken out of service.

    Returns:
      Seconds from the call until the last new attempt was observed; 0 if there
      was none.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    seen_attempts = await _count_zone_attempts(running, zone)
    last_s = 0.0
    while (now_s := loop.time() - started_s) < seconds:
        attempts = await _count_zone_attempts(running, zone)
        if attempts > seen_attempts:
            seen_attempts = attempts
            last_s = now_s
        await asyncio.sleep(POLL_INTERVAL_S)
    return last_s


async def _count_zone_attempts(
    running: deployment.Deployment, zone: str
) -> int:
    """Returns how many attempts the servers of a zone have started."""
    command = {"zones": [zone], "report": True}
    reports = await running.control_servers(command)
    return sum(report["counts"].get("runs", 0) for report in reports)


async def _count_cold_overloads(running: deployment.Deployment) -> int:
    """Returns how often cold servers crashed because of overload."""
    reports = await running.control_servers({"report": True})
    return sum(report["counts"].get("falls", 0) for report in reports)


@scenarios.register("rolling-restart")
async def run_rolling_restart(context: scenarios.Context) -> scenarios.Report:
    """Restarts every daemon, one after another, under load."""
    plan = make_tandil_plan(context, address_ttl_s=SHORT_ADDRESS_TTL_S)
    notes: list[str] = []
    async with scenarios.running_deployment(plan, context.directory) as running:
        streams = make_streams(running.configuration, UTILISATION)
        load_generator = scenarios.make_load_generator(
            running, streams, context.seed
        )
        # A restart takes a few seconds; the load must outlast all of them.
        seconds = context.seconds + 6.0 * len(running.hosts)
        task = asyncio.create_task(load_generator.run(seconds, WARM_UP_S))
        try:
            await asyncio.sleep(WARM_UP_S)
            replaced = 0
            for host in running.hosts:
                if task.done():
                    break
                notes += await _replace_daemon(running, host)
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
    return scenarios.Report([row], goals, series, notes, breaches)


async def _replace_daemon(
    running: deployment.Deployment, host: deployment.Host
) -> list[str]:
    """Restarts a daemon under the same name and addresses; returns notes."""
    notes = []
    child = running.daemons[host.name]
    if not await running.stop_daemon(host):
        notes.append(f"{host.name} did not end within the stop time-out.")
    elif child.process.returncode != 0:
        notes.append(f"{host.name} ended with {child.process.returncode}.")
    await running.start_daemon(host)
    return notes


@scenarios.register("cold-turn")
async def run_cold_turn(context: scenarios.Context) -> scenarios.Report:
    """Makes the servers of a zone cold under load, then crashes them."""
    plan = make_tandil_plan(context)
    async with scenarios.running_deployment(plan, context.directory) as running:
        streams = make_streams(running.configuration, UTILISATION)
        load_generator = scenarios.make_load_generator(
            running, streams, context.seed
        )
        span_s = context.seconds
        task = asyncio.create_task(load_generator.run(3 * span_s, WARM_UP_S))
        zone = running.configuration.zones[0].name
        try:
            await asyncio.sleep(WARM_UP_S + span_s)
            await running.control_servers(
                {"zones": [zone], "call": "turn_cold"}
            )
            await asyncio.sleep(span_s)
            silent_overloads = await _count_cold_overloads(running)
            await running.control_servers(
                {"zones": [zone], "call": "crash", "args": [1.0]}
            )
            result = await task
        finally:
            task.cancel()
        row = await scenarios.summarise_run(running, result, "whole run")
        overloads = await _count_cold_overloads(running) - silent_overloads
        breaches = await scenarios.find_breaches(running, [row])
    rows = [
        row,
        result.summarise_span("before", 0.0, span_s),
        result.summarise_span("cold without a sign", span_s, 2 * span_s),
        result.summarise_span("cold by restart", 2 * span_s, 3 * span_s),
    ]
    goals = [
        scenarios.Goal(
            "restarted servers that fell over again",
            overloads,
            "0",
            overloads == 0,
        )
    ]
    notes = [
        f"{silent_overloads} servers fell over after turning cold silently."
    ]
    series = {"a zone turns cold": result}
    return scenarios.Report(rows, goals, series, notes, breaches)


@scenarios.register("store-outage")
async def run_store_outage(context: scenarios.Context) -> scenarios.Report:
    """Takes the store down under load and restarts a daemon meanwhile."""
    plan = make_tandil_plan(context, address_ttl_s=SHORT_ADDRESS_TTL_S)
    async with scenarios.running_deployment(plan, context.directory) as running:
        streams = make_streams(running.configuration, UTILISATION)
        load_generator = scenarios.make_load_generator(
            running, streams, context.seed
        )
        span_s = context.seconds
        task = asyncio.create_task(load_generator.run(3 * span_s, WARM_UP_S))
        try:
            await asyncio.sleep(WARM_UP_S + span_s)
            await running.control_platform({"set": {"down": True}})
            await _replace_daemon(running, running.hosts[0])
            restart_s = await running.wait_until_in_force()
            await asyncio.sleep(span_s)
            await running.control_platform({"set": {"down": False}})
            back = await running.control_platform({})
            result = await task
            end = await running.control_platform({})
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
