"""What the kernel knows of a connection."""

import asyncio
import fcntl
import termios


def has_unread_data(transport: asyncio.Transport) -> bool:
    """Returns whether the kernel holds data that has not been read yet.

    The event loop reads after it has run what is due, so that bytes may have
    arrived that the protocol has not seen.  False without a socket.
    """
    if transport.is_closing():
        return False
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    size = bytearray(4)
    fcntl.ioctl(sock.fileno(), termios.FIONREAD, size)
    return any(size)
