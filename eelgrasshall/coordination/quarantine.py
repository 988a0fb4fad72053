"""Requests that crash the backend servers that run them.

When a backend server dies, every request in flight there is a suspect: it is
not hedged and runs again only alone, one at a time.  If a server dies under it
alone, its fingerprint is quarantined on all hosts for minutes; if it is
served, it was innocent.  The hosts tell each other through facts.

A request that goes to S services at once and crashes servers before a hedge
is due kills one server of each service, since nobody knows of it yet.  After
that it kills one for each owner that runs it alone before it has heard of
another owner's finding: S + 1 in all if one host owns every service, at most
2 * S if none of the owners has heard of the others.
"""

import asyncio
from collections.abc import Callable
import enum
import json

from loguru import logger

from eelgrasshall import clock as clocks
from eelgrasshall import errors
from eelgrasshall.protocol import messages

SUSPECT_S = 300.0
QUARANTINE_S = 300.0
SUSPECT_TOPIC = "suspect"
QUARANTINE_TOPIC = "quarantine"


class Verdict(enum.Enum):
    """What may be done with a request."""

    FREE = "free"
    ALONE = "alone"
    REFUSED = "refused"


class Quarantine:
    """Suspected and quarantined fingerprints, as this host knows them.

    Args:
      clock: Source of time.
      publish: Tells the other hosts: topic, key, body.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        publish: Callable[[str, str, bytes], None],
    ):
        self._clock = clock
        self._publish = publish
        self._suspects: dict[str, float] = {}
        self._quarantined: dict[str, float] = {}
        self._turns: dict[str, asyncio.Lock] = {}

    def judge(self, fingerprint: str) -> Verdict:
        """Returns what may be done with a request now."""
        if not self._suspects and not self._quarantined:
            return Verdict.FREE
        self._forget_expired()
        if fingerprint in self._quarantined:
            return Verdict.REFUSED
        if fingerprint in self._suspects:
            return Verdict.ALONE
        return Verdict.FREE

    def turn(self, fingerprint: str) -> asyncio.Lock:
        """Returns the lock that lets a suspect run once at a time."""
        return self._turns.setdefault(fingerprint, asyncio.Lock())

    def suspect(self, fingerprint: str) -> None:
        """Notes that a backend server died with a request in flight."""
        if self.judge(fingerprint) is not Verdict.FREE:
            return
        self._suspects[fingerprint] = self._clock.monotonic() + SUSPECT_S
        self._tell(SUSPECT_TOPIC, fingerprint, SUSPECT_S)
        logger.warning(f"quarantine: Request {fingerprint} is a suspect.")

    def clear(self, fingerprint: str) -> None:
        """Notes that a suspect was served, so that it is innocent."""
        if self._suspects.pop(fingerprint, None) is None:
            return
        self._tell(SUSPECT_TOPIC, fingerprint, 0.0)
        logger.info(f"quarantine: Request {fingerprint} is cleared.")

    def condemn(self, fingerprint: str) -> None:
        """Notes that a backend server died under a suspect alone."""
        self._suspects.pop(fingerprint, None)
        self._quarantined[fingerprint] = self._clock.monotonic() + QUARANTINE_S
        self._tell(QUARANTINE_TOPIC, fingerprint, QUARANTINE_S)
        logger.error(f"quarantine: Request {fingerprint} is quarantined.")

    def explain(self, fingerprint: str) -> errors.Problem:
        """Returns the problem that a quarantined request is refused with."""
        until_s = self._quarantined.get(fingerprint, 0.0)
        left_s = max(0.0, until_s - self._clock.monotonic())
        return errors.Problem(
            errors.ProblemKind.QUARANTINED,
            f"requests.{fingerprint}",
            "Backend servers died while they ran this request.",
            f"Do not repeat it; it is refused for another {left_s:.0f} s.",
        )

    def accept(self, fact: messages.GossipFact) -> None:
        """Takes over what another host found."""
        until_wall_s = _parse_until(fact.body)
        if until_wall_s is None:
            return
        left_s = min(until_wall_s - self._clock.wall(), QUARANTINE_S)
        until_s = self._clock.monotonic() + left_s
        if fact.topic == QUARANTINE_TOPIC:
            self._quarantined[fact.key] = until_s
            self._suspects.pop(fact.key, None)
        elif left_s > 0:
            self._suspects[fact.key] = until_s
        else:
            self._suspects.pop(fact.key, None)

    def dump(self) -> dict:
        """Returns what is suspected and quarantined, with seconds left."""
        now = self._clock.monotonic()
        return {
            "suspects": {
                key: round(until_s - now, 1)
                for key, until_s in self._suspects.items()
            },
            "quarantined": {
                key: round(until_s - now, 1)
                for key, until_s in self._quarantined.items()
            },
        }

    def _forget_expired(self) -> None:
        """Drops what has been held against requests for long enough."""
        now = self._clock.monotonic()
        for held in (self._suspects, self._quarantined):
            for key in [k for k, until_s in held.items() if until_s <= now]:
                del held[key]
        for key, lock in list(self._turns.items()):
            if key not in self._suspects and not lock.locked():
                del self._turns[key]

    def _tell(self, topic: str, fingerprint: str, left_s: float) -> None:
        """Tells the other hosts for how long something holds."""
        until_wall_s = self._clock.wall() + left_s
        body = json.dumps({"until_s": round(until_wall_s, 3)}).encode()
        self._publish(topic, fingerprint, body)


def _parse_until(body: bytes) -> float | None:
    """Reads until when a fact holds, in seconds since the Unix epoch.

    Returns:
      The time, or None if the body is malformed.
    """
    try:
        until_s = json.loads(body)["until_s"]
    except (ValueError, KeyError, TypeError):
        return None
    return until_s if isinstance(until_s, int | float) else None
