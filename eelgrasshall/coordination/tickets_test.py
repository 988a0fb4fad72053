"""Tests of tickets over resends to any host, host death and lost replies."""

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

REFUSED = caller.Refusal(
    (errors.Problem(errors.ProblemKind.OVERLOADED, "h", "Full.", "Wait."),)
)


def make_answer(number: int) -> caller.Answer:
    """Returns an answer that tells one run from another."""
    part = caller.Part("s", str(number).encode())
    return caller.Answer(caller.Coverage(True, 1.0, ("s",), ()), None, (part,))


class Fleet:
    """Hosts that relay to each other over links that can be cut."""

    def __init__(self, names=("a", "b", "c")):
        self.clock = clock_module.ManualClock()
        self.names = names
        self.incarnations = dict.fromkeys(names, 0)
        self.records = {}
        self.duration_s = 0.0
        self.refuses = False
        self.runs = []
        self.links_cut = False
        self.members_known = False
        self.replies_lost = False
        self.numbers = itertools.count()
        for name in names:
            self.restart(name)

    def restart(self, name: str) -> None:
        self.incarnations[name] += 1
        self.records[name] = tickets.TicketBook(
            name=name,
            incarnation=self.incarnations[name],
            clock=self.clock,
            random=random.Random(f"{name}{self.incarnations[name]}"),
            invariants=invariants_module.InvariantChecker(raising=True),
            run_at_home=self.run_at_home,
        )

    async def run_at_home(self, home, incarnation, data, timeout_s):
        # A stale view of the members reaches whatever runs there now.
        if self.links_cut or home not in self.records:
            raise peers.PeerNotReachedError("cut")
        if self.members_known and self.incarnations[home] > incarnation:
            raise tickets.HomeRestartedError("restarted")
        request = caller.decode_request(data)
        result = await self.ask(home, request, relayed=True)
        if self.replies_lost:
            raise peers.PeerError("lost")
        outcome = caller.encode(result, request.request_id)
        return outcome.status, outcome.body

    async def ask(self, host, request, *, relayed=False):
        return await self.records[host].run(
            request,
            digest=request.body.decode(),
            run=lambda: self.run(request.ticket),
            wait_s=1.0,
            relayed=relayed,
        )

    async def run(self, ticket):
        if self.refuses:
            return REFUSED
        self.runs.append(ticket)
        number = next(self.numbers)
        await self.clock.sleep(self.duration_s)
        return make_answer(number)

    def send(self, host, ticket, body=b"{}") -> asyncio.Task:
        request = caller.QueryRequest("id", "reserve", body, ticket=ticket)
        return asyncio.create_task(self.ask(host, request))

    async def get(self, host, ticket, body=b"{}") -> caller.Outcome:
        task = self.send(host, ticket, body)
        await self.clock.advance(1.0)
        return caller.encode(task.result(), "id")


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


@pytest.fixture
def ticket(fleet) -> str:
    return fleet.records["a"].make_prefix() + "crate-7"


async def test_resends_to_any_host_get_the_one_outcome(fleet, ticket):
    outcomes = {await fleet.get(host, ticket) for host in "abcab"}
    assert len(fleet.runs) == 1
    assert len({outcome.body for outcome in outcomes}) == 1


async def test_resend_while_it_runs_awaits_the_same_outcome(fleet, ticket):
    fleet.duration_s = 0.5
    tasks = [fleet.send(host, ticket) for host in "aabc"]
    await fleet.clock.advance(1.0)
    bodies = {caller.encode(task.result(), "id").body for task in tasks}
    assert len(bodies) == 1
    assert len(fleet.runs) == 1


async def test_caller_gone_does_not_stop_the_run(fleet, ticket):
    fleet.duration_s = 0.5
    task = fleet.send("a", ticket)
    await fleet.clock.advance(0.1)
    task.cancel()
    outcome = await fleet.get("b", ticket)
    assert outcome.verdict is caller.Verdict.ANSWER
    assert len(fleet.runs) == 1


async def test_restarted_home_never_runs_an_older_ticket(fleet, ticket):
    fleet.restart("a")
    for host in "ab":
        outcome = await fleet.get(host, ticket)
        assert outcome.verdict is caller.Verdict.UNKNOWN
    assert not fleet.runs


async def test_home_known_to_have_restarted_is_not_to_be_asked_again(
    fleet, ticket
):
    fleet.restart("a")
    fleet.members_known = True
    outcome = await fleet.get("b", ticket)
    assert outcome.verdict is caller.Verdict.UNKNOWN
    assert b"ticket_lost" in outcome.body


async def test_lost_reply_of_the_home_is_unknown_then_found(fleet, ticket):
    fleet.replies_lost = True
    lost = await fleet.get("b", ticket)
    fleet.replies_lost = False
    found = await fleet.get("c", ticket)
    assert lost.verdict is caller.Verdict.UNKNOWN
    assert found.verdict is caller.Verdict.ANSWER
    assert len(fleet.runs) == 1


async def test_refused_run_leaves_the_ticket_usable(fleet, ticket):
    fleet.refuses = True
    refused = await fleet.get("a", ticket)
    fleet.refuses = False
    answered = await fleet.get("a", ticket)
    assert refused.verdict is caller.Verdict.NOT_RUN
    assert answered.verdict is caller.Verdict.ANSWER


async def test_ticket_with_another_body_is_refused(fleet, ticket):
    await fleet.get("a", ticket)
    outcome = await fleet.get("b", ticket, b"[]")
    assert outcome.status == 409
    assert len(fleet.runs) == 1


async def test_expired_ticket_is_never_run(fleet, ticket):
    await fleet.clock.advance(tickets.TICKET_TTL_S)
    assert (await fleet.get("a", ticket)).verdict is caller.Verdict.NOT_RUN
    await fleet.clock.advance(tickets.KEEP_AFTER_EXPIRY_S)
    assert (await fleet.get("a", ticket)).verdict is caller.Verdict.UNKNOWN
    assert not fleet.runs


async def test_outcome_outlives_the_expiry_and_is_then_unknown(fleet, ticket):
    first = await fleet.get("a", ticket)
    await fleet.clock.advance(tickets.TICKET_TTL_S)
    assert await fleet.get("a", ticket) == first
    await fleet.clock.advance(tickets.KEEP_AFTER_EXPIRY_S)
    assert (await fleet.get("a", ticket)).verdict is caller.Verdict.UNKNOWN
    assert len(fleet.runs) == 1


async def test_wall_clock_that_steps_back_revives_no_ticket(fleet, ticket):
    await fleet.get("a", ticket)
    await fleet.clock.advance(
        tickets.TICKET_TTL_S + tickets.KEEP_AFTER_EXPIRY_S + 1
    )
    fleet.clock.wall = lambda: 1000.0
    await fleet.get("a", ticket)
    assert len(fleet.runs) == 1


@pytest.mark.parametrize(
    "text",
    ["", "t1", "t1~a~1~9~n~", "t1~a~x~9~n~own", "t2~a~1~9~n~own", "~" * 9],
)
async def test_text_that_is_no_ticket_is_refused(fleet, text):
    outcome = await fleet.get("a", text)
    assert outcome.status == 400
    assert not fleet.runs


async def test_ticket_from_too_far_ahead_is_refused(fleet):
    far = ticket_module.Ticket("a", 1, 10**9, "n", "own")
    outcome = await fleet.get("a", ticket_module.format_ticket(far))
    assert outcome.verdict is caller.Verdict.NOT_RUN


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
def test_ticket_text_is_read_back(ticket):
    text = ticket_module.format_ticket(ticket)
    assert ticket_module.parse_ticket(text) == ticket


class Resends(stateful.RuleBasedStateMachine):
    """Callers resend while hosts restart, links break and time passes."""

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
    def issue(self, home):
        own_part = next(self.own_parts)
        return f"{self.fleet.records[home].make_prefix()}{own_part}"

    @stateful.rule(
        ticket=sent,
        host=strategies.sampled_from("abc"),
        duration_s=strategies.sampled_from([0.0, 0.3, 5.0]),
        refuses=strategies.booleans(),
    )
    def send(self, ticket, host, duration_s, refuses):
        self.fleet.duration_s = duration_s
        self.fleet.refuses = refuses
        ran = len(self.fleet.runs)
        ran_before = self.fleet.runs.count(ticket)

        async def start():
            self.tasks.append((ticket, self.fleet.send(host, ticket)))

        self.loop.run_until_complete(start())
        self.advance(0)
        task = self.tasks[-1][1]
        if task.done():
            outcome = caller.encode(task.result(), "id")
            if outcome.verdict is caller.Verdict.NOT_RUN:
                assert len(self.fleet.runs) == ran
                assert ran_before == 0

    @stateful.rule(position=strategies.integers(0, 50))
    def leave(self, position):
        if self.tasks:
            self.tasks[position % len(self.tasks)][1].cancel()
            self.advance(0)

    @stateful.rule(name=strategies.sampled_from("abc"))
    def restart(self, name):
        self.fleet.restart(name)

    @stateful.rule(cut=strategies.booleans(), lost=strategies.booleans())
    def break_links(self, cut, lost):
        self.fleet.links_cut = cut
        self.fleet.replies_lost = lost

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 60.0, 130.0]))
    def wait(self, seconds):
        self.advance(seconds)

    @stateful.invariant()
    def each_ticket_ran_at_most_once(self):
        assert len(set(self.fleet.runs)) == len(self.fleet.runs)

    @stateful.invariant()
    def answers_of_a_ticket_are_the_same(self):
        answers = {}
        for ticket, task in self.tasks:
            if not task.done() or task.cancelled():
                continue
            outcome = caller.encode(task.result(), "id")
            if outcome.verdict is caller.Verdict.ANSWER:
                first = answers.setdefault(ticket, outcome.body)
                assert outcome.body == first

    def teardown(self):
        self.advance(10.0)
        for _, task in self.tasks:
            task.cancel()
        self.advance(0)
        self.loop.close()


Resends.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30
)
TestResends = Resends.TestCase
