"""Applies the quotas of workspaces to the requests of a host.

Decisions are those of `quotas`.  A request that finds no token here while other
hosts may have some waits for their answer, at most `quotas.CREDIT_WAIT_S`.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Protocol

from eelgrasshall.gateway import events
from eelgrasshall.gateway import model
from eelgrasshall.gateway import quota_account
from eelgrasshall.gateway import quota_gossip
from eelgrasshall.gateway import quotas
from eelgrasshall.gateway import rate_limits

# Interval at which a request that waits for credit looks for it: a round trip
# between zones takes a few milliseconds.
POLL_INTERVAL_S = 0.01
# Interval at which a charged request is checked for having been sent.
SEND_CHECK_INTERVAL_S = 0.05
# Interval between two looks at the other hosts while there are limits: a host
# that loses its part has to learn of it before another one uses it.
REFRESH_INTERVAL_S = 0.2
# Resolution of the Retry-After that callers are told.
RETRY_AFTER_STEP_S = 0.01

OVER_QUOTA = "the workspace has used up its quota"
NO_SHARE = "this host has no share of the workspace's quota left"


class Sendable(Protocol):
    """A request that may have been sent to a server."""

    @property
    def was_sent(self) -> bool:
        """Whether the request may have arrived at a server."""


class QuotaGate:
    """The quotas as a host applies them.

    Args:
      own: Name of this host.
      bound: The bound on the requests of a workspace.
      loop: The event loop.
      log: The structured log.
      count: Increments a named counter.
      send: Sends the reports for other hosts at once.
      refresh: Calls `set_fleet` with what is known now.
    """

    def __init__(
        self,
        *,
        own: str,
        bound: quota_account.QuotaBound,
        loop: asyncio.AbstractEventLoop,
        log: events.EventLog,
        count: Callable[[str], None],
        send: Callable[[], None],
        refresh: Callable[[], None] = lambda: None,
    ):
        self.quotas = quotas.Quotas(own=own, bound=bound)
        self._loop = loop
        self._log = log
        self._count = count
        self._send = send
        self._refresh = refresh
        self._refreshed_s = -math.inf
        self._logged_view: tuple = ()

    def configure(self, workspaces: dict[str, model.Workspace] | None) -> None:
        """Sets the workspaces and their limits."""
        self.quotas.configure(workspaces, self._loop.time())

    def set_fleet(
        self, view: rate_limits.FleetView, names: tuple[str, ...]
    ) -> None:
        """Sets what this host knows of the others.

        Has to be called every second or so.

        Args:
          view: The hosts that share the limits.
          names: Names of all known hosts, including this one.
        """
        now = self._loop.time()
        self._refreshed_s = now
        self.quotas.set_hosts(names, now)
        self.quotas.set_view(view, now)
        shares = self.quotas.list_shares()
        logged = (view, min(shares, default=0.0), max(shares, default=0.0))
        if shares and logged != self._logged_view:
            self._logged_view = logged
            self._log.record(
                "quota_shares",
                workspaces=len(shares),
                least=round(logged[1], 3),
                largest=round(logged[2], 3),
                active=len(view.active),
                part=round(view.part, 3),
            )

    async def take(self, workspace: str) -> "Charge | quotas.Refusal":
        """Charges a request to its workspace, or refuses it.

        The charge has to be closed when the request has ended.
        """
        result = self.quotas.take(workspace, self._loop.time())
        if isinstance(result, quotas.Refusal) and result.asked:
            self._count("quota_waits")
            latest_s = self._loop.time() + quotas.CREDIT_WAIT_S
            while (
                isinstance(result, quotas.Refusal)
                and result.asked
                and self._loop.time() < latest_s
            ):
                self._send()
                await asyncio.sleep(POLL_INTERVAL_S)
                result = self.quotas.retake(workspace, self._loop.time())
        if isinstance(result, quotas.Refusal):
            return self.count_refusal(result)
        return Charge(
            gate=self,
            loop=self._loop,
            workspace=workspace if result.limited else None,
        )

    def count_refusal(self, refusal: quotas.Refusal) -> quotas.Refusal:
        """Counts a refusal; returns it with a wait that can be told."""
        self._count(
            "quota_refused" if refusal.over_quota else "quota_elsewhere"
        )
        # Rounded up to what is told, so that a token is there by then.
        steps = max(math.ceil(refusal.wait_s / RETRY_AFTER_STEP_S), 1)
        return refusal._replace(wait_s=steps * RETRY_AFTER_STEP_S)

    # Reports between hosts.

    def build_datagrams(self) -> list[tuple[str, bytes]]:
        """Returns the datagrams to send now, each with its receiver's name."""
        now = self._loop.time()
        if (
            self.quotas.is_needed
            and now - self._refreshed_s >= REFRESH_INTERVAL_S
        ):
            self._refresh()
        if not self.quotas.needs_credit(now):
            return []
        by_receiver: dict[str, list[quota_account.Report]] = {}
        for each in self.quotas.list_gossip(now, quota_gossip.MAX_ENTRIES):
            by_receiver.setdefault(each.receiver, []).append(each)
        datagrams = []
        for receiver, reports in by_receiver.items():
            for first in range(0, len(reports), quota_gossip.MAX_ENTRIES):
                part = reports[first : first + quota_gossip.MAX_ENTRIES]
                datagrams.append((receiver, quota_gossip.encode(part)))
                self._count("quota_datagrams")
        return datagrams

    def merge(self, reports: Iterable[quota_account.Report]) -> None:
        """Adds reports of another host."""
        self.quotas.merge(reports, self._loop.time())


class Charge:
    """A token that a request holds until it is sent or has ended.

    Args:
      gate: The quotas of this host; not used without a workspace.
      loop: The event loop.
      workspace: Name of the workspace; None if the request is not charged.
    """

    def __init__(
        self,
        *,
        gate: QuotaGate | None,
        loop: asyncio.AbstractEventLoop,
        workspace: str | None,
    ):
        self._gate = gate
        self._loop = loop
        self._workspace = workspace
        self._taken_s = loop.time()
        self._request: Sendable | None = None
        self._was_relayed = False
        self._timer: asyncio.TimerHandle | None = None

    def renew(self) -> quotas.Refusal | None:
        """Takes the token anew after a wait; returns a refusal if that fails.

        What is sent counts when it is sent.
        """
        now = self._loop.time()
        if self._workspace is None or now == self._taken_s:
            return None
        self._taken_s = now
        result = self._gate.quotas.renew(self._workspace, now)
        if isinstance(result, quotas.Grant):
            return None
        self._workspace = None
        return self._gate.count_refusal(result)

    def watch(self, request: Sendable) -> None:
        """Releases the token as used once the request was sent."""
        if self._workspace is not None:
            self._request = request
            self._timer = self._loop.call_later(
                SEND_CHECK_INTERVAL_S, self._check
            )

    def set_relayed(self, was_relayed: bool) -> None:
        """Sets whether another host may have sent the request to a server."""
        if self._workspace is not None:
            self._was_relayed = was_relayed

    def close(self) -> None:
        """Ends the charge; the token is given back if nothing was sent."""
        if self._timer is not None:
            self._timer.cancel()
        if self._workspace is None:
            return
        if self._was_sent:
            self._use_up()
        else:
            self._gate.quotas.give_back(self._workspace, self._loop.time())
            self._workspace = None

    @property
    def _was_sent(self) -> bool:
        """Whether the request may have been sent to a server."""
        return self._was_relayed or (
            self._request is not None and self._request.was_sent
        )

    def _check(self) -> None:
        """Uses the token up if the request was sent, else looks later."""
        if self._workspace is None:
            return
        if self._was_sent:
            self._use_up()
            return
        self._timer = self._loop.call_later(SEND_CHECK_INTERVAL_S, self._check)

    def _use_up(self) -> None:
        """Uses the token up."""
        self._gate.quotas.record_send(self._workspace, self._loop.time())
        self._workspace = None


def make_free_charge(loop: asyncio.AbstractEventLoop) -> Charge:
    """Returns the charge of a request that counts towards no quota here."""
    return Charge(gate=None, loop=loop, workspace=None)
