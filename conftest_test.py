"""Tests of what conftest.py does with the tests in KNOWN-RED.txt."""

import pathlib
import re
import shutil
import subprocess
import sys

import pytest

_FOLDER = pathlib.Path(__file__).parent
_TESTS = """
import pytest

@pytest.mark.parametrize("value", [1, 2, 3])
def test_fails_unless(value):
    assert value == 3

def test_passes():
    pass

def test_ends_by_another_error():
    raise OSError("no such thing")
"""
_LISTED = """
test: some_test.py::test_fails_unless[1]
test: some_test.py::test_passes
test: some_test.py::test_ends_by_another_error
"""


@pytest.mark.parametrize("options", [(), ("-n", "2", "--dist", "loadfile")])
def test_listed_tests_must_fail_by_an_assertion_and_no_others(
    tmp_path, options
):
    # In several processes, the list must be as exact as in one.
    shutil.copy(_FOLDER / "conftest.py", tmp_path)
    (tmp_path / "pytest.ini").touch()
    (tmp_path / "some_test.py").write_text(_TESTS, encoding="utf-8")
    (tmp_path / "KNOWN-RED.txt").write_text(_LISTED, encoding="utf-8")
    command = [sys.executable, "-m", "pytest", "-q", "-rA"]
    done = subprocess.run(
        [*command, "-p", "no:cacheprovider", *options, "some_test.py"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    found = re.findall(r"^([A-Z]+) some_test.py::(\S+)", done.stdout, re.M)
    assert sorted(found) == [
        ("FAILED", "test_ends_by_another_error"),
        ("FAILED", "test_fails_unless[2]"),
        ("FAILED", "test_passes"),
        ("PASSED", "test_fails_unless[3]"),
        ("XFAIL", "test_fails_unless[1]"),
    ]
    assert done.returncode == pytest.ExitCode.TESTS_FAILED
