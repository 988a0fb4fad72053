"""The view of the fleet that one host holds, built from statements.

Statements about members travel as facts of the topic `member`.  The view
turns those that win into `Member` values, refutes what others wrongly state
about this host, and lets suspicion run out into death.
"""

from collections.abc import Callable
import math

from loguru import logger

from eelgrasshall import clock as clock_module
from eelgrasshall.coordination import facts as facts_module
from eelgrasshall.protocol import messages
from eelgrasshall.state import members

# Time that a suspect has to refute, times the patience of this host.
SUSPICION_S = 1.0
SUSPICION_TICK_S = 0.1
# A gap between ticks beyond this means that this process stood still.  Its
# suspects get that time back, since their answers may wait unread, and for a
# while it blames nobody for not answering.
LATE_TICK_S = 0.3
LATE_MEMORY_S = 1.0
# The dead are remembered for rejoining after a partition, and so that older
# statements about them are not believed.
DEAD_RETENTION_S = 24 * 3600.0

_DEAD = members.MemberStatus.DEAD
_SUSPECT = members.MemberStatus.SUSPECT


class MemberView:
    """Holds what is known of each host, this one included.

    Args:
      self_member: This host.  Its incarnation is the number of milliseconds
        from the Unix epoch to the start of the process, or any other number
        below 2**60 that rises with each start.
      clock: The clock.
      facts: The table in which statements travel.
    """

    def __init__(
        self,
        *,
        self_member: members.Member,
        clock: clock_module.Clock,
        facts: facts_module.FactTable,
    ):
        if not 0 < self_member.incarnation < 2**60:
            raise ValueError("The incarnation must be from 1 below 2**60.")
        self._clock = clock
        self._facts = facts
        self._own_sequence = members.compute_first_sequence(
            self_member.incarnation
        )
        self._members = {self_member.name: self_member}
        self._suspected_since: dict[str, float] = {}
        self._ticked_at = clock.monotonic()
        self._late_at = -math.inf
        self._callbacks: list[Callable[[], None]] = []
        self._usable: tuple[members.Member, ...] = (self_member,)
        self.name = self_member.name
        self.patience = 1.0
        self.refutations = 0
        self.forgiven = 0
        facts.subscribe(members.TOPIC)(self._take_statement)

    @property
    def own(self) -> members.Member:
        """This host."""
        return self._members[self.name]

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback for changes of the view."""
        self._callbacks.append(callback)

    def usable(self) -> tuple[members.Member, ...]:
        """Returns the members that are not dead, this one too, by name."""
        return self._usable

    def others(self) -> list[members.Member]:
        """Returns the other members that are not dead, by name."""
        return [m for m in self._usable if m.name != self.name]

    def answering(self) -> list[members.Member]:
        """Returns the other members that nobody doubts, by name."""
        return [m for m in self.others() if m.status is not _SUSPECT]

    def dead(self) -> list[members.Member]:
        """Returns the members remembered as dead, by name."""
        gone = [m for m in self._members.values() if m.status is _DEAD]
        return sorted(gone)

    def find(self, name: str) -> members.Member | None:
        """Returns a member by name, whatever its status."""
        return self._members.get(name)

    def find_statement(self, name: str) -> messages.GossipFact | None:
        """Returns the statement that counts about a host, in wire form."""
        return self._facts.find(members.TOPIC, name)

    def state_own(self, status: members.MemberStatus | None = None) -> None:
        """States this host's own status, above all that was stated before."""
        if status is not None:
            self._put(self.own._replace(status=status))
        known = max(
            self._own_sequence,
            self._facts.find_sequence(members.TOPIC, self.name),
        )
        self._own_sequence = members.compute_next_own_sequence(known)
        self._publish(self.own, self._own_sequence)

    def suspect(self, name: str) -> None:
        """States that a member did not answer, unless this host was late."""
        member = self._members.get(name)
        if member is None or member.status is not members.MemberStatus.ALIVE:
            return
        if self._clock.monotonic() - self._late_at < LATE_MEMORY_S:
            self.forgiven += 1
            return
        known = self._facts.find_sequence(members.TOPIC, name)
        suspect = member._replace(status=_SUSPECT)
        logger.info(f"membership: Host {name} does not answer.")
        self._publish(suspect, members.compute_suspicion_sequence(known))
        self._note(suspect)

    def mark_dead(self, name: str) -> None:
        """States that a member is dead."""
        member = self._members.get(name)
        if member is None or member.status is _DEAD:
            return
        known = self._facts.find_sequence(members.TOPIC, name)
        dead = member._replace(status=_DEAD)
        self._publish(dead, members.compute_death_sequence(known))
        self._note(dead)

    def expire(self) -> list[str]:
        """Declares suspects dead whose time is over; forgets the long dead.

        Returns:
          The names of those forgotten.
        """
        now = self._clock.monotonic()
        late = now - self._ticked_at
        self._ticked_at = now
        if late > LATE_TICK_S:
            self._late_at = now
            for name in self._suspected_since:
                self._suspected_since[name] += late
        over = now - SUSPICION_S * self.patience
        due = [n for n, at in self._suspected_since.items() if at <= over]
        for name in due:
            self.mark_dead(name)
        forgotten = [
            member.name
            for member in self.dead()
            if self._facts.find_sequence(members.TOPIC, member.name) == 0
        ]
        for name in forgotten:
            del self._members[name]
        return forgotten

    def _publish(self, member: members.Member, sequence: int) -> None:
        """Puts a statement into the table."""
        is_dead = member.status is _DEAD
        self._facts.publish(
            members.TOPIC,
            member.name,
            members.encode_member(member),
            DEAD_RETENTION_S if is_dead else facts_module.FOREVER_S,
            sequence,
        )

    def _take_statement(self, fact: messages.GossipFact) -> None:
        """Acts on a new statement of another host."""
        if fact.key == self.name:
            self._refute(fact)
            return
        member = members.decode_member(fact)
        if member is not None:
            self._note(member)

    def _refute(self, fact: messages.GossipFact) -> None:
        """Answers a statement about this host that is not its own."""
        if fact.sequence <= self._own_sequence:
            return
        self.refutations += 1
        logger.info("membership: Others doubted this host; it refutes.")
        self.state_own()

    def _note(self, member: members.Member) -> None:
        """Takes a member's new status into the view and tells of it."""
        before = self._members.get(member.name)
        if member.status is _SUSPECT:
            now = self._clock.monotonic()
            self._suspected_since.setdefault(member.name, now)
        else:
            self._suspected_since.pop(member.name, None)
        self._log_change(before, member)
        self._put(member)

    def _log_change(
        self, before: members.Member | None, member: members.Member
    ) -> None:
        """Logs that a member came, said it leaves, or is gone."""
        old = before.status if before else _DEAD
        doubt = _SUSPECT in (old, member.status)
        if old is member.status or (doubt and member.status is not _DEAD):
            return
        name = member.name
        if member.status is _DEAD:
            logger.info(f"membership: Host {name} is gone.")
        elif member.status is members.MemberStatus.LEAVING:
            logger.info(f"membership: Host {name} is leaving.")
        elif member.status is members.MemberStatus.JOINING:
            logger.info(f"membership: Host {name} is starting.")
        else:
            logger.info(f"membership: Host {name} has joined.")

    def _put(self, member: members.Member) -> None:
        """Stores a member and calls back if the view has changed."""
        if self._members.get(member.name) == member:
            return
        self._members[member.name] = member
        usable = [m for m in self._members.values() if m.is_usable()]
        self._usable = tuple(sorted(usable))
        self._facts.set_fleet_size(len(self._usable))
        for callback in self._callbacks:
            callback()
