"""Heartbeats between entry hosts, by datagrams.

Each host tells others that it lives, in which state, and what it knows.  A
small fleet hears every host directly.  In a large one a host tells a few
random others in each period and passes on some of the heartbeats that it has
heard, so that its cost does not grow with the fleet.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import enum
import json
import random as random_module
import struct
from typing import NamedTuple
import zlib

from eelgrasshall.gateway import listening
from eelgrasshall.gateway import model
from eelgrasshall.gateway import working

# Hosts up to which everyone is told directly.
DIRECT_HOSTS = 16
# Period of heartbeats in a small fleet: a dead host is noticed within a few.
DIRECT_PERIOD_S = 0.25
# Silence after which a host counts as dead: several lost datagrams.
DIRECT_SILENCE_S = 1.2
# The same in a larger fleet, where news take a few periods to get around.
SPREAD_PERIOD_S = 0.5
SPREAD_SILENCE_S = 4.0
# Heartbeats of others that one datagram passes on; more do not fit into one
# packet with what else it carries.
MAX_PASSED_ON = 60

# Checksum of the name, start of the process in seconds, number of the beat,
# state, whether the store answers, attempts a second.
_ENTRY = struct.Struct("!IIHBBH")
_MAX_RATE = 0xFFFF
_BEATS = 0x10000


class State(enum.IntEnum):
    """What a host says of itself; the value is its form on the wire."""

    JOINING = 0
    READY = 1
    LEAVING = 2


class Heartbeat(NamedTuple):
    """What a host says of itself.

    Attributes:
      incarnation: Start of its process, Unix seconds.
      beat: Counts the heartbeats of this incarnation.
      state: Whether it serves.
      reaches_store: Whether it watches the store and is answered.
      attempts_per_s: Attempts a second that it sends to backend servers.
    """

    incarnation: int
    beat: int
    state: State
    reaches_store: bool
    attempts_per_s: int


class _Heard(NamedTuple):
    """A heartbeat and the monotonic time at which it came, in seconds."""

    heartbeat: Heartbeat
    at_s: float


class Peers(asyncio.DatagramProtocol):
    """The heartbeats of this host and of the others.

    Args:
      own: This host.
      incarnation: Start of this process, Unix seconds.
      loop: The event loop.
      random: The source of chance.
      reaches_store: Returns whether this host is answered by the store.
      read_rate: Returns the attempts a second that this host makes.
      read_news: Returns what else each heartbeat carries.
      take_news: Takes what a heartbeat of a host carried.
      note_hosts: Is called when the hosts known have changed.
    """

    def __init__(
        self,
        *,
        own: model.Host,
        incarnation: int,
        loop: asyncio.AbstractEventLoop,
        random: random_module.Random,
        reaches_store: Callable[[], bool],
        read_rate: Callable[[], float],
        read_news: Callable[[], list],
        take_news: Callable[[str, list], None],
        note_hosts: Callable[[], None],
    ):
        self.state = State.JOINING
        self._own = own
        self._incarnation = incarnation
        self._loop = loop
        self._random = random
        self._reaches_store = reaches_store
        self._read_rate = read_rate
        self._read_news = read_news
        self._take_news = take_news
        self._note_hosts = note_hosts
        self._hosts: dict[str, model.Host] = {}
        self._heard: dict[int, _Heard] = {}
        self._beat = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Opens the socket and begins to send.

        Raises:
          OSError: The address cannot be bound.
        """
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=tuple(self._own.peers)
        )
        self._tick()

    def stop(self) -> None:
        """Closes the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def add_host(self, host: model.Host) -> None:
        """Learns of a host; it counts as alive once it has been heard."""
        if host.name == self._own.name or self._hosts.get(host.name) == host:
            return
        self._hosts[host.name] = host
        self._note_hosts()
        if not self._is_large:
            self._send_to([host])

    def remove_host(self, name: str) -> None:
        """Forgets a host."""
        self._hosts.pop(name, None)
        self._heard.pop(_hash_name(name), None)
        self._note_hosts()

    @property
    def known(self) -> int:
        """Number of hosts known, alive or not, with this one."""
        return len(self._hosts) + 1

    def find(self, name: str) -> model.Host | None:
        """Returns a host by its name."""
        return self._hosts.get(name)

    def list_hosts(self) -> list[model.Host]:
        """Returns the other hosts known, alive or not."""
        return list(self._hosts.values())

    def list_alive(
        self, state: State | None = None
    ) -> list[tuple[model.Host, Heartbeat]]:
        """Returns the other hosts that were heard lately."""
        silence_s = SPREAD_SILENCE_S if self._is_large else DIRECT_SILENCE_S
        oldest_s = self._loop.time() - silence_s
        return [
            (host, heard.heartbeat)
            for name, host in self._hosts.items()
            if (heard := self._heard.get(_hash_name(name))) is not None
            and heard.at_s >= oldest_s
            and (state is None or heard.heartbeat.state is state)
        ]

    def list_candidates(self) -> list[listening.Candidate]:
        """Returns the other hosts that may listen to the store."""
        return [
            listening.Candidate(host.name, host.zone, heartbeat.reaches_store)
            for host, heartbeat in self.list_alive(State.READY)
        ]

    def list_loads(self) -> list[working.Load]:
        """Returns all hosts that are ready, with this one."""
        loads = [
            working.Load(host, heartbeat.attempts_per_s)
            for host, heartbeat in self.list_alive(State.READY)
        ]
        if self.state is State.READY:
            loads.append(working.Load(self._own, self._read_rate()))
        return loads

    def announce(self, state: State) -> None:
        """Changes this host's state and tells all hosts at once."""
        self.state = state
        self._beat += 1
        self._send_to(self._hosts.values())

    def spread(self) -> None:
        """Tells others at once that there is something new here."""
        self._beat += 1
        self._send_to(self._choose_targets())

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keeps the socket."""
        self._transport = transport

    def error_received(self, error: OSError) -> None:
        """Ignores that a datagram found nobody; silence shows it as well."""

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Takes a heartbeat; what cannot be read is no heartbeat."""
        head, _, table = data.partition(b"\n")
        try:
            name, fields, news = json.loads(head)
            host = _parse_host(name, fields)
            entries = list(_ENTRY.iter_unpack(table))
            heartbeats = [(entry[0], _parse_entry(entry)) for entry in entries]
        except (ValueError, TypeError, struct.error):
            return
        if name == self._own.name or not heartbeats:
            return
        known = self._heard.get(heartbeats[0][0])
        for key, heartbeat in heartbeats:
            self._note(key, heartbeat)
        if self._hosts.get(name) != host:
            self._hosts[name] = host
            self._note_hosts()
        restarted = (
            known is None
            or known.heartbeat.incarnation != heartbeats[0][1].incarnation
        )
        if restarted and not self._is_large:
            self._send_to([host])
        self._take_news(name, news)

    @property
    def _is_large(self) -> bool:
        """Whether there are too many hosts to tell each of them."""
        return len(self._hosts) >= DIRECT_HOSTS

    def _note(self, key: int, heartbeat: Heartbeat) -> None:
        """Keeps a heartbeat if it is newer than what was heard."""
        if key == _hash_name(self._own.name):
            return
        old = self._heard.get(key)
        if old is not None and heartbeat[:2] <= old.heartbeat[:2]:
            return
        self._heard[key] = _Heard(heartbeat, self._loop.time())

    def _tick(self) -> None:
        """Sends the heartbeats of one period."""
        self._beat += 1
        self._send_to(self._choose_targets())
        period_s = SPREAD_PERIOD_S if self._is_large else DIRECT_PERIOD_S
        self._timer = self._loop.call_later(period_s, self._tick)

    def _choose_targets(self) -> list[model.Host]:
        """Returns the hosts that are told in one period.

        In a large fleet it is one of the own zone, to which bytes are cheap,
        and one of all.
        """
        hosts = list(self._hosts.values())
        if not self._is_large:
            return hosts
        near = [host for host in hosts if host.zone == self._own.zone]
        return [self._random.choice(each) for each in (near, hosts) if each]

    def _send_to(self, hosts: Iterable[model.Host]) -> None:
        """Sends this host's heartbeat, and in a large fleet some others."""
        if self._transport is None:
            return
        head = (self._own.name, _encode_host(self._own), self._read_news())
        rate = min(int(self._read_rate()), _MAX_RATE)
        own = Heartbeat(
            self._incarnation,
            self._beat % _BEATS,
            self.state,
            self._reaches_store(),
            rate,
        )
        table = [_encode_entry(_hash_name(self._own.name), own)]
        if self._is_large:
            count = min(MAX_PASSED_ON, len(self._heard))
            for key in self._random.sample(list(self._heard), count):
                table.append(_encode_entry(key, self._heard[key].heartbeat))
        text = json.dumps(head, separators=(",", ":")).encode()
        data = text + b"\n" + b"".join(table)
        for host in hosts:
            self._transport.sendto(data, tuple(host.peers))


def _hash_name(name: str) -> int:
    """Returns the short form of a host's name."""
    return zlib.crc32(name.encode())


def _encode_entry(key: int, heartbeat: Heartbeat) -> bytes:
    """Returns a heartbeat in its compact form."""
    return _ENTRY.pack(key, *heartbeat)


def _parse_entry(entry: tuple[int, ...]) -> Heartbeat:
    """Reads a heartbeat.

    Raises:
      ValueError: It names an unknown state.
    """
    _, incarnation, beat, state, reaches_store, rate = entry
    return Heartbeat(incarnation, beat, State(state), bool(reaches_store), rate)


def _encode_host(host: model.Host) -> list:
    """Returns what a host says of itself, without its name."""
    return [
        host.zone,
        str(host.callers),
        str(host.control),
        str(host.peers),
        host.cores,
        host.link_mbps,
    ]


def _parse_host(name: str, fields: list) -> model.Host:
    """Reads what a host says of itself.

    Raises:
      ValueError: It has another form.
      TypeError: It has another form.
    """
    zone, callers, control, own_peers, cores, link_mbps = fields
    return model.Host(
        name=name,
        zone=zone,
        callers=model.parse_address(callers),
        control=model.parse_address(control),
        peers=model.parse_address(own_peers),
        cores=float(cores),
        link_mbps=float(link_mbps),
    )
