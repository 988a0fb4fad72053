import asyncio
import contextlib
import os
import socket

import pytest

from measure import latency


@pytest.fixture
async def link():
    """A network with a daemon `b` that echoes what daemon `a` sends."""

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    loop = asyncio.get_running_loop()
    target = await asyncio.start_server(echo, "127.0.0.1", 0)
    target_port = target.sockets[0].getsockname()[1]
    routes = {
        "a": latency.Route("a", "zone-1", 1),
        "b": latency.Route("b", "zone-2", target_port),
    }
    network = latency.NetworkEmulator(routes=routes, delay_s=0.001)
    network.update_pids({"a": os.getpid()})
    server = await loop.create_server(
        lambda: latency._AcceptedPipe(network, routes["b"]), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    yield network, reader, writer
    writer.close()
    server.close()
    target.close()


async def test_forwards_bytes_in_order(link):
    _, reader, writer = link
    for each in range(50):
        writer.write(bytes([each]))
        await asyncio.sleep(0)
    assert await reader.readexactly(50) == bytes(range(50))


async def test_cut_direction_holds_bytes_until_the_cut_is_removed(link):
    network, reader, writer = link
    writer.write(b"x")
    assert await reader.readexactly(1) == b"x"
    network.set_cuts([["b", "a"]])
    writer.write(b"y")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await reader.readexactly(1)
    network.set_cuts([])
    assert await reader.readexactly(1) == b"y"


async def test_silenced_connection_stays_silent(link):
    network, reader, writer = link
    writer.write(b"x")
    assert await reader.readexactly(1) == b"x"
    assert network.silence_connections()
    writer.write(b"y")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await reader.readexactly(1)


def test_distinguishes_connections_that_share_a_local_port():
    """Identifying owners by port alone made a cut miss its direction."""
    owners = latency.SocketOwners()
    owners.pids = {"own": os.getpid()}
    with contextlib.ExitStack() as stack:
        listeners, clients = [], []
        for _ in range(2):
            each = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            listeners.append(each)
        port = 0
        for each in listeners:
            out = stack.enter_context(socket.socket())
            out.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            out.bind(("127.0.0.1", port))
            out.connect(each.getsockname())
            port = out.getsockname()[1]
            clients.append(out)
        found_inodes = [
            latency._find_inode(out.getsockname(), out.getpeername())
            for out in clients
        ]
        inodes = [os.fstat(out.fileno()).st_ino for out in clients]
        assert found_inodes == inodes
        for out in clients:
            name = owners.find_process(out.getsockname(), out.getpeername())
            assert name == "own"


def test_unknown_connection_has_no_inode():
    assert latency._find_inode(("127.0.0.1", 1), ("127.0.0.1", 2)) is None
