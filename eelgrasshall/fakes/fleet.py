"""Many fake backend servers in one process with one control endpoint.

A specification lists the servers.  Commands sent to `POST /control` select
servers by name, service or zone, set their attributes and call their methods.
"""

import collections
import random
from typing import Any

from eelgrasshall.fakes import backend
from eelgrasshall.fakes import process
from eelgrasshall.protocol import messages


def build_server(spec: dict[str, Any], seed: int) -> backend.FakeBackendServer:
    """Builds one server from its entry in the specification.

    Args:
      spec: Arguments of `FakeBackendServer` as JSON; `key_ranges` maps epochs
        to `[low, high]`, `snapshots` is a list of `epoch.version`.
      seed: Seed of the random number generator.
    """
    fields = dict(spec)
    fields.pop("port", None)
    if "service_time" in fields:
        fields["service_time"] = backend.ServiceTime(**fields["service_time"])
    if "key_ranges" in fields:
        fields["key_ranges"] = {
            int(epoch): messages.KeyRange(*keys)
            for epoch, keys in fields["key_ranges"].items()
        }
    if "snapshots" in fields:
        fields["snapshots"] = tuple(
            messages.parse_snapshot(text) for text in fields["snapshots"]
        )
    random_source = random.Random(f"{seed}:{spec['name']}")
    return backend.FakeBackendServer(random_source=random_source, **fields)


class Fleet:
    """The fake backend servers of one process.

    Args:
      servers: All servers of the process.
    """

    def __init__(self, *, servers: list[backend.FakeBackendServer]):
        self._servers = servers

    async def control(self, command: dict[str, Any]) -> Any:
        """Executes one control command.

        Args:
          command: `names`, `services` and `zones` select servers; without
            any of them all servers are selected.  `set` maps attributes to
            values, `call` names a method and `args` lists its arguments
            (snapshots as text), `report` requests counts and runs.

        Returns:
          The report, or the number of selected servers.
        """
        selected = [s for s in self._servers if _is_selected(s, command)]
        for server in selected:
            for name, value in command.get("set", {}).items():
                setattr(server, name, value)
            if "call" in command:
                await _call(server, command)
        if command.get("report"):
            return self._report(selected)
        return {"selected": len(selected)}

    def _report(
        self, selected: list[backend.FakeBackendServer]
    ) -> dict[str, Any]:
        """Returns totals and runs of the selected servers."""
        total: collections.Counter[str] = collections.Counter()
        for server in selected:
            total.update(server.counts)
        return {
            "counts": total,
            "busy_s": sum(server.busy_s for server in selected),
            "in_flight": sum(server.in_flight for server in selected),
            "slots": sum(server.slots for server in selected),
            "cold": sum(server.cold for server in selected),
            "snapshots": sorted(
                {each.to_text() for s in selected for each in s.snapshots}
            ),
            "by_zone": _sum_by_zone(selected),
            "runs": [run for server in selected for run in server.runs],
        }


def _sum_by_zone(selected: list[backend.FakeBackendServer]) -> dict[str, int]:
    """Returns the number of attempts run in each zone."""
    runs: collections.Counter[str] = collections.Counter()
    for server in selected:
        runs[server.zone] += server.counts["runs"]
    return runs


def _is_selected(
    server: backend.FakeBackendServer, command: dict[str, Any]
) -> bool:
    """Returns whether a command selects a server."""
    filters = [
        (command.get("names"), server.name),
        (command.get("services"), server.service),
        (command.get("zones"), server.zone),
    ]
    return all(
        accepted is None or value in accepted for accepted, value in filters
    )


async def _call(
    server: backend.FakeBackendServer, command: dict[str, Any]
) -> None:
    """Calls the method that a command names on a server."""
    args = list(command.get("args", []))
    name = command["call"]
    if name in ("publish", "drop"):
        args[0] = messages.parse_snapshot(args[0])
    if name == "publish" and len(args) > 1 and args[1] is not None:
        args[1] = messages.KeyRange(*args[1])
    result = getattr(server, name)(*args)
    if name == "crash":
        await result


async def serve(spec: dict[str, Any]) -> None:
    """Runs the servers of a specification until shutdown."""
    seed = spec.get("seed", 0)
    servers = []
    for each in spec["servers"]:
        server = build_server(each, seed)
        await server.start(each.get("port", 0))
        servers.append(server)
    fleet = Fleet(servers=servers)
    runner, control_port = await process.serve_control(fleet.control)
    process.print_ready(
        control=control_port, servers={s.name: s.port for s in servers}
    )
    await process.wait_for_shutdown()
    await runner.cleanup()
    for server in servers:
        await server.stop()
