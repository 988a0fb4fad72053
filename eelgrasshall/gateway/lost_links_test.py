"""Tests of a request handler whose host loses its links to all servers."""

import asyncio

import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import load_model
from eelgrasshall.gateway import virtual_time

_SHARDS = ("s1", "s2", "s3")
_KIND = load_model.Kind(
    route=fakes.make_route(shards=_SHARDS, objective_s=0.3),
    rate_per_s=60.0,
    service_time_s=0.05,
    timeout_s=2.0,
    worth=1.0,
)


class _Network:
    """The links of one host to simulated servers.

    Args:
      simulation: The simulation; its servers are reached through this.
    """

    def __init__(self, simulation: load_model.Simulation):
        self.refused: set[str] = set()
        self.hangs = False
        self._transports: dict[str, list] = {}
        for server_id, server in simulation.servers.items():
            self._wrap(server_id, server)

    def _wrap(self, server_id: str, server) -> None:
        accept = server.accept
        transports = self._transports.setdefault(server_id, [])

        async def accept_unless_cut(protocol):
            if server_id in self.refused:
                if self.hangs:
                    await asyncio.sleep(60.0)
                raise ConnectionRefusedError
            transport = await accept(protocol)
            transports.append(transport)
            return transport

        server.accept = accept_unless_cut

    def cut(self, server_ids) -> None:
        """Resets the connections to servers, and refuses new ones."""
        self.refused.update(server_ids)
        for server_id in server_ids:
            for transport in self._transports[server_id]:
                if not transport.closed:
                    transport.closed = True
                    transport.protocol.connection_lost(ConnectionResetError())
            self._transports[server_id].clear()


@pytest.fixture(name="loop")
def _make_loop():
    loop = virtual_time.VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    yield loop
    loop.close()
    asyncio.set_event_loop(None)


def _start(loop, seed=1):
    simulation = load_model.Simulation(
        loop=loop, seed=seed, kinds=[_KIND], shards=_SHARDS, hosts=1
    )
    return simulation, _Network(simulation), simulation.handlers[0]


@pytest.mark.parametrize("hangs", [False, True])
def test_a_cut_of_the_own_links_convicts_no_request(loop, hangs):
    simulation, network, handler = _start(loop)
    handler._log = fakes.Log()
    network.hangs = hangs
    loop.call_at(2.0, network.cut, list(simulation.servers))
    loop.call_at(4.0, network.cut, list(simulation.servers))
    loop.call_at(8.0, network.refused.clear)
    seen = []
    loop.call_at(6.0, lambda: seen.append(handler.links.lost))
    simulation.run(14.0)
    assert seen == [True]
    assert not handler._log.list_events("blamed")
    assert not handler.quarantine.has_verdicts()
    served = load_model.summarize(simulation.results, 9.5, 14.0).served
    assert served == 1.0


def test_servers_are_used_again_at_once_when_links_are_back(loop):
    simulation, network, handler = _start(loop)
    gone = next(iter(simulation.servers))
    network.cut([gone])
    loop.call_at(2.0, network.cut, list(simulation.servers))
    loop.call_at(8.0, lambda: network.refused.intersection_update([gone]))
    unreachable = []

    def note():
        unreachable.append(
            {
                each.server.id
                for each in handler.registry.list_backends()
                if each.unreachable
            }
        )

    loop.call_at(9.0, note)
    simulation.run(10.0)
    # The one that was down before the cut is still probed.
    assert unreachable == [{gone}]


def test_a_server_that_goes_down_alone_is_reported(loop):
    simulation, network, handler = _start(loop)
    reports = []
    handler._log = fakes.Log()

    def crash_busy_server():
        busiest = max(
            handler.registry.list_backends(), key=lambda each: len(each.pending)
        )
        network.cut([busiest.server.id])

    loop.call_at(2.0, crash_busy_server)
    loop.call_at(
        2.5, lambda: reports.extend(handler._log.list_events("blamed"))
    )
    simulation.run(3.0)
    assert not handler.links.lost
    assert reports


def test_a_crash_during_a_cut_is_reported_once_the_store_shows_it(loop):
    simulation, network, handler = _start(loop)
    handler._log = fakes.Log()
    loop.call_at(2.0, network.cut, list(simulation.servers))
    crashed = []

    def deregister():
        assert not handler._log.list_events("blamed")
        crashed.extend(
            filter(handler.quarantine.has_suspects, simulation.servers)
        )
        simulation.remove_server(crashed[0])

    loop.call_at(4.0, deregister)
    simulation.run(5.0)
    assert len(crashed) > 1
    blamed = {each["server"] for each in handler._log.list_events("blamed")}
    assert blamed == {crashed[0]}
