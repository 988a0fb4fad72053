"""Tests of following the store, with a source that fails as stores do."""

import asyncio
import random

from eelgrasshall.gateway import belief
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import following

_SERVERS = belief.Collection.SERVERS
# The shortest bound within which a change must be in force, seconds.
_BOUND_S = 3.0


class _Source:
    """Gives scripted answers, and then waits for ever."""

    def __init__(self, *, listings, answers):
        self.listings = list(listings)
        self.answers = list(answers)
        self.calls: list[str] = []

    async def read_all(self, collection):
        self.calls.append("list")
        if not self.listings:
            await asyncio.Event().wait()
        return self.listings.pop(0)

    async def wait(self, collection, revision, wait_s):
        self.calls.append(f"watch {revision}")
        if not self.answers:
            await asyncio.Event().wait()
        return self.answers.pop(0)


def _news(name: str, revision: int, document=None) -> belief.News:
    return belief.News(_SERVERS, name, revision, document)


def _listing(revision: int, *news: belief.News) -> belief.Listing:
    return belief.Listing(news, revision)


class _Run:
    """A follower under test and what it led to."""

    def __init__(self, source, *, duty=lambda: True):
        self.values: dict[str, object] = {}
        self.log = fakes.Log()
        self.belief = belief.Belief(
            decode=lambda collection, name, document: document,
            listen=self._listen,
        )
        self.follower = following.Follower(
            collection=_SERVERS,
            source=source,
            belief=self.belief,
            log=self.log,
            random=random.Random(1),
            should_listen=duty,
            bound_s=_BOUND_S,
        )

    def _listen(self, news, value):
        if value is None:
            self.values.pop(news.name, None)
        else:
            self.values[news.name] = value

    async def go(self, seconds: float):
        task = asyncio.create_task(self.follower.run())
        await asyncio.sleep(seconds)
        task.cancel()


def _shorten(monkeypatch, **constants: float):
    for name, value in constants.items():
        monkeypatch.setattr(following, name, value)


def test_held_deletions_are_in_force_within_the_bound():
    assert following.LAPSE_GRACE_S + following.LONGEST_GATHER_S < _BOUND_S


async def test_a_list_comes_first_and_watches_go_on_from_it(monkeypatch):
    _shorten(monkeypatch, GATHER_S=0.0, LAPSE_GRACE_S=0.0)
    source = _Source(
        listings=[_listing(5, _news("a", 3, "x"))],
        answers=[_listing(8, _news("b", 8, "y")), _listing(9, _news("a", 9))],
    )
    run = _Run(source)
    await run.go(0.05)
    assert source.calls == ["list", "watch 5", "watch 8", "watch 9"]
    assert run.values == {"b": "y"}


async def test_history_that_is_gone_leads_to_a_new_list(monkeypatch):
    _shorten(monkeypatch, GATHER_S=0.0, LAPSE_GRACE_S=0.0)
    source = _Source(
        listings=[_listing(5, _news("a", 3, "x")), _listing(9)],
        answers=[following.HistoryGone()],
    )
    run = _Run(source)
    await run.go(0.05)
    assert source.calls[:3] == ["list", "watch 5", "list"]
    assert run.values == {}
    assert run.log.events("history_gone")


async def test_a_lapse_while_the_store_was_out_waits_for_its_servers(
    monkeypatch,
):
    _shorten(monkeypatch, GATHER_S=0.0, LAPSE_GRACE_S=0.15, FIRST_PAUSE_S=0.001)
    source = _Source(
        listings=[_listing(5, _news("a", 3, "x"), _news("b", 4, "y"))],
        answers=[
            following.Unavailable("reset"),
            _listing(7, _news("a", 6), _news("b", 7)),
            _listing(8, _news("a", 8, "x")),
        ],
    )
    run = _Run(source)
    await run.go(0.08)
    assert run.values == {"a": "x", "b": "y"}
    # What is held is not passed on to other hosts as known.
    assert run.belief.complete(_SERVERS) == 6
    await asyncio.sleep(0.15)
    assert run.values == {"a": "x"}
    assert run.log.events("store_lost") and run.log.events("store_regained")


async def test_servers_that_vanish_together_are_doubted(monkeypatch):
    _shorten(
        monkeypatch, GATHER_S=0.06, LONGEST_GATHER_S=0.06, LAPSE_GRACE_S=0.05
    )
    names = [f"s{i}" for i in range(6)]
    source = _Source(
        listings=[_listing(9, *(_news(n, 1, n) for n in names))],
        answers=[
            _listing(9),
            _listing(9),
            _listing(20, *(_news(n, 15) for n in names)),
        ],
    )
    run = _Run(source)
    task = asyncio.create_task(run.follower.run())
    await asyncio.sleep(0.14)
    assert len(run.values) == 6
    await asyncio.sleep(0.06)
    assert run.values == {}
    task.cancel()


async def test_a_host_that_begins_to_listen_doubts_what_vanished(monkeypatch):
    _shorten(
        monkeypatch,
        GATHER_S=0.0,
        LAPSE_GRACE_S=0.15,
        DUTY_POLL_S=0.005,
        FIRST_DUTY_S=0.0,
    )
    source = _Source(listings=[], answers=[_listing(9, _news("a", 8))])
    duty = [False]
    run = _Run(source, duty=lambda: duty[0])
    run.belief.apply(_news("a", 3, "x"))
    run.belief.advance(_SERVERS, 5)
    task = asyncio.create_task(run.follower.run())
    await asyncio.sleep(0.03)
    assert source.calls == [] and not run.follower.reachable
    duty[0] = True
    await asyncio.sleep(0.05)
    assert source.calls[0] == "watch 5" and run.follower.reachable
    assert run.values == {"a": "x"}
    await asyncio.sleep(0.2)
    assert run.values == {}
    task.cancel()


async def test_a_single_deletion_in_calm_times_counts_at_once(monkeypatch):
    _shorten(
        monkeypatch, GATHER_S=0.06, LONGEST_GATHER_S=0.06, LAPSE_GRACE_S=0.05
    )
    source = _Source(
        listings=[_listing(5, _news("a", 3, "x"))],
        answers=[_listing(5), _listing(5), _listing(6, _news("a", 6))],
    )
    run = _Run(source)
    task = asyncio.create_task(run.follower.run())
    await asyncio.sleep(0.14)
    assert run.values == {}
    task.cancel()


def test_a_stream_of_changes_is_gathered_and_a_single_one_taken_at_once():
    """Replays ten changes a second for ten seconds, then a quiet time."""
    now, pause_s, calls = 0.0, following.GATHER_S, 0
    while now < 10.0:
        waited_s = 0.05
        calls += 1
        pause_s = following.choose_gather_s(pause_s, waited_s)
        now += waited_s + pause_s
    # With a pause of 0.1 s it were 67 calls.
    assert calls < 35
    assert following.choose_gather_s(pause_s, 1.8) == following.GATHER_S
