"""Coordinates a query from admission to its single outcome.

`QueryCoordinator.run` validates, plans, admits, scatters, gathers and answers.
A request that must not be run twice first passes through the ticket runner or
the idempotent runner, which ensure that it runs at most once.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random as random_module
from typing import Any

from loguru import logger

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import addresses
from eelgrasshall.coordination import admission as admission_module
from eelgrasshall.coordination import claims
from eelgrasshall.coordination import deduplication
from eelgrasshall.coordination import plan as plan_module
from eelgrasshall.coordination import query_problems
from eelgrasshall.coordination import scatter_gather
from eelgrasshall.coordination import tickets
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configuration_module
from eelgrasshall.state import snapshots as snapshots_module

RETRY_AFTER_S = 0.5
LEAVING_RETRY_AFTER_S = 0.1
MAX_REFUSAL_ADDRESSES = 8
_ID_BITS = 64
# Refusals after which a run-once request needs a new ticket.
_NEW_TICKET_PROBLEMS = frozenset(
    {errors.ProblemKind.TICKET_REQUIRED, errors.ProblemKind.LEAVING}
)

GetConfiguration = Callable[[], configuration_module.Configuration | None]
GetMembers = Callable[[], tuple[addresses.Host, ...]]


class QueryCoordinator:
    """Answers callers' requests on one entry host.

    Args:
      name: Name of this host.
      zone: Its availability zone.
      clock: The clock.
      random: Random source for unique ids.
      invariants: Checks the runtime invariants.
      dispatch: Runs one sub-request; cancelling the call cancels it.
      get_configuration: Returns the configuration in force.
      get_members: Returns the usable members of the fleet, this host included.
      admission: Decides which requests are admitted.
      snapshots: The snapshots that each service can serve.
      ticket_runner: Runs requests with a ticket at most once.
      idempotent_runner: Runs requests with an idempotency key at most once.
      address_ttl_s: Seconds for which callers may cache an address answer.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: clock_module.Clock,
        random: random_module.Random,
        invariants: invariants_module.InvariantChecker,
        dispatch: scatter_gather.Dispatch,
        get_configuration: GetConfiguration,
        get_members: GetMembers,
        admission: admission_module.AdmissionController,
        snapshots: snapshots_module.SnapshotTable,
        ticket_runner: tickets.TicketRunner,
        idempotent_runner: claims.IdempotentRunner,
        address_ttl_s: float = addresses.DEFAULT_TTL_S,
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
        self._ticket_runner = ticket_runner
        self._idempotent_runner = idempotent_runner
        self._address_ttl_s = address_ttl_s
        self._id_prefix = f"{name}-{random.getrandbits(_ID_BITS):016x}"
        self._id_count = 0
        self._refuse_at: float | None = None
        self._callers_waiting = 0
        self._applied_version = 0
        self._active: dict[str, _ActiveQuery] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests in flight, with or without a waiting caller."""
        detached = self._ticket_runner.running + self._idempotent_runner.running
        return self._callers_waiting + detached

    def begin_leaving(self) -> None:
        """Refuses new requests once callers' cached addresses have expired."""
        self._refuse_at = self._clock.monotonic() + self._address_ttl_s

    def dump(self) -> dict[str, Any]:
        """Returns the coordinator's state for the state dump."""
        return {
            "in_flight": self.in_flight,
            "leaving": self._refuse_at is not None,
            "admission": self._admission.dump(),
            "snapshots": self._snapshots.dump(),
            "tickets_running": self._ticket_runner.running,
            "claims_running": self._idempotent_runner.running,
        }

    async def run(self, request: caller.QueryRequest) -> caller.Outcome:
        """Runs a caller's request and returns its single outcome.

        Cancelling this call cancels a repeatable request.  A run-once request
        continues, because a resend may ask for its outcome.

        Args:
          request: The request.
        """
        if not request.request_id:
            request = request._replace(request_id=self._make_id())
        return await self._run(request, relayed=False)

    async def run_relayed(self, data: bytes) -> tuple[int, bytes]:
        """Runs a request that another host relayed to this host.

        A request is relayed to the home of its ticket, or to the host that has
        claimed its idempotency key.

        Args:
          data: The request as encoded by `caller.encode_request`.

        Returns:
          The HTTP status and the outcome as JSON bytes.
        """
        request = caller.decode_request(data)
        outcome = await self._run(request, relayed=True)
        return outcome.status, outcome.body

    async def list_addresses(self, zone: str) -> caller.Outcome:
        """Returns the entry hosts that a caller should use.

        Args:
          zone: The caller's availability zone, or an empty string if unknown.
        """
        chosen = self._choose_addresses(zone)
        if not chosen:
            refusal = caller.Refusal(
                (query_problems.describe_missing_hosts(),),
                retry_after_s=RETRY_AFTER_S,
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
        """Runs a request and encodes its outcome; an exception is a failure."""
        self._callers_waiting += 1
        try:
            result = await self._handle(request, relayed=relayed)
        except Exception as error:  # The caller must get an outcome.
            logger.exception(
                "query: Unhandled exception while running a request."
            )
            result = caller.Failure(
                query_problems.describe_internal_error(error)
            )
        finally:
            self._callers_waiting -= 1
        return caller.encode_outcome(result, request.request_id)

    async def _handle(
        self, request: caller.QueryRequest, *, relayed: bool
    ) -> deduplication.Result | caller.Outcome:
        """Validates a request and runs it as its kind requires."""
        configuration = self._get_configuration()
        if configuration is None:
            return self._refuse(
                query_problems.describe_missing_configuration(), RETRY_AFTER_S
            )
        self._apply_configuration(configuration)
        kind = configuration.find_kind(request.kind)
        if kind is None:
            return self._refuse(
                query_problems.describe_unknown_kind(
                    request.kind, configuration
                )
            )
        if len(request.body) > kind.max_body_bytes:
            return self._refuse(query_problems.describe_oversized_query(kind))
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

    def _apply_configuration(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Drops snapshots of services that are no longer declared."""
        if configuration.version == self._applied_version:
            return
        self._applied_version = configuration.version
        self._snapshots.keep_only(
            frozenset(service.name for service in configuration.services)
        )

    async def _run_once(
        self,
        plan: plan_module.Plan,
        request: caller.QueryRequest,
        *,
        relayed: bool,
    ) -> deduplication.Result | caller.Outcome:
        """Runs a run-once request by its ticket or idempotency key."""
        if request.ticket:
            return await self._ticket_runner.run(
                request,
                digest=plan.fingerprint,
                run=lambda: self._admit_and_run(
                    plan, request.caller, lambda: self._run_plan(plan)
                ),
                wait_s=plan.answer_deadline_s - self._clock.monotonic(),
                relayed=relayed,
            )
        if request.idempotency_key:
            return await self._run_claimed(plan, request, relayed=relayed)
        return self._refuse(
            query_problems.describe_missing_ticket(plan.kind.name)
        )

    async def _run_claimed(
        self,
        plan: plan_module.Plan,
        request: caller.QueryRequest,
        *,
        relayed: bool,
    ) -> deduplication.Result:
        """Runs a request that has an idempotency key.

        The request is admitted before its key is claimed, so that a refused
        request causes no load on the store.
        """
        claim = self._idempotent_runner.make_claim(
            request,
            digest=plan.fingerprint,
            until=plan.results_deadline_s,
            ticket_prefix=self._make_ticket_prefix(),
            relayed=relayed,
        )
        return await self._idempotent_runner.run(
            claim,
            run=lambda: self._admit_and_run(
                plan,
                request.caller,
                lambda: self._idempotent_runner.run_if_claimed(
                    claim, lambda: self._run_plan(plan)
                ),
            ),
            wait_s=plan.answer_deadline_s - self._clock.monotonic(),
        )

    async def _admit_and_run(
        self,
        plan: plan_module.Plan,
        caller_name: str,
        run: deduplication.RunFunction,
    ) -> deduplication.Result | deduplication.UnrecordedResult:
        """Runs a request if it is admitted."""
        now = self._clock.monotonic()
        if self._refuse_at is not None and now >= self._refuse_at:
            return self._refuse(
                query_problems.describe_leaving_host(self._name),
                LEAVING_RETRY_AFTER_S,
            )
        decision = self._admission.admit(
            plan.kind, caller_name, plan.results_deadline_s - now
        )
        if isinstance(decision, admission_module.Rejection):
            return self._refuse(decision.problem, decision.retry_after_s)
        active = _ActiveQuery()
        self._active[plan.query_id] = active
        try:
            return await run()
        finally:
            del self._active[plan.query_id]
            self._admission.release(
                decision,
                queue_waits_s=active.queue_waits_s,
                deadline_s=plan.kind.deadline_ms / 1000,
            )

    async def _run_plan(self, plan: plan_module.Plan) -> deduplication.Result:
        """Runs a planned query, if there is time left."""
        if self._clock.monotonic() >= plan.results_deadline_s:
            return self._refuse(
                query_problems.describe_expired_deadline(plan.kind.name),
                RETRY_AFTER_S,
            )
        gathered = await self._gather(plan)
        self._active[plan.query_id].queue_waits_s = gathered.queue_waits_s
        return self._make_result(plan, gathered)

    def _gather(
        self, plan: plan_module.Plan
    ) -> Awaitable[scatter_gather.GatherResult]:
        """Sends a query to its services and gathers their parts."""
        gather = scatter_gather.ScatterGather(
            plan=plan,
            clock=self._clock,
            invariants=self._invariants,
            dispatch=self._send,
            snapshots=self._snapshots,
            make_sub_id=self._make_id,
        )
        return gather.run()

    async def _send(self, request: messages.SubRequest) -> messages.SubResult:
        """Dispatches a sub-request and records whether it may have run."""
        active = self._active[request.query_id]
        self._invariants.check(
            invariants_module.Invariant.AT_MOST_ONCE,
            request.repeatable or not active.sent,
            f"{request.query_id} may run once; resent as {request.sub_id}",
        )
        active.sent.add(request.sub_id)
        result = await self._dispatch(request)
        if result.outcome in scatter_gather.NOT_RUN_OUTCOMES:
            active.sent.discard(request.sub_id)
        return result

    def _make_result(
        self, plan: plan_module.Plan, gathered: scatter_gather.GatherResult
    ) -> deduplication.Result:
        """Returns the result of a query from its gathered parts."""
        active = self._active[plan.query_id]
        active.outcomes += 1
        self._invariants.check(
            invariants_module.Invariant.ONE_OUTCOME,
            active.outcomes == 1,
            f"{plan.query_id} has {active.outcomes} outcomes",
        )
        total = gathered.coverage
        # The records of a run-once request are returned whatever its coverage,
        # since it cannot be run again.
        floor = plan.kind.coverage_floor if plan.kind.repeatable else 0.0
        if gathered.parts and total.key_share >= floor:
            return caller.Answer(total, gathered.snapshot, gathered.parts)
        if not gathered.may_have_run:
            self._invariants.check(
                invariants_module.Invariant.NOT_RUN_IS_TRUE,
                not active.sent,
                f"{plan.query_id} was sent as {sorted(active.sent)}",
            )
            return self._refuse_unserved(total)
        problem = total.missing[0].problem if total.missing else None
        if plan.kind.repeatable or problem is None:
            problem = query_problems.describe_low_coverage(plan.kind, total)
        return caller.Failure(
            problem,
            total,
            timed_out=gathered.timed_out,
            retry_after_s=RETRY_AFTER_S if plan.kind.repeatable else None,
        )

    def _refuse_unserved(self, total: caller.Coverage) -> caller.Refusal:
        """Returns the refusal of a request that no service has run."""
        problems = [missing.problem for missing in total.missing]
        # Without a time to retry, so that callers do not resend a request that
        # crashes servers.
        quarantined = [
            problem
            for problem in problems
            if problem.kind is errors.ProblemKind.QUARANTINED
        ]
        if quarantined:
            return caller.Refusal((quarantined[0],))
        return caller.Refusal(
            tuple(problems),
            retry_after_s=RETRY_AFTER_S,
            addresses=self._choose_other_addresses(),
        )

    def _refuse(
        self, problem: errors.Problem, retry_after_s: float | None = None
    ) -> caller.Refusal:
        """Returns a refusal, with other addresses if a retry is allowed."""
        other = ()
        if retry_after_s is not None:
            other = self._choose_other_addresses()
        prefix = ""
        if problem.kind in _NEW_TICKET_PROBLEMS:
            prefix = self._make_ticket_prefix()
        return caller.Refusal((problem,), retry_after_s, other, prefix)

    def _choose_addresses(self, zone: str) -> tuple[caller.Address, ...]:
        """Returns the entry hosts for a caller; a leaving host omits itself."""
        chosen = addresses.choose_addresses(
            self._get_members(), self._get_configuration(), zone
        )
        if self._refuse_at is None:
            return chosen
        return tuple(each for each in chosen if each.name != self._name)

    def _choose_other_addresses(self) -> tuple[caller.Address, ...]:
        """Returns entry hosts other than this one."""
        chosen = self._choose_addresses(self._zone)
        others = [each for each in chosen if each.name != self._name]
        return tuple(others[:MAX_REFUSAL_ADDRESSES])

    def _make_ticket_prefix(self) -> str:
        """Returns a ticket prefix, for another host if this one is leaving."""
        if self._refuse_at is None:
            return self._ticket_runner.make_prefix()
        incarnations = {
            member.name: member.incarnation for member in self._get_members()
        }
        others = self._choose_other_addresses()
        if not others:
            return ""
        home = others[0].name
        return self._ticket_runner.make_prefix(home, incarnations[home])

    def _make_id(self) -> str:
        """Returns an id that is unique across hosts and restarts."""
        self._id_count += 1
        return f"{self._id_prefix}-{self._id_count:x}"


class _ActiveQuery:
    """The state of a running query."""

    def __init__(self):
        # Ids of the sub-requests that a backend server may have run.
        self.sent: set[str] = set()
        self.queue_waits_s: tuple[float, ...] = ()
        self.outcomes = 0
