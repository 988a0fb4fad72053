"""Request rates that backend servers in need state as the most they take.

The rate holds for all hosts together.  Hosts cannot ask each other before each
request, so each of them keeps to a share: a part of the rate, and a part of the
requests that may come at once.  Where the rate is small, few hosts use the
server, the same in the view of every host, since many small shares would add up
by the requests that each may send at once.

A rate that falls counts at once.  One that rises, or ends, counts if the
request was sent after the lower one was known: responses may arrive in another
order than they were sent.  A server that takes hardly any requests gets health
checks from one host, so that the end of its limit is noticed.

This module does no I/O and reads no clock.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import NamedTuple

from eelgrasshall.gateway import shares

# Window over which the users count requests, and the time after which a larger
# share takes effect: longer by the time in which all hosts learn of a change.
WINDOW_S = 4.0
SHARE_WINDOW_S = WINDOW_S + 2.0
# What all hosts together may send at once: the requests of this time, and a few
# more, so that small rates suffice for two hosts.
BURST_S = 1.0
BURST_REQUESTS = 2.0
# Servers that take fewer requests per second than this get no callers'
# requests, but health checks at this rate.
MIN_RATE = 0.25
# Share of the burst that hedges leave for first tries.
HEDGE_RESERVE = 0.5
# Observations of different hosts less than this apart may be in any order.
MAX_SKEW_S = 0.2
# How long it is remembered that a limit has ended, so that hosts which have not
# heard of it do not bring it back.
ENDED_RETENTION_S = 30.0
# Most servers of which a rate is remembered.
MAX_REMEMBERED = 5000
# A rate that changes by less than this factor is not passed on at once.
MATERIAL_FACTOR = 1.25
# How often a changed rate is passed on, and the interval of the further times.
FRESH_SENDS = 8
REFRESH_INTERVAL_S = 2.0


def parse_rate(values: Iterable[bytes]) -> float | None:
    """Returns the requests per second that a response states, or None.

    A header that is repeated, or that holds a list, states the least of its
    numbers.

    Args:
      values: The values of all headers that state a rate.

    Returns:
      The rate; None if no value is a number that is finite and not negative.
    """
    rates = []
    for text in b",".join(values).split(b","):
        try:
            rate = float(text)
        except ValueError:
            continue
        if math.isfinite(rate) and rate >= 0:
            rates.append(rate)
    return min(rates, default=None)


class FleetView(NamedTuple):
    """What a host knows of the hosts that share a limit.

    Attributes:
      active: Names of the active hosts, sorted.
      part: Part of the limit that is due to the hosts that are heard, from 0 to
        1; the others may be cut off and serve on.
    """

    active: tuple[str, ...]
    part: float


def compute_share(
    view: FleetView, own: str, server_id: str, rate: float
) -> float:
    """Returns the share of a server's rate that is due to a host by a view.

    Args:
      view: What the host knows of the others.
      own: Name of the host.
      server_id: The server.
      rate: The rate that it states, requests per second.
    """
    if own not in view.active:
        return 0.0
    count = 1 if rate < MIN_RATE else int(rate * BURST_S + BURST_REQUESTS)
    if count < len(view.active):
        ranked = sorted(
            view.active, key=lambda name: shares.hash_pair(name, server_id)
        )
        if own not in ranked[:count]:
            return 0.0
    return view.part / min(count, len(view.active))


class RateLimiter:
    """Token bucket of this host's requests to one server.

    It is empty at first, since requests were sent until the limit was known.
    """

    def __init__(self):
        self.rate = 0.0
        self.share = 0.0
        self._refill_rate = 0.0
        self._burst = 0.0
        self._tokens = 0.0
        self._updated_s = -math.inf

    def configure(self, rate: float, share: float, now: float) -> None:
        """Sets the rate for all hosts and this host's share of it."""
        self._refill(now)
        self.rate = rate
        self.share = share
        usable = max(rate, MIN_RATE)
        self._refill_rate = usable * share
        self._burst = 0.0
        if share:
            self._burst = max((usable * BURST_S + BURST_REQUESTS) * share, 1.0)
        self._tokens = min(self._tokens, self._burst)

    @property
    def takes_requests(self) -> bool:
        """Whether the server takes callers' requests at all."""
        return self.rate >= MIN_RATE

    def may_send(
        self, now: float, *, waiting: int = 0, reserve: float = 0.0
    ) -> bool:
        """Returns whether a caller's request may be sent.

        Args:
          now: Monotonic time.
          waiting: Number of requests that wait to be sent before it.
          reserve: Share of the burst that has to remain.
        """
        return self.takes_requests and self.may_check(
            now, reserve=waiting + reserve * self._burst
        )

    def may_check(self, now: float, *, reserve: float = 0.0) -> bool:
        """Returns whether a health check may be sent.

        Args:
          now: Monotonic time.
          reserve: Number of requests for which room has to remain.
        """
        self._refill(now)
        return self._tokens >= 1.0 + reserve

    def record_send(self, now: float) -> None:
        """Counts a request or a health check."""
        self._refill(now)
        self._tokens -= 1.0

    def compute_wait_s(self, now: float, *, waiting: int = 0) -> float:
        """Returns the seconds until a request may be sent.

        Args:
          now: Monotonic time.
          waiting: Number of requests that wait to be sent before it.

        Returns:
          The seconds; infinity if this host may send none.
        """
        self._refill(now)
        if not (self.takes_requests and self._refill_rate):
            return math.inf
        missing = 1.0 + waiting - self._tokens
        return max(missing / self._refill_rate, 0.0)

    def _refill(self, now: float) -> None:
        """Adds the tokens for the time since the last call."""
        elapsed_s = now - self._updated_s
        self._updated_s = now
        if self._refill_rate:
            self._tokens = min(
                self._tokens + elapsed_s * self._refill_rate, self._burst
            )


class Statement(NamedTuple):
    """What a server stated last, as far as this host knows.

    Attributes:
      server_id: The server.
      started_at_ms: Start time of its process, Unix milliseconds.
      rate: Requests per second from all hosts; None if it states no limit any
        more.
      since_s: Monotonic time since which this rate is known.
      observed_s: Monotonic time of the latest response that stated it, at any
        host.
    """

    server_id: str
    started_at_ms: int
    rate: float | None
    since_s: float
    observed_s: float

    @property
    def level(self) -> float:
        """The rate; infinity without a limit."""
        return math.inf if self.rate is None else self.rate


class RateLimits:
    """The limits of all servers, and this host's shares of them.

    Args:
      own: Name of this host.
      on_changed: Called with each statement that is new or has changed, and
        whether another host passed it on.
    """

    def __init__(
        self, *, own: str, on_changed: Callable[[Statement, bool], None]
    ):
        self._own = own
        self._on_changed = on_changed
        self._views: shares.RecentViews[FleetView] = shares.RecentViews(
            window_s=SHARE_WINDOW_S
        )
        self._statements: dict[str, Statement] = {}
        self._limiters: dict[str, RateLimiter] = {}
        # For each statement, how often it was passed on since it changed, and
        # when it was passed on last.
        self._passed_on: dict[str, tuple[int, float]] = {}

    def knows(self, server_id: str, started_at_ms: int) -> bool:
        """Returns whether a server has stated a limit lately."""
        known = self._statements.get(server_id)
        return known is not None and known.started_at_ms == started_at_ms

    def find_limiter(
        self, server_id: str, started_at_ms: int
    ) -> RateLimiter | None:
        """Returns the limiter of a server; None if it has no limit."""
        if not self.knows(server_id, started_at_ms):
            return None
        return self._limiters.get(server_id)

    def set_view(self, view: FleetView, now: float) -> None:
        """Sets what this host knows of the others.

        Has to be called every second or so.
        """
        if self._views.update(view, now):
            for server_id, limiter in self._limiters.items():
                self._configure(limiter, server_id, limiter.rate, now)
        for server_id, each in list(self._statements.items()):
            if each.rate is None and now - each.since_s > ENDED_RETENTION_S:
                self._forget(server_id)

    def record(
        self,
        server_id: str,
        started_at_ms: int,
        rate: float | None,
        *,
        sent_s: float,
        now: float,
    ) -> None:
        """Records what a response to a request of this host states.

        Args:
          server_id: The server.
          started_at_ms: Start time of its process.
          rate: The rate; None if the response states none.
          sent_s: When the request was sent.
          now: Monotonic time.
        """
        known = self._statements.get(server_id)
        stated = Statement(server_id, started_at_ms, rate, now, now)
        if known is None or known.started_at_ms < started_at_ms:
            if rate is not None:
                self._set(stated, now, is_remote=False)
        elif known.started_at_ms > started_at_ms:
            # A late response of the server's process before.
            return
        elif stated.level == known.level:
            self._statements[server_id] = known._replace(observed_s=now)
        elif stated.level < known.level or sent_s > known.since_s:
            self._set(stated, now, is_remote=False)

    def merge(self, statements: Iterable[Statement], now: float) -> None:
        """Adds what other hosts have observed."""
        for each in statements:
            known = self._statements.get(each.server_id)
            if known is None:
                if each.rate is not None:
                    self._set(each, now, is_remote=True)
            elif each.started_at_ms != known.started_at_ms:
                if each.started_at_ms > known.started_at_ms:
                    self._set(each, now, is_remote=True)
            elif each.level == known.level:
                if each.observed_s > known.observed_s:
                    self._statements[each.server_id] = known._replace(
                        observed_s=each.observed_s
                    )
            elif each.observed_s > known.observed_s + MAX_SKEW_S or (
                each.level < known.level
                and each.observed_s > known.observed_s - MAX_SKEW_S
            ):
                self._set(each, now, is_remote=True)

    def list_gossip(self, now: float, max_count: int) -> list[Statement]:
        """Returns statements to pass on: changed ones, then others in turn."""
        due = []
        for server_id, (count, passed_s) in self._passed_on.items():
            if count < FRESH_SENDS or now - passed_s >= REFRESH_INTERVAL_S:
                due.append((min(count, FRESH_SENDS), passed_s, server_id))
        due.sort()
        chosen = [server_id for _, _, server_id in due[:max_count]]
        for server_id in chosen:
            self._passed_on[server_id] = (
                self._passed_on[server_id][0] + 1,
                now,
            )
        return [self._statements[server_id] for server_id in chosen]

    def list_due_checks(self, now: float) -> Sequence[str]:
        """Returns servers that get a health check from this host now."""
        return [
            server_id
            for server_id, limiter in self._limiters.items()
            if not limiter.takes_requests and limiter.may_check(now)
        ]

    def _set(
        self, statement: Statement, now: float, *, is_remote: bool
    ) -> None:
        """Puts a statement in force."""
        server_id = statement.server_id
        known = self._statements.pop(server_id, None)
        if len(self._statements) >= MAX_REMEMBERED:
            oldest = next(iter(self._statements.values()))
            self._forget(oldest.server_id)
            self._on_changed(oldest._replace(rate=None), is_remote)
        self._statements[server_id] = statement
        if known is None or _is_material(known, statement):
            self._passed_on[server_id] = (0, -math.inf)
        if statement.rate is None:
            self._limiters.pop(server_id, None)
        else:
            limiter = self._limiters.setdefault(server_id, RateLimiter())
            self._configure(limiter, server_id, statement.rate, now)
        self._on_changed(statement, is_remote)

    def _forget(self, server_id: str) -> None:
        """Forgets a server."""
        del self._statements[server_id]
        self._limiters.pop(server_id, None)
        self._passed_on.pop(server_id, None)

    def _configure(
        self, limiter: RateLimiter, server_id: str, rate: float, now: float
    ) -> None:
        """Sets the rate of a limiter and this host's share."""
        share = self._views.find_least(
            lambda view: compute_share(view, self._own, server_id, rate)
        )
        limiter.configure(rate, share, now)


def _is_material(old: Statement, new: Statement) -> bool:
    """Returns whether other hosts should hear of a change soon."""
    if old.started_at_ms != new.started_at_ms:
        return True
    if old.rate is None or new.rate is None:
        return True
    low, high = sorted((old.rate, new.rate))
    return high > low * MATERIAL_FACTOR
