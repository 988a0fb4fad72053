"""Tests of what a host does with a server that states its rate.

Each mechanism here could be taken out without a failure of the load tests.
"""

import asyncio

from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import connections
from eelgrasshall.gateway import fakes
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
