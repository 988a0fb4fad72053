"""Prints the capacity table at the target size from the measured slopes.

`python -m measure.capacity` reads `measure/slopes.json`, which
`measure.slopes` writes, and works out what each role needs at 400 nodes.
"""

import json
import math
from typing import Any
from typing import NamedTuple

from measure import slopes

NODES = 400
SERVERS = 2100
QUERIES_PER_S = 89_000
SERVICES_PER_QUERY = 65
CORE_SHARE_BOUND = 0.023
MEMORY_BOUND_MB = 64.0
BYTES_BOUND_PER_S = 5000.0
STORE_READS_PER_S = 2000.0
IN_FORCE_BOUND_S = 8.0
# Replicas of a service; the owner of a slice watches each of them.
REPLICAS = 3
# Share of a core that a process is planned to use for queries, so that its
# event loop answers in time.
PLANNED_CORE_SHARE = 0.6


class Line(NamedTuple):
    """One line of the table.

    Attributes:
      role: The role.
      what: The quantity.
      value: It at the target size.
      bound: What is allowed, or an empty string.
      verdict: `carried`, or by how much not.
    """

    role: str
    what: str
    value: str
    bound: str
    verdict: str


def project(kept: dict[str, Any], name: str, size: float) -> float:
    """Returns a fitted quantity at a size."""
    return kept[name]["start"] + kept[name]["slope"] * size


def build_lines(kept: dict[str, Any]) -> list[Line]:
    """Works out every line of the table.

    Args:
      kept: The document that `measure.slopes` keeps.
    """
    sub_requests = QUERIES_PER_S * SERVICES_PER_QUERY / NODES
    queries = QUERIES_PER_S / NODES
    lines = [
        Line(
            "entry host",
            "queries and sub-requests a second and node",
            f"{queries:.0f} and {sub_requests:.0f}",
            "",
            "given",
        )
    ]
    lines += _build_work_lines(kept, sub_requests)
    lines += _build_control_lines(kept)
    return lines


def _build_work_lines(kept: dict[str, Any], sub_requests: float) -> list[Line]:
    """Returns the lines of relay, gather and owner."""
    lines = []
    entry_s = kept["work.entry_core"]["slope"]
    owner_s = kept["work.owner_core"]["slope"]
    for role, cost_s, name in (
        ("entry host, relay and gather", entry_s, "work.entry_core"),
        ("owner and pools", owner_s, "work.owner_core"),
    ):
        lines.append(
            Line(
                role,
                "processor time of a sub-request; cores a node",
                f"{cost_s * 1e6:.0f} us; {cost_s * sub_requests:.1f}",
                "",
                f"r2 {kept[name]['r2']:.3f}",
            )
        )
    total = (entry_s + owner_s) * sub_requests
    lines.append(
        Line(
            "node",
            f"processes at {PLANNED_CORE_SHARE:.0%} of a core each",
            f"{count_processes(kept):.0f}",
            "",
            f"{total:.1f} cores of work",
        )
    )
    for_server = QUERIES_PER_S * SERVICES_PER_QUERY / SERVERS
    one_owner = PLANNED_CORE_SHARE / owner_s
    lines.append(
        Line(
            "owner and pools",
            "sub-requests a second: a service's; what one owner carries",
            f"{for_server * REPLICAS:.0f}; {one_owner:.0f}",
            "",
            f"{math.ceil(for_server * REPLICAS / one_owner)} slices a service",
        )
    )
    return lines


def count_processes(kept: dict[str, Any]) -> int:
    """Returns the processes that a node needs for its sub-requests."""
    cost_s = kept["work.entry_core"]["slope"] + kept["work.owner_core"]["slope"]
    sub_requests = QUERIES_PER_S * SERVICES_PER_QUERY / NODES
    return math.ceil(cost_s * sub_requests / PLANNED_CORE_SHARE)


def _build_control_lines(kept: dict[str, Any]) -> list[Line]:
    """Returns the lines of membership, configuration and store calls.

    Each process of a node is a member of its own, so that membership and
    store calls are taken at all processes of the fleet.
    """
    processes = count_processes(kept)
    members = NODES * processes
    lines = []
    for what, name, bound in (
        ("share of a core, one process", "core_share", CORE_SHARE_BOUND),
        ("bytes a second sent, one process", "bytes_per_s", BYTES_BOUND_PER_S),
    ):
        value = project_level(kept, f"hosts.{name}")
        lines.append(_judge("membership", what, value, bound))
        lines.append(
            _judge(
                "membership",
                f"the same, a node of {processes} processes",
                value * processes,
                bound,
            )
        )
    for hosts in (NODES, members):
        value = project(kept, "hosts.store_calls_per_s", hosts)
        what = f"store calls a second, fleet of {hosts}"
        lines.append(_judge("platform client", what, value, STORE_READS_PER_S))
    memory = project(kept, "servers.resident_mb", SERVERS)
    what = f"resident MB of a process, {SERVERS} backend servers"
    lines.append(_judge("configuration", what, memory, MEMORY_BOUND_MB))
    applied_s = project(kept, "servers.apply_s", SERVERS)
    what = "seconds until a change is in force, 3 hosts"
    lines.append(_judge("configuration", what, applied_s, IN_FORCE_BOUND_S))
    watch = kept["servers.core_share"]["slope"] * slopes.PEERS_FOR_SERVERS
    watched = processes * REPLICAS
    what = f"share of a core, watching {watched} owned servers, a node"
    lines.append(_judge("owner", what, watch * watched, CORE_SHARE_BOUND))
    return lines


def project_level(kept: dict[str, Any], name: str) -> float:
    """Returns the highest measured value of what has no rising slope."""
    return max(value for _, value in kept[name]["points"])


def _judge(role: str, what: str, value: float, bound: float) -> Line:
    """Returns a line with its verdict against a bound."""
    if value <= bound:
        verdict = "carried"
    else:
        verdict = f"not carried: {value / bound:.1f} times the bound"
    return Line(role, what, f"{value:.3g}", f"{bound:g}", verdict)


def main() -> None:
    """Prints the table."""
    kept = json.loads(slopes.SLOPES.read_text(encoding="utf-8"))
    print("| role | what | value | bound | verdict |")
    print("|---|---|---|---|---|")
    for line in build_lines(kept):
        print("| " + " | ".join(line) + " |")
    for name in ("hosts", "servers", "work"):
        print(f"\n{name}: measured at commit {kept.get(f'{name}.commit')}")


if __name__ == "__main__":
    main()
