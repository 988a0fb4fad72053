"""Periodic health checks of each backend server of an owned service.

One task for each server polls its health endpoint.  The answer lags and may be
wrong, so it is only a reason for more caution: it reveals a restart or a
draining server before a request runs into it.  A server that refused
connections is checked when its backoff ends, so that a check rather than a
request finds out whether it is back.  A server whose draining has ended is
used again, but as a cold one.
"""

import asyncio
import random as random_module

from eelgrasshall import clock as clocks
from eelgrasshall.coordination import observer as observers
from eelgrasshall.coordination import queue as queues
from eelgrasshall.protocol import backend
from eelgrasshall.state import directory as directories
from eelgrasshall.transport import backends

CHECK_PERIOD_S = 1.0
# A draining mark that the health endpoint has never confirmed is dropped after
# this time, since the endpoint may not report draining at all.
UNCONFIRMED_DRAINING_S = 30.0


class HealthMonitor:
    """Polls the health endpoints of one service's backend servers.

    Args:
      service: Name of the service.
      clock: Source of time.
      random: Source of the jitter between checks.
      transport: Connections to the backend servers.
      directory: Records of the backend servers.
      observer: Receives each result.
      queue: Dispatches waiting attempts when a server may be usable again.
    """

    def __init__(
        self,
        *,
        service: str,
        clock: clocks.Clock,
        random: random_module.Random,
        transport: backends.BackendTransport,
        directory: directories.Directory,
        observer: observers.Observer,
        queue: queues.SlotQueue,
    ):
        self._service = service
        self._clock = clock
        self._random = random
        self._transport = transport
        self._directory = directory
        self._observer = observer
        self._queue = queue
        self._supervisor: asyncio.Task[None] | None = None
        self._checkers: dict[str, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Starts the health checks."""
        loop = asyncio.get_running_loop()
        self._supervisor = loop.create_task(self._supervise())

    def cancel(self) -> None:
        """Cancels the health checks without waiting for their tasks."""
        if self._supervisor is not None:
            self._supervisor.cancel()
        for task in self._checkers.values():
            task.cancel()

    async def stop(self) -> None:
        """Cancels the health checks and waits for their tasks."""
        self.cancel()
        tasks = [*self._checkers.values()]
        if self._supervisor is not None:
            tasks.append(self._supervisor)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _supervise(self) -> None:
        """Keeps one task running for each declared server."""
        loop = asyncio.get_running_loop()
        while True:
            for record in self._directory.list_service_records(self._service):
                task = self._checkers.get(record.name)
                if task is None or task.done():
                    self._checkers[record.name] = loop.create_task(
                        self._run_checks(record)
                    )
            await self._clock.sleep(CHECK_PERIOD_S)

    async def _run_checks(self, record: directories.ServerRecord) -> None:
        """Checks one server until it is no longer declared."""
        draining_since_s = self._clock.monotonic()
        draining_confirmed = False
        while not record.removed:
            await self._clock.sleep(self._compute_delay_s(record))
            if record.zone_out or record.removed:
                continue
            health = await self._transport.read_health(record.name)
            if isinstance(health, backends.BackendFailure):
                self._handle_failure(record, health)
                continue
            if health is None:
                continue
            was_draining = record.draining
            known = record.incarnation
            self._observer.record_health(record, health)
            now = self._clock.monotonic()
            if not record.draining:
                draining_since_s, draining_confirmed = now, False
                self._queue.dispatch_waiting()
                continue
            draining_confirmed |= health.draining
            restarted = known not in ("", record.incarnation)
            draining_s = now - draining_since_s
            may_return = (
                draining_confirmed
                or restarted
                or draining_s > UNCONFIRMED_DRAINING_S
            )
            if was_draining and may_return and _accepts_work(health):
                self._observer.record_return(record)
                self._queue.dispatch_waiting()

    def _handle_failure(
        self,
        record: directories.ServerRecord,
        failure: backends.BackendFailure,
    ) -> None:
        """Marks a server unreachable if its health endpoint refused."""
        if failure.kind is backends.FailureKind.CONNECT_FAILED:
            self._observer.record_unreachable(record)

    def _compute_delay_s(self, record: directories.ServerRecord) -> float:
        """Returns the seconds until the next check of a server."""
        backoff_s = record.backoff_until_s - self._clock.monotonic()
        if record.consecutive_failures and backoff_s > 0:
            return backoff_s
        return CHECK_PERIOD_S * (0.5 + self._random.random())


def _accepts_work(health: backend.Health) -> bool:
    """Returns whether a server reports that it takes work."""
    return health.ready and not health.draining
