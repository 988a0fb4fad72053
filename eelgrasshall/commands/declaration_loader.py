"""Loads a declaration from a program or from a printed configuration."""

import pathlib
import runpy
import sys
import traceback

from eelgrasshall import declare
from eelgrasshall import errors
from eelgrasshall.state import configuration

LoadResult = tuple[declare.Configuration | None, list[errors.Problem]]


def load_declaration(path: str) -> LoadResult:
    """Loads a declaration and checks it.

    Args:
      path: A declaring program ending in `.py`, a printed configuration, or
        `-` for a printed configuration on standard input.

    Returns:
      The configuration and no problems, or None and all problems found.
    """
    if path == "-":
        return declare.read(sys.stdin.buffer.read())
    if path.endswith(".py"):
        return _run_program(pathlib.Path(path))
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        return None, [_describe_unreadable_file(path, error)]
    return declare.read(data)


def _run_program(path: pathlib.Path) -> LoadResult:
    """Runs a declaring program in this process and calls its `build()`."""
    directory = str(path.resolve().parent)
    sys.path.insert(0, directory)
    try:
        names = runpy.run_path(str(path), run_name="declaration")
        if not callable(names.get("build")):
            return None, [_describe_missing_build(path)]
        declared = names["build"]()
    except declare.DeclarationError as error:
        return None, list(error.problems)
    except OSError as error:
        return None, [_describe_unreadable_file(str(path), error)]
    except Exception as error:
        return None, [_describe_program_error(path, error)]
    finally:
        sys.path.remove(directory)
    if not isinstance(declared, declare.Configuration):
        return None, [_describe_missing_build(path)]
    return declared, []


def _describe_unreadable_file(path: str, error: OSError) -> errors.Problem:
    """Returns the problem of a file that cannot be read."""
    return configuration.make_problem(
        path,
        f"The file cannot be read: {error.strerror}.",
        "Pass a declaring program or a printed configuration.",
    )


def _describe_missing_build(path: pathlib.Path) -> errors.Problem:
    """Returns the problem of a program without a usable `build()`."""
    return configuration.make_problem(
        str(path),
        "The program has no function build() that returns a configuration.",
        "Define build() and return the result of declare.compose().",
    )


def _describe_program_error(
    path: pathlib.Path, error: Exception
) -> errors.Problem:
    """Returns the problem of a program that raised, with the line number."""
    line = getattr(error, "lineno", None) or 0
    for frame in traceback.extract_tb(error.__traceback__):
        if pathlib.Path(frame.filename).resolve() == path.resolve():
            line = frame.lineno
    return configuration.make_problem(
        f"{path}:{line}",
        f"The program failed: {type(error).__name__}: {error}.",
        "Correct the program.",
    )
