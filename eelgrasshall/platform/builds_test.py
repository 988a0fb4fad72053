"""Tests of hosts of the build before beside hosts of the current one.

While a fleet is upgraded, both run side by side, so each message between hosts
is a contract between two builds.  The build before is the commit that
`deploy/system.toml` names as the one in production, taken from the history.
"""

import asyncio
import collections
import io
import json
import pathlib
import signal
import subprocess
import tarfile
import time
import tomllib
from typing import NamedTuple

import pytest

from eelgrasshall.platform import fault_proxy
from eelgrasshall.platform import fleet as fleet_module

_ROOT = pathlib.Path(__file__).parents[2]
_TRIES_PER_S = 30
_KINDS = ("search", "single", "once")
_WINDOW_S = 4.0
# A configuration is in force everywhere within this time, and a host that was
# stopped has ended within its grace time.
_APPLY_S = 3.0
_GRACE_S = 6.0
# Time after which a cut host serves its callers through others.
_CONTACT_S = 4.0


# The last build whose hosts pass the keys of relayed requests on.
_BUILD_WITHOUT_WORKSPACES = "67d69e73e80f08058c7e57725620acdee09ae157"


@pytest.fixture(scope="module")
def old_build(tmp_path_factory) -> pathlib.Path:
    """The sources of the build in production."""
    settings = tomllib.loads((_ROOT / "deploy/system.toml").read_text())
    folder = tmp_path_factory.mktemp("old_build")
    return _extract_build(settings["production"], folder)


@pytest.fixture(scope="module")
def build_without_workspaces(tmp_path_factory) -> pathlib.Path:
    """The sources of a build that passes keys on."""
    folder = tmp_path_factory.mktemp("build_without_workspaces")
    return _extract_build(_BUILD_WITHOUT_WORKSPACES, folder)


def _extract_build(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Takes the sources of a build from the history into a folder."""
    archive = subprocess.run(
        ["git", "archive", commit, "eelgrasshall"],
        cwd=_ROOT,
        capture_output=True,
        check=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as sources:
        sources.extractall(folder, filter="data")
    return folder


class _Try(NamedTuple):
    """A caller's first try.

    Attributes:
      request_id: Its id.
      kind: Its route.
      sent_s: When it was sent, monotonic.
      status: Status of the answer; 0 if there was none.
    """

    request_id: str
    kind: str
    sent_s: float
    status: int


class _Callers:
    """Callers that use the hosts that have not been told to stop."""

    def __init__(
        self, fleet: fleet_module.Fleet, kinds: tuple[str, ...] = _KINDS
    ):
        self.tries: list[_Try] = []
        self._kinds = kinds
        self.hosts = list(fleet.host_names)
        self._fleet = fleet
        self._number = 0
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Waits until all tries are answered."""
        self.hosts.clear()
        await self._task

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as group:
            while self.hosts:
                self._number += 1
                name = self.hosts[self._number % len(self.hosts)]
                group.create_task(self._send(self._number, name))
                await asyncio.sleep(1 / _TRIES_PER_S)

    async def _send(self, number: int, name: str) -> None:
        kind = self._kinds[number % len(self._kinds)]
        sent_s = time.monotonic()
        try:
            status, _, _ = await self._fleet.send_request(
                name, f"/{kind}/{number}", f"t{number}"
            )
        except (OSError, TimeoutError):
            status = 0
        self.tries.append(_Try(f"t{number}", kind, sent_s, status))


async def _replace(fleet, callers, name: str, tree: pathlib.Path | None):
    """Stops a host as planned and starts it from other sources."""
    callers.hosts.remove(name)
    fleet.signal_host(name, signal.SIGTERM)
    process = fleet.processes[name]
    assert await asyncio.wait_for(process.wait(), _GRACE_S) == 0
    if tree is None:
        fleet.source_trees.pop(name, None)
    else:
        fleet.source_trees[name] = tree
    await fleet.start_host(name)
    await fleet.wait_ready(name)
    callers.hosts.append(name)


async def _check_configuration(fleet, path: str) -> None:
    """Publishes a configuration and checks that all hosts have it in time."""
    fleet.publish_configuration(pathPrefix=path)
    await asyncio.sleep(_APPLY_S)
    for name in fleet.host_names:
        status, _, _ = await fleet.send_request(name, f"{path}x", f"c{name}")
        assert status == 200, name
    fleet.publish_configuration()


async def _crash(fleet, target: str, first: list[str], then: list[str]):
    """Repeats a harmful request at some hosts, and then at the others.

    Returns:
      Number of servers that it has crashed before and after that.
    """
    counts = []
    for names, tries in ((first, 12), (then, 4)):
        for number in range(tries):
            name = names[number % len(names)]
            await fleet.send_request(
                name, target, f"{target}-{name}-{number}", budget_ms=1500
            )
            await asyncio.sleep(0.5)
        await asyncio.sleep(1.5)
        counts.append(
            sum(each.target == target.encode() for each in fleet.crashes)
        )
    return counts[0], counts[1] - counts[0]


def _read_events(fleet, name: str) -> collections.Counter:
    lines = fleet.read_log(name).splitlines()
    return collections.Counter(json.loads(line)["event"] for line in lines)


def _check_tries(fleet, tries: list[_Try], *, served: float) -> None:
    """Checks that all tries were answered, truthfully, and most served."""
    executed = collections.Counter(
        request_id
        for server in fleet.servers.values()
        for request_id, _ in server.executed
    )
    assert tries
    for each in tries:
        assert each.status in (200, 502, 503, 504), each
        if each.kind == "once":
            limit = 0 if each.status == 503 else 1
            assert executed[each.request_id] <= limit, each
    good = sum(each.status == 200 for each in tries)
    assert good >= served * len(tries), (good, len(tries))


async def test_hosts_are_replaced_one_by_one_and_back(tmp_path, old_build):
    fleet = fleet_module.Fleet(folder=tmp_path, hosts=4, shards=2, replicas=3)
    fleet.source_trees = dict.fromkeys(fleet.host_names, old_build)
    try:
        fleet.store.era = 1
        await fleet.start()
        for name in fleet.host_names:
            await fleet.wait_ready(name)
        # Searches are moved to other paths meanwhile.
        callers = _Callers(fleet, ("single", "once"))
        await asyncio.sleep(1.0)
        for tree in (None, old_build):
            for number, name in enumerate(fleet.host_names):
                await _replace(fleet, callers, name, tree)
                if number == 1:
                    await _check_configuration(fleet, f"/moved{id(tree)}/")
                    # The store comes back from a copy without later changes.
                    copy = fleet.store.take_copy()
                    fleet.register_server("shard0-0", state="draining")
                    await asyncio.sleep(1.0)
                    fleet.store.restore(copy)
                    fleet.register_server("shard0-0")
            await _check_configuration(fleet, f"/all{id(tree)}/")
        await callers.stop()
        _check_tries(fleet, callers.tries, served=0.98)
        for name in fleet.host_names:
            assert not _read_events(fleet, name)["malformed_datagram"]
    finally:
        await fleet.stop()


async def test_two_builds_share_what_they_know(tmp_path, old_build):
    # Half of the hosts run each build.
    fleet = fleet_module.Fleet(
        folder=tmp_path, hosts=4, shards=2, replicas=3, links=True
    )
    old, new = fleet.host_names[:2], fleet.host_names[2:]
    fleet.source_trees = dict.fromkeys(old, old_build)
    try:
        await fleet.start()
        for name in fleet.host_names:
            await fleet.wait_ready(name)
        await asyncio.sleep(1.0)
        callers = _Callers(fleet)
        # What hosts of one build find out is known to those of the other.
        for first, then in ((old, new), (new, old)):
            crashed, more = await _crash(
                fleet, f"/search/crash-{first[0]}", first, then
            )
            assert crashed >= 3
            assert more == 0, first
        # A host of either build that is cut off is served by the others.
        for name in (old[0], new[0]):
            fleet.cut_host(name, fault_proxy.Cut.HANG)
            await asyncio.sleep(_CONTACT_S)
            statuses = [
                (await fleet.send_request(name, "/search/x", f"u{i}"))[0]
                for i in range(20)
            ]
            fleet.mend_host(name)
            await asyncio.sleep(2.0)
            assert statuses.count(200) >= 18, (name, statuses)
        # Hosts that know rates pass them on; the others ignore that.
        fleet.servers["shard0-0"].rate_limit = 4.0
        await asyncio.sleep(2.0)
        await callers.stop()
        _check_tries(fleet, callers.tries, served=0.8)
        for name in fleet.host_names:
            events = _read_events(fleet, name)
            assert events["server_limit"]
            assert not events["malformed_datagram"]
            assert not events["handler_error"]
    finally:
        await fleet.stop()


async def test_rates_of_servers_hold_over_all_hosts(tmp_path):
    # One host alone keeps to a rate easily; three times as much arrived.
    fleet = fleet_module.Fleet(folder=tmp_path, hosts=4, shards=2, replicas=2)
    limited = fleet.servers["shard0-0"]
    rate = 3.0
    try:
        await fleet.start()
        for name in fleet.host_names:
            await fleet.wait_ready(name)
        callers = _Callers(fleet)
        await asyncio.sleep(6.5)
        limited.rate_limit = rate
        begun_s = time.monotonic()
        await asyncio.sleep(8.0)
        callers.hosts.remove("host1")
        fleet.signal_host("host1", signal.SIGTERM)
        await asyncio.sleep(4.0)
        ended_s = time.monotonic()
        limited.rate_limit = None
        await asyncio.sleep(4.0)
        await callers.stop()
        arrivals = [at_s for at_s, _ in limited.arrivals]
        during = [at_s for at_s in arrivals if begun_s + 0.5 <= at_s < ended_s]
        most = max(
            sum(1 for at_s in during if 0 <= at_s - start_s < _WINDOW_S)
            for start_s in during
        )
        assert most <= 1.5 * rate * _WINDOW_S + 5
        # It is still used, and more than that once the limit has ended.  Hosts
        # of other zones prefer the other server of the shard.
        assert len(during) >= 0.25 * rate * (ended_s - begun_s)
        after = [at_s for at_s in arrivals if at_s >= ended_s + 2.0]
        assert len(after) >= 2 * rate * 2.0
        _check_tries(fleet, callers.tries, served=0.99)
    finally:
        await fleet.stop()


_KEY = ("Authorization", "Bearer k-acme")
_FORGED_MARK = ("Eelgrasshall-Relayed-Workspace", "zoo")


def _make_fleet_with_workspaces(
    folder: pathlib.Path, *, build: pathlib.Path
) -> fleet_module.Fleet:
    """Returns a fleet of three hosts, of which the first has another build."""
    fleet = fleet_module.Fleet(
        folder=folder, hosts=3, shards=2, replicas=2, links=True
    )
    fleet.tenants = [
        {"name": "acme", "apiKeys": ["k-acme"]},
        {"name": "zoo", "apiKeys": ["k-zoo"]},
    ]
    fleet.source_trees = {"host0": build}
    return fleet


async def _start_with_cut(fleet: fleet_module.Fleet, name: str) -> None:
    """Starts a fleet and cuts a host off from the servers."""
    await fleet.start()
    for each in fleet.host_names:
        await fleet.wait_ready(each)
    await asyncio.sleep(1.0)
    fleet.cut_host(name, fault_proxy.Cut.HANG)
    await asyncio.sleep(_CONTACT_S)


async def _count_statuses(
    fleet: fleet_module.Fleet, name: str, prefix: str, *headers: tuple[str, str]
) -> collections.Counter:
    """Sends 15 searches to a host; returns how often each status came back."""
    statuses = collections.Counter()
    for number in range(15):
        status, _, _ = await fleet.send_request(
            name, "/search/x", f"{prefix}{number}", headers=headers
        )
        statuses[status] += 1
    return statuses


def _list_identities(fleet: fleet_module.Fleet, prefix: str) -> list:
    """Returns the workspace and the credential of searches at servers."""
    return [
        (each.get_header(b"x-tenant"), each.get_header(b"authorization"))
        for server in fleet.servers.values()
        for each in server.requests
        if each.get_header(b"x-attempt-id").startswith(prefix.encode())
    ]


async def test_workspaces_are_relayed_between_hosts_that_know_them(
    tmp_path, build_without_workspaces
):
    # Hosts of that build send the key on, or no name.
    fleet = _make_fleet_with_workspaces(
        tmp_path, build=build_without_workspaces
    )
    try:
        await _start_with_cut(fleet, "host1")
        statuses = await _count_statuses(fleet, "host1", "new", _KEY)
        assert statuses == {200: 15}
        assert set(_list_identities(fleet, "new")) == {(b"acme", None)}
        # Only a host of that build is left to help.
        fleet.signal_host("host2", signal.SIGKILL)
        await asyncio.sleep(2.0)
        statuses = await _count_statuses(fleet, "host1", "none", _KEY)
        assert statuses == {503: 15}
        assert _list_identities(fleet, "none") == []
        # A host of that build passes on the key, and what a caller sets.
        fleet.mend_host("host1")
        await asyncio.sleep(2.0)
        fleet.cut_host("host0", fault_proxy.Cut.HANG)
        await asyncio.sleep(_CONTACT_S)
        statuses = await _count_statuses(
            fleet, "host0", "old", _KEY, _FORGED_MARK
        )
        assert statuses == {200: 15}
        assert set(_list_identities(fleet, "old")) == {(b"acme", None)}
        statuses = await _count_statuses(
            fleet, "host0", "unknown", _FORGED_MARK
        )
        assert statuses == {401: 15}
    finally:
        await fleet.stop()


async def test_workspaces_are_relayed_to_the_build_before_and_back(
    tmp_path, old_build
):
    fleet = _make_fleet_with_workspaces(tmp_path, build=old_build)
    try:
        await _start_with_cut(fleet, "host1")
        fleet.signal_host("host2", signal.SIGKILL)
        await asyncio.sleep(2.0)
        statuses = await _count_statuses(fleet, "host1", "to-old", _KEY)
        assert statuses == {200: 15}
        assert set(_list_identities(fleet, "to-old")) == {(b"acme", None)}
        fleet.mend_host("host1")
        await asyncio.sleep(2.0)
        fleet.cut_host("host0", fault_proxy.Cut.HANG)
        await asyncio.sleep(_CONTACT_S)
        statuses = await _count_statuses(fleet, "host0", "to-new", _KEY)
        assert statuses == {200: 15}
        assert set(_list_identities(fleet, "to-new")) == {(b"acme", None)}
    finally:
        await fleet.stop()


async def test_rollout_beside_a_host_that_does_not_know_rollouts(
    tmp_path, old_build
):
    # The revisions of the fifth collection stand where the build before could
    # read a kept version, and it gets datagrams that it does not know.
    fleet = fleet_module.Fleet(folder=tmp_path, hosts=3, contracts=("rollout",))
    fleet.versions = {
        name: "v2" if name.endswith("-1") else "v1" for name in fleet.servers
    }
    fleet.source_trees["host2"] = old_build
    service = fleet.shards[-1]
    callers = None
    try:
        await fleet.start()
        for name in fleet.host_names:
            await fleet.wait_ready(name)
        callers = _Callers(fleet, kinds=("single",))
        callers.hosts = fleet.host_names[:2]
        await asyncio.sleep(1.0)
        spec = {"service": service, "targetVersion": "v2", "periodS": 20}
        fleet.store.put("rollouts", service, spec)
        await _check_configuration(fleet, "/moved/")
        status = {"state": "running", "targetVersion": "v2"}
        assert fleet.store.get_status("rollouts", service) == status
        await asyncio.sleep(18.0)
        status = {"state": "completed", "targetVersion": "v2"}
        assert fleet.store.get_status("rollouts", service) == status
        await callers.stop()
        assert {each.status for each in callers.tries} == {200}
        # One that has just started fetches from a host of the other build.
        for name in ("host2", "host0"):
            fleet.signal_host(name, signal.SIGKILL)
            await fleet.processes[name].wait()
            await fleet.start_host(name)
            await fleet.wait_ready(name)
        await _check_configuration(fleet, "/again/")
        for name in fleet.host_names:
            for event in ("malformed_datagram", "unreadable", "task_failed"):
                assert f'"event": "{event}"' not in fleet.read_log(name)
    finally:
        if callers is not None:
            callers.hosts = []
        await fleet.stop()
