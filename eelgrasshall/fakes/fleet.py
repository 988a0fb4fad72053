"""Many fake backend servers in one process, steered by one endpoint.

A specification lists the servers; commands of `POST /control` select servers
by name, service or zone and set their attributes or call their methods.
"""

import collections
import random
from typing import Any

from eelgrasshall.fakes import backend
from eelgrasshall.fakes import process
from eelgrasshall.protocol import messages


def build_server(spec: dict[str, Any], seed: int) -> backend.BackendFake:
    """Builds one server from its part of the specification.

    Args:
      spec: Arguments of `BackendFake` in JSON form; `key_ranges` maps epochs
        to `[low, high]`, `snapshots` is a list of `epoch.version`.
      seed: Seed of its draws.
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
    source = random.Random(f"{seed}:{spec['name']}")
    return backend.BackendFake(random_source=source, **fields)


class Fleet:
    """The servers of one process.

    Args:
      servers: The servers.
    """

    def __init__(self, *, servers: list[backend.BackendFake]):
        self._servers = servers

    async def control(self, command: dict[str, Any]) -> Any:
        """Carries out one command.

        Args:
          command: `names`, `services` and `zones` select servers, all if
            none is given.  `set` gives attributes, `call` names a method and
            `args` its arguments (snapshots as text), `report` asks for
            counts and runs.

        Returns:
          The report, or how many servers were selected.
        """
        chosen = [s for s in self._servers if _is_selected(s, command)]
        for server in chosen:
            for name, value in command.get("set", {}).items():
                setattr(server, name, value)
            if "call" in command:
                await _call(server, command)
        if command.get("report"):
            return self._report(chosen)
        return {"selected": len(chosen)}

    def _report(self, chosen: list[backend.BackendFake]) -> dict[str, Any]:
        """Sums up what the servers have seen."""
        total: collections.Counter[str] = collections.Counter()
        for server in chosen:
            total.update(server.counts)
        return {
            "counts": total,
            "busy_s": sum(server.busy_s for server in chosen),
            "in_flight": sum(server.in_flight for server in chosen),
            "slots": sum(server.slots for server in chosen),
            "cold": sum(server.cold for server in chosen),
            "snapshots": sorted(
                {each.to_text() for s in chosen for each in s.snapshots}
            ),
            "by_zone": _sum_by_zone(chosen),
            "runs": [run for server in chosen for run in server.runs],
        }


def _sum_by_zone(chosen: list[backend.BackendFake]) -> dict[str, int]:
    """Returns the attempts run in each zone."""
    runs: collections.Counter[str] = collections.Counter()
    for server in chosen:
        runs[server.zone] += server.counts["runs"]
    return runs


def _is_selected(server: backend.BackendFake, command: dict[str, Any]) -> bool:
    """Returns whether a command concerns a server."""
    tests = [
        (command.get("names"), server.name),
        (command.get("services"), server.service),
        (command.get("zones"), server.zone),
    ]
    return all(wanted is None or value in wanted for wanted, value in tests)


async def _call(server: backend.BackendFake, command: dict[str, Any]) -> None:
    """Calls a method of a server."""
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
    """Runs the servers of a specification until told to end."""
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
    await process.wait_for_end()
    await runner.cleanup()
    for server in servers:
        await server.stop()
