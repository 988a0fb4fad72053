"""Rollout: puts each accepted configuration in force on this host.

The object in the platform's store is the only authority.  A host learns of a
new version in three ways: from a watch on the store, from polling the store
every few seconds in case the watch stops delivering, and from the heartbeats
of peers that already have the version, from which it fetches the body.  The
version in force never decreases.  Configurations that are invalid or older
than the one in force are reported and ignored.
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
from eelgrasshall.coordination import background_tasks
from eelgrasshall.coordination import configuration_change
from eelgrasshall.coordination import stored_configuration
from eelgrasshall.protocol import platform as protocol
from eelgrasshall.state import configuration
from eelgrasshall.state import members as members_module
from eelgrasshall.transport import peers

WATCH_TIMEOUT_S = 20.0
# After a watch that ends sooner than this, the host waits this long before the
# next one, so that a store which answers at once is not called in a tight loop.
MIN_WATCH_DURATION_S = 1.0
STORE_POLL_PERIOD_S = 4.0
# A poll transfers the object only if it is newer.  A full read also detects a
# store that was restored to an older state; it follows each outage of the
# store.  Its period grows with the number of hosts, so that the total rate of
# full reads at the store does not.
MIN_FULL_READ_PERIOD_S = 30.0
FULL_READ_PERIOD_PER_HOST_S = 5.0
STORE_RETRY_DELAY_S = 1.0
# Peers that must have an accepted change before it is reported as accepted, so
# that it is not lost if this host and the store then fail.
REQUIRED_ACKNOWLEDGEMENTS = 3
ACKNOWLEDGEMENT_TIMEOUT_S = 2.0
ACKNOWLEDGEMENT_POLL_INTERVAL_S = 0.1
MAX_REPORTS = 8


class PeerStream(Protocol):
    """The stream to one peer, as far as it is used here."""

    async def fetch_configuration(
        self, known_version: int
    ) -> tuple[int, bytes]:
        """Fetches the configuration if newer than `known_version`."""


class PeerStreams(Protocol):
    """The streams to all peers, as far as they are used here."""

    def get(self, member: members_module.Member) -> PeerStream:
        """Returns the stream to a member."""


class Membership(Protocol):
    """The membership of the fleet, as far as it is used here."""

    @property
    def own(self) -> members_module.Member:
        """This host."""

    def members(self) -> tuple[members_module.Member, ...]:
        """Returns the members that are not dead."""

    def push(self) -> None:
        """Sends a heartbeat to a few random members at once."""

    async def exchange_heartbeat(self, member: members_module.Member) -> bool:
        """Exchanges a heartbeat with a member; returns whether it replied."""

    def set_version_callbacks(
        self,
        *,
        get_version: Callable[[], int],
        on_version: Callable[[int, members_module.Member], None],
    ) -> None:
        """Sets the callbacks for the versions carried by heartbeats.

        Args:
          get_version: Returns the version to send.
          on_version: Called with the version and the member it came from.
        """


class ConfigurationManager:
    """Holds the configuration in force and keeps it up to date.

    Args:
      platform: Client of the platform's object API.
      streams: Streams to peers.
      membership: The members, whose heartbeats carry versions.
      clock: Source of time.
      random: Source of jitter and of change ids.
      invariants: Checks the invariants.
    """

    def __init__(
        self,
        *,
        platform: configuration_change.Store,
        streams: PeerStreams,
        membership: Membership,
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
        self._stored: stored_configuration.StoredConfiguration | None = None
        self._encoded_for_peers = b""
        self._store_version = 0
        self._store_was_unavailable = True
        self._callbacks: list[Callable[[], None]] = []
        self._holders: dict[str, int] = {}
        self._pull_candidates: dict[str, tuple[int, members_module.Member]] = {}
        self._pull_requested = asyncio.Event()
        self._apply_lock = asyncio.Lock()
        self._tasks = background_tasks.BackgroundTasks(component="rollout")
        self._reports: collections.deque[errors.Problem] = collections.deque(
            maxlen=MAX_REPORTS
        )
        self.body = b""
        membership.set_version_callbacks(
            get_version=lambda: self.version,
            on_version=self.record_peer_version,
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
        """Starts the tasks that follow the store and the peers."""
        for loop in (
            self._watch_store,
            self._poll_store,
            self._pull_from_peers,
        ):
            self._tasks.spawn(loop())

    async def stop(self) -> None:
        """Stops the tasks."""
        await self._tasks.stop()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback that is called after each new version."""
        self._callbacks.append(callback)

    def record_peer_version(
        self, version: int, source: members_module.Member
    ) -> None:
        """Records the version of a peer and schedules a pull if it is newer."""
        self._holders[source.name] = version
        if version > self.version:
            self._pull_candidates[source.name] = (version, source)
            self._pull_requested.set()

    def get_if_newer(self, known_version: int) -> tuple[int, bytes]:
        """Returns the version and encoded body if newer, else `(0, b"")`."""
        if self.version <= known_version:
            return 0, b""
        return self.version, self._encoded_for_peers

    def find_holders(self, version: int) -> tuple[str, ...]:
        """Returns names of members known to have a version or a newer one."""
        others = {m.name for m in self._membership.members()}
        others.discard(self._membership.own.name)
        return tuple(
            sorted(n for n in others if self._holders.get(n, 0) >= version)
        )

    async def apply(
        self, body: bytes, base_version: int
    ) -> list[errors.Problem]:
        """Makes a declared configuration the next version.

        The version and change id of the document are replaced, except that a
        change id not used before is kept, so that a retry of the same call is
        recognized.

        Args:
          body: The configuration as JSON.
          base_version: The version that the change is based on.

        Returns:
          An empty list once the change is accepted and in force on this host;
          the call waits for a few peers to have it too, for at most
          `ACKNOWLEDGEMENT_TIMEOUT_S`.  Otherwise the problems; REPLY_LOST means
          that the change may have been accepted nevertheless.
        """
        declared, problems = configuration.parse_configuration(body)
        if declared is None:
            return problems
        async with self._apply_lock:
            if configuration_change.is_already_accepted(
                declared, base_version, self._stored
            ):
                return []
            attempt = configuration_change.ChangeAttempt(
                store=self._platform,
                clock=self._clock,
                random=self._random,
                current=self._stored,
                get_peer_versions=self._get_peer_versions,
            )
            outcome = await attempt.run(declared, base_version)
            if outcome.latest is not None:
                self._accept(outcome.latest, "the store")
            if outcome.problem is not None:
                return [outcome.problem]
            await self._wait_for_acknowledgements(self.version)
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

    # Background loops; each runs in a task of its own.

    async def _watch_store(self) -> None:
        """Watches the store for newer versions."""
        while True:
            started_at = self._clock.monotonic()
            result = await self._platform.watch(
                stored_configuration.OBJECT_KIND,
                stored_configuration.OBJECT_NAME,
                self._store_version,
                WATCH_TIMEOUT_S,
            )
            if isinstance(result, protocol.StoredObject):
                self._accept_object(result)
            elif isinstance(result, errors.Problem):
                self._store_was_unavailable = True
                await self._sleep(STORE_RETRY_DELAY_S)
            elif self._clock.monotonic() - started_at < MIN_WATCH_DURATION_S:
                await self._sleep(MIN_WATCH_DURATION_S)

    async def _poll_store(self) -> None:
        """Polls the store, in case the watch no longer delivers changes."""
        read_at = self._clock.monotonic()
        while True:
            await self._sleep(STORE_POLL_PERIOD_S)
            now = self._clock.monotonic()
            member_count = len(self._membership.members())
            period_s = max(
                MIN_FULL_READ_PERIOD_S,
                FULL_READ_PERIOD_PER_HOST_S * member_count,
            )
            if self._store_was_unavailable or now - read_at >= period_s:
                read_at = now
                await self._read_object()
            else:
                await self._poll_for_newer()

    async def _pull_from_peers(self) -> None:
        """Pulls newer versions from peers, highest version first."""
        while True:
            await self._pull_requested.wait()
            self._pull_requested.clear()
            while self._pull_candidates:
                name, (version, source) = max(
                    self._pull_candidates.items(), key=lambda item: item[1][0]
                )
                del self._pull_candidates[name]
                if version > self.version:
                    await self._pull_from(source)

    async def _read_object(self) -> None:
        """Reads the object, also to detect a store with an older version."""
        result = await self._platform.read(
            stored_configuration.OBJECT_KIND, stored_configuration.OBJECT_NAME
        )
        self._store_was_unavailable = isinstance(result, errors.Problem)
        if isinstance(result, protocol.StoredObject):
            self._accept_object(result)
        elif isinstance(result, protocol.NotFound) and self.version > 0:
            self._report_problem(_describe_stale(0, self.version))

    async def _poll_for_newer(self) -> None:
        """Reads the object only if it is newer, by a watch with time-out 0."""
        result = await self._platform.watch(
            stored_configuration.OBJECT_KIND,
            stored_configuration.OBJECT_NAME,
            self._store_version,
            0.0,
        )
        if isinstance(result, protocol.StoredObject):
            self._accept_object(result)
        elif isinstance(result, errors.Problem):
            self._store_was_unavailable = True

    async def _pull_from(self, source: members_module.Member) -> None:
        """Pulls the configuration from a peer that has a newer version."""
        try:
            version, body = await self._streams.get(source).fetch_configuration(
                self.version
            )
        except peers.PeerError:
            return
        if version <= self.version:
            return
        stored, problems = stored_configuration.decode_from_peer(body)
        for problem in problems:
            self._report_problem(problem)
        if stored is None:
            return
        self._accept(stored, f"host {source.name}")
        # The peer may be waiting for the acknowledgement of its version.
        self._tasks.spawn(self._membership.exchange_heartbeat(source))

    def _accept_object(self, found: protocol.StoredObject) -> None:
        """Accepts the stored object if it is valid, else reports problems."""
        stored, problems = stored_configuration.decode_value(
            found.value, found.version
        )
        if found.version != self._store_version:
            for problem in problems:
                self._report_problem(problem)
        self._store_version = found.version
        if stored is not None:
            self._accept(stored, "the store")

    def _accept(
        self, stored: stored_configuration.StoredConfiguration, origin: str
    ) -> None:
        """Puts a version in force if it is newer, else reports conflicts."""
        offered = stored.configuration
        if stored.store_version > self._store_version:
            self._store_version = stored.store_version
        current = self.current
        if current is None or offered.version > current.version:
            self._put_in_force(stored, origin)
        elif offered.version < current.version:
            self._report_problem(
                _describe_stale(offered.version, current.version)
            )
        elif offered.change_id != current.change_id:
            self._report_problem(_describe_version_conflict(current, offered))

    def _put_in_force(
        self, stored: stored_configuration.StoredConfiguration, origin: str
    ) -> None:
        """Puts a version in force and notifies peers and subscribers."""
        version = stored.configuration.version
        self._invariants.check(
            invariants_module.Invariant.VERSION_RISES,
            version > self.version,
            f"{version} after {self.version}",
        )
        self._stored = stored
        self._reports.clear()
        self._encoded_for_peers = stored_configuration.encode_for_peer(stored)
        self.body = configuration.format_configuration(stored.configuration)
        logger.info(f"rollout: Version {version} from {origin} is in force.")
        self._membership.push()
        for callback in self._callbacks:
            callback()

    async def _get_peer_versions(self) -> configuration_change.PeerVersions:
        """Exchanges heartbeats with all other members to get their versions."""
        own = self._membership.own.name
        others = [m for m in self._membership.members() if m.name != own]
        replied = await asyncio.gather(
            *(self._membership.exchange_heartbeat(member) for member in others)
        )
        unresponsive = tuple(
            member.name
            for member, has_replied in zip(others, replied, strict=True)
            if not has_replied
        )
        highest = max((self._holders.get(m.name, 0) for m in others), default=0)
        return configuration_change.PeerVersions(highest, unresponsive)

    async def _wait_for_acknowledgements(self, version: int) -> None:
        """Waits until a few peers have a version, or the time-out passes."""
        deadline = self._clock.monotonic() + ACKNOWLEDGEMENT_TIMEOUT_S
        while self._clock.monotonic() < deadline:
            others = len(self._membership.members()) - 1
            required = min(REQUIRED_ACKNOWLEDGEMENTS, others)
            if len(self.find_holders(version)) >= required:
                return
            self._membership.push()
            await self._clock.sleep(ACKNOWLEDGEMENT_POLL_INTERVAL_S)
        logger.warning(
            f"rollout: Too few peers confirmed version {version} in time."
        )

    def _report_problem(self, problem: errors.Problem) -> None:
        """Logs a problem and keeps it for the dump, unless already kept."""
        if problem in self._reports:
            return
        self._reports.append(problem)
        logger.error(f"rollout: {problem.describe()}")

    async def _sleep(self, period_s: float) -> None:
        """Sleeps for a period with jitter, so that hosts spread their calls."""
        await self._clock.sleep(period_s * self._random.uniform(0.8, 1.2))


def _describe_stale(found: int, current: int) -> errors.Problem:
    """Describes a found version that is older than the one in force."""
    return errors.Problem(
        kind=errors.ProblemKind.STALE_CONFIGURATION,
        where="configuration",
        what=f"Found version {found}, older than version {current} in force.",
        remedy=f"Apply version {current} again if the store has lost it.",
    )


def _describe_version_conflict(
    current: configuration.Configuration, found: configuration.Configuration
) -> errors.Problem:
    """Describes two different changes with the same version."""
    return errors.Problem(
        kind=errors.ProblemKind.STALE_CONFIGURATION,
        where="configuration",
        what=(
            f"Change {found.change_id} has version {found.version}, the same "
            f"as change {current.change_id}, which is in force."
        ),
        remedy="Apply the intended configuration as a new version.",
    )
