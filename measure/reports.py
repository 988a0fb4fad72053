"""Writes the report of a scenario as a table, JSON and a plot."""

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
    """Writes the JSON, the table and the plot of a report.

    Args:
      report: Report of the scenario.
      name: Name of the scenario.
      command: Command that reruns the scenario.
      directory: Output directory; created if missing.

    Returns:
      The table, goals, counts and breaches as text.
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
    """Returns the measured commit, marked if the tree has local changes."""
    command = ["git", "describe", "--always", "--dirty"]
    try:
        completed = subprocess.run(
            command, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return completed.stdout.strip()


def format_report(report: scenarios.Report, name: str, command: str) -> str:
    """Returns a report as text with a Markdown table."""
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
    series: dict[str, load.LoadResult], title: str, path: pathlib.Path
) -> None:
    """Plots p99 latency and the share of complete answers over time."""
    figure, (upper, lower) = plt.subplots(
        2, 1, figsize=FIGURE_INCHES, sharex=True
    )
    for name, result in series.items():
        bin_numbers = sorted(result.bins)
        times_s = [bin_number * load.BIN_S for bin_number in bin_numbers]
        upper.plot(
            times_s,
            [
                _compute_p99_ms(result.bins[bin_number])
                for bin_number in bin_numbers
            ],
            label=name,
        )
        lower.plot(
            times_s,
            [
                _compute_complete_share(result.bins[bin_number])
                for bin_number in bin_numbers
            ],
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


def _compute_p99_ms(time_bin: load.TimeBin) -> float:
    """Returns the 99th percentile of latency in one bin; NaN if empty."""
    if not time_bin.latencies_s:
        return float("nan")
    return float(np.percentile(time_bin.latencies_s, 99)) * 1000


def _compute_complete_share(time_bin: load.TimeBin) -> float:
    """Returns the share of complete answers in one bin."""
    return time_bin.counts["complete"] / max(1, sum(time_bin.counts.values()))
