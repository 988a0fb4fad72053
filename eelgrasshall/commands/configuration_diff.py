"""Compares two configurations."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from eelgrasshall.state import configuration


class Change(NamedTuple):
    """One difference between two configurations.

    Attributes:
      where: Path of the changed item, such as
        `services.orders-01.orders-01-2.slots`.
      before: The old value; None if the item was added.
      after: The new value; None if the item was removed.
    """

    where: str
    before: Any
    after: Any

    def describe(self) -> str:
        """Returns the difference as one line of text."""
        if self.before is None:
            return f"+ {self.where}{_format_fields(self.after)}"
        if self.after is None:
            return f"- {self.where}"
        return f"~ {self.where}: {self.before} -> {self.after}"

    def to_plain(self) -> dict[str, Any]:
        """Returns the difference as a JSON object."""
        return configuration.to_plain(self)


def compare(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[Change]:
    """Returns the differences, ignoring version and change id."""
    changes = _compare_items("zones", before.zones, after.zones)
    changes += _compare_items("services", before.services, after.services)
    changes += _compare_items("kinds", before.kinds, after.kinds)
    return changes


def _compare_items(
    place: str, before: Iterable[Any], after: Iterable[Any]
) -> list[Change]:
    """Compares two collections of items, matched by name."""
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    changes = []
    for name in [*old, *(name for name in new if name not in old)]:
        where = f"{place}.{name}"
        if name not in new:
            changes.append(Change(where, old[name], None))
        elif name not in old:
            changes.append(Change(where, None, new[name]))
        else:
            changes += _compare_fields(where, old[name], new[name])
    return changes


def _compare_fields(where: str, before: Any, after: Any) -> list[Change]:
    """Compares two items of the same name."""
    if isinstance(before, configuration.Service):
        return _compare_items(where, before.servers, after.servers)
    changes = []
    for field in before._fields:
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            changes.append(Change(f"{where}.{field}", old, new))
    return changes


def _format_fields(value: Any) -> str:
    """Returns a summary of an added item."""
    if isinstance(value, configuration.Service):
        return f" ({len(value.servers)} backend servers)"
    fields = value._asdict()
    del fields["name"]
    return "".join(f" {key}={each}" for key, each in fields.items())
