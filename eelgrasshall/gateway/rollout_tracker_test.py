"""Tests of rollouts at a host: servers by version, trials, counts and log."""

import asyncio

import pytest

from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import connections
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import metrics
from eelgrasshall.gateway import model
from eelgrasshall.gateway import registry as registry_module
from eelgrasshall.gateway import rollout_tracker
from eelgrasshall.gateway import rollouts
from eelgrasshall.gateway import upstream

_NEW = model.Rollout("orders", "v2", 12.0)
_ROLLED_BACK = _NEW._replace(state=model.RolloutState.ROLLED_BACK)
_COMPLETED = _NEW._replace(state=model.RolloutState.COMPLETED)


class _Host:
    """The rollouts and the servers of a host."""

    def __init__(self):
        self.log = fakes.Log()
        self.metrics = metrics.Metrics()
        self.registry = registry_module.Registry(
            log=self.log,
            own="h1",
            cold_start_bound=cold_start.ColdStartBound(1.5, 5.0),
        )
        loop = asyncio.get_running_loop()
        self.registry.set_environment(
            upstream.Environment(
                loop=loop,
                names=fakes.NAMES,
                observer=fakes.Observer(),
                count=self.metrics.count,
                receive_buffer=connections.ReceiveBuffer(),
            )
        )
        self.registry.set_services({"orders": fakes.make_service()})
        orders = rollouts.Rollouts(
            own="h1", incarnation=1, bound=rollouts.Bound()
        )
        for second in range(-20, 1):
            orders.set_share(1.0, loop.time() + second)
        self.tracker = rollout_tracker.RolloutTracker(
            orders=orders,
            registry=self.registry,
            loop=loop,
            log=self.log,
            count=self.metrics.count,
        )

    def add(self, server_id: str, version: str, **changes) -> None:
        """Registers a server."""
        server = fakes.make_server(server_id, version=version, **changes)
        self.registry.set_server(server_id, server, 1)

    def list_used(self) -> list[str]:
        """Returns the servers that get requests."""
        return [b.server.id for b in self.registry.find_candidates("orders")]

    def list_trials(self) -> list[str]:
        """Returns the servers on trial."""
        return [b.server.id for b in self.registry.find_trial_servers("orders")]


def _make_host() -> _Host:
    host = _Host()
    for server_id in ("a1", "a2"):
        host.add(server_id, "v1")
    host.add("b1", "v2")
    return host


async def test_servers_of_other_versions_get_no_requests():
    host = _make_host()
    assert host.list_used() == ["a1", "a2"]
    assert not host.list_trials()
    # The only version that is left gets them, whatever it is.
    for server_id in ("a1", "a2"):
        host.add(server_id, "v1", draining=True)
    assert host.list_used() == ["b1"]


async def test_majority_is_found_again_when_servers_come_and_go():
    host = _make_host()
    for server_id in ("b2", "b3"):
        host.add(server_id, "v2", started_at_ms=5)
    assert host.list_used() == ["b1", "b2", "b3"]
    host.registry.set_server("b2", None, 2)
    assert host.list_used() == ["a1", "a2"]


async def test_version_of_evacuated_servers_remains_the_version():
    host = _Host()
    host.add("a1", "v1", zone="a")
    host.add("a2", "v1", zone="b")
    host.add("b1", "v2", zone="b")
    host.registry.set_evacuated("a", True)
    assert host.list_used() == ["a2"]
    host.registry.set_evacuated("b", True)
    assert not host.list_used()
    host.registry.set_evacuated("a", False)
    assert host.list_used() == ["a1"]


async def test_any_version_is_used_if_none_of_its_own_can_be():
    host = _Host()
    for server_id in ("a1", "a2"):
        host.add(server_id, "v1", zone="a")
    host.add("b1", "v2", zone="b")
    host.registry.set_evacuated("a", True)
    assert host.list_used() == ["b1"]


async def test_order_changes_the_servers_in_use():
    host = _make_host()
    host.tracker.set_order("orders", _NEW, 5)
    assert (host.list_used(), host.list_trials()) == (["a1", "a2"], ["b1"])
    host.add("b2", "v2")
    assert host.list_trials() == ["b1", "b2"]
    host.tracker.set_order("orders", _ROLLED_BACK, 6)
    assert (host.list_used(), host.list_trials()) == (["a1", "a2"], [])
    host.tracker.set_order("orders", _NEW, 8)
    host.tracker.set_order("orders", _COMPLETED, 9)
    assert (host.list_used(), host.list_trials()) == (["b1", "b2"], [])
    host.tracker.set_order("orders", None, 10)
    host.add("a3", "v1")
    assert host.list_used() == ["a1", "a2", "a3"]


async def test_trial_servers_are_given_out_within_the_budget():
    host = _make_host()
    assert not host.tracker.take_trial_servers("orders")
    host.tracker.set_order("orders", _NEW, 5)
    (server,) = host.tracker.take_trial_servers("orders")
    assert server.server.id == "b1"
    server.unreachable = True
    assert not host.tracker.take_trial_servers("orders")
    server.unreachable = False
    taken = [bool(host.tracker.take_trial_servers("orders")) for _ in range(60)]
    assert 24 <= sum(taken) <= 28
    assert host.metrics.counters["rollout_trials"] == sum(taken) + 1


async def test_attempts_that_wait_at_a_bad_version_are_placed_anew():
    # They would reach it after the rollback.
    host = _make_host()
    host.tracker.set_order("orders", _NEW, 5)
    (backend,) = host.registry.find_trial_servers("orders")
    backend.connection_limit = 0
    owner = fakes.OutcomeRecorder()
    attempt = fakes.make_attempt(owner, "q1")
    backend.submit(attempt)
    host.tracker.set_order("orders", _ROLLED_BACK, 6)
    assert owner.get_failure(attempt) is messages.FailureKind.NOT_SENT


async def test_requests_at_old_servers_are_counted_after_the_switch_over():
    host = _make_host()
    host.tracker.set_order("orders", _NEW, 5)
    old = host.registry.find_candidates("orders")[0]
    old.connection_limit = 0
    attempt = fakes.make_attempt(fakes.OutcomeRecorder(), "q1")
    old.submit(attempt)
    assert host.registry.count_pending_old("orders") == 0
    # In flight, so that it is not placed anew.
    old._queue.take_all()
    host.tracker.set_order("orders", _COMPLETED, 6)
    assert host.registry.count_pending_old("orders") == 1


def _reply(status: int, *, not_run: bool = False) -> bytes:
    extra = b"X-Not-Run: 1\r\n" if not_run else b""
    return (
        b"HTTP/1.1 %d X\r\nX-Id: q\r\nX-Seal: s\r\n%sContent-Length: 0\r\n\r\n"
        % (status, extra)
    )


@pytest.mark.parametrize(
    ("data", "counts"),
    [
        (_reply(200), (1, 0, 0)),
        (_reply(500), (1, 1, 0)),
        (_reply(503, not_run=True), (0, 0, 0)),
        (b"garbage\r\n\r\n", (1, 1, 0)),
        (None, (1, 1, 0)),
    ],
)
async def test_ends_of_attempts_are_counted(data, counts):
    host = _make_host()
    host.tracker.set_order("orders", _NEW, 5)
    (backend,) = host.registry.find_trial_servers("orders")
    connection = connections.Connection(backend=backend)
    connection.connection_made(fakes.Transport())
    backend.add_connection(connection)
    attempt = fakes.make_attempt(fakes.OutcomeRecorder(), "q")
    backend.submit(attempt)
    # The answer is no longer needed, as that of a hedge has come first.
    attempt.owner = None
    if data is None:
        connection.connection_lost(None)
    else:
        connection.data_received(data)
    gauges = host.tracker.list_gauges()
    found = [
        gauges[f'rollout_target_{name}{{service="orders"}}']
        for name in ("answers", "failed", "slow")
    ]
    assert tuple(found) == counts


async def test_slow_answers_are_counted_by_the_old_versions_median(monkeypatch):
    loop = asyncio.get_running_loop()
    now = loop.time()
    # A clock of its own: on a busy machine a sleep is as long as a slow answer.
    monkeypatch.setattr(loop, "time", lambda: now)
    host = _make_host()
    host.tracker.set_order("orders", _NEW, 5)
    for server_id, delays_s in (
        ("b1", [0.012] * 70),
        ("a1", [0.002] * 25),
        ("b1", [0.015]),
    ):
        (backend,) = (
            each
            for each in (
                *host.registry.find_candidates("orders"),
                *host.registry.find_trial_servers("orders"),
            )
            if each.server.id == server_id
        )
        connection = connections.Connection(backend=backend)
        connection.connection_made(fakes.Transport())
        backend.add_connection(connection)
        for delay_s in delays_s:
            backend.submit(fakes.make_attempt(fakes.OutcomeRecorder(), "q"))
            now += delay_s
            connection.data_received(_reply(200))
    gauges = host.tracker.list_gauges()
    # Answers of the target do not change what counts as slow.
    assert gauges['rollout_target_answers{service="orders"}'] == 71
    assert gauges['rollout_target_slow{service="orders"}'] == 1


async def test_slow_answers_of_a_cold_server_do_not_count():
    # All servers of a new version are cold at first.
    host = _make_host()
    host.add("b1", "v2", cold_remaining_s=9.0)
    host.tracker.set_order("orders", _NEW, 5)
    (backend,) = host.registry.find_trial_servers("orders")
    connection = connections.Connection(backend=backend)
    connection.connection_made(fakes.Transport())
    backend.add_connection(connection)
    for delay_s in (0.04, 0.0):
        backend.submit(fakes.make_attempt(fakes.OutcomeRecorder(), "q"))
        await asyncio.sleep(delay_s)
        connection.data_received(_reply(200))
    gauges = host.tracker.list_gauges()
    assert gauges['rollout_target_answers{service="orders"}'] == 1
    assert gauges['rollout_target_slow{service="orders"}'] == 0


async def test_operator_sees_the_verdict_with_its_inputs():
    host = _make_host()
    host.tracker.set_order("orders", _NEW, 5)
    now = asyncio.get_running_loop().time()
    for version, answer in (
        ("v1", rollouts.Answer.GOOD),
        ("v2", rollouts.Answer.FAILED),
    ):
        for _ in range(30):
            host.tracker.orders.record_answer(
                "orders", "find", version, answer, now
            )
    host.tracker.update()
    line = host.log.list_events("rollout")[-1]
    assert line["phase"] == "rolled_back" and line["reason"] == "bad answers"
    assert line["score"] >= line["limit"] and line["kind"] == "failed"
    assert line["counts"]["target_failed"] >= 6
    assert line["counts"]["old"] == 30
    assert host.metrics.counters["rollout_phase_rolled_back"] == 1
    assert host.list_used() == ["a1", "a2"]
    assert host.tracker.build_datagram().startswith(b"rollouts\n")
