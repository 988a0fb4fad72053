"""Tests of relaying to owners and of falling back to direct attempts."""

import asyncio

import pytest

from eelgrasshall import clock as clocks
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import relay
from eelgrasshall.protocol import messages
from eelgrasshall.transport import peers


class Host:
    def __init__(self, name: str):
        self.name = name


class FakeOwnership:
    def __init__(self, owner: str):
        self.owner = owner
        self.own: frozenset[str] = frozenset()

    def owner_of(self, service):
        del service
        return Host(self.owner)

    def owned(self):
        return self.own


class FakeExecutor:
    def __init__(self):
        self.executed: list[messages.SubRequest] = []
        self.gate: asyncio.Event | None = None
        self.cancelled = 0
        self.owner_results: list[messages.SubResult] = []

    async def execute(self, request):
        self.executed.append(request)
        try:
            if self.gate is not None:
                await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return messages.SubResult(
            request.sub_id, request.service, messages.SubOutcome.SERVED
        )

    def handle_owner_result(self, result):
        self.owner_results.append(result)


class FakeStream:
    def __init__(self):
        self.requests = []
        self.results = []
        self.cancels = []

    def send_request(self, request, on_failure):
        self.requests.append((request, on_failure))

    def send_result(self, result):
        self.results.append(result)

    def send_cancel(self, sub_id):
        self.cancels.append(sub_id)


class Bench:
    def __init__(self):
        self.ownership = FakeOwnership("b")
        self.executor = FakeExecutor()
        self.stream = FakeStream()
        self.relay = relay.Relay(
            name="a",
            clock=clocks.ManualClock(),
            invariants=invariants_module.InvariantChecker(raising=True),
            executor=self.executor,
            ownership=self.ownership,
            get_stream=lambda name: self.stream,
        )

    async def dispatch(self, **changes):
        task = asyncio.create_task(self.relay.dispatch(make_request(**changes)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return task


def make_request(**changes) -> messages.SubRequest:
    base = messages.SubRequest(
        "s1", "q1", "orders", "svc", b"{}", None, 5.0, 0.0, True, "f"
    )
    return base._replace(**changes)


async def test_delivers_result_of_owner():
    bench = Bench()
    task = await bench.dispatch()
    served = messages.SubResult("s1", "svc", messages.SubOutcome.SERVED)
    bench.relay.accept_results("b", [served])
    assert await task == served
    assert bench.executor.executed == []
    assert bench.executor.owner_results == [served]


async def test_departed_owner_makes_pending_sub_requests_fall_back():
    bench = Bench()
    task = await bench.dispatch()
    bench.relay.drop_departed_peers({"a", "c"})
    assert (await task).outcome is messages.SubOutcome.SERVED
    assert bench.executor.executed[0].direct


async def test_result_of_another_service_breaches_invariant():
    bench = Bench()
    task = await bench.dispatch()
    crossed = messages.SubResult("s1", "other", messages.SubOutcome.SERVED)
    with pytest.raises(invariants_module.BreachError):
        bench.relay.accept_results("b", [crossed])
    task.cancel()


async def test_unresponsive_owner_makes_all_sub_requests_fall_back():
    bench = Bench()
    first = await bench.dispatch(sub_id="s1")
    second = await bench.dispatch(sub_id="s2")
    # Only the first batch fails; the second had been acknowledged.
    bench.stream.requests[0][1](peers.PeerError("silent"))
    assert (await first).outcome is messages.SubOutcome.SERVED
    assert (await second).outcome is messages.SubOutcome.SERVED
    assert [request.direct for request in bench.executor.executed] == [
        True,
        True,
    ]
    # A later sub-request bypasses the unresponsive owner.
    third = await bench.dispatch(sub_id="s3")
    assert (await third).outcome is messages.SubOutcome.SERVED
    assert len(bench.stream.requests) == 2


async def test_non_repeatable_request_fails_after_lost_relay():
    bench = Bench()
    task = await bench.dispatch(repeatable=False)
    bench.stream.requests[0][1](peers.PeerError("silent"))
    result = await task
    assert result.outcome is messages.SubOutcome.FAILED
    assert bench.executor.executed == []


async def test_non_repeatable_request_falls_back_if_never_sent():
    bench = Bench()
    task = await bench.dispatch(repeatable=False)
    bench.stream.requests[0][1](peers.PeerNotReachedError("refused"))
    assert (await task).outcome is messages.SubOutcome.SERVED
    assert bench.executor.executed[0].direct


async def test_cancelling_dispatch_cancels_at_owner():
    bench = Bench()
    task = await bench.dispatch()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert bench.stream.cancels == ["s1"]


async def test_owner_runs_duplicates_once_and_cancels():
    bench = Bench()
    bench.ownership.own = frozenset({"svc"})
    bench.executor.gate = asyncio.Event()
    bench.relay.accept_requests("c", [make_request(), make_request()])
    await asyncio.sleep(0)
    assert len(bench.executor.executed) == 1
    bench.relay.accept_cancels("c", ["s1"])
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert bench.executor.cancelled == 1
    assert bench.relay.running_for_peers == 0


async def test_non_owner_rejects_relayed_request():
    bench = Bench()
    bench.relay.accept_requests("c", [make_request()])
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    result = bench.stream.results[0]
    assert result.outcome is messages.SubOutcome.NOT_RUN
    assert result.problem.kind is errors.ProblemKind.PEER_UNREACHABLE
    assert bench.executor.executed == []
