"""Tests that bytes which come before the first read do no harm."""

import asyncio

import capnp
import uvloop

from eelgrasshall.protocol import messages
from eelgrasshall.transport import acceptance
from eelgrasshall.transport import peers

# Long enough for the peer's first call to be there before the first read.
_READ_DELAY_S = 0.05


class _CountingTransport:
    def __init__(self):
        self.pauses = 0

    def pause_reading(self):
        self.pauses += 1


class _Answering:
    """Answers heartbeats."""

    async def answer_gossip(self, message):
        return message._replace(sender="b")


async def _exchange_late():
    """Exchanges a heartbeat with a host that starts to read late."""

    async def serve(stream):
        await asyncio.sleep(_READ_DELAY_S)
        bootstrap = peers._PeerServer(_Answering())
        await capnp.TwoPartyServer(stream, bootstrap=bootstrap).on_disconnect()

    async with capnp.kj_loop():
        server = await acceptance.create_server(serve, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        stream = peers.PeerStream(name="a", address=peers.Address(*address))
        reply = await stream.gossip(messages.Gossip("a", 1, 7))
        stream.close()
        server.close()
        return reply


def test_reading_is_not_paused_from_inside_get_buffer():
    transport = _CountingTransport()
    protocol = acceptance.EarlyDataProtocol()
    protocol.connection_made(transport)
    before = transport.pauses
    assert len(protocol.get_buffer(100)) == 100
    assert transport.pauses == before
    protocol.transport.pause_reading()
    assert transport.pauses == before + 1


def test_call_that_comes_before_the_first_read_is_answered():
    reply = uvloop.run(_exchange_late())
    assert (reply.sender, reply.configuration_version) == ("b", 7)
