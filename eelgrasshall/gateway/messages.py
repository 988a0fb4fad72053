"""HTTP/1.1 messages between callers, this host and backend servers.

Messages are encoded as bytes.  Hop-by-hop headers are never forwarded, and
headers that the gateway sets replace those of the caller.
"""

import enum
import hashlib
from typing import NamedTuple

from eelgrasshall.gateway import model

_Headers = list[tuple[bytes, bytes]]

# Marks a request that another entry host passes on; the value is the name of
# that host.  Never sent to backend servers.
RELAYED = b"eelgrasshall-relayed"
# Marks a relayed request of a workspace instead of `RELAYED`; the value is the
# name of the workspace.  Hosts of the previous build do not know this mark and
# answer 404 without running the request, which they would send without a name.
RELAYED_WORKSPACE = b"eelgrasshall-relayed-workspace"
# Limits what the name adds to the headers of a request.
MAX_WORKSPACE_NAME_LENGTH = 256

_HOP_BY_HOP_HEADERS = frozenset(
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

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Request(NamedTuple):
    """A complete request of a caller.

    Attributes:
      method: The HTTP method.
      target: The request target as received, including the query.
      headers: All headers, with names as received.
      body: The body.
      received_s: Monotonic time at which the first byte was read, seconds.
    """

    method: bytes
    target: bytes
    headers: _Headers
    body: bytes
    received_s: float

    def get_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None.

        Args:
          name: The name in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """The host of the Host header without the port, in lower case."""
        value = self.get_header(b"host") or b""
        return value.decode("latin-1").rsplit(":", 1)[0].strip().lower()


class Reply(NamedTuple):
    """A complete response of a backend server.

    Attributes:
      status: The HTTP status.
      headers: All headers, with names as received.
      body: The body.
      seal: The server's signature, or None.
      not_run: Whether the server states that it did not run the request.
      leaving: Whether the server states that it is about to stop.
      retry_after: The value of its Retry-After header, or None.
      rate_limits: The values of its rate limit headers.
      earlier_requests: Requests that its connection carried before.
    """

    status: int
    headers: _Headers
    body: bytes
    seal: bytes | None
    not_run: bool
    leaving: bool = False
    retry_after: bytes | None = None
    rate_limits: tuple[bytes, ...] = ()
    earlier_requests: int = 0

    @property
    def succeeded(self) -> bool:
        """Whether the response has a 2xx status and a signature."""
        return 200 <= self.status < 300 and bool(self.seal)


class FailureKind(enum.Enum):
    """Why an attempt has no response.

    Only an attempt with `NOT_SENT` has certainly not run.
    """

    NOT_SENT = "unreached"
    CONNECTION_LOST = "lost"
    INVALID_RESPONSE = "garbled"
    TIMED_OUT = "timed_out"


class Failure(NamedTuple):
    """An attempt that ended without a complete response.

    Attributes:
      kind: Why it ended.
      silent: Whether the server did not close the lost connection itself.
    """

    kind: FailureKind
    silent: bool = False

    @property
    def not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self.kind is FailureKind.NOT_SENT


def select_end_to_end_headers(
    headers: _Headers, *, removed: frozenset[bytes], kept: bytes
) -> _Headers:
    """Returns the headers that are not hop-by-hop.

    Args:
      headers: The headers of a request or a response.
      removed: Names of further headers to leave out, in lower case.
      kept: Name of a header that stays though it may be named as a connection
        option, in lower case.
    """
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for token in value.split(b",")
    }
    removed = _HOP_BY_HOP_HEADERS | connection_options | removed
    return [
        (key, value)
        for key, value in headers
        if key.lower() not in removed or key.lower() == kept
    ]


def remove_headers(request: Request, removed: frozenset[bytes]) -> Request:
    """Returns a request without some headers.

    Args:
      request: The request.
      removed: Names of the headers to leave out, in lower case.
    """
    return request._replace(
        headers=[
            (key, value)
            for key, value in request.headers
            if key.lower() not in removed
        ]
    )


def encode_request_head(
    request: Request,
    names: model.HeaderNames,
    workspace: model.Workspace | None = None,
) -> bytes:
    """Returns the part of the request head common to all attempts.

    Args:
      request: The request.
      names: The header names.
      workspace: The workspace whose name is added, if any.
    """
    headers = select_end_to_end_headers(
        request.headers,
        removed=frozenset(
            (names.time_budget, names.target, RELAYED, RELAYED_WORKSPACE)
        ),
        kept=names.request_id,
    )
    if workspace is not None:
        headers.append((names.workspace, workspace.name.encode()))
    header_lines = [b"%s: %s\r\n" % header for header in headers]
    request_line = b"%s %s HTTP/1.1\r\n" % (request.method, request.target)
    return request_line + b"".join(header_lines)


def encode_attempt(
    *,
    head: bytes,
    body: bytes,
    method: bytes,
    names: model.HeaderNames,
    remaining_s: float,
    server_id: str,
) -> bytes:
    """Returns an attempt as the bytes to send.

    Args:
      head: The result of `encode_request_head`.
      body: The body.
      method: The HTTP method.
      names: The header names.
      remaining_s: Seconds until the deadline.
      server_id: The only backend server that may run the request.
    """
    lines = b"%s: %d\r\n%s: %s\r\n" % (
        names.time_budget,
        int(remaining_s * 1000),
        names.target,
        server_id.encode(),
    )
    return head + lines + _encode_end(method, body)


def encode_relayed_request(
    request: Request,
    *,
    names: model.HeaderNames,
    remaining_s: float,
    relayed_by: str,
    workspace: model.Workspace | None = None,
) -> bytes:
    """Returns a caller's request as the bytes to send to another entry host.

    Args:
      request: The request.
      names: The header names.
      remaining_s: Seconds until the deadline.
      relayed_by: Name of this host.
      workspace: The workspace of the request, if any.
    """
    mark, value = RELAYED, relayed_by
    if workspace is not None:
        mark, value = RELAYED_WORKSPACE, workspace.name
    lines = b"%s: %d\r\n%s: %s\r\n" % (
        names.time_budget,
        int(remaining_s * 1000),
        mark,
        value.encode(),
    )
    head = encode_request_head(request, names)
    return head + lines + _encode_end(request.method, request.body)


def _encode_end(method: bytes, body: bytes) -> bytes:
    """Returns the end of a request: the length of its body, and the body."""
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        return b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    return b"\r\n"


def encode_head_without_upgrade(
    method: bytes, target: bytes, headers: _Headers
) -> bytes:
    """Returns a request's head without the offer to change the protocol."""
    lines = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    for key, value in headers:
        name = key.lower()
        if name == b"upgrade":
            continue
        if name == b"connection":
            tokens = [token.strip() for token in value.split(b",")]
            value = b", ".join(
                token for token in tokens if token.lower() != b"upgrade"
            )
        lines.append(b"%s: %s\r\n" % (key, value))
    return b"".join(lines) + b"\r\n"


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
      headers: The headers; hop-by-hop ones are left out.
      closing: Whether the connection is closed after the response.
    """
    reason_phrase = _REASON_PHRASES.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason_phrase)]
    lines += [
        b"%s: %s\r\n" % (key, value)
        for key, value in headers or ()
        if key.lower() not in _HOP_BY_HOP_HEADERS
    ]
    if closing:
        lines.append(b"Connection: close\r\n")
    lines.append(b"Content-Length: %d\r\n\r\n" % len(body))
    return b"".join(lines) + body


def compute_fingerprint(request: Request) -> str:
    """Returns a hash of the request that is the same for all of its tries."""
    digest = hashlib.blake2b(digest_size=8)
    for field in (request.method, request.host.encode(), request.target):
        digest.update(field + b"\0")
    digest.update(request.body)
    return digest.hexdigest()
