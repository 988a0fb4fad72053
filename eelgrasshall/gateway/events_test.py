"""Tests of the structured log."""

import json
import os

from eelgrasshall.gateway import events


def _open() -> tuple[events.EventLog, int]:
    reading, writing = os.pipe()
    return events.EventLog(name="h1", descriptor=writing), reading


def _read(descriptor: int) -> list[dict]:
    data = os.read(descriptor, 1 << 20)
    return [json.loads(line) for line in data.decode().splitlines()]


def test_a_line_is_json_with_host_and_event():
    log, reading = _open()
    log.record("server", server="s1", state="gone")
    (line,) = _read(reading)
    assert (line["host"], line["event"], line["state"]) == (
        "h1",
        "server",
        "gone",
    )


def test_a_reader_that_stands_still_never_blocks_and_loss_is_told():
    log, reading = _open()
    for number in range(5000):
        log.record("server", number=number, text="x" * 200)
    assert log.dropped > 0
    while log._pending:
        _read(reading)
        log.flush()
    _read(reading)
    log.record("after")
    assert _read(reading)[-1]["dropped"] > 0


def test_failures_are_written_when_samples_are_not():
    log, _ = _open()
    while log.allow_request_line(failed=False):
        pass
    assert log.allow_request_line(failed=True)
    written = sum(log.allow_request_line(failed=True) for _ in range(100))
    assert written < events.REQUEST_LINES_PER_S


def test_nobody_who_reads_is_no_failure():
    log, reading = _open()
    os.close(reading)
    log.record("server")
    assert not log._pending
