"""Facts that hosts tell each other: the newest sequence of a key wins.

A new fact is passed on with the next messages, whoever they go to, a number
of times that grows with the logarithm of the fleet, so the cost of a host
does not grow with the fleet.  What a host has missed all the same, because it
was cut off or has just started, it gets by comparing digests: a digest sums
up the whole table in a few hundred bytes, and only what lies in parts that
differ is sent.

On the wire a fact's body is preceded by the milliseconds that it has left to
live, so that no two hosts need to agree on the time.
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
SENDS_PER_LOG = 3
MAX_BYTES_PER_MESSAGE = 1500
MAX_BYTES_PER_ANSWER = 32768
DIGEST_PARTS = 32
DIGEST_TOPIC = "digest"
# What a fact takes beside its texts.
FACT_OVERHEAD_BYTES = 48
FOREVER_S = math.inf

_HASH_BYTES = 4

Handler = Callable[[messages.GossipFact], None]


class _Entry(NamedTuple):
    """A fact in the table."""

    fact: messages.GossipFact
    expires_at: float
    source: str


class FactTable:
    """Holds the facts and decides which of them go into each message.

    Args:
      clock: The clock.
    """

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._sends_left: dict[tuple[str, str], int] = {}
        self._parts = [0] * DIGEST_PARTS
        self._handlers: dict[str, list[Handler]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._fleet_size = 1
        self.counts: collections.Counter[str] = collections.Counter()

    def subscribe(self, topic: str) -> Callable[[Handler], Handler]:
        """Returns a decorator that registers a handler for new facts."""

        def register(handler: Handler) -> Handler:
            self._handlers.setdefault(topic, []).append(handler)
            return handler

        return register

    def subscribe_news(self, listener: Callable[[], None]) -> None:
        """Registers a callback for when there is something new to pass on."""
        self._listeners.append(listener)

    def set_fleet_size(self, hosts: int) -> None:
        """Tells how many hosts there are."""
        self._fleet_size = max(1, hosts)

    def publish(
        self,
        topic: str,
        key: str,
        body: bytes,
        ttl_s: float,
        sequence: int | None = None,
    ) -> messages.GossipFact:
        """States a fact.

        Args:
          topic: The subsystem that understands it.
          key: What it is about.
          body: JSON bytes.
          ttl_s: Seconds that it lives, `FOREVER_S` for no end.
          sequence: Its sequence; None takes the time of day, or one more
            than the newest sequence known.

        Returns:
          The fact.
        """
        if sequence is None:
            known = self.find_sequence(topic, key)
            sequence = max(known + 1, int(self._clock.wall() * 1000))
        fact = messages.GossipFact(topic, key, sequence, body)
        self._keep(fact, self._clock.monotonic() + ttl_s, "")
        self._tell_listeners()
        return fact

    def find_sequence(self, topic: str, key: str) -> int:
        """Returns the newest sequence known of a key, or 0."""
        entry = self._entries.get((topic, key))
        return entry.fact.sequence if entry else 0

    def find(self, topic: str, key: str) -> messages.GossipFact | None:
        """Returns the newest fact known of a key, in its wire form."""
        entry = self._entries.get((topic, key))
        return self._to_wire(entry) if entry else None

    def collect_for(self, peer: str) -> tuple[messages.GossipFact, ...]:
        """Takes the facts for the next message to a peer, in wire form."""
        self._expire()
        chosen: list[messages.GossipFact] = []
        room = MAX_BYTES_PER_MESSAGE
        # The newest go first, so that news do not wait behind many joins.
        for name, left in reversed(list(self._sends_left.items())):
            entry = self._entries[name]
            if entry.source == peer:
                continue
            fact = self._to_wire(entry)
            size = measure_fact(fact)
            if size > room and chosen:
                break
            room -= size
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
        """Takes facts of a peer and hands what is new to the handlers."""
        news = [
            fact
            for wire in facts
            if (fact := self._merge_one(wire, source)) is not None
        ]
        self.counts["received"] += len(facts)
        self.counts["news"] += len(news)
        for fact in news:
            self._hand_out(fact)
        if news:
            self._tell_listeners()

    def make_digest(self, sender: str) -> messages.GossipFact:
        """Returns the summary of the table, as a fact for a message."""
        self._expire()
        packed = b"".join(
            part.to_bytes(_HASH_BYTES, "big") for part in self._parts
        )
        body = json.dumps(base64.b64encode(packed).decode()).encode()
        return messages.GossipFact(DIGEST_TOPIC, sender, 0, body)

    def answer_digest(
        self, digest: messages.GossipFact
    ) -> tuple[messages.GossipFact, ...]:
        """Returns the facts of the parts in which a peer's digest differs."""
        differing = self._compare(digest)
        if not differing:
            return ()
        room = MAX_BYTES_PER_ANSWER
        answer = []
        for name, entry in self._entries.items():
            if _hash_part(name) not in differing:
                continue
            fact = self._to_wire(entry)
            room -= measure_fact(fact)
            if room < 0:
                break
            answer.append(fact)
        self.counts["sent_for_digests"] += len(answer)
        return tuple(answer)

    def dump(self) -> dict[str, Any]:
        """Returns sizes and counters for the state dump."""
        topics = collections.Counter(topic for topic, _ in self._entries)
        held = sum(measure_fact(e.fact) for e in self._entries.values())
        return {
            "facts": dict(topics),
            "bytes": held,
            "waiting": len(self._sends_left),
            "counts": dict(self.counts),
        }

    def _hand_out(self, fact: messages.GossipFact) -> None:
        """Hands a fact to its handlers; one that fails stops no heartbeat."""
        for handler in self._handlers.get(fact.topic, ()):
            try:
                handler(fact)
            except Exception:
                logger.exception(f"facts: {fact.topic}/{fact.key} failed.")

    def _merge_one(
        self, wire: messages.GossipFact, source: str
    ) -> messages.GossipFact | None:
        """Keeps one fact of a peer if it is new, and returns it unwrapped."""
        if wire.topic == DIGEST_TOPIC:
            return None
        if wire.sequence <= self.find_sequence(wire.topic, wire.key):
            return None
        lifetime, _, body = wire.body.partition(b" ")
        if lifetime == b"-":
            expires_at = FOREVER_S
        elif lifetime.isdigit():
            expires_at = self._clock.monotonic() + int(lifetime) / 1000
        else:
            return None
        fact = wire._replace(body=body)
        self._keep(fact, expires_at, source)
        return fact

    def _keep(
        self, fact: messages.GossipFact, expires_at: float, source: str
    ) -> None:
        """Puts a fact into the table and marks it for passing on."""
        name = (fact.topic, fact.key)
        self._remove(name)
        self._entries[name] = _Entry(fact, expires_at, source)
        self._parts[_hash_part(name)] ^= _hash_fact(fact)
        sends = SENDS_PER_LOG * math.ceil(math.log2(self._fleet_size + 1))
        self._sends_left[name] = max(1, sends)

    def _remove(self, name: tuple[str, str]) -> None:
        """Takes a fact out of the table."""
        entry = self._entries.pop(name, None)
        self._sends_left.pop(name, None)
        if entry is not None:
            self._parts[_hash_part(name)] ^= _hash_fact(entry.fact)

    def _expire(self) -> None:
        """Drops the facts whose time is over."""
        now = self._clock.monotonic()
        over = [n for n, e in self._entries.items() if e.expires_at <= now]
        for name in over:
            self._remove(name)

    def _to_wire(self, entry: _Entry) -> messages.GossipFact:
        """Puts the remaining lifetime before the body."""
        if entry.expires_at == FOREVER_S:
            return entry.fact._replace(body=b"- " + entry.fact.body)
        left_s = max(0.0, entry.expires_at - self._clock.monotonic())
        prefix = f"{int(left_s * 1000)} ".encode()
        return entry.fact._replace(body=prefix + entry.fact.body)

    def _compare(self, digest: messages.GossipFact) -> frozenset[int]:
        """Returns the parts in which a digest differs from the table."""
        self._expire()
        try:
            packed = base64.b64decode(json.loads(digest.body))
        except (ValueError, TypeError):
            return frozenset()
        if len(packed) != DIGEST_PARTS * _HASH_BYTES:
            return frozenset()
        return frozenset(
            index
            for index, own in enumerate(self._parts)
            if own != _read_part(packed, index)
        )

    def _tell_listeners(self) -> None:
        """Tells the listeners that something is new."""
        for listener in self._listeners:
            listener()


def measure_fact(fact: messages.GossipFact) -> int:
    """Returns about how many bytes a fact takes in a message."""
    texts = len(fact.topic) + len(fact.key) + len(fact.body)
    return FACT_OVERHEAD_BYTES + texts


def find_digest(message: messages.Gossip) -> messages.GossipFact | None:
    """Returns the digest in a message."""
    digests = (fact for fact in message.facts if fact.topic == DIGEST_TOPIC)
    return next(digests, None)


def _hash_part(name: tuple[str, str]) -> int:
    """Returns the part of the digest that a key belongs to."""
    return _hash("/".join(name)) % DIGEST_PARTS


def _hash_fact(fact: messages.GossipFact) -> int:
    """Returns what a fact adds to its part of the digest."""
    return _hash(f"{fact.topic}/{fact.key}/{fact.sequence}")


def _hash(text: str) -> int:
    """Returns a short hash that is the same on every host."""
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def _read_part(packed: bytes, index: int) -> int:
    """Returns one part of a packed digest."""
    start = index * _HASH_BYTES
    return int.from_bytes(packed[start : start + _HASH_BYTES], "big")
