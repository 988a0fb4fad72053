"""Tests of hosts that take servers for unreachable, rightly or wrongly.

The request handler runs unchanged in virtual time; see `lost_links_test`.
"""

import asyncio

import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import links as links_module
from eelgrasshall.gateway import links_test
from eelgrasshall.gateway import load_model
from eelgrasshall.gateway import lost_links_test
from eelgrasshall.gateway import relay
from eelgrasshall.gateway import virtual_time

_SHARDS = ("s1", "s2", "s3")
_KIND = lost_links_test._KIND


@pytest.fixture(name="loop")
def _make_loop():
    loop = virtual_time.VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    yield loop
    loop.run_until_complete(asyncio.sleep(0.01))
    loop.close()
    asyncio.set_event_loop(None)


def _start(loop, *, kind=_KIND, shards=_SHARDS, others_reach=True, **options):
    simulation = load_model.Simulation(
        loop=loop, seed=1, kinds=[kind], shards=shards, hosts=1, **options
    )
    network = lost_links_test._Network(simulation)
    handler = simulation.handlers[0]
    handler._log = fakes.Log()
    handler._relay = lost_links_test._Relay(lost_links_test._REFUSAL)
    handler._relay.has_helpers = others_reach
    return simulation, network, handler


def _count_open(handler) -> int:
    return sum(each.open_connections for each in handler.registry.list_used())


def test_checks_of_a_host_on_standby_leave_no_connections(loop):
    # Other hosts lose their links again and again; this one serves nothing.
    simulation, _, handler = _start(loop, replicas=20)

    async def play():
        for _ in range(60):
            handler.links.check_if_unproven()
            await asyncio.sleep(1.1)
        counts.append(_count_open(handler))
        handler.close()

    counts = []
    loop.run_until_complete(play())
    assert len(simulation.servers) == 60
    assert counts[0] <= links_module.FULL_SAMPLE


def test_checks_keep_to_the_subset_of_servers_that_the_host_uses(loop):
    # 400 hosts share servers that accept few connections.
    simulation, _, handler = _start(loop, replicas=20)
    handler.registry.set_hosts(
        400, tuple(f"h{number}" for number in range(400))
    )
    used = {
        each
        for shard in _SHARDS
        for each in handler.registry.find_candidates(shard)
    }
    assert len(used) < 60

    async def play():
        for _ in range(60):
            handler.links.check_if_unproven()
            await asyncio.sleep(1.1)
        outside.extend(
            each.server.id
            for each in handler.registry.list_used()
            if each.open_connections and each not in used
        )
        handler.close()

    outside = []
    loop.run_until_complete(play())
    assert not outside


def test_a_check_opens_no_connection_beyond_the_limit(loop):
    simulation, _, handler = _start(loop, replicas=1)
    handler.registry.set_hosts(
        125, tuple(f"h{number}" for number in range(125))
    )
    most = []

    async def play():
        for backend in handler.registry.list_used():
            assert backend.connection_limit == 1
        for _ in range(2):
            tasks = [
                asyncio.ensure_future(each.check_connection())
                for each in handler.registry.list_used()
            ]
            await asyncio.sleep(0)
            most.extend(
                each.open_connections for each in handler.registry.list_used()
            )
            await asyncio.gather(*tasks)
        handler.close()

    loop.run_until_complete(play())
    assert max(most) <= 1


def test_a_loss_of_one_zone_costs_few_connections(loop):
    # As `links_test`, with 2,100 servers, of which one zone's fail within 2 s.
    network = links_test._Network(loop, servers=2100)
    gone = network.servers[::3]

    async def run():
        for each in gone:
            each.down = each.unreachable = True
            network.links.note_unreachable(loop.time())
            await asyncio.sleep(2.0 / len(gone))

    links_test._run(loop, network, run())
    assert not network.links.lost
    assert network.count_asked() <= 100


def test_an_error_while_links_are_lost_does_not_end_the_waiting(loop):
    # An entry with a name that cannot be encoded: no OSError.
    simulation, network, handler = _start(loop)
    loop.call_at(2.0, network.cut, list(simulation.servers))
    bad = fakes.make_server("bad", service="s1", zone="a", port=4999)

    class _Endpoint:
        async def accept(self, protocol):
            raise UnicodeError("label empty or too long")

    loop.add_endpoint(bad.address, _Endpoint())
    loop.call_at(3.0, handler.registry.set_server, "bad", bad, 1)
    loop.call_at(6.0, network.refused.clear)
    seen = []
    loop.call_at(3.5, lambda: seen.append(handler.links.lost))
    loop.call_at(11.5, lambda: seen.append(handler.links.lost))
    simulation.run(12.0)
    assert seen == [True, False]


def test_a_restarted_only_server_is_not_sent_more_than_its_cold_rate(loop):
    # The process crashes and starts anew; its new entry is not here yet.
    route = fakes.make_route(shards=("s1",), objective_s=0.3)
    kind = _KIND._replace(route=route, rate_per_s=100.0)
    simulation, network, handler = _start(
        loop,
        kind=kind,
        shards=("s1",),
        others_reach=False,
        replicas=1,
        slots=20,
    )
    handler.registry.set_services(
        {"s1": fakes.make_service("s1", cold_rate_per_s=10.0)}
    )
    (server,) = simulation.servers.values()
    received = []
    receive = server.receive

    def note(transport, data):
        if b"/health" in data:
            transport.deliver(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        received.append(loop.time())
        receive(transport, data)

    server.receive = note
    loop.call_at(2.0, network.cut, list(simulation.servers))
    loop.call_at(4.0, network.refused.clear)
    simulation.run(8.0)
    after = [each for each in received if each > 4.0]
    assert after
    first = [each for each in after if each < after[0] + 1.0]
    # The rate times 1.5 and a slack of 5.
    assert len(first) <= 20


def test_a_server_that_is_not_healthy_yet_gets_no_request(loop):
    # It accepts connections, but its health endpoint says 503.
    route = fakes.make_route(shards=("s1",), objective_s=0.3)
    kind = _KIND._replace(route=route)
    simulation, network, handler = _start(
        loop, kind=kind, shards=("s1",), others_reach=False, replicas=1
    )
    (server,) = simulation.servers.values()
    received = []

    def note(transport, data):
        if b"/health" in data:
            transport.deliver(
                b"HTTP/1.1 503 Starting\r\nContent-Length: 0\r\n\r\n"
            )
            return
        received.append(loop.time())

    loop.call_at(2.0, network.cut, list(simulation.servers))
    loop.call_at(4.0, lambda: setattr(server, "receive", note))
    loop.call_at(4.0, network.refused.clear)
    simulation.run(7.0)
    assert len(received) <= 2


def test_requests_at_the_begin_of_a_cut_are_not_blamed_after_it(loop):
    # The cut lasts 2 s; one zone stays out of reach a little longer.
    simulation, network, handler = _start(loop)
    loop.call_at(2.0, network.cut, list(simulation.servers))
    zone = {
        server_id
        for server_id, server in simulation.servers.items()
        if server.server.zone == "b"
    }
    loop.call_at(4.0, lambda: network.refused.intersection_update(zone))
    simulation.run(8.0)
    assert not handler._log.list_events("blamed")


def test_a_planned_end_during_a_cut_blames_no_request(loop):
    # Three servers in turn are cut; each drains and goes, as in a roll-out.
    simulation, network, handler = _start(loop)
    loop.call_at(2.0, network.cut, list(simulation.servers))

    def roll():
        for server_id, server in simulation.servers.items():
            if server_id.endswith("-0"):
                drained = server.server._replace(draining=True)
                handler.registry.set_server(server_id, drained, 2)
                handler.registry.set_server(server_id, None, 3)

    loop.call_at(3.0, roll)
    simulation.run(5.0)
    assert not handler._log.list_events("blamed")


def test_crash_of_all_servers_is_reported_soon(loop):
    # A fleet with three servers, which all end under one request and start
    # again after 3 s; entries tell so.
    route = fakes.make_route(shards=("s1",), objective_s=0.3)
    kind = _KIND._replace(route=route)
    simulation, network, handler = _start(
        loop, kind=kind, shards=("s1",), others_reach=False, replicas=3
    )
    loop.call_at(2.0, network.cut, list(simulation.servers))
    loop.call_at(8.0, network.refused.clear)

    def restart():
        for server_id, server in simulation.servers.items():
            entry = server.server._replace(started_at_ms=2)
            handler.registry.set_server(server_id, entry, 2)

    loop.call_at(8.0, restart)
    simulation.run(9.0)
    assert handler._log.list_events("blamed")


def test_a_rejected_request_is_relayed_only_within_the_budget(loop):
    # The rejected attempt has arrived at a server, so that the one of the
    # helper is beyond the first.
    route = fakes.make_route(service="s1", objective_s=0.3, max_attempts=1)
    kind = _KIND._replace(route=route)
    simulation, network, handler = _start(loop, kind=kind, shards=("s1",))
    handler._relay = lost_links_test._Relay(lost_links_test._ANSWER)
    arrived = set()
    for server in simulation.servers.values():
        server.shedding = [load_model.simulated_server.Span(0.0, 99.0, 1.0)]
        server.receive = lost_links_test._note_ids(server.receive, arrived)
    budget = handler.find_extra_attempt_budget("s1")

    async def play():
        task = loop.create_task(asyncio.sleep(5.0))
        handler.links._task = task
        assert handler.links.in_doubt and not handler.links.lost
        budget._tokens = 0.0
        request = fakes.make_request()
        await handler.handle(request)
        handler.links._task = None
        task.cancel()
        handler.close()

    loop.run_until_complete(play())
    assert arrived == {b"a1"}
    assert not handler._relay.requests


class _TickingLoop(virtual_time.VirtualTimeLoop):
    """A loop whose clock advances a little whenever it is read."""

    def time(self):
        self.advance(1e-6)
        return super().time()


def test_the_first_server_that_a_cut_makes_unreachable_is_used_again():
    loop = _TickingLoop()
    asyncio.set_event_loop(loop)
    simulation, network, handler = _start(loop)
    loop.call_at(2.0, network.cut, list(simulation.servers))
    probed = []

    def note():
        probed.extend(handler.registry._probes)

    resume = handler.registry.resume

    def resume_and_note(since_s):
        resume(since_s)
        note()

    handler.registry.resume = resume_and_note
    loop.call_at(4.0, network.refused.clear)
    simulation.run(6.0)
    loop.close()
    asyncio.set_event_loop(None)
    assert not probed


def test_requests_on_live_connections_are_answered_without_a_helper(loop):
    # New connections are refused, the old ones live on; no other host has
    # links, so that nobody else can serve what is in flight here.
    simulation, network, handler = _start(loop)
    handler._relay = lost_links_test._Relay(
        relay.Result(relay.Ending.NOT_RUN, "", "no helper")
    )
    handler._relay.has_helpers = False
    loop.call_at(2.0, network.refused.update, list(simulation.servers))
    # One connection ends, as when a server drops it.
    loop.call_at(2.0, handler.links.note_unreachable, 2.0)
    simulation.run(3.0)
    assert handler.links.lost or handler.links.in_doubt
    in_flight = [
        each
        for each in simulation.results
        if each.arrived_s < 2.0 < each.arrived_s + each.took_s
    ]
    assert in_flight
    assert all(each.tries == 1 for each in in_flight)


def test_slow_handshakes_are_not_taken_for_lost_links(loop):
    # All servers accept within the time-out of a connection, if late; the
    # links are no worse than before.
    simulation, network, handler = _start(loop)
    slow = [False]
    for server in simulation.servers.values():
        server.accept = _delay(server.accept, slow)
    changes = []
    handler._on_links_changed = lambda: changes.append(
        (loop.time(), handler.links.lost)
    )
    loop.call_at(2.0, lambda: slow.__setitem__(0, True))
    loop.call_at(2.1, network.cut, [next(iter(simulation.servers))])
    simulation.run(6.0)
    assert not changes


def _delay(accept, slow):
    async def accept_late(protocol):
        if slow[0]:
            await asyncio.sleep(0.33)
        return await accept(protocol)

    return accept_late


def test_a_frozen_host_blames_no_request(loop):
    # The host is suspended for 3 s with connections being opened and requests
    # in flight; all servers are up all the time.
    simulation, network, handler = _start(loop)
    slow = [False]
    for server in simulation.servers.values():
        server.accept = _delay(server.accept, slow)

    def freeze():
        for backend in handler.registry.list_used():
            backend._open_connection()
        loop.call_later(0.05, loop.advance, 3.0)

    loop.call_at(1.99, lambda: slow.__setitem__(0, True))
    loop.call_at(2.0, freeze)
    loop.call_at(2.06, lambda: slow.__setitem__(0, False))
    simulation.run(6.0)
    assert not handler._log.list_events("blamed")
    assert not handler._log.list_events("links_lost")


def test_no_check_is_started_after_close(loop):
    simulation, network, handler = _start(loop)
    network.cut(simulation.servers)
    tasks = []

    async def play():
        request = fakes.make_request()
        task = loop.create_task(handler.handle(request))
        await asyncio.sleep(0)
        await asyncio.sleep(0.001)
        handler.close()
        await asyncio.sleep(0.2)
        tasks.append(handler.links._task)
        await asyncio.sleep(3.0)
        tasks.append(handler.links._task)
        task.cancel()
        handler.links.close()
        await asyncio.sleep(0.1)

    loop.run_until_complete(play())
    assert tasks == [None, None]


def _silence(simulation, network):
    """Old connections swallow everything, and new ones hang."""
    network.hangs = True
    network.refused.update(simulation.servers)
    for server in simulation.servers.values():
        server.receive = lambda transport, data: None


@pytest.mark.parametrize("rate_per_s", [2.0, 10.0, 60.0])
@pytest.mark.parametrize("idempotent", [True, False])
def test_a_silent_cut_is_noticed_by_requests_to_one_service(
    loop, monkeypatch, rate_per_s, idempotent
):
    monkeypatch.setattr(load_model, "_compute_coverage", lambda *_: 1.0)
    route = fakes.make_route(service="s1", idempotent=idempotent)
    kind = _KIND._replace(route=route, rate_per_s=rate_per_s)
    simulation = load_model.Simulation(
        loop=loop, seed=1, kinds=[kind], shards=("s1",), hosts=1, replicas=12
    )
    network, handler = (
        lost_links_test._Network(simulation),
        simulation.handlers[0],
    )
    handler._relay = lost_links_test._Relay(lost_links_test._ANSWER)
    changes = []
    handler._on_links_changed = lambda: changes.append(loop.time())
    loop.call_at(2.0, _silence, simulation, network)
    simulation.run(8.0)
    late = [each for each in simulation.results if each.arrived_s > 2.0]
    took = [each.took_s for each in late]
    print(
        "lost at",
        changes,
        "worst",
        max(took),
        "statuses",
        sorted({each.status for each in late}),
    )
    # At the latest `contactMs` (4 s) after the cut.
    assert changes and changes[0] <= 6.0


def test_a_request_is_not_held_at_a_cut_host_whose_helpers_are_full(loop):
    # No helper has room: a refusal at once lets the caller go elsewhere.
    simulation, network, handler = _start(loop)
    handler._relay = lost_links_test._Relay(
        relay.Result(relay.Ending.NOT_RUN, "", "no helper")
    )
    loop.call_at(2.0, _silence, simulation, network)
    simulation.run(8.0)
    late = [
        each
        for each in simulation.results
        if each.arrived_s > 4.0 and each.took_s > 1.0
    ]
    assert not late
