"""Tests for the entry host program, run as processes against fakes."""

import asyncio
import contextlib
import json
import signal
import time

from eelgrasshall.gateway import object_cache
from eelgrasshall.platform import fleet as fleet_module
from eelgrasshall.platform import wire_names


@contextlib.asynccontextmanager
async def _run(tmp_path, **fleet_sizes: int):
    fleet = fleet_module.Fleet(folder=tmp_path, **fleet_sizes)
    try:
        await fleet.start()
        for name in fleet.host_names:
            await fleet.wait_ready(name)
        yield fleet
    finally:
        await fleet.stop()


def _count_executions(fleet, request_id: str) -> int:
    return sum(
        executed_id == request_id
        for server in fleet.servers.values()
        for executed_id, _ in server.executed
    )


async def test_serves_requests_and_logs_them(tmp_path):
    async with _run(tmp_path) as fleet:
        status, headers, body = await fleet.send_request(
            "host0", "/search/x", "q1"
        )
        assert status == 200
        assert headers["x-parts-missing"] == "0"
        assert len(headers["x-part-seals"].split(", ")) == 3
        assert len(body) == 48
        status, headers, _ = await fleet.send_request("host1", "/once/x", "q2")
        assert status == 200 and headers["x-server-seal"].endswith(".q2")
        assert _count_executions(fleet, "q2") == 1
        assert (await fleet.send_request("host0", "/none/", "q3"))[0] == 404
        lines = [
            json.loads(line) for line in fleet.read_log("host0").splitlines()
        ]
        events = {line["event"] for line in lines}
        assert {"started", "configuration", "server", "request"} <= events
        (line,) = [each for each in lines if each.get("id") == "q1"]
        assert line["verdict"] == "answered" and len(line["sent_to"]) == 3


async def test_serves_addresses_and_metrics(tmp_path):
    async with _run(tmp_path) as fleet:
        await asyncio.sleep(0.6)
        request = b"GET /-/resolve?zone=a HTTP/1.1\r\nConnection: close\r\n\r\n"
        _, _, body = await fleet_module.fetch(
            fleet.find_port("host0", 3), request
        )
        assert len(json.loads(body)["addrs"]) == 2
        request = b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n"
        _, _, body = await fleet_module.fetch(
            fleet.find_port("host0", 5), request
        )
        assert b"eelgrasshall_configuration_version 1" in body


async def test_draining_server_receives_no_requests(tmp_path):
    async with _run(tmp_path) as fleet:
        draining = [name for name in fleet.servers if name.endswith("-0")]
        for name in draining:
            fleet.register_server(name, state="draining")
        await asyncio.sleep(1.0)
        for server in fleet.servers.values():
            server.executed.clear()
        for number in range(20):
            await fleet.send_request("host1", "/search/x", f"q{number}")
        assert not any(fleet.servers[name].executed for name in draining)


async def test_graceful_shutdown_completes_requests_in_flight(tmp_path):
    async with _run(tmp_path) as fleet:
        for server in fleet.servers.values():
            server.service_time_s = 0.3
        calls = [
            asyncio.create_task(
                fleet.send_request("host0", "/once/x", f"q{number}")
            )
            for number in range(10)
        ]
        await asyncio.sleep(0.1)
        fleet.signal_host("host0", signal.SIGTERM)
        for status, _, _ in await asyncio.gather(*calls):
            assert status == 200
        assert not await fleet.is_ready("host0")
        process = fleet.processes["host0"]
        assert await asyncio.wait_for(process.wait(), 6) == 0


async def test_requests_that_outlast_the_grace_time_are_answered(tmp_path):
    # Their connections were closed without an answer when the process ended.
    async with _run(tmp_path, hosts=1) as fleet:
        fleet.publish_configuration(timeoutMs=20000)
        await asyncio.sleep(1.0)
        for server in fleet.servers.values():
            server.service_time_s = 30.0
        calls = [
            asyncio.create_task(
                fleet.send_request(
                    "host0", "/search/x", f"q{number}", budget_ms=20000
                )
            )
            for number in range(5)
        ]
        await asyncio.sleep(0.3)
        fleet.signal_host("host0", signal.SIGTERM)
        await asyncio.sleep(2.0)
        calls.append(
            asyncio.create_task(
                fleet.send_request(
                    "host0", "/search/x", "late", budget_ms=20000
                )
            )
        )
        for status, _, _ in await asyncio.gather(*calls):
            assert status == 504
        process = fleet.processes["host0"]
        assert await asyncio.wait_for(process.wait(), 2) == 0


async def test_host_restarts_while_store_is_unavailable(tmp_path):
    async with _run(tmp_path) as fleet:
        fleet.store.down = True
        fleet.signal_host("host0", signal.SIGKILL)
        await fleet.processes["host0"].wait()
        await fleet.start_host("host0")
        await fleet.wait_ready("host0")
        assert (await fleet.send_request("host0", "/search/x", "q1"))[0] == 200


async def test_configuration_is_in_force_in_time_after_unresponsive_store(
    tmp_path,
):
    async with _run(tmp_path) as fleet:
        fleet.store.swallowing = True
        await asyncio.sleep(2.5)
        fleet.store.swallowing = False
        fleet.publish_configuration(pathPrefix="/moved/")
        await asyncio.sleep(3.0)
        for name in fleet.host_names:
            assert (await fleet.send_request(name, "/moved/x", "q1"))[0] == 200
            assert (await fleet.send_request(name, "/search/x", "q2"))[0] == 404


async def test_invalid_settings_end_process_with_exit_code_2(tmp_path):
    fleet = fleet_module.Fleet(folder=tmp_path, hosts=1)
    fleet._make_settings = lambda name: "nodeName = 5"
    await fleet.start_host("host0")
    assert await fleet.processes["host0"].wait() == 2
    await fleet.stop()
    assert "host0.toml" in fleet.read_log("host0")


async def test_fleet_stops_hosts_whose_start_was_cancelled(tmp_path):
    fleet = fleet_module.Fleet(folder=tmp_path, hosts=1)
    task = asyncio.create_task(fleet.start_host("host0"))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait((task,))
    await asyncio.sleep(0.3)
    await fleet.stop()
    assert fleet.processes["host0"].returncode is not None


async def test_store_that_comes_back_older_takes_nothing_from_callers(tmp_path):
    async with _run(tmp_path) as fleet:
        fleet.store.era = 1
        copy = fleet.store.take_copy()
        # As if it were older than the hosts' own objects.
        kind = wire_names.OBJECT_KINDS[object_cache.Collection.HOSTS]
        del copy.objects[kind]
        # Lost by the store: a version, and a server that has drained.
        fleet.publish_configuration(pathPrefix="/moved/")
        fleet.register_server("shard0-0", state="draining")
        fleet.servers["shard0-0"].leaving = True
        await asyncio.sleep(1.0)
        fleet.store.restore(copy)
        await asyncio.sleep(0.5)
        for server in fleet.servers.values():
            server.executed.clear()
        for number in range(40):
            for name in fleet.host_names:
                status, _, _ = await fleet.send_request(
                    name, "/moved/x", f"{name}-{number}"
                )
                assert status == 200
            await asyncio.sleep(0.1)
        assert not fleet.servers["shard0-0"].executed
        # Hosts have written their own objects again, and changes arrive.
        assert fleet.store.list_names(kind) == fleet.host_names
        fleet.version += 1
        fleet.publish_configuration(pathPrefix="/again/")
        await asyncio.sleep(1.0)
        for name in fleet.host_names:
            assert (await fleet.send_request(name, "/again/x", "q"))[0] == 200
            assert "store_era_changed" in fleet.read_log(name)


async def test_server_that_says_that_it_leaves_gets_no_requests(tmp_path):
    async with _run(tmp_path) as fleet:
        fleet.servers["shard0-0"].leaving = True
        for number in range(30):
            for name in fleet.host_names:
                await fleet.send_request(name, "/search/x", f"{name}-{number}")
        executed = [
            executed_id for executed_id, _ in fleet.servers["shard0-0"].executed
        ]
        assert len(executed) <= len(fleet.host_names)


async def test_server_that_asks_for_a_pause_is_spared(tmp_path):
    async with _run(tmp_path) as fleet:
        server = fleet.servers["shard0-0"]
        server.paused_until_s = time.monotonic() + 1.5
        for number in range(60):
            status, headers, _ = await fleet.send_request(
                "host0", "/search/x", f"q{number}"
            )
            assert status == 200 and headers["x-parts-missing"] == "0"
        assert server.paused_count <= 2
        await asyncio.sleep(1.5)
        for number in range(60):
            await fleet.send_request("host0", "/search/x", f"r{number}")
        assert server.executed
