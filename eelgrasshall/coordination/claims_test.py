"""Tests of idempotency keys with resends, lost replies and store outages."""

import asyncio
import json
import random

import pytest

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import claims
from eelgrasshall.coordination import expiry_sweeper
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import platform
from eelgrasshall.transport import peers

UNAVAILABLE = errors.Problem(
    errors.ProblemKind.STORE_UNAVAILABLE,
    "platform",
    "It is unavailable.",
    "Wait.",
)

REPLY_LOST = platform.UnknownOutcome(UNAVAILABLE)


class FakeStore:
    """An in-memory object store that can lose replies and delay writes."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.unavailable = False
        self.lost_replies = 0
        self.delayed_writes = None

    async def write(self, kind, name, value, if_version):
        if self.unavailable:
            return UNAVAILABLE
        if self.delayed_writes is not None:
            self.delayed_writes.append((kind, name, value, if_version))
            return REPLY_LOST
        result = self.apply(kind, name, value, if_version)
        if self.lost_replies:
            self.lost_replies -= 1
            return REPLY_LOST
        return result

    def apply(self, kind, name, value, if_version):
        current = self.objects.get((kind, name))
        if (current.version if current else 0) != if_version:
            # The platform cannot return a deleted object either.
            return platform.Conflict(current) if current else REPLY_LOST
        self.version += 1
        # The platform stores values as JSON.
        value = json.loads(json.dumps(value))
        stored = platform.StoredObject(name, self.version, value)
        self.objects[kind, name] = stored
        return platform.Written(self.version)

    async def read(self, kind, name):
        if self.unavailable:
            return UNAVAILABLE
        return self.objects.get((kind, name), platform.NotFound(name))

    async def list(self, kind, after="", limit=100):
        if self.unavailable:
            return UNAVAILABLE
        names = sorted(name for _, name in self.objects if name > after)
        page = tuple(self.objects[kind, name] for name in names[:limit])
        next_name = page[-1].name if len(names) > limit else None
        return platform.Listing(page, next_name)

    async def delete(self, kind, name, if_version=None):
        if self.unavailable:
            return UNAVAILABLE
        current = self.objects.get((kind, name))
        if current is None:
            return platform.NotFound(name)
        if current.version != if_version:
            return platform.Conflict(current)
        del self.objects[kind, name]
        return platform.Deleted(name)


async def fail_to_connect(host, incarnation, data, timeout_s):
    raise peers.PeerError("cut")


def make_runner(clock, store, *, number=0, relay_to_host=fail_to_connect):
    return claims.IdempotentRunner(
        name=f"h{number}",
        incarnation=1,
        clock=clock,
        random=random.Random(number),
        invariants=invariants_module.InvariantChecker(raising=True),
        store=store,
        relay_to_host=relay_to_host,
    )


class Fleet:
    """Two hosts that share one store, with a count of their runs."""

    def __init__(self):
        self.clock = clock_module.ManualClock()
        self.store = FakeStore()
        self.disconnected = True
        self.runners = [
            make_runner(
                self.clock,
                self.store,
                number=number,
                relay_to_host=self.relay_to_host,
            )
            for number in range(2)
        ]
        self.runs = 0
        self.result = caller.Answer(
            caller.Coverage(True, 1.0, ("s",), ()),
            None,
            (caller.Part("s", b"[1]"),),
        )
        self.duration_s = 0.0

    async def run(self):
        self.runs += 1
        await self.clock.sleep(self.duration_s)
        return self.result

    async def relay_to_host(self, host, incarnation, data, timeout_s):
        if self.disconnected:
            raise peers.PeerError("cut")
        request = caller.decode_request(data)
        result = await self.run_request(
            int(host[1:]), request, "d", relayed=True
        )
        outcome = caller.encode_outcome(result, request.request_id)
        return outcome.status, outcome.body

    async def run_request(self, host, request, digest, *, relayed=False):
        runner = self.runners[host]
        claim = runner.make_claim(
            request,
            digest=digest,
            until=self.clock.monotonic() + 0.9,
            ticket_prefix="prefix",
            relayed=relayed,
        )
        return await runner.run(
            claim,
            run=lambda: runner.run_if_claimed(claim, self.run),
            wait_s=1.0,
        )

    def send(self, host: int, *, digest="d", first_send=False) -> asyncio.Task:
        request = caller.QueryRequest(
            "id", "reserve", b"{}", idempotency_key="k", first_send=first_send
        )
        return asyncio.create_task(self.run_request(host, request, digest))

    async def get(self, host: int, **options):
        task = self.send(host, **options)
        await self.clock.advance(1.0)
        assert task.done()
        return task.result()


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


async def test_resend_to_another_host_returns_the_recorded_outcome(fleet):
    first = await fleet.get(0)
    again = await fleet.get(1)
    assert fleet.runs == 1
    assert isinstance(again, caller.RecordedOutcome)
    assert caller.encode_outcome(again, "x") == caller.encode_outcome(
        first, "x"
    )


async def test_recording_is_retried_after_an_outage(fleet):
    fleet.duration_s = 0.1
    fleet.send(0)
    await fleet.clock.advance(0.05)
    fleet.store.unavailable = True
    await fleet.clock.advance(0.5)
    fleet.store.unavailable = False
    await fleet.clock.advance(2.0)
    assert isinstance(await fleet.get(1), caller.RecordedOutcome)
    assert fleet.runs == 1


async def test_concurrent_sends_to_two_hosts_run_once(fleet):
    fleet.duration_s = 0.3
    tasks = [fleet.send(0), fleet.send(1)]
    await fleet.clock.advance(1.0)
    assert fleet.runs == 1
    bodies = {caller.encode_outcome(task.result(), "x").body for task in tasks}
    assert len(bodies) == 1


async def test_unrecorded_outcome_is_fetched_from_the_creator(fleet):
    fleet.disconnected = False
    fleet.duration_s = 0.3
    first = fleet.send(0)
    await fleet.clock.advance(0.1)
    claimed = dict(fleet.store.objects)
    again = fleet.send(1)
    await fleet.clock.advance(0.3)
    assert again.done()
    assert caller.encode_outcome(again.result(), "x") == caller.encode_outcome(
        first.result(), "x"
    )
    # The same holds when only the creator's memory has the outcome.
    fleet.store.objects = claimed
    later = await fleet.get(1)
    assert caller.encode_outcome(later, "x") == caller.encode_outcome(
        first.result(), "x"
    )
    assert fleet.runs == 1


async def test_lost_reply_of_the_claim_is_read_back(fleet):
    fleet.store.lost_replies = 1
    assert await fleet.get(0) == fleet.result
    assert fleet.runs == 1


async def test_delayed_claim_write_does_not_cause_a_second_run(fleet):
    fleet.store.delayed_writes = []
    task = fleet.send(0)
    await fleet.clock.advance(0)
    delayed_writes, fleet.store.delayed_writes = (
        fleet.store.delayed_writes,
        None,
    )
    await fleet.clock.advance(0.5)
    for write in delayed_writes:
        fleet.store.apply(*write)
    await fleet.get(1)
    assert fleet.runs <= 1
    assert task.done()


@pytest.mark.parametrize(
    ("first_send", "kind"), [(True, caller.Refusal), (False, caller.Failure)]
)
async def test_unavailable_store_prevents_runs_and_offers_a_ticket(
    fleet, first_send, kind
):
    fleet.store.unavailable = True
    result = await fleet.get(0, first_send=first_send)
    assert isinstance(result, kind)
    assert result.ticket_prefix == "prefix"
    assert result.retry_after_s > 0
    assert fleet.runs == 0


async def test_run_on_another_host_is_not_refused_during_an_outage(fleet):
    await fleet.get(0)
    fleet.store.unavailable = True
    result = await fleet.get(1)
    assert not isinstance(result, caller.Refusal)


async def test_abandoned_claim_is_taken_over_after_an_outage(fleet):
    fleet.store.delayed_writes = []
    task = fleet.send(0, first_send=True)
    await fleet.clock.advance(0)
    delayed_writes = fleet.store.delayed_writes[:1]
    fleet.store.unavailable = True
    await fleet.clock.advance(1.0)
    assert task.done()
    fleet.store.unavailable, fleet.store.delayed_writes = False, None
    for write in delayed_writes:
        fleet.store.apply(*write)
    assert await fleet.get(0) == fleet.result
    assert fleet.runs == 1


async def test_refused_run_releases_the_key(fleet):
    answer, fleet.result = fleet.result, caller.Refusal((UNAVAILABLE,))
    assert isinstance(await fleet.get(0), caller.Refusal)
    fleet.result = answer
    assert await fleet.get(1) == answer
    assert isinstance(await fleet.get(0), caller.RecordedOutcome)
    assert fleet.runs == 2


async def test_claim_without_outcome_prevents_runs_on_other_hosts(fleet):
    fleet.duration_s = 3600.0
    task = fleet.send(0)
    await fleet.clock.advance(0)
    result = await fleet.get(1)
    assert isinstance(result, caller.Failure)
    assert fleet.runs == 1
    assert task.done()


async def test_reused_key_with_another_body_is_refused(fleet):
    await fleet.get(0)
    for host in (0, 1):
        result = await fleet.get(host, digest="other")
        assert result.problems[0].kind is errors.ProblemKind.TICKET_USED
    assert fleet.runs == 1


async def test_creator_deletes_expired_claims(fleet):
    await fleet.runners[0].start()
    await fleet.get(0)
    await fleet.clock.advance(claims.CLAIM_TTL_S - 10)
    assert fleet.store.objects
    await fleet.clock.advance(2 * claims.DELETION_INTERVAL_S)
    assert not fleet.store.objects
    await fleet.runners[0].stop()


async def test_expired_claims_of_departed_hosts_are_deleted(fleet):
    await fleet.get(0)
    await fleet.clock.advance(claims.CLAIM_TTL_S)
    await fleet.runners[1].start()
    await fleet.clock.advance(480.0)
    assert fleet.store.objects
    await fleet.clock.advance(240.0)
    assert not fleet.store.objects
    await fleet.runners[1].stop()


async def test_expired_claims_on_all_pages_are_deleted(fleet, monkeypatch):
    monkeypatch.setattr(expiry_sweeper, "PAGE_LIMIT", 2)
    for number in range(7):
        value = {"expires_at": 0}
        fleet.store.apply(claims.OBJECT_KIND, f"c{number}", value, 0)
    kept = {"a-foreign": None, "a-mistyped": {}, "fresh": {"expires_at": 10**9}}
    for name, value in kept.items():
        fleet.store.apply(claims.OBJECT_KIND, name, value, 0)
    await fleet.runners[0].start()
    await fleet.clock.advance(20 * expiry_sweeper.PAGE_INTERVAL_S)
    assert [name for _, name in fleet.store.objects] == list(kept)
    await fleet.runners[0].stop()
