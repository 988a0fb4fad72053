"""The owner side of the services: from a sub-request to its result.

The executor follows the configuration and the ownership of services.  For
each service that this host owns it keeps one exact queue; for the others it
can only send directly, as a fallback while their owner cannot be reached.
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
from eelgrasshall.coordination import direct
from eelgrasshall.coordination import execution
from eelgrasshall.coordination import handover as handovers
from eelgrasshall.coordination import hedge as hedges
from eelgrasshall.coordination import histogram as histograms
from eelgrasshall.coordination import monitor as monitors
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

# Connections that the owner holds beyond one for each slot: for cancels,
# health requests and run-once requests.  The rest of a server's connections
# is left to hosts that send directly.
SPARE_CONNECTIONS = 4
DIRECT_CONNECTIONS = 1
# Hosts among which a server's connections are divided if each sends alone.
ALONE_HOSTS = 9


class _Owned(NamedTuple):
    """The parts that serve one owned service."""

    tools: execution.Tools
    observer: observers.Observer
    monitor: monitors.Monitor
    latencies: handovers.Latencies


class ServiceTotals(NamedTuple):
    """What an owned service holds at a moment.

    Attributes:
      service: Name of the service.
      waiting: Sub-requests that wait for a slot.
      slots_in_use: Slots in use at its backend servers.
      cold: Backend servers that are cold.
      sheds: Attempts shed so far.
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
      random: Source of chance.
      invariants: Where the promises are checked.
      backends: Connections to the backend servers.
      publish: Tells the other hosts: topic, key, body.
      policy: The choices in force.
      record_result: Called with each result of an owned service and the
        seconds that it took.
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
        self._direct = direct.DirectSender(
            clock=clock,
            random=random,
            invariants=invariants,
            transport=backends,
            directory=self._directory,
            quarantine=self._quarantine,
        )
        self._owned: dict[str, _Owned] = {}
        self._retired: list[_Owned] = []
        self._lapsed = True
        self._handovers = handovers.HandoverBook(
            clock=clock, directory=self._directory
        )

    def adopt(
        self,
        configuration: configurations.Configuration,
        owned: frozenset[str],
        now_owned_since: Mapping[str, float] | None = None,
        clean: frozenset[str] = frozenset(),
    ) -> None:
        """Follows a change of configuration or ownership.

        Args:
          configuration: The configuration in force.
          owned: Names of the services that this host owns.
          now_owned_since: For services that may have had another owner, when
            this host's ownership began on the monotonic clock; now for those
            not named.
          clean: Services that their last owner has handed over, so that no
            other host sends to their backend servers any more.
        """
        for record in self._directory.follow(configuration):
            self._turn_cold(record)
        names = {service.name for service in configuration.services}
        if self._policy.ownership == policies.ALONE:
            owned = clean = frozenset(names)
        since = now_owned_since or {}
        for name in set(self._owned) - (owned & names):
            self._give_up_service(name)
        for name in sorted(owned & names):
            taken = name not in self._owned
            if taken:
                self._owned[name] = self._make_owned(name)
                self._handovers.take_over(name, self._owned[name].latencies)
            if (taken or self._lapsed) and name not in clean:
                start_s = since.get(name, self._clock.monotonic())
                queue = self._owned[name].tools.queue
                queue.settled_s = start_s + self._policy.disagreement_s
                queue.handover_s = start_s + handovers.EXPECTED_S
            elif name in clean:
                # The word of handover may come after the ownership itself.
                self._owned[name].tools.queue.settled_s = 0.0
        self._lapsed = False
        self._set_targets()
        for owned_service in self._owned.values():
            owned_service.tools.queue.dispatch_waiting()

    async def execute(self, request: messages.SubRequest) -> messages.SubResult:
        """Runs one sub-request; cancelling this cancels its attempts.

        Args:
          request: The sub-request; `direct` says that the sender knows that
            this host does not own the service.

        Returns:
          The one result.
        """
        if self._lapsed:
            return _refuse(
                request,
                errors.ProblemKind.PEER_UNREACHABLE,
                "This host does not know which services it owns.",
            )
        owned = self._owned.get(request.service)
        if owned is not None:
            course = execution.Execution(request=request, tools=owned.tools)
            began_s = self._clock.monotonic()
            result = await course.run()
            if self._record_result is not None:
                took_s = self._clock.monotonic() - began_s
                self._record_result(result, took_s)
            return result
        if request.direct:
            return await self._direct.execute(request)
        return _refuse(
            request,
            errors.ProblemKind.PEER_UNREACHABLE,
            "This host does not own the service.",
        )

    def accept_fact(self, fact: messages.GossipFact) -> None:
        """Takes over what another host found out."""
        if fact.topic in (
            quarantines.SUSPECT_TOPIC,
            quarantines.QUARANTINE_TOPIC,
        ):
            self._quarantine.accept(fact)
        if fact.topic == observers.COLD_TOPIC:
            self._accept_cold(fact)

    def note_result(self, result: messages.SubResult) -> None:
        """Learns from a result that an owner gave to this host."""
        record = self._directory.find(result.server)
        if record is None or result.service in self._owned:
            return
        record.told_warm_s = (
            self._clock.monotonic() if result.server_warm else None
        )
        record.snapshots = result.available or record.snapshots

    async def hand_over(self, service: str) -> bytes | None:
        """Gives what the next owner of a service should know, once it may.

        Args:
          service: A service that this host has stopped owning.

        Returns:
          The body for `accept_handover` there, or None if the next owner
          must wait for itself.
        """
        return await self._handovers.export_state(service)

    def accept_handover(self, service: str, body: bytes) -> None:
        """Takes over what the previous owner knew of a service."""
        owned = self._owned.get(service)
        latencies = owned.latencies if owned is not None else None
        self._handovers.import_state(service, body, latencies)
        if owned is not None:
            owned.tools.queue.dispatch_waiting()

    def notice_pause(self) -> None:
        """Takes all ownership to have lapsed until `adopt` is called."""
        self._lapsed = True
        problem = _explain_lapse(errors.ProblemKind.PEER_UNREACHABLE)
        for owned in self._owned.values():
            owned.tools.queue.fail_all(problem)
        logger.warning("executor: Paused; ownership lapsed.")

    def read_totals(self) -> list[ServiceTotals]:
        """Returns what each owned service holds now."""
        totals = []
        for name, owned in self._owned.items():
            records = self._directory.of_service(name)
            totals.append(
                ServiceTotals(
                    service=name,
                    waiting=owned.tools.queue.count_waiting(),
                    slots_in_use=sum(len(each.held) for each in records),
                    cold=sum(each.cold for each in records),
                    sheds=sum(each.sheds for each in records),
                )
            )
        return totals

    def count_quarantined(self) -> int:
        """Returns the number of requests in quarantine."""
        return len(self._quarantine.dump()["quarantined"])

    def dump(self) -> dict:
        """Returns the state of the executor as plain values."""
        services = {}
        for name, owned in self._owned.items():
            services[name] = {
                "waiting": owned.tools.queue.count_waiting(),
                "settled_in_s": round(
                    max(
                        0.0,
                        owned.tools.queue.settled_s - self._clock.monotonic(),
                    ),
                    3,
                ),
                "p50_ms": round(
                    owned.latencies.usual.percentile(0.5) * 1000, 3
                ),
                "p99_ms": round(
                    owned.latencies.usual.percentile(0.99) * 1000, 3
                ),
                "hedge_budget": owned.tools.hedger.budget.dump(),
                "retry_budget": owned.tools.retries.dump(),
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
                for record in self._directory.all()
            },
            "quarantine": self._quarantine.dump(),
        }

    async def close(self) -> None:
        """Drops everything in flight."""
        for owned in [*self._owned.values(), *self._retired]:
            owned.tools.queue.fail_all(
                _explain_lapse(errors.ProblemKind.LEAVING)
            )
            await owned.monitor.stop()
            await owned.tools.runner.close()
        await self._direct.close()

    def _make_owned(self, name: str) -> _Owned:
        """Builds the parts that serve a service."""
        usual = histograms.Histogram()
        seen = histograms.Histogram()
        hedger = hedges.Hedger(policy=self._policy, usual=usual)
        observer = observers.Observer(
            clock=self._clock,
            random=self._random,
            quarantine=self._quarantine,
            publish=self._publish,
            usual=usual,
            hedger=hedger,
            directory=self._directory,
            seen=seen,
        )

        def notice_lost(record: directories.ServerRecord) -> None:
            if self._transport.count_lost(record.name):
                observer.turn_cold(record, "closed its connections")

        queue = queues.SlotQueue(
            service=name,
            clock=self._clock,
            random=self._random,
            invariants=self._invariants,
            directory=self._directory,
            seen=seen,
            notice_lost=notice_lost,
        )
        runner = attempts.AttemptRunner(
            clock=self._clock,
            invariants=self._invariants,
            transport=self._transport,
            queue=queue,
            observer=observer,
            usual=usual,
        )
        tools = execution.Tools(
            clock=self._clock,
            invariants=self._invariants,
            directory=self._directory,
            quarantine=self._quarantine,
            queue=queue,
            runner=runner,
            hedger=hedger,
            retries=budgets.Budget(share=self._policy.retry_budget),
        )
        monitor = monitors.Monitor(
            service=name,
            clock=self._clock,
            random=self._random,
            transport=self._transport,
            directory=self._directory,
            observer=observer,
            queue=queue,
        )
        monitor.start()
        latencies = handovers.Latencies(usual, seen)
        return _Owned(tools, observer, monitor, latencies)

    def _give_up_service(self, name: str) -> None:
        """Stops serving a service; what is in flight finishes."""
        owned = self._owned.pop(name)
        owned.tools.queue.fail_all(
            _explain_lapse(errors.ProblemKind.PEER_UNREACHABLE)
        )
        owned.monitor.cancel()
        self._handovers.give_up(name, owned.latencies)
        self._retired = [r for r in self._retired if r.tools.runner.is_busy()]
        self._retired.append(owned)

    def _turn_cold(self, record: directories.ServerRecord) -> None:
        """Takes a server to be cold that has come back."""
        owned = self._owned.get(record.service)
        if owned is None:
            warmup.turn_cold(record)
        else:
            owned.observer.turn_cold(record, "came back")

    def _accept_cold(self, fact: messages.GossipFact) -> None:
        """Takes over whether a server is cold."""
        record = self._directory.find(fact.key)
        if record is None:
            return
        try:
            cold = json.loads(fact.body)["cold"]
        except (ValueError, KeyError, TypeError):
            return
        if cold is True:
            warmup.turn_cold(record)
        elif record.service not in self._owned:
            record.told_warm_s = self._clock.monotonic()

    def _set_targets(self) -> None:
        """Gives the connection limits of this host to the transport."""
        targets = []
        for record in self._directory.all():
            server = record.server
            limit = DIRECT_CONNECTIONS
            if self._policy.ownership == policies.ALONE:
                limit = max(limit, server.connections // ALONE_HOSTS)
            elif record.service in self._owned:
                limit = server.slots + SPARE_CONNECTIONS
            targets.append(
                backends.BackendTarget(
                    name=server.name,
                    host=server.host,
                    port=server.port,
                    connections=min(limit, server.connections),
                )
            )
        self._transport.set_servers(tuple(targets))


def _refuse(
    request: messages.SubRequest, kind: errors.ProblemKind, what: str
) -> messages.SubResult:
    """Returns the result of a sub-request that this host does not run."""
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


def _explain_lapse(kind: errors.ProblemKind) -> errors.Problem:
    """Returns the problem of what waited when ownership ended."""
    return errors.Problem(
        kind,
        "executor",
        "This host no longer owns the service.",
        "Send it to the owner of the service.",
    )
