"""Runs the request of each ticket at most once, over all hosts and resends.

Only the home of a ticket, in the incarnation that the ticket names, runs its
request.  Every other host relays the request to the home.  When the home is
gone or has restarted, no host can tell whether the request ran, so the outcome
is `unknown` and no host runs it again.  Nothing is written to the store.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random as random_module

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import deduplication
from eelgrasshall.protocol import caller
from eelgrasshall.state import ticket as ticket_module
from eelgrasshall.transport import peers

TICKET_TTL_S = 120.0
# Outcomes are kept for this long after their ticket has expired.
RETENTION_AFTER_EXPIRY_S = 60.0
# Largest tolerated difference between the clocks of two hosts.
MAX_CLOCK_SKEW_S = 60.0
_NONCE_BITS = 64

RelayToHost = Callable[[str, int, bytes, float], Awaitable[tuple[int, bytes]]]


class HomeRestartedError(peers.PeerError):
    """The home has restarted and has no record of the ticket."""


class TicketRunner:
    """Issues tickets and runs their requests, here or at their home.

    Args:
      name: Name of this host.
      incarnation: Incarnation of this host.
      clock: Source of time.
      random: Source of nonces.
      invariants: Checks the invariants.
      relay_to_host: Relays an encoded request to the given incarnation of
        another host, with a time-out in seconds; raises `HomeRestartedError`
        if the host runs in a later incarnation, and `peers.PeerError` if it
        does not reply.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        clock: clock_module.Clock,
        random: random_module.Random,
        invariants: invariants_module.InvariantChecker,
        relay_to_host: RelayToHost,
    ):
        self._name = name
        self._incarnation = incarnation
        self._clock = clock
        self._random = random
        self._relay_to_host = relay_to_host
        self._deduplicator = deduplication.Deduplicator(
            clock=clock, invariants=invariants
        )
        self._wall_offset_s = clock.wall() - clock.monotonic()

    @property
    def running(self) -> int:
        """Number of requests that are running, also those without a caller."""
        return self._deduplicator.running

    def make_prefix(
        self, home: str | None = None, incarnation: int | None = None
    ) -> str:
        """Returns the prefix to which a caller appends its part of a ticket.

        Args:
          home: Name of the host that is to run the request; None for this one.
          incarnation: Incarnation of that host; None for that of this host.
        """
        ticket = ticket_module.Ticket(
            home=self._name if home is None else home,
            incarnation=(
                self._incarnation if incarnation is None else incarnation
            ),
            expires_at=int(self._get_wall_time() + TICKET_TTL_S),
            nonce=f"{self._random.getrandbits(_NONCE_BITS):016x}",
            own_part="",
        )
        return ticket_module.format_ticket(ticket)

    async def run(
        self,
        request: caller.QueryRequest,
        *,
        digest: str,
        run: deduplication.RunFunction,
        wait_s: float,
        relayed: bool,
    ) -> deduplication.Result | caller.Outcome:
        """Runs a request that has a ticket, here or at the ticket's home.

        Args:
          request: The request.
          digest: Hash of the kind and body of the request.
          run: Runs the request on this host.
          wait_s: Seconds to wait for the outcome.
          relayed: Whether another host relayed the request to this one.

        Returns:
          The outcome of the ticket's only run, a refusal if the request did
          not run, or a failure if the outcome is not known.
        """
        ticket = ticket_module.parse_ticket(request.ticket)
        if ticket is None:
            return caller.Refusal((_describe_malformed_ticket(),))
        if ticket.home != self._name:
            if relayed:
                return caller.Failure(
                    _describe_lost_ticket(
                        "This host is not the home of the ticket."
                    )
                )
            return await self._relay_to_home(ticket, request, wait_s)
        if ticket.incarnation != self._incarnation:
            return caller.Failure(
                _describe_lost_ticket("The home of the ticket has restarted.")
            )
        return await self._run_locally(ticket, digest, run, wait_s)

    def is_known(self, text: str) -> bool:
        """Returns whether a ticket's request is running or has run here."""
        return self._deduplicator.has(ticket_module.parse_ticket(text))

    async def _run_locally(
        self,
        ticket: ticket_module.Ticket,
        digest: str,
        run: deduplication.RunFunction,
        wait_s: float,
    ) -> deduplication.Result:
        """Runs a request at its home, or returns the outcome of its run."""
        remaining_s = ticket.expires_at - self._get_wall_time()
        if not self._deduplicator.has(ticket):
            if remaining_s > TICKET_TTL_S + MAX_CLOCK_SKEW_S:
                return caller.Refusal((_describe_malformed_ticket(),))
            if remaining_s <= -RETENTION_AFTER_EXPIRY_S:
                return caller.Failure(
                    _describe_lost_ticket(
                        "The ticket and its outcome have expired."
                    )
                )
            if remaining_s <= 0:
                return caller.Refusal((_describe_expired_ticket(),))
        return await self._deduplicator.run(
            ticket,
            digest=digest,
            run=run,
            wait_s=wait_s,
            retention_s=remaining_s + RETENTION_AFTER_EXPIRY_S,
        )

    async def _relay_to_home(
        self,
        ticket: ticket_module.Ticket,
        request: caller.QueryRequest,
        wait_s: float,
    ) -> deduplication.Result | caller.Outcome:
        """Relays a request to its home and returns the outcome."""
        relayed_request = request._replace(
            deadline_ms=max(1, int(wait_s * 1000))
        )
        try:
            status, body = await self._relay_to_host(
                ticket.home,
                ticket.incarnation,
                caller.encode_request(relayed_request),
                wait_s,
            )
        except HomeRestartedError:
            return caller.Failure(
                _describe_lost_ticket("The home of the ticket has restarted.")
            )
        except peers.PeerError as error:
            return caller.Failure(
                _describe_unreachable_home(ticket.home, error)
            )
        return caller.decode_outcome(status, body)

    def _get_wall_time(self) -> float:
        """Returns Unix time that never decreases within this incarnation.

        Otherwise a ticket whose outcome is no longer kept could become valid
        again and run a second time.
        """
        return self._wall_offset_s + self._clock.monotonic()


def _describe_malformed_ticket() -> errors.Problem:
    """Describes a text that is not a valid ticket."""
    return errors.Problem(
        errors.ProblemKind.MALFORMED_REQUEST,
        "ticket",
        "It is not a valid ticket of this system.",
        "Append a part of your own, of 1 to "
        f"{ticket_module.MAX_OWN_PART_CHARS} characters without '~', to the "
        "ticket prefix of an address answer.",
    )


def _describe_expired_ticket() -> errors.Problem:
    """Describes a ticket that expired before it was used."""
    return errors.Problem(
        errors.ProblemKind.TICKET_LOST,
        "ticket",
        "The ticket expired before its request ran; it will never run.",
        "Request addresses again and use the new ticket prefix.",
    )


def _describe_lost_ticket(what: str) -> errors.Problem:
    """Describes a ticket whose outcome cannot be known."""
    return errors.Problem(
        errors.ProblemKind.TICKET_LOST,
        "ticket",
        f"{what} Whether the request ran is not known; it will not run again.",
        "Check whether it took effect before sending it with a new ticket.",
    )


def _describe_unreachable_home(
    home: str, error: peers.PeerError
) -> errors.Problem:
    """Describes a home that does not reply."""
    return errors.Problem(
        errors.ProblemKind.PEER_UNREACHABLE,
        "ticket",
        f"The home of the ticket, {home}, does not reply ({error}).",
        "Send the request again with the same ticket; it runs at most once.",
    )
