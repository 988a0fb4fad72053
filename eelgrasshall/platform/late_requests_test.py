"""Tests of requests that arrive late in a planned stop, in calm.

The host is a process of the real program.  Callers have sent requests in part
when it gets SIGTERM, and complete them when it has little time left.
"""

import asyncio
import collections
import re
import signal
from typing import NamedTuple

import pytest

from eelgrasshall.platform import fleet as fleet_module

_OK = 200
_NOT_EXECUTED = 503
# Promises nothing; only a request that may run once must not end so.
_TIMED_OUT = 504
_GRACE_S = 6.0
_FIRST_S = 2.0
_INTERVAL_S = 0.04
# Until then callers may not know yet that the host stops.
_SERVED_UNTIL_S = 2.4
_WARM_UP_COUNT = 300
_WARM_UP_INTERVAL_S = 0.01
_SERVICE_TIME_S = 0.25
# Some of the requests take five times as long.
_SLOW_SHARE = 0.03


class _Answer(NamedTuple):
    """The answer to a request that arrived late.

    Attributes:
      request_id: Its id.
      completed_s: When it was complete, seconds after SIGTERM.
      status: The status; 0 if there was no whole answer.
    """

    request_id: str
    completed_s: float
    status: int


async def _send_late(port: int, target: str, completed_s: float) -> _Answer:
    """Sends all but the last byte at once, and that one at a given time."""
    request_id = f"{target.strip('/').replace('/', '-')}-{completed_s:.2f}"
    head = (
        f"POST {target} HTTP/1.1\r\nHost: orders.example\r\n"
        f"X-Attempt-Id: {request_id}\r\nX-Time-Budget: 20000\r\n"
        "Content-Length: 2\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(head.encode() + b"h")
    await asyncio.sleep(completed_s)
    status = 0
    try:
        writer.write(b"i")
        answer = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", answer.lower())
        await reader.readexactly(int(length[1]))
        status = int(answer.split()[1])
    except (OSError, EOFError):
        pass
    writer.close()
    return _Answer(request_id, completed_s, status)


class _Run(NamedTuple):
    """What was seen.

    Attributes:
      answers: The answers to the late requests.
      executions: How often each request was executed, by its id.
    """

    answers: list[_Answer]
    executions: collections.Counter[str]


async def _run(folder, target: str) -> _Run:
    """Stops a host while requests to a target become complete."""
    fleet = fleet_module.Fleet(folder=folder, hosts=2)
    fleet.timeout_ms = 20000
    try:
        await fleet.start()
        for name in fleet.host_names:
            await fleet.wait_ready(name)
        for server in fleet.servers.values():
            server.service_time_s = _SERVICE_TIME_S
            server.slow_share = _SLOW_SHARE
        warm_up = []
        for number in range(_WARM_UP_COUNT):
            warm_up.append(
                asyncio.create_task(
                    fleet.send_request("host0", target, f"warm{number}")
                )
            )
            await asyncio.sleep(_WARM_UP_INTERVAL_S)
        await asyncio.gather(*warm_up)
        fleet.signal_host("host0", signal.SIGTERM)
        count = int((_GRACE_S - 0.6 - _FIRST_S) / _INTERVAL_S)
        answers = await asyncio.gather(
            *(
                _send_late(
                    fleet.find_port("host0"),
                    target,
                    _FIRST_S + number * _INTERVAL_S,
                )
                for number in range(count)
            )
        )
        executions = collections.Counter(
            request_id
            for server in fleet.servers.values()
            for request_id, _ in server.executed
        )
        return _Run(answers, executions)
    finally:
        await fleet.stop()


@pytest.fixture(scope="module", params=["once", "single", "search"])
def run(request, tmp_path_factory) -> tuple[str, _Run]:
    """Returns the kind of request and what was seen."""
    kind = request.param
    folder = tmp_path_factory.mktemp(kind)
    return kind, asyncio.run(_run(folder, f"/{kind}/late"))


def test_late_requests_are_answered_or_refused(run):
    # Those that were passed on with too little time left ended with an answer
    # that promises nothing, so that callers could not repeat the ones that may
    # run once (an operator's report).
    kind, seen = run
    allowed = {_OK, _NOT_EXECUTED}
    if kind != "once":
        allowed.add(_TIMED_OUT)
    assert seen.answers
    assert not [each for each in seen.answers if each.status not in allowed]


def test_refused_requests_were_not_executed(run):
    _, seen = run
    for each in seen.answers:
        if each.status == _NOT_EXECUTED:
            assert not seen.executions[each.request_id], each


def test_requests_with_enough_time_left_are_served(run):
    _, seen = run
    for each in seen.answers:
        if each.completed_s < _SERVED_UNTIL_S:
            assert each.status == _OK, each
