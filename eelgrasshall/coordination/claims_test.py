"""Tests of idempotency keys over resends, lost replies and outages."""

import asyncio
import json
import random

import pytest

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import claims
from eelgrasshall.coordination import sweep
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import platform
from eelgrasshall.transport import peers

OUT = errors.Problem(
    errors.ProblemKind.STORE_UNAVAILABLE, "platform", "It is out.", "Wait."
)

LOST = platform.Unknown(OUT)


class MemoryStore:
    """An object store whose replies can be lost and writes be late."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.out = False
        self.lost_replies = 0
        self.late = None

    async def write(self, kind, name, value, if_version):
        if self.out:
            return OUT
        if self.late is not None:
            self.late.append((kind, name, value, if_version))
            return LOST
        result = self.apply(kind, name, value, if_version)
        if self.lost_replies:
            self.lost_replies -= 1
            return LOST
        return result

    def apply(self, kind, name, value, if_version):
        current = self.objects.get((kind, name))
        if (current.version if current else 0) != if_version:
            # The real one cannot show an object that is gone either.
            return platform.Conflict(current) if current else LOST
        self.version += 1
        # Through JSON, as the real one.
        value = json.loads(json.dumps(value))
        stored = platform.StoredObject(name, self.version, value)
        self.objects[kind, name] = stored
        return platform.Written(self.version)

    async def read(self, kind, name):
        if self.out:
            return OUT
        return self.objects.get((kind, name), platform.Absent(name))

    async def list(self, kind, after="", limit=100):
        if self.out:
            return OUT
        names = sorted(name for _, name in self.objects if name > after)
        page = tuple(self.objects[kind, name] for name in names[:limit])
        following = page[-1].name if len(names) > limit else None
        return platform.Listing(page, following)

    async def delete(self, kind, name, if_version=None):
        if self.out:
            return OUT
        current = self.objects.get((kind, name))
        if current is None:
            return platform.Absent(name)
        if current.version != if_version:
            return platform.Conflict(current)
        del self.objects[kind, name]
        return platform.Deleted(name)


async def reach_nobody(host, incarnation, data, timeout_s):
    raise peers.PeerError("cut")


def make_book(clock, store, *, number=0, run_at_home=reach_nobody):
    return claims.ClaimBook(
        name=f"h{number}",
        incarnation=1,
        clock=clock,
        random=random.Random(number),
        invariants=invariants_module.InvariantChecker(raising=True),
        store=store,
        run_at_home=run_at_home,
    )


class Fleet:
    """Two hosts with one store, and the runs that they make."""

    def __init__(self):
        self.clock = clock_module.ManualClock()
        self.store = MemoryStore()
        self.links_cut = True
        self.records = [
            make_book(
                self.clock,
                self.store,
                number=number,
                run_at_home=self.run_at_home,
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

    async def run_at_home(self, host, incarnation, data, timeout_s):
        if self.links_cut:
            raise peers.PeerError("cut")
        request = caller.decode_request(data)
        result = await self.ask(int(host[1:]), request, "d", relayed=True)
        outcome = caller.encode(result, request.request_id)
        return outcome.status, outcome.body

    async def ask(self, host, request, digest, *, relayed=False):
        book = self.records[host]
        claim = book.prepare(
            request,
            digest=digest,
            until=self.clock.monotonic() + 0.9,
            ticket_prefix="prefix",
            relayed=relayed,
        )
        return await book.run(
            claim, run=lambda: book.hold(claim, self.run), wait_s=1.0
        )

    def send(self, host: int, *, digest="d", first_send=False) -> asyncio.Task:
        request = caller.QueryRequest(
            "id", "reserve", b"{}", idempotency_key="k", first_send=first_send
        )
        return asyncio.create_task(self.ask(host, request, digest))

    async def get(self, host: int, **options):
        task = self.send(host, **options)
        await self.clock.advance(1.0)
        assert task.done()
        return task.result()


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


async def test_resend_to_another_host_gets_the_recorded_outcome(fleet):
    first = await fleet.get(0)
    again = await fleet.get(1)
    assert fleet.runs == 1
    assert isinstance(again, caller.Recorded)
    assert caller.encode(again, "x") == caller.encode(first, "x")


async def test_outcome_that_was_not_recorded_at_once_is_recorded_later(fleet):
    fleet.duration_s = 0.1
    fleet.send(0)
    await fleet.clock.advance(0.05)
    fleet.store.out = True
    await fleet.clock.advance(0.5)
    fleet.store.out = False
    await fleet.clock.advance(2.0)
    assert isinstance(await fleet.get(1), caller.Recorded)
    assert fleet.runs == 1


async def test_racing_sends_to_two_hosts_run_once(fleet):
    fleet.duration_s = 0.3
    tasks = [fleet.send(0), fleet.send(1)]
    await fleet.clock.advance(1.0)
    assert fleet.runs == 1
    bodies = {caller.encode(task.result(), "x").body for task in tasks}
    assert len(bodies) == 1


async def test_outcome_that_is_not_recorded_is_asked_of_the_creator(fleet):
    fleet.links_cut = False
    fleet.duration_s = 0.3
    first = fleet.send(0)
    await fleet.clock.advance(0.1)
    claimed = dict(fleet.store.objects)
    again = fleet.send(1)
    await fleet.clock.advance(0.3)
    assert again.done()
    assert caller.encode(again.result(), "x") == caller.encode(
        first.result(), "x"
    )
    # Also once the outcome is in the creator's memory only.
    fleet.store.objects = claimed
    later = await fleet.get(1)
    assert caller.encode(later, "x") == caller.encode(first.result(), "x")
    assert fleet.runs == 1


async def test_lost_reply_of_the_claim_is_read_back(fleet):
    fleet.store.lost_replies = 1
    assert await fleet.get(0) == fleet.result
    assert fleet.runs == 1


async def test_claim_that_lands_late_after_a_retry_changes_nothing(fleet):
    fleet.store.late = []
    task = fleet.send(0)
    await fleet.clock.advance(0)
    late, fleet.store.late = fleet.store.late, None
    await fleet.clock.advance(0.5)
    for write in late:
        fleet.store.apply(*write)
    await fleet.get(1)
    assert fleet.runs <= 1
    assert task.done()


@pytest.mark.parametrize(
    ("first_send", "kind"), [(True, caller.Refusal), (False, caller.Failure)]
)
async def test_store_out_runs_nothing_and_offers_a_ticket(
    fleet, first_send, kind
):
    fleet.store.out = True
    result = await fleet.get(0, first_send=first_send)
    assert isinstance(result, kind)
    assert result.ticket_prefix == "prefix"
    assert result.retry_after_s > 0
    assert fleet.runs == 0


async def test_a_run_elsewhere_is_never_called_not_run_in_an_outage(fleet):
    await fleet.get(0)
    fleet.store.out = True
    result = await fleet.get(1)
    assert not isinstance(result, caller.Refusal)


async def test_store_back_after_a_claim_that_landed_unseen(fleet):
    fleet.store.late = []
    task = fleet.send(0, first_send=True)
    await fleet.clock.advance(0)
    late = fleet.store.late[:1]
    fleet.store.out = True
    await fleet.clock.advance(1.0)
    assert task.done()
    fleet.store.out, fleet.store.late = False, None
    for write in late:
        fleet.store.apply(*write)
    assert await fleet.get(0) == fleet.result
    assert fleet.runs == 1


async def test_refused_run_releases_the_key_for_other_hosts(fleet):
    answer, fleet.result = fleet.result, caller.Refusal((OUT,))
    assert isinstance(await fleet.get(0), caller.Refusal)
    fleet.result = answer
    assert await fleet.get(1) == answer
    assert isinstance(await fleet.get(0), caller.Recorded)
    assert fleet.runs == 2


async def test_claim_without_an_outcome_is_never_run_by_another_host(fleet):
    fleet.duration_s = 3600.0
    task = fleet.send(0)
    await fleet.clock.advance(0)
    result = await fleet.get(1)
    assert isinstance(result, caller.Failure)
    assert fleet.runs == 1
    assert task.done()


async def test_other_body_under_the_same_key_is_refused(fleet):
    await fleet.get(0)
    for host in (0, 1):
        result = await fleet.get(host, digest="other")
        assert result.problems[0].kind is errors.ProblemKind.TICKET_USED
    assert fleet.runs == 1


async def test_creator_deletes_expired_claims(fleet):
    await fleet.records[0].start()
    await fleet.get(0)
    await fleet.clock.advance(claims.CLAIM_TTL_S - 10)
    assert fleet.store.objects
    await fleet.clock.advance(2 * claims.DELETE_PERIOD_S)
    assert not fleet.store.objects
    await fleet.records[0].stop()


async def test_claims_of_hosts_that_are_gone_are_deleted_later(fleet):
    await fleet.get(0)
    await fleet.clock.advance(claims.CLAIM_TTL_S)
    await fleet.records[1].start()
    await fleet.clock.advance(480.0)
    assert fleet.store.objects
    await fleet.clock.advance(240.0)
    assert not fleet.store.objects
    await fleet.records[1].stop()


async def test_every_page_of_claims_is_walked(fleet, monkeypatch):
    monkeypatch.setattr(sweep, "PAGE_LIMIT", 2)
    for number in range(7):
        value = {"expires_at": 0}
        fleet.store.apply(claims.OBJECT_KIND, f"c{number}", value, 0)
    kept = {"a-foreign": None, "a-mistyped": {}, "fresh": {"expires_at": 10**9}}
    for name, value in kept.items():
        fleet.store.apply(claims.OBJECT_KIND, name, value, 0)
    await fleet.records[0].start()
    await fleet.clock.advance(20 * sweep.PAGE_PERIOD_S)
    assert [name for _, name in fleet.store.objects] == list(kept)
    await fleet.records[0].stop()
