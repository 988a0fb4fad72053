"""Reads a declaration: a declaring program or a printed configuration."""

import pathlib
import runpy
import sys
import traceback

from eelgrasshall import declare
from eelgrasshall import errors
from eelgrasshall.state import configuration

Loaded = tuple[declare.Configuration | None, list[errors.Problem]]


def load(path: str) -> Loaded:
    """Reads a declaration and checks it.

    Args:
      path: A declaring program ending in `.py`, a printed configuration, or
        `-` for a printed configuration on standard input.

    Returns:
      The configuration and no problems, or None and every problem found.
    """
    if path == "-":
        return declare.read(sys.stdin.buffer.read())
    if path.endswith(".py"):
        return _run(pathlib.Path(path))
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        return None, [_make_unreadable(path, error)]
    return declare.read(data)


def _run(path: pathlib.Path) -> Loaded:
    """Runs a declaring program in this process and calls its `build`."""
    folder = str(path.resolve().parent)
    sys.path.insert(0, folder)
    try:
        names = runpy.run_path(str(path), run_name="declaration")
        if not callable(names.get("build")):
            return None, [_make_without_build(path)]
        built = names["build"]()
    except declare.DeclarationError as error:
        return None, list(error.problems)
    except OSError as error:
        return None, [_make_unreadable(str(path), error)]
    except Exception as error:
        return None, [_make_failed(path, error)]
    finally:
        sys.path.remove(folder)
    if not isinstance(built, declare.Configuration):
        return None, [_make_without_build(path)]
    return built, []


def _make_unreadable(path: str, error: OSError) -> errors.Problem:
    """Returns the problem of a file that cannot be read."""
    return configuration.make_problem(
        path,
        f"It cannot be read: {error.strerror}.",
        "Name a declaring program or a printed configuration.",
    )


def _make_without_build(path: pathlib.Path) -> errors.Problem:
    """Returns the problem of a program that gives no configuration."""
    return configuration.make_problem(
        str(path),
        "It has no function build() that returns a configuration.",
        "Define build() and return what declare.compose gives.",
    )


def _make_failed(path: pathlib.Path, error: Exception) -> errors.Problem:
    """Returns the problem of a program that raised, with its line."""
    line = getattr(error, "lineno", None) or 0
    for frame in traceback.extract_tb(error.__traceback__):
        if pathlib.Path(frame.filename).resolve() == path.resolve():
            line = frame.lineno
    return configuration.make_problem(
        f"{path}:{line}",
        f"The program failed: {type(error).__name__}: {error}.",
        "Correct the program.",
    )
