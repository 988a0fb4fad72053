"""Tests of requests that crash the backend servers that run them.

The entry hosts are processes of the real program; the callers send the same
request again, at any of them.
"""

import asyncio
import contextlib
import time

from eelgrasshall.platform import fleet as fleet_module

# Time without a disturbance after which the bounds hold.
_CONTACT_S = 4.0
# Number of crashed servers from which on a request counts as harmful, and of
# tries that may reach a server later.
_CRASHES_ALLOWED = 3
_TRIES_ALLOWED = 3


async def _send_repeatedly(fleet, target, *, tries: int, interval_s: float):
    """Sends a request again and again, each time to the next host.

    Returns:
      The id and the time of each try.
    """
    sent = []
    for number in range(tries):
        name = fleet.host_names[number % len(fleet.host_names)]
        request_id = f"try{number}"
        sent.append((request_id, time.monotonic()))
        with contextlib.suppress(OSError, TimeoutError):
            await fleet.send_request(name, target, request_id)
        await asyncio.sleep(interval_s)
    return sent


def _list_late_tries(fleet, sent) -> list[str]:
    """Returns the tries that reached a server although they were harmful."""
    crash_times = sorted(crash.at_s for crash in fleet.crashes)
    assert len(crash_times) >= _CRASHES_ALLOWED
    known_s = crash_times[_CRASHES_ALLOWED - 1] + _CONTACT_S
    reached = {
        request_id
        for server in fleet.servers.values()
        for request_id, _ in server.executed
    }
    return [
        request_id
        for request_id, at in sent
        if at > known_s and request_id in reached
    ]


async def _count_late_tries(folder, *, kind: str) -> int:
    """Returns how many late tries of a request reach servers."""
    fleet = fleet_module.Fleet(folder=folder, hosts=4, shards=3, replicas=3)
    try:
        await fleet.start()
        for name in fleet.host_names:
            await fleet.wait_ready(name)
        sent = await _send_repeatedly(
            fleet, f"/{kind}/crash", tries=18, interval_s=1.3
        )
        return len(_list_late_tries(fleet, sent))
    finally:
        await fleet.stop()


async def test_repeated_request_that_crashes_servers_is_stopped(tmp_path):
    # A search, a request to one service, and one that runs at most once.
    kinds = ("search", "single", "once")
    counts = await asyncio.gather(
        *(_count_late_tries(tmp_path / kind, kind=kind) for kind in kinds)
    )
    assert max(counts) <= _TRIES_ALLOWED, dict(zip(kinds, counts, strict=True))
