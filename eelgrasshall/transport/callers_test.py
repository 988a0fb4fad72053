"""Tests the callers' HTTP listener on the loopback address."""

import asyncio
import json

import aiohttp
import pytest

from eelgrasshall import invariants as invariants_module
from eelgrasshall.protocol import caller
from eelgrasshall.transport import callers

ANSWER = caller.Outcome(caller.OutcomeType.ANSWER, 200, (), b"{}")


class Handler:
    """Responds once `release` is set."""

    def __init__(self):
        self.requests = []
        self.cancelled = asyncio.Event()
        self.arrived = asyncio.Event()
        self.release = asyncio.Event()
        self.release.set()

    async def query(self, request):
        self.requests.append(request)
        self.arrived.set()
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return ANSWER

    async def list_addresses(self, zone):
        answer = caller.AddressAnswer(5.0, (), f"prefix-{zone}")
        return caller.encode_addresses(answer)


class Listener:
    """A running listener with an HTTP client."""

    def __init__(self, handler, server, port):
        self.handler = handler
        self.server = server
        self.url = f"http://127.0.0.1:{port}"
        self.client = aiohttp.ClientSession()

    def post(self, document=None, **options):
        if document is not None:
            options["data"] = json.dumps(document)
        return self.client.post(f"{self.url}/v1/query", **options)


@pytest.fixture
async def listener():
    handler = Handler()
    server = callers.CallerServer(
        handler=handler,
        invariants=invariants_module.InvariantChecker(raising=True),
    )
    port = await server.start("127.0.0.1", 0)
    started = Listener(handler, server, port)
    yield started
    handler.release.set()
    await started.client.close()
    await server.stop()


QUERY = {"kind": "orders", "query": {"b": 1, "a": [2.5]}, "deadline_ms": 300}


async def test_request_is_parsed_and_its_id_echoed(listener):
    headers = {"X-Request-Id": "r7", "X-Caller": "gang", "Idempotency-Key": "k"}
    async with listener.post(QUERY, headers=headers) as response:
        assert response.status == 200
        assert response.headers["X-Request-Id"] == "r7"
        assert await response.json() == {}
    assert listener.handler.requests == [
        caller.QueryRequest(
            "r7", "orders", b'{"a":[2.5],"b":1}', 300, "gang", "", "k"
        )
    ]


@pytest.mark.parametrize(
    ("data", "where"),
    [
        (b"", "body"),
        (b"[1]", "body"),
        (b'{"kind":"k","query":NaN}', "body"),
        (b"[" * 100_000, "body"),
        (b'{"kind":"k"}', "query"),
        (b'{"query":1}', "kind"),
        (b'{"kind":7,"query":1}', "kind"),
        (b'{"kind":"k","query":1,"deadline_ms":0}', "deadline_ms"),
        (b'{"kind":"k","query":1,"deadline_ms":true}', "deadline_ms"),
        (b'{"kind":"k","query":1,"extra":1}', "extra"),
        (b'{"kind":"k","query":1,"ticket":"\\u0007"}', "ticket"),
        (b'{"kind":"k","query":1,"first_send":1}', "first_send"),
    ],
)
async def test_malformed_input_is_rejected_with_a_problem(
    listener, data, where
):
    async with listener.post(data=data) as response:
        document = await response.json()
    assert response.status == 400
    assert document["outcome"] == "not_run"
    assert document["problems"][0]["kind"] == "malformed_request"
    assert document["problems"][0]["where"] == where
    assert document["problems"][0]["remedy"]
    assert not listener.handler.requests


@pytest.mark.parametrize(
    ("request_id", "echoed_id"), [("r7", "r7"), ("x" * 129, "")]
)
async def test_rejection_echoes_only_a_valid_request_id(
    listener, request_id, echoed_id
):
    headers = {"X-Request-Id": request_id}
    async with listener.post(data=b"", headers=headers) as response:
        assert (await response.json())["request_id"] == echoed_id
        assert response.headers.get("X-Request-Id", "") == echoed_id


async def test_oversized_body_is_rejected(listener):
    data = b"x" * (callers.MAX_HTTP_BODY_BYTES + 1)
    async with listener.post(data=data) as response:
        document = await response.json()
    assert response.status == 413
    assert document["problems"][0]["kind"] == "request_too_large"
    assert not listener.handler.requests


async def test_unknown_path_is_rejected_with_a_problem(listener):
    async with listener.client.get(f"{listener.url}/v2/query") as response:
        assert response.status == 404
        assert (await response.json())["outcome"] == "not_run"


async def test_addresses_are_requested_by_zone(listener):
    async with listener.client.get(
        f"{listener.url}/v1/addresses?zone=z1"
    ) as response:
        assert (await response.json())["ticket_prefix"] == "prefix-z1"


async def test_caller_disconnect_cancels_its_request(listener):
    listener.handler.release.clear()
    task = asyncio.create_task(listener.post(QUERY).__aenter__())
    await listener.handler.arrived.wait()
    task.cancel()
    async with asyncio.timeout(5):
        await listener.handler.cancelled.wait()


async def wait_until_refused(listener):
    """Opens connections until the listener refuses them."""
    async with asyncio.timeout(5):
        while True:
            try:
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", int(listener.url.rpartition(":")[2])
                )
            except OSError:
                return
            writer.close()


async def test_stop_waits_for_requests_in_flight(listener):
    listener.handler.release.clear()
    task = asyncio.create_task(listener.post(QUERY).__aenter__())
    await listener.handler.arrived.wait()
    stop = asyncio.create_task(listener.server.stop())
    await wait_until_refused(listener)
    listener.handler.release.set()
    response = await task
    assert response.status == 200
    assert response.headers["Connection"] == "close"
    await stop


async def test_stop_that_aborts_a_request_breaches_an_invariant(listener):
    listener.handler.release.clear()
    task = asyncio.create_task(listener.post(QUERY).__aenter__())
    await listener.handler.arrived.wait()
    with pytest.raises(invariants_module.BreachError):
        await listener.server.stop(timeout_s=0.01)
    with pytest.raises(aiohttp.ServerDisconnectedError):
        await task


async def test_draining_sends_connection_close(listener):
    async with listener.post(QUERY) as response:
        assert response.headers.get("Connection") != "close"
    listener.server.start_draining()
    async with listener.post(QUERY) as response:
        assert response.headers["Connection"] == "close"
