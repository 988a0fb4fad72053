"""What the commands have in common: options, output and running to the end.

Results go to standard output, as text or with `--json` as one JSON document;
progress and problems go to standard error, so that output can be piped.
"""

from collections.abc import Coroutine
from collections.abc import Mapping
from collections.abc import Sequence
import json
import random
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from cleo import helpers
from cleo.commands import command as cleo_command
from cleo.io.inputs import option as cleo_option
from cleo.io.outputs import output as cleo_output
import uvloop

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.commands import exits

DAEMON_VARIABLE = "EELGRASSHALL_DAEMON"
CALLER_VARIABLE = "EELGRASSHALL_CALLER"
DEFAULT_DAEMON = "http://127.0.0.1:7300"
DEFAULT_CALLER = "http://127.0.0.1:7100"

_Result = TypeVar("_Result")

JSON_OPTION = helpers.option("json", None, "Print one JSON document.")
DAEMON_OPTION = helpers.option(
    "daemon",
    "d",
    "URL of a daemon's admin listener; may be repeated. Without it, those in "
    f"{DAEMON_VARIABLE}, separated by commas, or {DEFAULT_DAEMON}.",
    flag=False,
    multiple=True,
)
CALLER_OPTION = helpers.option(
    "caller",
    "c",
    "URL of a daemon's listener for callers; may be repeated. Without it, "
    f"those in {CALLER_VARIABLE}, separated by commas, or {DEFAULT_CALLER}.",
    flag=False,
    multiple=True,
)


class Context(NamedTuple):
    """What commands get from outside.

    Attributes:
      clock: Source of time.
      random: Source of randomness.
      environment: The environment variables.
    """

    clock: clock_module.Clock
    random: random.Random
    environment: Mapping[str, str]


class Command(cleo_command.Command):
    """A command of the command line.

    Args:
      context: What it gets from outside.
    """

    options: list[cleo_option.Option] = [JSON_OPTION]

    def __init__(self, *, context: Context):
        self.context = context
        super().__init__()

    def run_async(self, work: Coroutine[Any, Any, _Result]) -> _Result:
        """Runs a coroutine to its end and returns its result."""
        return uvloop.run(work)

    def list_daemons(self) -> list[str]:
        """Returns the admin listeners' URLs to use, in order."""
        return self._list_urls("daemon", DAEMON_VARIABLE, DEFAULT_DAEMON)

    def list_callers(self) -> list[str]:
        """Returns the caller listeners' URLs to use, in order."""
        return self._list_urls("caller", CALLER_VARIABLE, DEFAULT_CALLER)

    def print_text(self, text: str) -> None:
        """Prints a line of text to standard output."""
        self.io.write_line(text, type=cleo_output.Type.RAW)

    def print_json(self, document: Any) -> None:
        """Prints a JSON document to standard output."""
        self.print_text(json.dumps(document, indent=2, ensure_ascii=False))

    def print_result(self, document: Any, lines: Sequence[str]) -> None:
        """Prints a result as JSON if asked for, else as lines of text."""
        if self.option("json"):
            self.print_json(document)
            return
        for line in lines:
            self.print_text(line)

    def print_note(self, text: str) -> None:
        """Prints a note or progress to standard error."""
        self.io.error_output.write_line(text, type=cleo_output.Type.RAW)

    def print_problems(self, problems: Sequence[errors.Problem]) -> int:
        """Prints problems to standard error.

        Args:
          problems: What went wrong; may be empty.

        Returns:
          The exit code.
        """
        for problem in problems:
            self.print_note(f"error: {problem.describe()}")
        return int(exits.choose_code(problems))

    def fail(self, problems: Sequence[errors.Problem]) -> int:
        """Prints problems in place of a result.

        Args:
          problems: What went wrong, one at least.

        Returns:
          The exit code.
        """
        if self.option("json"):
            self.print_json({"problems": [p.to_plain() for p in problems]})
        return self.print_problems(problems)

    def _list_urls(self, option: str, variable: str, default: str) -> list[str]:
        """Returns URLs from the option, the environment or the default."""
        urls = self.option(option)
        if not urls:
            text = self.context.environment.get(variable, "")
            urls = [url.strip() for url in text.split(",") if url.strip()]
        return [url.rstrip("/") for url in urls or [default]]
