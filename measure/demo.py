"""Shows the product: Tandil at its real shape, on this machine.

Starts the stand-ins, nine daemons and a few callers, asks for addresses, runs
queries of all four kinds, prints each answer's coverage and latency, and stops
everything as planned.
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

HOSTS = 9
QUERIES_OF_A_KIND = 20
OUT = pathlib.Path("out") / "demo"


async def show(hosts: int) -> int:
    """Runs the demonstration.

    Args:
      hosts: How many daemons.

    Returns:
      The exit code: 0 if every answer was complete and true.
    """
    plan = deployment.Plan(build=tandil.build, hosts=hosts)
    running = deployment.Deployment(plan=plan, directory=OUT)
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    code = 1
    try:
        print(f"Starting Tandil: the platform and {hosts} entry hosts.")
        await running.start()
        code = await _query_all(running)
    except (processes.StartError, TimeoutError) as error:
        print(f"demo: {error}", file=sys.stderr)
        print(f"demo: See the logs in {OUT}.", file=sys.stderr)
    except asyncio.CancelledError:
        print("demo: Interrupted; stopping.", file=sys.stderr)
    finally:
        killed = await running.stop()
    print(f"Stopped; killed: {', '.join(killed) or 'none'}.")
    return code or (1 if killed else 0)


async def _query_all(running: deployment.Deployment) -> int:
    """Asks for addresses and runs queries of every kind."""
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
    wrong = 0
    for number, kind in enumerate(configuration.kinds):
        caller = callers.Caller(
            zone=zones[number % len(zones)],
            entry_urls=entry_urls,
            random_source=random.Random(number),
        )
        await caller.start()
        wrong += await _query_kind(caller, kind.name, checker)
        await caller.stop()
    for lost in running.find_lost():
        print(f"demo: {lost}", file=sys.stderr)
        wrong += 1
    return 1 if wrong else 0


async def _wait_for_answers(running: deployment.Deployment) -> float:
    """Waits until every kind is answered in full.

    A new owner waits until no other host can still believe that it owns the
    service, so a fleet that starts as a whole refuses requests at first.

    Returns:
      Seconds that it took.
    """
    began = time.monotonic()
    await scenarios.wait_for_answers(running)
    return time.monotonic() - began


async def _query_kind(
    caller: callers.Caller, kind: str, checker: answers.AnswerChecker
) -> int:
    """Runs a few queries of a kind; returns how many went wrong."""
    wrong = 0
    times_ms = []
    shown = ""
    for number in range(QUERIES_OF_A_KIND):
        request_id = f"{kind}-{number}"
        query = {"id": request_id}
        began = time.monotonic()
        reply = await caller.send(
            kind, query, request_id=request_id, timeout_s=3.0
        )
        times_ms.append((time.monotonic() - began) * 1000)
        if reply.outcome != "answer":
            wrong += 1
            shown = f"{reply.outcome}: {reply.problem or reply.error}"
            continue
        untrue = checker.check(reply.document, kind, request_id, query)
        wrong += bool(untrue) or not reply.document["complete"]
        shown = _describe(reply.document)
    times_ms.sort()
    middle = times_ms[len(times_ms) // 2]
    print(
        f"{kind:13} {QUERIES_OF_A_KIND} queries, p50 {middle:.0f} ms, "
        f"slowest {times_ms[-1]:.0f} ms, {wrong} wrong; last: {shown}"
    )
    return wrong


def _describe(document: dict) -> str:
    """Returns one answer's coverage in a few words."""
    covered = len(document["coverage"]["covered"])
    total = covered + len(document["coverage"]["missing"])
    found = sum(len(part["records"]) for part in document["data"])
    word = "complete" if document["complete"] else "partial"
    return (
        f"{word}, {covered} of {total} services, {found} records "
        f"of snapshot {document['snapshot']}"
    )


def main() -> None:
    """Runs the demonstration from the command line."""
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--hosts", type=int, default=HOSTS)
    arguments = parser.parse_args()
    sys.exit(uvloop.run(show(arguments.hosts)))


if __name__ == "__main__":
    main()
