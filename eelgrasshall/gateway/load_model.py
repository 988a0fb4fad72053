"""Simulated load in virtual time, for tests of the gateway's decisions.

Request handlers of a few entry hosts run unchanged; simulated backend servers
answer them.  Callers' requests come at random from a seeded generator; a caller
retries once, after the time that it was told.  Callers may belong to workspaces
that differ in their rates.
"""

import asyncio
from collections.abc import Sequence
import heapq
import itertools
import random as random_module
from typing import NamedTuple

from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import credentials
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import metrics
from eelgrasshall.gateway import model
from eelgrasshall.gateway import rate_limits
from eelgrasshall.gateway import request_handler
from eelgrasshall.gateway import shares
from eelgrasshall.gateway import simulated_server
from eelgrasshall.gateway import virtual_time

# The availability zones, in turn those of hosts, callers and servers.
ZONES = "abc"
# One-way delay between callers and hosts, seconds.
CALLER_DELAY_S = 0.001
# Interval at which a host ends attempts past their deadline.
SWEEP_INTERVAL_S = 0.1
# Most servers whose rates hosts pass on at a time.
MAX_GOSSIP = 5
# Number of times that a caller sends a request.
MAX_TRIES = 2
# Delay of a retry after a response that states none, seconds.
DEFAULT_RETRY_DELAY_S = 0.05
# Longest delay of a retry, as a share of the caller's remaining time.
MAX_RETRY_DELAY_SHARE = 1 / 3
# A caller with less time left than this gives up.
MIN_RETRY_TIME_S = 0.02
# The bound on extra attempts, and the number of updates after which hosts may
# use their shares of it.
EXTRA_ATTEMPT_BOUND = hedging.ExtraAttemptBound(0.2, 258.0, window_s=10.0)
SETTLE_STEPS = 4
# Share of its worth that a late answer keeps.
LATE_SHARE = 0.1
# A refusal within this share of the objective comes early enough for the retry
# to earn more than a late answer.
EARLY_REFUSAL_SHARE = 0.25


class Kind(NamedTuple):
    """One kind of request that callers send.

    Attributes:
      route: The route of these requests.
      rate_per_s: Requests per second.
      service_time_s: Mean time that a server needs for one, seconds.
      timeout_s: Time for which the caller waits, seconds.
      worth: Credit of an answer in time with all shards.
      bursts: Spans with more requests of this kind.
    """

    route: model.Route
    rate_per_s: float
    service_time_s: float
    timeout_s: float
    worth: float
    bursts: Sequence[simulated_server.Span] = ()


class WorkspaceLoad(NamedTuple):
    """The part of all requests that callers of one workspace send.

    Attributes:
      workspace: The workspace, by `make_workspace`; None for callers without
        one.
      share: Its share of the requests of each kind.
      bursts: Spans with more requests of it.
    """

    workspace: model.Workspace | None
    share: float
    bursts: Sequence[simulated_server.Span] = ()


class Result(NamedTuple):
    """What became of one request of a caller.

    Attributes:
      kind: The name of its route.
      arrived_s: Time at which the caller first sent it, seconds.
      took_s: Seconds from then until its last answer.
      status: Status of the last answer; 0 if there was none in time.
      tries: How often the caller sent it.
      credit: Credit for the answer, of the worth of its kind.
      worth: The worth of its kind.
      in_time: Whether it was answered within its objective.
      workspace: Name of the caller's workspace; None if it has none.
    """

    kind: str
    arrived_s: float
    took_s: float
    status: int
    tries: int
    credit: float
    worth: float
    in_time: bool
    workspace: str | None


class _NoLog:
    """A log that drops all lines."""

    def record(self, event: str, **fields: object) -> None:
        """Drops an event."""

    def allow_request_line(self, *, failed: bool) -> bool:
        """Returns whether a request may be logged: never."""
        del failed
        return False


class Simulation:
    """Callers, entry hosts and backend servers under one load.

    Args:
      loop: The event loop.
      seed: Seed of all random draws.
      kinds: The kinds of request; all search the same shards.
      shards: Names of the services that hold the shards.
      replicas: Backend servers per shard.
      slots: Slots per backend server.
      hosts: Number of active entry hosts.
      speeds: Factors of the service times, by replica.
      bursts: Spans with more requests.
      workspace_loads: The workspaces of callers.
      sharing_hosts: Number of hosts that share the servers' connections, active
        or not; None for one more than the active ones.
      pause_s: Duration of each pause of a server, seconds.
      pause_interval_s: Time between the starts of two pauses, seconds.
      rotate_speeds: Whether each shard has the speeds in another order.
      cross_zone_delay_s: One-way delay between availability zones in addition
        to that within one, seconds.
      keeps_to_zone: Whether hosts spend time to spare on staying in their zone.
    """

    def __init__(
        self,
        *,
        loop: virtual_time.VirtualTimeLoop,
        seed: int,
        kinds: Sequence[Kind],
        shards: Sequence[str],
        replicas: int = 3,
        slots: int = 3,
        hosts: int = 3,
        speeds: Sequence[float] = (0.8, 1.0, 1.3),
        bursts: Sequence[simulated_server.Span] = (),
        workspace_loads: Sequence[WorkspaceLoad] = (WorkspaceLoad(None, 1.0),),
        sharing_hosts: int | None = None,
        pause_s: float = 0.25,
        pause_interval_s: float = 6.0,
        rotate_speeds: bool = False,
        cross_zone_delay_s: float = 0.0,
        keeps_to_zone: bool = False,
    ):
        self.loop = loop
        self._cross_zone_delay_s = cross_zone_delay_s
        self._keeps_to_zone = keeps_to_zone
        self.random = random_module.Random(seed)
        self.results: list[Result] = []
        self.servers: dict[str, simulated_server.Server] = {}
        # The counters of all hosts together.
        self.metrics = metrics.Metrics()
        self._kinds = kinds
        self._workspace_loads = workspace_loads
        self._sharing_hosts = sharing_hosts or hosts + 1
        self.bursts = list(bursts)
        self._count = 0
        self._tasks: set[asyncio.Task] = set()
        times_s = {
            kind.route.path_prefix.rstrip("/").encode(): kind.service_time_s
            for kind in kinds
        }
        port = 1000
        orders = list(itertools.permutations(speeds))
        for index, shard in enumerate(shards):
            order = orders[index % len(orders)] if rotate_speeds else speeds
            for number in range(replicas):
                port += 1
                registration = fakes.make_server(
                    f"{shard}-{number}",
                    service=shard,
                    zone=ZONES[number % len(ZONES)],
                    port=port,
                    slots=slots,
                )
                server = simulated_server.Server(
                    loop=loop,
                    server=registration,
                    random=self.random,
                    service_times_s=times_s,
                    speed=order[number % len(order)],
                    pause_s=pause_s,
                    pause_interval_s=pause_interval_s,
                    cross_zone_delay_s=cross_zone_delay_s,
                )
                self.servers[registration.id] = server
                loop.add_endpoint(registration.address, server)
        self._configuration = model.Configuration(
            version=1,
            routes=tuple(kind.route for kind in kinds),
            services={
                name: fakes.make_service(name, max_connections=125)
                for name in shards
            },
            limits=model.CallerLimits(),
            workspaces={
                load.workspace.name: load.workspace
                for load in workspace_loads
                if load.workspace is not None
            }
            or None,
        )
        # The hosts have run for a while, so that they may use their shares.
        loop.advance(-SETTLE_STEPS * shares.MAX_UPDATE_INTERVAL_S)
        self.handlers = loop.run_until_complete(self._make_handlers(hosts))
        view = rate_limits.FleetView(
            tuple(f"h{number}" for number in range(hosts)), 1.0
        )
        for _ in range(SETTLE_STEPS):
            loop.advance(shares.MAX_UPDATE_INTERVAL_S)
            for handler in self.handlers:
                handler.set_extra_share(1.0 / (hosts + 1))
                handler.registry.set_fleet_view(view)

    async def _make_handlers(
        self, hosts: int
    ) -> list[request_handler.RequestHandler]:
        return [self._make_handler(number, hosts) for number in range(hosts)]

    def _make_handler(
        self, number: int, hosts: int
    ) -> request_handler.RequestHandler:
        names = tuple(f"h{i}" for i in range(hosts))
        handler = request_handler.RequestHandler(
            own=fakes.make_host(names[number], zone=ZONES[number % len(ZONES)]),
            names=fakes.NAMES,
            extra_attempt_bound=EXTRA_ATTEMPT_BOUND,
            cold_start_bound=cold_start.ColdStartBound(1.5, 5.0),
            random=random_module.Random(self.random.random()),
            log=_NoLog(),
            metrics=self.metrics,
            keeps_to_zone=self._keeps_to_zone,
        )
        handler.set_hosts(self._sharing_hosts, names)
        handler.set_extra_share(1.0 / (hosts + 1))
        handler.set_active_host_count(hosts)
        handler.apply_configuration(self._configuration)
        for server in self.servers.values():
            handler.registry.set_server(server.server.id, server.server, 1)
        return handler

    def remove_server(self, server_id: str) -> None:
        """Deregisters a server at all hosts; what it runs is finished."""
        for handler in self.handlers:
            handler.registry.set_server(server_id, None, 2)

    def run(self, duration_s: float) -> None:
        """Sends requests for a time and waits until all are done."""
        self.loop.run_until_complete(self._run(duration_s))

    async def _run(self, duration_s: float) -> None:
        sweeper = self.loop.create_task(self._sweep())
        arrivals = []
        for kind, load in itertools.product(self._kinds, self._workspace_loads):
            bursts = [*self.bursts, *kind.bursts, *load.bursts]
            now = 0.0
            while now < duration_s:
                now += self.random.expovariate(
                    kind.rate_per_s
                    * load.share
                    * simulated_server.find_factor(bursts, now)
                )
                heapq.heappush(
                    arrivals, (now, len(arrivals), kind, load.workspace)
                )
        while arrivals:
            arrived_s, _, kind, workspace = heapq.heappop(arrivals)
            await asyncio.sleep(arrived_s - self.loop.time())
            task = self.loop.create_task(self._call(kind, workspace))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)
        sweeper.cancel()
        for handler in self.handlers:
            handler.close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for handler in self.handlers:
                handler.registry.sweep(self.loop.time())
            self._pass_on_rates()

    def _pass_on_rates(self) -> None:
        """Passes the rates that servers state on to all hosts."""
        for sender in self.handlers:
            statements = sender.registry.list_rate_gossip(MAX_GOSSIP)
            for receiver in self.handlers:
                if statements and receiver is not sender:
                    receiver.registry.merge_rates(statements)

    async def _call(
        self, kind: Kind, workspace: model.Workspace | None
    ) -> None:
        """Sends one request, and once more after a refusal or failure."""
        arrived_s = self.loop.time()
        deadline_s = arrived_s + kind.timeout_s
        refused_early = False
        for tries in range(1, MAX_TRIES + 1):
            tried_s = self.loop.time()
            response = await self._try(kind, workspace, deadline_s)
            if response.status == 200 or tries == MAX_TRIES:
                break
            now = self.loop.time()
            refused_early = response.status == 503 and (
                now - arrived_s < kind.route.objective_s * EARLY_REFUSAL_SHARE
            )
            delay_s = _choose_retry_delay(response, deadline_s - now)
            if deadline_s - now - delay_s < MIN_RETRY_TIME_S:
                break
            await asyncio.sleep(delay_s)
        now = self.loop.time()
        objective_s = kind.route.objective_s
        in_time = response.status == 200 and now - arrived_s <= objective_s
        share = 1.0 if in_time else LATE_SHARE
        if not in_time and refused_early and now - tried_s <= objective_s:
            share = (1.0 + LATE_SHARE) / 2
        self.results.append(
            Result(
                kind=kind.route.name,
                arrived_s=arrived_s,
                took_s=now - arrived_s,
                status=response.status,
                tries=tries,
                credit=kind.worth * share * _compute_coverage(kind, response),
                worth=kind.worth,
                in_time=in_time,
                workspace=workspace.name if workspace else None,
            )
        )

    async def _try(
        self,
        kind: Kind,
        workspace: model.Workspace | None,
        deadline_s: float,
    ) -> listener.Response:
        self._count += 1
        request_id = b"r%d" % self._count
        handler = self.random.choice(self.handlers)
        delay_s = CALLER_DELAY_S
        if self._cross_zone_delay_s and handler.zone != self.random.choice(
            ZONES
        ):
            delay_s += self._cross_zone_delay_s
        await asyncio.sleep(delay_s)
        remaining_s = deadline_s - self.loop.time()
        headers = [
            (b"Host", kind.route.host.encode()),
            (b"X-Id", request_id),
            (b"X-Budget", b"%d" % int(remaining_s * 1000)),
        ]
        if workspace:
            key = _make_key(workspace.name)
            headers.append((b"Authorization", b"Bearer " + key))
        request = messages.Request(
            method=b"GET",
            target=kind.route.path_prefix.encode() + b"x",
            headers=headers,
            body=b"",
            received_s=self.loop.time(),
        )
        response = await handler.handle(request)
        await asyncio.sleep(delay_s)
        return response


def make_workspace(name: str, *, priority: int = 0) -> model.Workspace:
    """Returns a workspace with the key that its callers send."""
    digest = credentials.compute_digest(_make_key(name))
    return model.Workspace(name, frozenset((digest,)), priority)


def _make_key(name: str) -> bytes:
    return b"key-%s" % name.encode()


def _choose_retry_delay(
    response: listener.Response, remaining_s: float
) -> float:
    """Returns after how many seconds a caller retries."""
    text = dict(response.headers).get(fakes.NAMES.retry_after)
    delay_s = DEFAULT_RETRY_DELAY_S if text is None else float(text)
    return min(delay_s, remaining_s * MAX_RETRY_DELAY_SHARE)


def _compute_coverage(kind: Kind, response: listener.Response) -> float:
    """Returns the factor of the credit for the shards in an answer.

    It is the square of their share; 0.0 if the response is no answer.
    """
    if response.status != 200:
        return 0.0
    missing = int(dict(response.headers)[fakes.NAMES.parts_missing])
    total = len(kind.route.shards)
    return ((total - missing) / total) ** 2


class Summary(NamedTuple):
    """What callers got in a span of time.

    Attributes:
      requests: Number of requests.
      credit: Credit earned, as a share of the worth asked for.
      in_time: Share of the requests answered within their objective.
      served: Share of the requests answered at all.
    """

    requests: int
    credit: float
    in_time: float
    served: float


def summarize(
    results: Sequence[Result], start_s: float, end_s: float
) -> Summary:
    """Returns what callers got whose requests arrived in a span of time."""
    chosen = [r for r in results if start_s <= r.arrived_s < end_s]
    count = max(len(chosen), 1)
    worth = sum(r.worth for r in chosen) or 1.0
    return Summary(
        len(chosen),
        sum(r.credit for r in chosen) / worth,
        sum(r.in_time for r in chosen) / count,
        sum(r.status == 200 for r in chosen) / count,
    )


def find_least_served(results: Sequence[Result], min_requests: int) -> float:
    """Returns the least share of a workspace's requests that is answered.

    Args:
      results: What became of the requests.
      min_requests: Workspaces with fewer requests are left out.

    Returns:
      The share, relative to that of all requests.
    """
    by_workspace: dict[str | None, list[Result]] = {}
    for result in results:
        by_workspace.setdefault(result.workspace, []).append(result)
    return min(
        _compute_served(each)
        for each in by_workspace.values()
        if len(each) >= min_requests
    ) / _compute_served(results)


def _compute_served(results: Sequence[Result]) -> float:
    return sum(result.status == 200 for result in results) / len(results)
