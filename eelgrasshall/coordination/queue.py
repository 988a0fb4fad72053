"""Slot queue of a service, held by its owner.

Only the owner sends to a service's backend servers, so it knows exactly which
slots are in use.  Attempts wait here rather than at a backend server, and the
best replica is chosen at the moment a slot is released.  Hedges are dispatched
first, because each one delays a query that is otherwise complete; after them,
the attempts of the oldest query.  Attempts that cannot be served in time are
rejected immediately.
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

# Interval at which attempts that cannot be served in time are rejected.
SWEEP_INTERVAL_S = 0.04


class Lease(NamedTuple):
    """A slot of a backend server, held until it is released.

    Attributes:
      record: The record of the backend server.
      attempt_id: ID of the attempt that holds the slot.
      fingerprint: Fingerprint of its request.
      cold: Whether the server was cold when the lease was granted.
      cold_epoch: How often the server had been marked cold by then.
      isolated: Whether nothing else is in flight on the server.
    """

    record: directories.ServerRecord
    attempt_id: str
    fingerprint: str
    cold: bool
    cold_epoch: int
    isolated: bool


class _Waiter(NamedTuple):
    """An attempt that waits for a slot."""

    request: selection.SlotRequest
    future: asyncio.Future[Lease | errors.Problem]


class SlotQueue:
    """Grants slots of the servers of one service to waiting attempts.

    Args:
      service: Name of the service.
      clock: Source of time.
      random: Source of randomness, to break ties.
      invariants: Checker of the slot and allowance invariants.
      directory: Records of the backend servers.
      all_latencies: Latencies of all servers of the service, for estimates.
      check_connections: Called with a server's record before a slot is granted;
        marks the server as cold if its idle connections were closed.

    Attributes:
      overlap_until_s: Monotonic time until which another host may still believe
        that it owns the service.
      handover_until_s: Monotonic time until which a handover from that host is
        expected, which would end the overlap early.
    """

    def __init__(
        self,
        *,
        service: str,
        clock: clocks.Clock,
        random: random_module.Random,
        invariants: invariants_module.InvariantChecker,
        directory: directories.Directory,
        all_latencies: histograms.Histogram,
        check_connections: Callable[[directories.ServerRecord], None],
    ):
        self._service = service
        self._clock = clock
        self._random = random
        self._invariants = invariants
        self._directory = directory
        self._all_latencies = all_latencies
        self._check_connections = check_connections
        self._waiters: list[tuple[tuple[bool, float, int], _Waiter]] = []
        self._isolated: list[_Waiter] = []
        self._sequence_numbers = itertools.count()
        self._sweep_task: asyncio.Task[None] | None = None
        self.overlap_until_s = 0.0
        self.handover_until_s = 0.0

    async def acquire(
        self, request: selection.SlotRequest
    ) -> Lease | errors.Problem:
        """Waits for a slot.

        Returns:
          The lease, which must be released, or why no slot is available in
          time.
        """
        ahead = self._count_ahead(request)
        problem = selection.find_rejection(
            self._compute_capacity(), request, ahead=ahead
        )
        if problem is not None:
            return problem
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(request, future)
        self._enqueue(waiter)
        self.dispatch_waiting()
        try:
            return await future
        except asyncio.CancelledError:
            self._remove_waiter(waiter)
            raise

    def release(self, lease: Lease) -> None:
        """Releases a slot once the backend server has finished the attempt."""
        lease.record.in_flight.pop(lease.attempt_id, None)
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Grants free slots to waiting attempts."""
        self._dispatch_isolated()
        free = {r.name: self._count_free_slots(r) for r in self._list_records()}
        position = 0
        while position < len(self._waiters) and any(free.values()):
            waiter = self._waiters[position][1]
            if waiter.future.done():
                # The waiting task has just been cancelled.
                del self._waiters[position]
                continue
            record = self._choose_server(waiter.request, free)
            if record is None:
                position += 1
                continue
            del self._waiters[position]
            self._grant(waiter, record)
            free[record.name] -= 1
        self._start_sweeping()

    def reject_all(self, problem: errors.Problem) -> None:
        """Rejects all waiting attempts."""
        for waiter in [*(w for _, w in self._waiters), *self._isolated]:
            if not waiter.future.done():
                waiter.future.set_result(problem)
        self._waiters.clear()
        self._isolated.clear()

    def count_waiting(self) -> int:
        """Returns the number of waiting attempts."""
        return len(self._waiters) + len(self._isolated)

    def _list_records(self) -> tuple[directories.ServerRecord, ...]:
        """Returns the records of the service's servers."""
        return self._directory.list_service_records(self._service)

    def _compute_capacity(self) -> selection.ServiceCapacity:
        """Computes the current capacity of the service."""
        return selection.compute_capacity(
            self._service,
            self._list_records(),
            now=self._clock.monotonic(),
            overlap_until_s=self.overlap_until_s,
            handover_until_s=self.handover_until_s,
            latencies=self._all_latencies,
        )

    def _count_free_slots(self, record: directories.ServerRecord) -> int:
        """Returns how many more attempts may be sent to a server now."""
        return selection.count_free_slots(
            record,
            now=self._clock.monotonic(),
            overlap_until_s=self.overlap_until_s,
        )

    def _count_capacity(self, record: directories.ServerRecord) -> int:
        """Returns how many attempts a server may run concurrently now."""
        return selection.count_capacity(
            record,
            now=self._clock.monotonic(),
            overlap_until_s=self.overlap_until_s,
        )

    def _enqueue(self, waiter: _Waiter) -> None:
        """Inserts a waiter by priority: hedges first, then the oldest query."""
        request = waiter.request
        if request.isolated:
            self._isolated.append(waiter)
            return
        rank = (
            not request.hedge,
            request.admitted_s,
            next(self._sequence_numbers),
        )
        bisect.insort(self._waiters, (rank, waiter))

    def _count_ahead(self, request: selection.SlotRequest) -> int:
        """Returns how many waiting attempts have priority over a new one."""
        if request.isolated:
            return len(self._isolated)
        rank = (not request.hedge, request.admitted_s, float("inf"))
        return bisect.bisect_left(self._waiters, (rank,))

    def _remove_waiter(self, waiter: _Waiter) -> None:
        """Removes a waiter whose task was cancelled and releases its lease."""
        self._waiters = [w for w in self._waiters if w[1] is not waiter]
        self._isolated = [w for w in self._isolated if w is not waiter]
        future = waiter.future
        if future.done() and not future.cancelled():
            lease = future.result()
            if isinstance(lease, Lease):
                self.release(lease)
                return
        self.dispatch_waiting()

    def _choose_server(
        self, request: selection.SlotRequest, free: dict[str, int]
    ) -> directories.ServerRecord | None:
        """Chooses the best server whose idle connections are still open."""
        while True:
            chosen = selection.choose_server(
                self._list_records(),
                request,
                free=free,
                now=self._clock.monotonic(),
                random=self._random,
            )
            if chosen is None:
                return None
            cold_epoch = chosen.cold_epoch
            self._check_connections(chosen)
            if chosen.cold_epoch == cold_epoch:
                return chosen
            free[chosen.name] = self._count_free_slots(chosen)

    def _grant(self, waiter: _Waiter, record: directories.ServerRecord) -> None:
        """Grants a slot of a server to a waiter."""
        request = waiter.request
        now = self._clock.monotonic()
        record.in_flight[request.attempt_id] = directories.InFlightAttempt(
            request.attempt_id, request.fingerprint, now
        )
        record.sent_s = now
        self._check_invariants(record)
        waiter.future.set_result(
            Lease(
                record=record,
                attempt_id=request.attempt_id,
                fingerprint=request.fingerprint,
                cold=record.cold,
                cold_epoch=record.cold_epoch,
                isolated=request.isolated,
            )
        )

    def _check_invariants(self, record: directories.ServerRecord) -> None:
        """Checks the invariants on the load of a backend server."""
        invariant = invariants_module.Invariant
        in_use = len(record.in_flight)
        leaving = record.draining or record.removed
        within_allowance = not record.cold or in_use <= record.allowance
        checks = (
            (invariant.SLOT_LIMIT, in_use <= record.server.slots),
            (invariant.COLD_ALLOWANCE, within_allowance),
            (invariant.NOTHING_TO_LEAVING, not leaving),
            (invariant.NOTHING_TO_ZONE_OUT, not record.zone_out),
        )
        for name, holds in checks:
            self._invariants.check(name, holds, f"{record.name}: {in_use}")

    def _dispatch_isolated(self) -> None:
        """Reserves and drains a server for the next isolated attempt."""
        reserved = next((r for r in self._list_records() if r.reserved), None)
        if reserved is not None:
            if reserved.in_flight and reserved.in_service:
                return
            reserved.reserved = False
        self._isolated = [w for w in self._isolated if not w.future.done()]
        if not self._isolated:
            return
        waiter = self._isolated[0]
        usable = [
            record
            for record in self._list_records()
            if self._count_capacity(record)
            and selection.is_eligible(record, waiter.request)
        ]
        if not usable:
            return
        # Prefers the least loaded server, and a warm one among equals.
        chosen = min(
            usable, key=lambda record: (len(record.in_flight), record.cold)
        )
        chosen.reserved = True
        if chosen.in_flight:
            return
        self._check_connections(chosen)
        if not self._count_capacity(chosen):
            return
        del self._isolated[0]
        self._grant(waiter, chosen)

    def _start_sweeping(self) -> None:
        """Ensures that the sweep task runs while attempts are waiting."""
        if not self.count_waiting():
            return
        if self._sweep_task is None or self._sweep_task.done():
            loop = asyncio.get_running_loop()
            self._sweep_task = loop.create_task(self._sweep())

    async def _sweep(self) -> None:
        """Rejects attempts that can no longer be served in time."""
        while self.count_waiting():
            await self._clock.sleep(SWEEP_INTERVAL_S)
            capacity = self._compute_capacity()
            for ahead, (_, waiter) in enumerate(self._waiters):
                _reject_if_late(capacity, waiter, ahead)
            for ahead, waiter in enumerate(self._isolated):
                _reject_if_late(capacity, waiter, ahead)
            self._waiters = [w for w in self._waiters if not w[1].future.done()]
            self._isolated = [w for w in self._isolated if not w.future.done()]
            self.dispatch_waiting()


def _reject_if_late(
    capacity: selection.ServiceCapacity, waiter: _Waiter, ahead: int
) -> None:
    """Rejects a waiter that cannot be served in time."""
    if waiter.future.done():
        return
    problem = selection.find_rejection(capacity, waiter.request, ahead=ahead)
    if problem is not None:
        waiter.future.set_result(problem)
