"""The gateway process of an entry host: its components and their life cycle.

On a planned stop the host announces at once that it is leaving, so that
callers move to other hosts.  It keeps serving while callers may still use its
address, finishes the requests in flight and only then closes.
"""

import asyncio
from collections.abc import Callable
import json
import math
import random as random_module
import traceback
from typing import Any
from typing import NamedTuple

from eelgrasshall.gateway import active_hosts
from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import directory
from eelgrasshall.gateway import election
from eelgrasshall.gateway import events
from eelgrasshall.gateway import gossip_channels
from eelgrasshall.gateway import heartbeats
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import knowledge
from eelgrasshall.gateway import listener
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import metrics
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import peer_sync
from eelgrasshall.gateway import peers
from eelgrasshall.gateway import planned_stop
from eelgrasshall.gateway import quota_account
from eelgrasshall.gateway import quota_gate
from eelgrasshall.gateway import rate_limits
from eelgrasshall.gateway import relay
from eelgrasshall.gateway import relay_choice
from eelgrasshall.gateway import request_handler
from eelgrasshall.gateway import rollout_writer
from eelgrasshall.gateway import rollouts
from eelgrasshall.gateway import supervision
from eelgrasshall.gateway import watcher
from eelgrasshall.gateway import workspace_hosts
from eelgrasshall.gateway import zone_traffic

# Interval between checks for timed-out attempts and connections.
SWEEP_INTERVAL_S = 0.1
# Interval between measurements of this host's load, and the weight of the
# latest one in the moving average.
RATE_INTERVAL_S = 1.0
RATE_WEIGHT = 0.5
# How long results computed from the heartbeats of all hosts are cached; short
# compared with the time after which a silent host counts as dead.
VIEW_TTL_S = 0.1
# How long a stopping host still accepts connections; by then callers have
# fetched new addresses.
DRAIN_DELAY_S = 2.5
# Part of the grace period that is left for closing, before the platform kills
# the process.
SHUTDOWN_MARGIN_S = 0.5
# Part of that margin in which the last answers are sent.
LAST_ANSWERS_S = 0.2
DRAIN_POLL_INTERVAL_S = 0.05

# Time over which the hosts of a fleet publish themselves again in a store that
# came back from a copy.
REPUBLISH_SPREAD_S = 2.0
# Bytes that a host may add to the headers of a request that it relays, and how
# long its connections may be idle: longer than it keeps them itself.
RELAY_HEADER_BYTES = 1024
RELAY_IDLE_TIMEOUT_S = 15.0

_JSON = [(b"Content-Type", b"application/json")]


class Options(NamedTuple):
    """Options of a host.

    Attributes:
      host: This host.
      directory: Address on which callers ask for the hosts to use.
      readiness: Address of the platform's readiness check.
      metrics: Address on which metrics are served.
      seeds: Control addresses of a few other hosts.
      bounds_s: Maximum time until a change of each collection is in force,
        seconds.
      extra_attempt_bound: Bound on attempts beyond the first of a request.
      grace_s: Maximum duration of a planned stop, seconds.
      cold_start_bound: Requests allowed beyond a cold server's stated rate.
      names: The header names.
      readiness_path: Path of the readiness check.
      directory_path: Path of the request for the hosts to use.
      rollout_bound: What a rollout may cost; None where rollouts are not in
        force.
      revoke_s: Longest time for which keys are accepted while no change of the
        configuration could reach this host, seconds.
      quota_bound: Bound on the requests of a workspace; None if their limits
        are not applied.
    """

    host: model.Host
    directory: model.Address
    readiness: model.Address
    metrics: model.Address
    seeds: tuple[model.Address, ...]
    bounds_s: dict[object_cache.Collection, float]
    extra_attempt_bound: hedging.ExtraAttemptBound
    grace_s: float
    cold_start_bound: cold_start.ColdStartBound
    names: model.HeaderNames
    readiness_path: str
    directory_path: str
    rollout_bound: rollouts.Bound | None = None
    revoke_s: float = math.inf
    quota_bound: quota_account.QuotaBound | None = None


class GatewayHost:
    """One entry host.

    Args:
      options: The options of this host.
      store: The platform's store.
      decode: Decodes a document of the store into a value of the model; raises
        ValueError if the document is invalid.
      publish: Publishes this host in the store; returns an awaitable that is
        true on success.
      incarnation: Number that differs from those of all earlier processes of
        this host.
      random: Random number generator.
      log: The structured log.
    """

    def __init__(
        self,
        *,
        options: Options,
        store: watcher.Store,
        decode: object_cache.Decoder,
        publish: Callable[[model.Host], Any],
        incarnation: int,
        random: random_module.Random,
        log: events.EventLog,
    ):
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._options = options
        self._decode_document = decode
        self._publish = publish
        self._log = log
        self._metrics = metrics.Metrics()
        self._zone_traffic = zone_traffic.ZoneTraffic(
            zone=options.host.zone, counters=self._metrics.counters
        )
        self._supervisor = supervision.Supervisor(
            loop=self._loop, log=log, count=self._metrics.count
        )
        # Set by the first caller that this host cannot serve yet.
        self._data_wanted = asyncio.Event()
        self._relay = relay.Relay(
            own=options.host,
            names=options.names,
            random=random,
            list_helpers=self._list_helpers,
            count=self._metrics.count,
            on_transferred=lambda host, size: self._zone_traffic.record(
                zone_traffic.Cause.RELAYS, host.zone, size
            ),
        )
        self._orders: rollouts.Rollouts | None = None
        collections = object_cache.BASE_COLLECTIONS
        if options.rollout_bound is not None:
            collections += (object_cache.Collection.ROLLOUTS,)
            self._orders = rollouts.Rollouts(
                own=options.host.name,
                incarnation=incarnation,
                bound=options.rollout_bound,
            )
        self._request_handler = request_handler.RequestHandler(
            own=options.host,
            names=options.names,
            extra_attempt_bound=options.extra_attempt_bound,
            cold_start_bound=options.cold_start_bound,
            random=random,
            log=log,
            metrics=self._metrics,
            on_links_changed=self._handle_links_changed,
            relay=self._relay,
            on_unconfigured=self._data_wanted.set,
            orders=self._orders,
            has_stale_keys=self._has_stale_keys,
            quota_gate=self._make_quota_gate(),
        )
        self._workspace_hosts = workspace_hosts.WorkspaceHosts()
        self._started_s = self._loop.time()
        self._registry = self._request_handler.registry
        self._knowledge = knowledge.HostKnowledge(
            own=options.host,
            collections=collections,
            bounds_s=options.bounds_s,
            store=store,
            decode=self._decode,
            on_update=self._handle_update,
            on_new_era=self._handle_new_era,
            list_candidates=lambda: self._peers.list_candidates(),
            on_transferred=self._record_exchange,
            loop=self._loop,
            random=random,
            log=log,
        )
        self._store = store
        self._object_cache = self._knowledge.cache
        self._peer_sync = self._knowledge.peer_sync
        self._notify_scheduled = False
        self._peers = peers.HeartbeatProtocol(
            own=options.host,
            incarnation=incarnation,
            get_attempt_rate=self._get_attempt_rate,
            reaches_servers=self._reaches_servers,
            loop=self._loop,
            random=random,
            reaches_store=self._knowledge.reaches_store,
            get_gossip=self._build_gossip,
            on_gossip=self._handle_gossip,
            on_hosts_changed=self._schedule_share_update,
            on_links_lost=self._request_handler.links.check_if_unproven,
            channels=gossip_channels.make_channels(
                handler=self._request_handler,
                loop=self._loop,
                log=log,
                count=self._metrics.count,
                list_active_hosts=self._list_active_hosts,
            ),
            on_sent=lambda host, size: self._zone_traffic.record(
                zone_traffic.Cause.DATAGRAMS, host.zone, size
            ),
        )
        self._caller_listener = self._make_listener(self._handle_request)
        self._control_listener = self._make_listener(
            self._handle_control_request, get_limits=self._get_control_limits
        )
        self._extra_listeners: list[listener.Listener] = []
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._rate_timer: asyncio.TimerHandle | None = None
        self._share_timer: asyncio.TimerHandle | None = None
        self._active_hosts: list[model.Host] = []
        self._helpers: list[relay_choice.Helper] = []
        self._view_time_s = -VIEW_TTL_S
        # The latest era of the store for which this host has published itself.
        self._published_era = 0
        self._attempts_per_s = 0.0
        self._last_attempts_sent = 0

    def _record_exchange(self, name: str, size: int) -> None:
        """Counts the bytes of a fetch of objects from another host."""
        host = self._peers.find_host(name)
        self._zone_traffic.record(
            zone_traffic.Cause.OBJECTS, host.zone if host else None, size
        )

    # Life cycle.

    async def start(self) -> None:
        """Opens all listeners and starts the background tasks.

        Raises:
          OSError: An address cannot be bound.
        """
        options = self._options
        await self._peers.start()
        opened = {options.host.caller_address}
        await self._caller_listener.start(options.host.caller_address)
        if options.host.control_address not in opened:
            opened.add(options.host.control_address)
            await self._control_listener.start(options.host.control_address)
        for address in (
            options.readiness,
            options.directory,
            options.metrics,
        ):
            if address not in opened:
                opened.add(address)
                extra = self._make_listener(self._handle_internal_request)
                self._extra_listeners.append(extra)
                await extra.start(address)
        self._loop.set_exception_handler(self._supervisor.log_loop_error)
        self._supervisor.start("bootstrap", self._bootstrap)
        self._start_publishing()
        self._sweep()
        self._update_attempt_rate()
        self._log.record("started", zone=self._options.host.zone)

    async def drain(self) -> None:
        """Sends callers to other hosts and finishes the requests in flight.

        Returns when all callers' connections are closed, or when the grace
        period is nearly over.  Requests that have not ended by then are
        answered with a failure, or a refusal if they were not sent anywhere.
        """
        now = self._loop.time()
        latest_s = now + self._options.grace_s - SHUTDOWN_MARGIN_S
        self._log.record("leaving", in_flight=self._caller_listener.busy_count)
        self._announce(heartbeats.State.LEAVING)
        self._caller_listener.start_draining()
        self._request_handler.set_stop(
            planned_stop.Stop(moved_s=now + DRAIN_DELAY_S, end_s=latest_s)
        )
        await asyncio.sleep(DRAIN_DELAY_S)
        self._caller_listener.stop_accepting()
        if await self._wait_for_callers(latest_s):
            return
        self._log.record("ending", in_flight=self._caller_listener.busy_count)
        self._request_handler.end_requests()
        self._caller_listener.refuse_incomplete()
        await self._wait_for_callers(latest_s + LAST_ANSWERS_S)

    async def _wait_for_callers(self, latest_s: float) -> bool:
        """Waits until a monotonic time for all callers' connections to close.

        Idle connections are closed.

        Returns:
          Whether all are closed.
        """
        while self._loop.time() < latest_s:
            self._caller_listener.close_idle()
            if not (
                self._caller_listener.connections
                or self._control_listener.busy_count
            ):
                return True
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        return False

    def stop(self) -> None:
        """Closes all listeners and connections immediately."""
        self._supervisor.stop()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for timer in (self._rate_timer, self._share_timer):
            if timer is not None:
                timer.cancel()
        self._relay.close()
        self._caller_listener.stop()
        self._control_listener.stop()
        for extra in self._extra_listeners:
            extra.stop()
        self._peer_sync.stop()
        self._request_handler.close()
        self._peers.stop()
        self._log.record("stopped", **self._metrics.counters)

    # Request handling.

    async def _handle_request(
        self, request: messages.Request, *, from_host: bool = False
    ) -> listener.Response:
        """Answers a request of a caller.

        Args:
          request: The request.
          from_host: Whether another host relayed it.
        """
        if request.target.startswith(b"/-/"):
            inner = await self._handle_internal_request(request)
            if inner.status != 404:
                return inner
        return await self._request_handler.handle(request, from_host=from_host)

    async def _handle_control_request(
        self, request: messages.Request
    ) -> listener.Response:
        """Answers a request of another host; it may relay one of a caller."""
        if relay.is_relayed(request):
            return relay.mark_response(
                await self._handle_request(request, from_host=True),
                linked=not self._request_handler.links.in_doubt,
            )
        return await self._handle_internal_request(request, from_host=True)

    def _get_control_limits(self) -> model.CallerLimits:
        """Returns the limits on requests that other hosts relay.

        The host that relays a request has applied the callers' limits.
        """
        limits = self._request_handler.get_caller_limits()
        return limits._replace(
            max_header_bytes=limits.max_header_bytes + RELAY_HEADER_BYTES,
            header_timeout_s=RELAY_IDLE_TIMEOUT_S,
            idle_timeout_s=RELAY_IDLE_TIMEOUT_S,
        )

    async def _handle_internal_request(
        self, request: messages.Request, *, from_host: bool = False
    ) -> listener.Response:
        """Answers readiness, directory, peer and metrics requests.

        Args:
          request: The request.
          from_host: Whether it came to the address for other hosts.
        """
        path = request.path
        if path == self._options.readiness_path:
            ready = self._peers.state is heartbeats.State.READY
            return listener.Response(200 if ready else 503, [], b"")
        if path == self._options.directory_path:
            return self._answer_directory()
        if path == peer_sync.UPDATES_PATH and (
            from_host or not self._hides_objects()
        ):
            return self._knowledge.answers.answer(request)
        if path == "/metrics":
            return listener.Response(200, [], self._render_metrics())
        return listener.Response(404, [], b"")

    def _hides_objects(self) -> bool:
        """Returns whether only other hosts may read the store's objects.

        The configuration contains the keys of all workspaces.
        """
        host = self._options.host
        return (
            self._request_handler.has_workspaces
            and host.control_address != host.caller_address
        )

    def _log_handler_error(
        self, request: messages.Request, error: Exception
    ) -> None:
        """Logs an error that ended a request."""
        self._metrics.count("handler_errors")
        if not self._log.allow_request_line(failed=True):
            return
        names = self._options.names
        request_id = request.get_header(names.request_id) or b""
        self._log.record(
            "handler_error",
            id=request_id.decode("latin-1"),
            path=request.path,
            reason=repr(error),
            trace="".join(traceback.format_tb(error.__traceback__)),
        )

    def _answer_directory(self) -> listener.Response:
        """Returns the addresses of the hosts that callers should use."""
        hosts = directory.select_hosts(self._list_active_hosts())
        if not hosts:
            return listener.Response(503, [], b"")
        body = {
            "addrs": [str(host.caller_address) for host in hosts],
            "ttl_s": directory.TTL_S,
        }
        return listener.Response(200, _JSON, json.dumps(body).encode())

    def _render_metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        tracker = self._request_handler.rollouts
        metrics_text = self._metrics.render(
            {
                "configuration_version": self._request_handler.version,
                "servers": self._registry.count_servers(),
                "hosts_alive": len(self._peers.list_alive()) + 1,
                "requests_in_flight": self._caller_listener.busy_count,
                "store_reachable": int(self._knowledge.reaches_store()),
                "servers_reachable": int(self._reaches_servers()),
                "log_lines_dropped": self._log.dropped,
                **(tracker.list_gauges() if tracker is not None else {}),
            }
        )
        return metrics_text + self._request_handler.workspace_metrics.render()

    def dump(self) -> dict[str, Any]:
        """Returns the state of this process as JSON-serializable values."""
        tracker = self._request_handler.rollouts
        gate = self._request_handler.quota_gate
        quota_state = {}
        if gate is not None:
            quota_state["quotas"] = gate.quotas.dump(self._loop.time())
        return {
            "host": self._options.host.name,
            "state": self._peers.state.name,
            "version": self._request_handler.version,
            "revisions": {
                each.name: object_cache.split_revision(
                    self._object_cache.get_received_revision(each)
                )[1]
                for each in self._object_cache.collections
            },
            "eras": {
                each.name: object_cache.get_era(
                    self._object_cache.get_received_revision(each)
                )
                for each in self._object_cache.collections
            },
            "listens": self._knowledge.reaches_store(),
            "reaches_servers": self._reaches_servers(),
            "hosts": {
                host.name: heartbeat._asdict()
                for host, heartbeat in self._peers.list_alive()
            },
            "evacuated": sorted(self._registry.evacuated_zones),
            "servers": self._registry.dump(),
            "quarantine": self._request_handler.quarantine.dump(
                self._loop.time()
            ),
            "counters": dict(self._metrics.counters),
            **({"rollouts": tracker.list_gauges()} if tracker else {}),
            **quota_state,
        }

    def log_state_dump(self) -> None:
        """Writes the state dump to the log."""
        self._log.record("dump", state=self.dump())

    def reload(self, options: Options) -> None:
        """Applies the options that may change at run time.

        These are the bound on extra attempts and the grace period; all other
        options are ignored.
        """
        self._options = self._options._replace(
            extra_attempt_bound=options.extra_attempt_bound,
            grace_s=options.grace_s,
        )
        self._request_handler.set_extra_attempt_bound(
            options.extra_attempt_bound
        )
        self._log.record(
            "reloaded",
            extra_bound=options.extra_attempt_bound,
            grace_s=options.grace_s,
        )

    # Updates of the store's objects and of other hosts.

    def _decode(
        self, collection: object_cache.Collection, name: str, document: Any
    ) -> Any:
        """Decodes a document; logs an invalid one and returns None."""
        try:
            return self._decode_document(collection, document)
        except Exception as error:
            # Any writer may have written it: it must not end the watch.
            self._metrics.count("unreadable_objects")
            self._log.record(
                "unreadable",
                collection=collection.name,
                name=name,
                reason=str(error),
            )
            return None

    def _handle_update(self, update: object_cache.Update, value: Any) -> None:
        """Applies the update of one object and schedules a notification."""
        if not self._notify_scheduled:
            self._notify_scheduled = True
            self._loop.call_soon(self._notify_peers)
        if update.collection is object_cache.Collection.CONFIGURATION:
            if value is not None:
                self._apply_configuration(
                    value, object_cache.split_revision(update.revision)[1]
                )
        elif update.collection is object_cache.Collection.SERVERS:
            self._registry.set_server(update.name, value, update.revision)
        elif update.collection is object_cache.Collection.EVACUATIONS:
            self._registry.set_evacuated(update.name, value is not None)
        elif update.collection is object_cache.Collection.ROLLOUTS:
            # An unreadable order changes nothing.
            if value is not None or update.document is None:
                self._request_handler.rollouts.set_order(
                    update.name, value, update.revision
                )
        elif value is None:
            self._peers.remove_host(update.name)
        else:
            self._peers.add_host(value)

    def _handle_new_era(
        self, collection: object_cache.Collection, old: int, new: int
    ) -> None:
        """Publishes this host again, as the store may have lost its object."""
        del collection, old
        era = object_cache.get_era(new)
        if era > self._published_era:
            # Whichever collection shows it first: a call for the hosts' own may
            # be swallowed.
            self._published_era = era
            delay_s = self._random.uniform(0.0, REPUBLISH_SPREAD_S)
            self._loop.call_later(delay_s, self._start_publishing)

    def _start_publishing(self) -> None:
        """Publishes this host in the background."""
        self._supervisor.start("publish", self._publish_with_retries)

    def _schedule_share_update(self) -> None:
        """Schedules an update of the shares after a change of the hosts.

        The delay batches changes, as a starting host learns of many hosts at
        once.
        """
        if self._share_timer is None:
            self._share_timer = self._loop.call_later(
                VIEW_TTL_S, self._update_shares
            )

    def _update_shares(self) -> None:
        """Divides the fleet-wide limits among the hosts known now."""
        if self._share_timer is not None:
            self._share_timer.cancel()
            self._share_timer = None
        active = self._list_active_hosts()
        active_count = len(active)
        sharing_count = active_hosts.count_sharing_hosts(
            self._peers.host_count, active_count
        )
        own = self._options.host.name
        names = [own, *(host.name for host in self._peers.list_hosts())]
        self._workspace_hosts.keep(set(names))
        self._request_handler.set_hosts(sharing_count, tuple(sorted(names)))
        self._request_handler.set_active_host_count(active_count)
        heard = len(self._peers.list_alive()) + 1
        missing = self._peers.count_missing()
        self._registry.set_fleet_view(
            rate_limits.FleetView(
                tuple(sorted(host.name for host in active)),
                active_hosts.compute_part(heard=heard, missing=missing),
            )
        )
        self._update_quota_view()
        self._request_handler.set_extra_share(
            active_hosts.compute_extra_share(
                is_active=any(host.name == own for host in active),
                sharing=sharing_count,
                heard=heard,
                missing=missing,
            )
        )

    def _update_quota_view(self) -> None:
        """Tells the quotas what is known of the other hosts."""
        gate = self._request_handler.quota_gate
        if gate is None:
            return
        names = [host.name for host in self._peers.list_hosts()]
        gate.set_fleet(
            rate_limits.FleetView(
                tuple(sorted(host.name for host in self._list_active_hosts())),
                active_hosts.compute_part(
                    heard=len(self._peers.list_alive()) + 1,
                    missing=self._peers.count_missing(),
                ),
            ),
            tuple(sorted([self._options.host.name, *names])),
        )

    def _apply_configuration(
        self, configuration: model.Configuration, revision: int
    ) -> None:
        """Puts a configuration in force unless a newer one already is."""
        if configuration.version < self._request_handler.version:
            self._log.record(
                "configuration_ignored",
                version=configuration.version,
                in_force=self._request_handler.version,
                revision=revision,
            )
            return
        self._request_handler.apply_configuration(configuration)
        self._log.record(
            "configuration",
            version=configuration.version,
            routes=len(configuration.routes),
            revision=revision,
        )
        self._mark_ready()

    def _mark_ready(self) -> None:
        """Announces that this host is ready if it was joining."""
        if self._peers.state is heartbeats.State.JOINING:
            self._announce(heartbeats.State.READY)

    def _announce(self, state: heartbeats.State) -> None:
        """Changes this host's state and announces it to all other hosts."""
        self._peers.announce(state)
        self._view_time_s = -VIEW_TTL_S

    def _notify_peers(self) -> None:
        """Sends heartbeats at once to pass on the new revisions."""
        self._notify_scheduled = False
        self._peers.send_now()

    def _build_gossip(self) -> list:
        """Returns the gossip of this host: revisions and announcements.

        What follows concerns the servers: how old the knowledge of them is, and
        up to which revision all changes have been received.  Hosts of earlier
        versions ignore that, and entries of the second list.
        """
        entries = []
        if self._request_handler.has_workspaces:
            # In a small fleet each host hears the others' own announcements.
            names = (
                [host.name for host in self._list_active_hosts()]
                if self._peers.host_count > peers.RELAY_MIN_HOSTS
                and self._random.random() < workspace_hosts.PASS_ON_SHARE
                else []
            )
            entries.append(
                self._workspace_hosts.make_announcement(
                    names, self._loop.time()
                )
            )
        revisions, *servers_state = self._knowledge.list_claims()
        return [revisions, entries, *servers_state]

    def _handle_gossip(self, sender: str, gossip: list) -> None:
        """Fetches newer objects from another host."""
        revisions = gossip[0] if gossip else None
        if not isinstance(revisions, list) or not all(
            isinstance(number, int) for number in revisions
        ):
            self._metrics.count("malformed_datagrams")
            self._log.record("malformed_datagram", reason="no revisions")
            return
        self._merge_announcement(sender, gossip[1:2])
        host = self._peers.find_host(sender)
        if host is not None:
            self._knowledge.handle_claims(
                sender, host.control_address, revisions, gossip[2:]
            )

    def _merge_announcement(self, sender: str, entries: list) -> None:
        """Adds what a host states about the hosts that know workspaces."""
        try:
            self._workspace_hosts.merge(
                sender, entries[0] if entries else [], self._loop.time()
            )
        except ValueError as error:
            self._metrics.count("malformed_datagrams")
            self._log.record("malformed_datagram", reason=str(error))

    def _has_stale_keys(self) -> bool:
        """Returns whether keys may be out of date for too long.

        That is the case if this host has neither reached the store nor heard a
        host that does.
        """
        if self._options.revoke_s == math.inf:
            return False
        contact_s = max(
            self._started_s,
            self._peers.store_contact_s,
            *(
                each.answered_s
                for each in self._knowledge.watchers
                if each.collection is object_cache.Collection.CONFIGURATION
            ),
        )
        return self._loop.time() - contact_s > self._options.revoke_s

    def _list_active_hosts(self) -> list[model.Host]:
        """Returns the active hosts, recomputed after `VIEW_TTL_S`."""
        self._update_view()
        return self._active_hosts

    def _list_helpers(self) -> list[relay_choice.Helper]:
        """Returns the active hosts that reach the servers, without this one.

        Their connections and latencies are fresher than those of other hosts.
        """
        self._update_view()
        return self._helpers

    def _update_view(self) -> None:
        """Computes the active hosts and the helpers after `VIEW_TTL_S`."""
        now = self._loop.time()
        if now - self._view_time_s < VIEW_TTL_S:
            return
        loads = self._peers.list_loads()
        self._active_hosts = active_hosts.choose_active_hosts(loads)
        active = set(self._active_hosts) - {self._options.host}
        self._helpers = [
            relay_choice.Helper(
                load.host,
                load.attempts_per_s,
                self._workspace_hosts.knows(load.host.name, now),
            )
            for load in loads
            if load.reaches_servers and load.host in active
        ]
        self._view_time_s = now

    def _get_attempt_rate(self) -> float:
        """Returns the moving average of attempts per second."""
        return self._attempts_per_s

    def _update_attempt_rate(self) -> None:
        """Updates the attempt rate and the shares of the limits."""
        self._rate_timer = self._loop.call_later(
            RATE_INTERVAL_S, self._update_attempt_rate
        )
        sent = self._metrics.counters["attempts_sent"]
        rate = (sent - self._last_attempts_sent) / RATE_INTERVAL_S
        self._last_attempts_sent = sent
        self._attempts_per_s += (rate - self._attempts_per_s) * RATE_WEIGHT
        self._update_shares()

    def _reaches_servers(self) -> bool:
        """Returns whether this host reaches backend servers."""
        return not self._request_handler.links.lost

    def _handle_links_changed(self) -> None:
        """Tells all other hosts at once whether this one reaches servers."""
        self._announce(self._peers.state)
        self._update_shares()

    async def _bootstrap(self) -> None:
        """Fetches the objects, follows them and writes rollouts."""
        await self._knowledge.bootstrap(
            self._options.seeds, self._data_wanted.wait, self._supervisor.start
        )
        if self._orders is not None:
            writer = rollout_writer.RolloutWriter(
                orders=self._orders,
                store=self._store,
                cache=self._object_cache,
                get_fleet=self._describe_fleet,
                loop=self._loop,
                log=self._log,
                count=self._metrics.count,
            )
            self._supervisor.start("write rollouts", writer.run)

    def _describe_fleet(self) -> rollout_writer.Fleet:
        """Returns what this host knows of the hosts that write a status."""
        host = self._options.host
        heard = self._peers.list_alive()
        return rollout_writer.Fleet(
            election.Candidate(
                host.name, host.zone, self._knowledge.reaches_store()
            ),
            tuple(self._peers.list_candidates()),
            tuple(other.name for other, _ in heard),
            (len(heard) + 1) * 2 < len(heard) + 1 + self._peers.count_missing(),
        )

    async def _publish_with_retries(self) -> None:
        """Publishes this host in the store; retries until it succeeds."""
        pause_s = watcher.MIN_BACKOFF_S
        while not await self._publish(self._options.host):
            await asyncio.sleep(pause_s * (0.5 + self._random.random()))
            pause_s = min(pause_s * 2, watcher.MAX_BACKOFF_S)

    def _sweep(self) -> None:
        """Ends timed-out attempts and writes log lines that are waiting."""
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self._log.flush()
        self._registry.sweep(self._loop.time())
        if self._request_handler.rollouts is not None:
            self._request_handler.rollouts.update()

    def _make_quota_gate(self) -> quota_gate.QuotaGate | None:
        """Returns the quotas of workspaces if they are to be applied."""
        if self._options.quota_bound is None:
            return None
        return quota_gate.QuotaGate(
            own=self._options.host.name,
            bound=self._options.quota_bound,
            loop=self._loop,
            log=self._log,
            count=self._metrics.count,
            send=lambda: self._peers.send_addressed(),
            refresh=self._update_quota_view,
        )

    def _make_listener(
        self,
        handler: listener.Handler,
        *,
        get_limits: Callable[[], model.CallerLimits] | None = None,
    ) -> listener.Listener:
        """Creates a listener, by default with the limits on callers."""
        return listener.Listener(
            handler=handler,
            get_limits=get_limits or self._request_handler.get_caller_limits,
            on_error=self._log_handler_error,
        )
