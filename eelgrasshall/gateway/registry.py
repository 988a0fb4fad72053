"""The backend servers that may get work, as the belief names them.

A server leaves the candidates as soon as it drains, is gone, answers as
another one, or its zone is evacuated.  One that cannot be reached is asked by
its health endpoint until it answers, so that no caller's request has to try.
"""

import asyncio
from collections.abc import Sequence
import hashlib
import math
from typing import Any

from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import cold_start
from eelgrasshall.gateway import events
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import upstream

# Share of a server's connections that all hosts together use: opening and
# closing ones overlap, and hosts may not know of each other at once.
CONNECTION_SHARE = 0.85
# Connections to a server that are in use at once, for each of its slots, over
# the hosts that carry requests: more would queue at the server, where they
# cannot be sent elsewhere (`fleetbench run` of worst-load: 0.617 for 0.583).
CONNECTIONS_PER_SLOT = 2.0
# A host needs a second one while the first is held by a request that is slow.
LEAST_CONNECTIONS = 2
# Servers of a service that a host uses at least, though that is more than its
# part: one may be slow and one lost.
LEAST_OWN = 2
# Share of a server's connections that are handed out where hosts use servers by
# lot: some servers are drawn by a third more hosts than others.
LOT_SHARE = 0.7
# Pauses between health checks of a server that cannot be reached.
FIRST_PROBE_S = 0.25
LONGEST_PROBE_S = 1.0
PROBE_TIMEOUT_S = 0.5


class Registry:
    """The backend servers by service.

    Args:
      log: Where changes are noted.
      own: Name of this host.
      cold_bound: What is allowed beyond a cold server's own rate.
    """

    def __init__(
        self,
        *,
        log: events.EventLog,
        own: str,
        cold_bound: cold_start.ColdStartBound,
    ):
        self._log = log
        self._own = own
        self._cold_bound = cold_bound
        self._host_names: tuple[str, ...] = (own,)
        self._environment: upstream.Environment | None = None
        self._servers: dict[str, model.Server] = {}
        self._backends: dict[str, upstream.Backend] = {}
        self._candidates: dict[str, list[upstream.Backend]] = {}
        self._own_candidates: dict[str, list[upstream.Backend]] = {}
        self._services: dict[str, model.Service] = {}
        self._evacuated: set[str] = set()
        self._hosts = 1
        self._carrying = 1
        self._probes: dict[str, asyncio.Task] = {}

    def attach(self, environment: upstream.Environment) -> None:
        """Sets what the backend servers share."""
        self._environment = environment

    @property
    def evacuated(self) -> set[str]:
        """The zones whose servers get nothing."""
        return set(self._evacuated)

    def find_candidates(self, service: str) -> Sequence[upstream.Backend]:
        """Returns the backend servers of a service that may get work."""
        own = self._own_candidates.get(service)
        if own is None:
            own = self._own_candidates[service] = self._choose_own(service)
        return own

    def count_servers(self) -> int:
        """Returns the number of servers that may get work."""
        return sum(len(each) for each in self._candidates.values())

    def set_services(self, services: dict[str, model.Service]) -> None:
        """Takes over what a configuration says of the services."""
        self._services = services
        self._own_candidates.clear()
        for backend in self._backends.values():
            service = services.get(backend.server.service)
            if service is not None:
                backend.service = service
        self._share_connections()
        for server in list(self._servers.values()):
            self._place(server)

    def set_hosts(self, working: int, names: tuple[str, ...]) -> None:
        """Takes over which hosts share each server.

        Args:
          working: Number of hosts that carry requests.
          names: Names of all hosts known, alive or not, with this one.
        """
        if working != self._hosts:
            self._hosts = working
            self._own_candidates.clear()
            self._share_connections()
        if names != self._host_names:
            self._host_names = names
            now = self._environment.loop.time()
            for backend in self._backends.values():
                if backend.cold.is_cold(now):
                    self._share_cold(backend)

    def set_carrying(self, carrying: int) -> None:
        """Sets the number of hosts heard that carry requests at present."""
        if carrying != self._carrying:
            self._carrying = carrying
            self._share_connections()

    def set_evacuated(self, zone: str, evacuated: bool) -> None:
        """Takes a zone out, or back in."""
        if evacuated:
            self._evacuated.add(zone)
        else:
            self._evacuated.discard(zone)
        self._log.record("zone", zone=zone, evacuated=evacuated)
        for server in list(self._servers.values()):
            if server.zone == zone:
                self._place(server)
                self._chill(server.id)

    def set_server(
        self, server_id: str, server: model.Server | None, revision: int
    ) -> None:
        """Takes over what is known of a backend server; None if it is gone."""
        old = self._servers.get(server_id)
        if server is None:
            if old is None:
                return
            del self._servers[server_id]
            self._remove(server_id)
            state = "gone"
        else:
            if old is not None and server.born_ms < old.born_ms:
                return
            if old is not None and _is_other(old, server):
                self._remove(server_id)
            self._servers[server_id] = server
            self._place(server)
            if server.cold_s > 0:
                self._chill(server_id, server.cold_s)
            state = "draining" if server.draining else "ready"
        self._log.record(
            "server",
            server=server_id,
            service=(server or old).service,
            state=state,
            cold_s=server.cold_s if server else None,
            revision=revision,
        )

    def drop_misdirected(self, backend: upstream.Backend) -> None:
        """Removes a server at whose address another one answers."""
        if self._backends.get(backend.server.id) is backend:
            self._remove(backend.server.id)
            self._log.record("server_misdirected", server=backend.server.id)

    def probe(self, backend: upstream.Backend) -> None:
        """Begins to ask a server that cannot be reached for its health."""
        server_id = backend.server.id
        if server_id in self._probes or backend.gone:
            return
        self._log.record("server_unreachable", server=server_id)
        task = self._environment.loop.create_task(self._probe(backend))
        self._probes[server_id] = task
        task.add_done_callback(lambda _: self._probes.pop(server_id, None))

    def dump(self) -> dict[str, Any]:
        """Returns what was seen of each server that may get work."""
        now = self._environment.loop.time()
        return {
            server_id: {
                "service": backend.server.service,
                "in_flight": len(backend.pending),
                "connections": backend.open_connections,
                "slowness": round(backend.slowness, 2),
                "errors": round(backend.error_rate(now), 2),
                "refusals": round(backend.shed_rate(now), 2),
                "unreachable": backend.unreachable,
                "cold": backend.cold.is_cold(now),
            }
            for server_id, backend in self._backends.items()
        }

    def sweep(self, now: float) -> None:
        """Ends what has taken too long at all servers."""
        for backend in list(self._backends.values()):
            backend.sweep(now)

    def close(self) -> None:
        """Ends all probes and connections."""
        for task in list(self._probes.values()):
            task.cancel()
        for backend in self._backends.values():
            backend.close()

    async def _probe(self, backend: upstream.Backend) -> None:
        """Asks a server's health endpoint until it answers."""
        server_id = backend.server.id
        pause_s = FIRST_PROBE_S
        while not backend.gone:
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, LONGEST_PROBE_S)
            waiter = _Waiter(loop=self._environment.loop)
            now = self._environment.loop.time()
            attempt = attempts.Attempt(
                owner=waiter,
                part=None,
                request_id=None,
                encode=lambda left_s, server_id: (
                    b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n"
                    % (
                        backend.service.health_path.encode(),
                        str(backend.server.address).encode(),
                    )
                ),
                deadline_s=now + PROBE_TIMEOUT_S,
                expected_s=PROBE_TIMEOUT_S,
                fresh=True,
            )
            self._environment.count("health_checks")
            backend.start(attempt)
            outcome = await waiter.outcome
            if self._is_healthy(backend, outcome):
                backend.unreachable = False
                self._log.record("server_reached", server=server_id)
                self._chill(server_id)
                return
            backend.unreachable = True

    def _is_healthy(
        self,
        backend: upstream.Backend,
        outcome: messages.Reply | messages.Failure,
    ) -> bool:
        """Returns whether a health answer is good and this server's own."""
        if not isinstance(outcome, messages.Reply) or outcome.status != 200:
            return False
        name = self._environment.names.server_id
        ids = [value for key, value in outcome.headers if key.lower() == name]
        return ids in ([], [backend.server.id.encode()])

    def _place(self, server: model.Server) -> None:
        """Makes a server a candidate, or takes it from the candidates."""
        usable = (
            not server.draining
            and server.zone not in self._evacuated
            and server.service in self._services
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
            max_open=self._share(server, service),
        )
        self._candidates.setdefault(server.service, []).append(
            self._backends[server.id]
        )
        self._own_candidates.pop(server.service, None)

    def _remove(self, server_id: str) -> None:
        """Takes a server from the candidates."""
        backend = self._backends.pop(server_id, None)
        if backend is None:
            return
        backend.close()
        self._candidates[backend.server.service].remove(backend)
        self._own_candidates.pop(backend.server.service, None)

    def _choose_own(self, service: str) -> list[upstream.Backend]:
        """Returns the servers of a service that this host uses.

        They are as if drawn by lot, another lot for each host, so that each
        server is used by about as many hosts as it has connections for.
        """
        backends = self._candidates.get(service, [])
        limit = self._services[service].max_connections if backends else 0
        count = count_own(len(backends), limit, self._hosts)
        if count >= len(backends):
            return list(backends)
        return sorted(
            backends,
            key=lambda backend: _draw(self._own, backend.server.id),
        )[:count]

    def _chill(self, server_id: str, cold_s: float | None = None) -> None:
        """Treats a server as cold, if its service states what it bears then.

        Args:
          server_id: The server.
          cold_s: Seconds for which it is cold; as after a start if None.
        """
        backend = self._backends.get(server_id)
        if backend is None or not backend.service.cold_rate:
            return
        left_s = backend.service.cold_s if cold_s is None else cold_s
        now = self._environment.loop.time()
        if not backend.cold.is_cold(now):
            self._log.record("server_cold", server=server_id, left_s=left_s)
            # Worked out only now: hosts and servers are many, cold ones few.
            self._share_cold(backend)
        backend.cold.mark_cold_until(now + left_s)

    def _share_cold(self, backend: upstream.Backend) -> None:
        """Sets this host's share of a server that is or turns cold."""
        share = cold_start.compute_host_rate(
            rate=backend.service.cold_rate,
            bound=self._cold_bound,
            server_id=backend.server.id,
            own=self._own,
            hosts=self._host_names,
        )
        backend.cold.set_rate_limit(share)

    def _share(self, server: model.Server, service: model.Service) -> int:
        """Returns how many connections this host may hold to one server."""
        share = service.max_connections * CONNECTION_SHARE / self._hosts
        useful = math.ceil(server.slots * CONNECTIONS_PER_SLOT / self._carrying)
        return max(1, min(int(share), max(useful, LEAST_CONNECTIONS)))

    def _share_connections(self) -> None:
        """Sets the connections of all servers anew."""
        for backend in self._backends.values():
            backend.max_open = self._share(backend.server, backend.service)


def count_own(servers: int, max_connections: int, hosts: int) -> int:
    """Returns how many servers of a service one host uses.

    Args:
      servers: Servers of the service.
      max_connections: Connections that each of them accepts.
      hosts: Number of hosts that share them.
    """
    per_host = max_connections * CONNECTION_SHARE / max(hosts, 1)
    if per_host >= 1.0:
        return servers
    return max(LEAST_OWN, int(servers * per_host * LOT_SHARE))


def _draw(host: str, server_id: str) -> bytes:
    """Returns a lot that a host draws for a server, always the same.

    A checksum would do for one host, but orders servers alike for hosts with
    similar names.
    """
    text = f"{host} {server_id}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class _Waiter:
    """Lets a task await the outcome of an attempt."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop):
        self.outcome: asyncio.Future = loop.create_future()

    def settle(
        self,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure,
    ) -> None:
        """Takes the outcome."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


def _is_other(old: model.Server, new: model.Server) -> bool:
    """Returns whether an entry speaks of another incarnation or place."""
    return (old.born_ms, old.address, old.service) != (
        new.born_ms,
        new.address,
        new.service,
    )
