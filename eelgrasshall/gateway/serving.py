"""Serves the callers' requests: finds the route, runs it, tells the log.

It holds what one host has seen of routes and services, and the shares of the
limits that all hosts keep together.
"""

import asyncio
from collections.abc import Sequence
import random as random_module
from typing import Any

from eelgrasshall.gateway import active_hosts
from eelgrasshall.gateway import admission
from eelgrasshall.gateway import admission_queue
from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import events
from eelgrasshall.gateway import fanout
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import metrics as metrics_module
from eelgrasshall.gateway import model
from eelgrasshall.gateway import quarantine as quarantines
from eelgrasshall.gateway import registry as registries
from eelgrasshall.gateway import routing
from eelgrasshall.gateway import upstream

# A host without a configuration has one within this time, usually.
RETRY_UNREADY_S = 0.3
# Most attempts of a search are quicker than this quantile, so that the slowest
# of some ten shards takes about as long.
EXPECTED_QUANTILE = 0.95


class RequestServer:
    """Everything between a caller's request and its response.

    Args:
      own: This host.
      names: The header names.
      extra_bound: The bound on attempts beyond the first.
      cold_bound: What is allowed beyond a cold server's own rate.
      random: The source of chance.
      log: The structured log.
      metrics: What is counted.
    """

    def __init__(
        self,
        *,
        own: model.Host,
        names: model.HeaderNames,
        extra_bound: hedging.ExtraAttemptBound,
        cold_bound: cold_start.ColdStartBound,
        random: random_module.Random,
        log: events.EventLog,
        metrics: metrics_module.Metrics,
    ):
        self.names = names
        self.zone = own.zone
        self.random = random
        self.loop = asyncio.get_running_loop()
        self.quarantine = quarantines.Quarantine()
        self.registry = registries.Registry(
            log=log, own=own.name, cold_bound=cold_bound
        )
        self.registry.attach(
            upstream.Environment(
                loop=self.loop, names=names, observer=self, count=metrics.count
            )
        )
        self._log = log
        self._metrics = metrics
        self._extra_bound = extra_bound
        self._table: routing.RouteTable | None = None
        self._dealer = routing.WeightedRoundRobin()
        self._allowances: dict[str, hedging.ExtraAttemptBudget] = {}
        self._latencies: dict[str, hedging.LatencyWindow] = {}
        self._sharing = (
            active_hosts.MIN_ACTIVE_HOSTS + active_hosts.EXTRA_SHARING_HOSTS
        )
        self._carrying = active_hosts.MIN_ACTIVE_HOSTS
        self._turns: dict[tuple[str, ...], admission_queue.AdmissionQueue] = {}
        self._longest_s: dict[str, float] = {}
        self._tickets = 0

    @property
    def version(self) -> int:
        """The version of the configuration in force, 0 if there is none."""
        return self._table.configuration.version if self._table else 0

    def adopt(self, configuration: model.Configuration) -> None:
        """Puts a configuration in force."""
        self._table = routing.RouteTable(configuration=configuration)
        routes = {route.name for route in configuration.routes}
        self._latencies = {
            name: latencies
            for name, latencies in self._latencies.items()
            if name in routes
        }
        # Time-outs may have changed, and with them what callers wait for.
        self._longest_s.clear()
        self._turns = {
            services: turn
            for services, turn in self._turns.items()
            if turn.limiter.running
            or configuration.services.keys() >= {*services}
        }
        self.registry.set_services(configuration.services)

    def read_limits(self) -> model.CallerLimits:
        """Returns the limits on callers."""
        if self._table is None:
            return model.CallerLimits()
        return self._table.configuration.limits

    def set_hosts(self, sharing: int, names: tuple[str, ...]) -> None:
        """Divides what all hosts share.

        Args:
          sharing: Number of hosts that carry requests.
          names: Names of all hosts known, alive or not, with this one.
        """
        self.registry.set_hosts(sharing, names)
        if sharing != self._sharing:
            self._sharing = sharing
            for allowance in self._allowances.values():
                allowance.set_hosts(sharing)

    def set_carrying(self, carrying: int) -> None:
        """Sets the number of hosts heard that carry requests at present."""
        self._carrying = max(carrying, 1)
        self.registry.set_carrying(self._carrying)

    def set_extra_bound(self, bound: hedging.ExtraAttemptBound) -> None:
        """Changes the bound on attempts beyond the first."""
        self._extra_bound = bound
        for allowance in self._allowances.values():
            allowance.set_bound(bound)

    async def answer(self, request: messages.Request) -> listener.Response:
        """Answers a caller's request."""
        outcome, route, decided = await self._serve(request)
        took_s = self.loop.time() - request.received_s
        self._metrics.record_request(outcome.verdict.value, took_s)
        if self._log.wants_request(failed=outcome.status >= 400):
            request_id = request.find(self.names.request_id) or b""
            self._log.record(
                "request",
                id=request_id.decode("latin-1"),
                route=route.name if route else None,
                version=self.version,
                verdict=outcome.verdict.value,
                status=outcome.status,
                reason=outcome.reason,
                missing=outcome.missing,
                **decided,
                took_ms=round(took_s * 1000),
            )
        return listener.Response(outcome.status, outcome.headers, outcome.body)

    async def _serve(
        self, request: messages.Request
    ) -> tuple[fanout.Outcome, model.Route | None, dict[str, Any]]:
        """Finds a request's route and has it served.

        Returns:
          The outcome, the route, and what was decided on the way.
        """
        if self._table is None:
            return self._refuse(503, "no configuration", RETRY_UNREADY_S)
        route = self._table.find(request.host, request.path)
        if route is None:
            return self._refuse(404, "no route")
        request_id = request.find(self.names.request_id)
        if not request_id:
            return self._refuse(400, "no request id", route=route)
        if self.quarantine.has_reports() and self.quarantine.is_quarantined(
            messages.compute_fingerprint(request), self.loop.time()
        ):
            wait_s = quarantines.REPORT_RETENTION_S
            return self._refuse(503, "crashes servers", wait_s, route=route)
        services = route.shards or (
            self._dealer.choose_service(route.name, route.split),
        )
        patience_s = self._find_patience(request, route)
        turn = self._find_turns(services, route)
        if not await turn.wait_for_admission(
            self._make_ticket(request, route, patience_s)
        ):
            self.count("turned_away")
            wait_s = admission.choose_retry_after(
                request.received_s + patience_s - self.loop.time(),
                turn.limiter.estimate_backlog_s(),
                self.random,
            )
            outcome, _, _ = self._refuse(503, "too many requests", wait_s)
            return outcome, route, turn.limiter.get_log_fields()
        started_s = self.loop.time()
        flight = fanout.Fanout(
            context=self,
            request=request,
            route=route,
            services=services,
            request_id=request_id,
            deadline_s=request.received_s + patience_s,
            is_crowded=lambda: turn.limiter.has_waiting,
        )
        try:
            outcome = await flight.run()
        finally:
            if turn.finish(started_s=started_s, objective_s=route.objective_s):
                self._log.record(
                    "admission",
                    route=route.name,
                    version=self.version,
                    **turn.limiter.get_log_fields(),
                )
        waited_ms = round((started_s - request.received_s) * 1000)
        decided = {"waited_ms": waited_ms, **flight.explain()}
        return outcome, route, decided

    def _make_ticket(
        self, request: messages.Request, route: model.Route, patience_s: float
    ) -> admission.QueueEntry:
        """Returns a request's claim to a turn."""
        self._tickets += 1
        longest_s = max(patience_s, self._longest_s.get(route.name, 0.0))
        self._longest_s[route.name] = longest_s
        return admission.make_queue_entry(
            number=self._tickets,
            route=route,
            arrived_s=request.received_s,
            timeout_s=patience_s,
            longest_timeout_s=longest_s,
            expected_s=self.find_latencies(route).quantile(EXPECTED_QUANTILE),
        )

    def _find_turns(
        self, services: Sequence[str], route: model.Route
    ) -> admission_queue.AdmissionQueue:
        """Returns what lets requests for some services wait."""
        found = self._turns.get(tuple(services))
        if found is None:
            limiter = admission.ConcurrencyLimiter(
                average_duration_s=route.objective_s / 2
            )
            found = admission_queue.AdmissionQueue(
                limiter=limiter, loop=self.loop
            )
            self._turns[tuple(services)] = found
        slots = [
            sum(
                backend.server.slots
                for backend in self.find_candidates(service)
                if not backend.unreachable
            )
            for service in services
        ]
        found.limiter.set_capacity(slots, self._carrying)
        return found

    def _refuse(
        self,
        status: int,
        reason: str,
        wait_s: float | None = None,
        *,
        route: model.Route | None = None,
    ) -> tuple[fanout.Outcome, model.Route | None, dict[str, Any]]:
        """Returns a refusal of a request that was not sent anywhere."""
        headers = []
        if wait_s is not None:
            headers.append((self.names.retry_after, b"%.2f" % wait_s))
        refused = fanout.Verdict.REFUSED
        outcome = fanout.Outcome(refused, status, headers, b"", 0, reason)
        return outcome, route, {}

    def _find_patience(
        self, request: messages.Request, route: model.Route
    ) -> float:
        """Returns for how many seconds a request may take."""
        text = request.find(self.names.budget)
        if text is not None and text.isdigit():
            return min(int(text) / 1000.0, route.timeout_s)
        return route.timeout_s

    # What a fan-out asks.

    def find_candidates(self, service: str) -> Sequence[upstream.Backend]:
        """Returns the backend servers that may get work now."""
        return self.registry.find_candidates(service)

    def find_allowance(self, service: str) -> hedging.ExtraAttemptBudget:
        """Returns the allowance of extra attempts at a service."""
        allowance = self._allowances.get(service)
        if allowance is None:
            # Kept for good: a service that comes back must not get anew what
            # was used within the window of the bound.
            allowance = self._allowances[service] = hedging.ExtraAttemptBudget(
                bound=self._extra_bound, hosts=self._sharing
            )
        return allowance

    def find_latencies(self, route: model.Route) -> hedging.LatencyWindow:
        """Returns the latencies of a route."""
        found = self._latencies.get(route.name)
        if found is None:
            found = self._latencies[route.name] = hedging.LatencyWindow(
                initial_latency_s=route.objective_s / 2
            )
        return found

    def count(self, name: str) -> None:
        """Adds one to a named counter."""
        self._metrics.count(name)

    # What backend servers tell.

    def notice_connection_lost(
        self, backend: upstream.Backend, attempt: attempts.Attempt
    ) -> None:
        """Notes a connection that ended while a request ran on it."""
        self.count("connections_lost")
        if attempt.find_fingerprint is not None:
            self.quarantine.record_lost_request(
                backend.server.id,
                attempt.find_fingerprint(),
                attempt.request_id.decode("latin-1"),
                self.loop.time(),
            )

    def notice_unreachable(self, backend: upstream.Backend) -> None:
        """Has an unreachable server asked until it answers."""
        blames = self.quarantine.record_unreachable(
            backend.server.id, self.loop.time()
        )
        for blame in blames:
            self._log.record(
                "blamed",
                id=blame.request_id,
                fingerprint=blame.fingerprint,
                server=blame.server_id,
            )
        self.registry.probe(backend)

    def notice_misdirected(self, backend: upstream.Backend) -> None:
        """Removes a server at whose address another one answers."""
        self.registry.drop_misdirected(backend)
