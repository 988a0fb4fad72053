"""Membership: heartbeats with a fixed fan-out, suspicion and refutation.

In each period a host exchanges a heartbeat with a fixed number of members in
random order, whatever the size of the fleet.  A member that does not answer is
probed once more, directly and through other members, so that one broken link
does not make it a suspect.  A suspect is declared dead unless it refutes the
suspicion in time.

Updates are pushed at once to a few random members, who pass them on, and are
repeated in the next heartbeats.  The platform's host list only names hosts to
contact; what a host says about itself takes precedence.
"""

import asyncio
import collections
from collections.abc import Callable
import random as random_module
from typing import Any
from typing import Protocol

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.coordination import background_tasks
from eelgrasshall.coordination import facts as facts_module
from eelgrasshall.coordination import local_health
from eelgrasshall.coordination import membership_view
from eelgrasshall.coordination import seeds as seeds_module
from eelgrasshall.protocol import messages
from eelgrasshall.protocol import platform as platform_protocol
from eelgrasshall.state import members as members_module
from eelgrasshall.transport import peers

HEARTBEAT_PERIOD_S = 0.5
HEARTBEAT_FANOUT = 2
INDIRECT_PROBE_COUNT = 2
# Limits a probe on another host's behalf; below the time-out of the host that
# asked for it.
INDIRECT_PROBE_TIMEOUT_S = 0.25
PUSH_FANOUT = 4
# Updates that arrive within this time are pushed together.
PUSH_BATCH_DELAY_S = 0.02
MIN_PUSH_INTERVAL_S = 0.1
# While updates keep arriving, the interval between pushes doubles up to this
# limit, so that a burst of updates does not add to the load that may have
# caused it.
MAX_PUSH_INTERVAL_S = 0.8
DIGEST_PERIOD_S = 10.0
RECONNECT_PERIOD_S = 2.0
RECONNECT_FANOUT = 2
# Each host's period for reading the host list grows with the fleet, so that
# the rate at which the whole fleet reads it stays bounded.
MIN_HOST_LIST_PERIOD_S = 10.0
HOST_LIST_PERIOD_PER_HOST_S = 0.5
HOST_LIST_RETRY_S = 1.0
# A host that reaches neither peers nor the host list no longer waits for them
# after this time.
JOIN_TIMEOUT_S = 2.0
MAX_CONCURRENT_LEAVE_CALLS = 32
MESSAGE_OVERHEAD_BYTES = 124


class Stream(Protocol):
    """The interface that membership needs of a stream to a peer."""

    async def gossip(self, message: messages.Gossip) -> messages.Gossip:
        """Exchanges a heartbeat; raises `peers.PeerError` on failure."""


class Streams(Protocol):
    """The interface that membership needs of the peer streams."""

    def get(self, member: members_module.Member) -> Stream:
        """Returns the stream to a member."""

    def close(self, name: str) -> None:
        """Closes the stream to a peer."""


class HostList(Protocol):
    """The interface that membership needs of the platform."""

    async def hosts(self) -> platform_protocol.HostsResult:
        """Reads the host list."""


class Membership:
    """Keeps this host's view of the fleet.

    Args:
      self_member: This host.
      clock: The clock.
      random: The source of random choices.
      facts: The facts that heartbeats carry.
      streams: The streams to peers.
      platform: Reads the host list.
      seeds: Addresses to contact besides those of the host list.
    """

    def __init__(
        self,
        *,
        self_member: members_module.Member,
        clock: clock_module.Clock,
        random: random_module.Random,
        facts: facts_module.FactTable,
        streams: Streams,
        platform: HostList,
        seeds: tuple[seeds_module.Seed, ...] = (),
    ):
        self._view = membership_view.MembershipView(
            self_member=self_member, clock=clock, facts=facts
        )
        self._clock = clock
        self._random = random
        self._facts = facts
        self._streams = streams
        self._platform = platform
        self._candidates = seeds_module.HostCandidates(
            view=self._view, seeds=seeds
        )
        self._probe_order: list[str] = []
        self._incarnations: dict[str, int] = {}
        self._get_version: Callable[[], int] = lambda: 0
        self._on_version: (
            Callable[[int, members_module.Member], None] | None
        ) = None
        self._local_health = local_health.LocalHealth()
        self._push_requested = asyncio.Event()
        self._joined = asyncio.Event()
        self._tasks = background_tasks.BackgroundTasks(component="membership")
        self.counts: collections.Counter[str] = collections.Counter()
        facts.subscribe_updates(self.push)

    def start(self, *, joining: bool = False) -> None:
        """Starts heartbeats and joins the fleet through the host list.

        Args:
          joining: Whether this host takes no work before `announce_ready`.
        """
        status = members_module.MemberStatus.ALIVE
        if joining:
            status = members_module.MemberStatus.JOINING
        self._view.publish_own_status(status)
        for run_loop in (
            self._run_heartbeats,
            self._run_pushes,
            self._run_suspicions,
            self._run_syncs,
            self._run_reconnects,
            self._run_host_list,
            self._run_join_timeout,
        ):
            self._tasks.spawn(run_loop())

    async def stop(self) -> None:
        """Stops heartbeats without notice; see `announce_leaving`."""
        await self._tasks.stop()

    @property
    def own(self) -> members_module.Member:
        """This host."""
        return self._view.own

    def members(self) -> tuple[members_module.Member, ...]:
        """Returns the members that are not dead, with this host, by name."""
        return self._view.list_usable()

    def find(self, name: str) -> members_module.Member | None:
        """Returns the member with a name, or None if it is dead or unknown."""
        member = self._view.find(name)
        return member if member and member.is_usable() else None

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback without arguments for changes of the view."""
        self._view.subscribe(callback)

    def set_version_callbacks(
        self,
        *,
        get_version: Callable[[], int],
        on_version: Callable[[int, members_module.Member], None],
    ) -> None:
        """Makes heartbeats carry configuration versions.

        Args:
          get_version: Returns the version that this host has in force.
          on_version: Called with each version received and its sender.
        """
        self._get_version = get_version
        self._on_version = on_version

    def push(self) -> None:
        """Sends a heartbeat to a few random members as soon as possible."""
        self._push_requested.set()

    async def answer_gossip(self, message: messages.Gossip) -> messages.Gossip:
        """Returns the reply to a heartbeat of another host."""
        answers = self._receive(message)
        if facts_module.find_digest(message) is not None:
            answers += (self._facts.make_digest(self._view.name),)
        reachable = False
        if message.probe:
            reachable = await self._probe_on_behalf(message.probe)
        return self._compose(message.sender, extra=answers, reachable=reachable)

    async def send_fact(
        self, member: members_module.Member, topic: str, key: str, body: bytes
    ) -> bool:
        """Sends a fact to one member, which does not pass it on.

        Returns:
          Whether the member confirmed it; if not, it may still have arrived.
        """
        sequence = int(self._clock.wall() * 1000)
        fact = messages.GossipFact(topic, key, sequence, b"0 " + body)
        return await self._exchange(member, extra=(fact,)) is not None

    async def exchange_heartbeat(self, member: members_module.Member) -> bool:
        """Exchanges a heartbeat now; returns whether the member answered."""
        return await self._exchange(member) is not None

    def announce_ready(self) -> None:
        """Announces that this host takes work, if it was joining."""
        if self.own.status is members_module.MemberStatus.JOINING:
            self._view.publish_own_status(members_module.MemberStatus.ALIVE)

    async def announce_leaving(self) -> None:
        """Tells every member directly that this host is leaving."""
        self._view.publish_own_status(members_module.MemberStatus.LEAVING)
        statement = self._view.find_statement(self._view.name)
        limiter = asyncio.Semaphore(MAX_CONCURRENT_LEAVE_CALLS)

        async def send_statement(member: members_module.Member) -> None:
            async with limiter:
                await self._exchange(member, extra=(statement,))

        await asyncio.gather(
            *(send_statement(m) for m in self._view.list_others())
        )

    async def rejoin(self) -> bool:
        """Synchronizes the facts with a few members.

        Waits until this host has joined the fleet.

        Returns:
          Whether a member answered or there is no other member.
        """
        await self._joined.wait()
        others = self._view.list_others()
        if not others:
            return True
        chosen = self._choose(others, PUSH_FANOUT)
        answered = await asyncio.gather(*(self._sync(m) for m in chosen))
        return any(answered)

    def dump(self) -> dict[str, Any]:
        """Returns the view and counters for the state dump."""
        return {
            "self": _describe(self._view.own),
            "members": [_describe(m) for m in self._view.list_usable()],
            "dead": [m.name for m in self._view.list_dead()],
            "listed_only": sorted(
                m.name for m in self._candidates.list_candidates()
            ),
            "refutations": self._view.refutations,
            "forgiven": self._view.skipped_suspicions,
            "patience": round(self._view.suspicion_multiplier, 2),
            "counts": dict(self.counts),
            "facts": self._facts.dump(),
        }

    # Loops that run as one task each.

    async def _run_heartbeats(self) -> None:
        """Probes the next members in each period."""
        while True:
            await self._sleep_with_jitter(HEARTBEAT_PERIOD_S)
            for member in self._next_probe_targets():
                self._tasks.spawn(self._probe(member))

    async def _run_pushes(self) -> None:
        """Pushes updates at once, but less often while they keep arriving."""
        interval_s = MIN_PUSH_INTERVAL_S
        while True:
            await self._push_requested.wait()
            await self._clock.sleep(PUSH_BATCH_DELAY_S)
            self._push_requested.clear()
            for member in self._choose(
                self._view.list_unsuspected(), PUSH_FANOUT
            ):
                self._tasks.spawn(self._exchange(member))
            await self._clock.sleep(interval_s)
            if self._push_requested.is_set():
                interval_s = min(2 * interval_s, MAX_PUSH_INTERVAL_S)
            else:
                interval_s = MIN_PUSH_INTERVAL_S

    async def _run_suspicions(self) -> None:
        """Declares suspects dead whose time to refute is over."""
        while True:
            await self._clock.sleep(membership_view.SUSPICION_CHECK_INTERVAL_S)
            for name in self._view.expire():
                self._streams.close(name)
                self._incarnations.pop(name, None)

    async def _run_syncs(self) -> None:
        """Synchronizes the facts with one random member in each period."""
        while True:
            await self._sleep_with_jitter(DIGEST_PERIOD_S)
            for member in self._choose(self._view.list_others(), 1):
                await self._sync(member)

    async def _run_reconnects(self) -> None:
        """Contacts dead and unknown hosts, which may be running again."""
        while True:
            await self._sleep_with_jitter(RECONNECT_PERIOD_S)
            targets = (
                self._view.list_dead() + self._candidates.list_candidates()
            )
            for member in self._choose(targets, RECONNECT_FANOUT):
                self._tasks.spawn(self._contact(member))

    async def _run_host_list(self) -> None:
        """Reads the host list periodically; retries sooner after a failure."""
        while True:
            wait_s = HOST_LIST_RETRY_S
            entries = await self._platform.hosts()
            if not isinstance(entries, errors.Problem):
                self._candidates.set_listed_hosts(entries)
                host_count = len(self._view.list_usable())
                scaled_s = HOST_LIST_PERIOD_PER_HOST_S * host_count
                wait_s = max(MIN_HOST_LIST_PERIOD_S, scaled_s)
            if not self._view.list_others():
                chosen = self._choose(
                    self._candidates.list_candidates(), PUSH_FANOUT
                )
                await asyncio.gather(*(self._contact(m) for m in chosen))
            if not isinstance(entries, errors.Problem):
                self._joined.set()
            await self._sleep_with_jitter(wait_s)

    async def _run_join_timeout(self) -> None:
        """Stops waiting for other hosts if this one has not joined in time."""
        await self._clock.sleep(JOIN_TIMEOUT_S)
        self._joined.set()

    # Probes.

    async def _probe(self, member: members_module.Member) -> None:
        """Probes a member; marks it suspect if no probe reaches it.

        A joining or leaving member, which takes no work, is declared dead
        after the first unanswered probe.
        """
        has_answered = await self._exchange(member) is not None
        self._view.suspicion_multiplier = self._local_health.record_heartbeat(
            has_answered
        )
        if has_answered:
            return
        current = self._view.find(member.name)
        if current is not None and not current.accepts_work():
            self._view.mark_dead(member.name)
            return
        if await self._confirm_reachable(member):
            return
        self._view.mark_suspect(member.name)

    async def _confirm_reachable(self, member: members_module.Member) -> bool:
        """Probes a member once more, directly and through other members.

        The direct probe opens a new connection if the first one was closed
        because it delivered no reply.
        """
        others = [m for m in self._view.list_others() if m.name != member.name]
        helpers = self._choose(others, INDIRECT_PROBE_COUNT)
        self.counts["indirect_probes"] += len(helpers)
        replies = await asyncio.gather(
            self._exchange(member),
            *(self._exchange(h, probe=member.name) for h in helpers),
        )
        direct, *indirect = replies
        return direct is not None or any(
            reply is not None and reply.reachable for reply in indirect
        )

    async def _probe_on_behalf(self, name: str) -> bool:
        """Returns whether a member answers, on another host's behalf."""
        member = self._view.find(name)
        if member is None:
            return False
        try:
            async with asyncio.timeout(INDIRECT_PROBE_TIMEOUT_S):
                return await self._exchange(member) is not None
        except TimeoutError:
            return False

    async def _contact(self, member: members_module.Member) -> None:
        """Contacts a host that is dead or unknown to the view."""
        if await self._sync(member):
            self.counts["met"] += 1

    # Messages.

    async def _exchange(
        self,
        member: members_module.Member,
        probe: str = "",
        extra: tuple[messages.GossipFact, ...] = (),
    ) -> messages.Gossip | None:
        """Exchanges one heartbeat; returns None without a valid answer."""
        message = self._compose(member.name, probe=probe, extra=extra)
        before = self._incarnations.get(member.name)
        try:
            reply = await self._streams.get(member).gossip(message)
        except peers.PeerError:
            self.counts["unanswered"] += 1
            return None
        answers = self._receive(reply)
        if answers:
            self._tasks.spawn(self._exchange(member, extra=answers))
        if before not in (None, self._incarnations.get(member.name)):
            # A host that has just restarted may know no other member.
            self._tasks.spawn(self._sync(member))
        # Another host may have taken over the address.
        known = self._view.find(member.name)
        if known is not None and reply.sender != member.name:
            return None
        return reply

    async def _sync(self, member: members_module.Member) -> bool:
        """Exchanges digests with a member; returns whether it answered."""
        digest = self._facts.make_digest(self._view.name)
        return await self._exchange(member, extra=(digest,)) is not None

    def _receive(
        self, message: messages.Gossip
    ) -> tuple[messages.GossipFact, ...]:
        """Handles a message; returns facts that its digest shows as missing."""
        self.counts["messages_received"] += 1
        self.counts["bytes_received"] += _estimate_size(message)
        self._incarnations[message.sender] = message.incarnation
        self._facts.merge(message.facts, message.sender)
        sender = self._view.find(message.sender)
        if sender is not None:
            self._joined.set()
        if sender is not None and self._on_version is not None:
            self._on_version(message.configuration_version, sender)
        digest = facts_module.find_digest(message)
        return self._facts.answer_digest(digest) if digest else ()

    def _compose(
        self,
        receiver: str,
        probe: str = "",
        extra: tuple[messages.GossipFact, ...] = (),
        reachable: bool = False,
    ) -> messages.Gossip:
        """Returns the next message to a host."""
        own = self._view.own
        suspicion = self._find_suspicion(receiver)
        facts = (suspicion,) if suspicion else ()
        facts += extra
        facts += self._facts.collect_for(receiver)
        message = messages.Gossip(
            sender=own.name,
            incarnation=own.incarnation,
            configuration_version=self._get_version(),
            facts=facts,
            probe=probe,
            reachable=reachable,
        )
        self.counts["messages_sent"] += 1
        self.counts["bytes_sent"] += _estimate_size(message)
        return message

    def _find_suspicion(self, receiver: str) -> messages.GossipFact | None:
        """Returns the statement that the receiver is suspect or dead, if any.

        The receiver gets it with the next message and can refute it.
        """
        member = self._view.find(receiver)
        if member is None or member.status not in (
            members_module.MemberStatus.SUSPECT,
            members_module.MemberStatus.DEAD,
        ):
            return None
        return self._view.find_statement(receiver)

    # Selection and timing.

    def _next_probe_targets(self) -> list[members_module.Member]:
        """Returns the next members in a shuffled order of all members."""
        targets: list[members_module.Member] = []
        others = {m.name: m for m in self._view.list_others()}
        count = min(HEARTBEAT_FANOUT, len(others))
        while len(targets) < count:
            if not self._probe_order:
                self._probe_order = sorted(others)
                self._random.shuffle(self._probe_order)
            member = others.get(self._probe_order.pop())
            if member is not None and member not in targets:
                targets.append(member)
        return targets

    def _choose(
        self, candidates: list[members_module.Member], count: int
    ) -> list[members_module.Member]:
        """Returns up to `count` random candidates."""
        return self._random.sample(candidates, min(count, len(candidates)))

    async def _sleep_with_jitter(self, period_s: float) -> None:
        """Sleeps for a period with jitter, so that hosts do not synchronize."""
        await self._clock.sleep(period_s * self._random.uniform(0.9, 1.1))


def _describe(member: members_module.Member) -> dict[str, Any]:
    """Returns a member for the state dump."""
    return {**member._asdict(), "status": member.status.value}


def _estimate_size(message: messages.Gossip) -> int:
    """Returns the approximate size of a message, in bytes."""
    facts = sum(facts_module.estimate_size(fact) for fact in message.facts)
    return MESSAGE_OVERHEAD_BYTES + len(message.sender) + facts
