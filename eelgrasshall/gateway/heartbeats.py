"""Heartbeats of entry hosts as values and as bytes.

A datagram holds a line of JSON, in which its sender speaks of itself, and a
table of the heartbeats of other hosts in two bytes each.  The table goes by
the order of the hosts' names, or gives a checksum of the name with each.
"""

import enum
import functools
import json
import math
import struct
from typing import NamedTuple

from eelgrasshall.gateway import model

# An entry of a table: number of the beat, packed rest.  The second form begins
# with a checksum of the name.
ENTRY = struct.Struct("!BB")
NAMED_ENTRY = struct.Struct("!IBB")
MAX_RATE = 0xFFFF
# Greatest rate in a table, as a power of the square root of two, plus one.
MAX_LEVEL = 31
# Beats are counted modulo this; the newer half of it counts as newer.
BEATS = 0x100


class State(enum.IntEnum):
    """What a host says of itself; the value is its form on the wire."""

    JOINING = 0
    READY = 1
    LEAVING = 2
    # Fills the place of a host in a table of which nothing was heard.
    UNHEARD = 3


class Heartbeat(NamedTuple):
    """What a host says of itself.

    Attributes:
      beat: Counts its heartbeats, modulo 256.
      state: Whether it serves.
      reaches_store: Whether it watches the store and is answered.
      attempts_per_s: Attempts a second that it sends to backend servers.
    """

    beat: int
    state: State
    reaches_store: bool
    attempts_per_s: int


class Message(NamedTuple):
    """What a datagram says before the table of heartbeats.

    Attributes:
      host: The sender.
      incarnation: Differs from that of the sender's earlier processes.
      heartbeat: The sender's own heartbeat.
      news: What else it carries.
      digest: Checksum of the names of all hosts that the sender knows.
      named: Whether the table has a checksum of the name with each entry.
    """

    host: model.Host
    incarnation: int
    heartbeat: Heartbeat
    news: list
    digest: int
    named: bool


UNHEARD = Heartbeat(0, State.UNHEARD, False, 0)


def is_newer(beat: int, other: int) -> bool:
    """Returns whether a number is newer than another of the same host."""
    return 0 < (beat - other) % BEATS < BEATS // 2


def encode_entry(heartbeat: Heartbeat) -> tuple[int, int]:
    """Returns a heartbeat's beat, and the rest of it in one byte.

    The rate is kept to the nearest power of the square root of two.
    """
    return heartbeat.beat, _pack_rest(*heartbeat[1:])


def parse_entry(beat: int, rest: int) -> Heartbeat:
    """Reads a heartbeat that `encode_entry` packed."""
    return Heartbeat(beat, *_unpack_rest(rest))


@functools.lru_cache(maxsize=4096)
def _pack_rest(state: State, reaches_store: bool, attempts_per_s: int) -> int:
    """Packs all but the beat."""
    level = 0
    if attempts_per_s:
        level = min(round(2 * math.log2(attempts_per_s)) + 1, MAX_LEVEL)
    return state | reaches_store << 2 | level << 3


@functools.lru_cache(maxsize=256)
def _unpack_rest(rest: int) -> tuple[State, bool, int]:
    """Unpacks what `_pack_rest` packed."""
    level = rest >> 3
    rate = round(2 ** ((level - 1) / 2)) if level else 0
    return State(rest & 3), bool(rest & 4), rate


def encode_head(message: Message) -> bytes:
    """Returns what a datagram says before its table."""
    host = message.host
    fields = [
        host.name,
        host.zone,
        str(host.caller_address),
        str(host.control_address),
        str(host.peer_address),
        host.cores,
        host.link_mbps,
        message.incarnation,
        message.heartbeat,
        message.news,
        message.digest,
        message.named,
    ]
    return json.dumps(fields, separators=(",", ":")).encode()


def parse_head(data: bytes) -> Message:
    """Reads what a datagram says before its table.

    Raises:
      ValueError: It has another form.
      TypeError: It has another form.
    """
    fields = json.loads(data)
    name, zone, callers, control, own_peers, cores, link_mbps = fields[:7]
    incarnation, (beat, state, reaches_store, rate), news = fields[7:10]
    digest, named = fields[10:]
    host = model.Host(
        name=name,
        zone=zone,
        caller_address=model.parse_address(callers),
        control_address=model.parse_address(control),
        peer_address=model.parse_address(own_peers),
        cores=float(cores),
        link_mbps=float(link_mbps),
    )
    heartbeat = Heartbeat(
        int(beat) % BEATS,
        State(state),
        bool(reaches_store),
        min(max(int(rate), 0), MAX_RATE),
    )
    return Message(host, incarnation, heartbeat, news, digest, bool(named))
