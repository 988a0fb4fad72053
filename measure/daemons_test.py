"""Real daemons as processes under kills, freezes, outages and races.

Each test starts a small deployment of its own, brings one failure about and
asks until the system answers whole again, within a generous time.  Every
answer on the way is checked against what the stand-ins hold, and at the end
no daemon may have counted a broken promise.
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

RECOVERY_S = 30.0
ASK_PAUSE_S = 0.05
GROUPS = (
    topologies.ServiceGroup(kind="search", services=4),
    topologies.ServiceGroup(kind="reserve", services=1, repeatable=False),
)


class Site:
    """A running deployment with one caller of its last host."""

    def __init__(self, running: deployment.Deployment):
        self.running = running
        self.checker = scenarios.make_checker(running.configuration)
        self.numbers = itertools.count()
        self.caller = callers.Caller(
            zone=running.hosts[-1].zone,
            entry_urls=[running.hosts[-1].caller_url],
            random_source=random.Random(1),
            fixed_urls=(running.hosts[-1].caller_url,),
        )

    async def ask(self, kind: str = "search", **options) -> callers.Reply:
        """Sends one request and checks what comes back."""
        request_id = f"r{next(self.numbers)}"
        query = {"id": request_id}
        reply = await self.caller.send(
            kind, query, request_id=request_id, timeout_s=3.0, **options
        )
        assert reply.outcome in ("answer", "not_run", "unknown"), reply
        if reply.outcome == "answer":
            found = self.checker.check(reply.document, kind, request_id, query)
            assert found == []
        return reply

    async def ask_until_whole(self, in_a_row: int = 10) -> None:
        """Asks until that many answers in a row are complete."""
        whole = 0
        async with asyncio.timeout(RECOVERY_S):
            while whole < in_a_row:
                reply = await self.ask()
                complete = reply.document.get("complete", False)
                whole = whole + 1 if complete else 0
                await asyncio.sleep(ASK_PAUSE_S)

    async def wait_for(self, holds) -> None:
        """Waits until a condition on the dumps by host holds."""
        async with asyncio.timeout(RECOVERY_S):
            while True:
                if holds(await self.running.read_dumps()):
                    return
                await asyncio.sleep(ASK_PAUSE_S)

    async def check_promises(self) -> None:
        """Checks that no daemon has counted a breach."""
        for name, dump in (await self.running.read_dumps()).items():
            assert dump["invariants"]["breaches"] == {}, name


@contextlib.asynccontextmanager
async def run_site(directory, hosts: int = 4):
    plan = deployment.Plan(
        build=topologies.make_configuration_builder(
            topologies.make_zones(3), GROUPS
        ),
        hosts=hosts,
        fake_processes=1,
        settings={"address_ttl_s": 0.5},
    )
    async with scenarios.running_deployment(plan, directory) as running:
        site = Site(running)
        await site.caller.start()
        try:
            yield site
            await site.check_promises()
        finally:
            await site.caller.stop()


def count_members(dump) -> int:
    return len(dump["membership"]["members"])


async def test_killed_hosts_are_replaced_without_an_untrue_answer(tmp_path):
    async with run_site(tmp_path) as site:
        for host in site.running.hosts[:2]:
            await site.running.kill_daemon(host)
        await site.ask_until_whole()
        last = site.running.hosts[-1].name
        await site.wait_for(lambda dumps: count_members(dumps[last]) == 2)
        for host in site.running.hosts[:2]:
            await site.running.start_daemon(host)
        await site.wait_for(
            lambda dumps: (
                len(dumps) == 4
                and all(count_members(dump) == 4 for dump in dumps.values())
            )
        )
        await site.ask_until_whole()


async def test_frozen_host_comes_back_and_its_ownership_has_lapsed(tmp_path):
    async with run_site(tmp_path) as site:
        frozen = site.running.hosts[0]
        last = site.running.hosts[-1]
        child = site.running.daemons[frozen.name]
        child.send_signal(signal.SIGSTOP)
        try:
            async with asyncio.timeout(RECOVERY_S):
                members = 4
                while members == 4:
                    dump = await site.running.read_admin(last, "/dump")
                    members = count_members(dump)
            await site.ask_until_whole()
        finally:
            child.send_signal(signal.SIGCONT)
        await site.wait_for(
            lambda dumps: (
                dumps[frozen.name]["pauses"] >= 1
                and not dumps[frozen.name]["ownership"]["lapsed"]
                and all(count_members(dump) == 4 for dump in dumps.values())
            )
        )
        await site.ask_until_whole()


async def test_host_that_starts_while_the_store_is_out_serves(tmp_path):
    async with run_site(tmp_path) as site:
        await site.running.steer_platform({"set": {"down": True}})
        await site.ask_until_whole()
        restarted = site.running.hosts[0]
        await site.running.kill_daemon(restarted)
        await site.running.start_daemon(restarted)
        await site.wait_for(
            lambda dumps: (
                dumps.get(restarted.name, {})
                .get("configuration", {})
                .get("version")
                == 1
            )
        )
        await site.ask_until_whole()
        await site.running.steer_platform({"set": {"down": False}})
        await site.running.apply(site.running.configuration)
        await site.running.wait_in_force()
        await site.ask_until_whole()


async def test_one_of_two_racing_operators_wins_everywhere(tmp_path):
    async with run_site(tmp_path) as site:
        first, second = site.running.hosts[:2]
        for _ in range(3):
            accepted = await site.running.race(first, second)
            assert sorted(accepted) == [False, True]
            await site.running.wait_in_force()
        dumps = await site.running.read_dumps()
        changes = {d["configuration"]["change_id"] for d in dumps.values()}
        assert changes == {site.running.configuration.change_id}
        assert all(
            dump["configuration"]["version"] == 4 for dump in dumps.values()
        )


async def test_ticket_of_a_killed_home_is_never_run_again(tmp_path):
    async with run_site(tmp_path, hosts=3) as site:
        home, other = site.running.hosts[:2]
        async with site.caller._session.get(
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
            async with site.caller._session.post(url, json=request) as response:
                return await response.json()

        # Until the service has settled with its owner the request is refused
        # as not run, and the same ticket may be sent again.
        outcomes = []
        async with asyncio.timeout(RECOVERY_S):
            while len(outcomes) < 3:
                outcome = await send(other)
                if outcome["outcome"] != "not_run":
                    outcomes.append(outcome["outcome"])
                await asyncio.sleep(ASK_PAUSE_S)
        assert outcomes == ["answer"] * 3
        await site.running.kill_daemon(home)
        await site.running.start_daemon(home)
        await site.ask_until_whole()
        again = [await send(host) for host in site.running.hosts]
        assert [outcome["outcome"] for outcome in again] == ["unknown"] * 3
        counts = await scenarios.read_server_counts(site.running)
        # The stand-ins list every run of a request that may run only once.
        assert len(counts["repeated"]) == 1


async def test_planned_stop_ends_by_itself_and_cuts_nothing(tmp_path):
    async with run_site(tmp_path) as site:
        await site.ask_until_whole()
        stopping = site.running.hosts[-1]
        child = site.running.daemons[stopping.name]
        # Slow servers keep the queries in flight while the stop begins.
        slow = {"set": {"slow_factor": 15.0}}
        await site.running.steer_servers(slow)
        replies = [asyncio.create_task(site.ask()) for _ in range(6)]
        await site.wait_for(
            lambda dumps: dumps[stopping.name]["queries"]["in_flight"] == 6
        )
        child.send_signal(signal.SIGTERM)
        for reply in await asyncio.gather(*replies):
            assert reply.outcome == "answer", reply
        await site.running.steer_servers({"set": {"slow_factor": 1.0}})
        assert await child.wait(RECOVERY_S)
        assert child.process.returncode == 0
        await site.running.start_daemon(stopping)
        await site.ask_until_whole()
