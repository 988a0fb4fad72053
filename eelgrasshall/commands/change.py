"""What the commands that change the configuration have in common."""

from cleo import helpers

from eelgrasshall import errors
from eelgrasshall.commands import base
from eelgrasshall.commands import changes
from eelgrasshall.commands import exits
from eelgrasshall.commands import rollout
from eelgrasshall.state import configuration

DEFAULT_TIMEOUT_S = 30.0
CHANGE_ID_BITS = 128


class ChangeCommand(base.Command):
    """A command that makes the next version of the configuration."""

    options = [
        base.JSON_OPTION,
        base.DAEMON_OPTION,
        helpers.option(
            "wait", "w", "Wait until every live host has it in force."
        ),
        helpers.option(
            "timeout",
            "t",
            "Longest wait in seconds.",
            flag=False,
            default=str(DEFAULT_TIMEOUT_S),
        ),
    ]

    def change(
        self,
        current: configuration.Configuration,
        target: configuration.Configuration,
    ) -> int:
        """Applies a changed configuration and reports what came of it.

        Args:
          current: The configuration in force.
          target: The configuration to put in force.

        Returns:
          The exit code.
        """
        timeout_s = _parse_seconds(self.option("timeout"))
        if isinstance(timeout_s, errors.Problem):
            return self.fail([timeout_s])
        differences = changes.compare(current, target)
        for difference in differences:
            self.print_note(difference.describe())
        version = current.version
        if differences:
            accepted = self.run_async(
                rollout.submit(
                    self.list_daemons(),
                    target._replace(version=version),
                    change_id=self._draw_change_id(),
                    clock=self.context.clock,
                )
            )
            if isinstance(accepted, list):
                return self.fail(accepted)
            version = accepted
        return self._finish(version, differences, timeout_s)

    def _finish(
        self, version: int, differences: list[changes.Change], timeout_s: float
    ) -> int:
        """Waits if asked to and prints the result."""
        text = "is accepted" if differences else "is what is declared already"
        lines = [f"Version {version} {text}."]
        document = {
            "version": version,
            "changes": [each.to_plain() for each in differences],
        }
        code = exits.ExitCode.DONE
        if self.option("wait"):
            progress = self._wait(version, timeout_s)
            document["hosts"] = list(progress.hosts)
            document["lagging"] = list(progress.lagging)
            if progress.is_complete:
                count = len(progress.hosts)
                lines.append(f"It is in force on all {count} live hosts.")
            else:
                lagging = ", ".join(progress.lagging) or "unknown hosts"
                lines.append(f"It is not known to be in force on {lagging}.")
                code = exits.ExitCode.NOT_EVERYWHERE
        self.print_result(document, lines)
        return int(code)

    def _wait(self, version: int, timeout_s: float) -> rollout.Progress:
        """Waits until a version is in force everywhere."""
        return self.run_async(
            rollout.watch(
                self.list_daemons(),
                version,
                clock=self.context.clock,
                timeout_s=timeout_s,
                report=self._report,
            )
        )

    def _report(self, progress: rollout.Progress) -> None:
        """Prints the progress of a version."""
        done = len(progress.hosts) - len(progress.lagging)
        text = f"in force on {done} of {len(progress.hosts)} live hosts"
        if progress.lagging:
            text += f", waiting for {', '.join(progress.lagging)}"
        self.print_note(text)

    def _draw_change_id(self) -> str:
        """Draws a random name for the change."""
        return f"{self.context.random.getrandbits(CHANGE_ID_BITS):032x}"


def _parse_seconds(text: str) -> float | errors.Problem:
    """Reads a number of seconds."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if 0.0 <= seconds < float("inf"):
        return seconds
    return errors.Problem(
        kind=errors.ProblemKind.MALFORMED_REQUEST,
        where="--timeout",
        what=f"{text!r} is no number of seconds.",
        remedy="Give the longest wait in seconds, such as 30.",
    )
