"""Prints the resources that each role needs at the target fleet size.

`python -m measure.capacity` reads the linear fits that `measure.slopes` writes
to `measure/slopes.json` and extrapolates them to 400 nodes.
"""

import json
import math
from typing import Any
from typing import NamedTuple

from measure import slopes

NODE_COUNT = 400
SERVER_COUNT = 2100
QUERIES_PER_S = 89_000
SERVICES_PER_QUERY = 65
MAX_CORE_SHARE = 0.023
MAX_MEMORY_MB = 64.0
MAX_BYTES_PER_S = 5000.0
MAX_STORE_READS_PER_S = 2000.0
MAX_ROLLOUT_S = 8.0
# The owner of a slice of a service observes each of its replicas.
REPLICAS_PER_SERVICE = 3
# Planned share of a core that a process spends on queries; the rest keeps its
# event loop responsive.
TARGET_CORE_SHARE = 0.6


class TableRow(NamedTuple):
    """One row of the table.

    Attributes:
      role: The role of the process or node, for example `owner`.
      what: The quantity and its unit.
      value: Its value at the target size.
      bound: The highest value allowed; empty if there is no bound.
      verdict: Whether the bound is kept, or a remark if there is none.
    """

    role: str
    what: str
    value: str
    bound: str
    verdict: str


def extrapolate(fits: dict[str, Any], name: str, size: float) -> float:
    """Returns the value of a linear fit at a size."""
    return fits[name]["start"] + fits[name]["slope"] * size


def build_rows(fits: dict[str, Any]) -> list[TableRow]:
    """Builds all rows of the table.

    Args:
      fits: The content of `slopes.json`, fits by name.
    """
    sub_requests_per_s = QUERIES_PER_S * SERVICES_PER_QUERY / NODE_COUNT
    queries_per_s = QUERIES_PER_S / NODE_COUNT
    rows = [
        TableRow(
            "entry host",
            "queries and sub-requests a second and node",
            f"{queries_per_s:.0f} and {sub_requests_per_s:.0f}",
            "",
            "given",
        )
    ]
    rows += _build_query_rows(fits, sub_requests_per_s)
    rows += _build_control_plane_rows(fits)
    return rows


def _build_query_rows(
    fits: dict[str, Any], sub_requests_per_s: float
) -> list[TableRow]:
    """Builds the rows of query work: relay, gather and owner."""
    rows = []
    entry_s = fits["work.entry_core"]["slope"]
    owner_s = fits["work.owner_core"]["slope"]
    for role, cost_s, name in (
        ("entry host, relay and gather", entry_s, "work.entry_core"),
        ("owner and pools", owner_s, "work.owner_core"),
    ):
        rows.append(
            TableRow(
                role,
                "processor time of a sub-request; cores a node",
                f"{cost_s * 1e6:.0f} us; {cost_s * sub_requests_per_s:.1f}",
                "",
                f"r2 {fits[name]['r2']:.3f}",
            )
        )
    total_cores = (entry_s + owner_s) * sub_requests_per_s
    rows.append(
        TableRow(
            "node",
            f"processes at {TARGET_CORE_SHARE:.0%} of a core each",
            f"{compute_processes_per_node(fits):.0f}",
            "",
            f"{total_cores:.1f} cores of work",
        )
    )
    per_server = QUERIES_PER_S * SERVICES_PER_QUERY / SERVER_COUNT
    per_owner = TARGET_CORE_SHARE / owner_s
    rows.append(
        TableRow(
            "owner and pools",
            "sub-requests a second: a service's; what one owner carries",
            f"{per_server * REPLICAS_PER_SERVICE:.0f}; {per_owner:.0f}",
            "",
            f"{math.ceil(per_server * REPLICAS_PER_SERVICE / per_owner)} "
            "slices a service",
        )
    )
    return rows


def compute_processes_per_node(fits: dict[str, Any]) -> int:
    """Returns how many processes a node needs for its sub-requests."""
    cost_s = fits["work.entry_core"]["slope"] + fits["work.owner_core"]["slope"]
    sub_requests_per_s = QUERIES_PER_S * SERVICES_PER_QUERY / NODE_COUNT
    return math.ceil(cost_s * sub_requests_per_s / TARGET_CORE_SHARE)


def _build_control_plane_rows(
    fits: dict[str, Any],
) -> list[TableRow]:
    """Builds the rows of membership, configuration and store calls.

    Each process of a node is a separate member, so store calls are also
    computed for the number of processes in the fleet.
    """
    processes = compute_processes_per_node(fits)
    members = NODE_COUNT * processes
    rows = []
    for what, name, bound in (
        ("share of a core, one process", "core_share", MAX_CORE_SHARE),
        ("bytes a second sent, one process", "bytes_per_s", MAX_BYTES_PER_S),
    ):
        value = get_maximum(fits, f"hosts.{name}")
        rows.append(_make_bounded_row("membership", what, value, bound))
        rows.append(
            _make_bounded_row(
                "membership",
                f"the same, a node of {processes} processes",
                value * processes,
                bound,
            )
        )
    for hosts in (NODE_COUNT, members):
        value = extrapolate(fits, "hosts.store_calls_per_s", hosts)
        what = f"store calls a second, fleet of {hosts}"
        rows.append(
            _make_bounded_row(
                "platform client", what, value, MAX_STORE_READS_PER_S
            )
        )
    memory_mb = extrapolate(fits, "servers.resident_mb", SERVER_COUNT)
    what = f"resident MB of a process, {SERVER_COUNT} backend servers"
    rows.append(
        _make_bounded_row("configuration", what, memory_mb, MAX_MEMORY_MB)
    )
    rollout_s = extrapolate(fits, "servers.apply_s", SERVER_COUNT)
    what = "seconds until a change is in force, 3 hosts"
    rows.append(
        _make_bounded_row("configuration", what, rollout_s, MAX_ROLLOUT_S)
    )
    watch_core_share = (
        fits["servers.core_share"]["slope"] * slopes.HOSTS_FOR_SERVERS
    )
    watched_servers = processes * REPLICAS_PER_SERVICE
    what = f"share of a core, watching {watched_servers} owned servers, a node"
    rows.append(
        _make_bounded_row(
            "owner", what, watch_core_share * watched_servers, MAX_CORE_SHARE
        )
    )
    return rows


def get_maximum(fits: dict[str, Any], name: str) -> float:
    """Returns the highest measured value of a quantity.

    Used for quantities that do not grow with the size of the fleet.
    """
    return max(value for _, value in fits[name]["points"])


def _make_bounded_row(
    role: str, what: str, value: float, bound: float
) -> TableRow:
    """Builds a row that compares a value with its bound."""
    if value <= bound:
        verdict = "carried"
    else:
        verdict = f"not carried: {value / bound:.1f} times the bound"
    return TableRow(role, what, f"{value:.3g}", f"{bound:g}", verdict)


def main() -> None:
    """Prints the table as Markdown."""
    fits = json.loads(slopes.SLOPES_FILE.read_text(encoding="utf-8"))
    print("| role | what | value | bound | verdict |")
    print("|---|---|---|---|---|")
    for row in build_rows(fits):
        print("| " + " | ".join(row) + " |")
    for name in ("hosts", "servers", "work"):
        print(f"\n{name}: measured at commit {fits.get(f'{name}.commit')}")


if __name__ == "__main__":
    main()
