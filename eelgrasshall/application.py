"""The application object of the daemon.

It creates the components, connects them, and starts and stops them in order.
A planned stop announces to the peers that this host leaves, keeps serving for
as long as callers may have this host's address cached, waits for requests in
flight, and only then closes the components.
"""

import json
import random as random_module
from typing import Any

from loguru import logger

from eelgrasshall import clock as clocks
from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall import metric_callbacks
from eelgrasshall import metrics as metrics_module
from eelgrasshall import settings as settings_module
from eelgrasshall.coordination import admission
from eelgrasshall.coordination import claims
from eelgrasshall.coordination import executor
from eelgrasshall.coordination import facts
from eelgrasshall.coordination import membership
from eelgrasshall.coordination import observer
from eelgrasshall.coordination import ownership
from eelgrasshall.coordination import pause
from eelgrasshall.coordination import peer_streams
from eelgrasshall.coordination import policy
from eelgrasshall.coordination import quarantine
from eelgrasshall.coordination import query
from eelgrasshall.coordination import relay
from eelgrasshall.coordination import rollout
from eelgrasshall.coordination import tickets
from eelgrasshall.protocol import admin as admin_protocol
from eelgrasshall.protocol import caller as caller_protocol
from eelgrasshall.protocol import messages
from eelgrasshall.state import members
from eelgrasshall.state import snapshots
from eelgrasshall.transport import admin
from eelgrasshall.transport import backends
from eelgrasshall.transport import callers
from eelgrasshall.transport import peers
from eelgrasshall.transport import platform

# After a gap in its own clock of more than this, the process gives up what it
# holds for a limited time, such as the ownership of services.
PAUSE_LIMIT_S = 1.0
FACT_TTL_S = 300.0
DRAIN_POLL_INTERVAL_S = 0.02
MILLIS_PER_SECOND = 1000


class Application:
    """The components of one daemon and their connections.

    Args:
      settings: The settings of this process.
      clock: The clock of all components.
      random: The random number generator of all components.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        clock: clocks.Clock,
        random: random_module.Random,
    ):
        self._settings = settings
        self._clock = clock
        self._leaving = False
        self.invariants = invariants_module.InvariantChecker(
            raising=settings.invariants_raise
        )
        self.metrics = metrics_module.Metrics(name=settings.name)
        self._incarnation = int(clock.wall() * MILLIS_PER_SECOND)
        self._create_coordination(random)
        self._create_owner_side(random)
        self._create_caller_side(random)
        self._peer_listener = peers.PeerListener(handler=self)
        self._admin_server = admin.AdminServer(handler=self)
        self._subscribe()

    async def start(self) -> None:
        """Starts the components, the callers' listener last.

        Raises:
          OSError: The address of a listener cannot be bound.
        """
        settings = self._settings
        await self._peer_listener.start(
            peers.Address(settings.peer.host, settings.peer.port)
        )
        await self._admin_server.start(settings.admin.host, settings.admin.port)
        self._pause_detector.start()
        # Until this host has a configuration, it can serve neither peers nor
        # callers, so it joins without being announced as ready.
        self._membership.start(joining=True)
        self._configuration_manager.start()
        await self._idempotent_runner.start()
        await self._caller_server.start(
            settings.caller.host, settings.caller.port
        )
        logger.info(f"application: Host {settings.name} is serving.")

    async def drain(self) -> None:
        """Announces that this host leaves and drains its requests.

        Keeps serving for `address_ttl_s`, since callers may still have this
        host's address, then waits at most `drain_s` until nothing is in
        flight.
        """
        settings = self._settings
        self._leaving = True
        logger.info(f"application: Host {settings.name} is draining.")
        started = self._clock.monotonic()
        self._coordinator.begin_leaving()
        self._caller_server.start_draining()
        await self._membership.announce_leaving()
        await self._clock.sleep(settings.address_ttl_s)
        deadline = started + settings.address_ttl_s + settings.drain_s
        while self._is_busy() and self._clock.monotonic() < deadline:
            await self._clock.sleep(DRAIN_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Closes every component.

        After `drain`, callers' requests get up to `drain_s` to finish; else
        they are aborted.
        """
        await self._caller_server.stop(
            self._settings.drain_s if self._leaving else 0
        )
        await self._idempotent_runner.stop()
        self._ownership.stop()
        self._pause_detector.stop()
        await self._configuration_manager.stop()
        await self._membership.stop()
        await self._peer_listener.stop()
        await self._executor.close()
        await self._backends.close()
        self._streams.close_all()
        await self._platform.close()
        await self._admin_server.stop()
        self.metrics.stop()
        logger.info(f"application: Host {self._settings.name} stopped.")

    # Called by the peer listener.

    def accept_requests(
        self, sender: str, batch: tuple[messages.SubRequest, ...]
    ) -> None:
        """Accepts sub-requests relayed by a peer."""
        self._pause_detector.check()
        self._relay.accept_requests(sender, batch)

    def accept_results(
        self, sender: str, batch: tuple[messages.SubResult, ...]
    ) -> None:
        """Accepts results of sub-requests that were relayed to a peer."""
        self._relay.accept_results(sender, batch)

    def accept_cancels(self, sender: str, sub_ids: tuple[str, ...]) -> None:
        """Cancels sub-requests relayed by a peer."""
        self._relay.accept_cancels(sender, sub_ids)

    async def answer_gossip(self, message: messages.Gossip) -> messages.Gossip:
        """Answers a heartbeat."""
        return await self._membership.answer_gossip(message)

    def get_newer_configuration(self, known_version: int) -> tuple[int, bytes]:
        """Returns the configuration in force to a peer with an older one."""
        return self._configuration_manager.get_if_newer(known_version)

    async def run_ticket(
        self, sender: str, request: bytes
    ) -> tuple[int, bytes]:
        """Runs a request that a peer relayed because this host is its home."""
        del sender
        return await self._coordinator.run_relayed(request)

    # Called by the callers' listener.

    async def query(
        self, request: caller_protocol.QueryRequest
    ) -> caller_protocol.Outcome:
        """Answers a caller's request."""
        self._pause_detector.check()
        started = self._clock.monotonic()
        outcome = await self._coordinator.run(request)
        latency_s = self._clock.monotonic() - started
        kind = (
            request.kind if self._is_declared_kind(request.kind) else "unknown"
        )
        self.metrics.record_query(
            kind, outcome.outcome_type.value, latency_s, outcome.key_share
        )
        return outcome

    async def list_addresses(self, zone: str) -> caller_protocol.Outcome:
        """Returns the entry hosts that a caller should use."""
        return await self._coordinator.list_addresses(zone)

    # Called by the admin listener and on signals.

    def read_status(self) -> admin_protocol.Status:
        """Returns a summary of the state of this process."""
        holders = self._configuration_manager.dump()["holders"]
        own = self._membership.own.name
        rows = []
        for member in self._membership.members():
            version = holders.get(member.name)
            if member.name == own:
                version = self._configuration_manager.version
            rows.append(
                admin_protocol.MemberStatus(
                    name=member.name,
                    zone=member.zone,
                    state=member.status.value,
                    configuration_version=version,
                )
            )
        return admin_protocol.Status(
            name=self._settings.name,
            zone=self._settings.zone,
            state="leaving" if self._leaving else "serving",
            configuration_version=self._configuration_manager.version,
            members=tuple(rows),
            store_reachable=self._platform.dump()["failures_in_a_row"] == 0,
            owned_services=len(self._ownership.owned()),
            breaches=sum(self.invariants.breaches.values()),
        )

    def dump(self) -> dict[str, Any]:
        """Returns the state dump of this process."""
        checks = self.invariants.checks
        breaches = self.invariants.breaches
        return {
            "name": self._settings.name,
            "incarnation": self._incarnation,
            "leaving": self._leaving,
            "invariants": {
                "checks": {i.name: n for i, n in checks.items()},
                "breaches": {i.name: n for i, n in breaches.items()},
            },
            "configuration": self._configuration_manager.dump(),
            "membership": self._membership.dump(),
            "ownership": self._ownership.dump(),
            "relay": self._relay.dump(),
            "queries": self._coordinator.dump(),
            "executor": self._executor.dump(),
            "platform": self._platform.dump(),
            "pauses": self._pause_detector.pauses,
        }

    def log_state_dump(self) -> None:
        """Logs the state dump on one line."""
        logger.info(f"dump: {json.dumps(self.dump(), default=str)}")

    def render_metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return self.metrics.render()

    def read_configuration(self) -> bytes:
        """Returns the encoded configuration in force, empty if none."""
        return self._configuration_manager.body

    async def apply_configuration(
        self, body: bytes, base_version: int
    ) -> list[errors.Problem]:
        """Applies a configuration as the next version.

        Args:
          body: The configuration as JSON.
          base_version: The version that the change is based on.

        Returns:
          The problems that prevented it, none on success.
        """
        return await self._configuration_manager.apply(body, base_version)

    # Creation and connection of the components.

    def _create_coordination(self, random: random_module.Random) -> None:
        """Creates the components that coordinate with the other hosts."""
        settings = self._settings
        clock = self._clock
        self._platform = platform.PlatformClient(
            base_url=settings.platform_url,
            clock=clock,
            random=random,
            calls_per_s=settings.store_calls_per_s,
        )
        self._streams = peer_streams.PeerStreams(name=settings.name)
        self._facts = facts.FactTable(clock=clock)
        self._membership = membership.Membership(
            self_member=members.Member(
                name=settings.name,
                zone=settings.zone,
                region=settings.region,
                caller_host=settings.caller.host,
                caller_port=settings.caller.port,
                peer_host=settings.peer_address.host,
                peer_port=settings.peer_address.port,
                incarnation=self._incarnation,
            ),
            clock=clock,
            random=random,
            facts=self._facts,
            streams=self._streams,
            platform=self._platform,
        )
        self._configuration_manager = rollout.ConfigurationManager(
            platform=self._platform,
            streams=self._streams,
            membership=self._membership,
            clock=clock,
            random=random,
            invariants=self.invariants,
        )
        self._ownership = ownership.Ownership(
            name=settings.name,
            membership=self._membership,
            configuration_source=self._configuration_manager,
            clock=clock,
            facts=self._facts,
        )
        self._pause_detector = pause.PauseDetector(
            clock=clock, limit_s=PAUSE_LIMIT_S
        )

    def _create_owner_side(self, random: random_module.Random) -> None:
        """Creates the components that send to backend servers."""
        policy_settings = self._settings.policy
        self._backends = backends.BackendTransport(
            clock=self._clock, invariants=self.invariants
        )
        self._executor = executor.ServiceExecutor(
            clock=self._clock,
            random=random,
            invariants=self.invariants,
            backends=self._backends,
            publish=self._publish_fact,
            policy=policy.Policy(
                hedging=policy_settings.hedging,
                hedge_percentile=policy_settings.hedge_percentile / 100,
                hedge_budget=policy_settings.hedge_budget,
                retry_budget=policy_settings.retry_budget,
                ownership=policy_settings.ownership,
            ),
            record_result=self._record_result,
        )
        self._relay = relay.Relay(
            name=self._settings.name,
            clock=self._clock,
            invariants=self.invariants,
            executor=self._executor,
            ownership=self._ownership,
            get_stream=self._find_stream,
            ownerless=policy_settings.ownership == policy.ALONE,
        )

    def _create_caller_side(self, random: random_module.Random) -> None:
        """Creates the components that serve callers."""
        settings = self._settings
        self._idempotent_runner = claims.IdempotentRunner(
            name=settings.name,
            incarnation=self._incarnation,
            clock=self._clock,
            random=random,
            invariants=self.invariants,
            store=self._platform,
            relay_to_host=self._relay_to_host,
        )
        self._coordinator = query.QueryCoordinator(
            name=settings.name,
            zone=settings.zone,
            clock=self._clock,
            random=random,
            invariants=self.invariants,
            dispatch=self._relay.dispatch,
            get_configuration=lambda: self._configuration_manager.current,
            get_members=self._membership.members,
            admission=admission.AdmissionController(
                clock=self._clock, random=random
            ),
            snapshots=snapshots.SnapshotTable(clock=self._clock),
            ticket_runner=tickets.TicketRunner(
                name=settings.name,
                incarnation=self._incarnation,
                clock=self._clock,
                random=random,
                invariants=self.invariants,
                relay_to_host=self._relay_to_host,
            ),
            idempotent_runner=self._idempotent_runner,
            address_ttl_s=settings.address_ttl_s,
        )
        self._caller_server = callers.CallerServer(
            handler=self, invariants=self.invariants
        )

    def _subscribe(self) -> None:
        """Registers the callbacks between components."""
        self._ownership.set_handover_callbacks(
            prepare=self._executor.export_handover,
            accept=self._executor.import_handover,
        )
        self._configuration_manager.subscribe(self._apply_ownership)
        self._ownership.subscribe(self._apply_ownership)
        self._membership.subscribe(self._drop_departed_peers)
        self._pause_detector.subscribe(self._handle_pause)
        topics = (
            quarantine.SUSPECT_TOPIC,
            quarantine.QUARANTINE_TOPIC,
            observer.COLD_TOPIC,
        )
        for topic in topics:
            self._facts.subscribe(topic)(self._executor.accept_fact)
        metric_callbacks.register(
            self.metrics,
            configuration_manager=self._configuration_manager,
            membership=self._membership,
            ownership=self._ownership,
            coordinator=self._coordinator,
            executor=self._executor,
            platform=self._platform,
            invariants=self.invariants,
        )

    def _apply_ownership(self) -> None:
        """Passes configuration and owned services on to the executor."""
        configuration = self._configuration_manager.current
        if configuration is None:
            return
        self._membership.announce_ready()
        claims = self._ownership.list_claims()
        self.metrics.drop_unowned_services(self._ownership.owned())
        self._executor.apply_configuration(
            configuration,
            frozenset(claim.service for claim in claims),
            {claim.service: claim.since for claim in claims},
            frozenset(c.service for c in claims if c.handed_over),
        )

    def _drop_departed_peers(self) -> None:
        """Stops waiting for results of peers that are no longer members."""
        current = {member.name for member in self._membership.members()}
        self._relay.drop_departed_peers(current)

    def _handle_pause(self, gap_s: float) -> None:
        """Gives up what this host held for a limited time before a pause."""
        self._executor.handle_pause()
        self._ownership.handle_pause(gap_s)

    def _publish_fact(self, topic: str, key: str, body: bytes) -> None:
        """Publishes a fact to the other hosts."""
        self._facts.publish(topic, key, body, FACT_TTL_S)

    def _record_result(
        self, result: messages.SubResult, duration_s: float
    ) -> None:
        """Records a sub-request of an owned service in the metrics."""
        retries = max(0, result.attempts - result.hedges - 1)
        self.metrics.record_sub_request(
            result.service, duration_s, result.hedges, retries
        )

    def _find_stream(self, name: str) -> peers.PeerStream | None:
        """Returns the stream to a host, None if it is not a member."""
        member = self._membership.find(name)
        return self._streams.get(member) if member else None

    async def _relay_to_host(
        self, host: str, incarnation: int, request: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Relays a request to the only host that may run it.

        Args:
          host: Name of that host.
          incarnation: Incarnation of that host that may run it.
          request: The encoded request.
          timeout_s: Seconds to wait for the outcome.

        Raises:
          peers.PeerError: The host is not known in that incarnation or did
            not answer.
          tickets.HomeRestartedError: The host has restarted since.
        """
        member = self._membership.find(host)
        if member is None or member.incarnation < incarnation:
            raise peers.PeerError(f"Host {host} is not known.")
        if member.incarnation > incarnation:
            raise tickets.HomeRestartedError(f"Host {host} has restarted.")
        stream = self._streams.get(member)
        return await stream.run_ticket(request, timeout_s)

    def _is_declared_kind(self, name: str) -> bool:
        """Returns whether a kind is declared; bounds the metric labels."""
        configuration = self._configuration_manager.current
        return configuration is not None and bool(configuration.find_kind(name))

    def _is_busy(self) -> bool:
        """Returns whether any query or relayed sub-request is in flight."""
        return self._coordinator.in_flight + self._relay.running_for_peers > 0
