"""One request at the backend servers: sent, hedged, repeated, answered.

A request to one service is a search over one shard whose response is passed
on as it is.  Each shard is tried until one backend server has answered it, as
far as the route and the allowance of extra attempts permit.  A search is
answered when all shards are in, at the latest when a complete answer would
come too late to be worth more than one without the slowest shards.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import enum
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
from eelgrasshall.gateway import upstream

# Quantiles of a route's latencies after which a second attempt is made.
SEARCH_HEDGE_QUANTILE = 0.88
SINGLE_HEDGE_QUANTILE = 0.95
# A second attempt waits no longer than this many medians: while many servers
# are slow, the quantile says how slow they are and no longer what is usual.
LONGEST_HEDGE_MEDIANS = 1.9
# Shortest wait before a second attempt; below it chance decides.
SHORTEST_HEDGE_S = 0.004
# Share of the extra allowance that hedges leave to repeats after failures.
HEDGE_RESERVE = 0.2
# Way back to the caller and the work of this host, before the objective.
ANSWER_MARGIN_S = 0.013
# The same before the caller's deadline.
DEADLINE_MARGIN_S = 0.012
# Sends beyond the route's limit that backend servers may turn away unrun.
UNRUN_SENDS = 2
# Servers, shards and failures that one log line names at most.
MOST_LOGGED = 12
# When callers may come back: a pause ends, or a server is found, by then.
RETRY_BUSY_S = 0.1
RETRY_NO_SERVER_S = 0.4

_PROMISING = frozenset((408, 421, 429, 503))


class Verdict(enum.Enum):
    """What became of a request."""

    ANSWERED = "answered"
    PARTIAL = "partial"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


class Outcome(NamedTuple):
    """The final answer to a request.

    Attributes:
      verdict: What became of it.
      status: The HTTP status.
      headers: The headers.
      body: The body.
      missing: Shards that are not in the answer.
      reason: Why it is not a complete answer.
    """

    verdict: Verdict
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    missing: int = 0
    reason: str = ""


class Context(Protocol):
    """What a fan-out needs to know of its host."""

    loop: asyncio.AbstractEventLoop
    names: model.HeaderNames
    random: random_module.Random
    zone: str

    def find_candidates(self, service: str) -> Sequence[upstream.Backend]:
        """Returns the backend servers that may get work now."""

    def find_allowance(self, service: str) -> hedging.ExtraAttemptBudget:
        """Returns the allowance of extra attempts at a service."""

    def find_latencies(self, route: model.Route) -> hedging.LatencyWindow:
        """Returns the latencies of a route."""

    def count(self, name: str) -> None:
        """Adds one to a named counter."""


class Part:
    """The state of one shard of a request."""

    __slots__ = ("active", "failed", "ran", "reply", "runs", "sends", "service")

    def __init__(self, *, service: str):
        self.service = service
        self.active: list[attempts.Attempt] = []
        self.reply: messages.Reply | None = None
        self.failed = False
        self.ran = False
        self.runs = 0
        self.sends: list[upstream.Backend] = []

    @property
    def open(self) -> bool:
        """Whether the shard may still be answered."""
        return not self.failed and self.reply is None


class Fanout:
    """One request on its way.

    Args:
      context: The host's view.
      request: The request.
      route: Its route, of one configuration version.
      services: The services to ask: all shards, or the one of a split.
      request_id: The caller's id of this attempt.
      deadline_s: Monotonic time at which the caller stops waiting, or the
        route's timeout.
      is_crowded: Returns whether requests for these services have to wait.
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
        is_crowded: Callable[[], bool],
    ):
        self._context = context
        self._is_crowded = is_crowded
        self._request = request
        self._route = route
        self._request_id = request_id
        self._deadline_s = deadline_s
        self._end_s = deadline_s - DEADLINE_MARGIN_S
        self._cut_s = request.received_s + route.objective_s - ANSWER_MARGIN_S
        self._parts = [Part(service=name) for name in services]
        self._head = messages.encode_request_head(request, context.names)
        self._latencies = context.find_latencies(route)
        self._expected_s = self._latencies.quantile(0.5)
        quantile = (
            SEARCH_HEDGE_QUANTILE if route.shards else SINGLE_HEDGE_QUANTILE
        )
        self._hedge_after_s = max(
            min(
                self._latencies.quantile(quantile),
                LONGEST_HEDGE_MEDIANS * self._expected_s,
            ),
            SHORTEST_HEDGE_S,
        )
        self._failures: list[str] = []
        self._hedges = 0
        self._timer: asyncio.TimerHandle | None = None
        self._result: asyncio.Future[Outcome] = context.loop.create_future()

    async def run(self) -> Outcome:
        """Runs the request; cancelling it lets go of all attempts."""
        if not self._is_servable():
            return self._refuse("too few shards have a backend server")
        for part in self._parts:
            self._context.find_allowance(part.service).deposit()
            self._launch(part)
        self._check()
        self._schedule()
        try:
            return await self._result
        except asyncio.CancelledError:
            self._release(cut=self._route.repeatable)
            raise

    def settle(
        self,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Takes the outcome of an attempt."""
        part: Part = attempt.part
        part.active.remove(attempt)
        if not outcome.not_run:
            part.ran = True
        if not (isinstance(outcome, messages.Reply) and outcome.succeeded):
            self._note_failure(attempt, outcome)
        if isinstance(outcome, messages.Reply) and outcome.succeeded:
            took_s = self._context.loop.time() - attempt.started_s
            self._latencies.record(took_s)
            if part.reply is None:
                part.reply = outcome
        elif part.open:
            self._repeat(part, outcome)
        self._check()

    def explain(self) -> dict[str, Any]:
        """Returns what was decided, for the log."""
        sent_to = [b.server.id for part in self._parts for b in part.sends]
        left_out = [p.service for p in self._parts if p.reply is None]
        return {
            "sent_to": sent_to[:MOST_LOGGED],
            "hedges": self._hedges,
            "failures": self._failures,
            "left_out": left_out[:MOST_LOGGED],
        }

    def _note_failure(
        self,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Keeps how an attempt failed, for the log."""
        if len(self._failures) >= MOST_LOGGED:
            return
        if isinstance(outcome, messages.Reply):
            how = f"status {outcome.status}"
        else:
            how = outcome.kind.value
        if outcome.not_run:
            how += ", not run"
        took_s = self._context.loop.time() - attempt.started_s
        self._failures.append(
            f"{attempt.backend.server.id}: {how} after {took_s * 1000:.0f} ms"
        )

    def _is_servable(self) -> bool:
        """Returns whether enough shards have a server that can be reached."""
        least = self._route.least_share if self._route.shards else 1.0
        now = self._context.loop.time()
        servable = sum(
            any(
                backend.may_start(now)
                for backend in self._context.find_candidates(part.service)
            )
            for part in self._parts
        )
        return merging.meets_coverage(servable, len(self._parts), least)

    def _launch(self, part: Part) -> bool:
        """Sends an attempt for a shard; False if there is nowhere to send."""
        now = self._context.loop.time()
        candidates = [
            backend
            for backend in self._context.find_candidates(part.service)
            if backend not in part.sends and backend.may_start(now)
        ]
        chosen = load_balancing.choose_backend(
            candidates,
            expected_s=self._expected_s,
            zone=self._context.zone,
            now=now,
            budget_used=self._context.find_allowance(part.service).used_share(),
            random=self._context.random,
        )
        if chosen is None:
            part.failed = not part.active
            return False
        attempt = attempts.Attempt(
            owner=self,
            part=part,
            request_id=self._request_id,
            encode=self._encode,
            deadline_s=self._deadline_s,
            expected_s=self._expected_s,
            fresh=not self._route.repeatable,
            find_fingerprint=self._find_fingerprint,
        )
        part.active.append(attempt)
        part.sends.append(chosen)
        part.runs += 1
        chosen.start(attempt)
        return True

    def _find_fingerprint(self) -> str:
        """Returns what stays the same when the caller sends it again."""
        return messages.compute_fingerprint(self._request)

    def _encode(self, left_s: float, server_id: str) -> bytes:
        """Returns the bytes of an attempt."""
        return messages.encode_attempt(
            head=self._head,
            body=self._request.body,
            method=self._request.method,
            names=self._context.names,
            left_s=left_s,
            server_id=server_id,
        )

    def _repeat(
        self, part: Part, outcome: messages.Reply | messages.Failure
    ) -> None:
        """Tries a shard again after a failure, if that is allowed."""
        if outcome.not_run:
            part.runs -= 1
        elif not self._route.repeatable:
            self._end_part(part, outcome)
            return
        if part.active:
            return
        may_run = part.runs < self._route.max_attempts
        may_send = len(part.sends) < self._route.max_attempts + UNRUN_SENDS
        if (
            self._result.done()
            or not (may_run and may_send)
            or not self._context.find_allowance(part.service).try_withdraw()
            or not self._launch(part)
        ):
            self._end_part(part, outcome)
            return
        self._context.count("repeats")

    def _end_part(
        self, part: Part, outcome: messages.Reply | messages.Failure
    ) -> None:
        """Gives a shard up, or passes a failure of its server on."""
        part.failed = True
        if self._route.shards or not isinstance(outcome, messages.Reply):
            return
        if outcome.not_run or outcome.status in _PROMISING:
            return
        part.reply = outcome

    def _hedge(self, now: float) -> None:
        """Sends second attempts for shards that take long.

        Not while other requests wait for their turn: everything takes long
        then, and a second attempt takes the slot of a first one.
        """
        if not self._route.repeatable or self._is_crowded():
            return
        for part in self._parts:
            if not part.open or len(part.active) != 1:
                continue
            if part.runs >= self._route.max_attempts:
                continue
            if now < part.active[0].started_s + self._hedge_after_s:
                continue
            allowance = self._context.find_allowance(part.service)
            others = [
                backend
                for backend in self._context.find_candidates(part.service)
                if backend not in part.sends and backend.may_start(now)
            ]
            if others and allowance.try_withdraw(reserve=HEDGE_RESERVE):
                self._hedges += 1
                self._context.count("hedges")
                self._launch(part)

    def _wake(self) -> None:
        """Acts on time that has passed."""
        self._timer = None
        if self._result.done():
            return
        now = self._context.loop.time()
        self._hedge(now)
        self._check()
        self._schedule()

    def _schedule(self) -> None:
        """Sets the timer for whatever is due next."""
        if self._result.done():
            return
        now = self._context.loop.time()
        due_s = self._end_s
        if self._route.shards and now < self._cut_s:
            due_s = min(due_s, self._cut_s)
        if self._route.repeatable:
            for part in self._parts:
                if part.open and len(part.active) == 1:
                    at_s = part.active[0].started_s + self._hedge_after_s
                    if at_s > now:
                        due_s = min(due_s, at_s)
        self._timer = self._context.loop.call_at(
            max(due_s, now + 0.001), self._wake
        )

    def _check(self) -> None:
        """Ends the request if its answer is settled."""
        if self._result.done():
            return
        now = self._context.loop.time()
        if self._route.shards:
            outcome = self._judge_search(now)
        else:
            outcome = self._judge_single(now)
        if outcome is None:
            return
        self._result.set_result(outcome)
        self._release(cut=False)

    def _judge_search(self, now: float) -> Outcome | None:
        """Returns the outcome of a search, or None if it goes on."""
        shards = len(self._parts)
        included = [part for part in self._parts if part.reply is not None]
        waiting = sum(1 for part in self._parts if part.open)
        least = self._route.least_share
        enough = merging.meets_coverage(len(included), shards, least)
        if not waiting or (enough and now >= self._cut_s):
            if enough:
                return self._answer(included)
            return self._refuse("too few shards answered")
        if not merging.meets_coverage(len(included) + waiting, shards, least):
            return self._refuse("too few shards can answer")
        if now >= self._end_s:
            if enough:
                return self._answer(included)
            return Outcome(Verdict.TIMED_OUT, 504, [], b"", 0, "deadline")
        return None

    def _answer(self, included: list[Part]) -> Outcome:
        """Merges the parts that are in."""
        names = self._context.names
        missing = len(self._parts) - len(included)
        seals = b", ".join(part.reply.seal for part in included)
        body = merging.merge_records(
            (part.reply.body for part in included), self._route.top
        )
        headers = [
            (names.part_seals, seals),
            (names.parts_missing, b"%d" % missing),
        ]
        verdict = Verdict.PARTIAL if missing else Verdict.ANSWERED
        return Outcome(verdict, 200, headers, body, missing)

    def _judge_single(self, now: float) -> Outcome | None:
        """Returns the outcome at one service, or None if it goes on."""
        part = self._parts[0]
        if part.reply is not None:
            reply = part.reply
            verdict = Verdict.ANSWERED if reply.succeeded else Verdict.FAILED
            return Outcome(verdict, reply.status, reply.headers, reply.body)
        if part.failed:
            return self._refuse("no backend server answered")
        if now >= self._end_s:
            return Outcome(Verdict.TIMED_OUT, 504, [], b"", 0, "deadline")
        return None

    def _refuse(self, reason: str) -> Outcome:
        """Gives a request up; a refusal only if it certainly did not run."""
        if any(part.ran or part.active for part in self._parts):
            return Outcome(Verdict.FAILED, 502, [], b"", 0, reason)
        sent = any(part.sends for part in self._parts)
        wait_s = RETRY_BUSY_S if sent else RETRY_NO_SERVER_S
        headers = [(self._context.names.retry_after, b"%.1f" % wait_s)]
        return Outcome(Verdict.REFUSED, 503, headers, b"", 0, reason)

    def _release(self, *, cut: bool) -> None:
        """Lets go of what is still in flight."""
        if self._timer is not None:
            self._timer.cancel()
        for part in self._parts:
            for attempt in part.active:
                attempt.backend.abandon(attempt, cut=cut)
