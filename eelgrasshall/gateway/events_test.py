"""Tests of the structured log."""

import json
import os

from eelgrasshall.gateway import events


def _open_log() -> tuple[events.EventLog, int]:
    reader, writer = os.pipe()
    return events.EventLog(name="h1", descriptor=writer), reader


def _read(descriptor: int) -> list[dict]:
    data = os.read(descriptor, 1 << 20)
    return [json.loads(line) for line in data.decode().splitlines()]


def test_line_is_json_with_host_and_event():
    log, reader = _open_log()
    log.record("server", server="s1", state="gone")
    (line,) = _read(reader)
    assert (line["host"], line["event"], line["state"]) == (
        "h1",
        "server",
        "gone",
    )


def test_stalled_reader_does_not_block_and_drops_are_reported():
    log, reader = _open_log()
    for number in range(5000):
        log.record("server", number=number, text="x" * 200)
    assert log.dropped > 0
    while log._pending:
        _read(reader)
        log.flush()
    _read(reader)
    log.record("after")
    assert _read(reader)[-1]["dropped"] > 0


def test_all_lines_dropped_while_the_reader_stalls_are_counted():
    log, reader = _open_log()
    count = 5000
    for _ in range(count):
        log.record("server", text="x" * 200)
    kept = b""
    while log._pending:
        kept += os.read(reader, 1 << 20)
        log.flush()
    kept += os.read(reader, 1 << 20)
    log.record("after")
    dropped = _read(reader)[-1]["dropped"]
    assert kept.count(b"\n") + dropped == count


def test_failures_have_a_reserve_in_the_rate_limit():
    log, _ = _open_log()
    while log.allow_request_line(failed=False):
        pass
    assert log.allow_request_line(failed=True)
    written = sum(log.allow_request_line(failed=True) for _ in range(100))
    assert written < events.REQUEST_LINES_PER_S


def test_closed_reader_is_ignored():
    log, reader = _open_log()
    os.close(reader)
    log.record("server")
    assert not log._pending
