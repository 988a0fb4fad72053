"""The measuring tool: `python -m measure.run [SCENARIO ...] [--short]`.

Runs scenarios one after another, prints a table for each and writes JSON and
plots under `out/`.  Exit code 0: every scenario ran, no promise was broken.
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

SHORT = ("policies", "zone")
SHORT_SECONDS = 7.0
SECONDS = 15.0
HOSTS = 9
OUT = pathlib.Path("out")


async def run_all(
    names: list[str], seed: int, seconds: float, hosts: int
) -> int:
    """Runs scenarios; returns the exit code."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    code = 0
    for name in names:
        directory = OUT / name
        context = scenarios.Context(seed, seconds, hosts, directory)
        command = (
            f"python -m measure.run {name} --seed {seed} "
            f"--seconds {seconds:g} --hosts {hosts}"
        )
        try:
            report = await scenarios.SCENARIOS[name](context)
        except (processes.StartError, TimeoutError) as error:
            print(f"measure: {name} did not run: {error}", file=sys.stderr)
            code = 1
            continue
        print(reports.write_report(report, name, command, directory))
        if report.breaches:
            code = 1
    return code


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
    parser.add_argument("--hosts", type=int, default=HOSTS)
    arguments = parser.parse_args()
    names = arguments.names or list(SHORT)
    unknown = [name for name in names if name not in scenarios.SCENARIOS]
    if unknown:
        parser.error(f"unknown scenario: {', '.join(unknown)}")
    default_s = SHORT_SECONDS if arguments.short else SECONDS
    try:
        code = uvloop.run(
            run_all(
                names,
                arguments.seed,
                arguments.seconds or default_s,
                arguments.hosts,
            )
        )
    except (KeyboardInterrupt, asyncio.CancelledError):
        code = 130
    sys.exit(code)


if __name__ == "__main__":
    main()
