"""Quarantine of requests that crash the backend servers that run them.

When a backend server dies, every request in flight on it becomes a suspect.
A suspect is not hedged, and it runs again only in isolation: one suspect at a
time, with nothing else in flight on its server.  If a server dies while it runs
an isolated suspect, the request's fingerprint is quarantined on all hosts for
`QUARANTINE_TTL_S`.  If the suspect is served, it is cleared.  Hosts share
suspects and quarantined requests through gossip.

A request that is sent to S services at once and crashes servers before a hedge
is due crashes one server of each service, because nothing is known of it yet.
After that, it crashes one more for each owner that runs it in isolation before
receiving the quarantine fact of another owner: S + 1 in total if one host owns
all services, at most 2 * S if no owner receives such a fact in time.
"""

import asyncio
from collections.abc import Callable
import enum
import json

from loguru import logger

from eelgrasshall import clock as clocks
from eelgrasshall import errors
from eelgrasshall.protocol import messages

SUSPECT_TTL_S = 300.0
QUARANTINE_TTL_S = 300.0
SUSPECT_TOPIC = "suspect"
QUARANTINE_TOPIC = "quarantine"


class Decision(enum.Enum):
    """How a request may be run.

    Attributes:
      FREE: Without restriction.
      ALONE: Only in isolation, since it is a suspect.
      REFUSED: Not at all, since it is quarantined.
    """

    FREE = "free"
    ALONE = "alone"
    REFUSED = "refused"


class Quarantine:
    """The suspects and quarantined requests known to this host.

    Args:
      clock: Source of time.
      publish: Sends a gossip fact to the other hosts: topic, key, body.
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
        self._isolation_locks: dict[str, asyncio.Lock] = {}

    def check(self, fingerprint: str) -> Decision:
        """Returns how a request may be run now."""
        if not self._suspects and not self._quarantined:
            return Decision.FREE
        self._remove_expired()
        if fingerprint in self._quarantined:
            return Decision.REFUSED
        if fingerprint in self._suspects:
            return Decision.ALONE
        return Decision.FREE

    def get_isolation_lock(self, fingerprint: str) -> asyncio.Lock:
        """Returns the lock that serializes the runs of one suspect."""
        return self._isolation_locks.setdefault(fingerprint, asyncio.Lock())

    def add_suspect(self, fingerprint: str) -> None:
        """Adds a request that was in flight when its backend server died."""
        if self.check(fingerprint) is not Decision.FREE:
            return
        self._suspects[fingerprint] = self._clock.monotonic() + SUSPECT_TTL_S
        self._publish_expiry(SUSPECT_TOPIC, fingerprint, SUSPECT_TTL_S)
        logger.warning(
            f"quarantine: A server died; request {fingerprint} is a suspect."
        )

    def clear_suspect(self, fingerprint: str) -> None:
        """Removes a suspect that was served."""
        if self._suspects.pop(fingerprint, None) is None:
            return
        self._publish_expiry(SUSPECT_TOPIC, fingerprint, 0.0)
        logger.info(f"quarantine: Request {fingerprint} is cleared.")

    def add(self, fingerprint: str) -> None:
        """Quarantines a suspect whose server died while it ran in isolation."""
        self._suspects.pop(fingerprint, None)
        self._quarantined[fingerprint] = (
            self._clock.monotonic() + QUARANTINE_TTL_S
        )
        self._publish_expiry(QUARANTINE_TOPIC, fingerprint, QUARANTINE_TTL_S)
        logger.error(f"quarantine: Request {fingerprint} is quarantined.")

    def describe_rejection(self, fingerprint: str) -> errors.Problem:
        """Returns the problem with which a request is rejected."""
        until_s = self._quarantined.get(fingerprint, 0.0)
        remaining_s = max(0.0, until_s - self._clock.monotonic())
        return errors.Problem(
            errors.ProblemKind.QUARANTINED,
            f"requests.{fingerprint}",
            "Backend servers crashed while they ran this request.",
            "Do not send it again; it is rejected for another "
            f"{remaining_s:.0f} s.",
        )

    def add_gossip(self, fact: messages.GossipFact) -> None:
        """Applies a suspect or quarantine fact of another host."""
        until_wall_s = _parse_until(fact.body)
        if until_wall_s is None:
            return
        remaining_s = min(until_wall_s - self._clock.wall(), QUARANTINE_TTL_S)
        until_s = self._clock.monotonic() + remaining_s
        if fact.topic == QUARANTINE_TOPIC:
            self._quarantined[fact.key] = until_s
            self._suspects.pop(fact.key, None)
        elif remaining_s > 0:
            self._suspects[fact.key] = until_s
        else:
            self._suspects.pop(fact.key, None)

    def dump(self) -> dict:
        """Returns the remaining seconds of all entries, as plain values."""
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

    def _remove_expired(self) -> None:
        """Removes expired entries and the locks that they leave unused."""
        now = self._clock.monotonic()
        for entries in (self._suspects, self._quarantined):
            for key in [k for k, until_s in entries.items() if until_s <= now]:
                del entries[key]
        for key, lock in list(self._isolation_locks.items()):
            if key not in self._suspects and not lock.locked():
                del self._isolation_locks[key]

    def _publish_expiry(
        self, topic: str, fingerprint: str, remaining_s: float
    ) -> None:
        """Publishes a fact that expires after `remaining_s` seconds."""
        until_wall_s = self._clock.wall() + remaining_s
        body = json.dumps({"until_s": round(until_wall_s, 3)}).encode()
        self._publish(topic, fingerprint, body)


def _parse_until(body: bytes) -> float | None:
    """Parses the expiry time of a fact.

    Returns:
      Seconds since the Unix epoch, or None if the body is malformed.
    """
    try:
        until_s = json.loads(body)["until_s"]
    except (ValueError, KeyError, TypeError):
        return None
    return until_s if isinstance(until_s, int | float) else None
