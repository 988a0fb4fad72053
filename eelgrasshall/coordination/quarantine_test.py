"""Tests of the quarantine of requests that crash backend servers."""

import asyncio

from eelgrasshall import errors
from eelgrasshall.coordination import executor_test
from eelgrasshall.protocol import messages


def arm_poison(bench):
    """Makes every server crash on a body that contains `poison`."""
    for server in bench.transport.servers.values():
        server.poison = b"poison"


def start_poison(bench, **changes):
    return bench.start(body=b"poison", fingerprint="bad", **changes)


def count_crashes(bench):
    return sum(s.crash_count for s in bench.transport.servers.values())


async def test_poison_request_is_isolated_quarantined_and_others_are_served():
    async with executor_test.run_bench() as bench:
        others = [
            bench.start(fingerprint=f"good{n}", body=b"{}") for n in range(5)
        ]
        await bench.clock.advance(0.001)
        arm_poison(bench)
        poison_task = start_poison(bench)
        results = await bench.finish(*others, poison_task)
        assert executor_test.list_outcomes(results) == ["served"] * 5 + [
            "failed"
        ]
        assert results[-1].problem.kind is errors.ProblemKind.QUARANTINED
        assert count_crashes(bench) == 2
        # Nothing else was in flight on the server of the second crash.
        last = results[-1]
        in_flight_counts = [
            server.running_at_start[f"{last.sub_id}.1"]
            for server in bench.transport.servers.values()
            if f"{last.sub_id}.1" in server.running_at_start
        ]
        assert in_flight_counts == [0]
        again = await bench.finish(start_poison(bench))
        assert again[0].outcome is messages.SubOutcome.NOT_RUN
        assert "rejected for another" in again[0].problem.remedy
        assert count_crashes(bench) == 2
        assert bench.executor.dump()["quarantine"]["suspects"] == {}


async def test_suspect_is_not_hedged_and_runs_in_isolation():
    async with executor_test.run_bench() as bench:
        fact = messages.GossipFact("suspect", "f", 1, b'{"until_s": 1100.0}')
        bench.executor.accept_fact(fact)
        for server in bench.transport.servers.values():
            server.latency_s = 0.3
        suspect = bench.start()
        others = [bench.start(fingerprint=f"g{n}") for n in range(9)]
        await bench.clock.advance(0.1)
        assert sorted(executor_test.count_in_flight(bench).values()) == [
            1,
            2,
            2,
        ]
        result, *_ = await bench.finish(suspect, *others)
        assert result.outcome is messages.SubOutcome.SERVED
        assert (result.attempts, result.hedges) == (1, 0)
        cleared = [f for f in bench.published if f[0] == "suspect"]
        assert [fact[1] for fact in cleared] == ["f"]


async def test_suspects_run_one_at_a_time():
    async with executor_test.run_bench() as bench:
        for name in ("f1", "f2", "f3"):
            bench.executor.accept_fact(
                messages.GossipFact("suspect", name, 1, b'{"until_s": 1100.0}')
            )
        tasks = [bench.start(fingerprint=f"f{n}") for n in (1, 2, 3)]
        for _ in range(60):
            assert sum(executor_test.count_in_flight(bench).values()) <= 1
            await bench.clock.advance(0.001)
        assert executor_test.list_outcomes(await bench.finish(*tasks)) == (
            ["served"] * 3
        )


async def test_queued_hedge_of_new_suspect_is_not_sent():
    async with executor_test.run_bench() as bench:
        task, slow = await executor_test.start_slow(bench)
        for server in bench.transport.servers.values():
            server.latency_s = 0.1
        fillers = [
            bench.start(repeatable=False, fingerprint=f"g{n}") for n in range(5)
        ]
        await bench.clock.advance(0.05)
        assert bench.count_waiting() == 1
        bench.server(slow).crash()
        await bench.clock.advance(0.0)
        assert bench.executor.dump()["quarantine"]["suspects"]
        result, *_ = await bench.finish(task, *fillers)
        assert result.outcome is messages.SubOutcome.SERVED
        assert (result.attempts, result.hedges) == (2, 0)


async def test_quarantine_is_gossiped_and_expires():
    async with executor_test.run_bench() as first:
        arm_poison(first)
        await first.finish(start_poison(first))
        async with executor_test.run_bench() as second:
            for topic, key, body in first.published:
                fact = messages.GossipFact(topic, key, 1, body)
                second.executor.accept_fact(fact)
            (result,) = await second.finish(start_poison(second))
            assert result.problem.kind is errors.ProblemKind.QUARANTINED
            await second.clock.advance(301.0)
            (result,) = await second.finish(start_poison(second))
            assert result.outcome is messages.SubOutcome.SERVED


async def test_crashes_over_ten_services_are_bounded():
    configuration = executor_test.make_configuration(services=10)
    async with executor_test.run_bench(configuration=configuration) as bench:
        arm_poison(bench)
        for _ in range(5):
            tasks = [start_poison(bench, service=f"s{n}") for n in range(10)]
            await bench.finish(*tasks)
            for server in bench.transport.servers.values():
                if not server.alive:
                    server.restart()
            await bench.clock.advance(2.5)
        # One per service that it was sent to at once, and one in isolation.
        assert count_crashes(bench) == 11


async def test_crashes_are_bounded_before_gossip_arrives():
    benches = [executor_test.Bench() for _ in range(10)]
    for bench in benches:
        bench.make_warm()
        arm_poison(bench)
    tasks = [start_poison(bench) for bench in benches]
    for bench, task in zip(benches, tasks, strict=True):
        await bench.finish(task)
    # Ten owners without gossip between them: two crashes for each service.
    assert sum(map(count_crashes, benches)) == 20
    await asyncio.gather(*(bench.executor.close() for bench in benches))
