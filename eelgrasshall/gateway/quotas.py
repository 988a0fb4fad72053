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
# How long a credit may be used, from the moment at which it was asked for.
CREDIT_LIFE_S = 1.0
# A host asks for credit if its tokens suffice for less than the first time at
# its recent demand, and asks for as many as it needs in the second.
LOW_SUPPLY_S = 0.5
SUPPLY_S = 1.0
# Least time between two questions about a workspace, and the same while the
# other hosts have no tokens to lend or do not answer.
ASK_INTERVAL_S = 0.05
EMPTY_ASK_INTERVAL_S = 0.5
# Time constant of the recent demand.
DEMAND_TIME_S = 1.0
# Demand for which a host that is asked for credit keeps a token back.
MIN_DEMAND_PER_S = 0.5
# How long a refused request may wait for credit.
CREDIT_WAIT_S = 0.1
# How long an answer of another host counts as its present state.
ANSWER_LIFE_S = 1.0
# What a host has to know before it says that a limit is used up: that this part
# of the heard hosts' part is, and that the heard hosts have this part of the
# limit.  With less, others may have tokens left.
KNOWN_SHARE = 0.6
MIN_HEARD_PART = 0.5
# Part of the limit that the heard hosts need for confirming each other's parts.
MIN_CONFIRMING_PART = 0.9
# Part of the limit that has to be known as used up before the reserve is kept
# back for times in which parts are missing.
WHOLE_SHARE = 0.9
# Part of what the bound allows beyond the limit that is the reserve, and part
# of the rest that raises the rate of the bucket rather than its capacity.
RESERVE_SHARE = 0.3
RATE_SHARE = 0.5
# Retry-After where other hosts may have tokens left.
RETRY_ELSEWHERE_S = 0.1
# Largest Retry-After beyond the time until the next token.
MAX_BACKLOG_S = 1.0
# How long the state of a removed workspace is kept, longer than any window.
RETENTION_S = 60.0
# Tolerance for sums of fractions of a token.
_EPSILON = 1e-6


class QuotaBound(NamedTuple):
    """Bound on the requests of a workspace over all hosts.

    In each window they may be (rate x window + burst) x (1 + excess) + slack.

    Attributes:
      window_s: Length of the window, seconds.
      excess: Relative excess.
      slack: Requests beyond that.
    """

    window_s: float
    excess: float
    slack: float


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


class Ask(NamedTuple):
    """A question for credit.

    Attributes:
      receiver: Name of the host that is asked.
      sender: Name of the host that asks.
      number: Number of the question, unique for its sender.
      workspace: Name of the workspace.
      wanted: Number of tokens.
    """

    receiver: str
    sender: str
    number: int
    workspace: str
    wanted: float


class Credit(NamedTuple):
    """The answer to a question for credit.

    Attributes:
      receiver: Name of the host that asked.
      sender: Name of the host that lends.
      number: Number of the question.
      workspace: Name of the workspace.
      amount: Number of tokens lent, possibly 0.
      left: Number of tokens that the sender has left.
      share: Part of the limit that the sender may use.
    """

    receiver: str
    sender: str
    number: int
    workspace: str
    amount: float
    left: float
    share: float


Report = Ask | Credit
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


class _Taken(NamedTuple):
    """A token taken for a request that has not been sent yet.

    Attributes:
      own: Part from the host's own bucket.
      borrowed: Part from credit.
      until_s: When that credit expires.
      reserve: 1.0 if it is from the reserve.
    """

    own: float
    borrowed: float
    until_s: float
    reserve: float


class _Account:
    """What a host may use of the limit of one workspace.

    Attributes:
      workspace: The workspace with its limit.
      rate_per_s: Requests per second that all hosts together may send.
      capacity: Requests that all hosts together may send at once.
      confirmed_share: Part of the limit that the other hosts have confirmed,
        before the delay of larger parts is over.
      removed_s: When the workspace was removed; infinity if it was not.
      waiting_until_s: Until when a refused request may wait for credit.
      heard_part: Part of the limit that is due to the hosts that are heard.
      share: Part of the limit that this host may use.
      demand_per_s: Recent requests per second at this host.
      asked_s: When other hosts were asked last.
      questions: Of each question that may be answered, the time and the hosts
        that have not answered.
      answers: The last answer of each other host, and the time.
      used: Number of requests sent.

    Args:
      workspace: The workspace with its limit.
      division: How the bound on its requests is used.
      now: Monotonic time.
    """

    def __init__(
        self, *, workspace: model.Workspace, division: "Division", now: float
    ):
        self.workspace = workspace
        self.rate_per_s = division.rate_per_s
        self.capacity = division.capacity
        self.confirmed_share = 0.0
        self.removed_s = math.inf
        self.waiting_until_s = -math.inf
        self.heard_part = 0.0
        self.share = 0.0
        self.demand_per_s = 0.0
        self.asked_s = -math.inf
        self.questions: dict[int, tuple[float, set[str]]] = {}
        self.answers: dict[str, tuple[float, Credit]] = {}
        self.used = 0
        self._tokens = 0.0
        self._reserve = 0.0
        self._reserve_capacity = 0.0
        self._reserve_rate = 0.0
        self._updated_s = now
        # Times at which credits expire, and their amounts, the first to expire
        # first.
        self._lent: list[tuple[float, float]] = []
        self._borrowed: list[tuple[float, float]] = []
        self._taken: list[_Taken] = []
        self._borrowed_per_s = 0.0
        self._promised_s = -math.inf

    def set_limit(
        self, workspace: model.Workspace, division: "Division", now: float
    ) -> None:
        """Changes the limit; nothing is given back."""
        self._refill(now)
        self.workspace = workspace
        self.rate_per_s = division.rate_per_s
        self.capacity = division.capacity
        self._refill(now)

    def set_share(self, share: float, now: float) -> None:
        """Sets the part of the limit that this host may use."""
        self._refill(now)
        self.share = share
        self._refill(now)

    def set_reserve(self, count: int, window_s: float, now: float) -> None:
        """Sets the reserve of this host.

        About half of it may be used at once.  A process that restarts begins
        without and refills at the same rate, so that it cannot use more than
        `count` in a window together with the one before.

        Args:
          count: Requests in a window.
          window_s: Length of the window, seconds.
          now: Monotonic time.
        """
        self._refill(now)
        self._reserve_capacity = float(math.ceil(count / 2))
        refill = count - self._reserve_capacity + 0.99 if count else 0.0
        self._reserve_rate = refill / window_s
        self._refill(now)

    def note_demand(self, now: float) -> None:
        """Counts a request that arrived."""
        self._refill(now)
        self.demand_per_s += 1.0 / DEMAND_TIME_S

    def try_take(self, *, may_use_reserve: bool, now: float) -> bool:
        """Takes a token for a request if there is one."""
        self._refill(now)
        usable = self._tokens + sum(amount for _, amount in self._borrowed)
        if usable >= 1.0 - _EPSILON:
            missing, until_s = 1.0, math.inf
            while self._borrowed and missing > 0.0:
                until_s, amount = self._borrowed.pop(0)
                if amount > missing:
                    self._borrowed.insert(0, (until_s, amount - missing))
                missing -= min(amount, missing)
            self._tokens = max(self._tokens - missing, 0.0)
            self._taken.append(_Taken(missing, 1.0 - missing, until_s, 0.0))
            return True
        if may_use_reserve and self._reserve >= 1.0:
            self._reserve -= 1.0
            self._taken.append(_Taken(0.0, 0.0, math.inf, 1.0))
            return True
        return False

    def record_send(self, now: float) -> None:
        """Uses up the token that was taken last."""
        self._refill(now)
        self.used += 1
        if self._taken:
            self._taken.pop()

    def give_back(self, now: float) -> None:
        """Puts back a token of a request that is not sent.

        Tokens are interchangeable; one whose credit has expired goes first.
        """
        self._refill(now)
        if not self._taken:
            return
        index = next(
            (i for i, each in enumerate(self._taken) if each.until_s <= now),
            -1,
        )
        taken = self._taken.pop(index)
        self._tokens += taken.own
        self._reserve += taken.reserve
        if taken.borrowed and now < taken.until_s:
            self._borrowed.append((taken.until_s, taken.borrowed))
            self._borrowed.sort()
        self._refill(now)

    def lend(self, wanted: float, now: float) -> float:
        """Lends tokens that are not needed here; returns how many."""
        self._refill(now)
        income = self.rate_per_s * self.share
        needed = (self.demand_per_s - income) * LOW_SUPPLY_S
        if self.demand_per_s > MIN_DEMAND_PER_S:
            needed = max(needed, min(1.0, self._tokens / 2.0))
        amount = min(wanted, self._tokens - max(needed, 0.0))
        if amount <= 0.0:
            return 0.0
        self._tokens -= amount
        self._lent.append((now + CREDIT_LIFE_S, amount))
        return amount

    def borrow(self, amount: float, until_s: float, now: float) -> None:
        """Adds credit."""
        self._refill(now)
        self._borrowed_per_s += amount / DEMAND_TIME_S
        if amount > 0.0:
            self._borrowed.append((until_s, amount))
            self._borrowed.sort()

    def count_tokens(self, now: float) -> float:
        """Returns the tokens, own and borrowed, without the reserve."""
        self._refill(now)
        return self._tokens + sum(amount for _, amount in self._borrowed)

    def compute_missing(self, now: float) -> float:
        """Returns how many tokens to ask for; 0 if there are enough."""
        tokens = self.count_tokens(now)
        is_waiting = now < self.waiting_until_s and tokens < 1.0 - _EPSILON
        # In advance only where several requests are expected: credit for a
        # single one would mostly expire unused.
        if not is_waiting and (
            self.demand_per_s * LOW_SUPPLY_S < 1.0
            or tokens >= self.demand_per_s * LOW_SUPPLY_S
        ):
            return 0.0
        return max(1.0, self.demand_per_s * SUPPLY_S) - tokens

    def split_question(self, receivers: list[str], now: float) -> list[float]:
        """Returns how many tokens to ask each host for.

        The parts follow what the hosts had left when they answered last.
        """
        missing = self.compute_missing(now)
        known = {each.sender: each for each in self.list_answers(now)}
        if not known.keys() >= set(receivers):
            return [missing / len(receivers)] * len(receivers)
        rate = self.rate_per_s * EMPTY_ASK_INTERVAL_S
        weights = [
            known[name].left + known[name].share * rate + _EPSILON
            for name in receivers
        ]
        return [missing * each / sum(weights) for each in weights]

    def is_busy(self, now: float) -> bool:
        """Returns whether there were requests lately that need tokens."""
        self._refill(now)
        return (
            now < self.waiting_until_s
            or self.demand_per_s * LOW_SUPPLY_S >= 1.0
        )

    def list_answers(self, now: float) -> list[Credit]:
        """Returns the answers of other hosts that count."""
        return [
            answer
            for answered_s, answer in self.answers.values()
            if now - answered_s < ANSWER_LIFE_S
        ]

    def is_used_up(self, now: float) -> bool:
        """Returns whether the limit is used up, as far as hosts have told."""
        answers = self.list_answers(now)
        known = self.count_known_share(now)
        return (
            self.heard_part >= MIN_HEARD_PART - _EPSILON
            and known >= KNOWN_SHARE * self.heard_part - _EPSILON
            and all(each.left < 1.0 for each in answers)
            and self.count_tokens(now) < 1.0 - _EPSILON
        )

    def count_known_share(self, now: float) -> float:
        """Returns the part of the limit of which this host knows the state."""
        return self.share + sum(each.share for each in self.list_answers(now))

    def is_asking(self, now: float) -> bool:
        """Returns whether hosts that were asked have not answered yet."""
        return any(
            waiting and now - asked_s < EMPTY_ASK_INTERVAL_S
            for asked_s, waiting in self.questions.values()
        )

    def promise_token(self, now: float) -> float:
        """Returns the seconds until a token is expected for a refused request.

        Requests that are refused together are told different times, as the
        tokens come one after the other.
        """
        own = self.rate_per_s * self.share
        rate = max(own, self._borrowed_per_s, self.rate_per_s * 0.05)
        missing_s = (1.0 - min(self.count_tokens(now), 1.0)) / rate
        earliest_s = now + missing_s
        self._promised_s = min(
            max(self._promised_s + 1.0 / rate, earliest_s),
            earliest_s + MAX_BACKLOG_S,
        )
        return self._promised_s - now

    def dump(self, now: float) -> dict[str, object]:
        """Returns the state as JSON-serializable values."""
        tokens = self.count_tokens(now)
        return {
            "rate_per_s": self.workspace.rate_per_s,
            "burst": self.workspace.burst,
            "share": round(self.share, 3),
            "tokens": round(tokens, 2),
            "lent": round(sum(amount for _, amount in self._lent), 2),
            "reserve": round(self._reserve, 2),
            "demand_per_s": round(self.demand_per_s, 2),
            "used": self.used,
            "others": {
                each.sender: [round(each.share, 3), round(each.left, 2)]
                for each in self.list_answers(now)
            },
        }

    def _refill(self, now: float) -> None:
        """Adds the tokens for the time since the last call."""
        decay = math.exp(-max(now - self._updated_s, 0.0) / DEMAND_TIME_S)
        self.demand_per_s *= decay
        self._borrowed_per_s *= decay
        self._borrowed = [each for each in self._borrowed if each[0] > now]
        # Room that a credit keeps empty is refilled from its expiry on.
        while self._lent and self._lent[0][0] <= now:
            self._fill(self._lent[0][0])
            self._lent.pop(0)
        self._fill(now)

    def _fill(self, now: float) -> None:
        """Adds the tokens of a time in which the room does not change."""
        elapsed_s = max(now - self._updated_s, 0.0)
        self._updated_s = max(now, self._updated_s)
        room = (
            self.capacity * self.share
            - sum(amount for _, amount in self._lent)
            - sum(each.own for each in self._taken)
        )
        income = elapsed_s * self.rate_per_s * self.share
        self._tokens = max(min(self._tokens + income, room), 0.0)
        taken = sum(each.reserve for each in self._taken)
        self._reserve = max(
            min(
                self._reserve + elapsed_s * self._reserve_rate,
                self._reserve_capacity - taken,
            ),
            0.0,
        )


class Division(NamedTuple):
    """How the bound on the requests of a workspace is used.

    Attributes:
      rate_per_s: Requests per second that all hosts together may send.
      capacity: Requests that they may send at once.
      reserve: Requests in a window beyond the bucket of that capacity, over all
        hosts.
    """

    rate_per_s: float
    capacity: float
    reserve: int


def divide_bound(workspace: model.Workspace, bound: QuotaBound) -> Division:
    """Divides the bound into a bucket and a reserve."""
    limit = workspace.rate_per_s * bound.window_s + workspace.burst
    beyond = limit * bound.excess + bound.slack
    reserve = math.floor(beyond * RESERVE_SHARE)
    extra = beyond - reserve
    rate_per_s = workspace.rate_per_s + extra * RATE_SHARE / bound.window_s
    capacity = workspace.burst + extra * (1.0 - RATE_SHARE)
    # A bucket that holds less than one request would never permit one.
    return Division(rate_per_s, max(capacity, 1.0), reserve)


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
        bound: QuotaBound,
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
        self._accounts: dict[str, _Account] = {}
        # Accounts with recent requests: only these may need credit.
        self._busy: dict[str, _Account] = {}
        self._answers: list[Credit] = []
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
            division = divide_bound(workspace, self._bound)
            account = self._accounts.get(name)
            if account is None:
                account = _Account(
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

    def list_gossip(self, now: float, max_count: int) -> list[Report]:
        """Returns the reports to send now, each for the host that it names.

        Args:
          now: Monotonic time.
          max_count: Most reports for one host.
        """
        reports: list[Report] = self._answers
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
                Ask(name, self._own, number, account.workspace.name, part)
                for name, part in zip(receivers, wanted, strict=True)
            ]
        return reports

    def merge(self, reports: Iterable[Report], now: float) -> None:
        """Adds reports of other hosts; answers go out with the next ones."""
        self._check_view(now)
        for each in reports:
            account = self._find_account(each.workspace)
            if account is None or each.receiver != self._own:
                continue
            if isinstance(each, Ask):
                amount = account.lend(each.wanted, now)
                self._answers.append(
                    Credit(
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

    def _find_account(self, name: str) -> _Account | None:
        """Returns the account of a workspace; None if it has no limit."""
        account = self._accounts.get(name)
        if account is None or account.removed_s != math.inf:
            return None
        return account

    def _take(self, account: _Account, now: float) -> Grant | Refusal:
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

    def _is_due(self, account: _Account, now: float) -> bool:
        """Returns whether other hosts are to be asked for credit now."""
        if account.removed_s != math.inf or not self._may_ask():
            return False
        interval_s = ASK_INTERVAL_S
        if account.is_used_up(now) or account.is_asking(now):
            interval_s = EMPTY_ASK_INTERVAL_S
        return (
            now - account.asked_s >= interval_s
            and account.compute_missing(now) > 0.0
        )

    def _add_credit(
        self, account: _Account, credit: Credit, now: float
    ) -> None:
        """Adds credit that answers a question of this process, once."""
        account.questions = {
            number: question
            for number, question in account.questions.items()
            if now - question[0] < CREDIT_LIFE_S
        }
        question = account.questions.get(credit.number)
        if question is None or credit.sender not in question[1]:
            return
        asked_s, waiting = question
        waiting.discard(credit.sender)
        account.answers[credit.sender] = (now, credit)
        account.borrow(credit.amount, asked_s + CREDIT_LIFE_S, now)

    def _confirm_share(self, account: _Account, now: float) -> None:
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
            and due + sum(told.values()) <= view.part + _EPSILON
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

    def _set_parts(self, account: _Account, now: float) -> None:
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
        reserve = divide_bound(account.workspace, self._bound).reserve
        count = self._rosters.find_least(
            lambda names: compute_reserve(names, self._own, name, reserve)
        )
        account.set_reserve(int(count), self._bound.window_s, now)
