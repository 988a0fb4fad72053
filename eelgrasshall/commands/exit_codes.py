"""Exit codes, common to all commands."""

from collections.abc import Sequence
import enum

from eelgrasshall import errors


class ExitCode(enum.IntEnum):
    """The exit code of a command.

    DONE: The command succeeded.
    FAILED: Invalid usage or an internal error.
    INVALID: A declaration, configuration or request is invalid.
    UNREACHABLE: No daemon could be reached; nothing was changed.
    CONFLICT: Another change was accepted first; nothing was changed.
    UNAVAILABLE: Temporarily rejected; nothing was changed or run.
    UNKNOWN: The change or request may have taken effect; its outcome is
      unknown.
    NOT_EVERYWHERE: The change was accepted, but was not in force on every
      live host within the time-out.
    PARTIAL: The answer is correct but does not cover every service.
    DIFFERENT: The comparison found differences.
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


def choose_exit_code(problems: Sequence[errors.Problem]) -> ExitCode:
    """Returns the exit code of the first problem whose kind has one."""
    if not problems:
        return ExitCode.DONE
    for problem in problems:
        if problem.kind in _CODES:
            return _CODES[problem.kind]
    return ExitCode.INVALID
