"""Heartbeats between entry hosts over UDP.

Each host reports to others that it is alive, its state and what it knows.  In a
small fleet, every host sends to every other one directly.  In a large fleet, a
host sends to a few random others in each period and relays the heartbeats that
it has received of all hosts, in two bytes each and in the order of their names.
While hosts differ in the hosts that they know, the entries carry checksums of
the names, for as many hosts as fit.

A heartbeat replaces an earlier one if its beat is newer.  A host that is sent a
newer beat of its own, from before its restart, continues counting from there,
so that the order of heartbeats does not depend on clocks.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math
import random as random_module
import struct
from typing import NamedTuple
import zlib

from eelgrasshall.gateway import active_hosts
from eelgrasshall.gateway import election
from eelgrasshall.gateway import heartbeats
from eelgrasshall.gateway import model

# Number of other hosts from which on heartbeats are relayed.
RELAY_MIN_HOSTS = 16
# Heartbeat period in a small fleet: a dead host is detected within a few
# periods.
DIRECT_PERIOD_S = 0.25
# Time without a heartbeat after which a host counts as dead in a small fleet:
# long enough to tolerate several lost datagrams.
DIRECT_TIMEOUT_S = 1.2
# Heartbeat period in a large fleet, for each host known: both datagrams of a
# period stay below 5 KB per second, the target for control traffic.
RELAY_PERIOD_PER_HOST_S = 0.00125
MIN_RELAY_PERIOD_S = 0.25
# Time without a heartbeat after which a host counts as dead in a large fleet,
# in periods: a heartbeat reaches the last of 400 hosts after about seven.
RELAY_TIMEOUT_PERIODS = 8
MIN_RELAY_TIMEOUT_S = 2.5
# Hosts of a zone that send to another zone in one period, on average.  Within a
# zone heartbeats spread in a few periods.
FAR_SENDERS_PER_ZONE = 4.0
# How long after a roster mismatch entries carry name checksums: a host that
# joins or leaves is known everywhere within this time.
ROSTER_MISMATCH_S = 1.0
# How long a host that is not heard may still serve, cut off from this one.
MISSING_RETENTION_S = 900.0
# Most named entries in one datagram: together with the header it then fits into
# one packet of 1,400 bytes.
MAX_NAMED_ENTRIES = 150


class Channel(NamedTuple):
    """One kind of datagram that is sent next to the heartbeats.

    Attributes:
      prefix: Identifies the datagrams; no heartbeat begins like this.
      build: Returns the datagram of a period, or None.
      handle: Called with a datagram of another host.
      build_addressed: Returns the datagrams for single hosts, each with the
        name of its receiver; also called after `handle`, for answers.
      list_receivers: Returns hosts that get it in each period, whatever the
        size of the fleet.
    """

    prefix: bytes
    build: Callable[[], bytes | None]
    handle: Callable[[bytes], None]
    build_addressed: Callable[[], list[tuple[str, bytes]]] = list
    list_receivers: Callable[[], Sequence[model.Host]] = lambda: ()


class _HeartbeatRecord(NamedTuple):
    """The newest heartbeat of a host.

    Attributes:
      heartbeat: The heartbeat.
      received_s: Monotonic time at which it was received, seconds.
      incarnation: The incarnation that the host last reported directly; None
        before its first direct heartbeat.
    """

    heartbeat: heartbeats.Heartbeat
    received_s: float
    incarnation: int | None


class HeartbeatProtocol(asyncio.DatagramProtocol):
    """Sends this host's heartbeats and tracks those of the others.

    Args:
      own: This host.
      incarnation: A number that no earlier process of this host had.
      loop: The event loop.
      random: The random number generator.
      reaches_store: Returns whether this host watches the store and gets
        answers.
      get_attempt_rate: Returns the attempts per second that this host sends.
      reaches_servers: Returns whether this host reaches backend servers.
      get_gossip: Returns the further data that a heartbeat carries.
      on_gossip: Called with the sender's name and the data that a heartbeat
        carried.
      on_hosts_changed: Called when the set of known hosts has changed.
      on_links_lost: Called when another host has lost its links to the backend
        servers.
      channels: What else is sent next to the heartbeats.
      on_sent: Called with the receiver and the size of each datagram.
    """

    def __init__(
        self,
        *,
        own: model.Host,
        incarnation: int,
        loop: asyncio.AbstractEventLoop,
        random: random_module.Random,
        reaches_store: Callable[[], bool],
        get_attempt_rate: Callable[[], float],
        reaches_servers: Callable[[], bool],
        get_gossip: Callable[[], list],
        on_gossip: Callable[[str, list], None],
        on_hosts_changed: Callable[[], None],
        on_links_lost: Callable[[], None],
        channels: Sequence[Channel] = (),
        on_sent: Callable[[model.Host, int], None] = lambda host, size: None,
    ):
        self.state = heartbeats.State.JOINING
        # When a heartbeat of a host that reaches the store last arrived, in
        # monotonic seconds.
        self.store_contact_s = -math.inf
        self._own = own
        self._incarnation = incarnation
        self._loop = loop
        self._random = random
        self._reaches_store = reaches_store
        self._get_attempt_rate = get_attempt_rate
        self._reaches_servers = reaches_servers
        self._get_gossip = get_gossip
        self._on_gossip = on_gossip
        self._on_hosts_changed = on_hosts_changed
        self._on_links_lost = on_links_lost
        self._channels = channels
        self._on_sent = on_sent
        self._hosts: dict[str, model.Host] = {}
        self._records: dict[str, _HeartbeatRecord] = {}
        self._learned_s: dict[str, float] = {}
        self._beat = 0
        self._cached_roster: _Roster | None = None
        self._mismatch_until_s = 0.0
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Opens the socket and begins to send.

        Raises:
          OSError: The address cannot be bound.
        """
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=tuple(self._own.peer_address)
        )
        self._tick()

    def stop(self) -> None:
        """Stops sending and closes the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def add_host(self, host: model.Host) -> None:
        """Adds a host; it counts as alive after its first heartbeat."""
        if host.name == self._own.name or self._hosts.get(host.name) == host:
            return
        self._set_host(host)
        if not self._is_large:
            self._send_to([host])

    def remove_host(self, name: str) -> None:
        """Removes a host and its heartbeat."""
        self._hosts.pop(name, None)
        self._records.pop(name, None)
        self._learned_s.pop(name, None)
        self._cached_roster = None
        self._on_hosts_changed()

    @property
    def host_count(self) -> int:
        """Number of known hosts, alive or not, including this one."""
        return len(self._hosts) + 1

    def find_host(self, name: str) -> model.Host | None:
        """Returns another host by its name."""
        return self._hosts.get(name)

    def list_hosts(self) -> list[model.Host]:
        """Returns the other known hosts, alive or not."""
        return list(self._hosts.values())

    def list_alive(
        self, state: heartbeats.State | None = None
    ) -> list[tuple[model.Host, heartbeats.Heartbeat]]:
        """Returns the other hosts that are alive, and their heartbeats.

        Args:
          state: Returns only hosts in this state if it is given.
        """
        oldest_s = self._loop.time() - self.failure_timeout_s
        return [
            (host, record.heartbeat)
            for name, host in self._hosts.items()
            if (record := self._records.get(name)) is not None
            and record.received_s >= oldest_s
            and (state is None or record.heartbeat.state is state)
        ]

    def count_missing(self) -> int:
        """Returns the number of hosts that may serve though they are not heard.

        They may be down or cut off from this host.  Those that have not been
        heard of for long are taken for removed.
        """
        now = self._loop.time()
        count = 0
        for name in self._hosts:
            record = self._records.get(name)
            if record is None:
                silent_s = now - self._learned_s[name]
            else:
                silent_s = now - record.received_s
                if silent_s <= self.failure_timeout_s:
                    continue
            count += silent_s < MISSING_RETENTION_S
        return count

    def list_candidates(self) -> list[election.Candidate]:
        """Returns the other hosts that may watch the store."""
        return [
            election.Candidate(host.name, host.zone, heartbeat.reaches_store)
            for host, heartbeat in self.list_alive(heartbeats.State.READY)
        ]

    def list_loads(self) -> list[active_hosts.HostLoad]:
        """Returns the loads of all hosts that are ready, this one included."""
        loads = [
            active_hosts.HostLoad(
                host, heartbeat.attempts_per_s, heartbeat.reaches_servers
            )
            for host, heartbeat in self.list_alive(heartbeats.State.READY)
        ]
        if self.state is heartbeats.State.READY:
            loads.append(
                active_hosts.HostLoad(
                    self._own, self._get_attempt_rate(), self._reaches_servers()
                )
            )
        return loads

    @property
    def failure_timeout_s(self) -> float:
        """Seconds without a heartbeat after which a host counts as dead."""
        if not self._is_large:
            return DIRECT_TIMEOUT_S
        timeout_s = RELAY_TIMEOUT_PERIODS * self._period_s
        return max(timeout_s, MIN_RELAY_TIMEOUT_S)

    @property
    def _period_s(self) -> float:
        """Seconds between two heartbeats."""
        if not self._is_large:
            return DIRECT_PERIOD_S
        period_s = self.host_count * RELAY_PERIOD_PER_HOST_S
        return max(period_s, MIN_RELAY_PERIOD_S)

    def announce(self, state: heartbeats.State) -> None:
        """Changes this host's state and reports it to all hosts at once."""
        self.state = state
        self._increment_beat()
        self._send_to(self._hosts.values())

    def send_now(self) -> None:
        """Sends heartbeats without waiting for the end of the period."""
        self._increment_beat()
        self._send_to(self._choose_targets(), with_table=self._is_large)

    def send_addressed(self) -> None:
        """Sends the datagrams for single hosts without waiting."""
        for channel in self._channels:
            self._send_addressed(channel)

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Stores the transport."""
        self._transport = transport

    def error_received(self, error: OSError) -> None:
        """Ignores failed sends: the failure time-out detects dead hosts."""

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Processes a datagram, or ignores it if it is malformed."""
        for channel in self._channels:
            if data.startswith(channel.prefix):
                channel.handle(data)
                self._send_addressed(channel)
                return
        head, _, table = data.partition(b"\n")
        try:
            header = heartbeats.decode_header(head)
            relayed = self._decode_table(header, table)
        except (ValueError, TypeError, struct.error):
            return
        name = header.host.name
        if name == self._own.name:
            return
        known = self._records.get(name)
        restarted = known is None or known.incarnation != header.incarnation
        if restarted or heartbeats.is_newer(
            header.heartbeat.beat, known.heartbeat.beat
        ):
            self._record_heartbeat(name, header.heartbeat, header.incarnation)
        for other, heartbeat in relayed:
            self._record_relayed(other, heartbeat)
        if self._hosts.get(name) != header.host:
            self._set_host(header.host)
        if restarted and not self._is_large:
            self._send_to([header.host])
        self._on_gossip(name, header.gossip)

    @property
    def _is_large(self) -> bool:
        """Whether there are too many hosts to send to each of them."""
        return len(self._hosts) >= RELAY_MIN_HOSTS

    @property
    def _roster(self) -> "_Roster":
        """The names of all known hosts, including this one."""
        if self._cached_roster is None:
            self._cached_roster = _Roster((self._own.name, *self._hosts))
            for name, record in self._records.items():
                self._cached_roster.write(name, record.heartbeat)
        return self._cached_roster

    def _set_host(self, host: model.Host) -> None:
        """Adds or replaces a known host."""
        self._learned_s.setdefault(host.name, self._loop.time())
        self._hosts[host.name] = host
        self._cached_roster = None
        self._on_hosts_changed()

    def _decode_table(
        self, header: heartbeats.Header, table: bytes
    ) -> list[tuple[str, heartbeats.Heartbeat]]:
        """Returns the relayed heartbeats that are newer than those known.

        Raises:
          ValueError: An entry has an unknown state.
          struct.error: The table is malformed.
        """
        roster = self._roster
        if header.digest != roster.digest:
            self._mismatch_until_s = self._loop.time() + ROSTER_MISMATCH_S
        if header.named:
            entries = [
                (roster.names_by_hash[key], beat, status)
                for key, beat, status in heartbeats.NAMED_ENTRY.iter_unpack(
                    table
                )
                if key in roster.names_by_hash
            ]
        elif header.digest == roster.digest:
            beats = zip(table[::2], roster.table[::2], strict=False)
            entries = [
                (roster.names[index], beat, table[2 * index + 1])
                for index, (beat, known) in enumerate(beats)
                if beat != known
            ]
        else:
            entries = []
        return [
            (name, heartbeats.decode_entry(beat, status))
            for name, beat, status in entries
            if self._is_newer(name, beat)
        ]

    def _is_newer(self, name: str, beat: int) -> bool:
        """Returns whether a beat of a host is newer than the one known."""
        if name == self._own.name:
            return heartbeats.is_newer(beat, self._beat)
        record = self._records.get(name)
        return record is None or heartbeats.is_newer(
            beat, record.heartbeat.beat
        )

    def _record_relayed(
        self, name: str, heartbeat: heartbeats.Heartbeat
    ) -> None:
        """Records a newer heartbeat that another host relayed."""
        if heartbeat.state is heartbeats.State.UNHEARD:
            return
        if name == self._own.name:
            self._beat = heartbeat.beat
            self._increment_beat()
            return
        old = self._records.get(name)
        incarnation = old.incarnation if old is not None else None
        self._record_heartbeat(name, heartbeat, incarnation)

    def _record_heartbeat(
        self,
        name: str,
        heartbeat: heartbeats.Heartbeat,
        incarnation: int | None,
    ) -> None:
        """Records a heartbeat of another host."""
        old = self._records.get(name)
        had_links = old is None or old.heartbeat.reaches_servers
        self._records[name] = _HeartbeatRecord(
            heartbeat, self._loop.time(), incarnation
        )
        self._roster.write(name, heartbeat)
        if heartbeat.reaches_store:
            self.store_contact_s = self._loop.time()
        if (
            had_links
            and not heartbeat.reaches_servers
            and heartbeat.state is heartbeats.State.READY
        ):
            self._on_links_lost()

    def _increment_beat(self) -> None:
        """Advances the sequence number of this host's heartbeats."""
        self._beat = (self._beat + 1) % heartbeats.BEAT_MODULUS

    def _make_heartbeat(self) -> heartbeats.Heartbeat:
        """Returns this host's heartbeat."""
        rate = min(int(self._get_attempt_rate()), heartbeats.MAX_RATE)
        return heartbeats.Heartbeat(
            self._beat,
            self.state,
            self._reaches_store(),
            rate,
            self._reaches_servers(),
        )

    def _tick(self) -> None:
        """Sends the heartbeats of one period and schedules the next one."""
        self._timer = self._loop.call_later(self._period_s, self._tick)
        self._increment_beat()
        targets = self._choose_targets()
        self._send_to(targets, with_table=self._is_large)
        self._send_channels(targets)

    def _send_channels(self, hosts: Iterable[model.Host]) -> None:
        """Sends what the channels have to send."""
        if self._transport is None:
            return
        for channel in self._channels:
            datagram = channel.build()
            if datagram is not None:
                for host in dict.fromkeys([*hosts, *channel.list_receivers()]):
                    if host != self._own:
                        self._transport.sendto(
                            datagram, tuple(host.peer_address)
                        )
                        self._on_sent(host, len(datagram))
            self._send_addressed(channel)

    def _send_addressed(self, channel: Channel) -> None:
        """Sends the datagrams of a channel that are for single hosts."""
        if self._transport is None:
            return
        for name, datagram in channel.build_addressed():
            host = self._hosts.get(name)
            if host is not None:
                self._transport.sendto(datagram, tuple(host.peer_address))
                self._on_sent(host, len(datagram))

    def _choose_targets(self) -> list[model.Host]:
        """Returns the hosts to send to in one period.

        In a large fleet these are two hosts.  Most of them are of this host's
        zone, as traffic between zones is priced; the hosts of a zone together
        send enough to other zones for heartbeats to spread.
        """
        hosts = list(self._hosts.values())
        if not self._is_large:
            return hosts
        near = [host for host in hosts if host.zone == self._own.zone]
        far = [host for host in hosts if host.zone != self._own.zone]
        second = near
        if self._random.random() < FAR_SENDERS_PER_ZONE / (len(near) + 1):
            second = far
        return [self._random.choice(each) for each in (near, second) if each]

    def _send_to(
        self, hosts: Iterable[model.Host], *, with_table: bool = False
    ) -> None:
        """Sends this host's heartbeat.

        Args:
          hosts: The receivers.
          with_table: Whether to relay the heartbeats of other hosts too.
        """
        if self._transport is None:
            return
        named = self._loop.time() < self._mismatch_until_s
        own = self._make_heartbeat()
        head = heartbeats.encode_header(
            heartbeats.Header(
                host=self._own,
                incarnation=self._incarnation,
                heartbeat=own,
                gossip=self._get_gossip(),
                digest=self._roster.digest,
                named=named,
            )
        )
        table = b""
        if with_table and named:
            table = self._encode_named()
        elif with_table:
            self._roster.write(self._own.name, own)
            table = bytes(self._roster.table)
        datagram = head + b"\n" + table
        for host in hosts:
            self._transport.sendto(datagram, tuple(host.peer_address))
            self._on_sent(host, len(datagram))

    def _encode_named(self) -> bytes:
        """Returns a named table with the heartbeats of a sample of hosts."""
        count = min(MAX_NAMED_ENTRIES, len(self._records))
        return b"".join(
            heartbeats.NAMED_ENTRY.pack(
                _hash_name(name),
                *heartbeats.encode_entry(self._records[name].heartbeat),
            )
            for name in self._random.sample(list(self._records), count)
        )


class _Roster:
    """The sorted names of all known hosts, and the table of their heartbeats.

    Args:
      names: The names.
    """

    def __init__(self, names: Iterable[str]):
        self.names = sorted(names)
        self.names_by_hash = {_hash_name(name): name for name in self.names}
        self.digest = _hash_name("\n".join(self.names))
        unheard = heartbeats.ENTRY.pack(
            *heartbeats.encode_entry(heartbeats.UNHEARD)
        )
        # The table that datagrams carry, in the order of the names.
        self.table = bytearray(unheard * len(self.names))
        self._offsets = {name: 2 * i for i, name in enumerate(self.names)}

    def write(self, name: str, heartbeat: heartbeats.Heartbeat) -> None:
        """Writes a heartbeat to the table if its host is on the roster."""
        offset = self._offsets.get(name)
        if offset is not None:
            entry = heartbeats.encode_entry(heartbeat)
            self.table[offset : offset + 2] = heartbeats.ENTRY.pack(*entry)


def _hash_name(name: str) -> int:
    """Returns the checksum of a host's name."""
    return zlib.crc32(name.encode())
