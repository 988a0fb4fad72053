"""Servers in cold start: nothing above what they have proved to bear."""

from eelgrasshall.coordination import executor_test


async def test_cold_servers_get_one_at_a_time_and_grow_with_proofs():
    configuration = executor_test.make_configuration(servers=1, slots=4)
    async with executor_test.run_bench(
        warm=False, configuration=configuration
    ) as bench:
        cold = bench.server("s0b0")
        tasks = [bench.start(budget_s=30.0) for _ in range(200)]
        await bench.clock.advance(0.001)
        assert len(cold.running) == 1
        allowances = []
        while not all(task.done() for task in tasks):
            record = bench.record("s0b0")
            assert len(cold.running) <= record["allowance"]
            allowances.append(record["allowance"])
            await bench.clock.advance(0.01)
        assert sorted(set(allowances)) == [1, 2, 3, 4]
        assert allowances == sorted(allowances)
        assert not bench.record("s0b0")["cold"]
        assert ("cold", "s0b0", b'{"cold": false}') in bench.published


async def warm_up(bench, name, successes):
    """Lets one cold server serve a number of requests."""
    for other in bench.executor._directory.list_records():
        other.draining = other.name != name
    for _ in range(successes):
        await bench.finish(bench.start())


async def test_slow_successes_prove_nothing():
    async with executor_test.run_bench() as bench:
        bench.executor._directory.find("s0b0").cold = True
        bench.server("s0b0").latency_s = 0.05
        await warm_up(bench, "s0b0", 20)
        assert bench.record("s0b0")["allowance"] == 1
        bench.server("s0b0").latency_s = 0.01
        await warm_up(bench, "s0b0", 9)
        assert bench.record("s0b0")["allowance"] == 2


async def test_first_server_does_not_prove_itself_while_it_gets_quicker():
    async with executor_test.run_bench(warm=False) as bench:
        bench.server("s0b0").latency_s = 0.04
        await warm_up(bench, "s0b0", 12)
        bench.server("s0b0").latency_s = 0.01
        await warm_up(bench, "s0b0", 12)
        assert bench.record("s0b0")["allowance"] == 1
        await warm_up(bench, "s0b0", 24)
        assert bench.record("s0b0")["allowance"] == 2


async def test_failure_at_a_cold_server_starts_over():
    async with executor_test.run_bench() as bench:
        bench.executor._directory.find("s0b0").cold = True
        await warm_up(bench, "s0b0", 9)
        assert bench.record("s0b0")["allowance"] == 2
        bench.server("s0b0").sheds = True
        await bench.finish(bench.start(budget_s=0.05))
        assert bench.record("s0b0")["allowance"] == 1


async def test_backlog_of_short_deadlines_does_not_keep_a_server_cold():
    async with executor_test.run_bench() as bench:
        bench.executor._directory.find("s0b0").cold = True
        await warm_up(bench, "s0b0", 4)
        bench.server("s0b0").latency_s = 0.02
        bench.server("s0b0").cancel_works = False
        results = await bench.finish(bench.start(budget_s=0.015))
        assert executor_test.outcomes(results) == ["failed"]
        await bench.clock.advance(0.2)
        bench.server("s0b0").latency_s = 0.01
        assert bench.record("s0b0")["proofs"] == 4


async def test_new_incarnation_is_cold_at_once_and_told():
    async with executor_test.run_bench() as bench:
        bench.server("s0b0").restart()
        await warm_up(bench, "s0b0", 1)
        assert bench.record("s0b0")["cold"]
        assert ("cold", "s0b0", b'{"cold": true}') in bench.published
        tasks = [bench.start() for _ in range(3)]
        await bench.clock.advance(0.001)
        assert len(bench.server("s0b0").running) == 1
        await bench.finish(*tasks)


async def test_restart_is_seen_before_anything_is_sent():
    async with executor_test.run_bench() as bench:
        bench.server("s0b0").restart()
        bench.server("s0b0").lost_idle = 1
        tasks = [bench.start() for _ in range(6)]
        await bench.clock.advance(0.001)
        assert executor_test.count_in_flight(bench) == {
            "s0b0": 1,
            "s0b1": 2,
            "s0b2": 2,
        }
        await bench.finish(*tasks)


async def test_restart_of_an_idle_server_shows_in_its_health():
    async with executor_test.run_bench() as bench:
        bench.server("s0b1").restart()
        await bench.clock.advance(1.6)
        assert bench.record("s0b1")["cold"]
        # An old answer of the health endpoint is no further restart.
        turns = bench.executor._directory.find("s0b1").cold_epoch
        bench.server("s0b1").incarnation = "i1"
        await bench.clock.advance(1.6)
        assert bench.executor._directory.find("s0b1").cold_epoch == turns


async def test_latency_jump_turns_a_server_cold():
    async with executor_test.run_bench() as bench:
        bench.server("s0b0").latency_s = 0.1
        await warm_up(bench, "s0b0", 15)
        assert bench.record("s0b0")["cold"]


async def test_crashed_server_is_probed_and_comes_back_cold():
    async with executor_test.run_bench() as bench:
        bench.server("s0b0").die()
        tasks = [bench.start() for _ in range(6)]
        results = await bench.finish(*tasks)
        assert executor_test.outcomes(results) == ["served"] * 6
        probes = []
        read_health = bench.transport.read_health

        async def count_probes(server):
            probes.append(server)
            return await read_health(server)

        bench.transport.read_health = count_probes
        await bench.clock.advance(20.0)
        assert 5 <= probes.count("s0b0") <= 20
        bench.server("s0b0").restart()
        await bench.clock.advance(2.0)
        tasks = [bench.start() for _ in range(6)]
        await bench.clock.advance(0.001)
        assert executor_test.count_in_flight(bench)["s0b0"] == 1
        await bench.finish(*tasks)
