"""Which entry hosts know workspaces, as they announce in their heartbeats.

A host announces it while workspaces are configured there.  In a large fleet a
host hears each other one directly only now and then, so hosts also pass on
what they know of the active hosts, with its age.  The newest statement about a
host counts, for a limited time.  This module does no I/O and reads no clock.
"""

from collections.abc import Iterable
import math
from typing import Any
from typing import NamedTuple

# The first field of the announcement, which is one entry of the second element
# of the gossip.
KIND = "workspaces"
# Most hosts that an announcement passes on: the usual number of active hosts.
MAX_PASSED_ON = 8
# Share of the heartbeats of a large fleet that pass on what is known of other
# hosts, as bytes between zones are priced.
PASS_ON_SHARE = 0.5
# Time after which a statement that was not repeated does not count any more.
# In a simulation of 400 hosts, with a fifth of the datagrams lost, the newest
# known ones are up to 15 s old.
STATEMENT_TTL_S = 25.0
# Ages are sent in such steps, rounded up: rounded down, statements that hosts
# pass on to each other in turn would never expire.
AGE_STEPS_PER_S = 10


class _Statement(NamedTuple):
    """Whether a host knows workspaces, and when it said so."""

    knows: bool
    stated_s: float


class WorkspaceHosts:
    """The other hosts' latest statements."""

    def __init__(self):
        self._statements: dict[str, _Statement] = {}

    def knows(self, name: str, now: float) -> bool:
        """Returns whether a host knows workspaces, as far as heard."""
        statement = self._statements.get(name)
        return (
            statement is not None
            and statement.knows
            and now - statement.stated_s <= STATEMENT_TTL_S
        )

    def make_announcement(self, names: Iterable[str], now: float) -> list[Any]:
        """Returns the entry of the gossip of a host that knows workspaces.

        Args:
          names: The hosts of which it is passed on whether they do.
          now: Monotonic time.
        """
        known = sorted(name for name in names if self.knows(name, now))
        ages = [
            [name, self._get_age_steps(name, now)]
            for name in known[:MAX_PASSED_ON]
        ]
        return [KIND, ages]

    def _get_age_steps(self, name: str, now: float) -> int:
        """Returns the age of a statement, rounded up."""
        age_s = now - self._statements[name].stated_s
        return math.ceil(age_s * AGE_STEPS_PER_S)

    def merge(self, sender: str, entries: Any, now: float) -> None:
        """Adds what a heartbeat that came directly from a host states.

        Args:
          sender: Name of the host.
          entries: The second element of its gossip; unknown entries are
            ignored.
          now: Monotonic time.

        Raises:
          ValueError: Its announcement is malformed.
        """
        passed_on = _find_announcement(entries)
        self._record(sender, _Statement(passed_on is not None, now))
        for name, steps in passed_on or ():
            if name != sender:
                stated_s = now - steps / AGE_STEPS_PER_S
                self._record(name, _Statement(True, stated_s))

    def _record(self, name: str, statement: _Statement) -> None:
        """Records a statement, unless a newer one is known."""
        known = self._statements.get(name)
        if known is None or known.stated_s <= statement.stated_s:
            self._statements[name] = statement

    def keep(self, names: set[str]) -> None:
        """Forgets all hosts but those with some names."""
        for name in self._statements.keys() - names:
            del self._statements[name]


def _find_announcement(entries: Any) -> list[tuple[str, int]] | None:
    """Returns the hosts that an announcement passes on, with their ages.

    Returns None if there is no announcement.

    Raises:
      ValueError: The announcement is malformed.
    """
    for entry in entries if isinstance(entries, list) else ():
        if not isinstance(entry, list) or entry[:1] != [KIND]:
            continue
        if (
            len(entry) < 2
            or not isinstance(entry[1], list)
            or len(entry[1]) > MAX_PASSED_ON
        ):
            raise ValueError("malformed announcement of workspaces")
        return [_check_passed_on(each) for each in entry[1]]
    return None


def _check_passed_on(pair: Any) -> tuple[str, int]:
    """Returns the name and the age of a host that is passed on.

    Raises:
      ValueError: They are malformed.
    """
    if (
        not isinstance(pair, list)
        or len(pair) != 2
        or not isinstance(pair[0], str)
        or type(pair[1]) is not int
        or not 0 <= pair[1] <= STATEMENT_TTL_S * AGE_STEPS_PER_S
    ):
        raise ValueError("malformed host in an announcement of workspaces")
    return pair[0], pair[1]
