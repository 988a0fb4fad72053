"""A backend leaves while a host that starts reads the list of backends.

The store lists the backends in pages of 50; there are more than 50.  One of
three processes is killed and starts again.  While it reads the pages, the entry
of a backend of the first one is removed, which serves on for a while.  Does the
host send to it later than drainMs?
"""

import asyncio
import pathlib
import random
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins

SEED = 5
SHARDS = [f"orders-{number:02}" for number in range(10)]
# The next set of shards, which has started and isn't in use yet.
LATER = [f"tenders-{number:02}" for number in range(15)]
SINGLE = "dispatch"
DRAIN_S = 3.0
CONTACT_S = 4.0
SLACK_S = 0.05
DOWN_S = 1.0
SERVES_ON_S = 12.0
REQUESTS_PER_S = 60
PAGE_SIZE = 50


async def run(record: standins.Record, trouble: bool) -> int:
    """Runs the case."""
    source = random.Random(SEED)
    services = [*SHARDS, SINGLE, *LATER]
    ports = iter(standins.find_ports(3 * len(services) + 3))
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
    leaving = backends[f"i-{SHARDS[0]}-0"]
    store = standins.Store()
    store.page_size = PAGE_SIZE
    configuration = standins.make_configuration(3, SHARDS, SINGLE)
    store.put("config", "main", configuration)
    removed_s = 0.0

    def remove_entry() -> None:
        nonlocal removed_s
        if not removed_s:
            removed_s = time.monotonic()
            store.delete("servers", leaving.server_id)
            record.report(f"entry of {leaving.server_id} removed")

    sent: dict[str, standins.Host] = {}
    statuses: dict[int, int] = {}
    with tempfile.TemporaryDirectory() as folder:
        seeds: list[int] = []
        hosts = []
        for zone in "abc":
            port = next(ports)
            name = f"front-{zone}-1"
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
        seeds += [host.control for host in hosts]
        killed = hosts[0]
        try:
            for backend in backends.values():
                await backend.start()
                store.put("servers", backend.server_id, backend.describe())
            for host in hosts:
                await host.start()
            await standins.wait_ready(hosts)
            await asyncio.sleep(6.0)

            async def send(number: int) -> None:
                request_id = f"{number:016x}"
                host = sent[request_id] = hosts[number % len(hosts)]
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
            await asyncio.sleep(3.0)
            if trouble:
                await killed.kill()
                record.report(f"{killed.name} killed")
                await asyncio.sleep(DOWN_S)

                def before_page(kind: str, page: int, caller: str) -> None:
                    if (kind, page, caller) == ("servers", 1, killed.name):
                        remove_entry()

                store.before_page = before_page
                await killed.start()
                record.report(f"{killed.name} started again")
                await asyncio.sleep(3.0)
                if not removed_s:
                    record.report("it has not listed the backends")
                    return standins.COULD_NOT_RUN
            else:
                remove_entry()
            await asyncio.sleep(SERVES_ON_S)
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
    late = 0
    latest_s = 0.0
    for arrival in leaving.arrivals:
        host = sent[arrival.request_id]
        after_s = arrival.at_s - removed_s
        record.add(
            f"{arrival.request_id} from {host.name} reached "
            f"{leaving.server_id}, {after_s:.3f} s after the removal",
            at_s=arrival.at_s,
        )
        if arrival.at_s < host.started_s + CONTACT_S:
            continue
        latest_s = max(latest_s, after_s)
        late += after_s > DRAIN_S + SLACK_S
    record.report(f"statuses: {statuses}; ended by themselves: {ended}")
    record.report(
        f"from hosts in touch, {late} requests reached {leaving.server_id} "
        f"later than {DRAIN_S} s after the removal; the last one of all after "
        f"{latest_s:.3f} s"
    )
    if ended:
        return standins.COULD_NOT_RUN
    return standins.BROKEN if late else standins.HELD


if __name__ == "__main__":
    standins.run_case(run, __file__)
