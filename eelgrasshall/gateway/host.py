"""The application object of the gateway: its parts, started and stopped.

A planned stop says so at once, so that callers are sent elsewhere, serves on
while they may still hold this host's address, finishes what is in flight and
only then closes.
"""

import asyncio
from collections.abc import Callable
import json
import random as random_module
from typing import Any
from typing import NamedTuple

from eelgrasshall.gateway import active_hosts
from eelgrasshall.gateway import belief as beliefs
from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import directory
from eelgrasshall.gateway import events
from eelgrasshall.gateway import exchange
from eelgrasshall.gateway import following
from eelgrasshall.gateway import heartbeats
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import listener
from eelgrasshall.gateway import listening
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import metrics
from eelgrasshall.gateway import model
from eelgrasshall.gateway import peers
from eelgrasshall.gateway import serving

# How often attempts and connections past their time are ended.
SWEEP_S = 0.1
# How often the own load is measured, and the weight of the newest measurement.
MEASURE_S = 1.0
RATE_WEIGHT = 0.5
# How long what was worked out from the heartbeats of all hosts is used: short
# against the silence after which a host counts as dead.
VIEW_S = 0.1
# A stopping host serves on until callers have new addresses.
LEAVE_AFTER_S = 2.5
# Time kept for the end of a stop, before the platform kills the process.
STOP_MARGIN_S = 0.5
STOP_POLL_S = 0.05
# How long a host that starts waits for its seeds to know something, before it
# asks the store itself: all start within a third of a second.
SEEDS_WAIT_S = 0.8

_JSON = [(b"Content-Type", b"application/json")]


class Options(NamedTuple):
    """What a host is told at its start.

    Attributes:
      host: This host.
      directory: Where callers ask for addresses.
      readiness: Where the platform asks whether this host is ready.
      metrics: Where metrics are served.
      seeds: Control addresses of a few other hosts.
      bounds_s: Time within which a change of each collection must be in
        force, seconds.
      extra_bound: The bound on attempts beyond the first.
      grace_s: Time that a planned stop may take, seconds.
      cold_bound: What is allowed beyond a cold server's own rate.
      names: The header names.
      readiness_path: Path of the readiness check.
      directory_path: Path of the address question.
    """

    host: model.Host
    directory: model.Address
    readiness: model.Address
    metrics: model.Address
    seeds: tuple[model.Address, ...]
    bounds_s: dict[beliefs.Collection, float]
    extra_bound: hedging.ExtraAttemptBound
    grace_s: float
    cold_bound: cold_start.ColdStartBound
    names: model.HeaderNames
    readiness_path: str
    directory_path: str


class GatewayHost:
    """One entry host.

    Args:
      options: What it is told at its start.
      source: The platform's store.
      decode: Turns a document of the store into a value of the model; raises
        ValueError for one that cannot be read.
      publish: Publishes this host in the store.
      incarnation: A number that no earlier process of this host had.
      random: The source of chance.
      log: The structured log.
    """

    def __init__(
        self,
        *,
        options: Options,
        source: following.Source,
        decode: beliefs.Decode,
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
        self._tasks: list[asyncio.Task] = []
        self._serving = serving.RequestServer(
            own=options.host,
            names=options.names,
            extra_bound=options.extra_bound,
            cold_bound=options.cold_bound,
            random=random,
            log=log,
            metrics=self._metrics,
        )
        self._registry = self._serving.registry
        self._belief = beliefs.Belief(decode=self._decode, listen=self._learn)
        self._followers = [
            following.Follower(
                collection=collection,
                source=source,
                belief=self._belief,
                log=log,
                random=random,
                should_listen=self._should_listen,
                bound_s=options.bounds_s[collection],
            )
            for collection in beliefs.Collection
        ]
        self._exchange = exchange.Exchange(belief=self._belief, log=log)
        self._spreading = False
        self._peers = peers.Peers(
            own=options.host,
            incarnation=incarnation,
            read_rate=self._read_rate,
            loop=self._loop,
            random=random,
            reaches_store=self._reaches_store,
            read_news=self._read_news,
            take_news=self._take_news,
            note_hosts=self._share_soon,
        )
        self._callers = self._make_listener(self._answer)
        self._extra_listeners: list[listener.Listener] = []
        self._sweeper: asyncio.TimerHandle | None = None
        self._measurer: asyncio.TimerHandle | None = None
        self._sharer: asyncio.TimerHandle | None = None
        self._working: list[model.Host] = []
        self._working_s = -VIEW_S
        self._duty = True
        self._duty_s = -VIEW_S
        self._rate = 0.0
        self._sent_before = 0

    # Life cycle.

    async def start(self) -> None:
        """Opens all listeners and begins to follow the store.

        Raises:
          OSError: An address cannot be bound.
        """
        options = self._options
        await self._peers.start()
        opened = {options.host.callers}
        await self._callers.start(options.host.callers)
        for address in (
            options.readiness,
            options.directory,
            options.host.control,
            options.metrics,
        ):
            if address not in opened:
                opened.add(address)
                extra = self._make_listener(self._answer_inner)
                self._extra_listeners.append(extra)
                await extra.start(address)
        self._tasks.append(self._loop.create_task(self._join()))
        self._tasks.append(self._loop.create_task(self._publish_until_done()))
        self._sweep()
        self._measure_rate()
        self._log.record("started", zone=self._options.host.zone)

    async def drain(self) -> None:
        """Leaves: callers go elsewhere and all in flight is finished."""
        started_s = self._loop.time()
        self._log.record("leaving", in_flight=self._callers.busy)
        self._announce(heartbeats.State.LEAVING)
        self._callers.begin_closing()
        await asyncio.sleep(LEAVE_AFTER_S)
        latest_s = started_s + self._options.grace_s - STOP_MARGIN_S
        self._callers.stop_listening()
        while self._loop.time() < latest_s:
            self._callers.close_idle()
            if not self._callers.connections:
                break
            await asyncio.sleep(STOP_POLL_S)

    def stop(self) -> None:
        """Closes everything at once."""
        for task in self._tasks:
            task.cancel()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for timer in (self._measurer, self._sharer):
            if timer is not None:
                timer.cancel()
        self._callers.stop()
        for extra in self._extra_listeners:
            extra.stop()
        self._exchange.stop()
        self._registry.close()
        self._peers.stop()
        self._log.record("stopped", **self._metrics.counters)

    # Requests of callers.

    async def _answer(self, request: messages.Request) -> listener.Response:
        """Answers a caller's request."""
        if request.target.startswith(b"/-/"):
            inner = await self._answer_inner(request)
            if inner.status != 404:
                return inner
        return await self._serving.answer(request)

    async def _answer_inner(
        self, request: messages.Request
    ) -> listener.Response:
        """Answers the platform and callers that ask for addresses."""
        path = request.path
        if path == self._options.readiness_path:
            ready = self._peers.state is heartbeats.State.READY
            return listener.Response(200 if ready else 503, [], b"")
        if path == self._options.directory_path:
            return self._answer_directory()
        if path == exchange.BELIEF_PATH:
            return self._answer_belief(request)
        if path == "/metrics":
            return listener.Response(200, [], self._render_metrics())
        return listener.Response(404, [], b"")

    def _answer_directory(self) -> listener.Response:
        """Names the hosts that a caller should use."""
        hosts = directory.name_hosts(self._list_working())
        if not hosts:
            return listener.Response(503, [], b"")
        body = {
            "addrs": [str(host.callers) for host in hosts],
            "ttl_s": directory.TTL_S,
        }
        return listener.Response(200, _JSON, json.dumps(body).encode())

    def _answer_belief(self, request: messages.Request) -> listener.Response:
        """Gives another host what it lacks."""
        query = request.target.partition(b"?")[2].decode("latin-1")
        try:
            have = exchange.parse_have(query)
        except ValueError:
            return listener.Response(400, [], b"")
        body = json.dumps(exchange.encode_belief(self._belief, have))
        return listener.Response(200, _JSON, body.encode())

    def _render_metrics(self) -> bytes:
        """Returns the metrics as text."""
        return self._metrics.render(
            {
                "configuration_version": self._serving.version,
                "servers": self._registry.count_servers(),
                "hosts_alive": len(self._peers.list_alive()) + 1,
                "requests_in_flight": self._callers.busy,
                "store_reachable": int(self._reaches_store()),
                "log_lines_dropped": self._log.dropped,
            }
        )

    def dump(self) -> dict[str, Any]:
        """Returns the whole state of this process as plain values."""
        return {
            "host": self._options.host.name,
            "state": self._peers.state.name,
            "version": self._serving.version,
            "revisions": {
                each.name: self._belief.revision(each)
                for each in beliefs.Collection
            },
            "listens": self._reaches_store(),
            "hosts": {
                host.name: heartbeat._asdict()
                for host, heartbeat in self._peers.list_alive()
            },
            "evacuated": sorted(self._registry.evacuated),
            "servers": self._registry.dump(),
            "counters": dict(self._metrics.counters),
        }

    def write_dump(self) -> None:
        """Logs the state dump."""
        self._log.record("dump", state=self.dump())

    def reload(self, options: Options) -> None:
        """Takes over bounds that have changed in the settings."""
        self._options = self._options._replace(
            extra_bound=options.extra_bound, grace_s=options.grace_s
        )
        self._serving.set_extra_bound(options.extra_bound)
        self._log.record(
            "reloaded", extra_bound=options.extra_bound, grace_s=options.grace_s
        )

    # What this host believes.

    def _decode(
        self, collection: beliefs.Collection, name: str, document: Any
    ) -> Any:
        """Decodes a document; None if it cannot be read."""
        try:
            return self._decode_document(collection, document)
        except ValueError as error:
            self._metrics.count("unreadable_objects")
            self._log.record(
                "unreadable",
                collection=collection.name,
                name=name,
                reason=str(error),
            )
            return None

    def _learn(self, news: beliefs.News, value: Any) -> None:
        """Acts on a change of one object."""
        if not self._spreading:
            self._spreading = True
            self._loop.call_soon(self._spread)
        if news.collection is beliefs.Collection.CONFIGURATION:
            if value is not None:
                self._adopt(value, news.revision)
        elif news.collection is beliefs.Collection.SERVERS:
            self._registry.set_server(news.name, value, news.revision)
        elif news.collection is beliefs.Collection.EVACUATIONS:
            self._registry.set_evacuated(news.name, value is not None)
        elif value is None:
            self._peers.remove_host(news.name)
        else:
            self._peers.add_host(value)

    def _share_soon(self) -> None:
        """Divides anew soon: at a start many hosts are learned of at once."""
        if self._sharer is None:
            self._sharer = self._loop.call_later(VIEW_S, self._share_anew)

    def _share_anew(self) -> None:
        """Divides what all hosts share by the hosts known now."""
        if self._sharer is not None:
            self._sharer.cancel()
            self._sharer = None
        carrying = len(self._list_working())
        sharing = active_hosts.count_sharing_hosts(self._peers.known, carrying)
        own = self._options.host.name
        names = [own, *(host.name for host in self._peers.list_hosts())]
        self._serving.set_hosts(sharing, tuple(sorted(names)))
        self._serving.set_carrying(carrying)

    def _adopt(self, configuration: model.Configuration, revision: int) -> None:
        """Puts a configuration in force, unless it is an older one."""
        if configuration.version < self._serving.version:
            self._log.record(
                "configuration_ignored",
                version=configuration.version,
                in_force=self._serving.version,
                revision=revision,
            )
            return
        self._serving.adopt(configuration)
        self._log.record(
            "configuration",
            version=configuration.version,
            routes=len(configuration.routes),
            revision=revision,
        )
        self._become_ready()

    def _become_ready(self) -> None:
        """Takes callers once there is something to serve."""
        if self._peers.state is heartbeats.State.JOINING:
            self._announce(heartbeats.State.READY)

    def _announce(self, state: heartbeats.State) -> None:
        """Changes this host's state and tells all others."""
        self._peers.announce(state)
        self._working_s = -VIEW_S

    def _spread(self) -> None:
        """Tells other hosts that there is something new here."""
        self._spreading = False
        self._peers.spread()

    def _read_news(self) -> list:
        """Returns the revisions known here, and whom this host blames."""
        revisions = [self._belief.complete(e) for e in beliefs.Collection]
        return [
            revisions,
            self._serving.quarantine.list_gossip(self._loop.time()),
        ]

    def _take_news(self, sender: str, news: list) -> None:
        """Fetches what another host knows and this one does not."""
        revisions, blames = news
        self._serving.quarantine.add_gossip(blames, self._loop.time())
        host = self._peers.find(sender)
        if host is not None:
            self._exchange.notice(sender, host.control, revisions)

    def _list_working(self) -> list[model.Host]:
        """Returns the hosts that should carry requests."""
        now = self._loop.time()
        if now - self._working_s >= VIEW_S:
            self._working = active_hosts.choose_active_hosts(
                self._peers.list_loads()
            )
            self._working_s = now
        return self._working

    def _read_rate(self) -> float:
        """Returns the attempts a second that this host makes."""
        return self._rate

    def _measure_rate(self) -> None:
        """Measures the attempts a second since the last measurement."""
        sent = self._metrics.counters["attempts_sent"]
        rate = (sent - self._sent_before) / MEASURE_S
        self._sent_before = sent
        self._rate += (rate - self._rate) * RATE_WEIGHT
        self._share_anew()
        self._measurer = self._loop.call_later(MEASURE_S, self._measure_rate)

    def _reaches_store(self) -> bool:
        """Returns whether this host watches all that there is to watch."""
        return all(follower.reachable for follower in self._followers)

    def _should_listen(self) -> bool:
        """Returns whether this host should watch the store."""
        now = self._loop.time()
        if now - self._duty_s >= VIEW_S:
            host = self._options.host
            own = listening.Candidate(
                host.name, host.zone, self._reaches_store()
            )
            others = self._peers.list_candidates()
            self._duty = listening.should_listen(own, others)
            self._duty_s = now
        return self._duty

    async def _join(self) -> None:
        """Learns what there is to know, from other hosts or the store."""
        seeds = list(self._options.seeds)
        own = self._options.host.control
        if own not in seeds:
            self._random.shuffle(seeds)
            await self._exchange.fetch_first(seeds, SEEDS_WAIT_S)
        else:
            seeds.remove(own)
            self._tasks.append(
                self._loop.create_task(self._exchange.fetch_first(seeds, 0.0))
            )
        for follower in self._followers:
            self._tasks.append(self._loop.create_task(follower.run()))

    async def _publish_until_done(self) -> None:
        """Publishes this host in the store."""
        pause_s = following.FIRST_PAUSE_S
        while not await self._publish(self._options.host):
            await asyncio.sleep(pause_s * (0.5 + self._random.random()))
            pause_s = min(pause_s * 2, following.LONGEST_PAUSE_S)

    def _sweep(self) -> None:
        """Ends what has taken too long."""
        self._registry.sweep(self._loop.time())
        self._log.flush()
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)

    def _make_listener(self, handler: listener.Handler) -> listener.Listener:
        """Makes a listener under the limits in force."""
        return listener.Listener(
            handler=handler, read_limits=self._serving.read_limits
        )
