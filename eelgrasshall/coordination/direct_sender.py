"""Sends sub-requests past an owner that cannot be reached.

A host that does not own a service does not know which slots of its backend
servers are in use.  It therefore sends at most one attempt at a time to a
backend server, only to servers that an owner recently reported warm, and it
neither queues nor hedges.
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

# How long an owner's report that a server is warm stays valid.
WARM_REPORT_TTL_S = 10.0
# Longest time without progress of a response.
PROGRESS_TIMEOUT_S = 0.5


def is_reported_warm(record: directories.ServerRecord, now: float) -> bool:
    """Returns whether an owner recently reported a server warm."""
    if record.reported_warm_s is None:
        return False
    return now - record.reported_warm_s <= WARM_REPORT_TTL_S


class DirectSender:
    """Sends sub-requests of services that another host owns.

    Args:
      clock: The clock.
      random: Random source for the choice among servers.
      invariants: Checks the limit on cold servers.
      transport: Connections to the backend servers.
      directory: Records of the backend servers.
      quarantine: Requests suspected of crashing backend servers.
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
        """Runs a sub-request on a free, warm server.

        Tries another server as long as none can have run the sub-request.

        Returns:
          The result; not run if no server could be used.
        """
        decision = self._quarantine.check(request.fingerprint)
        if decision is not quarantines.Decision.FREE:
            return self._make_not_run(
                request,
                self._quarantine.describe_rejection(request.fingerprint),
            )
        deadline_s = self._clock.monotonic() + request.budget_s
        tried: set[str] = set()
        while (record := self._choose_server(request, tried)) is not None:
            tried.add(record.name)
            attempt_id = f"{request.sub_id}.d{len(tried)}"
            self._acquire_slot(record, attempt_id, request.fingerprint)
            task = self._spawn(
                self._send(record, request, attempt_id, deadline_s)
            )
            outcome = await asyncio.shield(task)
            result = self._make_result(request, record, outcome, len(tried))
            if result is not None:
                return result
        return self._make_not_run(request, _describe_no_server(request.service))

    async def close(self) -> None:
        """Cancels all attempts in flight."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _choose_server(
        self, request: messages.SubRequest, tried: set[str]
    ) -> directories.ServerRecord | None:
        """Chooses a warm server with no attempt of this host in flight."""
        now = self._clock.monotonic()
        candidates = [
            record
            for record in self._directory.list_service_records(request.service)
            if record.in_service
            and not record.in_flight
            and record.name not in tried
            and is_reported_warm(record, now)
            and record.may_have_snapshot(request.snapshot)
        ]
        return self._random.choice(candidates) if candidates else None

    def _acquire_slot(
        self,
        record: directories.ServerRecord,
        attempt_id: str,
        fingerprint: str,
    ) -> None:
        """Takes the only slot of a server that this host may use."""
        record.in_flight[attempt_id] = directories.InFlightAttempt(
            attempt_id, fingerprint, self._clock.monotonic()
        )
        self._invariants.check(
            invariants_module.Invariant.COLD_ALLOWANCE,
            len(record.in_flight) <= 1,
            record.name,
        )

    async def _send(
        self,
        record: directories.ServerRecord,
        request: messages.SubRequest,
        attempt_id: str,
        deadline_s: float,
    ) -> backend.BackendResponse | backends.BackendFailure:
        """Sends one attempt and frees its slot once it cannot be running."""
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
            progress_timeout_s=PROGRESS_TIMEOUT_S,
            needs_new_connection=not request.repeatable,
        )
        self._update_record(record, request, outcome)
        if isinstance(outcome, backends.BackendFailure) and not outcome.not_run:
            # The attempt may still be running; the backend server drops it at
            # its deadline.
            self._spawn(
                self._release_slot_at_deadline(record, attempt_id, deadline_s)
            )
        else:
            del record.in_flight[attempt_id]
        return outcome

    async def _release_slot_at_deadline(
        self,
        record: directories.ServerRecord,
        attempt_id: str,
        deadline_s: float,
    ) -> None:
        """Frees the slot of an attempt after the attempt's deadline."""
        remaining_s = deadline_s - self._clock.monotonic()
        await self._clock.sleep(remaining_s + backends.RESPONSE_GRACE_S)
        del record.in_flight[attempt_id]

    def _spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Starts a task and keeps a reference to it until it is done."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _update_record(
        self,
        record: directories.ServerRecord,
        request: messages.SubRequest,
        outcome: backend.BackendResponse | backends.BackendFailure,
    ) -> None:
        """Updates a server's record; unless it served, it is not warm."""
        if isinstance(outcome, backends.BackendFailure):
            record.reported_warm_s = None
            if outcome.kind is backends.FailureKind.CONNECTION_LOST:
                self._quarantine.add_suspect(request.fingerprint)
            return
        if record.update_incarnation(outcome.incarnation):
            record.reported_warm_s = None
        record.draining |= outcome.draining
        if not outcome.served:
            record.reported_warm_s = None

    def _make_result(
        self,
        request: messages.SubRequest,
        record: directories.ServerRecord,
        outcome: backend.BackendResponse | backends.BackendFailure,
        attempt_count: int,
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
            available=self._directory.list_snapshots(request.service),
            server=record.name,
            attempts=attempt_count,
        )
        if isinstance(outcome, backends.BackendFailure) or not outcome.served:
            return base._replace(
                problem=errors.Problem(
                    errors.ProblemKind.BACKEND_FAILED,
                    f"services.{request.service}",
                    "The backend server failed and the request may have run.",
                    "Send the request again once the owner of the service is "
                    "reachable.",
                )
            )
        return base._replace(
            outcome=messages.SubOutcome.SERVED,
            part=outcome.part,
            snapshot=outcome.snapshot,
            key_range=outcome.key_range,
        )

    def _make_not_run(
        self, request: messages.SubRequest, problem: errors.Problem
    ) -> messages.SubResult:
        """Returns the result of a sub-request that was not run."""
        return messages.SubResult(
            sub_id=request.sub_id,
            service=request.service,
            outcome=messages.SubOutcome.NOT_RUN,
            available=self._directory.list_snapshots(request.service),
            problem=problem,
        )


def _describe_no_server(service: str) -> errors.Problem:
    """Returns the problem of a service without a server to send to."""
    return errors.Problem(
        errors.ProblemKind.PEER_UNREACHABLE,
        f"services.{service}",
        "The owner cannot be reached, and no backend server is known to be "
        "warm and free.",
        "Send the request again in a second.",
    )
