"""Stateful test of one service's owner that checks the load invariants.

Requests start, age and are cancelled while servers crash, restart, slow down,
drain and return and while ownership lapses.  The load that a restarted server
may get is derived from its own count of completed attempts, so the allowance is
checked independently of the owner's records.
"""

import asyncio
import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from eelgrasshall.coordination import executor_test
from eelgrasshall.coordination import warmup
from eelgrasshall.protocol import messages

SERVERS = ("s0b0", "s0b1", "s0b2")
servers = strategies.sampled_from(SERVERS)


class OwnerMachine(stateful.RuleBasedStateMachine):
    """One owner, three servers with three slots each."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.tasks: list[asyncio.Task] = []
        self.non_repeatable: set[str] = set()
        self.evacuated_zones: set[str] = set()
        self.restarted: dict[str, int] = {}
        self.loop.run_until_complete(self._start())

    async def _start(self) -> None:
        self.configuration = executor_test.make_configuration(slots=3)
        self.bench = executor_test.Bench(self.configuration)
        self.bench.make_warm()

    def _run_step(self, step) -> None:
        async def run():
            step()
            await self.bench.clock.advance(0.0)

        self.loop.run_until_complete(run())

    @stateful.rule(
        count=strategies.integers(1, 9),
        repeatable=strategies.booleans(),
        age_s=strategies.sampled_from([0.0, 0.1, 0.3]),
        budget_s=strategies.sampled_from([0.02, 0.3, 2.0]),
        name=strategies.sampled_from(["f", "g"]),
    )
    def begin_requests(self, count, repeatable, age_s, budget_s, name):
        def step():
            for number in range(count):
                task = self.bench.start(
                    repeatable=repeatable,
                    age_s=age_s,
                    budget_s=budget_s,
                    fingerprint=f"{name}{number}",
                )
                self.tasks.append(task)
                if not repeatable:
                    self.non_repeatable.add(f"r{self.bench.number}")

        self._run_step(step)

    @stateful.rule(number=strategies.integers(0, 50))
    def cancel(self, number):
        if self.tasks:
            self._run_step(self.tasks[number % len(self.tasks)].cancel)

    @stateful.rule(seconds=strategies.sampled_from([0.004, 0.02, 0.3, 2.0]))
    def advance(self, seconds):
        self.loop.run_until_complete(self.bench.clock.advance(seconds))

    @stateful.rule(name=servers)
    def crash(self, name):
        server = self.bench.server(name)
        if server.alive:
            self._run_step(server.crash)

    @stateful.rule(name=servers)
    def restart(self, name):
        server = self.bench.server(name)
        if not server.alive:
            server.restart()
            server.closed_idle_count = 1
            self.restarted[name] = len(server.finished)

    @stateful.rule(name=servers)
    def crash_and_restart_unnoticed(self, name):
        server = self.bench.server(name)
        if server.alive and not server.running:
            server.restart()
            server.closed_idle_count = 1
            self.restarted[name] = len(server.finished)
            self.begin_requests(9, True, 0.0, 2.0, "f")

    @stateful.rule()
    def make_all_warm(self):
        """Models a long period of normal load that warms up every server."""
        self.evacuated_zones.clear()
        self._run_step(self._apply_configuration)
        self.advance(4.0)
        if all(s.alive for s in self.bench.transport.servers.values()):
            self.bench.make_warm()
            self.restarted.clear()

    @stateful.rule(
        name=servers, latency_s=strategies.sampled_from([0.01, 0.05, 0.6])
    )
    def change_latency(self, name, latency_s):
        self.bench.server(name).latency_s = latency_s

    @stateful.rule(name=servers, draining=strategies.booleans())
    def set_draining(self, name, draining):
        server = self.bench.server(name)
        server.draining = server.reports_draining = draining

    @stateful.rule(zone=strategies.sampled_from(["z0", "z1", "z2"]))
    def flip_zone(self, zone):
        self.evacuated_zones ^= {zone}
        self._run_step(self._apply_configuration)

    @stateful.rule()
    def pause(self):
        self._run_step(self.bench.executor.handle_pause)

    @stateful.rule()
    def apply_configuration(self):
        self._run_step(self._apply_configuration)

    def _apply_configuration(self) -> None:
        self.bench.apply_configuration(
            executor_test.make_configuration(
                slots=3, zones_out=self.evacuated_zones
            )
        )

    @stateful.invariant()
    def server_load_is_within_allowance(self):
        for name, server in self.bench.transport.servers.items():
            assert len(server.running) <= 3
            if name in self.restarted:
                served = len(server.finished) - self.restarted[name]
                allowance = 1 + served // warmup.SUCCESSES_PER_STEP
                assert len(server.running) <= allowance

    @stateful.invariant()
    def no_invariant_is_breached(self):
        assert not self.bench.invariants.breaches

    def teardown(self):
        self.loop.run_until_complete(self._finish())
        self.loop.close()

    async def _finish(self) -> None:
        await self.bench.clock.advance(4.0)
        starts = collections.Counter(
            attempt.split(".")[0]
            for server in self.bench.transport.servers.values()
            for attempt in server.started
        )
        assert all(task.done() for task in self.tasks)
        assert all(starts[sub_id] <= 1 for sub_id in self.non_repeatable)
        for task in self.tasks:
            if not task.cancelled():
                check_result(task.result(), starts)
        dump = self.bench.executor.dump()
        assert dump["services"]["s0"]["waiting"] == 0
        assert not any(s["in_flight"] for s in dump["servers"].values())
        assert not self.bench.invariants.breaches
        await self.bench.executor.close()


def check_result(result, starts) -> None:
    """Checks a result against the attempts that the servers received."""
    if result.outcome is messages.SubOutcome.NOT_RUN:
        assert starts[result.sub_id] == 0
    if result.outcome is messages.SubOutcome.SERVED:
        assert starts[result.sub_id] >= 1
    assert starts[result.sub_id] <= result.attempts


OwnerMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30
)
TestOwner = OwnerMachine.TestCase
