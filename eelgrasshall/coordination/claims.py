"""At most one run for each idempotency key, by claims in the store.

A host that wants to run a request creates an object named after the key, and
runs it only when that creation is known to have taken effect.  A lost reply is
resolved by reading the claim back: a nonce in it tells whose it is.  Every
change of a claim is conditional on the store version that the host knows, so
that a write that arrives late changes nothing.  The outcome is recorded on the
claim as best it can be; without it, a resend to another host learns only that
the request may have run.

While the store is out no key can be claimed.  Whether an earlier send of the
same key ran cannot be known then, so the outcome is a refusal only for a
request whose caller states that there was none; otherwise it is unknown.
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
from eelgrasshall.coordination import once
from eelgrasshall.coordination import reasons
from eelgrasshall.coordination import sweep
from eelgrasshall.coordination import tickets
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import platform
from eelgrasshall.transport import peers

OBJECT_KIND = "claims"
CLAIM_TTL_S = 3600.0
MAX_TRIES = 4
RECORD_TRIES = 6
# Wait before a record is written again; doubles with each try.
FIRST_RECORD_WAIT_S = 0.5
STOP_TIMEOUT_S = 2.0
MAX_RECORDED_CHARS = 262_144
FIRST_POLL_S = 0.1
MAX_POLL_S = 1.0
RETRY_AFTER_S = 2.0
DELETE_PERIOD_S = 10.0
# Deletions in one period, so that they stay far below the store's rates.
MAX_DELETIONS = 20
MAX_ABANDONED = 10_000
_NONCE_BITS = 64

_CLAIMED = "claimed"
_RELEASED = "released"
_DONE = "done"


class Store(sweep.Store, Protocol):
    """What the claims need of the platform's object API."""

    async def write(
        self, kind: str, name: str, value: Any, if_version: int | None
    ) -> platform.WriteResult:
        """Writes an object if it has the version; 0 creates it."""

    async def read(self, kind: str, name: str) -> platform.ReadResult:
        """Reads an object."""


class ClaimValue(TypedDict):
    """A claim as the store keeps it.

    Attributes:
      nonce: Names the act of claiming.
      host: Name of the host that claimed.
      incarnation: Its incarnation.
      digest: Hash of the request's kind and body.
      state: `claimed`, `released` if it was not run, or `done`.
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
    """One request's wish to claim its key.

    Attributes:
      name: Name of the object.
      nonce: Names this act of claiming.
      digest: Hash of the request's kind and body.
      until: Monotonic time in seconds after which it is not worth having.
      request: The request.
      relayed: Whether another host has passed the request on to this one.
      ticket_prefix: What a refusal offers instead.
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
    """A claim is this request's; the store has it at this version."""

    version: int


class _Free(NamedTuple):
    """Nothing stands in the way of claiming at this store version."""

    version: int


class ClaimBook:
    """Runs requests with idempotency keys at most once.

    Args:
      name: Name of this host.
      incarnation: Its incarnation.
      clock: The source of time.
      random: Draws the nonces.
      invariants: Checks of the promises.
      store: The platform's object API.
      run_at_home: Passes a request on to another host, as in `tickets`.
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
        run_at_home: tickets.RunAtHome,
    ):
        self._name = name
        self._incarnation = incarnation
        self._run_at_home = run_at_home
        self._clock = clock
        self._random = random
        self._store = store
        self._book = once.OnceBook(clock=clock, invariants=invariants)
        # Nonces of claims that may stand in the store but never ran.
        self._abandoned: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._expiring: list[tuple[float, str]] = []
        self._versions: dict[str, int] = {}
        self._writes: set[asyncio.Task[None]] = set()
        self._deleter: asyncio.Task[None] | None = None
        self._sweeper = sweep.Sweeper(
            clock=clock, random=random, store=store, kind=OBJECT_KIND
        )

    @property
    def running(self) -> int:
        """Requests that run now, with or without a caller waiting."""
        return self._book.running

    async def start(self) -> None:
        """Starts deleting claims as they expire."""
        self._deleter = asyncio.create_task(self._delete_periodically())
        self._sweeper.start()

    async def stop(self) -> None:
        """Finishes the outcomes being recorded and stops deleting."""
        if self._deleter is not None:
            self._deleter.cancel()
        self._sweeper.stop()
        if self._writes:
            await asyncio.wait(self._writes, timeout=STOP_TIMEOUT_S)
        for task in self._writes:
            task.cancel()

    def prepare(
        self,
        request: caller.QueryRequest,
        *,
        digest: str,
        until: float,
        ticket_prefix: str,
        relayed: bool,
    ) -> Claim:
        """Returns the claim that a request will make.

        Args:
          request: The request, with an idempotency key.
          digest: Hash of its kind and body.
          until: Monotonic time in seconds after which not to run it.
          ticket_prefix: What a refusal offers while the store is out.
          relayed: Whether another host has passed the request on.
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
        self, claim: Claim, *, run: once.Run, wait_s: float
    ) -> once.Result:
        """Runs a request unless this host has run it before.

        Args:
          claim: The request's claim.
          run: Runs it, inside `hold`.
          wait_s: Seconds to wait for the outcome.
        """
        return await self._book.run(
            claim.name,
            digest=claim.digest,
            run=run,
            wait_s=wait_s,
            keep_s=CLAIM_TTL_S,
        )

    async def hold(
        self, claim: Claim, run: once.Run
    ) -> once.Result | once.Elsewhere:
        """Claims a key and runs the request if the claim is held.

        Args:
          claim: The claim.
          run: Runs the request.

        Returns:
          The outcome of the run, or what is known of one elsewhere.
        """
        decision = await self._claim_in_time(claim)
        if not isinstance(decision, _Held):
            return once.Elsewhere(decision)
        result = await run()
        if isinstance(result, caller.Refusal):
            self._abandon(claim)
            self._record(claim, decision.version, _RELEASED, None)
        else:
            outcome = caller.encode(result, "")
            self._record(claim, decision.version, _DONE, outcome)
        return result

    async def _claim_in_time(self, claim: Claim) -> _Held | once.Result:
        """Tries to get a claim for as long as that is of use."""
        attempt = asyncio.create_task(self._claim(claim))
        left_s = claim.until - self._clock.monotonic()
        timer = asyncio.create_task(self._clock.sleep(left_s))
        try:
            await asyncio.wait(
                (attempt, timer), return_when=asyncio.FIRST_COMPLETED
            )
            if attempt.done():
                return attempt.result()
            return self._give_up(claim, reasons.describe_slow_store())
        finally:
            attempt.cancel()
            timer.cancel()

    async def _claim(self, claim: Claim) -> _Held | once.Result:
        """Tries to get a claim until it is clear whose the key is."""
        version = 0
        poll_s = FIRST_POLL_S
        tries = 0
        while tries < MAX_TRIES:
            tries += 1
            found = await self._write_claim(claim, version)
            if isinstance(found, _Held):
                return found
            if isinstance(found, errors.Problem):
                return self._give_up(claim, found)
            seen = self._judge(claim, found)
            while seen is None:
                # Another host runs it: its outcome is worth waiting for.
                told = await self._ask_creator(claim, found.value)
                if told is not None:
                    return told
                if self._clock.monotonic() + poll_s >= claim.until:
                    return caller.Failure(reasons.describe_foreign_claim())
                await self._clock.sleep(poll_s)
                poll_s = min(MAX_POLL_S, poll_s * 2)
                found = await self._store.read(OBJECT_KIND, claim.name)
                seen = self._judge(claim, found)
            if not isinstance(seen, _Free):
                return seen
            version = seen.version
        return self._give_up(claim, reasons.describe_contention())

    async def _ask_creator(
        self, claim: Claim, value: ClaimValue
    ) -> caller.Recorded | None:
        """Asks the host that has claimed a key for the outcome.

        Returns:
          The outcome, or None if that host does not answer.
        """
        left_s = claim.until - self._clock.monotonic()
        if claim.relayed or value["host"] == self._name or left_s <= 0:
            return None
        request = claim.request._replace(deadline_ms=int(left_s * 1000) + 1)
        data = caller.encode_request(request)
        try:
            status, body = await self._run_at_home(
                value["host"], value["incarnation"], data, left_s
            )
        except peers.PeerError:
            return None
        return caller.Recorded(status, body)

    async def _write_claim(
        self, claim: Claim, version: int
    ) -> _Held | platform.StoredObject | platform.Absent | errors.Problem:
        """Writes a claim over a version, and reads it back if in doubt."""
        value = self._make_value(claim, _CLAIMED, None)
        written = await self._store.write(
            OBJECT_KIND, claim.name, value, version
        )
        if isinstance(written, platform.Written):
            return self._note_held(claim, written.version)
        if isinstance(written, errors.Problem):
            return written
        if isinstance(written, platform.Conflict):
            found = written.current
        else:
            found = await self._store.read(OBJECT_KIND, claim.name)
        if _is_ours(claim, found):
            return self._note_held(claim, found.version)
        return found

    def _note_held(self, claim: Claim, version: int) -> _Held:
        """Notes that a claim is held, to be deleted once it expires."""
        expires_at = self._clock.monotonic() + CLAIM_TTL_S
        heapq.heappush(self._expiring, (expires_at, claim.name))
        self._versions[claim.name] = version
        return _Held(version)

    def _judge(
        self,
        claim: Claim,
        found: platform.ReadResult,
    ) -> _Free | once.Result | None:
        """Says what a claim found in the store means; None for `wait`."""
        if isinstance(found, errors.Problem):
            return self._give_up(claim, found)
        if isinstance(found, platform.Absent):
            return _Free(0)
        value: ClaimValue = found.value
        if value["digest"] != claim.digest:
            return caller.Refusal((once.describe_reuse(),))
        if value["state"] == _RELEASED or value["nonce"] in self._abandoned:
            return _Free(found.version)
        if value["state"] == _DONE:
            return _read_recorded(value)
        return None

    def _give_up(
        self, claim: Claim, problem: errors.Problem
    ) -> caller.Refusal | caller.Failure:
        """Returns the outcome of a request that could not be claimed."""
        self._abandon(claim)
        if claim.request.first_send:
            return caller.Refusal(
                (problem,),
                retry_after_s=RETRY_AFTER_S,
                ticket_prefix=claim.ticket_prefix,
            )
        return caller.Failure(
            reasons.describe_unclaimed(problem),
            retry_after_s=RETRY_AFTER_S,
            ticket_prefix=claim.ticket_prefix,
        )

    def _abandon(self, claim: Claim) -> None:
        """Notes that a claim, should it stand in the store, never ran."""
        self._abandoned[claim.nonce] = None
        if len(self._abandoned) > MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    def _record(
        self,
        claim: Claim,
        version: int,
        state: str,
        outcome: caller.Outcome | None,
    ) -> None:
        """Writes what became of a claim without making the caller wait."""
        value = self._make_value(claim, state, outcome)
        task = asyncio.create_task(self._write_record(claim, version, value))
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    async def _write_record(
        self, claim: Claim, version: int, value: ClaimValue
    ) -> None:
        """Writes a claim's last state, as best it can be."""
        wait_s = FIRST_RECORD_WAIT_S
        for _ in range(RECORD_TRIES):
            written = await self._store.write(
                OBJECT_KIND, claim.name, value, version
            )
            if isinstance(written, platform.Written):
                self._versions[claim.name] = written.version
                return
            if isinstance(written, platform.Conflict):
                # An earlier try took effect, or another host has the key.
                if written.current.value == value:
                    self._versions[claim.name] = written.current.version
                return
            await self._clock.sleep(wait_s)
            wait_s *= 2
        logger.warning(f"claims: Claim {claim.name[:8]} was not recorded.")

    def _make_value(
        self, claim: Claim, state: str, outcome: caller.Outcome | None
    ) -> ClaimValue:
        """Returns a claim in the form of the store."""
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
        """Deletes this host's expired claims at a slow pace."""
        while True:
            await self._clock.sleep(DELETE_PERIOD_S)
            await self._delete_expired()

    async def _delete_expired(self) -> None:
        """Deletes some of this host's claims that have expired."""
        now = self._clock.monotonic()
        for _ in range(MAX_DELETIONS):
            if not self._expiring or self._expiring[0][0] > now:
                return
            _, name = heapq.heappop(self._expiring)
            version = self._versions.pop(name, None)
            if version is None:
                continue
            result = await self._store.delete(OBJECT_KIND, name, version)
            if isinstance(result, errors.Problem | platform.Unknown):
                self._versions[name] = version
                heapq.heappush(self._expiring, (now + DELETE_PERIOD_S, name))
                return


def _is_ours(claim: Claim, found: platform.ReadResult) -> bool:
    """Returns whether a claim found in the store is this one, just made."""
    if not isinstance(found, platform.StoredObject):
        return False
    value: ClaimValue = found.value
    return value["nonce"] == claim.nonce and value["state"] == _CLAIMED


def _read_recorded(value: ClaimValue) -> once.Result:
    """Returns the outcome recorded on a claim."""
    if value["body"]:
        return caller.Recorded(value["status"], value["body"].encode())
    return caller.Failure(reasons.describe_large_outcome())
