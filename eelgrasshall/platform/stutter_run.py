"""Checks what callers get while backend servers answer twice or in part.

`python -m eelgrasshall.platform.stutter_run --seed 1 --seconds 20` runs entry
hosts as processes of the real program in front of servers that stutter, one of
them cut off from the servers, so that it relays.  Callers send searches, single
requests and requests that may run once over connections that they keep.  Each
answer is compared with what the servers signed.  For each wrong one it prints
what the servers had sent on the connection; the exit code is 1 if there is any.
With `--sources FOLDER` the hosts run the program of another build, as
`git archive COMMIT eelgrasshall` gives it; further flags leave out kinds of
stutter.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import random as random_module
import re
import socket
import sys
from typing import NamedTuple

from eelgrasshall.fakes import ports
from eelgrasshall.platform import fault_proxy
from eelgrasshall.platform import fleet as fleet_module
from eelgrasshall.platform import soak_checks
from eelgrasshall.platform import stutter

HOSTS = 3
SHARDS = 4
REPLICAS = 2
# Nearly each search that lacks the records of a part shows it.
TOP_N = 10
# Callers of each host; with these, connections to servers are rarely idle.
CALLERS = 8
# Longest pause of a caller between an answer and its next request.
MAX_PAUSE_S = 0.01
SERVICE_TIME_S = 0.008
# What servers do to their answers.
HABITS = stutter.Habits(
    copies=0.35,
    cuts=0.03,
    cut_copies=0.5,
    other_status=0.5,
    no_id=0.3,
    unframed=0.05,
)
# Shares of the requests that fail, are turned away, or take five times as long.
FAILURE_SHARE = 0.15
REFUSAL_SHARE = 0.04
SLOW_SHARE = 0.05
# Hosts repeat what these servers spoil.
EXTRA_ATTEMPTS = (2.0, 200.0)
# Interval at which servers register anew if hosts may use them no more.
RENEWAL_INTERVAL_S = 0.3
# After this the host that is cut off relays.
CONTACT_S = 4.0
ANSWER_TIMEOUT_S = 5.0
KINDS = ("search", "search", "single", "once")
# Most wrong answers that are printed in full.
MAX_PRINTED = 40
# Ports of the store, of each host, and of each server without its links.
_STORE_PORTS = 1
_HOST_PORTS = 8
_SERVER_PORTS = 2
_MISDIRECTED = 421
_STATUS_LINE = re.compile(rb"HTTP/1\.1 ([2-5]\d\d) [ -~]*")
_HEAD_END = b"\r\n\r\n"


class TracedAnswer(NamedTuple):
    """A wrong answer and what the servers had sent.

    Attributes:
      wrong: The wrong answer.
      host: The host that the caller used.
      causes: What was sent besides the answers on the connections on which the
        request was answered: what came before, its answers, and what came next.
    """

    wrong: soak_checks.WrongAnswer
    host: str
    causes: tuple[str, ...]


class Result(NamedTuple):
    """What a run has shown.

    Attributes:
      seed: The seed.
      answers: All answers of callers.
      statuses: Number of requests by route, way and status; 0 if the connection
        was closed without an answer.
      sent: Number of answers and copies by kind.
      wrong: The wrong answers.
    """

    seed: int
    answers: list[soak_checks.CallerAnswer]
    statuses: collections.Counter[tuple[str, str, int]]
    sent: collections.Counter[str]
    wrong: list[TracedAnswer]

    def count_served(self, kind: str) -> tuple[int, int]:
        """Returns the successes of a route, and its requests."""
        counts = [
            (count, status)
            for (each, _, status), count in self.statuses.items()
            if each == kind
        ]
        return (
            sum(count for count, status in counts if status == 200),
            sum(count for count, _ in counts),
        )


class _KeptConnection:
    """A connection of a caller to a host.

    Args:
      port: The port of the host.
    """

    def __init__(self, *, port: int):
        self._port = port
        self._socket: socket.socket | None = None
        self._received = b""
        self._loop = asyncio.get_running_loop()

    def close(self) -> None:
        """Closes the connection; the next request opens another one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        self._received = b""

    async def send(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        """Sends a request and reads the answer.

        Returns:
          The status, the headers with names in lower case, and the body.

        Raises:
          OSError: The connection was closed.
          ValueError: What came is no answer, or came without a request.
        """
        if self._socket is None:
            self._socket = socket.socket()
            self._socket.setblocking(False)
            await self._loop.sock_connect(
                self._socket, ("127.0.0.1", self._port)
            )
        with contextlib.suppress(BlockingIOError):
            self._received += self._socket.recv(4096)
        if self._received:
            raise ValueError("bytes without a request")
        await self._loop.sock_sendall(self._socket, data)
        while _HEAD_END not in self._received:
            await self._receive()
        head, _, self._received = self._received.partition(_HEAD_END)
        status_line, *lines = head.split(b"\r\n")
        match = _STATUS_LINE.fullmatch(status_line)
        if match is None:
            raise ValueError("no status line")
        headers = {}
        for line in lines:
            name, separator, value = line.decode("latin-1").partition(": ")
            if not separator:
                raise ValueError("no header")
            headers[name.lower()] = value
        size = int(headers["content-length"])
        while len(self._received) < size:
            await self._receive()
        body, self._received = self._received[:size], self._received[size:]
        if headers.get("connection") == "close":
            self.close()
        return int(match[1]), headers, body

    async def _receive(self) -> None:
        """Reads more bytes.

        Raises:
          ConnectionError: There are none.
        """
        data = await self._loop.sock_recv(self._socket, 65536)
        if not data:
            raise ConnectionError("closed")
        self._received += data


class StutterRun:
    """A run with one seed.

    The seed gives all random draws, but not their order, since that depends on
    events in real time.

    Attributes:
      fleet: The fleet.

    Args:
      seed: The seed.
      folder: Directory for settings files and logs.
      port: First port.
      habits: How often the servers stutter, and how.
      sources: Folder with another version of the program; None for this one.
    """

    def __init__(
        self,
        *,
        seed: int,
        folder: pathlib.Path,
        port: int,
        habits: stutter.Habits = HABITS,
        sources: pathlib.Path | None = None,
    ):
        self._habits = habits
        self._seed = seed
        self._random = random_module.Random(seed)
        self.fleet = fleet_module.Fleet(
            folder=folder,
            port=port,
            hosts=HOSTS,
            shards=SHARDS,
            replicas=REPLICAS,
            extra_attempts=EXTRA_ATTEMPTS,
            links=True,
        )
        self.fleet.top_n = TOP_N
        if sources is not None:
            self.fleet.source_trees = dict.fromkeys(
                self.fleet.host_names, sources
            )
        self._answers: list[soak_checks.CallerAnswer] = []
        self._malformed: list[soak_checks.WrongAnswer] = []
        self._hosts: dict[str, str] = {}
        self._count = 0

    async def run(self, seconds: float) -> Result:
        """Lets callers send requests for some time.

        Raises:
          OSError: An address cannot be bound.
          TimeoutError: A host does not become ready.
        """
        fleet = self.fleet
        await fleet.start()
        try:
            for name in fleet.host_names:
                await fleet.wait_ready(name)
            # A cut that hangs keeps the ports.  On those that another cut had
            # closed, a server of another program was reached once.
            fleet.cut_host(fleet.host_names[-1], fault_proxy.Cut.HANG)
            await asyncio.sleep(CONTACT_S)
            for name, server in fleet.servers.items():
                server.service_time_s = SERVICE_TIME_S
                server.failure_share = FAILURE_SHARE
                server.refusal_share = REFUSAL_SHARE
                server.slow_share = SLOW_SHARE
                server.stutterer.random.seed(f"{self._seed} {name}")
                server.stutterer.habits = self._habits
            end_s = asyncio.get_running_loop().time() + seconds
            async with asyncio.TaskGroup() as group:
                group.create_task(self._renew_servers(end_s))
                for name in fleet.host_names:
                    for _ in range(CALLERS):
                        group.create_task(self._call(name, end_s))
        finally:
            await fleet.stop()
        return self._check()

    async def _renew_servers(self, end_s: float) -> None:
        """Registers servers as new processes after a copy with status 421.

        Hosts use a server no more that has answered so, until then.
        """
        loop = asyncio.get_running_loop()
        seen = dict.fromkeys(self.fleet.servers, 0)
        while loop.time() < end_s:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            for name, server in self.fleet.servers.items():
                sent = server.stutterer.sent
                if any(
                    each.status == _MISDIRECTED for each in sent[seen[name] :]
                ):
                    server.started_at_ms += 1
                    self.fleet.register_server(name)
                seen[name] = len(sent)

    async def _call(self, host: str, end_s: float) -> None:
        """Sends requests to a host, one after the other."""
        loop = asyncio.get_running_loop()
        connection = _KeptConnection(port=self.fleet.find_port(host))
        while loop.time() < end_s:
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))
            self._count += 1
            kind = self._random.choice(KINDS)
            request_id = f"q{self._count}"
            self._hosts[request_id] = host
            data = (
                f"POST /{kind}/{request_id} HTTP/1.1\r\n"
                f"Host: orders.example\r\nX-Attempt-Id: {request_id}\r\n"
                "X-Time-Budget: 2000\r\nContent-Length: 2\r\n\r\nhi"
            )
            status, headers, body = 0, {}, b""
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    status, headers, body = await connection.send(data.encode())
            except OSError:
                connection.close()
            except ValueError as error:
                connection.close()
                answer = soak_checks.CallerAnswer(
                    request_id, kind, status, headers, body
                )
                self._malformed.append(
                    soak_checks.WrongAnswer(answer, str(error))
                )
                continue
            self._answers.append(
                soak_checks.CallerAnswer(
                    request_id, kind, status, headers, body
                )
            )
        connection.close()

    def _check(self) -> Result:
        """Compares the answers with what the servers signed."""
        servers = self.fleet.servers.values()
        signed = {
            seal: answer
            for server in servers
            for seal, answer in server.answers.items()
        }
        executed = {each for server in servers for each, _ in server.executed}
        wrong = self._malformed + soak_checks.find_wrong_answers(
            [each for each in self._answers if each.status],
            signed,
            executed,
            shards=self.fleet.shards,
            top=TOP_N,
            min_share=fleet_module.MIN_SHARE,
        )
        statuses = collections.Counter(
            (each.kind, self._name_way(each), each.status)
            for each in self._answers
        )
        sent = collections.Counter(
            each.describe()
            for server in servers
            for each in server.stutterer.sent
        )
        return Result(
            self._seed,
            self._answers,
            statuses,
            sent,
            [self._trace(each) for each in wrong],
        )

    def _name_way(self, answer: soak_checks.CallerAnswer) -> str:
        """Returns whether the request went through a host that relays."""
        host = self._hosts[answer.request_id]
        return "relayed" if host == self.fleet.host_names[-1] else "direct"

    def _trace(self, wrong: soak_checks.WrongAnswer) -> TracedAnswer:
        """Returns a wrong answer with what the servers had sent."""
        request_id = wrong.answer.request_id
        causes = []
        for name in wrong.server_ids or self.fleet.servers:
            sent = self.fleet.servers[name].stutterer.sent
            for connection in {
                each.connection
                for each in sent
                if each.request_id == request_id
            }:
                messages = [
                    each for each in sent if each.connection == connection
                ]
                causes += [
                    f"{name}: {each}"
                    for each in list_causes(messages, request_id)
                ]
        return TracedAnswer(wrong, self._hosts[request_id], tuple(causes))


def list_causes(sent: list[stutter.Sent], request_id: str) -> list[str]:
    """Returns what may have spoiled the answers to a request.

    Args:
      sent: All that was sent on one connection, in order.
      request_id: Id of the request.
    """
    causes = []
    # Copies since the answer before, and the request of that.
    copies: list[stutter.Sent] = []
    previous_id: str | None = None
    for each in sent:
        if each.kind in stutter.COPY_KINDS:
            copies.append(each)
            if previous_id == request_id:
                own = "" if each.request_id == request_id else " of an earlier"
                causes.append(f"after it: {each.describe()}{own}")
            continue
        if each.request_id == request_id:
            causes += [f"before it: {copy.describe()}" for copy in copies]
            if each.kind is not stutter.Kind.ANSWER:
                causes.append(each.describe())
        copies = []
        previous_id = each.request_id
    return causes


async def run_seed(
    *,
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    habits: stutter.Habits = HABITS,
    sources: pathlib.Path | None = None,
) -> Result:
    """Runs one seed on ports that are free.

    Raises:
      NoFreePorts: No ports are free.
      TimeoutError: A host does not become ready.
    """
    servers = SHARDS * REPLICAS
    count = _STORE_PORTS + HOSTS * _HOST_PORTS
    count += servers * (_SERVER_PORTS + HOSTS)
    with ports.PortRange(count=count) as reserved:
        run = StutterRun(
            seed=seed,
            folder=folder,
            port=reserved.first,
            habits=habits,
            sources=sources,
        )
        return await run.run(seconds)


def _print_result(result: Result) -> None:
    """Prints the counts and the wrong answers of a run."""
    print(
        json.dumps(
            {
                "seed": result.seed,
                "requests": result.statuses.total(),
                "statuses": {
                    " ".join(map(str, key)): count
                    for key, count in sorted(result.statuses.items())
                },
                "sent": dict(sorted(result.sent.items())),
                "wrong": len(result.wrong),
            }
        )
    )
    kinds = collections.Counter(
        (
            each.wrong.answer.kind,
            each.wrong.reason,
            # Without the names of the servers.
            " + ".join(
                sorted({cause.partition(": ")[2] for cause in each.causes})
            )
            or "nothing",
        )
        for each in result.wrong
    )
    for (kind, reason, cause), count in kinds.most_common():
        print(f"{count:5} {kind}: {reason} <- {cause}")
    for each in result.wrong[:MAX_PRINTED]:
        answer = each.wrong.answer
        print(
            json.dumps(
                {
                    "request": answer.request_id,
                    "kind": answer.kind,
                    "host": each.host,
                    "reason": each.wrong.reason,
                    "status": answer.status,
                    "headers": dict(answer.headers),
                    "body": answer.body.decode("latin-1"),
                    "causes": each.causes,
                }
            )
        )


def main() -> None:
    """Runs seeds and prints their results; exits with 1 if any is wrong."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    for name, share in HABITS._asdict().items():
        flag = f"--{name.replace('_', '-')}"
        parser.add_argument(flag, type=float, default=share)
    parser.add_argument("--sources", type=pathlib.Path)
    parser.add_argument("--folder", type=pathlib.Path, default="out/stutter")
    args = parser.parse_args()
    habits = stutter.Habits(*(vars(args)[name] for name in HABITS._fields))
    failed = False
    for seed in range(args.seed, args.seed + args.seeds):
        result = asyncio.run(
            run_seed(
                seed=seed,
                seconds=args.seconds,
                folder=args.folder / str(seed),
                habits=habits,
                sources=args.sources,
            )
        )
        _print_result(result)
        failed = failed or bool(result.wrong)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
