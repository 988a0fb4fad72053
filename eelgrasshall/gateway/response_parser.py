"""Parses one HTTP/1.1 response from the bytes of a connection."""

from collections.abc import Callable
import re
from typing import NoReturn

import httptools

# How a response begins.  Within a header or the reason phrase, it shows that a
# response was cut off there and another one followed on the connection.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}(?=[ \r\n]|\Z)")
# The beginning of one, at the end of a body.
_CUT_STATUS_LINE = re.compile(rb"H(T(T(P(/(\d(\.(\d( \d{0,2})?)?)?)?)?)?)?)?\Z")
_STATUS_LINE_BYTES = len("HTTP/1.1 200")
# Reasons for which bytes are no valid response.
MALFORMED = "malformed"
OVERSIZED = "oversized"
REPEATED_HEADER = "repeated_header"
STATUS_LINE_IN_HEAD = "status_line_in_head"
RESPONSE_IN_BODY = "response_in_body"
# These state where the body ends.
_FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class InvalidResponse(ConnectionError):
    """The bytes are no valid response, or exceed a limit.

    Attributes:
      reason: Why, as a word for logs and counters; a constant of this module.
    """

    def __init__(self, message: str, *, reason: str = MALFORMED):
        super().__init__(message)
        self.reason = reason


class ResponseParser:
    """Collects one response; interim responses are skipped.

    Args:
      max_head_bytes: Maximum size of the head, bytes.
      get_max_body_bytes: Returns the maximum size of the body at present,
        bytes.
      unique_headers: Names, in lower case, of headers that a response may have
        once at most, beside those that state the length of its body.
      has_body: Whether a body may follow the head, whatever the head states.

    Attributes:
      complete: Whether the response has ended.
      keeps_open: Whether the connection stays open after the response.
      has_extra: Whether bytes followed that do not belong to the response.
      status: The HTTP status; 0 before the end of the head.
      headers: The headers, with names as received; without trailers.
      body_bytes: Size of the part of the body that has arrived.
    """

    def __init__(
        self,
        *,
        max_head_bytes: int,
        get_max_body_bytes: Callable[[], int],
        unique_headers: frozenset[bytes] = frozenset(),
        has_body: bool = True,
    ):
        self.complete = False
        self.keeps_open = False
        self.has_extra = False
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_bytes = 0
        self._max_head_bytes = max_head_bytes
        self._get_max_body_bytes = get_max_body_bytes
        self._has_body = has_body
        self._unique_headers = unique_headers | _FRAMING_HEADERS
        self._seen_headers: set[bytes] = set()
        self._reason_phrase = b""
        self._fault: InvalidResponse | None = None
        # Not a list of fragments: each small one would take several times its
        # size.
        self._body = bytearray()
        self._received_bytes = 0
        self._trailer_bytes = 0
        self._parser = httptools.HttpResponseParser(self)

    @property
    def body(self) -> bytes:
        """The body, as far as it has arrived."""
        return bytes(self._body)

    def feed(self, data: bytes) -> None:
        """Parses the next bytes.

        Raises:
          InvalidResponse: The bytes are no valid response, or exceed a limit.
        """
        if self.complete:
            self.has_extra = True
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if not self.complete:
                fault = self._fault or InvalidResponse(
                    f"invalid response: {error}"
                )
                raise fault from error
            self.has_extra = True
        if self.complete:
            self._check_body()
        elif self._is_too_long():
            raise InvalidResponse("response too large", reason=OVERSIZED)

    def end(self) -> None:
        """Notes the end of the connection.

        It completes a response that has a whole head which states no length.

        Raises:
          InvalidResponse: The body may have another response at its end.
        """
        if self.complete or not self.status or self._is_framed:
            return
        self.complete = True
        self.keeps_open = False
        self._check_body()

    @property
    def _is_framed(self) -> bool:
        """Whether the head states where the body ends."""
        return not self._seen_headers.isdisjoint(_FRAMING_HEADERS)

    def _check_body(self) -> None:
        """Looks for another response in the body of a whole response.

        If a response was cut off and another one followed, the beginning of
        that is in the body.  A text about HTTP has no header that the user of
        the parser has named.  It may end with a status line, which counts only
        if bytes follow the body, or with the end of the line.

        Raises:
          InvalidResponse: There seems to be another response.
        """
        body = self.body
        starts = [match.start() for match in _STATUS_LINE.finditer(body)]
        is_cut = self.has_extra and _CUT_STATUS_LINE.search(
            body[-_STATUS_LINE_BYTES:]
        )
        if starts and not is_cut:
            text = body[starts[0] :].lower()
            names = self._unique_headers - _FRAMING_HEADERS
            end = body[starts[-1] : starts[-1] + self._max_head_bytes]
            is_cut = any(b"\n%s:" % name in text for name in names) or (
                (self.has_extra or not self._is_framed or b"\r\n" in end)
                and _is_unfinished_head(end)
            )
        if is_cut:
            self.complete = False
            raise InvalidResponse(
                "response within a body", reason=RESPONSE_IN_BODY
            )

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Notes that another response follows."""
        if self.complete:
            self.has_extra = True

    def on_status(self, data: bytes) -> None:
        """Adds to the reason phrase."""
        if not self.complete:
            self._reason_phrase += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; a trailer is only checked.

        Raises:
          InvalidResponse: The header shows that two responses were joined, or
            the trailers exceed the limit of a head.
        """
        if self.complete:
            return
        self._check_text(value)
        if self.status:
            self._trailer_bytes += len(name) + len(value)
            if self._trailer_bytes > self._max_head_bytes:
                self._reject("trailers too large", OVERSIZED)
            return
        lower_name = name.lower()
        if lower_name in self._unique_headers:
            if lower_name in self._seen_headers:
                self._reject(
                    f"repeated header {lower_name.decode('latin-1')}",
                    REPEATED_HEADER,
                )
            self._seen_headers.add(lower_name)
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Notes the end of the head, unless it is that of an interim one.

        Raises:
          InvalidResponse: The reason phrase holds a status line.
        """
        if not self.complete:
            self._check_text(self._reason_phrase)
        status = self._parser.get_status_code()
        if status >= 200 and not self.complete:
            self.status = status
            if not self._has_body:
                self.complete = True
                self.keeps_open = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Appends a fragment of the body.

        Raises:
          InvalidResponse: The body exceeds the limit.
        """
        if self.complete:
            self.has_extra = True
            return
        self.body_bytes += len(data)
        if self.body_bytes > self._get_max_body_bytes():
            self._reject("response too large", OVERSIZED)
        self._body += data

    def on_message_complete(self) -> None:
        """Notes the end of the response; skips interim ones."""
        if self.complete:
            return
        if not self.status:
            self.headers = []
            self._seen_headers.clear()
            self._reason_phrase = b""
            return
        self.complete = True
        self.keeps_open = self._parser.should_keep_alive()

    def _check_text(self, text: bytes) -> None:
        """Rejects a header's value or a reason phrase with a status line."""
        if _STATUS_LINE.search(text):
            self._reject("status line within a head", STATUS_LINE_IN_HEAD)

    def _reject(self, message: str, reason: str) -> NoReturn:
        """Ends the parsing; `feed` raises the error.

        The parser wraps what its callbacks raise.
        """
        self._fault = InvalidResponse(message, reason=reason)
        raise self._fault

    def _is_too_long(self) -> bool:
        """Returns whether the response exceeds a limit, framing included."""
        limit = self._max_head_bytes
        if self.status:
            limit += self._get_max_body_bytes()
        return self._received_bytes > limit


class _HeadEnd:
    """A receiver of a parser's callbacks that notes the end of the head."""

    def __init__(self):
        self.seen = False

    def on_headers_complete(self) -> None:
        """Notes the end of the head."""
        self.seen = True


def _is_unfinished_head(data: bytes) -> bool:
    """Returns whether data is the beginning of a head, without its end."""
    head_end = _HeadEnd()
    try:
        httptools.HttpResponseParser(head_end).feed_data(data)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return False
    return not head_end.seen
