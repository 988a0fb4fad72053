"""Rollouts over whole fleets in simulated time, against the stated bounds.

The bounds are those of docs/design/hard-load.md: the exposure of a bad version,
the time until it gets no more requests, and the end state by the deadline.
"""

import pytest

from eelgrasshall.gateway import model
from eelgrasshall.gateway import rollout_model
from eelgrasshall.gateway import rollouts

_GOOD = rollout_model.GOOD
_FAILING = rollout_model.Quality(failed=0.4)
_SLOW = rollout_model.Quality(slow=0.6)
_BOUND = rollouts.Bound()
_BAD_COUNT = 50
_PERIOD_S = 12.0

_BAD = {
    "at once": lambda at_s, route, load: _FAILING,
    "altogether": lambda at_s, route, load: rollout_model.Quality(failed=1.0),
    "late": lambda at_s, route, load: _FAILING if at_s > 6 else _GOOD,
    "slow": lambda at_s, route, load: _SLOW,
    "on one route": lambda at_s, route, load: (
        _FAILING if route == "buy" else _GOOD
    ),
    "slow on one route": lambda at_s, route, load: (
        _SLOW if route == "buy" else _GOOD
    ),
    "under load": lambda at_s, route, load: _FAILING if load > 0.5 else _GOOD,
    "seldom": lambda at_s, route, load: rollout_model.Quality(failed=0.2),
}


def _start(**options) -> rollout_model.Simulation:
    """Returns a fleet that has run for a while and has just got an order."""
    simulation = rollout_model.Simulation(**options)
    simulation.run(0.0)
    simulation.order()
    return simulation


def _check_exposure(simulation: rollout_model.Simulation) -> None:
    requests, exposed = simulation.count_target(simulation.period_s)
    allowed = _BOUND.expose_share * requests + _BOUND.expose_slack
    assert exposed <= allowed, (exposed, requests)


def _check_end(simulation: rollout_model.Simulation) -> None:
    """Checks that hosts in contact stop in time after the 50th bad answer."""
    if len(simulation.bad_s) < _BAD_COUNT:
        return
    limit_s = sorted(simulation.bad_s)[_BAD_COUNT - 1] + _BOUND.rollback_s
    late = [
        each
        for each in simulation.sent
        if each.is_target and each.at_s > limit_s and not each.is_cut
    ]
    assert not late


@pytest.mark.parametrize("hosts", [3, 20, 80])
@pytest.mark.parametrize("kind", _BAD)
def test_bad_version_is_rolled_back_within_its_bounds(kind, hosts):
    for seed in range(1 if hosts > 20 else 3):
        simulation = _start(hosts=hosts, target=_BAD[kind], seed=seed)
        simulation.run(_PERIOD_S + 6.0)
        assert simulation.state is model.RolloutState.ROLLED_BACK, seed
        assert simulation.states[-1][0] <= _PERIOD_S
        _check_exposure(simulation)
        _check_end(simulation)


@pytest.mark.parametrize("hosts", [3, 20, 80])
def test_good_version_is_completed_by_the_deadline(hosts):
    for seed in range(1 if hosts > 20 else 4):
        simulation = _start(
            hosts=hosts, target=lambda at_s, route, load: _GOOD, seed=seed
        )
        simulation.run(_PERIOD_S + 3.0)
        assert simulation.state is model.RolloutState.COMPLETED, seed
        at_s, _ = simulation.states[-1]
        assert at_s <= _PERIOD_S
        # Nothing reaches the old servers once they have stopped.
        assert not any(
            each.at_s > at_s and not each.is_target for each in simulation.sent
        )


@pytest.mark.parametrize("rate", [5.0, 20.0, 600.0])
def test_good_version_of_a_small_or_large_service_is_completed(rate):
    for seed in range(3):
        simulation = _start(
            hosts=6,
            active=3,
            target=lambda at_s, route, load: _GOOD,
            rate=rate,
            seed=seed,
        )
        simulation.run(_PERIOD_S + 3.0)
        assert simulation.state is model.RolloutState.COMPLETED, seed
        assert simulation.states[-1][0] <= _PERIOD_S


@pytest.mark.parametrize("failed", [0.1, 0.4, 0.9])
@pytest.mark.parametrize("slow", [0.0, 0.5])
def test_fault_that_affects_both_versions_does_not_blame_the_good_one(
    failed, slow
):
    # A fault of the servers' common dependency, twice in the period.
    faulty = rollout_model.Quality(failed=failed, slow=slow * (1 - failed))

    def behave(at_s, route, load):
        return faulty if 2 < at_s < 5 or 7 < at_s < 9 else _GOOD

    for seed in range(5):
        simulation = _start(hosts=6, target=behave, old=behave, seed=seed)
        simulation.run(_PERIOD_S + 3.0)
        assert simulation.state is model.RolloutState.COMPLETED, seed


@pytest.mark.parametrize("hosts", [3, 20, 80])
def test_exposure_holds_through_restarts(hosts):
    # Each restarted host would get its share of the fixed part again.
    simulation = _start(
        hosts=hosts,
        active=min(hosts, 8),
        # Too seldom bad for a verdict, so that only the budget bounds it.
        target=lambda at_s, route, load: rollout_model.Quality(failed=0.04),
        rate=60.0,
    )

    def restart_all():
        for index in range(hosts):
            simulation.restart(index)

    times_s = [1.0 + 0.9 * number for number in range(10)]
    simulation.run(
        _PERIOD_S - rollouts.SWITCH_LEAD_S - 0.1,
        [(at_s, restart_all) for at_s in times_s],
    )
    _check_exposure(simulation)


@pytest.mark.parametrize("hosts", [3, 20, 80])
def test_exposure_holds_through_partitions(hosts):
    active = min(hosts, 8)
    simulation = _start(
        hosts=hosts,
        active=active,
        target=lambda at_s, route, load: rollout_model.Quality(failed=0.04),
        rate=60.0,
    )

    def split(groups):
        for index in range(hosts):
            simulation.cut(index, index % groups)

    simulation.run(
        _PERIOD_S - rollouts.SWITCH_LEAD_S - 0.1,
        [
            (1.0, lambda: split(2)),
            (3.0, lambda: split(1)),
            (4.0, lambda: split(3)),
            (7.0, lambda: split(1)),
        ],
    )
    _check_exposure(simulation)


def test_cut_off_host_keeps_to_its_fraction_and_follows_the_status():
    simulation = _start(
        hosts=6,
        active=3,
        target=lambda at_s, route, load: _FAILING,
    )
    simulation.run(
        _PERIOD_S + 4.0,
        [
            (0.8, lambda: simulation.cut(0, 1)),
            (_PERIOD_S + 1.0, lambda: simulation.cut(0, 0)),
        ],
    )
    assert simulation.state is model.RolloutState.ROLLED_BACK
    _check_exposure(simulation)
    _check_end(simulation)
    last = max(each.at_s for each in simulation.sent if each.is_target)
    assert last < _PERIOD_S + 2.0


def test_good_version_is_completed_though_a_cut_off_host_saw_few_answers():
    # A host that reaches the store but hears no other one sees too few answers.
    simulation = _start(
        hosts=6,
        active=3,
        target=lambda at_s, route, load: _GOOD,
        rate=30.0,
    )
    for index in (5,):
        simulation.cut(index, 0)
    simulation.run(_PERIOD_S + 3.0, [(0.9, lambda: simulation.cut(5, 2))])
    assert simulation.state is model.RolloutState.COMPLETED


def test_end_state_is_written_when_the_store_is_back():
    def set_down(down):
        simulation.store_down = down

    simulation = _start(
        hosts=20, active=3, target=lambda at_s, route, load: _FAILING
    )
    simulation.run(
        _PERIOD_S + 8.0,
        [
            (1.0, lambda: set_down(True)),
            (_PERIOD_S + 4, lambda: set_down(False)),
        ],
    )
    assert simulation.state is model.RolloutState.ROLLED_BACK
    # Hosts act at once on what they know.
    _check_exposure(simulation)
    _check_end(simulation)
