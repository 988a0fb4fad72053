"""Carries sub-requests from the entry host to the owner of their service.

Each service has one owner among the hosts, and the owner alone queues for the
service's backend servers.  The relay sends a sub-request to the owner and
awaits the result.  When the owner cannot be reached the entry host falls back
to a direct attempt through its own executor, which is far more restricted, so
that no query waits for membership to settle.

An owner counts as unresponsive from the first batch that it fails to
acknowledge until it acknowledges again: everything relayed to it and not yet
answered falls back at once, and new sub-requests do not wait for it.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from loguru import logger

from eelgrasshall import clock as clocks
from eelgrasshall import errors
from eelgrasshall import invariants as promises
from eelgrasshall.protocol import messages
from eelgrasshall.state import members
from eelgrasshall.transport import peers

# How long new sub-requests bypass an owner that failed to acknowledge.
UNRESPONSIVE_S = 1.0

# What the owner has beyond the deadline to report the deadline itself.
RESULT_GRACE_S = 0.05


class Executor(Protocol):
    """The part of the service executor that the relay needs."""

    async def execute(self, request: messages.SubRequest) -> messages.SubResult:
        """Runs a sub-request against the backend servers of its service."""

    def note_result(self, result: messages.SubResult) -> None:
        """Learns which servers are warm from an owner's result."""


class Ownership(Protocol):
    """The part of the ownership view that the relay needs."""

    def owner_of(self, service: str) -> members.Member | None:
        """Returns the owner of a service, or None if none is known."""

    def owned(self) -> frozenset[str]:
        """Returns the services that this host owns."""


class Stream(Protocol):
    """The part of a peer stream that the relay needs."""

    def send_request(
        self,
        request: messages.SubRequest,
        on_failure: Callable[[peers.PeerError], None],
    ) -> None:
        """Queues a sub-request."""

    def send_result(self, result: messages.SubResult) -> None:
        """Queues a result."""

    def send_cancel(self, sub_id: str) -> None:
        """Queues a cancellation."""


class _Pending(NamedTuple):
    """A relayed sub-request whose result has not come.

    Attributes:
      peer: Name of the owner that it was sent to.
      request: The sub-request.
      future: Gets the result, or the `PeerError` that ended the wait.
    """

    peer: str
    request: messages.SubRequest
    future: asyncio.Future[messages.SubResult]


class Relay:
    """Sends sub-requests to owners, and runs those that this host owns.

    Args:
      name: Name of this host.
      clock: Source of time.
      invariants: Where promises are checked.
      executor: Runs sub-requests against backend servers.
      ownership: Who owns which service.
      get_stream: Returns the outgoing stream to a host by name, or None if
        the host is unknown.
      alone: Whether each host sends for itself and no owner is asked; the
        baseline that the measuring tool compares with.
    """

    def __init__(
        self,
        *,
        name: str,
        clock: clocks.Clock,
        invariants: promises.InvariantChecker,
        executor: Executor,
        ownership: Ownership,
        get_stream: Callable[[str], Stream | None],
        alone: bool = False,
    ):
        self._name = name
        self._clock = clock
        self._invariants = invariants
        self._executor = executor
        self._ownership = ownership
        self._get_stream = get_stream
        self._alone = alone
        self._pending: dict[str, _Pending] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self._unresponsive_until: dict[str, float] = {}
        self.relayed = 0
        self.fallbacks = 0

    async def dispatch(
        self, request: messages.SubRequest
    ) -> messages.SubResult:
        """Runs one sub-request wherever it belongs.

        Cancelling the call cancels the sub-request.

        Args:
          request: The sub-request; its budget counts from now.

        Returns:
          The result; failures are results too.
        """
        if self._alone:
            return await self._executor.execute(request)
        started = self._clock.monotonic()
        owner = self._ownership.owner_of(request.service)
        if owner is not None and owner.name == self._name:
            return await self._executor.execute(request)
        if owner is None or self._is_unresponsive(owner.name):
            return await self._run_direct(request, started)
        try:
            result = await self._ask_owner(owner.name, request)
        except peers.PeerError as error:
            return await self._recover(request, started, error)
        if _is_refused_by_non_owner(result):
            return await self._run_direct(request, started)
        self._executor.note_result(result)
        return result

    def accept_requests(
        self, sender: str, batch: Sequence[messages.SubRequest]
    ) -> None:
        """Runs sub-requests that a peer relayed, each in its own task."""
        for request in batch:
            if request.sub_id in self._running:
                continue
            task = asyncio.create_task(self._run_for_peer(sender, request))
            self._running[request.sub_id] = task

    def accept_results(
        self, sender: str, batch: Sequence[messages.SubResult]
    ) -> None:
        """Delivers results to the sub-requests that wait for them."""
        self._unresponsive_until.pop(sender, None)
        for result in batch:
            pending = self._pending.pop(result.sub_id, None)
            if pending is None or pending.future.done():
                continue
            matches = pending.request.service == result.service
            self._invariants.check(
                promises.Invariant.RIGHT_CALLER,
                matches,
                f"{result.sub_id} came back for {result.service}",
            )
            pending.future.set_result(result)

    def accept_cancels(self, sender: str, sub_ids: Sequence[str]) -> None:
        """Cancels sub-requests that a peer has given up."""
        del sender
        for sub_id in sub_ids:
            task = self._running.get(sub_id)
            if task is not None:
                task.cancel()

    def keep_peers(self, present: set[str]) -> None:
        """Ends the waits for peers that are not among the members.

        Args:
          present: Names of the members.
        """
        gone = {pending.peer for pending in self._pending.values()} - present
        for name in gone:
            self._fail_pending(name, peers.PeerError("The owner is gone."))

    @property
    def running_for_peers(self) -> int:
        """The number of sub-requests that run on behalf of peers."""
        return len(self._running)

    def dump(self) -> dict[str, object]:
        """Returns the state for operators to read."""
        return {
            "relayed": self.relayed,
            "fallbacks": self.fallbacks,
            "waiting": len(self._pending),
            "running_for_peers": len(self._running),
            "unresponsive": sorted(
                name
                for name in self._unresponsive_until
                if self._is_unresponsive(name)
            ),
        }

    def _is_unresponsive(self, name: str) -> bool:
        """Returns whether sub-requests should bypass that owner for now."""
        until = self._unresponsive_until.get(name, 0.0)
        return self._clock.monotonic() < until

    async def _ask_owner(
        self, owner: str, request: messages.SubRequest
    ) -> messages.SubResult:
        """Relays to the owner and awaits its result.

        Raises:
          peers.PeerError: The owner did not acknowledge, or gave no result
            until shortly after the deadline.
        """
        stream = self._get_stream(owner)
        if stream is None:
            raise peers.PeerNotReachedError(f"No stream to {owner}.")
        future = asyncio.get_running_loop().create_future()
        pending = _Pending(peer=owner, request=request, future=future)
        self._pending[request.sub_id] = pending
        self.relayed += 1

        def fail(error: peers.PeerError) -> None:
            # This one's own error comes first: it alone may know that no
            # byte was sent, which the others' wait does not.
            if not future.done():
                future.set_exception(error)
            self._note_unresponsive(owner)

        stream.send_request(request, fail)
        try:
            async with asyncio.timeout(request.budget_s + RESULT_GRACE_S):
                return await future
        except TimeoutError as error:
            stream.send_cancel(request.sub_id)
            raise peers.PeerError("No result in time.") from error
        except asyncio.CancelledError:
            stream.send_cancel(request.sub_id)
            raise
        finally:
            self._pending.pop(request.sub_id, None)

    def _note_unresponsive(self, owner: str) -> None:
        """Bypasses the owner for a while and frees all who wait for it."""
        if not self._is_unresponsive(owner):
            logger.warning(f"relay: {owner} does not acknowledge; bypassed.")
        now = self._clock.monotonic()
        self._unresponsive_until[owner] = now + UNRESPONSIVE_S
        self._fail_pending(owner, peers.PeerError("It does not acknowledge."))

    def _fail_pending(self, owner: str, error: peers.PeerError) -> None:
        """Ends every wait for an owner."""
        for pending in list(self._pending.values()):
            if pending.peer == owner and not pending.future.done():
                pending.future.set_exception(error)

    async def _recover(
        self,
        request: messages.SubRequest,
        started: float,
        error: peers.PeerError,
    ) -> messages.SubResult:
        """Falls back after a failed relay, if the request may run again."""
        not_reached = isinstance(error, peers.PeerNotReachedError)
        if request.repeatable or not_reached:
            return await self._run_direct(request, started)
        problem = errors.Problem(
            kind=errors.ProblemKind.PEER_UNREACHABLE,
            where=request.service,
            what="The owner stopped answering after it was asked.",
            remedy="Check whether the request took effect; do not resend.",
        )
        return messages.SubResult(
            sub_id=request.sub_id,
            service=request.service,
            outcome=messages.SubOutcome.FAILED,
            problem=problem,
        )

    async def _run_direct(
        self, request: messages.SubRequest, started: float
    ) -> messages.SubResult:
        """Attempts the sub-request from here, past the owner's queue."""
        self.fallbacks += 1
        elapsed = self._clock.monotonic() - started
        remaining = request.budget_s - elapsed
        if remaining <= 0:
            return _refuse(
                request,
                errors.ProblemKind.DEADLINE_EXCEEDED,
                "No time was left after the owner failed to answer.",
                "Send it again.",
                ran=True,
            )
        direct = request._replace(
            direct=True, budget_s=remaining, age_s=request.age_s + elapsed
        )
        return await self._executor.execute(direct)

    async def _run_for_peer(
        self, sender: str, request: messages.SubRequest
    ) -> None:
        """Runs one relayed sub-request and sends the result back."""
        try:
            if request.service in self._ownership.owned():
                result = await self._executor.execute(request)
            else:
                result = _refuse(
                    request,
                    errors.ProblemKind.PEER_UNREACHABLE,
                    f"{self._name} does not own the service.",
                    "Ask the owner.",
                    ran=False,
                )
            stream = self._get_stream(sender)
            if stream is not None:
                stream.send_result(result)
        finally:
            self._running.pop(request.sub_id, None)


def _is_refused_by_non_owner(result: messages.SubResult) -> bool:
    """Returns whether the host that was asked does not own the service."""
    return (
        result.outcome is messages.SubOutcome.NOT_RUN
        and result.problem is not None
        and result.problem.kind is errors.ProblemKind.PEER_UNREACHABLE
    )


def _refuse(
    request: messages.SubRequest,
    kind: errors.ProblemKind,
    what: str,
    remedy: str,
    *,
    ran: bool,
) -> messages.SubResult:
    """Returns a result without a part; `ran` if it may have run."""
    outcome = messages.SubOutcome.NOT_RUN
    if ran:
        outcome = messages.SubOutcome.FAILED
    return messages.SubResult(
        sub_id=request.sub_id,
        service=request.service,
        outcome=outcome,
        problem=errors.Problem(
            kind=kind, where=request.service, what=what, remedy=remedy
        ),
    )
