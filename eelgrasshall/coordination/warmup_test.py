"""Tests of cold start: servers get no load beyond their allowance."""

from eelgrasshall.coordination import executor_test


async def test_allowance_of_cold_server_grows_with_successes():
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


async def serve_requests(bench, name, successes):
    """Sends a number of requests to one server, one at a time."""
    for other in bench.executor._directory.list_records():
        other.draining = other.name != name
    for _ in range(successes):
        await bench.finish(bench.start())


async def test_slow_successes_do_not_raise_the_allowance():
    async with executor_test.run_bench() as bench:
        bench.executor._directory.find("s0b0").cold = True
        bench.server("s0b0").latency_s = 0.05
        await serve_requests(bench, "s0b0", 20)
        assert bench.record("s0b0")["allowance"] == 1
        bench.server("s0b0").latency_s = 0.01
        await serve_requests(bench, "s0b0", 9)
        assert bench.record("s0b0")["allowance"] == 2


async def test_falling_latency_without_baseline_does_not_raise_the_allowance():
    async with executor_test.run_bench(warm=False) as bench:
        bench.server("s0b0").latency_s = 0.04
        await serve_requests(bench, "s0b0", 12)
        bench.server("s0b0").latency_s = 0.01
        await serve_requests(bench, "s0b0", 12)
        assert bench.record("s0b0")["allowance"] == 1
        await serve_requests(bench, "s0b0", 24)
        assert bench.record("s0b0")["allowance"] == 2


async def test_failure_resets_the_allowance():
    async with executor_test.run_bench() as bench:
        bench.executor._directory.find("s0b0").cold = True
        await serve_requests(bench, "s0b0", 9)
        assert bench.record("s0b0")["allowance"] == 2
        bench.server("s0b0").sheds = True
        await bench.finish(bench.start(budget_s=0.05))
        assert bench.record("s0b0")["allowance"] == 1


async def test_short_deadlines_do_not_reset_the_successes():
    async with executor_test.run_bench() as bench:
        bench.executor._directory.find("s0b0").cold = True
        await serve_requests(bench, "s0b0", 4)
        bench.server("s0b0").latency_s = 0.02
        bench.server("s0b0").cancel_works = False
        results = await bench.finish(bench.start(budget_s=0.015))
        assert executor_test.list_outcomes(results) == ["failed"]
        await bench.clock.advance(0.2)
        bench.server("s0b0").latency_s = 0.01
        assert bench.record("s0b0")["proofs"] == 4


async def test_new_incarnation_is_cold_and_published():
    async with executor_test.run_bench() as bench:
        bench.server("s0b0").restart()
        await serve_requests(bench, "s0b0", 1)
        assert bench.record("s0b0")["cold"]
        assert ("cold", "s0b0", b'{"cold": true}') in bench.published
        tasks = [bench.start() for _ in range(3)]
        await bench.clock.advance(0.001)
        assert len(bench.server("s0b0").running) == 1
        await bench.finish(*tasks)


async def test_lost_idle_connection_marks_server_cold_before_sending():
    async with executor_test.run_bench() as bench:
        bench.server("s0b0").restart()
        bench.server("s0b0").closed_idle_count = 1
        tasks = [bench.start() for _ in range(6)]
        await bench.clock.advance(0.001)
        assert executor_test.count_in_flight(bench) == {
            "s0b0": 1,
            "s0b1": 2,
            "s0b2": 2,
        }
        await bench.finish(*tasks)


async def test_health_check_detects_restart_of_idle_server():
    async with executor_test.run_bench() as bench:
        bench.server("s0b1").restart()
        await bench.clock.advance(1.6)
        assert bench.record("s0b1")["cold"]
        # A stale answer of the health endpoint is not another restart.
        cold_epoch = bench.executor._directory.find("s0b1").cold_epoch
        bench.server("s0b1").incarnation = "i1"
        await bench.clock.advance(1.6)
        assert bench.executor._directory.find("s0b1").cold_epoch == cold_epoch


async def test_latency_jump_marks_server_cold():
    async with executor_test.run_bench() as bench:
        bench.server("s0b0").latency_s = 0.1
        await serve_requests(bench, "s0b0", 15)
        assert bench.record("s0b0")["cold"]


async def test_crashed_server_is_probed_with_backoff_and_returns_cold():
    async with executor_test.run_bench() as bench:
        bench.server("s0b0").crash()
        tasks = [bench.start() for _ in range(6)]
        results = await bench.finish(*tasks)
        assert executor_test.list_outcomes(results) == ["served"] * 6
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
