"""Tests of the executor of an owner host against faulty backend servers.

The servers are fakes reached over the loopback interface.
"""

import asyncio
import contextlib
import random

import pytest

from eelgrasshall import clock as clocks
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import executor as executors
from eelgrasshall.coordination import executor_test
from eelgrasshall.fakes import backend as fakes
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configurations
from eelgrasshall.transport import backends

SERVICE_TIME = fakes.ServiceTime(median_s=0.002, sigma=0.2, straggler_share=0.0)


@contextlib.asynccontextmanager
async def run_owner(**options):
    """Runs the executor of one service with three fake backend servers."""
    servers = [
        fakes.FakeBackendServer(
            name=f"b{n}",
            slots=4,
            connections=8,
            service_time=SERVICE_TIME,
            random_source=random.Random(n),
            restart_s=0.05,
            **options,
        )
        for n in range(3)
    ]
    for server in servers:
        await server.start()
    declared = tuple(
        configurations.BackendServer(
            s.name, "z", "127.0.0.1", s.port, s.slots, s.connections
        )
        for s in servers
    )
    service = configurations.Service("s0", declared)
    zone = configurations.Zone("z", "r")
    configuration = configurations.Configuration(
        1, "c", (zone,), (service,), ()
    )
    clock = clocks.Clock()
    invariants = invariants_module.InvariantChecker(raising=True)
    transport = backends.BackendTransport(clock=clock, invariants=invariants)
    executor = executors.ServiceExecutor(
        clock=clock,
        random=random.Random(1),
        invariants=invariants,
        backends=transport,
        publish=lambda *fact: None,
        policy=executors.Policy(),
    )
    owned = frozenset({"s0"})
    executor.apply_configuration(configuration, owned, handed_over=owned)
    try:
        yield servers, executor
    finally:
        await executor.close()
        await transport.close()
        for server in servers:
            await server.stop()


def send_request(executor, number, body=b"{}", **changes):
    request = messages.SubRequest(
        sub_id=f"r{number}",
        query_id="q",
        kind="orders",
        service="s0",
        body=body,
        snapshot=None,
        budget_s=20.0,
        age_s=0.0,
        repeatable=True,
        fingerprint=str(body),
    )
    return executor.execute(request._replace(**changes))


async def send_requests(executor, first, count):
    return await asyncio.gather(
        *(send_request(executor, first + n) for n in range(count))
    )


@pytest.mark.alone
async def test_cold_servers_warm_up_under_burst_without_crashes_or_sheds():
    async with run_owner(cold=True, cold_capacity=1, warm_step=8) as (
        servers,
        executor,
    ):
        results = await send_requests(executor, 0, 900)
        assert set(executor_test.list_outcomes(results)) == {"served"}
        assert [s.counts["falls"] for s in servers] == [0, 0, 0]
        assert [s.counts["sheds"] for s in servers] == [0, 0, 0]
        assert any(not server.cold for server in servers)


async def test_no_request_fails_when_all_open_connections_stop_responding():
    async with run_owner() as (servers, executor):
        await send_requests(executor, 0, 30)
        for server in servers:
            server.silence_connections()
        results = await send_requests(executor, 100, 12)
        assert set(executor_test.list_outcomes(results)) == {"served"}


async def test_response_with_other_attempt_id_is_discarded_and_retried():
    async with run_owner() as (servers, executor):
        for server in servers:
            server.crossed_echoes = 1
        results = await send_requests(executor, 0, 12)
        assert set(executor_test.list_outcomes(results)) == {"served"}
        pending = send_request(executor, 99, repeatable=False)
        servers[0].crossed_echoes = servers[1].crossed_echoes = 1
        servers[2].crossed_echoes = 1
        result = await pending
        assert result.outcome is messages.SubOutcome.FAILED


async def test_request_that_crashes_its_server_crashes_only_two():
    async with run_owner(poison="poison") as (servers, executor):
        await send_requests(executor, 0, 12)
        for number in range(5):
            await send_request(executor, 100 + number, body=b'"poison"')
        assert sum(s.counts["crashes"] for s in servers) == 2
        results = await send_requests(executor, 200, 12)
        assert set(executor_test.list_outcomes(results)) == {"served"}
