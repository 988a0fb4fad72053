"""Tests of a request that crashes all servers of a small fleet."""

import asyncio

import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import load_model
from eelgrasshall.gateway import lost_links_test
from eelgrasshall.gateway import virtual_time


@pytest.fixture(name="loop")
def _make_loop():
    loop = virtual_time.VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    yield loop
    loop.run_until_complete(asyncio.sleep(0.01))
    loop.close()
    asyncio.set_event_loop(None)


class _Poison:
    """A request that crashes each server that begins to run it."""

    def __init__(self, simulation, network, handler, restart_s):
        self.restart_s = restart_s
        self.loop = simulation.loop
        self.simulation = simulation
        self.network = network
        self.handler = handler
        self.runs: list[float] = []
        self.ids: set[bytes] = set()
        for server_id, server in simulation.servers.items():
            server.receive = self._wrap(server_id, server.receive)

    def _wrap(self, server_id, receive):
        def receive_or_crash(transport, data):
            if b"/health" in data:
                transport.deliver(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                )
            elif b"/find/poison" not in data:
                receive(transport, data)
            elif server_id not in self.network.refused:
                self.runs.append(self.loop.time())
                _, _, rest = data.lower().partition(b"x-id: ")
                self.ids.add(rest.partition(b"\r\n")[0])
                self.loop.call_later(0.01, self._crash, server_id)

        return receive_or_crash

    def _crash(self, server_id):
        if server_id not in self.network.refused:
            self.network.cut([server_id])
            self.loop.call_later(self.restart_s, self._restart, server_id)

    def _restart(self, server_id):
        self.network.refused.discard(server_id)
        entry = self.simulation.servers[server_id].server._replace(
            started_at_ms=int(self.loop.time() * 1000)
        )
        self.handler.registry.set_server(server_id, entry, 2)

    async def retry(self):
        """The caller tries again and again, as long as servers end."""
        for number in range(40):
            request = fakes.make_request("/find/poison")
            headers = [
                (b"Host", b"orders.example"),
                (b"X-Id", b"p%d" % number),
                (b"X-Budget", b"1500"),
            ]
            await self.handler.handle(request._replace(headers=headers))
            await asyncio.sleep(0.4)


@pytest.mark.parametrize("restart_s", [3.0, 7.0])
@pytest.mark.parametrize("replicas", [1, 2, 3, 4, 6])
def test_request_that_crashes_all_servers_of_a_small_fleet(
    loop, replicas, restart_s
):
    route = fakes.make_route(shards=("s1",), objective_s=0.3)
    kind = lost_links_test._KIND._replace(route=route, rate_per_s=20.0)
    simulation = load_model.Simulation(
        loop=loop,
        seed=1,
        kinds=[kind],
        shards=("s1",),
        hosts=1,
        replicas=replicas,
    )
    network = lost_links_test._Network(simulation)
    handler = simulation.handlers[0]
    handler._log = fakes.Log()
    poison = _Poison(simulation, network, handler, restart_s)
    verdicts = []
    loop.call_at(2.0, lambda: loop.create_task(poison.retry()))
    log_verdict = handler.quarantine._on_verdict

    def note(verdict, reports):
        verdicts.append((loop.time(), len(poison.runs), len(poison.ids)))
        log_verdict(verdict, reports)

    handler.quarantine._on_verdict = note
    simulation.run(25.0)
    assert verdicts
    assert len(poison.ids) <= 4
