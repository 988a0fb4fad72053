"""Stand-ins of the platform's store, backends and clients, and host processes.

They follow the users' pages (PROTOCOL.md, DEPLOY.md) and use the standard
library only.  Entry hosts are separate processes of the project's program,
started with the command of deploy/system.toml.  Everything listens on loopback
addresses with free ports.  Times are monotonic seconds of this process.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import random
import socket
import sys
import time
import tomllib
from typing import Any
from typing import NamedTuple
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
ADDRESS = "127.0.0.1"
# Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
STORE_DELAY_S = 0.004
LOWEST_PORT, HIGHEST_PORT = 12000, 31000
KEEP_ALIVE_S = 15

_taken: set[int] = set()


class Message(NamedTuple):
    """A request or a response.

    Attributes:
      start: The parts of the first line.
      headers: The headers, with names in lower case.
      body: The body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes


async def read_message(
    reader: asyncio.StreamReader, *, to_end: bool = False
) -> Message | None:
    """Reads one message; returns None at the end of the connection.

    Args:
      reader: The connection.
      to_end: Whether a body without a length ends with the connection.

    Raises:
      OSError: The connection ended within the message.
      ValueError: The bytes are no message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the head is incomplete") from error
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif to_end:
            raise ValueError("no length of the body")
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("the body is incomplete") from error
    return Message(first.split(" ", 2), headers, body)


def find_ports(count: int, *, together: bool = False) -> list[int]:
    """Returns free ports of the loopback address, for TCP and UDP.

    They are below those from which outgoing connections get theirs, and none is
    returned twice.

    Args:
      count: How many.
      together: Whether they have to follow each other.
    """
    found: list[int] = []
    while len(found) < count:
        step = count if together else 1
        first = random.SystemRandom().randrange(LOWEST_PORT, HIGHEST_PORT)
        ports = range(first, first + step)
        if all(_is_free(port) for port in ports):
            found += ports
            _taken.update(ports)
    return found


def _is_free(port: int) -> bool:
    """Returns whether nothing uses a port."""
    if port in _taken:
        return False
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(type=kind) as probe:
                probe.bind((ADDRESS, port))
    except OSError:
        return False
    return True


class Record:
    """The file that tells what was sent, answered and run.

    Args:
      folder: The folder of the case.
    """

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def add(self, text: str, *, at_s: float | None = None) -> None:
        """Writes a line with its time since the start, in seconds."""
        now = time.monotonic() if at_s is None else at_s
        self._file.write(f"{now - self._started_s:9.3f} {text}\n")

    def report(self, text: str) -> None:
        """Writes a line, and prints it too."""
        self.add(text)
        print(text)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Store:
    """The platform's metadata store.

    Attributes:
      page_size: Most objects in one page of a list.
      before_page: Called with kind, page number and caller before a page is
        read.
      watched_s: By caller, when it last asked for changes of the backends.
    """

    def __init__(self):
        self.page_size = 500
        self.before_page: Callable[[str, int, str], None] = (
            lambda kind, page, caller: None
        )
        self.watched_s: dict[str, float] = {}
        self._revision = 7
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def start(self, port: int, caller: str) -> None:
        """Listens on a port for the calls of one host."""
        self._servers.append(
            await asyncio.start_server(
                lambda r, w: self._serve(r, w, caller), ADDRESS, port
            )
        )

    def stop(self) -> None:
        """Closes the listening sockets."""
        for server in self._servers:
            server.close()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Creates or replaces an object."""
        old = self._objects.get(kind, {}).get(name)
        if old is not None and old["spec"] == spec:
            return
        self._revision += 1
        meta = {
            "name": name,
            "revision": self._revision,
            "created": old["meta"]["created"] if old else self._revision,
            "finalizers": [],
            "deletionPending": False,
        }
        status = old.get("status") if old else None
        stored = {"meta": meta, "spec": spec, "status": status}
        self._objects.setdefault(kind, {})[name] = stored
        self._add_event(kind, {"object": stored, "deleted": False})

    def delete(self, kind: str, name: str) -> None:
        """Deletes an object."""
        self._revision += 1
        old = self._objects[kind].pop(name)
        meta = {**old["meta"], "revision": self._revision}
        self._add_event(
            kind, {"object": {**old, "meta": meta}, "deleted": True}
        )

    def _add_event(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        caller: str,
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(STORE_DELAY_S)
                status, document = await self._answer(request, caller)
                body = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                    b"Store-Era: 1\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(body))
                    + body
                )
                await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, caller: str) -> tuple[int, Any]:
        """Returns the status and the document of an answer."""
        path, _, text = request.start[1].partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        kind, _, name = path.removeprefix("/-/objects/").partition("/")
        name = urllib.parse.unquote(name)
        if request.start[0] in ("POST", "PUT"):
            document = json.loads(request.body)
            name = name or document["meta"]["name"]
            known = name in self._objects.get(kind, {})
            if request.start[0] == "POST" and known:
                return 409, self._objects[kind][name]
            self.put(kind, name, document["spec"])
            return 200, self._objects[kind][name]
        if name:
            found = self._objects.get(kind, {}).get(name)
            return (404, {}) if found is None else (200, found)
        if "watch" in query:
            if kind == "servers":
                self.watched_s[caller] = time.monotonic()
            return await self._watch(
                kind, int(query["watch"]), int(query["waitMs"]) / 1000
            )
        after = query.get("after", "")
        names = sorted(
            each for each in self._objects.get(kind, {}) if each > after
        )
        self.before_page(kind, 1 if after else 0, caller)
        names = sorted(
            each for each in self._objects.get(kind, {}) if each > after
        )
        return 200, {
            "items": [
                self._objects[kind][each] for each in names[: self.page_size]
            ],
            "hasMore": len(names) > self.page_size,
            "storeRevision": self._revision,
        }

    async def _watch(
        self, kind: str, revision: int, wait_s: float
    ) -> tuple[int, Any]:
        """Waits for changes after a revision."""
        if revision > self._revision:
            return 410, {}
        latest_s = time.monotonic() + wait_s
        while True:
            events = [
                event
                for number, event_kind, event in self._events
                if number > revision and event_kind == kind
            ]
            left_s = latest_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue


class Arrival(NamedTuple):
    """A request that a backend began to run.

    Attributes:
      at_s: When it arrived.
      server_id: The backend.
      request_id: The id of the client attempt.
      target: The target of the request.
    """

    at_s: float
    server_id: str
    request_id: str
    target: str


class Backend:
    """A backend: runs each request for some time and signs its answer.

    Attributes:
      arrivals: The requests that it ran.
      answers: For each request id, signature and body of its whole answer.
      spoil: Returns how many bytes of an answer are sent before the connection
        is closed; None for the whole answer.

    Args:
      server_id: Its id.
      service: Its service.
      port: Its port.
      zone: Its zone.
      make_body: Returns the body of an answer.
      work_s: Seconds that a request takes.
    """

    def __init__(
        self,
        *,
        server_id: str,
        service: str,
        port: int,
        zone: str,
        make_body: Callable[[str], bytes],
        work_s: float = 0.01,
    ):
        self.server_id = server_id
        self.service = service
        self.port = port
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.arrivals: list[Arrival] = []
        self.answers: dict[str, tuple[str, bytes]] = {}
        self.spoil: Callable[[bytes], int | None] = lambda data: None
        self._make_body = make_body
        self._work_s = work_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def describe(self, state: str = "ready") -> dict[str, Any]:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": f"{ADDRESS}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldLeftMs": 0,
            "seqNum": 1,
            "born": self.born,
        }

    async def start(self) -> None:
        """Listens on its port."""
        self._server = await asyncio.start_server(
            self._serve, ADDRESS, self.port
        )

    def stop(self) -> None:
        """Closes the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._send(await self._answer(request), writer):
                    return
        except (OSError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _send(self, data: bytes, writer: asyncio.StreamWriter) -> bool:
        """Sends an answer; returns whether the connection stays open."""
        cut = self.spoil(data)
        writer.write(data if cut is None else data[:cut])
        await writer.drain()
        return cut is None

    async def _answer(self, request: Message) -> bytes:
        """Runs a request and returns the bytes of its answer."""
        request_id = request.headers.get("x-attempt-id")
        keep = f"Keep-Alive: timeout={KEEP_ALIVE_S}\r\n"
        if request.start[1] == "/health":
            return (
                f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.server_id}\r\n"
                f"{keep}Content-Length: 0\r\n\r\n"
            ).encode()
        if request.headers.get("x-target-instance") != self.server_id:
            return (
                f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {request_id}\r\n"
                f"X-Not-Executed: 1\r\n{keep}Content-Length: 0\r\n\r\n"
            ).encode()
        self.arrivals.append(
            Arrival(
                time.monotonic(), self.server_id, request_id, request.start[1]
            )
        )
        await asyncio.sleep(self._work_s)
        seal = f"{self.server_id}.{request_id}"
        body = self._make_body(request_id)
        self.answers[request_id] = seal, body
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Server-Seal: {seal}\r\n{keep}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


class Host:
    """A process of the project's program on one machine.

    Args:
      name: The name of the machine.
      zone: Its zone.
      folder: A temporary folder for its settings and its log.
      store_port: The port of the store.
      seeds: The control ports of the seeds, filled in before the start.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        folder: pathlib.Path,
        store_port: int,
        seeds: list[int],
    ):
        self.name = name
        self.zone = zone
        self.process: asyncio.subprocess.Process | None = None
        self.started_s = 0.0
        (
            self.front,
            self.ready,
            self.control,
            self.directory,
            self._inner,
            self._metrics,
        ) = [*find_ports(4), *find_ports(2, together=True)]
        self._folder = folder
        self._store_port = store_port
        self._seeds = seeds

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *arguments = deploy["roles"]["entry"]["run"].split()
        if program == "python3":
            program = sys.executable
        settings = self._folder / f"{self.name}.toml"
        settings.write_text(self._make_settings(), encoding="utf-8")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["EELGRASSHALL_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = f"{ROOT / 'target/deps'}"
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.started_s = time.monotonic()

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def read_log(self) -> str:
        """Returns the log of its processes."""
        return (self._folder / f"{self.name}.log").read_text(encoding="utf-8")

    def _make_settings(self) -> str:
        """Returns the text of its settings file."""
        seeds = json.dumps([f"{ADDRESS}:{each}" for each in self._seeds])
        return f"""
nodeName = "{self.name}"
role = "entry"
machineClass = "front"
servedRoles = ["front", "control", "directory"]
ip = "{ADDRESS}"
zone = "{self.zone}"
region = "r"
innerPorts = [{self._inner}, {self._metrics}]
seeds = {seeds}
bootstrap = true
lossCounted = false
discovery = "platform"
entryType = "directory"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover",
  "scatter", "places", "platform"]
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = "{ADDRESS}:{self.front}"
readyAddr = "{ADDRESS}:{self.ready}"
controlAddr = "{ADDRESS}:{self.control}"
directory = "{ADDRESS}:{self.directory}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
backMs = 250
maxStretchMs = 12000
budgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 54
coldMultiplier = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
ttl_max_s = 5
[platform]
address = "{ADDRESS}:{self._store_port}"
form = "objects"
writeRateS = 400
readRateS = 2000
retentionS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Answer(NamedTuple):
    """What a client got.

    Attributes:
      status: The HTTP status; 0 if the connection ended without an answer.
      headers: The headers, with names in lower case.
      body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


async def send_request(
    port: int,
    path: str,
    request_id: str,
    *,
    budget_ms: int = 2000,
    method: str = "GET",
    body: bytes = b"",
) -> Answer:
    """Sends a client's request on a new connection and reads the answer."""
    data = (
        f"{method} {path} HTTP/1.1\r\nHost: orders.example\r\n"
        f"X-Attempt-Id: {request_id}\r\nX-Time-Budget: {budget_ms}\r\n"
        "Connection: close\r\n"
    ).encode()
    if body:
        data += b"Content-Length: %d\r\n" % len(body)
    writer = None
    try:
        async with asyncio.timeout(budget_ms / 1000):
            reader, writer = await asyncio.open_connection(ADDRESS, port)
            writer.write(data + b"\r\n" + body)
            message = await read_message(reader, to_end=True)
    except (OSError, TimeoutError, ValueError):
        return Answer(0, {}, b"")
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return Answer(0, {}, b"")
    return Answer(int(message.start[1]), message.headers, message.body)


async def is_ready(host: Host) -> bool:
    """Returns whether the readiness check of a host succeeds."""
    answer = await send_request(host.ready, "/-/readiness", "none")
    return answer.status == 200


async def wait_ready(hosts: list[Host]) -> None:
    """Waits until all hosts are ready.

    Raises:
      TimeoutError: One of them is not ready after 20 s.
    """
    async with asyncio.timeout(20):
        waiting = list(hosts)
        while waiting:
            if await is_ready(waiting[0]):
                waiting.pop(0)
            else:
                await asyncio.sleep(0.1)


def make_configuration(
    version: int, shards: list[str], single: str, **changes: Any
) -> dict[str, Any]:
    """Returns a configuration like that of the small deployments.

    Args:
      version: Its version.
      shards: The services that a search asks.
      single: The service of the other routes.
      **changes: Fields of the search's route that differ.
    """
    shared = {"host": "orders.example", "priority": 1, "maxAttempts": 2}
    search = {
        **shared,
        "name": "search",
        "pathPrefix": "/search/",
        "routeType": "idempotent",
        "timeoutMs": 2000,
        "goalMs": 247,
        "gather": shards,
        "topN": 50,
        "minShare": 0.89,
        **changes,
    }
    fetch = {
        **shared,
        "name": "fetch",
        "pathPrefix": "/fetch/",
        "routeType": "idempotent",
        "timeoutMs": 2000,
        "goalMs": 841,
        "service": single,
    }
    return {
        "version": version,
        "routes": [search, fetch],
        "services": [
            {"name": each, "healthPath": "/health", "maxConns": 46}
            for each in (*shards, single)
        ],
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def make_records(source: random.Random, count: int) -> bytes:
    """Returns records of 16 bytes in no order."""
    return b"".join(source.randbytes(16) for _ in range(count))


def run_case(case: Callable[[Record, bool], Awaitable[int]], path: str) -> None:
    """Runs a case and exits with its result.

    Args:
      case: Returns the exit code; gets the record and whether the disruption
        takes place.
      path: The path of the case's module.
    """
    record = Record(pathlib.Path(path).resolve().parent)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"disruption: {'yes' if trouble else 'no'}")
    try:
        code = asyncio.run(case(record, trouble))
    except Exception as error:  # The case could not run, whatever the cause.
        record.report(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    record.report(f"exit {code}")
    record.close()
    sys.exit(code)
