"""Searches the orders of events for one in which hosts claim what is not so.

Breadth first, so that the first sequence found is a shortest one.  Each state
is reached by playing its events from the start; one that was seen before is not
continued.  docs/design/knowledge.md has the invariants.
"""

import argparse
import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import enum
import hashlib
import sys
import time
from typing import Any
from typing import NamedTuple
from unittest import mock

from eelgrasshall.gateway import deletions
from eelgrasshall.gateway import election
from eelgrasshall.gateway import knowledge
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import peer_sync
from eelgrasshall.gateway import watcher
from eelgrasshall.platform import mutations
from eelgrasshall.platform import simulated_fleet

_SERVERS = simulated_fleet.Collection.SERVERS
# Timers that are due this soon expire before anything else happens.
_IMMEDIATE_S = 0.011
# Time that passes in one event: longer than the interval at which hosts check
# their role and than the delay between two watches.
PASS_S = 0.35
# Time after which all hosts agree: doubt, one watch and a few exchanges.
_QUIET_S = 5.0
_HEARTBEAT_PERIOD_S = 0.5
_SETTLING_S = 3.5
# The modules whose objects make up the state of a host.
_DESCRIBED = frozenset(
    each.__name__
    for each in (deletions, knowledge, object_cache, peer_sync, watcher)
)


class Bound(NamedTuple):
    """How far a search goes.

    Attributes:
      hosts: The number of hosts; the first one is the seed of all.
      watchers: The number of hosts that watch the store.
      changes: The most changes of the store.
      restarts: How often a host starts again or the store drops its history
        at most.
      passes: How often time passes at most.
      depth: The most events.
      seconds: When the search ends, processor seconds.
    """

    hosts: int = 3
    watchers: int = 1
    changes: int = 2
    restarts: int = 1
    passes: int = 2
    depth: int = 7
    seconds: float = 60.0


class Result(NamedTuple):
    """What a search has found.

    Attributes:
      violations: What did not hold, if anything.
      sequence: The events that led there.
      orders: The number of sequences played.
      states: The number of different states.
      depth: The number of events up to which all orders were played.
      seconds: How long it took.
    """

    violations: list[str]
    sequence: tuple[str, ...]
    orders: int
    states: int
    depth: int
    seconds: float

    def __str__(self) -> str:
        """Describes it in a few lines."""
        lines = [
            f"{self.orders} orders, {self.states} states, all up to "
            f"{self.depth} events, {self.seconds:.1f} s"
        ]
        for number, event in enumerate(self.sequence, 1):
            lines.append(f"  {number}. {event}")
        return "\n".join(lines + [f"  -> {each}" for each in self.violations])


# Invariants.


def _list_state(
    fleet: simulated_fleet.Fleet,
    collection: simulated_fleet.Collection,
    revision: int,
) -> dict[str, simulated_fleet.Change]:
    """Returns the latest change of each object up to a revision, in its era."""
    era = object_cache.get_era(revision)
    return {
        change.name: change
        for change in fleet.changes
        if change.collection is collection
        and change.revision <= revision
        and object_cache.get_era(change.revision) == era
    }


def check_claims(host: simulated_fleet.Host) -> list[str]:
    """Returns where what a host states of a collection does not hold."""
    faults = list(host.faults)
    cache = host.knowledge.cache
    for collection in cache.collections:
        latest = {each.name: each for each in cache.list_updates(collection)}
        put_off = {e.update.name for e in cache.list_deferred(collection)}
        for claim, revision, exempt in (
            ("applied", cache.get_applied_revision(collection), set()),
            ("received", cache.get_received_revision(collection), put_off),
        ):
            stored = _list_state(host.fleet, collection, revision)
            for name, change in stored.items():
                known = latest.get(name)
                faults += [
                    f"claim: {host.name} has {claim} "
                    f"{object_cache.split_revision(revision)} but {problem}"
                    for problem in _find_problems(
                        host, change, known, revision, exempt
                    )
                ]
        since = cache.get_complete_since(collection)
        received = cache.get_received_revision(collection)
        for change in host.fleet.changes:
            known = latest.get(change.name)
            if (
                change.collection is collection
                and change.spec is None
                and since < change.revision <= received
                and object_cache.get_era(change.revision)
                == object_cache.get_era(received)
                and change.name not in put_off
                and (known is None or known.revision < change.revision)
            ):
                faults.append(
                    f"since: {host.name} cannot name the deletion of "
                    f"{change.name}"
                )
    return faults


def _find_problems(
    host: simulated_fleet.Host,
    change: simulated_fleet.Change,
    known: object_cache.Update | None,
    revision: int,
    exempt: set[str],
) -> Iterator[str]:
    """Yields what a host lacks of a change that it claims to have."""
    is_behind = known is None or known.revision < change.revision
    if change.spec is None:
        if (
            known is not None
            and known.document is not None
            and is_behind
            and change.name not in exempt
            and object_cache.get_era(known.revision)
            == object_cache.get_era(change.revision)
        ):
            yield f"still has {change.name}"
    elif is_behind and not any(
        later.name == change.name
        and later.collection is change.collection
        and later.revision > revision
        for later in host.fleet.changes
    ):
        yield f"lacks {change.name}"


def check_agreement(fleet: simulated_fleet.Fleet) -> list[str]:
    """Returns which hosts differ from the store."""
    stored = {
        each.name
        for each in _list_state(fleet, _SERVERS, fleet.revision).values()
        if each.spec is not None
    }
    return [
        f"agreement: {host.name} has {sorted(known)}, the store "
        f"{sorted(stored)}"
        for host in fleet.hosts.values()
        if host.alive
        and (known := set(host.knowledge.cache.list_names(_SERVERS))) != stored
    ]


# States.


def _describe(value: Any, seen: set[int]) -> Any:
    """Returns the data of an object of production code, without its links.

    Args:
      value: The object.
      seen: The ids of the objects that have been described.
    """
    if isinstance(value, float):
        return round(value, 3)
    if isinstance(value, str | int | None | enum.Enum):
        return value
    if isinstance(value, dict):
        return [(key, _describe(each, seen)) for key, each in value.items()]
    if isinstance(value, list | tuple):
        return [_describe(each, seen) for each in value]
    if type(value).__module__ in _DESCRIBED and id(value) not in seen:
        seen.add(id(value))
        return [
            (key, _describe(each, seen))
            for key, each in vars(value).items()
            if key != "generation"
        ]
    return None


class Play:
    """A fleet on which events are played one by one.

    Args:
      bound: The bound of the search.
    """

    def __init__(self, bound: Bound):
        self.loop = simulated_fleet.Loop()
        self._bound = bound
        self._changes = self._restarts = self._passes = 0
        self._pages: dict[tuple[str, str], list[str]] = {}
        names = _choose_names(bound.hosts)
        self.fleet = simulated_fleet.Fleet(
            loop=self.loop,
            names=names,
            seeds=names[:1],
            collections=(_SERVERS,),
            bounds_s={_SERVERS: 3.0},
            choose_delay_s=lambda call: 0.0,
            has_heartbeats=False,
            page_size=1,
        )
        for name in ("a", "b"):
            self._write(name)
        for name in names:
            self.fleet.start(name)
        self._rest(_SETTLING_S)
        # Watches wait at the store; all else is ordered by the search.
        self.fleet.choose_delay_s = lambda call: (
            0.0 if call.is_watch and not call.answered else None
        )

    def _write(self, name: str) -> None:
        spec = simulated_fleet.make_server_spec(seq=len(self.fleet.changes))
        self.fleet.write(_SERVERS, name, spec)

    def _advance(self, duration_s: float) -> None:
        """Lets time pass; messages that are held stay where they are."""
        end_s = self.loop.time() + duration_s

        def advance(next_s: float) -> float:
            remaining_s = end_s - self.loop.time()
            if remaining_s <= 0.0 and next_s > _IMMEDIATE_S:
                self.loop.stop()
                return 0.0
            return min(next_s, max(remaining_s, _IMMEDIATE_S))

        self.loop.on_idle = advance
        self.loop.run_forever()

    def _rest(self, duration_s: float) -> None:
        """Lets time pass in which hosts hear each other."""
        for _ in range(round(duration_s / _HEARTBEAT_PERIOD_S)):
            self._advance(_HEARTBEAT_PERIOD_S)
            for host in self.fleet.hosts.values():
                for other in self.fleet.hosts.values():
                    if host is not other:
                        host.hear(other)

    def list_events(self) -> dict[str, Callable[[], None]]:
        """Returns the events that may come next, by their descriptions."""
        fleet, bound = self.fleet, self._bound
        events: dict[str, Callable[[], None]] = {}
        for call in fleet.calls:
            if not call.source.alive or call.future.done():
                continue
            if call.response is not None:
                events[f"deliver {call}"] = lambda call=call: fleet.deliver(
                    call
                )
            elif not call.answered:
                events[f"serve {call}"] = lambda call=call: self._serve(call)
                events[f"answer {call}"] = lambda call=call: fleet.answer(call)
        for host in fleet.hosts.values():
            for other in fleet.hosts.values():
                if host is not other and _is_behind(host, other):
                    events[f"{host.name} hears {other.name}"] = (
                        lambda host=host, other=other: host.hear(other)
                    )
        if self._changes < bound.changes:
            live = fleet.store.list_names("servers")
            for name in ("a", "b"):
                events[f"write {name}"] = lambda name=name: self._change(name)
                if name in live:
                    events[f"delete {name}"] = lambda name=name: self._change(
                        name, deleted=True
                    )
        if self._restarts < bound.restarts:
            for name in fleet.hosts:
                events[f"restart {name}"] = lambda name=name: self._restart(
                    name
                )
            events["the store drops its history"] = self._drop_history
        if self._passes < bound.passes:
            events["time passes"] = self._pass
        return events

    def _serve(self, call: simulated_fleet.Call) -> None:
        """Answers a request and delivers the response."""
        self.fleet.answer(call)
        self._advance(0.0)
        if call.response is not None:
            self.fleet.deliver(call)

    def _change(self, name: str, *, deleted: bool = False) -> None:
        self._changes += 1
        if deleted:
            self.fleet.write(_SERVERS, name, None)
        else:
            self._write(name)

    def _restart(self, name: str) -> None:
        self._restarts += 1
        self.fleet.start(name)

    def _drop_history(self) -> None:
        self._restarts += 1
        self.fleet.store.drop_history()

    def _pass(self) -> None:
        self._passes += 1
        self._advance(PASS_S)

    def play(self, event: str) -> list[str]:
        """Plays an event; returns what does not hold after it."""
        self.list_events()[event]()
        self._advance(0.0)
        return self.check()

    def check(self) -> list[str]:
        """Returns what does not hold now."""
        faults = list(self.fleet.errors)
        for host in self.fleet.hosts.values():
            faults += check_claims(host)
        return faults

    def rest(self) -> list[str]:
        """Lets all messages arrive; returns what does not hold after quiet."""
        self.fleet.choose_delay_s = lambda call: 0.0
        self.fleet.release()
        self._rest(_QUIET_S)
        return self.check() or check_agreement(self.fleet)

    def hash_state(self) -> bytes:
        """Returns a digest of all that what follows depends on."""
        fleet = self.fleet
        state = [
            (self._changes, self._restarts, self._passes),
            [
                (change.name, change.revision, change.spec is None)
                for change in fleet.changes
            ],
            [
                (host.name, host.incarnation, _describe(host.knowledge, set()))
                for host in fleet.hosts.values()
            ],
            sorted(
                (str(e), e.source.incarnation, e.answered, repr(e.response))
                for e in fleet.calls
                if e.source.alive
            ),
            sorted(
                round(timer.when() - self.loop.time(), 3)
                for timer in self.loop.list_timers()
            ),
        ]
        return hashlib.blake2b(repr(state).encode(), digest_size=12).digest()

    def close(self) -> None:
        """Ends the fleet."""
        self.fleet.close()


def _choose_names(count: int) -> list[str]:
    """Returns names of hosts, in the order in which they are elected."""
    candidates = [
        election.Candidate(f"h{index}", "z", False) for index in range(count)
    ]
    return [each.name for each in election.elect_watchers(candidates, count)]


def _is_behind(host: simulated_fleet.Host, other: simulated_fleet.Host) -> bool:
    """Returns whether another host knows more of the store."""
    own, others = host.knowledge.cache, other.knowledge.cache
    return others.get_applied_revision(_SERVERS) > own.get_applied_revision(
        _SERVERS
    ) or others.get_received_revision(_SERVERS) > own.get_received_revision(
        _SERVERS
    )


@contextlib.contextmanager
def _limit_model(bound: Bound):
    """Lets one collection be in use, and a few hosts watch."""
    with (
        simulated_fleet.replace_clients(),
        mock.patch.object(election, "WATCHER_COUNT", bound.watchers),
        mock.patch.object(object_cache, "BASE_COLLECTIONS", (_SERVERS,)),
    ):
        yield


def replay(bound: Bound, sequence: Sequence[str]) -> list[str]:
    """Plays a sequence of events, then quiet; returns what does not hold."""
    with _limit_model(bound):
        play = Play(bound)
        try:
            for event in sequence:
                if faults := play.play(event):
                    return faults
            return play.rest()
        finally:
            play.close()


def explore(bound: Bound) -> Result:
    """Plays all orders of events within a bound until one does not hold."""
    began_s = time.process_time()
    queue: collections.deque[tuple[str, ...]] = collections.deque([()])
    seen: set[bytes] = set()
    orders = depth = 0

    def finish(faults: list[str], sequence: tuple[str, ...]) -> Result:
        took_s = time.process_time() - began_s
        return Result(faults, sequence, orders, len(seen), depth, took_s)

    with _limit_model(bound):
        while queue and time.process_time() - began_s < bound.seconds:
            sequence = queue.popleft()
            depth = max(0, len(sequence) - 1)
            orders += 1
            play = Play(bound)
            try:
                for event in sequence:
                    faults = play.play(event)
                if sequence and faults:
                    return finish(faults, sequence)
                digest = play.hash_state()
                if digest in seen:
                    continue
                seen.add(digest)
                if len(sequence) < bound.depth:
                    queue.extend(
                        (*sequence, each) for each in play.list_events()
                    )
                if faults := play.rest():
                    return finish(faults, sequence)
            finally:
                play.close()
        if not queue:
            depth = bound.depth
    return finish([], ())


def main(arguments: Sequence[str]) -> int:
    """Explores within the bound that is given; returns the exit code."""
    parser = argparse.ArgumentParser(prog="exploration")
    for field in Bound._fields:
        default = Bound._field_defaults[field]
        parser.add_argument(f"--{field}", type=type(default), default=default)
    parser.add_argument(
        "--mutation", choices=list(mutations.MUTATIONS), default=None
    )
    options = vars(parser.parse_args(arguments))
    mutation = options.pop("mutation")
    with mutations.apply(mutation):
        result = explore(Bound(**options))
    print(result)
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
