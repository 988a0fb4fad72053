"""A watch over each backend server of an owned service.

One task for each server asks its health endpoint now and then.  The answer
lags and may be wrong, so it only ever makes the system more careful: it shows
a restart or a leaving server before a request runs into it, and it is what a
server that refused connections must pass before a real request goes there.
"""

import asyncio
import random as random_module

from eelgrasshall import clock as clocks
from eelgrasshall.coordination import observer as observers
from eelgrasshall.coordination import queue as queues
from eelgrasshall.protocol import backend
from eelgrasshall.state import directory as directories
from eelgrasshall.transport import backends

PERIOD_S = 1.0
# A leaving mark that the health endpoint never repeated is dropped after
# this time, since the endpoint may know nothing of it.
DRAINING_UNSEEN_S = 30.0


class Monitor:
    """Asks the health endpoints of one service's backend servers.

    Args:
      service: Name of the service.
      clock: Source of time.
      random: Source of chance, to spread the requests.
      transport: Connections to the backend servers.
      directory: Records of the backend servers.
      observer: Told of each answer.
      queue: Told when a server can be used again.
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
        self._watches: dict[str, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Starts watching."""
        loop = asyncio.get_running_loop()
        self._supervisor = loop.create_task(self._supervise())

    def cancel(self) -> None:
        """Stops watching without waiting for it."""
        if self._supervisor is not None:
            self._supervisor.cancel()
        for task in self._watches.values():
            task.cancel()

    async def stop(self) -> None:
        """Stops watching."""
        self.cancel()
        tasks = [*self._watches.values()]
        if self._supervisor is not None:
            tasks.append(self._supervisor)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _supervise(self) -> None:
        """Keeps one watch for each declared server."""
        loop = asyncio.get_running_loop()
        while True:
            for record in self._directory.list_service_records(self._service):
                task = self._watches.get(record.name)
                if task is None or task.done():
                    self._watches[record.name] = loop.create_task(
                        self._watch(record)
                    )
            await self._clock.sleep(PERIOD_S)

    async def _watch(self, record: directories.ServerRecord) -> None:
        """Watches one server until it is no longer declared."""
        draining_since_s = self._clock.monotonic()
        draining_seen = False
        while not record.removed:
            await self._clock.sleep(self._find_pause(record))
            if record.zone_out or record.removed:
                continue
            health = await self._transport.read_health(record.name)
            if isinstance(health, backends.BackendFailure):
                self._note_failure(record, health)
                continue
            if health is None:
                continue
            was_draining = record.draining
            known = record.incarnation
            self._observer.note_health(record, health)
            now = self._clock.monotonic()
            if not record.draining:
                draining_since_s, draining_seen = now, False
                self._queue.dispatch_waiting()
                continue
            draining_seen |= health.draining
            restarted = known not in ("", record.incarnation)
            unseen_s = now - draining_since_s
            settled = draining_seen or restarted or unseen_s > DRAINING_UNSEEN_S
            if was_draining and settled and _is_back(health):
                self._observer.note_return(record)
                self._queue.dispatch_waiting()

    def _note_failure(
        self,
        record: directories.ServerRecord,
        failure: backends.BackendFailure,
    ) -> None:
        """Notes that a server does not answer its health endpoint."""
        if failure.kind is backends.FailureKind.REFUSED:
            self._observer.note_down(record)

    def _find_pause(self, record: directories.ServerRecord) -> float:
        """Returns the seconds until the next question."""
        down_s = record.backoff_until_s - self._clock.monotonic()
        if record.consecutive_failures and down_s > 0:
            return down_s
        return PERIOD_S * (0.5 + self._random.random())


def _is_back(health: backend.Health) -> bool:
    """Returns whether a server claims to take work again."""
    return health.ready and not health.draining
