"""Eelgrasshall: a query tier that gives one trustworthy answer per search."""

import sys

_LOWEST_PYTHON = (3, 11)

# Without it, a lower release ends with an error about a name in a module that
# it does not have.
if sys.version_info < _LOWEST_PYTHON:
    _lowest, _present = (
        ".".join(map(str, each[:2]))
        for each in (_LOWEST_PYTHON, sys.version_info)
    )
    raise ImportError(
        f"eelgrasshall needs Python {_lowest} or later; this is {_present}"
    )
