"""Tests of the proxy that harms connections."""

import asyncio
import contextlib

import pytest

from eelgrasshall.gateway import model
from eelgrasshall.platform import proxy as proxies

_ADDRESS = model.Address("127.0.0.1", 22900)


@contextlib.asynccontextmanager
async def _run():
    """Runs a proxy before a server that sends back what it reads."""

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    target = model.Address("127.0.0.1", server.sockets[0].getsockname()[1])
    proxy = proxies.Proxy(target=target)
    await proxy.start(_ADDRESS)
    try:
        yield proxy
    finally:
        proxy.stop()
        server.close()


async def _ask(connection, text: bytes) -> bytes:
    """Sends text and returns what comes back, empty if nothing does."""
    reader, writer = connection
    writer.write(text)
    try:
        return await asyncio.wait_for(reader.read(100), 0.1)
    except TimeoutError:
        return b""


async def test_bytes_pass_both_ways_and_so_does_the_end():
    async with _run():
        reader, writer = await asyncio.open_connection(*_ADDRESS)
        assert await _ask((reader, writer), b"hello") == b"hello"
        writer.write_eof()
        assert await asyncio.wait_for(reader.read(), 1.0) == b""
        writer.close()


async def test_a_delay_holds_bytes_back_each_way():
    async with _run() as proxy:
        connection = await asyncio.open_connection(*_ADDRESS)
        proxy.delay_s = 0.03
        before_s = asyncio.get_running_loop().time()
        assert await _ask(connection, b"hello") == b"hello"
        assert asyncio.get_running_loop().time() - before_s >= 0.06
        connection[1].close()


@pytest.mark.parametrize("direction", list(proxies.Direction))
async def test_what_a_cut_holds_back_passes_once_it_is_healed(direction):
    async with _run() as proxy:
        connection = await asyncio.open_connection(*_ADDRESS)
        assert await _ask(connection, b"one") == b"one"
        proxy.cut.add(direction)
        assert await _ask(connection, b"two") == b""
        proxy.restore()
        assert await _ask(connection, b"") == b"two"
        connection[1].close()


async def test_open_connections_are_reset_and_new_ones_work():
    async with _run() as proxy:
        connection = await asyncio.open_connection(*_ADDRESS)
        assert await _ask(connection, b"one") == b"one"
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            await connection[0].readexactly(1)
        other = await asyncio.open_connection(*_ADDRESS)
        assert await _ask(other, b"two") == b"two"
        other[1].close()


async def test_silenced_connections_stay_so_and_new_ones_work():
    async with _run() as proxy:
        connection = await asyncio.open_connection(*_ADDRESS)
        assert await _ask(connection, b"one") == b"one"
        proxy.silence()
        proxy.restore()
        assert await _ask(connection, b"two") == b""
        other = await asyncio.open_connection(*_ADDRESS)
        assert await _ask(other, b"three") == b"three"
        connection[1].close()
        other[1].close()
