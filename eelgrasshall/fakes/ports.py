"""Reserves neighbouring free ports on the loopback address.

Test processes run beside each other and beside other programs, so tests use no
fixed port numbers.  A host of the product needs several neighbouring ports,
which the system does not give at once; a range is therefore taken below the
range from which the system takes the ports of outgoing connections.

Two processes that choose at the same moment get different ranges: each port
that is reserved is locked, as the byte of a common file at that position, until
the reservation ends or the process does.
"""

import fcntl
import os
import pathlib
import random
import socket
import tempfile
import threading
from types import TracebackType
from typing import Self

_OUTGOING_RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
# The default of Linux, for systems without that file; others begin higher.
_DEFAULT_OUTGOING_FIRST = 32768
_DEFAULT_OUTGOING_LAST = 60999
# Well-known services listen on lower ports.
_MIN_PORT = 10000
# Earlier versions of the tests, which may run beside this one, use fixed ports
# from 18100 on.
_FIXED_PORTS_FIRST = 18000
_MAX_PORT = 65535


class NoFreePorts(Exception):
    """There are not as many free neighbouring ports as are needed."""


class PortRange:
    """Neighbouring ports that no other range of any process has.

    The ports are free for TCP and UDP when the range is made.

    Attributes:
      first: The first port.
      count: The number of ports.

    Args:
      count: The number of ports.

    Raises:
      NoFreePorts: There are not as many free neighbouring ports.
    """

    def __init__(self, *, count: int):
        self.count = count
        self.first = _locks.acquire(count)
        self._released = False

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def release(self) -> None:
        """Ends the reservation; has no effect when called again."""
        if not self._released:
            self._released = True
            _locks.release(self.first, self.count)


class _Locks:
    """The locks of this process on the common file.

    Locks of the system belong to a process, so that ranges of the same process
    do not exclude each other by them; these are kept in a set as well.

    Args:
      path: The common file; it is made if it is missing.
    """

    def __init__(self, *, path: pathlib.Path):
        self._path = path
        self._mutex = threading.Lock()
        self._held: set[int] = set()
        # Closing any descriptor of the file would end all locks of the process,
        # so there is one, which stays open.
        self._file: int | None = None

    def acquire(self, count: int) -> int:
        """Locks free neighbouring ports and returns the first.

        Raises:
          NoFreePorts: There are not as many free neighbouring ports.
        """
        low, high = _find_bounds()
        # From a random port on, so that ports seldom follow their last use
        # closely, when connections of it may still be open.
        begin = random.SystemRandom().randint(low, high)
        with self._mutex:
            for begin_port, end_port in (
                (begin, high),
                (low, min(begin + count - 2, high)),
            ):
                first = self._acquire_between(begin_port, end_port, count)
                if first is not None:
                    return first
        raise NoFreePorts(f"no {count} neighbouring ports of {low}-{high} free")

    def release(self, first: int, count: int) -> None:
        """Unlocks ports."""
        with self._mutex:
            self._unlock(range(first, first + count))

    def _acquire_between(
        self, begin_port: int, end_port: int, count: int
    ) -> int | None:
        """Locks the first neighbouring free ports; returns the first of them.

        It is None if there are not as many between two ports, which count.
        """
        first = begin_port
        for port in range(begin_port, end_port + 1):
            if not self._try_lock(port):
                self._unlock(range(first, port))
                first = port + 1
            elif port + 1 - first == count:
                return first
        self._unlock(range(first, end_port + 1))
        return None

    def _try_lock(self, port: int) -> bool:
        """Locks a port if it is free; returns whether it is."""
        if port in self._held:
            return False
        try:
            fcntl.lockf(self._open(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except (BlockingIOError, PermissionError):
            return False
        self._held.add(port)
        if _is_free(port):
            return True
        self._unlock(range(port, port + 1))
        return False

    def _unlock(self, ports: range) -> None:
        """Unlocks ports, if there are any."""
        if ports:
            self._held.difference_update(ports)
            fcntl.lockf(self._open(), fcntl.LOCK_UN, len(ports), ports[0])

    def _open(self) -> int:
        """Returns the descriptor of the common file."""
        if self._file is None:
            self._file = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
        return self._file


_locks = _Locks(
    path=pathlib.Path(tempfile.gettempdir())
    / f"eelgrasshall-ports-{os.getuid()}"
)


def _find_bounds() -> tuple[int, int]:
    """Returns the first and the last port that may be reserved.

    They are below or above the ports of outgoing connections, where there are
    more.
    """
    try:
        text = _OUTGOING_RANGE_FILE.read_text(encoding="ascii")
        outgoing_first, outgoing_last = map(int, text.split())
    except FileNotFoundError:
        outgoing_first = _DEFAULT_OUTGOING_FIRST
        outgoing_last = _DEFAULT_OUTGOING_LAST
    below = (_MIN_PORT, min(outgoing_first, _FIXED_PORTS_FIRST) - 1)
    above = (max(outgoing_last + 1, _MIN_PORT), _MAX_PORT)
    return max(below, above, key=lambda bounds: bounds[1] - bounds[0])


def _is_free(port: int) -> bool:
    """Returns whether servers can listen on a port for TCP and UDP.

    Earlier connections that the system still remembers don't keep servers from
    that.
    """
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as bound:
            if kind is socket.SOCK_STREAM:
                bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                bound.bind(("127.0.0.1", port))
                if kind is socket.SOCK_STREAM:
                    bound.listen()
            except OSError:
                return False
    return True
