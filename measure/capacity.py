"""Prints the capacity table at the target size from the measured slopes.

`python -m measure.capacity` reads `measure/slopes.json`, which
`measure.slopes` writes, and works out what each role needs at 400 nodes.
"""

import json
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


def project(kept: dict[str, Any], name: str, size: float) -> float | None:
    """Returns a fitted quantity at a size, None if it was not measured."""
    if name not in kept:
        return None
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
    total = 0.0
    roles = {
        "entry host, relay and gather": "work.entry_core",
        "owner and pools": "work.owner_core",
    }
    for role, name in roles.items():
        if name not in kept:
            continue
        cost_s = kept[name]["slope"]
        total += cost_s * sub_requests
        lines.append(
            Line(
                role,
                "processor time for a sub-request; cores a node",
                f"{cost_s * 1e6:.0f} us; {cost_s * sub_requests:.1f}",
                "",
                f"r2 {kept[name]['r2']:.3f}",
            )
        )
    if total:
        processes = total / PLANNED_CORE_SHARE
        lines.append(
            Line(
                "node",
                f"processes at {PLANNED_CORE_SHARE:.0%} of a core each",
                f"{processes:.0f}",
                "",
                f"{total:.1f} cores of work",
            )
        )
    return lines


def _build_control_lines(kept: dict[str, Any]) -> list[Line]:
    """Returns the lines of membership, configuration and store calls."""
    lines = []
    checks = (
        ("membership", "share of a core, idle", "core_share", CORE_SHARE_BOUND),
        (
            "membership",
            "bytes a second, sent",
            "bytes_per_s",
            BYTES_BOUND_PER_S,
        ),
        ("membership", "resident MB", "resident_mb", MEMORY_BOUND_MB),
        (
            "platform client",
            "store calls a second of the fleet",
            "store_calls_per_s",
            STORE_READS_PER_S,
        ),
    )
    for role, what, name, bound in checks:
        value = project(kept, f"hosts.{name}", NODES)
        if value is not None:
            lines.append(
                _judge(role, f"{what}, at {NODES} hosts", value, bound)
            )
    for what, name, bound in (
        ("share of a core, idle", "core_share", CORE_SHARE_BOUND),
        ("resident MB", "resident_mb", MEMORY_BOUND_MB),
        ("seconds until a change is in force", "apply_s", 8.0),
    ):
        value = project(kept, f"servers.{name}", SERVERS)
        if value is not None:
            text = f"{what}, at {SERVERS} backend servers"
            lines.append(_judge("configuration", text, value, bound))
    return lines


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
