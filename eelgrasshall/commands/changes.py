"""What differs between two configurations, in the words of a declaration."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from eelgrasshall.state import configuration


class Change(NamedTuple):
    """One difference.

    Attributes:
      where: The place, such as `services.orders-01.orders-01-2.slots`.
      before: The value before; None if it is new.
      after: The value after; None if it is gone.
    """

    where: str
    before: Any
    after: Any

    def describe(self) -> str:
        """Returns the difference as one line of text."""
        if self.before is None:
            return f"+ {self.where}{_describe_value(self.after)}"
        if self.after is None:
            return f"- {self.where}"
        return f"~ {self.where}: {self.before} -> {self.after}"

    def to_plain(self) -> dict[str, Any]:
        """Returns the difference as a JSON object."""
        return configuration.to_plain(self)


def compare(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[Change]:
    """Returns the differences in contents, without version and change id."""
    changes = _compare_items("zones", before.zones, after.zones)
    changes += _compare_items("services", before.services, after.services)
    changes += _compare_items("kinds", before.kinds, after.kinds)
    return changes


def _compare_items(
    place: str, before: Iterable[Any], after: Iterable[Any]
) -> list[Change]:
    """Compares named items by their names."""
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
    """Compares two items of the same name field by field."""
    if isinstance(before, configuration.Service):
        return _compare_items(where, before.servers, after.servers)
    changes = []
    for field in before._fields:
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            changes.append(Change(f"{where}.{field}", old, new))
    return changes


def _describe_value(value: Any) -> str:
    """Returns the fields of a new item as text."""
    if isinstance(value, configuration.Service):
        return f" ({len(value.servers)} backend servers)"
    fields = value._asdict()
    del fields["name"]
    return "".join(f" {key}={each}" for key, each in fields.items())
