"""Tests of the lowest release of Python that is supported."""

import importlib
import pathlib
import sys
import tomllib

import pytest

import eelgrasshall

_PROJECT = pathlib.Path(__file__).parent.parent / "pyproject.toml"


def test_lower_release_is_named_in_the_error(monkeypatch):
    # It ended with an error about a name of the standard library.
    with monkeypatch.context() as patch:
        patch.setattr(sys, "version_info", (3, 10, 12))
        with pytest.raises(ImportError, match=r"needs Python 3\.11 .* 3\.10$"):
            importlib.reload(eelgrasshall)
    importlib.reload(eelgrasshall)


def test_lowest_release_is_that_of_the_package():
    project = tomllib.loads(_PROJECT.read_text(encoding="utf-8"))["project"]
    lowest = ".".join(map(str, eelgrasshall._LOWEST_PYTHON))
    assert project["requires-python"] == f">={lowest}"
