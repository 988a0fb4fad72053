"""Tests of quotas in request handlers.

Request handlers run unchanged in virtual time, with simulated servers that
record what they are sent.
"""

import asyncio
import random as random_module

import pytest

from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import metrics
from eelgrasshall.gateway import quota_account
from eelgrasshall.gateway import quota_gate
from eelgrasshall.gateway import quota_gossip
from eelgrasshall.gateway import quotas
from eelgrasshall.gateway import rate_limits
from eelgrasshall.gateway import request_handler
from eelgrasshall.gateway import simulated_server
from eelgrasshall.gateway import virtual_time

_BOUND = quota_account.QuotaBound(window_s=5.0, excess=0.0, slack=0.0)
_KEY = "k-4d1c9b"
_BEARER = ("Authorization", f"Bearer {_KEY}")
_ACME = fakes.make_workspace("acme", _KEY)._replace(rate_per_s=2.0, burst=4.0)
_ROUTE = fakes.make_route(path_prefix="/find/", service="orders")
_WARM_UP_S = 8


class _Server(simulated_server.Server):
    """A simulated server that counts the requests that it is sent."""

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.requests = 0

    def receive(self, transport, data: bytes) -> None:
        """Counts a request and runs it."""
        if not data.startswith(b"GET /health"):
            self.requests += 1
        super().receive(transport, data)


class _Log(fakes.Log):
    """A log that records the lines of single requests too."""

    def allow_request_line(self, *, failed: bool) -> bool:
        """Returns whether a request may be logged: always."""
        del failed
        return True


class _Deployment:
    """One request handler with quotas, and one server."""

    def __init__(self, *, active=("h1",), bound=_BOUND):
        self.loop = virtual_time.VirtualTimeLoop()
        self.log = _Log()
        self.metrics = metrics.Metrics()
        self.active = active
        self._bound = bound
        self.gate: quota_gate.QuotaGate | None = None
        self.handler: request_handler.RequestHandler | None = None
        # Called when the host asks others at once.
        self.on_send = lambda: None
        registration = fakes.make_server("s1", service="orders", port=1000)
        self.server = _Server(
            loop=self.loop,
            server=registration,
            random=random_module.Random(1),
            service_times_s={b"/find": 0.01},
            pause_s=0.0,
        )
        self.loop.add_endpoint(registration.address, self.server)

    def run(self, play) -> None:
        """Runs a coroutine function on a host that has run for a while."""
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(self._run(play))
            self.loop.run_until_complete(asyncio.sleep(0.1))
        finally:
            self.loop.close()
            asyncio.set_event_loop(None)

    async def _run(self, play) -> None:
        if self._bound is not None:
            self.gate = quota_gate.QuotaGate(
                own="h1",
                bound=self._bound,
                loop=self.loop,
                log=self.log,
                count=self.metrics.count,
                send=lambda: self.on_send(),
            )
        self.handler = request_handler.RequestHandler(
            own=fakes.make_host(),
            names=fakes.NAMES,
            extra_attempt_bound=hedging.ExtraAttemptBound(1.0, 100.0, 10.0),
            cold_start_bound=cold_start.ColdStartBound(1.5, 5.0),
            random=random_module.Random(1),
            log=self.log,
            metrics=self.metrics,
            quota_gate=self.gate,
        )
        try:
            self.handler.apply_configuration(
                fakes.make_configuration(
                    1,
                    routes=(_ROUTE,),
                    services=("orders",),
                    workspaces=(_ACME,),
                )
            )
            for _ in range(_WARM_UP_S):
                self.set_fleet()
                await asyncio.sleep(1.0)
            self.set_fleet()
            await play()
        finally:
            self.handler.close()

    def set_fleet(self) -> None:
        """Tells the host which hosts are active."""
        if self.gate is not None:
            view = rate_limits.FleetView(self.active, 1.0)
            self.gate.set_fleet(view, self.active)

    def add_server(self) -> None:
        """Registers the server."""
        self.handler.registry.set_server("s1", self.server.server, 1)

    async def send(self, *headers, from_host=False):
        """Sends a request and returns the response."""
        request = fakes.make_request(
            "/find/x", headers=(*headers,) if from_host else (_BEARER, *headers)
        )
        return await self.handler.handle(request, from_host=from_host)


def test_requests_beyond_the_quota_are_answered_429_and_not_sent():
    deployment = _Deployment()

    async def play():
        deployment.add_server()
        responses = [await deployment.send() for _ in range(6)]
        statuses = [each.status for each in responses]
        assert statuses == [200] * 4 + [429] * 2
        wait_s = float(dict(responses[4].headers)[b"retry-after"])
        assert 0.0 < wait_s <= 0.5
        await asyncio.sleep(wait_s)
        assert (await deployment.send()).status == 200

    deployment.run(play)
    assert deployment.server.requests == 5
    assert deployment.metrics.counters["quota_refused"] == 2
    (line, _) = [
        fields
        for fields in deployment.log.list_events("request")
        if fields["status"] == 429
    ]
    assert line["reason"] == quota_gate.OVER_QUOTA
    assert line["quota"]["rate_per_s"] == 2.0
    assert line["quota"]["share"] == 1.0


def test_nothing_is_refused_without_bounds_in_the_settings():
    deployment = _Deployment(bound=None)

    async def play():
        deployment.add_server()
        for _ in range(10):
            assert (await deployment.send()).status == 200

    deployment.run(play)


def test_requests_that_were_sent_to_no_server_do_not_count():
    deployment = _Deployment()

    async def play():
        # There is no server yet.
        for _ in range(10):
            assert (await deployment.send()).status == 503
        deployment.add_server()
        for _ in range(4):
            assert (await deployment.send()).status == 200

    deployment.run(play)


def test_relayed_request_is_charged_where_it_was_taken_from_the_caller():
    deployment = _Deployment()
    marks = [
        ("Eelgrasshall-Relayed", "h2"),
        ("Eelgrasshall-Relayed-Workspace", "acme"),
    ]

    async def play():
        deployment.add_server()
        for _ in range(8):
            response = await deployment.send(
                ("Eelgrasshall-Relayed-Workspace", "acme"), from_host=True
            )
            assert response.status == 200
        # A caller cannot evade its quota with the mark of a relayed request.
        statuses = [(await deployment.send(*marks)).status for _ in range(5)]
        assert statuses == [200] * 4 + [429]

    deployment.run(play)


def test_request_waits_for_credit_that_other_hosts_lend():
    deployment = _Deployment(active=("h1", "h2"))

    async def play():
        deployment.add_server()

        def answer():
            # The other host answers a few milliseconds later.
            for name, datagram in deployment.gate.build_datagrams():
                assert name == "h2"
                credits = [
                    quota_account.Credit(
                        "h1", "h2", each.number, "acme", 2.0, 0.0, 0.5
                    )
                    for each in quota_gossip.decode(datagram, 0.0)
                ]
                deployment.loop.call_later(
                    0.005, deployment.gate.merge, credits
                )

        deployment.on_send = answer
        statuses = [(await deployment.send()).status for _ in range(5)]
        assert statuses == [200] * 4 + [429]

    deployment.run(play)


def test_without_answer_callers_are_sent_to_another_host():
    deployment = _Deployment(active=("h1", "h2"))

    async def play():
        deployment.add_server()
        statuses = [(await deployment.send()).status for _ in range(3)]
        assert statuses == [200, 200, 503]

    deployment.run(play)
    assert deployment.metrics.counters["quota_elsewhere"] == 1


def test_no_datagrams_while_nothing_is_missing():
    deployment = _Deployment(active=("h1", "h2"))

    async def play():
        deployment.add_server()
        assert (await deployment.send()).status == 200
        assert deployment.gate.build_datagrams() == []

    deployment.run(play)


@pytest.mark.parametrize("count", [1, 3])
def test_requests_sent_after_a_wait_count_when_they_are_sent(count):
    # Otherwise a queue could release them beside those of the refilled bucket.
    deployment = _Deployment()

    async def play():
        charges = [await deployment.gate.take("acme") for _ in range(count)]
        for _ in range(6):
            deployment.set_fleet()
            await asyncio.sleep(1.0)
        deployment.set_fleet()
        taken = 0
        while not isinstance(
            await deployment.gate.take("acme"), quotas.Refusal
        ):
            taken += 1
        assert taken == 4 - count
        for charge in charges:
            assert charge.renew() is None
            charge.close()

    deployment.run(play)


def test_waiting_requests_are_refused_if_the_limit_was_lowered_meanwhile():
    deployment = _Deployment()

    async def play():
        charges = [await deployment.gate.take("acme") for _ in range(4)]
        deployment.gate.configure({"acme": _ACME._replace(burst=1.0)})
        await asyncio.sleep(0.1)
        refusals = [charge.renew() for charge in charges]
        assert refusals.count(None) <= 1
        for charge in charges:
            charge.close()

    deployment.run(play)
