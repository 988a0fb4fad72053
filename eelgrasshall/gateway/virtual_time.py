"""An event loop in virtual time, for simulations in tests.

Its clock jumps to the next timer whenever nothing is ready to run, so that
seconds of simulated time take as long as their computations.
"""

import asyncio
from collections.abc import Callable
import selectors
from typing import Protocol


class Endpoint(Protocol):
    """Something in the simulation that accepts connections."""

    async def accept(self, protocol: asyncio.Protocol) -> asyncio.Transport:
        """Opens a connection and returns its transport."""


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when all is idle."""

    def __init__(self):
        self._now_s = 0.0
        self._endpoints: dict[tuple[str, int], Endpoint] = {}
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def advance(self, duration_s: float) -> None:
        """Advances the clock."""
        self._now_s += duration_s

    def add_endpoint(
        self, address: tuple[str, int], endpoint: Endpoint
    ) -> None:
        """Makes connections to an address reach an endpoint."""
        self._endpoints[address] = endpoint

    async def create_connection(
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        host: str | None = None,
        port: int | None = None,
        **kwargs: object,
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connects a protocol to the endpoint at an address."""
        protocol = protocol_factory()
        transport = await self._endpoints[(host, port)].accept(protocol)
        protocol.connection_made(transport)
        return transport, protocol


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances the clock of its loop instead of waiting."""

    def __init__(self, loop: VirtualTimeLoop):
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list:
        """Returns no events; advances the clock by the time-out."""
        if timeout is None:
            raise RuntimeError("the simulation waits for nothing")
        if timeout > 0:
            self._loop.advance(timeout)
        return []
