"""Execution of sub-requests against the backend servers.

The executor is updated with the configuration and with the services that this
host owns.  It keeps one queue for each owned service.  For other services it
only sends directly, as a fallback while their owner is unreachable.
"""

from collections.abc import Callable
from collections.abc import Mapping
import json
import random as random_module
from typing import NamedTuple

from loguru import logger

from eelgrasshall import clock as clocks
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.coordination import attempts
from eelgrasshall.coordination import budget as budgets
from eelgrasshall.coordination import direct_sender
from eelgrasshall.coordination import execution
from eelgrasshall.coordination import handover as handovers
from eelgrasshall.coordination import health_monitor
from eelgrasshall.coordination import hedge as hedges
from eelgrasshall.coordination import histogram as histograms
from eelgrasshall.coordination import observer as observers
from eelgrasshall.coordination import policy as policies
from eelgrasshall.coordination import quarantine as quarantines
from eelgrasshall.coordination import queue as queues
from eelgrasshall.coordination import warmup
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configurations
from eelgrasshall.state import directory as directories
from eelgrasshall.transport import backends

Policy = policies.Policy

# Connections that the owner may hold to a server beyond one for each slot: for
# cancellations, health checks and run-once requests.  The rest of the server's
# connections are left to hosts that send directly.
SPARE_CONNECTIONS = 4
DIRECT_CONNECTIONS = 1
# Number of hosts that share a server's connections if services have no owners.
ALONE_HOST_COUNT = 9


class _OwnedService(NamedTuple):
    """The components that serve one owned service."""

    context: execution.ServiceContext
    observer: observers.Observer
    monitor: health_monitor.HealthMonitor
    latencies: handovers.Latencies


class ServiceTotals(NamedTuple):
    """Current totals of an owned service.

    Attributes:
      service: Name of the service.
      waiting: Attempts waiting for a slot.
      slots_in_use: Slots in use at its backend servers.
      cold: Number of cold backend servers.
      sheds: Attempts shed by its backend servers so far.
    """

    service: str
    waiting: int
    slots_in_use: int
    cold: int
    sheds: int


class ServiceExecutor:
    """Runs sub-requests against the backend servers.

    Args:
      clock: Source of time.
      random: Source of random numbers.
      invariants: Where the invariants are checked.
      backends: Connections to the backend servers.
      publish: Publishes a fact to the other hosts: topic, key, body.
      policy: How services are run.
      record_result: Called with each result of an owned service and its
        duration in seconds.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        random: random_module.Random,
        invariants: invariants_module.InvariantChecker,
        backends: backends.BackendTransport,
        publish: Callable[[str, str, bytes], None],
        policy: policies.Policy,
        record_result: Callable[[messages.SubResult, float], None]
        | None = None,
    ):
        self._clock = clock
        self._random = random
        self._invariants = invariants
        self._transport = backends
        self._publish = publish
        self._policy = policy
        self._record_result = record_result
        self._directory = directories.Directory()
        self._quarantine = quarantines.Quarantine(clock=clock, publish=publish)
        self._direct_sender = direct_sender.DirectSender(
            clock=clock,
            random=random,
            invariants=invariants,
            transport=backends,
            directory=self._directory,
            quarantine=self._quarantine,
        )
        self._owned: dict[str, _OwnedService] = {}
        self._retired: list[_OwnedService] = []
        self._lapsed = True
        self._handover_tracker = handovers.HandoverTracker(
            clock=clock, directory=self._directory
        )

    def apply_configuration(
        self,
        configuration: configurations.Configuration,
        owned: frozenset[str],
        owned_since: Mapping[str, float] | None = None,
        handed_over: frozenset[str] = frozenset(),
    ) -> None:
        """Applies a change of the configuration or of the owned services.

        Args:
          configuration: The configuration in force.
          owned: Names of the services that this host owns.
          owned_since: By service, when this host's ownership began, on the
            monotonic clock; now for services not listed.  Used for services
            that may have had another owner.
          handed_over: Services whose previous owner has handed them over, so
            that no other host sends to their backend servers any more.
        """
        for record in self._directory.apply_configuration(configuration):
            self._mark_cold(record)
        names = {service.name for service in configuration.services}
        if self._policy.ownership == policies.ALONE:
            owned = handed_over = frozenset(names)
        start_times = owned_since or {}
        for name in set(self._owned) - (owned & names):
            self._release_service(name)
        for name in sorted(owned & names):
            is_new = name not in self._owned
            if is_new:
                self._owned[name] = self._make_owned_service(name)
                self._handover_tracker.start_ownership(
                    name, self._owned[name].latencies
                )
            if (is_new or self._lapsed) and name not in handed_over:
                start_s = start_times.get(name, self._clock.monotonic())
                queue = self._owned[name].context.queue
                queue.overlap_until_s = start_s + self._policy.disagreement_s
                queue.handover_until_s = start_s + handovers.HANDOVER_WAIT_S
            elif name in handed_over:
                # The handover may arrive after the ownership began.
                self._owned[name].context.queue.overlap_until_s = 0.0
        self._lapsed = False
        self._update_connection_limits()
        for owned_service in self._owned.values():
            owned_service.context.queue.dispatch_waiting()

    async def execute(self, request: messages.SubRequest) -> messages.SubResult:
        """Runs one sub-request; cancelling this cancels its attempts.

        Args:
          request: The sub-request; if `direct` is set, it is sent even though
            this host does not own the service.

        Returns:
          The only result.
        """
        if self._lapsed:
            return _reject(
                request,
                errors.ProblemKind.PEER_UNREACHABLE,
                "This host does not know which services it owns.",
            )
        owned = self._owned.get(request.service)
        if owned is not None:
            sub_execution = execution.Execution(
                request=request, context=owned.context
            )
            start_s = self._clock.monotonic()
            result = await sub_execution.run()
            if self._record_result is not None:
                duration_s = self._clock.monotonic() - start_s
                self._record_result(result, duration_s)
            return result
        if request.direct:
            return await self._direct_sender.execute(request)
        return _reject(
            request,
            errors.ProblemKind.PEER_UNREACHABLE,
            "This host does not own the service.",
        )

    def accept_fact(self, fact: messages.GossipFact) -> None:
        """Applies a fact published by another host."""
        if fact.topic in (
            quarantines.SUSPECT_TOPIC,
            quarantines.QUARANTINE_TOPIC,
        ):
            self._quarantine.add_gossip(fact)
        if fact.topic == observers.COLD_TOPIC:
            self._apply_cold_fact(fact)

    def handle_owner_result(self, result: messages.SubResult) -> None:
        """Updates the server records from a result returned by an owner."""
        record = self._directory.find(result.server)
        if record is None or result.service in self._owned:
            return
        record.reported_warm_s = (
            self._clock.monotonic() if result.server_warm else None
        )
        record.snapshots = result.available or record.snapshots

    async def export_handover(self, service: str) -> bytes | None:
        """Returns the state of a service for its next owner, once complete.

        Args:
          service: A service that this host has stopped owning.

        Returns:
          The body for `import_handover` at the next owner, or None if the next
          owner must wait out the ownership overlap.
        """
        return await self._handover_tracker.export_state(service)

    def import_handover(self, service: str, body: bytes) -> None:
        """Applies the state of a service that its previous owner exported."""
        owned = self._owned.get(service)
        latencies = owned.latencies if owned is not None else None
        self._handover_tracker.import_state(service, body, latencies)
        if owned is not None:
            owned.context.queue.dispatch_waiting()

    def handle_pause(self) -> None:
        """Treats all ownership as lapsed until the next configuration."""
        self._lapsed = True
        problem = _describe_lost_ownership(errors.ProblemKind.PEER_UNREACHABLE)
        for owned in self._owned.values():
            owned.context.queue.reject_all(problem)
        logger.warning(
            "executor: Ownership lapsed after a pause of the process."
        )

    def read_totals(self) -> list[ServiceTotals]:
        """Returns the current totals of each owned service."""
        totals = []
        for name, owned in self._owned.items():
            records = self._directory.list_service_records(name)
            totals.append(
                ServiceTotals(
                    service=name,
                    waiting=owned.context.queue.count_waiting(),
                    slots_in_use=sum(
                        len(record.in_flight) for record in records
                    ),
                    cold=sum(record.cold for record in records),
                    sheds=sum(record.sheds for record in records),
                )
            )
        return totals

    def count_quarantined(self) -> int:
        """Returns the number of quarantined requests."""
        return len(self._quarantine.dump()["quarantined"])

    def dump(self) -> dict:
        """Returns the state of the executor as plain values."""
        services = {}
        for name, owned in self._owned.items():
            services[name] = {
                "waiting": owned.context.queue.count_waiting(),
                "settled_in_s": round(
                    max(
                        0.0,
                        owned.context.queue.overlap_until_s
                        - self._clock.monotonic(),
                    ),
                    3,
                ),
                "p50_ms": round(
                    owned.latencies.usual.percentile(0.5) * 1000, 3
                ),
                "p99_ms": round(
                    owned.latencies.usual.percentile(0.99) * 1000, 3
                ),
                "hedge_budget": owned.context.hedger.budget.dump(),
                "retry_budget": owned.context.retry_budget.dump(),
            }
        return {
            "lapsed": self._lapsed,
            "policy": self._policy._asdict(),
            "services": services,
            "servers": {
                record.name: {
                    **record.dump(),
                    "connections": self._transport.count_open(record.name),
                }
                for record in self._directory.list_records()
            },
            "quarantine": self._quarantine.dump(),
        }

    async def close(self) -> None:
        """Stops all components and drops everything in flight."""
        for owned in [*self._owned.values(), *self._retired]:
            owned.context.queue.reject_all(
                _describe_lost_ownership(errors.ProblemKind.LEAVING)
            )
            await owned.monitor.stop()
            await owned.context.runner.close()
        await self._direct_sender.close()

    def _make_owned_service(self, name: str) -> _OwnedService:
        """Makes the components that serve an owned service."""
        warm_latencies = histograms.Histogram()
        all_latencies = histograms.Histogram()
        hedger = hedges.Hedger(
            policy=self._policy, warm_latencies=warm_latencies
        )
        observer = observers.Observer(
            clock=self._clock,
            random=self._random,
            quarantine=self._quarantine,
            publish=self._publish,
            warm_latencies=warm_latencies,
            hedger=hedger,
            directory=self._directory,
            all_latencies=all_latencies,
        )

        def check_connections(record: directories.ServerRecord) -> None:
            if self._transport.take_closed_count(record.name):
                observer.mark_cold(record, "closed its connections")

        queue = queues.SlotQueue(
            service=name,
            clock=self._clock,
            random=self._random,
            invariants=self._invariants,
            directory=self._directory,
            all_latencies=all_latencies,
            check_connections=check_connections,
        )
        runner = attempts.AttemptRunner(
            clock=self._clock,
            invariants=self._invariants,
            transport=self._transport,
            queue=queue,
            observer=observer,
            warm_latencies=warm_latencies,
        )
        context = execution.ServiceContext(
            clock=self._clock,
            invariants=self._invariants,
            directory=self._directory,
            quarantine=self._quarantine,
            queue=queue,
            runner=runner,
            hedger=hedger,
            retry_budget=budgets.ExtraAttemptBudget(
                share=self._policy.retry_budget
            ),
        )
        monitor = health_monitor.HealthMonitor(
            service=name,
            clock=self._clock,
            random=self._random,
            transport=self._transport,
            directory=self._directory,
            observer=observer,
            queue=queue,
        )
        monitor.start()
        latencies = handovers.Latencies(warm_latencies, all_latencies)
        return _OwnedService(context, observer, monitor, latencies)

    def _release_service(self, name: str) -> None:
        """Stops serving a service; attempts in flight may finish."""
        owned = self._owned.pop(name)
        owned.context.queue.reject_all(
            _describe_lost_ownership(errors.ProblemKind.PEER_UNREACHABLE)
        )
        owned.monitor.cancel()
        self._handover_tracker.end_ownership(name, owned.latencies)
        self._retired = [r for r in self._retired if r.context.runner.is_busy()]
        self._retired.append(owned)

    def _mark_cold(self, record: directories.ServerRecord) -> None:
        """Marks a server cold that has come back into service."""
        owned = self._owned.get(record.service)
        if owned is None:
            warmup.mark_cold(record)
        else:
            owned.observer.mark_cold(record, "returned to service")

    def _apply_cold_fact(self, fact: messages.GossipFact) -> None:
        """Applies the fact that a server is cold or warm."""
        record = self._directory.find(fact.key)
        if record is None:
            return
        try:
            cold = json.loads(fact.body)["cold"]
        except (ValueError, KeyError, TypeError):
            return
        if cold is True:
            warmup.mark_cold(record)
        elif record.service not in self._owned:
            record.reported_warm_s = self._clock.monotonic()

    def _update_connection_limits(self) -> None:
        """Sets the connection limits of this host in the transport."""
        targets = []
        for record in self._directory.list_records():
            server = record.server
            limit = DIRECT_CONNECTIONS
            if self._policy.ownership == policies.ALONE:
                limit = max(limit, server.connections // ALONE_HOST_COUNT)
            elif record.service in self._owned:
                limit = server.slots + SPARE_CONNECTIONS
            targets.append(
                backends.BackendTarget(
                    name=server.name,
                    host=server.host,
                    port=server.port,
                    connection_limit=min(limit, server.connections),
                )
            )
        self._transport.set_servers(tuple(targets))


def _reject(
    request: messages.SubRequest, kind: errors.ProblemKind, what: str
) -> messages.SubResult:
    """Returns the result of a sub-request that this host rejects."""
    return messages.SubResult(
        sub_id=request.sub_id,
        service=request.service,
        outcome=messages.SubOutcome.NOT_RUN,
        problem=errors.Problem(
            kind,
            f"services.{request.service}",
            what,
            "Send it to the owner of the service.",
        ),
    )


def _describe_lost_ownership(kind: errors.ProblemKind) -> errors.Problem:
    """Returns the problem of requests that waited when ownership ended."""
    return errors.Problem(
        kind,
        "executor",
        "This host no longer owns the service.",
        "Send it to the owner of the service.",
    )
