"""Checks that no decision depends on the wall clock.

The wall clocks of hosts differ and may jump, so only the time stamps of log
lines may be read from them.
"""

import ast
import pathlib

_WALL_CLOCK_NAMES = {"time", "time_ns", "localtime", "gmtime", "now", "utcnow"}
_ALLOWED = {"events.py"}


def _find_clock_reads(path: pathlib.Path) -> list[int]:
    """Returns the lines of a module that read the wall clock."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return [
        node.lineno
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and node.attr in _WALL_CLOCK_NAMES
        and isinstance(node.value, ast.Name)
        and node.value.id in ("time", "datetime")
    ]


def test_only_the_event_log_reads_the_wall_clock():
    directory = pathlib.Path(__file__).parent
    modules = [
        p for p in directory.glob("*.py") if not p.stem.endswith("_test")
    ]
    assert len(modules) > 20
    readers = {path.name for path in modules if _find_clock_reads(path)}
    assert readers == _ALLOWED
