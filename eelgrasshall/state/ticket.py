"""Tickets: names for requests that may run at most once.

A ticket names its home host and the incarnation of it that alone may run the
request, the time until which it may run, and a nonce.  An address answer
gives the ticket without its last part; the caller appends a part of its own
that it uses for one request.  No host keeps anything for a ticket that was
issued, only for one that was used.
"""

from typing import NamedTuple
import urllib.parse

MAX_OWN_PART_CHARS = 64
_SEPARATOR = "~"
_FORM = "t1"


class Ticket(NamedTuple):
    """A ticket as read.

    Attributes:
      home: Name of the host that alone may run the request.
      incarnation: The incarnation of that host.
      expires_at: Seconds since the Unix epoch after which it never runs.
      nonce: Random text of the issuer.
      own_part: The caller's own part; empty in a prefix.
    """

    home: str
    incarnation: int
    expires_at: int
    nonce: str
    own_part: str


def format_ticket(ticket: Ticket) -> str:
    """Returns the text of a ticket, or of a prefix without an own part."""
    home = urllib.parse.quote(ticket.home, safe="").replace("~", "%7E")
    fields = (
        _FORM,
        home,
        str(ticket.incarnation),
        str(ticket.expires_at),
        ticket.nonce,
        ticket.own_part,
    )
    return _SEPARATOR.join(fields)


def parse_ticket(text: str) -> Ticket | None:
    """Reads a ticket; gives None for a prefix and for anything else."""
    fields = text.split(_SEPARATOR)
    if len(fields) != 6 or fields[0] != _FORM:
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
