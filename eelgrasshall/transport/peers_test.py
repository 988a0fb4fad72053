"""Tests of peer streams over the loopback interface."""

import asyncio

import pytest
import uvloop

from eelgrasshall.protocol import messages
from eelgrasshall.protocol import peers as codec
from eelgrasshall.transport import frames
from eelgrasshall.transport import peers

LOCAL = peers.Address("127.0.0.1", 0)


class RecordingHandler:
    """Records the messages that it accepts."""

    def __init__(self):
        self.requests = []
        self.results = []
        self.cancels = []

    def accept_requests(self, sender, batch):
        self.requests += [(sender, each) for each in batch]

    def accept_results(self, sender, batch):
        self.results += batch
        del sender

    def accept_cancels(self, sender, sub_ids):
        self.cancels += sub_ids
        del sender

    async def answer_gossip(self, message):
        await asyncio.sleep(0)
        return message._replace(sender="b")

    def get_newer_configuration(self, known_version):
        return (known_version + 1, b"body") if known_version < 5 else (0, b"")

    async def run_ticket(self, sender, request):
        return 200, sender.encode() + request


class Pair:
    """A listener and a stream connected to it."""

    async def __aenter__(self):
        self.handler = RecordingHandler()
        self.listener = peers.PeerListener(handler=self.handler)
        port = await self.listener.start(LOCAL)
        address = peers.Address("127.0.0.1", port)
        self.stream = peers.PeerStream(name="a", address=address)
        return self

    async def __aexit__(self, *_):
        self.stream.close()
        await self.listener.stop()


def make_request(sub_id: str) -> messages.SubRequest:
    return messages.SubRequest(
        sub_id,
        "q1",
        "orders",
        "svc",
        b"{}",
        messages.Snapshot(1, 7),
        0.5,
        0.25,
        True,
        "f",
    )


RESULT = messages.SubResult(
    "s1",
    "svc",
    messages.SubOutcome.SERVED,
    b"[1]",
    messages.Snapshot(1, 7),
    messages.KeyRange(0, 9),
    "b1",
    True,
    (messages.Snapshot(1, 7), messages.Snapshot(1, 6)),
    0.125,
    2,
    1,
)


async def test_calls_are_delivered_and_answered():
    async with Pair() as pair:
        failures = []
        pair.stream.send_request(make_request("s1"), failures.append)
        pair.stream.send_result(RESULT)
        pair.stream.send_cancel("s2")
        gossip = messages.Gossip(
            "a", 3, 4, (messages.GossipFact("t", "k", 9, b"x"),), "c", True
        )
        reply = await pair.stream.gossip(gossip)
        assert reply == gossip._replace(sender="b")
        assert await pair.stream.fetch_configuration(4) == (5, b"body")
        assert await pair.stream.fetch_configuration(5) == (0, b"")
        assert await pair.stream.run_ticket(b"x", 1.0) == (200, b"ax")
        assert pair.handler.requests == [("a", make_request("s1"))]
        assert pair.handler.results == [RESULT]
        assert pair.handler.cancels == ["s2"]
        assert failures == []


def test_concurrent_calls_under_uvloop():
    # RPC streams of the Cap'n Proto library crashed the process in this test.
    async def run() -> int:
        async with Pair() as pair:
            message = messages.Gossip("a", 1, 2)
            calls = [pair.stream.gossip(message) for _ in range(400)]
            return len(await asyncio.gather(*calls))

    assert uvloop.run(run()) == 400


async def test_connection_to_an_unresponsive_peer_is_replaced():
    accepted = []

    async def ignore_input(reader, writer):
        accepted.append(writer)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(ignore_input, "127.0.0.1", 0)
    address = peers.Address(*server.sockets[0].getsockname())
    stream = peers.PeerStream(name="a", address=address)
    failures = []
    stream.send_request(make_request("s1"), failures.append)
    with pytest.raises(peers.PeerError) as raised:
        await stream.gossip(messages.Gossip("a", 1, 2))
    assert not isinstance(raised.value, peers.PeerNotReachedError)
    assert len(failures) == 1
    # The next call opens a new connection.
    with pytest.raises(peers.PeerError):
        await stream.gossip(messages.Gossip("a", 1, 2))
    assert len(accepted) == 2
    stream.close()
    server.close()
    for writer in accepted:
        writer.close()


async def test_slow_reply_does_not_close_a_connection_with_other_replies():
    async with Pair() as pair:
        release = asyncio.Event()

        async def answer_gossip(message):
            if message.probe:
                await release.wait()
            return message

        async def run_ticket(sender, request):
            del sender, request
            await release.wait()
            return 200, b"late"

        pair.handler.answer_gossip = answer_gossip
        pair.handler.run_ticket = run_ticket
        ticket = asyncio.create_task(pair.stream.run_ticket(b"", 10.0))
        slow = asyncio.create_task(
            pair.stream.gossip(messages.Gossip("a", 1, 0, probe="c"))
        )
        await asyncio.sleep(0)
        await pair.stream.gossip(messages.Gossip("a", 1, 0))
        with pytest.raises(peers.PeerError):
            await slow
        release.set()
        assert await ticket == (200, b"late")


async def test_call_without_a_listener_is_reported_as_not_reached():
    async with Pair() as pair:
        address = pair.stream.address
    stream = peers.PeerStream(name="a", address=address)
    failure = asyncio.get_running_loop().create_future()
    stream.send_request(make_request("s1"), failure.set_result)
    with pytest.raises(peers.PeerNotReachedError):
        await stream.run_ticket(b"x", 1.0)
    assert isinstance(await failure, peers.PeerNotReachedError)


async def test_closed_stream_reopens_on_the_next_call():
    async with Pair() as pair:
        call = asyncio.create_task(
            pair.stream.gossip(messages.Gossip("a", 1, 2))
        )
        await asyncio.sleep(0)
        await pair.stream.gossip(messages.Gossip("a", 1, 2))
        pair.stream.close()
        assert (await call).sender == "b"
        assert (await pair.stream.gossip(messages.Gossip("a", 1, 2))).sender


async def test_malformed_frame_closes_the_stream_but_not_the_listener():
    async with Pair() as pair:
        reader, writer = await asyncio.open_connection(*pair.stream.address)
        frames.write(writer, b"\xff" * 64)
        assert await reader.read() == b""
        writer.close()
        reader, writer = await asyncio.open_connection(*pair.stream.address)
        writer.write(b"\xff" * 8)
        assert await reader.read() == b""
        writer.close()
        reply = codec.encode_frame(1, codec.Acknowledgement())
        reader, writer = await asyncio.open_connection(*pair.stream.address)
        frames.write(writer, reply)
        assert await reader.read() == b""
        writer.close()
        assert await pair.stream.fetch_configuration(4) == (5, b"body")
