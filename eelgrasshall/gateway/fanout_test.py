"""Tests of fan-outs over simulated connections."""

import asyncio

import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import fanout
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import model

SHARDS = ("s1", "s2", "s3", "s4")
_REFUSAL = b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
_ERROR = (
    b"HTTP/1.1 500 X\r\nX-Id: a1\r\nX-Seal: e\r\nContent-Length: 2\r\n\r\nno"
)


def _start(
    context,
    route,
    *,
    remaining_s: float = 2.0,
    request=None,
    has_waiting=False,
    workspace: model.Workspace | None = None,
):
    """Starts a fan-out; returns it and its task."""
    request_fanout = fanout.Fanout(
        context=context,
        request=request or fakes.make_request(),
        route=route,
        services=route.shards or ("orders",),
        request_id=b"a1",
        deadline_s=context.loop.time() + remaining_s,
        has_waiting=lambda: has_waiting,
        workspace=workspace,
    )
    return request_fanout, asyncio.create_task(request_fanout.run())


async def _run_ready_tasks():
    """Lets the event loop run all tasks that are ready."""
    for _ in range(5):
        await asyncio.sleep(0)


def _encode(value: int) -> bytes:
    return value.to_bytes(16, "big")


def _get_header(outcome, name: bytes) -> bytes | None:
    return dict(outcome.headers).get(name)


async def test_search_merges_greatest_records_of_all_shards():
    context = fakes.Context(SHARDS)
    _, task = _start(context, fakes.make_route(shards=SHARDS))
    await _run_ready_tasks()
    for number, shard in enumerate(SHARDS):
        context.send_reply(shard, _encode(number) + _encode(number + 10))
    outcome = await task
    assert outcome.verdict is fanout.Verdict.ANSWERED
    assert outcome.body == _encode(13) + _encode(12) + _encode(11)
    assert _get_header(outcome, b"x-missing") == b"0"
    assert len(set(_get_header(outcome, b"x-parts").split(b", "))) == 4


async def test_search_omits_slowest_shard_at_objective():
    context = fakes.Context(SHARDS, replicas=1)
    route = fakes.make_route(shards=SHARDS, objective_s=0.05)
    _, task = _start(context, route)
    await _run_ready_tasks()
    for shard in SHARDS[:3]:
        context.send_reply(shard, _encode(1))
    outcome = await asyncio.wait_for(task, 1)
    assert outcome.verdict is fanout.Verdict.PARTIAL
    assert _get_header(outcome, b"x-missing") == b"1"


async def test_search_below_minimum_share_continues_after_objective():
    context = fakes.Context(SHARDS, replicas=1)
    route = fakes.make_route(shards=SHARDS, objective_s=0.05)
    _, task = _start(context, route)
    await _run_ready_tasks()
    for shard in SHARDS[:2]:
        context.send_reply(shard, _encode(1))
    await asyncio.sleep(0.08)
    assert not task.done()
    context.send_reply(SHARDS[2], _encode(1))
    outcome = await task
    assert outcome.missing == 1


async def test_search_with_too_few_available_shards_is_not_sent():
    context = fakes.Context(SHARDS)
    for shard in SHARDS[:2]:
        context.backends[shard] = []
    _, task = _start(context, fakes.make_route(shards=SHARDS))
    outcome = await task
    assert outcome.verdict is fanout.Verdict.REFUSED
    assert outcome.status == 503
    assert float(_get_header(outcome, b"retry-after")) > 0
    assert not any(context.list_busy(shard) for shard in SHARDS)


async def test_search_fails_at_once_when_too_few_shards_can_answer():
    context = fakes.Context(SHARDS, replicas=1)
    _, task = _start(context, fakes.make_route(shards=SHARDS))
    await _run_ready_tasks()
    for shard in SHARDS[:2]:
        context.list_busy(shard)[0].feed(_ERROR)
    outcome = await asyncio.wait_for(task, 0.1)
    # Two shards may have run the request, so a refusal would be wrong.
    assert outcome.status == 502


async def test_request_that_waits_for_a_connection_is_refused_at_deadline():
    for shards in ((), SHARDS[:1]):
        context = fakes.Context(shards or ("orders",), replicas=1)
        backend = context.find_candidates(shards[0] if shards else "orders")[0]
        backend.connection_limit = 1
        # Its only connection is busy with another request.
        blocking = fakes.make_attempt(fakes.OutcomeRecorder(), "other")
        backend.submit(blocking)
        route = fakes.make_route(shards=shards)
        _, task = _start(context, route, remaining_s=0.05)
        outcome = await asyncio.wait_for(task, 1)
        assert outcome.status == 503
        assert float(_get_header(outcome, b"retry-after")) > 0
        # "Not run" stays true: nothing is left that could be sent later.
        assert list(backend.pending) == [blocking]


async def test_hedges_are_put_off_while_links_are_in_doubt():
    context = fakes.Context(SHARDS)
    context.links_in_doubt = True
    _, task = _start(context, fakes.make_route(shards=SHARDS))
    await asyncio.sleep(0.15)
    assert "silence" in context.counts
    assert all(len(context.list_busy(shard)) == 1 for shard in SHARDS)
    context.links_in_doubt = False
    await asyncio.sleep(0.1)
    assert all(len(context.list_busy(shard)) == 2 for shard in SHARDS)
    task.cancel()


async def test_repeat_as_a_whole_takes_from_all_budgets_or_none():
    bound = hedging.ExtraAttemptBound(0.0, 2.0)
    context = fakes.Context(SHARDS, bound=bound)
    request_fanout, task = _start(context, fakes.make_route(shards=SHARDS))
    await _run_ready_tasks()
    assert request_fanout.try_withdraw_repeat()
    while context.find_extra_attempt_budget(SHARDS[2]).try_withdraw():
        pass
    before = context.find_extra_attempt_budget(SHARDS[0]).compute_used_share()
    assert not request_fanout.try_withdraw_repeat()
    budget = context.find_extra_attempt_budget(SHARDS[0])
    assert budget.compute_used_share() == before
    task.cancel()


async def test_slow_attempt_is_hedged_and_first_response_is_used():
    context = fakes.Context(("orders",))
    _, task = _start(context, fakes.make_route())
    await _run_ready_tasks()
    paused = context.list_busy("orders")[0]
    await asyncio.sleep(0.06)
    assert len(context.list_busy("orders")) == 2
    other = [
        each for each in context.list_busy("orders") if each is not paused
    ][0]
    other.feed(fakes.encode_reply("a1", b"x"))
    outcome = await task
    assert outcome.body == b"x"
    assert not paused.transport.closed


async def test_no_hedge_while_requests_wait_for_admission():
    context = fakes.Context(("orders",))
    _, task = _start(context, fakes.make_route(), has_waiting=True)
    await asyncio.sleep(0.06)
    assert len(context.list_busy("orders")) == 1
    context.send_reply("orders", b"x")
    assert (await task).body == b"x"


async def test_no_hedge_when_extra_attempt_budget_is_spent():
    context = fakes.Context(
        ("orders",), bound=hedging.ExtraAttemptBound(0.0, 0.0)
    )
    _, task = _start(context, fakes.make_route())
    await asyncio.sleep(0.06)
    assert len(context.list_busy("orders")) == 1
    context.send_reply("orders", b"x")
    assert (await task).body == b"x"


async def test_non_idempotent_request_is_neither_hedged_nor_retried():
    context = fakes.Context(("orders",))
    route = fakes.make_route(idempotent=False)
    _, task = _start(context, route, remaining_s=0.5)
    await _run_ready_tasks()
    # The attempt needs a new connection, so the idle ones are not used.
    assert context.list_busy("orders") == []
    backend = next(
        each.backend
        for each in context.backends["orders"]
        if each.backend.pending
    )
    connected = next(
        each for each in context.backends["orders"] if each.backend is backend
    )
    backend.add_connection(connected.connection)
    await asyncio.sleep(0.06)
    assert len(context.list_busy("orders")) == 1
    connected.connection.connection_lost(ConnectionResetError())
    outcome = await task
    assert outcome.status == 502


async def test_refused_attempt_is_retried_at_another_server():
    context = fakes.Context(("orders",))
    _, task = _start(context, fakes.make_route())
    await _run_ready_tasks()
    first = context.list_busy("orders")[0]
    first.feed(_REFUSAL)
    await _run_ready_tasks()
    assert context.list_busy("orders") and first not in context.list_busy(
        "orders"
    )
    context.send_reply("orders", b"x")
    assert (await task).body == b"x"


@pytest.mark.parametrize(("name", "may"), [("hot", False), ("quiet", True)])
async def test_workspace_that_used_its_part_makes_no_extra_attempts(name, may):
    # It used up the hedges and retries of all workspaces.
    context = fakes.Context(("orders",))
    budget = context.find_extra_attempt_budget("orders")
    budget.deposit(context.loop.time(), workspace="hot")
    while budget.try_withdraw(workspace="hot"):
        pass
    workspace = model.Workspace(name, frozenset())
    _, task = _start(context, fakes.make_route(), workspace=workspace)
    await _run_ready_tasks()
    await asyncio.sleep(0.06)
    assert len(context.list_busy("orders")) == (2 if may else 1)
    context.send_reply("orders", b"x")
    await task
    _, task = _start(context, fakes.make_route(), workspace=workspace)
    await _run_ready_tasks()
    [first] = [each for each in context.list_busy("orders")][-1:]
    first.feed(_REFUSAL)
    await _run_ready_tasks()
    assert task.done() is not may
    task.cancel()


async def test_repeat_as_a_whole_respects_the_part_of_a_workspace():
    context = fakes.Context(SHARDS)
    budget = context.find_extra_attempt_budget(SHARDS[2])
    budget.deposit(context.loop.time(), workspace="hot")
    while budget.try_withdraw(workspace="hot"):
        pass
    for name, may in (("hot", False), ("quiet", True)):
        request_fanout, task = _start(
            context,
            fakes.make_route(shards=SHARDS),
            workspace=model.Workspace(name, frozenset()),
        )
        await _run_ready_tasks()
        assert request_fanout.try_withdraw_repeat() is may
        task.cancel()


async def test_request_refused_by_all_servers_is_refused():
    context = fakes.Context(("orders",))
    _, task = _start(context, fakes.make_route())
    for _ in range(3):
        await _run_ready_tasks()
        context.list_busy("orders")[0].feed(_REFUSAL)
    outcome = await task
    assert (outcome.verdict, outcome.status) == (fanout.Verdict.REFUSED, 503)


async def test_attempts_are_limited_by_route():
    context = fakes.Context(("orders",))
    _, task = _start(context, fakes.make_route(max_attempts=2))
    for _ in range(2):
        await _run_ready_tasks()
        context.list_busy("orders")[0].feed(_ERROR)
    outcome = await task
    # The server's error response is passed on unchanged.
    assert outcome.status == 500
    assert outcome.body == b"no"
    assert _get_header(outcome, b"X-Seal") == b"e"


async def test_503_without_not_run_header_is_not_passed_on():
    context = fakes.Context(("orders",), replicas=1)
    _, task = _start(context, fakes.make_route())
    await _run_ready_tasks()
    context.list_busy("orders")[0].feed(_ERROR.replace(b"500", b"503"))
    assert (await task).status == 502


async def test_deadline_ends_request():
    context = fakes.Context(("orders",), replicas=1)
    _, task = _start(context, fakes.make_route(), remaining_s=0.05)
    outcome = await asyncio.wait_for(task, 0.2)
    assert outcome.status == 504


async def test_log_fields_describe_each_failed_attempt():
    context = fakes.Context(("orders",))
    request_fanout, task = _start(context, fakes.make_route(max_attempts=2))
    await _run_ready_tasks()
    context.list_busy("orders")[0].feed(_REFUSAL)
    await _run_ready_tasks()
    context.list_busy("orders")[0].connection.connection_lost(None)
    await _run_ready_tasks()
    context.send_reply("orders", b"x")
    await task
    log_fields = request_fanout.get_log_fields()
    assert "status 503, not run" in log_fields["failures"][0]
    assert "lost" in log_fields["failures"][1]
    assert len(log_fields["sent_to"]) == 3 and log_fields["left_out"] == []


async def test_log_fields_show_the_smallest_parts_of_an_answer_first():
    context = fakes.Context(SHARDS, replicas=1)
    request_fanout, task = _start(context, fakes.make_route(shards=SHARDS))
    await _run_ready_tasks()
    for size, shard in enumerate(SHARDS):
        context.send_reply(shard, b"r" * 16 * size)
    await task
    parts = request_fanout.get_log_fields()["parts"]
    assert [size for _, size, _ in parts] == [0, 16, 32, 48][: len(SHARDS)]
    assert all(earlier == 0 for _, _, earlier in parts)


async def test_attempts_are_aborted_when_caller_leaves():
    context = fakes.Context(SHARDS, replicas=1)
    _, task = _start(context, fakes.make_route(shards=SHARDS))
    await _run_ready_tasks()
    busy = [context.list_busy(shard)[0] for shard in SHARDS]
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert all(each.transport.closed for each in busy)


async def test_attempt_states_remaining_time_and_target_server():
    context = fakes.Context(("orders",), replicas=1)
    _, task = _start(context, fakes.make_route(), remaining_s=1.5)
    await _run_ready_tasks()
    sent = context.list_busy("orders")[0].transport.written[-1]
    head_lines = sent.decode().split("\r\n")
    budgets = [line for line in head_lines if line.startswith("x-budget: ")]
    assert len(budgets) == 1 and 1400 <= int(budgets[0].split(": ")[1]) <= 1500
    assert "x-target: orders-0" in head_lines
    context.send_reply("orders", b"x")
    await task


def _encode_pause(retry_after: str) -> bytes:
    return (
        f"HTTP/1.1 503 X\r\nX-Id: a1\r\nX-Not-Run: 1\r\n"
        f"Retry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def test_search_that_pauses_make_unservable_is_rejected_with_their_end():
    context = fakes.Context(SHARDS, replicas=1)
    route = fakes.make_route(shards=SHARDS)
    _, task = _start(context, route)
    await _run_ready_tasks()
    for shard, retry_after in zip(SHARDS, ("0.3", "0.9", "0.6"), strict=False):
        context.list_busy(shard)[0].feed(_encode_pause(retry_after))
    context.send_reply(SHARDS[3], _encode(1))
    await task
    busy = sum(len(context.list_busy(shard)) for shard in SHARDS)
    _, task = _start(context, route)
    outcome = await asyncio.wait_for(task, 0.1)
    assert outcome.status == 503 and outcome.reason == fanout.TOO_FEW_SERVERS
    # Three of the four shards are needed, and the second pause ends at 0.6 s.
    assert 0.5 < float(_get_header(outcome, b"retry-after")) < 0.9
    assert sum(len(context.list_busy(shard)) for shard in SHARDS) == busy


async def test_attempt_that_was_not_sent_is_placed_anew_without_budget():
    # Attempts that wait for a server when it leaves have reached no server.
    bound = hedging.ExtraAttemptBound(0.0, 0.0)
    context = fakes.Context(("orders",), replicas=2, bound=bound)
    fuller, other = context.backends["orders"]
    fuller.backend.connection_limit = 1
    fuller.send("a0")
    other.backend.unreachable = True
    _, task = _start(context, fakes.make_route())
    await _run_ready_tasks()
    assert len(fuller.backend.pending) == 2
    other.backend.unreachable = False
    fuller.backend.close()
    other.feed(fakes.encode_reply("a1", b"x"))
    outcome = await asyncio.wait_for(task, 0.1)
    assert outcome.status == 200 and outcome.body == b"x"


async def test_request_quarantined_while_it_waited_is_refused_as_not_run():
    context = fakes.Context(SHARDS)
    context.quarantine_s = 30.0
    _, task = _start(context, fakes.make_route(shards=SHARDS))
    outcome = await task
    assert outcome.status == 503 and outcome.reason == fanout.QUARANTINED
    assert _get_header(outcome, b"retry-after") == b"30.00"
    assert not any(context.list_busy(shard) for shard in SHARDS)


async def test_quarantined_request_is_not_retried():
    context = fakes.Context(("orders",))
    _, task = _start(context, fakes.make_route(max_attempts=3))
    await _run_ready_tasks()
    (busy,) = context.list_busy("orders")
    context.quarantine_s = 30.0
    busy.connection.connection_lost(ConnectionResetError())
    outcome = await task
    # It may have run, so that the caller must not conclude that it has not.
    assert outcome.status == 502 and outcome.reason == fanout.QUARANTINED
    assert not context.list_busy("orders")


async def test_quarantined_request_is_not_hedged():
    context = fakes.Context(("orders",))
    _, task = _start(context, fakes.make_route())
    await _run_ready_tasks()
    context.quarantine_s = 30.0
    await asyncio.sleep(0.08)
    assert len(context.list_busy("orders")) == 1
    assert "hedges" not in context.counts
    task.cancel()


async def test_only_the_first_attempt_goes_to_a_trial_server():
    # Retries go to the version in use, so that callers recover quickly.
    context = fakes.Context(("orders", "trial"))
    trial = context.backends["trial"]
    context.trial_servers["orders"] = [each.backend for each in trial]
    _, task = _start(context, fakes.make_route())
    await _run_ready_tasks()
    (busy,) = context.list_busy("trial")
    assert not context.list_busy("orders")
    busy.feed(_ERROR)
    assert not context.list_busy("trial")
    context.send_reply("orders", b"x")
    outcome = await task
    assert outcome.status == 200


async def test_hedge_of_a_trial_goes_to_the_version_in_use():
    context = fakes.Context(("orders", "trial"))
    trial = context.backends["trial"]
    context.trial_servers["orders"] = [each.backend for each in trial]
    _, task = _start(context, fakes.make_route())
    await asyncio.sleep(0.1)
    assert len(context.list_busy("trial")) == 1
    assert len(context.list_busy("orders")) == 1
    context.send_reply("orders", b"x")
    assert (await task).status == 200


async def test_hedge_of_a_host_that_keeps_to_its_zone_goes_to_the_fastest():
    context = fakes.Context(("s1",), replicas=3)
    context.keeps_to_zone = True
    own, slower, fastest = (each.backend for each in context.backends["s1"])
    slower.latency_ratio = 1.5
    fastest.server = fastest.server._replace(zone="b")
    fastest.latency_ratio = 0.5
    route = fakes.make_route(shards=("s1",), objective_s=0.2)
    _, task = _start(context, route)
    await _run_ready_tasks()
    assert own.pending and not fastest.pending
    await asyncio.sleep(0.15)
    assert fastest.pending and not slower.pending
    task.cancel()


@pytest.mark.parametrize(
    ("objective_s", "is_hedged"), [(1.0, False), (0.1, True)]
)
async def test_hedge_waits_only_while_its_response_would_be_in_time(
    objective_s, is_hedged
):
    context = fakes.Context(("s1",))
    context.keeps_to_zone = True
    route = fakes.make_route(shards=("s1",), objective_s=objective_s)
    for _ in range(hedging.MIN_SAMPLES):
        context.find_latency_window(route).record(0.03)
    _, task = _start(context, route)
    await _run_ready_tasks()
    await asyncio.sleep(0.05)
    assert ("hedges" in context.counts) is is_hedged
    task.cancel()
