"""Metrics per workspace, in the Prometheus text format.

The number of labels is bounded: a workspace that is first seen when all of
them are in use is counted as `other`.
"""

import collections
from collections.abc import Iterable

from eelgrasshall.gateway import model

_PREFIX = "eelgrasshall_workspace_"
# Most workspaces with a label of their own; large deployments have about 70.
MAX_LABELS = 100
OTHER = "other"

RECEIVED = "requests_received"
SERVED = "requests_served"
OVER_QUOTA = "requests_over_quota"
WAITED = "waits"
WAITED_S = "wait_seconds"
# Requests without a valid key belong to no workspace.
UNAUTHORIZED = "requests_unauthorized"


class WorkspaceMetrics:
    """Counts the requests of each workspace."""

    def __init__(self):
        self._labels: set[str] = set()
        self._counters: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def add(
        self, name: str, workspace: model.Workspace | None, value: float = 1
    ) -> None:
        """Adds to a counter of a workspace; None if a request has none."""
        if workspace is None:
            return
        label = workspace.name
        if label not in self._labels:
            if len(self._labels) < MAX_LABELS:
                self._labels.add(label)
            else:
                label = OTHER
        self._counters[name, label] += value

    def count_unauthorized(self) -> None:
        """Counts a request that was answered with 401."""
        self._counters[UNAUTHORIZED, ""] += 1

    def render(self) -> bytes:
        """Returns all counters in the text format; empty if there is none."""
        return b"".join(line.encode() + b"\n" for line in self._list_lines())

    def _list_lines(self) -> Iterable[str]:
        """Returns one line for each counter."""
        for (name, label), value in sorted(self._counters.items()):
            labels = ""
            if label:
                escaped = label.replace("\\", "\\\\").replace('"', '\\"')
                labels = f'{{workspace="{escaped}"}}'
            yield f"{_PREFIX}{name}_total{labels} {_format(value)}"


def _format(value: float) -> str:
    """Returns a count, or seconds with three decimals."""
    return f"{value:.3f}" if isinstance(value, float) else str(value)
