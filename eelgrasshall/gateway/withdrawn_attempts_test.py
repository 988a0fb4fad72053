"""Tests of hedges, retries and attempts whose owner has left.

All attempts of a caller's try bear its id, so that a late response to one of
them would pass for the response to another one on the same connection.  And an
attempt whose outcome is no longer needed keeps its connection, which carries
the next request after it.
"""

import asyncio
import collections
import contextlib
import zlib

import pytest

from eelgrasshall.gateway import connections
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import load_model
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import simulated_server
from eelgrasshall.gateway import upstream
from eelgrasshall.gateway import virtual_time


@pytest.fixture(name="loop")
def _make_loop():
    loop = virtual_time.VirtualTimeLoop()
    yield loop
    loop.close()


class _Observation:
    """What is sent and received on all connections of a simulation.

    Attributes:
      sent: The ids of the requests on each connection, in order.
      outcomes: The attempts that have ended, with their outcomes.
    """

    def __init__(self, monkeypatch):
        self.sent: dict[connections.Connection, list[bytes]] = (
            collections.defaultdict(list)
        )
        self.outcomes: list[tuple[object, object]] = []
        send = connections.Connection.send
        complete = upstream.Backend.complete_attempt

        def note_sent(connection, attempt, data):
            if attempt.request_id is not None:
                self.sent[connection].append(attempt.request_id)
            send(connection, attempt, data)

        def note_outcome(backend, connection, attempt, outcome):
            self.outcomes.append((attempt, outcome))
            complete(backend, connection, attempt, outcome)

        monkeypatch.setattr(connections.Connection, "send", note_sent)
        monkeypatch.setattr(upstream.Backend, "complete_attempt", note_outcome)

    def count_withdrawn(self) -> int:
        """Returns how many responses came after their owner had left."""
        return sum(
            attempt.owner is None and isinstance(outcome, messages.Reply)
            for attempt, outcome in self.outcomes
        )

    def check_responses(self) -> int:
        """Checks that all successes are those to their requests.

        Returns:
          Their number.
        """
        successes = [
            (attempt.request_id, outcome)
            for attempt, outcome in self.outcomes
            if isinstance(outcome, messages.Reply) and outcome.succeeded
        ]
        for request_id, reply in successes:
            assert reply.seal == b"seal-%s-%x" % (
                request_id,
                zlib.crc32(reply.body),
            )
        return len(successes)


def _simulate(loop, *, seed: int) -> load_model.Simulation:
    """Runs searches on two routes, with pauses and refusals."""
    search = fakes.make_route(
        "search", path_prefix="/search/", shards=("s1", "s2"), max_attempts=3
    )
    small = fakes.make_route(
        "small", path_prefix="/small/", shards=("s1",), max_attempts=3
    )
    simulation = load_model.Simulation(
        loop=loop,
        seed=seed,
        kinds=[
            load_model.Kind(search, 120.0, 0.01, 2.0, 1.0),
            load_model.Kind(small, 60.0, 0.01, 2.0, 1.0),
        ],
        shards=("s1", "s2"),
        pause_s=0.15,
        pause_interval_s=1.0,
        hosts=2,
    )
    for name in ("s1-0", "s2-1"):
        simulation.servers[name].shedding.append(
            simulated_server.Span(1.0, 4.5, 1.0)
        )
    simulation.run(5.0)
    loop.run_until_complete(asyncio.sleep(1.0))
    return simulation


@pytest.mark.parametrize("seed", [1, 2])
def test_attempts_of_a_try_never_meet_on_a_connection(loop, monkeypatch, seed):
    # Neither hedges nor retries go to a server that was tried before, so that a
    # late copy with the right id cannot reach another attempt.
    observation = _Observation(monkeypatch)
    simulation = _simulate(loop, seed=seed)
    counters = simulation.metrics.counters
    assert counters["hedges"] > 20 and counters["repeats"]
    assert max(map(len, observation.sent.values())) > 20
    for ids in observation.sent.values():
        assert len(ids) == len(set(ids))
    # Connections of withdrawn attempts are among those.
    assert observation.count_withdrawn() > 10


@pytest.mark.parametrize("delay_s", [0.0, 0.002, 0.02])
@pytest.mark.parametrize("share", [0.2, 0.5, 1.0])
def test_late_copies_reach_no_other_attempt(loop, monkeypatch, share, delay_s):
    # Copies of responses arrive while the connection is idle, or carries the
    # next request; some are cut off.
    observation = _Observation(monkeypatch)
    deliver = simulated_server.ServerTransport.deliver
    copies = []

    def deliver_twice(transport, data):
        deliver(transport, data)
        random = transport.server._random
        if random.random() < 0.1:
            copies.append(data)
            copy = data[: max(1, int(len(data) * share))]
            loop.call_later(
                random.uniform(0.0, 2 * delay_s), deliver, transport, copy
            )

    monkeypatch.setattr(
        simulated_server.ServerTransport, "deliver", deliver_twice
    )
    _simulate(loop, seed=3)
    assert len(copies) > 50
    assert observation.check_responses() > 1000


async def test_second_response_to_a_withdrawn_attempt_reaches_no_other():
    # The connection carries the next request once the first response, which
    # nobody waits for, has arrived.
    connected = fakes.ConnectedBackend()
    withdrawn, _ = connected.send("a1")
    connected.backend.abandon(withdrawn, abort=False)
    connected.feed(fakes.encode_reply("a1", b"first"))
    attempt, owner = connected.send("b2")
    connected.feed(fakes.encode_reply("a1", b"second"))
    assert owner.get_failure(attempt) is messages.FailureKind.INVALID_RESPONSE
    assert connected.transport.closed


async def test_connection_of_a_withdrawn_attempt_is_busy_until_its_response():
    connected = fakes.ConnectedBackend(connection_limit=1)
    withdrawn, _ = connected.send("a1")
    connected.backend.abandon(withdrawn, abort=False)
    owner = fakes.OutcomeRecorder()
    waiting = fakes.make_attempt(owner, "b2")
    connected.backend.submit(waiting)
    assert not waiting.sent
    connected.feed(fakes.encode_reply("a1", b"late"))
    assert waiting.sent and waiting.connection is connected.connection
    connected.feed(fakes.encode_reply("b2", b"own"))
    assert owner.get_reply(waiting).body == b"own"


async def test_attempt_withdrawn_while_it_waits_is_not_sent():
    connected = fakes.ConnectedBackend(connection_limit=1)
    first, owner = connected.send("a1")
    waiting = fakes.make_attempt(owner, "b2")
    connected.backend.submit(waiting)
    connected.backend.abandon(waiting, abort=False)
    connected.feed(fakes.encode_reply("a1", b"own"))
    assert owner.get_reply(first).body == b"own"
    assert not waiting.sent and len(connected.transport.written) == 1


@contextlib.asynccontextmanager
async def _serve(answer):
    """Serves a backend server; yields its port and the heads it has read."""
    heads: list[list[bytes]] = []
    tasks = set()

    async def serve(reader, writer):
        tasks.add(asyncio.current_task())
        own_heads = []
        heads.append(own_heads)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                own_heads.append(await reader.readuntil(b"\n"))
                answer(writer, own_heads[-1].strip().decode())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1], heads
    finally:
        server.close()
        for task in tasks:
            task.cancel()


async def test_attempt_is_not_sent_behind_bytes_that_have_arrived():
    # A late copy that had arrived, but was read after the next request was
    # sent, cost that request its attempt.
    writers = []

    def answer(writer, request_id):
        writers.append(writer)
        writer.write(fakes.encode_reply(request_id, request_id.encode()))

    async with _serve(answer) as (port, heads):
        connected = fakes.ConnectedBackend(server=fakes.make_server(port=port))
        backend = connected.backend
        backend.close_connection(connected.connection)

        async def call(request_id: str) -> object:
            owner = fakes.OutcomeRecorder()
            attempt = fakes.make_attempt(owner, request_id)
            attempt.encode = lambda *_: request_id.encode() + b"\n"
            backend.submit(attempt)
            await asyncio.wait_for(owner.recorded.wait(), 2.0)
            return owner.outcomes[attempt]

        assert (await call("a1")).body == b"a1"
        # Sent at once, as nothing waits to be sent.
        writers[0].write(fakes.encode_reply("a1", b"late"))
        outcome = await call("b2")
        assert isinstance(outcome, messages.Reply) and outcome.body == b"b2"
        assert [len(each) for each in heads if each] == [1, 1]
        await connected.close()
