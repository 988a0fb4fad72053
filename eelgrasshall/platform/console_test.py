"""Tests for the operators' console, against a fleet of real processes."""

import asyncio
import json

from cleo.testers import command_tester
import pytest

from eelgrasshall.gateway import listener
from eelgrasshall.gateway import model
from eelgrasshall.gateway import watcher
from eelgrasshall.platform import console
from eelgrasshall.platform import fleet as fleet_module


async def _run(name: str, address: str) -> tuple[int, str, str]:
    """Runs a command and returns its exit code, output and errors."""
    command = console.make_application().find(name)
    tester = command_tester.CommandTester(command)
    code = await asyncio.to_thread(tester.execute, address)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


@pytest.fixture
async def fleet(tmp_path):
    """A fleet of two ready hosts."""
    local_fleet = fleet_module.Fleet(folder=tmp_path)
    await local_fleet.start()
    for name in local_fleet.host_names:
        await local_fleet.wait_ready(name)
    await asyncio.sleep(0.5)
    yield local_fleet
    await local_fleet.stop()


async def test_commands_show_fleet_and_its_problems(fleet):
    store = f"127.0.0.1:{fleet.find_port('host0', -1)}"
    code, output, errors = await _run("status", store)
    assert (code, errors) == (0, "")
    assert output.startswith("configuration 1, backend servers 6 ready")
    assert "configuration_version 1, servers 6" in output
    code, output, _ = await _run("print", store)
    assert code == 0 and json.loads(output)["version"] == 1
    code, output, _ = await _run(
        "addresses", f"127.0.0.1:{fleet.find_port('host0', 3)}"
    )
    ports = sorted(fleet.find_port(name) for name in fleet.host_names)
    assert output.split() == [f"127.0.0.1:{port}" for port in ports]
    process = fleet.processes["host1"]
    process.kill()
    await process.wait()
    code, output, errors = await _run("status", store)
    assert code == console.EXIT_PROBLEM
    assert "host1: not reachable" in errors


async def test_status_shows_the_era_of_the_store_and_of_each_host(fleet):
    store = f"127.0.0.1:{fleet.find_port('host0', -1)}"
    _, output, _ = await _run("status", store)
    assert output.count("store era 0") == 3
    # Hosts notice a return that loses nothing when their watches end.
    fleet.store.restore(fleet.store.take_copy())
    await asyncio.sleep(watcher.MAX_WATCH_WAIT_S + 1.0)
    code, output, errors = await _run("status", store)
    assert (code, errors) == (0, "")
    first, *hosts = output.splitlines()
    assert first.endswith("store era 1")
    assert [each.endswith("store era 1") for each in hosts] == [True, True]
    # The store loses a configuration that is in force.
    copy = fleet.store.take_copy()
    fleet.publish_configuration()
    await asyncio.sleep(0.5)
    fleet.store.restore(copy)
    await asyncio.sleep(1.0)
    code, _, errors = await _run("status", store)
    assert code == console.EXIT_PROBLEM
    for name in fleet.host_names:
        assert f"{name}: version 2 is in force, but the store has" in errors


async def test_unreachable_or_invalid_address_is_error():
    code, _, errors = await _run("status", "127.0.0.1:9")
    assert code == console.EXIT_UNREACHABLE and errors.startswith("store:")
    code, _, errors = await _run("addresses", "127.0.0.1:9")
    assert code == console.EXIT_UNREACHABLE
    code, _, errors = await _run("print", "nowhere")
    assert code == console.EXIT_PROBLEM and "HOST:PORT" in errors


def test_stale_configuration_and_lost_store_are_problems():
    host = model.Host("h1", "a", *[model.Address("1.1.1.1", 1)] * 3, 1.0, 10.0)
    gauges = {"configuration_version": 3.0, "store_reachable": 0.0}
    state = console.FleetState(
        version=4,
        era=0,
        servers={"ready": 1, "draining": 0},
        evacuated=[],
        hosts=[console.HostState(host, gauges, 0, "")],
    )
    problems = console.find_problems(state)
    assert any("version 3 is in force, not 4" in each for each in problems)
    assert any("no host watches the store" in each for each in problems)


def test_host_that_has_not_noticed_a_return_of_the_store_is_a_problem():
    gauges = {"configuration_version": 4.0, "store_reachable": 1.0}
    hosts = [
        model.Host(name, "a", *[model.Address("1.1.1.1", 1)] * 3, 1.0, 10.0)
        for name in ("behind", "present", "ahead", "unknown")
    ]
    state = console.FleetState(
        version=4,
        era=2,
        servers={"ready": 1, "draining": 0},
        evacuated=[],
        hosts=[
            console.HostState(host, gauges, era, "")
            # The store may return while the hosts are asked.
            for host, era in zip(hosts, (1, 2, 3, None), strict=True)
        ],
    )
    (problem,) = console.find_problems(state)
    assert problem.startswith("behind: store era 1, not 2")
    lines = console.format_fleet(state)
    assert lines[0].endswith("store era 2")
    assert [line.rpartition(" ")[2] for line in lines[1:]] == [
        "1",
        "2",
        "3",
        "unknown",
    ]


@pytest.mark.parametrize(
    "belief", [b'{"c": {"revision": 5, "news": []}}', b"[]", b"no JSON", None]
)
async def test_host_of_an_earlier_version_has_no_known_era(belief, first_port):
    async def answer(request):
        if request.path == "/metrics":
            body = b"eelgrasshall_configuration_version 4\n"
            return listener.Response(200, [], body)
        if belief is None:
            return listener.Response(404, [], b"")
        return listener.Response(200, [], belief)

    server = listener.Listener(handler=answer, get_limits=model.CallerLimits)
    address = model.Address("127.0.0.1", first_port)
    await server.start(address)
    try:
        host = model.Host("h1", "a", *[address] * 3, 1.0, 10.0)
        state = await console.fetch_host_state(host)
    finally:
        server.stop()
    assert state.reason == "" and state.gauges["configuration_version"] == 4
    assert state.era is None
