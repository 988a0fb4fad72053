"""Tests that planned stops leave no whole request without an answer.

The entry host is a process of the real program.  Callers whose requests take
long or arrive slowly have connections to it while it gets SIGHUP, a new
configuration and SIGTERM twice.
"""

import asyncio
import re
import signal

import pytest

from eelgrasshall.platform import fleet as fleet_module

# Longer than the grace time of the hosts, 6 s.
_LONG_S = 9.0
_PIECES = 5
_PIECE_INTERVAL_S = 0.25


class _Connection:
    """A caller's connection that is kept open.

    Args:
      port: Port of the host.
    """

    def __init__(self, *, port: int):
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, *requests: bytes) -> None:
        """Writes bytes, on a new connection at first."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                "127.0.0.1", self._port
            )
        self._writer.write(b"".join(requests))
        await self._writer.drain()

    async def read_answer(self) -> tuple[int, bool]:
        """Returns a status and whether the host closes the connection.

        The status is 0 if the connection ends before an answer.
        """
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"content-length: (\d+)", head.lower())
            await self._reader.readexactly(int(length[1]))
        except (OSError, EOFError):
            return 0, True
        return int(head.split()[1]), b"connection: close" in head.lower()

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()


def _encode(target: str, *, body: bytes = b"hi") -> bytes:
    """Returns a request, with a body of which the caller waits 20 s."""
    return (
        f"POST {target} HTTP/1.1\r\nHost: orders.example\r\n"
        f"X-Attempt-Id: {target.rpartition('/')[2]}\r\n"
        f"X-Time-Budget: 20000\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def _send_long(connection) -> list[str]:
    """Sends a request that takes longer than the grace time."""
    await connection.send(_encode("/search/long"))
    status, _ = await connection.read_answer()
    return [] if status else ["long"]


async def _send_pair(connection) -> list[str]:
    """Sends two requests at once, of which the second has to wait."""
    await connection.send(_encode("/once/first"), _encode("/single/second"))
    status, closes = await connection.read_answer()
    if not status:
        return ["first of two"]
    # A host that says that it closes refuses what comes behind.
    if closes:
        return []
    status, _ = await connection.read_answer()
    return [] if status else ["second of two"]


async def _send_slowly(connection) -> list[str]:
    """Sends a request whose body arrives in pieces."""
    data = _encode("/single/slow", body=b"piece" * _PIECES)
    await connection.send(data[: -5 * _PIECES])
    for _ in range(_PIECES):
        await asyncio.sleep(_PIECE_INTERVAL_S)
        await connection.send(b"piece")
    status, _ = await connection.read_answer()
    return [] if status else ["slow body"]


async def _send_until_closed(connection) -> list[str]:
    """Sends requests on one connection until the host closes it."""
    for number in range(1000):
        await connection.send(_encode(f"/single/kept{number}"))
        status, closes = await connection.read_answer()
        if not status:
            return [f"request {number} on a kept connection"]
        if closes:
            break
        await asyncio.sleep(0.01)
    return []


_CALLERS = {
    "long": _send_long,
    "pair": _send_pair,
    "slow": _send_slowly,
    "kept": _send_until_closed,
}


async def _run(folder) -> dict[str, list[str]]:
    """Stops a host under each kind of caller.

    Returns:
      For each kind of caller, its requests that got no answer.
    """
    fleet = fleet_module.Fleet(folder=folder, hosts=2)
    connections = {
        name: _Connection(port=fleet.find_port("host0")) for name in _CALLERS
    }
    try:
        await fleet.start()
        for name in fleet.host_names:
            await fleet.wait_ready(name)
        fleet.publish_configuration(
            timeoutMs=20000, goalMs=15000, minShare=1.0, maxAttempts=1
        )
        await asyncio.sleep(1.0)
        for name, server in fleet.servers.items():
            # The shard of single requests answers at once, for them and for
            # the search, which waits for the others.
            if not name.startswith(fleet.shards[-1]):
                server.service_time_s = _LONG_S
        tasks = {
            name: asyncio.create_task(send(connections[name]))
            for name, send in _CALLERS.items()
        }
        await asyncio.sleep(0.2)
        fleet.signal_host("host0", signal.SIGHUP)
        fleet.publish_configuration(goalMs=15000, timeoutMs=20000)
        await asyncio.sleep(0.3)
        fleet.signal_host("host0", signal.SIGTERM)
        await asyncio.sleep(1.0)
        fleet.signal_host("host0", signal.SIGTERM)
        async with asyncio.timeout(15.0):
            return {name: await task for name, task in tasks.items()}
    finally:
        for connection in connections.values():
            connection.close()
        await fleet.stop()


@pytest.fixture(scope="module")
def unanswered(tmp_path_factory) -> dict[str, list[str]]:
    """Returns the requests without answer, by kind of caller."""
    return asyncio.run(_run(tmp_path_factory.mktemp("planned")))


@pytest.mark.parametrize("name", list(_CALLERS))
def test_whole_requests_are_answered_or_refused(unanswered, name):
    assert not unanswered[name]
