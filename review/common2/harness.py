"""What the scripts of the second review share: a deployment and a record.

The entry hosts are processes of the project's program, started with the command
of the deploy file.  The store, the backend servers and the proxies between them
are the project's own stand-ins, in the process of the script.  A script sends
callers' requests, writes what was sent, answered and run to `record.txt`, and
checks one rule of the users' pages.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import shlex
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback

from eelgrasshall.platform import fault_proxy
from eelgrasshall.platform import fleet

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Less than the 120 s that a script may take.
MAX_DURATION_S = 110.0
# Time in which the hosts have told each other which of them watch the store.
SETTLE_S = 6.0
_PASSED_ON = ("PATH", "HOME", "JAVA_HOME", "LANG")


class Record:
    """The text of `record.txt`, with times since the start of the script.

    Args:
      path: The file.
    """

    def __init__(self, *, path: pathlib.Path):
        self._started_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str, at_s: float | None = None) -> None:
        """Writes a line about now or another monotonic time."""
        now_s = time.monotonic() if at_s is None else at_s
        self._file.write(f"{now_s - self._started_s:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Deployment(fleet.Fleet):
    """A fleet whose hosts run the command of the deploy file.

    Attributes:
      record: The record of the script.
      sent: Time and host of each caller's request, by request id.

    Args:
      record: The record of the script.
      folder: A temporary folder for settings files and logs.
      hosts: Number of entry hosts.
      replicas: Number of backend servers of each service.
    """

    def __init__(
        self, *, record: Record, folder: pathlib.Path, hosts: int, replicas: int
    ):
        super().__init__(
            folder=folder, hosts=hosts, shards=3, replicas=replicas
        )
        self.record = record
        self.sent: dict[str, tuple[float, str]] = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = shlex.split(deploy["roles"]["entry"]["run"])

    async def _start_host(self, name: str) -> None:
        """Starts a process with the environment that the pages state."""
        path = self._folder / f"{name}.toml"
        path.write_text(self._make_settings(name), encoding="utf-8")
        environment = {
            key: os.environ[key] for key in _PASSED_ON if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["EELGRASSHALL_NODE_FILE"] = str(path)
        with self._open_log(name) as log:
            process = await asyncio.create_subprocess_exec(
                *self._command,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )
        self._all_processes.append(process)
        self.processes[name] = process

    async def wait_until_settled(self) -> None:
        """Waits until all hosts are ready and know each other."""
        for name in self.host_names:
            await self.wait_ready(name)
        self.record.write("all hosts are ready")
        await asyncio.sleep(SETTLE_S)

    async def call(self, host: str, target: str, request_id: str) -> int:
        """Sends a caller's request; returns the status, or 0 without answer."""
        self.sent[request_id] = (time.monotonic(), host)
        self.record.write(f"request {request_id} to {host}: {target}")
        try:
            status, headers, _ = await self.send_request(
                host, target, request_id
            )
        except OSError as error:
            self.record.write(f"request {request_id}: no answer, {error!r}")
            return 0
        seal = headers.get("x-server-seal") or headers.get("x-part-seals")
        self.record.write(f"request {request_id}: {status}, signed {seal}")
        return status

    async def call_often(
        self, hosts: list[str], target: str, label: str, seconds: float
    ) -> None:
        """Sends requests to hosts for some time, each on a new connection."""
        end_s = time.monotonic() + seconds
        number = 0
        calls = []
        while time.monotonic() < end_s:
            for host in hosts:
                number += 1
                request_id = f"{label}-{number}"
                calls.append(
                    asyncio.create_task(
                        self.call(host, f"{target}{request_id}", request_id)
                    )
                )
            await asyncio.sleep(0.02)
        await asyncio.gather(*calls)

    def remove_server(self, name: str) -> float:
        """Removes a server's entry though it serves on; returns the time.

        It never reports that it drains, but says in all answers that it leaves.
        """
        self.servers[name].leaving = True
        self.store.delete("servers", name)
        removed_s = time.monotonic()
        self.record.write(f"the store has removed the entry of {name}")
        return removed_s

    def list_arrivals(self, server: str, after_s: float) -> list[str]:
        """Returns requests that a server got and that were sent after a time.

        Each of them is recorded.
        """
        late = []
        for at_s, request_id in self.servers[server].arrivals:
            sent_s, host = self.sent.get(request_id, (0.0, ""))
            if sent_s > after_s:
                late.append(request_id)
                self.record.write(
                    f"{server} gets {request_id}, sent to {host} "
                    f"{(sent_s - after_s) * 1000:.0f} ms after the bound",
                    at_s,
                )
        return late

    def silence_connections(self) -> None:
        """Lets all open connections to the store and to servers go silent.

        New ones work.  The proxies still acknowledge at the level of TCP, so
        that a keep-alive would show nothing; `reset_silent` makes up for that.
        """
        for proxy in self.list_proxies():
            proxy.silence_connections()
        self.record.write("all open connections are silent from now on")

    def reset_silent(self) -> None:
        """Resets the silent connections, as when a keep-alive gives up."""
        linger = struct.pack("ii", 1, 0)
        for proxy in self.list_proxies():
            for endpoint in list(proxy._endpoints):
                if endpoint.silenced:
                    endpoint.transport.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                    endpoint.transport.abort()
        self.record.write("keep-alive gives the silent connections up")

    async def find_watchers(self, count: int) -> list[str]:
        """Waits until so many hosts call the store, and returns them.

        More do until all hosts know each other.

        Raises:
          TimeoutError: Another number of hosts calls it all the while.
        """
        for _ in range(8):
            before = {
                name: proxy.sent_counts[""]
                for name, proxy in self.store_proxies.items()
            }
            await asyncio.sleep(4.0)
            found = [
                name
                for name, proxy in self.store_proxies.items()
                if proxy.sent_counts[""] > before[name]
            ]
            self.record.write(f"hosts that call the store: {found}")
            if len(found) == count:
                return found
        raise TimeoutError(f"not {count} hosts call the store")

    def cut_store(self, hosts: list[str]) -> None:
        """Lets the store be silent to hosts; it serves the others."""
        for name in hosts:
            self.store_proxies[name].cut("", fault_proxy.Cut.HANG)
        self.record.write(f"the store is silent to {hosts}")

    def mend_store(self, hosts: list[str]) -> None:
        """Lets the store serve hosts again."""
        for name in hosts:
            self.store_proxies[name].mend("")
        self.record.write("the store serves all hosts")


def has_trouble() -> bool:
    """Returns whether the script brings the disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(
    case: str,
    check: Callable[[Deployment], Awaitable[int]],
    *,
    hosts: int,
    replicas: int,
    name: str = "record.txt",
) -> None:
    """Runs a case and ends the process with its result.

    Args:
      case: Path of the script; the record is written beside it.
      check: Plays the case; returns HELD, BROKEN or NOT_RUN.
      hosts: Number of entry hosts.
      replicas: Number of backend servers of each service.
      name: Name of the record.
    """
    record = Record(path=pathlib.Path(case).resolve().parent / name)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    try:
        result = asyncio.run(_run(record, folder, check, hosts, replicas))
    except BaseException:
        record.write("the case could not run:\n" + traceback.format_exc())
        result = NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record.write(f"result: {('held', 'broken', 'not run')[result]}")
    record.close()
    sys.exit(result)


async def _run(
    record: Record,
    folder: pathlib.Path,
    check: Callable[[Deployment], Awaitable[int]],
    hosts: int,
    replicas: int,
) -> int:
    """Starts a deployment, plays the case and ends all processes."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    deployment = Deployment(
        record=record, folder=folder, hosts=hosts, replicas=replicas
    )
    try:
        async with asyncio.timeout(MAX_DURATION_S):
            await deployment.start()
            return await check(deployment)
    finally:
        await deployment.stop()
