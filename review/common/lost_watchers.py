"""A backend leaves while the hosts that watch the store are killed.

Seven hosts serve; three of them watch the store for all.  Some processes are
killed at the same moment, those three among them, and start again.  At the same
moment the entry of a backend is removed, which serves on for a while.  Do hosts
that were never killed still send to it later than drainMs?
"""

import asyncio
import pathlib
import random
import tempfile
import time

import standins

SEED = 11
SHARDS = [f"orders-{number}" for number in range(4)]
SINGLE = "dispatch"
HOSTS = 7
DRAIN_S = 3.0
# The links of the stand-ins take no time; a late arrival by less is no case.
SLACK_S = 0.05
REMOVED_AFTER_S = 0.1
REQUESTS_PER_S = 140
# A host that watches asks again at least this often.
WATCH_S = 2.5


async def run(
    record: standins.Record,
    trouble: bool,
    *,
    killed_count: int,
    restart_s: float,
    serves_on_s: float,
) -> int:
    """Runs the case.

    Args:
      record: What was sent, answered and run.
      trouble: Whether processes are killed.
      killed_count: How many; at least as many as watch.
      restart_s: Seconds until they start again.
      serves_on_s: Seconds for which the backend serves on.

    Returns:
      The exit code.
    """
    source = random.Random(SEED)
    services = [*SHARDS, SINGLE]
    ports = iter(standins.find_ports(3 * len(services) + HOSTS))
    backends: dict[str, standins.Backend] = {}
    for service in services:
        for number, zone in enumerate("abc"):
            backend = standins.Backend(
                server_id=f"i-{service}-{number}",
                service=service,
                port=next(ports),
                zone=zone,
                make_body=lambda _: standins.make_records(source, 62),
            )
            backends[backend.server_id] = backend
    store = standins.Store()
    configuration = standins.make_configuration(3, SHARDS, SINGLE)
    store.put("config", "main", configuration)
    leaving = backends[f"i-{SHARDS[0]}-0"]
    # The host of each request, and when it was sent.
    sent: dict[str, tuple[standins.Host, float]] = {}
    statuses: dict[int, int] = {}
    with tempfile.TemporaryDirectory() as folder:
        seeds: list[int] = []
        hosts = []
        for number in range(HOSTS):
            port = next(ports)
            zone = "abc"[number % 3]
            name = f"front-{zone}-{number}"
            # Each host calls the store on a port of its own, so that the case
            # sees which of them watch.
            await store.start(port, name)
            hosts.append(
                standins.Host(
                    name=name,
                    zone=zone,
                    folder=pathlib.Path(folder),
                    store_port=port,
                    seeds=seeds,
                )
            )
        seeds += [host.control for host in hosts[:3]]
        try:
            for backend in backends.values():
                await backend.start()
                store.put("servers", backend.server_id, backend.describe())
            for host in hosts:
                await host.start()
            await standins.wait_ready(hosts)
            await asyncio.sleep(8.0)

            async def send(number: int) -> None:
                request_id = f"{number:016x}"
                host = hosts[number % HOSTS]
                sent[request_id] = host, time.monotonic()
                answer = await standins.send_request(
                    host.front, "/search/1", request_id
                )
                statuses[answer.status] = statuses.get(answer.status, 0) + 1
                record.add(f"{request_id} to {host.name}: {answer.status}")

            async def send_all() -> None:
                number = 0
                tasks = []
                while True:
                    tasks.append(asyncio.create_task(send(number)))
                    number += 1
                    await asyncio.sleep(1.0 / REQUESTS_PER_S)

            traffic = asyncio.create_task(send_all())
            await asyncio.sleep(5.0)
            now = time.monotonic()
            watching = [
                host
                for host in hosts
                if now - store.watched_s.get(host.name, 0.0) < WATCH_S
            ]
            others = [host for host in hosts if host not in watching]
            killed = (watching + others)[:killed_count] if trouble else []
            record.report(f"watch the store: {[h.name for h in watching]}")
            record.report(f"killed: {[host.name for host in killed]}")
            await asyncio.gather(*(host.kill() for host in killed))
            await asyncio.sleep(REMOVED_AFTER_S)
            store.delete("servers", leaving.server_id)
            removed_s = time.monotonic()
            record.report(f"entry of {leaving.server_id} removed")
            await asyncio.sleep(restart_s - REMOVED_AFTER_S)
            for host in killed:
                await host.start()
                record.add(f"{host.name} started again")
            await asyncio.sleep(serves_on_s - restart_s)
            traffic.cancel()
            await asyncio.sleep(2.5)
            ended = [
                host.name
                for host in hosts
                if host.process.returncode is not None
            ]
        finally:
            for host in hosts:
                await host.kill()
            for backend in backends.values():
                backend.stop()
            store.stop()
    late = []
    latest_s = 0.0
    for arrival in leaving.arrivals:
        host, _ = sent[arrival.request_id]
        after_s = arrival.at_s - removed_s
        record.add(
            f"{arrival.request_id} from {host.name} reached "
            f"{leaving.server_id}, {after_s:.3f} s after its removal",
            at_s=arrival.at_s,
        )
        if host in killed:
            continue
        latest_s = max(latest_s, after_s)
        if after_s > DRAIN_S + SLACK_S:
            late.append(arrival)
    record.report(f"statuses: {statuses}; ended by themselves: {ended}")
    record.report(
        f"from hosts that were not killed, {len(late)} requests reached "
        f"{leaving.server_id} later than {DRAIN_S} s after the removal; the "
        f"last one of all after {latest_s:.3f} s"
    )
    if ended or len(watching) > 3:
        return standins.COULD_NOT_RUN
    return standins.BROKEN if late else standins.HELD
