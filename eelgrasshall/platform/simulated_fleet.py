"""Hosts and a store in virtual time, whose messages a search orders.

Runs the production code of what hosts know of the store: listings page by page,
watches, the exchange, the election of the hosts that watch, deletions that are
put off, heartbeats.  Only sockets, clock and store are replaced.

Messages wait until a search answers and delivers them, or arrive after a time
that it chooses.  Hosts hear each other by heartbeats, or when the search says
so.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import contextlib
import contextvars
import json
import random as random_module
from typing import Any
from typing import NamedTuple
from unittest import mock

from eelgrasshall.gateway import client
from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import connections
from eelgrasshall.gateway import election
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import heartbeats
from eelgrasshall.gateway import knowledge
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import peers
from eelgrasshall.gateway import registry
from eelgrasshall.gateway import upstream
from eelgrasshall.gateway import virtual_time
from eelgrasshall.platform import codec
from eelgrasshall.platform import fake_store
from eelgrasshall.platform import store as store_module
from eelgrasshall.platform import wire_names

Collection = object_cache.Collection
SERVICE = "orders"
_STORE = "store"
_ZONES = 3
_KINDS = {kind: each for each, kind in wire_names.OBJECT_KINDS.items()}
# The host whose code runs; tasks and timers inherit it.
_current_host: contextvars.ContextVar["Host"] = contextvars.ContextVar("host")


class Change(NamedTuple):
    """A change that the store has acknowledged.

    Attributes:
      collection: The collection.
      name: The name of the object.
      revision: Its revision, with the era.
      spec: What was written; None for a deletion.
      time_s: When it was acknowledged, virtual seconds.
    """

    collection: Collection
    name: str
    revision: int
    spec: Any
    time_s: float


class Loop(virtual_time.VirtualTimeLoop):
    """An event loop that asks before its clock advances.

    Attributes:
      on_idle: Called when nothing is ready, with the time to the next timer;
        returns the time by which the clock advances, seconds.
    """

    def __init__(self):
        self.on_idle: Callable[[float], float] = lambda duration_s: duration_s
        super().__init__()

    def advance(self, duration_s: float) -> None:
        """Advances the clock as `on_idle` says."""
        super().advance(self.on_idle(duration_s))

    def list_timers(self) -> list[asyncio.TimerHandle]:
        """Returns the timers that have not expired."""
        return [each for each in self._scheduled if not each.cancelled()]

    async def create_connection(self, *args, **kwargs):
        """Refuses: no backend server answers health checks."""
        raise ConnectionRefusedError

    async def create_datagram_endpoint(self, factory, **kwargs):
        """Connects a protocol to the simulated network."""
        protocol = factory()
        protocol.connection_made(_DatagramTransport(_current_host.get()))
        return None, protocol


class _DatagramTransport(asyncio.DatagramTransport):
    """Sends the datagrams of one process of a host."""

    def __init__(self, host: "Host"):
        super().__init__()
        self._host = host

    def sendto(self, data: bytes, address: tuple) -> None:
        """Sends a datagram."""
        self._host.fleet.send_datagram(self._host, data, address)

    def close(self) -> None:
        """Does nothing, as there is no socket."""


class Call:
    """A request of a host that is under way.

    Attributes:
      source: The process that has sent it.
      receiver: The name of the host, or that of the store.
      target: Path and query.
      answered: Whether the receiver has it.
      response: The response, once there is one.
    """

    def __init__(self, *, source: "Host", receiver: str, target: str):
        self.source = source
        self.receiver = receiver
        self.target = target
        self.answered = False
        self.response: client.Response | None = None
        self.future = source.fleet.loop.create_future()

    @property
    def collection(self) -> Collection | None:
        """The collection that is read from the store."""
        kind = self.target.partition("?")[0].rpartition("/")[2]
        return _KINDS.get(kind)

    @property
    def is_watch(self) -> bool:
        """Whether the store keeps it until something changes."""
        return "watch=" in self.target

    def __str__(self) -> str:
        """Describes it by its ends and what is asked."""
        what = self.target.partition("?")[2][:40] or "list"
        if self.receiver == _STORE:
            what = f"{self.collection.name.lower()} {what}"
        return f"{self.source.name} -> {self.receiver} {what}"


class _Client:
    """Stands in for `client.JsonClient`."""

    def __init__(self, *, address: model.Address, accepts_gzip: bool = False):
        del accepts_gzip
        self._address = address
        self.transferred_bytes = 0

    async def call(
        self, method: str, target: str, document=None, *, timeout_s: float
    ) -> client.Response:
        """Sends a request; the search decides what becomes of it."""
        del method, document
        return await _current_host.get().call(self._address, target, timeout_s)

    def close(self) -> None:
        """Does nothing, as there is no socket."""


class Host:
    """One process of an entry host.

    Attributes:
      knowledge: What it knows of the store.
      seen: The highest revision and whether it was a deletion, by object.
      faults: What must never happen and did.
      started_s: When it started.
    """

    def __init__(self, *, fleet: "Fleet", own: model.Host, incarnation: int):
        self.fleet = fleet
        self.own = own
        self.name = own.name
        self.incarnation = incarnation
        self.started_s = fleet.loop.time()
        self.alive = True
        self.faults: list[str] = []
        self.version = 0
        self._seen: dict[tuple[Collection, str], int] = {}
        self._notify_scheduled = False
        self._context = contextvars.copy_context()
        self._context.run(_current_host.set, self)
        self._tasks: list[asyncio.Task] = []
        random = random_module.Random(f"{own.name} {incarnation}")
        self.registry = self._make_registry()
        self.knowledge = knowledge.HostKnowledge(
            own=own,
            collections=fleet.collections,
            bounds_s=fleet.bounds_s,
            store=store_module.StoreClient(address=model.Address(_STORE, 1)),
            decode=lambda collection, name, document: codec.decode(
                collection, document
            ),
            on_update=self._handle_update,
            on_new_era=lambda collection, old, new: None,
            list_candidates=self._list_candidates,
            on_transferred=lambda name, size: None,
            loop=fleet.loop,
            random=random,
            log=fakes.Log(),
        )
        self.peers: peers.HeartbeatProtocol | None = None
        if fleet.has_heartbeats:
            self.peers = self._make_peers(random)
        self.run(self._start)

    def _make_registry(self) -> registry.Registry:
        """Returns the servers to which this host sends."""
        servers = registry.Registry(
            log=fakes.Log(),
            own=self.name,
            cold_start_bound=cold_start.ColdStartBound(1.5, 5.0),
        )
        servers.set_environment(
            upstream.Environment(
                loop=self.fleet.loop,
                names=fakes.NAMES,
                observer=fakes.Observer(),
                count=lambda name: None,
                receive_buffer=connections.ReceiveBuffer(),
            )
        )
        servers.set_services({SERVICE: fakes.make_service(SERVICE)})
        return servers

    def _make_peers(self, random) -> peers.HeartbeatProtocol:
        """Returns the heartbeats of this host."""
        protocol = peers.HeartbeatProtocol(
            own=self.own,
            incarnation=self.incarnation,
            loop=self.fleet.loop,
            random=random,
            reaches_store=self.knowledge.reaches_store,
            get_attempt_rate=lambda: 0.0,
            reaches_servers=lambda: True,
            get_gossip=self._list_gossip,
            on_gossip=self._handle_gossip,
            on_hosts_changed=lambda: None,
            on_links_lost=lambda: None,
        )
        protocol.state = heartbeats.State.READY
        return protocol

    def run(self, function: Callable[..., Any], *args: Any) -> Any:
        """Runs a function as code of this host."""
        return self._context.copy().run(function, *args)

    def _start(self) -> None:
        if self.peers is not None:
            self._start_task("peers", self.peers.start)
        wait = asyncio.Event().wait
        seeds = [self.fleet.hosts_by_name[e] for e in self.fleet.seeds]
        addresses = [each.control_address for each in seeds]
        self._start_task(
            "bootstrap",
            lambda: self.knowledge.bootstrap(addresses, wait, self._start_task),
        )

    def _start_task(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        del name
        self._tasks.append(self.fleet.loop.create_task(run()))

    def stop(self) -> None:
        """Ends the process."""
        self.alive = False
        for task in self._tasks:
            task.cancel()
        self.knowledge.peer_sync.stop()
        self.registry.close()
        if self.peers is not None:
            self.peers.stop()

    async def call(
        self, address: model.Address, target: str, timeout_s: float
    ) -> client.Response:
        """Sends a request and waits for its response."""
        receiver = self.fleet.names_by_address.get(address, _STORE)
        call = Call(source=self, receiver=receiver, target=target)
        self.fleet.add_call(call)
        try:
            async with asyncio.timeout(timeout_s):
                return await call.future
        except TimeoutError as error:
            raise client.CallError("TimeoutError") from error
        finally:
            self.fleet.calls.remove(call)

    def list_used(self) -> set[str]:
        """Returns the names of the servers to which this host sends."""
        return {
            each.server.id for each in self.registry.find_candidates(SERVICE)
        }

    def _list_candidates(self) -> list[election.Candidate]:
        """Returns the other hosts that may watch the store."""
        if self.peers is not None:
            return self.peers.list_candidates()
        return [
            election.Candidate(
                each.name, each.own.zone, each.knowledge.reaches_store()
            )
            for each in self.fleet.hosts.values()
            if each is not self and each.alive
        ]

    def _list_gossip(self) -> list:
        """Returns what heartbeats carry."""
        revisions, *servers_state = self.knowledge.list_claims()
        return [revisions, [], *servers_state]

    def _handle_gossip(self, sender: str, gossip: list) -> None:
        """Handles what a heartbeat carried."""
        address = self.fleet.hosts_by_name[sender].control_address
        self.knowledge.handle_claims(sender, address, gossip[0], gossip[2:])

    def hear(self, other: "Host") -> None:
        """Handles what another host states now."""
        gossip = other.run(other._list_gossip)
        self.fleet.loop.call_soon(
            self._handle_gossip,
            other.name,
            gossip,
            context=self._context.copy(),
        )

    def _handle_update(self, update: object_cache.Update, value: Any) -> None:
        """Follows an update as the process does, and what must hold of it."""
        key = update.collection, update.name
        if update.revision < self._seen.get(key, 0):
            self.faults.append(f"revived: {self.name} {update.name}")
        self._seen[key] = update.revision
        if update.collection is Collection.SERVERS:
            self.registry.set_server(update.name, value, update.revision)
        elif update.collection is Collection.EVACUATIONS:
            self.registry.set_evacuated(update.name, value is not None)
        elif update.collection is Collection.CONFIGURATION and value:
            if value.version < self.version:
                self.faults.append(
                    f"version: {self.name} goes from {self.version} to "
                    f"{value.version}"
                )
            self.version = value.version
        if self.peers is not None and not self._notify_scheduled:
            self._notify_scheduled = True
            self.fleet.loop.call_soon(self._notify)

    def _notify(self) -> None:
        self._notify_scheduled = False
        self.peers.send_now()


class Fleet:
    """Hosts and a store.

    Args:
      loop: The event loop.
      names: The names of the hosts; they are spread over three zones.
      seeds: The names of those that starting hosts ask.
      collections: The collections in use.
      bounds_s: Maximum time until a change is in force, seconds.
      choose_delay_s: Returns the time after which a request or a response
        arrives, seconds; None if the search delivers it.
      has_heartbeats: Whether hosts send heartbeats.
      page_size: The number of objects in one page of a listing.

    Attributes:
      hosts: The latest process of each host, by name.
      calls: The requests that are under way.
      changes: All changes of the store, in order.
      swallowing: Whether the store reads calls and answers none.
      cut: The names of hosts that reach neither the store nor other hosts.
      cut_from_store: The names of hosts that do not reach the store.
      disturbed_s: When a host or the store was last disturbed, by name.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        names: Iterable[str],
        seeds: Iterable[str],
        collections: tuple[Collection, ...],
        bounds_s: dict[Collection, float],
        choose_delay_s: Callable[[Call | None], float | None],
        has_heartbeats: bool,
        page_size: int,
    ):
        self.loop = loop
        self.collections = collections
        self.bounds_s = bounds_s
        self.choose_delay_s = choose_delay_s
        self.has_heartbeats = has_heartbeats
        self.seeds = list(seeds)
        self.store = fake_store.FakeStore()
        self.store.page_size = page_size
        self.calls: list[Call] = []
        self.changes: list[Change] = []
        self.errors: list[str] = []
        self.swallowing = False
        self.cut: set[str] = set()
        self.cut_from_store: set[str] = set()
        self.disturbed_s: dict[str, float] = {}
        self.hosts: dict[str, Host] = {}
        self.hosts_by_name = {
            name: fakes.make_host(
                name, zone=f"z{index % _ZONES}", port=7000 + 10 * index
            )
            for index, name in enumerate(names)
        }
        self.names_by_address = {
            each.control_address: each.name
            for each in self.hosts_by_name.values()
        }
        self._names_by_peer_address = {
            tuple(each.peer_address): each.name
            for each in self.hosts_by_name.values()
        }
        self._starts = 0
        loop.set_exception_handler(
            lambda loop, context: self.errors.append(
                repr(context.get("exception") or context["message"])
            )
        )

    @property
    def revision(self) -> int:
        """The store's revision, with its era."""
        return object_cache.make_revision(
            self.store.era or 0, self.store.revision
        )

    # Actions.

    def write(self, collection: Collection, name: str, spec: Any) -> None:
        """Writes an object to the store; deletes it if there is no spec."""
        kind = wire_names.OBJECT_KINDS[collection]
        if spec is None:
            self.store.delete(kind, name)
        else:
            self.store.put(kind, name, spec)
        self._record(collection, name, self.store.revision, spec)

    def _record(
        self, collection: Collection, name: str, number: int, spec: Any
    ) -> None:
        revision = object_cache.make_revision(self.store.era or 0, number)
        self.changes.append(
            Change(collection, name, revision, spec, self.loop.time())
        )

    def restore(self, stored: fake_store.StoreCopy) -> None:
        """Lets the store come back from a copy."""
        self.store.restore(stored)
        self.disturb(_STORE)
        for collection in self.collections:
            kind = wire_names.OBJECT_KINDS[collection]
            for name, each in stored.objects.get(kind, {}).items():
                number = each["meta"]["revision"]
                self._record(collection, name, number, each["spec"])

    def start(self, name: str) -> None:
        """Starts a host, or starts it again."""
        if name in self.hosts:
            self.kill(name)
        self._starts += 1
        host = Host(
            fleet=self,
            own=self.hosts_by_name[name],
            incarnation=self._starts,
        )
        self.hosts[name] = host
        self.disturb(name)
        if host.peers is not None:
            for other in self.hosts_by_name.values():
                host.run(host.peers.add_host, other)

    def kill(self, name: str) -> None:
        """Ends a host's process; its requests are never answered."""
        self.hosts[name].stop()
        self.disturb(name)
        for call in self.calls:
            if call.receiver == name and not call.future.done():
                call.future.set_exception(client.CallError("reset"))

    def disturb(self, name: str = _STORE) -> None:
        """Notes that a host or the store is disturbed."""
        self.disturbed_s[name] = self.loop.time()

    # Messages.

    def _is_cut(self, call: Call) -> bool:
        """Returns whether a message of a call does not arrive now."""
        name = call.source.name
        if not call.source.alive or name in self.cut:
            return True
        if call.receiver == _STORE:
            return self.swallowing or name in self.cut_from_store
        return call.receiver in self.cut

    def add_call(self, call: Call) -> None:
        """Takes a request that a host sends."""
        self.calls.append(call)
        self._schedule(self.answer, call)

    def _schedule(self, function: Callable[[Call], None], call: Call) -> None:
        delay_s = self.choose_delay_s(call)
        if delay_s is not None:
            self.loop.call_later(delay_s, function, call)

    def release(self) -> None:
        """Lets all requests and responses that are held arrive."""
        for call in list(self.calls):
            self._schedule(self.deliver if call.response else self.answer, call)

    def answer(self, call: Call) -> None:
        """Lets the receiver of a request answer it."""
        if call.answered or self._is_cut(call) or call.future.done():
            return
        call.answered = True
        request = messages.Request(b"GET", call.target.encode(), [], b"", 0.0)
        if call.receiver == _STORE:
            task = self.loop.create_task(self.store.handle(request))
            task.add_done_callback(
                lambda done: self._take_response(call, done.result())
            )
            return
        receiver = self.hosts.get(call.receiver)
        if receiver is None or not receiver.alive:
            call.future.set_exception(client.CallError("refused"))
            return
        response = receiver.run(receiver.knowledge.answers.answer, request)
        self._take_response(call, response)

    def _take_response(self, call: Call, response) -> None:
        document = json.loads(response.body) if response.body else None
        headers = {key.lower(): value for key, value in response.headers}
        call.response = client.Response(
            response.status, document, len(response.body), headers
        )
        self._schedule(self.deliver, call)

    def deliver(self, call: Call) -> None:
        """Lets the response of a call arrive."""
        if not self._is_cut(call) and not call.future.done():
            call.future.set_result(call.response)

    def send_datagram(self, source: Host, data: bytes, address) -> None:
        """Sends a datagram of a host to another one."""
        name = self._names_by_peer_address[address]
        self.loop.call_later(
            self.choose_delay_s(None),
            self._deliver_datagram,
            source,
            name,
            data,
        )

    def _deliver_datagram(self, source: Host, name: str, data: bytes) -> None:
        receiver = self.hosts.get(name)
        if (
            receiver is not None
            and receiver.alive
            and not self.cut & {name, source.name}
        ):
            receiver.run(
                receiver.peers.datagram_received,
                data,
                tuple(source.own.peer_address),
            )

    def close(self) -> None:
        """Ends all processes and the loop."""
        for host in self.hosts.values():
            host.stop()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.on_idle = lambda duration_s: duration_s
        self.loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )
        self.loop.close()


@contextlib.contextmanager
def replace_clients():
    """Lets all hosts send to simulated receivers."""
    with mock.patch.object(client, "JsonClient", _Client):
        yield


def make_server_spec(*, draining: bool = False, seq: int = 0) -> dict:
    """Returns the entry of a server."""
    return {
        "service": SERVICE,
        "address": "127.0.0.1:9",
        "zone": "z0",
        "slots": 6,
        "state": "draining" if draining else "ready",
        "coldLeftMs": 0,
        "seqNum": seq,
        "born": 1,
    }


def make_configuration_spec(version: int) -> dict:
    """Returns a configuration without routes."""
    return {
        "version": version,
        "routes": [],
        "services": [],
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 262144,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 5000,
        },
    }
