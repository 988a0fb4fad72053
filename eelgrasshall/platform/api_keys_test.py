"""Tests of API keys on entry hosts that are processes of the real program."""

import asyncio
import signal

import pytest

from eelgrasshall.gateway import peer_sync
from eelgrasshall.gateway import watcher
from eelgrasshall.platform import fault_proxy
from eelgrasshall.platform import fleet as fleet_module

# A configuration is in force everywhere within this time.
_APPLY_S = 3.0
_REVOKE_S = 2.0
# Time after which a cut host serves its callers through others.
_CONTACT_S = 4.0
_OLD_KEY = "k-old-93f1c2"
_NEW_KEY = "k-new-5be07d"
_WRONG_KEY = "k-wrong-77aa"
_SECRETS = (_OLD_KEY, _NEW_KEY, _WRONG_KEY)


def _authorize(key: str) -> list[tuple[str, str]]:
    return [("Authorization", f"Bearer {key}"), ("X-Tenant", "other")]


def _make_tenants(*keys: str) -> list[dict]:
    return [
        {"name": "acme", "apiKeys": list(keys), "ratePerS": 1000, "burst": 99},
        {"name": "zoo", "apiKeys": ["k-zoo"]},
    ]


async def _start(fleet: fleet_module.Fleet) -> None:
    fleet.tenants = _make_tenants(_OLD_KEY)
    await fleet.start()
    for name in fleet.host_names:
        await fleet.wait_ready(name)
    await asyncio.sleep(1.0)


async def _get_statuses(
    fleet, headers, *, target="/search/x", prefix="r"
) -> set[int]:
    """Returns the statuses of one request at each host."""
    statuses = set()
    for name in fleet.host_names:
        status, _, _ = await fleet.send_request(
            name, target, f"{prefix}-{name}", headers=headers
        )
        statuses.add(status)
    return statuses


class _Connection:
    """A caller's connection that stays open."""

    def __init__(self, port: int):
        self._port = port

    async def open(self) -> None:
        """Opens it."""
        self._reader, self._writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )

    async def send(self, key: str) -> int:
        """Sends a request with a key and returns the status."""
        self._writer.write(
            b"GET /single/x HTTP/1.1\r\nHost: orders.example\r\n"
            b"X-Attempt-Id: kept\r\nAuthorization: Bearer %s\r\n\r\n"
            % key.encode()
        )
        async with asyncio.timeout(5.0):
            head = await self._reader.readuntil(b"\r\n\r\n")
            _, _, length = head.lower().partition(b"content-length: ")
            await self._reader.readexactly(int(length.split()[0]))
        return int(head.split()[1])

    def close(self) -> None:
        """Closes it."""
        self._writer.close()


async def _collect_output(fleet) -> bytes:
    """Returns all that the hosts write: logs, state dumps and metrics."""
    output = b""
    for name in fleet.host_names:
        fleet.signal_host(name, signal.SIGUSR1)
        request = b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n"
        # The metrics are on the second of the inner ports, and at the callers'
        # address.
        for offset in (0, 5):
            _, _, body = await fleet_module.fetch(
                fleet.find_port(name, offset), request
            )
            output += body
    await asyncio.sleep(0.5)
    logs = "".join(fleet.read_log(name) for name in fleet.host_names)
    return output + logs.encode()


def _check_requests(fleet) -> None:
    """Checks that servers were told the name of the workspace and no key."""
    requests = [
        each for server in fleet.servers.values() for each in server.requests
    ]
    assert requests
    for request in requests:
        values = [v for k, v in request.headers if k.lower() == b"x-tenant"]
        assert values == [b"acme"]
        assert request.get_header(b"authorization") is None
        assert not any(
            key.encode() in repr(request).encode() for key in _SECRETS
        )


async def test_keys_are_added_and_withdrawn_and_written_nowhere(tmp_path):
    fleet = fleet_module.Fleet(folder=tmp_path, hosts=3, shards=2, replicas=2)
    try:
        fleet.store.era = 1
        await _start(fleet)
        copy = fleet.store.take_copy()
        assert await _get_statuses(fleet, _authorize(_OLD_KEY)) == {200}
        for key in (_NEW_KEY, _WRONG_KEY):
            assert await _get_statuses(fleet, _authorize(key)) == {401}
        for headers in ([], _authorize(_OLD_KEY) * 2, [("X-Tenant", "acme")]):
            assert await _get_statuses(fleet, headers) == {401}
        long_key = [("Authorization", "Bearer " + "k" * 16000)]
        assert await _get_statuses(fleet, long_key) == {401}
        longer_key = [("Authorization", "Bearer " + "k" * 17000)]
        assert await _get_statuses(fleet, longer_key) == {431}
        _, headers, _ = await fleet.send_request("host0", "/search/x", "r1")
        assert headers["www-authenticate"] == "bearer"
        assert await _get_statuses(fleet, [], target="/none/x") == {404}

        # A later version withdraws a key and adds one; connections stay open.
        connection = _Connection(fleet.find_port("host0"))
        await connection.open()
        assert await connection.send(_OLD_KEY) == 200
        fleet.tenants = _make_tenants(_NEW_KEY)
        fleet.publish_configuration()
        await asyncio.sleep(_APPLY_S)
        assert await connection.send(_OLD_KEY) == 401
        assert await connection.send(_NEW_KEY) == 200
        connection.close()
        assert await _get_statuses(fleet, _authorize(_OLD_KEY)) == {401}
        assert await _get_statuses(fleet, _authorize(_NEW_KEY)) == {200}

        # The store comes back with the version that has the old key.  A host
        # that starts then gets the later version from the others.
        fleet.store.restore(copy)
        await asyncio.sleep(1.0)
        fleet.signal_host("host1", signal.SIGKILL)
        await fleet.processes["host1"].wait()
        await fleet.start_host("host1")
        await fleet.wait_ready("host1")
        await asyncio.sleep(1.0)
        assert await _get_statuses(fleet, _authorize(_OLD_KEY)) == {401}
        assert await _get_statuses(fleet, _authorize(_NEW_KEY)) == {200}

        # A version with a key twice is not used, and its key is not logged.
        fleet.tenants = [
            *_make_tenants(_OLD_KEY),
            {"name": "thief", "apiKeys": [_OLD_KEY]},
        ]
        fleet.publish_configuration()
        await asyncio.sleep(_APPLY_S)
        assert await _get_statuses(fleet, _authorize(_OLD_KEY)) == {401}
        assert await _get_statuses(fleet, _authorize(_NEW_KEY)) == {200}
        assert "unreadable" in fleet.read_log("host0")

        _check_requests(fleet)
        output = await _collect_output(fleet)
        assert b'requests_served_total{workspace="acme"}' in output
        for key in _SECRETS:
            assert key.encode() not in output
        # The objects of the store, with all keys, are for other hosts only.
        path = f"{peer_sync.UPDATES_PATH}?0,0,0,0"
        request = f"GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n".encode()
        for offset, is_readable in (
            (0, False),
            (1, False),
            (2, True),
            (3, False),
        ):
            _, _, body = await fleet_module.fetch(
                fleet.find_port("host0", offset), request
            )
            assert (_NEW_KEY.encode() in body) == is_readable, offset
    finally:
        await fleet.stop()


@pytest.mark.parametrize("strict", [True, False])
async def test_strict_revocation_needs_contact_to_the_store(tmp_path, strict):
    # A host that cannot learn of a withdrawn key must not go on accepting it.
    fleet = fleet_module.Fleet(folder=tmp_path, hosts=3, shards=2, replicas=2)
    if strict:
        revoke_ms = round(_REVOKE_S * 1000)
        fleet.more_bounds = f"strictRevoke = true\nrevokeMs = {revoke_ms}"
    try:
        await _start(fleet)
        # The other hosts still hear from a host that reaches the store.
        for name in ("host0", "host1"):
            fleet.store_proxies[name].cut("", fault_proxy.Cut.RESET)
        await asyncio.sleep(_REVOKE_S + 2.0)
        assert await _get_statuses(fleet, _authorize(_OLD_KEY)) == {200}
        fleet.store_proxies["host2"].cut("", fault_proxy.Cut.RESET)
        await asyncio.sleep(_REVOKE_S + 2.0)
        refused = {503} if strict else {200}
        assert await _get_statuses(fleet, _authorize(_OLD_KEY)) == refused
        fleet.store_proxies["host1"].mend("")
        # A host counts as reaching the store once its next watch has ended.
        await asyncio.sleep(
            watcher.MAX_BACKOFF_S + watcher.MAX_WATCH_WAIT_S + 1.0
        )
        assert await _get_statuses(fleet, _authorize(_OLD_KEY)) == {200}
    finally:
        await fleet.stop()


async def test_host_that_is_cut_off_relays_with_the_name(tmp_path):
    fleet = fleet_module.Fleet(
        folder=tmp_path, hosts=3, shards=2, replicas=2, links=True
    )
    try:
        await _start(fleet)
        fleet.cut_host("host0", fault_proxy.Cut.HANG)
        await asyncio.sleep(_CONTACT_S)
        for number in range(10):
            status, _, _ = await fleet.send_request(
                "host0",
                "/search/x",
                f"relayed-{number}",
                headers=[
                    *_authorize(_OLD_KEY),
                    ("Eelgrasshall-Relayed-Workspace", "zoo"),
                ][: 3 if number == 0 else 2],
            )
            assert status == (503 if number == 0 else 200)
        executed = {
            request_id
            for server in fleet.servers.values()
            for request_id, _ in server.executed
        }
        assert len(executed) == 9
        _check_requests(fleet)
        output = await _collect_output(fleet)
        assert _OLD_KEY.encode() not in output
    finally:
        await fleet.stop()
