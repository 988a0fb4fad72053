"""One attempt to make a declared configuration the next version.

The change is a write to the store on condition of the store version that was
read before, so of several operators who change the same version only one
succeeds.  A write whose reply was lost is read back: the change id tells the
own change from another.  Writing again is safe meanwhile, since both writes
carry the same condition and at most one of them can take effect.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random as random_module
from typing import Any
from typing import NamedTuple
from typing import Protocol

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.coordination import stored as stored_module
from eelgrasshall.protocol import platform as protocol
from eelgrasshall.state import configuration

# Time after which a write whose effect cannot be read back is given up.
READ_BACK_LIMIT_S = 6.0
READ_BACK_PAUSE_S = 0.25
CHANGE_ID_BITS = 64


class Store(Protocol):
    """What a change and the keeper need of the platform."""

    async def read(self, kind: str, name: str) -> protocol.ReadResult:
        """Reads one object."""

    async def write(
        self, kind: str, name: str, value: Any, if_version: int | None
    ) -> protocol.WriteResult:
        """Writes one object."""

    async def watch(
        self, kind: str, name: str, after: int, timeout_s: float
    ) -> protocol.WatchResult:
        """Waits until an object's store version rises above one."""


class Outcome(NamedTuple):
    """What became of an attempt.

    Attributes:
      seen: The newest valid configuration seen in the store, the accepted
        one included.
      problem: Why the change is not known to be accepted, or None.
    """

    seen: stored_module.Stored | None
    problem: errors.Problem | None


class Versions(NamedTuple):
    """What the other hosts say of their versions.

    Attributes:
      highest: The highest version among them.
      silent: Names of the members that did not answer.
    """

    highest: int
    silent: tuple[str, ...]


class Attempt:
    """Carries one change to the store.

    Args:
      store: The store.
      clock: The clock.
      random: The source of jitter and of change ids.
      current: What is in force on this host.
      ask_peers: Asks every other member for its version, for the case that
        the store does not tell which version is the newest.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: clock_module.Clock,
        random: random_module.Random,
        current: stored_module.Stored | None,
        ask_peers: Callable[[], Awaitable[Versions]],
    ):
        self._store = store
        self._clock = clock
        self._random = random
        self._latest = current
        self._ask_peers = ask_peers
        self._if_version = 0

    async def run(
        self, declared: configuration.Configuration, base_version: int
    ) -> Outcome:
        """Makes the change, or finds out why it cannot be made."""
        problem = await self._read_latest()
        if problem is not None:
            return Outcome(None, problem)
        latest = self._latest
        if is_repetition(declared, base_version, latest):
            return Outcome(latest, None)
        latest_version = latest.configuration.version if latest else 0
        if latest_version != base_version:
            return Outcome(latest, _describe_conflict(base_version, latest))
        change = declared._replace(
            version=base_version + 1,
            change_id=self._choose_change_id(declared),
        )
        history = latest.history if latest else ()
        return await self._write(change, history)

    async def _read_latest(self) -> errors.Problem | None:
        """Finds the newest version and the store version to write over."""
        found = await self._read()
        if isinstance(found, errors.Problem):
            return found
        if isinstance(found, protocol.NotFound):
            return await self._check_peers()
        self._if_version = found.version
        stored, _ = stored_module.decode_value(found.value, found.version)
        if stored is None:
            return await self._check_peers()
        latest = self._latest
        if (
            latest is None
            or stored.configuration.version >= latest.configuration.version
        ):
            self._latest = stored
        return None

    async def _check_peers(self) -> errors.Problem | None:
        """Makes sure that no other host has a newer version than this one."""
        latest = self._latest
        latest_version = latest.configuration.version if latest else 0
        versions = await self._ask_peers()
        if versions.highest > latest_version:
            return _describe_conflict(latest_version, None)
        if versions.silent:
            return _describe_silent(versions.silent)
        return None

    def _choose_change_id(self, declared: configuration.Configuration) -> str:
        """Returns the operator's change id if it is new, else a random one."""
        used = self._latest.history if self._latest else ()
        if declared.change_id and declared.change_id not in used:
            return declared.change_id
        return f"{self._random.getrandbits(CHANGE_ID_BITS):016x}"

    async def _write(
        self, change: configuration.Configuration, history: tuple[str, ...]
    ) -> Outcome:
        """Writes until it is known whether the change was accepted."""
        value = stored_module.encode_value(change, history)
        give_up_at = self._clock.monotonic() + READ_BACK_LIMIT_S
        lost: errors.Problem | None = None
        while True:
            result = await self._store.write(
                stored_module.OBJECT_KIND,
                stored_module.OBJECT_NAME,
                value,
                self._if_version,
            )
            if isinstance(result, protocol.Written):
                changes = tuple(value["history"])
                return Outcome(
                    stored_module.Stored(change, changes, result.version), None
                )
            if isinstance(result, protocol.Conflict):
                return _judge(change, result.current, lost)
            if isinstance(result, protocol.UnknownOutcome):
                lost = result.problem
            if lost is None:
                return Outcome(None, result)
            if self._clock.monotonic() >= give_up_at:
                return Outcome(None, _describe_unknown(change, lost))
            await self._pause()
            found = await self._read()
            if isinstance(found, protocol.StoredObject):
                if found.version != self._if_version:
                    return _judge(change, found, lost)
            elif isinstance(found, protocol.NotFound) and self._if_version:
                return Outcome(None, _describe_unknown(change, lost))

    async def _read(self) -> protocol.ReadResult:
        """Reads the configuration object."""
        return await self._store.read(
            stored_module.OBJECT_KIND, stored_module.OBJECT_NAME
        )

    async def _pause(self) -> None:
        """Waits a little before the next try."""
        jitter = self._random.uniform(0.5, 1.5)
        await self._clock.sleep(READ_BACK_PAUSE_S * jitter)


def _judge(
    change: configuration.Configuration,
    found: protocol.StoredObject,
    lost: errors.Problem | None,
) -> Outcome:
    """Tells from what is in the store whether the change was accepted.

    Args:
      change: The change.
      found: The object that the store holds instead of what was read first.
      lost: What happened to the reply of an earlier write, if one was lost.

    Returns:
      The outcome.  A lost write may have been overwritten by something that
      tells nothing of what it replaced; then its fate stays unknown.
    """
    stored, _ = stored_module.decode_value(found.value, found.version)
    if stored is not None:
        later = stored.configuration.version - change.version
        if 0 <= later < len(stored.history):
            if stored.history[later] == change.change_id:
                return Outcome(stored, None)
            lost = None
    if lost is not None:
        return Outcome(stored, _describe_unknown(change, lost))
    return Outcome(stored, _describe_conflict(change.version - 1, stored))


def is_repetition(
    declared: configuration.Configuration,
    base_version: int,
    latest: stored_module.Stored | None,
) -> bool:
    """Returns whether a change is one already accepted, sent again.

    A configuration that was read and edited carries the change id of the
    version that it was read from, so the base version is compared too.
    """
    if latest is None or declared.change_id not in latest.history:
        return False
    later = latest.history.index(declared.change_id)
    return base_version == latest.configuration.version - later - 1


def _describe_conflict(
    base_version: int, other: stored_module.Stored | None
) -> errors.Problem:
    """Returns the problem of a change that another one has overtaken."""
    if other is None:
        what = f"Version {base_version} is not the newest one."
    else:
        what = (
            f"The change was made on version {base_version}, but change "
            f"{other.configuration.change_id} has made version "
            f"{other.configuration.version}."
        )
    return errors.Problem(
        kind=errors.ProblemKind.CONFIGURATION_CONFLICT,
        where="configuration",
        what=what,
        remedy="Read the newest version and make the change on it again.",
    )


def _describe_unknown(
    change: configuration.Configuration, problem: errors.Problem
) -> errors.Problem:
    """Returns the problem of a change whose fate could not be read back."""
    return problem._replace(
        kind=errors.ProblemKind.REPLY_LOST,
        what=(
            f"{problem.what} Whether change {change.change_id} was accepted "
            "is not known."
        ),
        remedy=(
            "Ask for the status once the store is back, and apply again with "
            "the same change id and base version if it is not in force."
        ),
    )


def _describe_silent(names: tuple[str, ...]) -> errors.Problem:
    """Returns the problem of a store that must be repaired too early."""
    return errors.Problem(
        kind=errors.ProblemKind.STORE_UNAVAILABLE,
        where="configuration",
        what=(
            "The store holds no valid configuration, and these hosts do not "
            f"say which version they have: {', '.join(names)}."
        ),
        remedy="Apply again once they answer or are out of the members.",
    )
