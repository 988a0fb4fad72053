"""Tests of many callers beside, or with, requests that crash servers.

The request handlers run unchanged in virtual time; see `request_handler_test`.
"""

import asyncio

import pytest

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import request_handler_test as base
from eelgrasshall.gateway import virtual_time


class _CallersOfSome(base._Callers):
    """Callers who know the first hosts only."""

    known = 3

    async def _call(self) -> None:
        target = self._fleet.random.choice(self.targets)
        for _ in range(self.max_tries):
            self._count += 1
            host = self._fleet.random.randrange(self.known)
            response = await self._fleet.send(host, f"i{self._count}", target)
            if response.status == 200:
                break
            await asyncio.sleep(self.retry_delay_s)
        self.statuses.append(response.status)


@pytest.mark.parametrize("hosts", [3, 4])
@pytest.mark.parametrize("rate_per_s", [80.0, 400.0])
@pytest.mark.parametrize("targets", [1, 3])
def test_popular_request_is_not_quarantined_by_a_host_without_traffic(
    targets, rate_per_s, hosts
):
    # As the test of a popular request beside a harmful one, with a fourth host
    # that gets no requests and so sees none of the answers.
    fleet = base._make_fleet(hosts=hosts, replicas=6)
    callers = _CallersOfSome(
        fleet=fleet, rate_per_s=rate_per_s, targets=targets
    )

    async def play(fleet) -> None:
        task = fleet.loop.create_task(callers.run(6.0))
        await asyncio.sleep(1.0)
        await fleet.send_harmful(tries=12, interval_s=0.3, hosts=(0, 1, 2))
        await task

    fleet.run(play)
    assert not callers.list_convicted()


@pytest.mark.parametrize("interval_s", [0.7, 2.1])
@pytest.mark.parametrize("targets", [1, 3, 20, 400])
def test_requests_of_a_service_with_one_server_are_not_quarantined(
    targets, interval_s
):
    fleet = base._make_fleet(hosts=3, replicas=1)
    callers = base._Callers(fleet=fleet, rate_per_s=40.0, targets=targets)

    async def play(fleet) -> None:
        task = fleet.loop.create_task(callers.run(20.0))
        await asyncio.sleep(1.0)
        await fleet.send_harmful(tries=12, interval_s=interval_s)
        await task

    fleet.run(play)
    assert not callers.list_convicted()


@pytest.mark.parametrize("hosts", [1, 3])
@pytest.mark.parametrize("callers", [10, 60])
def test_harmful_request_of_many_callers_at_once_is_stopped(hosts, callers):
    fleet = base._make_fleet(hosts=hosts, replicas=4, max_attempts=1)

    async def wave(fleet) -> None:
        tasks = []
        for number in range(callers):
            request_id = f"try{len(fleet.sent)}"
            fleet.sent.append((request_id, fleet.loop.time()))
            tasks.append(
                fleet.loop.create_task(
                    fleet.send(number % hosts, request_id, base._HARMFUL_TARGET)
                )
            )
        await asyncio.gather(*tasks)

    async def play(fleet) -> None:
        for _ in range(10):
            await wave(fleet)
            await asyncio.sleep(2.5)

    fleet.run(play)
    assert len(fleet.list_late_tries()) <= base._TRIES_ALLOWED


@pytest.mark.parametrize("shards, attempts", [(30, 1), (40, 1), (40, 3)])
def test_harmful_search_over_many_services_is_stopped(shards, attempts):
    services = tuple(f"shard{i}" for i in range(shards))
    fleet = base._Fleet(
        loop=virtual_time.VirtualTimeLoop(),
        route=fakes.make_route(shards=services, max_attempts=attempts),
        services=services,
        hosts=3,
    )
    fleet.run(lambda each: each.send_harmful(tries=12, interval_s=2.5))
    assert len(fleet.list_late_tries()) <= base._TRIES_ALLOWED


@pytest.mark.parametrize("hosts", [1, 3])
def test_request_that_crashes_half_of_the_servers_beside_others_is_stopped(
    hosts,
):
    services = ("old", "new")
    route = fakes.make_route()._replace(
        split=tuple(base.model.WeightedService(name, 1.0) for name in services)
    )
    fleet = base._Fleet(
        loop=virtual_time.VirtualTimeLoop(),
        route=route,
        services=services,
        hosts=hosts,
        is_harmful=lambda server_id: server_id.startswith("new"),
    )
    callers = base._Callers(fleet=fleet, rate_per_s=150.0, targets=5000)

    async def play(fleet) -> None:
        task = fleet.loop.create_task(callers.run(45.0))
        await asyncio.sleep(1.0)
        await fleet.send_harmful(tries=30)
        await task

    fleet.run(play)
    late = fleet.list_late_tries()
    assert len(late) <= base._TRIES_ALLOWED, late
    assert not callers.list_convicted()


@pytest.mark.parametrize("replicas", [1, 2])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_requests_of_few_servers_are_not_quarantined(
    monkeypatch, replicas, seed
):
    # Their callers send them again until they are served.  A harmful request
    # ends the servers each time that they are back.
    monkeypatch.setattr(base, "_SERVICE_TIME_S", 0.5)
    fleet = base._make_fleet(hosts=3, replicas=replicas)
    fleet.random.seed(seed)
    callers = base._Callers(fleet=fleet, rate_per_s=10.0, targets=400)
    callers.max_tries = 60

    async def play(fleet) -> None:
        task = fleet.loop.create_task(callers.run(15.0))
        await asyncio.sleep(1.0)
        await fleet.send_harmful(tries=60, interval_s=0.25)
        await task

    fleet.run(play)
    assert len(fleet.crashes_s) >= 3
    assert not callers.list_convicted()
