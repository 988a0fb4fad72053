"""Tests of the operators' console, against a fleet of real processes."""

import asyncio
import json

from cleo.testers import command_tester
import pytest

from eelgrasshall.gateway import model
from eelgrasshall.platform import console
from eelgrasshall.platform import fleet as fleets


async def _run(name: str, address: str) -> tuple[int, str, str]:
    """Runs a command; returns its exit code, output and errors."""
    command = console.make_application().find(name)
    tester = command_tester.CommandTester(command)
    code = await asyncio.to_thread(tester.execute, address)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


@pytest.fixture
async def fleet(tmp_path):
    """A fleet of two hosts that are ready."""
    made = fleets.Fleet(folder=tmp_path, port=22400)
    await made.start()
    for name in made.names:
        await made.wait_ready(name)
    await asyncio.sleep(0.5)
    yield made
    await made.stop()


async def test_the_console_shows_a_fleet_and_what_is_wrong_with_it(fleet):
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
    ports = sorted(fleet.find_port(name) for name in fleet.names)
    assert output.split() == [f"127.0.0.1:{port}" for port in ports]
    process = fleet.processes["host1"]
    process.kill()
    await process.wait()
    code, output, errors = await _run("status", store)
    assert code == console.EXIT_WRONG
    assert "host1: not reachable" in errors


async def test_what_cannot_be_reached_or_read_is_told():
    code, _, errors = await _run("status", "127.0.0.1:9")
    assert code == console.EXIT_UNREACHABLE and errors.startswith("store:")
    code, _, errors = await _run("addresses", "127.0.0.1:9")
    assert code == console.EXIT_UNREACHABLE
    code, _, errors = await _run("print", "nowhere")
    assert code == console.EXIT_WRONG and "HOST:PORT" in errors


def test_a_host_with_another_version_is_a_problem():
    host = model.Host("h1", "a", *[model.Address("1.1.1.1", 1)] * 3, 1.0, 10.0)
    gauges = {"configuration_version": 3.0, "store_reachable": 0.0}
    state = console.FleetState(
        version=4,
        servers={"ready": 1, "draining": 0},
        evacuated=[],
        hosts=[console.HostState(host, gauges, "")],
    )
    problems = console.find_problems(state)
    assert any("version 3 is in force, not 4" in each for each in problems)
    assert any("no host watches the store" in each for each in problems)
