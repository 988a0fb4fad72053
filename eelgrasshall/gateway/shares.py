"""Shares of fleet-wide limits, which each host computes by itself.

The hosts of a fleet divide a limit by what each of them knows of the others.
They learn of changes at different times, and one that was suspended learns
late, so that their shares could add up to more than the limit.  Therefore a
host uses the least share of the last window.  What all hosts use in a window is
then at most what their shares added up to at its beginning, whoever was
restarted, cut off or taken over from meanwhile.
"""

import collections
from collections.abc import Callable
import hashlib
import math
from typing import Generic
from typing import TypeVar

View = TypeVar("View")

# Time without an update, for example while the process was suspended, after
# which others may have taken over what this host had.
MAX_UPDATE_INTERVAL_S = 3.0


class RecentViews(Generic[View]):
    """What a host knew of the fleet in the last window.

    A process that has just started knew nothing: the one before it may have
    used its share.

    Args:
      window_s: Length of the window, seconds.
    """

    def __init__(self, *, window_s: float):
        self._window_s = window_s
        self._updated_s = -math.inf
        # Times until which views count, and the views, the latest one last.
        self._views: collections.deque[tuple[float, View | None]] = (
            collections.deque([(math.inf, None)])
        )

    def set_window(self, window_s: float) -> None:
        """Changes the length of the window.

        A longer one also applies to the views that count now.
        """
        longer_s = max(window_s - self._window_s, 0.0)
        self._window_s = window_s
        if longer_s:
            self._views = collections.deque(
                (until_s + longer_s, view) for until_s, view in self._views
            )

    def update(self, view: View, now: float) -> bool:
        """Sets what is known now.

        Returns:
          Whether the views that count have changed.
        """
        before = [each for _, each in self._views]
        if now - self._updated_s > MAX_UPDATE_INTERVAL_S:
            self._add(None, now)
        self._updated_s = now
        self._add(view, now)
        while self._views[0][0] <= now:
            self._views.popleft()
        return before != [each for _, each in self._views]

    def find_least(self, compute_share: Callable[[View], float]) -> float:
        """Returns the least share over all views that count.

        Args:
          compute_share: Returns the share that is due by a view.
        """
        return min(
            0.0 if view is None else compute_share(view)
            for _, view in self._views
        )

    def _add(self, view: View | None, now: float) -> None:
        """Adds a view, up to which the one before it has held."""
        _, latest = self._views.pop()
        self._views.append((now + self._window_s, latest))
        if view != latest:
            self._views.append((now + self._window_s, view))


class DelayedShare:
    """A host's share of a fleet-wide limit, raised with a delay.

    Args:
      window_s: Length of the limit's window, seconds.
    """

    def __init__(self, *, window_s: float):
        self._views: RecentViews[float] = RecentViews(window_s=window_s)

    def update(self, share: float, now: float) -> float:
        """Sets the share that is due now; returns the one that may be used."""
        self._views.update(share, now)
        return self._views.find_least(float)


def hash_pair(host: str, server_id: str) -> bytes:
    """Returns the rendezvous hash of a host and a server.

    A CRC would order the servers alike for hosts with similar names.
    """
    text = f"{host} {server_id}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
