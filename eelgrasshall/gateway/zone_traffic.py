"""Counts the bytes between availability zones by their cause.

Each exchange is counted by one host: the one that sends a request counts the
request and its response, and the one that sends a datagram counts that.  So the
counters of all hosts can be added up.  Only payload is counted, not the headers
of TCP, UDP and IP, nor the opening of connections.
"""

import collections
import enum

COUNTER_PREFIX = "cross_zone_bytes_"


class Cause(enum.Enum):
    """Why bytes are sent; the value is the name of the counter."""

    ATTEMPTS = COUNTER_PREFIX + "attempts"
    # Hedges and retries.
    EXTRA_ATTEMPTS = COUNTER_PREFIX + "extra_attempts"
    HEALTH_CHECKS = COUNTER_PREFIX + "health_checks"
    # Heartbeats and what is sent next to them.
    DATAGRAMS = COUNTER_PREFIX + "datagrams"
    # Exchange of the store's objects between hosts.
    OBJECTS = COUNTER_PREFIX + "objects"
    RELAYS = COUNTER_PREFIX + "relays"


class ZoneTraffic:
    """Adds up the bytes that one host exchanges with other zones.

    Args:
      zone: The zone of this host.
      counters: The counters to add to.
    """

    def __init__(self, *, zone: str, counters: collections.Counter[str]):
        self._zone = zone
        self._counters = counters

    def record(self, cause: Cause, zone: str | None, size: int) -> None:
        """Adds bytes that were sent or received.

        Args:
          cause: Why they were sent.
          zone: The zone at the other end; None if that is not known, and the
            bytes are not counted then.
          size: The number of bytes.
        """
        if zone is not None and zone != self._zone:
            self._counters[cause.value] += size
