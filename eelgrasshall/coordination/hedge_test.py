"""Tests of hedged attempts: timing, target, budget and cancellation."""

from eelgrasshall.coordination import executor_test
from eelgrasshall.protocol import messages


async def test_hedge_is_dispatched_before_older_queries():
    async with executor_test.run_bench() as bench:
        task, _ = await executor_test.start_slow(bench)
        for server in bench.transport.servers.values():
            server.latency_s = 0.05
        older = [bench.start(age_s=0.5, repeatable=False) for _ in range(20)]
        await bench.finish(task, *older)
        started = [s.started for s in bench.transport.servers.values()]
        positions = [n.index("r1.1") for n in started if "r1.1" in n]
        # Two attempts were sent before the hedge was due.
        assert positions == [2]


async def test_slow_attempt_is_hedged_on_another_server_and_cancelled():
    async with executor_test.run_bench() as bench:
        task, slow = await executor_test.start_slow(bench)
        await bench.clock.advance(0.03)
        result = task.result()
        assert result.outcome is messages.SubOutcome.SERVED
        assert (result.attempts, result.hedges) == (2, 1)
        assert result.server != slow
        assert not bench.server(slow).running
        assert bench.record(slow)["in_flight"] == 0


async def test_slow_hedge_is_hedged_once_more():
    async with executor_test.run_bench() as bench:
        task, _ = await executor_test.start_slow(bench)
        for server in bench.transport.servers.values():
            server.latency_s = 0.5
        await bench.clock.advance(0.012)
        for server in bench.transport.servers.values():
            server.latency_s = 0.01
        await bench.clock.advance(0.03)
        assert (task.result().attempts, task.result().hedges) == (3, 2)
        await bench.clock.advance(0.0)
        assert sum(executor_test.count_in_flight(bench).values()) == 0


async def test_non_repeatable_request_is_not_hedged():
    async with executor_test.run_bench() as bench:
        task, _ = await executor_test.start_slow(bench, repeatable=False)
        (result,) = await bench.finish(task)
        assert (result.attempts, result.hedges) == (1, 0)


async def test_cold_server_gets_no_hedge():
    async with executor_test.run_bench() as bench:
        task, slow = await executor_test.start_slow(bench)
        for record in bench.executor._directory.list_records():
            record.cold = record.name != slow
        (result,) = await bench.finish(task)
        assert (result.server, result.hedges) == (slow, 0)


async def test_slow_service_gets_no_hedges():
    async with executor_test.run_bench() as bench:
        hedger = bench.executor._owned["s0"].context.hedger
        for _ in range(40):
            hedger.record(0.03)
        task, slow = await executor_test.start_slow(bench)
        (result,) = await bench.finish(task)
        assert (result.server, result.hedges) == (slow, 0)


async def test_exhausted_budget_stops_hedges():
    async with executor_test.run_bench() as bench:
        budget = bench.executor._owned["s0"].context.hedger.budget
        while budget.try_withdraw():
            pass
        task, slow = await executor_test.start_slow(bench)
        (result,) = await bench.finish(task)
        assert (result.server, result.hedges) == (slow, 0)
