"""The faults that the soak injects.

Each is a coroutine that is registered under its name; the soak draws names at
random.  A fault gets the run, brings itself about, and ends itself unless it is
a single event.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math
import signal
import time
from typing import TYPE_CHECKING

from eelgrasshall.gateway import object_cache
from eelgrasshall.platform import fault_proxy
from eelgrasshall.platform import soak_checks
from eelgrasshall.platform import stutter
from eelgrasshall.platform import wire_names

if TYPE_CHECKING:
    from eelgrasshall.platform import soak as soak_module

# Requests that a host may send to a server in a pause that it asked for, later
# than this after it did.
MAX_REQUESTS_IN_PAUSE = 2
PAUSE_NOTICE_S = 0.5
# What a server that stutters does to its answers, and the share of the requests
# that it fails or turns away meanwhile.
STUTTER_HABITS = stutter.Habits(
    copies=0.3,
    cuts=0.05,
    cut_copies=0.4,
    other_status=0.4,
    no_id=0.3,
    unframed=0.05,
)
STUTTER_FAILURE_SHARE = 0.1
# Kind of the objects in which hosts publish themselves.
HOST_KIND = wire_names.OBJECT_KINDS[object_cache.Collection.HOSTS]

Fault = Callable[["soak_module.Soak"], Awaitable[None]]
FAULTS: dict[str, Fault] = {}


def register_fault(fault: Fault) -> Fault:
    """Registers a fault under its function name for the soak to draw."""
    FAULTS[fault.__name__] = fault
    return fault


@register_fault
async def kill_host(soak: "soak_module.Soak") -> None:
    """Kills a host and restarts it."""
    await soak.restart_host(
        soak.random.choice(soak.fleet.host_names), signal.SIGKILL
    )


@register_fault
async def stop_host(soak: "soak_module.Soak") -> None:
    """Shuts a host down gracefully and restarts it."""
    await soak.restart_host(
        soak.random.choice(soak.fleet.host_names), signal.SIGTERM
    )


@register_fault
async def pause_host(soak: "soak_module.Soak") -> None:
    """Pauses the process of a host for a while."""
    name = soak.random.choice(soak.fleet.host_names)
    soak.note_disturbance(name)
    soak.fleet.signal_host(name, signal.SIGSTOP)
    await asyncio.sleep(soak.random.uniform(0.2, 3.0))
    soak.fleet.signal_host(name, signal.SIGCONT)
    soak.note_disturbance(name)


@register_fault
async def make_store_unavailable(soak: "soak_module.Soak") -> None:
    """Lets the store refuse calls, or leave them unanswered, for a while."""
    attribute = soak.random.choice(("down", "swallowing"))
    soak.note_disturbance()
    setattr(soak.fleet.store, attribute, True)
    await asyncio.sleep(soak.random.uniform(0.3, 4.0))
    setattr(soak.fleet.store, attribute, False)
    soak.note_disturbance()


def _choose_proxy(soak: "soak_module.Soak") -> fault_proxy.FaultProxy:
    """Returns a random proxy to the store or to a backend server."""
    groups = (soak.fleet.store_proxies, soak.fleet.server_proxies)
    group = soak.random.choice(groups)
    return group[soak.random.choice(sorted(group))]


@register_fault
async def delay_connections(soak: "soak_module.Soak") -> None:
    """Delays the connections through one proxy for a while."""
    proxy = _choose_proxy(soak)
    soak.note_disturbance()
    proxy.delay_s = soak.random.uniform(0.01, 0.5)
    await asyncio.sleep(soak.random.uniform(0.5, 3.0))
    proxy.restore()
    soak.note_disturbance()


@register_fault
async def cut_one_direction(soak: "soak_module.Soak") -> None:
    """Blocks one direction of a proxy for a while."""
    proxy = _choose_proxy(soak)
    soak.note_disturbance()
    proxy.blocked.add(soak.random.choice(list(fault_proxy.Direction)))
    await asyncio.sleep(soak.random.uniform(0.5, 4.0))
    proxy.restore()
    soak.note_disturbance()


@register_fault
async def reset_connections(soak: "soak_module.Soak") -> None:
    """Resets the open connections of one proxy."""
    soak.note_disturbance()
    _choose_proxy(soak).reset_connections()


@register_fault
async def silence_connections(soak: "soak_module.Soak") -> None:
    """Silences the open connections of one to four proxies for good."""
    soak.note_disturbance()
    for _ in range(soak.random.randint(1, 4)):
        _choose_proxy(soak).silence_connections()


@register_fault
async def cut_hosts_from_servers(soak: "soak_module.Soak") -> None:
    """Cuts some hosts off from all backend servers, up to three times."""
    if soak.cuts and soak.cuts[-1].end_s == math.inf:
        return
    names = soak.fleet.host_names
    hosts = soak.random.sample(names, soak.random.randint(1, len(names) - 1))
    kind = soak.random.choice(list(fault_proxy.Cut))
    for _ in range(soak.random.randint(1, 3)):
        soak.cut_hosts(hosts, kind)
        await asyncio.sleep(soak.random.uniform(0.5, 9.0))
        soak.mend_hosts()
        await asyncio.sleep(soak.random.uniform(0.1, 2.0))


@register_fault
async def drop_history(soak: "soak_module.Soak") -> None:
    """Lets the store drop its history of changes."""
    soak.fleet.store.drop_history()


@register_fault
async def change_configuration(soak: "soak_module.Soak") -> None:
    """Publishes a changed configuration."""
    soak.fleet.publish_configuration(goalMs=soak.random.choice((200, 300, 400)))


@register_fault
async def change_keys(soak: "soak_module.Soak") -> None:
    """Publishes a configuration that withdraws one API key and adds another."""
    soak.change_keys(
        withdrawn=soak.choose_valid_key(), added=f"key{len(soak.keys)}"
    )


@register_fault
async def drain_server(soak: "soak_module.Soak") -> None:
    """Drains a backend server, then registers it as ready again."""
    name = soak.random.choice(sorted(soak.fleet.servers))
    if name in soak.draining:
        return
    soak.fleet.register_server(name, state="draining")
    soak.draining[name] = time.monotonic()
    await asyncio.sleep(soak.random.uniform(3.5, 6.0))
    if soak.draining.pop(name, None) is not None:
        soak.fleet.register_server(name)


@register_fault
async def restore_store(soak: "soak_module.Soak") -> None:
    """Lets the store go back to a copy; what was lost is written again."""
    stored = soak.fleet.store.take_copy()
    # As if it were older than the hosts' own objects.
    stored.objects.pop(HOST_KIND, None)
    await asyncio.sleep(soak.random.uniform(0.2, 3.0))
    soak.note_disturbance()
    soak.fleet.store.restore(stored)
    await asyncio.sleep(soak.random.uniform(0.1, 1.5))
    for name in soak.fleet.servers:
        state = "draining" if name in soak.draining else "ready"
        soak.fleet.register_server(name, state=state)
    soak.fleet.publish_configuration()
    soak.note_disturbance()


@register_fault
async def announce_leaving(soak: "soak_module.Soak") -> None:
    """Lets a server state that it leaves, then starts it again."""
    name = soak.random.choice(sorted(soak.fleet.servers))
    if name in soak.leaving:
        return
    server = soak.fleet.servers[name]
    soak.leaving[name] = {}
    server.leaving = True
    await asyncio.sleep(soak.random.uniform(3.5, 6.0))
    if soak.leaving.pop(name, None) is not None:
        server.leaving = False
        server.started_at_ms += 1
        soak.fleet.register_server(name)


@register_fault
async def ask_for_pause(soak: "soak_module.Soak") -> None:
    """Lets a server ask for a pause, and counts the requests that it gets."""
    server = soak.fleet.servers[soak.random.choice(sorted(soak.fleet.servers))]
    started_s = time.monotonic()
    if server.paused_until_s > started_s:
        return
    pause_s = soak.random.uniform(1.0, 3.0)
    server.paused_count = 0
    server.paused_until_s = started_s + pause_s
    # What is sent before a host knows of the pause does not count.
    await asyncio.sleep(PAUSE_NOTICE_S)
    noticed_count = server.paused_count
    await asyncio.sleep(pause_s - PAUSE_NOTICE_S)
    # A host learns of the pause by a request that it sends.  This counts health
    # checks as well, of which the host is not known.
    allowed = (1 + MAX_REQUESTS_IN_PAUSE) * len(soak.fleet.host_names)
    if (
        server.paused_count - noticed_count > allowed
        and soak.last_disturbance_s < started_s
    ):
        soak.record_breach(
            "servers get the pauses that they ask for",
            f"{server.server_id} {server.paused_count - noticed_count}",
        )


@register_fault
async def send_crash_request(soak: "soak_module.Soak") -> None:
    """Sends a request that crashes servers again and again, to all hosts."""
    soak.crash_count += 1
    number = soak.crash_count
    kind = soak.random.choice(("search", "single", "once"))
    target = f"/{kind}/crash{number}"
    interval_s = soak.random.uniform(0.3, 0.8)
    for attempt in range(soak.random.randint(12, 24)):
        name = soak.random.choice(soak.fleet.host_names)
        request_id = f"crash{number}-{attempt}"
        soak.note_try(kind, request_id, name)
        with contextlib.suppress(OSError, TimeoutError):
            await soak.fleet.send_request(
                name, target, request_id, budget_ms=1000
            )
        await asyncio.sleep(interval_s)


@register_fault
async def hang_server(soak: "soak_module.Soak") -> None:
    """Slows a backend server down for a while."""
    server = soak.fleet.servers[soak.random.choice(sorted(soak.fleet.servers))]
    server.service_time_s = 1.5
    await asyncio.sleep(soak.random.uniform(0.5, 2.0))
    server.service_time_s = 0.005


@register_fault
async def lapse_server(soak: "soak_module.Soak") -> None:
    """Deletes the registration of a live server and restores it soon."""
    name = soak.random.choice(sorted(soak.fleet.servers))
    if name in soak.draining or name not in soak.fleet.store.list_names(
        "servers"
    ):
        return
    soak.fleet.store.delete("servers", name)
    await asyncio.sleep(soak.random.uniform(0.1, 2.0))
    soak.fleet.register_server(name)


@register_fault
async def state_rate_limit(soak: "soak_module.Soak") -> None:
    """Lets a server state how many requests it takes, which may change."""
    name = soak.random.choice(sorted(soak.fleet.servers))
    server = soak.fleet.servers[name]
    if server.rate_limit is not None:
        return
    rate = soak.random.choice((0.0, 1.0, 4.0, 12.0))
    begin_s = time.monotonic()
    server.rate_limit = rate
    await asyncio.sleep(soak.random.uniform(5.0, 9.0))
    server.rate_limit = None
    soak.rate_spans.append(
        soak_checks.RateSpan(name, rate, begin_s, time.monotonic())
    )


@register_fault
async def stutter_answers(soak: "soak_module.Soak") -> None:
    """Lets one to three servers answer twice or in part, and fail at times."""
    names = soak.random.sample(sorted(soak.fleet.servers), 3)
    names = [
        name
        for name in names[: soak.random.randint(1, 3)]
        if not soak.fleet.servers[name].stutterer.is_active
    ]
    for name in names:
        server = soak.fleet.servers[name]
        server.stutterer.habits = STUTTER_HABITS
        server.failure_share = server.refusal_share = STUTTER_FAILURE_SHARE
    await asyncio.sleep(soak.random.uniform(2.0, 6.0))
    for name in names:
        server = soak.fleet.servers[name]
        server.stutterer.habits = stutter.Habits()
        server.failure_share = server.refusal_share = 0.0
        if name in soak.leaving:
            # It starts again when it has left.
            continue
        # Hosts use a server no more after a copy with status 421.
        server.started_at_ms += 1
        state = "draining" if name in soak.draining else "ready"
        soak.fleet.register_server(name, state=state)
