"""A server for scripted connections that leaves nothing open behind it."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib


@contextlib.asynccontextmanager
async def serve(
    handle: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
    port: int = 0,
) -> AsyncIterator[tuple[str, int]]:
    """Serves connections on the loopback address.

    At the end, handlers that still run are cancelled, and connections that they
    left open are reset.  A connection that outlives its event loop ends the
    whole run with an error on Python 3.11.

    Args:
      handle: Called with the streams of each connection.
      port: The port; 0 for any free one.

    Yields:
      The IP address and the port.
    """
    tasks: set[asyncio.Task] = set()
    writers: list[asyncio.StreamWriter] = []

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        tasks.add(task)
        writers.append(writer)
        # Cancelled below; 3.11 logs an error for a handler that ends so.
        with contextlib.suppress(asyncio.CancelledError):
            await handle(reader, writer)
        tasks.discard(task)

    server = await asyncio.start_server(run, "127.0.0.1", port)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for writer in writers:
            writer.transport.abort()
        # The loop closes the sockets in its next iteration.
        await asyncio.sleep(0)
