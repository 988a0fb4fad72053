"""Parses one HTTP/1.1 response from the bytes of a connection."""

from collections.abc import Callable

import httptools


class InvalidResponse(ConnectionError):
    """The bytes are no valid response, or exceed a limit."""


class ResponseParser:
    """Collects one response; interim responses are skipped.

    Args:
      max_head_bytes: Maximum size of the head, bytes.
      get_max_body_bytes: Returns the maximum size of the body at present,
        bytes.

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
    ):
        self.complete = False
        self.keeps_open = False
        self.has_extra = False
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_bytes = 0
        self._max_head_bytes = max_head_bytes
        self._get_max_body_bytes = get_max_body_bytes
        self._body: list[bytes] = []
        self._received_bytes = 0
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
                raise InvalidResponse(f"invalid response: {error}") from error
            self.has_extra = True
        if not self.complete and self._is_too_long():
            raise InvalidResponse("response too large")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Notes that another response follows."""
        if self.complete:
            self.has_extra = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        if not self.status:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Notes the end of the head, unless it is that of an interim one."""
        status = self._parser.get_status_code()
        if status >= 200 and not self.complete:
            self.status = status

    def on_body(self, data: bytes) -> None:
        """Appends a fragment of the body.

        Raises:
          ValueError: The body exceeds the limit.
        """
        if self.complete:
            return
        self.body_bytes += len(data)
        if self.body_bytes > self._get_max_body_bytes():
            raise ValueError("response too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Notes the end of the response; skips interim ones."""
        if self.complete:
            return
        if not self.status:
            self.headers = []
            return
        self.complete = True
        self.keeps_open = self._parser.should_keep_alive()

    def _is_too_long(self) -> bool:
        """Returns whether the response exceeds a limit, framing included."""
        limit = self._max_head_bytes
        if self.status:
            limit += self._get_max_body_bytes()
        return self._received_bytes > limit
