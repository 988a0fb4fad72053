"""Tests of rollout on several hosts while the store and links fail."""

import asyncio
import random
import types

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall import invariants
from eelgrasshall.coordination import rollout
from eelgrasshall.protocol import platform as protocol
from eelgrasshall.state import configuration
from eelgrasshall.state import members
from eelgrasshall.transport import peers

_STORE_UNAVAILABLE = errors.Problem(
    errors.ProblemKind.STORE_UNAVAILABLE, "platform", "Out.", "Wait."
)
_HOST_COUNT = 3


class _FakeStore:
    """A store that can go down, lose replies and drop or delay writes."""

    def __init__(self, clock):
        self.clock = clock
        self.object = None
        self.previous_objects = []
        self.is_down = False
        self.fault = "none"
        self.late_writes = []

    def put(self, value, if_version):
        version = self.object.version if self.object else 0
        if if_version is not None and if_version != version:
            return protocol.Conflict(self.object)
        self.previous_objects.append(self.object)
        self.object = protocol.StoredObject("current", version + 1, value)
        return protocol.Written(version + 1)

    async def write(self, value, if_version):
        if self.fault == "late":
            self.late_writes.append((value, if_version))
            return protocol.UnknownOutcome(_STORE_UNAVAILABLE)
        if self.fault == "dropped":
            return protocol.UnknownOutcome(_STORE_UNAVAILABLE)
        result = self.put(value, if_version)
        if self.fault == "reply lost":
            return protocol.UnknownOutcome(_STORE_UNAVAILABLE)
        return result


class _StoreClient:
    """One host's client of the fake store."""

    def __init__(self, store):
        self.store = store
        self.is_disconnected = False
        self.is_watch_stalled = False

    @property
    def is_unavailable(self):
        return self.is_disconnected or self.store.is_down

    async def read(self, kind, name):
        if self.is_unavailable:
            return _STORE_UNAVAILABLE
        return self.store.object or protocol.NotFound(name)

    async def write(self, kind, name, value, if_version):
        # Lets other operators run between the read and the write.
        await asyncio.sleep(0)
        if self.is_unavailable:
            return _STORE_UNAVAILABLE
        return await self.store.write(value, if_version)

    async def watch(self, kind, name, after, timeout_s):
        end = self.store.clock.monotonic() + timeout_s
        while True:
            if self.is_unavailable:
                return _STORE_UNAVAILABLE
            found = self.store.object
            is_stalled = self.is_watch_stalled and timeout_s > 0
            if found and found.version > after and not is_stalled:
                return found
            if self.store.clock.monotonic() >= end:
                return protocol.NotChanged(after)
            await self.store.clock.sleep(0.5)


class _FakeMembership:
    """Membership and streams of one host, connected to the other hosts."""

    def __init__(self, cluster, own):
        self.cluster = cluster
        self.own = own

    def members(self):
        return tuple(self.cluster.members)

    def push(self):
        if self.cluster.pushes_to_drop > 0:
            self.cluster.pushes_to_drop -= 1
            return
        for member in self.cluster.members:
            self.exchange(member)

    async def exchange_heartbeat(self, member):
        return self.exchange(member)

    def set_version_callbacks(self, *, get_version, on_version):
        self.get_version = get_version
        self.on_version = on_version

    def exchange(self, member):
        other = self.cluster.memberships.get(member.name)
        if other in (None, self) or self.cluster.is_disconnected(
            self.own, member
        ):
            return False
        other.on_version(self.get_version(), self.own)
        self.on_version(other.get_version(), member)
        return True

    def get(self, member):
        async def fetch(known_version):
            if self.cluster.is_disconnected(self.own, member):
                raise peers.PeerError("cut")
            return self.cluster.managers[member.name].get_if_newer(
                known_version
            )

        return types.SimpleNamespace(fetch_configuration=fetch)


class _Cluster:
    """Hosts, each with a configuration manager, on one manual clock."""

    def __init__(self, seed=1):
        self.clock = clock_module.ManualClock()
        self.store = _FakeStore(self.clock)
        self.random = random.Random(seed)
        self.invariants = invariants.InvariantChecker(raising=True)
        self.members = [
            members.Member(f"h{i}", "a", "r", "h", 1, "h", i, 1)
            for i in range(_HOST_COUNT)
        ]
        self.store_clients, self.memberships, self.managers = {}, {}, {}
        self.disconnected_pairs = set()
        self.pushes_to_drop = 0

    def is_disconnected(self, one, other):
        return frozenset((one.name, other.name)) in self.disconnected_pairs

    def start(self, index):
        member = self.members[index]
        store_client = self.store_clients.setdefault(
            member.name, _StoreClient(self.store)
        )
        membership = self.memberships[member.name] = _FakeMembership(
            self, member
        )
        manager = rollout.ConfigurationManager(
            platform=store_client,
            streams=membership,
            membership=membership,
            clock=self.clock,
            random=self.random,
            invariants=self.invariants,
        )
        self.managers[member.name] = manager
        manager.start()
        return manager

    async def advance(self, seconds):
        for _ in range(int(seconds * 2)):
            await self.clock.advance(0.5)
            for membership in list(self.memberships.values()):
                membership.exchange(self.random.choice(self.members))

    async def apply(self, index, change_id, base=None, in_service=True):
        manager = self.managers[f"h{index}"]
        base = manager.version if base is None else base
        body = declare(change_id, in_service)
        task = asyncio.create_task(manager.apply(body, base))
        for _ in range(12):
            if not task.done():
                await self.clock.advance(1.0)
        return await task

    def list_versions(self):
        return [m.version for m in self.managers.values()]

    async def stop(self):
        for manager in self.managers.values():
            await manager.stop()


def declare(change_id, in_service=True):
    zone = configuration.Zone("a", "r", in_service)
    return configuration.format_configuration(
        configuration.Configuration(0, change_id, (zone,), (), ())
    )


async def _start_cluster(version=1):
    cluster = _Cluster()
    for index in range(_HOST_COUNT):
        cluster.start(index)
    for number in range(version):
        assert await cluster.apply(0, f"first{number}") == []
    await cluster.advance(5)
    assert cluster.list_versions() == [version] * _HOST_COUNT
    return cluster


async def test_accepted_change_survives_loss_of_its_host_during_store_outage():
    cluster = await _start_cluster()
    cluster.store_clients["h2"].is_disconnected = True
    assert await cluster.apply(0, "zone", in_service=False) == []
    cluster.store.is_down = True
    await cluster.managers["h0"].stop()
    del cluster.memberships["h0"]
    await cluster.advance(5)
    assert cluster.list_versions() == [2] * _HOST_COUNT
    await cluster.stop()


async def test_polling_finds_changes_that_stalled_watches_miss():
    cluster = await _start_cluster()
    for store_client in cluster.store_clients.values():
        store_client.is_watch_stalled = True
    cluster.disconnected_pairs |= {
        frozenset(("h0", "h1")),
        frozenset(("h0", "h2")),
    }
    value = dict(cluster.store.object.value, version=2, change_id="direct")
    cluster.store.put(value, None)
    await cluster.advance(8)
    assert cluster.list_versions() == [2] * _HOST_COUNT
    await cluster.stop()


async def test_invalid_object_is_reported_and_ignored():
    cluster = await _start_cluster()
    cluster.store.put({"version": 9, "zones": "none"}, None)
    await cluster.advance(8)
    assert cluster.list_versions() == [1] * _HOST_COUNT
    for manager in cluster.managers.values():
        assert manager.dump()["reports"]
    assert await cluster.apply(1, "repair") == []
    await cluster.advance(8)
    assert cluster.list_versions() == [2] * _HOST_COUNT
    await cluster.stop()


async def test_store_restored_to_older_version_is_reported_and_ignored():
    cluster = await _start_cluster(version=3)
    cluster.store.is_down = True
    await cluster.advance(8)
    cluster.store.object = cluster.store.previous_objects[-1]
    cluster.store.is_down = False
    await cluster.advance(8)
    assert cluster.list_versions() == [3] * _HOST_COUNT
    for manager in cluster.managers.values():
        assert "older" in manager.dump()["reports"][-1]
    cluster.start(1)
    await cluster.advance(8)
    assert cluster.list_versions() == [3] * _HOST_COUNT
    assert await cluster.apply(1, "again") == []
    await cluster.advance(8)
    assert cluster.list_versions() == [4] * _HOST_COUNT
    await cluster.stop()


async def test_host_started_during_store_outage_pulls_from_peers():
    cluster = await _start_cluster()
    cluster.store.is_down = True
    await cluster.managers["h1"].stop()
    assert cluster.start(1).version == 0
    await cluster.advance(2)
    assert cluster.list_versions() == [1] * _HOST_COUNT
    await cluster.stop()


async def test_hosts_started_during_store_outage_read_it_once_it_is_back():
    cluster = await _start_cluster()
    cluster.store.is_down = True
    for index in range(_HOST_COUNT):
        await cluster.managers[f"h{index}"].stop()
        cluster.start(index)
    await cluster.advance(30)
    assert cluster.list_versions() == [0] * _HOST_COUNT
    problems = await cluster.apply(0, "early")
    assert problems[0].kind is errors.ProblemKind.STORE_UNAVAILABLE
    cluster.store.is_down = False
    await cluster.advance(8)
    assert cluster.list_versions() == [1] * _HOST_COUNT
    await cluster.stop()


async def test_conflict_between_concurrent_changes_names_the_accepted_one():
    cluster = await _start_cluster()
    results = await asyncio.gather(
        cluster.apply(0, "mine", 1), cluster.apply(1, "yours", 1)
    )
    rejected = [problems for problems in results if problems]
    assert len(rejected) == 1
    assert rejected[0][0].kind is errors.ProblemKind.CONFIGURATION_CONFLICT
    winner = cluster.managers["h0"].current.change_id
    assert winner in rejected[0][0].what
    await cluster.stop()


async def test_retried_apply_is_recognized_and_edited_copy_is_a_new_change():
    cluster = await _start_cluster()
    assert await cluster.apply(0, "again", 1) == []
    assert await cluster.apply(1, "again", 1) == []
    assert cluster.managers["h0"].version == 2
    assert await cluster.apply(0, "again", 2) == []
    assert cluster.managers["h0"].version == 3
    assert cluster.managers["h0"].current.change_id != "again"
    await cluster.stop()


async def test_apply_returns_only_once_peers_have_the_change():
    cluster = await _start_cluster()
    cluster.pushes_to_drop = 4
    for store_client in cluster.store_clients.values():
        store_client.is_disconnected = (
            store_client is not cluster.store_clients["h0"]
        )
    assert await cluster.apply(0, "next") == []
    assert cluster.list_versions() == [2] * _HOST_COUNT
    await cluster.stop()


async def test_lost_write_that_was_overwritten_has_unknown_result():
    cluster = await _start_cluster()
    cluster.store.fault = "reply lost"
    manager = cluster.managers["h0"]
    task = asyncio.create_task(manager.apply(declare("next"), 1))
    for _ in range(20):
        await asyncio.sleep(0)
    assert cluster.store.object.version == 2
    cluster.store.put({"version": 99}, None)
    await cluster.advance(8)
    problems = await task
    assert problems[0].kind is errors.ProblemKind.REPLY_LOST
    assert "Whether change next was accepted is not known" in problems[0].what
    await cluster.stop()


async def test_new_host_repairs_store_only_after_all_peers_replied():
    cluster = await _start_cluster(version=2)
    cluster.store.put({"version": 99}, None)
    await cluster.managers["h1"].stop()
    cluster.start(1)
    cluster.disconnected_pairs |= {frozenset(("h0", "h1"))}
    problems = await cluster.apply(1, "repair", 0)
    assert problems and not cluster.store.object.value.get("zones")
    cluster.disconnected_pairs.clear()
    await cluster.advance(4)
    assert await cluster.apply(1, "repair") == []
    assert cluster.managers["h1"].version == 3
    await cluster.stop()


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Applies changes while the store, links and hosts fail in any order."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.cluster = self.run(self.start_cluster())
        self.highest_versions = dict.fromkeys(self.cluster.managers, 0)
        self.pending = []
        self.accepted = {}
        self.rejected = set()
        self.changes = 0

    async def start_cluster(self):
        cluster = _Cluster()
        for index in range(_HOST_COUNT):
            cluster.start(index)
        return cluster

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    hosts = st.integers(0, _HOST_COUNT - 1)

    @stateful.rule(index=hosts, versions_behind=st.sampled_from([0, 0, 0, 1]))
    def apply(self, index, versions_behind):
        manager = self.cluster.managers[f"h{index}"]
        self.changes += 1
        change_id = f"change{self.changes}"
        base = max(0, manager.version - versions_behind)

        async def begin():
            coroutine = manager.apply(declare(change_id), base)
            self.pending.append(
                (change_id, base, asyncio.create_task(coroutine))
            )

        self.run(begin())

    @stateful.rule(seconds=st.sampled_from([0.5, 2.0, 8.0]))
    def advance(self, seconds):
        self.run(self.cluster.advance(seconds))
        self.collect_results()

    @stateful.rule(is_down=st.booleans())
    def set_store_state(self, is_down):
        self.cluster.store.is_down = is_down

    @stateful.rule(
        fault=st.sampled_from(["none", "none", "reply lost", "dropped", "late"])
    )
    def set_fault(self, fault):
        self.cluster.store.fault = fault

    @stateful.rule()
    def deliver_late_writes(self):
        for value, if_version in self.cluster.store.late_writes:
            self.cluster.store.put(value, if_version)
        self.cluster.store.late_writes.clear()

    @stateful.rule(
        index=hosts, is_disconnected=st.booleans(), is_stalled=st.booleans()
    )
    def set_store_link(self, index, is_disconnected, is_stalled):
        store_client = self.cluster.store_clients[f"h{index}"]
        store_client.is_disconnected = is_disconnected
        store_client.is_watch_stalled = is_stalled

    @stateful.rule(one=hosts, other=hosts)
    def change_peer_link(self, one, other):
        self.cluster.disconnected_pairs ^= {frozenset((f"h{one}", f"h{other}"))}

    @stateful.rule(index=hosts)
    def restart(self, index):
        name = f"h{index}"
        self.run(self.cluster.managers[name].stop())

        async def start():
            self.cluster.start(index)

        self.run(start())
        self.highest_versions[name] = 0

    @stateful.rule()
    def put_invalid(self):
        self.cluster.store.put({"version": 99, "zones": 1}, None)

    def collect_results(self):
        """Collects the results of the changes that have finished."""
        unfinished = []
        for change_id, base, task in self.pending:
            if not task.done():
                unfinished.append((change_id, base, task))
                continue
            problems = task.result()
            if not problems:
                assert base not in self.accepted, (
                    "two changes were accepted on the same base version"
                )
                self.accepted[base] = change_id
            elif problems[0].kind is not errors.ProblemKind.REPLY_LOST:
                self.rejected.add(change_id)
        self.pending = unfinished

    @stateful.invariant()
    def versions_never_decrease(self):
        for name, manager in self.cluster.managers.items():
            assert manager.version >= self.highest_versions[name]
            self.highest_versions[name] = manager.version

    def teardown(self):
        self.cluster.disconnected_pairs.clear()
        self.cluster.store.is_down = False
        self.cluster.store.fault = "none"
        for store_client in self.cluster.store_clients.values():
            store_client.is_disconnected = store_client.is_watch_stalled = False
        self.run(self.cluster.advance(20))
        self.collect_results()
        self.deliver_late_writes()
        self.run(self.cluster.advance(20))
        self.check_final_state()
        self.run(self.cluster.stop())
        self.loop.close()

    def check_final_state(self):
        """Checks that hosts agree and that results match the history."""
        assert not self.pending
        versions = self.cluster.list_versions()
        assert len(set(versions)) == 1
        stored = self.cluster.managers["h0"]._stored
        history = stored.history if stored else ()
        # An invalid object that overwrites the stored one cuts off its history.
        recent = [c for b, c in self.accepted.items() if b >= versions[0] - 8]
        assert set(recent) <= set(history)
        assert not self.rejected & set(history)


TestRollout = RolloutMachine.TestCase
# Failing runs are reported without shrinking, which would take minutes.
TestRollout.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=25,
    phases=[hypothesis.Phase.generate],
)
