"""Tests of what a host does with a server that states its rate.

Each mechanism here could be taken out without a failure of the load tests.
"""

import asyncio

from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import connections
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import fanout
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import rate_limits
from eelgrasshall.gateway import registry
from eelgrasshall.gateway import upstream


def _make_registry() -> registry.Registry:
    """Returns a registry with one server, of which it is the only user."""
    servers = registry.Registry(
        log=fakes.Log(),
        own="h1",
        cold_start_bound=cold_start.ColdStartBound(1.5, 5.0),
    )
    servers.set_environment(
        upstream.Environment(
            loop=asyncio.get_running_loop(),
            names=fakes.NAMES,
            observer=fakes.Observer(),
            count=lambda name: None,
            receive_buffer=connections.ReceiveBuffer(),
        )
    )
    servers.set_services({"orders": fakes.make_service()})
    servers.set_server("s1", fakes.make_server("s1"), 1)
    return servers


def _limit(rate: float, now: float) -> rate_limits.RateLimiter:
    """Returns a limiter for all of a rate, with room for one request."""
    limiter = rate_limits.RateLimiter()
    limiter.configure(rate, 1.0, now - 1.0 / rate)
    return limiter


async def test_limit_outlasts_the_evacuation_of_a_zone():
    servers = _make_registry()
    (backend,) = servers.find_candidates("orders")
    now = asyncio.get_running_loop().time()
    servers.record_rate(backend, 5.0, now)
    servers.set_evacuated("a", True)
    servers.set_evacuated("a", False)
    (again,) = servers.find_candidates("orders")
    assert again is not backend and again.limiter.rate == 5.0
    servers.close()


async def test_room_for_one_request_is_not_for_hedges():
    (backend,) = _make_registry().find_candidates("orders")
    now = asyncio.get_running_loop().time()
    backend.limiter = _limit(4.0, now)
    assert backend.can_accept(now)
    assert not backend.can_accept_hedge(now)


async def test_slots_count_as_far_as_the_rate_uses_them():
    (backend,) = _make_registry().find_candidates("orders")
    assert backend.count_usable_slots(0.5) == 6
    backend.limiter = _limit(4.0, asyncio.get_running_loop().time())
    assert backend.count_usable_slots(0.5) == 2.0
    assert backend.count_usable_slots(100.0) == 6


def test_higher_rate_observed_at_the_same_time_elsewhere_does_not_count():
    limits = rate_limits.RateLimits(own="h1", on_changed=lambda *_: None)
    limits.record("s1", 1, 5.0, sent_s=0.9, now=1.0)
    close = rate_limits.Statement("s1", 1, 9.0, 1.1, 1.1)
    limits.merge([close], 1.1)
    assert limits.find_limiter("s1", 1).rate == 5.0
    limits.merge([close._replace(observed_s=1.5)], 1.5)
    assert limits.find_limiter("s1", 1).rate == 9.0


_NOT_SENT = messages.Failure(messages.FailureKind.NOT_SENT)


def _start_search(context):
    """Starts a search over one shard."""
    request_fanout = fanout.Fanout(
        context=context,
        request=fakes.make_request(),
        route=fakes.make_route(shards=("s1",)),
        services=("s1",),
        request_id=b"a1",
        deadline_s=context.loop.time() + 2.0,
        has_waiting=lambda: False,
    )
    return asyncio.create_task(request_fanout.run())


async def test_hedges_leave_the_room_for_first_tries():
    """Guards against hedges that use up what a server in need still takes."""
    context = fakes.Context(("s1",), replicas=2)
    first, other = (each.backend for each in context.backends["s1"])
    other.latency_ratio = 9.0
    other.limiter = _limit(4.0, context.loop.time())
    task = _start_search(context)
    await asyncio.sleep(0.08)
    assert first.pending and not other.pending
    assert "hedges" not in context.counts
    # There is room for a first try all the time.
    assert other.can_accept(context.loop.time())
    task.cancel()


async def test_attempts_that_wait_for_a_server_move_when_its_rate_falls():
    """Guards against attempts that wait until their callers have left."""
    context = fakes.Context(("s1",), replicas=2)
    limited, other = context.backends["s1"]
    backend = limited.backend
    backend.connection_limit = 1
    limited.send("b1")
    other.backend.latency_ratio = 9.0
    task = _start_search(context)
    await asyncio.sleep(0)
    assert len(backend.pending) == 2 and not other.backend.pending
    limiter = rate_limits.RateLimiter()
    limiter.configure(0.3, 1.0, context.loop.time())
    backend.set_limiter(limiter)
    assert len(backend.pending) == 1 and len(other.backend.pending) == 1
    other.feed(fakes.encode_reply("a1", b"x" * 16))
    assert (await task).status == 200


async def test_attempts_that_wait_for_a_server_stay_while_there_is_room():
    connected = fakes.ConnectedBackend(connection_limit=1)
    backend = connected.backend
    connected.send("a1")
    waiting = fakes.make_attempt(fakes.OutcomeRecorder(), "a2")
    backend.submit(waiting)
    backend.set_limiter(_limit(4.0, asyncio.get_running_loop().time()))
    assert waiting in backend.pending


async def test_attempt_is_not_sent_after_the_room_is_used():
    """Guards against a queue that empties into a server in need."""
    connected = fakes.ConnectedBackend(connection_limit=1)
    backend = connected.backend
    connected.send("a1")
    owner = fakes.OutcomeRecorder()
    waiting = fakes.make_attempt(owner, "a2")
    backend.submit(waiting)
    now = asyncio.get_running_loop().time()
    limiter = _limit(4.0, now)
    backend.set_limiter(limiter)
    # A health check takes the room meanwhile.
    limiter.record_send(now)
    connected.feed(fakes.encode_reply("a1", b""))
    assert owner.outcomes == {waiting: _NOT_SENT}
    assert len(connected.transport.written) == 1


async def test_unreachable_server_is_not_checked_beyond_its_rate(monkeypatch):
    """Guards against health checks that use up the rate of a server."""
    monkeypatch.setattr(registry, "MIN_PROBE_DELAY_S", 0.02)
    servers = _make_registry()
    (backend,) = servers.find_candidates("orders")
    now = asyncio.get_running_loop().time()
    backend.limiter = rate_limits.RateLimiter()
    backend.limiter.configure(5.0, 1.0, now)
    backend.limiter.record_send(now)
    backend.limiter.record_send(now)
    backend.unreachable = True
    probes = []
    monkeypatch.setattr(backend, "submit", probes.append)
    servers.start_probe(backend)
    await asyncio.sleep(0.1)
    assert probes == []
    for _ in range(100):
        if probes:
            break
        await asyncio.sleep(0.02)
    assert len(probes) == 1
    servers.close()
