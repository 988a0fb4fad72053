"""Tests of the reservation of ports."""

import asyncio
from collections.abc import Iterator
import socket
import subprocess
import sys
from typing import NamedTuple

import pytest

from eelgrasshall.fakes import ports

_RESERVE_ALL = """
import pathlib
import sys
from eelgrasshall.fakes import ports
ports._locks = ports._Locks(path=pathlib.Path({path!r}))
ports._find_bounds = lambda: ({low}, {high})
held = []
try:
    while True:
        held.append(ports.PortRange(count={count}))
except ports.NoFreePorts:
    print(*(each.first for each in held), flush=True)
sys.stdin.read()
"""


class _Bounds(NamedTuple):
    """The ports that may be reserved in a test.

    Attributes:
      low: The first one.
      high: The last one.
      path: The file with the locks.
    """

    low: int
    high: int
    path: str


@pytest.fixture
def bounds(monkeypatch, tmp_path) -> Iterator[_Bounds]:
    """Bounds of 12 ports, which no other test uses, and locks of their own."""
    with ports.PortRange(count=12) as reserved:
        low, high = reserved.first, reserved.first + 11
        path = tmp_path / "locks"
        monkeypatch.setattr(ports, "_locks", ports._Locks(path=path))
        monkeypatch.setattr(ports, "_find_bounds", lambda: (low, high))
        yield _Bounds(low, high, str(path))
        monkeypatch.undo()


def _start_process(bounds: _Bounds, count: int) -> subprocess.Popen:
    """Starts a process that reserves all ranges within bounds."""
    return subprocess.Popen(
        [
            sys.executable,
            "-c",
            _RESERVE_ALL.format(count=count, **bounds._asdict()),
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize("count", [1, 3])
def test_ranges_of_processes_that_choose_at_once_do_not_overlap(bounds, count):
    # Two test processes that probed ports at the same moment took the same.
    processes = [_start_process(bounds, count) for _ in range(3)]
    try:
        firsts = [
            int(word)
            for process in processes
            for word in process.stdout.readline().split()
        ]
    finally:
        for process in processes:
            process.communicate()
    taken = [port for first in firsts for port in range(first, first + count)]
    assert len(taken) == len(set(taken))
    assert set(taken) <= set(range(bounds.low, bounds.high + 1))
    if count == 1:
        assert len(taken) == 12


def test_ranges_of_one_process_do_not_overlap(bounds):
    with ports.PortRange(count=12), pytest.raises(ports.NoFreePorts):
        ports.PortRange(count=1)
    with ports.PortRange(count=12) as again:
        assert again.first == bounds.low


def test_range_of_a_killed_process_is_free_again(bounds):
    process = _start_process(bounds, 12)
    assert process.stdout.readline().split() == [str(bounds.low)]
    with pytest.raises(ports.NoFreePorts):
        ports.PortRange(count=12)
    process.kill()
    process.communicate()
    with ports.PortRange(count=12) as reserved:
        assert reserved.first == bounds.low


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_ports_that_another_program_has_bound_are_passed_over(bounds, kind):
    with socket.socket(socket.AF_INET, kind) as bound:
        bound.bind(("127.0.0.1", bounds.low + 5))
        if kind is socket.SOCK_STREAM:
            bound.listen()
        with pytest.raises(ports.NoFreePorts):
            ports.PortRange(count=7)
        with ports.PortRange(count=1) as single:
            assert single.first != bounds.low + 5


async def test_ports_of_a_server_are_free_again_once_it_is_closed(bounds):
    # The side that closes first keeps a trace of the connection for a minute,
    # with the port: no neighbouring ports were found beside busy tests.
    async def end(reader, writer):
        writer.close()

    server = await asyncio.start_server(end, "127.0.0.1", bounds.low)
    reader, writer = await asyncio.open_connection("127.0.0.1", bounds.low)
    assert await reader.read() == b""
    with pytest.raises(ports.NoFreePorts):
        ports.PortRange(count=12)
    writer.close()
    server.close()
    await server.wait_closed()
    with ports.PortRange(count=12) as reserved:
        assert reserved.first == bounds.low


def test_second_release_does_not_end_a_later_reservation(bounds):
    first = ports.PortRange(count=12)
    first.release()
    with ports.PortRange(count=12):
        first.release()
        with pytest.raises(ports.NoFreePorts):
            ports.PortRange(count=1)


@pytest.mark.parametrize(
    ("outgoing", "expected"),
    [
        ("32768\t60999\n", (10000, 17999)),
        ("1024\t45000\n", (45001, 65535)),
        ("15000\t61000\n", (10000, 14999)),
    ],
)
def test_ports_of_outgoing_connections_are_not_reserved(
    monkeypatch, tmp_path, outgoing, expected
):
    path = tmp_path / "range"
    path.write_text(outgoing, encoding="ascii")
    monkeypatch.setattr(ports, "_OUTGOING_RANGE_FILE", path)
    assert ports._find_bounds() == expected
