"""Tests of request handlers on a deployment with workspaces.

Request handlers run unchanged in virtual time, with simulated servers that
record what they are sent.
"""

import asyncio
import random as random_module

import pytest

from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import credentials
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import metrics
from eelgrasshall.gateway import model
from eelgrasshall.gateway import relay
from eelgrasshall.gateway import request_handler
from eelgrasshall.gateway import simulated_server
from eelgrasshall.gateway import virtual_time

_KEY = "k-4d1c9b"
_BEARER = ("Authorization", f"Bearer {_KEY}")
_ACME = fakes.make_workspace("acme", _KEY)
_SHARDS = ("s1", "s2", "s3")
_SEARCH = fakes.make_route(shards=_SHARDS, path_prefix="/find/")
_OPEN = fakes.make_route(
    "open", path_prefix="/open/", service="orders"
)._replace(keyless=True)
_ROUTES = (_SEARCH, _OPEN)
_SERVICES = ("orders", *_SHARDS)


class _Server(simulated_server.Server):
    """A simulated server that records the requests that it is sent."""

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.requests: list[bytes] = []
        # Numbers of the requests that it does not answer.
        self.ignored: set[int] = set()

    def receive(self, transport, data: bytes) -> None:
        """Records a request and runs it."""
        if not data.startswith(b"GET /health"):
            self.requests.append(data)
            if len(self.requests) in self.ignored:
                return
        super().receive(transport, data)


class _Log(fakes.Log):
    """A log that records the lines of single requests too."""

    def allow_request_line(self, *, failed: bool) -> bool:
        """Returns whether a request may be logged: always."""
        del failed
        return True


class _Deployment:
    """One request handler and the servers of all services."""

    def __init__(
        self, *, service_time_s: float = 0.01, slots: int = 6, replicas: int = 3
    ):
        self.loop = virtual_time.VirtualTimeLoop()
        self.log = _Log()
        self.metrics = metrics.Metrics()
        random = random_module.Random(1)
        self.servers: list[_Server] = []
        for service in _SERVICES:
            for number in range(replicas):
                registration = fakes.make_server(
                    f"{service}-{number}",
                    service=service,
                    port=1000 + len(self.servers),
                    slots=slots,
                )
                server = _Server(
                    loop=self.loop,
                    server=registration,
                    random=random,
                    service_times_s={
                        b"/find": service_time_s,
                        b"/open": service_time_s,
                    },
                    pause_s=0.0,
                )
                self.servers.append(server)
                self.loop.add_endpoint(registration.address, server)
        self.handler: request_handler.RequestHandler = None

    def run(self, play) -> None:
        """Runs a coroutine function."""
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(self._run(play))
            self.loop.run_until_complete(asyncio.sleep(0.1))
        finally:
            self.loop.close()
            asyncio.set_event_loop(None)

    async def _run(self, play) -> None:
        self.handler = request_handler.RequestHandler(
            own=fakes.make_host(),
            names=fakes.NAMES,
            extra_attempt_bound=hedging.ExtraAttemptBound(1.0, 100.0, 10.0),
            cold_start_bound=cold_start.ColdStartBound(1.5, 5.0),
            random=random_module.Random(1),
            log=self.log,
            metrics=self.metrics,
        )
        try:
            await play()
        finally:
            self.handler.close()

    def apply(
        self,
        version: int = 1,
        *,
        workspaces: tuple[model.Workspace, ...] | None = (_ACME,),
        routes: tuple[model.Route, ...] = _ROUTES,
    ) -> None:
        """Puts a configuration in force."""
        self.handler.apply_configuration(
            fakes.make_configuration(
                version,
                routes=routes,
                services=_SERVICES,
                workspaces=workspaces,
            )
        )
        for server in self.servers:
            self.handler.registry.set_server(server.server.id, server.server, 1)

    async def send(self, *headers, target="/find/x", from_host=False, **kwargs):
        """Sends a request and returns the response."""
        request = fakes.make_request(target, headers=headers, **kwargs)
        return await self.handler.handle(request, from_host=from_host)

    @property
    def requests(self) -> list[bytes]:
        """All requests that servers were sent."""
        return [each for server in self.servers for each in server.requests]

    def list_names(self) -> set[tuple[bytes, ...]]:
        """Returns the values of workspace headers, as sent to servers."""
        return {
            tuple(
                line.partition(b": ")[2]
                for line in request.split(b"\r\n")
                if line.lower().startswith(b"x-workspace:")
            )
            for request in self.requests
        }


def _get(response, name: bytes) -> bytes | None:
    return dict(response.headers).get(name)


@pytest.mark.parametrize(
    ("headers", "challenge"),
    [
        ((), b"Bearer"),
        ((("Authorization", "Bearer k-unknown"),), b"invalid_token"),
        ((("Authorization", "Basic k"),), b"invalid_request"),
        ((_BEARER, _BEARER), b"invalid_request"),
        ((("Authorization", "Bearer " + "k" * 16000),), b"invalid_token"),
        ((("X-Workspace", "acme"),), b"Bearer"),
        ((("Eelgrasshall-Relayed-Workspace", "acme"),), b"Bearer"),
    ],
)
def test_request_without_a_valid_key_is_answered_401_and_not_sent(
    headers, challenge
):
    deployment = _Deployment()

    async def play():
        deployment.apply()
        # Even without a request id: the key is checked before it.
        response = await deployment.send(*headers)
        assert response.status == 401
        assert challenge in _get(response, b"WWW-Authenticate")
        request = fakes.make_request(headers=headers)
        request.headers.remove((b"X-Id", b"a1"))
        assert (await deployment.handler.handle(request)).status == 401

    deployment.run(play)
    assert not deployment.requests


def test_unknown_route_and_missing_configuration_take_precedence():
    deployment = _Deployment()

    async def play():
        response = await deployment.send()
        assert response.status == 503 and _get(response, b"retry-after")
        deployment.apply()
        response = await deployment.send(target="/nowhere/x")
        assert response.status == 404
        assert _get(response, b"WWW-Authenticate") is None

    deployment.run(play)


def test_hedges_and_retries_of_all_parts_carry_the_name_and_no_key():
    # A server that gets an attempt without the name, or with the one that a
    # caller chose, serves it for the wrong workspace.
    deployment = _Deployment()

    async def play():
        deployment.apply()
        for server in deployment.servers:
            if server.server.id.startswith("s1"):
                server.ignored = {1}
            if server.server.id == "s2-0":
                server.shedding.append(simulated_server.Span(0.0, 99.0, 1.0))
        # The share of extra attempts is in force after a window.
        for _ in range(12):
            deployment.handler.set_extra_share(1.0)
            await asyncio.sleep(1.0)
        for _ in range(12):
            await deployment.send(
                _BEARER, ("X-Workspace", "other"), ("x-workspace", "acme")
            )
            await asyncio.sleep(0.05)
        assert deployment.metrics.counters["hedges"]
        assert deployment.metrics.counters["repeats"]

    deployment.run(play)
    assert deployment.list_names() == {(b"acme",)}
    for request in deployment.requests:
        assert b"authorization" not in request.lower()
        assert _KEY.encode() not in request


def test_keyless_route_identifies_a_valid_key_and_ignores_another():
    deployment = _Deployment()

    async def play():
        deployment.apply()
        for headers in (
            (),
            (("Authorization", "Bearer k-unknown"),),
            (("X-Workspace", "acme"),),
            (_BEARER, _BEARER),
        ):
            response = await deployment.send(*headers, target="/open/x")
            assert response.status == 200
        assert deployment.list_names() == {()}
        assert (await deployment.send(_BEARER, target="/open/x")).status == 200
        assert deployment.list_names() == {(), (b"acme",)}

    deployment.run(play)
    assert not any(b"uthorization" in each for each in deployment.requests)


def test_headers_pass_where_no_workspaces_are_configured():
    deployment = _Deployment()

    async def play():
        deployment.apply(workspaces=None)
        response = await deployment.send(_BEARER, ("X-Workspace", "own"))
        assert response.status == 200

    deployment.run(play)
    assert deployment.list_names() == {(b"own",)}
    assert all(b"Bearer k-4d1c9b" in each for each in deployment.requests)


def test_keys_take_effect_with_the_version_that_adds_or_withdraws_them():
    deployment = _Deployment()

    async def play():
        deployment.apply(1, workspaces=())
        assert (await deployment.send(_BEARER)).status == 401
        deployment.apply(2)
        assert (await deployment.send(_BEARER)).status == 200
        deployment.apply(3, workspaces=(fakes.make_workspace("acme", "new"),))
        assert (await deployment.send(_BEARER)).status == 401
        deployment.apply(4, workspaces=None)
        assert (await deployment.send()).status == 200

    deployment.run(play)


@pytest.mark.parametrize(
    ("before", "after", "statuses"),
    [
        ((_ACME,), (), {401}),
        ((_ACME,), (_ACME,), {200}),
        ((_ACME,), None, {200}),
        (None, (), {401}),
        (None, (_ACME,), {200}),
    ],
)
def test_key_of_a_waiting_request_is_checked_again(before, after, statuses):
    # A request must not be sent under a key that was withdrawn meanwhile.
    deployment = _Deployment(service_time_s=0.04, slots=1, replicas=1)
    route = _SEARCH._replace(objective_s=1.0)

    async def play():
        deployment.apply(workspaces=before, routes=(route,))
        # Usual durations are known then, and requests may wait.
        for _ in range(40):
            await deployment.send(_BEARER)
        tasks = [
            asyncio.ensure_future(deployment.send(_BEARER)) for _ in range(14)
        ]
        await asyncio.sleep(0.005)
        (queue,) = deployment.handler._queues.values()
        waiting = len(queue.limiter.waiting)
        assert waiting > 3
        sent = len(deployment.requests)
        deployment.apply(2, workspaces=after, routes=(route,))
        responses = await asyncio.gather(*tasks)
        seen = [response.status for response in responses]
        assert statuses <= set(seen) <= {*statuses, 200, 503}
        if statuses == {401}:
            # One that was admitted and waited for a connection is added.
            assert seen.count(401) >= waiting
        if before and statuses == {401}:
            assert len(deployment.requests) == sent
        # The places of rejected requests are free again.
        assert not queue.limiter.running and not queue.limiter.waiting

    deployment.run(play)


def test_relayed_request_is_identified_by_the_name_that_its_host_states():
    deployment = _Deployment()
    mark = ("Eelgrasshall-Relayed-Workspace", "acme")

    async def play():
        deployment.apply()
        assert (await deployment.send(mark, from_host=True)).status == 200
        assert deployment.list_names() == {(b"acme",)}
        # A host of the previous build passes on the caller's headers.
        old = ("Eelgrasshall-Relayed", "h2")
        response = await deployment.send(old, mark, from_host=True)
        assert response.status == 401
        response = await deployment.send(old, _BEARER, from_host=True)
        assert response.status == 200
        # The host that relays may have an earlier or a later configuration.
        unknown = ("Eelgrasshall-Relayed-Workspace", "zoo")
        response = await deployment.send(unknown, from_host=True)
        assert response.status == 503 and _get(response, b"retry-after")
        deployment.apply(2, workspaces=None)
        assert (await deployment.send(mark, from_host=True)).status == 503

    deployment.run(play)
    assert deployment.list_names() == {(b"acme",)}
    assert not any(b"relayed" in each.lower() for each in deployment.requests)


class _LostLinks:
    """The links of a host that reaches no server, as far as it knows."""

    lost = in_doubt = True

    def note_connected(self) -> None:
        """Ignores a connection."""

    def close(self) -> None:
        """Does nothing."""


class _Relay:
    """A relay that answers all requests, and records them."""

    def __init__(self):
        self.has_helpers = True
        self.sent: list[bytes] = []
        self.options: list[dict] = []

    async def send(self, request: messages.Request, **options) -> relay.Result:
        """Records a request as it would be sent."""
        self.options.append(options)
        self.sent.append(
            messages.encode_relayed_request(
                request,
                names=fakes.NAMES,
                remaining_s=1.0,
                relayed_by="h1",
                workspace=options["workspace"],
            )
        )
        return relay.Result(relay.Ending.ANSWERED, "h2", status=200)


def test_request_is_relayed_with_the_name_and_without_the_key():
    deployment = _Deployment()

    async def play():
        deployment.apply()
        handler = deployment.handler
        handler._relay = _Relay()
        handler.links = _LostLinks()
        await deployment.send(
            _BEARER, ("Eelgrasshall-Relayed-Workspace", "other")
        )
        # As with the other mark, a caller that sets it is not relayed.
        assert not handler._relay.sent
        response = await deployment.send(_BEARER, ("X-Workspace", "other"))
        assert response.status == 200
        response = await deployment.send(target="/open/x")
        assert response.status == 200
        assert (await deployment.send()).status == 401
        named, unnamed = handler._relay.sent
        assert b"eelgrasshall-relayed-workspace: acme\r\n" in named
        assert b"other" not in named and _KEY.encode() not in named
        assert b"x-workspace" not in named.lower()
        assert b"eelgrasshall-relayed: h1\r\n" in unnamed
        assert all(each["has_workspaces"] for each in handler._relay.options)

    deployment.run(play)
    assert deployment.list_names() <= {(b"acme",)}


def test_no_part_of_a_key_is_logged_or_counted():
    deployment = _Deployment()
    secrets = [_KEY, "k-unknown", "k-basic"]

    async def play():
        deployment.apply()
        for value in (f"Bearer {_KEY}", "Bearer k-unknown", "Basic k-basic"):
            await deployment.send(("Authorization", value))
        await deployment.send(_BEARER, _BEARER)
        for server in deployment.servers:
            server.shedding.append(simulated_server.Span(0.0, 1e9, 1.0))
        await deployment.send(_BEARER)

    deployment.run(play)
    assert len(deployment.log.list_events("request")) == 5
    written = repr(deployment.log.lines).encode()
    written += deployment.metrics.render({})
    written += b"".join(deployment.requests)
    for secret in secrets:
        assert secret.encode() not in written
        digest = credentials.compute_digest(secret.encode())
        assert digest.hex().encode() not in written


def test_request_that_waits_for_a_connection_is_refused_when_its_key_is_gone():
    # It was admitted, but no server has been sent anything yet.
    deployment = _Deployment(replicas=1)

    async def play():
        deployment.apply()
        for server in deployment.servers:
            server.accept = _accept_late(server.accept)
        tasks = [
            asyncio.ensure_future(deployment.send(_BEARER)),
            asyncio.ensure_future(deployment.send(_BEARER, target="/open/x")),
        ]
        await asyncio.sleep(0.05)
        assert not deployment.requests
        deployment.apply(2, workspaces=())
        await asyncio.sleep(0.0)
        assert [task.done() for task in tasks] == [True, False]
        statuses = [(await task).status for task in tasks]
        assert statuses == [401, 200]
        await asyncio.sleep(0.2)
        assert not deployment.handler._callers

    deployment.run(play)
    assert all(each.startswith(b"GET /open/") for each in deployment.requests)


def _accept_late(accept):
    async def accept_late(protocol):
        await asyncio.sleep(0.1)
        return await accept(protocol)

    return accept_late


def test_request_that_was_sent_is_answered_though_its_key_is_withdrawn():
    deployment = _Deployment(service_time_s=0.05)

    async def play():
        deployment.apply()
        task = asyncio.ensure_future(deployment.send(_BEARER))
        await asyncio.sleep(0.03)
        assert deployment.requests
        deployment.apply(2, workspaces=())
        assert (await task).status == 200

    deployment.run(play)


def test_requests_that_need_a_key_are_refused_while_keys_may_be_stale():
    deployment = _Deployment()

    async def play():
        deployment.apply()
        deployment.handler._has_stale_keys = lambda: True
        response = await deployment.send(_BEARER)
        assert response.status == 503 and _get(response, b"retry-after")
        assert (await deployment.send()).status == 503
        assert (await deployment.send(target="/open/x")).status == 200
        assert (await deployment.send(target="/nowhere/")).status == 404
        deployment.apply(2, workspaces=None)
        assert (await deployment.send()).status == 200

    deployment.run(play)


def test_requests_are_counted_by_workspace():
    deployment = _Deployment()

    async def play():
        deployment.apply()
        await deployment.send(_BEARER)
        await deployment.send(target="/open/x")
        await deployment.send()
        await deployment.send(("Authorization", "Bearer k-unknown"))
        for server in deployment.servers:
            server.shedding.append(simulated_server.Span(0.0, 1e9, 1.0))
        await deployment.send(_BEARER)

    deployment.run(play)
    lines = deployment.handler.workspace_metrics.render().decode()
    for line in (
        'requests_received_total{workspace="acme"} 2',
        'requests_served_total{workspace="acme"} 1',
        'waits_total{workspace="acme"} 2',
        "requests_unauthorized_total 2",
    ):
        assert f"eelgrasshall_workspace_{line}\n" in lines
    assert _KEY not in lines


def test_nothing_is_counted_without_workspaces():
    # The metrics page of such a deployment stays as it was.
    deployment = _Deployment()

    async def play():
        deployment.apply(workspaces=None)
        await deployment.send(_BEARER)

    deployment.run(play)
    assert deployment.handler.workspace_metrics.render() == b""
    (line,) = deployment.log.list_events("request")
    assert "workspace" not in line
