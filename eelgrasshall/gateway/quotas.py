"""Quotas of workspaces over all hosts, without a coordinator.

The limit of a workspace, a token bucket, is divided in equal parts among the
active hosts.  A host whose callers need more than its part borrows tokens from
the others: a lender takes them out of its own bucket and keeps that room empty
until the credit has expired, so that a lost message loses tokens and never
adds any.  Hosts send nothing for workspaces whose callers are served by the
parts of the hosts that they use.

What the bound allows beyond the limit serves callers too, since a request
within the bound counts as owed.  Most of it raises the rate and the capacity of
the bucket that the active hosts divide.  The rest is a reserve, which is
divided among all known hosts by their names alone.  A host spends it where its
part does not suffice and it does not know that the limit is used up.

A larger part takes effect after a delay, in which all hosts learn of the
change, or as soon as all others with parts have told theirs and the sum fits.
So hosts that were all restarted at once do not refuse callers for the delay;
their buckets are empty, which counts for what the processes before have used.

Tokens taken for requests that have not been sent yet also keep their room in
the bucket empty: otherwise requests that waited in a queue could be sent
together with those of the refilled bucket.

This module does no I/O and reads no clock.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import NamedTuple

from eelgrasshall.gateway import model
from eelgrasshall.gateway import quota_account
from eelgrasshall.gateway import rate_limits
from eelgrasshall.gateway import shares

# Time after which a larger part takes effect, and what is added for each known
# host.  Hosts learn of a change that much apart at most: in a large fleet
# heartbeats are passed on from host to host.
SHARE_DELAY_S = 3.0
SHARE_DELAY_PER_HOST_S = 0.01
# The same for the reserve, which depends on the names of all hosts only; a
# host that has just started has read them by then.
RESERVE_DELAY_S = 1.0
# Least time between two questions about a workspace.
ASK_INTERVAL_S = 0.05
# How long a refused request may wait for credit.
CREDIT_WAIT_S = 0.1
# Part of the limit that the heard hosts need for confirming each other's parts.
MIN_CONFIRMING_PART = 0.5
# Part of the limit that has to be known as used up before the reserve is kept
# back for times in which parts are missing.
WHOLE_SHARE = 0.9
# Retry-After where other hosts may have tokens left.
RETRY_ELSEWHERE_S = 0.1
# How long the state of a removed workspace is kept, longer than any window.
RETENTION_S = 60.0


class Grant(NamedTuple):
    """The permission to send a request.

    Attributes:
      limited: Whether the workspace has a limit; if not, nothing was charged.
    """

    limited: bool


class Refusal(NamedTuple):
    """The refusal of a request.

    Attributes:
      over_quota: Whether the quota is used up.  If not, other hosts may have
        tokens left.
      wait_s: Seconds until a token is expected.
      asked: Whether other hosts are asked and may lend a token soon.
      detail: What the decision rests on, for the log.
    """

    over_quota: bool
    wait_s: float
    asked: bool = False
    detail: Mapping[str, object] = {}


# Returns the part of a limit that is due to a host by a view.
ShareRule = Callable[[rate_limits.FleetView, str, str, float], float]


def compute_share(
    view: rate_limits.FleetView, own: str, name: str, capacity: float
) -> float:
    """Returns the part of a limit that is due to a host by a view.

    Where fewer requests may be sent at once than there are active hosts, only
    some of them, chosen by rendezvous hash, get a part, of one token at least.

    Args:
      view: What the host knows of the others.
      own: Name of the host.
      name: Name of the workspace.
      capacity: Requests that all hosts together may send at once.
    """
    holders = _choose_holders(view.active, name, capacity)
    return view.part / len(holders) if own in holders else 0.0


def _choose_holders(
    active: tuple[str, ...], name: str, capacity: float
) -> tuple[str, ...]:
    """Returns the hosts that share a limit."""
    count = max(int(capacity), 1)
    if count >= len(active):
        return active
    ranked = sorted(active, key=lambda host: shares.hash_pair(host, name))
    return tuple(ranked[:count])


def compute_reserve(
    names: tuple[str, ...], own: str, name: str, total: int
) -> int:
    """Returns the part of a reserve that is due to a host.

    Args:
      names: Names of all known hosts.
      own: Name of the host.
      name: Name of the workspace.
      total: Requests in a window over all hosts.
    """
    if own not in names:
        return 0
    part, rest = divmod(total, len(names))
    if rest:
        own_hash = shares.hash_pair(own, name)
        rank = sum(shares.hash_pair(each, name) < own_hash for each in names)
        part += rank < rest
    return part


class Quotas:
    """What this host may use of the limits of all workspaces.

    Args:
      own: Name of this host.
      bound: The bound on the requests of a workspace.
      share_rule: Returns the part of a limit that is due to a host.
    """

    def __init__(
        self,
        *,
        own: str,
        bound: quota_account.QuotaBound,
        share_rule: ShareRule = compute_share,
    ):
        self._own = own
        self._bound = bound
        self._share_rule = share_rule
        self._views: shares.RecentViews[rate_limits.FleetView] = (
            shares.RecentViews(window_s=SHARE_DELAY_S)
        )
        self._rosters: shares.RecentViews[tuple[str, ...]] = shares.RecentViews(
            window_s=RESERVE_DELAY_S
        )
        self._view = rate_limits.FleetView((), 0.0)
        self._viewed_s = -math.inf
        self._accounts: dict[str, quota_account.Account] = {}
        # Accounts with recent requests: only these may need credit.
        self._busy: dict[str, quota_account.Account] = {}
        self._answers: list[quota_account.Credit] = []
        self._last_number = 0

    def configure(
        self, workspaces: Mapping[str, model.Workspace] | None, now: float
    ) -> None:
        """Sets the workspaces and their limits.

        Args:
          workspaces: The workspaces by name; None if there are none.
          now: Monotonic time.
        """
        limited = {
            name: each
            for name, each in (workspaces or {}).items()
            if each.rate_per_s > 0.0
        }
        for name, account in list(self._accounts.items()):
            if name in limited:
                account.removed_s = math.inf
            elif account.removed_s == math.inf:
                account.removed_s = now
            elif now - account.removed_s > RETENTION_S:
                del self._accounts[name]
        for name, workspace in limited.items():
            division = quota_account.divide_bound(workspace, self._bound)
            account = self._accounts.get(name)
            if account is None:
                account = quota_account.Account(
                    workspace=workspace, division=division, now=now
                )
                account.heard_part = self._view.part
                self._accounts[name] = account
            elif account.workspace != workspace:
                account.set_limit(workspace, division, now)
            self._set_parts(account, now)

    def set_view(self, view: rate_limits.FleetView, now: float) -> None:
        """Sets what this host knows of the hosts that share the limits.

        Has to be called every second or so.
        """
        self._view = view
        self._viewed_s = now
        for account in self._accounts.values():
            account.heard_part = view.part
        if self._views.update(view, now):
            self._set_all_parts(now)

    def set_hosts(self, names: tuple[str, ...], now: float) -> None:
        """Sets the names of all known hosts, alive or not.

        Has to be called every second or so, before `set_view`.
        """
        self._views.set_window(
            SHARE_DELAY_S + SHARE_DELAY_PER_HOST_S * len(names)
        )
        if self._rosters.update(names, now):
            self._set_all_parts(now)

    def take(self, workspace_name: str, now: float) -> Grant | Refusal:
        """Takes a token for a request.

        Each grant has to be followed by `record_send` or `give_back`.

        Args:
          workspace_name: Name of the workspace.
          now: Monotonic time.
        """
        account = self._find_account(workspace_name)
        if account is None:
            return Grant(limited=False)
        account.note_demand(now)
        self._busy[workspace_name] = account
        return self._take(account, now)

    def retake(self, workspace_name: str, now: float) -> Grant | Refusal:
        """Takes a token for a request that was refused before and has waited.

        It does not count as further demand.
        """
        account = self._find_account(workspace_name)
        if account is None:
            return Grant(limited=False)
        return self._take(account, now)

    def renew(self, workspace_name: str, now: float) -> Grant | Refusal:
        """Takes a token anew for a request that has waited since its grant.

        Without that, more could be sent at once than the bucket holds.  The
        token that was taken before is given back.
        """
        account = self._find_account(workspace_name)
        if account is None:
            self.give_back(workspace_name, now)
            return Grant(limited=False)
        self._check_view(now)
        account.give_back(now)
        if account.try_take(may_use_reserve=True, now=now):
            return Grant(limited=True)
        return self._take(account, now)

    def record_send(self, workspace_name: str, now: float) -> None:
        """Records that a request with a grant goes to a server."""
        if workspace_name in self._accounts:
            self._accounts[workspace_name].record_send(now)

    def give_back(self, workspace_name: str, now: float) -> None:
        """Gives back a grant for a request that was not sent to any server."""
        if workspace_name in self._accounts:
            self._check_view(now)
            self._accounts[workspace_name].give_back(now)

    def needs_credit(self, now: float) -> bool:
        """Returns whether reports are due, before the next period."""
        self._busy = {
            name: account
            for name, account in self._busy.items()
            if account.is_busy(now)
        }
        return bool(self._answers) or any(
            self._is_due(account, now) for account in self._busy.values()
        )

    def list_gossip(
        self, now: float, max_count: int
    ) -> list[quota_account.Report]:
        """Returns the reports to send now, each for the host that it names.

        Args:
          now: Monotonic time.
          max_count: Most reports for one host.
        """
        reports: list[quota_account.Report] = self._answers
        self._answers = []
        lenders = [name for name in self._view.active if name != self._own]
        if not lenders:
            return reports
        asked = 0
        for account in self._busy.values():
            if asked >= max_count:
                break
            if not self._is_due(account, now):
                continue
            holders = _choose_holders(
                self._view.active, account.workspace.name, account.capacity
            )
            receivers = [name for name in lenders if name in holders]
            if not receivers:
                continue
            asked += 1
            wanted = account.split_question(receivers, now)
            # Unique over restarts of the process, as the clock goes on.
            self._last_number = max(self._last_number + 1, round(now * 1e6))
            number = self._last_number
            account.asked_s = now
            account.questions[number] = (now, set(receivers))
            reports += [
                quota_account.Ask(
                    name, self._own, number, account.workspace.name, part
                )
                for name, part in zip(receivers, wanted, strict=True)
            ]
        return reports

    def merge(
        self, reports: Iterable[quota_account.Report], now: float
    ) -> None:
        """Adds reports of other hosts; answers go out with the next ones."""
        self._check_view(now)
        for each in reports:
            account = self._find_account(each.workspace)
            if account is None or each.receiver != self._own:
                continue
            if isinstance(each, quota_account.Ask):
                amount = account.lend(each.wanted, now)
                self._answers.append(
                    quota_account.Credit(
                        each.sender,
                        self._own,
                        each.number,
                        each.workspace,
                        amount,
                        account.count_tokens(now),
                        account.share,
                    )
                )
            else:
                self._add_credit(account, each, now)
                self._confirm_share(account, now)

    @property
    def is_needed(self) -> bool:
        """Whether any workspace has a limit."""
        return any(
            each.removed_s == math.inf for each in self._accounts.values()
        )

    def list_shares(self) -> list[float]:
        """Returns the parts of all limits that this host may use."""
        return [
            account.share
            for account in self._accounts.values()
            if account.removed_s == math.inf
        ]

    def dump(self, now: float) -> dict[str, object]:
        """Returns the state as JSON-serializable values."""
        return {
            name: account.dump(now)
            for name, account in self._accounts.items()
            if account.removed_s == math.inf
        }

    def _find_account(self, name: str) -> quota_account.Account | None:
        """Returns the account of a workspace; None if it has no limit."""
        account = self._accounts.get(name)
        if account is None or account.removed_s != math.inf:
            return None
        return account

    def _take(
        self, account: quota_account.Account, now: float
    ) -> Grant | Refusal:
        """Takes a token if there is one."""
        self._check_view(now)
        used_up = account.is_used_up(now)
        may_use_reserve = (
            not used_up or account.count_known_share(now) < WHOLE_SHARE
        )
        if account.try_take(may_use_reserve=may_use_reserve, now=now):
            return Grant(limited=True)
        wait_s = RETRY_ELSEWHERE_S
        if used_up:
            wait_s = account.promise_token(now)
        else:
            account.waiting_until_s = now + CREDIT_WAIT_S
        return Refusal(
            used_up,
            wait_s,
            not used_up and self._may_ask(),
            {
                **account.dump(now),
                "active": len(self._view.active),
                "part": round(self._view.part, 3),
            },
        )

    def _may_ask(self) -> bool:
        """Returns whether there are other hosts to ask for credit."""
        return any(name != self._own for name in self._view.active)

    def _is_due(self, account: quota_account.Account, now: float) -> bool:
        """Returns whether other hosts are to be asked for credit now."""
        if account.removed_s != math.inf or not self._may_ask():
            return False
        interval_s = ASK_INTERVAL_S
        if account.is_used_up(now) or account.is_asking(now):
            interval_s = quota_account.EMPTY_ASK_INTERVAL_S
        return (
            now - account.asked_s >= interval_s
            and account.compute_missing(now) > 0.0
        )

    def _add_credit(
        self,
        account: quota_account.Account,
        credit: quota_account.Credit,
        now: float,
    ) -> None:
        """Adds credit that answers a question of this process, once."""
        account.questions = {
            number: question
            for number, question in account.questions.items()
            if now - question[0] < quota_account.CREDIT_LIFE_S
        }
        question = account.questions.get(credit.number)
        if question is None or credit.sender not in question[1]:
            return
        asked_s, waiting = question
        waiting.discard(credit.sender)
        account.answers[credit.sender] = (now, credit)
        account.borrow(
            credit.amount, asked_s + quota_account.CREDIT_LIFE_S, now
        )

    def _confirm_share(
        self, account: quota_account.Account, now: float
    ) -> None:
        """Takes the part that is due at once if the other hosts' parts allow.

        Only where most hosts are heard: the others may be cut off and use parts
        that they have not told.
        """
        view, name = self._view, account.workspace.name
        due = self._share_rule(view, self._own, name, account.capacity)
        holders = _choose_holders(view.active, name, account.capacity)
        told = {each.sender: each.share for each in account.list_answers(now)}
        others = [host for host in holders if host != self._own]
        if (
            due > account.share
            and view.part >= MIN_CONFIRMING_PART
            and all(host in told for host in others)
            and due + sum(told.values()) <= view.part + quota_account.EPSILON
        ):
            account.confirmed_share = due
            self._set_parts(account, now)

    def _check_view(self, now: float) -> None:
        """Drops all parts after a suspension of this process.

        Requests may arrive before the view is set anew, and others may have
        taken over this host's parts meanwhile.
        """
        if now - self._viewed_s > shares.MAX_UPDATE_INTERVAL_S:
            for account in self._accounts.values():
                account.confirmed_share = 0.0
                account.set_share(0.0, now)

    def _set_all_parts(self, now: float) -> None:
        """Sets the parts of this host of all limits."""
        for account in self._accounts.values():
            self._set_parts(account, now)

    def _set_parts(self, account: quota_account.Account, now: float) -> None:
        """Sets the parts of this host of a limit and its reserve."""
        name = account.workspace.name
        least = self._views.find_least(
            lambda view: self._share_rule(
                view, self._own, name, account.capacity
            )
        )
        due = self._share_rule(self._view, self._own, name, account.capacity)
        account.confirmed_share = min(account.confirmed_share, due)
        account.set_share(max(least, account.confirmed_share), now)
        reserve = quota_account.divide_bound(
            account.workspace, self._bound
        ).reserve
        count = self._rosters.find_least(
            lambda names: compute_reserve(names, self._own, name, reserve)
        )
        account.set_reserve(int(count), self._bound.window_s, now)
