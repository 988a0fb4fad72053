"""Tickets, which identify requests that may run at most once.

A ticket names its home host, the incarnation of that host that alone may run
the request, an expiry time and a nonce.  Address answers contain a ticket
prefix, which lacks the last field; the caller appends a value of its own that
it uses for one request only.  Hosts keep state only for tickets that have been
used, not for those issued.
"""

from typing import NamedTuple
import urllib.parse

MAX_OWN_PART_CHARS = 64
_SEPARATOR = "~"
_FORMAT = "t1"


class Ticket(NamedTuple):
    """The fields of a ticket.

    Attributes:
      home: Name of the only host that may run the request.
      incarnation: Incarnation of that host.
      expires_at: Expiry in seconds since the Unix epoch; the request does not
        run afterwards.
      nonce: Random text chosen by the issuer.
      own_part: The value appended by the caller; empty in a prefix.
    """

    home: str
    incarnation: int
    expires_at: int
    nonce: str
    own_part: str


def format_ticket(ticket: Ticket) -> str:
    """Returns a ticket as text, or a prefix if `own_part` is empty."""
    home = urllib.parse.quote(ticket.home, safe="").replace("~", "%7E")
    fields = (
        _FORMAT,
        home,
        str(ticket.incarnation),
        str(ticket.expires_at),
        ticket.nonce,
        ticket.own_part,
    )
    return _SEPARATOR.join(fields)


def parse_ticket(text: str) -> Ticket | None:
    """Parses a ticket; returns None for a prefix or malformed text."""
    fields = text.split(_SEPARATOR)
    if len(fields) != 6 or fields[0] != _FORMAT:
        return None
    _, home, incarnation, expires_at, nonce, own_part = fields
    if not (incarnation.isdecimal() and expires_at.isdecimal()):
        return None
    if not (home and nonce and 0 < len(own_part) <= MAX_OWN_PART_CHARS):
        return None
    return Ticket(
        home=urllib.parse.unquote(home),
        incarnation=int(incarnation),
        expires_at=int(expires_at),
        nonce=nonce,
        own_part=own_part,
    )
