"""Tests of the logging configuration."""

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


def test_plain_format_writes_one_line_and_filters_by_level(stream):
    log.configure(level="INFO", json_lines=False, stream=stream)
    loguru.logger.debug("membership: Host b was probed.")
    loguru.logger.info("membership: Host a left, {reason}.")
    lines = stream.getvalue().splitlines()
    assert len(lines) == 1
    assert lines[0].endswith("INFO    membership: Host a left, {reason}.")


def test_json_format_separates_prefix_from_message(stream):
    log.configure(level="INFO", json_lines=True, stream=stream)
    loguru.logger.warning("rollout: Version 7 {came} late: 3 s.")
    document = json.loads(stream.getvalue())
    assert document["level"] == "WARNING"
    assert document["part"] == "rollout"
    assert document["message"] == "Version 7 {came} late: 3 s."


def test_records_of_standard_logging_are_forwarded(stream):
    log.configure(level="INFO", json_lines=True, stream=stream)
    try:
        raise ValueError("broken")
    except ValueError:
        logging.getLogger("aiohttp.server").exception("Failed %d%%.", 3)
    document = json.loads(stream.getvalue())
    assert document["part"] == "aiohttp"
    assert document["message"] == "Failed 3%."
    assert document["exception"] == "ValueError('broken')"
