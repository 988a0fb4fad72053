"""One caller's request at the backend servers: attempts, hedges and retries.

A request to one service is handled as a search over a single shard whose
response is passed on unchanged.  For each shard, attempts are sent until one
backend server has answered, within the route's attempt limit and the budget
of extra attempts.  A search completes when all shards have answered.  At the
route's objective it completes without the slowest shards, since a complete
answer after that is worth less than a partial one in time.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import enum
import math
import random as random_module
from typing import Any
from typing import NamedTuple
from typing import Protocol

from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import load_balancing
from eelgrasshall.gateway import merging
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import pauses
from eelgrasshall.gateway import upstream

# Quantiles of a route's latency after which a hedge is sent.
SEARCH_HEDGE_QUANTILE = 0.88
SINGLE_HEDGE_QUANTILE = 0.95
# Upper bound on the hedge delay, in median latencies.  While many servers are
# slow, the quantile reflects their slowness instead of normal latency.
MAX_HEDGE_DELAY_MEDIANS = 1.9
# The same where this host keeps to its zone and there is time to spare: hedges
# go to other zones, and most attempts answer soon after the quantile.
MAX_SPARE_HEDGE_DELAY_MEDIANS = 3.0
# Lower bound on the hedge delay; differences below it are random.
MIN_HEDGE_DELAY_S = 0.004
# Interval at which hedges are tried again that were put off because this host
# may reach no server.
HEDGE_RETRY_INTERVAL_S = 0.03
# Share of the extra-attempt budget that hedges leave for retries.
RETRY_RESERVE = 0.2
# Time for this host's processing and for the response to reach the caller,
# subtracted from the route's objective.
OBJECTIVE_MARGIN_S = 0.013
# The same, subtracted from the caller's deadline.
DEADLINE_MARGIN_S = 0.012
# Sends allowed beyond the route's attempt limit, for attempts that backend
# servers refuse without running them.
MAX_REFUSED_SENDS = 2
# Most servers, shards or failures listed in one log line.
MAX_LOGGED_ITEMS = 12
# Retry-After values: by then a paused server has usually resumed, or an
# available server has been found.
RETRY_AFTER_REFUSAL_S = 0.1
RETRY_AFTER_NO_SERVER_S = 0.4

TOO_FEW_SERVERS = "too few shards have an available server"
QUARANTINED = "quarantined: the request crashes backend servers"

# Statuses from which a caller may conclude that the request did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def find_return_s(
    context: "Context", route: model.Route, services: Sequence[str]
) -> float | None:
    """Returns when the caller should come back if no answer is possible now.

    Args:
      context: The state of this entry host.
      route: The route of the request.
      services: The services to query.

    Returns:
      Seconds; None if enough services have a server that may be sent to.
    """
    now = context.loop.time()
    min_share = route.min_share if route.shards else 1.0
    waits_s = [_find_wait_s(context, service, now) for service in services]
    available = sum(1 for wait_s in waits_s if wait_s == 0.0)
    if merging.meets_coverage(available, len(services), min_share):
        return None
    return pauses.choose_return_s(
        waits_s,
        merging.count_required(len(services), min_share),
        RETRY_AFTER_NO_SERVER_S,
        context.random,
    )


def _find_wait_s(context: "Context", service: str, now: float) -> float | None:
    """Returns the seconds until a service has a server that may be sent to.

    Returns None if that does not follow from pauses and stated rates alone.
    """
    waits_s = []
    for backend in context.find_candidates(service):
        if backend.can_accept(now):
            return 0.0
        wait_s = backend.get_wait_s(now)
        if 0.0 < wait_s < math.inf and not backend.unreachable:
            waits_s.append(wait_s)
    return min(waits_s, default=None)


class Verdict(enum.Enum):
    """The result of a request, as logged and counted."""

    ANSWERED = "answered"
    PARTIAL = "partial"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


class Outcome(NamedTuple):
    """The final answer to a request.

    Attributes:
      verdict: The result of the request.
      status: The HTTP status.
      headers: The response headers.
      body: The response body.
      missing: Number of shards that are not in the answer.
      reason: Why the answer is not complete; empty if it is.
    """

    verdict: Verdict
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    missing: int = 0
    reason: str = ""


class Context(Protocol):
    """The state of the entry host that a fan-out uses."""

    loop: asyncio.AbstractEventLoop
    names: model.HeaderNames
    random: random_module.Random
    zone: str
    keeps_to_zone: bool

    def get_quarantine_s(self, request: messages.Request) -> float:
        """Returns for how long a request must not run; 0 if it may."""

    def find_candidates(self, service: str) -> Sequence[upstream.Backend]:
        """Returns the backend servers of a service that may get requests."""

    def take_trial_servers(self, service: str) -> Sequence[upstream.Backend]:
        """Returns the servers on trial for one first attempt at a service.

        Each call counts as one request, and as one at the trial servers if it
        returns any; it returns none unless one of them can be sent to now.
        """

    def find_extra_attempt_budget(
        self, service: str
    ) -> hedging.ExtraAttemptBudget:
        """Returns the budget of extra attempts for a service."""

    def note_silence(self) -> bool:
        """Handles a search of which no shard has answered in time.

        Returns:
          Whether it is in doubt that this host reaches servers at all.
        """

    def find_latency_window(self, route: model.Route) -> hedging.LatencyWindow:
        """Returns the recent latencies of a route."""

    def count(self, name: str) -> None:
        """Increments a named counter."""


class ShardState:
    """The progress of a request at one shard.

    Args:
      service: The service that holds the shard.
    """

    __slots__ = (
        "active",
        "answered_by",
        "attempt_count",
        "failed",
        "may_have_run",
        "reply",
        "service",
        "tried",
        "was_sent",
    )

    def __init__(self, *, service: str):
        self.service = service
        self.active: list[attempts.Attempt] = []
        self.reply: messages.Reply | None = None
        # The server whose success it is; empty if there is none.
        self.answered_by = ""
        self.failed = False
        self.may_have_run = False
        self.was_sent = False
        # Attempts without those that were certainly not run.
        self.attempt_count = 0
        self.tried: list[upstream.Backend] = []

    @property
    def is_pending(self) -> bool:
        """Whether the shard may still answer."""
        return not self.failed and self.reply is None


class Fanout:
    """A request in progress at one or more services.

    Args:
      context: The state of this entry host.
      request: The caller's request.
      route: The route of the request, from one configuration version.
      services: The services to query: all shards of a search, or the one
        service chosen from a split.
      request_id: The caller's id of this try of the request.
      deadline_s: Monotonic time at which the caller's time-out or the route's
        time-out ends, whichever is first.
      has_waiting: Returns whether requests wait for admission to these
        services.
      workspace: The workspace whose name each attempt carries, if any.
    """

    def __init__(
        self,
        *,
        context: Context,
        request: messages.Request,
        route: model.Route,
        services: Sequence[str],
        request_id: bytes,
        deadline_s: float,
        has_waiting: Callable[[], bool],
        workspace: model.Workspace | None = None,
    ):
        self._context = context
        self._has_waiting = has_waiting
        self._request = request
        self._route = route
        self._request_id = request_id
        self._deadline_s = deadline_s
        self._response_due_s = deadline_s - DEADLINE_MARGIN_S
        self._partial_due_s = (
            request.received_s + route.objective_s - OBJECTIVE_MARGIN_S
        )
        self._shards = [ShardState(service=name) for name in services]
        self._workspace_name = workspace.name if workspace else None
        self._head = messages.encode_request_head(
            request, context.names, workspace
        )
        self._latencies = context.find_latency_window(route)
        self._median_latency_s = self._latencies.quantile(0.5)
        quantile = (
            SEARCH_HEDGE_QUANTILE if route.shards else SINGLE_HEDGE_QUANTILE
        )
        self._hedge_delay_s = max(
            min(
                self._latencies.quantile(quantile),
                MAX_HEDGE_DELAY_MEDIANS * self._median_latency_s,
            ),
            MIN_HEDGE_DELAY_S,
        )
        if context.keeps_to_zone:
            self._hedge_delay_s = self._extend_hedge_delay_s()
        # When to try again to send hedges that were put off.
        self._hedges_due_s = 0.0
        # Whether it was ended here to be sent through another host.
        self.gave_up = False
        self._failures: list[str] = []
        self._hedge_count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._result: asyncio.Future[Outcome] = context.loop.create_future()

    def _extend_hedge_delay_s(self) -> float:
        """Returns the hedge delay that the time to spare allows.

        A hedge still has as much time for its response then as an attempt needs
        to be expected well in time.
        """
        median_s = self._median_latency_s
        spare_s = self._partial_due_s - self._context.loop.time()
        latest_s = spare_s - load_balancing.SPARE_FACTOR * median_s
        extended_s = min(MAX_SPARE_HEDGE_DELAY_MEDIANS * median_s, latest_s)
        return max(self._hedge_delay_s, extended_s)

    async def run(self) -> Outcome:
        """Sends the request and waits for its outcome.

        Cancellation, when the caller has left, abandons all attempts.  Those
        of an idempotent request are aborted.
        """
        services = [shard.service for shard in self._shards]
        if self._context.get_quarantine_s(self._request):
            return self._reject(QUARANTINED)
        wait_s = find_return_s(self._context, self._route, services)
        if wait_s is not None:
            return self._reject(TOO_FEW_SERVERS, wait_s)
        for shard in self._shards:
            budget = self._context.find_extra_attempt_budget(shard.service)
            budget.deposit(
                self._context.loop.time(), workspace=self._workspace_name
            )
            self._send_first_attempt(shard)
        self._check_completion()
        self._schedule_timer()
        try:
            return await self._result
        except asyncio.CancelledError:
            self._abandon_attempts(abort=self._route.idempotent)
            raise

    def handle_outcome(
        self,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Records the outcome of an attempt and retries a failed one."""
        shard: ShardState = attempt.tag
        shard.active.remove(attempt)
        shard.was_sent = shard.was_sent or attempt.sent
        if not outcome.not_run:
            shard.may_have_run = True
        if not (isinstance(outcome, messages.Reply) and outcome.succeeded):
            self._record_failure(attempt, outcome)
        if isinstance(outcome, messages.Reply) and outcome.succeeded:
            took_s = self._context.loop.time() - attempt.started_s
            self._latencies.record(took_s)
            if shard.reply is None:
                shard.reply = outcome
                shard.answered_by = attempt.backend.server.id
        elif shard.is_pending:
            self._retry(shard, outcome)
        self._check_completion()

    def end(self, outcome: Outcome) -> None:
        """Ends a request that was sent nowhere yet, unless it is complete."""
        if not self._result.done():
            self._result.set_result(outcome)
            self._abandon_attempts(abort=True)

    def give_up_when_overdue(self) -> None:
        """Ends the request here, so that it can be sent through another host.

        It may still be answered until it has taken as long as is usual.  One
        that may run once only is not ended if it may have run.
        """
        started_s = min(
            (each.started_s for shard in self._shards for each in shard.active),
            default=0.0,
        )
        self._context.loop.call_at(
            started_s + self._hedge_delay_s, self._give_up
        )

    def _give_up(self) -> None:
        """Ends the request, unless it is complete or may run once only."""
        if self._result.done() or (
            self.may_have_run and not self._route.idempotent
        ):
            return
        self.gave_up = True
        self._result.set_result(self._reject("no link to any server"))
        self._abandon_attempts(abort=True)

    def try_withdraw_repeat(self) -> bool:
        """Withdraws one extra attempt for each service of the request.

        Returns:
          Whether the request may be sent once more as a whole.
        """
        budgets = [
            self._context.find_extra_attempt_budget(shard.service)
            for shard in self._shards
        ]
        name = self._workspace_name
        if not all(budget.can_withdraw(workspace=name) for budget in budgets):
            return False
        for budget in budgets:
            budget.try_withdraw(workspace=name)
        return True

    @property
    def is_flawless(self) -> bool:
        """Whether all shards have answered and no attempt has failed."""
        return not self._failures and all(
            shard.reply is not None for shard in self._shards
        )

    def get_log_fields(self) -> dict[str, Any]:
        """Returns the attempts and failures of the request as log fields."""
        sent_to = [b.server.id for shard in self._shards for b in shard.tried]
        left_out = [s.service for s in self._shards if s.reply is None]
        parts = sorted(
            (len(shard.reply.body), shard.answered_by, shard.reply)
            for shard in self._shards
            if shard.answered_by
        )
        return {
            "sent_to": sent_to[:MAX_LOGGED_ITEMS],
            "parts": [
                [server_id, size, reply.earlier_requests]
                for size, server_id, reply in parts[:MAX_LOGGED_ITEMS]
            ],
            "hedges": self._hedge_count,
            "failures": self._failures,
            "left_out": left_out[:MAX_LOGGED_ITEMS],
        }

    def _record_failure(
        self,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Stores a description of a failed attempt for the log."""
        if len(self._failures) >= MAX_LOGGED_ITEMS:
            return
        if isinstance(outcome, messages.Reply):
            description = f"status {outcome.status}"
        else:
            description = outcome.kind.value
        if outcome.not_run:
            description += ", not run"
        took_s = self._context.loop.time() - attempt.started_s
        self._failures.append(
            f"{attempt.backend.server.id}: "
            f"{description} after {took_s * 1000:.0f} ms"
        )

    def _send_first_attempt(self, shard: ShardState) -> None:
        """Sends the first attempt of a shard, perhaps to a trial server."""
        servers = self._context.take_trial_servers(shard.service)
        if servers:
            self._send_to_best(shard, servers, self._context.loop.time())
        else:
            self._send_attempt(shard)

    def _send_attempt(self, shard: ShardState) -> bool:
        """Sends an attempt to a server of a shard not tried before.

        Returns:
          False if no such server is available or the request must not run.
        """
        if self._context.get_quarantine_s(self._request):
            shard.failed = not shard.active
            return False
        now = self._context.loop.time()
        candidates = [
            backend
            for backend in self._context.find_candidates(shard.service)
            if backend not in shard.tried and backend.can_accept(now)
        ]
        return self._send_to_best(shard, candidates, now)

    def _send_to_best(
        self,
        shard: ShardState,
        candidates: Sequence[upstream.Backend],
        now: float,
        *,
        is_hedge: bool = False,
    ) -> bool:
        """Sends an attempt to the candidate that answers first, most likely.

        Where this host keeps to its zone, that holds for hedges; other attempts
        stay in the zone as long as their response is expected well in time.

        Returns:
          False if there is no candidate.
        """
        spare_s = None
        if self._context.keeps_to_zone:
            spare_s = 0.0 if is_hedge else self._partial_due_s - now
        chosen = load_balancing.choose_backend(
            candidates,
            expected_latency_s=self._median_latency_s,
            zone=self._context.zone,
            now=now,
            budget_used=self._context.find_extra_attempt_budget(
                shard.service
            ).compute_used_share(),
            random=self._context.random,
            spare_s=spare_s,
        )
        if chosen is None:
            shard.failed = not shard.active
            return False
        attempt = attempts.Attempt(
            owner=self,
            tag=shard,
            request_id=self._request_id,
            encode=self._encode_attempt,
            deadline_s=self._deadline_s,
            due_s=self._partial_due_s,
            expected_latency_s=self._median_latency_s,
            needs_new_connection=not self._route.idempotent,
            compute_fingerprint=self._compute_fingerprint,
            route_name=self._route.name,
            is_extra=bool(shard.tried),
            expects_body=self._request.method != b"HEAD",
        )
        shard.active.append(attempt)
        shard.tried.append(chosen)
        shard.attempt_count += 1
        chosen.submit(attempt)
        return True

    def _compute_fingerprint(self) -> str:
        """Returns the fingerprint shared by all tries of the caller."""
        return messages.compute_fingerprint(self._request)

    def _encode_attempt(self, remaining_s: float, server_id: str) -> bytes:
        """Returns the bytes of an attempt at one backend server."""
        return messages.encode_attempt(
            head=self._head,
            body=self._request.body,
            method=self._request.method,
            names=self._context.names,
            remaining_s=remaining_s,
            server_id=server_id,
        )

    def _retry(
        self, shard: ShardState, outcome: messages.Reply | messages.Failure
    ) -> None:
        """Retries a shard after a failed attempt, if the limits allow it."""
        if outcome.not_run:
            shard.attempt_count -= 1
        elif not self._route.idempotent:
            self._fail_shard(shard, outcome)
            return
        if shard.active:
            return
        # What was not sent reached no server, so that the next attempt is not
        # an extra one.
        unsent = outcome == messages.Failure(messages.FailureKind.NOT_SENT)
        may_run = shard.attempt_count < self._route.max_attempts
        may_send = (
            len(shard.tried) < self._route.max_attempts + MAX_REFUSED_SENDS
        )
        if (
            self._result.done()
            or not (may_run and may_send)
            or not (
                unsent
                or self._context.find_extra_attempt_budget(
                    shard.service
                ).try_withdraw(workspace=self._workspace_name)
            )
            or not self._send_attempt(shard)
        ):
            self._fail_shard(shard, outcome)
            return
        self._context.count("repeats")

    def _fail_shard(
        self, shard: ShardState, outcome: messages.Reply | messages.Failure
    ) -> None:
        """Marks a shard as failed.

        For a single service, an error response is kept to be passed on,
        unless the caller could conclude from it that the request did not run.
        A success that failed here lacks its signature, and the caller would
        take it for one.
        """
        shard.failed = True
        if self._route.shards or not isinstance(outcome, messages.Reply):
            return
        if (
            outcome.not_run
            or outcome.status in NOT_RUN_STATUSES
            or 200 <= outcome.status < 300
        ):
            return
        shard.reply = outcome

    def _send_hedges(self, now: float) -> None:
        """Sends a hedge for each shard whose attempt exceeds the hedge delay.

        Sends none while requests wait for admission: all latencies are high
        then, and a hedge would occupy a slot that a waiting request needs.
        Puts them off while it is in doubt that any server can be reached: they
        would be lost as well, and the budget with them.
        """
        if (
            not self._route.idempotent
            or self._has_waiting()
            or self._context.get_quarantine_s(self._request)
        ):
            return
        if (
            self._route.shards
            and all(shard.is_pending for shard in self._shards)
            and self._context.note_silence()
        ):
            self._hedges_due_s = now + HEDGE_RETRY_INTERVAL_S
            return
        for shard in self._shards:
            if not shard.is_pending or len(shard.active) != 1:
                continue
            if shard.attempt_count >= self._route.max_attempts:
                continue
            if now < shard.active[0].started_s + self._hedge_delay_s:
                continue
            budget = self._context.find_extra_attempt_budget(shard.service)
            others = [
                backend
                for backend in self._context.find_candidates(shard.service)
                if backend not in shard.tried and backend.can_accept_hedge(now)
            ]
            if others and budget.try_withdraw(
                reserve=RETRY_RESERVE, workspace=self._workspace_name
            ):
                self._hedge_count += 1
                self._context.count("hedges")
                self._send_to_best(shard, others, now, is_hedge=True)

    def _on_timer(self) -> None:
        """Sends hedges and checks the deadlines."""
        self._timer = None
        if self._result.done():
            return
        now = self._context.loop.time()
        self._send_hedges(now)
        self._check_completion()
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        """Sets the timer for the next hedge or deadline."""
        if self._result.done():
            return
        now = self._context.loop.time()
        due_s = self._response_due_s
        if self._hedges_due_s > now:
            due_s = min(due_s, self._hedges_due_s)
        if self._route.shards and now < self._partial_due_s:
            due_s = min(due_s, self._partial_due_s)
        if self._route.idempotent:
            for shard in self._shards:
                if shard.is_pending and len(shard.active) == 1:
                    hedge_due_s = (
                        shard.active[0].started_s + self._hedge_delay_s
                    )
                    if hedge_due_s > now:
                        due_s = min(due_s, hedge_due_s)
        self._timer = self._context.loop.call_at(
            max(due_s, now + 0.001), self._on_timer
        )

    def _check_completion(self) -> None:
        """Completes the request if its outcome is determined."""
        if self._result.done():
            return
        now = self._context.loop.time()
        if self._route.shards:
            outcome = self._evaluate_search(now)
        else:
            outcome = self._evaluate_single(now)
        if outcome is None:
            return
        self._result.set_result(outcome)
        self._abandon_attempts(abort=False)

    def _evaluate_search(self, now: float) -> Outcome | None:
        """Returns the outcome of a search, or None if it continues."""
        total = len(self._shards)
        answered = [shard for shard in self._shards if shard.reply is not None]
        pending = sum(1 for shard in self._shards if shard.is_pending)
        min_share = self._route.min_share
        enough = merging.meets_coverage(len(answered), total, min_share)
        if not pending or (enough and now >= self._partial_due_s):
            if enough:
                return self._build_answer(answered)
            return self._reject("too few shards answered")
        if not merging.meets_coverage(
            len(answered) + pending, total, min_share
        ):
            return self._reject("too few shards can still answer")
        if now >= self._response_due_s:
            if enough:
                return self._build_answer(answered)
            return self._time_out()
        return None

    def _build_answer(self, answered: list[ShardState]) -> Outcome:
        """Merges the responses of the shards that have answered."""
        names = self._context.names
        missing = len(self._shards) - len(answered)
        seals = b", ".join(shard.reply.seal for shard in answered)
        body = merging.merge_records(
            (shard.reply.body for shard in answered), self._route.top_n
        )
        headers = [
            (names.part_seals, seals),
            (names.parts_missing, b"%d" % missing),
        ]
        verdict = Verdict.PARTIAL if missing else Verdict.ANSWERED
        return Outcome(verdict, 200, headers, body, missing)

    def _evaluate_single(self, now: float) -> Outcome | None:
        """Returns the outcome at a single service, or None if it continues."""
        shard = self._shards[0]
        if shard.reply is not None:
            reply = shard.reply
            verdict = Verdict.ANSWERED if reply.succeeded else Verdict.FAILED
            return Outcome(verdict, reply.status, reply.headers, reply.body)
        if shard.failed:
            return self._reject("no backend server answered")
        if now >= self._response_due_s:
            return self._time_out()
        return None

    def _time_out(self) -> Outcome:
        """Returns the outcome at the deadline.

        A request of which no attempt was sent is refused, so that its caller
        may send it again; the attempts that wait are withdrawn.
        """
        if not self.may_have_run:
            return self._reject("deadline")
        return Outcome(Verdict.TIMED_OUT, 504, [], b"", 0, "deadline")

    @property
    def was_sent(self) -> bool:
        """Whether the request may have arrived at a backend server."""
        return any(
            shard.was_sent or any(each.sent for each in shard.active)
            for shard in self._shards
        )

    @property
    def may_have_run(self) -> bool:
        """Returns whether a backend server may have run the request."""
        return any(
            shard.may_have_run or any(each.sent for each in shard.active)
            for shard in self._shards
        )

    def _reject(self, reason: str, wait_s: float | None = None) -> Outcome:
        """Returns a refusal, or a failure if the request may have run.

        Args:
          reason: The reason, for the log.
          wait_s: Seconds after which the caller may retry; None if that depends
            on the servers that are available now.
        """
        quarantine_s = self._context.get_quarantine_s(self._request)
        if quarantine_s:
            reason, wait_s = QUARANTINED, quarantine_s
        if self.may_have_run:
            return Outcome(Verdict.FAILED, 502, [], b"", 0, reason)
        if wait_s is None:
            services = [shard.service for shard in self._shards]
            wait_s = find_return_s(self._context, self._route, services)
        if wait_s is None:
            wait_s = RETRY_AFTER_REFUSAL_S
        headers = [(self._context.names.retry_after, b"%.2f" % wait_s)]
        return Outcome(Verdict.REFUSED, 503, headers, b"", 0, reason)

    def _abandon_attempts(self, *, abort: bool) -> None:
        """Cancels the timer and abandons the attempts in flight."""
        if self._timer is not None:
            self._timer.cancel()
        for shard in self._shards:
            for attempt in shard.active:
                attempt.backend.abandon(attempt, abort=abort)
