"""The application object: every part of one daemon, started and stopped.

It owns the parts, connects them, and takes them up and down in order.  A
planned stop first tells the peers, keeps serving while callers may still hold
this host's address, finishes what is in flight, and only then closes.
"""

import json
import random as random_module
from typing import Any

from loguru import logger

from eelgrasshall import clock as clocks
from eelgrasshall import errors
from eelgrasshall import invariants as promises
from eelgrasshall import metrics as metrics_module
from eelgrasshall import readings
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

# A gap in the own clock beyond this lapses ownership.
PAUSE_LIMIT_S = 1.0
FACT_TTL_S = 300.0
DRAIN_POLL_S = 0.02
MILLIS_PER_SECOND = 1000


class Application:
    """One daemon.

    Args:
      settings: Its settings.
      clock: The source of time.
      random: The source of chance.
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
        self.invariants = promises.Invariants(raising=settings.invariants_raise)
        self.metrics = metrics_module.Metrics(name=settings.name)
        self._incarnation = int(clock.wall() * MILLIS_PER_SECOND)
        self._make_coordination(random)
        self._make_owner_side(random)
        self._make_caller_side(random)
        self._listener = peers.PeerListener(handler=self)
        self._admin = admin.AdminServer(handler=self)
        self._subscribe()

    async def start(self) -> None:
        """Starts every part, listeners last.

        Raises:
          OSError: A listener's address cannot be bound.
        """
        settings = self._settings
        await self._listener.start(
            peers.Address(settings.peer.host, settings.peer.port)
        )
        await self._admin.start(settings.admin.host, settings.admin.port)
        self._pause.start()
        # Without a configuration this host can serve nothing that others
        # would send to it or to its callers' listener.
        self._membership.start(joining=True)
        self._keeper.start()
        await self._claims.start()
        await self._callers.start(settings.caller.host, settings.caller.port)
        logger.info(f"application: {settings.name} serves.")

    async def drain(self) -> None:
        """Leaves the fleet: no new work, and all in flight is finished."""
        settings = self._settings
        self._leaving = True
        logger.info(f"application: {settings.name} leaves.")
        started = self._clock.monotonic()
        self._coordinator.begin_leaving()
        self._callers.start_draining()
        await self._membership.announce_leaving()
        await self._clock.sleep(settings.address_ttl_s)
        latest = started + settings.address_ttl_s + settings.drain_s
        while self._is_busy() and self._clock.monotonic() < latest:
            await self._clock.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Closes every part at once."""
        await self._callers.stop(self._settings.drain_s if self._leaving else 0)
        await self._claims.stop()
        self._ownership.stop()
        self._pause.stop()
        await self._keeper.stop()
        await self._membership.stop()
        await self._listener.stop()
        await self._executor.close()
        await self._backends.close()
        self._streams.close_all()
        await self._platform.close()
        await self._admin.stop()
        self.metrics.stop()
        logger.info(f"application: {self._settings.name} stopped.")

    # Calls of peers.

    def accept_requests(
        self, sender: str, batch: tuple[messages.SubRequest, ...]
    ) -> None:
        """Takes sub-requests relayed by a peer."""
        self._pause.check()
        self._relay.accept_requests(sender, batch)

    def accept_results(
        self, sender: str, batch: tuple[messages.SubResult, ...]
    ) -> None:
        """Takes results of sub-requests relayed to a peer."""
        self._relay.accept_results(sender, batch)

    def accept_cancels(self, sender: str, sub_ids: tuple[str, ...]) -> None:
        """Gives up sub-requests relayed by a peer."""
        self._relay.accept_cancels(sender, sub_ids)

    async def answer_gossip(self, message: messages.Gossip) -> messages.Gossip:
        """Answers a heartbeat."""
        return await self._membership.answer_gossip(message)

    def get_newer_configuration(self, have: int) -> tuple[int, bytes]:
        """Gives a peer the configuration in force if it has an older one."""
        return self._keeper.get_if_newer(have)

    async def run_ticket(
        self, sender: str, request: bytes
    ) -> tuple[int, bytes]:
        """Runs a caller's request whose ticket names this host."""
        del sender
        return await self._coordinator.run_relayed(request)

    # Calls of callers.

    async def query(
        self, request: caller_protocol.QueryRequest
    ) -> caller_protocol.Outcome:
        """Answers a caller's request."""
        self._pause.check()
        started = self._clock.monotonic()
        outcome = await self._coordinator.run(request)
        elapsed = self._clock.monotonic() - started
        kind = request.kind if self._knows_kind(request.kind) else "unknown"
        self.metrics.record_query(
            kind, outcome.outcome_type.value, elapsed, outcome.key_share
        )
        return outcome

    async def list_addresses(self, zone: str) -> caller_protocol.Outcome:
        """Answers which entry hosts a caller should use."""
        return await self._coordinator.list_addresses(zone)

    # Calls of operators.

    def read_status(self) -> admin_protocol.Status:
        """Returns the short state of this process."""
        holders = self._keeper.dump()["holders"]
        own = self._membership.own.name
        rows = []
        for member in self._membership.members():
            version = holders.get(member.name)
            if member.name == own:
                version = self._keeper.version
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
            configuration_version=self._keeper.version,
            members=tuple(rows),
            store_reachable=self._platform.dump()["failures_in_a_row"] == 0,
            owned_services=len(self._ownership.owned()),
            breaches=sum(self.invariants.breaches.values()),
        )

    def dump(self) -> dict[str, Any]:
        """Returns the whole state of this process."""
        checks = self.invariants.checks
        breaches = self.invariants.breaches
        return {
            "name": self._settings.name,
            "incarnation": self._incarnation,
            "leaving": self._leaving,
            "invariants": {
                "checks": {p.name: n for p, n in checks.items()},
                "breaches": {p.name: n for p, n in breaches.items()},
            },
            "configuration": self._keeper.dump(),
            "membership": self._membership.dump(),
            "ownership": self._ownership.dump(),
            "relay": self._relay.dump(),
            "queries": self._coordinator.dump(),
            "executor": self._executor.dump(),
            "platform": self._platform.dump(),
            "pauses": self._pause.pauses,
        }

    def write_dump(self) -> None:
        """Logs the state dump on one line."""
        logger.info(f"dump: {json.dumps(self.dump(), default=str)}")

    def render_metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return self.metrics.render()

    def read_configuration(self) -> bytes:
        """Returns the configuration in force, empty if there is none."""
        return self._keeper.body

    async def apply_configuration(
        self, body: bytes, base_version: int
    ) -> list[errors.Problem]:
        """Makes a configuration the next version."""
        return await self._keeper.apply(body, base_version)

    # How the parts are made and connected.

    def _make_coordination(self, random: random_module.Random) -> None:
        """Makes the parts that act with the other hosts."""
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
        self._keeper = rollout.ConfigurationManager(
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
            configuration_source=self._keeper,
            clock=clock,
            facts=self._facts,
        )
        self._pause = pause.PauseDetector(clock=clock, limit_s=PAUSE_LIMIT_S)

    def _make_owner_side(self, random: random_module.Random) -> None:
        """Makes the parts that send to backend servers."""
        chosen = self._settings.policy
        self._backends = backends.BackendTransport(
            clock=self._clock, invariants=self.invariants
        )
        self._executor = executor.ServiceExecutor(
            clock=self._clock,
            random=random,
            invariants=self.invariants,
            backends=self._backends,
            publish=self._publish,
            policy=policy.Policy(
                hedging=chosen.hedging,
                hedge_percentile=chosen.hedge_percentile / 100,
                hedge_budget=chosen.hedge_budget,
                retry_budget=chosen.retry_budget,
                ownership=chosen.ownership,
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
            ownerless=chosen.ownership == policy.ALONE,
        )

    def _make_caller_side(self, random: random_module.Random) -> None:
        """Makes the parts that answer callers."""
        settings = self._settings
        self._claims = claims.IdempotentRunner(
            name=settings.name,
            incarnation=self._incarnation,
            clock=self._clock,
            random=random,
            invariants=self.invariants,
            store=self._platform,
            run_at_home=self._run_at_home,
        )
        self._coordinator = query.QueryCoordinator(
            name=settings.name,
            zone=settings.zone,
            clock=self._clock,
            random=random,
            invariants=self.invariants,
            dispatch=self._relay.dispatch,
            get_configuration=lambda: self._keeper.current,
            get_members=self._membership.members,
            admission=admission.AdmissionController(
                clock=self._clock, random=random
            ),
            snapshots=snapshots.SnapshotTable(clock=self._clock),
            tickets=tickets.TicketRunner(
                name=settings.name,
                incarnation=self._incarnation,
                clock=self._clock,
                random=random,
                invariants=self.invariants,
                run_at_home=self._run_at_home,
            ),
            claims=self._claims,
            address_ttl_s=settings.address_ttl_s,
        )
        self._callers = callers.CallerServer(
            handler=self, invariants=self.invariants
        )

    def _subscribe(self) -> None:
        """Connects the parts that follow each other's changes."""
        self._ownership.set_handover_callbacks(
            prepare=self._executor.export_handover,
            accept=self._executor.import_handover,
        )
        self._keeper.subscribe(self._follow)
        self._ownership.subscribe(self._follow)
        self._membership.subscribe(self._drop_gone_peers)
        self._pause.subscribe(self._notice_pause)
        topics = (
            quarantine.SUSPECT_TOPIC,
            quarantine.QUARANTINE_TOPIC,
            observer.COLD_TOPIC,
        )
        for topic in topics:
            self._facts.subscribe(topic)(self._executor.accept_fact)
        readings.register(
            self.metrics,
            keeper=self._keeper,
            membership=self._membership,
            ownership=self._ownership,
            coordinator=self._coordinator,
            executor=self._executor,
            platform=self._platform,
            invariants=self.invariants,
        )

    def _follow(self) -> None:
        """Lets the executor follow configuration and ownership."""
        configuration = self._keeper.current
        if configuration is None:
            return
        self._membership.announce_ready()
        claims = self._ownership.list_claims()
        self.metrics.keep_services(self._ownership.owned())
        self._executor.apply_configuration(
            configuration,
            frozenset(claim.service for claim in claims),
            {claim.service: claim.since for claim in claims},
            frozenset(c.service for c in claims if c.handed_over),
        )

    def _drop_gone_peers(self) -> None:
        """Ends waits for peers that are no longer members."""
        present = {member.name for member in self._membership.members()}
        self._relay.drop_departed_peers(present)

    def _notice_pause(self, gap_s: float) -> None:
        """Treats everything held by time as lapsed."""
        self._executor.handle_pause()
        self._ownership.handle_pause(gap_s)

    def _publish(self, topic: str, key: str, body: bytes) -> None:
        """Tells the other hosts a fact."""
        self._facts.publish(topic, key, body, FACT_TTL_S)

    def _record_result(self, result: messages.SubResult, took_s: float) -> None:
        """Records a result of an owned service in the metrics."""
        retries = max(0, result.attempts - result.hedges - 1)
        self.metrics.record_sub_request(
            result.service, took_s, result.hedges, retries
        )

    def _find_stream(self, name: str) -> peers.PeerStream | None:
        """Returns the stream to a member, or None if it is none."""
        member = self._membership.find(name)
        return self._streams.get(member) if member else None

    async def _run_at_home(
        self, home: str, incarnation: int, request: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Has a ticket's home run its request.

        Raises:
          peers.PeerError: The home in that incarnation did not answer.
        """
        member = self._membership.find(home)
        if member is None or member.incarnation < incarnation:
            raise peers.PeerError(f"{home} is not known.")
        if member.incarnation > incarnation:
            raise tickets.HomeRestartedError(f"{home} has restarted.")
        stream = self._streams.get(member)
        return await stream.run_ticket(request, timeout_s)

    def _knows_kind(self, name: str) -> bool:
        """Returns whether a kind is declared, to bound metric labels."""
        configuration = self._keeper.current
        return configuration is not None and bool(configuration.find_kind(name))

    def _is_busy(self) -> bool:
        """Returns whether anything is in flight."""
        return self._coordinator.in_flight + self._relay.running_for_peers > 0
