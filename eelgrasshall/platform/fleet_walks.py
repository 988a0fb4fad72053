"""Random walks of a fleet in virtual time, with bounds and disturbances.

Beyond what `exploration` can play in full: three to nine hosts with heartbeats,
all collections, messages that take a drawn time, hosts and links that are lost,
a store that is silent or comes back older.  Hypothesis draws the walks and
shrinks one that fails to a short one.
"""

import argparse
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import random as random_module
import sys
import time

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from eelgrasshall.platform import codec
from eelgrasshall.platform import exploration
from eelgrasshall.platform import mutations
from eelgrasshall.platform import simulated_fleet

Collection = simulated_fleet.Collection
# Bounds of the deployments that are tested, and the time without a disturbance
# after which they hold, seconds.
BOUNDS_S = {
    Collection.CONFIGURATION: 5.0,
    Collection.SERVERS: 3.0,
    Collection.EVACUATIONS: 3.0,
    Collection.HOSTS: 6.0,
}
CONTACT_S = 4.0
_SERVERS = tuple("abcdefghijklmnop")
_SETTLING_S = 5.0
# Doubt, a watch that times out, the longest back-off and the retention of what
# a copy of the store lacks.
_QUIET_S = 10.0
_RECHECK_S = 0.5
_LATENCY_S = (0.001, 0.02)
# Less than half of the servers leave within this time: more look like entries
# that lapsed (incidents/2026-12-05-long-doubt.md, "What remains").
_PLANNED_S = 6.0
# Some end before hosts that do not watch have called the store in vain.
_OUTAGES_S = (4.0, 3.0, 2.2, 3.7)
# Time within which servers whose entries lapsed are back.
_BACK_S = 1.9
_HOSTS = strategies.integers(0, 8)
_NAMES = strategies.sampled_from(_SERVERS)
_SOME_NAMES = strategies.lists(_NAMES, min_size=1, max_size=4, unique=True)


class FleetWalk(stateful.RuleBasedStateMachine):
    """A walk; its rules are the events.

    Attributes:
      count: The number of walks of this process.
      strict: Whether bounds are checked as well for what the store took right
        before an outage (KNOWN-RED.txt).
    """

    count = 0
    strict = False

    def __init__(self):
        super().__init__()
        self.faults: list[str] = []
        self._patch = simulated_fleet.replace_clients()
        self._patch.__enter__()
        self.loop = simulated_fleet.Loop()
        self._version = 0
        self._silent_since_s: list[float] = []

    @stateful.initialize(
        count=strategies.sampled_from((5, 3, 4, 7, 9)),
        seed=strategies.integers(0, 9),
    )
    def begin(self, count, seed):
        """Starts the hosts; all have what the store has."""
        FleetWalk.count += 1
        random = random_module.Random(seed)
        names = [f"h{index}" for index in range(count)]
        self.fleet = simulated_fleet.Fleet(
            loop=self.loop,
            names=names,
            seeds=names[:2],
            collections=tuple(BOUNDS_S),
            bounds_s=BOUNDS_S,
            choose_delay_s=lambda call: random.uniform(*_LATENCY_S),
            has_heartbeats=True,
            page_size=6,
        )
        for name in _SERVERS:
            self._register(name)
        for host in self.fleet.hosts_by_name.values():
            self.fleet.write(
                Collection.HOSTS, host.name, codec.encode_host(host)
            )
        self._configure()
        for name in names:
            self.fleet.start(name)
        self._pass(_SETTLING_S)

    # Helpers.

    def _pass(self, duration_s: float) -> None:
        self.loop.call_later(duration_s, self.loop.stop)
        self.loop.run_forever()

    def _choose_host(self, number: int) -> str:
        names = list(self.fleet.hosts_by_name)
        return names[number % len(names)]

    def _write(self, collection, name, spec) -> None:
        self.fleet.write(collection, name, spec)
        change = self.fleet.changes[-1]
        self.loop.call_later(BOUNDS_S[collection], self._check_bound, change)

    def _register(self, name: str, *, draining: bool = False) -> None:
        spec = simulated_fleet.make_server_spec(
            draining=draining, seq=len(self.fleet.changes)
        )
        self._write(Collection.SERVERS, name, spec)

    def _configure(self) -> None:
        self._version += 1
        self._write(
            Collection.CONFIGURATION,
            "main",
            simulated_fleet.make_configuration_spec(self._version),
        )

    def _is_calm(self, name: str, since_s: float) -> bool:
        return self.fleet.disturbed_s.get(name, 0.0) <= since_s

    def _list_in_touch(self) -> list[simulated_fleet.Host]:
        """Returns the hosts for which the bounds hold now."""
        since_s = self.loop.time() - CONTACT_S
        if self.fleet.swallowing or not self._is_calm("store", since_s):
            return []
        lost = self.fleet.cut | self.fleet.cut_from_store
        return [
            host
            for host in self.fleet.hosts.values()
            if host.alive
            and host.name not in lost
            and self._is_calm(host.name, since_s)
        ]

    def _check_bound(self, change: simulated_fleet.Change) -> None:
        """Notes hosts in touch that do not follow a change, then and later."""
        if self._is_replaced(change) or (
            not self.strict
            and any(
                0.0 <= silent_s - change.time_s < BOUNDS_S[change.collection]
                for silent_s in self._silent_since_s
            )
        ):
            return
        for host in self._list_in_touch():
            if not _is_in_force(host, change):
                late_s = self.loop.time() - change.time_s
                self.faults.append(
                    f"bound: {host.name} does not follow {change.name} "
                    f"({change.collection.name.lower()}) after {late_s:.2f} s"
                )
        self.loop.call_later(_RECHECK_S, self._check_bound, change)

    def _is_replaced(self, change: simulated_fleet.Change) -> bool:
        return (
            any(
                later.name == change.name
                and later.collection is change.collection
                and later.revision > change.revision
                for later in self.fleet.changes
            )
            or change not in self.fleet.changes
        )

    def _check_used(self, name: str, hosts, since_s: float) -> None:
        """Notes hosts that gave up a live server whose entry lapsed."""
        for host in hosts:
            if (
                host.alive
                and self._is_calm(host.name, since_s)
                and name not in host.list_used()
            ):
                self.faults.append(f"lapsed: {host.name} gave up {name}")

    # Rules.

    @stateful.rule(duration_s=strategies.sampled_from((0.05, 0.3, 1.0, 3.0)))
    def time_passes(self, duration_s):
        """Nothing happens."""
        self._pass(duration_s)

    @stateful.rule(name=_NAMES, draining=strategies.booleans())
    def register(self, name, draining):
        """A server writes its entry."""
        self._register(name, draining=draining)

    @stateful.rule(names=_SOME_NAMES)
    def remove(self, names):
        """Servers leave."""
        for name in names:
            live = self.fleet.store.list_names("servers")
            left = {
                change.name
                for change in self.fleet.changes
                if change.collection is Collection.SERVERS
                and change.spec is None
                and self.loop.time() - change.time_s < _PLANNED_S
            } - set(live)
            if name in live and (len(left) + 1) * 2 < len(live) + len(left):
                self._write(Collection.SERVERS, name, None)

    @stateful.rule()
    def configure(self):
        """The operator writes the next version."""
        self._configure()

    @stateful.rule(evacuated=strategies.booleans())
    def evacuate(self, evacuated):
        """The operator evacuates a zone, or takes that back."""
        if evacuated or self.fleet.store.list_names("evacuations"):
            self._write(Collection.EVACUATIONS, "z9", {} if evacuated else None)

    @stateful.rule(number=_HOSTS)
    def kill(self, number):
        """A host is killed."""
        self.fleet.kill(self._choose_host(number))

    @stateful.rule(
        names=_SOME_NAMES,
        lead_s=strategies.sampled_from((0.0, -0.2, 0.1, -1.0, -2.0)),
        back_s=strategies.sampled_from((None, 0.3)),
    )
    def kill_watchers(self, names, lead_s, back_s):
        """All hosts that watch are killed while servers leave.

        Args:
          names: The servers.
          lead_s: Time from the loss to the deletions, seconds.
          back_s: Time until the hosts start again; None if they do not.
        """
        if lead_s < 0.0:
            self.remove(names)
            self._pass(-lead_s)
        killed = self._kill_watchers()
        if lead_s >= 0.0:
            self._pass(lead_s)
            self.remove(names)
        if back_s is not None:
            self._pass(back_s)
            for name in killed:
                self.fleet.start(name)

    def _kill_watchers(self) -> list[str]:
        """Kills all hosts that watch the store; returns their names."""
        killed = [
            host.name
            for host in self.fleet.hosts.values()
            if host.alive and host.knowledge.reaches_store()
        ]
        for name in killed:
            self.fleet.kill(name)
        return killed

    @stateful.rule()
    def start_killed(self):
        """All hosts that were killed start again."""
        for host in list(self.fleet.hosts.values()):
            if not host.alive:
                self.fleet.start(host.name)

    @stateful.rule(number=_HOSTS)
    def restart(self, number):
        """A host starts again."""
        self.fleet.start(self._choose_host(number))

    @stateful.rule(number=_HOSTS, store_only=strategies.booleans())
    def cut(self, number, store_only):
        """A host loses its links, or that to the store."""
        name = self._choose_host(number)
        (self.fleet.cut_from_store if store_only else self.fleet.cut).add(name)
        self.fleet.disturb(name)

    @stateful.rule()
    def heal(self):
        """All links are back."""
        for links in (self.fleet.cut, self.fleet.cut_from_store):
            for name in links:
                self.fleet.disturb(name)
            links.clear()

    @stateful.rule(
        lapsing=strategies.booleans(),
        watchers_lost=strategies.booleans(),
        duration_s=strategies.sampled_from(_OUTAGES_S),
    )
    def silence(self, lapsing, watchers_lost, duration_s):
        """The store answers no call for some seconds; entries may lapse."""
        hosts = self._list_in_touch()
        began_s = self.loop.time()
        self._silent_since_s.append(began_s)
        self.fleet.swallowing = True
        self.fleet.disturb()
        self._pass(duration_s)
        lapsed = self.fleet.store.list_names("servers") if lapsing else []
        used = [
            name
            for name in lapsed
            if self.fleet.store.get_spec("servers", name)["state"] == "ready"
            and all(name in host.list_used() for host in hosts)
        ]
        for name in lapsed:
            self._write(Collection.SERVERS, name, None)
        self.fleet.swallowing = False
        self.fleet.disturb()
        if watchers_lost:
            self._kill_watchers()
            self.start_killed()
        for index, name in enumerate(lapsed):
            back_s = _BACK_S * (index + 1) / len(lapsed)
            self.loop.call_later(back_s, self._register, name)
            if name in used:
                self.loop.call_later(
                    back_s, self._check_used, name, hosts, began_s
                )
        self._pass(_BACK_S + 0.1)

    @stateful.rule(age_s=strategies.sampled_from((0.1, 2.0)))
    def go_back(self, age_s):
        """The store comes back from a copy; writers write again."""
        stored = self.fleet.store.take_copy()
        lost = len(self.fleet.changes)
        self._configure()
        self._register("a")
        self._pass(age_s)
        later = self.fleet.changes[lost:]
        self.fleet.restore(stored)
        for change in later:
            if change.collection is Collection.CONFIGURATION:
                self.loop.call_later(1.0, self._write, *change[:2], change.spec)
            else:
                self.loop.call_later(0.5, self._register, change.name)
        self._pass(1.5)

    @stateful.invariant()
    def holds(self):
        """All that must hold at any time."""
        if not hasattr(self, "fleet"):
            return
        faults = [*self.faults, *self.fleet.errors]
        for host in self.fleet.hosts.values():
            faults += exploration.check_claims(host)
        assert not faults, "\n".join(dict.fromkeys(faults))

    def teardown(self):
        """After quiet all hosts agree with the store."""
        try:
            if hasattr(self, "fleet") and not self.faults:
                self.heal()
                self.start_killed()
                self._pass(_QUIET_S)
                self.holds()
                faults = exploration.check_agreement(self.fleet)
                assert not faults, "\n".join(faults)
        finally:
            if hasattr(self, "fleet"):
                self.fleet.close()
            else:
                self.loop.close()
            self._patch.__exit__(None, None, None)


@contextlib.contextmanager
def open_walk(*, count: int, seed: int) -> Iterator[FleetWalk]:
    """Begins a walk whose events the caller plays, and ends it with quiet."""
    machine = FleetWalk()
    try:
        machine.begin(count=count, seed=seed)
        yield machine
    finally:
        machine.teardown()


def _is_in_force(
    host: simulated_fleet.Host, change: simulated_fleet.Change
) -> bool:
    """Returns whether a host follows the latest change of an object."""
    if change.collection is Collection.CONFIGURATION:
        return host.version >= change.spec["version"]
    if change.collection is Collection.EVACUATIONS:
        evacuated = change.name in host.registry.evacuated_zones
        return evacuated == (change.spec is not None)
    if change.collection is Collection.SERVERS and (
        change.spec is None or change.spec["state"] != "ready"
    ):
        return change.name not in host.list_used()
    return True


def walk(
    *, examples: int, seed: int, steps: int = 20, shrink: bool = True
) -> BaseException | None:
    """Walks until something does not hold; returns the shortest walk found.

    Args:
      examples: The number of walks.
      seed: The seed of the walks.
      steps: The most events of a walk.
      shrink: Whether to look for a shorter walk that fails, for minutes.
    """
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        derandomize=False,
        report_multiple_bugs=False,
        phases=phases,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = hypothesis.seed(seed)(
        type("Walk", (FleetWalk,), {"__module__": __name__})
    )
    try:
        stateful.run_state_machine_as_test(machine, settings=settings)
    except (AssertionError, ExceptionGroup) as error:
        return error
    return None


def main(arguments: Sequence[str]) -> int:
    """Walks as often as is asked for; returns the exit code."""
    parser = argparse.ArgumentParser(prog="fleet_walks")
    parser.add_argument("--examples", type=int, default=100)
    parser.add_argument("--steps", type=int, default=20)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--strict", action="store_true")
    parser.add_argument(
        "--no-shrink", dest="shrink", action="store_false", default=True
    )
    parser.add_argument(
        "--mutation", choices=list(mutations.MUTATIONS), default=None
    )
    options = vars(parser.parse_args(arguments))
    began_s = time.process_time()
    FleetWalk.strict = options.pop("strict")
    with mutations.apply(options.pop("mutation")):
        error = walk(**options)
    took_s = time.process_time() - began_s
    print(f"{options}: {FleetWalk.count} walks, {took_s:.1f} s")
    if error is None:
        return 0
    print(error, *getattr(error, "__notes__", ()), sep="\n")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
