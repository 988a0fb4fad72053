"""Parses one HTTP/1.1 response from the bytes of a connection."""

from collections.abc import Callable
import re
from typing import NoReturn

import httptools

# How a response begins.  Within a header or the reason phrase, it shows that a
# response was cut off there and another one followed on the connection.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
# Reasons for which bytes are no valid response.
MALFORMED = "malformed"
OVERSIZED = "oversized"
REPEATED_HEADER = "repeated_header"
STATUS_LINE_IN_HEAD = "status_line_in_head"
RESPONSE_IN_BODY = "response_in_body"
# Status lines in a body that are looked at; a body with more is rejected.
MAX_STATUS_LINES = 256
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
    ):
        self.complete = False
        self.keeps_open = False
        self.has_extra = False
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_bytes = 0
        self._max_head_bytes = max_head_bytes
        self._get_max_body_bytes = get_max_body_bytes
        self._unique_headers = unique_headers | _FRAMING_HEADERS
        self._seen_headers: set[bytes] = set()
        self._reason_phrase = b""
        self._fault: InvalidResponse | None = None
        self._body: list[bytes] = []
        self._received_bytes = 0
        self._trailer_bytes = 0
        self._parser = httptools.HttpResponseParser(self)

    @property
    def body(self) -> bytes:
        """The body, as far as it has arrived."""
        return b"".join(self._body)

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
        if not self.complete and self._is_too_long():
            raise InvalidResponse("response too large", reason=OVERSIZED)

    def end(self) -> None:
        """Notes the end of the connection.

        It completes a response that has a whole head which states no length.

        Raises:
          InvalidResponse: The body may have another response at its end.
        """
        framed = not self._seen_headers.isdisjoint(_FRAMING_HEADERS)
        if self.complete or not self.status or framed:
            return
        if self._holds_response():
            raise InvalidResponse(
                "response within a body", reason=RESPONSE_IN_BODY
            )
        self.complete = True
        self.keeps_open = False

    def _holds_response(self) -> bool:
        """Returns whether the body seems to contain another response.

        That is a head which has one of the headers that the user of the parser
        has named, so that a text about HTTP is none, or which the body breaks
        off.
        """
        body = self.body
        names = self._unique_headers - _FRAMING_HEADERS
        for count, match in enumerate(_STATUS_LINE.finditer(body)):
            head = _Head(unique_headers=names)
            head.feed(
                body[match.start() : match.start() + self._max_head_bytes]
            )
            if head.is_suspect or count >= MAX_STATUS_LINES:
                return True
        return False

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

    def on_body(self, data: bytes) -> None:
        """Appends a fragment of the body.

        Raises:
          InvalidResponse: The body exceeds the limit.
        """
        if self.complete:
            return
        self.body_bytes += len(data)
        if self.body_bytes > self._get_max_body_bytes():
            self._reject("response too large", OVERSIZED)
        self._body.append(data)

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


class _Head:
    """Tells whether bytes begin with the head of a response, or a part of it.

    Args:
      unique_headers: Names, in lower case, of headers that show that it is the
        head of a response.
    """

    def __init__(self, *, unique_headers: frozenset[bytes]):
        self._unique_headers = unique_headers
        self._parser = httptools.HttpResponseParser(self)
        self._is_whole = False
        self._is_valid = True
        self._names: set[bytes] = set()

    @property
    def is_suspect(self) -> bool:
        """Whether the bytes are a part of a head, or one with such a header."""
        if self._is_whole:
            return not self._names.isdisjoint(self._unique_headers)
        return self._is_valid

    def feed(self, data: bytes) -> None:
        """Parses the bytes."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_valid = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores the name of a header."""
        del value
        if not self._is_whole:
            self._names.add(name.lower())

    def on_headers_complete(self) -> None:
        """Notes the end of the head."""
        self._is_whole = True
