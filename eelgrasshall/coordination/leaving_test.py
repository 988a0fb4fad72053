"""Tests of draining servers, evacuated zones and changes of owner."""

import asyncio

from eelgrasshall import errors
from eelgrasshall.coordination import executor_test
from eelgrasshall.coordination import handover
from eelgrasshall.coordination import hedge
from eelgrasshall.coordination import policy as policies
from eelgrasshall.protocol import messages


async def test_draining_server_finishes_its_work_and_gets_no_more():
    async with executor_test.run_bench() as bench:
        tasks = [bench.start() for _ in range(6)]
        await bench.clock.advance(0.001)
        server = bench.server("s0b0")
        server.reports_draining = True
        await bench.clock.advance(1.6)
        assert (
            executor_test.list_outcomes([t.result() for t in tasks])
            == ["served"] * 6
        )
        server.started.clear()
        for _ in range(5):
            await bench.finish(*(bench.start() for _ in range(8)))
        assert server.started == []


async def test_draining_ends_once_health_checks_have_shown_it_and_its_end():
    async with executor_test.run_bench() as bench:
        server = bench.server("s0b0")
        server.draining = True
        await bench.finish(*(bench.start() for _ in range(6)))
        server.started.clear()
        # The health endpoint lags: it does not report the draining yet.
        await bench.clock.advance(10.0)
        await bench.finish(*(bench.start() for _ in range(6)))
        assert server.started == []
        server.reports_draining = True
        await bench.clock.advance(2.0)
        server.draining = server.reports_draining = False
        await bench.clock.advance(2.0)
        assert bench.record("s0b0")["cold"]
        await bench.finish(*(bench.start() for _ in range(6)))
        assert server.started


async def test_evacuated_zone_gets_no_more_work_and_returns_cold():
    async with executor_test.run_bench() as bench:
        waiting = [bench.start() for _ in range(12)]
        await bench.clock.advance(0.001)
        evacuated = bench.server("s0b1")
        evacuated.started.clear()
        bench.apply_configuration(
            executor_test.make_configuration(zones_out=("z1",))
        )
        await bench.finish(*waiting)
        assert (
            executor_test.list_outcomes([t.result() for t in waiting])
            == ["served"] * 12
        )
        assert evacuated.started == []
        bench.apply_configuration(executor_test.make_configuration())
        assert bench.record("s0b1")["cold"]
        tasks = [bench.start() for _ in range(6)]
        await bench.clock.advance(0.001)
        assert len(evacuated.running) == 1
        await bench.finish(*tasks)


async def test_server_removed_from_the_configuration_gets_no_more_work():
    async with executor_test.run_bench() as bench:
        tasks = [bench.start() for _ in range(12)]
        await bench.clock.advance(0.001)
        removed = bench.server("s0b2")
        removed.started.clear()
        bench.apply_configuration(executor_test.make_configuration(servers=2))
        await bench.finish(*tasks)
        assert removed.started == [] and len(removed.finished) == 2


async def test_requests_are_rejected_at_once_if_all_zones_are_evacuated():
    async with executor_test.run_bench() as bench:
        bench.apply_configuration(
            executor_test.make_configuration(zones_out=("z0", "z1", "z2"))
        )
        task = bench.start()
        await bench.clock.advance(0.0)
        problem = task.result().problem
        assert problem.kind is errors.ProblemKind.NO_BACKEND_SERVER


async def test_new_owner_waits_for_the_ownership_overlap_to_end():
    async with executor_test.run_bench(warm=False, handed_over=False) as bench:
        bench.apply_configuration()
        task = bench.start(budget_s=1.0)
        await bench.clock.advance(0.2)
        # The previous owner may still hand the service over.
        assert not task.done()
        await bench.clock.advance(0.15)
        assert task.result().outcome is messages.SubOutcome.NOT_RUN
        task = bench.start(budget_s=1.0)
        await bench.clock.advance(0.0)
        assert task.result().outcome is messages.SubOutcome.NOT_RUN
        task = bench.start(budget_s=5.0)
        await bench.clock.advance(1.55)
        assert sum(executor_test.count_in_flight(bench).values()) == 0
        await bench.clock.advance(0.2)
        assert task.result().outcome is messages.SubOutcome.SERVED


async def test_handover_ends_the_wait_and_names_the_warm_servers():
    async with executor_test.run_bench(warm=False, handed_over=False) as bench:
        bench.apply_configuration()
        tasks = [bench.start() for _ in range(6)]
        await bench.clock.advance(0.05)
        assert sum(executor_test.count_in_flight(bench).values()) == 0
        # One of the warm servers has turned cold since this host took over.
        cold = messages.GossipFact("cold", "s0b2", 1, b'{"cold": true}')
        bench.executor.accept_fact(cold)
        state = handover.Handover(("s0b0", "s0b2"), ())
        bench.executor.import_handover("s0", handover.encode_handover(state))
        bench.apply_configuration(handed_over=bench.names)
        await bench.clock.advance(0.001)
        assert executor_test.count_in_flight(bench) == {
            "s0b0": 2,
            "s0b1": 1,
            "s0b2": 1,
        }
        results = await bench.finish(*tasks)
        assert executor_test.list_outcomes(results) == ["served"] * 6


async def test_handover_carries_latencies_so_that_the_next_owner_hedges():
    async with (
        executor_test.run_bench() as previous,
        executor_test.run_bench(warm=False, handed_over=False) as bench,
    ):
        previous.executor.apply_configuration(
            previous.configuration, frozenset()
        )
        state = await previous.executor.export_handover("s0")
        for early in (False, True):
            bench.executor.apply_configuration(bench.configuration, frozenset())
            if early:
                bench.executor.import_handover("s0", state)
            bench.apply_configuration(handed_over=bench.names)
            if not early:
                bench.executor.import_handover("s0", state)
            hedger = bench.executor._owned["s0"].context.hedger
            delay_s = hedger.compute_delay_s(repeatable=True, hedge_count=0)
            assert hedge.MIN_DELAY_S < delay_s < 0.02


async def test_handover_waits_for_attempts_at_cold_servers():
    async with executor_test.run_bench(warm=False) as bench:
        bench.server("s0b0").latency_s = 0.4
        tasks = [bench.start() for _ in range(3)]
        await bench.clock.advance(0.001)
        bench.executor.apply_configuration(bench.configuration, frozenset())
        task = asyncio.create_task(bench.executor.export_handover("s0"))
        await bench.clock.advance(0.3)
        assert not task.done()
        await bench.clock.advance(0.2)
        assert handover.decode_handover(task.result()).warm == ()
        await bench.finish(*tasks)


async def test_no_handover_while_an_attempt_at_a_cold_server_runs_on():
    async with executor_test.run_bench(warm=False) as bench:
        bench.server("s0b0").latency_s = 3.0
        tasks = [bench.start(budget_s=5.0) for _ in range(3)]
        await bench.clock.advance(0.001)
        bench.executor.apply_configuration(bench.configuration, frozenset())
        task = asyncio.create_task(bench.executor.export_handover("s0"))
        await bench.clock.advance(1.1)
        assert task.result() is None
        await bench.finish(*tasks, limit_s=6.0)


async def test_late_handover_ends_the_wait():
    async with executor_test.run_bench(warm=False, handed_over=False) as bench:
        bench.apply_configuration()
        task = bench.start(budget_s=5.0)
        await bench.clock.advance(0.2)
        assert sum(executor_test.count_in_flight(bench).values()) == 0
        bench.apply_configuration(handed_over=bench.names)
        await bench.clock.advance(0.001)
        assert sum(executor_test.count_in_flight(bench).values()) == 1
        await bench.finish(task)
        assert task.result().outcome is messages.SubOutcome.SERVED


async def test_new_owner_starts_with_half_the_slots_of_warm_servers():
    configuration = executor_test.make_configuration(slots=6)
    async with executor_test.run_bench(
        warm=False, handed_over=False, configuration=configuration
    ) as bench:
        bench.executor.apply_configuration(configuration, frozenset())
        for name in ("s0b0", "s0b1"):
            bench.executor.handle_owner_result(
                messages.SubResult(
                    sub_id="r",
                    service="s0",
                    outcome=messages.SubOutcome.SERVED,
                    server=name,
                    server_warm=True,
                )
            )
        bench.apply_configuration()
        tasks = [bench.start(budget_s=9.0) for _ in range(40)]
        await bench.clock.advance(0.001)
        assert executor_test.count_in_flight(bench) == {
            "s0b0": 3,
            "s0b1": 3,
            "s0b2": 0,
        }
        await bench.clock.advance(2.1)
        tasks += [bench.start(budget_s=9.0) for _ in range(40)]
        await bench.clock.advance(0.001)
        assert executor_test.count_in_flight(bench) == {
            "s0b0": 6,
            "s0b1": 6,
            "s0b2": 1,
        }
        await bench.finish(*tasks)


async def test_ownership_lapses_after_a_pause_until_next_configuration():
    async with executor_test.run_bench() as bench:
        tasks = [bench.start() for _ in range(8)]
        await bench.clock.advance(0.001)
        bench.executor.handle_pause()
        results = await bench.finish(*tasks, bench.start())
        assert (
            sorted(executor_test.list_outcomes(results))
            == ["not_run"] * 3 + ["served"] * 6
        )
        bench.apply_configuration()
        tasks = [bench.start() for _ in range(8)]
        await bench.clock.advance(0.001)
        # Half the slots, since another host may have been the owner meanwhile.
        assert sum(executor_test.count_in_flight(bench).values()) == 3
        await bench.finish(*tasks)


async def test_direct_requests_go_only_to_reported_warm_servers_one_at_a_time():
    async with executor_test.run_bench(warm=False, handed_over=False) as bench:
        bench.executor.apply_configuration(bench.configuration, frozenset())
        rejected = await bench.finish(bench.start(direct=True))
        assert executor_test.list_outcomes(rejected) == ["not_run"]
        fact = messages.GossipFact("cold", "s0b1", 1, b'{"cold": false}')
        bench.executor.accept_fact(fact)
        tasks = [bench.start(direct=True) for _ in range(3)]
        await bench.clock.advance(0.001)
        assert executor_test.count_in_flight(bench) == {
            "s0b0": 0,
            "s0b1": 1,
            "s0b2": 0,
        }
        results = await bench.finish(*tasks)
        assert sorted(executor_test.list_outcomes(results)) == [
            "not_run",
            "not_run",
            "served",
        ]
        fact = messages.GossipFact("cold", "s0b1", 2, b'{"cold": true}')
        bench.executor.accept_fact(fact)
        rejected = await bench.finish(bench.start(direct=True))
        assert executor_test.list_outcomes(rejected) == ["not_run"]


async def test_request_for_a_service_of_another_owner_is_not_run():
    async with executor_test.run_bench(warm=False, handed_over=False) as bench:
        bench.executor.apply_configuration(bench.configuration, frozenset())
        (result,) = await bench.finish(bench.start())
        assert result.problem.kind is errors.ProblemKind.PEER_UNREACHABLE


async def test_hosts_without_ownership_serve_all_services_at_once():
    policy = policies.Policy(ownership=policies.ALONE)
    async with executor_test.run_bench(
        warm=False, handed_over=False, policy=policy
    ) as bench:
        bench.executor.apply_configuration(bench.configuration, frozenset())
        (result,) = await bench.finish(bench.start())
        assert result.outcome is messages.SubOutcome.SERVED
        assert bench.transport.targets["s0b0"].connection_limit == 45 // 9
