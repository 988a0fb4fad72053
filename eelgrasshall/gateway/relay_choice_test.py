"""Tests of the choice of helpers, and of how it spreads requests."""

import collections
import random

import pytest

from eelgrasshall.gateway import active_hosts
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import relay_choice


def _make_helper(
    name: str, *, load: float = 0.0, cores: float = 1.0, zone: str = "b"
) -> relay_choice.Helper:
    """Returns a helper whose load is a share of its planned capacity."""
    host = fakes.make_host(name, cores=cores, zone=zone)
    return relay_choice.Helper(
        host, load * active_hosts.estimate_capacity(host)
    )


def _count_choices(helpers, *, in_flight=None, count=4000) -> dict[str, float]:
    """Returns the share of the choices that each helper gets."""
    generator = random.Random(5)
    chosen = collections.Counter(
        relay_choice.choose_helper(
            helpers,
            in_flight=in_flight or {},
            own_zone="a",
            tried=(),
            random=generator,
        ).name
        for _ in range(count)
    )
    return {each.host.name: chosen[each.host.name] / count for each in helpers}


def _choose(helpers, *, in_flight=None, tried=()) -> str | None:
    host = relay_choice.choose_helper(
        helpers,
        in_flight=in_flight or {},
        own_zone="a",
        tried=tried,
        random=random.Random(5),
    )
    return host.name if host else None


def test_idle_helpers_are_chosen_in_proportion_to_their_capacity():
    cores = {"h1": 0.5, "h2": 1.0, "h3": 1.0, "h4": 2.0, "h5": 4.0}
    helpers = [_make_helper(name, cores=each) for name, each in cores.items()]
    shares = _count_choices(helpers)
    for name, each in cores.items():
        assert shares[name] == pytest.approx(each / 8.5, rel=0.2)


def test_loaded_helper_is_chosen_less_often():
    shares = _count_choices(
        [_make_helper("h1", load=0.9)]
        + [_make_helper(f"h{i}", load=0.2) for i in range(2, 6)]
    )
    assert shares["h1"] < 0.05
    assert max(shares.values()) < 0.3


def test_own_requests_in_flight_count_as_load():
    helpers = [_make_helper(f"h{i}") for i in range(1, 6)]
    shares = _count_choices(helpers, in_flight={"h1": 20})
    assert shares["h1"] < 0.05


def test_least_loaded_helper_is_not_chosen_by_all_hosts():
    shares = _count_choices(
        [_make_helper("h1")]
        + [_make_helper(f"h{i}", load=0.5) for i in range(2, 6)]
    )
    assert 0.3 < shares["h1"] < 0.45


def test_own_zone_is_preferred_only_at_equal_load():
    near = _make_helper("near", zone="a", load=0.30)
    shares = _count_choices([near, _make_helper("far", load=0.27)])
    assert shares == {"near": 1.0, "far": 0.0}
    shares = _count_choices([near, _make_helper("far", load=0.20)])
    assert shares == {"near": 0.0, "far": 1.0}


def test_helper_that_was_tried_or_is_full_is_not_chosen():
    helpers = [_make_helper("h1"), _make_helper("h2")]
    full = {"h1": relay_choice.MAX_IN_FLIGHT_PER_HELPER}
    assert _choose(helpers, tried=["h1"]) == "h2"
    assert _choose(helpers, in_flight=full) == "h2"
    assert _choose(helpers, in_flight=full, tried=["h2"]) is None
    assert _choose([]) is None


def test_helper_without_known_capacity_can_be_chosen():
    assert _choose([_make_helper("h1", cores=0.0)]) == "h1"


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("load", [0.1, 0.6, 1.5])
def test_many_hosts_that_are_cut_off_spread_over_helpers_by_capacity(
    seed, load
):
    """Simulates hosts that know loads only from heartbeats.

    A heartbeat tells the attempts of the second before it, averaged as a host
    does it; a request is in flight for 50 ms.
    """
    generator = random.Random(seed)
    hosts = [
        fakes.make_host(f"h{i}", cores=cores, zone="abcab"[i])
        for i, cores in enumerate((0.1, 0.2, 0.2, 0.4, 0.8))
    ]
    capacities = {
        each.name: active_hosts.estimate_capacity(each) for each in hosts
    }
    own_zones = [generator.choice("abc") for _ in range(60)]
    tick_s, ticks_in_flight, seconds = 0.01, 5, 8
    per_tick = load * sum(capacities.values()) * tick_s
    rates = dict.fromkeys(capacities, 0.0)
    in_flight = [collections.Counter() for _ in own_zones]
    ending = collections.deque([] for _ in range(ticks_in_flight))
    total: collections.Counter[str] = collections.Counter()
    for _ in range(seconds):
        in_second: collections.Counter[str] = collections.Counter()
        helpers = [relay_choice.Helper(h, rates[h.name]) for h in hosts]
        for _ in range(int(1.0 / tick_s)):
            for sender, name in ending.popleft():
                in_flight[sender][name] -= 1
            started = []
            for _ in range(round(per_tick)):
                sender = generator.randrange(len(own_zones))
                host = relay_choice.choose_helper(
                    helpers,
                    in_flight=in_flight[sender],
                    own_zone=own_zones[sender],
                    tried=(),
                    random=generator,
                )
                in_flight[sender][host.name] += 1
                in_second[host.name] += 1
                started.append((sender, host.name))
            ending.append(started)
        total += in_second
        for name in rates:
            rates[name] = (rates[name] + in_second[name]) / 2
    for name, capacity in capacities.items():
        fair = total.total() * capacity / sum(capacities.values())
        assert 0.5 * fair < total[name] < 1.5 * fair


def test_helper_has_descriptors_for_the_requests_of_many_cut_hosts():
    # Each relayed request takes a connection.  A host has 4,100 descriptors, of
    # which 200 are not for sockets; in a zone of 65 hosts most may be cut off.
    assert 60 * relay_choice.MAX_IN_FLIGHT_PER_HELPER <= 4100 - 200
