"""Demonstrates the system on one machine with the Tandil example topology.

Starts the fakes, nine daemons and a few callers, looks up entry addresses, runs
queries of all kinds, prints latency and coverage for each kind, and stops all
processes.
"""

import argparse
import asyncio
import pathlib
import random
import signal
import sys
import time

import uvloop

from examples import tandil
from measure import answers
from measure import callers
from measure import deployment
from measure import processes
from measure import scenarios
from measure import topologies

DEFAULT_HOSTS = 9
QUERIES_PER_KIND = 20
OUTPUT_DIRECTORY = pathlib.Path("out") / "demo"


async def run_demo(hosts: int) -> int:
    """Runs the demonstration.

    Args:
      hosts: How many daemons.

    Returns:
      The exit code: 0 if every answer was complete and correct and every
      process ended by itself.
    """
    plan = deployment.Plan(build=tandil.build, hosts=hosts)
    running = deployment.Deployment(plan=plan, directory=OUTPUT_DIRECTORY)
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    exit_code = 1
    try:
        print(f"Starting Tandil: the platform and {hosts} entry hosts.")
        await running.start()
        exit_code = await _query_all(running)
    except (processes.StartError, TimeoutError) as error:
        print(f"demo: {error}", file=sys.stderr)
        print(f"demo: See the logs in {OUTPUT_DIRECTORY}.", file=sys.stderr)
    except asyncio.CancelledError:
        print("demo: Interrupted; stopping.", file=sys.stderr)
    finally:
        killed = await running.stop()
    print(f"Stopped; killed: {', '.join(killed) or 'none'}.")
    return exit_code or (1 if killed else 0)


async def _query_all(running: deployment.Deployment) -> int:
    """Runs queries of every kind; returns the exit code."""
    configuration = running.configuration
    servers = sum(len(s.servers) for s in configuration.services)
    print(
        f"{len(configuration.services)} services, {servers} backend servers, "
        f"configuration version {configuration.version} in force on "
        f"{len(running.hosts)} hosts."
    )
    checker = answers.AnswerChecker(
        configuration=configuration,
        key_ranges_by_epoch={1: topologies.assign_key_ranges(configuration)},
    )
    zones = [zone.name for zone in configuration.zones]
    entry_urls = [host.caller_url for host in running.hosts]
    waited_s = await _wait_for_answers(running)
    print(f"The first owners of the services served after {waited_s:.1f} s.")
    failures = 0
    for number, kind in enumerate(configuration.kinds):
        caller = callers.Caller(
            zone=zones[number % len(zones)],
            entry_urls=entry_urls,
            random_source=random.Random(number),
        )
        await caller.start()
        failures += await _query_kind(caller, kind.name, checker)
        await caller.stop()
    for lost in running.find_unexpected_exits():
        print(f"demo: {lost}", file=sys.stderr)
        failures += 1
    return 1 if failures else 0


async def _wait_for_answers(running: deployment.Deployment) -> float:
    """Waits until every kind gets complete answers.

    A new owner waits until no other host can still believe that it owns the
    service, so a newly started fleet rejects requests at first.

    Returns:
      Seconds waited.
    """
    started_s = time.monotonic()
    await scenarios.wait_for_answers(running)
    return time.monotonic() - started_s


async def _query_kind(
    caller: callers.Caller, kind: str, checker: answers.AnswerChecker
) -> int:
    """Runs a few queries of a kind; returns how many failed."""
    failures = 0
    latencies_ms = []
    last_result = ""
    for number in range(QUERIES_PER_KIND):
        request_id = f"{kind}-{number}"
        query = {"id": request_id}
        started_s = time.monotonic()
        reply = await caller.send(
            kind, query, request_id=request_id, timeout_s=3.0
        )
        latencies_ms.append((time.monotonic() - started_s) * 1000)
        if reply.outcome != "answer":
            failures += 1
            last_result = f"{reply.outcome}: {reply.problem or reply.error}"
            continue
        breaches = checker.check(reply.document, kind, request_id, query)
        failures += bool(breaches) or not reply.document["complete"]
        last_result = _format_result(reply.document)
    latencies_ms.sort()
    median_ms = latencies_ms[len(latencies_ms) // 2]
    print(
        f"{kind:13} {QUERIES_PER_KIND} queries, p50 {median_ms:.0f} ms, "
        f"slowest {latencies_ms[-1]:.0f} ms, {failures} failed; "
        f"last: {last_result}"
    )
    return failures


def _format_result(document: dict) -> str:
    """Formats the coverage and snapshot of an answer."""
    covered = len(document["coverage"]["covered"])
    total = covered + len(document["coverage"]["missing"])
    found = sum(len(part["records"]) for part in document["data"])
    completeness = "complete" if document["complete"] else "partial"
    return (
        f"{completeness}, {covered} of {total} services, {found} records "
        f"of snapshot {document['snapshot']}"
    )


def main() -> None:
    """Runs the demonstration from the command line."""
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--hosts", type=int, default=DEFAULT_HOSTS)
    arguments = parser.parse_args()
    sys.exit(uvloop.run(run_demo(arguments.hosts)))


if __name__ == "__main__":
    main()
