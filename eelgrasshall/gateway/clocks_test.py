"""Checks that the time of day decides nothing.

Clocks of hosts differ and jump.  Only the log line's own time may read them.
"""

import ast
import pathlib

_WALL_CLOCK = {"time", "time_ns", "localtime", "gmtime", "now", "utcnow"}
_ALLOWED = {"events.py"}


def _find_reads(path: pathlib.Path) -> list[int]:
    """Returns the lines of a module that read the time of day."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return [
        node.lineno
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and node.attr in _WALL_CLOCK
        and isinstance(node.value, ast.Name)
        and node.value.id in ("time", "datetime")
    ]


def test_only_the_log_reads_the_time_of_day():
    folder = pathlib.Path(__file__).parent
    modules = [p for p in folder.glob("*.py") if not p.stem.endswith("_test")]
    assert len(modules) > 20
    reading = {path.name for path in modules if _find_reads(path)}
    assert reading == _ALLOWED
