"""HTTP messages between callers, this host and backend servers.

Heads are put together as bytes.  What concerns one connection only is never
passed on, and what the gateway sets itself replaces what a caller sent.
"""

import enum
import hashlib
from typing import NamedTuple

from eelgrasshall.gateway import model

_Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Request(NamedTuple):
    """A caller's request, whole.

    Attributes:
      method: The method.
      target: The request target as sent, with its query.
      headers: All headers, names as sent.
      body: The body.
      received_s: Monotonic time at which its first byte was read, seconds.
    """

    method: bytes
    target: bytes
    headers: _Headers
    body: bytes
    received_s: float

    def find(self, name: bytes) -> bytes | None:
        """Returns the first header of a name in lower case, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """The host without its port, in lower case."""
        value = self.find(b"host") or b""
        return value.decode("latin-1").rsplit(":", 1)[0].strip().lower()


class Reply(NamedTuple):
    """A complete response of a backend server.

    Attributes:
      status: The HTTP status.
      headers: All headers, names as sent.
      body: The body.
      seal: The server's signature, or None.
      not_run: Whether the server states that it did not run the request.
    """

    status: int
    headers: _Headers
    body: bytes
    seal: bytes | None
    not_run: bool

    @property
    def succeeded(self) -> bool:
        """Whether this is a signed success."""
        return 200 <= self.status < 300 and self.seal is not None


class FailureKind(enum.Enum):
    """Why an attempt has no response; only `UNREACHED` is certainly not run."""

    UNREACHED = "unreached"
    LOST = "lost"
    GARBLED = "garbled"
    TIMED_OUT = "timed_out"


class Failure(NamedTuple):
    """An attempt that ended without a complete response."""

    kind: FailureKind

    @property
    def not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self.kind is FailureKind.UNREACHED


def encode_request_head(request: Request, names: model.HeaderNames) -> bytes:
    """Returns the part of a head that is the same for all attempts."""
    named = {
        token.strip().lower()
        for key, value in request.headers
        if key.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP | named | {names.time_budget, names.target}
    kept = [
        b"%s: %s\r\n" % (key, value)
        for key, value in request.headers
        if key.lower() not in dropped or key.lower() == names.request_id
    ]
    start = b"%s %s HTTP/1.1\r\n" % (request.method, request.target)
    return start + b"".join(kept)


def encode_attempt(
    *,
    head: bytes,
    body: bytes,
    method: bytes,
    names: model.HeaderNames,
    left_s: float,
    server_id: str,
) -> bytes:
    """Returns one attempt as the bytes to send."""
    lines = b"%s: %d\r\n%s: %s\r\n" % (
        names.time_budget,
        int(left_s * 1000),
        names.target,
        server_id.encode(),
    )
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines += b"Content-Length: %d\r\n" % len(body)
    return head + lines + b"\r\n" + body


def encode_response(
    status: int,
    body: bytes = b"",
    headers: _Headers | None = None,
    *,
    closing: bool = False,
) -> bytes:
    """Returns a response as the bytes to send.

    Args:
      status: The HTTP status.
      body: The body.
      headers: Headers; those that concern a connection are left out.
      closing: Whether the connection closes after it.
    """
    reason = _REASONS.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
    lines += [
        b"%s: %s\r\n" % (key, value)
        for key, value in headers or ()
        if key.lower() not in _HOP_BY_HOP
    ]
    if closing:
        lines.append(b"Connection: close\r\n")
    lines.append(b"Content-Length: %d\r\n\r\n" % len(body))
    return b"".join(lines) + body


def compute_fingerprint(request: Request) -> str:
    """Returns what stays the same when a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=8)
    for piece in (request.method, request.host.encode(), request.target):
        digest.update(piece + b"\0")
    digest.update(request.body)
    return digest.hexdigest()
