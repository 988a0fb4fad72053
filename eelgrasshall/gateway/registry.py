"""The backend servers to which this host may send requests.

A server stops being a candidate when it drains, is deleted, answers with the
identity of another server, or its zone is evacuated.  The health endpoint of an
unreachable server is probed until it answers, so that no caller's request is
used to test it.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import math
from typing import Any

from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import events
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import rate_limits
from eelgrasshall.gateway import rollouts
from eelgrasshall.gateway import shares
from eelgrasshall.gateway import upstream

# Share of a server's connection limit that all hosts together use: connections
# that open and close overlap, and hosts may learn of each other late.
CONNECTION_SHARE = 0.85
# Connections of all active hosts to a server, for each of its slots: requests
# on further connections would queue at the server, where they cannot be sent to
# another server.
CONNECTIONS_PER_SLOT = 2.0
# With one connection, a slow request would block all others of a host.
MIN_CONNECTIONS = 2
# Fewest servers of a service that a host uses, even if they exceed its share:
# one of them may be slow and another one lost.
MIN_SUBSET_SIZE = 2
# Share of a server's usable connections that is planned with when hosts use
# subsets: some servers are in the subsets of a third more hosts than others.
SUBSET_SHARE = 0.7
# Delays between health checks of an unreachable server, doubled with each check
# up to the maximum.
MIN_PROBE_DELAY_S = 0.25
MAX_PROBE_DELAY_S = 1.0
PROBE_TIMEOUT_S = 0.5
# How long a server that is about to stop is still used while its service has no
# other one: less than any server serves on after it has said so.
LAST_RESORT_S = 1.5
# Most servers that have left of which that is remembered.
MAX_REMEMBERED = 1000
# Least time between two log lines on the rate that one server states.
RATE_LOG_INTERVAL_S = 1.0

VersionPolicy = Callable[[str, Sequence[model.Server]], rollouts.Versions]


class Registry:
    """Tracks the backend servers of each service and selects candidates.

    Args:
      log: The log for changes.
      own: The name of this host.
      cold_start_bound: Requests allowed beyond a cold server's stated rate.
    """

    def __init__(
        self,
        *,
        log: events.EventLog,
        own: str,
        cold_start_bound: cold_start.ColdStartBound,
    ):
        self._log = log
        self._own = own
        self._cold_start_bound = cold_start_bound
        self._host_names: tuple[str, ...] = (own,)
        self._environment: upstream.Environment | None = None
        self._servers: dict[str, model.Server] = {}
        self._backends: dict[str, upstream.Backend] = {}
        self._candidates: dict[str, list[upstream.Backend]] = {}
        self._subsets: dict[str, list[upstream.Backend]] = {}
        self._services: dict[str, model.Service] = {}
        self._evacuated_zones: set[str] = set()
        self._sharing_host_count = 1
        self._active_host_count = 1
        self._probes: dict[str, asyncio.Task] = {}
        self._checks: dict[str, asyncio.Task] = {}
        # Start times of the servers that have announced that they stop.
        self._leaving: dict[str, int] = {}
        # Start times of the servers that have drained or whose entry is gone,
        # and the store's eras in which that happened.
        self._departed: dict[str, tuple[int, int]] = {}
        self._last_resorts: dict[str, asyncio.TimerHandle] = {}
        self._rate_limits = rate_limits.RateLimits(
            own=own, on_changed=self._apply_rate
        )
        # Chooses the versions in use; None if all are.
        self._choose_versions: VersionPolicy | None = None
        self._on_outcome: upstream.OutcomeHandler | None = None
        # The servers on trial, by service.
        self._trials: dict[str, list[upstream.Backend]] = {}
        # When the last change of a server's rate was logged.
        self._rate_logged_s: dict[str, float] = {}

    def set_environment(self, environment: upstream.Environment) -> None:
        """Sets the environment that all backend servers share."""
        self._environment = environment

    @property
    def evacuated_zones(self) -> set[str]:
        """The zones whose servers get no requests."""
        return set(self._evacuated_zones)

    def find_candidates(self, service: str) -> Sequence[upstream.Backend]:
        """Returns the servers of a service to which this host may send."""
        subset = self._subsets.get(service)
        if subset is None:
            subset = self._subsets[service] = self._choose_subset(service)
        return subset

    def set_version_policy(
        self,
        choose_versions: VersionPolicy,
        *,
        on_outcome: upstream.OutcomeHandler,
    ) -> None:
        """Sets what chooses the versions in use; before there are servers.

        Args:
          choose_versions: Returns the versions of a service, given its servers.
          on_outcome: See `upstream.Backend.on_outcome`.
        """
        self._choose_versions = choose_versions
        self._on_outcome = on_outcome

    def find_trial_servers(self, service: str) -> Sequence[upstream.Backend]:
        """Returns the servers of a service that get some first attempts."""
        if service not in self._subsets:
            self.find_candidates(service)
        return self._trials.get(service, ())

    def refresh_versions(self, service: str) -> None:
        """Chooses the servers of a service by their versions anew.

        Attempts that wait at servers which get no requests any more are placed
        anew.
        """
        self._forget_subset(service)
        used = {*self.find_candidates(service), *self._trials.get(service, ())}
        for backend in list(self._candidates.get(service, ())):
            if backend not in used:
                backend.release_queued()

    def count_pending_old(self, service: str) -> int:
        """Returns the attempts at servers that get no requests any more."""
        used = {
            *self.find_candidates(service),
            *self.find_trial_servers(service),
        }
        return sum(
            len(backend.pending)
            for backend in self._candidates.get(service, ())
            if backend not in used
        )

    def _forget_subset(self, service: str) -> None:
        """Lets the servers of a service be chosen anew."""
        self._subsets.pop(service, None)
        self._trials.pop(service, None)

    def _select_versions(self, service: str) -> list[upstream.Backend]:
        """Returns the candidates of the versions of a service in use."""
        backends = self._candidates.get(service, [])
        if self._choose_versions is None:
            return backends
        self._trials.pop(service, None)
        versions = self._choose_versions(
            service,
            [
                each
                for each in self._servers.values()
                if each.service == service
            ],
        )
        current = [
            each for each in backends if each.server.version == versions.current
        ]
        if not current:
            return backends
        if versions.trial is not None:
            self._trials[service] = [
                each
                for each in backends
                if each.server.version == versions.trial
            ]
        return current

    def count_servers(self) -> int:
        """Returns the number of candidates of all services."""
        return sum(len(each) for each in self._candidates.values())

    def set_services(self, services: dict[str, model.Service]) -> None:
        """Applies the services of a configuration."""
        self._services = services
        self._subsets.clear()
        for backend in self._backends.values():
            service = services.get(backend.server.service)
            if service is not None:
                backend.service = service
        self._update_connection_limits()
        for server in list(self._servers.values()):
            self._update_candidate(server)

    def set_hosts(self, sharing_count: int, names: tuple[str, ...]) -> None:
        """Sets the hosts among which the limits of each server are divided.

        Args:
          sharing_count: Number of hosts that share the connection limits.
          names: Names of all known hosts, alive or not, including this one;
            they share the rate of cold servers.
        """
        if sharing_count != self._sharing_host_count:
            self._sharing_host_count = sharing_count
            self._subsets.clear()
            self._update_connection_limits()
        if names != self._host_names:
            self._host_names = names
            now = self._environment.loop.time()
            for backend in self._backends.values():
                if backend.cold_start.is_cold(now):
                    self._update_cold_share(backend)

    def set_active_host_count(self, count: int) -> None:
        """Sets the number of active hosts, over which slots are divided."""
        if count != self._active_host_count:
            self._active_host_count = count
            self._update_connection_limits()

    def set_fleet_view(self, view: rate_limits.FleetView) -> None:
        """Sets the hosts that share the rates which servers state."""
        self._rate_limits.set_view(view, self._environment.loop.time())

    def record_rate(
        self, backend: upstream.Backend, rate: float | None, sent_s: float
    ) -> None:
        """Records the rate that a response states as the server's most.

        Args:
          backend: The server.
          rate: Requests per second from all hosts; None if it states none.
          sent_s: When the request was sent.
        """
        self._rate_limits.record(
            backend.server.id,
            backend.server.started_at_ms,
            rate,
            sent_s=sent_s,
            now=self._environment.loop.time(),
        )

    def merge_rates(self, statements: Sequence[rate_limits.Statement]) -> None:
        """Adds the rates of servers that another host has passed on."""
        self._rate_limits.merge(statements, self._environment.loop.time())

    def list_rate_gossip(self, max_count: int) -> list[rate_limits.Statement]:
        """Returns the rates of servers to pass on to other hosts."""
        now = self._environment.loop.time()
        return self._rate_limits.list_gossip(now, max_count)

    def set_evacuated(self, zone: str, evacuated: bool) -> None:
        """Evacuates a zone, or ends its evacuation."""
        if evacuated:
            self._evacuated_zones.add(zone)
        else:
            self._evacuated_zones.discard(zone)
        self._log.record("zone", zone=zone, evacuated=evacuated)
        for server in list(self._servers.values()):
            if server.zone == zone:
                self._update_candidate(server)
                self._mark_cold(server.id)

    def set_server(
        self, server_id: str, server: model.Server | None, revision: int
    ) -> None:
        """Adds, updates or removes a backend server.

        Args:
          server_id: The name of the server.
          server: Its entry; None if it was deleted or is unreadable.
          revision: The store's revision of the change.
        """
        era, number = object_cache.split_revision(revision)
        old = self._servers.get(server_id)
        if server is None:
            if old is None:
                return
            del self._servers[server_id]
            self._report_end(server_id)
            self._remove(server_id)
            self._remember_departed(old, era)
            state = "gone"
        else:
            if old is not None and server.started_at_ms < old.started_at_ms:
                return
            if old is not None and _is_other_instance(old, server):
                self._report_end(server_id)
                self._remove(server_id)
            self._servers[server_id] = server
            if server.draining:
                self._remember_departed(server, era)
            is_new = server_id not in self._backends
            self._update_candidate(server)
            if is_new:
                self._doubt_departed(server, era)
            if server.cold_remaining_s > 0:
                self._mark_cold(server_id, server.cold_remaining_s)
            state = "draining" if server.draining else "ready"
        if self._choose_versions is not None:
            self.refresh_versions((server or old).service)
        self._log.record(
            "server",
            server=server_id,
            service=(server or old).service,
            state=state,
            cold_s=server.cold_remaining_s if server else None,
            revision=number,
        )

    def _report_end(self, server_id: str) -> None:
        """Reports that the process of a candidate has ended."""
        backend = self._backends.get(server_id)
        if backend is not None:
            self._environment.observer.on_ended(backend)

    def remove_misdirected(self, backend: upstream.Backend) -> None:
        """Removes a server at whose address another server answers."""
        if self._backends.get(backend.server.id) is backend:
            self._remove(backend.server.id)
            self._log.record("server_misdirected", server=backend.server.id)

    def mark_leaving(self, backend: upstream.Backend) -> None:
        """Stops the use of a server that has announced that it stops.

        If its service has no other server that can be reached, it is used for a
        short time more.
        """
        server = backend.server
        if self._backends.get(server.id) is not backend or (
            self._leaving.get(server.id) == server.started_at_ms
        ):
            return
        self._leaving[server.id] = server.started_at_ms
        if len(self._leaving) > MAX_REMEMBERED:
            del self._leaving[next(iter(self._leaving))]
        is_only = all(
            each is backend
            or each.unreachable
            or each.server.id in self._last_resorts
            for each in self._candidates[server.service]
        )
        self._log.record(
            "server_leaving",
            server=server.id,
            service=server.service,
            last_resort=is_only,
        )
        if is_only:
            self._last_resorts[server.id] = self._environment.loop.call_later(
                LAST_RESORT_S, self._end_last_resort, server.id
            )
        else:
            self._remove(server.id)

    def _remember_departed(self, server: model.Server, era: int) -> None:
        """Remembers that a server has drained or its entry is gone."""
        self._departed.pop(server.id, None)
        self._departed[server.id] = (server.started_at_ms, era)
        if len(self._departed) > MAX_REMEMBERED:
            del self._departed[next(iter(self._departed))]

    def _doubt_departed(self, server: model.Server, era: int) -> None:
        """Probes a server that an older copy of the store may have revived."""
        backend = self._backends.get(server.id)
        started_at_ms, departed_era = self._departed.get(server.id, (0, era))
        if (
            backend is not None
            and departed_era < era
            and started_at_ms == server.started_at_ms
        ):
            backend.unreachable = True
            self.start_probe(backend, event="server_doubted")

    def _end_last_resort(self, server_id: str) -> None:
        """Stops the use of a server that was the last one of its service."""
        timer = self._last_resorts.pop(server_id, None)
        if timer is not None:
            timer.cancel()
            self._remove(server_id)

    def _is_leaving(self, server: model.Server) -> bool:
        """Returns whether this process of a server has said that it stops."""
        return (
            self._leaving.get(server.id) == server.started_at_ms
            and server.id not in self._last_resorts
        )

    def start_probe(
        self, backend: upstream.Backend, event: str = "server_unreachable"
    ) -> None:
        """Starts to probe the health endpoint of a server.

        Args:
          backend: The server; it gets no request before it is healthy.
          event: The reason, as the name of an event for the log.
        """
        server_id = backend.server.id
        if server_id in self._probes or backend.closed:
            return
        self._log.record(event, server=server_id)
        task = self._environment.loop.create_task(self._probe(backend))
        self._probes[server_id] = task
        backend.probed = True
        task.add_done_callback(lambda done: self._forget_probe(backend, done))

    def list_used(self) -> list[upstream.Backend]:
        """Returns the servers of all services to which this host may send."""
        return [
            backend
            for service in self._candidates
            for backend in self.find_candidates(service)
        ]

    def suspend_probes(self) -> None:
        """Ends all probes, while this host reaches no server."""
        for task in self._probes.values():
            task.cancel()
        self._probes.clear()

    def resume(self, since_s: float) -> None:
        """Uses the servers again that became unreachable since a time.

        Those that were unreachable before are probed, and so are those that
        have to be spared after a start, since they may have started meanwhile.

        Args:
          since_s: Monotonic time.
        """
        for backend in list(self._backends.values()):
            if not backend.unreachable:
                continue
            if (
                backend.unreachable_since_s >= since_s
                and not backend.service.cold_rate_per_s
            ):
                backend.trust_again()
            else:
                self.start_probe(backend)

    def _forget_probe(
        self, backend: upstream.Backend, task: asyncio.Task
    ) -> None:
        """Forgets a probe that has ended."""
        backend.probed = False
        if self._probes.get(backend.server.id) is task:
            del self._probes[backend.server.id]

    def dump(self) -> dict[str, Any]:
        """Returns the state of each candidate for the state dump."""
        now = self._environment.loop.time()
        return {
            server_id: _dump_backend(backend, now)
            for server_id, backend in self._backends.items()
        }

    def sweep(self, now: float) -> None:
        """Ends overdue attempts and closes old idle connections."""
        for backend in list(self._backends.values()):
            backend.sweep(now)
        for server_id in self._rate_limits.list_due_checks(now):
            backend = self._backends.get(server_id)
            if backend is not None and not backend.unreachable:
                self._start_check(backend)

    def close(self) -> None:
        """Cancels all probes and closes the connections of all candidates."""
        for task in (*self._probes.values(), *self._checks.values()):
            task.cancel()
        for timer in self._last_resorts.values():
            timer.cancel()
        for backend in self._backends.values():
            backend.close()

    async def _probe(self, backend: upstream.Backend) -> None:
        """Probes a server's health endpoint until it is healthy."""
        server_id = backend.server.id
        delay_s = MIN_PROBE_DELAY_S
        while not backend.closed:
            pause_s = backend.get_pause_s(self._environment.loop.time())
            await asyncio.sleep(max(delay_s, pause_s))
            if not backend.may_check(self._environment.loop.time()):
                continue
            delay_s = min(delay_s * 2, MAX_PROBE_DELAY_S)
            outcome = await self._check_health(backend)
            if self._is_healthy(backend, outcome):
                backend.unreachable = False
                self._log.record("server_reached", server=server_id)
                self._mark_cold(server_id)
                return
            backend.unreachable = True

    async def _check_health(
        self, backend: upstream.Backend
    ) -> messages.Reply | messages.Failure:
        """Sends a health check and returns its outcome."""
        waiter = _OutcomeWaiter(loop=self._environment.loop)
        now = self._environment.loop.time()
        attempt = attempts.Attempt(
            owner=waiter,
            tag=None,
            request_id=None,
            encode=lambda remaining_s, server_id: (
                b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n"
                % (
                    backend.service.health_path.encode(),
                    str(backend.server.address).encode(),
                )
            ),
            deadline_s=now + PROBE_TIMEOUT_S,
            expected_latency_s=PROBE_TIMEOUT_S,
            needs_new_connection=True,
        )
        self._environment.count("health_checks")
        backend.submit(attempt)
        return await waiter.outcome

    def _start_check(self, backend: upstream.Backend) -> None:
        """Starts a health check of a server that takes no other requests."""
        server_id = backend.server.id
        if server_id in self._checks:
            return
        task = self._environment.loop.create_task(self._check_health(backend))
        self._checks[server_id] = task
        task.add_done_callback(lambda _: self._checks.pop(server_id))

    def _apply_rate(
        self, statement: rate_limits.Statement, is_remote: bool
    ) -> None:
        """Limits the requests to a server by what it has stated."""
        server_id = statement.server_id
        backend = self._backends.get(server_id)
        if backend is not None:
            self._set_limiter(backend)
        self._log_rate(statement, backend, is_remote=is_remote)

    def _log_rate(
        self,
        statement: rate_limits.Statement,
        backend: upstream.Backend | None,
        *,
        is_remote: bool,
    ) -> None:
        """Logs a server's rate, unless one was logged just before."""
        server_id = statement.server_id
        now = self._environment.loop.time()
        logged_s = self._rate_logged_s.get(server_id, -math.inf)
        if now - logged_s < RATE_LOG_INTERVAL_S:
            return
        self._rate_logged_s.pop(server_id, None)
        self._rate_logged_s[server_id] = now
        if len(self._rate_logged_s) > MAX_REMEMBERED:
            del self._rate_logged_s[next(iter(self._rate_logged_s))]
        limiter = None if backend is None else backend.limiter
        self._log.record(
            "server_limit",
            server=server_id,
            rate=statement.rate,
            share=None if limiter is None else round(limiter.share, 3),
            from_host=is_remote,
        )

    def _set_limiter(self, backend: upstream.Backend) -> None:
        """Sets the limiter of a server from what is known of its rate."""
        server = backend.server
        identity = (server.id, server.started_at_ms)
        backend.states_rate = self._rate_limits.knows(*identity)
        backend.set_limiter(self._rate_limits.find_limiter(*identity))

    def _is_healthy(
        self,
        backend: upstream.Backend,
        outcome: messages.Reply | messages.Failure,
    ) -> bool:
        """Returns whether a health check succeeded and the server matches.

        A response that bears the id of a request is not that to a check.
        """
        if not isinstance(outcome, messages.Reply) or outcome.status != 200:
            return False
        request_id = self._environment.names.request_id
        return backend.is_sender_of(outcome) and not any(
            value for key, value in outcome.headers if key.lower() == request_id
        )

    def _update_candidate(self, server: model.Server) -> None:
        """Adds a usable server to the candidates, or removes another one."""
        usable = (
            not server.draining
            and server.zone not in self._evacuated_zones
            and server.service in self._services
            and not self._is_leaving(server)
        )
        if not usable:
            self._remove(server.id)
            return
        backend = self._backends.get(server.id)
        if backend is not None:
            backend.server = server
            return
        service = self._services[server.service]
        self._backends[server.id] = upstream.Backend(
            server=server,
            service=service,
            environment=self._environment,
            connection_limit=self._compute_connection_limit(server, service),
        )
        self._set_limiter(self._backends[server.id])
        self._backends[server.id].on_outcome = self._on_outcome
        candidates = self._candidates.setdefault(server.service, [])
        candidates.append(self._backends[server.id])
        self._forget_subset(server.service)
        for each in list(candidates):
            self._end_last_resort(each.server.id)

    def _remove(self, server_id: str) -> None:
        """Removes a server from the candidates and closes its connections."""
        backend = self._backends.pop(server_id, None)
        if backend is None:
            return
        probe = self._probes.pop(server_id, None)
        if probe is not None:
            probe.cancel()
        timer = self._last_resorts.pop(server_id, None)
        if timer is not None:
            timer.cancel()
        self._candidates[backend.server.service].remove(backend)
        self._forget_subset(backend.server.service)
        # Last, as attempts that wait there are placed anew.
        backend.close()

    def _choose_subset(self, service: str) -> list[upstream.Backend]:
        """Returns the servers of a service that this host uses.

        Each host ranks the servers by hashes of its own, so that each server is
        used by about as many hosts as it has connections for.
        """
        backends = self._select_versions(service)
        settings = self._services.get(service)
        if settings is None:
            # The configuration has dropped it; its servers are being removed.
            return []
        count = choose_subset_size(
            len(backends), settings.max_connections, self._sharing_host_count
        )
        if count >= len(backends):
            return list(backends)
        return sorted(
            backends,
            key=lambda backend: shares.hash_pair(self._own, backend.server.id),
        )[:count]

    def _mark_cold(self, server_id: str, cold_s: float | None = None) -> None:
        """Limits the rate to a cold server, if its service states one.

        Args:
          server_id: The name of the server.
          cold_s: Seconds for which the server is cold; None for the duration
            after a start.
        """
        backend = self._backends.get(server_id)
        if backend is None:
            return
        remaining_s = backend.service.cold_s if cold_s is None else cold_s
        now = self._environment.loop.time()
        backend.cold_until_s = max(backend.cold_until_s, now + remaining_s)
        if not backend.service.cold_rate_per_s:
            return
        if not backend.cold_start.is_cold(now):
            self._log.record(
                "server_cold", server=server_id, left_s=remaining_s
            )
            # Computed on demand: there are many hosts and servers, but few of
            # the servers are cold.
            self._update_cold_share(backend)
        backend.cold_start.mark_cold_until(now + remaining_s)

    def _update_cold_share(self, backend: upstream.Backend) -> None:
        """Sets this host's share of the rate of a cold server."""
        share = cold_start.compute_host_rate(
            rate=backend.service.cold_rate_per_s,
            bound=self._cold_start_bound,
            server_id=backend.server.id,
            own=self._own,
            hosts=self._host_names,
        )
        backend.cold_start.set_rate_limit(share)

    def _compute_connection_limit(
        self, server: model.Server, service: model.Service
    ) -> int:
        """Returns how many connections this host may hold to one server."""
        share = (
            service.max_connections
            * CONNECTION_SHARE
            / self._sharing_host_count
        )
        useful = math.ceil(
            server.slots * CONNECTIONS_PER_SLOT / self._active_host_count
        )
        return max(1, min(int(share), max(useful, MIN_CONNECTIONS)))

    def _update_connection_limits(self) -> None:
        """Updates the connection limits of all candidates."""
        for backend in self._backends.values():
            backend.connection_limit = self._compute_connection_limit(
                backend.server, backend.service
            )


def _dump_backend(backend: upstream.Backend, now: float) -> dict[str, Any]:
    """Returns the state of a server for the state dump."""
    limiter = backend.limiter
    return {
        "service": backend.server.service,
        "in_flight": len(backend.pending),
        "connections": backend.open_connections,
        "slowness": round(backend.latency_ratio, 2),
        "errors": round(backend.get_error_rate(now), 2),
        "refusals": round(backend.get_refusal_rate(now), 2),
        "unreachable": backend.unreachable,
        "pause_s": round(backend.get_pause_s(now), 2),
        "rate": None if limiter is None else limiter.rate,
        "rate_share": None if limiter is None else round(limiter.share, 3),
        "cold": backend.cold_start.is_cold(now),
    }


def choose_subset_size(servers: int, max_connections: int, hosts: int) -> int:
    """Returns how many servers of a service one host uses.

    Args:
      servers: Number of servers of the service.
      max_connections: Connections that each of them accepts.
      hosts: Number of hosts that share them.
    """
    per_host = max_connections * CONNECTION_SHARE / max(hosts, 1)
    if per_host >= 1.0:
        return servers
    return max(MIN_SUBSET_SIZE, int(servers * per_host * SUBSET_SHARE))


class _OutcomeWaiter:
    """Attempt owner that lets a task await the outcome."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop):
        self.outcome: asyncio.Future = loop.create_future()

    def handle_outcome(
        self,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Resolves the future with the outcome."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


def _is_other_instance(old: model.Server, new: model.Server) -> bool:
    """Returns whether an entry is of another process, address or service."""
    return (old.started_at_ms, old.address, old.service) != (
        new.started_at_ms,
        new.address,
        new.service,
    )
