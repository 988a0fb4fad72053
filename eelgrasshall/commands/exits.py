"""The exit codes of the command line, the same for every command."""

from collections.abc import Sequence
import enum

from eelgrasshall import errors


class ExitCode(enum.IntEnum):
    """What a command tells the shell.

    DONE: It did what was asked.
    FAILED: It was used wrongly, or met a fault of its own.
    INVALID: A declaration, configuration or request is invalid.
    UNREACHABLE: No daemon could be reached; nothing was changed.
    CONFLICT: Another change came first; nothing was changed.
    UNAVAILABLE: It was refused for now; nothing was changed or run.
    UNKNOWN: It may have taken effect or run, and the reply is lost.
    NOT_EVERYWHERE: Accepted, but not in force on every host in time.
    PARTIAL: The answer is true but does not cover everything.
    DIFFERENT: A comparison found differences.
    """

    DONE = 0
    FAILED = 1
    INVALID = 2
    UNREACHABLE = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    NOT_EVERYWHERE = 7
    PARTIAL = 8
    DIFFERENT = 9


_CODES = {
    errors.ProblemKind.UNREACHABLE: ExitCode.UNREACHABLE,
    errors.ProblemKind.CONFIGURATION_CONFLICT: ExitCode.CONFLICT,
    errors.ProblemKind.STORE_UNAVAILABLE: ExitCode.UNAVAILABLE,
    errors.ProblemKind.NO_CONFIGURATION: ExitCode.UNAVAILABLE,
    errors.ProblemKind.LEAVING: ExitCode.UNAVAILABLE,
    errors.ProblemKind.REPLY_LOST: ExitCode.UNKNOWN,
}


def choose_code(problems: Sequence[errors.Problem]) -> ExitCode:
    """Returns the exit code for problems; the first known kind decides."""
    if not problems:
        return ExitCode.DONE
    for problem in problems:
        if problem.kind in _CODES:
            return _CODES[problem.kind]
    return ExitCode.INVALID
