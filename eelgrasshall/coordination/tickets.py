"""At most one run for each ticket, over all hosts and resends.

Only the home of a ticket, in the incarnation that the ticket names, runs its
request.  Every other host relays to the home.  When the home is gone nobody
can know whether the request ran, so the outcome is `unknown` and no host runs
it again.  Nothing is written to the store.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random as random_module

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import once
from eelgrasshall.protocol import caller
from eelgrasshall.state import ticket as ticket_module
from eelgrasshall.transport import peers

TICKET_TTL_S = 120.0
# Outcomes are remembered this long beyond the expiry of their ticket.
KEEP_AFTER_EXPIRY_S = 60.0
# Clocks of hosts may differ by this much.
MAX_CLOCK_SKEW_S = 60.0
_NONCE_BITS = 64

RunAtHome = Callable[[str, int, bytes, float], Awaitable[tuple[int, bytes]]]


class HomeRestartedError(peers.PeerError):
    """The home runs in a later incarnation and knows nothing of the ticket."""


class TicketBook:
    """Issues tickets and decides who runs their requests.

    Args:
      name: Name of this host.
      incarnation: Its incarnation.
      clock: The source of time.
      random: Draws the nonces.
      invariants: Checks of the promises.
      run_at_home: Has another host, in the incarnation given, run a request
        within a number of seconds; raises `HomeRestartedError` if a later
        incarnation is there, and `peers.PeerError` if none answers.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        clock: clock_module.Clock,
        random: random_module.Random,
        invariants: invariants_module.InvariantChecker,
        run_at_home: RunAtHome,
    ):
        self._name = name
        self._incarnation = incarnation
        self._clock = clock
        self._random = random
        self._run_at_home = run_at_home
        self._book = once.OnceBook(clock=clock, invariants=invariants)
        self._wall_offset_s = clock.wall() - clock.monotonic()

    @property
    def running(self) -> int:
        """Requests that run now, with or without a caller waiting."""
        return self._book.running

    def make_prefix(
        self, home: str | None = None, incarnation: int | None = None
    ) -> str:
        """Returns the text that a caller completes to a ticket.

        Args:
          home: The host that is to run the request; this one if None.
          incarnation: Its incarnation, if it is another host.
        """
        ticket = ticket_module.Ticket(
            home=self._name if home is None else home,
            incarnation=(
                self._incarnation if incarnation is None else incarnation
            ),
            expires_at=int(self._read_wall() + TICKET_TTL_S),
            nonce=f"{self._random.getrandbits(_NONCE_BITS):016x}",
            own_part="",
        )
        return ticket_module.format_ticket(ticket)

    async def run(
        self,
        request: caller.QueryRequest,
        *,
        digest: str,
        run: once.Run,
        wait_s: float,
        relayed: bool,
    ) -> once.Result | caller.Outcome:
        """Runs a request that has a ticket, here or at the ticket's home.

        Args:
          request: The request.
          digest: Hash of its kind and body.
          run: Runs it here.
          wait_s: Seconds to wait for the outcome.
          relayed: Whether another host has relayed it here.

        Returns:
          The one outcome of the ticket, as far as it is known.
        """
        ticket = ticket_module.parse_ticket(request.ticket)
        if ticket is None:
            return caller.Refusal((_malformed(),))
        if ticket.home != self._name:
            if relayed:
                return caller.Failure(_lost("This host is not its home."))
            return await self._relay(ticket, request, wait_s)
        if ticket.incarnation != self._incarnation:
            return caller.Failure(_lost("Its home has restarted since."))
        return await self._run_here(ticket, digest, run, wait_s)

    def is_known(self, text: str) -> bool:
        """Returns whether a ticket's request runs or has run here."""
        return self._book.has(ticket_module.parse_ticket(text))

    async def _run_here(
        self,
        ticket: ticket_module.Ticket,
        digest: str,
        run: once.Run,
        wait_s: float,
    ) -> once.Result:
        """Runs a request at its home, or gives the outcome that it had."""
        left_s = ticket.expires_at - self._read_wall()
        if not self._book.has(ticket):
            if left_s > TICKET_TTL_S + MAX_CLOCK_SKEW_S:
                return caller.Refusal((_malformed(),))
            if left_s <= -KEEP_AFTER_EXPIRY_S:
                return caller.Failure(_lost("It expired long ago."))
            if left_s <= 0:
                return caller.Refusal((_expired(),))
        return await self._book.run(
            ticket,
            digest=digest,
            run=run,
            wait_s=wait_s,
            keep_s=left_s + KEEP_AFTER_EXPIRY_S,
        )

    async def _relay(
        self,
        ticket: ticket_module.Ticket,
        request: caller.QueryRequest,
        wait_s: float,
    ) -> once.Result | caller.Outcome:
        """Has the home run the request."""
        left = request._replace(deadline_ms=max(1, int(wait_s * 1000)))
        try:
            status, body = await self._run_at_home(
                ticket.home,
                ticket.incarnation,
                caller.encode_request(left),
                wait_s,
            )
        except HomeRestartedError:
            return caller.Failure(_lost("Its home has restarted since."))
        except peers.PeerError as error:
            return caller.Failure(_unreached(ticket.home, error))
        return caller.decode_outcome(status, body)

    def _read_wall(self) -> float:
        """Returns Unix time that cannot step back within this incarnation.

        A step back could bring a ticket to life again after its outcome was
        forgotten.
        """
        return self._wall_offset_s + self._clock.monotonic()


def _malformed() -> errors.Problem:
    """Returns the problem of text that is no ticket."""
    return errors.Problem(
        errors.ProblemKind.MALFORMED_REQUEST,
        "ticket",
        "It is no ticket of this system.",
        "Append a part of your own, up to "
        f"{ticket_module.MAX_OWN_PART_CHARS} characters without '~', to the "
        "ticket prefix of an address answer.",
    )


def _expired() -> errors.Problem:
    """Returns the problem of a ticket that was not used in its time."""
    return errors.Problem(
        errors.ProblemKind.TICKET_LOST,
        "ticket",
        "It has expired without a run and will never run.",
        "Ask for addresses again and use the new ticket prefix.",
    )


def _lost(what: str) -> errors.Problem:
    """Returns the problem of a ticket whose outcome nobody can know."""
    return errors.Problem(
        errors.ProblemKind.TICKET_LOST,
        "ticket",
        f"{what} Whether the request ran is not known; it will not run again.",
        "Look up its effect before sending it with a new ticket.",
    )


def _unreached(home: str, error: peers.PeerError) -> errors.Problem:
    """Returns the problem of a home that does not answer."""
    return errors.Problem(
        errors.ProblemKind.PEER_UNREACHABLE,
        "ticket",
        f"Its home {home} does not answer ({error}).",
        "Send it again with the same ticket; it runs at most once.",
    )
