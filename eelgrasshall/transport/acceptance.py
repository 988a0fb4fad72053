"""Accepts Cap'n Proto streams under uvloop without losing early bytes.

A peer sends its first call as soon as it is connected, often before the
accepting side has begun to read.  The library then pauses reading from inside
its `get_buffer`, which asyncio permits, but uvloop goes on to call the read
callback that the pause has just removed, and the process dies of a
segmentation fault.  Here the pause is left out at that one moment: the library
keeps early bytes in its overflow buffer anyway and hands them to its first
read.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import capnp
from capnp.lib import capnp as capnp_lib


class _Transport:
    """A transport that can be told to pass over pauses."""

    def __init__(self, transport: asyncio.Transport):
        self._transport = transport
        self.passes_over_pauses = False

    def pause_reading(self) -> None:
        """Pauses reading, unless told to pass over that."""
        if not self.passes_over_pauses:
            self._transport.pause_reading()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class EarlyDataProtocol(capnp_lib._PyAsyncIoStreamProtocol):
    """The library's protocol, safe for bytes that come before a read."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the transport of a new connection."""
        super().connection_made(_Transport(transport))

    def get_buffer(self, size_hint: int) -> Any:
        """Returns the buffer for the next bytes without pausing."""
        transport = self.transport
        transport.passes_over_pauses = True
        try:
            return super().get_buffer(size_hint)
        finally:
            transport.passes_over_pauses = False


async def create_server(
    serve: Callable[[capnp.AsyncIoStream], Awaitable[None]],
    host: str,
    port: int,
) -> asyncio.AbstractServer:
    """Listens for Cap'n Proto streams.

    Args:
      serve: Serves one accepted stream until it ends.
      host: IP address.
      port: TCP port, or 0 for a free one.

    Raises:
      OSError: The address cannot be bound.
    """

    def make_protocol() -> EarlyDataProtocol:
        stream = capnp.AsyncIoStream()
        protocol = EarlyDataProtocol(serve, stream)
        stream._post_init(protocol)
        return protocol

    loop = asyncio.get_running_loop()
    return await loop.create_server(make_protocol, host, port)
