"""End-to-end tests of daemon processes under failures.

Each test starts a small deployment, injects one failure and sends requests
until answers are complete again, within a generous time-out.  Each answer is
checked against the records of the fakes, and at the end no daemon may have
counted a breach of an invariant.
"""

import asyncio
import contextlib
import itertools
import random
import signal

from measure import callers
from measure import deployment
from measure import scenarios
from measure import topologies

RECOVERY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
GROUPS = (
    topologies.ServiceGroup(kind="search", services=4),
    topologies.ServiceGroup(kind="reserve", services=1, repeatable=False),
)


class Harness:
    """A running deployment with one caller, which uses its last host."""

    def __init__(self, running: deployment.Deployment):
        self.running = running
        self.checker = scenarios.make_checker(running.configuration)
        self._request_numbers = itertools.count()
        self.caller = callers.Caller(
            zone=running.hosts[-1].zone,
            entry_urls=[running.hosts[-1].caller_url],
            random_source=random.Random(1),
            fixed_urls=(running.hosts[-1].caller_url,),
        )

    async def send_request(
        self, kind: str = "search", **options
    ) -> callers.Reply:
        """Sends one request and checks the outcome and the answer."""
        request_id = f"r{next(self._request_numbers)}"
        query = {"id": request_id}
        reply = await self.caller.send(
            kind, query, request_id=request_id, timeout_s=3.0, **options
        )
        assert reply.outcome in ("answer", "not_run", "unknown"), reply
        if reply.outcome == "answer":
            found = self.checker.check(reply.document, kind, request_id, query)
            assert found == []
        return reply

    async def wait_until_complete(self, consecutive: int = 10) -> None:
        """Sends requests until that many consecutive answers are complete."""
        complete_count = 0
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while complete_count < consecutive:
                reply = await self.send_request()
                complete = reply.document.get("complete", False)
                complete_count = complete_count + 1 if complete else 0
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_dumps(self, condition) -> None:
        """Waits until a condition on the state dumps, by host name, holds."""
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while True:
                if condition(await self.running.read_dumps()):
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def check_invariants(self) -> None:
        """Checks that no daemon has counted a breach of an invariant."""
        for name, dump in (await self.running.read_dumps()).items():
            assert dump["invariants"]["breaches"] == {}, name


@contextlib.asynccontextmanager
async def run_harness(directory, hosts: int = 4):
    plan = deployment.Plan(
        build=topologies.make_configuration_builder(
            topologies.make_zones(3), GROUPS
        ),
        hosts=hosts,
        fake_processes=1,
        settings={"address_ttl_s": 0.5},
    )
    async with scenarios.running_deployment(plan, directory) as running:
        harness = Harness(running)
        await harness.caller.start()
        try:
            yield harness
            await harness.check_invariants()
        finally:
            await harness.caller.stop()


def count_members(dump) -> int:
    return len(dump["membership"]["members"])


async def test_killed_hosts_are_replaced_without_wrong_answers(tmp_path):
    async with run_harness(tmp_path) as harness:
        for host in harness.running.hosts[:2]:
            await harness.running.kill_daemon(host)
        await harness.wait_until_complete()
        last = harness.running.hosts[-1].name
        await harness.wait_for_dumps(
            lambda dumps: count_members(dumps[last]) == 2
        )
        for host in harness.running.hosts[:2]:
            await harness.running.start_daemon(host)
        await harness.wait_for_dumps(
            lambda dumps: (
                len(dumps) == 4
                and all(count_members(dump) == 4 for dump in dumps.values())
            )
        )
        await harness.wait_until_complete()


async def test_suspended_host_drops_its_lapsed_ownership_and_rejoins(tmp_path):
    async with run_harness(tmp_path) as harness:
        frozen = harness.running.hosts[0]
        last = harness.running.hosts[-1]
        child = harness.running.daemons[frozen.name]
        child.send_signal(signal.SIGSTOP)
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                members = 4
                while members == 4:
                    dump = await harness.running.read_admin(last, "/dump")
                    members = count_members(dump)
            await harness.wait_until_complete()
        finally:
            child.send_signal(signal.SIGCONT)
        await harness.wait_for_dumps(
            lambda dumps: (
                dumps[frozen.name]["pauses"] >= 1
                and not dumps[frozen.name]["ownership"]["lapsed"]
                and all(count_members(dump) == 4 for dump in dumps.values())
            )
        )
        await harness.wait_until_complete()


async def test_host_started_during_store_outage_serves(tmp_path):
    async with run_harness(tmp_path) as harness:
        await harness.running.control_platform({"set": {"down": True}})
        await harness.wait_until_complete()
        restarted = harness.running.hosts[0]
        await harness.running.kill_daemon(restarted)
        await harness.running.start_daemon(restarted)
        await harness.wait_for_dumps(
            lambda dumps: (
                dumps.get(restarted.name, {})
                .get("configuration", {})
                .get("version")
                == 1
            )
        )
        await harness.wait_until_complete()
        await harness.running.control_platform({"set": {"down": False}})
        await harness.running.apply_configuration(harness.running.configuration)
        await harness.running.wait_until_in_force()
        await harness.wait_until_complete()


async def test_one_of_two_concurrent_changes_is_in_force_everywhere(tmp_path):
    async with run_harness(tmp_path) as harness:
        first, second = harness.running.hosts[:2]
        for _ in range(3):
            accepted = await harness.running.apply_concurrently(first, second)
            assert sorted(accepted) == [False, True]
            await harness.running.wait_until_in_force()
        dumps = await harness.running.read_dumps()
        changes = {d["configuration"]["change_id"] for d in dumps.values()}
        assert changes == {harness.running.configuration.change_id}
        assert all(
            dump["configuration"]["version"] == 4 for dump in dumps.values()
        )


async def test_ticket_of_killed_home_is_not_run_again(tmp_path):
    async with run_harness(tmp_path, hosts=3) as harness:
        home, other = harness.running.hosts[:2]
        async with harness.caller._session.get(
            f"{home.caller_url}/v1/addresses"
        ) as response:
            prefix = (await response.json())["ticket_prefix"]
        request = {
            "kind": "reserve",
            "query": {"id": 1},
            "ticket": prefix + "a",
        }

        async def send(host) -> dict:
            url = f"{host.caller_url}/v1/query"
            async with harness.caller._session.post(
                url, json=request
            ) as response:
                return await response.json()

        # A request is rejected as not run until the owner serves the service;
        # then the same ticket may be sent again.
        outcomes = []
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while len(outcomes) < 3:
                outcome = await send(other)
                if outcome["outcome"] != "not_run":
                    outcomes.append(outcome["outcome"])
                await asyncio.sleep(POLL_INTERVAL_S)
        assert outcomes == ["answer"] * 3
        await harness.running.kill_daemon(home)
        await harness.running.start_daemon(home)
        await harness.wait_until_complete()
        again = [await send(host) for host in harness.running.hosts]
        assert [outcome["outcome"] for outcome in again] == ["unknown"] * 3
        counts = await scenarios.read_server_counts(harness.running)
        # The fakes list every run of a non-repeatable request.
        assert len(counts["repeated"]) == 1


async def test_planned_stop_completes_queries_in_flight(tmp_path):
    async with run_harness(tmp_path) as harness:
        await harness.wait_until_complete()
        stopping = harness.running.hosts[-1]
        child = harness.running.daemons[stopping.name]
        # Slow servers keep the queries in flight when the stop is requested.
        slow = {"set": {"slow_factor": 15.0}}
        await harness.running.control_servers(slow)
        replies = [
            asyncio.create_task(harness.send_request()) for _ in range(6)
        ]
        await harness.wait_for_dumps(
            lambda dumps: dumps[stopping.name]["queries"]["in_flight"] == 6
        )
        child.send_signal(signal.SIGTERM)
        for reply in await asyncio.gather(*replies):
            assert reply.outcome == "answer", reply
        await harness.running.control_servers({"set": {"slow_factor": 1.0}})
        assert await child.wait(RECOVERY_TIMEOUT_S)
        assert child.process.returncode == 0
        await harness.running.start_daemon(stopping)
        await harness.wait_until_complete()
