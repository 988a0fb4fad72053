"""Faults drawn singly and in pairs from a seed, under load.

Each fault is an asynchronous context manager that brings it about and undoes
it; the decorator `fault` makes it known.  A round draws one or two, holds
them, and lets the system recover.  Answers are checked one by one meanwhile,
and at the end the daemons' own counts of broken promises are read.
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
RUN_ONCE_RATE = 10.0
WARM_UP_S = 12.0
HOLD_S = 3.0
RECOVER_S = 4.0
# A fault may be told to last longer than its round by this much.
PAUSE_S = 2.5
CRASH_S = 1.5
SLOW_STORE_S = 0.5
POISON = "poison-marker"
POISON_SENDS = 4
IN_FORCE_BOUND_S = 8.0
# The forwarder's timers count whole milliseconds, so 0.5 ms becomes one.
BETWEEN_ZONES_S = 0.001


class Bench(NamedTuple):
    """What a fault works on.

    Attributes:
      running: The deployment.
      random: Source of its draws.
      sending: The load.
      caller: A caller for requests of the fault's own.
      breaches: Where to add what broke a promise.
      notes: Where to add what was seen.
    """

    running: deployment.Deployment
    random: random.Random
    sending: load.LoadGenerator
    caller: callers.Caller
    breaches: list[str]
    notes: list[str]


Fault = Callable[[Bench], contextlib.AbstractAsyncContextManager[None]]

FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Any], Fault]:
    """Registers an asynchronous generator as a fault."""

    def add(function: Any) -> Fault:
        FAULTS[name] = contextlib.asynccontextmanager(function)
        return FAULTS[name]

    return add


def draw_servers(bench: Bench, share: float) -> list[str]:
    """Draws some of the backend servers by name."""
    names = sorted(
        server.name
        for service in bench.running.configuration.services
        for server in service.servers
    )
    return bench.random.sample(names, max(1, int(len(names) * share)))


@fault("straggler")
async def slow_servers(bench: Bench) -> AsyncIterator[None]:
    """Some servers take eight times as long."""
    names = draw_servers(bench, 0.05)
    command = {"names": names, "set": {"slow_factor": 8.0}}
    await bench.running.steer_servers(command)
    yield
    command = {"names": names, "set": {"slow_factor": 1.0}}
    await bench.running.steer_servers(command)


@fault("crash")
async def crash_servers(bench: Bench) -> AsyncIterator[None]:
    """Some servers drop everything and come back cold."""
    names = draw_servers(bench, 0.1)
    await bench.running.steer_servers(
        {"names": names, "call": "crash", "args": [CRASH_S]}
    )
    yield


@fault("cold turn")
async def turn_servers_cold(bench: Bench) -> AsyncIterator[None]:
    """Some servers become cold without a sign."""
    names = draw_servers(bench, 0.1)
    await bench.running.steer_servers({"names": names, "call": "turn_cold"})
    yield


@fault("drain")
async def drain_servers(bench: Bench) -> AsyncIterator[None]:
    """Some servers leave, and come back."""
    names = draw_servers(bench, 0.05)
    command = {"names": names, "set": {"draining": True}}
    await bench.running.steer_servers(command)
    yield
    command = {"names": names, "set": {"draining": False}}
    await bench.running.steer_servers(command)


@fault("silent connections")
async def silence_servers(bench: Bench) -> AsyncIterator[None]:
    """The open connections of some servers go silent for good."""
    names = draw_servers(bench, 0.1)
    await bench.running.steer_servers(
        {"names": names, "call": "silence_connections"}
    )
    yield


@fault("misleading health")
async def mislead(bench: Bench) -> AsyncIterator[None]:
    """Every health endpoint calls its server ready and idle."""
    await bench.running.steer_servers({"set": {"misleading_health": True}})
    yield
    await bench.running.steer_servers({"set": {"misleading_health": False}})


@fault("crossed responses")
async def cross_responses(bench: Bench) -> AsyncIterator[None]:
    """Some servers answer with the echo of another attempt."""
    names = draw_servers(bench, 0.1)
    await bench.running.steer_servers(
        {"names": names, "set": {"crossed_echoes": 3}}
    )
    yield


@fault("zone out and in")
async def move_zone(bench: Bench) -> AsyncIterator[None]:
    """Operators take a zone out and bring it back cold."""
    running = bench.running
    zone = bench.random.choice(running.configuration.zones).name
    await _apply_timed(bench, zone, False)
    yield
    await running.steer_servers({"zones": [zone], "call": "turn_cold"})
    await _apply_timed(bench, zone, True)


async def _apply_timed(bench: Bench, zone: str, in_service: bool) -> None:
    """Changes a zone; adds a note if the store does not take it."""
    running = bench.running
    changed = transitions.set_zone(running.configuration, zone, in_service)
    try:
        await running.apply(changed)
    except TimeoutError as error:
        bench.notes.append(f"zone {zone} not changed: {error}")


@fault("store down")
async def take_store_down(bench: Bench) -> AsyncIterator[None]:
    """The store answers every call with 503."""
    await bench.running.steer_platform({"set": {"down": True}})
    yield
    await bench.running.steer_platform({"set": {"down": False}})


@fault("slow store")
async def slow_store(bench: Bench) -> AsyncIterator[None]:
    """Every call of the store takes long."""
    await bench.running.steer_platform({"set": {"slow_s": SLOW_STORE_S}})
    yield
    await bench.running.steer_platform({"set": {"slow_s": 0.0}})


@fault("lost replies")
async def lose_replies(bench: Bench) -> AsyncIterator[None]:
    """The replies of the next writes are lost after their effect."""
    await bench.running.steer_platform({"set": {"lose_write_replies": 4}})
    yield
    await bench.running.steer_platform({"set": {"lose_write_replies": 0}})


@fault("silent watches")
async def silence_watches(bench: Bench) -> AsyncIterator[None]:
    """No watch answers any more, not even after its time."""
    await bench.running.steer_platform({"set": {"silent_watches": True}})
    yield
    await bench.running.steer_platform({"set": {"silent_watches": False}})


@fault("older store")
async def go_back(bench: Bench) -> AsyncIterator[None]:
    """The store returns with older data for a while."""
    running = bench.running
    found = await running.steer_platform({"call": "save"})
    await _apply_timed(bench, running.configuration.zones[0].name, True)
    await running.steer_platform({"call": "go_back"})
    bench.notes.append(f"store went back, had seen {found['counts']}")
    yield


@fault("pause")
async def pause_daemon(bench: Bench) -> AsyncIterator[None]:
    """A daemon stands still and then believes that no time has passed."""
    host = bench.random.choice(bench.running.hosts)
    child = bench.running.daemons[host.name]
    child.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    child.send_signal(signal.SIGCONT)
    yield


@fault("partition")
async def cut_hosts_off(bench: Bench) -> AsyncIterator[None]:
    """A host and the others cannot reach each other."""
    await bench.running.steer_network({"cuts": _cut_one(bench, both=True)})
    yield
    await bench.running.steer_network({"cuts": []})


@fault("asymmetric cut")
async def cut_one_way(bench: Bench) -> AsyncIterator[None]:
    """A host hears the others, but they do not hear it."""
    await bench.running.steer_network({"cuts": _cut_one(bench, both=False)})
    yield
    await bench.running.steer_network({"cuts": []})


@fault("silent peer streams")
async def silence_peers(bench: Bench) -> AsyncIterator[None]:
    """Every open connection between hosts goes silent for good."""
    await bench.running.steer_network({"silence": True})
    yield


def _cut_one(bench: Bench, *, both: bool) -> list[list[str]]:
    """Returns the cut directions between a drawn host and all others."""
    names = [host.name for host in bench.running.hosts]
    lone = bench.random.choice(names)
    cuts = [[lone, name] for name in names if name != lone]
    if both:
        cuts += [[name, lone] for name in names if name != lone]
    return cuts


@fault("host lost")
async def kill_daemon(bench: Bench) -> AsyncIterator[None]:
    """A daemon is killed and replaced."""
    running = bench.running
    host = bench.random.choice(running.hosts)
    await running.kill_daemon(host)
    yield
    await running.start_daemon(host)


@fault("racing operators")
async def race_operators(bench: Bench) -> AsyncIterator[None]:
    """Two operators change the same version at the same moment."""
    running = bench.running
    first, second = bench.random.sample(running.hosts, 2)
    accepted = await running.race(first, second)
    if sum(accepted) > 1:
        bench.breaches.append(f"racing operators: accepted {accepted}")
    bench.notes.append(f"racing operators: accepted {sum(accepted)} of 2")
    yield


@fault("poison request")
async def poison_servers(bench: Bench) -> AsyncIterator[None]:
    """A request that crashes its server is sent again and again."""
    number = bench.random.randrange(1 << 30)
    query = {"id": f"p{number}", "text": POISON}
    kind = bench.running.configuration.kinds[0]
    outcomes = []
    for attempt in range(POISON_SENDS):
        reply = await bench.caller.send(
            kind.name,
            query,
            request_id=f"p{number}-{attempt}",
            timeout_s=2.0,
        )
        outcomes.append(reply.problem or reply.outcome)
    bench.notes.append(f"poison request: {outcomes}")
    yield


@fault("new snapshot")
async def publish_snapshot(bench: Bench) -> AsyncIterator[None]:
    """The servers get a new snapshot one after another, and keep one old."""
    newest = await _find_newest(bench)
    snapshot = messages.Snapshot(newest.epoch, newest.version + 1)
    await _publish_in_steps(bench, snapshot, None)
    yield


@fault("repartition")
async def repartition(bench: Bench) -> AsyncIterator[None]:
    """Key ranges move between the services of every kind."""
    newest = await _find_newest(bench)
    snapshot = messages.Snapshot(newest.epoch + 1, 1)
    keys = {}
    by_width = sorted(
        bench.running.configuration.kinds, key=lambda k: -len(k.services)
    )
    for kind in by_width:
        parts = _divide_unevenly(len(kind.services), bench.random)
        for service, part in zip(kind.services, parts, strict=True):
            keys.setdefault(service, part)
    bench.sending.checker.key_ranges_by_epoch[snapshot.epoch] = keys
    await _publish_in_steps(bench, snapshot, keys)
    yield


def _divide_unevenly(
    count: int, source: random.Random
) -> list[messages.KeyRange]:
    """Divides the key space at drawn multiples of the key step."""
    steps = range(1, messages.KEY_SPACE // records.KEY_INTERVAL)
    cuts = sorted(source.sample(steps, count - 1))
    bounds = [0, *(c * records.KEY_INTERVAL for c in cuts), messages.KEY_SPACE]
    return [
        messages.KeyRange(low, high)
        for low, high in zip(bounds, bounds[1:], strict=False)
    ]


async def _find_newest(bench: Bench) -> messages.Snapshot:
    """Returns the newest snapshot that any server holds."""
    reports = await bench.running.steer_servers({"report": True})
    texts = [text for each in reports for text in each["snapshots"]]
    return max(messages.parse_snapshot(text) for text in texts)


async def _publish_in_steps(
    bench: Bench,
    snapshot: messages.Snapshot,
    keys: dict[str, messages.KeyRange] | None,
) -> None:
    """Publishes a snapshot service by service over about a second."""
    services = [s.name for s in bench.running.configuration.services]
    bench.random.shuffle(services)
    for service in services:
        args = [snapshot.to_text(), keys[service] if keys else None]
        await bench.running.steer_servers(
            {"services": [service], "call": "publish", "args": args}
        )
        await asyncio.sleep(1.0 / len(services))


@scenarios.register("faults")
async def run_faults(context: scenarios.Context) -> scenarios.Report:
    """Draws faults singly and in pairs for the given seconds."""
    plan = deployment.Plan(
        build=obshta_trapeza.build,
        hosts=context.hosts,
        seed=context.seed,
        service_time=SERVICE_TIME._asdict(),
        server_fields={"poison": POISON},
        between_zones_s=BETWEEN_ZONES_S,
    )
    async with scenarios.running_deployment(plan, context.directory) as running:
        streams = _make_streams(running)
        sending = scenarios.make_load(running, streams, context.seed)
        bench = await _make_bench(context, running, sending)
        task = asyncio.create_task(sending.run(context.seconds, WARM_UP_S))
        try:
            await asyncio.sleep(WARM_UP_S)
            rounds = await _run_rounds(bench, context.seconds)
            result = await task
        finally:
            task.cancel()
            await bench.caller.stop()
        row = await scenarios.summarise_run(running, result, "faults")
        bench.breaches.extend(await scenarios.find_breaches(running, [row]))
        checks = await scenarios.count_checks(running)
    notes = [*rounds, *bench.notes, f"checks: {checks}"]
    series = {"faults": result}
    return scenarios.Report([row], [], series, notes, bench.breaches)


def _make_streams(running: deployment.Deployment) -> list[load.RequestStream]:
    """Returns a stream of each kind, run-once kinds at a fixed rate."""
    streams = []
    for kind in running.configuration.kinds:
        rate = scenarios.find_rate(
            running.configuration,
            kind,
            SERVICE_TIME.compute_mean_s(),
            UTILISATION,
        )
        rate = rate if kind.repeatable else RUN_ONCE_RATE
        streams.append(scenarios.make_stream(kind, rate))
    return streams


async def _make_bench(
    context: scenarios.Context,
    running: deployment.Deployment,
    sending: load.LoadGenerator,
) -> Bench:
    """Returns the bench of a run."""
    caller = callers.Caller(
        zone=running.configuration.zones[0].name,
        entry_urls=[host.caller_url for host in running.hosts],
        random_source=random.Random(f"poison:{context.seed}"),
    )
    await caller.start()
    source = random.Random(f"faults:{context.seed}")
    return Bench(running, source, sending, caller, [], [])


async def _run_rounds(bench: Bench, seconds: float) -> list[str]:
    """Draws rounds of faults until the time is up; returns what was drawn."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    rounds = []
    while loop.time() - began < seconds - HOLD_S - RECOVER_S:
        names = bench.random.sample(sorted(FAULTS), bench.random.choice((1, 2)))
        at_s = loop.time() - began
        rounds.append(f"{at_s:.0f} s: {' and '.join(names)}")
        try:
            async with contextlib.AsyncExitStack() as stack:
                for name in names:
                    await stack.enter_async_context(FAULTS[name](bench))
                await asyncio.sleep(HOLD_S)
        except (aiohttp.ClientError, TimeoutError) as error:
            bench.notes.append(f"{names}: {error!r}")
        await _check_in_force(bench, names)
        await asyncio.sleep(RECOVER_S)
    return rounds


async def _check_in_force(bench: Bench, names: list[str]) -> None:
    """Checks that the accepted configuration is in force everywhere."""
    try:
        taken_s = await bench.running.wait_in_force()
    except TimeoutError as error:
        bench.breaches.append(f"configuration after {names}: {error}")
        return
    if taken_s > IN_FORCE_BOUND_S:
        bench.breaches.append(
            f"configuration after {names}: in force after {taken_s:.1f} s"
        )
