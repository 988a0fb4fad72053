"""Length-prefixed frames on a byte stream."""

import asyncio
import struct

# Room for a batch of many results; a configuration takes up to a megabyte.
MAX_FRAME_BYTES = 32 * 1024 * 1024

_LENGTH = struct.Struct(">I")
HEADER_BYTES = _LENGTH.size


def write(writer: asyncio.StreamWriter, frame: bytes) -> None:
    """Appends a frame to the send buffer."""
    writer.write(_LENGTH.pack(len(frame)) + frame)


async def read(reader: asyncio.StreamReader) -> bytes | None:
    """Reads the next frame.

    Returns:
      The frame, or None at the end of the stream.

    Raises:
      ValueError: The frame is longer than allowed.
      OSError: The connection failed.
    """
    try:
        header = await reader.readexactly(HEADER_BYTES)
        (length,) = _LENGTH.unpack(header)
        if length > MAX_FRAME_BYTES:
            raise ValueError(f"frame of {length} bytes exceeds the size limit")
        return await reader.readexactly(length)
    except asyncio.IncompleteReadError:
        return None
