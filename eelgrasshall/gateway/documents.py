"""JSON documents of others: limits under which each of them can be read.

A list holds the objects of many writers.  One that no parser takes must not
make the others unreadable, and one that this host can read must be readable for
all hosts to which it is passed on.
"""

import json
import re
from typing import Any

# Deepest nesting of a document as a whole; JSON parsers give up at about a
# thousand levels, less what the stack holds already.
MAX_NESTING = 100
# Deepest nesting of one object of the store.
MAX_OBJECT_NESTING = 50
# Longest number, in characters: more digits than any value in use has.
MAX_NUMBER_LENGTH = 400

# Stands for an object that no host can use; decoders reject it.
UNREADABLE: dict[str, Any] = {}

_TOKEN = re.compile(
    r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]|[\]}]|-?[0-9][0-9.eE+-]*|[^"\[\]{}0-9-]+|.',
    re.DOTALL,
)


def parse(data: bytes) -> Any:
    """Parses a JSON document.

    Where a part exceeds a limit, null stands in its place.  Bytes that are no
    text are replaced as well.

    Raises:
      ValueError: It is no JSON document.
    """
    try:
        return json.loads(data)
    except (RecursionError, ValueError):
        text = data.decode("utf-8", errors="replace")
        return json.loads(_prune(text), strict=False)


def _prune(text: str) -> str:
    """Returns a document with null in place of what exceeds a limit."""
    parts: list[str] = []
    depth = 0
    for match in _TOKEN.finditer(text):
        token = match[0]
        if token in "[{":
            depth += 1
            if depth == MAX_NESTING + 1:
                parts.append("null")
        if depth <= MAX_NESTING:
            parts.append(token if not _is_long_number(token) else "null")
        if token in "]}":
            depth -= 1
    return "".join(parts)


def _is_long_number(token: str) -> bool:
    """Returns whether a token is a number that is too long."""
    return len(token) > MAX_NUMBER_LENGTH and token[0] in "-0123456789"


def limit_object(document: Any) -> Any:
    """Returns an object of the store, or `UNREADABLE` if it is too nested."""
    if is_nested_beyond(document, MAX_OBJECT_NESTING):
        return UNREADABLE
    return document


def is_nested_beyond(value: Any, levels: int) -> bool:
    """Returns whether a value has more levels of lists and objects."""
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return False
    return levels == 0 or any(
        is_nested_beyond(each, levels - 1)
        for each in value
        if isinstance(each, dict | list)
    )
