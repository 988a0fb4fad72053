"""Sub-requests sent past an owner that cannot be reached.

A host that does not own a service has no records of its slots, so it sends at
most one attempt at a time to a backend server, only to servers that an owner
reported warm a moment ago, and it neither queues nor hedges.
"""

import asyncio
from collections.abc import Coroutine
import random as random_module

from eelgrasshall import clock as clocks
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import quarantine as quarantines
from eelgrasshall.protocol import backend
from eelgrasshall.protocol import messages
from eelgrasshall.state import directory as directories
from eelgrasshall.transport import backends

# How long an owner's word that a server is warm is good for.
TOLD_WARM_S = 10.0
SILENCE_S = 0.5


def is_told_warm(record: directories.ServerRecord, now: float) -> bool:
    """Returns whether an owner reported a server warm a moment ago."""
    if record.told_warm_s is None:
        return False
    return now - record.told_warm_s <= TOLD_WARM_S


class DirectSender:
    """Sends sub-requests of services that another host owns.

    Args:
      clock: Source of time.
      random: Source of chance, to choose among servers.
      invariants: Where slots and allowances are checked.
      transport: Connections to the backend servers.
      directory: Records of the backend servers.
      quarantine: Poison requests.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        random: random_module.Random,
        invariants: invariants_module.InvariantChecker,
        transport: backends.BackendTransport,
        directory: directories.Directory,
        quarantine: quarantines.Quarantine,
    ):
        self._clock = clock
        self._random = random
        self._invariants = invariants
        self._transport = transport
        self._directory = directory
        self._quarantine = quarantine
        self._tasks: set[asyncio.Task] = set()

    async def execute(self, request: messages.SubRequest) -> messages.SubResult:
        """Sends a sub-request to one warm server, if one is free."""
        verdict = self._quarantine.judge(request.fingerprint)
        if verdict is not quarantines.Verdict.FREE:
            return self._refuse(
                request, self._quarantine.explain(request.fingerprint)
            )
        deadline_s = self._clock.monotonic() + request.budget_s
        tried: set[str] = set()
        while (record := self._choose(request, tried)) is not None:
            tried.add(record.name)
            attempt_id = f"{request.sub_id}.d{len(tried)}"
            self._hold(record, attempt_id, request.fingerprint)
            task = self._spawn(
                self._send(record, request, attempt_id, deadline_s)
            )
            outcome = await asyncio.shield(task)
            result = self._judge(request, record, outcome, len(tried))
            if result is not None:
                return result
        return self._refuse(request, _explain_none(request.service))

    async def close(self) -> None:
        """Drops everything in flight."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _choose(
        self, request: messages.SubRequest, tried: set[str]
    ) -> directories.ServerRecord | None:
        """Chooses a warm server with nothing in flight from here."""
        now = self._clock.monotonic()
        candidates = [
            record
            for record in self._directory.of_service(request.service)
            if record.in_service
            and not record.held
            and record.name not in tried
            and is_told_warm(record, now)
            and record.may_hold(request.snapshot)
        ]
        return self._random.choice(candidates) if candidates else None

    def _hold(
        self,
        record: directories.ServerRecord,
        attempt_id: str,
        fingerprint: str,
    ) -> None:
        """Takes the one slot that this host may use."""
        record.held[attempt_id] = directories.Held(
            attempt_id, fingerprint, self._clock.monotonic()
        )
        self._invariants.check(
            invariants_module.Invariant.COLD_ALLOWANCE,
            len(record.held) <= 1,
            record.name,
        )

    async def _send(
        self,
        record: directories.ServerRecord,
        request: messages.SubRequest,
        attempt_id: str,
        deadline_s: float,
    ) -> backend.BackendResponse | backends.BackendFailure:
        """Sends one attempt and keeps its slot until the server let go."""
        now = self._clock.monotonic()
        attempt = backend.Attempt(
            attempt_id=attempt_id,
            query_id=request.query_id,
            kind=request.kind,
            body=request.body,
            snapshot=request.snapshot,
            budget_s=max(0.001, deadline_s - now),
            run_once=not request.repeatable,
        )
        outcome = await self._transport.send(
            record.name,
            attempt,
            silence_s=SILENCE_S,
            fresh=not request.repeatable,
        )
        self._learn(record, request, outcome)
        if isinstance(outcome, backends.BackendFailure) and not outcome.not_run:
            # It may still run; the backend server drops it at its deadline.
            self._spawn(self._release_at(record, attempt_id, deadline_s))
        else:
            del record.held[attempt_id]
        return outcome

    async def _release_at(
        self,
        record: directories.ServerRecord,
        attempt_id: str,
        deadline_s: float,
    ) -> None:
        """Gives a slot back after the deadline of its attempt."""
        left_s = deadline_s - self._clock.monotonic()
        await self._clock.sleep(left_s + backends.RESPONSE_GRACE_S)
        del record.held[attempt_id]

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a task that this object keeps until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _learn(
        self,
        record: directories.ServerRecord,
        request: messages.SubRequest,
        outcome: backend.BackendResponse | backends.BackendFailure,
    ) -> None:
        """Trusts a server no more that did not serve."""
        if isinstance(outcome, backends.BackendFailure):
            record.told_warm_s = None
            if outcome.kind is backends.FailureKind.LOST:
                self._quarantine.suspect(request.fingerprint)
            return
        if record.note_incarnation(outcome.incarnation):
            record.told_warm_s = None
        record.draining |= outcome.draining
        if not outcome.served:
            record.told_warm_s = None

    def _judge(
        self,
        request: messages.SubRequest,
        record: directories.ServerRecord,
        outcome: backend.BackendResponse | backends.BackendFailure,
        tries: int,
    ) -> messages.SubResult | None:
        """Returns the result; None if another server may be tried."""
        if isinstance(outcome, backends.BackendFailure):
            not_run = outcome.not_run
        else:
            not_run = outcome.not_run or outcome.status == backend.SNAPSHOT_GONE
        if not_run:
            return None
        base = messages.SubResult(
            sub_id=request.sub_id,
            service=request.service,
            outcome=messages.SubOutcome.FAILED,
            available=self._directory.snapshots_of(request.service),
            server=record.name,
            attempts=tries,
        )
        if isinstance(outcome, backends.BackendFailure) or not outcome.served:
            return base._replace(
                problem=errors.Problem(
                    errors.ProblemKind.BACKEND_FAILED,
                    f"services.{request.service}",
                    "The backend server failed and the request may have run.",
                    "Ask again once the owner of the service is back.",
                )
            )
        return base._replace(
            outcome=messages.SubOutcome.SERVED,
            part=outcome.part,
            snapshot=outcome.snapshot,
            key_range=outcome.key_range,
        )

    def _refuse(
        self, request: messages.SubRequest, problem: errors.Problem
    ) -> messages.SubResult:
        """Returns the result of a sub-request that was not sent."""
        return messages.SubResult(
            sub_id=request.sub_id,
            service=request.service,
            outcome=messages.SubOutcome.NOT_RUN,
            available=self._directory.snapshots_of(request.service),
            problem=problem,
        )


def _explain_none(service: str) -> errors.Problem:
    """Returns the problem of a service without a server to send to."""
    return errors.Problem(
        errors.ProblemKind.PEER_UNREACHABLE,
        f"services.{service}",
        "Its owner cannot be reached and no backend server is known warm "
        "and free.",
        "Ask again in a second.",
    )
