"""The one exact queue of a service, at its owner.

Only the owner sends to a service's backend servers, so it knows every slot in
use.  A sub-request waits here, not at a backend server, and the freest usable
replica is chosen at the moment a slot frees.  Hedges go first, because each
holds up a query that is otherwise done; then the oldest query.  What cannot
be served in time is refused at once instead of being held.
"""

import asyncio
import bisect
from collections.abc import Callable
import itertools
import random as random_module
from typing import NamedTuple

from eelgrasshall import clock as clocks
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import histogram as histograms
from eelgrasshall.protocol import messages
from eelgrasshall.state import directory as directories

SWEEP_S = 0.01
# A cold server gets a request this often even if a warm one is freer, since
# it can prove itself only by serving.
COLD_PACE_S = 0.02
# Mean service time over the median, for estimates of the wait.
MEAN_OVER_MEDIAN = 1.5
# Waits above which coming back is worth telling apart from trying again.
_FOREVER_S = 3600.0


class Ask(NamedTuple):
    """What one attempt asks of the queue.

    Attributes:
      attempt_id: Names the attempt.
      fingerprint: Fingerprint of its request.
      admitted_s: When its query was admitted; the oldest goes first.
      deadline_s: When its query ends.
      snapshot: The pinned snapshot, if any.
      repeatable: Whether it may be tried on a server that may fail.
      hedge: Whether it doubles an attempt in flight.
      alone: Whether nothing else may be in flight beside it.
      excluded: Servers that it must not go to.
      avoided: Servers that it goes to only if no other is usable.
    """

    attempt_id: str
    fingerprint: str
    admitted_s: float
    deadline_s: float
    snapshot: messages.Snapshot | None = None
    repeatable: bool = True
    hedge: bool = False
    alone: bool = False
    excluded: frozenset[str] = frozenset()
    avoided: frozenset[str] = frozenset()


class Lease(NamedTuple):
    """One slot of one backend server, until it is released.

    Attributes:
      record: Books of the backend server.
      attempt_id: The attempt that holds the slot.
      fingerprint: Fingerprint of its request.
      cold: Whether the server was cold when the slot was given.
      turns: How often it had turned cold by then.
      alone: Whether nothing else is in flight beside it.
    """

    record: directories.ServerRecord
    attempt_id: str
    fingerprint: str
    cold: bool
    turns: int
    alone: bool


class _Waiter(NamedTuple):
    """An ask that waits for a slot."""

    ask: Ask
    future: asyncio.Future[Lease | errors.Problem]


class SlotQueue:
    """Slots in use and attempts waiting for the servers of one service.

    Args:
      service: Name of the service.
      clock: Source of time.
      random: Source of chance, to break ties.
      invariants: Where slots and allowances are checked.
      directory: Books of the backend servers.
      usual: Latencies of the service's warm servers.
      notice_lost: Called with a server's books before a slot is given; turns
        it cold if its idle connections were closed.
    """

    def __init__(
        self,
        *,
        service: str,
        clock: clocks.Clock,
        random: random_module.Random,
        invariants: invariants_module.Invariants,
        directory: directories.Directory,
        usual: histograms.Histogram,
        notice_lost: Callable[[directories.ServerRecord], None],
    ):
        self._service = service
        self._clock = clock
        self._random = random
        self._invariants = invariants
        self._directory = directory
        self._usual = usual
        self._notice_lost = notice_lost
        self._waiters: list[tuple[tuple[bool, float, int], _Waiter]] = []
        self._alone: list[_Waiter] = []
        self._numbers = itertools.count()
        self._sweeper: asyncio.Task[None] | None = None
        self.settled_s = 0.0

    async def acquire(self, ask: Ask) -> Lease | errors.Problem:
        """Waits for a slot.

        Returns:
          The slot, which must be released, or why there will be none in time.
        """
        problem = self._find_hopeless(ask, self._count_ahead(ask))
        if problem is not None:
            return problem
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(ask, future)
        self._enqueue(waiter)
        self.pump()
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise

    def release(self, lease: Lease) -> None:
        """Gives a slot back once the backend server has let go."""
        lease.record.held.pop(lease.attempt_id, None)
        self.pump()

    def pump(self) -> None:
        """Gives free slots to waiting attempts."""
        now = self._clock.monotonic()
        self._pump_alone(now)
        free = self._count_free(now)
        position = 0
        while position < len(self._waiters) and any(free.values()):
            waiter = self._waiters[position][1]
            record = self._choose(waiter.ask, free, now)
            if record is None:
                position += 1
                continue
            del self._waiters[position]
            self._give(waiter, record, now)
            free[record.name] -= 1
        self._start_sweeping()

    def fail_all(self, problem: errors.Problem) -> None:
        """Refuses everything that waits."""
        for _, waiter in self._waiters:
            waiter.future.set_result(problem)
        for waiter in self._alone:
            waiter.future.set_result(problem)
        self._waiters.clear()
        self._alone.clear()

    def count_waiting(self) -> int:
        """Returns the number of attempts that wait."""
        return len(self._waiters) + len(self._alone)

    def capacity_of(self, record: directories.ServerRecord) -> int:
        """Returns how many attempts a server may run at once now."""
        now = self._clock.monotonic()
        if not record.in_service or now < record.down_until_s:
            return 0
        settling = now < self.settled_s
        if record.cold:
            return 0 if settling else record.allowance
        slots = record.server.slots
        return max(1, slots // 2) if settling else slots

    def _enqueue(self, waiter: _Waiter) -> None:
        """Puts a waiter in its place."""
        if waiter.ask.alone:
            self._alone.append(waiter)
            return
        bisect.insort(self._waiters, (self._rank(waiter.ask), waiter))

    def _rank(self, ask: Ask) -> tuple[bool, float, int]:
        """Returns the sort key of an ask: hedges first, then the oldest."""
        return (not ask.hedge, ask.admitted_s, next(self._numbers))

    def _withdraw(self, waiter: _Waiter) -> None:
        """Takes out a waiter whose task was cancelled."""
        self._waiters = [w for w in self._waiters if w[1] is not waiter]
        self._alone = [w for w in self._alone if w is not waiter]
        future = waiter.future
        if future.done() and not future.cancelled():
            given = future.result()
            if isinstance(given, Lease):
                self.release(given)
                return
        self.pump()

    def _count_free(self, now: float) -> dict[str, int]:
        """Returns the free slots of each server."""
        return {
            record.name: self._free_of(record)
            for record in self._directory.of_service(self._service)
        }

    def _free_of(self, record: directories.ServerRecord) -> int:
        """Returns the free slots of one server."""
        if record.reserved:
            return 0
        return max(0, self.capacity_of(record) - len(record.held))

    def _choose(
        self, ask: Ask, free: dict[str, int], now: float
    ) -> directories.ServerRecord | None:
        """Chooses the freest usable server for an ask."""
        while True:
            candidates = [
                record
                for record in self._directory.of_service(self._service)
                if free[record.name] > 0 and _suits(record, ask)
            ]
            if not candidates:
                return None
            chosen = min(
                candidates,
                key=lambda record: (
                    record.name in ask.avoided,
                    _rank_warmth(record, ask, now),
                    -free[record.name],
                    self._random.random(),
                ),
            )
            turns = chosen.turns
            self._notice_lost(chosen)
            if chosen.turns == turns:
                return chosen
            free[chosen.name] = self._free_of(chosen)

    def _give(
        self, waiter: _Waiter, record: directories.ServerRecord, now: float
    ) -> None:
        """Gives a slot of a server to a waiter."""
        ask = waiter.ask
        record.held[ask.attempt_id] = directories.Held(
            ask.attempt_id, ask.fingerprint, now
        )
        record.sent_s = now
        self._check(record)
        lease = Lease(
            record=record,
            attempt_id=ask.attempt_id,
            fingerprint=ask.fingerprint,
            cold=record.cold,
            turns=record.turns,
            alone=ask.alone,
        )
        waiter.future.set_result(lease)

    def _check(self, record: directories.ServerRecord) -> None:
        """Checks the promises about load on a backend server."""
        promise = invariants_module.Promise
        in_use = len(record.held)
        checks = (
            (promise.SLOT_LIMIT, in_use <= record.server.slots),
            (
                promise.COLD_ALLOWANCE,
                not record.cold or in_use <= record.allowance,
            ),
            (
                promise.NOTHING_TO_LEAVING,
                not (record.draining or record.removed),
            ),
            (promise.NOTHING_TO_ZONE_OUT, not record.zone_out),
        )
        for name, holds in checks:
            self._invariants.check(name, holds, f"{record.name}: {in_use}")

    def _pump_alone(self, now: float) -> None:
        """Empties one server for the attempts that must run alone."""
        records = self._directory.of_service(self._service)
        reserved = next((r for r in records if r.reserved), None)
        if reserved is not None and reserved.held:
            return
        if reserved is not None:
            reserved.reserved = False
        if not self._alone:
            return
        waiter = self._alone[0]
        usable = [
            record
            for record in records
            if self.capacity_of(record) and _suits(record, waiter.ask)
        ]
        if not usable:
            return
        # The server emptied for the last one serves the next one, too.
        chosen = min(usable, key=lambda record: (len(record.held), record.cold))
        chosen.reserved = True
        self._notice_lost(chosen)
        if chosen.held or not self.capacity_of(chosen):
            return
        del self._alone[0]
        self._give(waiter, chosen, now)

    def _count_ahead(self, ask: Ask) -> int:
        """Returns how many waiting attempts go before an ask."""
        if ask.alone:
            return len(self._alone)
        return bisect.bisect_left(
            self._waiters, ((not ask.hedge, ask.admitted_s, 0),)
        )

    def _find_hopeless(self, ask: Ask, ahead: int) -> errors.Problem | None:
        """Returns why an ask cannot be served in time; None if it can."""
        records = self._directory.of_service(self._service)
        in_service = [r for r in records if r.in_service]
        if not in_service:
            return _refuse(
                errors.ProblemKind.NO_BACKEND_SERVER,
                self._service,
                "No backend server of the service is in service.",
                "Return a zone to service or declare backend servers.",
            )
        if not any(_suits(record, ask) for record in in_service):
            return _refuse(
                errors.ProblemKind.SNAPSHOT_UNAVAILABLE,
                self._service,
                "No usable backend server can serve the snapshot.",
                "Plan the query again at a newer snapshot.",
            )
        now = self._clock.monotonic()
        wait_s = self._estimate_wait(in_service, ahead, now)
        if now + wait_s + self._usual.percentile(0.5) <= ask.deadline_s:
            return None
        return _refuse(
            errors.ProblemKind.OVERLOADED,
            self._service,
            f"The wait for a slot is about {min(wait_s, _FOREVER_S):.2f} s, "
            "longer than the deadline allows.",
            f"Try again in {min(max(wait_s, 0.1), 5.0):.1f} s or give a longer "
            "deadline.",
        )

    def _estimate_wait(
        self,
        in_service: list[directories.ServerRecord],
        ahead: int,
        now: float,
    ) -> float:
        """Estimates the seconds until a slot frees for the next in line."""
        capacity = sum(self.capacity_of(record) for record in in_service)
        if capacity == 0:
            return max(0.0, self._find_next_capacity(in_service) - now)
        free = sum(self._free_of(record) for record in in_service)
        if ahead < free:
            return 0.0
        mean_s = self._usual.percentile(0.5) * MEAN_OVER_MEDIAN
        return mean_s * (ahead - free) / capacity

    def _find_next_capacity(
        self, in_service: list[directories.ServerRecord]
    ) -> float:
        """Returns when the first server in service may be tried again."""
        return min(
            max(record.down_until_s, self.settled_s if record.cold else 0.0)
            for record in in_service
        )

    def _start_sweeping(self) -> None:
        """Keeps the sweep running while something waits."""
        if not self.count_waiting():
            return
        if self._sweeper is None or self._sweeper.done():
            loop = asyncio.get_running_loop()
            self._sweeper = loop.create_task(self._sweep())

    async def _sweep(self) -> None:
        """Refuses what can no longer be served in time."""
        while self.count_waiting():
            await self._clock.sleep(SWEEP_S)
            waiters = [w for _, w in self._waiters]
            for ahead, waiter in enumerate(waiters):
                self._refuse_if_hopeless(waiter, ahead)
            for ahead, waiter in enumerate(list(self._alone)):
                self._refuse_if_hopeless(waiter, ahead)
            self._waiters = [w for w in self._waiters if not w[1].future.done()]
            self._alone = [w for w in self._alone if not w.future.done()]
            self.pump()

    def _refuse_if_hopeless(self, waiter: _Waiter, ahead: int) -> None:
        """Refuses a waiter that cannot be served in time."""
        problem = self._find_hopeless(waiter.ask, ahead)
        if problem is not None:
            waiter.future.set_result(problem)


def _suits(record: directories.ServerRecord, ask: Ask) -> bool:
    """Returns whether an ask may go to a server at all."""
    if record.name in ask.excluded or not record.in_service:
        return False
    if ask.hedge and record.cold:
        return False
    return record.may_hold(ask.snapshot)


def _rank_warmth(record: directories.ServerRecord, ask: Ask, now: float) -> int:
    """Ranks a server: a cold one now and then first, else last."""
    if not record.cold:
        return 1
    due = now - record.sent_s >= COLD_PACE_S
    return 0 if due and ask.repeatable else 2


def _refuse(
    kind: errors.ProblemKind, service: str, what: str, remedy: str
) -> errors.Problem:
    """Returns a problem of the queue of a service."""
    return errors.Problem(
        kind=kind, where=f"services.{service}", what=what, remedy=remedy
    )
