"""Tests of the log set-up."""

import io
import json
import logging

import loguru
import pytest

from eelgrasshall import log


@pytest.fixture
def stream():
    yield io.StringIO()
    loguru.logger.remove()
    logging.basicConfig(handlers=[logging.NullHandler()], force=True)


def test_plain_lines_are_one_line_and_filtered(stream):
    log.configure(level="INFO", json_lines=False, stream=stream)
    loguru.logger.debug("membership: Host b was probed.")
    loguru.logger.info("membership: Host a left, {reason}.")
    lines = stream.getvalue().splitlines()
    assert len(lines) == 1
    assert lines[0].endswith("INFO    membership: Host a left, {reason}.")


def test_json_lines_part_prefix_and_message(stream):
    log.configure(level="INFO", json_lines=True, stream=stream)
    loguru.logger.warning("rollout: Version 7 {came} late: 3 s.")
    document = json.loads(stream.getvalue())
    assert document["level"] == "WARNING"
    assert document["part"] == "rollout"
    assert document["message"] == "Version 7 {came} late: 3 s."


def test_lines_of_libraries_are_forwarded(stream):
    log.configure(level="INFO", json_lines=True, stream=stream)
    try:
        raise ValueError("broken")
    except ValueError:
        logging.getLogger("aiohttp.server").exception("Failed %d%%.", 3)
    document = json.loads(stream.getvalue())
    assert document["part"] == "aiohttp"
    assert document["message"] == "Failed 3%."
    assert document["exception"] == "ValueError('broken')"
