"""A randomized soak: real entry hosts under faults from outside.

`python -m eelgrasshall.platform.soak --seeds 5 --seconds 20` plays seeds one
after the other.  Each draws faults in series and overlapping: processes are
paused, killed, stopped and started again by signals, connections to the store
and to backend servers are delayed, reset, cut one way or silenced by proxies,
the store refuses, swallows calls or drops its history, backend servers drain,
lapse, hang and return, and configurations change.  Callers go on all the while
and keep open connections until the process is gone.  What callers and backend
servers see is checked; each breach names its promise, and the logs stay in the
folder.
"""

import argparse
import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random as random_module
import signal
import sys
import time
from typing import NamedTuple

from eelgrasshall.platform import fleet as fleets
from eelgrasshall.platform import proxy as proxies

# Rates and bounds of the soak, seconds.
CALL_PAUSE_S = 0.02
FAULT_PAUSE_S = 0.8
DRAIN_BOUND_S = 3.0
APPLY_BOUND_S = 3.0
# After a disturbance of host or store, bounds hold again after this time.
TOUCH_S = 4.0
_OK = 200
_NOT_RUN = frozenset((408, 421, 429, 503))

Fault = Callable[["Soak"], Awaitable[None]]
_FAULTS: dict[str, Fault] = {}


class Breach(NamedTuple):
    """A promise that was broken.

    Attributes:
      promise: The promise.
      detail: What was seen.
    """

    promise: str
    detail: str


def register_fault(fault: Fault) -> Fault:
    """Adds a fault to those that a seed draws from."""
    _FAULTS[fault.__name__] = fault
    return fault


class Soak:
    """One seed.

    Args:
      seed: Draws all that is left to chance.
      folder: Where settings and logs are kept.
      port: First port to use.
      hosts: Number of entry hosts.
    """

    def __init__(
        self, *, seed: int, folder: pathlib.Path, port: int, hosts: int = 4
    ):
        self.random = random_module.Random(seed)
        self.fleet = fleets.Fleet(
            folder=folder, port=port, hosts=hosts, shards=4, replicas=3
        )
        self.breaches: list[Breach] = []
        self.statuses: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()
        self.draining: dict[str, float] = {}
        self._disturbed_s = time.monotonic()
        self._calls = 0
        self._ending: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Plays the seed and checks that all is well again after it."""
        await self.fleet.start()
        try:
            for name in self.fleet.names:
                await self.fleet.wait_ready(name)
            callers = [asyncio.create_task(self._call_on()) for _ in range(4)]
            breaking = asyncio.create_task(self._break_things())
            await asyncio.sleep(seconds)
            breaking.cancel()
            await asyncio.wait((breaking,))
            await self._restore()
            await asyncio.sleep(TOUCH_S)
            await self._check_recovered()
            for task in callers:
                task.cancel()
            self._check_runs()
        finally:
            await self.fleet.stop()

    def disturb(self) -> None:
        """Notes that bounds in time do not hold for a while."""
        self._disturbed_s = time.monotonic()

    def breach(self, promise: str, detail: str) -> None:
        """Keeps a broken promise."""
        self.breaches.append(Breach(promise, detail))

    async def _break_things(self) -> None:
        """Begins a random fault every now and then; they may overlap."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(
                    self.random.expovariate(1.0 / FAULT_PAUSE_S)
                )
                name = self.random.choice(sorted(_FAULTS))
                self.faults[name] += 1
                group.create_task(_FAULTS[name](self))

    async def _call_on(self) -> None:
        """Sends one request after the other to random hosts."""
        while True:
            await asyncio.sleep(self.random.expovariate(1 / CALL_PAUSE_S))
            self._calls += 1
            request_id = f"q{self._calls}"
            kind = self.random.choice(("search", "search", "once"))
            name = self.random.choice(self.fleet.names)
            sent_s = time.monotonic()
            try:
                status, headers, body = await self.fleet.call(
                    name, f"/{kind}/{request_id}", request_id
                )
            except (OSError, TimeoutError) as error:
                self.statuses[type(error).__name__] += 1
                continue
            self.statuses[str(status)] += 1
            if status == _OK:
                self._check_answer(kind, request_id, headers, body)
            elif status in _NOT_RUN and kind == "once":
                self._check_not_run(request_id)
            self._check_draining(request_id, sent_s)

    def _check_answer(
        self, kind: str, request_id: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Checks that an answer is whole and belongs to its request."""
        if kind == "once":
            seal = headers.get("x-server-seal", "")
            if seal.rpartition(".")[2] != request_id:
                self.breach("right answer", f"{request_id}: {seal}")
            return
        seals = headers["x-part-seals"].split(", ")
        missing = int(headers["x-parts-missing"])
        shards = {seal.rpartition("-")[0] for seal in seals}
        total = len(self.fleet.shards)
        if len(shards) != len(seals) or len(seals) + missing != total:
            self.breach("true coverage", f"{request_id}: {seals}, {missing}")
        if any(seal.rpartition(".")[2] != request_id for seal in seals):
            self.breach("right answer", f"{request_id}: {seals}")
        ids = sorted(
            (
                seal.rpartition(".")[0].encode().ljust(16, b".")
                for seal in seals
            ),
            reverse=True,
        )
        if body != b"".join(ids[:3]):
            self.breach("whole answer", f"{request_id}: {body!r}")

    def _check_not_run(self, request_id: str) -> None:
        """Checks that what is said not to have run has not run."""
        if self._count_runs(request_id):
            self.breach("not run is true", request_id)

    def _check_draining(self, request_id: str, sent_s: float) -> None:
        """Checks that servers that drain get nothing after the bound."""
        if sent_s - self._disturbed_s < TOUCH_S:
            return
        for name, since_s in self.draining.items():
            if sent_s - since_s <= DRAIN_BOUND_S:
                continue
            if any(
                ran == request_id for ran, _ in self.fleet.servers[name].ran
            ):
                self.breach("nothing to the draining", f"{request_id} {name}")

    def _check_runs(self) -> None:
        """Checks that what may run once has run once at most."""
        runs = collections.Counter(
            ran
            for server in self.fleet.servers.values()
            for ran, target in server.ran
            if target.startswith(b"/once/")
        )
        for request_id, count in runs.items():
            if count > 1:
                self.breach("at most once", f"{request_id} ran {count} times")

    async def _check_recovered(self) -> None:
        """Checks that every host serves the last configuration again."""
        path = f"v{self.fleet.version + 1}"
        self.fleet.configure(pathPrefix=f"/{path}/")
        await asyncio.sleep(APPLY_BOUND_S)
        for name in self.fleet.names:
            try:
                status, _, _ = await self.fleet.call(name, f"/{path}/x", "end")
            except (OSError, TimeoutError) as error:
                self.breach("recovery", f"{name}: {error!r}")
                continue
            if status != _OK:
                self.breach("configuration in force", f"{name}: {status}")

    async def _restore(self) -> None:
        """Ends all faults that are under way."""
        self.fleet.store.down = self.fleet.store.swallowing = False
        for name in self.fleet.names:
            self.fleet.signal_host(name, signal.SIGCONT)
            process = self.fleet.processes[name]
            if name in self._ending:
                await process.wait()
            if process.returncode is not None:
                await self.fleet.start_host(name)
        for proxy in self.fleet.list_proxies():
            proxy.restore()
        self.draining.clear()
        for name, server in self.fleet.servers.items():
            server.work_s = 0.005
            self.fleet.register(name)

    def _count_runs(self, request_id: str) -> int:
        """Returns how often a request ran."""
        return sum(
            ran == request_id
            for server in self.fleet.servers.values()
            for ran, _ in server.ran
        )

    async def end_host(self, name: str, number: signal.Signals) -> None:
        """Ends a host by a signal and starts it again."""
        process = self.fleet.processes[name]
        if process.returncode is not None:
            return
        self.disturb()
        self._ending.add(name)
        self.fleet.signal_host(name, number)
        await process.wait()
        if self.fleet.processes[name] is process:
            await self.fleet.start_host(name)
        self._ending.discard(name)
        self.disturb()


@register_fault
async def kill_host(soak: Soak) -> None:
    """A host is killed and starts again."""
    await soak.end_host(soak.random.choice(soak.fleet.names), signal.SIGKILL)


@register_fault
async def stop_host(soak: Soak) -> None:
    """A host is stopped as planned and starts again."""
    await soak.end_host(soak.random.choice(soak.fleet.names), signal.SIGTERM)


@register_fault
async def pause_host(soak: Soak) -> None:
    """A host stands still for a while."""
    name = soak.random.choice(soak.fleet.names)
    soak.disturb()
    soak.fleet.signal_host(name, signal.SIGSTOP)
    await asyncio.sleep(soak.random.uniform(0.2, 3.0))
    soak.fleet.signal_host(name, signal.SIGCONT)
    soak.disturb()


@register_fault
async def lose_store(soak: Soak) -> None:
    """The store refuses, or swallows what it is asked, for a while."""
    attribute = soak.random.choice(("down", "swallowing"))
    soak.disturb()
    setattr(soak.fleet.store, attribute, True)
    await asyncio.sleep(soak.random.uniform(0.3, 4.0))
    setattr(soak.fleet.store, attribute, False)
    soak.disturb()


def _choose_proxy(soak: Soak) -> proxies.Proxy:
    """Returns a host's way to the store, or the way to a server."""
    groups = (soak.fleet.store_proxies, soak.fleet.server_proxies)
    group = soak.random.choice(groups)
    return group[soak.random.choice(sorted(group))]


@register_fault
async def delay_connections(soak: Soak) -> None:
    """Bytes on one way take longer for a while."""
    proxy = _choose_proxy(soak)
    soak.disturb()
    proxy.delay_s = soak.random.uniform(0.01, 0.5)
    await asyncio.sleep(soak.random.uniform(0.5, 3.0))
    proxy.restore()
    soak.disturb()


@register_fault
async def cut_one_way(soak: Soak) -> None:
    """Nothing passes in one direction for a while."""
    proxy = _choose_proxy(soak)
    soak.disturb()
    proxy.cut.add(soak.random.choice(list(proxies.Direction)))
    await asyncio.sleep(soak.random.uniform(0.5, 4.0))
    proxy.restore()
    soak.disturb()


@register_fault
async def reset_connections(soak: Soak) -> None:
    """The open connections of one way are reset."""
    soak.disturb()
    _choose_proxy(soak).reset()


@register_fault
async def silence_connections(soak: Soak) -> None:
    """The open connections of some ways go silent for good."""
    soak.disturb()
    for _ in range(soak.random.randint(1, 4)):
        _choose_proxy(soak).silence()


@register_fault
async def forget_history(soak: Soak) -> None:
    """The store drops its history."""
    soak.fleet.store.forget_history()


@register_fault
async def change_configuration(soak: Soak) -> None:
    """The operators change the configuration."""
    soak.fleet.configure(goalMs=soak.random.choice((200, 300, 400)))


@register_fault
async def drain_server(soak: Soak) -> None:
    """A backend server drains and comes back."""
    name = soak.random.choice(sorted(soak.fleet.servers))
    if name in soak.draining:
        return
    soak.fleet.register(name, state="draining")
    soak.draining[name] = time.monotonic()
    await asyncio.sleep(soak.random.uniform(3.5, 6.0))
    if soak.draining.pop(name, None) is not None:
        soak.fleet.register(name)


@register_fault
async def hang_server(soak: Soak) -> None:
    """A backend server takes very long for a while."""
    server = soak.fleet.servers[soak.random.choice(sorted(soak.fleet.servers))]
    server.work_s = 1.5
    await asyncio.sleep(soak.random.uniform(0.5, 2.0))
    server.work_s = 0.005


@register_fault
async def lapse_server(soak: Soak) -> None:
    """A live server's entry lapses and is back a moment later."""
    name = soak.random.choice(sorted(soak.fleet.servers))
    if name in soak.draining or name not in soak.fleet.store.names("servers"):
        return
    soak.fleet.store.delete("servers", name)
    await asyncio.sleep(soak.random.uniform(0.1, 2.0))
    soak.fleet.register(name)


async def play_seed(
    *, seed: int, seconds: float, folder: pathlib.Path, port: int, hosts: int
) -> Soak:
    """Plays one seed and returns what it saw."""
    soak = Soak(seed=seed, folder=folder, port=port, hosts=hosts)
    await soak.run(seconds)
    return soak


def main() -> None:
    """Plays seeds and prints a line for each; exits with 1 after a breach."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first-seed", type=int, default=int(time.time()))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--port", type=int, default=24000)
    parser.add_argument("--folder", type=pathlib.Path, default="out/soak")
    given = parser.parse_args()
    broken = 0
    for seed in range(given.first_seed, given.first_seed + given.seeds):
        soak = asyncio.run(
            play_seed(
                seed=seed,
                seconds=given.seconds,
                folder=given.folder / str(seed),
                port=given.port,
                hosts=given.hosts,
            )
        )
        broken += bool(soak.breaches)
        print(
            f"seed {seed}: faults {sum(soak.faults.values())}, answers "
            f"{dict(soak.statuses)}, breaches {soak.breaches[:5]}",
            flush=True,
        )
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
