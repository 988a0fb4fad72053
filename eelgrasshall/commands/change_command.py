"""Base class of the commands that change the configuration."""

from cleo import helpers

from eelgrasshall import errors
from eelgrasshall.commands import base
from eelgrasshall.commands import configuration_diff
from eelgrasshall.commands import exit_codes
from eelgrasshall.commands import rollout
from eelgrasshall.state import configuration

DEFAULT_TIMEOUT_S = 30.0
CHANGE_ID_BITS = 128


class ChangeCommand(base.Command):
    """A command that submits the next version of the configuration."""

    options = [
        base.JSON_OPTION,
        base.DAEMON_OPTION,
        helpers.option(
            "wait",
            "w",
            "Wait until the version is in force on every live host.",
        ),
        helpers.option(
            "timeout",
            "t",
            "Maximum time to wait with --wait, in seconds.",
            flag=False,
            default=str(DEFAULT_TIMEOUT_S),
        ),
    ]

    def apply_change(
        self,
        current: configuration.Configuration,
        target: configuration.Configuration,
    ) -> int:
        """Submits a changed configuration and prints the outcome.

        Args:
          current: The configuration in force.
          target: The configuration to bring into force.

        Returns:
          The exit code.
        """
        timeout_s = _parse_seconds(self.option("timeout"))
        if isinstance(timeout_s, errors.Problem):
            return self.fail([timeout_s])
        differences = configuration_diff.compare(current, target)
        for difference in differences:
            self.print_note(difference.describe())
        version = current.version
        if differences:
            accepted = self.run_async(
                rollout.submit(
                    self.list_admin_urls(),
                    target._replace(version=version),
                    change_id=self._generate_change_id(),
                    clock=self.context.clock,
                )
            )
            if isinstance(accepted, list):
                return self.fail(accepted)
            version = accepted
        return self._print_outcome(version, differences, timeout_s)

    def _print_outcome(
        self,
        version: int,
        differences: list[configuration_diff.Change],
        timeout_s: float,
    ) -> int:
        """Waits if `--wait` is given, then prints the outcome."""
        text = "is accepted" if differences else "already has these contents"
        lines = [f"Version {version} {text}."]
        document = {
            "version": version,
            "changes": [each.to_plain() for each in differences],
        }
        code = exit_codes.ExitCode.DONE
        if self.option("wait"):
            progress = self._wait_until_in_force(version, timeout_s)
            document["hosts"] = list(progress.hosts)
            document["lagging"] = list(progress.lagging)
            if progress.is_complete:
                count = len(progress.hosts)
                lines.append(f"It is in force on all {count} live hosts.")
            else:
                lagging = ", ".join(progress.lagging) or "unknown hosts"
                lines.append(f"It is not known to be in force on {lagging}.")
                code = exit_codes.ExitCode.NOT_EVERYWHERE
        self.print_result(document, lines)
        return int(code)

    def _wait_until_in_force(
        self, version: int, timeout_s: float
    ) -> rollout.Progress:
        """Waits until a version is in force on every live host."""
        return self.run_async(
            rollout.wait_until_in_force(
                self.list_admin_urls(),
                version,
                clock=self.context.clock,
                timeout_s=timeout_s,
                report=self._print_progress,
            )
        )

    def _print_progress(self, progress: rollout.Progress) -> None:
        """Prints on how many hosts a version is in force."""
        done = len(progress.hosts) - len(progress.lagging)
        text = f"in force on {done} of {len(progress.hosts)} live hosts"
        if progress.lagging:
            text += f", waiting for {', '.join(progress.lagging)}"
        self.print_note(text)

    def _generate_change_id(self) -> str:
        """Returns a random change id."""
        return f"{self.context.random.getrandbits(CHANGE_ID_BITS):032x}"


def _parse_seconds(text: str) -> float | errors.Problem:
    """Parses the value of `--timeout`."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if 0.0 <= seconds < float("inf"):
        return seconds
    return errors.Problem(
        kind=errors.ProblemKind.MALFORMED_REQUEST,
        where="--timeout",
        what=f"{text!r} is not a non-negative number of seconds.",
        remedy="Pass the maximum time to wait in seconds, such as 30.",
    )
