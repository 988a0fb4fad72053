"""Starts and stops the child processes of a run.

The standard error of each child goes to a log file.  Children are signalled by
process id only; `ChildProcesses.stop` ends every child and waits for it.
"""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
from typing import Any

from eelgrasshall.fakes import ports

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
READ_LIMIT_BYTES = 1 << 24


class StartError(Exception):
    """A child process did not become ready: it ended or timed out."""


class ChildProcess:
    """One child process.

    Args:
      name: Name in messages and file names.
      process: The process.
      log_path: File that receives its standard error.
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
        """Process id."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal unless the process has ended."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> bool:
        """Waits for the process to end; returns False on time-out."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        except TimeoutError:
            return False
        return True

    def read_log_tail(self) -> str:
        """Returns the last lines of the log file."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-15:])


class ChildProcesses:
    """All child processes of a run.

    Args:
      directory: Directory for specifications and logs.
    """

    def __init__(self, *, directory: pathlib.Path):
        self._directory = directory
        directory.mkdir(parents=True, exist_ok=True)
        self._children: list[ChildProcess] = []
        self._readers: set[asyncio.Task[None]] = set()

    async def start(self, name: str, module: str, spec: Any) -> ChildProcess:
        """Starts `python -m MODULE SPEC.json` and waits for its ready line.

        Raises:
          StartError: The child did not become ready.
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
                limit=READ_LIMIT_BYTES,
                # Ctrl-C must reach only this process, which stops its children.
                start_new_session=True,
            )
        child = ChildProcess(name=name, process=process, log_path=log_path)
        self._children.append(child)
        child.ready = await _read_ready(child)
        # Drains the pipe: a child that prints more would block once it is full.
        reader = asyncio.create_task(_discard_output(process))
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)
        return child

    async def stop(self) -> list[str]:
        """Stops every child, with SIGKILL after a time-out.

        Returns:
          Names of the children that were killed.
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


async def _read_ready(child: ChildProcess) -> dict[str, Any]:
    """Reads the ready line of a child.

    Raises:
      StartError: The child ended first or took too long.
    """
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while line := await child.process.stdout.readline():
                if line.startswith(b"{"):
                    return json.loads(line)
    except TimeoutError:
        raise StartError(
            f"{child.name}: not ready within {READY_TIMEOUT_S:.0f} s.\n"
            f"{child.read_log_tail()}"
        ) from None
    await child.wait(1.0)
    raise StartError(
        f"{child.name}: ended before it was ready.\n{child.read_log_tail()}"
    )


async def _discard_output(process: asyncio.subprocess.Process) -> None:
    """Reads and discards the output of a process after its ready line."""
    while await process.stdout.read(1 << 16):
        pass


def reserve_ports(count: int) -> list[int]:
    """Returns neighbouring free ports, reserved until this process ends.

    Raises:
      ports.NoFreePorts: There are not as many.
    """
    first = ports.PortRange(count=count).first
    return list(range(first, first + count))
