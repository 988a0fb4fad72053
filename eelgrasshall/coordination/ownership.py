"""Ownership: which entry host alone sends to a service's backend servers.

Every host works the owners out for itself from the same inputs, so there is
no election to wait for.  Rendezvous hashing gives each service an order of
hosts; the first one with room takes it.  The room of a host and of a zone is
bounded, so that no host carries much more than its share, and a host that
comes or goes moves little more than its own services.

Ownership is a hint, not a right: two hosts may both believe for a while that
they own a service.  A host that loses a service tells the next owner, who may
then start at once; without that word the next owner has to allow for a
predecessor that has not heard yet.  After a pause of this process everything
has lapsed until it has compared notes with its peers.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Any
from typing import NamedTuple
from typing import Protocol

from loguru import logger

from eelgrasshall import clock as clock_module
from eelgrasshall.coordination import facts as facts_module
from eelgrasshall.coordination import rendezvous
from eelgrasshall.coordination import tasks
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration
from eelgrasshall.state import members as members_module

# A host takes at most this many times its even share, and a zone too.
HOST_BOUND = 1.25
ZONE_BOUND = 1.25
HANDOVER_TOPIC = "handover"
# A word of handover counts this long, for a host whose view comes later.  It
# is no longer than a suspicion, after which the teller may own again what it
# has handed over.
HANDOVER_VALID_S = 1.0
REJOIN_RETRY_S = 0.2


class Claim(NamedTuple):
    """A service that this host owns.

    Attributes:
      service: Name of the service.
      since: Clock reading, in seconds, from which this host has owned it.
      handed_over: Whether the previous owner has said that it stopped.
    """

    service: str
    since: float
    handed_over: bool


def assign_owners(
    services: Iterable[str],
    fleet: Iterable[members_module.Member],
    zones_in_service: frozenset[str],
    orders: rendezvous.Orders | None = None,
) -> dict[str, str]:
    """Gives each service an owner.

    Args:
      services: Names of the services, or of slices of services.
      fleet: The members; those that take no work own nothing.
      zones_in_service: Zones whose hosts may own services.
      orders: The orders of an earlier call, to save work; they do not change
        the result.

    Returns:
      The owner's name for each service; empty if no host may own any.
    """
    zones = _find_eligible(fleet, zones_in_service)
    names = sorted(set(services))
    if not zones or not names:
        return {}
    orders = orders or rendezvous.Orders()
    orders.update(names, zones)
    room = dict.fromkeys(zones, _bound_host(len(names), len(zones)))
    zone_room = _bound_zones(len(names), zones)
    owners = {}
    for service in names:
        owner = next(
            host
            for host in orders.iterate(service)
            if room[host] > 0 and zone_room[zones[host]] > 0
        )
        room[owner] -= 1
        zone_room[zones[owner]] -= 1
        owners[service] = owner
    return owners


def _find_eligible(
    fleet: Iterable[members_module.Member], zones_in_service: frozenset[str]
) -> dict[str, str]:
    """Returns the zone of each host that may own services, by name."""
    return {
        member.name: member.zone
        for member in sorted(fleet)
        if member.accepts_work() and member.zone in zones_in_service
    }


def _bound_host(services: int, hosts: int) -> int:
    """Returns how many services a host may own."""
    return math.ceil(services * HOST_BOUND / hosts)


def _bound_zones(services: int, zones: dict[str, str]) -> dict[str, int]:
    """Returns how many services the hosts of each zone may own."""
    share = services * ZONE_BOUND / len(zones)
    counts = collections.Counter(zones.values())
    return {zone: math.ceil(share * count) for zone, count in counts.items()}


class Fleet(Protocol):
    """What ownership needs of membership."""

    @property
    def own(self) -> members_module.Member:
        """This host."""

    def members(self) -> tuple[members_module.Member, ...]:
        """Returns the members that are not dead."""

    def find(self, name: str) -> members_module.Member | None:
        """Returns a member that is not dead by name."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback for changes of the view."""

    async def tell(
        self, member: members_module.Member, topic: str, key: str, body: bytes
    ) -> bool:
        """Tells one member something that is not passed on."""

    async def rejoin(self) -> bool:
        """Compares notes with a few members."""


class Keeper(Protocol):
    """What ownership needs of the configuration keeper."""

    @property
    def current(self) -> configuration.Configuration | None:
        """The configuration in force."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each new version."""


Prepare = Callable[[str], Awaitable[bytes | None]]


async def _prepare_nothing(service: str) -> bytes | None:
    """Hands a service over with no state."""
    del service
    return b""


class Ownership:
    """Knows the owner of each service as this host sees it.

    Args:
      name: Name of this host.
      membership: The members.
      keeper: The configuration in force.
      clock: The clock.
      facts: The facts, among which the word of handover arrives.
    """

    def __init__(
        self,
        *,
        name: str,
        membership: Fleet,
        keeper: Keeper,
        clock: clock_module.Clock,
        facts: facts_module.FactTable,
    ):
        self._name = name
        self._membership = membership
        self._keeper = keeper
        self._clock = clock
        self._owners: dict[str, str] = {}
        self._claims: dict[str, Claim] = {}
        self._handed_over: dict[str, float] = {}
        # Until it has met its peers a new host would think it owns everything.
        self._lapsed = True
        self._pauses = 0
        self._rejoining: asyncio.Task[None] | None = None
        self._callbacks: list[Callable[[], None]] = []
        self._tasks = tasks.Tasks(part="ownership")
        self.moves = 0
        self._prepare: Prepare = _prepare_nothing
        self._accept: Callable[[str, bytes], None] | None = None
        facts.subscribe(HANDOVER_TOPIC)(self._take_handover)
        membership.subscribe(self._work_out)
        keeper.subscribe(self._work_out)

    def stop(self) -> None:
        """Ends what is under way."""
        self._tasks.cancel()

    def owner_of(self, service: str) -> members_module.Member | None:
        """Returns the owner of a service, or None if there is none."""
        name = self._owners.get(service)
        return self._membership.find(name) if name else None

    def owned(self) -> frozenset[str]:
        """Returns the services that this host owns."""
        return frozenset(self._claims)

    def claims(self) -> tuple[Claim, ...]:
        """Returns what this host owns, with since when, by service."""
        return tuple(sorted(self._claims.values()))

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback, without arguments, for each change."""
        self._callbacks.append(callback)

    def attach_handover(
        self,
        *,
        prepare: "Prepare",
        accept: Callable[[str, bytes], None],
    ) -> None:
        """Lets the state of a service travel with the word of handover.

        Args:
          prepare: Waits until this host no longer touches what the next
            owner must have alone and gives what that owner should know; None
            if it cannot be handed over.
          accept: Called with what the previous owner of a service has told.
        """
        self._prepare = prepare
        self._accept = accept

    def notice_pause(self, gap_s: float) -> None:
        """Treats everything as lapsed until the peers have been asked."""
        self._lapsed = True
        self._pauses += 1
        if self._claims:
            logger.info(f"ownership: Lapsed after a pause of {gap_s:.2f} s.")
            self._claims = {}
            self._call_back()
        self._ensure_rejoining()

    def dump(self) -> dict[str, Any]:
        """Returns the owners and claims for the state dump."""
        return {
            "owners": dict(sorted(self._owners.items())),
            "claims": [claim._asdict() for claim in self.claims()],
            "lapsed": self._lapsed,
            "moves": self.moves,
        }

    def _work_out(self) -> None:
        """Works the owners out anew from members and configuration."""
        declared = self._keeper.current
        if declared is None:
            return
        if self._lapsed:
            self._ensure_rejoining()
        before = self._owners
        self._owners = assign_owners(
            (service.name for service in declared.services),
            self._membership.members(),
            declared.get_zones_in_service(),
        )
        if self._owners == before:
            return
        moved = [s for s, o in self._owners.items() if before.get(s) != o]
        self.moves += len(moved)
        self._hand_over(before)
        self._claim(before)
        self._call_back()

    def _claim(self, before: dict[str, str]) -> None:
        """Takes up what this host owns now."""
        if self._lapsed:
            return
        mine = {s for s, o in self._owners.items() if o == self._name}
        self._claims = {
            service: self._claims.get(service)
            or self._make_claim(service, before)
            for service in mine
        }

    def _make_claim(self, service: str, before: dict[str, str]) -> Claim:
        """Returns the claim to a service that has come to this host."""
        now = self._clock.monotonic()
        told_at = self._handed_over.pop(service, -math.inf)
        return Claim(service, now, now - told_at <= HANDOVER_VALID_S)

    def _hand_over(self, before: dict[str, str]) -> None:
        """Tells the next owners of what this host has stopped owning."""
        for service in sorted(self._claims):
            owner = self._owners.get(service)
            if owner is None or owner == self._name:
                continue
            member = self._membership.find(owner)
            if member is not None:
                self._tasks.spawn(self._tell_handover(member, service))

    async def _tell_handover(
        self, member: members_module.Member, service: str
    ) -> None:
        """Tells the next owner once this host has let the service go."""
        body = await self._prepare(service)
        if body is not None:
            await self._membership.tell(member, HANDOVER_TOPIC, service, body)

    def _take_handover(self, fact: messages.GossipFact) -> None:
        """Notes that the previous owner of a service has stopped."""
        if self._accept is not None:
            self._accept(fact.key, fact.body)
        claim = self._claims.get(fact.key)
        if claim is None:
            self._handed_over[fact.key] = self._clock.monotonic()
            return
        if not claim.handed_over:
            self._claims[fact.key] = claim._replace(handed_over=True)
            self._call_back()

    def _ensure_rejoining(self) -> None:
        """Starts to ask the peers, unless that is under way."""
        if self._rejoining is None or self._rejoining.done():
            self._rejoining = self._tasks.spawn(self._rejoin())

    async def _rejoin(self) -> None:
        """Takes ownership up again once the peers have been asked."""
        while True:
            pauses = self._pauses
            answered = await self._membership.rejoin()
            if answered and pauses == self._pauses:
                break
            await self._clock.sleep(REJOIN_RETRY_S)
        self._lapsed = False
        self._claim({})
        self._call_back()

    def _call_back(self) -> None:
        """Calls the subscribers."""
        for callback in self._callbacks:
            callback()
