"""Stateful test of ownership over real membership and an in-memory network."""

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


class _ConfigurationSource:
    """The configuration source of one host."""

    def __init__(self):
        self.current = None
        self.callbacks = []

    def subscribe(self, callback):
        self.callbacks.append(callback)

    def apply_configuration(self, zone_in_service):
        server = configuration.BackendServer("b", "a", "h", 1, 1, 1)
        self.current = configuration.Configuration(
            1,
            "change",
            (
                configuration.Zone("a", "r", True),
                configuration.Zone("b", "r", zone_in_service),
            ),
            tuple(configuration.Service(n, (server,)) for n in _SERVICES),
            (),
        )
        for callback in self.callbacks:
            callback()


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Hosts leave, crash, start and freeze; a zone is evacuated and returns."""

    numbers = st.integers(0, _HOSTS - 1)

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.network = membership_test.Network()
        self.instances = {}
        self.leaving = set()
        self.checked_claims = set()
        # Recorded here because callbacks may run where a failed assertion is
        # only logged.
        self.breaches = []
        self.zone_in_service = True
        for number in range(_HOSTS):
            self.run(self.start_host(number))
        self.run(self.network.clock.advance(4))

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def start_host(self, number):
        host = self.network.start(number, zone="ab"[number % 2])
        source = _ConfigurationSource()
        instance = ownership.Ownership(
            name=f"h{number}",
            membership=host.membership,
            configuration_source=source,
            clock=host.clock,
            facts=host.facts,
        )
        detector = pause.PauseDetector(clock=host.clock, limit_s=1.0)
        detector.subscribe(instance.handle_pause)
        detector.start()
        self.instances[number] = (instance, source, detector)
        instance.subscribe(lambda: self.check_claims(number))
        source.apply_configuration(self.zone_in_service)

    def check_claims(self, number):
        """Checks that no other host claims a service marked as handed over."""
        if number not in self.instances:
            return
        for claim in self.instances[number][0].list_claims():
            key = (number, claim)
            if not claim.handed_over or key in self.checked_claims:
                continue
            self.checked_claims.add(key)
            for other in filter(
                self.is_running, set(self.instances) - {number}
            ):
                if claim.service in self.instances[other][0].owned():
                    self.breaches.append((number, other, claim))

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.0]))
    def advance(self, seconds):
        self.run(self.network.clock.advance(seconds))

    @stateful.rule(number=numbers)
    def leave(self, number):
        if number in self.network.up and self.is_running(number):
            self.leaving.add(number)
            host = self.network.up[number]
            self.run(self.run_to_completion(host.membership.announce_leaving()))
            assert not self.instances[number][0].owned()

    @stateful.rule(number=numbers)
    def kill(self, number):
        if number in self.network.up and len(self.network.up) > 2:
            self.run(self.stop_host(number))

    @stateful.rule(number=numbers)
    def start(self, number):
        if number not in self.network.up:
            self.run(self.start_host(number))

    @stateful.rule(number=numbers)
    def freeze(self, number):
        if number in self.network.up:
            self.network.up[number].clock.running.clear()

    @stateful.rule(number=numbers)
    def thaw(self, number):
        if number in self.network.up and not self.is_running(number):
            self.network.up[number].clock.running.set()
            self.run(self.apply_to_hosts(0.0, [number]))

    def is_running(self, number):
        return self.network.up[number].clock.running.is_set()

    @stateful.rule(
        zone_in_service=st.booleans(),
        gap_s=st.sampled_from([0.0, 0.3]),
        order=st.permutations(range(_HOSTS)),
    )
    def switch_zone(self, zone_in_service, gap_s, order):
        self.zone_in_service = zone_in_service
        self.run(self.apply_to_hosts(gap_s, order))

    async def apply_to_hosts(self, gap_s, order):
        for number in order:
            if number in self.network.up and self.is_running(number):
                self.instances[number][1].apply_configuration(
                    self.zone_in_service
                )
                await self.network.clock.advance(gap_s)

    async def run_to_completion(self, coroutine):
        task = asyncio.create_task(coroutine)
        while not task.done():
            await self.network.clock.advance(0.1)

    async def stop_host(self, number):
        self.leaving.discard(number)
        instance, _, detector = self.instances.pop(number)
        instance.stop()
        detector.stop()
        await self.network.kill(number)

    @stateful.invariant()
    def handovers_are_exclusive(self):
        assert not self.breaches

    def teardown(self):
        for number in self.network.up:
            self.thaw(number)
        self.run(self.network.clock.advance(16))
        self.check_final_state()
        for number in list(self.network.up):
            self.run(self.stop_host(number))
        self.loop.close()

    def check_final_state(self):
        """Checks that all hosts agree on one owner for each service.

        If no host is eligible, no service has an owner.
        """
        eligible = [
            number
            for number in self.network.up
            if number not in self.leaving
            and (self.zone_in_service or number % 2 == 0)
        ]
        claimed = collections.Counter(
            name
            for number in self.network.up
            for name in self.instances[number][0].owned()
        )
        expected = _SERVICES if eligible else []
        assert sorted(claimed.elements()) == sorted(expected)
        for name in expected:
            owners = {
                self.instances[number][0].owner_of(name).name
                for number in self.network.up
            }
            assert len(owners) == 1


TestOwnership = OwnershipMachine.TestCase
# Failing runs are reported unshrunk, because shrinking would take minutes.
TestOwnership.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=15,
    phases=[hypothesis.Phase.generate],
)
