"""Child processes of a run: started, read, stopped by process id, no others.

Each child's standard error goes to a file under `out/`.  `Children.stop`
ends every child, also after an interrupt, and waits for each.
"""

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import socket
import sys
from typing import Any

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
READ_LIMIT = 1 << 24
LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000


class StartError(Exception):
    """A child ended, or said nothing in time, instead of becoming ready."""


class Child:
    """One running process.

    Args:
      name: Its name in logs.
      process: The process.
      log_path: Where its standard error goes.
    """

    def __init__(
        self,
        *,
        name: str,
        process: asyncio.subprocess.Process,
        log_path: pathlib.Path,
    ):
        self.name = name
        self.process = process
        self.log_path = log_path
        self.ready: dict[str, Any] = {}

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless it has ended."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> bool:
        """Waits for its end; returns whether it ended in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        except TimeoutError:
            return False
        return True

    def read_log_end(self) -> str:
        """Returns the last lines of its standard error."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-15:])


class Children:
    """All processes of one run.

    Args:
      directory: Where specifications and logs go.
    """

    def __init__(self, *, directory: pathlib.Path):
        self._directory = directory
        directory.mkdir(parents=True, exist_ok=True)
        self._children: list[Child] = []
        self._readers: set[asyncio.Task[None]] = set()

    async def start(self, name: str, module: str, spec: Any) -> Child:
        """Starts `python -m MODULE SPEC.json` and waits for its ready line.

        Raises:
          StartError: It did not become ready.
        """
        spec_path = self._directory / f"{name}.json"
        spec_path.write_text(json.dumps(spec), encoding="utf-8")
        log_path = self._directory / f"{name}.log"
        with log_path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                str(spec_path),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=READ_LIMIT,
                # Ctrl-C reaches this process alone, which stops the others.
                start_new_session=True,
            )
        child = Child(name=name, process=process, log_path=log_path)
        self._children.append(child)
        child.ready = await _read_ready(child)
        # A child that prints more must not block on a full pipe.
        reader = asyncio.create_task(_drop_output(process))
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)
        return child

    async def stop(self) -> list[str]:
        """Ends every child.

        Returns:
          Names of those that had to be killed.
        """
        for child in self._children:
            child.send_signal(signal.SIGCONT)
            child.send_signal(signal.SIGTERM)
        killed = []
        for child in self._children:
            if await child.wait(STOP_TIMEOUT_S):
                continue
            killed.append(child.name)
            child.send_signal(signal.SIGKILL)
            await child.process.wait()
        self._children.clear()
        return killed


async def _read_ready(child: Child) -> dict[str, Any]:
    """Reads the ready line of a child.

    Raises:
      StartError: It ended first, or took too long.
    """
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while line := await child.process.stdout.readline():
                if line.startswith(b"{"):
                    return json.loads(line)
    except TimeoutError:
        raise StartError(
            f"{child.name}: It was not ready in {READY_TIMEOUT_S:.0f} s.\n"
            f"{child.read_log_end()}"
        ) from None
    await child.wait(1.0)
    raise StartError(
        f"{child.name}: It ended at its start.\n{child.read_log_end()}"
    )


async def _drop_output(process: asyncio.subprocess.Process) -> None:
    """Reads and drops what a process prints after its ready line."""
    while await process.stdout.read(1 << 16):
        pass


def pick_ports(count: int) -> list[int]:
    """Returns TCP ports of the loopback that are free now.

    They lie below the range from which the system takes ports for outgoing
    connections, so that none is taken before its daemon listens.
    """
    ports: list[int] = []
    source = random.SystemRandom()
    while len(ports) < count:
        port = source.randint(LOWEST_PORT, HIGHEST_PORT)
        with socket.socket() as bound:
            try:
                bound.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports
