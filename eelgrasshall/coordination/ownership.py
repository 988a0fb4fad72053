"""Ownership: the one entry host that sends to a service's backend servers.

Every host computes all owners from the same inputs, the members and the
configuration, so no election is needed.  Rendezvous hashing ranks the hosts
for each service, and the first host in the ranking that has capacity left
becomes the owner.  The load of each host and zone is bounded, so that no host
carries much more than its share, and a host that joins or leaves moves few
services besides its own.

Ownership is advisory, not exclusive: while their views differ, two hosts may
both believe that they own a service.  A host that loses a service sends a
handover message to the next owner, which may then start at once.  Without
that message the next owner must allow for a predecessor that has not yet
learned of the change.  After a pause of this process its ownership has lapsed
until it has exchanged heartbeats with its peers.
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
from eelgrasshall.coordination import background_tasks
from eelgrasshall.coordination import facts as facts_module
from eelgrasshall.coordination import rendezvous
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration
from eelgrasshall.state import members as members_module

# A host or a zone owns at most this many times its even share of the services.
MAX_HOST_LOAD_FACTOR = 1.25
MAX_ZONE_LOAD_FACTOR = 1.25
HANDOVER_TOPIC = "handover"
# A handover message remains valid this long, for a host whose membership view
# is updated later.  It must not exceed the suspicion time-out, after which the
# sender may own again what it has handed over.
HANDOVER_TTL_S = 1.0
REJOIN_RETRY_DELAY_S = 0.2


class Claim(NamedTuple):
    """A service that this host owns.

    Attributes:
      service: Name of the service.
      since: Clock reading, in seconds, from which this host has owned it.
      handed_over: Whether the previous owner has reported that it
        stopped sending.
    """

    service: str
    since: float
    handed_over: bool


def assign_owners(
    services: Iterable[str],
    members: Iterable[members_module.Member],
    zones_in_service: frozenset[str],
    rankings: rendezvous.HostRankings | None = None,
) -> dict[str, str]:
    """Assigns an owner to each service.

    Args:
      services: Names of the services, or of slices of services.
      members: The members; those that do not take work own nothing.
      zones_in_service: Zones whose hosts may own services.
      rankings: Host rankings of an earlier call, reused to save hashing; they
        do not change the result.

    Returns:
      The owner's name by service; empty if no host is eligible.
    """
    zones = _find_eligible_hosts(members, zones_in_service)
    names = sorted(set(services))
    if not zones or not names:
        return {}
    rankings = rankings or rendezvous.HostRankings()
    rankings.update(names, zones)
    host_capacity = dict.fromkeys(
        zones, _compute_host_limit(len(names), len(zones))
    )
    zone_capacity = _compute_zone_limits(len(names), zones)
    owners = {}
    for service in names:
        owner = next(
            host
            for host in rankings.iterate_hosts(service)
            if host_capacity[host] > 0 and zone_capacity[zones[host]] > 0
        )
        host_capacity[owner] -= 1
        zone_capacity[zones[owner]] -= 1
        owners[service] = owner
    return owners


def _find_eligible_hosts(
    members: Iterable[members_module.Member], zones_in_service: frozenset[str]
) -> dict[str, str]:
    """Returns the zone of each host that may own services, by host name."""
    return {
        member.name: member.zone
        for member in sorted(members)
        if member.accepts_work() and member.zone in zones_in_service
    }


def _compute_host_limit(services: int, hosts: int) -> int:
    """Returns the maximum number of services that one host may own."""
    return math.ceil(services * MAX_HOST_LOAD_FACTOR / hosts)


def _compute_zone_limits(
    services: int, zones: dict[str, str]
) -> dict[str, int]:
    """Returns the maximum number of services owned in each zone."""
    share = services * MAX_ZONE_LOAD_FACTOR / len(zones)
    counts = collections.Counter(zones.values())
    return {zone: math.ceil(share * count) for zone, count in counts.items()}


class Membership(Protocol):
    """The part of membership that ownership needs."""

    @property
    def own(self) -> members_module.Member:
        """This host."""

    def members(self) -> tuple[members_module.Member, ...]:
        """Returns the members that are not dead."""

    def find(self, name: str) -> members_module.Member | None:
        """Returns a member by name, or None if it is unknown or dead."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback for changes of the membership view."""

    async def send_fact(
        self, member: members_module.Member, topic: str, key: str, body: bytes
    ) -> bool:
        """Sends a fact to one member, which does not gossip it further."""

    async def rejoin(self) -> bool:
        """Exchanges heartbeats with a few members.

        Returns:
          Whether one answered, or there is no other member.
        """


class ConfigurationSource(Protocol):
    """Provides the configuration in force and reports new versions."""

    @property
    def current(self) -> configuration.Configuration | None:
        """The configuration in force."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each new version."""


Prepare = Callable[[str], Awaitable[bytes | None]]


async def _prepare_without_state(service: str) -> bytes | None:
    """Lets a service be handed over at once and without state."""
    del service
    return b""


class Ownership:
    """Computes the owner of each service from this host's point of view.

    Args:
      name: Name of this host.
      membership: The members.
      configuration_source: The configuration in force.
      clock: The clock.
      facts: The gossiped facts, through which handover messages arrive.
    """

    def __init__(
        self,
        *,
        name: str,
        membership: Membership,
        configuration_source: ConfigurationSource,
        clock: clock_module.Clock,
        facts: facts_module.FactTable,
    ):
        self._name = name
        self._membership = membership
        self._configuration_source = configuration_source
        self._clock = clock
        self._owners: dict[str, str] = {}
        self._claims: dict[str, Claim] = {}
        self._handed_over_at: dict[str, float] = {}
        # A new host that knows no peers yet would compute itself as the owner
        # of every service.
        self._lapsed = True
        self._pause_count = 0
        self._rejoin_task: asyncio.Task[None] | None = None
        self._callbacks: list[Callable[[], None]] = []
        self._tasks = background_tasks.BackgroundTasks(component="ownership")
        self.moves = 0
        self._prepare_state: Prepare = _prepare_without_state
        self._accept_state: Callable[[str, bytes], None] | None = None
        facts.subscribe(HANDOVER_TOPIC)(self._handle_handover)
        membership.subscribe(self._recompute)
        configuration_source.subscribe(self._recompute)

    def stop(self) -> None:
        """Cancels the background tasks."""
        self._tasks.cancel()

    def owner_of(self, service: str) -> members_module.Member | None:
        """Returns the owner of a service, or None if there is none."""
        name = self._owners.get(service)
        return self._membership.find(name) if name else None

    def owned(self) -> frozenset[str]:
        """Returns the services that this host owns."""
        return frozenset(self._claims)

    def list_claims(self) -> tuple[Claim, ...]:
        """Returns this host's claims, sorted by service."""
        return tuple(sorted(self._claims.values()))

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each change of owners or claims."""
        self._callbacks.append(callback)

    def set_handover_callbacks(
        self,
        *,
        prepare: "Prepare",
        accept: Callable[[str, bytes], None],
    ) -> None:
        """Sets the callbacks that export and import the state of a service.

        Args:
          prepare: Takes a service, waits until this host no longer uses what
            the next owner must have exclusively, and returns the state for
            that owner; None if the service cannot be handed over.
          accept: Called with a service and the state from its previous owner.
        """
        self._prepare_state = prepare
        self._accept_state = accept

    def handle_pause(self, gap_s: float) -> None:
        """Drops all claims until a peer has answered a heartbeat."""
        self._lapsed = True
        self._pause_count += 1
        if self._claims:
            logger.info(
                f"ownership: Ownership lapsed after a pause of {gap_s:.2f} s."
            )
            self._claims = {}
            self._notify_subscribers()
        self._ensure_rejoin_task()

    def dump(self) -> dict[str, Any]:
        """Returns the owners and claims for the state dump."""
        return {
            "owners": dict(sorted(self._owners.items())),
            "claims": [claim._asdict() for claim in self.list_claims()],
            "lapsed": self._lapsed,
            "moves": self.moves,
        }

    def _recompute(self) -> None:
        """Recomputes the owners from the members and the configuration."""
        current = self._configuration_source.current
        if current is None:
            return
        if self._lapsed:
            self._ensure_rejoin_task()
        previous = self._owners
        self._owners = assign_owners(
            (service.name for service in current.services),
            self._membership.members(),
            current.get_zones_in_service(),
        )
        if self._owners == previous:
            return
        moved = [s for s, o in self._owners.items() if previous.get(s) != o]
        self.moves += len(moved)
        self._notify_next_owners(previous)
        self._update_claims(previous)
        self._notify_subscribers()

    def _update_claims(self, previous: dict[str, str]) -> None:
        """Claims the services that this host owns now and drops the others."""
        if self._lapsed:
            return
        own_services = {s for s, o in self._owners.items() if o == self._name}
        self._claims = {
            service: self._claims.get(service)
            or self._make_claim(service, previous)
            for service in own_services
        }

    def _make_claim(self, service: str, previous: dict[str, str]) -> Claim:
        """Returns the claim to a service that this host newly owns."""
        now = self._clock.monotonic()
        handed_over_at = self._handed_over_at.pop(service, -math.inf)
        return Claim(service, now, now - handed_over_at <= HANDOVER_TTL_S)

    def _notify_next_owners(self, previous: dict[str, str]) -> None:
        """Sends handover messages for the services that this host has lost."""
        for service in sorted(self._claims):
            owner = self._owners.get(service)
            if owner is None or owner == self._name:
                continue
            member = self._membership.find(owner)
            if member is not None:
                self._tasks.spawn(self._send_handover(member, service))

    async def _send_handover(
        self, member: members_module.Member, service: str
    ) -> None:
        """Sends the state of a service to its next owner once it is ready."""
        body = await self._prepare_state(service)
        if body is not None:
            await self._membership.send_fact(
                member, HANDOVER_TOPIC, service, body
            )

    def _handle_handover(self, fact: messages.GossipFact) -> None:
        """Records that the previous owner of a service has stopped sending."""
        if self._accept_state is not None:
            self._accept_state(fact.key, fact.body)
        claim = self._claims.get(fact.key)
        if claim is None:
            self._handed_over_at[fact.key] = self._clock.monotonic()
            return
        if not claim.handed_over:
            self._claims[fact.key] = claim._replace(handed_over=True)
            self._notify_subscribers()

    def _ensure_rejoin_task(self) -> None:
        """Starts the rejoin task unless it is already running."""
        if self._rejoin_task is None or self._rejoin_task.done():
            self._rejoin_task = self._tasks.spawn(self._rejoin())

    async def _rejoin(self) -> None:
        """Claims services again once a peer has answered.

        A pause during the exchange makes the answer outdated, so the exchange
        is repeated.
        """
        while True:
            pause_count = self._pause_count
            answered = await self._membership.rejoin()
            if answered and pause_count == self._pause_count:
                break
            await self._clock.sleep(REJOIN_RETRY_DELAY_S)
        self._lapsed = False
        self._update_claims({})
        self._notify_subscribers()

    def _notify_subscribers(self) -> None:
        for callback in self._callbacks:
            callback()
