"""Membership: heartbeats of fixed fan-out, suspicion, refutation, rejoining.

In each period a host exchanges a heartbeat with a fixed number of members in
random order, whatever the size of the fleet.  A member that does not answer
is tried once more and through others, so that one broken link does not make
a host suspect; then it is suspected, and dead unless it refutes in time.
News go at once to a few random members, who pass them on, and travel with
every heartbeat for a while.  The platform's host list only names hosts to
try; what a host says itself is what counts.
"""

import asyncio
import collections
from collections.abc import Callable
import random as random_module
from typing import Any
from typing import Protocol

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.coordination import facts as facts_module
from eelgrasshall.coordination import seeds as seeds_module
from eelgrasshall.coordination import stress
from eelgrasshall.coordination import tasks
from eelgrasshall.coordination import view as view_module
from eelgrasshall.protocol import messages
from eelgrasshall.protocol import platform as platform_protocol
from eelgrasshall.state import members as members_module
from eelgrasshall.transport import peers

HEARTBEAT_PERIOD_S = 0.5
HEARTBEAT_FANOUT = 2
INDIRECT_PROBES = 2
# Bounds a probe on another host's behalf, below the asker's own timeout.
PROBE_FOR_OTHER_TIMEOUT_S = 0.25
PUSH_FANOUT = 4
# News that come together within this time leave together.
PUSH_GATHER_S = 0.02
PUSH_GAP_S = 0.1
# While news keep coming, pushes become rarer up to this gap, so that a storm
# of news does not add to the load that may have caused it.
PUSH_GAP_LIMIT_S = 0.8
DIGEST_PERIOD_S = 10.0
RECONNECT_PERIOD_S = 2.0
RECONNECT_FANOUT = 2
# The host list is read by the whole fleet at a rate that does not grow.
HOST_LIST_PERIOD_S = 10.0
HOST_LIST_PERIOD_PER_HOST_S = 0.5
HOST_LIST_RETRY_S = 1.0
# A host that finds neither peers nor the host list acts alone after this time.
JOIN_LIMIT_S = 2.0
LEAVING_CALLS_AT_ONCE = 32
MESSAGE_OVERHEAD_BYTES = 124


class Stream(Protocol):
    """What membership needs of a stream to a peer."""

    async def gossip(self, message: messages.Gossip) -> messages.Gossip:
        """Exchanges a heartbeat or raises `peers.PeerError`."""


class Streams(Protocol):
    """What membership needs of the streams."""

    def get(self, member: members_module.Member) -> Stream:
        """Returns the stream to a member."""

    def close(self, name: str) -> None:
        """Closes the stream to a peer."""


class HostList(Protocol):
    """What membership needs of the platform."""

    async def hosts(self) -> platform_protocol.HostsResult:
        """Reads the host list."""


class Membership:
    """Keeps this host's view of the fleet.

    Args:
      self_member: This host.
      clock: The clock.
      random: The source of random choices.
      facts: The facts that travel with heartbeats.
      streams: The streams to peers.
      platform: Reads the host list.
      seeds: Addresses to try besides those of the host list.
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
        self._view = view_module.MemberView(
            self_member=self_member, clock=clock, facts=facts
        )
        self._clock = clock
        self._random = random
        self._facts = facts
        self._streams = streams
        self._platform = platform
        self._addresses = seeds_module.Addresses(view=self._view, seeds=seeds)
        self._round: list[str] = []
        self._incarnations: dict[str, int] = {}
        self._get_version: Callable[[], int] = lambda: 0
        self._on_version: (
            Callable[[int, members_module.Member], None] | None
        ) = None
        self._stress = stress.Stress()
        self._news = asyncio.Event()
        self._joined = asyncio.Event()
        self._tasks = tasks.Tasks(part="membership")
        self.counts: collections.Counter[str] = collections.Counter()
        facts.subscribe_news(self.push)

    def start(self, *, joining: bool = False) -> None:
        """Starts heartbeats and joins through the host list.

        Args:
          joining: Whether this host takes no work until `announce_ready`.
        """
        status = members_module.MemberStatus.ALIVE
        if joining:
            status = members_module.MemberStatus.JOINING
        self._view.state_own(status)
        for loop in (
            self._run_heartbeats,
            self._run_pushes,
            self._run_suspicions,
            self._run_digests,
            self._run_reconnects,
            self._run_host_list,
            self._end_joining,
        ):
            self._tasks.spawn(loop())

    async def stop(self) -> None:
        """Stops heartbeats without a word; see `announce_leaving`."""
        await self._tasks.stop()

    @property
    def own(self) -> members_module.Member:
        """This host."""
        return self._view.own

    def members(self) -> tuple[members_module.Member, ...]:
        """Returns the members that are not dead, this one too, by name."""
        return self._view.usable()

    def find(self, name: str) -> members_module.Member | None:
        """Returns a member that is not dead by name."""
        member = self._view.find(name)
        return member if member and member.is_usable() else None

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback, without arguments, for changes of the view."""
        self._view.subscribe(callback)

    def attach_versions(
        self,
        *,
        get_version: Callable[[], int],
        on_version: Callable[[int, members_module.Member], None],
    ) -> None:
        """Lets configuration versions travel with heartbeats.

        Args:
          get_version: Gives the version that this host has in force.
          on_version: Called with each version heard and who has it.
        """
        self._get_version = get_version
        self._on_version = on_version

    def push(self) -> None:
        """Has a heartbeat go to a few random members at once."""
        self._news.set()

    async def answer_gossip(self, message: messages.Gossip) -> messages.Gossip:
        """Answers a heartbeat of another host."""
        answers = self._receive(message)
        if facts_module.find_digest(message) is not None:
            answers += (self._facts.make_digest(self._view.name),)
        reachable = False
        if message.probe:
            reachable = await self._probe_for_other(message.probe)
        return self._compose(message.sender, extra=answers, reachable=reachable)

    async def tell(
        self, member: members_module.Member, topic: str, key: str, body: bytes
    ) -> bool:
        """Tells one member something that is not passed on.

        Returns:
          Whether the member has it for sure.
        """
        sequence = int(self._clock.wall() * 1000)
        fact = messages.GossipFact(topic, key, sequence, b"0 " + body)
        return await self._exchange(member, extra=(fact,)) is not None

    async def exchange_heartbeat(self, member: members_module.Member) -> bool:
        """Exchanges one heartbeat with a member at once."""
        return await self._exchange(member) is not None

    def announce_ready(self) -> None:
        """Tells the members that this host takes work, if it was joining."""
        if self.own.status is members_module.MemberStatus.JOINING:
            self._view.state_own(members_module.MemberStatus.ALIVE)

    async def announce_leaving(self) -> None:
        """Tells every member directly that this host is about to go."""
        self._view.state_own(members_module.MemberStatus.LEAVING)
        statement = self._view.find_statement(self._view.name)
        gate = asyncio.Semaphore(LEAVING_CALLS_AT_ONCE)

        async def say(member: members_module.Member) -> None:
            async with gate:
                await self._exchange(member, extra=(statement,))

        await asyncio.gather(*(say(m) for m in self._view.others()))

    async def rejoin(self) -> bool:
        """Compares notes with a few members, after the first start too.

        Returns:
          Whether one answered, or there is no other member.
        """
        await self._joined.wait()
        others = self._view.others()
        if not others:
            return True
        chosen = self._choose(others, PUSH_FANOUT)
        answered = await asyncio.gather(*(self._sync(m) for m in chosen))
        return any(answered)

    def dump(self) -> dict[str, Any]:
        """Returns the view and counters for the state dump."""
        return {
            "self": _describe(self._view.own),
            "members": [_describe(m) for m in self._view.usable()],
            "dead": [m.name for m in self._view.dead()],
            "listed_only": sorted(m.name for m in self._addresses.find_unmet()),
            "refutations": self._view.refutations,
            "forgiven": self._view.forgiven,
            "patience": round(self._view.patience, 2),
            "counts": dict(self.counts),
            "facts": self._facts.dump(),
        }

    # The loops, one task each.

    async def _run_heartbeats(self) -> None:
        """Exchanges heartbeats in each period."""
        while True:
            await self._sleep(HEARTBEAT_PERIOD_S)
            for member in self._next_targets():
                self._tasks.spawn(self._probe(member))

    async def _run_pushes(self) -> None:
        """Passes news on at once, and less often while they keep coming."""
        gap_s = PUSH_GAP_S
        while True:
            await self._news.wait()
            await self._clock.sleep(PUSH_GATHER_S)
            self._news.clear()
            for member in self._choose(self._view.answering(), PUSH_FANOUT):
                self._tasks.spawn(self._exchange(member))
            await self._clock.sleep(gap_s)
            if self._news.is_set():
                gap_s = min(2 * gap_s, PUSH_GAP_LIMIT_S)
            else:
                gap_s = PUSH_GAP_S

    async def _run_suspicions(self) -> None:
        """Lets suspicion run out."""
        while True:
            await self._clock.sleep(view_module.SUSPICION_TICK_S)
            for name in self._view.expire():
                self._streams.close(name)
                self._incarnations.pop(name, None)

    async def _run_digests(self) -> None:
        """Compares tables with a random member now and then."""
        while True:
            await self._sleep(DIGEST_PERIOD_S)
            for member in self._choose(self._view.others(), 1):
                await self._sync(member)

    async def _run_reconnects(self) -> None:
        """Tries hosts that are dead or only listed; they may be back."""
        while True:
            await self._sleep(RECONNECT_PERIOD_S)
            candidates = self._view.dead() + self._addresses.find_unmet()
            for member in self._choose(candidates, RECONNECT_FANOUT):
                self._tasks.spawn(self._meet(member))

    async def _run_host_list(self) -> None:
        """Reads the host list, at first until it has been read once."""
        while True:
            wait_s = HOST_LIST_RETRY_S
            entries = await self._platform.hosts()
            if not isinstance(entries, errors.Problem):
                self._addresses.take(entries)
                fleet = len(self._view.usable())
                scaled_s = HOST_LIST_PERIOD_PER_HOST_S * fleet
                wait_s = max(HOST_LIST_PERIOD_S, scaled_s)
            if not self._view.others():
                unmet = self._choose(self._addresses.find_unmet(), PUSH_FANOUT)
                await asyncio.gather(*(self._meet(m) for m in unmet))
            if not isinstance(entries, errors.Problem):
                self._joined.set()
            await self._sleep(wait_s)

    async def _end_joining(self) -> None:
        """Lets this host act alone if it has found nobody for a while."""
        await self._clock.sleep(JOIN_LIMIT_S)
        self._joined.set()

    # Probes.

    async def _probe(self, member: members_module.Member) -> None:
        """Sees whether a member answers, in one way or another."""
        has_answered = await self._exchange(member) is not None
        self._view.patience = self._stress.note(has_answered)
        if has_answered:
            return
        current = self._view.find(member.name)
        if current is not None and not current.accepts_work():
            self._view.mark_dead(member.name)
            return
        if await self._probe_again(member):
            return
        self._view.suspect(member.name)

    async def _probe_again(self, member: members_module.Member) -> bool:
        """Tries a member on a fresh stream and through other members."""
        others = [m for m in self._view.others() if m.name != member.name]
        helpers = self._choose(others, INDIRECT_PROBES)
        self.counts["indirect_probes"] += len(helpers)
        replies = await asyncio.gather(
            self._exchange(member),
            *(self._exchange(h, probe=member.name) for h in helpers),
        )
        direct, *indirect = replies
        return direct is not None or any(
            reply is not None and reply.reachable for reply in indirect
        )

    async def _probe_for_other(self, name: str) -> bool:
        """Probes a member on another host's behalf."""
        member = self._view.find(name)
        if member is None:
            return False
        try:
            async with asyncio.timeout(PROBE_FOR_OTHER_TIMEOUT_S):
                return await self._exchange(member) is not None
        except TimeoutError:
            return False

    async def _meet(self, member: members_module.Member) -> None:
        """Tries a host that is not in the view."""
        if await self._sync(member):
            self.counts["met"] += 1

    # Messages.

    async def _exchange(
        self,
        member: members_module.Member,
        probe: str = "",
        extra: tuple[messages.GossipFact, ...] = (),
    ) -> messages.Gossip | None:
        """Exchanges one heartbeat; gives None if the member did not answer."""
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
            # A host that has just restarted may know nobody.
            self._tasks.spawn(self._sync(member))
        # A different host may have taken over the address.
        known = self._view.find(member.name)
        if known is not None and reply.sender != member.name:
            return None
        return reply

    async def _sync(self, member: members_module.Member) -> bool:
        """Compares tables with a member; tells whether it answered."""
        digest = self._facts.make_digest(self._view.name)
        return await self._exchange(member, extra=(digest,)) is not None

    def _receive(
        self, message: messages.Gossip
    ) -> tuple[messages.GossipFact, ...]:
        """Takes a message in; returns facts that its digest shows missing."""
        self.counts["messages_received"] += 1
        self.counts["bytes_received"] += _measure(message)
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
        """Returns the next message for a host."""
        own = self._view.own
        accusation = self._find_accusation(receiver)
        facts = (accusation,) if accusation else ()
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
        self.counts["bytes_sent"] += _measure(message)
        return message

    def _find_accusation(self, receiver: str) -> messages.GossipFact | None:
        """Returns the statement that doubts the receiver, for it to refute."""
        doubted = self._view.find(receiver)
        if doubted is None or doubted.status not in (
            members_module.MemberStatus.SUSPECT,
            members_module.MemberStatus.DEAD,
        ):
            return None
        return self._view.find_statement(receiver)

    # Choices.

    def _next_targets(self) -> list[members_module.Member]:
        """Returns the next members of a shuffled round."""
        targets: list[members_module.Member] = []
        others = {m.name: m for m in self._view.others()}
        wanted = min(HEARTBEAT_FANOUT, len(others))
        while len(targets) < wanted:
            if not self._round:
                self._round = sorted(others)
                self._random.shuffle(self._round)
            member = others.get(self._round.pop())
            if member is not None and member not in targets:
                targets.append(member)
        return targets

    def _choose(
        self, candidates: list[members_module.Member], wanted: int
    ) -> list[members_module.Member]:
        """Returns a few random candidates."""
        return self._random.sample(candidates, min(wanted, len(candidates)))

    async def _sleep(self, period_s: float) -> None:
        """Waits for about a period, so that hosts do not act in step."""
        await self._clock.sleep(period_s * self._random.uniform(0.9, 1.1))


def _describe(member: members_module.Member) -> dict[str, Any]:
    """Returns a member for the state dump."""
    return {**member._asdict(), "status": member.status.value}


def _measure(message: messages.Gossip) -> int:
    """Returns about how many bytes a message takes."""
    facts = sum(facts_module.measure_fact(fact) for fact in message.facts)
    return MESSAGE_OVERHEAD_BYTES + len(message.sender) + facts
