"""Base class of the commands: common options, output and exit codes.

Results go to standard output, as text or with `--json` as one JSON document;
progress and problems go to standard error, so that results can be piped.
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
from eelgrasshall.commands import exit_codes

DAEMON_VARIABLE = "EELGRASSHALL_DAEMON"
CALLER_VARIABLE = "EELGRASSHALL_CALLER"
DEFAULT_DAEMON = "http://127.0.0.1:7300"
DEFAULT_CALLER = "http://127.0.0.1:7100"

_Result = TypeVar("_Result")

JSON_OPTION = helpers.option("json", None, "Print one JSON document.")
DAEMON_OPTION = helpers.option(
    "daemon",
    "d",
    "URL of a daemon's admin listener; may be repeated. Defaults to the "
    f"comma-separated URLs in {DAEMON_VARIABLE}, else to {DEFAULT_DAEMON}.",
    flag=False,
    multiple=True,
)
CALLER_OPTION = helpers.option(
    "caller",
    "c",
    "URL of a daemon's caller listener; may be repeated. Defaults to the "
    f"comma-separated URLs in {CALLER_VARIABLE}, else to {DEFAULT_CALLER}.",
    flag=False,
    multiple=True,
)


class Context(NamedTuple):
    """Dependencies that are passed to the commands.

    Attributes:
      clock: Source of time.
      random: Random number generator.
      environment: Environment variables.
    """

    clock: clock_module.Clock
    random: random.Random
    environment: Mapping[str, str]


class Command(cleo_command.Command):
    """Base class of the commands.

    Args:
      context: Dependencies of the command.
    """

    options: list[cleo_option.Option] = [JSON_OPTION]

    def __init__(self, *, context: Context):
        self.context = context
        super().__init__()

    def run_async(self, coroutine: Coroutine[Any, Any, _Result]) -> _Result:
        """Runs a coroutine in a new event loop and returns its result."""
        return uvloop.run(coroutine)

    def list_admin_urls(self) -> list[str]:
        """Returns the admin listeners' URLs, in the order to try them."""
        return self._list_urls("daemon", DAEMON_VARIABLE, DEFAULT_DAEMON)

    def list_caller_urls(self) -> list[str]:
        """Returns the caller listeners' URLs, in the order to try them."""
        return self._list_urls("caller", CALLER_VARIABLE, DEFAULT_CALLER)

    def print_text(self, text: str) -> None:
        """Prints a line of text to standard output."""
        self.io.write_line(text, type=cleo_output.Type.RAW)

    def print_json(self, document: Any) -> None:
        """Prints a JSON document to standard output."""
        self.print_text(json.dumps(document, indent=2, ensure_ascii=False))

    def print_result(self, document: Any, lines: Sequence[str]) -> None:
        """Prints a result as JSON with `--json`, else as lines of text."""
        if self.option("json"):
            self.print_json(document)
            return
        for line in lines:
            self.print_text(line)

    def print_note(self, text: str) -> None:
        """Prints a line of text to standard error."""
        self.io.error_output.write_line(text, type=cleo_output.Type.RAW)

    def print_problems(self, problems: Sequence[errors.Problem]) -> int:
        """Prints problems to standard error.

        Args:
          problems: The problems; may be empty.

        Returns:
          The exit code.
        """
        for problem in problems:
            self.print_note(f"error: {problem.describe()}")
        return int(exit_codes.choose_exit_code(problems))

    def fail(self, problems: Sequence[errors.Problem]) -> int:
        """Prints problems instead of a result.

        Args:
          problems: The problems, at least one.

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
