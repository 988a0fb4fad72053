"""Tests of the real program, as processes beside stand-ins."""

import asyncio
import contextlib
import json
import signal

from eelgrasshall.platform import fleet as fleets


@contextlib.asynccontextmanager
async def _run(tmp_path, *, port: int, **sizes: int):
    fleet = fleets.Fleet(folder=tmp_path, port=port, **sizes)
    try:
        await fleet.start()
        for name in fleet.names:
            await fleet.wait_ready(name)
        yield fleet
    finally:
        await fleet.stop()


def _count_runs(fleet, request_id: str) -> int:
    return sum(
        ran == request_id
        for server in fleet.servers.values()
        for ran, _ in server.ran
    )


async def test_requests_are_served_and_explained(tmp_path):
    async with _run(tmp_path, port=21000) as fleet:
        status, headers, body = await fleet.call("host0", "/search/x", "q1")
        assert status == 200
        assert headers["x-parts-missing"] == "0"
        assert len(headers["x-part-seals"].split(", ")) == 3
        assert len(body) == 48
        status, headers, _ = await fleet.call("host1", "/once/x", "q2")
        assert status == 200 and headers["x-server-seal"].endswith(".q2")
        assert _count_runs(fleet, "q2") == 1
        assert (await fleet.call("host0", "/none/", "q3"))[0] == 404
        lines = [
            json.loads(line) for line in fleet.read_log("host0").splitlines()
        ]
        events = {line["event"] for line in lines}
        assert {"started", "configuration", "server", "request"} <= events
        (line,) = [each for each in lines if each.get("id") == "q1"]
        assert line["verdict"] == "answered" and len(line["sent_to"]) == 3


async def test_addresses_and_metrics_are_served(tmp_path):
    async with _run(tmp_path, port=21200) as fleet:
        await asyncio.sleep(0.6)
        ask = b"GET /-/resolve?zone=a HTTP/1.1\r\nConnection: close\r\n\r\n"
        _, _, body = await fleets.fetch(fleet.find_port("host0", 3), ask)
        assert len(json.loads(body)["addrs"]) == 2
        ask = b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n"
        _, _, body = await fleets.fetch(fleet.find_port("host0", 5), ask)
        assert b"eelgrasshall_configuration_version 1" in body


async def test_a_server_that_drains_gets_nothing_more(tmp_path):
    async with _run(tmp_path, port=21400) as fleet:
        leaving = [name for name in fleet.servers if name.endswith("-0")]
        for name in leaving:
            fleet.register(name, state="draining")
        await asyncio.sleep(1.0)
        for server in fleet.servers.values():
            server.ran.clear()
        for number in range(20):
            await fleet.call("host1", "/search/x", f"q{number}")
        assert not any(fleet.servers[name].ran for name in leaving)


async def test_a_planned_stop_cuts_nothing(tmp_path):
    async with _run(tmp_path, port=21600) as fleet:
        for server in fleet.servers.values():
            server.work_s = 0.3
        calls = [
            asyncio.create_task(fleet.call("host0", "/once/x", f"q{number}"))
            for number in range(10)
        ]
        await asyncio.sleep(0.1)
        fleet.signal_host("host0", signal.SIGTERM)
        for status, _, _ in await asyncio.gather(*calls):
            assert status == 200
        assert not await fleet.is_ready("host0")
        process = fleet.processes["host0"]
        assert await asyncio.wait_for(process.wait(), 6) == 0


async def test_a_host_restarts_without_the_store(tmp_path):
    async with _run(tmp_path, port=21800) as fleet:
        fleet.store.down = True
        fleet.signal_host("host0", signal.SIGKILL)
        await fleet.processes["host0"].wait()
        await fleet.start_host("host0")
        await fleet.wait_ready("host0")
        assert (await fleet.call("host0", "/search/x", "q1"))[0] == 200


async def test_a_change_is_in_force_soon_after_the_store_swallowed_calls(
    tmp_path,
):
    async with _run(tmp_path, port=22000) as fleet:
        fleet.store.swallowing = True
        await asyncio.sleep(2.5)
        fleet.store.swallowing = False
        fleet.configure(pathPrefix="/moved/")
        await asyncio.sleep(3.0)
        for name in fleet.names:
            assert (await fleet.call(name, "/moved/x", "q1"))[0] == 200
            assert (await fleet.call(name, "/search/x", "q2"))[0] == 404


async def test_settings_that_cannot_be_used_end_the_start(tmp_path):
    fleet = fleets.Fleet(folder=tmp_path, port=22200, hosts=1)
    fleet._make_settings = lambda name: "nodeName = 5"
    await fleet.start_host("host0")
    assert await fleet.processes["host0"].wait() == 2
    assert "host0.toml" in fleet.read_log("host0")


async def test_a_fleet_ends_also_the_hosts_whose_start_was_cancelled(tmp_path):
    fleet = fleets.Fleet(folder=tmp_path, port=22400, hosts=1)
    task = asyncio.create_task(fleet.start_host("host0"))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait((task,))
    await asyncio.sleep(0.3)
    await fleet.stop()
    assert fleet.processes["host0"].returncode is not None
