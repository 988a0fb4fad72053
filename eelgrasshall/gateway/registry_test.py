"""Tests of which backend servers may get work."""

import asyncio
import collections

from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import registry
from eelgrasshall.gateway import standins
from eelgrasshall.gateway import upstream


def _make(own: str = "h1") -> tuple[registry.Registry, standins.Log]:
    log = standins.Log()
    made = registry.Registry(
        log=log, own=own, cold_bound=cold_start.ColdStartBound(1.5, 5.0)
    )
    made.attach(
        upstream.Environment(
            loop=asyncio.get_running_loop(),
            names=standins.NAMES,
            observer=standins.Observer(),
            count=lambda name: None,
        )
    )
    made.set_services({"orders": standins.make_service()})
    return made, log


def _names(made: registry.Registry) -> list[str]:
    return [b.server.id for b in made.find_candidates("orders")]


async def test_a_ready_server_is_a_candidate_and_a_draining_one_is_not():
    made, log = _make()
    made.set_server("s1", standins.make_server("s1"), 1)
    assert _names(made) == ["s1"]
    made.set_server("s1", standins.make_server("s1", draining=True), 2)
    assert _names(made) == []
    assert [line["state"] for line in log.events("server")] == [
        "ready",
        "draining",
    ]


async def test_a_server_of_a_service_that_is_not_declared_yet_waits():
    made, _ = _make()
    made.set_server("s1", standins.make_server("s1", service="new"), 1)
    assert not made.find_candidates("new")
    made.set_services({"new": standins.make_service("new")})
    assert [b.server.id for b in made.find_candidates("new")] == ["s1"]


async def test_an_evacuated_zone_gets_nothing_until_it_is_back():
    made, _ = _make()
    made.set_server("s1", standins.make_server("s1", zone="a"), 1)
    made.set_server("s2", standins.make_server("s2", zone="b"), 2)
    made.set_evacuated("a", True)
    assert _names(made) == ["s2"]
    made.set_server("s3", standins.make_server("s3", zone="a"), 3)
    assert _names(made) == ["s2"]
    made.set_evacuated("a", False)
    assert set(_names(made)) == {"s1", "s2", "s3"}


async def test_a_new_incarnation_starts_with_nothing_known():
    made, _ = _make()
    made.set_server("s1", standins.make_server("s1", born_ms=1), 1)
    before = made.find_candidates("orders")[0]
    made.set_server("s1", standins.make_server("s1", born_ms=2), 2)
    assert made.find_candidates("orders")[0] is not before
    assert before.gone
    made.set_server("s1", standins.make_server("s1", born_ms=1), 3)
    assert made.find_candidates("orders")[0].server.born_ms == 2


async def test_an_unreadable_entry_names_no_server_and_others_hold():
    made, _ = _make()
    made.set_server("s1", standins.make_server("s1"), 1)
    made.set_server("s2", standins.make_server("s2"), 2)
    made.set_server("s1", None, 3)
    assert _names(made) == ["s2"]


async def test_another_server_at_the_address_takes_the_entry_out():
    made, _ = _make()
    made.set_server("s1", standins.make_server("s1"), 1)
    made.drop_misdirected(made.find_candidates("orders")[0])
    assert _names(made) == []


async def test_all_hosts_together_keep_a_servers_connections():
    made, _ = _make()
    made.set_server("s1", standins.make_server("s1"), 1)
    for hosts in (1, 6, 9, 60):
        made.set_hosts(hosts, ("h1",))
        share = made.find_candidates("orders")[0].max_open
        assert share >= 1
        assert share * hosts <= 46 or share == 1


async def test_connections_follow_the_slots_that_a_host_can_use():
    made, _ = _make()
    made.set_services({"orders": standins.make_service(max_connections=100)})
    made.set_server("s1", standins.make_server("s1", slots=6), 1)
    shares = []
    for carrying in (1, 2, 6, 60):
        made.set_carrying(carrying)
        shares.append(made.find_candidates("orders")[0].max_open)
    # Twice the slots over all hosts, but two each at least.
    assert shares == [12, 6, 2, 2]


async def test_an_unreachable_server_is_asked_until_it_answers(monkeypatch):
    monkeypatch.setattr(registry, "FIRST_PROBE_S", 0.01)
    asked = []

    async def serve(reader, writer):
        asked.append(await reader.readuntil(b"\r\n\r\n"))
        # The first answer is that of another server at the same address.
        name = b"other" if len(asked) == 1 else b"s1"
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Server: %s\r\nContent-Length: 0\r\n\r\n"
            % name
        )

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    made, log = _make()
    made.set_server("s1", standins.make_server("s1", port=port), 1)
    backend = made.find_candidates("orders")[0]
    backend.unreachable = True
    made.probe(backend)
    for _ in range(200):
        if not backend.unreachable and log.events("server_reached"):
            break
        await asyncio.sleep(0.01)
    assert log.events("server_reached")
    assert len(asked) == 2
    assert asked[0].startswith(b"GET /health HTTP/1.1")
    made.close()
    server.close()


async def test_a_cold_server_gets_its_share_and_no_more():
    made, log = _make()
    made.set_services({"orders": standins.make_service(cold_rate=10.0)})
    made.set_hosts(6, tuple(f"h{i}" for i in range(6)))
    made.set_server("s1", standins.make_server("s1", cold_s=3.0), 1)
    backend = made.find_candidates("orders")[0]
    now = asyncio.get_running_loop().time()
    sent = 0
    while backend.may_start(now) and sent < 100:
        backend.cold.record_send(now)
        sent += 1
    assert 1 <= sent <= 20 / 6
    assert backend.may_start(now + 2) and backend.may_start(now + 4)
    assert log.events("server_cold")


async def test_a_server_without_a_stated_rate_is_only_slow_when_cold():
    made, _ = _make()
    made.set_server("s1", standins.make_server("s1", cold_s=3.0), 1)
    backend = made.find_candidates("orders")[0]
    assert backend.slowness > 1.0
    assert backend.may_start(asyncio.get_running_loop().time())


async def test_a_zone_that_returns_is_cold():
    made, _ = _make()
    made.set_services({"orders": standins.make_service(cold_rate=1.0)})
    made.set_server("s1", standins.make_server("s1", zone="a"), 1)
    made.set_evacuated("a", True)
    made.set_evacuated("a", False)
    now = asyncio.get_running_loop().time()
    assert made.find_candidates("orders")[0].cold.is_cold(now)


async def test_many_hosts_cost_nothing_for_servers_that_are_warm(monkeypatch):
    made, _ = _make()
    made.set_services({"orders": standins.make_service(cold_rate=10.0)})
    for number in range(20):
        name = f"s{number}"
        made.set_server(name, standins.make_server(name), number + 1)
    worked_out = []
    compute_host_rate = cold_start.compute_host_rate
    monkeypatch.setattr(
        cold_start,
        "compute_host_rate",
        lambda **fields: worked_out.append(1) or compute_host_rate(**fields),
    )
    for hosts in range(1, 50):
        made.set_hosts(6, tuple(f"h{i}" for i in range(hosts)))
    assert not worked_out
    made.set_server("s1", standins.make_server("s1", cold_s=3.0), 99)
    assert len(worked_out) == 1
    made.set_hosts(6, tuple(f"h{i}" for i in range(60)))
    assert len(worked_out) == 2


async def test_hosts_beyond_a_servers_connections_share_servers_by_lot():
    used = collections.Counter()
    for number in range(400):
        made, _ = _make(own=f"h{number}")
        made.set_hosts(400, (f"h{number}",))
        for server in range(32):
            name = f"s{server}"
            made.set_server(name, standins.make_server(name), server + 1)
        own = _names(made)
        assert len(own) >= 2
        used.update(own)
    # One connection of each host that uses a server.
    assert max(used.values()) <= 46


async def test_a_few_hosts_use_all_servers():
    made, _ = _make()
    for server in range(32):
        name = f"s{server}"
        made.set_server(name, standins.make_server(name), server + 1)
    for hosts in (1, 4, 39):
        made.set_hosts(hosts, ("h1",))
        assert len(_names(made)) == 32
