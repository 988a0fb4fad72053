"""What one host may use of the limit of one workspace.

An account holds the tokens of the host's part of the limit, the credit that it
has borrowed and lent, and its reserve; see `quotas` for who decides on these.
This module does no I/O and reads no clock.
"""

import math
from typing import NamedTuple

from eelgrasshall.gateway import model

# How long a credit may be used, from the moment at which it was asked for.
CREDIT_LIFE_S = 1.0
# A host asks for credit if its tokens suffice for less than the first time at
# its recent demand, and asks for as many as it needs in the second.
LOW_SUPPLY_S = 0.5
SUPPLY_S = 1.0
# Least time between two questions about a workspace while the other hosts have
# no tokens to lend or do not answer.
EMPTY_ASK_INTERVAL_S = 0.5
# Time constant of the recent demand.
DEMAND_TIME_S = 1.0
# Demand for which a host that is asked for credit keeps a token back.
MIN_DEMAND_PER_S = 0.5
# How long an answer of another host counts as its present state.
ANSWER_LIFE_S = 1.0
# What a host has to know before it says that a limit is used up: that this part
# of the heard hosts' part is, and that the heard hosts have this part of the
# limit.  With less, others may have tokens left.
KNOWN_SHARE = 0.6
MIN_HEARD_PART = 0.5
# Part of what the bound allows beyond the limit that is the reserve, and part
# of the rest that raises the rate of the bucket rather than its capacity.
RESERVE_SHARE = 0.3
RATE_SHARE = 0.5
# Largest Retry-After beyond the time until the next token.
MAX_BACKLOG_S = 1.0
# Tolerance for sums of fractions of a token.
EPSILON = 1e-6


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


class Account:
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
        self, *, workspace: model.Workspace, division: Division, now: float
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
        self, workspace: model.Workspace, division: Division, now: float
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
        if usable >= 1.0 - EPSILON:
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
        is_waiting = now < self.waiting_until_s and tokens < 1.0 - EPSILON
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
            known[name].left + known[name].share * rate + EPSILON
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
            self.heard_part >= MIN_HEARD_PART - EPSILON
            and known >= KNOWN_SHARE * self.heard_part - EPSILON
            and all(each.left < 1.0 for each in answers)
            and self.count_tokens(now) < 1.0 - EPSILON
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
