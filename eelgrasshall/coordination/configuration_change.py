"""One attempt to make a declared configuration the next version.

The change is a conditional write to the store, on the store version that was
read before, so of several operators who change the same version only one
succeeds.  If the reply to a write is lost, the object is read back; the change
id shows whether this change or another one was accepted.  Retrying the write
meanwhile is safe, because all retries carry the same condition and at most one
of them can succeed.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random as random_module
from typing import Any
from typing import NamedTuple
from typing import Protocol

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.coordination import stored_configuration
from eelgrasshall.protocol import platform as protocol
from eelgrasshall.state import configuration

# Time limit for finding out the effect of a write whose reply was lost.
READ_BACK_TIMEOUT_S = 6.0
READ_BACK_DELAY_S = 0.25
CHANGE_ID_BITS = 64


class Store(Protocol):
    """The part of the platform that changes and the rollout need."""

    async def read(self, kind: str, name: str) -> protocol.ReadResult:
        """Reads one object."""

    async def write(
        self, kind: str, name: str, value: Any, if_version: int | None
    ) -> protocol.WriteResult:
        """Writes one object."""

    async def watch(
        self, kind: str, name: str, after: int, timeout_s: float
    ) -> protocol.WatchResult:
        """Waits until an object's store version exceeds `after`."""


class ChangeOutcome(NamedTuple):
    """The outcome of a change attempt.

    Attributes:
      latest: The newest valid configuration found in the store, including
        the accepted change; None if there is none.
      problem: Why the change is not known to be accepted, or None.
    """

    latest: stored_configuration.StoredConfiguration | None
    problem: errors.Problem | None


class PeerVersions(NamedTuple):
    """Configuration versions reported by the other hosts.

    Attributes:
      highest: The highest version reported.
      unresponsive: Names of the members that did not answer.
    """

    highest: int
    unresponsive: tuple[str, ...]


class ChangeAttempt:
    """Writes one configuration change to the store.

    Args:
      store: The store.
      clock: The clock.
      random: The source of jitter and of change ids.
      current: The configuration in force on this host.
      get_peer_versions: Gets the version of every other member, in case the
        store does not show which version is the newest.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: clock_module.Clock,
        random: random_module.Random,
        current: stored_configuration.StoredConfiguration | None,
        get_peer_versions: Callable[[], Awaitable[PeerVersions]],
    ):
        self._store = store
        self._clock = clock
        self._random = random
        self._latest = current
        self._get_peer_versions = get_peer_versions
        self._if_version = 0

    async def run(
        self, declared: configuration.Configuration, base_version: int
    ) -> ChangeOutcome:
        """Makes the change, or reports why it was not made.

        Args:
          declared: The new configuration; its version is ignored.
          base_version: The version that the change was made on.
        """
        problem = await self._read_latest()
        if problem is not None:
            return ChangeOutcome(None, problem)
        latest = self._latest
        if is_already_accepted(declared, base_version, latest):
            return ChangeOutcome(latest, None)
        latest_version = latest.configuration.version if latest else 0
        if latest_version != base_version:
            return ChangeOutcome(
                latest, _describe_conflict(base_version, latest)
            )
        change = declared._replace(
            version=base_version + 1,
            change_id=self._choose_change_id(declared),
        )
        history = latest.history if latest else ()
        return await self._write(change, history)

    async def _read_latest(self) -> errors.Problem | None:
        """Reads the newest version and the store version to write over."""
        found = await self._read()
        if isinstance(found, errors.Problem):
            return found
        if isinstance(found, protocol.NotFound):
            return await self._check_peer_versions()
        self._if_version = found.version
        stored, _ = stored_configuration.decode_value(
            found.value, found.version
        )
        if stored is None:
            return await self._check_peer_versions()
        latest = self._latest
        if (
            latest is None
            or stored.configuration.version >= latest.configuration.version
        ):
            self._latest = stored
        return None

    async def _check_peer_versions(self) -> errors.Problem | None:
        """Checks that no other host has a newer version than this one."""
        latest = self._latest
        latest_version = latest.configuration.version if latest else 0
        versions = await self._get_peer_versions()
        if versions.highest > latest_version:
            return _describe_conflict(latest_version, None)
        if versions.unresponsive:
            return _describe_unresponsive(versions.unresponsive)
        return None

    def _choose_change_id(self, declared: configuration.Configuration) -> str:
        """Returns the operator's change id if it is new, else a random one."""
        used = self._latest.history if self._latest else ()
        if declared.change_id and declared.change_id not in used:
            return declared.change_id
        return f"{self._random.getrandbits(CHANGE_ID_BITS):016x}"

    async def _write(
        self, change: configuration.Configuration, history: tuple[str, ...]
    ) -> ChangeOutcome:
        """Writes the change, retrying until its effect is known."""
        value = stored_configuration.encode_value(change, history)
        deadline = self._clock.monotonic() + READ_BACK_TIMEOUT_S
        lost_reply: errors.Problem | None = None
        while True:
            result = await self._store.write(
                stored_configuration.OBJECT_KIND,
                stored_configuration.OBJECT_NAME,
                value,
                self._if_version,
            )
            if isinstance(result, protocol.Written):
                new_history = tuple(value["history"])
                return ChangeOutcome(
                    stored_configuration.StoredConfiguration(
                        change, new_history, result.version
                    ),
                    None,
                )
            if isinstance(result, protocol.Conflict):
                return _determine_outcome(change, result.current, lost_reply)
            if isinstance(result, protocol.UnknownOutcome):
                lost_reply = result.problem
            if lost_reply is None:
                return ChangeOutcome(None, result)
            if self._clock.monotonic() >= deadline:
                return ChangeOutcome(
                    None, _describe_unknown(change, lost_reply)
                )
            await self._wait_before_retry()
            found = await self._read()
            if isinstance(found, protocol.StoredObject):
                if found.version != self._if_version:
                    return _determine_outcome(change, found, lost_reply)
            elif isinstance(found, protocol.NotFound) and self._if_version:
                return ChangeOutcome(
                    None, _describe_unknown(change, lost_reply)
                )

    async def _read(self) -> protocol.ReadResult:
        return await self._store.read(
            stored_configuration.OBJECT_KIND, stored_configuration.OBJECT_NAME
        )

    async def _wait_before_retry(self) -> None:
        jitter = self._random.uniform(0.5, 1.5)
        await self._clock.sleep(READ_BACK_DELAY_S * jitter)


def _determine_outcome(
    change: configuration.Configuration,
    found: protocol.StoredObject,
    lost_reply: errors.Problem | None,
) -> ChangeOutcome:
    """Determines from the stored object whether the change was accepted.

    Args:
      change: The change.
      found: The object in the store, changed since it was first read.
      lost_reply: The problem of an earlier write whose reply was lost, or None.

    Returns:
      The outcome.  It is unknown if the reply to a write was lost and the
      stored object does not show which changes preceded it.
    """
    stored, _ = stored_configuration.decode_value(found.value, found.version)
    if stored is not None:
        versions_since = stored.configuration.version - change.version
        if 0 <= versions_since < len(stored.history):
            if stored.history[versions_since] == change.change_id:
                return ChangeOutcome(stored, None)
            lost_reply = None
    if lost_reply is not None:
        return ChangeOutcome(stored, _describe_unknown(change, lost_reply))
    return ChangeOutcome(stored, _describe_conflict(change.version - 1, stored))


def is_already_accepted(
    declared: configuration.Configuration,
    base_version: int,
    latest: stored_configuration.StoredConfiguration | None,
) -> bool:
    """Returns whether a change was sent again after it had been accepted.

    A configuration that was read and then edited still carries the change id
    of the version that was read, so the base version is compared as well.
    """
    if latest is None or declared.change_id not in latest.history:
        return False
    versions_since = latest.history.index(declared.change_id)
    return base_version == latest.configuration.version - versions_since - 1


def _describe_conflict(
    base_version: int, other: stored_configuration.StoredConfiguration | None
) -> errors.Problem:
    """Returns the problem of a change that conflicts with another one."""
    if other is None:
        what = f"Version {base_version} is not the newest version."
    else:
        what = (
            f"The change is based on version {base_version}, but change "
            f"{other.configuration.change_id} has already created version "
            f"{other.configuration.version}."
        )
    return errors.Problem(
        kind=errors.ProblemKind.CONFIGURATION_CONFLICT,
        where="configuration",
        what=what,
        remedy="Read the newest version and apply the change to it again.",
    )


def _describe_unknown(
    change: configuration.Configuration, problem: errors.Problem
) -> errors.Problem:
    """Returns the problem of a change whose effect could not be read back."""
    return problem._replace(
        kind=errors.ProblemKind.REPLY_LOST,
        what=(
            f"{problem.what} Whether change {change.change_id} was accepted "
            "is not known."
        ),
        remedy=(
            "Check the status once the store is available again, and apply "
            "the change again with the same change id and base version if it "
            "is not in force."
        ),
    )


def _describe_unresponsive(names: tuple[str, ...]) -> errors.Problem:
    """Returns the problem of a store without a valid configuration.

    A host that does not answer may have a newer version than this one, so the
    configuration in the store must not be replaced yet.
    """
    return errors.Problem(
        kind=errors.ProblemKind.STORE_UNAVAILABLE,
        where="configuration",
        what=(
            "The store holds no valid configuration, and these hosts did not "
            f"report which version they have: {', '.join(names)}."
        ),
        remedy="Apply again once they answer or are no longer members.",
    )
