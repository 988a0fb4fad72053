"""Free ports of the loopback address that follow each other."""

import contextlib
import random as random_module
import socket

# Below those of outgoing connections, which the system keeps for a minute after
# their end, and above those that other tests name.
_FIRST_PORT = 31000
_LAST_PORT = 32767
# Most ranges that are tried.
_MAX_TRIES = 200


def reserve_ports(count: int) -> tuple[int, contextlib.ExitStack]:
    """Reserves ports that follow each other.

    Another reservation does not get them.  Listeners that allow their address
    to be reused, as those of asyncio do, can be bound to them, also those of
    other processes: a port on which nothing listens is not safe from these.

    Args:
      count: Number of ports.

    Returns:
      The first port, and what ends the reservation when it is closed.

    Raises:
      OSError: No such range was found.
    """
    # Two runs at the same time must not try the same ranges.
    random = random_module.SystemRandom()
    for _ in range(_MAX_TRIES):
        first = random.randint(_FIRST_PORT, _LAST_PORT + 1 - count)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    _bind(stack, port)
            except OSError:
                continue
            return first, stack.pop_all()
    raise OSError(f"no {count} free ports that follow each other")


def _bind(stack: contextlib.ExitStack, port: int) -> None:
    """Binds a socket until the stack is closed.

    Another one may be bound to the port beside it until one of them listens, so
    a reservation is recognized by a socket that does not allow that.

    Raises:
      OSError: The port is in use.
    """
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            probe.bind(("127.0.0.1", port))
    reserved = stack.enter_context(socket.socket())
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", port))
