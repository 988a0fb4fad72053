"""Tests of the backend servers to which a host may send requests."""

import asyncio
import collections
import contextlib

import pytest

from eelgrasshall.fakes import streams
from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import connections
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import registry as registry_module
from eelgrasshall.gateway import upstream


def _make_registry(
    own: str = "h1",
) -> tuple[registry_module.Registry, fakes.Log]:
    log = fakes.Log()
    registry = registry_module.Registry(
        log=log, own=own, cold_start_bound=cold_start.ColdStartBound(1.5, 5.0)
    )
    registry.set_environment(
        upstream.Environment(
            loop=asyncio.get_running_loop(),
            names=fakes.NAMES,
            observer=fakes.Observer(),
            count=lambda name: None,
            receive_buffer=connections.ReceiveBuffer(),
        )
    )
    registry.set_services({"orders": fakes.make_service()})
    return registry, log


def _list_names(registry: registry_module.Registry) -> list[str]:
    return [b.server.id for b in registry.find_candidates("orders")]


async def test_a_ready_server_is_a_candidate_and_a_draining_one_is_not():
    registry, log = _make_registry()
    registry.set_server("s1", fakes.make_server("s1"), 1)
    assert _list_names(registry) == ["s1"]
    registry.set_server("s1", fakes.make_server("s1", draining=True), 2)
    assert _list_names(registry) == []
    assert [line["state"] for line in log.list_events("server")] == [
        "ready",
        "draining",
    ]


async def test_a_server_is_usable_once_its_service_is_declared():
    registry, _ = _make_registry()
    registry.set_server("s1", fakes.make_server("s1", service="new"), 1)
    assert not registry.find_candidates("new")
    registry.set_services({"new": fakes.make_service("new")})
    assert [b.server.id for b in registry.find_candidates("new")] == ["s1"]


async def test_an_evacuated_zone_gets_no_requests_until_it_returns():
    registry, _ = _make_registry()
    registry.set_server("s1", fakes.make_server("s1", zone="a"), 1)
    registry.set_server("s2", fakes.make_server("s2", zone="b"), 2)
    registry.set_evacuated("a", True)
    assert _list_names(registry) == ["s2"]
    registry.set_server("s3", fakes.make_server("s3", zone="a"), 3)
    assert _list_names(registry) == ["s2"]
    registry.set_evacuated("a", False)
    assert set(_list_names(registry)) == {"s1", "s2", "s3"}


async def test_a_new_incarnation_starts_without_state():
    registry, _ = _make_registry()
    registry.set_server("s1", fakes.make_server("s1", started_at_ms=1), 1)
    before = registry.find_candidates("orders")[0]
    registry.set_server("s1", fakes.make_server("s1", started_at_ms=2), 2)
    assert registry.find_candidates("orders")[0] is not before
    assert before.closed
    registry.set_server("s1", fakes.make_server("s1", started_at_ms=1), 3)
    assert registry.find_candidates("orders")[0].server.started_at_ms == 2


async def test_an_unreadable_entry_removes_only_its_own_server():
    registry, _ = _make_registry()
    registry.set_server("s1", fakes.make_server("s1"), 1)
    registry.set_server("s2", fakes.make_server("s2"), 2)
    registry.set_server("s1", None, 3)
    assert _list_names(registry) == ["s2"]


async def test_a_misdirected_server_is_removed():
    registry, _ = _make_registry()
    registry.set_server("s1", fakes.make_server("s1"), 1)
    registry.remove_misdirected(registry.find_candidates("orders")[0])
    assert _list_names(registry) == []


async def test_all_hosts_together_respect_the_connection_limit():
    registry, _ = _make_registry()
    registry.set_server("s1", fakes.make_server("s1"), 1)
    for hosts in (1, 6, 9, 60):
        registry.set_hosts(hosts, ("h1",))
        limit = registry.find_candidates("orders")[0].connection_limit
        assert limit >= 1
        assert limit * hosts <= 46 or limit == 1


async def test_connections_are_limited_by_a_hosts_share_of_slots():
    registry, _ = _make_registry()
    registry.set_services({"orders": fakes.make_service(max_connections=100)})
    registry.set_server("s1", fakes.make_server("s1", slots=6), 1)
    limits = []
    for active in (1, 2, 6, 60):
        registry.set_active_host_count(active)
        limits.append(registry.find_candidates("orders")[0].connection_limit)
    # Twice the slots divided among the active hosts, at least two each.
    assert limits == [12, 6, 2, 2]


async def test_an_unreachable_server_is_probed_until_it_answers(monkeypatch):
    monkeypatch.setattr(registry_module, "MIN_PROBE_DELAY_S", 0.01)
    requests = []

    async def serve(reader, writer):
        requests.append(await reader.readuntil(b"\r\n\r\n"))
        # The first answer comes from another server at the same address.
        name = b"other" if len(requests) == 1 else b"s1"
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Server: %s\r\nContent-Length: 0\r\n\r\n"
            % name
        )

    async with streams.serve(serve) as (_, port):
        registry, log = _make_registry()
        registry.set_server("s1", fakes.make_server("s1", port=port), 1)
        backend = registry.find_candidates("orders")[0]
        backend.unreachable = True
        registry.start_probe(backend)
        for _ in range(200):
            if not backend.unreachable and log.list_events("server_reached"):
                break
            await asyncio.sleep(0.01)
        assert log.list_events("server_reached")
        assert len(requests) == 2
        assert requests[0].startswith(b"GET /health HTTP/1.1")
        registry.close()


async def test_a_cold_server_gets_only_its_share_of_requests():
    registry, log = _make_registry()
    registry.set_services({"orders": fakes.make_service(cold_rate_per_s=10.0)})
    registry.set_hosts(6, tuple(f"h{i}" for i in range(6)))
    registry.set_server("s1", fakes.make_server("s1", cold_remaining_s=3.0), 1)
    backend = registry.find_candidates("orders")[0]
    now = asyncio.get_running_loop().time()
    sent = 0
    while backend.can_accept(now) and sent < 100:
        backend.cold_start.record_send(now)
        sent += 1
    assert 1 <= sent <= 20 / 6
    assert backend.can_accept(now + 2) and backend.can_accept(now + 4)
    assert log.list_events("server_cold")


async def test_a_cold_server_without_a_stated_rate_is_not_limited():
    registry, _ = _make_registry()
    registry.set_server("s1", fakes.make_server("s1", cold_remaining_s=3.0), 1)
    backend = registry.find_candidates("orders")[0]
    assert backend.latency_ratio > 1.0
    assert backend.can_accept(asyncio.get_running_loop().time())


async def test_a_zone_that_returns_is_cold():
    registry, _ = _make_registry()
    registry.set_services({"orders": fakes.make_service(cold_rate_per_s=1.0)})
    registry.set_server("s1", fakes.make_server("s1", zone="a"), 1)
    registry.set_evacuated("a", True)
    registry.set_evacuated("a", False)
    now = asyncio.get_running_loop().time()
    assert registry.find_candidates("orders")[0].cold_start.is_cold(now)


async def test_shares_are_not_computed_for_warm_servers(monkeypatch):
    registry, _ = _make_registry()
    registry.set_services({"orders": fakes.make_service(cold_rate_per_s=10.0)})
    for number in range(20):
        name = f"s{number}"
        registry.set_server(name, fakes.make_server(name), number + 1)
    computed = []
    compute_host_rate = cold_start.compute_host_rate
    monkeypatch.setattr(
        cold_start,
        "compute_host_rate",
        lambda **fields: computed.append(1) or compute_host_rate(**fields),
    )
    for hosts in range(1, 50):
        registry.set_hosts(6, tuple(f"h{i}" for i in range(hosts)))
    assert not computed
    registry.set_server("s1", fakes.make_server("s1", cold_remaining_s=3.0), 99)
    assert len(computed) == 1
    registry.set_hosts(6, tuple(f"h{i}" for i in range(60)))
    assert len(computed) == 2


async def test_many_hosts_use_subsets_within_the_connection_limit():
    used = collections.Counter()
    for number in range(400):
        registry, _ = _make_registry(own=f"h{number}")
        registry.set_hosts(400, (f"h{number}",))
        for server in range(32):
            name = f"s{server}"
            registry.set_server(name, fakes.make_server(name), server + 1)
        subset = _list_names(registry)
        assert len(subset) >= 2
        used.update(subset)
    # Each host that uses a server holds one connection to it.
    assert max(used.values()) <= 46


async def test_few_hosts_use_all_servers():
    registry, _ = _make_registry()
    for server in range(32):
        name = f"s{server}"
        registry.set_server(name, fakes.make_server(name), server + 1)
    for hosts in (1, 4, 39):
        registry.set_hosts(hosts, ("h1",))
        assert len(_list_names(registry)) == 32


def _find_backend(registry, server_id: str) -> upstream.Backend:
    (backend,) = [
        each
        for each in registry.find_candidates("orders")
        if each.server.id == server_id
    ]
    return backend


async def test_server_that_announces_its_stop_gets_nothing_more():
    registry, log = _make_registry()
    for name in ("s1", "s2"):
        registry.set_server(name, fakes.make_server(name), 1)
    leaving = _find_backend(registry, "s1")
    registry.mark_leaving(leaving)
    assert _list_names(registry) == ["s2"] and leaving.closed
    # Its entry may still be ready, and be written again.
    registry.set_server("s1", fakes.make_server("s1", slots=9), 2)
    assert _list_names(registry) == ["s2"]
    registry.mark_leaving(leaving)
    assert len(log.list_events("server_leaving")) == 1


async def test_next_start_of_a_server_that_stopped_is_used():
    registry, _ = _make_registry()
    for name in ("s1", "s2"):
        registry.set_server(name, fakes.make_server(name), 1)
    before = _find_backend(registry, "s1")
    registry.mark_leaving(before)
    registry.set_server("s1", fakes.make_server("s1", started_at_ms=2), 2)
    assert set(_list_names(registry)) == {"s1", "s2"}
    # A late response of the process before says nothing of this one.
    registry.mark_leaving(before)
    assert set(_list_names(registry)) == {"s1", "s2"}


async def test_only_server_is_used_for_a_short_time_after_its_announcement(
    monkeypatch,
):
    monkeypatch.setattr(registry_module, "LAST_RESORT_S", 0.05)
    registry, log = _make_registry()
    registry.set_server("s1", fakes.make_server("s1"), 1)
    registry.mark_leaving(_find_backend(registry, "s1"))
    registry.set_server("s1", fakes.make_server("s1", slots=9), 2)
    assert _list_names(registry) == ["s1"]
    await asyncio.sleep(0.1)
    assert _list_names(registry) == []
    (line,) = log.list_events("server_leaving")
    assert line["last_resort"] is True


async def test_new_server_replaces_those_that_are_a_last_resort():
    registry, _ = _make_registry()
    for name in ("s1", "s2"):
        registry.set_server(name, fakes.make_server(name), 1)
    for name in ("s1", "s2"):
        registry.mark_leaving(_find_backend(registry, name))
    assert _list_names(registry) == ["s2"]
    registry.set_server("s3", fakes.make_server("s3"), 2)
    assert _list_names(registry) == ["s3"]


async def test_announcements_are_remembered_for_a_bounded_number(monkeypatch):
    monkeypatch.setattr(registry_module, "MAX_REMEMBERED", 2)
    registry, _ = _make_registry()
    registry.set_server("kept", fakes.make_server("kept"), 1)
    for name in ("s1", "s2", "s3"):
        registry.set_server(name, fakes.make_server(name), 1)
        registry.mark_leaving(_find_backend(registry, name))
    assert list(registry._leaving) == ["s2", "s3"]


async def test_server_that_an_older_copy_revives_is_probed_first():
    # The copy still has servers as ready that have drained or left since.
    registry, log = _make_registry()
    later = object_cache.make_revision(1, 2)
    registry.set_server("s1", fakes.make_server("s1", draining=True), 4)
    registry.set_server("s2", fakes.make_server("s2"), 5)
    registry.set_server("s2", None, 6)
    for name in ("s1", "s2", "s3"):
        registry.set_server(name, fakes.make_server(name, port=1), later)
    now = asyncio.get_running_loop().time()
    usable = [
        backend.server.id
        for backend in registry.find_candidates("orders")
        if backend.can_accept(now)
    ]
    assert usable == ["s3"]
    doubted = [line["server"] for line in log.list_events("server_doubted")]
    assert sorted(doubted) == ["s1", "s2"]
    registry.close()


async def test_server_that_is_back_in_the_same_era_is_used_at_once():
    registry, _ = _make_registry()
    for revision, server in enumerate(
        (fakes.make_server("s1"), None, fakes.make_server("s1")), start=1
    ):
        registry.set_server("s1", server, revision)
    (backend,) = registry.find_candidates("orders")
    assert backend.can_accept(asyncio.get_running_loop().time())


async def test_removed_server_is_no_longer_probed():
    # A probe of the process before kept the next one from being probed.
    registry, _ = _make_registry()
    registry.set_server("s1", fakes.make_server("s1", port=1), 1)
    (backend,) = registry.find_candidates("orders")
    backend.unreachable = True
    registry.start_probe(backend)
    registry.set_server("s1", fakes.make_server("s1", started_at_ms=2), 2)
    assert registry._probes == {}
    await asyncio.sleep(0.01)


async def test_server_is_not_probed_in_a_pause_that_it_asked_for(monkeypatch):
    monkeypatch.setattr(registry_module, "MIN_PROBE_DELAY_S", 0.02)
    registry, _ = _make_registry()
    registry.set_server("s1", fakes.make_server("s1", port=1), 1)
    (backend,) = registry.find_candidates("orders")
    now = asyncio.get_running_loop().time()
    backend._pause(b"0.2", now)
    backend.unreachable = True
    probes = []
    monkeypatch.setattr(backend, "submit", probes.append)
    registry.start_probe(backend)
    await asyncio.sleep(0.1)
    assert probes == []
    await asyncio.sleep(0.2)
    assert len(probes) == 1
    registry.close()


class _RetryingOwner:
    """An owner that looks for other servers when an attempt has failed."""

    def __init__(self, registry: registry_module.Registry):
        self._registry = registry
        self.found: list[list[str]] = []

    def handle_outcome(self, attempt, outcome) -> None:
        """Records the servers that are left."""
        self.found.append(_list_names(self._registry))


async def test_waiting_attempts_of_a_dropped_service_find_no_other_server():
    # They look for another server while its servers are removed one by one;
    # the failure of that ended the change of the configuration half way.
    registry, _ = _make_registry()
    owner = _RetryingOwner(registry)
    for name in ("s1", "s2"):
        registry.set_server(name, fakes.make_server(name), 1)
        _find_backend(registry, name).submit(fakes.make_attempt(owner, "a1"))
    registry.set_services({"new": fakes.make_service("new")})
    assert owner.found == [[], []]
    assert _list_names(registry) == []


async def test_server_that_leaves_is_kept_while_others_are_unreachable():
    registry, _ = _make_registry()
    for name in ("s1", "s2"):
        registry.set_server(name, fakes.make_server(name), 1)
    _find_backend(registry, "s2").unreachable = True
    registry.mark_leaving(_find_backend(registry, "s1"))
    assert set(_list_names(registry)) == {"s1", "s2"}
    registry.close()


@pytest.mark.parametrize(
    "piece", [b"b" * 65536, b"HTTP/1.1 200 OK\r\n" + b"X-A: " + b"b" * 65536]
)
async def test_health_check_whose_response_has_no_end_fails(monkeypatch, piece):
    monkeypatch.setattr(registry_module, "MIN_PROBE_DELAY_S", 0.01)
    sent = []

    async def answer(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            while True:
                writer.write(piece)
                sent.append(len(piece))
                await writer.drain()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    registry, _ = _make_registry()
    registry.set_server("s1", fakes.make_server("s1", port=port), 1)
    (backend,) = registry.find_candidates("orders")
    backend.unreachable = True
    registry.start_probe(backend)
    await asyncio.sleep(0.3)
    assert backend.unreachable
    # What the kernel buffers is sent as well.
    assert sent and sum(sent) < 64 * 1024 * 1024
    registry.close()
    server.close()


async def _check_once(monkeypatch, head: bytes):
    """Answers the first health check of a server with a head.

    Returns:
      The registry, the observer, the server, and whether it is healthy.
    """
    monkeypatch.setattr(registry_module, "MIN_PROBE_DELAY_S", 0.01)
    answered = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if answered.is_set():
            await asyncio.sleep(5.0)
        writer.write(head + b"Content-Length: 0\r\n\r\n")
        answered.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    registry, log = _make_registry()
    registry.set_server("s1", fakes.make_server("s1", port=port), 1)
    backend = registry.find_candidates("orders")[0]
    backend.unreachable = True
    registry.start_probe(backend)
    async with asyncio.timeout(2.0):
        await answered.wait()
    await asyncio.sleep(0.05)
    observer = registry._environment.observer
    healthy = bool(log.list_events("server_reached"))
    registry.close()
    server.close()
    return observer, backend, healthy


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        (b"X-Server: s1\r\n", True),
        # Requests name the server that may run them.
        (b"", True),
        (b"X-Server: s2\r\n", False),
        (b"X-Server: s1\r\nX-Server: s2\r\n", False),
        (b"X-Id: a1\r\nX-Seal: s\r\n", False),
        (b"X-Id: a1\r\nX-Server: s1\r\n", False),
    ],
    ids=["own", "none", "other", "two", "request", "request to the server"],
)
async def test_response_to_something_else_is_no_health(
    monkeypatch, header, expected
):
    # A server that was down got requests again because of the late response to
    # a caller's request.
    head = b"HTTP/1.1 200 OK\r\n" + header
    _, _, healthy = await _check_once(monkeypatch, head)
    assert healthy == expected


@pytest.mark.parametrize("status", [b"200 OK", b"503 Busy"])
@pytest.mark.parametrize(("name", "applies"), [(b"s1", True), (b"s2", False)])
async def test_other_server_at_the_address_speaks_for_itself_only(
    monkeypatch, name, applies, status
):
    # A server was taken for one that stops, pauses or states a rate, since
    # another one had its address.
    head = (
        b"HTTP/1.1 %s\r\nX-Server: %s\r\nX-Leaving: 1\r\nX-Limit: 2\r\n"
        b"Retry-After: 1\r\n" % (status, name)
    )
    observer, backend, _ = await _check_once(monkeypatch, head)
    assert bool(observer.leaving) == applies
    assert [rate for rate, _ in observer.stated_rates] == [2.0] * applies
    assert bool(observer.pauses_s) == (applies and status != b"200 OK")
