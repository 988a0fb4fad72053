"""Pytest configuration: deterministic property tests and known failures.

Test results must be reproducible, so hypothesis generates the same examples in
each run and has no deadline in real time.  A test that is listed in
KNOWN-RED.txt must fail by an assertion: the run fails if it passes, so that the
list cannot go stale, and if it ends with another error, which may hide a fault
that is not listed.
"""

from collections.abc import Iterator
import pathlib

import hypothesis
import pytest

from eelgrasshall.fakes import ports

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, max_examples=50
)
hypothesis.settings.load_profile("fixed")

# More than any test with this fixture uses.
_PORTS_PER_TEST = 120

_PLATFORM = pathlib.Path(__file__).parent / "eelgrasshall" / "platform"
_KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def _read_known_red() -> set[str]:
    """Returns the test ids in KNOWN-RED.txt, from lines `test: ID`."""
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test: ").strip()
        for line in lines
        if line.startswith("test: ")
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Orders the tests and marks those in KNOWN-RED.txt.

    Those in the list are expected failures (strict).  The files of the platform
    begin first: each takes long, mostly waiting, and one that began last would
    keep a single worker busy at the end.
    """
    items.sort(key=lambda item: _PLATFORM not in item.path.parents)
    known_red = _read_known_red()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(
                pytest.mark.xfail(
                    reason="KNOWN-RED.txt", raises=AssertionError, strict=True
                )
            )


@pytest.fixture
def first_port() -> Iterator[int]:
    """The first of neighbouring free ports, which are the test's until its end.

    No other test process and no outgoing connection gets one of them.
    """
    with ports.PortRange(count=_PORTS_PER_TEST) as reserved:
        yield reserved.first
