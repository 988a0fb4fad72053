"""Writes what a scenario found: a table, JSON and plots."""

import json
import pathlib
import subprocess

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402

from measure import load  # noqa: E402
from measure import scenarios  # noqa: E402

COLUMNS = (
    "name",
    "requests",
    "goodput_per_s",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "complete_share",
    "part_coverage",
    "attempts_per_part",
    "busy_ms_per_part",
    "sheds_per_request",
)
FIGURE_INCHES = (8, 6)


def write_report(
    report: scenarios.Report,
    name: str,
    command: str,
    directory: pathlib.Path,
) -> str:
    """Writes JSON, table and plot into a directory.

    Args:
      report: What was found.
      name: Name of the scenario.
      command: The command that repeats it.
      directory: Where to write.

    Returns:
      The table with goals, counts and breaches as text.
    """
    document = {
        "scenario": name,
        "command": command,
        "commit": read_commit(),
        "rows": report.rows,
        "goals": [goal._asdict() for goal in report.goals],
        "notes": report.notes,
        "breaches": report.breaches,
    }
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / "result.json"
    path.write_text(json.dumps(document, indent=1), encoding="utf-8")
    text = format_report(report, name, command)
    (directory / "result.txt").write_text(text, encoding="utf-8")
    if report.series:
        plot_series(report.series, name, directory / f"{name}.png")
    return text


def read_commit() -> str:
    """Returns the commit that is measured, with a mark if it was changed."""
    command = ["git", "describe", "--always", "--dirty"]
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return done.stdout.strip()


def format_report(report: scenarios.Report, name: str, command: str) -> str:
    """Returns a report as text, tables in Markdown."""
    lines = [f"### {name}", "", f"`{command}` at {read_commit()}", ""]
    columns = [
        column
        for column in COLUMNS
        if any(column in row for row in report.rows)
    ]
    lines += [
        "| " + " | ".join(columns) + " |",
        "|" + "---|" * len(columns),
    ]
    for row in report.rows:
        cells = [str(row.get(column, "")) for column in columns]
        lines.append("| " + " | ".join(cells) + " |")
    lines.append("")
    for row in report.rows:
        lines.append(
            f"- {row['name']}: {row.get('counts', {})}, "
            f"problems {row.get('problems', {})}"
        )
    lines += [
        f"- Goal: {goal.name}: {goal.measured} ({goal.bound}): "
        f"{'met' if goal.met else 'NOT MET'}"
        for goal in report.goals
    ]
    lines += [f"- {note}" for note in report.notes]
    lines += [f"- BREACH {each}" for each in report.breaches]
    if not report.breaches:
        lines.append("- No breach.")
    return "\n".join(lines) + "\n"


def plot_series(
    series: dict[str, load.Result], title: str, path: pathlib.Path
) -> None:
    """Plots latency and results over time for each load."""
    figure, (upper, lower) = plt.subplots(
        2, 1, figsize=FIGURE_INCHES, sharex=True
    )
    for name, result in series.items():
        numbers = sorted(result.bins)
        times = [number * load.BIN_S for number in numbers]
        upper.plot(
            times,
            [_find_p99_ms(result.bins[number]) for number in numbers],
            label=name,
        )
        lower.plot(
            times,
            [_find_complete(result.bins[number]) for number in numbers],
            label=name,
        )
    upper.set_ylabel("p99, ms")
    upper.set_title(title)
    lower.set_ylabel("complete answers, share")
    lower.set_xlabel("arrival, s")
    upper.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def _find_p99_ms(spot: load.Bin) -> float:
    """Returns the 99th percentile of one span, or nothing to plot."""
    if not spot.latencies_s:
        return float("nan")
    return float(np.percentile(spot.latencies_s, 99)) * 1000


def _find_complete(spot: load.Bin) -> float:
    """Returns the share of complete answers in one span."""
    return spot.counts["complete"] / max(1, sum(spot.counts.values()))
