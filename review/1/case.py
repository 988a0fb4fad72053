"""Backends break off some of their answers; is any success incomplete?

Sixty in a hundred of the backends send one in twenty of their answers only up
to a random byte and close the connection.
"""

import asyncio
import pathlib
import random
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins

SEED = 7
SHARDS = [f"orders-{number}" for number in range(10)]
SINGLE = "dispatch"
TOP = 50
MIN_SHARE = 0.89
LENGTH_S = 40.0
REQUESTS_PER_S = 60
SPOILING_SHARE = 0.6
SPOILED_SHARE = 0.05


class Check:
    """Compares answers with what the backends sent.

    Args:
      backends: All backends by id.
    """

    def __init__(self, backends: dict[str, standins.Backend]):
        self._backends = backends

    def find_fault(
        self, request_id: str, path: str, answer: standins.Answer
    ) -> str | None:
        """Returns why a success breaks MIXED, or None."""
        if not 200 <= answer.status < 300:
            return None
        if path.startswith("/fetch/"):
            return self._check_single(request_id, answer)
        return self._check_search(request_id, answer)

    def _find_part(self, seal: str, request_id: str) -> bytes | None:
        """Returns the body of the answer with a signature, or None."""
        backend = self._backends.get(seal.partition(".")[0])
        if backend is None:
            return None
        known, body = backend.answers.get(request_id, ("", b""))
        return body if known == seal else None

    def _check_single(
        self, request_id: str, answer: standins.Answer
    ) -> str | None:
        seal = answer.headers.get("x-server-seal")
        if seal is None:
            return "success without X-Server-Seal"
        body = self._find_part(seal, request_id)
        if body is None:
            return f"signature {seal} is none of an answer to this request"
        if body != answer.body:
            return (
                f"body has {len(answer.body)} bytes, that of the backend "
                f"{len(body)}"
            )
        return None

    def _check_search(
        self, request_id: str, answer: standins.Answer
    ) -> str | None:
        text = answer.headers.get("x-part-seals", "")
        seals = [each.strip() for each in text.split(",") if each.strip()]
        missing = int(answer.headers.get("x-parts-missing", "0"))
        bodies = [self._find_part(seal, request_id) for seal in seals]
        if None in bodies:
            return "a signature is none of an answer to this request"
        services = {
            self._backends[seal.partition(".")[0]].service for seal in seals
        }
        if len(services) != len(seals) or len(seals) + missing != len(SHARDS):
            return f"{len(seals)} parts of {len(services)}, {missing} missing"
        if len(seals) < MIN_SHARE * len(SHARDS):
            return f"only {len(seals)} parts"
        records = [
            body[start : start + 16]
            for body in bodies
            for start in range(0, len(body) - 15, 16)
        ]
        best = b"".join(sorted(records, reverse=True)[:TOP])
        if best != answer.body:
            return "body isn't the greatest records of the parts named"
        return None


async def run(record: standins.Record, trouble: bool) -> int:
    """Runs the case."""
    source = random.Random(SEED)
    services = [*SHARDS, SINGLE]
    ports = iter(standins.find_ports(3 * len(services) + 1))
    store_port = next(ports)
    backends: dict[str, standins.Backend] = {}
    for service in services:
        records = 375 if service == SINGLE else 62
        for number, zone in enumerate("abc"):
            backend = standins.Backend(
                server_id=f"i-{service}-{number}",
                service=service,
                port=next(ports),
                zone=zone,
                make_body=lambda _, n=records: standins.make_records(source, n),
            )
            backends[backend.server_id] = backend
    spoiled = 0

    def spoil(data: bytes) -> int | None:
        nonlocal spoiled
        if source.random() >= SPOILED_SHARE:
            return None
        spoiled += 1
        return source.randrange(1, len(data))

    if trouble:
        count = int(len(backends) * SPOILING_SHARE)
        for name in source.sample(sorted(backends), count):
            backends[name].spoil = spoil
            record.add(f"{name} breaks off {SPOILED_SHARE:.0%} of its answers")
    store = standins.Store()
    await store.start(store_port, "all")
    configuration = standins.make_configuration(3, SHARDS, SINGLE)
    store.put("config", "main", configuration)
    seeds: list[int] = []
    counts = {"answered": 0, "refused or failed": 0, "broken": 0}
    with tempfile.TemporaryDirectory() as folder:
        hosts = [
            standins.Host(
                name=f"front-{zone}-1",
                zone=zone,
                folder=pathlib.Path(folder),
                store_port=store_port,
                seeds=seeds,
            )
            for zone in "abc"
        ]
        seeds += [host.control for host in hosts]
        try:
            for backend in backends.values():
                await backend.start()
                store.put("servers", backend.server_id, backend.describe())
            for host in hosts:
                await host.start()
            await standins.wait_ready(hosts)
            await asyncio.sleep(5.0)
            check = Check(backends)

            async def send(number: int) -> None:
                path = "/fetch/1" if number % 4 == 0 else "/search/1"
                host = hosts[number % len(hosts)]
                request_id = f"{number:016x}"
                answer = await standins.send_request(
                    host.front, path, request_id
                )
                fault = check.find_fault(request_id, path, answer)
                good = 200 <= answer.status < 300
                counts["answered" if good else "refused or failed"] += 1
                if fault is not None:
                    counts["broken"] += 1
                record.add(
                    f"{request_id} {path} to {host.name}: {answer.status}, "
                    f"{len(answer.body)} bytes"
                    + (f"; MIXED: {fault}" if fault else "")
                )

            tasks = []
            for number in range(int(LENGTH_S * REQUESTS_PER_S)):
                tasks.append(asyncio.create_task(send(number)))
                await asyncio.sleep(1.0 / REQUESTS_PER_S)
            await asyncio.gather(*tasks)
        finally:
            for host in hosts:
                await host.kill()
            for backend in backends.values():
                backend.stop()
            store.stop()
    record.report(f"{counts}; {spoiled} answers of backends broken off")
    if counts["answered"] < counts["refused or failed"]:
        record.report("most requests were not served")
        return standins.COULD_NOT_RUN
    return standins.BROKEN if counts["broken"] else standins.HELD


if __name__ == "__main__":
    standins.run_case(run, __file__)
