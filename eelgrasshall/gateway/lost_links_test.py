"""Tests of a request handler whose host loses its links to all servers."""

import asyncio

import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import load_model
from eelgrasshall.gateway import relay
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
    loop.run_until_complete(asyncio.sleep(0.01))
    loop.close()
    asyncio.set_event_loop(None)


def _start(loop, seed=1):
    simulation = load_model.Simulation(
        loop=loop, seed=seed, kinds=[_KIND], shards=_SHARDS, hosts=1
    )
    handler = simulation.handlers[0]
    # Another host reaches the servers all the time, but refuses everything.
    handler._relay = _Relay(_REFUSAL)
    return simulation, _Network(simulation), handler


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
                for each in handler.registry.list_used()
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
            handler.registry.list_used(), key=lambda each: len(each.pending)
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


class _Relay:
    """A relay that answers all requests alike, and records them."""

    def __init__(self, result: relay.Result):
        self.has_helpers = True
        self.result = result
        self.requests: list[bytes] = []

    async def send(self, request, **options):
        del options
        await asyncio.sleep(0.01)
        self.requests.append(request.get_header(b"x-id"))
        return self.result


_ANSWER = relay.Result(
    relay.Ending.ANSWERED,
    "h2",
    status=200,
    headers=[(fakes.NAMES.parts_missing, b"0")],
)
_REFUSAL = _ANSWER._replace(status=503, headers=[(b"Retry-After", b"0.20")])


def _run_cut(loop, result, *, kind=_KIND, hangs=False):
    """Runs a host whose links are cut at 2 s and whose relay answers alike."""
    simulation = load_model.Simulation(
        loop=loop, seed=1, kinds=[kind], shards=_SHARDS, hosts=1
    )
    network, handler = _Network(simulation), simulation.handlers[0]
    handler._relay = _Relay(result)
    network.hangs = hangs
    loop.call_at(2.0, network.cut, list(simulation.servers))
    simulation.run(5.0)
    return simulation, handler._relay


@pytest.mark.parametrize("hangs", [False, True])
def test_callers_are_served_through_another_host_during_a_cut(loop, hangs):
    simulation, relayed = _run_cut(loop, _ANSWER, hangs=hangs)
    assert load_model.summarize(simulation.results, 0.0, 5.0).served == 1.0
    # Nothing is relayed while the links work.
    assert len(relayed.requests) <= sum(
        each.tries for each in simulation.results if each.arrived_s > 1.7
    )


def test_request_that_may_have_run_here_is_not_refused_as_not_run(loop):
    # Requests in flight at the cut are given up here and sent elsewhere.
    simulation, relayed = _run_cut(loop, _REFUSAL)
    early = [
        each.status
        for each in simulation.results
        if each.arrived_s < 2.0 < each.arrived_s + each.took_s
        and each.tries == 1
    ]
    assert relayed.requests
    assert 503 not in early


def test_request_that_may_run_once_is_relayed_only_if_it_was_not_sent(loop):
    route = fakes.make_route(service=_SHARDS[0], idempotent=False)
    simulation = load_model.Simulation(
        loop=loop,
        seed=1,
        kinds=[_KIND._replace(route=route)],
        shards=_SHARDS,
        hosts=1,
    )
    sent = set()
    for server in simulation.servers.values():
        server.receive = _note_ids(server.receive, sent)
    network, handler = _Network(simulation), simulation.handlers[0]
    handler._relay = _Relay(_ANSWER)

    async def call(request_id):
        request = fakes.make_request()
        headers = [(b"Host", b"orders.example"), (b"X-Id", request_id)]
        return await handler.handle(request._replace(headers=headers))

    async def play():
        tasks = []
        for number in range(80):
            if number == 20:
                network.cut(simulation.servers)
            task = loop.create_task(call(b"r%d" % number))
            tasks.append(task)
            await asyncio.sleep(0.025)
            handler.registry.sweep(loop.time())
        responses = await asyncio.gather(*tasks)
        handler.close()
        return [response.status for response in responses]

    statuses = loop.run_until_complete(play())
    assert set(statuses[40:]) == {200}
    assert len(sent) >= 20
    assert handler._relay.requests
    assert not sent & set(handler._relay.requests)


def _note_ids(receive, ids):
    """Returns a function that notes the id of each request it passes on."""

    def receive_and_note(transport, data):
        _, _, rest = data.lower().partition(b"x-id: ")
        ids.add(rest.partition(b"\r\n")[0])
        receive(transport, data)

    return receive_and_note


@pytest.mark.parametrize(
    ("ending", "status"),
    [
        (relay.Ending.NOT_RUN, 503),
        (relay.Ending.LOST, 502),
        (relay.Ending.TIMED_OUT, 504),
    ],
)
def test_status_tells_whether_a_relayed_request_may_have_run(
    loop, ending, status
):
    simulation, _ = _run_cut(loop, relay.Result(ending, "h2", "down"))
    late = [each for each in simulation.results if each.arrived_s > 3.0]
    assert {each.status for each in late} == {status}


def test_relayed_request_is_not_relayed_again(loop):
    simulation, network, handler = _start(loop)
    handler._relay = _Relay(_ANSWER)
    loop.call_at(2.0, network.cut, list(simulation.servers))
    responses = []

    async def call():
        request = fakes.make_request(headers=(("Eelgrasshall-Relayed", "h3"),))
        responses.append(await handler.handle(request))
        responses.append(handler.links.lost)
        responses.append(handler._relay.requests.count(b"a1"))

    loop.call_at(4.0, lambda: loop.create_task(call()))
    simulation.run(5.0)
    response, lost, relayed_count = responses
    assert lost and response.status == 503 and not relayed_count
