"""Any order of faults and changes keeps the bound on quotas in any window."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from eelgrasshall.gateway import model
from eelgrasshall.gateway import quota_account
from eelgrasshall.gateway import quota_model

_LIMITS = ((21.0, 21.0), (60.0, 10.0), (1.0, 1.0), (4.0, 0.0))
_EXAMPLES = int(os.environ.get("QUOTA_EXAMPLES", "12"))
# Requests per second that the callers send to each host, far beyond the limits.
_PRESSURE_PER_S = 40.0
# Time within which all hosts have a change of the configuration in force.
_CHANGE_S = 0.5


def _make_workspaces(limit):
    rate_per_s, burst = limit
    return {
        "w": model.Workspace(
            "w", frozenset(), rate_per_s=rate_per_s, burst=burst
        )
    }


class _Machine(stateful.RuleBasedStateMachine):
    """Hosts under pressure, faults and changes of the limit."""

    bound = quota_model.BOUND

    @stateful.initialize(
        size=st.sampled_from(((3, 3), (6, 6), (59, 3))),
        limit=st.sampled_from(_LIMITS),
        seed=st.integers(0, 1000),
    )
    def start(self, size, limit, seed):
        hosts, active = size
        self.fleet = quota_model.Fleet(
            hosts=hosts,
            active=active,
            workspaces=_make_workspaces(limit),
            seed=seed,
            bound=self.bound,
        )
        self.hosts = list(self.fleet.hosts.values())
        # Times from which limits were in force, and the limits.
        self.limits = [(0.0, limit)]
        self._press(self.hosts)

    def _press(self, hosts):
        def send():
            fleet = self.fleet
            interval_s = 1.0 / (_PRESSURE_PER_S * len(hosts))
            fleet.at(fleet.now + interval_s, send)
            fleet.request("w", fleet.random.choice(hosts))

        self.fleet.at(0.0, send)

    @stateful.rule(duration_s=st.sampled_from((0.1, 0.5, 1.0, 3.0, 7.0)))
    def wait(self, duration_s):
        self.fleet.run(self.fleet.now + duration_s)

    @stateful.rule(index=st.integers(0, 8))
    def restart_one(self, index):
        self.fleet.restart(self.hosts[index % len(self.hosts)])

    @stateful.rule()
    def restart_all(self):
        for host in self.hosts:
            self.fleet.restart(host)

    @stateful.rule(
        index=st.integers(0, 8), duration_s=st.sampled_from((0.5, 2.5, 4.0))
    )
    def freeze(self, index, duration_s):
        self.fleet.freeze(self.hosts[index % len(self.hosts)], duration_s)

    @stateful.rule(sides=st.lists(st.integers(0, 2), min_size=5, max_size=5))
    def cut(self, sides):
        self.fleet.cut(
            {
                name: sides[i % len(sides)]
                for i, name in enumerate(self.fleet.names)
            }
        )

    @stateful.rule()
    def heal(self):
        self.fleet.cut({})

    @stateful.rule(loss=st.sampled_from((0.0, 0.1, 0.3)))
    def lose_messages(self, loss):
        self.fleet.loss = loss

    @stateful.rule(limit=st.sampled_from(_LIMITS))
    def change_limit(self, limit):
        self.fleet.configure(_make_workspaces(limit))
        self.limits.append((self.fleet.now, limit))

    @stateful.rule(limit=st.sampled_from(_LIMITS))
    def remove_and_add(self, limit):
        for host in self.hosts:
            if host.quotas is not None:
                host.quotas.configure({}, self.fleet.now)
                host.quotas.configure(self.fleet.workspaces, self.fleet.now)
        self.change_limit(limit)

    @stateful.invariant()
    def keeps_the_bound(self):
        if not hasattr(self, "fleet"):
            return
        window_s = self.bound.window_s
        times = self.fleet.sent["w"]
        first = 0
        for last, time_s in enumerate(times):
            while times[first] <= time_s - window_s:
                first += 1
            since_s = time_s - 2.0 * window_s - _CHANGE_S
            limits = [
                limit
                for (_, limit), (next_s, _) in zip(
                    self.limits,
                    [*self.limits[1:], (float("inf"), None)],
                    strict=True,
                )
                if next_s > since_s
            ]
            allowed = max(
                (rate * window_s + burst) * (1.0 + self.bound.excess)
                + self.bound.slack
                for rate, burst in limits
            )
            assert last - first + 1 <= allowed
        # Windows that ended long ago have been checked.
        del times[: max(first - 1, 0)]


class _StrictMachine(_Machine):
    """The same with no allowance but one request: all parts add up exactly."""

    bound = quota_account.QuotaBound(window_s=5.0, excess=0.0, slack=1.0)


@pytest.mark.parametrize("machine", [_Machine, _StrictMachine])
def test_any_order_of_faults_and_changes_keeps_the_bound(machine):
    # Guards against tokens that two hosts count: after a restart, a takeover, a
    # suspension, a lost answer or a change of the limit.
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=_EXAMPLES,
            stateful_step_count=15,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
