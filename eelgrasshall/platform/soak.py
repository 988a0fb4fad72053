"""Randomized soak test: runs real entry hosts under injected faults.

`python -m eelgrasshall.platform.soak --seeds 5 --seconds 20` runs seeds one
after the other.  Faults are drawn at random and may overlap: processes are
paused, killed, stopped and restarted by signals; proxies delay, reset or
silence the connections to the store and to backend servers, or block them in
one direction; hosts are cut off from all backend servers; the store refuses
calls, leaves them unanswered or drops its history or goes back to a copy;
backend servers drain, announce that they leave, ask for pauses, state how many
requests they take, hang, crash under a request that is sent again, answer twice
or in part, or lose their registration, and recover; and configurations change,
which add and withdraw API keys.  Callers of several tenants send requests
throughout, one of them far beyond its quota, and some with keys that are not
valid.  Invariants are checked on what callers and backend servers observe; each
breach names its invariant, and the logs stay in the folder.
"""

import argparse
import asyncio
import collections
from collections.abc import Sequence
import math
import pathlib
import random as random_module
import signal
import sys
import time
from typing import Any
from typing import NamedTuple

from eelgrasshall.platform import fault_proxy
from eelgrasshall.platform import fleet as fleet_module
from eelgrasshall.platform import soak_checks
from eelgrasshall.platform import soak_faults
from eelgrasshall.platform import stutter

# Mean time between the requests of one caller, and between faults.
MEAN_REQUEST_INTERVAL_S = 0.02
MEAN_FAULT_INTERVAL_S = 0.8
# Time limits for draining a server and for applying a configuration, as the
# fleet's settings state them.
DRAIN_BOUND_S = 3.0
APPLY_BOUND_S = 3.0
# Time after a disturbance of a host, a connection or the store after which the
# time limits hold again.
STABILIZATION_S = 4.0
# Bound on extra attempts in the settings of the hosts; low, so that hosts that
# ignore it exceed it.
EXTRA_ATTEMPT_RATIO = 0.05
EXTRA_ATTEMPTS = 20.0
EXTRA_ATTEMPT_WINDOW_S = 10.0
# Crashes under a request after which only some of its tries may reach a server,
# and the time that hosts have to learn of them.
MAX_CRASHES = 3
MAX_LATE_TRIES = 3
CRASH_NOTICE_S = 4.0
# Time after the beginning of a cut after which callers of the hosts in question
# are served nearly as those of the others.
CONTACT_S = 4.0
# Window in which requests to a server that states a rate are counted, and the
# time after which a host that was told so counts.
RATE_WINDOW_S = 4.0
RATE_NOTICE_S = 0.5
# Quotas of the tenants, of which the first sends far more, and what is allowed
# beyond them.
QUOTAS = {
    "hot": soak_checks.Quota(4.0, 4.0),
    "small": soak_checks.Quota(30.0, 30.0),
}
QUOTA_WINDOW_S = 5.0
QUOTA_EXCESS = 0.1
QUOTA_SLACK = 20.0
# Id of the requests that check that the fleet has recovered.
END_ID = "end"
# The tenants without quotas; requests that callers do not send, and some that
# they do, are of the first.
UNLIMITED = ("operator", "plain")
# Shares of the callers' requests with keys of the first tenant, and with keys
# that are not valid.
HOT_SHARE = 0.3
INVALID_SHARE = 0.15
_OK = 200
_UNAUTHORIZED = 401
_OVER_QUOTA = 429
_NOT_FOUND = 404
# Nearly each search that lacks the records of a part shows it.
TOP_N = 10


class Breach(NamedTuple):
    """A breach of an invariant.

    Attributes:
      invariant: The invariant that was breached.
      detail: What was observed.
    """

    invariant: str
    detail: str


class Soak:
    """One soak run with a fixed seed.

    Attributes:
      random: The source of all random decisions of this run.
      fleet: The fleet under test.
      breaches: The breaches of invariants observed so far.
      statuses: Number of responses by status, and of errors by type name.
      faults: Number of injected faults by name.
      draining: Monotonic time at which each draining server began to drain.
      tries: All tries of callers.
      served: Whether each first try was served, by its id.
      answers: The answers to callers, but not those that refuse a key.
      cuts: The times for which hosts were cut off from all backend servers.
      host_disturbances: Times at which each host was ended, started, frozen or
        woken.
      rate_spans: The times for which servers stated how many requests they
        take.
      crash_count: Number of requests that crash servers.
      keys: All API keys that callers use.
      key_uses: The key of each try, by its id.
      refused: Ids of the tries that were answered 401 or 429.
      disturbances: Times of all disturbances.
      leaving: For each server that states that it leaves, the monotonic time at
        which each host first passed on an answer of it.

    Args:
      seed: Seed of the random decisions.
      folder: Directory for settings files and logs.
      port: First port to use; None for free ones.
      hosts: Number of entry hosts.
      interval_s: Mean time between the requests of one caller; with few
        requests, hosts learn less from their traffic.
      first_fault: Name of the first fault; None for a random one.  Random draws
        depend on the order of events in real time, so that a seed alone does
        not bring a certain fault about.
    """

    def __init__(
        self,
        *,
        seed: int,
        folder: pathlib.Path,
        port: int | None = None,
        hosts: int = 4,
        interval_s: float = MEAN_REQUEST_INTERVAL_S,
        first_fault: str | None = None,
    ):
        self._first_fault = first_fault
        self.random = random_module.Random(seed)
        self.fleet = fleet_module.Fleet(
            folder=folder,
            port=port,
            hosts=hosts,
            shards=4,
            replicas=3,
            extra_attempts=(EXTRA_ATTEMPT_RATIO, EXTRA_ATTEMPTS),
            links=True,
        )
        self.fleet.top_n = TOP_N
        self.fleet.on_restart = self._forget_state
        self.breaches: list[Breach] = []
        self.statuses: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()
        self.draining: dict[str, float] = {}
        self.leaving: dict[str, dict[str, float]] = {}
        self.last_disturbance_s = time.monotonic()
        self.tries: list[soak_checks.Try] = []
        self.served: dict[str, bool] = {}
        self.answers: list[soak_checks.CallerAnswer] = []
        self.cuts: list[soak_checks.HostCut] = []
        self.host_disturbances: dict[str, list[float]] = {}
        self.rate_spans: list[soak_checks.RateSpan] = []
        self.crash_count = 0
        self.keys = {
            **{
                f"key-{tenant}{number}": soak_checks.Key(tenant)
                for tenant in (*UNLIMITED, *QUOTAS)
                for number in range(2)
            },
            "key-unknown": soak_checks.Key(None),
        }
        self.key_uses: dict[str, soak_checks.KeyUse] = {}
        self.refused: set[str] = set()
        self.disturbances: list[float] = []
        self.fleet.key = f"key-{UNLIMITED[0]}0"
        self.fleet.more_bounds = (
            f"quotaWindowS = {QUOTA_WINDOW_S}\n"
            f"quotaExcess = {QUOTA_EXCESS}\n"
            f"quotaSlack = {QUOTA_SLACK}\n"
        )
        self._set_tenants()
        self._interval_s = interval_s
        self._request_count = 0
        self._terminating: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Injects faults for some time, then checks that the fleet recovers."""
        await self.fleet.start()
        try:
            for name in self.fleet.host_names:
                await self.fleet.wait_ready(name)
            callers = [
                asyncio.create_task(self._send_requests()) for _ in range(4)
            ]
            injector = asyncio.create_task(self._inject_faults())
            await asyncio.sleep(seconds)
            injector.cancel()
            await asyncio.wait((injector,))
            await self._end_faults()
            await asyncio.sleep(STABILIZATION_S)
            await self._check_recovered()
            for task in callers:
                task.cancel()
            self._check_answers()
            self._check_executions()
            self._check_extra_attempts()
            self._check_crash_requests()
            self._check_pauses()
            self._check_cut_hosts()
            self._check_rates()
            self._check_identities()
            self._check_quotas()
        finally:
            await self.fleet.stop()

    def note_disturbance(self, host: str | None = None) -> None:
        """Suspends the time limits for the stabilization period.

        Args:
          host: The host that is ended, started, frozen or woken, if any is.
        """
        self.last_disturbance_s = time.monotonic()
        self.disturbances.append(self.last_disturbance_s)
        if host is not None:
            self.host_disturbances.setdefault(host, []).append(
                self.last_disturbance_s
            )

    def cut_hosts(self, names: Sequence[str], kind: fault_proxy.Cut) -> None:
        """Cuts hosts off from all backend servers; ends an earlier cut."""
        self.mend_hosts()
        self.note_disturbance()
        for name in names:
            self.fleet.cut_host(name, kind)
        self.cuts.append(
            soak_checks.HostCut(frozenset(names), time.monotonic(), math.inf)
        )

    def mend_hosts(self) -> None:
        """Ends the cut of hosts, if there is one."""
        if not self.cuts or self.cuts[-1].end_s < math.inf:
            return
        self.note_disturbance()
        for name in self.cuts[-1].hosts:
            self.fleet.mend_host(name)
        self.cuts[-1] = self.cuts[-1]._replace(end_s=time.monotonic())

    def is_valid(self, key: soak_checks.Key) -> bool:
        """Returns whether the newest configuration has a key."""
        return key.tenant is not None and key.withdrawn_s == math.inf

    def change_keys(
        self, *, withdrawn: str, added: str, **changes: Any
    ) -> None:
        """Publishes a configuration with a key in place of another.

        Args:
          withdrawn: The key that is withdrawn.
          added: The new key of the same tenant.
          **changes: Other changes of the configuration.
        """
        now = time.monotonic()
        old = self.keys[withdrawn]
        self.keys[withdrawn] = old._replace(withdrawn_s=now)
        self.keys[added] = soak_checks.Key(old.tenant, now)
        self._set_tenants()
        self.fleet.publish_configuration(**changes)

    def choose_valid_key(
        self, tenants: Sequence[str] = (*UNLIMITED, *QUOTAS)
    ) -> str:
        """Returns a random valid key of tenants, but not that of the fleet."""
        return self.random.choice(
            [
                key
                for key, each in self.keys.items()
                if self.is_valid(each)
                and each.tenant in tenants
                and key != self.fleet.key
            ]
        )

    def _set_tenants(self) -> None:
        """Sets the tenants of the next configurations, with the valid keys."""
        self.fleet.tenants = [
            {
                "name": tenant,
                "apiKeys": [
                    key
                    for key, each in self.keys.items()
                    if each.tenant == tenant and self.is_valid(each)
                ],
                **(
                    {"ratePerS": quota.rate, "burst": quota.burst}
                    if (quota := QUOTAS.get(tenant))
                    else {}
                ),
            }
            for tenant in (*UNLIMITED, *QUOTAS)
        ]

    def _choose_key(self) -> str:
        """Returns a key of a random caller."""
        draw = self.random.random()
        if draw < INVALID_SHARE:
            return self.random.choice(
                [
                    key
                    for key, each in self.keys.items()
                    if not self.is_valid(each)
                ]
            )
        if draw < INVALID_SHARE + HOT_SHARE:
            return self.choose_valid_key(["hot"])
        return self.choose_valid_key([*UNLIMITED, "small"])

    def note_try(
        self, kind: str, request_id: str, host: str, key: str | None = None
    ) -> None:
        """Records a try of a caller that is about to be sent.

        Args:
          kind: Name of its route.
          request_id: Its id.
          host: The host that it is sent to.
          key: Its API key; None for that of the fleet.
        """
        self.key_uses[request_id] = soak_checks.KeyUse(
            key or self.fleet.key, time.monotonic()
        )
        services = {
            "search": tuple(self.fleet.shards),
            "single": (self.fleet.shards[-1],),
            "once": (self.fleet.shards[0],),
        }
        self.tries.append(
            soak_checks.Try(request_id, host, time.monotonic(), services[kind])
        )

    def list_arrivals(self) -> list[soak_checks.Arrival]:
        """Returns all arrivals at backend servers."""
        return [
            soak_checks.Arrival(at_s, request_id, name.rpartition("-")[0], name)
            for name, server in self.fleet.servers.items()
            for at_s, request_id in server.arrivals
        ]

    def _forget_state(self, name: str) -> None:
        """Forgets what a server that has crashed said of itself."""
        self.fleet.servers[name].leaving = False
        self.leaving.pop(name, None)
        self.draining.pop(name, None)

    def record_breach(self, invariant: str, detail: str) -> None:
        """Records a breach of an invariant."""
        self.breaches.append(Breach(invariant, detail))

    async def _inject_faults(self) -> None:
        """Starts random faults at random intervals; they may overlap."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(
                    self.random.expovariate(1.0 / MEAN_FAULT_INTERVAL_S)
                )
                name = self.random.choice(sorted(soak_faults.FAULTS))
                if not self.faults and self._first_fault is not None:
                    name = self._first_fault
                self.faults[name] += 1
                group.create_task(soak_faults.FAULTS[name](self))

    async def _send_requests(self) -> None:
        """Sends requests to random hosts, one at a time, and checks them."""
        while True:
            await asyncio.sleep(self.random.expovariate(1 / self._interval_s))
            self._request_count += 1
            request_id = f"q{self._request_count}"
            kind = self.random.choice(("search", "search", "once"))
            name = self.random.choice(self.fleet.host_names)
            key = self._choose_key()
            self.note_try(kind, request_id, name, key)
            sent_s = time.monotonic()
            try:
                status, headers, body = await self.fleet.send_request(
                    name, f"/{kind}/{request_id}", request_id, key=key
                )
            except (OSError, TimeoutError) as error:
                self.statuses[type(error).__name__] += 1
                self.served[request_id] = False
                continue
            self.statuses[str(status)] += 1
            if status != _UNAUTHORIZED:
                self.answers.append(
                    soak_checks.CallerAnswer(
                        request_id, kind, status, headers, body
                    )
                )
            if status in (_UNAUTHORIZED, _OVER_QUOTA):
                self.refused.add(request_id)
                self._check_refused(request_id, status)
                continue
            self.served[request_id] = status == _OK
            if status == _OK:
                self._note_leaving(name, headers)
            elif status in soak_checks.NOT_EXECUTED_STATUSES and kind == "once":
                self._check_not_executed(request_id)
            self._check_draining(request_id, sent_s)
            self._check_leaving(name, request_id, sent_s)

    def _check_answers(self) -> None:
        """Checks that answers are those of servers to the same requests."""
        servers = self.fleet.servers.values()
        for each in soak_checks.find_wrong_answers(
            self.answers,
            {
                seal: answer
                for server in servers
                for seal, answer in server.answers.items()
            },
            {each for server in servers for each, _ in server.executed},
            shards=self.fleet.shards,
            top=TOP_N,
            min_share=fleet_module.MIN_SHARE,
            # At the end the searches are moved to another path.
            own_statuses=soak_checks.OWN_STATUSES | {_NOT_FOUND},
        ):
            self.record_breach(
                "answers are those of servers",
                f"{each.reason}: {each.answer}",
            )

    def _check_not_executed(self, request_id: str) -> None:
        """Checks that a request reported as not executed was not executed."""
        if self._count_executions(request_id):
            self.record_breach("accurate not-executed status", request_id)

    def _check_refused(self, request_id: str, status: int) -> None:
        """Checks that a request was refused for a reason and not executed."""
        if self._count_executions(request_id):
            self.record_breach("accurate not-executed status", request_id)
        use = self.key_uses[request_id]
        key = self.keys[use.key]
        if (
            status == _UNAUTHORIZED
            and self.is_valid(key)
            and use.sent_s > self._find_force_s(key.added_s)
        ):
            self.record_breach("valid keys", f"{request_id}: {use.key}")
        if status == _OVER_QUOTA and key.tenant not in QUOTAS:
            self.record_breach("quotas", f"{request_id}: no quota")

    def _find_force_s(self, changed_s: float) -> float:
        """Returns when a configuration has to be in force at all hosts."""
        return soak_checks.find_force_s(
            changed_s,
            self.disturbances,
            apply_s=APPLY_BOUND_S,
            rest_s=STABILIZATION_S,
        )

    def _check_draining(self, request_id: str, sent_s: float) -> None:
        """Checks that no server got the request after its drain time limit."""
        if sent_s - self.last_disturbance_s < STABILIZATION_S:
            return
        for name, since_s in self.draining.items():
            if sent_s - since_s <= DRAIN_BOUND_S:
                continue
            if any(
                executed_id == request_id
                for executed_id, _ in self.fleet.servers[name].executed
            ):
                self.record_breach(
                    "no requests to draining servers", f"{request_id} {name}"
                )

    def _note_leaving(self, host: str, headers: dict[str, str]) -> None:
        """Notes that a host has passed on answers of servers that leave."""
        seals = headers.get("x-part-seals", headers.get("x-server-seal", ""))
        for seal in seals.split(", "):
            hosts = self.leaving.get(seal.partition(".")[0])
            if hosts is not None:
                hosts.setdefault(host, time.monotonic())

    def _check_leaving(self, host: str, request_id: str, sent_s: float) -> None:
        """Checks that no server that leaves got the request too late."""
        disturbances = self._list_disturbances().get(host, ())
        for name, hosts in self.leaving.items():
            noted_s = hosts.get(host, sent_s)
            if sent_s - noted_s <= DRAIN_BOUND_S:
                continue
            if any(noted_s <= at_s for at_s in disturbances):
                continue
            if any(
                executed_id == request_id
                for executed_id, _ in self.fleet.servers[name].executed
            ):
                self.record_breach(
                    "no requests to leaving servers", f"{request_id} {name}"
                )

    def _check_executions(self) -> None:
        """Checks that non-idempotent requests were executed at most once."""
        executions = collections.Counter(
            executed_id
            for server in self.fleet.servers.values()
            for executed_id, target in server.executed
            if target.startswith(b"/once/")
        )
        for request_id, count in executions.items():
            if count > 1:
                self.record_breach(
                    "at most once", f"{request_id} was executed {count} times"
                )

    def _check_extra_attempts(self) -> None:
        """Checks the bound on extra attempts over all hosts."""
        for service in soak_checks.find_excess(
            self.list_arrivals(),
            [
                each
                for each in self.tries
                if each.request_id not in self.refused
            ],
            ratio=EXTRA_ATTEMPT_RATIO,
            fixed=EXTRA_ATTEMPTS,
            window_s=EXTRA_ATTEMPT_WINDOW_S,
        ):
            self.record_breach("extra attempts", service)

    def _check_crash_requests(self) -> None:
        """Checks that requests that crash servers are stopped everywhere."""
        for target in {crash.target for crash in self.fleet.crashes}:
            late = soak_checks.list_late_tries(
                self.tries,
                self.fleet.crashes,
                self._list_disturbances(),
                target=target,
                allowed_crashes=MAX_CRASHES,
                notice_s=CRASH_NOTICE_S,
            )
            if len(late) > MAX_LATE_TRIES:
                self.record_breach(
                    "requests that crash servers are stopped",
                    f"{target!r} {late}",
                )

    def _check_pauses(self) -> None:
        """Checks that servers get the pauses that they ask for."""
        hosts = {each.request_id: each.host for each in self.tries}
        for name, server in self.fleet.servers.items():
            turns = [
                soak_checks.Turn(at_s, hosts[request_id], until_s)
                for at_s, request_id, until_s in server.pauses
                if request_id in hosts
            ]
            for host in soak_checks.find_ignored_pauses(
                turns,
                self._list_disturbances(),
                allowed=soak_faults.MAX_REQUESTS_IN_PAUSE,
                notice_s=soak_faults.PAUSE_NOTICE_S,
            ):
                self.record_breach(
                    "servers get the pauses that they ask for",
                    f"{name} {host}",
                )

    def _check_cut_hosts(self) -> None:
        """Checks that callers of hosts that are cut off are served."""
        for detail in soak_checks.find_unserved(
            # What tenants with quotas are served depends on how these are
            # divided among the hosts.
            [
                each
                for each in self.tries
                if each.request_id in self.served
                and self.keys[self.key_uses[each.request_id].key].tenant
                not in QUOTAS
            ],
            self.served,
            self.cuts,
            self.host_disturbances,
            contact_s=CONTACT_S,
        ):
            self.record_breach("callers of cut hosts are served", detail)

    def _check_rates(self) -> None:
        """Checks that servers get no more requests than they stated to take."""
        for detail in soak_checks.find_rate_excess(
            self.rate_spans,
            self.list_arrivals(),
            {name: each.limited for name, each in self.fleet.servers.items()},
            self.tries,
            self._list_disturbances(),
            window_s=RATE_WINDOW_S,
            notice_s=RATE_NOTICE_S,
        ):
            self.record_breach("rates that servers state", detail)

    def _check_identities(self) -> None:
        """Checks the names and keys of the requests at servers."""
        for detail in soak_checks.find_wrong_identities(
            [
                each
                for server in self.fleet.servers.values()
                for each in server.identities
                if each.request_id != END_ID
            ],
            self.key_uses,
            self.keys,
            self.disturbances,
            apply_s=APPLY_BOUND_S,
            rest_s=STABILIZATION_S,
        ):
            self.record_breach("identities at servers", detail)

    def _check_quotas(self) -> None:
        """Checks that servers get no more of a tenant than its quota allows."""
        for detail in soak_checks.find_quota_excess(
            self.list_arrivals(),
            self.key_uses,
            self.keys,
            QUOTAS,
            window_s=QUOTA_WINDOW_S,
            excess=QUOTA_EXCESS,
            slack=QUOTA_SLACK,
        ):
            self.record_breach("quotas", detail)

    def _list_disturbances(self) -> dict[str, list[float]]:
        """Returns the disturbances of each host, with the ends of its cuts."""
        found = {
            host: list(times) for host, times in self.host_disturbances.items()
        }
        for cut in self.cuts:
            for host in cut.hosts:
                found.setdefault(host, []).extend((cut.begin_s, cut.end_s))
        return found

    async def _check_recovered(self) -> None:
        """Checks that every host serves a new configuration in time.

        Each of them has published itself, whatever the store has lost.
        """
        listed = self.fleet.store.list_names(soak_faults.HOST_KIND)
        if listed != sorted(self.fleet.host_names):
            self.record_breach("hosts are in the store", str(listed))
        withdrawn = self.choose_valid_key(UNLIMITED)
        added = f"key{len(self.keys)}"
        path = f"v{self.fleet.version + 1}"
        self.change_keys(
            withdrawn=withdrawn, added=added, pathPrefix=f"/{path}/"
        )
        await asyncio.sleep(APPLY_BOUND_S)
        for name in self.fleet.host_names:
            for key, expected in (
                (None, _OK),
                (added, _OK),
                (withdrawn, _UNAUTHORIZED),
            ):
                try:
                    status, _, _ = await self.fleet.send_request(
                        name, f"/{path}/x", END_ID, key=key
                    )
                except (OSError, TimeoutError) as error:
                    self.record_breach("recovery", f"{name}: {error!r}")
                    continue
                if status != expected:
                    self.record_breach(
                        "configuration in force", f"{name}: {key} {status}"
                    )

    async def _end_faults(self) -> None:
        """Ends all active faults and restarts the hosts that are down."""
        self.fleet.store.down = self.fleet.store.swallowing = False
        for name in self.fleet.host_names:
            self.fleet.signal_host(name, signal.SIGCONT)
            process = self.fleet.processes[name]
            if name in self._terminating:
                await process.wait()
            if process.returncode is not None:
                await self.fleet.start_host(name)
        self.mend_hosts()
        for proxy in self.fleet.list_proxies():
            proxy.restore()
        self.draining.clear()
        for name, server in self.fleet.servers.items():
            server.service_time_s = 0.005
            server.paused_until_s = 0.0
            server.rate_limit = None
            server.failure_share = server.refusal_share = 0.0
            if server.stutterer.is_active:
                server.stutterer.habits = stutter.Habits()
                server.started_at_ms += 1
            if self.leaving.pop(name, None) is not None:
                server.leaving = False
                server.started_at_ms += 1
            self.fleet.register_server(name)

    def _count_executions(self, request_id: str) -> int:
        """Returns how often the servers executed a request."""
        return sum(
            executed_id == request_id
            for server in self.fleet.servers.values()
            for executed_id, _ in server.executed
        )

    async def restart_host(self, name: str, number: signal.Signals) -> None:
        """Ends a host with a signal, waits for its end and restarts it.

        Does nothing if the process of the host has already ended.
        """
        process = self.fleet.processes[name]
        if process.returncode is not None:
            return
        self.note_disturbance(name)
        self._terminating.add(name)
        self.fleet.signal_host(name, number)
        await process.wait()
        if self.fleet.processes[name] is process:
            await self.fleet.start_host(name)
        self._terminating.discard(name)
        self.note_disturbance(name)


async def run_seed(
    *,
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    hosts: int,
    port: int | None = None,
    interval_s: float = MEAN_REQUEST_INTERVAL_S,
    first_fault: str | None = None,
) -> Soak:
    """Runs the soak with one seed and returns it for its results."""
    soak = Soak(
        seed=seed,
        folder=folder,
        port=port,
        hosts=hosts,
        interval_s=interval_s,
        first_fault=first_fault,
    )
    await soak.run(seconds)
    return soak


def main() -> None:
    """Runs seeds and prints a line for each; exits with 1 after a breach."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first-seed", type=int, default=int(time.time()))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument(
        "--interval", type=float, default=MEAN_REQUEST_INTERVAL_S
    )
    parser.add_argument("--first-fault", choices=sorted(soak_faults.FAULTS))
    parser.add_argument("--port", type=int)
    parser.add_argument("--folder", type=pathlib.Path, default="out/soak")
    args = parser.parse_args()
    failed_seeds = 0
    for seed in range(args.first_seed, args.first_seed + args.seeds):
        soak = asyncio.run(
            run_seed(
                seed=seed,
                seconds=args.seconds,
                folder=args.folder / str(seed),
                port=args.port,
                hosts=args.hosts,
                interval_s=args.interval,
                first_fault=args.first_fault,
            )
        )
        failed_seeds += bool(soak.breaches)
        print(
            f"seed {seed}: faults {sum(soak.faults.values())}, answers "
            f"{dict(soak.statuses)}, breaches {soak.breaches[:5]}",
            flush=True,
        )
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
