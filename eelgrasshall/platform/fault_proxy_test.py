"""Tests for the fault-injecting proxy."""

import asyncio
import contextlib

import pytest

from eelgrasshall.gateway import model
from eelgrasshall.platform import fault_proxy

_ADDRESS = model.Address("127.0.0.1", 22900)


@contextlib.asynccontextmanager
async def _run():
    """Runs a proxy in front of an echo server."""

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    target = model.Address("127.0.0.1", server.sockets[0].getsockname()[1])
    proxy = fault_proxy.FaultProxy(target=target)
    await proxy.start(_ADDRESS)
    try:
        yield proxy
    finally:
        proxy.stop()
        server.close()


async def _exchange(connection, data: bytes) -> bytes:
    """Sends bytes and returns what is received within 0.1 s, or nothing."""
    reader, writer = connection
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(100), 0.1)
    except TimeoutError:
        return b""


async def test_forwards_bytes_and_end_of_stream():
    async with _run():
        reader, writer = await asyncio.open_connection(*_ADDRESS)
        assert await _exchange((reader, writer), b"hello") == b"hello"
        writer.write_eof()
        assert await asyncio.wait_for(reader.read(), 1.0) == b""
        writer.close()


async def test_delay_applies_in_each_direction():
    async with _run() as proxy:
        connection = await asyncio.open_connection(*_ADDRESS)
        proxy.delay_s = 0.03
        start_s = asyncio.get_running_loop().time()
        assert await _exchange(connection, b"hello") == b"hello"
        assert asyncio.get_running_loop().time() - start_s >= 0.06
        connection[1].close()


@pytest.mark.parametrize("direction", list(fault_proxy.Direction))
async def test_restore_forwards_bytes_of_blocked_direction(direction):
    async with _run() as proxy:
        connection = await asyncio.open_connection(*_ADDRESS)
        assert await _exchange(connection, b"one") == b"one"
        proxy.blocked.add(direction)
        assert await _exchange(connection, b"two") == b""
        proxy.restore()
        assert await _exchange(connection, b"") == b"two"
        connection[1].close()


async def test_reset_affects_only_open_connections():
    async with _run() as proxy:
        connection = await asyncio.open_connection(*_ADDRESS)
        assert await _exchange(connection, b"one") == b"one"
        proxy.reset_connections()
        with pytest.raises(ConnectionResetError):
            await connection[0].readexactly(1)
        other = await asyncio.open_connection(*_ADDRESS)
        assert await _exchange(other, b"two") == b"two"
        other[1].close()


async def test_silenced_connections_stay_silenced_and_new_ones_work():
    async with _run() as proxy:
        connection = await asyncio.open_connection(*_ADDRESS)
        assert await _exchange(connection, b"one") == b"one"
        proxy.silence_connections()
        proxy.restore()
        assert await _exchange(connection, b"two") == b""
        other = await asyncio.open_connection(*_ADDRESS)
        assert await _exchange(other, b"three") == b"three"
        connection[1].close()
        other[1].close()
