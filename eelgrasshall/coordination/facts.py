"""Gossip facts: for each key, the one with the highest sequence wins.

A new fact is sent with the next messages, whoever receives them, a number of
times that grows with the logarithm of the fleet's size, so the cost of gossip
hardly grows with the fleet.  A host that has missed facts, because it was
partitioned or has just started, gets them by anti-entropy: a digest of a few
hundred bytes hashes the whole table into buckets, and only the facts in the
buckets that differ are sent.

On the wire, a fact's body is preceded by its remaining lifetime in
milliseconds, so that hosts need no synchronized clocks.
"""

import base64
import collections
from collections.abc import Callable
import hashlib
import json
import math
from typing import Any
from typing import NamedTuple

from loguru import logger

from eelgrasshall import clock as clock_module
from eelgrasshall.protocol import messages

# A fact is sent this many times the base-2 logarithm of the fleet's size.
RETRANSMIT_MULTIPLIER = 3
MAX_BYTES_PER_MESSAGE = 1500
MAX_BYTES_PER_DIGEST_REPLY = 32768
DIGEST_BUCKETS = 32
DIGEST_TOPIC = "digest"
# Estimated size of a fact without its topic, key and body.
FACT_OVERHEAD_BYTES = 48
NO_EXPIRY_S = math.inf

_HASH_BYTES = 4

Handler = Callable[[messages.GossipFact], None]


class _Entry(NamedTuple):
    """A fact in the table.

    Attributes:
      fact: The fact, without a lifetime before its body.
      expires_at: When it expires, on the monotonic clock in seconds.
      source: The peer that sent it; empty if this host published it.
    """

    fact: messages.GossipFact
    expires_at: float
    source: str


class FactTable:
    """Holds the facts and selects which of them go into each message.

    Args:
      clock: The clock.
    """

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._sends_left: dict[tuple[str, str], int] = {}
        self._buckets = [0] * DIGEST_BUCKETS
        self._handlers: dict[str, list[Handler]] = {}
        self._update_listeners: list[Callable[[], None]] = []
        self._fleet_size = 1
        self.counts: collections.Counter[str] = collections.Counter()

    def subscribe(self, topic: str) -> Callable[[Handler], Handler]:
        """Returns a decorator that registers a handler for new facts."""

        def register(handler: Handler) -> Handler:
            self._handlers.setdefault(topic, []).append(handler)
            return handler

        return register

    def subscribe_updates(self, listener: Callable[[], None]) -> None:
        """Registers a callback for when there are new facts to send."""
        self._update_listeners.append(listener)

    def set_fleet_size(self, hosts: int) -> None:
        """Sets the number of hosts, which determines the retransmissions."""
        self._fleet_size = max(1, hosts)

    def publish(
        self,
        topic: str,
        key: str,
        body: bytes,
        ttl_s: float,
        sequence: int | None = None,
    ) -> messages.GossipFact:
        """Publishes a fact.

        Args:
          topic: The subsystem that handles it.
          key: What it is about.
          body: JSON bytes.
          ttl_s: Its time to live in seconds; `NO_EXPIRY_S` for no limit.
          sequence: Its sequence; None takes the wall clock in milliseconds,
            or one more than the highest sequence known, if that is higher.

        Returns:
          The fact.
        """
        if sequence is None:
            known = self.find_sequence(topic, key)
            sequence = max(known + 1, int(self._clock.wall() * 1000))
        fact = messages.GossipFact(topic, key, sequence, body)
        self._store(fact, self._clock.monotonic() + ttl_s, "")
        self._notify_update_listeners()
        return fact

    def find_sequence(self, topic: str, key: str) -> int:
        """Returns the highest sequence known for a key, or 0."""
        entry = self._entries.get((topic, key))
        return entry.fact.sequence if entry else 0

    def find(self, topic: str, key: str) -> messages.GossipFact | None:
        """Returns the newest fact known for a key, in its wire form."""
        entry = self._entries.get((topic, key))
        return self._to_wire(entry) if entry else None

    def collect_for(self, peer: str) -> tuple[messages.GossipFact, ...]:
        """Returns the facts for the next message to a peer, in wire form.

        Each returned fact uses up one of its retransmissions.
        """
        self._expire()
        chosen: list[messages.GossipFact] = []
        remaining_bytes = MAX_BYTES_PER_MESSAGE
        # The newest go first, so that urgent facts do not wait behind the
        # many that joining hosts cause.
        for name, left in reversed(list(self._sends_left.items())):
            entry = self._entries[name]
            if entry.source == peer:
                continue
            fact = self._to_wire(entry)
            size = estimate_size(fact)
            if size > remaining_bytes and chosen:
                break
            remaining_bytes -= size
            chosen.append(fact)
            if left <= 1:
                del self._sends_left[name]
            else:
                self._sends_left[name] = left - 1
        self.counts["sent"] += len(chosen)
        return tuple(chosen)

    def merge(
        self, facts: tuple[messages.GossipFact, ...], source: str = ""
    ) -> None:
        """Stores the new ones of a peer's facts and calls their handlers."""
        updates = [
            fact
            for wire in facts
            if (fact := self._merge_one(wire, source)) is not None
        ]
        self.counts["received"] += len(facts)
        self.counts["news"] += len(updates)
        for fact in updates:
            self._call_handlers(fact)
        if updates:
            self._notify_update_listeners()

    def make_digest(self, sender: str) -> messages.GossipFact:
        """Returns the digest of the table, as a fact for a message."""
        self._expire()
        packed = b"".join(
            bucket.to_bytes(_HASH_BYTES, "big") for bucket in self._buckets
        )
        body = json.dumps(base64.b64encode(packed).decode()).encode()
        return messages.GossipFact(DIGEST_TOPIC, sender, 0, body)

    def answer_digest(
        self, digest: messages.GossipFact
    ) -> tuple[messages.GossipFact, ...]:
        """Returns the facts in the buckets that differ in a peer's digest."""
        differing = self._find_differing_buckets(digest)
        if not differing:
            return ()
        remaining_bytes = MAX_BYTES_PER_DIGEST_REPLY
        answer = []
        for name, entry in self._entries.items():
            if _choose_bucket(name) not in differing:
                continue
            fact = self._to_wire(entry)
            remaining_bytes -= estimate_size(fact)
            if remaining_bytes < 0:
                break
            answer.append(fact)
        self.counts["sent_for_digests"] += len(answer)
        return tuple(answer)

    def dump(self) -> dict[str, Any]:
        """Returns sizes and counters for the state dump."""
        topics = collections.Counter(topic for topic, _ in self._entries)
        held = sum(estimate_size(e.fact) for e in self._entries.values())
        return {
            "facts": dict(topics),
            "bytes": held,
            "waiting": len(self._sends_left),
            "counts": dict(self.counts),
        }

    def _call_handlers(self, fact: messages.GossipFact) -> None:
        """Calls a fact's handlers; their errors do not stop the heartbeat."""
        for handler in self._handlers.get(fact.topic, ()):
            try:
                handler(fact)
            except Exception:
                logger.exception(
                    f"facts: Handling {fact.topic}/{fact.key} failed."
                )

    def _merge_one(
        self, wire: messages.GossipFact, source: str
    ) -> messages.GossipFact | None:
        """Stores a peer's fact if it is new; returns it without lifetime."""
        if wire.topic == DIGEST_TOPIC:
            return None
        if wire.sequence <= self.find_sequence(wire.topic, wire.key):
            return None
        lifetime, _, body = wire.body.partition(b" ")
        if lifetime == b"-":
            expires_at = NO_EXPIRY_S
        elif lifetime.isdigit():
            expires_at = self._clock.monotonic() + int(lifetime) / 1000
        else:
            return None
        fact = wire._replace(body=body)
        self._store(fact, expires_at, source)
        return fact

    def _store(
        self, fact: messages.GossipFact, expires_at: float, source: str
    ) -> None:
        """Stores a fact and schedules its retransmissions."""
        name = (fact.topic, fact.key)
        self._remove(name)
        self._entries[name] = _Entry(fact, expires_at, source)
        self._buckets[_choose_bucket(name)] ^= _hash_fact(fact)
        sends = RETRANSMIT_MULTIPLIER * math.ceil(
            math.log2(self._fleet_size + 1)
        )
        self._sends_left[name] = max(1, sends)

    def _remove(self, name: tuple[str, str]) -> None:
        """Removes a fact from the table."""
        entry = self._entries.pop(name, None)
        self._sends_left.pop(name, None)
        if entry is not None:
            self._buckets[_choose_bucket(name)] ^= _hash_fact(entry.fact)

    def _expire(self) -> None:
        """Removes the facts that have expired."""
        now = self._clock.monotonic()
        expired = [n for n, e in self._entries.items() if e.expires_at <= now]
        for name in expired:
            self._remove(name)

    def _to_wire(self, entry: _Entry) -> messages.GossipFact:
        """Returns a fact with its remaining lifetime before the body."""
        if entry.expires_at == NO_EXPIRY_S:
            return entry.fact._replace(body=b"- " + entry.fact.body)
        remaining_s = max(0.0, entry.expires_at - self._clock.monotonic())
        prefix = f"{int(remaining_s * 1000)} ".encode()
        return entry.fact._replace(body=prefix + entry.fact.body)

    def _find_differing_buckets(
        self, digest: messages.GossipFact
    ) -> frozenset[int]:
        """Returns the buckets that differ; none if the digest is malformed."""
        self._expire()
        try:
            packed = base64.b64decode(json.loads(digest.body))
        except (ValueError, TypeError):
            return frozenset()
        if len(packed) != DIGEST_BUCKETS * _HASH_BYTES:
            return frozenset()
        return frozenset(
            index
            for index, own in enumerate(self._buckets)
            if own != _unpack_bucket(packed, index)
        )

    def _notify_update_listeners(self) -> None:
        """Calls the listeners that wait for new facts."""
        for listener in self._update_listeners:
            listener()


def estimate_size(fact: messages.GossipFact) -> int:
    """Returns the approximate size of a fact in a message, in bytes."""
    texts = len(fact.topic) + len(fact.key) + len(fact.body)
    return FACT_OVERHEAD_BYTES + texts


def find_digest(message: messages.Gossip) -> messages.GossipFact | None:
    """Returns the digest in a message, or None."""
    digests = (fact for fact in message.facts if fact.topic == DIGEST_TOPIC)
    return next(digests, None)


def _choose_bucket(name: tuple[str, str]) -> int:
    """Returns the digest bucket of a topic and key."""
    return _hash("/".join(name)) % DIGEST_BUCKETS


def _hash_fact(fact: messages.GossipFact) -> int:
    """Returns the hash that a fact contributes to its digest bucket."""
    return _hash(f"{fact.topic}/{fact.key}/{fact.sequence}")


def _hash(text: str) -> int:
    """Returns a short hash that is the same on every host."""
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def _unpack_bucket(packed: bytes, index: int) -> int:
    """Returns one bucket of a packed digest."""
    start = index * _HASH_BYTES
    return int.from_bytes(packed[start : start + _HASH_BYTES], "big")
