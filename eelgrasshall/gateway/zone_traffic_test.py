"""Tests of the counters of bytes between availability zones."""

import asyncio
import collections
import random

import pytest

from eelgrasshall.gateway import client
from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import heartbeats
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import host as host_module
from eelgrasshall.gateway import load_model
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import peers
from eelgrasshall.gateway import relay
from eelgrasshall.gateway import relay_choice
from eelgrasshall.gateway import simulated_server
from eelgrasshall.gateway import virtual_time
from eelgrasshall.gateway import zone_traffic

_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Id: a1\r\nEelgrasshall-Relayed: 1\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)


class _Responder:
    """An endpoint that answers each request with the same response."""

    def __init__(self, loop, response: bytes = _ANSWER):
        self._loop = loop
        self._response = response
        self.size = 0

    async def accept(self, protocol) -> fakes.Transport:
        """Opens a connection."""
        transport = fakes.Transport()

        def write(data: bytes) -> None:
            self.size += len(data) + len(self._response)
            self._loop.call_soon(protocol.data_received, self._response)

        transport.write = write
        return transport


@pytest.fixture(name="loop")
def _make_loop():
    loop = virtual_time.VirtualTimeLoop()
    yield loop
    loop.close()


def test_only_bytes_of_other_zones_are_counted():
    counters = collections.Counter()
    traffic = zone_traffic.ZoneTraffic(zone="a", counters=counters)
    traffic.record(zone_traffic.Cause.RELAYS, "a", 5)
    traffic.record(zone_traffic.Cause.RELAYS, None, 7)
    assert not counters
    traffic.record(zone_traffic.Cause.RELAYS, "b", 11)
    traffic.record(zone_traffic.Cause.RELAYS, "c", 13)
    assert counters == {"cross_zone_bytes_relays": 24}


def test_all_bytes_of_attempts_are_counted_by_cause(loop, monkeypatch):
    """Guards against causes that are mixed up and bytes that are left out."""
    sizes = collections.Counter()
    write = simulated_server.ServerTransport.write
    deliver = simulated_server.ServerTransport._deliver_now

    def count(transport, data):
        if transport.server.is_remote_to(transport.host):
            sizes["all"] += len(data)

    def record_write(transport, data):
        count(transport, data)
        write(transport, data)

    def record_delivery(transport, data):
        if not transport.closed:
            count(transport, data)
        deliver(transport, data)

    transport_class = simulated_server.ServerTransport
    monkeypatch.setattr(transport_class, "write", record_write)
    monkeypatch.setattr(transport_class, "_deliver_now", record_delivery)
    route = fakes.make_route(shards=("s1", "s2"), max_attempts=3)
    simulation = load_model.Simulation(
        loop=loop,
        seed=1,
        kinds=[load_model.Kind(route, 60.0, 0.01, 2.0, 1.0)],
        shards=route.shards,
        hosts=2,
    )
    simulation.run(4.0)
    loop.run_until_complete(asyncio.sleep(1.0))
    counters = simulation.metrics.counters
    first = counters["cross_zone_bytes_attempts"]
    extra = counters["cross_zone_bytes_extra_attempts"]
    assert first and extra
    assert first + extra == sizes["all"]


async def test_health_checks_are_counted_apart():
    connected = fakes.ConnectedBackend(server=fakes.make_server(zone="b"))
    counters = collections.Counter()
    connected.backend.environment = connected.backend.environment._replace(
        traffic=zone_traffic.ZoneTraffic(zone="a", counters=counters)
    )
    attempt, _ = connected.send("a1")
    connected.feed(fakes.encode_reply("a1", b""))
    assert list(counters) == ["cross_zone_bytes_attempts"]
    attempt = fakes.make_attempt(fakes.OutcomeRecorder(), "a2")
    attempt.request_id = None
    connected.backend.submit(attempt)
    connected.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    sent = len(connected.transport.written[-1])
    assert counters["cross_zone_bytes_health_checks"] == sent + len(
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    )


def test_requests_of_a_client_are_counted_in_both_directions(loop):
    address = model.Address("127.0.0.1", 9)
    responder = _Responder(loop)
    loop.add_endpoint(address, responder)
    json_client = client.JsonClient(address=address)
    for _ in range(2):
        loop.run_until_complete(json_client.call("GET", "/x", timeout_s=1.0))
    assert json_client.transferred_bytes == responder.size > 0


async def _make_host(loop) -> host_module.GatewayHost:
    """Returns a host in zone a that has not been started."""
    return host_module.GatewayHost(
        options=host_module.Options(
            host=fakes.make_host("h1", zone="a"),
            directory=model.Address("127.0.0.1", 3),
            readiness=model.Address("127.0.0.1", 4),
            metrics=model.Address("127.0.0.1", 5),
            seeds=(),
            bounds_s=dict.fromkeys(object_cache.Collection, 3.0),
            extra_attempt_bound=hedging.ExtraAttemptBound(0.2, 54.0),
            cold_start_bound=cold_start.ColdStartBound(1.5, 5.0),
            grace_s=6.0,
            names=fakes.NAMES,
            readiness_path="/ready",
            directory_path="/addresses",
        ),
        store=None,
        decode=lambda collection, document: document,
        publish=lambda published: None,
        incarnation=1,
        random=random.Random(1),
        log=fakes.Log(),
    )


def test_messages_between_hosts_are_counted_by_cause(loop):
    """Guards against traffic between hosts that no counter shows."""
    host = loop.run_until_complete(_make_host(loop))
    other = fakes.make_host("h2", zone="b", port=26000)
    sent = []

    class Transport:
        def sendto(self, data, address):
            sent.append(len(data))

        def close(self):
            pass

    host._peers.connection_made(Transport())
    host._peers.add_host(other)
    sent.clear()
    counters = host._metrics.counters
    counters.clear()
    host._peers.announce(heartbeats.State.READY)
    assert counters["cross_zone_bytes_datagrams"] == sum(sent) > 0
    # Channels send beside the heartbeats of each period.
    host._peers._channels = [
        peers.Channel(b"x", lambda: b"x" * 50, lambda datagram: None)
    ]
    host._peers._tick()
    assert 50 in sent
    assert counters["cross_zone_bytes_datagrams"] == sum(sent)
    host._peers.stop()

    responder = _Responder(loop)
    loop.add_endpoint(other.control_address, responder)
    loop.run_until_complete(
        host._peer_sync.fetch(other.name, other.control_address)
    )
    assert counters["cross_zone_bytes_objects"] == responder.size > 0

    responder.size = 0
    host._relay._list_helpers = lambda: [relay_choice.Helper(other, 0.0)]
    result = loop.run_until_complete(
        host._relay.send(
            fakes.make_request(received_s=0.0),
            deadline_s=loop.time() + 1,
            idempotent=True,
        )
    )
    assert result.ending is relay.Ending.ANSWERED
    assert counters["cross_zone_bytes_relays"] == responder.size > 0
    host._relay.close()
