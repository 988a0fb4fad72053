"""Requests that crash the backend servers that run them.

A server has crashed if a connection is lost with a request on it and no new
one can be opened a moment later.  Each request that was running there is
blamed.  One that is blamed for several servers and in several tries of its
caller is refused for a while; an innocent one that ran beside a crash is not,
since servers that fail together are blamed on it in one try only.  Hosts tell
each other whom they blame, as callers come back at any of them.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Time after a lost connection within which a refused one means a crash.
CONFIRM_S = 1.0
# Servers and tries of the caller for which a request must be blamed.
LEAST_SERVERS = 3
LEAST_TRIES = 2
# How long blame lasts: callers that are going to come back have done so.
REMEMBER_S = 60.0
# How long, and how many, blames are told to other hosts.
TELL_S = 5.0
MOST_TOLD = 4
# Requests that are remembered at most.
MOST_REMEMBERED = 1000


class Blame(NamedTuple):
    """A crash for which a request is blamed.

    Attributes:
      fingerprint: What stays the same when its caller sends it again.
      request_id: The try.
      server_id: The server.
    """

    fingerprint: str
    request_id: str
    server_id: str


class _Lost(NamedTuple):
    """A request whose connection was lost, and when."""

    fingerprint: str
    request_id: str
    at_s: float


class Quarantine:
    """The requests that this host has reason to blame."""

    def __init__(self):
        self._lost: dict[str, list[_Lost]] = {}
        self._blames: dict[str, dict[Blame, float]] = {}

    def note_lost(
        self, server_id: str, fingerprint: str, request_id: str, now: float
    ) -> None:
        """Notes a request whose connection to a server was lost."""
        kept = [
            each
            for each in self._lost.get(server_id, ())
            if now - each.at_s < CONFIRM_S
        ]
        self._lost[server_id] = [*kept, _Lost(fingerprint, request_id, now)]

    def note_down(self, server_id: str, now: float) -> list[Blame]:
        """Notes that a server cannot be reached.

        Returns:
          The requests that are blamed for it now.
        """
        blames = [
            Blame(each.fingerprint, each.request_id, server_id)
            for each in self._lost.pop(server_id, ())
            if now - each.at_s < CONFIRM_S
        ]
        for blame in blames:
            self.take(blame, now)
        return blames

    def take(self, blame: Blame, now: float) -> None:
        """Keeps a blame, of this host or another."""
        self._forget(now)
        if len(self._blames) < MOST_REMEMBERED:
            self._blames.setdefault(blame.fingerprint, {}).setdefault(
                blame, now
            )

    def is_blaming(self) -> bool:
        """Returns whether any request is blamed at all."""
        return bool(self._blames)

    def refuses(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request is not to be run."""
        blames = [
            blame
            for blame, at_s in self._blames.get(fingerprint, {}).items()
            if now - at_s < REMEMBER_S
        ]
        servers = {blame.server_id for blame in blames}
        tries = {blame.request_id for blame in blames}
        return len(servers) >= LEAST_SERVERS and len(tries) >= LEAST_TRIES

    def list_told(self, now: float) -> list[Blame]:
        """Returns the blames that other hosts should hear."""
        recent = [
            blame
            for blames in self._blames.values()
            for blame, at_s in blames.items()
            if now - at_s < TELL_S
        ]
        return recent[-MOST_TOLD:]

    def take_told(self, told: Iterable[list[str]], now: float) -> None:
        """Takes the blames of another host.

        Raises:
          TypeError: They have another form.
        """
        for fields in told:
            self.take(Blame(*fields), now)

    def _forget(self, now: float) -> None:
        """Drops blames that are too old."""
        for fingerprint, blames in list(self._blames.items()):
            if all(now - at_s >= REMEMBER_S for at_s in blames.values()):
                del self._blames[fingerprint]
