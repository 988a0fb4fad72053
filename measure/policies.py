"""Scenarios without faults: steady load, policy comparison, overload."""

from typing import Any

from eelgrasshall.fakes import backend
from eelgrasshall.state import configuration as configurations
from measure import deployment
from measure import load
from measure import scenarios
from measure import topologies

# Long enough that the CPU of one machine is not the bottleneck.
MEDIAN_S = 0.016
SERVICE_TIME = backend.ServiceTime(median_s=MEDIAN_S)
WARM_UP_S = 12.0
UTILISATION = 0.7
GROUP = topologies.ServiceGroup(
    kind="search", services=10, replicas=3, slots=2, connections=25
)

POLICIES: dict[str, dict[str, Any]] = {
    "owner, no hedging": {"ownership": "owner", "hedging": False},
    "alone, no hedging": {"ownership": "alone", "hedging": False},
    "alone, hedging": {"ownership": "alone", "hedging": True},
    "owner, hedging": {"ownership": "owner", "hedging": True},
}


def make_plan(
    context: scenarios.Context,
    policy: dict[str, Any],
    group: topologies.ServiceGroup = GROUP,
) -> deployment.Plan:
    """Returns the plan of a deployment of one service group in three zones."""
    return deployment.Plan(
        build=topologies.make_configuration_builder(
            topologies.make_zones(3), (group,)
        ),
        hosts=context.hosts,
        seed=context.seed,
        service_time=SERVICE_TIME._asdict(),
        policy=policy,
    )


def make_streams(
    configuration: configurations.Configuration, utilisation: float
) -> list[load.RequestStream]:
    """Returns one stream of the only kind at a utilisation of the slots."""
    kind = configuration.kinds[0]
    mean_s = SERVICE_TIME.compute_mean_s()
    rate = scenarios.compute_request_rate(
        configuration, kind, mean_s, utilisation
    )
    return [scenarios.make_stream(kind, rate)]


async def measure_policy(
    context: scenarios.Context,
    name: str,
    utilisation: float,
    group: topologies.ServiceGroup = GROUP,
) -> tuple[dict[str, Any], load.LoadResult, list[str]]:
    """Runs one policy in a separate deployment.

    Returns:
      The row of the report, the result of the load and the breaches.
    """
    plan = make_plan(context, POLICIES[name], group)
    directory = context.directory / name.replace(", ", "-").replace(" ", "-")
    async with scenarios.running_deployment(plan, directory) as running:
        streams = make_streams(running.configuration, utilisation)
        generator = scenarios.make_load_generator(
            running, streams, context.seed
        )
        result = await generator.run(context.seconds, WARM_UP_S)
        row = await scenarios.summarise_run(running, result, name)
        breaches = await scenarios.find_breaches(running, [row])
    return row, result, breaches


@scenarios.register("steady")
async def run_steady(context: scenarios.Context) -> scenarios.Report:
    """Measures the default policy at half the capacity."""
    row, result, breaches = await measure_policy(context, "owner, hedging", 0.5)
    return scenarios.Report([row], [], {row["name"]: result}, [], breaches)


@scenarios.register("policies")
async def run_policies(context: scenarios.Context) -> scenarios.Report:
    """Compares the policies at 70% of the capacity with 1% stragglers."""
    rows, series, breaches = [], {}, []
    for name in POLICIES:
        row, result, run_breaches = await measure_policy(
            context, name, UTILISATION
        )
        rows.append(row)
        series[name] = result
        breaches += run_breaches
    by_name = {row["name"]: row for row in rows}
    goals = compare_with_baseline(
        by_name["owner, hedging"], by_name["owner, no hedging"]
    )
    notes = [
        f"Median service time {MEDIAN_S * 1000:.0f} ms; the figures exclude "
        "the 3 ms each way between caller and host and the latency between "
        "zones."
    ]
    return scenarios.Report(rows, goals, series, notes, breaches)


def compare_with_baseline(
    product: dict[str, Any], baseline: dict[str, Any]
) -> list[scenarios.Goal]:
    """Returns the goals for hedging with their measured values."""
    gain = baseline["p99_ms"] / max(product["p99_ms"], 1e-9)
    work = product["busy_ms_per_part"] / max(baseline["busy_ms_per_part"], 1e-9)
    sheds = product["sheds_per_request"]
    return [
        scenarios.Goal(
            "p99 without hedging / with", round(gain, 2), ">= 2", gain >= 2.0
        ),
        scenarios.Goal(
            "backend work with hedging / without",
            round(work, 3),
            "<= 1.05",
            work <= 1.05,
        ),
        scenarios.Goal(
            "sheds caused per request", sheds, "<= 0.02", sheds <= 0.02
        ),
    ]


@scenarios.register("overload")
async def run_overload(context: scenarios.Context) -> scenarios.Report:
    """Measures goodput from 70% to 200% of the capacity."""
    rows, series, breaches = [], {}, []
    for utilisation in (0.7, 0.85, 1.0, 2.0):
        row, result, run_breaches = await measure_policy(
            context, "owner, hedging", utilisation
        )
        row["name"] = f"load {utilisation:.2f}"
        rows.append(row)
        series[row["name"]] = result
        breaches += run_breaches
    peak = max(row["goodput_per_s"] for row in rows)
    share = rows[-1]["goodput_per_s"] / max(peak, 1e-9)
    goals = [
        scenarios.Goal(
            "goodput at twice the load / peak",
            round(share, 3),
            ">= 0.9",
            share >= 0.9,
        )
    ]
    return scenarios.Report(rows, goals, series, [], breaches)
