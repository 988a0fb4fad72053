"""Tests the executor against scripted backend servers on a manual clock."""

import asyncio
import contextlib
import random

from eelgrasshall import clock as clocks
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import executor as executors
from eelgrasshall.coordination import policy as policies
from eelgrasshall.protocol import backend
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configurations
from eelgrasshall.transport import backends

SNAPSHOT = messages.Snapshot(1, 3)


class ScriptedServer:
    """A backend server with scripted behaviour, behind the fake transport."""

    def __init__(self, clock):
        self._clock = clock
        self.latency_s = 0.01
        self.incarnation = "i1"
        self.alive = True
        self.draining = False
        self.reports_draining = False
        self.sheds = False
        self.snapshots = (SNAPSHOT,)
        self.poison = b""
        self.cancel_works = True
        self.closed_idle_count = 0
        self.crash_count = 0
        self.started: list[str] = []
        self.finished: list[str] = []
        self.max_running = 0
        self.running_at_start: dict[str, int] = {}
        self.running: dict[str, asyncio.Future] = {}

    async def run(self, attempt):
        if not self.alive:
            return backends.BackendFailure(
                backends.FailureKind.CONNECT_FAILED, "refused"
            )
        if self.sheds or self.draining:
            return self._answer(attempt, 503)._replace(
                not_run=True, draining=self.draining
            )
        if attempt.snapshot and attempt.snapshot not in self.snapshots:
            return self._answer(attempt, 409)
        self.started.append(attempt.attempt_id)
        self.running_at_start[attempt.attempt_id] = len(self.running)
        ended = asyncio.get_running_loop().create_future()
        self.running[attempt.attempt_id] = ended
        self.max_running = max(self.max_running, len(self.running))
        if self.poison and self.poison in attempt.body:
            self.crash()
        in_time = self.latency_s <= attempt.budget_s
        duration_s = min(self.latency_s, attempt.budget_s)
        timer = asyncio.create_task(self._clock.sleep(duration_s))
        timer.add_done_callback(
            lambda _: ended.done() or ended.set_result(200 if in_time else 504)
        )
        status = await ended
        timer.cancel()
        if status == 0:
            if not self.alive:
                self.running.pop(attempt.attempt_id, None)
            return backends.BackendFailure(
                backends.FailureKind.CONNECTION_LOST, "reset"
            )
        self.running.pop(attempt.attempt_id, None)
        self.finished.append(attempt.attempt_id)
        return self._answer(attempt, status)

    def crash(self) -> None:
        self.crash_count += 1
        self.alive = False
        for ended in self.running.values():
            if not ended.done():
                ended.set_result(0)

    def reset_connections(self) -> None:
        """Breaks the connections; the attempts keep running on the server."""
        for name, ended in list(self.running.items()):
            self.running[name] = asyncio.get_running_loop().create_future()
            ended.set_result(0)

    def restart(self) -> None:
        self.alive = True
        self.incarnation += "+"

    def _answer(self, attempt, status):
        response = backend.BackendResponse(
            status=status,
            attempt_id=attempt.attempt_id,
            incarnation=self.incarnation,
            available=self.snapshots,
        )
        if status != 200:
            return response
        return response._replace(
            part=b"[1]",
            snapshot=SNAPSHOT,
            key_range=messages.KeyRange(0, 10),
        )


class FakeTransport:
    """A `BackendTransport` that sends to scripted servers."""

    def __init__(self, clock, names):
        self.servers = {name: ScriptedServer(clock) for name in names}
        self.closed_stale: list[str] = []
        self.needed_new_connection: dict[str, bool] = {}

    def set_servers(self, targets):
        self.targets = {target.name: target for target in targets}

    async def send(
        self, server, attempt, *, progress_timeout_s, needs_new_connection
    ):
        self.needed_new_connection[attempt.attempt_id] = needs_new_connection
        return await self.servers[server].run(attempt)

    async def cancel(self, server, attempt_id):
        scripted = self.servers[server]
        if not scripted.alive:
            return backends.CancelResult.UNREACHABLE
        if not scripted.cancel_works:
            return backends.CancelResult.UNKNOWN
        ended = scripted.running.get(attempt_id)
        if ended is not None and not ended.done():
            ended.set_result(499)
            scripted.running.pop(attempt_id)
        return backends.CancelResult.CONFIRMED

    async def read_health(self, server):
        scripted = self.servers[server]
        if not scripted.alive:
            return backends.BackendFailure(
                backends.FailureKind.CONNECT_FAILED, "refused"
            )
        return backend.Health(
            ready=True,
            draining=scripted.reports_draining,
            snapshots=scripted.snapshots,
            incarnation=scripted.incarnation,
        )

    def preconnect(self, server):
        pass

    def take_closed_count(self, server):
        closed = self.servers[server].closed_idle_count
        self.servers[server].closed_idle_count = 0
        return closed

    def close_stale_connections(self, server, sent_s):
        self.closed_stale.append(server)

    def count_open(self, server):
        return len(self.servers[server].running)

    async def close(self):
        pass


def make_configuration(services=1, servers=3, slots=2, zones_out=()):
    zones = tuple(
        configurations.Zone(f"z{n}", "r", f"z{n}" not in zones_out)
        for n in range(servers)
    )
    declared = tuple(
        configurations.Service(
            f"s{s}",
            tuple(
                configurations.BackendServer(
                    f"s{s}b{n}", f"z{n}", "127.0.0.1", 9000 + n, slots, 45
                )
                for n in range(servers)
            ),
        )
        for s in range(services)
    )
    kind = configurations.Kind("orders", tuple(s.name for s in declared))
    return configurations.Configuration(1, "c", zones, declared, (kind,))


class Bench:
    """An executor with fake dependencies."""

    def __init__(self, configuration=None, policy=None, handed_over=True):
        self.configuration = configuration or make_configuration()
        self.clock = clocks.ManualClock()
        names = [
            server.name
            for service in self.configuration.services
            for server in service.servers
        ]
        self.names = frozenset(s.name for s in self.configuration.services)
        self.transport = FakeTransport(self.clock, names)
        self.invariants = invariants_module.InvariantChecker(raising=True)
        self.published: list[tuple[str, str, bytes]] = []
        self.executor = executors.ServiceExecutor(
            clock=self.clock,
            random=random.Random(1),
            invariants=self.invariants,
            backends=self.transport,
            publish=lambda *fact: self.published.append(fact),
            policy=policy or policies.Policy(),
        )
        self.number = 0
        if handed_over:
            self.apply_configuration(handed_over=self.names)

    def apply_configuration(self, configuration=None, **options):
        self.configuration = configuration or self.configuration
        self.executor.apply_configuration(
            self.configuration, self.names, **options
        )

    def server(self, name):
        return self.transport.servers[name]

    def record(self, name):
        return self.executor.dump()["servers"][name]

    def make_warm(self):
        """Marks every server warm and records typical latencies."""
        for record in self.executor._directory.list_records():
            record.cold = False
            record.incarnation = self.server(record.name).incarnation
            record.snapshots = (SNAPSHOT,)
        for owned in self.executor._owned.values():
            for _ in range(200):
                owned.latencies.usual.record(0.01)
                owned.latencies.seen.record(0.01)

    def request(self, **changes):
        self.number += 1
        base = messages.SubRequest(
            sub_id=f"r{self.number}",
            query_id="q",
            kind="orders",
            service="s0",
            body=b"{}",
            snapshot=None,
            budget_s=1.0,
            age_s=0.0,
            repeatable=True,
            fingerprint="f",
        )
        return base._replace(**changes)

    def start(self, **changes):
        return asyncio.create_task(
            self.executor.execute(self.request(**changes))
        )

    async def finish(self, *tasks, limit_s=3.0):
        """Advances the clock until all tasks are done."""
        for _ in range(int(limit_s / 0.005)):
            if all(task.done() for task in tasks):
                break
            await self.clock.advance(0.005)
        return [task.result() for task in tasks]

    def count_waiting(self):
        return self.executor.dump()["services"]["s0"]["waiting"]


@contextlib.asynccontextmanager
async def run_bench(*, warm=True, **options):
    bench = Bench(**options)
    if warm:
        bench.make_warm()
    try:
        yield bench
    finally:
        await bench.executor.close()


def list_outcomes(results):
    return [result.outcome.value for result in results]


def count_in_flight(bench):
    return {n: len(s.running) for n, s in bench.transport.servers.items()}


async def test_result_names_serving_server():
    async with run_bench() as bench:
        (result,) = await bench.finish(bench.start())
        assert result.outcome is messages.SubOutcome.SERVED
        assert result.server.startswith("s0b") and result.server_warm
        assert result.available == (SNAPSHOT,)


def list_started(bench):
    return [n for s in bench.transport.servers.values() for n in s.started]


async def test_never_exceeds_slots_and_sends_oldest_first():
    async with run_bench() as bench:
        tasks = [bench.start(age_s=0.001 * n) for n in range(14)]
        await bench.clock.advance(0.001)
        assert len(list_started(bench)) == 6 and bench.count_waiting() == 8
        await bench.clock.advance(0.011)
        oldest = {f"r{n}.0" for n in range(9, 15)}
        assert set(list_started(bench)) >= oldest
        assert "r7.0" not in list_started(bench)
        results = await bench.finish(*tasks)
        assert list_outcomes(results) == ["served"] * 14
        assert all(s.max_running <= 2 for s in bench.transport.servers.values())


async def test_rejects_at_once_what_cannot_be_served_in_time():
    async with run_bench() as bench:
        tasks = [bench.start() for _ in range(30)]
        await bench.clock.advance(0.001)
        late = bench.start(budget_s=0.03)
        await bench.clock.advance(0.0)
        assert late.done()
        assert late.result().outcome is messages.SubOutcome.NOT_RUN
        assert late.result().problem.kind is errors.ProblemKind.OVERLOADED
        assert late.result().attempts == 0
        await bench.finish(*tasks)


async def test_rejects_waiting_requests_when_servers_stall():
    async with run_bench() as bench:
        for server in bench.transport.servers.values():
            server.latency_s = 10.0
        tasks = [bench.start(repeatable=False) for _ in range(6)]
        await bench.clock.advance(0.001)
        waiting = bench.start(budget_s=0.2)
        await bench.clock.advance(0.22)
        assert waiting.result().outcome is messages.SubOutcome.NOT_RUN
        assert bench.count_waiting() == 0
        await bench.finish(*tasks)
        assert list_outcomes([t.result() for t in tasks]) == ["failed"] * 6


async def start_slow(bench, **changes):
    """Starts a request that its server takes half a second to run."""
    for server in bench.transport.servers.values():
        server.latency_s = 0.5
    task = bench.start(**changes)
    await bench.clock.advance(0.001)
    for server in bench.transport.servers.values():
        server.latency_s = 0.01
    held = [n for n, s in bench.transport.servers.items() if s.running]
    return task, held[0]


async def test_slot_of_abandoned_attempt_stays_taken_until_it_ends():
    async with run_bench() as bench:
        for server in bench.transport.servers.values():
            server.cancel_works = False
            server.latency_s = 0.3
        task = bench.start(budget_s=0.8)
        await bench.clock.advance(0.001)
        task.cancel()
        await bench.clock.advance(0.1)
        busy = [n for n, s in bench.transport.servers.items() if s.running]
        assert [bench.record(n)["in_flight"] for n in busy] == [1]
        await bench.clock.advance(0.3)
        assert bench.record(busy[0])["in_flight"] == 0


async def test_slot_of_lost_attempt_stays_taken_until_its_deadline():
    async with run_bench() as bench:
        task, slow = await start_slow(bench, budget_s=0.4)
        bench.server(slow).cancel_works = False
        bench.server(slow).reset_connections()
        await bench.finish(task)
        assert bench.record(slow)["in_flight"] == 1
        await bench.clock.advance(0.5)
        assert bench.record(slow)["in_flight"] == 0


async def test_cancelling_request_cancels_at_backend_server():
    async with run_bench() as bench:
        task, slow = await start_slow(bench)
        task.cancel()
        await bench.clock.advance(0.001)
        assert task.cancelled() and not bench.server(slow).running
        assert bench.record(slow)["in_flight"] == 0


async def test_request_cancelled_in_queue_is_never_sent():
    async with run_bench() as bench:
        tasks = [bench.start() for _ in range(7)]
        await bench.clock.advance(0.001)
        tasks[6].cancel()
        await bench.finish(*tasks[:6])
        started = list_started(bench)
        assert len(started) == 6 and bench.count_waiting() == 0


async def test_retries_shed_request_even_if_not_repeatable():
    async with run_bench() as bench:
        bench.server("s0b0").sheds = bench.server("s0b1").sheds = True
        results = await bench.finish(
            *(bench.start(repeatable=False) for _ in range(2))
        )
        assert list_outcomes(results) == ["served"] * 2
        assert {result.server for result in results} == {"s0b2"}


async def test_does_not_retry_lost_non_repeatable_request():
    async with run_bench() as bench:
        task, slow = await start_slow(bench, repeatable=False)
        bench.server(slow).crash()
        (result,) = await bench.finish(task)
        assert result.outcome is messages.SubOutcome.FAILED
        started = list_started(bench)
        assert len(started) == 1


async def test_run_once_and_suspect_requests_use_new_connections():
    async with run_bench() as bench:
        fact = messages.GossipFact("suspect", "g", 1, b'{"until_s": 1100.0}')
        bench.executor.accept_fact(fact)
        tasks = [
            bench.start(),
            bench.start(repeatable=False),
            bench.start(fingerprint="g"),
        ]
        await bench.finish(*tasks)
        assert bench.transport.needed_new_connection == {
            "r1.0": False,
            "r2.0": True,
            "r3.0": True,
        }


async def test_retry_budget_limits_retries():
    async with run_bench() as bench:
        for server in bench.transport.servers.values():
            server.sheds = True
        results = []
        for _ in range(30):
            results += await bench.finish(bench.start())
        attempts = sum(result.attempts for result in results)
        assert set(list_outcomes(results)) == {"not_run"}
        # Ten tokens at the start, and a tenth for each of the 30 requests.
        assert attempts <= 30 + 10 + 3


async def test_tries_every_replica_for_snapshot_before_reporting_it_gone():
    async with run_bench() as bench:
        old = messages.Snapshot(1, 2)
        for record in bench.executor._directory.list_records():
            record.snapshots = ()
        bench.server("s0b2").snapshots = (SNAPSHOT, old)
        (result,) = await bench.finish(bench.start(snapshot=old))
        assert result.server == "s0b2"
        bench.server("s0b2").snapshots = (SNAPSHOT,)
        (result,) = await bench.finish(bench.start(snapshot=old))
        assert result.outcome is messages.SubOutcome.SNAPSHOT_GONE


async def test_tries_each_replica_once_for_unavailable_snapshot():
    async with run_bench() as bench:
        newer = messages.Snapshot(1, 9)
        (result,) = await bench.finish(bench.start(snapshot=newer))
        assert result.outcome is messages.SubOutcome.SNAPSHOT_GONE
        assert result.attempts == 3
