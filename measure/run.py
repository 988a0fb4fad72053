"""The measuring tool: `python -m measure.run [SCENARIO ...] [--short]`.

Runs scenarios one after another, prints a table for each and writes JSON and
plots under `out/`.  Exits with 0 if every scenario ran without a breach of an
invariant.
"""

import argparse
import asyncio
import pathlib
import signal
import sys

import uvloop

from measure import faults  # noqa: F401 - registers its scenarios
from measure import policies  # noqa: F401 - registers its scenarios
from measure import processes
from measure import reports
from measure import scenarios
from measure import transitions  # noqa: F401 - registers its scenarios

DEFAULT_SCENARIOS = ("policies", "zone")
SHORT_SPAN_S = 7.0
DEFAULT_SPAN_S = 15.0
DEFAULT_HOSTS = 9
OUTPUT_DIRECTORY = pathlib.Path("out")


async def run_all(
    names: list[str], seed: int, seconds: float, hosts: int
) -> int:
    """Runs scenarios; returns the exit code."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    exit_code = 0
    for name in names:
        directory = OUTPUT_DIRECTORY / name
        context = scenarios.Context(seed, seconds, hosts, directory)
        command = (
            f"python -m measure.run {name} --seed {seed} "
            f"--seconds {seconds:g} --hosts {hosts}"
        )
        try:
            report = await scenarios.SCENARIOS[name](context)
        except (processes.StartError, TimeoutError) as error:
            print(f"measure: {name} did not run: {error}", file=sys.stderr)
            exit_code = 1
            continue
        print(reports.write_report(report, name, command, directory))
        if report.breaches:
            exit_code = 1
    return exit_code


def main() -> None:
    """Runs the tool from the command line."""
    parser = argparse.ArgumentParser(prog="measure", description=__doc__)
    parser.add_argument(
        "names",
        nargs="*",
        metavar="SCENARIO",
        help=f"one or more of {', '.join(sorted(scenarios.SCENARIOS))}",
    )
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float)
    parser.add_argument("--hosts", type=int, default=DEFAULT_HOSTS)
    arguments = parser.parse_args()
    names = arguments.names or list(DEFAULT_SCENARIOS)
    unknown = [name for name in names if name not in scenarios.SCENARIOS]
    if unknown:
        parser.error(f"unknown scenario: {', '.join(unknown)}")
    default_span_s = SHORT_SPAN_S if arguments.short else DEFAULT_SPAN_S
    try:
        exit_code = uvloop.run(
            run_all(
                names,
                arguments.seed,
                arguments.seconds or default_span_s,
                arguments.hosts,
            )
        )
    except (KeyboardInterrupt, asyncio.CancelledError):
        exit_code = 130
    sys.exit(exit_code)


if __name__ == "__main__":
    main()
