"""Tests of announcements that hosts know workspaces."""

import json
import random as random_module

from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import peers
from eelgrasshall.gateway import workspace_hosts

_HOSTS = [f"front-{number:03}" for number in range(400)]
_ACTIVE = _HOSTS[:6]


def test_host_that_announces_it_knows_workspaces_until_it_does_not():
    # A host that was started again with the previous build does not announce.
    hosts = workspace_hosts.WorkspaceHosts()
    assert not hosts.knows("h1", 0.0)
    hosts.merge("h1", [["other", 1], [workspace_hosts.KIND, []]], 1.0)
    assert hosts.knows("h1", 2.0)
    hosts.merge("h1", [["other", 1]], 3.0)
    assert not hosts.knows("h1", 3.0)
    # What others still pass on is older.
    hosts.merge("h2", [[workspace_hosts.KIND, [["h1", 5]]]], 3.2)
    assert not hosts.knows("h1", 3.2)
    hosts.merge("h2", [[workspace_hosts.KIND, [["h1", 1]]]], 3.2)
    assert hosts.knows("h1", 3.2)


def test_statement_expires_though_it_is_passed_on_between_hosts():
    # Rounding ages down would keep it alive in a circle.
    circle = [workspace_hosts.WorkspaceHosts() for _ in range(2)]
    circle[0].merge("gone", [[workspace_hosts.KIND, []]], 0.0)
    now = 0.0
    while now <= workspace_hosts.STATEMENT_TTL_S:
        for sender, receiver in ((0, 1), (1, 0)):
            entry = circle[sender].make_announcement(["gone"], now)
            circle[receiver].merge(f"h{sender}", [entry], now)
            now += 0.01
    assert not any(hosts.knows("gone", now) for hosts in circle)


@pytest.mark.parametrize("loss", [0.0, 0.2])
@pytest.mark.parametrize(("count", "period_s"), [(60, 0.25), (400, 0.5)])
def test_announcements_of_active_hosts_reach_all_hosts_of_a_large_fleet(
    count, period_s, loss
):
    # Otherwise a cut-off host knows no helper.  Each host sends two datagrams
    # in a period, most of them within its zone, as heartbeats do.
    random = random_module.Random(3)
    names, now = _HOSTS[:count], 0.0
    zones = [names[number::3] for number in range(3)]
    fleet = {name: workspace_hosts.WorkspaceHosts() for name in names}
    oldest_s, complete_s = 0.0, None
    while now < 60.0:
        now += period_s
        for number, sender in enumerate(names):
            near = zones[number % 3]
            far = zones[(number + random.choice((1, 2))) % 3]
            is_far = random.random() < peers.FAR_SENDERS_PER_ZONE / len(near)
            passes_on = random.random() < workspace_hosts.PASS_ON_SHARE
            entry = fleet[sender].make_announcement(
                _ACTIVE if passes_on else (), now
            )
            for group in (near, far if is_far else near):
                target = random.choice(group)
                if target != sender and random.random() >= loss:
                    fleet[target].merge(sender, [entry], now)
        missing = any(
            not hosts.knows(active, now)
            for name, hosts in fleet.items()
            for active in _ACTIVE
            if active != name
        )
        if not missing:
            complete_s = complete_s or now
        assert not (complete_s and missing)
        if now > 30.0:
            oldest_s = max(
                oldest_s,
                *(
                    now - hosts._statements[active].stated_s
                    for name, hosts in fleet.items()
                    for active in _ACTIVE
                    if active != name
                ),
            )
    assert complete_s <= workspace_hosts.STATEMENT_TTL_S / 2
    assert oldest_s <= workspace_hosts.STATEMENT_TTL_S * 0.6


def test_announcement_is_small():
    # Heartbeats of a large fleet have to fit into one packet.
    hosts = workspace_hosts.WorkspaceHosts()
    for name in _HOSTS:
        hosts.merge(name, [[workspace_hosts.KIND, []]], 0.0)
    entry = hosts.make_announcement(_HOSTS, 24.9)
    assert len(json.dumps(entry, separators=(",", ":"))) < 200
    hosts.keep({"front-000"})
    assert hosts.make_announcement(_HOSTS, 1.0) == [
        workspace_hosts.KIND,
        [["front-000", 10]],
    ]


@given(
    entries=strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.sampled_from([workspace_hosts.KIND, "h2"]),
        lambda inner: (
            strategies.lists(inner, max_size=4)
            | inner.map(lambda value: [workspace_hosts.KIND, value])
            | inner.map(lambda value: ["h2", value])
        ),
        max_leaves=12,
    )
)
def test_malformed_entries_are_rejected(entries):
    hosts = workspace_hosts.WorkspaceHosts()
    try:
        hosts.merge("h1", entries, 100.0)
    except ValueError:
        assert not hosts.knows("h1", 100.0)
    else:
        json.dumps(hosts.make_announcement(["h1", "h2"], 100.0))
