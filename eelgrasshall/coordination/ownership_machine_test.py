"""Owners over real members on a network in memory, as hosts come and go."""

import asyncio
import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from eelgrasshall.coordination import membership_test
from eelgrasshall.coordination import ownership
from eelgrasshall.coordination import pause
from eelgrasshall.state import configuration

_HOSTS = 5
_SERVICES = [f"service-{number}" for number in range(12)]


class _Keeper:
    """The configuration as one host has it."""

    def __init__(self):
        self.current = None
        self.callbacks = []

    def subscribe(self, callback):
        self.callbacks.append(callback)

    def adopt(self, is_zone_in):
        server = configuration.BackendServer("b", "a", "h", 1, 1, 1)
        self.current = configuration.Configuration(
            1,
            "change",
            (
                configuration.Zone("a", "r", True),
                configuration.Zone("b", "r", is_zone_in),
            ),
            tuple(configuration.Service(n, (server,)) for n in _SERVICES),
            (),
        )
        for callback in self.callbacks:
            callback()


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Hosts leave, die, start, stand still; a zone goes out and comes back."""

    numbers = st.integers(0, _HOSTS - 1)

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.network = membership_test.Network()
        self.parts = {}
        self.leaving = set()
        self.clean = set()
        # Callbacks may run where a failed assertion would only be logged.
        self.breaches = []
        self.is_zone_in = True
        for number in range(_HOSTS):
            self.run(self.begin(number))
        self.run(self.network.clock.advance(4))

    def run(self, work):
        return self.loop.run_until_complete(work)

    async def begin(self, number):
        host = self.network.start(number, zone="ab"[number % 2])
        keeper = _Keeper()
        owned = ownership.Ownership(
            name=f"h{number}",
            membership=host.membership,
            keeper=keeper,
            clock=host.clock,
            facts=host.facts,
        )
        detector = pause.PauseDetector(clock=host.clock, limit_s=1.0)
        detector.subscribe(owned.notice_pause)
        detector.start()
        self.parts[number] = (owned, keeper, detector)
        owned.subscribe(lambda: self.check_claims(number))
        keeper.adopt(self.is_zone_in)

    def check_claims(self, number):
        """A handover is claimed only once nobody else claims the service."""
        if number not in self.parts:
            return
        for claim in self.parts[number][0].claims():
            seen = (number, claim)
            if not claim.handed_over or seen in self.clean:
                continue
            self.clean.add(seen)
            for other in filter(self.is_running, set(self.parts) - {number}):
                if claim.service in self.parts[other][0].owned():
                    self.breaches.append((number, other, claim))

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.0]))
    def advance(self, seconds):
        self.run(self.network.clock.advance(seconds))

    @stateful.rule(number=numbers)
    def leave(self, number):
        if number in self.network.up and self.is_running(number):
            self.leaving.add(number)
            host = self.network.up[number]
            self.run(self.wait(host.membership.announce_leaving()))
            assert not self.parts[number][0].owned()

    @stateful.rule(number=numbers)
    def kill(self, number):
        if number in self.network.up and len(self.network.up) > 2:
            self.run(self.end(number))

    @stateful.rule(number=numbers)
    def start(self, number):
        if number not in self.network.up:
            self.run(self.begin(number))

    @stateful.rule(number=numbers)
    def freeze(self, number):
        if number in self.network.up:
            self.network.up[number].clock.running.clear()

    @stateful.rule(number=numbers)
    def thaw(self, number):
        if number in self.network.up and not self.is_running(number):
            self.network.up[number].clock.running.set()
            self.run(self.spread(0.0, [number]))

    def is_running(self, number):
        return self.network.up[number].clock.running.is_set()

    @stateful.rule(
        is_zone_in=st.booleans(),
        gap_s=st.sampled_from([0.0, 0.3]),
        turn=st.permutations(range(_HOSTS)),
    )
    def switch_zone(self, is_zone_in, gap_s, turn):
        self.is_zone_in = is_zone_in
        self.run(self.spread(gap_s, turn))

    async def spread(self, gap_s, turn):
        for number in turn:
            if number in self.network.up and self.is_running(number):
                self.parts[number][1].adopt(self.is_zone_in)
                await self.network.clock.advance(gap_s)

    async def wait(self, work):
        task = asyncio.create_task(work)
        while not task.done():
            await self.network.clock.advance(0.1)

    async def end(self, number):
        self.leaving.discard(number)
        owned, _, detector = self.parts.pop(number)
        owned.stop()
        detector.stop()
        await self.network.kill(number)

    @stateful.invariant()
    def handovers_are_true(self):
        assert not self.breaches

    def teardown(self):
        for number in self.network.up:
            self.thaw(number)
        self.run(self.network.clock.advance(16))
        self.check_end()
        for number in list(self.network.up):
            self.run(self.end(number))
        self.loop.close()

    def check_end(self):
        """Each service has one owner, the same for all, or none can own."""
        able = [
            number
            for number in self.network.up
            if number not in self.leaving
            and (self.is_zone_in or number % 2 == 0)
        ]
        claimed = collections.Counter(
            name
            for number in self.network.up
            for name in self.parts[number][0].owned()
        )
        expected = _SERVICES if able else []
        assert sorted(claimed.elements()) == sorted(expected)
        for name in expected:
            owners = {
                self.parts[number][0].owner_of(name).name
                for number in self.network.up
            }
            assert len(owners) == 1


TestOwnership = OwnershipMachine.TestCase
# A failing run is printed as it was found; shrinking it would take minutes.
TestOwnership.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=15,
    phases=[hypothesis.Phase.generate],
)
