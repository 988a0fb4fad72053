"""Admission control of an entry host.

Each kind of request has a concurrency limit, adapted by additive increase and
multiplicative decrease.  It falls when the owners of the kind's services
report long queue waits and rises again while waits are short: fast while they
are far below the target, slowly near it.  This keeps the owners' queues short
under overload, so that admitted requests are answered in time.

Above `CONTENDED_SHARE` of a limit, a request is admitted only below its fair
share: callers share a kind's limit equally, and kinds share the host by
weight.

Requests are never queued here.  Each is admitted or rejected immediately, and
a rejection carries a retry-after time.
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
# Target queue wait, as a share of the kind's deadline.
TARGET_WAIT_SHARE = 0.25
DECREASE_FACTOR = 0.9
# Quantile of the queue waits over a request's services that drives the limit.
# With the maximum, one service that is down would throttle the whole kind.
WAIT_QUANTILE = 0.75
MIN_LIMIT = 2.0
# Slow start: at the configured maximum, a fleet that starts cold would queue
# more requests than it can answer in time.
INITIAL_LIMIT = 8
# A caller or kind takes part in fair sharing this long after its last request.
ACTIVITY_WINDOW_S = 1.0
# Half-life of the queue wait estimate.  Rejected requests bring no new samples,
# so without decay a high estimate would keep rejecting requests.
ESTIMATE_HALF_LIFE_S = 0.5
# Weight of the latest sample in the moving averages.
_SMOOTHING = 0.2
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
MAX_CALLERS = 4096


class Permit(NamedTuple):
    """A concurrency slot that an admitted request holds until its release.

    Attributes:
      kind: Name of the kind of request.
      caller: Name of the caller.
      admitted_at: Monotonic time of admission, in seconds.
    """

    kind: str
    caller: str
    admitted_at: float


class Rejection(NamedTuple):
    """A request that was not admitted.

    Attributes:
      problem: Why it was rejected.
      retry_after_s: Seconds after which the caller may retry.
    """

    problem: errors.Problem
    retry_after_s: float


class _Usage(NamedTuple):
    """The requests of one caller.

    Attributes:
      in_flight: Number of requests in flight.
      last_request_at: Monotonic time of the last request, in seconds.
    """

    in_flight: int = 0
    last_request_at: float = -math.inf


class _KindState:
    """Concurrency limit and load estimates of one kind."""

    def __init__(self, *, limit: float):
        self.limit = limit
        self.in_flight = 0
        self.last_request_at = -math.inf
        self.decreased_at = -math.inf
        self.wait_s = 0.0
        self.wait_at = -math.inf
        self.duration_s = 0.0
        self.rejected = 0
        self.rejected_since = -math.inf
        self.callers: dict[str, _Usage] = {}
        self.pruned_at = -math.inf

    def estimate_wait_s(self, now: float) -> float:
        """Returns the expected queue wait, decayed since the last sample."""
        age_s = now - self.wait_at
        return self.wait_s * 0.5 ** (age_s / ESTIMATE_HALF_LIFE_S)


class AdmissionController:
    """Admits or rejects the requests of an entry host.

    Args:
      clock: Source of time.
      random: Source of jitter for retry-after times.
      host_limit: Maximum number of requests in flight over all kinds.
      initial_limit: Initial concurrency limit of each kind.
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
        self, kind: configuration_module.Kind, caller: str, remaining_s: float
    ) -> Permit | Rejection:
        """Admits or rejects a request.

        Args:
          kind: The kind of request.
          caller: Name of the caller.
          remaining_s: Seconds until the request's deadline.

        Returns:
          A permit, which must be passed to `release`, or the rejection.
        """
        now = self._clock.monotonic()
        state = self._get_state(kind)
        state.limit = min(state.limit, float(kind.max_concurrent))
        state.last_request_at = now
        self._prune_callers(state, now)
        if caller not in state.callers and len(state.callers) >= MAX_CALLERS:
            # Bounds memory: further callers share one entry.
            caller = ""
        usage = state.callers.get(caller, _Usage())
        state.callers[caller] = usage._replace(last_request_at=now)
        problem = self._check_limits(kind, state, caller, remaining_s, now)
        if problem is not None:
            return Rejection(problem, self._choose_retry_after_s(state, now))
        state.callers[caller] = _Usage(usage.in_flight + 1, now)
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
        """Releases a permit and updates the kind's limit.

        Args:
          permit: The permit.
          queue_waits_s: Known queue waits at the owners, in seconds.
          deadline_s: The kind's deadline, in seconds.
        """
        state = self._kinds[permit.kind]
        if queue_waits_s:
            wait_s = _compute_wait_quantile_s(queue_waits_s)
            self._update_limit(state, permit, wait_s, deadline_s)
        state.in_flight -= 1
        self.in_flight -= 1
        usage = state.callers[permit.caller]
        state.callers[permit.caller] = usage._replace(
            in_flight=usage.in_flight - 1
        )

    def dump(self) -> dict[str, dict[str, float]]:
        """Returns limits and estimates by kind, as plain values."""
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

    def _get_state(self, kind: configuration_module.Kind) -> _KindState:
        """Returns the state of a kind, creating it on first use."""
        self._weights[kind.name] = kind.weight
        state = self._kinds.get(kind.name)
        if state is None:
            state = _KindState(limit=float(self._initial_limit))
            self._kinds[kind.name] = state
        return state

    def _check_limits(
        self,
        kind: configuration_module.Kind,
        state: _KindState,
        caller: str,
        remaining_s: float,
        now: float,
    ) -> errors.Problem | None:
        """Returns why a request must be rejected, or None."""
        expected_s = state.estimate_wait_s(now)
        # One request is always let through, to bring a new sample.
        if state.in_flight > 0 and expected_s >= remaining_s:
            return errors.Problem(
                errors.ProblemKind.DEADLINE_TOO_SHORT,
                kind.name,
                f"The expected queue wait of {expected_s:.3f} s exceeds the "
                "remaining time.",
                "Retry later or set a longer deadline.",
            )
        if self.in_flight >= self._host_limit:
            return _make_overload_problem(
                "host", "The concurrency limit of the host is reached."
            )
        if state.in_flight >= int(state.limit):
            return _make_overload_problem(
                kind.name, "The concurrency limit of the kind is reached."
            )
        if self._is_host_contended() and (
            state.in_flight >= self._compute_kind_share(kind, now)
        ):
            return _make_overload_problem(
                kind.name, "The kind uses its full share of the host."
            )
        if state.in_flight >= CONTENDED_SHARE * state.limit:
            share = math.ceil(state.limit / len(state.callers))
            if state.callers[caller].in_flight >= share:
                return _make_overload_problem(
                    caller, "The caller uses its full share of the kind."
                )
        return None

    def _is_host_contended(self) -> bool:
        """Returns whether fair shares of the host are enforced."""
        return self.in_flight >= CONTENDED_SHARE * self._host_limit

    def _compute_kind_share(
        self, kind: configuration_module.Kind, now: float
    ) -> float:
        """Returns a kind's fair share of the host limit, in requests."""
        total = sum(
            self._weights[name]
            for name, state in self._kinds.items()
            if state.in_flight > 0
            or now - state.last_request_at <= ACTIVITY_WINDOW_S
        )
        return math.ceil(self._host_limit * kind.weight / total)

    def _prune_callers(self, state: _KindState, now: float) -> None:
        """Removes callers that are idle and have nothing in flight."""
        if now - state.pruned_at < ACTIVITY_WINDOW_S:
            return
        state.pruned_at = now
        state.callers = {
            name: usage
            for name, usage in state.callers.items()
            if usage.in_flight > 0
            or now - usage.last_request_at <= ACTIVITY_WINDOW_S
        }

    def _update_limit(
        self,
        state: _KindState,
        permit: Permit,
        queue_wait_s: float,
        deadline_s: float,
    ) -> None:
        """Updates the load estimates and adjusts the limit."""
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
            # At most one decrease per round trip, until its effect shows.
            if now - state.decreased_at >= state.duration_s:
                state.decreased_at = now
                decreased_limit = (
                    min(state.limit, state.in_flight) * DECREASE_FACTOR
                )
                state.limit = max(MIN_LIMIT, decreased_limit)
            return
        # A limit below the initial one may be smaller than any burst, so it
        # rises even if it is not reached.
        used = state.in_flight >= CONTENDED_SHARE * int(state.limit)
        if used or state.limit < self._initial_limit:
            # The limit doubles each round trip far below the target and grows
            # by one near it.
            headroom = 1.0 - state.wait_s / target_s
            state.limit += headroom**3 + (1.0 - headroom) / state.limit

    def _choose_retry_after_s(self, state: _KindState, now: float) -> float:
        """Returns the retry-after time of a rejected request, in seconds.

        The more requests are rejected at the same time, the further their
        retries are spread out.
        """
        if now - state.rejected_since > ACTIVITY_WINDOW_S:
            state.rejected_since = now
            state.rejected = 0
        state.rejected += 1
        rounds = 1.0 + state.rejected / max(1.0, state.limit)
        jitter = self._random.uniform(0.5, 1.5)
        seconds = max(state.duration_s, MIN_RETRY_AFTER_S) * rounds * jitter
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))


def _compute_wait_quantile_s(queue_waits_s: Sequence[float]) -> float:
    """Returns the `WAIT_QUANTILE` of the waits at a request's services."""
    rank = math.ceil(WAIT_QUANTILE * len(queue_waits_s))
    return sorted(queue_waits_s)[rank - 1]


def _make_overload_problem(where: str, reason: str) -> errors.Problem:
    """Returns the problem of a request rejected because of overload."""
    return errors.Problem(
        errors.ProblemKind.OVERLOADED,
        where,
        reason,
        "Retry after the time given, or use another address.",
    )
