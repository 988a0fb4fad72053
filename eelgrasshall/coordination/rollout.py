"""Rollout: brings each accepted configuration into force on this host.

The object in the platform's store is the only authority.  A host learns of a
change from its watch, from asking again every few seconds in case the watch
has gone silent, and from the heartbeats of peers that have it already, from
whom it pulls the body.  The version in force only rises.  What is invalid or
older than what is in force is reported and not followed.
"""

import asyncio
import collections
from collections.abc import Callable
import random as random_module
from typing import Any
from typing import Protocol

from loguru import logger

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import change as change_module
from eelgrasshall.coordination import stored as stored_module
from eelgrasshall.coordination import tasks
from eelgrasshall.protocol import platform as protocol
from eelgrasshall.state import configuration
from eelgrasshall.state import members as members_module
from eelgrasshall.transport import peers

WATCH_S = 20.0
# A watch that ends sooner than this is not begun again at once.
WATCH_LEAST_S = 1.0
READ_BACK_PERIOD_S = 4.0
# Asking whether there is something newer costs no body; reading the whole
# object, which also shows a store that came back older, is done at a rate
# that does not grow with the fleet, and after each outage.
FULL_READ_PERIOD_S = 30.0
FULL_READ_PERIOD_PER_HOST_S = 5.0
STORE_RETRY_S = 1.0
# Peers that must have an accepted change before its operator hears so.
ACKNOWLEDGEMENTS = 3
ACKNOWLEDGEMENT_LIMIT_S = 2.0
ACKNOWLEDGEMENT_POLL_S = 0.1
REPORTS_KEPT = 8


class Stream(Protocol):
    """What the keeper needs of a stream to a peer."""

    async def fetch_configuration(self, have: int) -> tuple[int, bytes]:
        """Asks for a configuration newer than version `have`."""


class Streams(Protocol):
    """What the keeper needs of the streams."""

    def get(self, member: members_module.Member) -> Stream:
        """Returns the stream to a member."""


class Fleet(Protocol):
    """What the keeper needs of membership."""

    @property
    def own(self) -> members_module.Member:
        """This host."""

    def members(self) -> tuple[members_module.Member, ...]:
        """Returns the members that are not dead."""

    def push(self) -> None:
        """Has a heartbeat go to a few random members at once."""

    async def exchange_heartbeat(self, member: members_module.Member) -> bool:
        """Exchanges one heartbeat with a member at once."""

    def attach_versions(
        self,
        *,
        get_version: Callable[[], int],
        on_version: Callable[[int, members_module.Member], None],
    ) -> None:
        """Lets configuration versions travel with heartbeats."""


class ConfigurationKeeper:
    """Holds the configuration in force.

    Args:
      platform: The client of the platform's object API.
      streams: The streams to peers.
      membership: The members, whose heartbeats carry versions.
      clock: The clock.
      random: The source of jitter and of change ids.
      invariants: Where promises are checked.
    """

    def __init__(
        self,
        *,
        platform: change_module.Store,
        streams: Streams,
        membership: Fleet,
        clock: clock_module.Clock,
        random: random_module.Random,
        invariants: invariants_module.InvariantChecker,
    ):
        self._platform = platform
        self._streams = streams
        self._membership = membership
        self._clock = clock
        self._random = random
        self._invariants = invariants
        self._stored: stored_module.Stored | None = None
        self._packed = b""
        self._store_version = 0
        self._store_was_out = True
        self._callbacks: list[Callable[[], None]] = []
        self._holders: dict[str, int] = {}
        self._hints: dict[str, tuple[int, members_module.Member]] = {}
        self._hinted = asyncio.Event()
        self._applying = asyncio.Lock()
        self._tasks = tasks.Tasks(part="rollout")
        self._reports: collections.deque[errors.Problem] = collections.deque(
            maxlen=REPORTS_KEPT
        )
        self.body = b""
        membership.attach_versions(
            get_version=lambda: self.version, on_version=self.offer
        )

    @property
    def current(self) -> configuration.Configuration | None:
        """The configuration in force, or None before the first."""
        return self._stored.configuration if self._stored else None

    @property
    def version(self) -> int:
        """The version in force, or 0 before the first."""
        return self._stored.configuration.version if self._stored else 0

    def start(self) -> None:
        """Starts to follow the store and the peers."""
        for loop in (self._run_watch, self._run_read_back, self._run_pulls):
            self._tasks.spawn(loop())

    async def stop(self) -> None:
        """Stops to follow."""
        await self._tasks.stop()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback, without arguments, for each new version."""
        self._callbacks.append(callback)

    def offer(self, version: int, source: members_module.Member) -> None:
        """Notes the version that a peer has, to pull it if it is newer."""
        self._holders[source.name] = version
        if version > self.version:
            self._hints[source.name] = (version, source)
            self._hinted.set()

    def give(self, have: int) -> tuple[int, bytes]:
        """Returns version and packed body if newer, else `(0, b"")`."""
        if self.version <= have:
            return 0, b""
        return self.version, self._packed

    def find_holders(self, version: int) -> tuple[str, ...]:
        """Returns the members known to have a version or a newer one."""
        others = {m.name for m in self._membership.members()}
        others.discard(self._membership.own.name)
        return tuple(
            sorted(n for n in others if self._holders.get(n, 0) >= version)
        )

    async def apply(
        self, body: bytes, base_version: int
    ) -> list[errors.Problem]:
        """Makes a declared configuration the next version.

        Version and change id of the document are replaced, except that a new
        change id of the operator's is kept, so that a repetition of the same
        call is known as such.

        Args:
          body: The configuration as JSON.
          base_version: The version that the change was made on.

        Returns:
          No problems once the change is accepted; it is then in force here
          and a few peers have it.  Else the reasons; REPLY_LOST means that
          the change may be accepted all the same.
        """
        declared, problems = configuration.parse_configuration(body)
        if declared is None:
            return problems
        async with self._applying:
            if change_module.is_repetition(
                declared, base_version, self._stored
            ):
                return []
            attempt = change_module.Attempt(
                store=self._platform,
                clock=self._clock,
                random=self._random,
                current=self._stored,
                ask_peers=self._ask_peers,
            )
            outcome = await attempt.run(declared, base_version)
            if outcome.seen is not None:
                self._take(outcome.seen, "the store")
            if outcome.problem is not None:
                return [outcome.problem]
            await self._await_acknowledgements(self.version)
            return []

    def dump(self) -> dict[str, Any]:
        """Returns the state for the dump."""
        current = self.current
        return {
            "version": self.version,
            "change_id": current.change_id if current else "",
            "store_version": self._store_version,
            "holders": dict(sorted(self._holders.items())),
            "reports": [report.describe() for report in self._reports],
        }

    # The loops, one task each.

    async def _run_watch(self) -> None:
        """Waits for news from the store, again and again."""
        while True:
            began = self._clock.monotonic()
            result = await self._platform.watch(
                stored_module.OBJECT_KIND,
                stored_module.OBJECT_NAME,
                self._store_version,
                WATCH_S,
            )
            if isinstance(result, protocol.StoredObject):
                self._take_object(result)
            elif isinstance(result, errors.Problem):
                self._store_was_out = True
                await self._sleep(STORE_RETRY_S)
            elif self._clock.monotonic() - began < WATCH_LEAST_S:
                await self._sleep(WATCH_LEAST_S)

    async def _run_read_back(self) -> None:
        """Asks the store again, in case the watch has gone silent."""
        read_at = self._clock.monotonic()
        while True:
            await self._sleep(READ_BACK_PERIOD_S)
            now = self._clock.monotonic()
            fleet = len(self._membership.members())
            period_s = max(
                FULL_READ_PERIOD_S, FULL_READ_PERIOD_PER_HOST_S * fleet
            )
            if self._store_was_out or now - read_at >= period_s:
                read_at = now
                await self._read_whole()
            else:
                await self._ask_for_newer()

    async def _run_pulls(self) -> None:
        """Pulls newer versions from the peers that have them."""
        while True:
            await self._hinted.wait()
            self._hinted.clear()
            while self._hints:
                name, (version, source) = max(
                    self._hints.items(), key=lambda item: item[1][0]
                )
                del self._hints[name]
                if version > self.version:
                    await self._pull(source)

    async def _read_whole(self) -> None:
        """Reads the object, which also shows a store that is older."""
        result = await self._platform.read(
            stored_module.OBJECT_KIND, stored_module.OBJECT_NAME
        )
        self._store_was_out = isinstance(result, errors.Problem)
        if isinstance(result, protocol.StoredObject):
            self._take_object(result)
        elif isinstance(result, protocol.Absent) and self.version > 0:
            self._report(_describe_stale(0, self.version))

    async def _ask_for_newer(self) -> None:
        """Asks for the object only if it is newer, by a watch of no time."""
        result = await self._platform.watch(
            stored_module.OBJECT_KIND,
            stored_module.OBJECT_NAME,
            self._store_version,
            0.0,
        )
        if isinstance(result, protocol.StoredObject):
            self._take_object(result)
        elif isinstance(result, errors.Problem):
            self._store_was_out = True

    async def _pull(self, source: members_module.Member) -> None:
        """Pulls a newer version from a peer."""
        try:
            version, body = await self._streams.get(source).fetch_configuration(
                self.version
            )
        except peers.PeerError:
            return
        if version <= self.version:
            return
        stored, problems = stored_module.unpack(body)
        for problem in problems:
            self._report(problem)
        if stored is None:
            return
        self._take(stored, f"host {source.name}")
        # The peer may wait to hear that its version has arrived.
        self._tasks.spawn(self._membership.exchange_heartbeat(source))

    def _take_object(self, found: protocol.StoredObject) -> None:
        """Takes what the store holds, if it can be followed."""
        stored, problems = stored_module.decode_value(
            found.value, found.version
        )
        if found.version != self._store_version:
            for problem in problems:
                self._report(problem)
        self._store_version = found.version
        if stored is not None:
            self._take(stored, "the store")

    def _take(self, stored: stored_module.Stored, origin: str) -> None:
        """Brings a version into force if it is newer."""
        offered = stored.configuration
        if stored.store_version > self._store_version:
            self._store_version = stored.store_version
        current = self.current
        if current is None or offered.version > current.version:
            self._adopt(stored, origin)
        elif offered.version < current.version:
            self._report(_describe_stale(offered.version, current.version))
        elif offered.change_id != current.change_id:
            self._report(_describe_fork(current, offered))

    def _adopt(self, stored: stored_module.Stored, origin: str) -> None:
        """Brings a version into force and tells of it."""
        version = stored.configuration.version
        self._invariants.check(
            invariants_module.Invariant.VERSION_RISES,
            version > self.version,
            f"{version} after {self.version}",
        )
        self._stored = stored
        self._reports.clear()
        self._packed = stored_module.pack(stored)
        self.body = configuration.format_configuration(stored.configuration)
        logger.info(f"rollout: Version {version} from {origin} is in force.")
        self._membership.push()
        for callback in self._callbacks:
            callback()

    async def _ask_peers(self) -> change_module.Versions:
        """Asks every other member for its version."""
        own = self._membership.own.name
        others = [m for m in self._membership.members() if m.name != own]
        answered = await asyncio.gather(
            *(self._membership.exchange_heartbeat(member) for member in others)
        )
        silent = tuple(
            member.name
            for member, has_answered in zip(others, answered, strict=True)
            if not has_answered
        )
        highest = max((self._holders.get(m.name, 0) for m in others), default=0)
        return change_module.Versions(highest, silent)

    async def _await_acknowledgements(self, version: int) -> None:
        """Waits until a few peers have a version, so that it is not lost."""
        give_up_at = self._clock.monotonic() + ACKNOWLEDGEMENT_LIMIT_S
        while self._clock.monotonic() < give_up_at:
            others = len(self._membership.members()) - 1
            wanted = min(ACKNOWLEDGEMENTS, others)
            if len(self.find_holders(version)) >= wanted:
                return
            self._membership.push()
            await self._clock.sleep(ACKNOWLEDGEMENT_POLL_S)
        logger.warning(f"rollout: Too few peers confirm version {version}.")

    def _report(self, problem: errors.Problem) -> None:
        """Logs a problem and keeps it for the dump, once while it lasts."""
        if problem in self._reports:
            return
        self._reports.append(problem)
        logger.error(f"rollout: {problem.describe()}")

    async def _sleep(self, period_s: float) -> None:
        """Waits for about a period, so that hosts do not act in step."""
        await self._clock.sleep(period_s * self._random.uniform(0.8, 1.2))


def _describe_stale(found: int, current: int) -> errors.Problem:
    """Returns the problem of a store that is older than what is in force."""
    return errors.Problem(
        kind=errors.ProblemKind.STALE_CONFIGURATION,
        where="configuration",
        what=f"Version {found} was found, older than {current} in force.",
        remedy=f"Apply version {current} anew if the store has lost it.",
    )


def _describe_fork(
    current: configuration.Configuration, found: configuration.Configuration
) -> errors.Problem:
    """Returns the problem of two changes with one version."""
    return errors.Problem(
        kind=errors.ProblemKind.STALE_CONFIGURATION,
        where="configuration",
        what=(
            f"Change {found.change_id} has version {found.version}, which "
            f"change {current.change_id} in force has too."
        ),
        remedy="Apply the wanted configuration as a new version.",
    )
