"""Tests of servers that leave while the hosts that watch the store are lost.

The hosts are processes of the real program.  All that watch the store are
killed, and the entry of a server is removed at that moment.  The hosts that
stay must stop sending to the server in time, whoever tells them.
"""

import asyncio
import contextlib
import re
import signal
import time

from eelgrasshall.platform import fleet as fleet_module

# Time within which a host no longer sends to a server whose entry is gone.
_DRAIN_S = 3.0
_LEAVING = "shard0-0"
_HOSTS = 7
_SETTLING_S = 3.5
_REMOVED_AFTER_S = 0.1
_CHECKED_S = 5.5
_PAUSE_S = 0.02
_REACHES_STORE = re.compile(rb"store_reachable 1\b")


async def _list_watching(fleet) -> list[str]:
    """Returns the hosts that watch the store."""
    data = b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n"
    watching = []
    for name in fleet.host_names:
        _, _, body = await fleet_module.fetch(fleet.find_port(name, 1), data)
        if _REACHES_STORE.search(body):
            watching.append(name)
    return watching


async def _send_searches(fleet, name: str) -> None:
    """Sends searches to one host, one after the other."""
    number = 0
    while True:
        number += 1
        with contextlib.suppress(OSError, EOFError):
            await fleet.send_request(name, "/search/1", f"{name}-{number}")
        await asyncio.sleep(_PAUSE_S)


async def _restart(fleet, names: list[str]) -> None:
    """Starts hosts that have been killed."""
    for name in names:
        await fleet.start_host(name)


async def _measure_latest_s(folder, *, port, more_killed, restart_s) -> float:
    """Returns how long after the removal the server got its last search."""
    fleet = fleet_module.Fleet(
        folder=folder, port=port, hosts=_HOSTS, shards=2, replicas=3
    )
    tasks: list[asyncio.Task] = []
    try:
        await fleet.start()
        for name in fleet.host_names:
            await fleet.wait_ready(name)
        await asyncio.sleep(_SETTLING_S)
        killed = await _list_watching(fleet)
        others = [name for name in fleet.host_names if name not in killed]
        assert killed and len(others) > more_killed
        killed += others[:more_killed]
        survivors = others[more_killed:]
        tasks = [
            asyncio.create_task(_send_searches(fleet, name))
            for name in survivors
        ]
        await asyncio.sleep(0.5)
        for name in killed:
            fleet.signal_host(name, signal.SIGKILL)
        await asyncio.sleep(_REMOVED_AFTER_S)
        fleet.store.delete("servers", _LEAVING)
        removed_s = time.monotonic()
        await asyncio.sleep(restart_s - _REMOVED_AFTER_S)
        await _restart(fleet, killed)
        await asyncio.sleep(removed_s + _CHECKED_S - time.monotonic())
        arrivals = fleet.servers[_LEAVING].arrivals
        assert arrivals
        return max(at_s for at_s, _ in arrivals) - removed_s
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


async def test_deletion_is_not_lost_with_the_hosts_that_could_name_it(tmp_path):
    # The watchers start again at once.  Their listings lack the server, and
    # those who still had it never learned that it was gone (DRAIN, review/3).
    latest_s = await _measure_latest_s(
        tmp_path, port=21200, more_killed=0, restart_s=0.4
    )
    assert latest_s < _DRAIN_S


async def test_hosts_that_begin_to_watch_do_not_doubt_for_too_long(tmp_path):
    # Others noticed the loss after 1.2 s and doubted the deletion for 2.4 s
    # from then on (DRAIN, review/4).
    latest_s = await _measure_latest_s(
        tmp_path, port=21300, more_killed=1, restart_s=2.0
    )
    assert latest_s < _DRAIN_S
