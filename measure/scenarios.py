"""Registry of scenarios and functions that they share.

A scenario is a coroutine function that takes a `Context` and returns a
`Report`.  The decorator `register` makes it available to `measure.run`.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import pathlib
import random
from typing import Any
from typing import NamedTuple

from eelgrasshall.state import configuration as configurations
from measure import answers
from measure import callers
from measure import deployment
from measure import load
from measure import topologies

FIRST_ANSWER_TIMEOUT_S = 40.0
RETRY_INTERVAL_S = 0.2


class Context(NamedTuple):
    """Parameters of a scenario.

    Attributes:
      seed: Random seed.
      seconds: Length of each measured span in seconds.
      hosts: Number of daemons.
      directory: Directory for logs and results.
    """

    seed: int
    seconds: float
    hosts: int
    directory: pathlib.Path


class Goal(NamedTuple):
    """A measured value and the bound that users require.

    Attributes:
      name: Name of the quantity.
      measured: Measured value.
      bound: Required bound, as text.
      met: Whether the measured value is within the bound.
    """

    name: str
    measured: float
    bound: str
    met: bool


class Report(NamedTuple):
    """Results of a scenario.

    Attributes:
      rows: Table rows, one for each policy or span.
      goals: Measured values with their bounds.
      series: Load results to plot, by name.
      notes: Remarks on the conditions of the measurement.
      breaches: Breaches of invariants.
    """

    rows: list[dict[str, Any]]
    goals: list[Goal] = []
    series: dict[str, load.LoadResult] = {}
    notes: list[str] = []
    breaches: list[str] = []


Scenario = Callable[[Context], Awaitable[Report]]

SCENARIOS: dict[str, Scenario] = {}


def register(name: str) -> Callable[[Scenario], Scenario]:
    """Registers a scenario under a name."""

    def add(scenario: Scenario) -> Scenario:
        SCENARIOS[name] = scenario
        return scenario

    return add


@contextlib.asynccontextmanager
async def running_deployment(plan: deployment.Plan, directory: pathlib.Path):
    """Starts a deployment and stops it on exit, also after an error."""
    running = deployment.Deployment(plan=plan, directory=directory)
    try:
        await running.start()
        await wait_for_answers(running)
        yield running
    finally:
        await running.stop()


async def wait_for_answers(running: deployment.Deployment) -> None:
    """Waits until every repeatable kind gets a complete answer.

    Args:
      running: The deployment.

    Raises:
      TimeoutError: A kind did not get a complete answer in time.
    """
    caller = callers.Caller(
        zone=running.configuration.zones[0].name,
        entry_urls=[host.caller_url for host in running.hosts],
        random_source=random.Random(0),
    )
    await caller.start()
    try:
        async with asyncio.timeout(FIRST_ANSWER_TIMEOUT_S):
            for kind in running.configuration.kinds:
                if kind.repeatable:
                    await _send_until_complete(caller, kind)
    finally:
        await caller.stop()


async def _send_until_complete(
    caller: callers.Caller, kind: configurations.Kind
) -> None:
    """Repeats a request until its answer is complete."""
    complete = False
    while not complete:
        reply = await caller.send(
            kind.name,
            {"id": "first"},
            request_id="first",
            timeout_s=kind.deadline_ms / 1000 + 1.0,
        )
        complete = reply.document.get("complete", False)
        await asyncio.sleep(RETRY_INTERVAL_S)


def make_checker(
    configuration: configurations.Configuration,
) -> answers.AnswerChecker:
    """Returns an answer checker for the initial key ranges."""
    return answers.AnswerChecker(
        configuration=configuration,
        key_ranges_by_epoch={1: topologies.assign_key_ranges(configuration)},
    )


def make_load_generator(
    running: deployment.Deployment, streams: list[load.RequestStream], seed: int
) -> load.LoadGenerator:
    """Returns a load generator for a deployment, one caller per zone."""
    return load.LoadGenerator(
        streams=streams,
        zones=[zone.name for zone in running.configuration.zones],
        entry_urls=[host.caller_url for host in running.hosts],
        checker=make_checker(running.configuration),
        seed=seed,
    )


def make_stream(kind: configurations.Kind, rate: float) -> load.RequestStream:
    """Returns a request stream of a kind; the rate is in requests/s."""
    return load.RequestStream(
        kind.name, rate, kind.deadline_ms / 1000, not kind.repeatable
    )


def compute_request_rate(
    configuration: configurations.Configuration,
    kind: configurations.Kind,
    mean_s: float,
    utilisation: float,
) -> float:
    """Returns the request rate, per second, that keeps a share of slots busy.

    Args:
      configuration: The deployment.
      kind: The kind to send.
      mean_s: Mean service time of a sub-request in seconds.
      utilisation: Share of the slots to keep busy.
    """
    slots = min(
        sum(server.slots for server in service.servers)
        for service in configuration.services
        if service.name in kind.services
    )
    return utilisation * slots / mean_s


async def read_server_counts(running: deployment.Deployment) -> dict[str, Any]:
    """Returns the counters of all backend servers, summed."""
    total: dict[str, Any] = {}
    for report in await running.control_servers({"report": True}):
        numbers = {**report["counts"], "busy_s": report["busy_s"]}
        for name, value in numbers.items():
            total[name] = total.get(name, 0) + value
        total.setdefault("repeated", []).extend(
            run for run in report["runs"] if run[3]
        )
    return total


async def summarise_run(
    running: deployment.Deployment, result: load.LoadResult, name: str
) -> dict[str, Any]:
    """Returns a table row: results of the load and cost at the servers."""
    servers = await read_server_counts(running)
    figures = result.summarise()
    requests = max(1, figures["requests"])
    parts = max(1, result.part_count)
    sheds = servers.get("sheds", 0) + servers.get("falls", 0)
    return {
        "name": name,
        **figures,
        "attempts_per_part": round(servers.get("runs", 0) / parts, 4),
        "busy_ms_per_part": round(servers["busy_s"] * 1000 / parts, 3),
        "sheds_per_request": round(sheds / requests, 4),
        "servers": {k: v for k, v in servers.items() if k != "repeated"},
        "repeated_runs": count_repeated_runs(servers["repeated"]),
    }


def count_repeated_runs(runs: list[list[Any]]) -> int:
    """Returns how often run-once requests were run again.

    Args:
      runs: `StartedAttempt` values as lists.
    """
    bodies = [run[4] for run in runs]
    return len(bodies) - len(set(bodies))


async def find_breaches(
    running: deployment.Deployment, rows: list[dict[str, Any]]
) -> list[str]:
    """Returns breaches found in answers, by the daemons and by the servers.

    Unexpected exits of daemons are included.
    """
    breaches = running.find_unexpected_exits()
    for row in rows:
        breaches += [f"{row['name']}: {e}" for e in row["breach_examples"]]
        if row["repeated_runs"]:
            breaches.append(f"{row['name']}: at most once: {row}")
    for host, dump in (await running.read_dumps()).items():
        for invariant, count in dump["invariants"]["breaches"].items():
            if count:
                breaches.append(f"{host}: {invariant}: {count}")
    return breaches


async def count_invariant_checks(
    running: deployment.Deployment,
) -> dict[str, int]:
    """Returns how often all daemons have checked each invariant."""
    total: collections.Counter[str] = collections.Counter()
    for dump in (await running.read_dumps()).values():
        total.update(dump["invariants"]["checks"])
    return dict(total)
