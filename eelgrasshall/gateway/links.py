"""Finds out whether this host has lost its links to the backend servers.

A connection that cannot be opened means that the server is down, or that this
host reaches no server at all.  The host tells these apart by connections to
other servers, in several zones.  If one of them opens, its links work.  If none
does, it takes its links for lost until connections open again for a while.
What it observes of single servers meanwhile says nothing about them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import itertools
import math
import random as random_module
from typing import Protocol

from eelgrasshall.gateway import events
from eelgrasshall.gateway import model

# Number of servers that are asked first, and in all if these do not answer: so
# many random servers are hardly ever down at the same time.
FIRST_SAMPLE = 2
FULL_SAMPLE = 10
# Time after which all of them are asked; a few round trips to another zone.
WIDEN_DELAY_S = 0.05
# Least time between the starts of two checks, while servers fail one by one.
CHECK_SPACING_S = 0.1
# While links are lost, so many servers are asked at an interval, and the links
# are back once one has answered in several rounds in a row.
RETURN_SAMPLE = 3
RETURN_INTERVAL_S = 0.25
RETURN_ROUNDS = 3
# How long an opened connection shows that the links work, and how often they
# are checked without a server that cannot be reached.
PROVEN_S = 0.1
CHECK_INTERVAL_S = 0.25


class Server(Protocol):
    """A backend server that can be asked for a connection."""

    server: model.Server
    unreachable: bool

    async def check_connection(self) -> bool:
        """Opens a connection; returns whether that succeeded."""


class Links:
    """This host's links to the backend servers as a whole.

    Attributes:
      lost: Whether this host reaches no server.
      failing_since_s: Monotonic time since which no connection was opened and
        some failed; None if the last one was opened.

    Args:
      loop: The event loop.
      random: The random number generator.
      list_servers: Returns the servers that may be asked.
      on_checked: Called when a check has shown that the links work.
      on_changed: Called after `lost` has changed.
      log: The log for changes.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        random: random_module.Random,
        list_servers: Callable[[], Sequence[Server]],
        on_checked: Callable[[], None],
        on_changed: Callable[[], None],
        log: events.EventLog,
    ):
        self.lost = False
        self.failing_since_s: float | None = None
        self._loop = loop
        self._random = random
        self._list_servers = list_servers
        self._on_checked = on_checked
        self._on_changed = on_changed
        self._log = log
        self._task: asyncio.Task | None = None
        self._lost_since_s = 0.0
        self._connected_s = -math.inf
        self._checked_s = -math.inf

    @property
    def in_doubt(self) -> bool:
        """Whether the links are lost or being checked."""
        return self._task is not None

    def note_connected(self) -> None:
        """Records that a connection to some server was opened."""
        self._connected_s = self._loop.time()
        if not self.lost:
            self.failing_since_s = None

    def note_unreachable(self, since_s: float) -> None:
        """Records that some server cannot be reached; starts a check.

        Args:
          since_s: Monotonic time at which it was found unreachable.
        """
        if self.failing_since_s is None:
            self.failing_since_s = since_s
        self._start_check()

    def check_if_unproven(self) -> None:
        """Starts a check, unless a connection was opened a short time ago.

        For weaker signs than a server that cannot be reached.
        """
        now = self._loop.time()
        if (
            now - self._connected_s >= PROVEN_S
            and now - self._checked_s >= CHECK_INTERVAL_S
        ):
            self._start_check()

    def _start_check(self) -> None:
        """Starts a check, unless one is running."""
        if self._task is None:
            self._task = self._loop.create_task(self._run())

    def close(self) -> None:
        """Ends the check that is running, if any."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Checks the links; if they are lost, waits until they are back."""
        try:
            now = self._loop.time()
            await asyncio.sleep(self._checked_s + CHECK_SPACING_S - now)
            self._checked_s = self._loop.time()
            sample = choose_sample(
                self._list_servers(), FULL_SAMPLE, self._random
            )
            if not sample or await self._is_any_reachable(sample):
                self._on_checked()
                return
            self._set_lost(lost=True, asked=len(sample))
            await self._wait_for_return()
            self._set_lost(lost=False, asked=RETURN_SAMPLE)
        finally:
            self._task = None

    def _set_lost(self, *, lost: bool, asked: int) -> None:
        """Changes the state, logs it and reports it."""
        now = self._loop.time()
        if lost:
            self._lost_since_s = now
            if self.failing_since_s is None:
                self.failing_since_s = self._checked_s
            self._log.record("links_lost", asked=asked)
        else:
            self._log.record(
                "links_regained", lost_s=round(now - self._lost_since_s, 2)
            )
        self.lost = lost
        self._on_changed()
        if not lost:
            self.failing_since_s = None

    async def _is_any_reachable(self, sample: Sequence[Server]) -> bool:
        """Returns whether a server of the sample accepts a connection.

        Most of them are asked only if the first few do not answer soon.
        """
        waiting = self._start_connecting(sample[:FIRST_SAMPLE])
        remaining = sample[FIRST_SAMPLE:]
        timeout_s: float | None = WIDEN_DELAY_S
        try:
            while waiting:
                done, pending = await asyncio.wait(
                    waiting,
                    timeout=timeout_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(task.result() for task in done):
                    return True
                waiting = list(pending)
                if remaining and not (done and pending):
                    waiting += self._start_connecting(remaining)
                    remaining = ()
                    timeout_s = None
        finally:
            for task in waiting:
                task.cancel()
        return False

    def _start_connecting(
        self, servers: Sequence[Server]
    ) -> list[asyncio.Task[bool]]:
        """Starts to open a connection to each of some servers."""
        return [
            self._loop.create_task(self._is_reachable(each)) for each in servers
        ]

    async def _is_reachable(self, server: Server) -> bool:
        """Returns whether a server accepts a connection.

        An error other than that it does not is logged and ends no check.
        """
        try:
            return await server.check_connection()
        except Exception as error:
            self._log.record(
                "links_check_failed",
                server=server.server.id,
                reason=repr(error),
            )
            return False

    async def _wait_for_return(self) -> None:
        """Waits until servers have been reached for some rounds in a row."""
        rounds = 0
        while rounds < RETURN_ROUNDS:
            await asyncio.sleep(RETURN_INTERVAL_S)
            sample = choose_sample(
                self._list_servers(), RETURN_SAMPLE, self._random
            )
            results = await asyncio.gather(*map(self._is_reachable, sample))
            rounds = rounds + 1 if any(results) or not sample else 0


def choose_sample(
    servers: Sequence[Server], count: int, random: random_module.Random
) -> list[Server]:
    """Returns random servers, spread over the zones.

    Those that could be reached last come first.

    Args:
      servers: The servers to choose from.
      count: Most servers to return.
      random: The random number generator.
    """
    shuffled = random.sample(list(servers), len(servers))
    zones: dict[str, list[Server]] = {}
    for each in sorted(shuffled, key=lambda each: each.unreachable):
        zones.setdefault(each.server.zone, []).append(each)
    rounds = itertools.zip_longest(*zones.values())
    spread = [each for group in rounds for each in group if each is not None]
    spread.sort(key=lambda each: each.unreachable)
    return spread[:count]
