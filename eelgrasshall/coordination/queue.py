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
from eelgrasshall.coordination import selection
from eelgrasshall.state import directory as directories

# How often what waits is looked through for what cannot be served in time.
SWEEP_S = 0.04


class Lease(NamedTuple):
    """One slot of one backend server, until it is released.

    Attributes:
      record: Records of the backend server.
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
    """An attempt that waits for a slot."""

    ask: selection.SlotRequest
    future: asyncio.Future[Lease | errors.Problem]


class SlotQueue:
    """Slots in use and attempts waiting for the servers of one service.

    Args:
      service: Name of the service.
      clock: Source of time.
      random: Source of chance, to break ties.
      invariants: Where slots and allowances are checked.
      directory: Records of the backend servers.
      seen: Latencies of all servers of the service, for estimates.
      notice_lost: Called with a server's records before a slot is given; turns
        it cold if its idle connections were closed.

    Attributes:
      settled_s: Until when another host may still believe that it owns the
        service, on the monotonic clock.
      handover_s: Until when the word of that host may still end this early.
    """

    def __init__(
        self,
        *,
        service: str,
        clock: clocks.Clock,
        random: random_module.Random,
        invariants: invariants_module.InvariantChecker,
        directory: directories.Directory,
        seen: histograms.Histogram,
        notice_lost: Callable[[directories.ServerRecord], None],
    ):
        self._service = service
        self._clock = clock
        self._random = random
        self._invariants = invariants
        self._directory = directory
        self._seen = seen
        self._notice_lost = notice_lost
        self._waiters: list[tuple[tuple[bool, float, int], _Waiter]] = []
        self._alone: list[_Waiter] = []
        self._numbers = itertools.count()
        self._sweeper: asyncio.Task[None] | None = None
        self.settled_s = 0.0
        self.handover_s = 0.0

    async def acquire(
        self, ask: selection.SlotRequest
    ) -> Lease | errors.Problem:
        """Waits for a slot.

        Returns:
          The slot, which must be released, or why there will be none in time.
        """
        ahead = self._count_ahead(ask)
        problem = selection.find_refusal(self._survey(), ask, ahead=ahead)
        if problem is not None:
            return problem
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(ask, future)
        self._enqueue(waiter)
        self.dispatch_waiting()
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise

    def release(self, lease: Lease) -> None:
        """Gives a slot back once the backend server has let go."""
        lease.record.held.pop(lease.attempt_id, None)
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Gives free slots to waiting attempts."""
        self._dispatch_isolated()
        free = {r.name: self._count_free(r) for r in self._records()}
        position = 0
        while position < len(self._waiters) and any(free.values()):
            waiter = self._waiters[position][1]
            if waiter.future.done():
                # Its task was cancelled a moment ago.
                del self._waiters[position]
                continue
            record = self._choose(waiter.ask, free)
            if record is None:
                position += 1
                continue
            del self._waiters[position]
            self._give(waiter, record)
            free[record.name] -= 1
        self._start_sweeping()

    def fail_all(self, problem: errors.Problem) -> None:
        """Refuses everything that waits."""
        for waiter in [*(w for _, w in self._waiters), *self._alone]:
            if not waiter.future.done():
                waiter.future.set_result(problem)
        self._waiters.clear()
        self._alone.clear()

    def count_waiting(self) -> int:
        """Returns the number of attempts that wait."""
        return len(self._waiters) + len(self._alone)

    def _records(self) -> tuple[directories.ServerRecord, ...]:
        """Returns the records of the service's servers."""
        return self._directory.of_service(self._service)

    def _survey(self) -> selection.Outlook:
        """Sums up what the servers can do now."""
        return selection.survey(
            self._service,
            self._records(),
            now=self._clock.monotonic(),
            settled_s=self.settled_s,
            handover_s=self.handover_s,
            seen=self._seen,
        )

    def _count_free(self, record: directories.ServerRecord) -> int:
        """Returns how many attempts may be sent to a server now."""
        return selection.count_free(
            record, now=self._clock.monotonic(), settled_s=self.settled_s
        )

    def _count_capacity(self, record: directories.ServerRecord) -> int:
        """Returns how many attempts a server may run at once now."""
        return selection.count_capacity(
            record, now=self._clock.monotonic(), settled_s=self.settled_s
        )

    def _enqueue(self, waiter: _Waiter) -> None:
        """Puts a waiter in its place: hedges first, then the oldest."""
        ask = waiter.ask
        if ask.alone:
            self._alone.append(waiter)
            return
        rank = (not ask.hedge, ask.admitted_s, next(self._numbers))
        bisect.insort(self._waiters, (rank, waiter))

    def _count_ahead(self, ask: selection.SlotRequest) -> int:
        """Returns how many waiting attempts go before a new one."""
        if ask.alone:
            return len(self._alone)
        rank = (not ask.hedge, ask.admitted_s, float("inf"))
        return bisect.bisect_left(self._waiters, (rank,))

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
        self.dispatch_waiting()

    def _choose(
        self, ask: selection.SlotRequest, free: dict[str, int]
    ) -> directories.ServerRecord | None:
        """Chooses the freest server that has not just been lost."""
        while True:
            chosen = selection.find_freest(
                self._records(),
                ask,
                free=free,
                now=self._clock.monotonic(),
                random=self._random,
            )
            if chosen is None:
                return None
            turns = chosen.turns
            self._notice_lost(chosen)
            if chosen.turns == turns:
                return chosen
            free[chosen.name] = self._count_free(chosen)

    def _give(self, waiter: _Waiter, record: directories.ServerRecord) -> None:
        """Gives a slot of a server to a waiter."""
        ask = waiter.ask
        now = self._clock.monotonic()
        record.held[ask.attempt_id] = directories.Held(
            ask.attempt_id, ask.fingerprint, now
        )
        record.sent_s = now
        self._check(record)
        waiter.future.set_result(
            Lease(
                record=record,
                attempt_id=ask.attempt_id,
                fingerprint=ask.fingerprint,
                cold=record.cold,
                turns=record.turns,
                alone=ask.alone,
            )
        )

    def _check(self, record: directories.ServerRecord) -> None:
        """Checks the promises about load on a backend server."""
        promise = invariants_module.Invariant
        in_use = len(record.held)
        leaving = record.draining or record.removed
        within_allowance = not record.cold or in_use <= record.allowance
        checks = (
            (promise.SLOT_LIMIT, in_use <= record.server.slots),
            (promise.COLD_ALLOWANCE, within_allowance),
            (promise.NOTHING_TO_LEAVING, not leaving),
            (promise.NOTHING_TO_ZONE_OUT, not record.zone_out),
        )
        for name, holds in checks:
            self._invariants.check(name, holds, f"{record.name}: {in_use}")

    def _dispatch_isolated(self) -> None:
        """Empties one server for the attempts that must run alone."""
        reserved = next((r for r in self._records() if r.reserved), None)
        if reserved is not None:
            if reserved.held and reserved.in_service:
                return
            reserved.reserved = False
        self._alone = [w for w in self._alone if not w.future.done()]
        if not self._alone:
            return
        waiter = self._alone[0]
        usable = [
            record
            for record in self._records()
            if self._count_capacity(record)
            and selection.suits(record, waiter.ask)
        ]
        if not usable:
            return
        # A warm server is preferred, but not a busy one.
        chosen = min(usable, key=lambda record: (len(record.held), record.cold))
        chosen.reserved = True
        if chosen.held:
            return
        self._notice_lost(chosen)
        if not self._count_capacity(chosen):
            return
        del self._alone[0]
        self._give(waiter, chosen)

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
            outlook = self._survey()
            for ahead, (_, waiter) in enumerate(self._waiters):
                _refuse_if_late(outlook, waiter, ahead)
            for ahead, waiter in enumerate(self._alone):
                _refuse_if_late(outlook, waiter, ahead)
            self._waiters = [w for w in self._waiters if not w[1].future.done()]
            self._alone = [w for w in self._alone if not w.future.done()]
            self.dispatch_waiting()


def _refuse_if_late(
    outlook: selection.Outlook, waiter: _Waiter, ahead: int
) -> None:
    """Refuses a waiter that cannot be served in time."""
    if waiter.future.done():
        return
    problem = selection.find_refusal(outlook, waiter.ask, ahead=ahead)
    if problem is not None:
        waiter.future.set_result(problem)
