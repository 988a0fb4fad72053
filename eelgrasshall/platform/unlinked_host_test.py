"""Tests of entry hosts that are cut off from all backend servers.

The entry hosts are processes of the real program; callers, the store and the
other hosts reach them all the time.  One run for each kind of cut, all of them
at the same time, shows what the tests check.
"""

import asyncio
import collections
import json
import time
from typing import NamedTuple

import pytest

from eelgrasshall.platform import fault_proxy
from eelgrasshall.platform import fleet as fleet_module

# 18 processes, of which the tests compare rates in 1.5 s.
pytestmark = pytest.mark.alone

# Time after the beginning of a cut from which on the bounds hold, and time for
# which they are checked.
_CONTACT_S = 4.0
_CHECKED_S = 4.0
# Time after the end of a cut after which hosts reach servers directly again.
_RETURN_S = 3.0
_RETURN_CHECKED_S = 1.5
# First tries per second at the hosts that are cut off, and at the others.
_TRIES_PER_S = 20
_CUT_HOSTS = 2
_OK = 200
_NOT_EXECUTED = 503
# Statuses that do not say whether the request was executed.
_UNKNOWN_STATUSES = (502, 504)
_KINDS = ("search", "single", "once")


class _Try(NamedTuple):
    """A first try of a caller.

    Attributes:
      request_id: Its id.
      kind: The route.
      is_cut: Whether it was sent to a host that is cut off.
      sent_s: Time since the beginning of the cut.
      status: Status of the answer, 0 if there was none.
    """

    request_id: str
    kind: str
    is_cut: bool
    sent_s: float
    status: int


class _Run(NamedTuple):
    """What was seen in a run.

    Attributes:
      tries: All first tries.
      execution_counts: Number of servers that executed a try, by its id.
      arrived: Ids of the tries that reached a server.
      named: For each answer of the directory at the other hosts, from contact
        time on, the cut hosts in it.
      direct_counts: For each cut host, how much it sent to servers itself from
        the return time on.
    """

    tries: list[_Try]
    execution_counts: dict[str, int]
    arrived: set[str]
    named: list[list[str]]
    direct_counts: dict[str, int]

    def list_checked(self) -> list[_Try]:
        """Returns the tries sent during the cut from contact time on."""
        end_s = _CONTACT_S + _CHECKED_S
        return [
            each for each in self.tries if _CONTACT_S <= each.sent_s < end_s
        ]


class _Callers:
    """Callers that send first tries at a steady rate.

    Args:
      fleet: The fleet.
      cut_hosts: The hosts that are to be cut off.
      cut_s: Monotonic time at which they are.
    """

    def __init__(self, *, fleet, cut_hosts: list[str], cut_s: float):
        self.tries: list[_Try] = []
        self._fleet = fleet
        self._cut_hosts = cut_hosts
        self._cut_s = cut_s

    async def send_until(self, end_s: float) -> None:
        """Sends tries to the cut hosts and to the others until a time."""
        others = [
            name
            for name in self._fleet.host_names
            if name not in self._cut_hosts
        ]
        number = 0
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end_s:
                kind = _KINDS[number % len(_KINDS)]
                for names in (self._cut_hosts, others):
                    name = names[number // len(_KINDS) % len(names)]
                    group.create_task(self._send(kind, name, number))
                number += 1
                await asyncio.sleep(1 / _TRIES_PER_S)

    async def _send(self, kind: str, name: str, number: int) -> None:
        """Sends one try and records it."""
        request_id = f"{name}-{number}"
        sent_s = time.monotonic() - self._cut_s
        try:
            status, _, _ = await self._fleet.send_request(
                name, f"/{kind}/{request_id}", request_id
            )
        except (OSError, TimeoutError):
            status = 0
        is_cut = name in self._cut_hosts
        self.tries.append(_Try(request_id, kind, is_cut, sent_s, status))


async def _list_named(fleet, name: str) -> list[str]:
    """Returns the hosts that the directory names, as a host answers."""
    data = (
        b"GET /-/resolve?name=orders.example&region=r&zone=a HTTP/1.1\r\n"
        b"Connection: close\r\n\r\n"
    )
    status, _, body = await fleet_module.fetch(fleet.find_port(name, 3), data)
    addresses = json.loads(body)["addrs"] if status == _OK else []
    return [
        each
        for each in fleet.host_names
        if f"127.0.0.1:{fleet.find_port(each)}" in addresses
    ]


async def _watch_directory(fleet, cut_hosts: list[str]) -> list[list[str]]:
    """Returns which cut hosts the others name, while the bounds hold."""
    named = []
    end_s = time.monotonic() + _CHECKED_S
    while time.monotonic() < end_s:
        for name in fleet.host_names:
            if name not in cut_hosts:
                answer = await _list_named(fleet, name)
                named.append([each for each in answer if each in cut_hosts])
        await asyncio.sleep(0.5)
    return named


async def _run(folder, *, kind: fault_proxy.Cut) -> _Run:
    """Cuts hosts that callers use off from all servers for a while."""
    fleet = fleet_module.Fleet(
        folder=folder, hosts=6, shards=3, replicas=3, links=True
    )
    try:
        await fleet.start()
        for name in fleet.host_names:
            await fleet.wait_ready(name)
        await asyncio.sleep(1.0)
        cut_hosts = (await _list_named(fleet, "host0"))[:_CUT_HOSTS]
        assert len(cut_hosts) == _CUT_HOSTS
        cut_s = time.monotonic() + 1.0
        end_s = cut_s + _CONTACT_S + _CHECKED_S
        callers = _Callers(fleet=fleet, cut_hosts=cut_hosts, cut_s=cut_s)
        sending = asyncio.create_task(
            callers.send_until(end_s + _RETURN_S + _RETURN_CHECKED_S)
        )
        await asyncio.sleep(cut_s - time.monotonic())
        for name in cut_hosts:
            fleet.cut_host(name, kind)
        await asyncio.sleep(cut_s + _CONTACT_S - time.monotonic())
        named = await _watch_directory(fleet, cut_hosts)
        await asyncio.sleep(end_s - time.monotonic())
        for name in cut_hosts:
            fleet.mend_host(name)
        await asyncio.sleep(_RETURN_S)
        before = {name: fleet.count_sent(name) for name in cut_hosts}
        await sending
        direct_counts = {
            name: fleet.count_sent(name) - before[name] for name in cut_hosts
        }
    finally:
        await fleet.stop()
    servers = fleet.servers.values()
    executed = [each for server in servers for each, _ in server.executed]
    arrived = {each for server in servers for _, each in server.arrivals}
    return _Run(
        callers.tries,
        collections.Counter(executed),
        arrived,
        named,
        direct_counts,
    )


@pytest.fixture(scope="module")
def runs(tmp_path_factory) -> dict[fault_proxy.Cut, _Run]:
    """Returns a run for each kind of cut."""
    folder = tmp_path_factory.mktemp("unlinked")

    async def run_all() -> list[_Run]:
        return await asyncio.gather(
            *(_run(folder / kind.name, kind=kind) for kind in fault_proxy.Cut)
        )

    return dict(zip(fault_proxy.Cut, asyncio.run(run_all()), strict=True))


_for_each_kind = pytest.mark.parametrize(
    "kind", list(fault_proxy.Cut), ids=lambda kind: kind.name
)


@_for_each_kind
def test_cut_hosts_serve_about_as_many_tries_as_the_others(runs, kind):
    tries = runs[kind].list_checked()
    sent = collections.Counter(each.is_cut for each in tries)
    served = collections.Counter(
        each.is_cut for each in tries if each.status == _OK
    )
    # Other hosts have to serve nearly all, or the comparison means nothing.
    assert served[False] >= 0.9 * sent[False]
    share_kept = (
        served[True] * sent[False] >= 2 / 3 * served[False] * sent[True]
    )
    few_failed = sent[True] - served[True] <= 10 + len(tries) / 50
    assert share_kept or few_failed, f"served {served} of {sent}"


@_for_each_kind
def test_directory_does_not_name_cut_hosts(runs, kind):
    answers = runs[kind].named
    wrong = [each for each in answers if each]
    assert not wrong, f"{len(wrong)} of {len(answers)}, such as {wrong[0]}"


@_for_each_kind
def test_refused_tries_were_executed_nowhere(runs, kind):
    run = runs[kind]
    assert not [
        each
        for each in run.tries
        if each.status == _NOT_EXECUTED
        and run.execution_counts[each.request_id]
    ]


@_for_each_kind
def test_once_tries_are_executed_at_most_once(runs, kind):
    run = runs[kind]
    tries = [each for each in run.tries if each.kind == "once"]
    assert not [
        each for each in tries if run.execution_counts[each.request_id] > 1
    ]
    assert any(run.execution_counts[each.request_id] for each in tries)


@_for_each_kind
def test_tries_that_reached_no_server_are_refused_as_not_executed(runs, kind):
    # A host cannot know what became of a request on a connection that was
    # silent or was reset at that moment, but it can of all later ones.
    run = runs[kind]
    vague = [
        each
        for each in run.list_checked()
        if each.status in _UNKNOWN_STATUSES
        and each.request_id not in run.arrived
    ]
    assert not vague, f"{len(vague)}, such as {vague[0]}"


@_for_each_kind
def test_hosts_reach_servers_directly_after_the_cut(runs, kind):
    # Each host gets ten tries a second; health checks are a few in this time.
    counts = runs[kind].direct_counts
    least = _TRIES_PER_S / _CUT_HOSTS * _RETURN_CHECKED_S
    assert min(counts.values()) >= least, counts
