"""Bodies of HTTP responses, read up to a limit.

aiohttp limits heads and trailers, but reads a body to its end.
"""

import aiohttp

# Largest body of a backend server's response.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
# Largest body of the platform and of daemons: lists, events, state dumps.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


async def read(
    response: aiohttp.ClientResponse, limit: int = MAX_RESPONSE_BYTES
) -> bytes:
    """Reads the body of a response.

    Args:
      response: The response.
      limit: Largest size of the body, bytes.

    Raises:
      aiohttp.ClientError: The connection failed, or the body is longer than
        the limit; the connection cannot be used again.
      TimeoutError: The time-out of the request expired.
    """
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > limit:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"response body longer than {limit} bytes"
            )
        parts.append(part)
    return b"".join(parts)
