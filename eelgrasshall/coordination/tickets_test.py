"""Tests of tickets with resends, host restarts and lost replies."""

import asyncio
import itertools
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import tickets
from eelgrasshall.protocol import caller
from eelgrasshall.state import ticket as ticket_module
from eelgrasshall.transport import peers

REFUSAL = caller.Refusal(
    (errors.Problem(errors.ProblemKind.OVERLOADED, "h", "Full.", "Wait."),)
)


def make_numbered_answer(number: int) -> caller.Answer:
    """Returns an answer that identifies the run that made it."""
    part = caller.Part("s", str(number).encode())
    return caller.Answer(caller.Coverage(True, 1.0, ("s",), ()), None, (part,))


class Fleet:
    """Hosts that relay requests to each other over links that can fail."""

    def __init__(self, names=("a", "b", "c")):
        self.clock = clock_module.ManualClock()
        self.names = names
        self.incarnations = dict.fromkeys(names, 0)
        self.runners = {}
        self.duration_s = 0.0
        self.refuses_requests = False
        self.runs = []
        self.links_down = False
        self.incarnations_known = False
        self.replies_lost = False
        self.run_numbers = itertools.count()
        for name in names:
            self.restart(name)

    def restart(self, name: str) -> None:
        self.incarnations[name] += 1
        self.runners[name] = tickets.TicketRunner(
            name=name,
            incarnation=self.incarnations[name],
            clock=self.clock,
            random=random.Random(f"{name}{self.incarnations[name]}"),
            invariants=invariants_module.InvariantChecker(raising=True),
            relay_to_host=self.relay_to_host,
        )

    async def relay_to_host(self, host, incarnation, data, timeout_s):
        # An outdated membership view leads to the current incarnation.
        if self.links_down or host not in self.runners:
            raise peers.PeerNotReachedError("cut")
        if self.incarnations_known and self.incarnations[host] > incarnation:
            raise tickets.HomeRestartedError("restarted")
        request = caller.decode_request(data)
        result = await self.run_ticket(host, request, relayed=True)
        if self.replies_lost:
            raise peers.PeerError("lost")
        outcome = caller.encode_outcome(result, request.request_id)
        return outcome.status, outcome.body

    async def run_ticket(self, host, request, *, relayed=False):
        return await self.runners[host].run(
            request,
            digest=request.body.decode(),
            run=lambda: self.run(request.ticket),
            wait_s=1.0,
            relayed=relayed,
        )

    async def run(self, ticket):
        if self.refuses_requests:
            return REFUSAL
        self.runs.append(ticket)
        number = next(self.run_numbers)
        await self.clock.sleep(self.duration_s)
        return make_numbered_answer(number)

    def send(self, host, ticket, body=b"{}") -> asyncio.Task:
        request = caller.QueryRequest("id", "reserve", body, ticket=ticket)
        return asyncio.create_task(self.run_ticket(host, request))

    async def get(self, host, ticket, body=b"{}") -> caller.Outcome:
        task = self.send(host, ticket, body)
        await self.clock.advance(1.0)
        return caller.encode_outcome(task.result(), "id")


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


@pytest.fixture
def ticket(fleet) -> str:
    return fleet.runners["a"].make_prefix() + "crate-7"


async def test_resends_to_any_host_get_the_same_outcome(fleet, ticket):
    outcomes = {await fleet.get(host, ticket) for host in "abcab"}
    assert len(fleet.runs) == 1
    assert len({outcome.body for outcome in outcomes}) == 1


async def test_resend_during_the_run_gets_the_same_outcome(fleet, ticket):
    fleet.duration_s = 0.5
    tasks = [fleet.send(host, ticket) for host in "aabc"]
    await fleet.clock.advance(1.0)
    bodies = {caller.encode_outcome(task.result(), "id").body for task in tasks}
    assert len(bodies) == 1
    assert len(fleet.runs) == 1


async def test_run_continues_after_its_caller_disconnects(fleet, ticket):
    fleet.duration_s = 0.5
    task = fleet.send("a", ticket)
    await fleet.clock.advance(0.1)
    task.cancel()
    outcome = await fleet.get("b", ticket)
    assert outcome.outcome_type is caller.OutcomeType.ANSWER
    assert len(fleet.runs) == 1


async def test_restarted_home_never_runs_ticket_of_earlier_incarnation(
    fleet, ticket
):
    fleet.restart("a")
    for host in "ab":
        outcome = await fleet.get(host, ticket)
        assert outcome.outcome_type is caller.OutcomeType.UNKNOWN
    assert not fleet.runs


async def test_ticket_is_lost_if_its_home_is_known_to_have_restarted(
    fleet, ticket
):
    fleet.restart("a")
    fleet.incarnations_known = True
    outcome = await fleet.get("b", ticket)
    assert outcome.outcome_type is caller.OutcomeType.UNKNOWN
    assert b"ticket_lost" in outcome.body


async def test_outcome_lost_on_the_way_from_home_is_found_by_a_resend(
    fleet, ticket
):
    fleet.replies_lost = True
    lost = await fleet.get("b", ticket)
    fleet.replies_lost = False
    found = await fleet.get("c", ticket)
    assert lost.outcome_type is caller.OutcomeType.UNKNOWN
    assert found.outcome_type is caller.OutcomeType.ANSWER
    assert len(fleet.runs) == 1


async def test_ticket_stays_usable_after_refusal(fleet, ticket):
    fleet.refuses_requests = True
    refused = await fleet.get("a", ticket)
    fleet.refuses_requests = False
    answered = await fleet.get("a", ticket)
    assert refused.outcome_type is caller.OutcomeType.NOT_RUN
    assert answered.outcome_type is caller.OutcomeType.ANSWER


async def test_ticket_with_another_body_is_refused(fleet, ticket):
    await fleet.get("a", ticket)
    outcome = await fleet.get("b", ticket, b"[]")
    assert outcome.status == 409
    assert len(fleet.runs) == 1


async def test_expired_ticket_is_never_run(fleet, ticket):
    await fleet.clock.advance(tickets.TICKET_TTL_S)
    assert (
        await fleet.get("a", ticket)
    ).outcome_type is caller.OutcomeType.NOT_RUN
    await fleet.clock.advance(tickets.RETENTION_AFTER_EXPIRY_S)
    assert (
        await fleet.get("a", ticket)
    ).outcome_type is caller.OutcomeType.UNKNOWN
    assert not fleet.runs


async def test_outcome_is_kept_for_a_time_after_expiry_and_then_unknown(
    fleet, ticket
):
    first = await fleet.get("a", ticket)
    await fleet.clock.advance(tickets.TICKET_TTL_S)
    assert await fleet.get("a", ticket) == first
    await fleet.clock.advance(tickets.RETENTION_AFTER_EXPIRY_S)
    assert (
        await fleet.get("a", ticket)
    ).outcome_type is caller.OutcomeType.UNKNOWN
    assert len(fleet.runs) == 1


async def test_expired_ticket_stays_expired_if_wall_clock_steps_back(
    fleet, ticket
):
    await fleet.get("a", ticket)
    await fleet.clock.advance(
        tickets.TICKET_TTL_S + tickets.RETENTION_AFTER_EXPIRY_S + 1
    )
    fleet.clock.wall = lambda: 1000.0
    await fleet.get("a", ticket)
    assert len(fleet.runs) == 1


@pytest.mark.parametrize(
    "text",
    ["", "t1", "t1~a~1~9~n~", "t1~a~x~9~n~own", "t2~a~1~9~n~own", "~" * 9],
)
async def test_invalid_ticket_text_is_refused(fleet, text):
    outcome = await fleet.get("a", text)
    assert outcome.status == 400
    assert not fleet.runs


async def test_ticket_that_expires_too_far_in_the_future_is_refused(fleet):
    future = ticket_module.Ticket("a", 1, 10**9, "n", "own")
    outcome = await fleet.get("a", ticket_module.format_ticket(future))
    assert outcome.outcome_type is caller.OutcomeType.NOT_RUN


@hypothesis.given(
    strategies.builds(
        ticket_module.Ticket,
        home=strategies.text(min_size=1),
        incarnation=strategies.integers(0),
        expires_at=strategies.integers(0),
        nonce=strategies.text("0123456789abcdef", min_size=1),
        own_part=strategies.text("xyz-7", min_size=1, max_size=64),
    )
)
def test_formatted_ticket_is_parsed_back(ticket):
    text = ticket_module.format_ticket(ticket)
    assert ticket_module.parse_ticket(text) == ticket


class TicketMachine(stateful.RuleBasedStateMachine):
    """Resends requests while hosts restart, links fail and time passes."""

    sent = stateful.Bundle("sent")

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.fleet = Fleet()
        self.tasks = []
        self.own_parts = itertools.count()

    def advance(self, seconds):
        self.loop.run_until_complete(self.fleet.clock.advance(seconds))

    @stateful.rule(target=sent, home=strategies.sampled_from("abc"))
    def issue_ticket(self, home):
        own_part = next(self.own_parts)
        return f"{self.fleet.runners[home].make_prefix()}{own_part}"

    @stateful.rule(
        ticket=sent,
        host=strategies.sampled_from("abc"),
        duration_s=strategies.sampled_from([0.0, 0.3, 5.0]),
        refuses_requests=strategies.booleans(),
    )
    def send(self, ticket, host, duration_s, refuses_requests):
        self.fleet.duration_s = duration_s
        self.fleet.refuses_requests = refuses_requests
        run_count = len(self.fleet.runs)
        ticket_run_count = self.fleet.runs.count(ticket)

        async def start():
            self.tasks.append((ticket, self.fleet.send(host, ticket)))

        self.loop.run_until_complete(start())
        self.advance(0)
        task = self.tasks[-1][1]
        if task.done():
            outcome = caller.encode_outcome(task.result(), "id")
            if outcome.outcome_type is caller.OutcomeType.NOT_RUN:
                assert len(self.fleet.runs) == run_count
                assert ticket_run_count == 0

    @stateful.rule(position=strategies.integers(0, 50))
    def disconnect_caller(self, position):
        if self.tasks:
            self.tasks[position % len(self.tasks)][1].cancel()
            self.advance(0)

    @stateful.rule(name=strategies.sampled_from("abc"))
    def restart(self, name):
        self.fleet.restart(name)

    @stateful.rule(down=strategies.booleans(), lost=strategies.booleans())
    def break_links(self, down, lost):
        self.fleet.links_down = down
        self.fleet.replies_lost = lost

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 60.0, 130.0]))
    def wait(self, seconds):
        self.advance(seconds)

    @stateful.invariant()
    def each_ticket_runs_at_most_once(self):
        assert len(set(self.fleet.runs)) == len(self.fleet.runs)

    @stateful.invariant()
    def answers_of_a_ticket_are_equal(self):
        answers = {}
        for ticket, task in self.tasks:
            if not task.done() or task.cancelled():
                continue
            outcome = caller.encode_outcome(task.result(), "id")
            if outcome.outcome_type is caller.OutcomeType.ANSWER:
                first = answers.setdefault(ticket, outcome.body)
                assert outcome.body == first

    def teardown(self):
        self.advance(10.0)
        for _, task in self.tasks:
            task.cancel()
        self.advance(0)
        self.loop.close()


TicketMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30
)
TestTickets = TicketMachine.TestCase
