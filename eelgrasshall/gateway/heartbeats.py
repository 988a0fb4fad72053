"""Heartbeats of entry hosts and their encoding.

A datagram consists of a header, which is a line of JSON about its sender, and
a table with the heartbeats of other hosts in two bytes each.  The entries of
the table are in the order of the hosts' names, or each of them carries a
checksum of the name.
"""

import enum
import functools
import json
import math
import struct
from typing import NamedTuple

from eelgrasshall.gateway import model

# A table entry is the beat and a status byte.  In a named table, the checksum
# of the host's name comes first.
ENTRY = struct.Struct("!BB")
NAMED_ENTRY = struct.Struct("!IBB")
MAX_RATE = 0xFFFF
# Highest rate level of a status byte.  Level n stands for a rate of
# sqrt(2) ** (n - 1), and level 0 for a rate of 0.
MAX_LEVEL = 31
# A ready host that reaches no backend server has no rate.  A header states this
# one, which hosts of earlier versions read as 0; in a table it has the
# state of a host that was not heard, with this level.
UNLINKED_RATE = -1
UNLINKED_LEVEL = 1
# Beats are counted modulo this.  A beat is newer than another one if it is less
# than half of this ahead.
BEAT_MODULUS = 0x100


class State(enum.IntEnum):
    """The state that a host reports; the value is its encoding."""

    JOINING = 0
    READY = 1
    LEAVING = 2
    # Marks the table entry of a host that has sent no heartbeat yet.
    UNHEARD = 3


class Heartbeat(NamedTuple):
    """The status that a host reports of itself.

    Attributes:
      beat: Sequence number of the heartbeat, modulo 256.
      state: Whether the host serves requests.
      reaches_store: Whether it watches the store and gets answers.
      attempts_per_s: Attempts per second that it sends to backend servers.
      reaches_servers: Whether it reaches backend servers at all.
    """

    beat: int
    state: State
    reaches_store: bool
    attempts_per_s: int
    reaches_servers: bool = True


class Header(NamedTuple):
    """The part of a datagram before the table.

    Attributes:
      host: The sender.
      incarnation: Differs from that of earlier processes of the sender.
      heartbeat: The sender's own heartbeat.
      gossip: Further data that the heartbeat carries.
      digest: Checksum of the names of all hosts that the sender knows.
      named: Whether each entry of the table carries a checksum of the name.
    """

    host: model.Host
    incarnation: int
    heartbeat: Heartbeat
    gossip: list
    digest: int
    named: bool


UNHEARD = Heartbeat(0, State.UNHEARD, False, 0)


def is_newer(beat: int, other: int) -> bool:
    """Returns whether a beat is newer than another one of the same host."""
    return 0 < (beat - other) % BEAT_MODULUS < BEAT_MODULUS // 2


def encode_entry(heartbeat: Heartbeat) -> tuple[int, int]:
    """Returns the beat and the status byte of a heartbeat.

    The rate is rounded to the nearest power of the square root of two.
    """
    return heartbeat.beat, _pack_status(*heartbeat[1:])


def decode_entry(beat: int, status: int) -> Heartbeat:
    """Decodes the result of `encode_entry`."""
    return Heartbeat(beat, *_unpack_status(status))


@functools.lru_cache(maxsize=4096)
def _pack_status(
    state: State,
    reaches_store: bool,
    attempts_per_s: int,
    reaches_servers: bool,
) -> int:
    """Packs all fields of a heartbeat but the beat into one byte."""
    level = 0
    if state is State.READY and not reaches_servers:
        state, level = State.UNHEARD, UNLINKED_LEVEL
    elif attempts_per_s:
        level = min(round(2 * math.log2(attempts_per_s)) + 1, MAX_LEVEL)
    return state | reaches_store << 2 | level << 3


@functools.lru_cache(maxsize=256)
def _unpack_status(status: int) -> tuple[State, bool, int, bool]:
    """Unpacks a status byte."""
    state, level = State(status & 3), status >> 3
    if state is State.UNHEARD and level:
        return State.READY, bool(status & 4), 0, False
    rate = round(2 ** ((level - 1) / 2)) if level else 0
    return state, bool(status & 4), rate, True


def encode_header(header: Header) -> bytes:
    """Encodes the header of a datagram."""
    host = header.host
    beat, state, reaches_store, rate, reaches_servers = header.heartbeat
    if not reaches_servers:
        rate = UNLINKED_RATE
    fields = [
        host.name,
        host.zone,
        str(host.caller_address),
        str(host.control_address),
        str(host.peer_address),
        host.cores,
        host.link_mbps,
        header.incarnation,
        [beat, state, reaches_store, rate],
        header.gossip,
        header.digest,
        header.named,
    ]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_header(data: bytes) -> Header:
    """Decodes the header of a datagram.

    Raises:
      ValueError: The header is malformed.
      TypeError: The header is malformed.
    """
    try:
        fields = json.loads(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    name, zone, caller, control, peer, cores, link_mbps = fields[:7]
    incarnation, (beat, state, reaches_store, rate), gossip = fields[7:10]
    digest, named = fields[10:]
    texts = (name, zone, caller, control, peer)
    if not (all(isinstance(text, str) for text in texts) and name and zone):
        raise TypeError("a name or an address is no text")
    if not all(isinstance(n, int) for n in (incarnation, digest, beat, rate)):
        raise TypeError("a number is not whole")
    if not all(0.0 <= float(n) < math.inf for n in (cores, link_mbps)):
        raise ValueError("a size is out of range")
    if not isinstance(gossip, list):
        raise TypeError("the gossip is no list")
    host = model.Host(
        name=name,
        zone=zone,
        caller_address=model.parse_address(caller),
        control_address=model.parse_address(control),
        peer_address=model.parse_address(peer),
        cores=float(cores),
        link_mbps=float(link_mbps),
    )
    heartbeat = Heartbeat(
        int(beat) % BEAT_MODULUS,
        State(state),
        bool(reaches_store),
        min(max(int(rate), 0), MAX_RATE),
        int(rate) != UNLINKED_RATE,
    )
    return Header(host, incarnation, heartbeat, gossip, digest, bool(named))
