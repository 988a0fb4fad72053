"""This host's view of the fleet, built from gossiped statements.

Statements about members travel as facts of the topic `member`.  The view
turns the statements that prevail into `Member` values, refutes false
statements about this host, and declares suspects dead after a time-out.
"""

from collections.abc import Callable
import math

from loguru import logger

from eelgrasshall import clock as clock_module
from eelgrasshall.coordination import facts as facts_module
from eelgrasshall.protocol import messages
from eelgrasshall.state import members

# Time that a suspect has to refute, scaled by `suspicion_multiplier`.
SUSPICION_TIMEOUT_S = 1.0
SUSPICION_CHECK_INTERVAL_S = 0.1
# A longer gap between two checks means that this process was paused.  Its
# suspects get that time back, since their answers may still be unread, and for
# PAUSE_GRACE_S it raises no new suspicions.
MAX_CHECK_GAP_S = 0.3
PAUSE_GRACE_S = 1.0
# Dead members are kept so that the two sides of a partition can rejoin, and so
# that older statements about them are rejected.
DEAD_RETENTION_S = 24 * 3600.0

_DEAD = members.MemberStatus.DEAD
_SUSPECT = members.MemberStatus.SUSPECT


class MembershipView:
    """The known state of each host, this one included.

    Args:
      self_member: This host.  Its incarnation is the number of milliseconds
        from the Unix epoch to the start of the process, or any other number
        below 2**60 that increases with each start.
      clock: The clock.
      facts: The table through which statements are gossiped.

    Attributes:
      name: Name of this host.
      suspicion_multiplier: Factor by which the suspicion time-out is extended.
      refutations: How often this host has refuted statements about itself.
      skipped_suspicions: Suspicions not raised because this host had been
        paused.
    """

    def __init__(
        self,
        *,
        self_member: members.Member,
        clock: clock_module.Clock,
        facts: facts_module.FactTable,
    ):
        if not 0 < self_member.incarnation < 2**60:
            raise ValueError(
                "The incarnation must be at least 1 and less than 2**60."
            )
        self._clock = clock
        self._facts = facts
        self._own_sequence = members.compute_first_sequence(
            self_member.incarnation
        )
        self._members = {self_member.name: self_member}
        self._suspected_since: dict[str, float] = {}
        self._checked_at = clock.monotonic()
        self._last_pause_at = -math.inf
        self._callbacks: list[Callable[[], None]] = []
        self._usable: tuple[members.Member, ...] = (self_member,)
        self.name = self_member.name
        self.suspicion_multiplier = 1.0
        self.refutations = 0
        self.skipped_suspicions = 0
        facts.subscribe(members.TOPIC)(self._handle_statement)

    @property
    def own(self) -> members.Member:
        """This host."""
        return self._members[self.name]

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback for changes of the view."""
        self._callbacks.append(callback)

    def list_usable(self) -> tuple[members.Member, ...]:
        """Returns the members that are not dead, including this host."""
        return self._usable

    def list_others(self) -> list[members.Member]:
        """Returns the other members that are not dead, by name."""
        return [m for m in self._usable if m.name != self.name]

    def list_unsuspected(self) -> list[members.Member]:
        """Returns the other members that are neither dead nor suspect."""
        return [m for m in self.list_others() if m.status is not _SUSPECT]

    def list_dead(self) -> list[members.Member]:
        """Returns the retained dead members, by name."""
        dead = [m for m in self._members.values() if m.status is _DEAD]
        return sorted(dead)

    def find(self, name: str) -> members.Member | None:
        """Returns a member by name, whatever its status."""
        return self._members.get(name)

    def find_statement(self, name: str) -> messages.GossipFact | None:
        """Returns the prevailing statement about a host, in wire form."""
        return self._facts.find(members.TOPIC, name)

    def publish_own_status(
        self, status: members.MemberStatus | None = None
    ) -> None:
        """Publishes this host's status, overriding all earlier statements.

        Args:
          status: The new status; None publishes the current one again.
        """
        if status is not None:
            self._store_member(self.own._replace(status=status))
        known = max(
            self._own_sequence,
            self._facts.find_sequence(members.TOPIC, self.name),
        )
        self._own_sequence = members.compute_next_own_sequence(known)
        self._publish(self.own, self._own_sequence)

    def mark_suspect(self, name: str) -> None:
        """Publishes the suspicion of a member that did not answer.

        Does nothing if this host was recently paused, because the missing
        answer may then be its own fault.
        """
        member = self._members.get(name)
        if member is None or member.status is not members.MemberStatus.ALIVE:
            return
        if self._clock.monotonic() - self._last_pause_at < PAUSE_GRACE_S:
            self.skipped_suspicions += 1
            return
        known = self._facts.find_sequence(members.TOPIC, name)
        suspect = member._replace(status=_SUSPECT)
        logger.info(f"membership: Host {name} does not answer.")
        self._publish(suspect, members.compute_suspicion_sequence(known))
        self._update_member(suspect)

    def mark_dead(self, name: str) -> None:
        """Publishes that a member is dead."""
        member = self._members.get(name)
        if member is None or member.status is _DEAD:
            return
        known = self._facts.find_sequence(members.TOPIC, name)
        dead = member._replace(status=_DEAD)
        self._publish(dead, members.compute_death_sequence(known))
        self._update_member(dead)

    def expire(self) -> list[str]:
        """Declares timed-out suspects dead and removes expired dead members.

        Returns:
          The names of the removed members.
        """
        now = self._clock.monotonic()
        gap_s = now - self._checked_at
        self._checked_at = now
        if gap_s > MAX_CHECK_GAP_S:
            self._last_pause_at = now
            for name in self._suspected_since:
                self._suspected_since[name] += gap_s
        cutoff = now - SUSPICION_TIMEOUT_S * self.suspicion_multiplier
        timed_out = [
            n for n, at in self._suspected_since.items() if at <= cutoff
        ]
        for name in timed_out:
            self.mark_dead(name)
        removed = [
            member.name
            for member in self.list_dead()
            if self._facts.find_sequence(members.TOPIC, member.name) == 0
        ]
        for name in removed:
            del self._members[name]
        return removed

    def _publish(self, member: members.Member, sequence: int) -> None:
        """Publishes a statement about a member."""
        is_dead = member.status is _DEAD
        self._facts.publish(
            members.TOPIC,
            member.name,
            members.encode_member(member),
            DEAD_RETENTION_S if is_dead else facts_module.NO_EXPIRY_S,
            sequence,
        )

    def _handle_statement(self, fact: messages.GossipFact) -> None:
        """Applies a new statement received from another host."""
        if fact.key == self.name:
            self._refute(fact)
            return
        member = members.decode_member(fact)
        if member is not None:
            self._update_member(member)

    def _refute(self, fact: messages.GossipFact) -> None:
        """Overrides a statement about this host that it did not publish."""
        if fact.sequence <= self._own_sequence:
            return
        self.refutations += 1
        logger.info(
            "membership: Refuting a statement of another host about this host."
        )
        self.publish_own_status()

    def _update_member(self, member: members.Member) -> None:
        """Applies a member's new status and starts or ends its suspicion."""
        previous = self._members.get(member.name)
        if member.status is _SUSPECT:
            now = self._clock.monotonic()
            self._suspected_since.setdefault(member.name, now)
        else:
            self._suspected_since.pop(member.name, None)
        self._log_change(previous, member)
        self._store_member(member)

    def _log_change(
        self, previous: members.Member | None, member: members.Member
    ) -> None:
        """Logs that a member joined, is starting or leaving, or is gone."""
        old_status = previous.status if previous else _DEAD
        is_suspicion = _SUSPECT in (old_status, member.status)
        if old_status is member.status or (
            is_suspicion and member.status is not _DEAD
        ):
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

    def _store_member(self, member: members.Member) -> None:
        """Stores a member and runs the callbacks if the view has changed."""
        if self._members.get(member.name) == member:
            return
        self._members[member.name] = member
        usable = [m for m in self._members.values() if m.is_usable()]
        self._usable = tuple(sorted(usable))
        self._facts.set_fleet_size(len(self._usable))
        for callback in self._callbacks:
            callback()
