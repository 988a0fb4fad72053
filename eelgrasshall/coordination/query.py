"""The path of a query, from admission to its one outcome.

`QueryCoordinator.run` is the whole path: check, admit, plan, scatter, gather,
answer.  A request that may not be repeated passes through the tickets or the
claims first, which see to it that this path is taken at most once.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random as random_module
from typing import Any

from loguru import logger

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import addresses as addresses_module
from eelgrasshall.coordination import admission as admission_module
from eelgrasshall.coordination import claims as claims_module
from eelgrasshall.coordination import gather as gather_module
from eelgrasshall.coordination import once
from eelgrasshall.coordination import plan as plan_module
from eelgrasshall.coordination import reasons
from eelgrasshall.coordination import tickets as tickets_module
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configuration_module
from eelgrasshall.state import snapshots as snapshots_module

RETRY_AFTER_S = 0.5
LEAVING_RETRY_AFTER_S = 0.1
MAX_REFUSAL_ADDRESSES = 8
_ID_BITS = 64
# Refusals after which a request that may not be repeated needs a new ticket.
_WITH_TICKET = frozenset(
    {errors.ProblemKind.TICKET_REQUIRED, errors.ProblemKind.LEAVING}
)

GetConfiguration = Callable[[], configuration_module.Configuration | None]
GetMembers = Callable[[], tuple[addresses_module.Host, ...]]


class QueryCoordinator:
    """Answers callers' requests on one entry host.

    Args:
      name: Name of this host.
      zone: Its availability zone.
      clock: The source of time.
      random: Draws names that are unique.
      invariants: Checks of the promises.
      dispatch: Runs one sub-request; cancelling it gives the sub-request up.
      get_configuration: Gives the configuration in force.
      get_members: Gives the usable members of the fleet, this one included.
      admission: Decides which requests are taken on.
      snapshots: What the services can serve.
      tickets: Requests that run at most once.
      claims: Idempotency keys.
      address_ttl_s: Seconds that callers may keep an address answer.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: clock_module.Clock,
        random: random_module.Random,
        invariants: invariants_module.InvariantChecker,
        dispatch: gather_module.Dispatch,
        get_configuration: GetConfiguration,
        get_members: GetMembers,
        admission: admission_module.Admission,
        snapshots: snapshots_module.SnapshotTable,
        tickets: tickets_module.TicketBook,
        claims: claims_module.ClaimBook,
        address_ttl_s: float = addresses_module.DEFAULT_TTL_S,
    ):
        self._name = name
        self._zone = zone
        self._clock = clock
        self._invariants = invariants
        self._dispatch = dispatch
        self._get_configuration = get_configuration
        self._get_members = get_members
        self._admission = admission
        self._snapshots = snapshots
        self._tickets = tickets
        self._claims = claims
        self._address_ttl_s = address_ttl_s
        self._id_prefix = f"{name}-{random.getrandbits(_ID_BITS):016x}"
        self._id_count = 0
        self._refuse_at: float | None = None
        self._callers_waiting = 0
        self._followed_version = 0
        self._open: dict[str, _OpenQuery] = {}

    @property
    def in_flight(self) -> int:
        """Requests in flight, whether or not their callers still wait."""
        detached = self._tickets.running + self._claims.running
        return self._callers_waiting + detached

    def begin_leaving(self) -> None:
        """Refuses new requests once the addresses given are out of use."""
        self._refuse_at = self._clock.monotonic() + self._address_ttl_s

    def dump(self) -> dict[str, Any]:
        """Returns the state as plain data."""
        return {
            "in_flight": self.in_flight,
            "leaving": self._refuse_at is not None,
            "admission": self._admission.dump(),
            "snapshots": self._snapshots.dump(),
            "tickets_running": self._tickets.running,
            "claims_running": self._claims.running,
        }

    async def run(self, request: caller.QueryRequest) -> caller.Outcome:
        """Gives a caller's request its one outcome.

        Args:
          request: The request; cancelling this call gives it up.
        """
        if not request.request_id:
            request = request._replace(request_id=self._make_id())
        return await self._run(request, relayed=False)

    async def run_relayed(self, data: bytes) -> tuple[int, bytes]:
        """Runs a request that another host relayed to its home.

        The home is that of its ticket, or the host that has claimed its key.

        Args:
          data: The request as `caller.encode_request` gave it.

        Returns:
          The HTTP status and the outcome as JSON bytes.
        """
        request = caller.decode_request(data)
        outcome = await self._run(request, relayed=True)
        return outcome.status, outcome.body

    async def addresses(self, zone: str) -> caller.Outcome:
        """Names the entry hosts that a caller should use.

        Args:
          zone: The caller's availability zone, or an empty string.
        """
        chosen = self._choose_addresses(zone)
        if not chosen:
            refusal = caller.Refusal(
                (reasons.describe_missing_hosts(),), retry_after_s=RETRY_AFTER_S
            )
            return caller.encode_refusal(refusal, "")
        return caller.encode_addresses(
            caller.AddressAnswer(
                ttl_s=self._address_ttl_s,
                addresses=chosen,
                ticket_prefix=self._make_ticket_prefix(),
            )
        )

    async def _run(
        self, request: caller.QueryRequest, *, relayed: bool
    ) -> caller.Outcome:
        """Counts a request in flight while it gets its outcome."""
        self._callers_waiting += 1
        try:
            result = await self._find_result(request, relayed=relayed)
        except Exception as error:  # The caller must get an outcome.
            logger.exception("query: A request ended with an error.")
            result = caller.Failure(reasons.describe_fault(error))
        finally:
            self._callers_waiting -= 1
        return caller.encode(result, request.request_id)

    async def _find_result(
        self, request: caller.QueryRequest, *, relayed: bool
    ) -> once.Result | caller.Outcome:
        """Checks a request and sends it down the path of its kind."""
        configuration = self._get_configuration()
        if configuration is None:
            return self._refuse(
                reasons.describe_missing_configuration(), RETRY_AFTER_S
            )
        self._follow(configuration)
        kind = configuration.find_kind(request.kind)
        if kind is None:
            return self._refuse(
                reasons.describe_unknown_kind(request.kind, configuration)
            )
        if len(request.body) > kind.max_body_bytes:
            return self._refuse(reasons.describe_size(kind))
        plan = plan_module.make_plan(
            request=request,
            query_id=self._make_id(),
            kind=kind,
            now=self._clock.monotonic(),
        )
        if kind.repeatable:
            return await self._admit_and_run(
                plan, request.caller, lambda: self._run_plan(plan)
            )
        return await self._run_once(plan, request, relayed=relayed)

    def _follow(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Forgets services that a new configuration no longer declares."""
        if configuration.version == self._followed_version:
            return
        self._followed_version = configuration.version
        self._snapshots.keep_only(
            frozenset(service.name for service in configuration.services)
        )

    async def _run_once(
        self,
        plan: plan_module.Plan,
        request: caller.QueryRequest,
        *,
        relayed: bool,
    ) -> once.Result | caller.Outcome:
        """Runs a request that may not be repeated."""
        if request.ticket:
            return await self._tickets.run(
                request,
                digest=plan.fingerprint,
                run=lambda: self._admit_and_run(
                    plan, request.caller, lambda: self._run_plan(plan)
                ),
                wait_s=plan.answer_at - self._clock.monotonic(),
                relayed=relayed,
            )
        if request.idempotency_key:
            return await self._run_claimed(plan, request, relayed=relayed)
        return self._refuse(reasons.describe_missing_ticket(plan.kind.name))

    async def _run_claimed(
        self,
        plan: plan_module.Plan,
        request: caller.QueryRequest,
        *,
        relayed: bool,
    ) -> once.Result:
        """Runs a request that has an idempotency key.

        It is admitted before its key is claimed, so that a refusal costs the
        store nothing.
        """
        claim = self._claims.prepare(
            request,
            digest=plan.fingerprint,
            until=plan.results_at,
            ticket_prefix=self._make_ticket_prefix(),
            relayed=relayed,
        )
        return await self._claims.run(
            claim,
            run=lambda: self._admit_and_run(
                plan,
                request.caller,
                lambda: self._claims.hold(claim, lambda: self._run_plan(plan)),
            ),
            wait_s=plan.answer_at - self._clock.monotonic(),
        )

    async def _admit_and_run(
        self, plan: plan_module.Plan, caller_name: str, run: once.Run
    ) -> once.Result | once.Elsewhere:
        """Admits a request and runs it."""
        now = self._clock.monotonic()
        if self._refuse_at is not None and now >= self._refuse_at:
            return self._refuse(
                reasons.describe_leaving(self._name), LEAVING_RETRY_AFTER_S
            )
        decision = self._admission.admit(
            plan.kind, caller_name, plan.results_at - now
        )
        if isinstance(decision, admission_module.Rejection):
            return self._refuse(decision.problem, decision.retry_after_s)
        opened = _OpenQuery()
        self._open[plan.query_id] = opened
        try:
            return await run()
        finally:
            del self._open[plan.query_id]
            self._admission.release(
                decision,
                queue_waits_s=opened.queue_waits_s,
                deadline_s=plan.kind.deadline_ms / 1000,
            )

    async def _run_plan(self, plan: plan_module.Plan) -> once.Result:
        """Scatters, gathers and concludes, if there is time left."""
        if self._clock.monotonic() >= plan.results_at:
            return self._refuse(
                reasons.describe_lateness(plan.kind.name), RETRY_AFTER_S
            )
        gathered = await self._gather(plan)
        self._open[plan.query_id].queue_waits_s = gathered.queue_waits_s
        return self._conclude(plan, gathered)

    def _gather(
        self, plan: plan_module.Plan
    ) -> Awaitable[gather_module.Gathered]:
        """Scatters a query over its services and gathers the parts."""
        gather = gather_module.Gather(
            plan=plan,
            clock=self._clock,
            invariants=self._invariants,
            dispatch=self._send,
            snapshots=self._snapshots,
            make_sub_id=self._make_id,
        )
        return gather.run()

    async def _send(self, request: messages.SubRequest) -> messages.SubResult:
        """Dispatches a sub-request and notes whether it may have run."""
        opened = self._open[request.query_id]
        self._invariants.check(
            invariants_module.Invariant.AT_MOST_ONCE,
            request.repeatable or not opened.sent,
            f"{request.query_id} is sent again as {request.sub_id}",
        )
        opened.sent.add(request.sub_id)
        result = await self._dispatch(request)
        if result.outcome in gather_module.RAN_NOWHERE:
            opened.sent.discard(request.sub_id)
        return result

    def _conclude(
        self, plan: plan_module.Plan, gathered: gather_module.Gathered
    ) -> once.Result:
        """Turns what was gathered into the one outcome."""
        opened = self._open[plan.query_id]
        opened.outcomes += 1
        self._invariants.check(
            invariants_module.Invariant.ONE_OUTCOME,
            opened.outcomes == 1,
            f"{plan.query_id} has {opened.outcomes} outcomes",
        )
        total = gathered.coverage
        # What has run only once and gave its records is always told.
        floor = plan.kind.coverage_floor if plan.kind.repeatable else 0.0
        if gathered.parts and total.key_share >= floor:
            return caller.Answer(total, gathered.snapshot, gathered.parts)
        if not gathered.may_have_run:
            self._invariants.check(
                invariants_module.Invariant.NOT_RUN_IS_TRUE,
                not opened.sent,
                f"{plan.query_id} was sent as {sorted(opened.sent)}",
            )
            return self._refuse_unserved(total)
        problem = total.missing[0].problem if total.missing else None
        if plan.kind.repeatable or problem is None:
            problem = reasons.describe_low_coverage(plan.kind, total)
        return caller.Failure(
            problem,
            total,
            timed_out=gathered.timed_out,
            retry_after_s=RETRY_AFTER_S if plan.kind.repeatable else None,
        )

    def _refuse_unserved(self, total: caller.Coverage) -> caller.Refusal:
        """Refuses a request that no service has run."""
        problems = [missing.problem for missing in total.missing]
        # A request that crashes servers must not be sent again.
        poison = [
            problem
            for problem in problems
            if problem.kind is errors.ProblemKind.QUARANTINED
        ]
        if poison:
            return caller.Refusal((poison[0],))
        return caller.Refusal(
            tuple(problems),
            retry_after_s=RETRY_AFTER_S,
            addresses=self._choose_other_addresses(),
        )

    def _refuse(
        self, problem: errors.Problem, retry_after_s: float | None = None
    ) -> caller.Refusal:
        """Refuses a request, with other addresses if it may come back."""
        other = ()
        if retry_after_s is not None:
            other = self._choose_other_addresses()
        prefix = ""
        if problem.kind in _WITH_TICKET:
            prefix = self._make_ticket_prefix()
        return caller.Refusal((problem,), retry_after_s, other, prefix)

    def _choose_addresses(self, zone: str) -> tuple[caller.Address, ...]:
        """Returns the entry hosts for a caller, without this one if leaving."""
        chosen = addresses_module.choose_addresses(
            self._get_members(), self._get_configuration(), zone
        )
        if self._refuse_at is None:
            return chosen
        return tuple(each for each in chosen if each.name != self._name)

    def _choose_other_addresses(self) -> tuple[caller.Address, ...]:
        """Returns some entry hosts besides this one."""
        chosen = self._choose_addresses(self._zone)
        others = [each for each in chosen if each.name != self._name]
        return tuple(others[:MAX_REFUSAL_ADDRESSES])

    def _make_ticket_prefix(self) -> str:
        """Returns a ticket prefix, of another home if this host is leaving."""
        if self._refuse_at is None:
            return self._tickets.make_prefix()
        incarnations = {
            member.name: member.incarnation for member in self._get_members()
        }
        others = self._choose_other_addresses()
        if not others:
            return ""
        home = others[0].name
        return self._tickets.make_prefix(home, incarnations[home])

    def _make_id(self) -> str:
        """Returns a name that is unique over all hosts and time."""
        self._id_count += 1
        return f"{self._id_prefix}-{self._id_count:x}"


class _OpenQuery:
    """What is noted of a query while it runs."""

    def __init__(self):
        # Sub-requests that a backend server may have run.
        self.sent: set[str] = set()
        self.queue_waits_s: tuple[float, ...] = ()
        self.outcomes = 0
