"""Heartbeats between entry hosts, by datagrams.

Each host tells others that it lives, in which state, and what it knows.  A
small fleet hears every host directly.  In a large one a host tells a few
random others in each period and passes on the heartbeats that it has heard of
all hosts, two bytes for each, in the order of their names.  Hosts that know
different hosts give the names with them, of as many as fit.

A heartbeat counts as news if its number is a newer one.  A host that reads a
higher number than its own of itself, from before it was restarted, goes on
from there; clocks have no part in it.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random as random_module
import struct
from typing import NamedTuple
import zlib

from eelgrasshall.gateway import active_hosts
from eelgrasshall.gateway import heartbeats
from eelgrasshall.gateway import listening
from eelgrasshall.gateway import model

# Hosts up to which everyone is told directly.
DIRECT_HOSTS = 16
# Period of heartbeats in a small fleet: a dead host is noticed within a few.
DIRECT_PERIOD_S = 0.25
# Silence after which a host counts as dead: several lost datagrams.
DIRECT_SILENCE_S = 1.2
# The period in a larger fleet, for each host known: both datagrams of a period
# stay below 5 KB a second, the target for control traffic.
SPREAD_PERIOD_PER_HOST_S = 0.00125
SHORTEST_SPREAD_PERIOD_S = 0.25
# Silence there, in periods: news reach the last of 400 hosts after about seven.
SPREAD_SILENCE_PERIODS = 8
SHORTEST_SPREAD_SILENCE_S = 2.5
# After hosts were seen to differ in whom they know, names go with heartbeats
# for this time: a host that comes or goes is known everywhere before that.
DIFFERENT_ROLLS_S = 1.0
# Heartbeats with names that one datagram passes on: with the news it then fits
# into one packet of 1,400 bytes.
MAX_NAMED = 150


class _Heard(NamedTuple):
    """A heartbeat of a host.

    Attributes:
      heartbeat: The heartbeat.
      at_s: Monotonic time at which it came, seconds.
      incarnation: What its host last told directly; None before that.
    """

    heartbeat: heartbeats.Heartbeat
    at_s: float
    incarnation: int | None


class Peers(asyncio.DatagramProtocol):
    """The heartbeats of this host and of the others.

    Args:
      own: This host.
      incarnation: A number that no earlier process of this host had.
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
        self.state = heartbeats.State.JOINING
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
        self._heard: dict[str, _Heard] = {}
        self._beat = 0
        self._known_roll: _Roll | None = None
        self._differs_until_s = 0.0
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
        self._keep(host)
        if not self._is_large:
            self._send_to([host])

    def remove_host(self, name: str) -> None:
        """Forgets a host."""
        self._hosts.pop(name, None)
        self._heard.pop(name, None)
        self._known_roll = None
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
        self, state: heartbeats.State | None = None
    ) -> list[tuple[model.Host, heartbeats.Heartbeat]]:
        """Returns the other hosts that were heard lately."""
        oldest_s = self._loop.time() - self.silence_s
        return [
            (host, heard.heartbeat)
            for name, host in self._hosts.items()
            if (heard := self._heard.get(name)) is not None
            and heard.at_s >= oldest_s
            and (state is None or heard.heartbeat.state is state)
        ]

    def list_candidates(self) -> list[listening.Candidate]:
        """Returns the other hosts that may listen to the store."""
        return [
            listening.Candidate(host.name, host.zone, heartbeat.reaches_store)
            for host, heartbeat in self.list_alive(heartbeats.State.READY)
        ]

    def list_loads(self) -> list[active_hosts.HostLoad]:
        """Returns all hosts that are ready, with this one."""
        loads = [
            active_hosts.HostLoad(host, heartbeat.attempts_per_s)
            for host, heartbeat in self.list_alive(heartbeats.State.READY)
        ]
        if self.state is heartbeats.State.READY:
            loads.append(active_hosts.HostLoad(self._own, self._read_rate()))
        return loads

    @property
    def silence_s(self) -> float:
        """Seconds without a heartbeat after which a host counts as dead."""
        if not self._is_large:
            return DIRECT_SILENCE_S
        silence_s = SPREAD_SILENCE_PERIODS * self._period_s
        return max(silence_s, SHORTEST_SPREAD_SILENCE_S)

    @property
    def _period_s(self) -> float:
        """Seconds between two heartbeats."""
        if not self._is_large:
            return DIRECT_PERIOD_S
        period_s = self.known * SPREAD_PERIOD_PER_HOST_S
        return max(period_s, SHORTEST_SPREAD_PERIOD_S)

    def announce(self, state: heartbeats.State) -> None:
        """Changes this host's state and tells all hosts at once."""
        self.state = state
        self._advance()
        self._send_to(self._hosts.values())

    def spread(self) -> None:
        """Tells others at once that there is something new here."""
        self._advance()
        self._send_to(self._choose_targets(), with_table=self._is_large)

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
            message = heartbeats.parse_head(head)
            passed_on = self._read_table(message, table)
        except (ValueError, TypeError, struct.error):
            return
        name = message.host.name
        if name == self._own.name:
            return
        known = self._heard.get(name)
        restarted = known is None or known.incarnation != message.incarnation
        if restarted or heartbeats.is_newer(
            message.heartbeat.beat, known.heartbeat.beat
        ):
            self._hear(name, message.heartbeat, message.incarnation)
        for other, heartbeat in passed_on:
            self._note(other, heartbeat)
        if self._hosts.get(name) != message.host:
            self._keep(message.host)
        if restarted and not self._is_large:
            self._send_to([message.host])
        self._take_news(name, message.news)

    @property
    def _is_large(self) -> bool:
        """Whether there are too many hosts to tell each of them."""
        return len(self._hosts) >= DIRECT_HOSTS

    @property
    def _roll(self) -> "_Roll":
        """The names of all hosts known, with this one."""
        if self._known_roll is None:
            self._known_roll = _Roll((self._own.name, *self._hosts))
            for name, heard in self._heard.items():
                self._known_roll.write(name, heard.heartbeat)
        return self._known_roll

    def _keep(self, host: model.Host) -> None:
        """Adds a host to those known, or changes what is known of it."""
        self._hosts[host.name] = host
        self._known_roll = None
        self._note_hosts()

    def _read_table(
        self, message: heartbeats.Message, table: bytes
    ) -> list[tuple[str, heartbeats.Heartbeat]]:
        """Reads the newer ones of the heartbeats that a datagram passes on.

        Raises:
          ValueError: A state is unknown.
          struct.error: They have another form.
        """
        roll = self._roll
        if message.digest != roll.digest:
            self._differs_until_s = self._loop.time() + DIFFERENT_ROLLS_S
        if message.named:
            entries = [
                (roll.names[key], beat, rest)
                for key, beat, rest in heartbeats.NAMED_ENTRY.iter_unpack(table)
                if key in roll.names
            ]
        elif message.digest == roll.digest:
            beats = zip(table[::2], roll.table[::2], strict=False)
            entries = [
                (roll.order[index], beat, table[2 * index + 1])
                for index, (beat, known) in enumerate(beats)
                if beat != known
            ]
        else:
            entries = []
        return [
            (name, heartbeats.parse_entry(beat, rest))
            for name, beat, rest in entries
            if self._is_news(name, beat)
        ]

    def _is_news(self, name: str, beat: int) -> bool:
        """Returns whether a number of a host is newer than what was heard."""
        if name == self._own.name:
            return heartbeats.is_newer(beat, self._beat)
        heard = self._heard.get(name)
        return heard is None or heartbeats.is_newer(beat, heard.heartbeat.beat)

    def _note(self, name: str, heartbeat: heartbeats.Heartbeat) -> None:
        """Takes a newer heartbeat that was passed on."""
        if heartbeat.state is heartbeats.State.UNHEARD:
            return
        if name == self._own.name:
            self._beat = heartbeat.beat
            self._advance()
            return
        old = self._heard.get(name)
        incarnation = old.incarnation if old is not None else None
        self._hear(name, heartbeat, incarnation)

    def _hear(
        self,
        name: str,
        heartbeat: heartbeats.Heartbeat,
        incarnation: int | None,
    ) -> None:
        """Keeps a heartbeat of another host."""
        self._heard[name] = _Heard(heartbeat, self._loop.time(), incarnation)
        self._roll.write(name, heartbeat)

    def _advance(self) -> None:
        """Counts a heartbeat of this host."""
        self._beat = (self._beat + 1) % heartbeats.BEATS

    def _make_own(self) -> heartbeats.Heartbeat:
        """Returns this host's heartbeat."""
        rate = min(int(self._read_rate()), heartbeats.MAX_RATE)
        return heartbeats.Heartbeat(
            self._beat, self.state, self._reaches_store(), rate
        )

    def _tick(self) -> None:
        """Sends the heartbeats of one period."""
        self._advance()
        self._send_to(self._choose_targets(), with_table=self._is_large)
        self._timer = self._loop.call_later(self._period_s, self._tick)

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

    def _send_to(
        self, hosts: Iterable[model.Host], *, with_table: bool = False
    ) -> None:
        """Sends this host's heartbeat, and the others' on demand."""
        if self._transport is None:
            return
        named = self._loop.time() < self._differs_until_s
        own = self._make_own()
        head = heartbeats.encode_head(
            heartbeats.Message(
                host=self._own,
                incarnation=self._incarnation,
                heartbeat=own,
                news=self._read_news(),
                digest=self._roll.digest,
                named=named,
            )
        )
        table = b""
        if with_table and named:
            table = self._encode_named()
        elif with_table:
            self._roll.write(self._own.name, own)
            table = bytes(self._roll.table)
        for host in hosts:
            self._transport.sendto(head + b"\n" + table, tuple(host.peers))

    def _encode_named(self) -> bytes:
        """Returns the heartbeats of some hosts with checksums of the names."""
        count = min(MAX_NAMED, len(self._heard))
        return b"".join(
            heartbeats.NAMED_ENTRY.pack(
                _hash_name(name),
                *heartbeats.encode_entry(self._heard[name].heartbeat),
            )
            for name in self._random.sample(list(self._heard), count)
        )


class _Roll:
    """All hosts known, in the order of their names.

    Args:
      names: The names.
    """

    def __init__(self, names: Iterable[str]):
        self.order = sorted(names)
        self.names = {_hash_name(name): name for name in self.order}
        self.digest = _hash_name("\n".join(self.order))
        unheard = heartbeats.ENTRY.pack(
            *heartbeats.encode_entry(heartbeats.UNHEARD)
        )
        # The heartbeats of all, as they are passed on.
        self.table = bytearray(unheard * len(self.order))
        self._places = {name: 2 * i for i, name in enumerate(self.order)}

    def write(self, name: str, heartbeat: heartbeats.Heartbeat) -> None:
        """Puts a heartbeat into the table, if its host is one of those."""
        place = self._places.get(name)
        if place is not None:
            entry = heartbeats.encode_entry(heartbeat)
            self.table[place : place + 2] = heartbeats.ENTRY.pack(*entry)


def _hash_name(name: str) -> int:
    """Returns the short form of a host's name."""
    return zlib.crc32(name.encode())
