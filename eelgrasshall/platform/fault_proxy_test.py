"""Tests for the fault-injecting proxy."""

import asyncio
import contextlib
from typing import NamedTuple

import pytest

from eelgrasshall.gateway import model
from eelgrasshall.platform import fault_proxy


class _Addresses(NamedTuple):
    """The addresses of a proxy.

    Attributes:
      proxy: That of the proxy itself.
      links: Those of its links.
    """

    proxy: model.Address
    links: dict[str, model.Address]


@pytest.fixture
def addresses(first_port) -> _Addresses:
    """Free addresses."""
    proxy, cut, uncut = (
        model.Address("127.0.0.1", first_port + i) for i in range(3)
    )
    return _Addresses(proxy, {"cut": cut, "uncut": uncut})


@contextlib.asynccontextmanager
async def _run(addresses, *, links=None):
    """Runs a proxy in front of an echo server."""

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    target = model.Address("127.0.0.1", server.sockets[0].getsockname()[1])
    proxy = fault_proxy.FaultProxy(target=target)
    await proxy.start(addresses.proxy, links=links)
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


async def test_forwards_bytes_and_end_of_stream(addresses):
    async with _run(addresses):
        reader, writer = await asyncio.open_connection(*addresses.proxy)
        assert await _exchange((reader, writer), b"hello") == b"hello"
        writer.write_eof()
        assert await asyncio.wait_for(reader.read(), 1.0) == b""
        writer.close()


async def test_delay_applies_in_each_direction(addresses):
    async with _run(addresses) as proxy:
        connection = await asyncio.open_connection(*addresses.proxy)
        proxy.delay_s = 0.03
        start_s = asyncio.get_running_loop().time()
        assert await _exchange(connection, b"hello") == b"hello"
        assert asyncio.get_running_loop().time() - start_s >= 0.06
        connection[1].close()


@pytest.mark.parametrize("direction", list(fault_proxy.Direction))
async def test_restore_forwards_bytes_of_blocked_direction(
    addresses, direction
):
    async with _run(addresses) as proxy:
        connection = await asyncio.open_connection(*addresses.proxy)
        assert await _exchange(connection, b"one") == b"one"
        proxy.blocked.add(direction)
        assert await _exchange(connection, b"two") == b""
        proxy.restore()
        assert await _exchange(connection, b"") == b"two"
        connection[1].close()


async def test_reset_affects_only_open_connections(addresses):
    async with _run(addresses) as proxy:
        connection = await asyncio.open_connection(*addresses.proxy)
        assert await _exchange(connection, b"one") == b"one"
        proxy.reset_connections()
        with pytest.raises(ConnectionResetError):
            await connection[0].readexactly(1)
        other = await asyncio.open_connection(*addresses.proxy)
        assert await _exchange(other, b"two") == b"two"
        other[1].close()


async def test_silenced_connections_stay_silenced_and_new_ones_work(addresses):
    async with _run(addresses) as proxy:
        connection = await asyncio.open_connection(*addresses.proxy)
        assert await _exchange(connection, b"one") == b"one"
        proxy.silence_connections()
        proxy.restore()
        assert await _exchange(connection, b"two") == b""
        other = await asyncio.open_connection(*addresses.proxy)
        assert await _exchange(other, b"three") == b"three"
        connection[1].close()
        other[1].close()


@contextlib.asynccontextmanager
async def _run_links(addresses):
    """Runs a proxy with two links, each with an open connection."""
    async with _run(addresses, links=addresses.links) as proxy:
        connections = {
            link: await asyncio.open_connection(*address)
            for link, address in addresses.links.items()
        }
        for connection in connections.values():
            assert await _exchange(connection, b"one") == b"one"
        yield proxy, connections
        for _, writer in connections.values():
            writer.close()


async def _check_uncut(addresses, connections) -> None:
    """Checks that the link that was not cut works as before."""
    assert await _exchange(connections["uncut"], b"two") == b"two"
    other = await asyncio.open_connection(*addresses.links["uncut"])
    assert await _exchange(other, b"three") == b"three"
    other[1].close()


async def test_hanging_link_holds_open_connections_and_accepts_none(addresses):
    async with _run_links(addresses) as (proxy, connections):
        for data in (b"two", b"three"):
            proxy.cut("cut", fault_proxy.Cut.HANG)
            assert await _exchange(connections["cut"], data) == b""
            for _ in range(3):
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(
                        asyncio.open_connection(*addresses.links["cut"]), 0.1
                    )
            await _check_uncut(addresses, connections)
            proxy.restore()
            assert await _exchange(connections["cut"], b"") == b""
            proxy.mend("cut")
            assert await _exchange(connections["cut"], b"") == data
            other = await asyncio.open_connection(*addresses.links["cut"])
            assert await _exchange(other, b"four") == b"four"
            other[1].close()


async def test_reset_link_resets_open_connections_and_refuses_new_ones(
    addresses,
):
    async with _run_links(addresses) as (proxy, connections):
        for _ in range(2):
            proxy.cut("cut", fault_proxy.Cut.RESET)
            with pytest.raises(ConnectionResetError):
                await connections["cut"][0].readexactly(1)
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*addresses.links["cut"])
            await _check_uncut(addresses, connections)
            proxy.mend("cut")
            connections["cut"] = await asyncio.open_connection(
                *addresses.links["cut"]
            )
            assert await _exchange(connections["cut"], b"two") == b"two"


async def test_refusing_link_serves_only_open_connections(addresses):
    async with _run_links(addresses) as (proxy, connections):
        for _ in range(2):
            proxy.cut("cut", fault_proxy.Cut.REFUSE_NEW)
            assert await _exchange(connections["cut"], b"two") == b"two"
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*addresses.links["cut"])
            await _check_uncut(addresses, connections)
            proxy.mend("cut")
            other = await asyncio.open_connection(*addresses.links["cut"])
            assert await _exchange(other, b"three") == b"three"
            other[1].close()


@pytest.mark.parametrize("kind", list(fault_proxy.Cut))
async def test_link_stays_cut_when_the_proxy_starts_again(addresses, kind):
    async with _run_links(addresses) as (proxy, connections):
        proxy.cut("cut", kind)
        proxy.stop()
        await proxy.start(addresses.proxy, links=addresses.links)
        with pytest.raises((ConnectionRefusedError, TimeoutError)):
            await asyncio.wait_for(
                asyncio.open_connection(*addresses.links["cut"]), 0.1
            )
        connections["uncut"] = await asyncio.open_connection(
            *addresses.links["uncut"]
        )
        await _check_uncut(addresses, connections)


async def test_sent_data_is_counted_for_each_link(addresses):
    async with _run_links(addresses) as (proxy, connections):
        assert await _exchange(connections["cut"], b"two") == b"two"
        assert proxy.sent_counts == {"cut": 2, "uncut": 1}
