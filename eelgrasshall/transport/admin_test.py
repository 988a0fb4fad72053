"""Tests the admin listener over HTTP on the loopback address."""

import aiohttp
import pytest

from eelgrasshall import errors
from eelgrasshall.protocol import admin as codec
from eelgrasshall.transport import admin


class _Handler:
    def __init__(self):
        self.body = b""
        self.problems = []
        self.applied = []

    def read_status(self):
        return codec.Status(
            name="entry-1",
            zone="a",
            state="serving",
            configuration_version=3,
            members=(codec.MemberStatus("entry-1", "a", "alive", None),),
            store_reachable=False,
            owned_services=0,
            breaches=0,
        )

    def dump(self):
        return {"owners": {"orders-1": "entry-1"}}

    def render_metrics(self):
        return b"eelgrasshall_members 3\n"

    def read_configuration(self):
        return self.body

    async def apply_configuration(self, body, base_version):
        self.applied.append((body, base_version))
        return self.problems


@pytest.fixture
async def handler():
    return _Handler()


@pytest.fixture
async def client(handler):
    server = admin.AdminServer(handler=handler)
    port = await server.start("127.0.0.1", 0)
    url = f"http://127.0.0.1:{port}"
    async with aiohttp.ClientSession(url) as session:
        yield session
    await server.stop()


async def test_status_round_trips(client, handler):
    async with client.get("/status") as response:
        body = await response.read()
    assert codec.parse_status(body) == handler.read_status()
    assert codec.parse_status(b'{"name": "entry-1"}') is None


async def test_get_requests_return_the_handlers_data(client, handler):
    async with client.get("/dump") as response:
        assert (await response.json())["owners"] == {"orders-1": "entry-1"}
    async with client.get("/metrics") as response:
        assert await response.read() == b"eelgrasshall_members 3\n"
    async with client.get("/v1/configuration") as response:
        assert response.status == 404
    handler.body = b'{"version": 3}'
    async with client.get("/v1/configuration") as response:
        assert await response.json() == {"version": 3}


@pytest.mark.parametrize(
    ("kind", "status"),
    [
        (errors.ProblemKind.CONFIGURATION_CONFLICT, 409),
        (errors.ProblemKind.STORE_UNAVAILABLE, 503),
        (errors.ProblemKind.REPLY_LOST, 504),
        (errors.ProblemKind.INVALID_CONFIGURATION, 422),
    ],
)
async def test_rejected_configuration_maps_to_an_http_status(
    client, handler, kind, status
):
    handler.problems = [errors.Problem(kind, "here", "Wrong.", "Fix it.")]
    url = "/v1/configuration?base_version=3"
    async with client.post(url, data=b"{}") as response:
        assert response.status == status
        document = await response.json()
    assert document["problems"][0]["kind"] == kind.value
    assert document["problems"][0]["remedy"] == "Fix it."


async def test_accepted_configuration_increments_the_version(client, handler):
    url = "/v1/configuration?base_version=3"
    async with client.post(url, data=b"{}") as response:
        assert await response.json() == {"version": 4}
    assert handler.applied == [(b"{}", 3)]


@pytest.mark.parametrize("query", ["", "?base_version=-1", "?base_version=x"])
async def test_invalid_base_version_is_rejected(client, handler, query):
    async with client.post(f"/v1/configuration{query}", data=b"{}") as response:
        assert response.status == 422
    assert handler.applied == []


async def test_oversized_configuration_is_rejected(client, handler):
    body = b" " * (admin.MAX_CONFIGURATION_BYTES + 1)
    url = "/v1/configuration?base_version=0"
    async with client.post(url, data=body) as response:
        assert response.status == 422
    assert handler.applied == []
