"""Fault injection under load, with faults drawn from a random seed.

Each fault is an asynchronous context manager that injects and removes it; the
decorator `fault` registers it.  A round draws one or two faults, holds them
for a while and lets the system recover.  All answers are checked, and at the
end the daemons' counts of invariant breaches are read.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import random
import signal
from typing import Any
from typing import NamedTuple

import aiohttp

from eelgrasshall.fakes import backend
from eelgrasshall.fakes import records
from eelgrasshall.protocol import messages
from examples import obshta_trapeza
from measure import callers
from measure import deployment
from measure import load
from measure import scenarios
from measure import transitions

SERVICE_TIME = backend.ServiceTime(median_s=0.016)
UTILISATION = 0.25
RUN_ONCE_RATE_PER_S = 10.0
WARM_UP_S = 12.0
FAULT_DURATION_S = 3.0
RECOVERY_S = 4.0
# Suspension of a daemon, before the hold time of the round begins.
DAEMON_PAUSE_S = 2.5
CRASH_DURATION_S = 1.5
STORE_DELAY_S = 0.5
POISON_MARKER = "poison-marker"
POISON_ATTEMPTS = 4
MAX_ROLLOUT_S = 8.0
# The timers of the network emulator have a resolution of 1 ms, so 0.5 ms would
# be rounded up.
INTER_ZONE_LATENCY_S = 0.001


class FaultContext(NamedTuple):
    """State that faults share.

    Attributes:
      running: The deployment.
      random_source: Random source of the faults.
      load_generator: Load that runs meanwhile.
      caller: Caller for requests that a fault sends itself.
      breaches: Receives breaches of invariants.
      notes: Receives observations for the report.
    """

    running: deployment.Deployment
    random_source: random.Random
    load_generator: load.LoadGenerator
    caller: callers.Caller
    breaches: list[str]
    notes: list[str]


Fault = Callable[[FaultContext], contextlib.AbstractAsyncContextManager[None]]

FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Any], Fault]:
    """Registers an asynchronous generator function as a fault."""

    def add(function: Any) -> Fault:
        FAULTS[name] = contextlib.asynccontextmanager(function)
        return FAULTS[name]

    return add


def sample_servers(context: FaultContext, share: float) -> list[str]:
    """Draws the names of a share of the backend servers, at least one."""
    names = sorted(
        server.name
        for service in context.running.configuration.services
        for server in service.servers
    )
    return context.random_source.sample(names, max(1, int(len(names) * share)))


@fault("straggler")
async def slow_servers(context: FaultContext) -> AsyncIterator[None]:
    """Slows some servers down by a factor of eight."""
    names = sample_servers(context, 0.05)
    command = {"names": names, "set": {"slow_factor": 8.0}}
    await context.running.control_servers(command)
    yield
    command = {"names": names, "set": {"slow_factor": 1.0}}
    await context.running.control_servers(command)


@fault("crash")
async def crash_servers(context: FaultContext) -> AsyncIterator[None]:
    """Crashes some servers, which restart cold."""
    names = sample_servers(context, 0.1)
    await context.running.control_servers(
        {"names": names, "call": "crash", "args": [CRASH_DURATION_S]}
    )
    yield


@fault("cold turn")
async def make_servers_cold(context: FaultContext) -> AsyncIterator[None]:
    """Makes some servers cold without a restart or any signal."""
    names = sample_servers(context, 0.1)
    await context.running.control_servers({"names": names, "call": "turn_cold"})
    yield


@fault("drain")
async def drain_servers(context: FaultContext) -> AsyncIterator[None]:
    """Puts some servers into draining for a while."""
    names = sample_servers(context, 0.05)
    command = {"names": names, "set": {"draining": True}}
    await context.running.control_servers(command)
    yield
    command = {"names": names, "set": {"draining": False}}
    await context.running.control_servers(command)


@fault("silent connections")
async def silence_servers(context: FaultContext) -> AsyncIterator[None]:
    """Stops all answers on the open connections of some servers."""
    names = sample_servers(context, 0.1)
    await context.running.control_servers(
        {"names": names, "call": "silence_connections"}
    )
    yield


@fault("misleading health")
async def make_health_misleading(context: FaultContext) -> AsyncIterator[None]:
    """Makes all health endpoints report a ready and idle server."""
    await context.running.control_servers({"set": {"misleading_health": True}})
    yield
    await context.running.control_servers({"set": {"misleading_health": False}})


@fault("crossed responses")
async def cross_responses(context: FaultContext) -> AsyncIterator[None]:
    """Makes some servers echo a wrong attempt id in a few responses."""
    names = sample_servers(context, 0.1)
    await context.running.control_servers(
        {"names": names, "set": {"crossed_echoes": 3}}
    )
    yield


@fault("zone out and in")
async def take_zone_out_and_back(context: FaultContext) -> AsyncIterator[None]:
    """Takes a zone out of service and returns it with cold servers."""
    running = context.running
    zone = context.random_source.choice(running.configuration.zones).name
    await _apply_zone_change(context, zone, False)
    yield
    await running.control_servers({"zones": [zone], "call": "turn_cold"})
    await _apply_zone_change(context, zone, True)


async def _apply_zone_change(
    context: FaultContext, zone: str, in_service: bool
) -> None:
    """Puts a zone in or out of service; notes a change that failed."""
    running = context.running
    changed = transitions.set_zone_in_service(
        running.configuration, zone, in_service
    )
    try:
        await running.apply_configuration(changed)
    except TimeoutError as error:
        context.notes.append(f"zone {zone} not changed: {error}")


@fault("store down")
async def make_store_unavailable(context: FaultContext) -> AsyncIterator[None]:
    """Makes the store answer all calls with status 503."""
    await context.running.control_platform({"set": {"down": True}})
    yield
    await context.running.control_platform({"set": {"down": False}})


@fault("slow store")
async def slow_store(context: FaultContext) -> AsyncIterator[None]:
    """Delays all calls of the store."""
    await context.running.control_platform({"set": {"slow_s": STORE_DELAY_S}})
    yield
    await context.running.control_platform({"set": {"slow_s": 0.0}})


@fault("lost replies")
async def lose_replies(context: FaultContext) -> AsyncIterator[None]:
    """Drops the replies of the next writes after they were applied."""
    await context.running.control_platform({"set": {"lose_write_replies": 4}})
    yield
    await context.running.control_platform({"set": {"lose_write_replies": 0}})


@fault("silent watches")
async def silence_watches(context: FaultContext) -> AsyncIterator[None]:
    """Makes watches never answer, not even at their time-out."""
    await context.running.control_platform({"set": {"silent_watches": True}})
    yield
    await context.running.control_platform({"set": {"silent_watches": False}})


@fault("older store")
async def roll_store_back(context: FaultContext) -> AsyncIterator[None]:
    """Rolls the store back to older data after a change."""
    running = context.running
    found = await running.control_platform({"call": "save"})
    await _apply_zone_change(context, running.configuration.zones[0].name, True)
    await running.control_platform({"call": "go_back"})
    context.notes.append(f"store went back, had seen {found['counts']}")
    yield


@fault("pause")
async def pause_daemon(context: FaultContext) -> AsyncIterator[None]:
    """Suspends a daemon and resumes it, unaware of the pause."""
    host = context.random_source.choice(context.running.hosts)
    child = context.running.daemons[host.name]
    child.send_signal(signal.SIGSTOP)
    await asyncio.sleep(DAEMON_PAUSE_S)
    child.send_signal(signal.SIGCONT)
    yield


@fault("partition")
async def partition_host(context: FaultContext) -> AsyncIterator[None]:
    """Partitions one host from all others."""
    await context.running.control_network(
        {"cuts": _list_cuts(context, both=True)}
    )
    yield
    await context.running.control_network({"cuts": []})


@fault("asymmetric cut")
async def cut_one_direction(context: FaultContext) -> AsyncIterator[None]:
    """Cuts the direction from one host to all others."""
    await context.running.control_network(
        {"cuts": _list_cuts(context, both=False)}
    )
    yield
    await context.running.control_network({"cuts": []})


@fault("silent peer streams")
async def silence_peers(context: FaultContext) -> AsyncIterator[None]:
    """Stalls all open connections between hosts permanently."""
    await context.running.control_network({"silence": True})
    yield


def _list_cuts(context: FaultContext, *, both: bool) -> list[list[str]]:
    """Returns the directions to cut between a drawn host and the others."""
    names = [host.name for host in context.running.hosts]
    isolated = context.random_source.choice(names)
    cuts = [[isolated, name] for name in names if name != isolated]
    if both:
        cuts += [[name, isolated] for name in names if name != isolated]
    return cuts


@fault("host lost")
async def kill_daemon(context: FaultContext) -> AsyncIterator[None]:
    """Kills a daemon and restarts it."""
    running = context.running
    host = context.random_source.choice(running.hosts)
    await running.kill_daemon(host)
    yield
    await running.start_daemon(host)


@fault("racing operators")
async def race_operators(context: FaultContext) -> AsyncIterator[None]:
    """Sends two concurrent changes of one base version."""
    running = context.running
    first, second = context.random_source.sample(running.hosts, 2)
    accepted = await running.apply_concurrently(first, second)
    if sum(accepted) > 1:
        context.breaches.append(f"racing operators: accepted {accepted}")
    context.notes.append(f"racing operators: accepted {sum(accepted)} of 2")
    yield


@fault("poison request")
async def poison_servers(context: FaultContext) -> AsyncIterator[None]:
    """Sends a request that crashes its server several times."""
    number = context.random_source.randrange(1 << 30)
    query = {"id": f"p{number}", "text": POISON_MARKER}
    kind = context.running.configuration.kinds[0]
    outcomes = []
    for attempt in range(POISON_ATTEMPTS):
        reply = await context.caller.send(
            kind.name,
            query,
            request_id=f"p{number}-{attempt}",
            timeout_s=2.0,
        )
        outcomes.append(reply.problem or reply.outcome)
    context.notes.append(f"poison request: {outcomes}")
    yield


@fault("new snapshot")
async def publish_snapshot(context: FaultContext) -> AsyncIterator[None]:
    """Publishes a new snapshot service by service; servers keep an old one."""
    newest = await _find_newest_snapshot(context)
    snapshot = messages.Snapshot(newest.epoch, newest.version + 1)
    await _publish_in_steps(context, snapshot, None)
    yield


@fault("repartition")
async def repartition(context: FaultContext) -> AsyncIterator[None]:
    """Publishes a snapshot with other key ranges for all services."""
    newest = await _find_newest_snapshot(context)
    snapshot = messages.Snapshot(newest.epoch + 1, 1)
    keys = {}
    widest_first = sorted(
        context.running.configuration.kinds, key=lambda k: -len(k.services)
    )
    for kind in widest_first:
        parts = _split_key_space_unevenly(
            len(kind.services), context.random_source
        )
        for service, part in zip(kind.services, parts, strict=True):
            keys.setdefault(service, part)
    context.load_generator.checker.key_ranges_by_epoch[snapshot.epoch] = keys
    await _publish_in_steps(context, snapshot, keys)
    yield


def _split_key_space_unevenly(
    count: int, random_source: random.Random
) -> list[messages.KeyRange]:
    """Splits the key space at randomly drawn multiples of the key step."""
    steps = range(1, messages.KEY_SPACE // records.KEY_INTERVAL)
    cuts = sorted(random_source.sample(steps, count - 1))
    bounds = [0, *(c * records.KEY_INTERVAL for c in cuts), messages.KEY_SPACE]
    return [
        messages.KeyRange(low, high)
        for low, high in zip(bounds, bounds[1:], strict=False)
    ]


async def _find_newest_snapshot(context: FaultContext) -> messages.Snapshot:
    """Returns the newest snapshot of all servers."""
    reports = await context.running.control_servers({"report": True})
    texts = [text for each in reports for text in each["snapshots"]]
    return max(messages.parse_snapshot(text) for text in texts)


async def _publish_in_steps(
    context: FaultContext,
    snapshot: messages.Snapshot,
    keys: dict[str, messages.KeyRange] | None,
) -> None:
    """Publishes a snapshot service by service within about a second."""
    services = [s.name for s in context.running.configuration.services]
    context.random_source.shuffle(services)
    for service in services:
        args = [snapshot.to_text(), keys[service] if keys else None]
        await context.running.control_servers(
            {"services": [service], "call": "publish", "args": args}
        )
        await asyncio.sleep(1.0 / len(services))


@scenarios.register("faults")
async def run_faults(context: scenarios.Context) -> scenarios.Report:
    """Injects one or two random faults at a time under load."""
    plan = deployment.Plan(
        build=obshta_trapeza.build,
        hosts=context.hosts,
        seed=context.seed,
        service_time=SERVICE_TIME._asdict(),
        server_options={"poison": POISON_MARKER},
        inter_zone_latency_s=INTER_ZONE_LATENCY_S,
    )
    async with scenarios.running_deployment(plan, context.directory) as running:
        streams = _make_streams(running)
        load_generator = scenarios.make_load_generator(
            running, streams, context.seed
        )
        fault_context = await _make_fault_context(
            context, running, load_generator
        )
        task = asyncio.create_task(
            load_generator.run(context.seconds, WARM_UP_S)
        )
        try:
            await asyncio.sleep(WARM_UP_S)
            rounds = await _run_rounds(fault_context, context.seconds)
            result = await task
        finally:
            task.cancel()
            await fault_context.caller.stop()
        row = await scenarios.summarise_run(running, result, "faults")
        fault_context.breaches.extend(
            await scenarios.find_breaches(running, [row])
        )
        checks = await scenarios.count_invariant_checks(running)
    notes = [*rounds, *fault_context.notes, f"checks: {checks}"]
    series = {"faults": result}
    return scenarios.Report([row], [], series, notes, fault_context.breaches)


def _make_streams(running: deployment.Deployment) -> list[load.RequestStream]:
    """Returns a stream of each kind; run-once kinds have a fixed rate."""
    streams = []
    for kind in running.configuration.kinds:
        rate = scenarios.compute_request_rate(
            running.configuration,
            kind,
            SERVICE_TIME.compute_mean_s(),
            UTILISATION,
        )
        rate = rate if kind.repeatable else RUN_ONCE_RATE_PER_S
        streams.append(scenarios.make_stream(kind, rate))
    return streams


async def _make_fault_context(
    context: scenarios.Context,
    running: deployment.Deployment,
    load_generator: load.LoadGenerator,
) -> FaultContext:
    """Returns the shared state of the faults, with a started caller."""
    caller = callers.Caller(
        zone=running.configuration.zones[0].name,
        entry_urls=[host.caller_url for host in running.hosts],
        random_source=random.Random(f"poison:{context.seed}"),
    )
    await caller.start()
    source = random.Random(f"faults:{context.seed}")
    return FaultContext(running, source, load_generator, caller, [], [])


async def _run_rounds(context: FaultContext, seconds: float) -> list[str]:
    """Runs rounds of faults until the time is up; returns their names."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    rounds = []
    while loop.time() - started_s < seconds - FAULT_DURATION_S - RECOVERY_S:
        names = context.random_source.sample(
            sorted(FAULTS), context.random_source.choice((1, 2))
        )
        at_s = loop.time() - started_s
        rounds.append(f"{at_s:.0f} s: {' and '.join(names)}")
        try:
            async with contextlib.AsyncExitStack() as stack:
                for name in names:
                    await stack.enter_async_context(FAULTS[name](context))
                await asyncio.sleep(FAULT_DURATION_S)
        except (aiohttp.ClientError, TimeoutError) as error:
            context.notes.append(f"{names}: {error!r}")
        await _check_in_force(context, names)
        await asyncio.sleep(RECOVERY_S)
    return rounds


async def _check_in_force(context: FaultContext, names: list[str]) -> None:
    """Records a breach unless the configuration is in force in time."""
    try:
        rollout_s = await context.running.wait_until_in_force()
    except TimeoutError as error:
        context.breaches.append(f"configuration after {names}: {error}")
        return
    if rollout_s > MAX_ROLLOUT_S:
        context.breaches.append(
            f"configuration after {names}: in force after {rollout_s:.1f} s"
        )
