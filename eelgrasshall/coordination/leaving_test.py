"""Servers, zones and owners that leave and come back."""

import asyncio

from eelgrasshall import errors
from eelgrasshall.coordination import executor_test
from eelgrasshall.coordination import handover
from eelgrasshall.coordination import hedge
from eelgrasshall.coordination import policy as policies
from eelgrasshall.protocol import messages


async def test_leaving_server_gets_nothing_new_and_finishes():
    async with executor_test.run_bench() as bench:
        tasks = [bench.start() for _ in range(6)]
        await bench.clock.advance(0.001)
        leaving = bench.server("s0b0")
        leaving.claims_draining = True
        await bench.clock.advance(1.6)
        assert (
            executor_test.outcomes([t.result() for t in tasks])
            == ["served"] * 6
        )
        leaving.started.clear()
        for _ in range(5):
            await bench.finish(*(bench.start() for _ in range(8)))
        assert leaving.started == []


async def test_leaving_mark_holds_until_health_has_shown_and_dropped_it():
    async with executor_test.run_bench() as bench:
        leaving = bench.server("s0b0")
        leaving.draining = True
        await bench.finish(*(bench.start() for _ in range(6)))
        leaving.started.clear()
        # The health endpoint lags: it does not know of the leaving yet.
        await bench.clock.advance(10.0)
        await bench.finish(*(bench.start() for _ in range(6)))
        assert leaving.started == []
        leaving.claims_draining = True
        await bench.clock.advance(2.0)
        leaving.draining = leaving.claims_draining = False
        await bench.clock.advance(2.0)
        assert bench.record("s0b0")["cold"]
        await bench.finish(*(bench.start() for _ in range(6)))
        assert leaving.started


async def test_zone_out_gets_nothing_new_and_returns_cold():
    async with executor_test.run_bench() as bench:
        waiting = [bench.start() for _ in range(12)]
        await bench.clock.advance(0.001)
        out = bench.server("s0b1")
        out.started.clear()
        bench.adopt(executor_test.make_configuration(zones_out=("z1",)))
        await bench.finish(*waiting)
        assert (
            executor_test.outcomes([t.result() for t in waiting])
            == ["served"] * 12
        )
        assert out.started == []
        bench.adopt(executor_test.make_configuration())
        assert bench.record("s0b1")["cold"]
        tasks = [bench.start() for _ in range(6)]
        await bench.clock.advance(0.001)
        assert len(out.running) == 1
        await bench.finish(*tasks)


async def test_server_removed_from_the_configuration_gets_nothing_new():
    async with executor_test.run_bench() as bench:
        tasks = [bench.start() for _ in range(12)]
        await bench.clock.advance(0.001)
        gone = bench.server("s0b2")
        gone.started.clear()
        bench.adopt(executor_test.make_configuration(servers=2))
        await bench.finish(*tasks)
        assert gone.started == [] and len(gone.finished) == 2


async def test_all_zones_out_refuses_at_once():
    async with executor_test.run_bench() as bench:
        bench.adopt(
            executor_test.make_configuration(zones_out=("z0", "z1", "z2"))
        )
        task = bench.start()
        await bench.clock.advance(0.0)
        problem = task.result().problem
        assert problem.kind is errors.ProblemKind.NO_BACKEND_SERVER


async def test_new_owner_waits_out_the_disagreement():
    async with executor_test.run_bench(warm=False, clean=False) as bench:
        bench.adopt()
        task = bench.start(budget_s=1.0)
        await bench.clock.advance(0.2)
        # The last owner may still hand the service over.
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


async def test_handover_ends_the_wait_and_brings_the_warm_servers():
    async with executor_test.run_bench(warm=False, clean=False) as bench:
        bench.adopt()
        tasks = [bench.start() for _ in range(6)]
        await bench.clock.advance(0.05)
        assert sum(executor_test.count_in_flight(bench).values()) == 0
        # One of them has turned cold since this host took over.
        cold = messages.GossipFact("cold", "s0b2", 1, b'{"cold": true}')
        bench.executor.accept_fact(cold)
        told = handover.Handover(("s0b0", "s0b2"), ())
        bench.executor.accept_handover("s0", handover.encode_handover(told))
        bench.adopt(clean=bench.names)
        await bench.clock.advance(0.001)
        assert executor_test.count_in_flight(bench) == {
            "s0b0": 2,
            "s0b1": 1,
            "s0b2": 1,
        }
        results = await bench.finish(*tasks)
        assert executor_test.outcomes(results) == ["served"] * 6


async def test_handover_brings_the_latencies_so_that_the_next_owner_hedges():
    async with (
        executor_test.run_bench() as last,
        executor_test.run_bench(warm=False, clean=False) as bench,
    ):
        last.executor.adopt(last.configuration, frozenset())
        told = await last.executor.hand_over("s0")
        for early in (False, True):
            bench.executor.adopt(bench.configuration, frozenset())
            if early:
                bench.executor.accept_handover("s0", told)
            bench.adopt(clean=bench.names)
            if not early:
                bench.executor.accept_handover("s0", told)
            hedger = bench.executor._owned["s0"].tools.hedger
            delay_s = hedger.find_delay(repeatable=True, started=0)
            assert hedge.SHORTEST_DELAY_S < delay_s < 0.02


async def test_handover_waits_for_attempts_at_cold_servers():
    async with executor_test.run_bench(warm=False) as bench:
        bench.server("s0b0").latency_s = 0.4
        tasks = [bench.start() for _ in range(3)]
        await bench.clock.advance(0.001)
        bench.executor.adopt(bench.configuration, frozenset())
        task = asyncio.create_task(bench.executor.hand_over("s0"))
        await bench.clock.advance(0.3)
        assert not task.done()
        await bench.clock.advance(0.2)
        assert handover.decode_handover(task.result()).warm == ()
        await bench.finish(*tasks)


async def test_handover_is_not_given_while_a_cold_server_holds_on():
    async with executor_test.run_bench(warm=False) as bench:
        bench.server("s0b0").latency_s = 3.0
        tasks = [bench.start(budget_s=5.0) for _ in range(3)]
        await bench.clock.advance(0.001)
        bench.executor.adopt(bench.configuration, frozenset())
        task = asyncio.create_task(bench.executor.hand_over("s0"))
        await bench.clock.advance(1.1)
        assert task.result() is None
        await bench.finish(*tasks, limit_s=6.0)


async def test_word_of_handover_that_comes_late_ends_the_wait():
    async with executor_test.run_bench(warm=False, clean=False) as bench:
        bench.adopt()
        task = bench.start(budget_s=5.0)
        await bench.clock.advance(0.2)
        assert sum(executor_test.count_in_flight(bench).values()) == 0
        bench.adopt(clean=bench.names)
        await bench.clock.advance(0.001)
        assert sum(executor_test.count_in_flight(bench).values()) == 1
        await bench.finish(task)
        assert task.result().outcome is messages.SubOutcome.SERVED


async def test_new_owner_starts_from_half_the_slots_of_warm_servers():
    configuration = executor_test.make_configuration(slots=6)
    async with executor_test.run_bench(
        warm=False, clean=False, configuration=configuration
    ) as bench:
        bench.executor.adopt(configuration, frozenset())
        for name in ("s0b0", "s0b1"):
            bench.executor.note_result(
                messages.SubResult(
                    sub_id="r",
                    service="s0",
                    outcome=messages.SubOutcome.SERVED,
                    server=name,
                    server_warm=True,
                )
            )
        bench.adopt()
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


async def test_pause_lapses_ownership_until_it_is_adopted_again():
    async with executor_test.run_bench() as bench:
        tasks = [bench.start() for _ in range(8)]
        await bench.clock.advance(0.001)
        bench.executor.notice_pause()
        results = await bench.finish(*tasks, bench.start())
        assert (
            sorted(executor_test.outcomes(results))
            == ["not_run"] * 3 + ["served"] * 6
        )
        bench.adopt()
        tasks = [bench.start() for _ in range(8)]
        await bench.clock.advance(0.001)
        # Half the slots, since another host may have taken over meanwhile.
        assert sum(executor_test.count_in_flight(bench).values()) == 3
        await bench.finish(*tasks)


async def test_direct_goes_only_to_servers_told_warm_and_one_at_a_time():
    async with executor_test.run_bench(warm=False, clean=False) as bench:
        bench.executor.adopt(bench.configuration, frozenset())
        refused = await bench.finish(bench.start(direct=True))
        assert executor_test.outcomes(refused) == ["not_run"]
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
        assert sorted(executor_test.outcomes(results)) == [
            "not_run",
            "not_run",
            "served",
        ]
        fact = messages.GossipFact("cold", "s0b1", 2, b'{"cold": true}')
        bench.executor.accept_fact(fact)
        refused = await bench.finish(bench.start(direct=True))
        assert executor_test.outcomes(refused) == ["not_run"]


async def test_request_for_a_service_of_another_host_is_not_run():
    async with executor_test.run_bench(warm=False, clean=False) as bench:
        bench.executor.adopt(bench.configuration, frozenset())
        (result,) = await bench.finish(bench.start())
        assert result.problem.kind is errors.ProblemKind.PEER_UNREACHABLE


async def test_hosts_alone_take_all_services_and_wait_for_nothing():
    policy = policies.Policy(ownership=policies.ALONE)
    async with executor_test.run_bench(
        warm=False, clean=False, policy=policy
    ) as bench:
        bench.executor.adopt(bench.configuration, frozenset())
        (result,) = await bench.finish(bench.start())
        assert result.outcome is messages.SubOutcome.SERVED
        assert bench.transport.targets["s0b0"].connection_limit == 45 // 9
