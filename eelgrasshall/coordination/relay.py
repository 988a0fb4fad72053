"""Relays sub-requests from the entry host to the owner of their service.

Each service has one owner among the hosts, and only the owner queues for the
service's backend servers.  The relay sends a sub-request to the owner and
awaits the result.  If the owner is unreachable, the entry host falls back to a
direct attempt through its own executor, which is far more restricted, so that
no query waits for the membership to converge.

An owner that fails to acknowledge a batch is unresponsive: every sub-request
relayed to it and not yet answered falls back at once, and new sub-requests
bypass it until it sends a result or `OWNER_BYPASS_S` have passed.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from loguru import logger

from eelgrasshall import clock as clocks
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.protocol import messages
from eelgrasshall.state import members
from eelgrasshall.transport import peers

# How long new sub-requests bypass an owner that did not acknowledge a batch.
OWNER_BYPASS_S = 1.0

# Time after the deadline in which the owner may still report that it passed.
RESULT_GRACE_S = 0.05


class Executor(Protocol):
    """The part of the service executor that the relay needs."""

    async def execute(self, request: messages.SubRequest) -> messages.SubResult:
        """Runs a sub-request against the backend servers of its service."""

    def handle_owner_result(self, result: messages.SubResult) -> None:
        """Updates the server records from a result returned by an owner."""


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
    """A relayed sub-request without a result so far.

    Attributes:
      peer: Name of the owner that it was sent to.
      request: The sub-request.
      future: Set to the result or to the `PeerError` that ended the wait.
    """

    peer: str
    request: messages.SubRequest
    future: asyncio.Future[messages.SubResult]


class Relay:
    """Relays sub-requests to owners, and runs those of owned services.

    Args:
      name: Name of this host.
      clock: Source of time.
      invariants: Where the invariants are checked.
      executor: Runs sub-requests against backend servers.
      ownership: Which host owns each service.
      get_stream: Returns the outgoing stream to a host by name, or None if
        the host is unknown.
      ownerless: Whether every sub-request runs on this host and none is
        relayed, as a baseline for comparisons.
    """

    def __init__(
        self,
        *,
        name: str,
        clock: clocks.Clock,
        invariants: invariants_module.InvariantChecker,
        executor: Executor,
        ownership: Ownership,
        get_stream: Callable[[str], Stream | None],
        ownerless: bool = False,
    ):
        self._name = name
        self._clock = clock
        self._invariants = invariants
        self._executor = executor
        self._ownership = ownership
        self._get_stream = get_stream
        self._ownerless = ownerless
        self._pending: dict[str, _Pending] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self._unresponsive_until: dict[str, float] = {}
        self.relayed = 0
        self.fallbacks = 0

    async def dispatch(
        self, request: messages.SubRequest
    ) -> messages.SubResult:
        """Runs one sub-request at the owner of its service.

        Cancelling the call cancels the sub-request.

        Args:
          request: The sub-request; its time budget counts from now.

        Returns:
          The result; a failure is a result too.
        """
        if self._ownerless:
            return await self._executor.execute(request)
        start_s = self._clock.monotonic()
        owner = self._ownership.owner_of(request.service)
        if owner is not None and owner.name == self._name:
            return await self._executor.execute(request)
        if owner is None or self._is_unresponsive(owner.name):
            return await self._run_direct(request, start_s)
        try:
            result = await self._relay_to_owner(owner.name, request)
        except peers.PeerError as error:
            return await self._handle_relay_failure(request, start_s, error)
        if _is_rejected_by_non_owner(result):
            return await self._run_direct(request, start_s)
        self._executor.handle_owner_result(result)
        return result

    def accept_requests(
        self, sender: str, batch: Sequence[messages.SubRequest]
    ) -> None:
        """Runs sub-requests relayed by a peer, each in its own task."""
        for request in batch:
            if request.sub_id in self._running:
                continue
            task = asyncio.create_task(self._run_for_peer(sender, request))
            self._running[request.sub_id] = task

    def accept_results(
        self, sender: str, batch: Sequence[messages.SubResult]
    ) -> None:
        """Delivers results to the sub-requests waiting for them."""
        self._unresponsive_until.pop(sender, None)
        for result in batch:
            pending = self._pending.pop(result.sub_id, None)
            if pending is None or pending.future.done():
                continue
            matches = pending.request.service == result.service
            self._invariants.check(
                invariants_module.Invariant.RIGHT_CALLER,
                matches,
                f"{result.sub_id} has a result of {result.service}",
            )
            pending.future.set_result(result)

    def accept_cancels(self, sender: str, sub_ids: Sequence[str]) -> None:
        """Cancels sub-requests on behalf of a peer."""
        del sender
        for sub_id in sub_ids:
            task = self._running.get(sub_id)
            if task is not None:
                task.cancel()

    def drop_departed_peers(self, present: set[str]) -> None:
        """Fails the sub-requests relayed to peers that are no longer members.

        Args:
          present: Names of the members.
        """
        departed = {
            pending.peer for pending in self._pending.values()
        } - present
        for name in departed:
            self._fail_pending(
                name, peers.PeerError("The owner is no longer a member.")
            )

    @property
    def running_for_peers(self) -> int:
        """The number of sub-requests running on behalf of peers."""
        return len(self._running)

    def dump(self) -> dict[str, object]:
        """Returns the state as plain values."""
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
        """Returns whether sub-requests bypass an owner now."""
        until_s = self._unresponsive_until.get(name, 0.0)
        return self._clock.monotonic() < until_s

    async def _relay_to_owner(
        self, owner: str, request: messages.SubRequest
    ) -> messages.SubResult:
        """Relays a sub-request to the owner and awaits the result.

        Raises:
          peers.PeerError: The owner did not acknowledge, or returned no result
            by shortly after the deadline.
        """
        stream = self._get_stream(owner)
        if stream is None:
            raise peers.PeerNotReachedError(f"No stream to {owner}.")
        future = asyncio.get_running_loop().create_future()
        pending = _Pending(peer=owner, request=request, future=future)
        self._pending[request.sub_id] = pending
        self.relayed += 1

        def handle_failure(error: peers.PeerError) -> None:
            # Set before all others are failed: only this error may say that
            # this sub-request was never sent.
            if not future.done():
                future.set_exception(error)
            self._mark_unresponsive(owner)

        stream.send_request(request, handle_failure)
        try:
            async with asyncio.timeout(request.budget_s + RESULT_GRACE_S):
                return await future
        except TimeoutError as error:
            stream.send_cancel(request.sub_id)
            raise peers.PeerError(
                "The owner returned no result in time."
            ) from error
        except asyncio.CancelledError:
            stream.send_cancel(request.sub_id)
            raise
        finally:
            self._pending.pop(request.sub_id, None)

    def _mark_unresponsive(self, owner: str) -> None:
        """Bypasses an owner for a while and fails what was relayed to it."""
        if not self._is_unresponsive(owner):
            logger.warning(f"relay: {owner} did not acknowledge; bypassing it.")
        now = self._clock.monotonic()
        self._unresponsive_until[owner] = now + OWNER_BYPASS_S
        self._fail_pending(
            owner, peers.PeerError("The owner did not acknowledge.")
        )

    def _fail_pending(self, owner: str, error: peers.PeerError) -> None:
        """Fails every sub-request that waits for an owner."""
        for pending in list(self._pending.values()):
            if pending.peer == owner and not pending.future.done():
                pending.future.set_exception(error)

    async def _handle_relay_failure(
        self,
        request: messages.SubRequest,
        start_s: float,
        error: peers.PeerError,
    ) -> messages.SubResult:
        """Falls back if the request may be repeated or was never sent."""
        was_not_sent = isinstance(error, peers.PeerNotReachedError)
        if request.repeatable or was_not_sent:
            return await self._run_direct(request, start_s)
        problem = errors.Problem(
            kind=errors.ProblemKind.PEER_UNREACHABLE,
            where=request.service,
            what="The owner stopped responding after the request was sent.",
            remedy="Check whether the request took effect; do not resend.",
        )
        return messages.SubResult(
            sub_id=request.sub_id,
            service=request.service,
            outcome=messages.SubOutcome.FAILED,
            problem=problem,
        )

    async def _run_direct(
        self, request: messages.SubRequest, start_s: float
    ) -> messages.SubResult:
        """Runs the sub-request from this host, bypassing the owner's queue."""
        self.fallbacks += 1
        elapsed_s = self._clock.monotonic() - start_s
        remaining_s = request.budget_s - elapsed_s
        if remaining_s <= 0:
            return _make_unserved_result(
                request,
                errors.ProblemKind.DEADLINE_EXCEEDED,
                "The deadline passed after the owner failed to respond.",
                "Send it again.",
                may_have_run=True,
            )
        direct = request._replace(
            direct=True, budget_s=remaining_s, age_s=request.age_s + elapsed_s
        )
        return await self._executor.execute(direct)

    async def _run_for_peer(
        self, sender: str, request: messages.SubRequest
    ) -> None:
        """Runs one relayed sub-request and returns its result to the sender."""
        try:
            if request.service in self._ownership.owned():
                result = await self._executor.execute(request)
            else:
                result = _make_unserved_result(
                    request,
                    errors.ProblemKind.PEER_UNREACHABLE,
                    f"{self._name} does not own the service.",
                    "Send it to the owner of the service.",
                    may_have_run=False,
                )
            stream = self._get_stream(sender)
            if stream is not None:
                stream.send_result(result)
        finally:
            self._running.pop(request.sub_id, None)


def _is_rejected_by_non_owner(result: messages.SubResult) -> bool:
    """Returns whether the receiver rejected it as not the owner."""
    return (
        result.outcome is messages.SubOutcome.NOT_RUN
        and result.problem is not None
        and result.problem.kind is errors.ProblemKind.PEER_UNREACHABLE
    )


def _make_unserved_result(
    request: messages.SubRequest,
    kind: errors.ProblemKind,
    what: str,
    remedy: str,
    *,
    may_have_run: bool,
) -> messages.SubResult:
    """Returns a result without a part: failed if it may have run."""
    outcome = messages.SubOutcome.NOT_RUN
    if may_have_run:
        outcome = messages.SubOutcome.FAILED
    return messages.SubResult(
        sub_id=request.sub_id,
        service=request.service,
        outcome=outcome,
        problem=errors.Problem(
            kind=kind, where=request.service, what=what, remedy=remedy
        ),
    )
