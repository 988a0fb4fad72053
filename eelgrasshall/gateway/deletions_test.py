"""Tests of when deletions take effect."""

import asyncio
import math

import pytest

from eelgrasshall.gateway import deletions
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import object_cache

_SERVERS = object_cache.Collection.SERVERS
_NAMES = ("a", "b")


class _Applied:
    """A cache whose deletions are put off, on a scale of tenths of seconds."""

    def __init__(self, *, collection=_SERVERS, bound_s: float = 0.3):
        self.values: dict[str, object] = {}
        self.log = fakes.Log()
        self.collection = collection
        self.cache = object_cache.ObjectCache(
            decode=lambda collection, name, document: document,
            on_update=self._on_update,
        )
        self.deletions = deletions.Deletions(
            collection=collection,
            cache=self.cache,
            loop=asyncio.get_running_loop(),
            log=self.log,
            bound_s=bound_s,
        )
        for name in _NAMES:
            self.cache.apply(self.make_update(name, 3, "x"))
        self.cache.advance(collection, 5)

    def _on_update(self, update, value):
        if value is None:
            self.values.pop(update.name, None)
        else:
            self.values[update.name] = value

    def make_update(self, name, revision, document=None):
        return object_cache.Update(self.collection, name, revision, document)

    def record_age(self, age_s: float) -> None:
        now = asyncio.get_running_loop().time()
        self.cache.record_current(self.collection, now - age_s)


@pytest.fixture(autouse=True)
def _shorten(monkeypatch):
    monkeypatch.setattr(deletions, "DELETION_GRACE_S", 0.24)
    monkeypatch.setattr(deletions, "DISTRIBUTION_S", 0.06)


@pytest.mark.parametrize(
    ("gap_s", "bound_s", "grace_s"),
    [
        # Up to date until now: as long as a lapsed entry may take.
        (0.0, 0.3, 0.24),
        (0.16, 0.3, 0.08),
        # Beyond the bound an outage is likely.
        (0.25, 0.3, 0.24),
        (math.inf, 0.3, 0.24),
        # A bound that leaves time for both.
        (0.26, 0.6, 0.24),
    ],
)
def test_doubt_ends_within_the_bound_from_the_last_certain_moment(
    gap_s, bound_s, grace_s
):
    assert deletions.choose_grace_s(gap_s, bound_s) == pytest.approx(grace_s)


async def test_deletion_without_doubt_is_applied_at_once():
    applied = _Applied()
    applied.deletions.apply(applied.make_update("a", 6))
    assert applied.values == {"b": "x"}


async def test_only_servers_lapse():
    applied = _Applied(collection=object_cache.Collection.EVACUATIONS)
    applied.deletions.doubt(outage=True)
    applied.deletions.apply(applied.make_update("a", 6))
    assert applied.values == {"b": "x"}


async def test_inferred_deletion_holds_back_the_revision_while_in_doubt():
    applied = _Applied()
    applied.record_age(0.1)
    applied.deletions.infer([applied.make_update("a", 9)], after=5)
    applied.cache.advance(_SERVERS, 9)
    applied.record_age(0.0)
    assert applied.values == {"a": "x", "b": "x"}
    assert applied.cache.get_applied_revision(_SERVERS) == 5
    # Others get the deletion with its time, so that the age is not held back:
    # they took a stream of doubted deletions for a gap of some seconds.
    assert applied.deletions.get_age_s() < 0.05
    await asyncio.sleep(0.18)
    assert applied.values == {"b": "x"}
    assert applied.cache.get_applied_revision(_SERVERS) == 9


async def test_deletion_of_most_servers_is_doubted_in_full(monkeypatch):
    monkeypatch.setattr(deletions, "MIN_OUTAGE_COUNT", 2)
    applied = _Applied()
    applied.record_age(0.2)
    updates = [applied.make_update(name, 9) for name in _NAMES]
    applied.deletions.infer(updates, after=5)
    await asyncio.sleep(0.2)
    assert applied.values == {"a": "x", "b": "x"}
    await asyncio.sleep(0.1)
    assert applied.values == {}


async def test_second_report_of_a_deletion_does_not_put_it_off_again():
    applied = _Applied()
    applied.record_age(0.1)
    applied.deletions.infer([applied.make_update("a", 9)], after=5)
    await asyncio.sleep(0.1)
    applied.deletions.doubt(outage=True)
    applied.deletions.apply(applied.make_update("a", 12))
    applied.deletions.infer([applied.make_update("a", 14)], after=7)
    assert applied.cache.get_applied_revision(_SERVERS) == 5
    await asyncio.sleep(0.07)
    assert applied.values == {"b": "x"}


async def test_server_that_registers_again_is_kept():
    applied = _Applied()
    applied.deletions.doubt(outage=True)
    applied.deletions.apply(applied.make_update("a", 7))
    applied.deletions.apply(applied.make_update("a", 8, "again"))
    await asyncio.sleep(0.3)
    assert applied.values == {"a": "again", "b": "x"}


async def test_deletion_after_another_host_told_of_the_new_entry_is_not_lost():
    applied = _Applied()
    applied.deletions.doubt(outage=True)
    applied.deletions.apply(applied.make_update("a", 7))
    applied.cache.apply(applied.make_update("a", 8, "again"))
    applied.deletions.apply(applied.make_update("a", 9))
    await asyncio.sleep(0.3)
    assert applied.values == {"b": "x"}


async def test_deletion_that_another_host_doubts_is_due_when_it_is_due_there():
    applied = _Applied()
    now = asyncio.get_running_loop().time()
    applied.deletions.adopt(
        applied.make_update("a", 9), after=6, until_s=now + 0.1
    )
    # A later time changes nothing, an earlier one does.
    applied.deletions.adopt(
        applied.make_update("a", 9), after=6, until_s=now + 0.3
    )
    applied.deletions.adopt(
        applied.make_update("a", 9), after=6, until_s=now + 0.05
    )
    applied.cache.advance(_SERVERS, 9)
    assert applied.values == {"a": "x", "b": "x"}
    assert applied.cache.get_applied_revision(_SERVERS) == 6
    await asyncio.sleep(0.08)
    assert applied.values == {"b": "x"}
    assert applied.cache.get_applied_revision(_SERVERS) == 9


async def test_deletion_of_what_is_unknown_or_newer_is_not_adopted():
    applied = _Applied()
    applied.cache.apply(applied.make_update("b", 12, "again"))
    applied.cache.advance(_SERVERS, 12)
    now = asyncio.get_running_loop().time()
    for name in ("b", "unknown"):
        applied.deletions.adopt(
            applied.make_update(name, 9), after=6, until_s=now + 0.05
        )
    assert applied.cache.get_applied_revision(_SERVERS) == 12
    await asyncio.sleep(0.08)
    assert applied.values == {"a": "x", "b": "again"}


async def test_age_is_unknown_without_contact_and_after_a_failure():
    applied = _Applied()
    assert applied.deletions.get_age_s() is None
    applied.record_age(0.1)
    assert applied.deletions.get_age_s() == pytest.approx(0.1, abs=0.05)
    applied.deletions.record_failure()
    assert applied.deletions.get_age_s() is None
    applied.record_age(-0.01)
    assert applied.deletions.get_age_s() is not None


async def test_host_that_follows_the_store_knows_everything_until_now():
    applied = _Applied()
    applied.record_age(1.0)
    applied.deletions.following = True
    assert applied.deletions.get_age_s() == pytest.approx(0.0, abs=0.05)


async def test_deletion_after_a_new_entry_from_another_host_is_adopted():
    # The entry lapses here (6), another host tells that it was written again
    # (7), and then that it puts off its deletion (8).  The timer of the first
    # deletion was taken for one of the second, which was dropped: requests went
    # to the server as long as it served (found by platform/fleet_walks).
    applied = _Applied()
    applied.deletions.doubt()
    applied.deletions.apply(applied.make_update("a", 6))
    applied.cache.apply(applied.make_update("a", 7, "y"))
    until_s = asyncio.get_running_loop().time() + 0.3
    applied.deletions.adopt(
        applied.make_update("a", 8), after=7, until_s=until_s
    )
    applied.cache.advance(_SERVERS, 8)
    assert applied.cache.get_applied_revision(_SERVERS) == 7
    await asyncio.sleep(0.35)
    assert applied.values == {"b": "x"}


async def test_deletion_after_a_new_entry_from_another_host_is_inferred():
    # As above, but a host that has listed the store gives names only.
    applied = _Applied()
    applied.deletions.doubt()
    applied.deletions.apply(applied.make_update("a", 6))
    applied.cache.apply(applied.make_update("a", 7, "y"))
    applied.deletions.infer([applied.make_update("a", 8)], after=7)
    await asyncio.sleep(0.35)
    assert applied.values == {"b": "x"}


@pytest.mark.parametrize("tells", ["adopt", "infer"])
async def test_later_deletion_of_an_entry_is_named_by_its_own_revision(tells):
    # A host that puts off a deletion (6) and hears of a later one of the same
    # name (9) kept the first.  To a host that had the entry of revision 8 it
    # could not name the deletion after that.
    applied = _Applied()
    applied.deletions.doubt()
    applied.deletions.apply(applied.make_update("a", 6))
    later = applied.make_update("a", 9)
    if tells == "adopt":
        due_s = asyncio.get_running_loop().time() + 5.0
        applied.deletions.adopt(later, after=8, until_s=due_s)
    else:
        applied.deletions.infer([later], after=8)
    assert applied.values == {"a": "x", "b": "x"}
    await asyncio.sleep(0.3)
    assert applied.values == {"b": "x"}
    assert later in applied.cache.list_updates(_SERVERS)


async def test_entry_that_is_older_than_a_deletion_does_not_cancel_it():
    # A listing that arrives late has the entry as it was before the deletion
    # that another host has told of meanwhile.
    applied = _Applied()
    applied.deletions.doubt()
    applied.deletions.apply(applied.make_update("a", 6))
    applied.deletions.apply(applied.make_update("a", 3, "x"))
    await asyncio.sleep(0.3)
    assert applied.values == {"b": "x"}


async def test_deletion_of_what_is_unknown_is_not_stated_as_one_to_name():
    # A listing of several pages may lack an object that was deleted after its
    # first page, whose revision it has.  Another host then puts that deletion
    # off; this one has nothing to put off, and could not name the deletion to a
    # host that has the object (found by platform/exploration).
    applied = _Applied()
    applied.cache.raise_complete_since(_SERVERS, 5)
    applied.deletions.adopt(
        applied.make_update("unknown", 6), after=5, until_s=math.inf
    )
    assert applied.cache.get_complete_since(_SERVERS) == 6
