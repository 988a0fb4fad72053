"""Heartbeats between entry hosts, by datagrams.

Each host tells others that it lives, in which state, and what it knows.  A
small fleet hears every host directly.  In a large one a host tells a few
random others in each period and passes on the heartbeats that it has heard,
so that its cost does not grow with the fleet.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import enum
import json
import random as random_module
from typing import NamedTuple

from eelgrasshall.gateway import listening
from eelgrasshall.gateway import model

# Period of heartbeats: a dead host is noticed within a few of them.
PERIOD_S = 0.25
# Hosts up to which everyone is told directly.
DIRECT_HOSTS = 16
# Hosts that are told in each period in a larger fleet.
FANOUT = 3
# Silence after which a host counts as dead: several lost datagrams directly,
# or the slowest spread through a larger fleet.
DIRECT_SILENCE_S = 1.2
SPREAD_SILENCE_S = 3.0
# Largest datagram that passes every link in one piece.
MAX_DATAGRAM = 1400


class State(enum.Enum):
    """What a host says of itself; the value is its form on the wire."""

    JOINING = "j"
    READY = "r"
    LEAVING = "l"


class Heard(NamedTuple):
    """The newest heartbeat of a host.

    Attributes:
      incarnation: Start of its process, Unix milliseconds.
      beat: Counts the heartbeats of this incarnation.
      state: What it says of itself.
      reaches_store: Whether it watches the store and is answered.
      at_s: When the news arrived here, monotonic seconds.
    """

    incarnation: int
    beat: int
    state: State
    reaches_store: bool
    at_s: float


class Peers(asyncio.DatagramProtocol):
    """The heartbeats of this host and of the others.

    Args:
      own: This host.
      incarnation: Start of this process, Unix milliseconds.
      loop: The event loop.
      random: The source of chance.
      reaches_store: Returns whether this host is answered by the store.
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
        self._read_news = read_news
        self._take_news = take_news
        self._note_hosts = note_hosts
        self._hosts: dict[str, model.Host] = {}
        self._heard: dict[str, Heard] = {}
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
        self._send_to([host])

    def remove_host(self, name: str) -> None:
        """Forgets a host."""
        self._hosts.pop(name, None)
        self._heard.pop(name, None)
        self._note_hosts()

    @property
    def known(self) -> int:
        """Number of hosts known, alive or not, with this one."""
        return len(self._hosts) + 1

    def list_alive(self, state: State | None = None) -> list[model.Host]:
        """Returns the other hosts that were heard lately."""
        direct = len(self._hosts) < DIRECT_HOSTS
        silence_s = DIRECT_SILENCE_S if direct else SPREAD_SILENCE_S
        oldest_s = self._loop.time() - silence_s
        return [
            host
            for name, host in self._hosts.items()
            if (heard := self._heard.get(name)) is not None
            and heard.at_s >= oldest_s
            and (state is None or heard.state is state)
        ]

    def find(self, name: str) -> model.Host | None:
        """Returns a host by its name."""
        return self._hosts.get(name)

    def list_candidates(self) -> list[listening.Candidate]:
        """Returns the other hosts that may listen to the store."""
        return [
            listening.Candidate(
                host.name, host.zone, self._heard[host.name].reaches_store
            )
            for host in self.list_alive(State.READY)
        ]

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
        """Takes a heartbeat."""
        try:
            message = json.loads(data)
            name = message["n"]
            known = self._heard.get(name)
            if not self._note(name, *message["h"]):
                return
            for each, heartbeat in message.get("t", {}).items():
                self._note(each, *heartbeat)
            news = message["x"]
            self._meet(name, message["a"])
        except (ValueError, KeyError, TypeError, AttributeError):
            return
        if known is None or known.incarnation != message["h"][0]:
            host = self._hosts.get(name)
            if host is not None:
                self._send_to([host])
        self._take_news(name, news)

    def _note(
        self,
        name: str,
        incarnation: int,
        beat: int,
        state: str,
        reaches_store: int,
    ) -> bool:
        """Keeps a heartbeat if it is newer than what was heard."""
        if name == self._own.name:
            return False
        old = self._heard.get(name)
        if old is not None and (incarnation, beat) <= (
            old.incarnation,
            old.beat,
        ):
            return False
        self._heard[name] = Heard(
            incarnation,
            beat,
            State(state),
            bool(reaches_store),
            self._loop.time(),
        )
        return True

    def _meet(self, name: str, fields: list[str]) -> None:
        """Learns of a host from its own heartbeat."""
        if name == self._own.name:
            return
        zone, *addresses = fields
        host = model.Host(name, zone, *map(model.parse_address, addresses))
        if self._hosts.get(name) != host:
            self._hosts[name] = host
            self._note_hosts()

    def _tick(self) -> None:
        """Sends the heartbeats of one period."""
        self._beat += 1
        self._send_to(self._choose_targets())
        self._timer = self._loop.call_later(PERIOD_S, self._tick)

    def _choose_targets(self) -> list[model.Host]:
        """Returns the hosts that are told in one period."""
        hosts = list(self._hosts.values())
        if len(hosts) >= DIRECT_HOSTS:
            return self._random.sample(hosts, FANOUT)
        return hosts

    def _send_to(self, hosts: Iterable[model.Host]) -> None:
        """Sends this host's heartbeat."""
        if self._transport is None:
            return
        message = {
            "n": self._own.name,
            "h": (
                self._incarnation,
                self._beat,
                self.state.value,
                int(self._reaches_store()),
            ),
            "a": (self._own.zone, *map(str, self._own[2:])),
            "x": self._read_news(),
        }
        if len(self._hosts) >= DIRECT_HOSTS:
            message["t"] = {
                name: (
                    heard.incarnation,
                    heard.beat,
                    heard.state.value,
                    int(heard.reaches_store),
                )
                for name, heard in self._heard.items()
            }
        data = json.dumps(message, separators=(",", ":")).encode()
        for host in hosts:
            self._transport.sendto(data, tuple(host.peers))
