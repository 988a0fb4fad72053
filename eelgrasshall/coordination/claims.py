"""Runs each request with an idempotency key at most once, by stored claims.

A host that is to run a request first creates an object named after the key in
the platform's store, and runs the request only if that write is known to have
succeeded.  If the reply to the write is lost, the host reads the object back;
a nonce in it shows which request made the claim.  Every change of a claim is
conditional on the store version that the host knows, so a delayed write has
no effect.  The outcome is recorded on the claim on a best-effort basis;
without it, a resend to another host learns only that the request may have
run.

While the store is unavailable, no key can be claimed.  Whether an earlier send
of the same key has run cannot be determined then, so the request is refused
only if its caller states that there was no earlier send; otherwise its outcome
is reported as unknown.
"""

import asyncio
import collections
import hashlib
import heapq
import random as random_module
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TypedDict

from loguru import logger

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import deduplication
from eelgrasshall.coordination import expiry_sweeper
from eelgrasshall.coordination import query_problems
from eelgrasshall.coordination import tickets
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import platform
from eelgrasshall.transport import peers

OBJECT_KIND = "claims"
CLAIM_TTL_S = 3600.0
MAX_CLAIM_ATTEMPTS = 4
MAX_RECORD_ATTEMPTS = 6
# Delay before recording an outcome is retried; doubles with each attempt.
MIN_RECORD_BACKOFF_S = 0.5
STOP_TIMEOUT_S = 2.0
MAX_RECORDED_CHARS = 262_144
MIN_POLL_INTERVAL_S = 0.1
MAX_POLL_INTERVAL_S = 1.0
RETRY_AFTER_S = 2.0
DELETION_INTERVAL_S = 10.0
# Keeps deletions far below the store's rate limits.
MAX_DELETIONS_PER_INTERVAL = 20
MAX_ABANDONED_NONCES = 10_000
_NONCE_BITS = 64

_CLAIMED = "claimed"
_RELEASED = "released"
_DONE = "done"


class Store(expiry_sweeper.Store, Protocol):
    """The part of the platform's object API that claims need."""

    async def write(
        self, kind: str, name: str, value: Any, if_version: int | None
    ) -> platform.WriteResult:
        """Writes an object if its version matches; version 0 creates it."""

    async def read(self, kind: str, name: str) -> platform.ReadResult:
        """Reads an object."""


class ClaimValue(TypedDict):
    """A claim as stored.

    Attributes:
      nonce: Identifies the claiming attempt.
      host: Name of the host that made the claim.
      incarnation: Incarnation of that host.
      digest: Hash of the request's kind and body.
      state: `claimed`, `released` if the request was not run, or `done`.
      status: HTTP status of the outcome, 0 until it is recorded.
      body: The outcome as JSON text, empty until it is recorded.
      expires_at: Seconds since the Unix epoch after which it may be deleted.
    """

    nonce: str
    host: str
    incarnation: int
    digest: str
    state: str
    status: int
    body: str
    expires_at: int


class Claim(NamedTuple):
    """One request's attempt to claim its idempotency key.

    Attributes:
      name: Name of the stored object.
      nonce: Identifies this claiming attempt.
      digest: Hash of the request's kind and body.
      until: Monotonic time in seconds after which the request is not run.
      request: The request.
      relayed: Whether another host has forwarded the request to this one.
      ticket_prefix: Ticket prefix offered if the key cannot be claimed.
      expires_at: Seconds since the Unix epoch after which it may be deleted.
    """

    name: str
    nonce: str
    digest: str
    until: float
    request: caller.QueryRequest
    relayed: bool
    ticket_prefix: str
    expires_at: int


class _Held(NamedTuple):
    """This request holds the claim, stored at this version."""

    version: int


class _Available(NamedTuple):
    """The key may be claimed by a write over this store version."""

    version: int


class IdempotentRunner:
    """Runs requests with idempotency keys at most once.

    Args:
      name: Name of this host.
      incarnation: Incarnation of this host.
      clock: The source of time.
      random: The source of nonces.
      invariants: The invariant checks.
      store: The platform's object API.
      relay_to_host: Relays a request to another host, as in `tickets`.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        clock: clock_module.Clock,
        random: random_module.Random,
        invariants: invariants_module.InvariantChecker,
        store: Store,
        relay_to_host: tickets.RelayToHost,
    ):
        self._name = name
        self._incarnation = incarnation
        self._relay_to_host = relay_to_host
        self._clock = clock
        self._random = random
        self._store = store
        self._deduplicator = deduplication.Deduplicator(
            clock=clock, invariants=invariants
        )
        # Nonces of claims that may be in the store although they never ran.
        self._abandoned_nonces: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._expirations: list[tuple[float, str]] = []
        self._store_versions: dict[str, int] = {}
        self._record_tasks: set[asyncio.Task[None]] = set()
        self._deletion_task: asyncio.Task[None] | None = None
        self._sweeper = expiry_sweeper.ExpirySweeper(
            clock=clock, random=random, store=store, kind=OBJECT_KIND
        )

    @property
    def running(self) -> int:
        """Number of requests running, with or without a waiting caller."""
        return self._deduplicator.running

    async def start(self) -> None:
        """Starts deleting expired claims."""
        self._deletion_task = asyncio.create_task(self._delete_periodically())
        self._sweeper.start()

    async def stop(self) -> None:
        """Stops deleting and waits for outcomes that are being recorded.

        Recordings that take longer than `STOP_TIMEOUT_S` are cancelled.
        """
        if self._deletion_task is not None:
            self._deletion_task.cancel()
        self._sweeper.stop()
        if self._record_tasks:
            await asyncio.wait(self._record_tasks, timeout=STOP_TIMEOUT_S)
        for task in self._record_tasks:
            task.cancel()

    def make_claim(
        self,
        request: caller.QueryRequest,
        *,
        digest: str,
        until: float,
        ticket_prefix: str,
        relayed: bool,
    ) -> Claim:
        """Returns a claim for a request, without writing it yet.

        Args:
          request: The request, with an idempotency key.
          digest: Hash of its kind and body.
          until: Monotonic time in seconds after which it must not run.
          ticket_prefix: Offered to the caller while the store is unavailable.
          relayed: Whether another host has forwarded the request.
        """
        scope = f"{request.kind}\0{request.idempotency_key}"
        return Claim(
            name=hashlib.sha256(scope.encode()).hexdigest(),
            nonce=f"{self._random.getrandbits(_NONCE_BITS):016x}",
            digest=digest,
            until=until,
            request=request,
            relayed=relayed,
            ticket_prefix=ticket_prefix,
            expires_at=int(self._clock.wall() + CLAIM_TTL_S),
        )

    async def run(
        self, claim: Claim, *, run: deduplication.RunFunction, wait_s: float
    ) -> deduplication.Result:
        """Runs a request unless this host has run it before.

        Args:
          claim: The request's claim.
          run: Runs the request through `run_if_claimed`.
          wait_s: Seconds to wait for the outcome.
        """
        return await self._deduplicator.run(
            claim.name,
            digest=claim.digest,
            run=run,
            wait_s=wait_s,
            retention_s=CLAIM_TTL_S,
        )

    async def run_if_claimed(
        self, claim: Claim, run: deduplication.RunFunction
    ) -> deduplication.Result | deduplication.UnrecordedResult:
        """Claims the key and runs the request if the claim succeeds.

        Args:
          claim: The claim.
          run: Runs the request.

        Returns:
          The outcome of the run, or else what is known about a run by
          another request or host.
        """
        decision = await self._acquire_before_deadline(claim)
        if not isinstance(decision, _Held):
            return deduplication.UnrecordedResult(decision)
        result = await run()
        if isinstance(result, caller.Refusal):
            self._abandon(claim)
            self._start_recording(claim, decision.version, _RELEASED, None)
        else:
            outcome = caller.encode_outcome(result, "")
            self._start_recording(claim, decision.version, _DONE, outcome)
        return result

    async def _acquire_before_deadline(
        self, claim: Claim
    ) -> _Held | deduplication.Result:
        """Acquires a claim, or fails when the claim's deadline passes."""
        attempt = asyncio.create_task(self._acquire(claim))
        remaining_s = claim.until - self._clock.monotonic()
        timer = asyncio.create_task(self._clock.sleep(remaining_s))
        try:
            await asyncio.wait(
                (attempt, timer), return_when=asyncio.FIRST_COMPLETED
            )
            if attempt.done():
                return attempt.result()
            return self._fail_unclaimed(
                claim, query_problems.describe_store_timeout()
            )
        finally:
            attempt.cancel()
            timer.cancel()

    async def _acquire(self, claim: Claim) -> _Held | deduplication.Result:
        """Tries to claim a key until its owner or outcome is known."""
        version = 0
        poll_interval_s = MIN_POLL_INTERVAL_S
        attempts = 0
        while attempts < MAX_CLAIM_ATTEMPTS:
            attempts += 1
            found = await self._write_claim(claim, version)
            if isinstance(found, _Held):
                return found
            if isinstance(found, errors.Problem):
                return self._fail_unclaimed(claim, found)
            decision = self._evaluate(claim, found)
            while decision is None:
                # Another host runs the request: wait for its outcome.
                outcome = await self._fetch_creator_outcome(claim, found.value)
                if outcome is not None:
                    return outcome
                if self._clock.monotonic() + poll_interval_s >= claim.until:
                    return caller.Failure(
                        query_problems.describe_claim_of_other_host()
                    )
                await self._clock.sleep(poll_interval_s)
                poll_interval_s = min(MAX_POLL_INTERVAL_S, poll_interval_s * 2)
                found = await self._store.read(OBJECT_KIND, claim.name)
                decision = self._evaluate(claim, found)
            if not isinstance(decision, _Available):
                return decision
            version = decision.version
        return self._fail_unclaimed(
            claim, query_problems.describe_claim_contention()
        )

    async def _fetch_creator_outcome(
        self, claim: Claim, value: ClaimValue
    ) -> caller.RecordedOutcome | None:
        """Fetches the outcome from the host that made the stored claim.

        Returns:
          The outcome, or None if that host was not asked or did not answer.
        """
        remaining_s = claim.until - self._clock.monotonic()
        if claim.relayed or value["host"] == self._name or remaining_s <= 0:
            return None
        request = claim.request._replace(
            deadline_ms=int(remaining_s * 1000) + 1
        )
        data = caller.encode_request(request)
        try:
            status, body = await self._relay_to_host(
                value["host"], value["incarnation"], data, remaining_s
            )
        except peers.PeerError:
            return None
        return caller.RecordedOutcome(status, body)

    async def _write_claim(
        self, claim: Claim, version: int
    ) -> _Held | platform.StoredObject | platform.NotFound | errors.Problem:
        """Writes a claim over a version; reads it back if the reply is lost.

        Returns:
          The held claim, or else what the store holds or why it failed.
        """
        value = self._encode_value(claim, _CLAIMED, None)
        written = await self._store.write(
            OBJECT_KIND, claim.name, value, version
        )
        if isinstance(written, platform.Written):
            return self._register_held(claim, written.version)
        if isinstance(written, errors.Problem):
            return written
        if isinstance(written, platform.Conflict):
            found = written.current
        else:
            found = await self._store.read(OBJECT_KIND, claim.name)
        if _is_own_claim(claim, found):
            return self._register_held(claim, found.version)
        return found

    def _register_held(self, claim: Claim, version: int) -> _Held:
        """Registers a held claim for deletion once it expires."""
        expires_at = self._clock.monotonic() + CLAIM_TTL_S
        heapq.heappush(self._expirations, (expires_at, claim.name))
        self._store_versions[claim.name] = version
        return _Held(version)

    def _evaluate(
        self,
        claim: Claim,
        found: platform.ReadResult,
    ) -> _Available | deduplication.Result | None:
        """Evaluates what the store holds under the claim's name.

        Returns:
          The version to claim over, the final outcome, or None if the request
          is still running elsewhere.
        """
        if isinstance(found, errors.Problem):
            return self._fail_unclaimed(claim, found)
        if isinstance(found, platform.NotFound):
            return _Available(0)
        value: ClaimValue = found.value
        if value["digest"] != claim.digest:
            return caller.Refusal((deduplication.describe_reused_key(),))
        if (
            value["state"] == _RELEASED
            or value["nonce"] in self._abandoned_nonces
        ):
            return _Available(found.version)
        if value["state"] == _DONE:
            return _decode_outcome(value)
        return None

    def _fail_unclaimed(
        self, claim: Claim, problem: errors.Problem
    ) -> caller.Refusal | caller.Failure:
        """Returns the outcome of a request whose key was not claimed."""
        self._abandon(claim)
        if claim.request.first_send:
            return caller.Refusal(
                (problem,),
                retry_after_s=RETRY_AFTER_S,
                ticket_prefix=claim.ticket_prefix,
            )
        return caller.Failure(
            query_problems.describe_claim_failure(problem),
            retry_after_s=RETRY_AFTER_S,
            ticket_prefix=claim.ticket_prefix,
        )

    def _abandon(self, claim: Claim) -> None:
        """Remembers that a claim never ran, in case it was stored."""
        self._abandoned_nonces[claim.nonce] = None
        if len(self._abandoned_nonces) > MAX_ABANDONED_NONCES:
            self._abandoned_nonces.popitem(last=False)

    def _start_recording(
        self,
        claim: Claim,
        version: int,
        state: str,
        outcome: caller.Outcome | None,
    ) -> None:
        """Records the final state of a claim in the background."""
        value = self._encode_value(claim, state, outcome)
        task = asyncio.create_task(self._record_outcome(claim, version, value))
        self._record_tasks.add(task)
        task.add_done_callback(self._record_tasks.discard)

    async def _record_outcome(
        self, claim: Claim, version: int, value: ClaimValue
    ) -> None:
        """Writes the final state of a claim, with a few retries."""
        backoff_s = MIN_RECORD_BACKOFF_S
        for _ in range(MAX_RECORD_ATTEMPTS):
            written = await self._store.write(
                OBJECT_KIND, claim.name, value, version
            )
            if isinstance(written, platform.Written):
                self._store_versions[claim.name] = written.version
                return
            if isinstance(written, platform.Conflict):
                # An earlier attempt succeeded, or another host has the key.
                if written.current.value == value:
                    self._store_versions[claim.name] = written.current.version
                return
            await self._clock.sleep(backoff_s)
            backoff_s *= 2
        logger.warning(
            f"claims: The outcome of claim {claim.name[:8]} was not recorded."
        )

    def _encode_value(
        self, claim: Claim, state: str, outcome: caller.Outcome | None
    ) -> ClaimValue:
        """Returns the stored form of a claim."""
        body = outcome.body.decode() if outcome else ""
        return ClaimValue(
            nonce=claim.nonce,
            host=self._name,
            incarnation=self._incarnation,
            digest=claim.digest,
            state=state,
            status=outcome.status if outcome else 0,
            body=body if len(body) <= MAX_RECORDED_CHARS else "",
            expires_at=claim.expires_at,
        )

    async def _delete_periodically(self) -> None:
        """Deletes expired claims of this host at a fixed interval."""
        while True:
            await self._clock.sleep(DELETION_INTERVAL_S)
            await self._delete_expired()

    async def _delete_expired(self) -> None:
        """Deletes up to a limited number of this host's expired claims."""
        now = self._clock.monotonic()
        for _ in range(MAX_DELETIONS_PER_INTERVAL):
            if not self._expirations or self._expirations[0][0] > now:
                return
            _, name = heapq.heappop(self._expirations)
            version = self._store_versions.pop(name, None)
            if version is None:
                continue
            result = await self._store.delete(OBJECT_KIND, name, version)
            if isinstance(result, errors.Problem | platform.UnknownOutcome):
                self._store_versions[name] = version
                heapq.heappush(
                    self._expirations, (now + DELETION_INTERVAL_S, name)
                )
                return


def _is_own_claim(claim: Claim, found: platform.ReadResult) -> bool:
    """Returns whether the store holds this claim, still without outcome."""
    if not isinstance(found, platform.StoredObject):
        return False
    value: ClaimValue = found.value
    return value["nonce"] == claim.nonce and value["state"] == _CLAIMED


def _decode_outcome(value: ClaimValue) -> deduplication.Result:
    """Returns the outcome that is recorded on a stored claim."""
    if value["body"]:
        return caller.RecordedOutcome(value["status"], value["body"].encode())
    return caller.Failure(query_problems.describe_oversized_outcome())
