"""Which requests an entry host takes on, decided at once.

Each kind of request has a concurrency limit.  It falls when the owners of its
services report long queue waits and rises again while waits are short, fast
while they are far below the target and slowly near it.  Under overload the
owners' queues so stay short and what is admitted is answered in time.  Above
`CONTENDED_SHARE` of a limit only those are admitted that use less than their
fair share: callers within a kind, and kinds, by weight, within the host.

Nothing waits here.  A request is admitted or refused on the spot, and the
refusal names the time to come back.
"""

from collections.abc import Sequence
import math
import random as random_module
from typing import NamedTuple

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.state import configuration as configuration_module

CONTENDED_SHARE = 0.8
DEFAULT_HOST_LIMIT = 1024
# Queue waits are kept near this share of the kind's deadline.
TARGET_WAIT_SHARE = 0.25
DECREASE_FACTOR = 0.9
# The wait that counts is the one that this share of a request's services stay
# within, so that one service that is down does not close the whole kind.
WAIT_QUANTILE = 0.75
MIN_LIMIT = 2.0
# A kind starts here and finds its limit; starting from its most would fill the
# queues of a fleet that starts cold with more than can be answered in time.
INITIAL_LIMIT = 8
# A caller or kind counts for the shares this long after its last request.
ACTIVE_S = 1.0
# Estimates of waits and durations halve their weight in this time, so that a
# refusal cannot feed on an old estimate.
ESTIMATE_HALF_LIFE_S = 0.5
_SMOOTHING = 0.2
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
MAX_CALLERS = 4096


class Permit(NamedTuple):
    """A place that an admitted request holds until it is released.

    Attributes:
      kind: The kind of request.
      caller: Who asked.
      admitted_at: Monotonic time in seconds.
    """

    kind: str
    caller: str
    admitted_at: float


class Rejection(NamedTuple):
    """Why a request is not admitted.

    Attributes:
      problem: The reason.
      retry_after_s: Seconds after which to come back.
    """

    problem: errors.Problem
    retry_after_s: float


class _Use(NamedTuple):
    """What a caller or kind uses.

    Attributes:
      in_flight: Its requests in flight.
      seen_at: Monotonic time of its last request in seconds.
    """

    in_flight: int = 0
    seen_at: float = -math.inf


class _KindState:
    """The limit and the estimates of one kind."""

    def __init__(self, *, limit: float):
        self.limit = limit
        self.in_flight = 0
        self.seen_at = -math.inf
        self.lowered_at = -math.inf
        self.wait_s = 0.0
        self.wait_at = -math.inf
        self.duration_s = 0.0
        self.refused = 0
        self.refused_since = -math.inf
        self.callers: dict[str, _Use] = {}
        self.pruned_at = -math.inf

    def estimate_wait_s(self, now: float) -> float:
        """Returns the queue wait to expect, fading while none is seen."""
        age_s = now - self.wait_at
        return self.wait_s * 0.5 ** (age_s / ESTIMATE_HALF_LIFE_S)


class Admission:
    """Decides on each request of an entry host.

    Args:
      clock: The source of time.
      random: Spreads the times to come back.
      host_limit: Requests that the host runs at once over all kinds.
      initial_limit: Requests of one kind that it runs at once at first.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        host_limit: int = DEFAULT_HOST_LIMIT,
        initial_limit: int = INITIAL_LIMIT,
    ):
        self._clock = clock
        self._random = random
        self._host_limit = host_limit
        self._initial_limit = initial_limit
        self._kinds: dict[str, _KindState] = {}
        self._weights: dict[str, int] = {}
        self.in_flight = 0

    def admit(
        self, kind: configuration_module.Kind, caller: str, budget_s: float
    ) -> Permit | Rejection:
        """Decides on a request now.

        Args:
          kind: Its kind.
          caller: Who asks.
          budget_s: Seconds until its deadline.

        Returns:
          A permit, to be given back by `release`, or the rejection.
        """
        now = self._clock.monotonic()
        state = self._find_state(kind)
        state.limit = min(state.limit, float(kind.max_concurrent))
        state.seen_at = now
        self._prune_callers(state, now)
        if caller not in state.callers and len(state.callers) >= MAX_CALLERS:
            # Beyond that many, callers share one entry.
            caller = ""
        use = state.callers.get(caller, _Use())
        state.callers[caller] = use._replace(seen_at=now)
        problem = self._find_problem(kind, state, caller, budget_s, now)
        if problem is not None:
            return Rejection(problem, self._choose_retry_after_s(state, now))
        state.callers[caller] = _Use(use.in_flight + 1, now)
        state.in_flight += 1
        self.in_flight += 1
        return Permit(kind.name, caller, now)

    def release(
        self,
        permit: Permit,
        *,
        queue_waits_s: Sequence[float],
        deadline_s: float,
    ) -> None:
        """Takes a permit back and learns from how the request went.

        Args:
          permit: The permit.
          queue_waits_s: Waits at the owners in seconds, as far as known.
          deadline_s: The kind's deadline.
        """
        state = self._kinds[permit.kind]
        if queue_waits_s:
            wait_s = _choose_wait_s(queue_waits_s)
            self._learn(state, permit, wait_s, deadline_s)
        state.in_flight -= 1
        self.in_flight -= 1
        use = state.callers[permit.caller]
        state.callers[permit.caller] = use._replace(in_flight=use.in_flight - 1)

    def dump(self) -> dict[str, dict[str, float]]:
        """Returns limits and estimates as plain data."""
        now = self._clock.monotonic()
        return {
            name: {
                "limit": state.limit,
                "in_flight": state.in_flight,
                "queue_wait_s": state.estimate_wait_s(now),
                "duration_s": state.duration_s,
                "callers": len(state.callers),
            }
            for name, state in sorted(self._kinds.items())
        }

    def _find_state(self, kind: configuration_module.Kind) -> _KindState:
        """Returns the state of a kind, made when first asked for."""
        self._weights[kind.name] = kind.weight
        state = self._kinds.get(kind.name)
        if state is None:
            state = _KindState(limit=float(self._initial_limit))
            self._kinds[kind.name] = state
        return state

    def _find_problem(
        self,
        kind: configuration_module.Kind,
        state: _KindState,
        caller: str,
        budget_s: float,
        now: float,
    ) -> errors.Problem | None:
        """Returns why a request cannot be admitted, or None."""
        expected_s = state.estimate_wait_s(now)
        # One request may always try, so that the estimate is renewed.
        if state.in_flight > 0 and expected_s >= budget_s:
            return errors.Problem(
                errors.ProblemKind.DEADLINE_TOO_SHORT,
                kind.name,
                f"The queue is about {expected_s:.3f} s long.",
                "Come back later or allow a longer deadline.",
            )
        if self.in_flight >= self._host_limit:
            return _overloaded("host", "The host is full.")
        if state.in_flight >= int(state.limit):
            return _overloaded(kind.name, "The kind's limit is reached.")
        if self._is_host_contended() and (
            state.in_flight >= self._share_of_kind(kind, now)
        ):
            return _overloaded(kind.name, "The kind's share is used up.")
        if state.in_flight >= CONTENDED_SHARE * state.limit:
            share = math.ceil(state.limit / len(state.callers))
            if state.callers[caller].in_flight >= share:
                return _overloaded(caller, "The caller's share is used up.")
        return None

    def _is_host_contended(self) -> bool:
        """Returns whether the host is so full that shares count."""
        return self.in_flight >= CONTENDED_SHARE * self._host_limit

    def _share_of_kind(
        self, kind: configuration_module.Kind, now: float
    ) -> float:
        """Returns the requests that are a kind's share of the host."""
        total = sum(
            self._weights[name]
            for name, state in self._kinds.items()
            if state.in_flight > 0 or now - state.seen_at <= ACTIVE_S
        )
        return math.ceil(self._host_limit * kind.weight / total)

    def _prune_callers(self, state: _KindState, now: float) -> None:
        """Forgets callers that have nothing in flight and were not seen."""
        if now - state.pruned_at < ACTIVE_S:
            return
        state.pruned_at = now
        state.callers = {
            name: use
            for name, use in state.callers.items()
            if use.in_flight > 0 or now - use.seen_at <= ACTIVE_S
        }

    def _learn(
        self,
        state: _KindState,
        permit: Permit,
        queue_wait_s: float,
        deadline_s: float,
    ) -> None:
        """Renews the estimates and moves the limit."""
        now = self._clock.monotonic()
        duration_s = now - permit.admitted_at
        if state.duration_s == 0.0:
            state.duration_s = duration_s
        state.duration_s += _SMOOTHING * (duration_s - state.duration_s)
        wait_s = state.estimate_wait_s(now)
        state.wait_s = wait_s + _SMOOTHING * (queue_wait_s - wait_s)
        state.wait_at = now
        target_s = TARGET_WAIT_SHARE * deadline_s
        if state.wait_s > target_s:
            # One decrease a round trip: its effect shows only after that.
            if now - state.lowered_at >= state.duration_s:
                state.lowered_at = now
                lowered = min(state.limit, state.in_flight) * DECREASE_FACTOR
                state.limit = max(MIN_LIMIT, lowered)
            return
        # A limit below the initial one may be smaller than any burst, so it
        # does not wait to be reached before it rises.
        used = state.in_flight >= CONTENDED_SHARE * int(state.limit)
        if used or state.limit < self._initial_limit:
            # Far below the target the limit doubles each round trip, near it
            # it grows by one.
            room = 1.0 - state.wait_s / target_s
            state.limit += room**3 + (1.0 - room) / state.limit

    def _choose_retry_after_s(self, state: _KindState, now: float) -> float:
        """Returns when a place is likely free for a refused request.

        The more are refused at the same time, the wider they are spread.
        """
        if now - state.refused_since > ACTIVE_S:
            state.refused_since = now
            state.refused = 0
        state.refused += 1
        rounds = 1.0 + state.refused / max(1.0, state.limit)
        spread = self._random.uniform(0.5, 1.5)
        seconds = max(state.duration_s, MIN_RETRY_AFTER_S) * rounds * spread
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))


def _choose_wait_s(queue_waits_s: Sequence[float]) -> float:
    """Returns the wait that most services of a request stay within."""
    rank = math.ceil(WAIT_QUANTILE * len(queue_waits_s))
    return sorted(queue_waits_s)[rank - 1]


def _overloaded(where: str, what: str) -> errors.Problem:
    """Returns the problem of a request that finds no place."""
    return errors.Problem(
        errors.ProblemKind.OVERLOADED,
        where,
        what,
        "Come back after the time given, or ask another address.",
    )
