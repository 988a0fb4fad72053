"""An event loop in virtual time, for simulations in tests.

Its clock jumps to the next timer whenever nothing is ready to run, so that
seconds of simulated time take as long as their computations.
"""

import asyncio
from collections.abc import Callable
import contextvars
import heapq
import itertools
import selectors
from typing import Any
from typing import Protocol


class Endpoint(Protocol):
    """Something in the simulation that accepts connections."""

    async def accept(self, protocol: asyncio.Protocol) -> asyncio.Transport:
        """Opens a connection and returns its transport."""


class _Timer(asyncio.TimerHandle):
    """A timer that runs after those for the same time that are older."""

    __slots__ = ("_sequence",)

    def __init__(self, *args: Any, sequence: int):
        super().__init__(*args)
        self._sequence = sequence

    def __lt__(self, other: "_Timer") -> bool:
        return (self.when(), self._sequence) < (other.when(), other._sequence)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when all is idle.

    Timers for the same time run in the order in which they were made.  In the
    loops of asyncio their order depends on which other timers there are, and
    with that on the release of Python: simulations took another course with
    each.
    """

    def __init__(self):
        self._now_s = 0.0
        self._sequence = itertools.count()
        self._endpoints: dict[tuple[str, int], Endpoint] = {}
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def advance(self, duration_s: float) -> None:
        """Advances the clock."""
        self._now_s += duration_s

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Calls back at a time, after all calls made before for that time."""
        timer = _Timer(
            when, callback, args, self, context, sequence=next(self._sequence)
        )
        # As the method of the base class does, with another kind of timer.
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

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
