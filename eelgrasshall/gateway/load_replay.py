"""Replays typical loads against the load-balancing code, in virtual time.

Compares policies side by side:

  python -m eelgrasshall.gateway.load_replay calm slow --seeds 3
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import math
import random as random_module
from typing import Any
from typing import NamedTuple
from unittest import mock
import zlib

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import load_balancing
from eelgrasshall.gateway import load_model
from eelgrasshall.gateway import simulated_server
from eelgrasshall.gateway import upstream
from eelgrasshall.gateway import virtual_time

SHARD_COUNT = 36
REPLICAS = 3
SLOTS = 4
RATE_PER_S = 66.0
PAUSE_S = 0.1
PAUSE_INTERVAL_S = 2.4
# Time that is left out of the results, until latencies are known.
WARM_UP_S = 2.0
# Time constant with which hosts forget what others had in flight.
GOSSIP_DECAY_S = 0.5
# Jitter that lets only a part of the hosts move to a slightly better server.
BOUNDED_MOVES_JITTER = 1.0
# Interval at which the load of all servers is observed.
SAMPLE_INTERVAL_S = 0.01


class Scenario(NamedTuple):
    """A load to replay.

    Attributes:
      hosts: Number of active hosts.
      duration_s: Duration of the replay, seconds.
      start_s: Start of what is measured, seconds.
      end_s: End of what is measured, seconds.
      prepare: Adds bursts and faults to a simulation.
    """

    hosts: int = 3
    duration_s: float = 14.0
    start_s: float = WARM_UP_S
    end_s: float = 14.0
    prepare: Callable[[load_model.Simulation, random_module.Random], None] = (
        lambda simulation, random: None
    )


class Figures(NamedTuple):
    """The results of a replay.

    Attributes:
      requests: Number of callers' requests.
      in_time: Share of the requests answered within their objective.
      credit: Credit earned, as a share of the worth asked for.
      served: Share of the requests answered at all.
      remote: Share of the attempts sent to servers of other zones.
      extra: Attempts beyond the first, as a share of the first.
      spread: Mean difference between the most and least loaded server of a
        shard, requests.
      uneven: Share of time that a server has more requests than slots while
        another server of its shard has free slots.
      part_p99_s: 99th percentile of the latencies of attempts, seconds.
      search_p99_s: 99th percentile of the latencies of searches, seconds.
    """

    requests: float
    in_time: float
    credit: float
    served: float
    remote: float
    extra: float
    spread: float
    uneven: float
    part_p99_s: float
    search_p99_s: float


def make_kinds(shards: tuple[str, ...]) -> list[load_model.Kind]:
    """Returns short and long searches over all shards, in equal numbers."""
    short = fakes.make_route(
        "short",
        path_prefix="/short/",
        shards=shards,
        objective_s=0.059,
        timeout_s=0.6,
        max_attempts=3,
        min_share=0.85,
    )
    long = short._replace(
        name="long", path_prefix="/long/", objective_s=0.138, timeout_s=1.4
    )
    rate_per_s = RATE_PER_S / 2
    return [
        load_model.Kind(short, rate_per_s, 0.00375, 0.6, 1.0),
        load_model.Kind(long, rate_per_s, 0.0112, 1.4, 1.0),
    ]


@contextlib.contextmanager
def _record_latencies() -> Iterator[list[float]]:
    """Collects the latencies of all attempts of all hosts, seconds."""
    latencies_s: list[float] = []
    record = hedging.LatencyWindow.record

    def record_both(window: hedging.LatencyWindow, latency_s: float) -> None:
        record(window, latency_s)
        latencies_s.append(latency_s)

    with mock.patch.object(hedging.LatencyWindow, "record", record_both):
        yield latencies_s


class _LoadObserver:
    """Observes the load of the servers of each shard.

    Args:
      simulation: The simulation.
      scenario: What is replayed.
    """

    def __init__(self, simulation: load_model.Simulation, scenario: Scenario):
        self._loop = simulation.loop
        self._scenario = scenario
        self._shards: dict[str, list[simulated_server.Server]] = {}
        for server in simulation.servers.values():
            self._shards.setdefault(server.server.service, []).append(server)
        self._spread_sum = 0
        self._samples = 0
        self._uneven_count = 0
        self._loop.call_later(scenario.start_s, self._observe)

    def _observe(self) -> None:
        for servers in self._shards.values():
            loads = [server.load for server in servers]
            self._spread_sum += max(loads) - min(loads)
            self._samples += 1
            if min(loads) < SLOTS:
                self._uneven_count += sum(load > SLOTS for load in loads)
        if self._loop.time() < self._scenario.end_s:
            self._loop.call_later(SAMPLE_INTERVAL_S, self._observe)

    @property
    def spread(self) -> float:
        """Mean difference between the most and the least load in a shard."""
        return self._spread_sum / max(self._samples, 1)

    @property
    def uneven(self) -> float:
        """Share of servers' time over the slots while others have free ones."""
        return self._uneven_count / max(self._samples * REPLICAS, 1)


def replay(scenario: Scenario, seed: int, policy: str) -> Figures:
    """Replays a scenario with a policy."""
    with POLICIES[policy]() as options:
        return _replay(scenario, seed, options)


def _replay(scenario: Scenario, seed: int, options: dict[str, Any]) -> Figures:
    """Replays a scenario with options of the simulation."""
    loop = virtual_time.VirtualTimeLoop()
    shards = tuple(f"p{i}" for i in range(SHARD_COUNT))
    simulation = load_model.Simulation(
        loop=loop,
        seed=seed,
        kinds=make_kinds(shards),
        shards=shards,
        replicas=REPLICAS,
        slots=SLOTS,
        hosts=scenario.hosts,
        pause_s=PAUSE_S,
        pause_interval_s=PAUSE_INTERVAL_S,
        rotate_speeds=True,
        cross_zone_delay_s=simulated_server.CROSS_ZONE_DELAY_S,
        **options,
    )
    scenario.prepare(simulation, random_module.Random(seed))
    observer = _LoadObserver(simulation, scenario)
    with _record_latencies() as latencies_s:
        simulation.run(scenario.duration_s)
    loop.close()
    return _measure(simulation, scenario, observer, latencies_s)


def _measure(
    simulation: load_model.Simulation,
    scenario: Scenario,
    observer: _LoadObserver,
    latencies_s: list[float],
) -> Figures:
    """Returns the results of a simulation that has run."""
    span = (scenario.start_s, scenario.end_s)
    summary = load_model.summarize(simulation.results, *span)
    sent = remote = 0
    for server in simulation.servers.values():
        for arrived_s, host in server.arrival_log:
            if span[0] <= arrived_s < span[1]:
                sent += 1
                remote += server.is_remote_to(host)
    counters = simulation.metrics.counters
    extra = counters["hedges"] + counters["repeats"]
    total = counters["attempts_sent"]
    took_s = [
        result.took_s
        for result in simulation.results
        if span[0] <= result.arrived_s < span[1]
    ]
    return Figures(
        requests=summary.requests,
        in_time=summary.in_time,
        credit=summary.credit,
        served=summary.served,
        remote=remote / max(sent, 1),
        extra=extra / max(total - extra, 1),
        spread=observer.spread,
        uneven=observer.uneven,
        part_p99_s=_find_quantile(latencies_s, 0.99),
        search_p99_s=_find_quantile(took_s, 0.99),
    )


def _find_quantile(values: Sequence[float], share: float) -> float:
    """Returns a quantile; NaN without values."""
    if not values:
        return math.nan
    return sorted(values)[min(int(len(values) * share), len(values) - 1)]


def choose_servers(
    simulation: load_model.Simulation,
    random: random_module.Random,
    share: float,
) -> list[simulated_server.Server]:
    """Returns a random sample of the servers."""
    servers = sorted(simulation.servers)
    count = round(len(servers) * share)
    return [simulation.servers[each] for each in random.sample(servers, count)]


def _slow_servers(
    simulation: load_model.Simulation, random: random_module.Random
) -> None:
    """Makes 15% of the servers slow for 8 s."""
    for server in choose_servers(simulation, random, 0.15):
        server.slowdowns.append(
            simulated_server.Span(4.0, 12.0, random.uniform(8.5, 12.0))
        )


def _slow_server(
    simulation: load_model.Simulation, random: random_module.Random
) -> None:
    """Makes one server slow for 8 s."""
    (server,) = random.sample(sorted(simulation.servers), 1)
    simulation.servers[server].slowdowns.append(
        simulated_server.Span(4.0, 12.0, 10.0)
    )


def _burst(
    simulation: load_model.Simulation, random: random_module.Random
) -> None:
    """Raises the load 2.6 times for 4 s."""
    del random
    simulation.bursts.append(simulated_server.Span(6.0, 10.0, 2.6))


def _burst_and_slow_servers(
    simulation: load_model.Simulation, random: random_module.Random
) -> None:
    """Raises the load while 15% of the servers are slow."""
    _burst(simulation, random)
    _slow_servers(simulation, random)


def _slow_shards(
    count: int, factor: float
) -> Callable[[load_model.Simulation, random_module.Random], None]:
    """Returns what makes all servers of some shards slow for 2 s."""

    def prepare(
        simulation: load_model.Simulation, random: random_module.Random
    ) -> None:
        shards = sorted(
            {each.server.service for each in simulation.servers.values()}
        )
        chosen = random.sample(shards, count)
        for server in simulation.servers.values():
            if server.server.service in chosen:
                server.slowdowns.append(simulated_server.Span(4.0, 6.0, factor))

    return prepare


SCENARIOS = {
    "calm": Scenario(),
    "calm6": Scenario(hosts=6),
    "calm30": Scenario(hosts=30),
    "calm130": Scenario(hosts=130),
    "slow": Scenario(start_s=4.0, end_s=12.0, prepare=_slow_servers),
    "after_slow": Scenario(
        duration_s=18.0, start_s=14.0, end_s=18.0, prepare=_slow_servers
    ),
    "slow6": Scenario(hosts=6, start_s=4.0, end_s=12.0, prepare=_slow_servers),
    "slow30": Scenario(
        hosts=30, start_s=4.0, end_s=12.0, prepare=_slow_servers
    ),
    "slow130": Scenario(
        hosts=130, start_s=4.0, end_s=12.0, prepare=_slow_servers
    ),
    "slow_server": Scenario(start_s=4.0, end_s=12.0, prepare=_slow_server),
    # Whole shards: few enough for partial answers, and too many.
    "shards_slow": Scenario(
        duration_s=10.0, start_s=4.0, end_s=6.0, prepare=_slow_shards(4, 12.0)
    ),
    "shards_stuck": Scenario(
        duration_s=10.0, start_s=4.0, end_s=6.0, prepare=_slow_shards(4, 100.0)
    ),
    "many_shards_stuck": Scenario(
        duration_s=10.0, start_s=4.0, end_s=6.0, prepare=_slow_shards(8, 100.0)
    ),
    "after_shards_stuck": Scenario(
        duration_s=10.0, start_s=6.0, end_s=8.0, prepare=_slow_shards(4, 100.0)
    ),
    "after_many_shards_stuck": Scenario(
        duration_s=10.0, start_s=6.0, end_s=8.0, prepare=_slow_shards(8, 100.0)
    ),
    "burst": Scenario(start_s=6.0, end_s=10.0, prepare=_burst),
    "burst_slow": Scenario(
        start_s=6.0, end_s=10.0, prepare=_burst_and_slow_servers
    ),
}


@contextlib.contextmanager
def _use_present_policy() -> Iterator[dict[str, Any]]:
    """Compares the policy that charges a fixed cost for another zone."""
    yield {}


@contextlib.contextmanager
def _use_zone_policy() -> Iterator[dict[str, Any]]:
    """Compares the policy that spends time to spare on staying in the zone."""
    yield {"keeps_to_zone": True}


def _choose_in_zone(
    choose: Callable[..., upstream.Backend],
) -> Callable[..., upstream.Backend | None]:
    """Returns a policy that chooses among the servers that keep to the zone."""

    def choose_backend(
        candidates: Sequence[upstream.Backend],
        *,
        random: random_module.Random,
        **signals: Any,
    ) -> upstream.Backend | None:
        chosen = load_balancing.list_in_time(candidates, **signals)
        chosen = chosen or list(candidates)
        return choose(chosen, random, signals) if chosen else None

    return choose_backend


def _estimate(backend: upstream.Backend, signals: dict[str, Any]) -> float:
    """Returns the expected time that the policy in force uses."""
    return load_balancing.estimate_time_s(
        backend,
        expected_latency_s=signals["expected_latency_s"],
        now=signals["now"],
        budget_used=signals["budget_used"],
    )


def _choose_of_two(
    candidates: list[upstream.Backend],
    random: random_module.Random,
    signals: dict[str, Any],
) -> upstream.Backend:
    """Chooses the one of two random servers with fewer requests in flight."""
    two = random.sample(candidates, min(2, len(candidates)))
    return min(
        two, key=lambda each: (len(each.pending), _estimate(each, signals))
    )


def _choose_by_spare_capacity(
    candidates: list[upstream.Backend],
    random: random_module.Random,
    signals: dict[str, Any],
) -> upstream.Backend:
    """Chooses with probabilities by the inverse squares of expected times."""
    weights = [_estimate(each, signals) ** -2 for each in candidates]
    return random.choices(candidates, weights)[0]


class _Subsets:
    """Chooses among two servers of a shard, by rendezvous hash of the host."""

    def __init__(self):
        # The hosts are numbered in the order in which they first choose.
        self._numbers: dict[upstream.Observer, int] = {}

    def choose(
        self,
        candidates: list[upstream.Backend],
        random: random_module.Random,
        signals: dict[str, Any],
    ) -> upstream.Backend:
        """Chooses the fastest server of the host's subset."""
        host = candidates[0].environment.observer
        number = self._numbers.setdefault(host, len(self._numbers))
        subset = sorted(
            candidates,
            key=lambda each: zlib.crc32(f"{number} {each.server.id}".encode()),
        )[:2]
        return min(
            subset,
            key=lambda each: (
                _estimate(each, signals)
                * (1.0 + load_balancing.JITTER * random.random())
            ),
        )


class _InFlightGossip:
    """Requests in flight at each server, as all hosts last told each other.

    Args:
      interval_s: Time between two rounds of gossip, seconds.
    """

    def __init__(self, interval_s: float):
        self._interval_s = interval_s
        self._told_s = 0.0
        self._backends: dict[str, set[upstream.Backend]] = {}
        self._told: dict[upstream.Backend, int] = {}
        self._totals: dict[str, int] = {}

    def estimate_load(self, backend: upstream.Backend) -> float:
        """Replaces the estimate that doubles what this host has in flight."""
        now = backend.environment.loop.time()
        server = backend.server
        self._backends.setdefault(server.id, set()).add(backend)
        if now - self._told_s >= self._interval_s:
            self._told_s = now
            self._told = {
                each: len(each.pending)
                for backends in self._backends.values()
                for each in backends
            }
            self._totals = {
                server_id: sum(self._told[each] for each in backends)
                for server_id, backends in self._backends.items()
            }
        others = self._totals.get(server.id, 0) - self._told.get(backend, 0)
        others *= math.exp(-(now - self._told_s) / GOSSIP_DECAY_S)
        return (len(backend.pending) + others) / max(server.slots, 1)


@contextlib.contextmanager
def _use_choice(
    choose: Callable[..., upstream.Backend],
) -> Iterator[dict[str, Any]]:
    """Compares another choice among the servers that keep to the zone."""
    with mock.patch.object(
        load_balancing, "choose_backend", _choose_in_zone(choose)
    ):
        yield {"keeps_to_zone": True}


@contextlib.contextmanager
def _use_gossip(interval_s: float) -> Iterator[dict[str, Any]]:
    """Compares the choice in force with what other hosts have in flight."""
    gossip = _InFlightGossip(interval_s)
    with mock.patch.object(
        load_balancing, "estimate_load", gossip.estimate_load
    ):
        yield {"keeps_to_zone": True}


@contextlib.contextmanager
def _use_bounded_moves() -> Iterator[dict[str, Any]]:
    """Compares more jitter, so that fewer hosts move at the same moment."""
    with mock.patch.object(load_balancing, "JITTER", BOUNDED_MOVES_JITTER):
        yield {"keeps_to_zone": True}


# What to compare.  Each gives the options of the simulation, and replaces code
# while it is entered.
POLICIES: dict[
    str, Callable[[], contextlib.AbstractContextManager[dict[str, Any]]]
] = {
    "present": _use_present_policy,
    "zone": _use_zone_policy,
    "two_choices": lambda: _use_choice(_choose_of_two),
    "spare_capacity": lambda: _use_choice(_choose_by_spare_capacity),
    "subset": lambda: _use_choice(_Subsets().choose),
    "gossip_0s": lambda: _use_gossip(0.0),
    "gossip_1s": lambda: _use_gossip(1.0),
    "gossip_2s": lambda: _use_gossip(2.0),
    "bounded_moves": _use_bounded_moves,
}


def _average(results: Sequence[Figures]) -> Figures:
    """Returns the mean of each figure."""
    return Figures(
        *(sum(values) / len(values) for values in zip(*results, strict=True))
    )


def main() -> None:
    """Prints the figures of scenarios under each policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="+", choices=sorted(SCENARIOS))
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    print("scenario policy", *Figures._fields)
    for scenario in options.scenarios:
        for policy in options.policies:
            figures = _average(
                [
                    replay(SCENARIOS[scenario], seed, policy)
                    for seed in range(1, options.seeds + 1)
                ]
            )
            print(scenario, policy, *(f"{each:.4f}" for each in figures))


if __name__ == "__main__":
    main()
